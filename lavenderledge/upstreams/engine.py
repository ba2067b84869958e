"""Responses of a model engine: create, read with resume, cancel."""

import asyncio
import contextlib
import enum
import http
import logging
import typing
from collections import abc

import aiohttp
import expression
from aiohttp import http_exceptions

from lavenderledge import clock as clocks
from lavenderledge import logs, timing
from lavenderledge.upstreams import connection, events

_LOGGER = logging.getLogger(__name__)

_ACCEPT_STREAM = {'Accept': 'text/event-stream'}
_JSON_HEADERS = {'Content-Type': 'application/json', **_ACCEPT_STREAM}
_RESUME_DELAY_S = 0.5
_NOT_FOUND = 404
_MAX_ERROR_BODY_BYTES = 4_194_304
_READ_ERRORS = (
    aiohttp.ClientError,
    OSError,
    ValueError,
)


class Refused(typing.NamedTuple):
    """The engine answered with an error instead of a stream."""

    status: int
    body: bytes
    retry_after_s: float | None


class Unreachable(typing.NamedTuple):
    """The engine was not reached in time, or lost the response."""

    detail: str


CreateFailure: typing.TypeAlias = connection.Failure | Refused
CreateResult: typing.TypeAlias = expression.Result[None, CreateFailure]
SendResult: typing.TypeAlias = expression.Result[
    aiohttp.ClientResponse, connection.Failure
]
Send: typing.TypeAlias = abc.Callable[
    [connection.BeforeFirstByte], abc.Awaitable[SendResult]
]
OnEvent = abc.Callable[[events.Event], abc.Awaitable[None]]


@enum.unique
class ReadFailure(enum.StrEnum):
    """Why the remaining events were requested before the terminal one."""

    SILENT = 'silent'
    BROKEN = 'broken'
    FOREIGN = 'foreign'
    CUT_SHORT = 'cut_short'
    UNOPENED = 'unopened'


# After these, an answer to a request to resume shows no progress.
_FRUITLESS = frozenset((ReadFailure.CUT_SHORT, ReadFailure.FOREIGN))

ReadResult: typing.TypeAlias = expression.Result[str, ReadFailure]


class _Source:
    """One connection to the stream, from its request to its end.

    ``begun_s`` is when the request was written, infinite before.
    """

    def __init__(self) -> None:
        """Start without an answer."""
        self.begun_s = float('inf')
        self.answer: asyncio.Future[CreateResult] = (
            asyncio.get_running_loop().create_future()
        )
        self.task: asyncio.Task[ReadResult] | None = None

    @property
    def is_answered(self) -> bool:
        """Return whether the engine answered with a stream."""
        return self.answer.done() and self.answer.result().is_ok()


class EngineStream:
    """The event stream of one response, resumed after each interruption.

    ``last_sequence`` is the sequence number of the last event passed on.
    Events are passed on once each and in order. ``ended`` is True when the
    engine reported that nothing runs, or when nothing was sent.

    A silent connection stays open until another one has sent an event.
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
        self._on_event: OnEvent | None = None
        self._pumping = asyncio.Event()
        self._sources: list[_Source] = []
        self._main: _Source | None = None
        self._created: _Source | None = None
        self._last_answer: CreateResult | None = None
        self._failure: ReadFailure | None = None
        self._last_contact_s = clock.read_monotonic()
        self._resume_at_s = self._last_contact_s
        self._resumed_after: int | None = None
        self.last_sequence = last_sequence
        self.ended = False

    async def create(
        self, body: bytes, *, before_first_byte: connection.BeforeFirstByte
    ) -> CreateResult:
        """Send the request; return when the response head is received.

        If the engine is silent, return ``Lost``; ``pump`` still waits for it.
        """

        def send(
            before_sending: connection.BeforeFirstByte,
        ) -> abc.Awaitable[SendResult]:
            return self._client.send(
                'POST',
                self._url,
                before_first_byte=lambda: (
                    before_first_byte() and before_sending()
                ),
                headers=_JSON_HEADERS,
                body=body,
            )

        self._created = self._start(send)
        created = await self._wait_for_answer(self._created)
        self.ended = created.is_error() and not isinstance(
            created.error, connection.Lost
        )
        return created

    async def open(self) -> CreateResult:
        """Connect to the stream of an existing response."""
        return await self._wait_for_answer(self._start(self._request_rest))

    async def pump(
        self, on_event: OnEvent
    ) -> 'expression.Result[str, Unreachable | Refused]':
        """Pass on every event up to the terminal one; return its kind.

        There is no time limit while the engine answers requests to resume,
        unless it ends the stream each time without an event. A refusal is that
        of a creation that was answered late.
        """
        now_s = self._clock.read_monotonic()
        self._on_event = on_event
        self._last_contact_s = now_s
        self._resume_at_s = now_s
        if self._main is not None and self._main.is_answered:
            self._resume_at_s += self._silence_timeout_s
        self._pumping.set()
        while True:
            await self._wait_for_change()
            ended = self._collect_ended()
            if ended is not None:
                self.ended = ended.is_ok() or isinstance(ended.error, Refused)
                return ended
            now_s = self._clock.read_monotonic()
            is_due = now_s >= self._resume_at_s
            if is_due and self._failure is None and self._is_lost(now_s):
                return self._give_up()
            if is_due:
                self._resume(now_s)

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
        status = sent.ok.status
        self.ended = connection.is_final(status) and status < _NOT_FOUND
        return self.ended

    def close(self) -> None:
        """Close all connections."""
        self._keep_only(())
        self._main = None

    def _start(self, send: Send, failure: ReadFailure | None = None) -> _Source:
        source = _Source()
        source.task = asyncio.create_task(self._run(source, send, failure))
        self._sources.append(source)
        if self._main is None:
            self._main = source
        return source

    def _keep_only(self, kept: abc.Container[_Source | None]) -> None:
        """Close the connections of all other sources."""
        for source in tuple(self._sources):
            if source not in kept:
                self._sources.remove(source)
                assert source.task is not None
                source.task.cancel()

    async def _wait_for_answer(self, source: _Source) -> CreateResult:
        """Return the answer, or ``Lost`` while the engine stays silent."""
        assert source.task is not None
        while not source.answer.done():
            now_s = self._clock.read_monotonic()
            left_s = source.begun_s + self._silence_timeout_s - now_s
            if left_s <= 0:
                return expression.Error(
                    connection.Lost('the engine has not answered yet')
                )
            try:
                await asyncio.wait(
                    (source.answer, source.task),
                    timeout=min(left_s, self._silence_timeout_s),
                    return_when=asyncio.FIRST_COMPLETED,
                )
            except asyncio.CancelledError:
                self.close()
                raise
            if source.task.done():
                source.task.result()
        answer = source.answer.result()
        if answer.is_error():
            self.close()
        return answer

    async def _wait_for_change(self) -> None:
        """Wait until a connection ends or another one may be due."""
        left_s = self._resume_at_s - self._clock.read_monotonic()
        wait_s = max(0, min(left_s, self._silence_timeout_s))
        if self._sources:
            await asyncio.wait(
                [source.task for source in self._sources if source.task],
                timeout=wait_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
        else:
            await self._clock.sleep(timing.seconds(wait_s))

    def _collect_ended(
        self,
    ) -> 'expression.Result[str, Unreachable | Refused] | None':
        """Remove connections that ended; return the stream's end, if any."""
        for source in tuple(self._sources):
            assert source.task is not None
            if not source.task.done():
                continue
            self._sources.remove(source)
            read = source.task.result()
            if read.is_ok():
                return expression.Ok(read.ok)
            refused = self._find_refusal(source)
            if refused is not None:
                return expression.Error(refused)
            self._note_failure(source, read.error)
            if self._is_lost(self._clock.read_monotonic()):
                return self._give_up()
        return None

    def _give_up(self) -> 'expression.Result[str, Unreachable | Refused]':
        return expression.Error(Unreachable(_describe(self._last_answer)))

    def _find_refusal(self, source: _Source) -> Refused | Unreachable | None:
        """Return why nothing runs, as a connection's answer shows."""
        answer = source.answer.result()
        if answer.is_ok() or not isinstance(answer.error, Refused):
            return None
        if source is self._created:
            return answer.error
        is_missing = answer.error.status == _NOT_FOUND
        if is_missing and self.last_sequence >= 0 and not self._sources:
            return Unreachable(_describe(answer))
        return None

    def _note_failure(self, source: _Source, failure: ReadFailure) -> None:
        """Set when to resume after a connection that ended."""
        now_s = self._clock.read_monotonic()
        self._failure = failure
        if source is self._main:
            self._main = None
            if self._sources:
                return
        delay_s = _RESUME_DELAY_S if self._has_stalled() else 0
        self._resume_at_s = min(self._resume_at_s, now_s + delay_s)

    def _has_stalled(self) -> bool:
        """Return whether no event came since the last request to resume."""
        return self._resumed_after == self.last_sequence

    def _is_lost(self, now_s: float) -> bool:
        if not self._has_stalled():
            self._last_contact_s = now_s
        return now_s - self._last_contact_s > self._lost_timeout_s

    def _resume(self, now_s: float) -> None:
        """Request the remaining events on a further connection."""
        failure = self._failure
        if failure is None:
            failure = (
                ReadFailure.SILENT if self._sources else ReadFailure.UNOPENED
            )
        self._failure = None
        if failure is not ReadFailure.UNOPENED:
            self._on_resume(failure)
        self._resumed_after = self.last_sequence
        self._resume_at_s = now_s + self._silence_timeout_s
        self._start(self._request_rest, failure)

    def _request_rest(
        self, before_sending: connection.BeforeFirstByte
    ) -> abc.Awaitable[SendResult]:
        after = (
            f'&starting_after={self.last_sequence}'
            if self.last_sequence >= 0
            else ''
        )
        return self._client.send(
            'GET',
            f'{self._url}/{self._response_id}?stream=true{after}',
            before_first_byte=before_sending,
            headers=_ACCEPT_STREAM,
        )

    async def _run(
        self, source: _Source, send: Send, failure: ReadFailure | None
    ) -> ReadResult:
        """Send a request and read its answer to the end."""

        def note_begun() -> bool:
            source.begun_s = self._clock.read_monotonic()
            return True

        sent = await send(note_begun)
        if sent.is_error():
            self._note_answer(source, expression.Error(sent.error), failure)
            return expression.Error(ReadFailure.UNOPENED)
        with contextlib.closing(sent.ok):
            accepted = await _accept(sent.ok)
            self._note_answer(source, accepted, failure)
            if accepted.is_error():
                return expression.Error(ReadFailure.UNOPENED)
            await self._pumping.wait()
            return await self._read(source, sent.ok)

    def _note_answer(
        self,
        source: _Source,
        answer: CreateResult,
        failure: ReadFailure | None,
    ) -> None:
        source.answer.set_result(answer)
        self._last_answer = answer
        if answer.is_ok() and failure is not None:
            self._keep_only((source, self._main))
            if failure not in _FRUITLESS:
                self._last_contact_s = self._clock.read_monotonic()

    async def _read(
        self, source: _Source, response: aiohttp.ClientResponse
    ) -> ReadResult:
        """Pass on events in order; stop at a gap in sequence numbers."""
        parser = events.EventParser(response_id=self._response_id)
        lines = aiter(response.content)
        while True:
            try:
                event = await _read_event(lines, parser)
            except _READ_ERRORS:
                return expression.Error(ReadFailure.BROKEN)
            except events.ForeignError as error:
                _log_foreign(self._response_id, self.last_sequence, error)
                return expression.Error(ReadFailure.FOREIGN)
            if event is None or event.sequence > self.last_sequence + 1:
                return expression.Error(ReadFailure.CUT_SHORT)
            if event.sequence <= self.last_sequence:
                continue
            await self._deliver(source, event)
            if event.kind in events.TERMINAL_KINDS:
                return expression.Ok(event.kind)

    async def _deliver(self, source: _Source, event: events.Event) -> None:
        """Pass on an event; the connections that it did not come on go."""
        assert self._on_event is not None
        if self._main is not source or len(self._sources) > 1:
            self._main = source
            self._keep_only((source,))
        self.last_sequence = event.sequence
        self._failure = None
        self._resume_at_s = float('inf')
        await self._on_event(event)
        self._resume_at_s = (
            self._clock.read_monotonic() + self._silence_timeout_s
        )


async def _accept(response: aiohttp.ClientResponse) -> CreateResult:
    if response.status == http.HTTPStatus.OK:
        return expression.Ok(None)
    if not connection.is_final(response.status):
        return expression.Error(
            connection.Lost(f'status {response.status} is invalid')
        )
    try:
        body = await response.content.read(_MAX_ERROR_BODY_BYTES)
    except (aiohttp.ClientError, TimeoutError):
        body = b''
    return expression.Error(
        Refused(response.status, body, _read_retry_after(response))
    )


async def _read_event(
    lines: abc.AsyncIterator[bytes], parser: events.EventParser
) -> events.Event | None:
    """Return the next event, None at the end of the body.

    Raises ``ForeignError`` also for a line over aiohttp's limit.
    """
    try:
        async for line in lines:
            event = parser.feed(line)
            if event is not None:
                return event
    except http_exceptions.LineTooLong as error:
        raise events.ForeignError('a line is too long') from error
    return None


def _read_retry_after(response: aiohttp.ClientResponse) -> float | None:
    try:
        return float(response.headers.get('Retry-After', ''))
    except ValueError:
        return None


def _log_foreign(
    response_id: str, last_sequence: int, error: events.ForeignError
) -> None:
    logs.write_event(
        _LOGGER,
        'stream_rejected',
        level=logging.WARNING,
        response_id=response_id,
        last_sequence=last_sequence,
        detail=str(error),
    )


def _describe(answer: CreateResult | None) -> str:
    if answer is None or answer.is_ok():
        return 'the stream ended without a terminal event'
    return repr(answer.error)
