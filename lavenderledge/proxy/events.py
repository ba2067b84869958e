"""Whole events of a stream, so that it can be taken up after the last one."""

import re
import typing

_END: typing.Final = re.compile(rb'\r?\n\r?\n')
_ID: typing.Final = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)
# Of a partial event no more than this is kept, bytes.
_PARTIAL_LIMIT_BYTES: typing.Final = 1_048_576


class EventSplitter:
    """Cuts a stream into whole events and remembers the last one's id."""

    def __init__(self, *, last_id: str | None) -> None:
        """Start after the event with this id."""
        self.last_id = last_id
        self._partial = b''

    @property
    def is_empty(self) -> bool:
        """Return whether no part of an event is held back."""
        return not self._partial

    def feed(self, body: bytes) -> bytes:
        """Return the whole events so far; the rest is held back."""
        joined = self._partial + body if self._partial else body
        end = 0
        for found in _END.finditer(joined):
            end = found.end()
        if not end and len(joined) > _PARTIAL_LIMIT_BYTES:
            end = len(joined)
        whole = joined[:end]
        self._partial = joined[end:]
        ids = _ID.findall(whole)
        if ids:
            self.last_id = ids[-1].decode('latin-1')
        return whole

    def discard_partial(self) -> None:
        """Forget the part of an event that a broken run left."""
        self._partial = b''

    def flush(self) -> bytes:
        """Return what is held back, at an orderly end."""
        rest = self._partial
        self._partial = b''
        return rest
