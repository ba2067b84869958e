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
    """One event: its number in the stream, its kind and its raw bytes."""

    sequence: int
    kind: str
    raw: bytes
    document: bytes


class _Head(msgspec.Struct):
    sequence_number: int
    type: str = ''


_decode_head = msgspec.json.Decoder(_Head).decode


class EventParser:
    """Puts events together from lines; comments and other fields pass."""

    def __init__(self) -> None:
        """Start between two events."""
        self._lines: list[bytes] = []
        self._documents: list[bytes] = []

    def feed(self, line: bytes) -> Event | None:
        """Take one line with its end; return the event that it completes.

        Raises ``msgspec.DecodeError`` where the event's data is no JSON
        object with a sequence number.
        """
        if line not in _BLANK_LINES:
            self._take(line)
            return None
        if not self._documents:
            self._lines.clear()
            return None
        return self._complete(line)

    def _take(self, line: bytes) -> None:
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
