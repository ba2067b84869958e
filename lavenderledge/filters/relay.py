"""Relay of an engine's response to its caller, whole or not at all."""

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
_CANCEL_PAUSE_S = 0.5
_UNFINISHED_KINDS = frozenset(('response.failed', 'response.cancelled'))

_Ended: typing.TypeAlias = 'expression.Result[bytes, outcomes.Refusal]'


class _Details(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    output_tokens: int = 0
    input_tokens_details: _Details = msgspec.field(default_factory=_Details)


class _Body(msgspec.Struct):
    usage: _Usage | None = None


class _Terminal(msgspec.Struct):
    response: msgspec.Raw


class _Progress:
    """How far one relayed response has come."""

    def __init__(self, *, sink: exchange.Sink | None) -> None:
        """Start with nothing relayed."""
        self.sink = sink
        self.document = b''


async def relay_response(
    context: 'dispatch.Context',
    current: exchange.Exchange,
    begin: connection.BeforeFirstByte,
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
    current.cleanup.callback(_leave, context, current, stream)
    async with deadlines.limit_time(context.clock, current) as limit:
        created = await stream.create(
            works.build_engine_body(current.call.body, response_id),
            before_first_byte=begin,
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
    """Return an open stream as an answer, pumped now or by the server."""

    async def pump(
        sink: exchange.Sink,
    ) -> 'expression.Result[None, outcomes.Refusal]':
        ended = await _pump(context, current, stream, sink)
        return ended.map(_drop_document)

    if streamed:
        return expression.Ok(exchange.Answer(_OK, STREAM_HEADERS, stream=pump))
    whole = await _pump(context, current, stream, None)
    return whole.map(
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
        on_resume=lambda why: context.count_retry(f'resume_{why.value}'),
        last_sequence=last_sequence,
    )


async def _pump(
    context: 'dispatch.Context',
    current: exchange.Exchange,
    stream: engine.EngineStream,
    sink: exchange.Sink | None,
) -> _Ended:
    progress = _Progress(sink=sink)
    take = _make_take(context, current, progress)
    try:
        async with deadlines.limit_time(context.clock, current) as limit:
            ended = await stream.pump(take)
    finally:
        stream.close()
    if limit.reason is not None:
        early = await _end_early(context, current, stream, limit.reason)
        return expression.Error(early.error)
    if ended.is_error():
        # Telling a caller that takes nothing may take long; cancel first.
        _leave(context, current, stream)
        return current.refuse(outcomes.Reason.UPSTREAM_LOST, ended.error.detail)
    return _judge_end(context, current, ended.ok, progress.document)


def _make_take(
    context: 'dispatch.Context',
    current: exchange.Exchange,
    progress: _Progress,
) -> engine.OnEvent:
    sink = progress.sink
    requests = context.requests

    async def take(event: events.Event) -> None:
        if event.kind == events.DELTA_KIND:
            current.output_done += 1
            requests.note_tokens(current.request_id, current.output_done)
        elif event.kind in events.TERMINAL_KINDS:
            progress.document = event.document
        if sink is not None:
            await sink(event.raw)

    return take


def _judge_end(
    context: 'dispatch.Context',
    current: exchange.Exchange,
    kind: str,
    document: bytes,
) -> _Ended:
    if kind in _UNFINISHED_KINDS and not current.is_retrieval:
        return current.refuse(
            outcomes.Reason.UPSTREAM_FAILED,
            f'the engine ended the stream with {kind}',
            failed=True,
        )
    try:
        response = bytes(msgspec.json.decode(document, type=_Terminal).response)
        body = msgspec.json.decode(response, type=_Body)
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
        return current.refuse(reason, 'ended before it was dispatched')
    cancelled = await stream.cancel()
    return current.refuse(
        reason,
        'ended and cancelled' if cancelled else 'ended; cancel unanswered',
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
    """Leave out the document, which a streamed caller has had."""


def _leave(
    context: 'dispatch.Context',
    current: exchange.Exchange,
    stream: engine.EngineStream,
) -> None:
    """Cancel what may still run when its request ends, for any reason."""
    stream.close()
    if not stream.ended and current.dispatch.started and not current.background:
        context.run_detached(_cancel(context, stream))


async def _cancel(
    context: 'dispatch.Context', stream: engine.EngineStream
) -> None:
    for _ in range(_CANCEL_ATTEMPTS):
        if await stream.cancel():
            return
        await context.clock.sleep(timing.seconds(_CANCEL_PAUSE_S))
