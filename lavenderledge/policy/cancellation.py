"""Preemption of lower-tier requests for those that have waited too long."""

import typing
from collections import abc

from lavenderledge.policy import (
    placement,
    preemption,
    replicaoptions,
    requests,
)
from lavenderledge.policy import (
    pool as pools,
)

# Maximum number of requests that are preempted for one tier in one round.
_MAX_VICTIMS: typing.Final = 16
_RESEND_AFTER_S: typing.Final = 0.5


def cancel_lower(
    pool: pools.Pool, options: replicaoptions.Options, now_s: float
) -> list[requests.Request]:
    """Record and return the fewest lower-tier requests to preempt.

    Preemptions in progress count as slots that will become free.
    """
    chosen: list[requests.Request] = []
    if not options:
        return chosen
    preempting = len(pool.state.preempting)
    for tier in pool.state.queue.list_tiers():
        if not pool.state.has_lower_held(tier):
            break
        waiting = _count_waiting_too_long(
            pool, options, tier, preempting + _MAX_VICTIMS, now_s
        )
        need = max(0, waiting - preempting)
        preempting = max(0, preempting - waiting)
        if need:
            chosen.extend(_preempt_for(pool, tier, need, now_s))
    return chosen


def list_overdue(pool: pools.Pool, now_s: float) -> list[requests.Request]:
    """Return requests whose preemption is overdue and has to be resent."""
    overdue = []
    for request in pool.state.preempting.values():
        sent_s = request.preempted_s
        if sent_s is not None and now_s - sent_s > _RESEND_AFTER_S:
            request.preempted_s = now_s
            overdue.append(request)
    return overdue


def _count_waiting_too_long(
    pool: pools.Pool,
    options: replicaoptions.Options,
    tier: int,
    limit: int,
    now_s: float,
) -> int:
    """Count a tier's immediate requests and those that waited too long."""
    immediate = pool.state.immediate
    blocked = pool.state.queue.is_blocked
    count = sum(
        1
        for request in immediate.values()
        if request.spec.tier == tier and not blocked(request.spec.row)
    )
    for request in pool.state.queue.walk_arrivals(tier):
        if request.request_id in immediate or blocked(request.spec.row):
            continue
        if count >= limit or not _has_waited_too_long(
            pool, request, options, now_s
        ):
            break
        count += 1
    return count


def _has_waited_too_long(
    pool: pools.Pool,
    request: requests.Request,
    options: replicaoptions.Options,
    now_s: float,
) -> bool:
    demand = pools.build_demand(pool, request, now_s)
    listed = options.list_all()
    first_s = min(
        placement.estimate_first_s(demand, option) for option in listed
    )
    finish_s = min(
        placement.estimate_finish_s(demand, option) for option in listed
    )
    max_wait_s = preemption.find_max_wait_s(
        remaining_s=demand.remaining_s + demand.waited_s,
        first_token_s=first_s,
        finish_s=finish_s,
    )
    return demand.waited_s >= max_wait_s


def _preempt_for(
    pool: pools.Pool, tier: int, need: int, now_s: float
) -> list[requests.Request]:
    """Record and return the requests to preempt, all of the lowest tier."""
    for lower_tier in sorted(pool.state.held, reverse=True):
        if lower_tier <= tier:
            return []
        victims = list(_list_candidates(pool, lower_tier))
        useful = [
            victim for victim in victims if _frees_slot(pool, victim, now_s)
        ]
        chosen = preemption.select_victims(
            useful or victims, tier=tier, need=need
        )
        if chosen:
            return [_cancel(pool, victim, now_s) for victim in chosen]
    return []


def _cancel(
    pool: pools.Pool, victim: preemption.Victim, now_s: float
) -> requests.Request:
    request = pool.state.requests[victim.request_id]
    pool.state.preempt(request, now_s=now_s)
    return request


def _list_candidates(
    pool: pools.Pool, tier: int
) -> abc.Iterator[preemption.Victim]:
    for request in pool.state.held[tier].values():
        if request.spec.preemptible and request.preempted_s is None:
            yield preemption.Victim(
                tier,
                request.work_done,
                request.request_id,
                request.replica,
            )


def _frees_slot(
    pool: pools.Pool, victim: preemption.Victim, now_s: float
) -> bool:
    """Return whether preemption would free a slot that can be granted."""
    replica = pool.state.replicas[victim.replica]
    if not replica.is_available(now_s):
        return False
    limit = replica.count_capacity(share=pool.fleet.share, now_s=now_s)
    return limit >= replica.load.held
