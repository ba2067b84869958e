"""The filter that waits for the allocator's grant."""

import math

from lavenderledge import clock as clocks
from lavenderledge.controllers import admission
from lavenderledge.filters import exchange
from lavenderledge.peers import messages
from lavenderledge.policy import digests, table

CHARS_PER_TOKEN = 4

# The answer of a plain service counts as one token.
_PLAIN_OUTPUT_TOKENS = 1


def make_admit(
    *,
    requests: admission.Admission,
    clock: clocks.Clock,
    granted_exchanges: dict[str, exchange.Exchange],
) -> exchange.Filter:
    """Return a filter that sets the placement and releases it at the end."""

    async def admit(
        current: exchange.Exchange, proceed: exchange.Handler
    ) -> exchange.Outcome:
        assert current.work is not None
        now_s = clock.read_monotonic()
        granted = await requests.acquire(
            pool=current.work.pool,
            spec=build_spec(current, now_s=now_s),
            deadline_s=current.deadline_s,
        )
        if granted.is_error():
            refusal = granted.error
            return current.refuse(
                refusal.reason,
                refusal.detail,
                retry_after_s=refusal.retry_after_s,
            )
        current.placement = granted.ok
        granted_exchanges[current.request_id] = current
        current.cleanup.callback(finish, current)
        return await proceed(current)

    def finish(current: exchange.Exchange) -> None:
        granted_exchanges.pop(current.request_id, None)
        requests.release(current.request_id, current.output_done)

    return admit


def build_spec(
    current: exchange.Exchange, *, now_s: float
) -> messages.RequestSpec:
    """Return the spec of a request for the allocator."""
    row = current.row
    work = current.work
    assert row is not None
    assert work is not None
    return messages.RequestSpec(
        request_id=current.request_id,
        row=row.row,
        customer=current.identity.customer,
        tier=row.tier,
        weight=row.weight,
        prompt_tokens=math.ceil(len(work.prompt) / CHARS_PER_TOKEN),
        output_tokens=_estimate_output(work, row),
        prefix=digests.digest_prefix(work.prompt),
        remaining_s=current.deadline_s - now_s,
        waited_s=0,
        preemptible=bool(work.model) and row.repeatable,
        immediate=current.immediate,
    )


def _estimate_output(work: exchange.Work, row: table.Row) -> int:
    if not work.model:
        return _PLAIN_OUTPUT_TOKENS
    if work.output_limit is None:
        return row.output_tokens
    return min(row.output_tokens, work.output_limit)
