"""The HTTP interface for callers: runs filter chains behind ASGI."""

import asyncio
import datetime
import logging
import uuid
from collections import abc

import expression
from starlette import types

from lavenderledge import clock as clocks
from lavenderledge import logs, outcomes
from lavenderledge.daemon import metrics as meters
from lavenderledge.filters import exchange, refusals

_LOGGER = logging.getLogger(__name__)

_SEND_TIMEOUT_S = 30
SEND_TIMEOUT = datetime.timedelta(seconds=_SEND_TIMEOUT_S)

_BODY_TIMEOUT_S = 30.0
_MAX_READERS = 256


class CallerInterface:
    """Serves requests of callers; each ends with an answer or a refusal."""

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        metrics: meters.Metrics,
        max_body_bytes: int,
        max_in_flight: int,
        send_timeout: datetime.timedelta = SEND_TIMEOUT,
    ) -> None:
        """Start without requests.

        ``send_timeout`` bounds each wait for a caller to receive bytes, as
        far as the request's deadline does not.
        """
        self._clock = clock
        self._metrics = metrics
        self._max_body_bytes = max_body_bytes
        self._max_in_flight = max_in_flight
        self._readers = asyncio.Semaphore(_MAX_READERS)
        self._send_timeout_s = send_timeout.total_seconds()
        self.in_flight = 0

    def make_endpoint(
        self, handler: exchange.Handler, *, methods: abc.Container[str]
    ) -> types.ASGIApp:
        """Return an ASGI application that runs a handler."""

        async def serve(
            scope: types.Scope, receive: types.Receive, send: types.Send
        ) -> None:
            self.in_flight += 1
            try:
                await self._serve(scope, receive, send, handler, methods)
            finally:
                self.in_flight -= 1

        return _Endpoint(serve=serve)

    async def _serve(
        self,
        scope: types.Scope,
        receive: types.Receive,
        send: types.Send,
        handler: exchange.Handler,
        methods: abc.Container[str],
    ) -> None:
        current = exchange.Exchange(
            request_id=uuid.uuid4().hex,
            call=_read_call(scope, self._clock.read_monotonic()),
        )
        body = await self._read_body(receive)
        if isinstance(body, outcomes.Reason):
            refused = current.refuse(body, 'the body could not be taken')
            await self._finish(current, send, refused)
            return
        current.call = current.call._replace(body=body)
        if scope['method'] not in methods:
            refused = current.refuse(
                outcomes.Reason.METHOD_NOT_ALLOWED,
                f'{scope["method"]} is not served here',
            )
            await self._finish(current, send, refused)
            return
        await self._run(current, handler, receive, send)

    async def _read_body(
        self, receive: types.Receive
    ) -> bytes | outcomes.Reason:
        """Read the body; the number of concurrent reads is bounded.

        Reads above the bound wait: which request is refused depends on its
        tier, which is known only from the body.
        """
        if self.in_flight > self._max_in_flight:
            return outcomes.Reason.MEMORY_FULL
        try:
            async with asyncio.timeout(_BODY_TIMEOUT_S), self._readers:
                return await _read_body(receive, self._max_body_bytes)
        except TimeoutError:
            return outcomes.Reason.BODY_TIMEOUT

    async def _run(
        self,
        current: exchange.Exchange,
        handler: exchange.Handler,
        receive: types.Receive,
        send: types.Send,
    ) -> None:
        """Serve the request; cancel it if the caller disconnects first."""
        serving = asyncio.create_task(self._answer(current, handler, send))
        disconnect = asyncio.create_task(_wait_for_disconnect(receive))
        await asyncio.wait(
            (serving, disconnect), return_when=asyncio.FIRST_COMPLETED
        )
        if not serving.done() and not current.outlives_caller:
            self._metrics.count(
                'refusals',
                reason=outcomes.Reason.CALLER_GONE.value,
                outcome=current.dispatch.refuse(
                    outcomes.Reason.CALLER_GONE, ''
                ).outcome.value,
            )
            serving.cancel()
        await asyncio.wait((serving,))
        disconnect.cancel()
        if not serving.cancelled() and serving.exception() is not None:
            self._metrics.count('answer_failures')
            _LOGGER.error(
                'answer_failed',
                exc_info=serving.exception(),
                extra={'fields': {'request_id': current.request_id}},
            )

    async def _answer(
        self,
        current: exchange.Exchange,
        handler: exchange.Handler,
        send: types.Send,
    ) -> None:
        async with current.cleanup:
            try:
                outcome = await handler(current)
            except Exception:
                outcome = self._refuse_internal(current)
            await self._finish(current, send, outcome)

    async def _finish(
        self,
        current: exchange.Exchange,
        send: types.Send,
        outcome: exchange.Outcome,
    ) -> None:
        if outcome.is_ok():
            await self._send_answer(current, send, outcome.ok)
            return
        self._note_refusal(current, outcome.error)
        await self._send_answer(
            current,
            send,
            refusals.answer_refusal(current.request_id, outcome.error),
        )

    async def _send_answer(
        self,
        current: exchange.Exchange,
        send: types.Send,
        answer: exchange.Answer,
    ) -> None:
        self._note_answer(current, answer)
        await self._send(send, _build_start(current, answer))
        if answer.stream is not None:
            await self._send_stream(current, send, answer.stream)
        await self._send(send, _build_chunk(answer.body, more=False))

    async def _send_stream(
        self,
        current: exchange.Exchange,
        send: types.Send,
        stream: exchange.Stream,
    ) -> None:
        async def sink(chunk: bytes) -> None:
            await send(_build_chunk(chunk, more=True))

        try:
            ended = await stream(sink)
        except Exception:
            ended = expression.Error(self._refuse_internal(current).error)
        if ended.is_error():
            self._note_refusal(current, ended.error)
            last = refusals.format_stream_refusal(
                current.request_id, ended.error
            )
            await self._send(send, _build_chunk(last, more=True))

    async def _send(self, send: types.Send, message: types.Message) -> None:
        """Send; raise ``TimeoutError`` if the caller does not receive it."""
        async with asyncio.timeout(self._send_timeout_s):
            await send(message)

    def _refuse_internal(self, current: exchange.Exchange) -> exchange.Outcome:
        _LOGGER.exception(
            'request_failed',
            extra={'fields': {'request_id': current.request_id}},
        )
        return current.refuse(outcomes.Reason.INTERNAL, 'an internal error')

    def _note_answer(
        self, current: exchange.Exchange, answer: exchange.Answer
    ) -> None:
        tier = 0 if current.row is None else current.row.tier
        waited_s = self._clock.read_monotonic() - current.call.received_s
        self._metrics.count('answers', status=answer.status, tier=tier)
        self._metrics.observe('first_byte', waited_s, tier=tier)

    def _note_refusal(
        self, current: exchange.Exchange, refusal: outcomes.Refusal
    ) -> None:
        tier = 0 if current.row is None else current.row.tier
        self._metrics.count(
            'refusals',
            reason=refusal.reason.value,
            outcome=refusal.outcome.value,
        )
        logs.write_event(
            _LOGGER,
            'request_refused',
            request_id=current.request_id,
            customer=current.identity.customer,
            tier=tier,
            reason=refusal.reason.value,
            outcome=refusal.outcome.value,
            detail=refusal.detail,
        )


class _Endpoint:
    """An ASGI object; a route treats a plain function as a request handler."""

    def __init__(self, *, serve: types.ASGIApp) -> None:
        """Wrap the function of an ASGI application."""
        self._serve = serve

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Serve one request."""
        await self._serve(scope, receive, send)


def _read_call(scope: types.Scope, received_s: float) -> exchange.Call:
    headers = {
        name.decode('latin-1').lower(): text.decode('latin-1')
        for name, text in scope['headers']
    }
    return exchange.Call(
        method=scope['method'],
        path=scope['raw_path'].decode('latin-1'),
        query=scope['query_string'].decode('latin-1'),
        headers=headers,
        body=b'',
        received_s=received_s,
    )


async def _read_body(
    receive: types.Receive, max_bytes: int
) -> bytes | outcomes.Reason:
    body = bytearray()
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            return outcomes.Reason.CALLER_GONE
        body.extend(message.get('body', b''))
        if len(body) > max_bytes:
            return outcomes.Reason.TOO_LARGE
        if not message.get('more_body', False):
            return bytes(body)


async def _wait_for_disconnect(receive: types.Receive) -> None:
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            return


def _build_start(
    current: exchange.Exchange, answer: exchange.Answer
) -> types.Message:
    headers = [
        (name.encode('latin-1'), text.encode('latin-1'))
        for name, text in answer.headers
    ]
    headers.append((b'x-request-id', current.request_id.encode()))
    if answer.stream is None:
        headers.append((b'content-length', str(len(answer.body)).encode()))
    return {
        'type': 'http.response.start',
        'status': answer.status,
        'headers': headers,
    }


def _build_chunk(chunk: bytes, *, more: bool) -> types.Message:
    return {'type': 'http.response.body', 'body': chunk, 'more_body': more}
