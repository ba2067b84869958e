"""HTTP client for upstreams: a new connection per request, no resends."""

import asyncio
import contextvars
import re
import typing
from collections import abc

import aiohttp
import expression

from lavenderledge.http1 import messages, receipt

_READ_BUFFER_BYTES = 1_048_576
_MAX_HEAD_BYTES = 65_536
_INFORMATIONAL = re.compile(rb'HTTP/1\.[01] 1\d\d')
_FRAMING = re.compile(
    rb'\r\n(?:content-length|transfer-encoding)[ \t]*:', re.IGNORECASE
)

BeforeFirstByte = abc.Callable[[], bool]


class NotSent(typing.NamedTuple):
    """No byte of the request was written."""

    detail: str


class CheckFailed(typing.NamedTuple):
    """No byte was written: the check before the first byte failed."""

    detail: str


class Lost(typing.NamedTuple):
    """The request may have been written, and no answer was received."""

    detail: str


Failure: typing.TypeAlias = NotSent | CheckFailed | Lost


class _CheckFailedError(aiohttp.ClientError):
    """Raised inside the client to stop before the first byte is written."""


class _Attempt:
    """One request to an upstream, on at most one connection."""

    def __init__(
        self,
        *,
        before_first_byte: BeforeFirstByte,
        on_reset: abc.Callable[[], None],
    ) -> None:
        """Start without a connection."""
        self._before_first_byte = before_first_byte
        self.on_reset = on_reset
        self.connected = False

    def begin(self) -> bool:
        """Return whether the request may go out on a new connection.

        aiohttp resends requests of some methods by itself, and opens a
        second connection for the same request to do so.
        """
        if self.connected or not self._before_first_byte():
            return False
        self.connected = True
        return True


_ATTEMPT: contextvars.ContextVar[_Attempt] = contextvars.ContextVar('attempt')


class _ResetWatch(asyncio.Protocol):
    """Passes a connection's events to aiohttp's protocol, and notes a reset.

    aiohttp takes a body that ends with its connection as complete, also after
    a reset.
    """

    def __init__(
        self, *, protocol: asyncio.Protocol, on_reset: abc.Callable[[], None]
    ) -> None:
        """Replace the protocol of an open connection."""
        self._protocol = protocol
        self._on_reset = on_reset
        self._transport: asyncio.Transport | None = None
        self._head: bytes | None = b''
        self._is_unframed = False

    def watch(self, transport: asyncio.BaseTransport) -> None:
        """Receive the events of a transport from now on."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_protocol(self)

    def data_received(self, data: bytes) -> None:
        """Pass received bytes on."""
        if self._head is not None:
            self._read_head(self._head + data)
        self._protocol.data_received(data)

    def eof_received(self) -> bool:
        """Keep an unframed body open until the peer has received all."""
        self._protocol.eof_received()
        assert self._transport is not None
        if not self._is_unframed:
            return False
        return receipt.close_when_received(self._transport, self._on_reset)

    def pause_writing(self) -> None:
        """Pass it on."""
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Pass it on."""
        self._protocol.resume_writing()

    def _read_head(self, received: bytes) -> None:
        """Find out whether the body ends with the connection."""
        head, separator, rest = received.partition(b'\r\n\r\n')
        if separator and _INFORMATIONAL.match(head):
            self._read_head(rest)
        elif separator:
            self._is_unframed = _FRAMING.search(head) is None
            self._head = None
        else:
            self._head = received if len(received) < _MAX_HEAD_BYTES else None

    def connection_lost(self, exc: Exception | None) -> None:
        """Note a reset before the body is taken as complete."""
        self._transport = None
        if exc is not None:
            self._on_reset()
        self._protocol.connection_lost(exc)


class _Connector(aiohttp.TCPConnector):
    """Opens connections, and closes one that must not be used."""

    async def connect(
        self, *args: typing.Any, **kwargs: typing.Any
    ) -> aiohttp.connector.Connection:
        """Return an open connection; raises ``_CheckFailedError``."""
        connected = await super().connect(*args, **kwargs)
        attempt = _ATTEMPT.get()
        if attempt.begin():
            protocol = connected.protocol
            if protocol is not None and protocol.transport is not None:
                watch = _ResetWatch(
                    protocol=protocol, on_reset=attempt.on_reset
                )
                watch.watch(protocol.transport)
            return connected
        connected.close()
        raise _CheckFailedError


class UpstreamClient:
    """Sends each request to an upstream over a new connection.

    A pooled connection may be dead without notice. A new connection proves
    that the network path works before the first byte is written.
    """

    def __init__(self, *, connect_timeout_s: float) -> None:
        """Create the session; a running event loop is required."""
        self._session = aiohttp.ClientSession(
            connector=_Connector(force_close=True, limit=0),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            read_bufsize=_READ_BUFFER_BYTES,
            skip_auto_headers=('Accept-Encoding', 'User-Agent'),
        )
        self._connect_timeout_s = connect_timeout_s

    async def close(self) -> None:
        """Close the session."""
        await self._session.close()

    async def send(
        self,
        method: str,
        url: str,
        *,
        before_first_byte: BeforeFirstByte | None = None,
        headers: abc.Mapping[str, str] | None = None,
        body: bytes | None = None,
        silence_timeout_s: float | None = None,
        on_reset: abc.Callable[[], None] | None = None,
    ) -> 'expression.Result[aiohttp.ClientResponse, Failure]':
        """Send one request and return the response with its head read.

        ``before_first_byte`` is called once, when connected; if it returns
        False, nothing is written. ``silence_timeout_s`` bounds each
        wait for bytes. ``on_reset`` is called if the connection is reset,
        before the body ends. The caller closes the response.
        """
        attempt = _Attempt(
            before_first_byte=before_first_byte or _allow,
            on_reset=on_reset or _ignore_reset,
        )
        _ATTEMPT.set(attempt)
        try:
            response = await self._session.request(
                method,
                url,
                headers=headers,
                data=body,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=None,
                    sock_connect=self._connect_timeout_s,
                    sock_read=silence_timeout_s,
                ),
            )
        except _CheckFailedError:
            return expression.Error(_describe_check_failure(attempt))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return expression.Error(_describe_failure(attempt, error))
        return expression.Ok(response)


def is_final(status: int) -> bool:
    """Return whether a status is that of a valid final response."""
    return status >= messages.OK and messages.is_valid_status(status)


def _allow() -> bool:
    return True


def _ignore_reset() -> None:
    """Leave a reset to the reader, whose body has its own end."""


def _describe_check_failure(attempt: _Attempt) -> Failure:
    if attempt.connected:
        return Lost('the connection ended without an answer')
    return CheckFailed(
        'the grant or the deadline had expired when the connection was made'
    )


def _describe_failure(attempt: _Attempt, error: Exception) -> Failure:
    detail = f'{type(error).__name__}: {error}'
    return Lost(detail) if attempt.connected else NotSent(detail)
