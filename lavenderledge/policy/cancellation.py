"""Whose work is cancelled now for requests that can't wait longer."""

import typing
from collections import abc

from lavenderledge.policy import (
    options as rounds,
)
from lavenderledge.policy import (
    placement,
    preemption,
    requests,
)
from lavenderledge.policy import (
    pool as pools,
)

# The most requests that are told to end for one tier in one round.
_MOST_VICTIMS: typing.Final = 16
_TELL_AGAIN_S: typing.Final = 0.5


def cancel_lower(
    pool: pools.Pool, options: rounds.Options, now_s: float
) -> list[requests.Request]:
    """Choose and record lower-tier work to cancel, the fewest needed.

    Cancels under way count as slots that will be free.
    """
    chosen: list[requests.Request] = []
    if not options:
        return chosen
    freeing = len(pool.state.freeing)
    for tier in pool.state.queue.list_tiers():
        if not pool.state.has_lower_held(tier):
            break
        waiting = _count_impatient(
            pool, options, tier, freeing + _MOST_VICTIMS, now_s
        )
        need = max(0, waiting - freeing)
        freeing = max(0, freeing - waiting)
        if need:
            chosen.extend(_cancel_for(pool, tier, need, now_s))
    return chosen


def list_overdue(pool: pools.Pool, now_s: float) -> list[requests.Request]:
    """Return those told to end long ago, to be told again."""
    overdue = []
    for request in pool.state.freeing.values():
        told_s = request.preempted_s
        if told_s is not None and now_s - told_s > _TELL_AGAIN_S:
            request.preempted_s = now_s
            overdue.append(request)
    return overdue


def _count_impatient(
    pool: pools.Pool,
    options: rounds.Options,
    tier: int,
    most: int,
    now_s: float,
) -> int:
    """Return how many of a tier wait too long; pressed ones all do."""
    pressed = pool.state.immediate
    blocked = pool.state.queue.is_blocked
    count = sum(
        1
        for request in pressed.values()
        if request.spec.tier == tier and not blocked(request.spec.row)
    )
    for request in pool.state.queue.walk_arrivals(tier):
        if request.request_id in pressed or blocked(request.spec.row):
            continue
        if count >= most or not _is_impatient(pool, request, options, now_s):
            break
        count += 1
    return count


def _is_impatient(
    pool: pools.Pool,
    request: requests.Request,
    options: rounds.Options,
    now_s: float,
) -> bool:
    demand = pools.measure(pool, request, now_s)
    listed = options.list_all()
    first_s = min(
        placement.estimate_first_s(demand, option) for option in listed
    )
    finish_s = min(
        placement.estimate_finish_s(demand, option) for option in listed
    )
    patience_s = preemption.find_patience_s(
        remaining_s=demand.remaining_s + demand.waited_s,
        first_token_s=first_s,
        finish_s=finish_s,
    )
    return demand.waited_s >= patience_s


def _cancel_for(
    pool: pools.Pool, tier: int, need: int, now_s: float
) -> list[requests.Request]:
    """Record whom to cancel; no work before all of lower tiers than it."""
    for number in sorted(pool.state.held, reverse=True):
        if number <= tier:
            return []
        victims = list(_list_victims(pool, number))
        useful = [
            victim for victim in victims if _gives_slot(pool, victim, now_s)
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


def _list_victims(
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


def _gives_slot(
    pool: pools.Pool, victim: preemption.Victim, now_s: float
) -> bool:
    """Return whether cancelling would free a slot that can be used."""
    replica = pool.state.replicas[victim.replica]
    if not replica.is_available(now_s):
        return False
    most = replica.count_most(share=pool.fleet.share, now_s=now_s)
    return most >= replica.load.held
