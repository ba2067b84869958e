"""Checks an event stream as it is relayed, event by event."""

import re
import typing

# The fields of server-sent events.
FIELDS: typing.Final = frozenset((b'id', b'event', b'data', b'retry'))

_BLANK_LINES: typing.Final = re.compile(rb'(?:\r?\n)*')
_EVENT_END: typing.Final = re.compile(rb'\n\r?\n')
_MAX_END_BYTES: typing.Final = 3
# A comment or a blank line.
_NO_FIELD: typing.Final = re.compile(rb'[:\r\n]')
# The form of most events; others are read line by line, which takes longer.
_COMMON_EVENT: typing.Final = re.compile(
    rb'id:[ ]?(\d{1,18})\r?\n(?:data:[^\r\n]*\r?\n){1,64}+\r?\n'
)
_ID_NUMBER: typing.Final = re.compile(rb'\d{1,18}')
# An event that is longer, or has more lines, ends its stream.
_MAX_EVENT_BYTES: typing.Final = 1_048_576
_MAX_EVENT_LINES: typing.Final = 16_384


class EventReader:
    """Reads a stream up to the first event that can't belong to it.

    Events have data and numeric ids that increase. ``last_id`` is the id of
    the last event, ``fault`` tells why the stream is not read any further.
    Comments and further blank lines, which have no meaning, are discarded.
    """

    def __init__(
        self, *, fields: frozenset[bytes], last_id: str | None
    ) -> None:
        """Expect the stream to go on after the event ``last_id``.

        One that is no number sets no lower bound. ``fields`` are the names of
        the fields that an event may have.
        """
        self.last_id = last_id
        self.fault = ''
        self.event_count = 0
        self._fields = fields
        self.last_number = _parse_id(last_id)
        self._partial = bytearray()
        self._blank_bytes = 0
        self._search_from = 0

    @property
    def is_complete(self) -> bool:
        """Return whether the stream may end here."""
        return not self.fault and self._blank_bytes == len(self._partial)

    def feed(self, body: bytes) -> bytes:
        """Add bytes; return the valid events that they complete."""
        if self.fault:
            return b''
        self._partial += body
        start = 0
        valid = []
        while not self.fault:
            end = self._find_end(start)
            if end is None:
                break
            valid.append(self._read_event(bytes(self._partial[start:end])))
            start = end
        del self._partial[:start]
        self._blank_bytes = max(0, self._blank_bytes - start)
        self._search_from = max(0, len(self._partial) - _MAX_END_BYTES + 1)
        if len(self._partial) > _MAX_EVENT_BYTES:
            self.fault = self.fault or 'too_long'
        return b''.join(valid)

    def _find_end(self, start: int) -> int | None:
        """Return the end of the event, or comments, that begin at ``start``."""
        blank = _BLANK_LINES.match(self._partial, max(start, self._blank_bytes))
        self._blank_bytes = start if blank is None else blank.end()
        end = _EVENT_END.search(
            self._partial, max(self._blank_bytes, self._search_from)
        )
        return None if end is None else end.end()

    def _read_event(self, text: bytes) -> bytes:
        """Return a valid event without comments; else set ``fault``."""
        common = _COMMON_EVENT.fullmatch(text)
        if common is not None and text.isascii():
            return text if self._accept(common.group(1)) else b''
        if text.count(b'\n') > _MAX_EVENT_LINES:
            self.fault = 'too_long'
            return b''
        lines = _split_lines(text)
        if lines is None:
            self.fault = 'not_text'
            return b''
        fields = [line for line in lines if not _NO_FIELD.match(line)]
        pairs = [_split_field(line) for line in fields]
        if not self._fields.issuperset(dict(pairs)):
            self.fault = 'not_an_event'
            return b''
        is_valid = bool(fields) and self._check_fields(pairs)
        return b''.join((*fields, lines[-1])) if is_valid else b''

    def _check_fields(self, pairs: list[tuple[bytes, bytes]]) -> bool:
        ids = [content for name, content in pairs if name == b'id']
        is_numbered = len(ids) == 1 and _ID_NUMBER.fullmatch(ids[0]) is not None
        if is_numbered and b'data' in dict(pairs):
            return self._accept(ids[0])
        self.fault = 'not_numbered'
        return False

    def _accept(self, event_id: bytes) -> bool:
        """Count an event, unless its id is not above the last one."""
        number = int(event_id)
        if number <= self.last_number:
            self.fault = 'not_increasing'
            return False
        self.event_count += 1
        self.last_number = number
        self.last_id = event_id.decode()
        return True


def _split_lines(text: bytes) -> list[bytes] | None:
    """Return lines with their ends, None unless it is lines of text."""
    if b'\r' in text.replace(b'\r\n', b''):
        return None
    try:
        text.decode()
    except UnicodeDecodeError:
        return None
    return text.splitlines(keepends=True)


def _split_field(line: bytes) -> tuple[bytes, bytes]:
    name, _, content = line.rstrip(b'\r\n').partition(b':')
    return name, content.removeprefix(b' ')


def _parse_id(text: str | None) -> float:
    """Return an id as a number, below all others if it is none."""
    if text is None or _ID_NUMBER.fullmatch(text.encode()) is None:
        return float('-inf')
    return int(text)
