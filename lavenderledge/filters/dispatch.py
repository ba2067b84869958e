"""The last handler of the chain: dispatch to the granted replica."""

import typing
from collections import abc

import expression

from lavenderledge import clock as clocks
from lavenderledge import outcomes, timing
from lavenderledge.controllers import admission
from lavenderledge.filters import deadlines, exchange, refusals, relay
from lavenderledge.upstreams import connection, plain

REQUEST_ID_HEADER = 'X-Request-Id'

_INITIAL_BACKOFF_S = 0.1


class Context(typing.NamedTuple):
    """Dependencies and limits of dispatch."""

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
    """Return a filter that retries attempts in which no byte was sent.

    It wraps admission and dispatch. Only a failed connect or an expired
    grant is retried. After a failed connect it waits, so that the allocator
    learns of the failure first.
    """

    async def retry(
        current: exchange.Exchange, proceed: exchange.Handler
    ) -> exchange.Outcome:
        backoff_s = _INITIAL_BACKOFF_S
        for _ in range(attempts - 1):
            outcome = await proceed(current)
            if outcome.is_ok() or not _is_retryable(current, outcome.error):
                return outcome
            reason = outcome.error.reason
            context.count_retry(reason)
            if reason is outcomes.Reason.CONNECT_FAILED:
                await context.clock.sleep(timing.seconds(backoff_s))
                backoff_s *= 2
        return await proceed(current)

    return retry


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
    """Return the check that runs right before the first byte is sent."""

    def check_first_byte() -> bool:
        placement = current.placement
        assert placement is not None
        if context.clock.read_monotonic() >= current.deadline_s:
            return False
        if not context.requests.is_current(placement):
            return False
        current.dispatch.start()
        context.requests.note_first_byte(current.request_id)
        return True

    return check_first_byte


def _is_retryable(
    current: exchange.Exchange, refusal: outcomes.Refusal
) -> bool:
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
        return current.refuse(
            limit.reason, 'the call ended before the service had answered'
        )
    if called.is_ok():
        answer = called.ok
        _note_answer(context, placement, answer)
        return expression.Ok(
            exchange.Answer(answer.status, answer.headers, answer.body)
        )
    if isinstance(called.error, plain.TooLarge):
        return current.refuse(
            outcomes.Reason.UPSTREAM_FAILED,
            f'the answer exceeds {called.error.max_answer_bytes} bytes',
            failed=True,
        )
    if isinstance(called.error, connection.NotSent):
        context.requests.note_failure(
            pool=placement.pool, replica=placement.replica
        )
    return refusals.refuse_after_failure(current, called.error)


def _note_answer(
    context: Context,
    placement: admission.Placement,
    answer: plain.ServiceAnswer,
) -> None:
    """Record an answer as one token, or a refusal as a failure."""
    if plain.is_refusal(answer):
        context.requests.note_failure(
            pool=placement.pool, replica=placement.replica
        )
    else:
        context.requests.note_tokens(placement.request_id, 1)
