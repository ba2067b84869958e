"""Server-sent events of an engine's stream."""

import typing

import msgspec

_BLANK_LINES = (b'\n', b'\r\n')
_KIND_FIELD = b'event'
_DATA_FIELD = b'data'
_MAX_EVENT_BYTES = 4_194_304
_MAX_EVENT_LINES = 1024

TERMINAL_KINDS = frozenset(
    (
        'response.completed',
        'response.failed',
        'response.incomplete',
        'response.cancelled',
    )
)
DELTA_KIND = 'response.output_text.delta'


class Event(typing.NamedTuple):
    """One event: its sequence number, kind, raw bytes and JSON data."""

    sequence: int
    kind: str
    raw: bytes
    document: bytes


class ForeignError(Exception):
    """A stream has something that no run of its response sends."""


class _Response(msgspec.Struct):
    id: str = ''


class _Head(msgspec.Struct):
    sequence_number: int
    type: str
    response: _Response | None = None


_decode_head = msgspec.json.Decoder(_Head).decode


class EventParser:
    """Assembles the events of one connection from its lines.

    An event has ``data`` fields and may have ``event`` fields; its raw bytes
    are these lines. Comments are left out. Sequence numbers grow by one, and
    what names a response names this one.
    """

    def __init__(self, *, response_id: str) -> None:
        """Start at the beginning of an event."""
        self._response_id = response_id
        self._last_sequence: int | None = None
        self._lines: list[bytes] = []
        self._kinds: list[bytes] = []
        self._documents: list[bytes] = []
        self._size_bytes = 0

    def feed(self, line: bytes) -> Event | None:
        """Parse one line with its line end; return an event it completes.

        Raises ``ForeignError`` if no run of the response sends this.
        """
        if line in _BLANK_LINES:
            return self._complete(line)
        if not line.startswith(b':'):
            self._add(line)
        return None

    def _add(self, line: bytes) -> None:
        text = line.removesuffix(b'\n').removesuffix(b'\r')
        name, colon, content = text.partition(b':')
        # A caller takes a carriage return for the end of a line.
        if not colon or b'\r' in content:
            raise ForeignError('a line is no field')
        content = content.removeprefix(b' ')
        if name == _DATA_FIELD:
            self._documents.append(content)
        elif name == _KIND_FIELD:
            self._kinds.append(content)
        else:
            raise ForeignError('a field is neither event nor data')
        self._lines.append(line)
        self._size_bytes += len(line)
        if (
            self._size_bytes > _MAX_EVENT_BYTES
            or len(self._lines) > _MAX_EVENT_LINES
        ):
            raise ForeignError('the event is too large')

    def _complete(self, blank: bytes) -> Event | None:
        if not self._lines:
            return None
        document = b'\n'.join(self._documents)
        head = _read_head(document)
        if any(kind != head.type.encode() for kind in self._kinds):
            raise ForeignError('the event field differs from the data')
        self._check_order(head.sequence_number)
        self._check_response(head.response)
        raw = b''.join((*self._lines, blank))
        self._lines.clear()
        self._kinds.clear()
        self._documents.clear()
        self._size_bytes = 0
        return Event(head.sequence_number, head.type, raw, document)

    def _check_order(self, sequence: int) -> None:
        last = self._last_sequence
        if sequence < 0 or (last is not None and sequence != last + 1):
            raise ForeignError('the sequence number does not follow')
        self._last_sequence = sequence

    def _check_response(self, response: _Response | None) -> None:
        if response and response.id not in {'', self._response_id}:
            raise ForeignError('the event is of another response')


def format_error(document: bytes) -> bytes:
    """Return an error event with the JSON document as its data."""
    return b'event: error\ndata: %b\n\n' % document


def _read_head(document: bytes) -> _Head:
    try:
        document.decode()
        return _decode_head(document)
    except (ValueError, RecursionError) as error:
        raise ForeignError(f'the data is no event: {error}') from error
