"""Checks an event stream as it is relayed, event by event."""

import re
import typing

# The fields of server-sent events.
FIELDS: typing.Final = frozenset((b'id', b'event', b'data', b'retry'))

_BLANK_LINES: typing.Final = re.compile(rb'[\r\n]*')
_EVENT_END: typing.Final = re.compile(rb'\n\r?\n')
_MAX_END_BYTES: typing.Final = 3
_LINE_ENDS: typing.Final = b'\r\n'
_COMMENT_START: typing.Final = b':'
# The form of most events; others are read line by line, which takes longer.
_COMMON_EVENT: typing.Final = re.compile(
    rb'id:[ ]?(\d{1,18})\r?\n(?:data:[^\r\n]*\r?\n)+\r?\n'
)
_ID_NUMBER: typing.Final = re.compile(rb'\d{1,18}')
# An event that is longer ends its stream.
_MAX_EVENT_BYTES: typing.Final = 1_048_576


class EventReader:
    """Reads a stream up to the first event that can't belong to it.

    Events have data and numeric ids that increase. ``last_id`` is the id of
    the last event, ``fault`` tells why the stream is not read any further.
    Comments and blank lines between events are passed on, but are no events.
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
        self._last_number = _parse_id(last_id)
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
        while not self.fault:
            end = self._find_end(start)
            if end is None:
                break
            self._check(bytes(self._partial[start:end]))
            start = start if self.fault else end
        valid = bytes(self._partial[:start])
        del self._partial[:start]
        self._blank_bytes = max(0, self._blank_bytes - start)
        self._search_from = max(0, len(self._partial) - _MAX_END_BYTES + 1)
        if len(self._partial) > _MAX_EVENT_BYTES:
            self.fault = self.fault or 'too_long'
        return valid

    def flush(self) -> bytes:
        """Return the blank lines at the end of a complete stream."""
        blank = bytes(self._partial)
        self._partial.clear()
        return blank

    def _find_end(self, start: int) -> int | None:
        """Return the end of the event, or comments, that begin at ``start``."""
        blank = _BLANK_LINES.match(self._partial, max(start, self._blank_bytes))
        self._blank_bytes = start if blank is None else blank.end()
        end = _EVENT_END.search(
            self._partial, max(self._blank_bytes, self._search_from)
        )
        return None if end is None else end.end()

    def _check(self, text: bytes) -> None:
        """Check one event, or comments; set ``fault`` if it is not valid."""
        common = _COMMON_EVENT.fullmatch(text)
        if common is not None and text.isascii():
            self._accept(common.group(1))
            return
        pairs = _split_fields(text)
        if pairs is None or not self._fields.issuperset(dict(pairs)):
            self.fault = 'not_an_event'
        elif pairs:
            self._check_fields(pairs)

    def _check_fields(self, pairs: list[tuple[bytes, bytes]]) -> None:
        ids = [content for name, content in pairs if name == b'id']
        is_numbered = len(ids) == 1 and _ID_NUMBER.fullmatch(ids[0]) is not None
        if is_numbered and b'data' in dict(pairs):
            self._accept(ids[0])
        else:
            self.fault = 'not_numbered'

    def _accept(self, event_id: bytes) -> None:
        """Count an event, unless its id is not above the last one."""
        number = int(event_id)
        if number <= self._last_number:
            self.fault = 'not_increasing'
            return
        self.event_count += 1
        self._last_number = number
        self.last_id = event_id.decode()


def _split_fields(text: bytes) -> list[tuple[bytes, bytes]] | None:
    """Return the names and values of fields, None if it isn't lines of text.

    Comments keep a connection open; they are no fields.
    """
    text = text.replace(_LINE_ENDS, b'\n')
    try:
        text.decode()
    except UnicodeDecodeError:
        return None
    if b'\r' in text:
        return None
    lines = [line for line in text.split(b'\n') if line]
    parts = [
        line.partition(b':')
        for line in lines
        if not line.startswith(_COMMENT_START)
    ]
    return [(name, rest.removeprefix(b' ')) for name, _, rest in parts]


def _parse_id(text: str | None) -> float:
    """Return an id as a number, below all others if it is none."""
    if text is None or _ID_NUMBER.fullmatch(text.encode()) is None:
        return float('-inf')
    return int(text)
