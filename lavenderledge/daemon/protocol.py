"""HTTP connections of the daemon's servers, with bounds for clients."""

import logging
import typing

from uvicorn.protocols.http import httptools_impl

from lavenderledge.http1 import bounds

# All of a request apart from its body.
_MAX_FRAMING_BYTES: typing.Final = 65_536
_MAX_PIPELINED_REQUESTS: typing.Final = 16
_LOGGER = logging.getLogger(__name__)


class Protocol(httptools_impl.HttpToolsProtocol):
    """Ends a connection that sends too much beside bodies.

    Trailers are discarded.
    """

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        """Create a connection as uvicorn does."""
        super().__init__(*args, **kwargs)
        self._framing_bytes = 0
        self._head_received = False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and refuse too many that are no body."""
        self._framing_bytes += len(data)
        super().data_received(data)
        if self.transport.is_closing():
            return
        if self._framing_bytes > _MAX_FRAMING_BYTES:
            self._refuse('head, trailers or chunk extensions too large')
        elif len(self.pipeline) > _MAX_PIPELINED_REQUESTS:
            self._refuse('too many requests ahead of their answers')

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._head_received = False
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field, and no trailer."""
        if not self._head_received:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Begin to handle the request."""
        self._head_received = True
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Pass on a part of the body."""
        used_bytes = len(body) + bounds.CHUNK_FRAMING_BYTES
        self._framing_bytes = max(0, self._framing_bytes - used_bytes)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """End the request."""
        self._framing_bytes = 0
        super().on_message_complete()

    def _refuse(self, detail: str) -> None:
        """Answer 400, unless another answer has begun; close the connection."""
        _LOGGER.warning('request_refused', extra={'fields': {'detail': detail}})
        if self.cycle is None or self.cycle.response_complete:
            self.send_400_response(detail)
        elif not self.cycle.response_started and not self.pipeline:
            self.cycle.disconnected = True
            self.send_400_response(detail)
        else:
            self.transport.abort()
