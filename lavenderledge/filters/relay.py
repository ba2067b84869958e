"""Relay of an engine's response to its caller, complete or refused."""

import typing

import expression
import msgspec

from lavenderledge import outcomes, timing
from lavenderledge.filters import deadlines, exchange, identifiers, refusals
from lavenderledge.filters import work as works
from lavenderledge.upstreams import connection, engine, events

if typing.TYPE_CHECKING:
    from lavenderledge.filters import dispatch

STREAM_HEADERS = (
    ('content-type', 'text/event-stream'),
    ('cache-control', 'no-cache'),
)
JSON_HEADERS = (('content-type', 'application/json'),)

_OK = 200
_CANCEL_ATTEMPTS = 3
_CANCEL_RETRY_DELAY_S = 0.5
_UNFINISHED_KINDS = frozenset(('response.failed', 'response.cancelled'))

_PumpResult: typing.TypeAlias = 'expression.Result[bytes, outcomes.Refusal]'


class _InputDetails(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    output_tokens: int = 0
    input_tokens_details: _InputDetails = msgspec.field(
        default_factory=_InputDetails
    )


class _Response(msgspec.Struct):
    usage: _Usage | None = None


class _TerminalEvent(msgspec.Struct):
    response: msgspec.Raw


class _Progress:
    """The progress of one relayed response."""

    def __init__(self, *, sink: exchange.Sink | None) -> None:
        """Start with nothing relayed."""
        self.sink = sink
        self.document = b''


async def relay_response(
    context: 'dispatch.Context',
    current: exchange.Exchange,
    before_first_byte: connection.BeforeFirstByte,
) -> exchange.Outcome:
    """Create the response at the placement's engine and relay it."""
    placement = current.placement
    work = current.work
    assert placement is not None
    assert work is not None
    response_id = identifiers.format_id(
        pool=placement.pool,
        replica=placement.replica,
        customer=current.identity.customer,
        request_id=current.request_id,
    )
    stream = open_stream(context, placement.address, response_id)
    current.cleanup.callback(_cancel_unfinished, context, current, stream)
    async with deadlines.limit_time(context.clock, current) as limit:
        created = await stream.create(
            works.build_engine_body(current.call.body, response_id),
            before_first_byte=before_first_byte,
        )
    if limit.reason is not None:
        return await _end_early(context, current, stream, limit.reason)
    if created.is_error() and not isinstance(created.error, connection.Lost):
        return _refuse_creation(context, current, created.error)
    return await answer_stream(context, current, stream, streamed=work.stream)


async def answer_stream(
    context: 'dispatch.Context',
    current: exchange.Exchange,
    stream: engine.EngineStream,
    *,
    streamed: bool,
) -> exchange.Outcome:
    """Return a stream as an answer; read it here unless ``streamed``."""

    async def pump(
        sink: exchange.Sink,
    ) -> 'expression.Result[None, outcomes.Refusal]':
        ended = await _pump(context, current, stream, sink)
        return ended.map(_drop_document)

    if streamed:
        return expression.Ok(exchange.Answer(_OK, STREAM_HEADERS, stream=pump))
    ended = await _pump(context, current, stream, None)
    return ended.map(
        lambda document: exchange.Answer(_OK, JSON_HEADERS, document)
    )


def open_stream(
    context: 'dispatch.Context',
    address: str,
    response_id: str,
    *,
    last_sequence: int = -1,
) -> engine.EngineStream:
    """Return a stream of a response that is not connected yet."""
    return engine.EngineStream(
        client=context.client,
        address=address,
        response_id=response_id,
        clock=context.clock,
        silence_timeout_s=context.silence_timeout_s,
        lost_timeout_s=context.lost_timeout_s,
        on_resume=lambda failure: context.count_retry(
            f'resume_{failure.value}'
        ),
        last_sequence=last_sequence,
    )


async def _pump(
    context: 'dispatch.Context',
    current: exchange.Exchange,
    stream: engine.EngineStream,
    sink: exchange.Sink | None,
) -> _PumpResult:
    progress = _Progress(sink=sink)
    handle_event = _make_event_handler(context, current, progress)
    try:
        async with deadlines.limit_time(context.clock, current) as limit:
            ended = await stream.pump(handle_event)
    finally:
        stream.close()
    if limit.reason is not None:
        early = await _end_early(context, current, stream, limit.reason)
        return expression.Error(early.error)
    if ended.is_error():
        # Cancel first: the refusal blocks while the caller does not read.
        _cancel_unfinished(context, current, stream)
        if isinstance(ended.error, engine.Refused):
            refused = _refuse_creation(context, current, ended.error)
            return expression.Error(refused.error)
        return current.refuse(outcomes.Reason.UPSTREAM_LOST, ended.error.detail)
    return _check_end(context, current, ended.ok, progress.document)


def _make_event_handler(
    context: 'dispatch.Context',
    current: exchange.Exchange,
    progress: _Progress,
) -> engine.OnEvent:
    sink = progress.sink
    requests = context.requests

    async def handle_event(event: events.Event) -> None:
        if event.kind == events.DELTA_KIND:
            current.output_done += 1
            requests.note_tokens(current.request_id, current.output_done)
        elif event.kind in events.TERMINAL_KINDS:
            progress.document = event.document
        if sink is not None:
            await sink(event.raw)

    return handle_event


def _check_end(
    context: 'dispatch.Context',
    current: exchange.Exchange,
    kind: str,
    document: bytes,
) -> _PumpResult:
    if kind in _UNFINISHED_KINDS and not current.is_retrieval:
        return current.refuse(
            outcomes.Reason.UPSTREAM_FAILED,
            f'the engine ended the stream with {kind}',
            failed=True,
        )
    try:
        response = bytes(
            msgspec.json.decode(document, type=_TerminalEvent).response
        )
        body = msgspec.json.decode(response, type=_Response)
    except msgspec.MsgspecError as error:
        return current.refuse(
            outcomes.Reason.ANSWER_INCOMPLETE, str(error), failed=True
        )
    _note_usage(context, current, body.usage)
    return expression.Ok(response)


def _note_usage(
    context: 'dispatch.Context',
    current: exchange.Exchange,
    usage: _Usage | None,
) -> None:
    if usage is None or current.placement is None:
        return
    current.output_done = usage.output_tokens
    context.requests.note_cached(
        pool=current.placement.pool,
        replica=current.placement.replica,
        cached_tokens=usage.input_tokens_details.cached_tokens,
    )


async def _end_early(
    context: 'dispatch.Context',
    current: exchange.Exchange,
    stream: engine.EngineStream,
    reason: outcomes.Reason,
) -> exchange.Outcome:
    if not current.dispatch.started:
        return current.refuse(
            reason, 'the request ended before it was dispatched'
        )
    cancelled = await stream.cancel()
    return current.refuse(
        reason,
        'the request ended and the engine confirmed its cancellation'
        if cancelled
        else 'the request ended; the engine did not confirm its cancellation',
        retry_after_s=1,
        failed=cancelled,
    )


def _refuse_creation(
    context: 'dispatch.Context',
    current: exchange.Exchange,
    failure: engine.CreateFailure,
) -> exchange.Outcome:
    placement = current.placement
    if placement is not None and not isinstance(
        failure, connection.CheckFailed
    ):
        context.requests.note_failure(
            pool=placement.pool, replica=placement.replica
        )
    if isinstance(failure, engine.Refused):
        return current.refuse(
            outcomes.Reason.UPSTREAM_REFUSED,
            f'the engine answered with status {failure.status}',
            retry_after_s=failure.retry_after_s,
            failed=True,
        )
    return refusals.refuse_after_failure(current, failure)


def _drop_document(document: bytes) -> None:
    """Discard the document, which a streaming caller already has."""


def _cancel_unfinished(
    context: 'dispatch.Context',
    current: exchange.Exchange,
    stream: engine.EngineStream,
) -> None:
    """Cancel a response that may still run when its request ends."""
    stream.close()
    if not stream.ended and current.dispatch.started and not current.background:
        context.run_detached(_cancel(context, stream))


async def _cancel(
    context: 'dispatch.Context', stream: engine.EngineStream
) -> None:
    for _ in range(_CANCEL_ATTEMPTS):
        if await stream.cancel():
            return
        await context.clock.sleep(timing.seconds(_CANCEL_RETRY_DELAY_S))
