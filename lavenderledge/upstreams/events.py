"""Server-sent events of an engine's stream."""

import typing

import msgspec

_BLANK_LINES = (b'\n', b'\r\n')
_DATA_PREFIX = b'data:'

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


class _Head(msgspec.Struct):
    sequence_number: int
    type: str = ''


_decode_head = msgspec.json.Decoder(_Head).decode


class EventParser:
    """Assembles events from lines; only ``data`` fields are parsed."""

    def __init__(self) -> None:
        """Start at the beginning of an event."""
        self._lines: list[bytes] = []
        self._documents: list[bytes] = []

    def feed(self, line: bytes) -> Event | None:
        """Parse one line with its line end; return an event it completes.

        Raises ``msgspec.DecodeError`` if the event's data is not a JSON
        object with a sequence number.
        """
        if line not in _BLANK_LINES:
            self._add(line)
            return None
        if not self._documents:
            self._lines.clear()
            return None
        return self._complete(line)

    def _add(self, line: bytes) -> None:
        self._lines.append(line)
        if line.startswith(_DATA_PREFIX):
            self._documents.append(line[len(_DATA_PREFIX) :].strip())

    def _complete(self, blank: bytes) -> Event:
        document = b'\n'.join(self._documents)
        raw = b''.join(self._lines) + blank
        self._lines.clear()
        self._documents.clear()
        head = _decode_head(document)
        return Event(head.sequence_number, head.type, raw, document)


def format_error(document: bytes) -> bytes:
    """Return an error event with the JSON document as its data."""
    return b'event: error\ndata: %b\n\n' % document
