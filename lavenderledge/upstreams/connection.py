"""HTTP connections to upstreams: fresh for each request, never resent."""

import contextvars
import typing
from collections import abc

import aiohttp
import expression

_READ_BUFFER_BYTES = 1_048_576

BeforeFirstByte = abc.Callable[[], bool]


class NotSent(typing.NamedTuple):
    """No byte of the request was written."""

    detail: str


class CheckFailed(typing.NamedTuple):
    """No byte was written, since the caller's check said no at the last."""

    detail: str


class Lost(typing.NamedTuple):
    """The request may have been written, and no answer came."""

    detail: str


Failure: typing.TypeAlias = NotSent | CheckFailed | Lost


class _WithdrawnError(aiohttp.ClientError):
    """Raised inside the client to stop before the first byte."""


class _Attempt:
    """One request's way to an upstream; at most one connection is used."""

    def __init__(self, *, before_first_byte: BeforeFirstByte) -> None:
        """Start without a connection."""
        self._before_first_byte = before_first_byte
        self.connected = False

    def begin(self) -> bool:
        """Return whether the request may go out on a new connection.

        The client library resends some methods by itself; a second
        connection for the same request is where that shows.
        """
        if self.connected or not self._before_first_byte():
            return False
        self.connected = True
        return True


_ATTEMPT: contextvars.ContextVar[_Attempt] = contextvars.ContextVar('attempt')


class _Connector(aiohttp.TCPConnector):
    """Makes connections, and closes one that must not be used after all."""

    async def connect(
        self, *args: typing.Any, **named: typing.Any
    ) -> aiohttp.connector.Connection:
        """Return a connection; raises ``_WithdrawnError``."""
        connected = await super().connect(*args, **named)
        if _ATTEMPT.get().begin():
            return connected
        connected.close()
        raise _WithdrawnError


class UpstreamClient:
    """Sends requests to upstreams over a connection of their own.

    A pooled connection may have gone silent unnoticed. A connection made for
    the request shows that the path works before the first byte is written.
    """

    def __init__(self, *, connect_timeout_s: float) -> None:
        """Prepare the client; it must be made inside a running loop."""
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
    ) -> 'expression.Result[aiohttp.ClientResponse, Failure]':
        """Send one request and return the response with its head read.

        ``before_first_byte`` is called once, on a live connection; where it
        returns False nothing is written. ``silence_timeout_s`` bounds each
        wait for bytes. The caller closes the response.
        """
        attempt = _Attempt(before_first_byte=before_first_byte or _allow)
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
        except _WithdrawnError:
            return expression.Error(_tell_withdrawn(attempt))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return expression.Error(_tell_failure(attempt, error))
        return expression.Ok(response)


def _allow() -> bool:
    return True


def _tell_withdrawn(attempt: _Attempt) -> Failure:
    if attempt.connected:
        return Lost('the connection ended without an answer')
    return CheckFailed('the grant had lapsed when the connection was made')


def _tell_failure(attempt: _Attempt, error: Exception) -> Failure:
    detail = f'{type(error).__name__}: {error}'
    return Lost(detail) if attempt.connected else NotSent(detail)
