"""The end of the chain: dispatch to the replica that was granted."""

import typing
from collections import abc

import expression

from lavenderledge import clock as clocks
from lavenderledge import outcomes, timing
from lavenderledge.controllers import admission
from lavenderledge.filters import deadlines, exchange, refusals, relay
from lavenderledge.upstreams import connection, plain

REQUEST_ID_HEADER = 'X-Request-Id'

_FIRST_PAUSE_S = 0.1


class Context(typing.NamedTuple):
    """What dispatching needs; durations in seconds, sizes in bytes."""

    client: connection.UpstreamClient
    clock: clocks.Clock
    requests: admission.Admission
    silence_timeout_s: float
    lost_timeout_s: float
    max_answer_bytes: int
    count_retry: abc.Callable[[str], None]
    run_detached: abc.Callable[
        [abc.Coroutine[typing.Any, typing.Any, None]], None
    ]


def make_retry(context: Context, *, attempts: int) -> exchange.Filter:
    """Return a filter that asks again after an attempt without a byte.

    It stands around admission and dispatch. Only an attempt that wrote
    nothing is repeated: a failed connect, or a grant that lapsed. After a
    failed connect it waits, so that the allocator hears of it first.
    """

    async def readmit(
        current: exchange.Exchange, proceed: exchange.Handler
    ) -> exchange.Outcome:
        pause_s = _FIRST_PAUSE_S
        for _ in range(attempts - 1):
            outcome = await proceed(current)
            if outcome.is_ok() or not _may_repeat(current, outcome.error):
                return outcome
            reason = outcome.error.reason
            context.count_retry(reason)
            if reason is outcomes.Reason.CONNECT_FAILED:
                await context.clock.sleep(timing.seconds(pause_s))
                pause_s *= 2
        return await proceed(current)

    return readmit


def make_dispatch(context: Context) -> exchange.Handler:
    """Return the handler that sends a request to its replica."""

    async def dispatch(current: exchange.Exchange) -> exchange.Outcome:
        assert current.work is not None
        if current.work.model:
            return await relay.relay_response(
                context, current, make_first_byte_check(context, current)
            )
        return await _call_service(context, current)

    return dispatch


def make_first_byte_check(
    context: Context, current: exchange.Exchange
) -> connection.BeforeFirstByte:
    """Return the check that runs right before the first byte."""

    def begin() -> bool:
        placement = current.placement
        assert placement is not None
        if context.clock.read_monotonic() >= current.deadline_s:
            return False
        if not context.requests.is_current(placement):
            return False
        current.dispatch.start()
        context.requests.note_first_byte(current.request_id)
        return True

    return begin


def _may_repeat(current: exchange.Exchange, refusal: outcomes.Refusal) -> bool:
    return not current.dispatch.started and refusal.reason in {
        outcomes.Reason.CONNECT_FAILED,
        outcomes.Reason.GRANT_LAPSED,
    }


async def _call_service(
    context: Context, current: exchange.Exchange
) -> exchange.Outcome:
    placement = current.placement
    work = current.work
    assert placement is not None
    assert work is not None
    headers = plain.select_headers(current.call.headers)
    headers[REQUEST_ID_HEADER] = current.request_id
    async with deadlines.limit_time(context.clock, current) as limit:
        called = await plain.call_service(
            client=context.client,
            method=current.call.method,
            url=f'http://{placement.address}{work.path}',
            headers=headers,
            body=current.call.body,
            before_first_byte=make_first_byte_check(context, current),
            max_answer_bytes=context.max_answer_bytes,
        )
    if limit.reason is not None:
        return current.refuse(limit.reason, 'the call was ended')
    if called.is_ok():
        whole = called.ok
        _note_answer(context, placement, whole)
        return expression.Ok(
            exchange.Answer(whole.status, whole.headers, whole.body)
        )
    if isinstance(called.error, plain.TooLarge):
        return current.refuse(
            outcomes.Reason.UPSTREAM_FAILED,
            f'the answer is over {called.error.max_answer_bytes} bytes',
            failed=True,
        )
    if isinstance(called.error, connection.NotSent):
        context.requests.note_failure(
            pool=placement.pool, replica=placement.replica
        )
    return refusals.refuse_after_failure(current, called.error)


def _note_answer(
    context: Context, placement: admission.Placement, whole: plain.ServiceAnswer
) -> None:
    """Count an answer as a token, or as a refusal where it says so."""
    if plain.is_refusal(whole):
        context.requests.note_failure(
            pool=placement.pool, replica=placement.replica
        )
    else:
        context.requests.note_tokens(placement.request_id, 1)
