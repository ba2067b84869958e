"""HTTP connections to upstreams: fresh for each request, never resent."""

import typing
from collections import abc

import aiohttp
import expression

_READ_BUFFER_BYTES = 1 << 20

BeforeFirstByte = abc.Callable[[], bool]


class NotSent(typing.NamedTuple):
    """No byte of the request was written."""

    detail: str


class Withdrawn(typing.NamedTuple):
    """No byte was written, since the caller's check said no at the last."""

    detail: str


class Lost(typing.NamedTuple):
    """The request may have been written, and no answer came."""

    detail: str


Failure: typing.TypeAlias = NotSent | Withdrawn | Lost


class _WithdrawnError(aiohttp.ClientError):
    """Raised inside the client to stop before the first byte."""


class _Trace(typing.NamedTuple):
    before_first_byte: BeforeFirstByte
    connected: list[bool]


class UpstreamClient:
    """Sends requests to upstreams over a connection of their own.

    A pooled connection may have gone silent unnoticed. A connection made for
    the request shows that the path works before the first byte is written.
    """

    def __init__(self, *, connect_timeout_s: float) -> None:
        """Prepare the client; it must be made inside a running loop."""
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(_check_before_first_byte)
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True, limit=0),
            trace_configs=[trace],
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
        silence_s: float | None = None,
    ) -> 'expression.Result[aiohttp.ClientResponse, Failure]':
        """Send one request and return the response with its head read.

        ``before_first_byte`` is called once, on a live connection; where it
        returns False nothing is written. ``silence_s`` bounds each wait for
        bytes. The caller closes the response.
        """
        state = _Trace(before_first_byte or _allow, [])
        try:
            response = await self._session.request(
                method,
                url,
                headers=headers,
                data=body,
                allow_redirects=False,
                trace_request_ctx=state,
                timeout=aiohttp.ClientTimeout(
                    total=None,
                    sock_connect=self._connect_timeout_s,
                    sock_read=silence_s,
                ),
            )
        except _WithdrawnError:
            return expression.Error(_tell_withdrawn(state))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return expression.Error(_tell_failure(state, error))
        return expression.Ok(response)


def _allow() -> bool:
    return True


async def _check_before_first_byte(
    session: aiohttp.ClientSession,
    context: typing.Any,
    parameters: aiohttp.TraceConnectionCreateEndParams,
) -> None:
    state: _Trace = context.trace_request_ctx
    # The client library resends some methods by itself; a second connection
    # for the same request is where that shows.
    if state.connected or not state.before_first_byte():
        raise _WithdrawnError
    state.connected.append(True)


def _tell_withdrawn(state: _Trace) -> Failure:
    if state.connected:
        return Lost('the connection ended without an answer')
    return Withdrawn('the grant had lapsed when the connection was made')


def _tell_failure(state: _Trace, error: Exception) -> Failure:
    detail = f'{type(error).__name__}: {error}'
    return Lost(detail) if state.connected else NotSent(detail)
