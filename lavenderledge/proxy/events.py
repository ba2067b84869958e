"""Splits an event stream, so that it can resume after its last event."""

import re
import typing

_EVENT_END: typing.Final = re.compile(rb'\r?\n\r?\n')
_EVENT_ENDINGS: typing.Final = (b'\n\n', b'\n\r\n')
_MAX_END_BYTES: typing.Final = 4
# A line that is neither empty nor a comment: comments keep a connection open,
# and tell nothing about the work behind it.
_EVENT_FIELD: typing.Final = re.compile(rb'^[^:\r\n]', re.MULTILINE)
_EVENT_ID: typing.Final = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)
# A longer partial event is passed on without waiting for its end.
_MAX_PARTIAL_BYTES: typing.Final = 1_048_576


class EndTracker:
    """Tells whether a stream ends after a complete event."""

    def __init__(self) -> None:
        """Start before the first byte."""
        self._tail = b''

    @property
    def is_complete(self) -> bool:
        """Return whether the last event has its end, or there is none."""
        return not self._tail or self._tail.endswith(_EVENT_ENDINGS)

    def feed(self, body: bytes) -> None:
        """Add bytes."""
        end = body[-_MAX_END_BYTES:]
        self._tail = (self._tail + end)[-_MAX_END_BYTES:]


def has_fields(events: bytes) -> bool:
    """Return whether complete events hold more than comments."""
    return _EVENT_FIELD.search(events) is not None


class EventSplitter:
    """Splits a stream into complete events and records the last event's id."""

    def __init__(self, *, last_id: str | None) -> None:
        """Expect the stream to start after the event ``last_id``."""
        self.last_id = last_id
        self._partial = b''

    @property
    def is_empty(self) -> bool:
        """Return whether no partial event is buffered."""
        return not self._partial

    def feed(self, body: bytes) -> bytes:
        """Add bytes; return the complete events and buffer the rest."""
        joined = self._partial + body if self._partial else body
        end = 0
        for match in _EVENT_END.finditer(joined):
            end = match.end()
        if not end and len(joined) > _MAX_PARTIAL_BYTES:
            end = len(joined)
        complete = joined[:end]
        self._partial = joined[end:]
        ids = _EVENT_ID.findall(complete)
        if ids:
            self.last_id = ids[-1].decode('latin-1')
        return complete

    def flush(self) -> bytes:
        """Return the partial event, at a regular end of the stream."""
        partial = self._partial
        self._partial = b''
        return partial
