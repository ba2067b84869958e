"""Responses of a model engine: create, read with resume, cancel."""

import typing
from collections import abc

import aiohttp
import expression
import msgspec

from lavenderledge import clock as clocks
from lavenderledge import timing
from lavenderledge.upstreams import connection, events

_ACCEPT_STREAM = {'Accept': 'text/event-stream'}
_JSON_HEADERS = {'Content-Type': 'application/json', **_ACCEPT_STREAM}
_RESUME_PAUSE_S = 0.5
_NOT_FOUND = 404
_CHUNK_LIMIT_BYTES = 1 << 22


class Refused(typing.NamedTuple):
    """The engine answered with an error instead of a stream."""

    status: int
    body: bytes
    retry_after_s: float | None


class Unreachable(typing.NamedTuple):
    """The engine could not be reached again within the limit."""

    detail: str


CreateFailure: typing.TypeAlias = connection.Failure | Refused
OnEvent = abc.Callable[[events.Event], abc.Awaitable[None]]


class Resumption(typing.NamedTuple):
    """Why a stream was taken up again on a fresh connection."""

    reason: str


class EngineStream:
    """One response's stream, taken up again wherever it breaks off.

    ``last`` is the sequence number of the last event handed on; events
    arrive once each and in order.
    """

    def __init__(
        self,
        *,
        client: connection.UpstreamClient,
        address: str,
        response_id: str,
        clock: clocks.Clock,
        silence_s: float,
        lost_after_s: float,
        on_resume: abc.Callable[[Resumption], None],
        last: int = -1,
    ) -> None:
        """Prepare to read a response of the engine at the address."""
        self._client = client
        self._url = f'http://{address}/v1/responses'
        self._response_id = response_id
        self._clock = clock
        self._silence_s = silence_s
        self._lost_after_s = lost_after_s
        self._on_resume = on_resume
        self._response: aiohttp.ClientResponse | None = None
        self.last = last

    async def create(
        self, body: bytes, *, before_first_byte: connection.BeforeFirstByte
    ) -> 'expression.Result[None, CreateFailure]':
        """Send the request; return once the engine has answered its head."""
        sent = await self._client.send(
            'POST',
            self._url,
            before_first_byte=before_first_byte,
            headers=_JSON_HEADERS,
            body=body,
            silence_s=self._silence_s,
        )
        if sent.is_error():
            return expression.Error(sent.error)
        return await self._accept(sent.ok)

    async def open(self) -> 'expression.Result[None, CreateFailure]':
        """Take up a response that was created before."""
        after = f'&starting_after={self.last}' if self.last >= 0 else ''
        sent = await self._client.send(
            'GET',
            f'{self._url}/{self._response_id}?stream=true{after}',
            headers=_ACCEPT_STREAM,
            silence_s=self._silence_s,
        )
        if sent.is_error():
            return expression.Error(sent.error)
        return await self._accept(sent.ok)

    async def pump(
        self, on_event: OnEvent
    ) -> 'expression.Result[str, Unreachable]':
        """Hand on every event up to the terminal one; return its kind."""
        heard_s = self._clock.read_monotonic()
        while True:
            before = self.last
            if self._response is not None:
                kind = await self._read(on_event)
                if kind is not None:
                    return expression.Ok(kind)
            if self.last > before:
                heard_s = self._clock.read_monotonic()
            reopened = await self._reopen()
            if reopened.is_ok():
                heard_s = self._clock.read_monotonic()
                continue
            silent_s = self._clock.read_monotonic() - heard_s
            if silent_s > self._lost_after_s or self._is_forgotten(reopened):
                return expression.Error(Unreachable(repr(reopened.error)))

    async def cancel(self) -> bool:
        """Tell the engine to stop; return whether it said that it did."""
        self.close()
        sent = await self._client.send(
            'POST',
            f'{self._url}/{self._response_id}/cancel',
            silence_s=self._silence_s,
        )
        if sent.is_error():
            return False
        sent.ok.close()
        return sent.ok.status < _NOT_FOUND

    def close(self) -> None:
        """Close the present connection."""
        if self._response is not None:
            self._response.close()
            self._response = None

    async def _accept(
        self, response: aiohttp.ClientResponse
    ) -> 'expression.Result[None, CreateFailure]':
        if response.status == 200:
            self._response = response
            return expression.Ok(None)
        try:
            body = await response.content.read(_CHUNK_LIMIT_BYTES)
        except (aiohttp.ClientError, TimeoutError):
            body = b''
        response.close()
        return expression.Error(
            Refused(response.status, body, _read_retry_after(response))
        )

    async def _reopen(self) -> 'expression.Result[None, CreateFailure]':
        self.close()
        opened = await self.open()
        if opened.is_error():
            await self._clock.sleep(timing.seconds(_RESUME_PAUSE_S))
        return opened

    def _is_forgotten(
        self, reopened: 'expression.Result[None, CreateFailure]'
    ) -> bool:
        """Return whether the engine has lost a response that had begun."""
        failure = reopened.error
        return (
            self.last >= 0
            and isinstance(failure, Refused)
            and failure.status == _NOT_FOUND
        )

    async def _read(self, on_event: OnEvent) -> str | None:
        """Read until the stream ends or breaks; return a terminal kind."""
        response = self._response
        assert response is not None
        try:
            kind = await self._read_events(response, on_event)
        except TimeoutError:
            self._on_resume(Resumption('silent'))
            return None
        except (aiohttp.ClientError, ValueError, msgspec.MsgspecError):
            self._on_resume(Resumption('broken'))
            return None
        if kind is None:
            self._on_resume(Resumption('cut_short'))
        return kind

    async def _read_events(
        self, response: aiohttp.ClientResponse, on_event: OnEvent
    ) -> str | None:
        """Hand on events in order; stop at a gap in their numbers."""
        parser = events.EventParser()
        async for line in response.content:
            event = parser.feed(line)
            if event is None or event.sequence <= self.last:
                continue
            if event.sequence > self.last + 1:
                return None
            self.last = event.sequence
            await on_event(event)
            if event.kind in events.TERMINAL_KINDS:
                return event.kind
        return None


def _read_retry_after(response: aiohttp.ClientResponse) -> float | None:
    try:
        return float(response.headers.get('Retry-After', ''))
    except ValueError:
        return None
