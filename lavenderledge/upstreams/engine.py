"""Responses of a model engine: create, read with resume, cancel."""

import enum
import http
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
_RESUME_DELAY_S = 0.5
_NOT_FOUND = 404
_MAX_ERROR_BODY_BYTES = 4_194_304


class Refused(typing.NamedTuple):
    """The engine answered with an error instead of a stream."""

    status: int
    body: bytes
    retry_after_s: float | None


class Unreachable(typing.NamedTuple):
    """The engine was not reached in time, or lost the response."""

    detail: str


CreateFailure: typing.TypeAlias = connection.Failure | Refused
OnEvent = abc.Callable[[events.Event], abc.Awaitable[None]]


@enum.unique
class ReadFailure(enum.StrEnum):
    """Why reading a stream stopped before its terminal event."""

    SILENT = 'silent'
    BROKEN = 'broken'
    CUT_SHORT = 'cut_short'
    UNOPENED = 'unopened'


class EngineStream:
    """The event stream of one response, resumed after each interruption.

    ``last_sequence`` is the sequence number of the last event passed on.
    Events are passed on once each and in order. ``ended`` is True when the
    engine reported that nothing runs, or when nothing was sent.
    """

    def __init__(
        self,
        *,
        client: connection.UpstreamClient,
        address: str,
        response_id: str,
        clock: clocks.Clock,
        silence_timeout_s: float,
        lost_timeout_s: float,
        on_resume: abc.Callable[[ReadFailure], None],
        last_sequence: int = -1,
    ) -> None:
        """Prepare to read a response of the engine at ``host:port``."""
        self._client = client
        self._url = f'http://{address}/v1/responses'
        self._response_id = response_id
        self._clock = clock
        self._silence_timeout_s = silence_timeout_s
        self._lost_timeout_s = lost_timeout_s
        self._on_resume = on_resume
        self._response: aiohttp.ClientResponse | None = None
        self._last_contact_s = clock.read_monotonic()
        self.last_sequence = last_sequence
        self.ended = False

    async def create(
        self, body: bytes, *, before_first_byte: connection.BeforeFirstByte
    ) -> 'expression.Result[None, CreateFailure]':
        """Send the request; return when the response head is received."""
        sent = await self._client.send(
            'POST',
            self._url,
            before_first_byte=before_first_byte,
            headers=_JSON_HEADERS,
            body=body,
            silence_timeout_s=self._silence_timeout_s,
        )
        if sent.is_error():
            self.ended = not isinstance(sent.error, connection.Lost)
            return expression.Error(sent.error)
        accepted = await self._accept(sent.ok)
        self.ended = accepted.is_error()
        return accepted

    async def open(self) -> 'expression.Result[None, CreateFailure]':
        """Connect to the stream of an existing response."""
        after = (
            f'&starting_after={self.last_sequence}'
            if self.last_sequence >= 0
            else ''
        )
        sent = await self._client.send(
            'GET',
            f'{self._url}/{self._response_id}?stream=true{after}',
            headers=_ACCEPT_STREAM,
            silence_timeout_s=self._silence_timeout_s,
        )
        if sent.is_error():
            return expression.Error(sent.error)
        return await self._accept(sent.ok)

    async def pump(
        self, on_event: OnEvent
    ) -> 'expression.Result[str, Unreachable]':
        """Pass on every event up to the terminal one; return its kind.

        There is no time limit while the engine answers requests to resume,
        unless it ends the stream each time without an event.
        """
        self._last_contact_s = self._clock.read_monotonic()
        stalled = False
        while True:
            before = self.last_sequence
            read = await self._read(on_event)
            if read.is_ok():
                self.ended = True
                return expression.Ok(read.ok)
            if self.last_sequence > before:
                self._last_contact_s = self._clock.read_monotonic()
            elif stalled:
                await self._clock.sleep(timing.seconds(_RESUME_DELAY_S))
            stalled = self.last_sequence == before
            unreachable = await self._resume(read.error)
            if unreachable is not None:
                return expression.Error(unreachable)

    async def cancel(self) -> bool:
        """Cancel the response; return whether the engine confirmed it."""
        self.close()
        sent = await self._client.send(
            'POST',
            f'{self._url}/{self._response_id}/cancel',
            silence_timeout_s=self._silence_timeout_s,
        )
        if sent.is_error():
            return False
        sent.ok.close()
        self.ended = sent.ok.status < _NOT_FOUND
        return self.ended

    def close(self) -> None:
        """Close the current connection."""
        if self._response is not None:
            self._response.close()
            self._response = None

    async def _accept(
        self, response: aiohttp.ClientResponse
    ) -> 'expression.Result[None, CreateFailure]':
        if response.status == http.HTTPStatus.OK:
            self._response = response
            return expression.Ok(None)
        try:
            body = await response.content.read(_MAX_ERROR_BODY_BYTES)
        except (aiohttp.ClientError, TimeoutError):
            body = b''
        response.close()
        return expression.Error(
            Refused(response.status, body, _read_retry_after(response))
        )

    async def _resume(self, failure: ReadFailure) -> Unreachable | None:
        """Request the remaining events; return a failure past the limit."""
        if failure is not ReadFailure.UNOPENED:
            self._on_resume(failure)
        self.close()
        opened = await self.open()
        now_s = self._clock.read_monotonic()
        if opened.is_ok() and failure is not ReadFailure.CUT_SHORT:
            self._last_contact_s = now_s
        timed_out = now_s - self._last_contact_s > self._lost_timeout_s
        if timed_out or self._is_missing(opened):
            return Unreachable(_describe(opened))
        return None

    def _is_missing(
        self, opened: 'expression.Result[None, CreateFailure]'
    ) -> bool:
        """Return whether the engine no longer has a started response."""
        if opened.is_ok() or self.last_sequence < 0:
            return False
        failure = opened.error
        return isinstance(failure, Refused) and failure.status == _NOT_FOUND

    async def _read(
        self, on_event: OnEvent
    ) -> 'expression.Result[str, ReadFailure]':
        """Read until the stream ends; return the terminal kind or a failure."""
        response = self._response
        if response is None:
            return expression.Error(ReadFailure.UNOPENED)
        try:
            return await self._read_events(response, on_event)
        except TimeoutError:
            return expression.Error(ReadFailure.SILENT)
        except (aiohttp.ClientError, ValueError, msgspec.MsgspecError):
            return expression.Error(ReadFailure.BROKEN)

    async def _read_events(
        self, response: aiohttp.ClientResponse, on_event: OnEvent
    ) -> 'expression.Result[str, ReadFailure]':
        """Pass on events in order; stop at a gap in sequence numbers."""
        parser = events.EventParser()
        async for line in response.content:
            event = parser.feed(line)
            if event is None or event.sequence <= self.last_sequence:
                continue
            if event.sequence > self.last_sequence + 1:
                return expression.Error(ReadFailure.CUT_SHORT)
            self.last_sequence = event.sequence
            await on_event(event)
            if event.kind in events.TERMINAL_KINDS:
                return expression.Ok(event.kind)
        return expression.Error(ReadFailure.CUT_SHORT)


def _read_retry_after(response: aiohttp.ClientResponse) -> float | None:
    try:
        return float(response.headers.get('Retry-After', ''))
    except ValueError:
        return None


def _describe(opened: 'expression.Result[None, CreateFailure]') -> str:
    if opened.is_ok():
        return 'the stream ended without a terminal event'
    return repr(opened.error)
