"""Allocation rounds: which waiting requests get which replica."""

import itertools
import typing

from lavenderledge import outcomes
from lavenderledge.policy import (
    cancellation,
    placement,
    replicaoptions,
    replicas,
    requests,
)
from lavenderledge.policy import (
    pool as pools,
)

# Maximum number of a tier's requests examined before the lower tiers.
_MAX_EXAMINED: typing.Final = 8
# Minimum time between scans of the queue for requests that can't meet their
# deadline or have waited too long.
_CHECK_INTERVAL_S: typing.Final = 0.02
_LOWEST_TIER: typing.Final = 4


class Granted(typing.NamedTuple):
    """A request and the replica granted to it."""

    request: requests.Request
    info: replicas.ReplicaInfo


class Decisions(typing.NamedTuple):
    """Grants and preemptions of one round."""

    granted: list[Granted]
    preempted: list[requests.Request]


def decide(pool: pools.Pool, now_s: float) -> Decisions:
    """Return the grants, and the requests to preempt for those that wait."""
    if not pool.state.queue and not pool.state.preempting:
        return Decisions([], [])
    pool.update_blocked()
    current = _Round(pool=pool, now_s=now_s)
    if not pool.enforces_limits:
        return Decisions(current.grant(), [])
    check_due = now_s - pool.last_check_s >= _CHECK_INTERVAL_S
    if check_due:
        pool.last_check_s = now_s
        current.refuse_unreachable()
    granted = current.grant()
    preempted: list[requests.Request] = []
    if check_due or pool.state.immediate:
        preempted = cancellation.cancel_lower(pool, current.options, now_s)
        preempted.extend(cancellation.list_overdue(pool, now_s))
        current.resolve_immediate()
    return Decisions(granted, preempted)


class _Round:
    """One allocation round; each decision sees the ones before it."""

    def __init__(self, *, pool: pools.Pool, now_s: float) -> None:
        """Take a snapshot of the replicas."""
        self.options = replicaoptions.Options(pool=pool, now_s=now_s)
        self._pool = pool
        self._state = pool.state
        self._now_s = now_s
        self._granted: list[Granted] = []
        self._free_slots = pool.count_free_slots()
        self._deferred: set[str] = set()
        self._blocks_lower = False

    def refuse_unreachable(self) -> None:
        """Refuse each tier's oldest requests that can't meet their deadline."""
        for tier in self._state.queue.list_tiers():
            oldest = itertools.islice(
                self._state.queue.walk_arrivals(tier), _MAX_EXAMINED
            )
            for request in tuple(oldest):
                if not self._is_unreachable(request):
                    break
                self._refuse(request, outcomes.Reason.DEADLINE_UNREACHABLE)

    def grant(self) -> list[Granted]:
        """Grant in strict order of tiers, fairly within each.

        While a request waits for a faster replica, or because no free one
        meets its deadline, lower tiers get no grants: they might have to be
        cancelled for it.
        """
        for tier in self._state.queue.list_tiers():
            self._grant_tier(tier)
            if self._blocks_lower:
                break
        return self._granted

    def resolve_immediate(self) -> None:
        """Displace lower-tier requests for immediate ones, or refuse these.

        One is refused only if every instance reports and no lower-tier
        request waits or runs that could be displaced.
        """
        for request in tuple(self._state.immediate.values()):
            tier = request.spec.tier
            gone = request.request_id not in self._state.immediate
            if gone or self._state.has_lower_held(tier):
                continue
            lowest = self._state.queue.list_tiers()[-1]
            if lowest > tier:
                newest = self._state.queue.find_newest(lowest)
                self._refuse(newest, outcomes.Reason.DISPLACED)
            elif self._pool.fleet.share >= 1 or tier >= _LOWEST_TIER:
                self._refuse(request, outcomes.Reason.OVERLOADED)

    def _refuse(
        self, request: requests.Request, reason: outcomes.Reason
    ) -> None:
        self._pool.intake.refuse(request, reason, self._now_s)

    def _has_free_slots(self) -> bool:
        if self._pool.enforces_limits:
            return self._free_slots > 0 and self.options.has_slots()
        return bool(self.options)

    def _grant_tier(self, tier: int) -> None:
        decided = True
        while decided and self._has_free_slots():
            decided = self._decide_first(tier)

    def _decide_first(self, tier: int) -> bool:
        """Decide on one request of a tier; return False if all must wait."""
        for request in self._state.queue.list_first(tier, _MAX_EXAMINED):
            if request.request_id in self._deferred:
                continue
            if self._pool.is_over_limit(request.spec.row):
                self._state.queue.block(request.spec.row)
                return True
            if self._apply_choice(request, self._choose(request)):
                return True
        return False

    def _choose(self, request: requests.Request) -> placement.Choice:
        options = self.options.list_for(request)
        choice = self._pool.choose(request, options, self._now_s)
        tier = request.spec.tier
        if choice.decision is placement.Decision.PLACE:
            return choice
        if self._state.has_lower_held(tier):
            options = self.options.exclude_lower(tier, options)
            return self._pool.choose(request, options, self._now_s)
        return choice

    def _apply_choice(
        self, request: requests.Request, choice: placement.Choice
    ) -> bool:
        """Apply a choice; return False if the request keeps waiting."""
        if choice.decision is placement.Decision.PLACE:
            self._place(request, choice.replica)
        elif choice.decision is placement.Decision.UNREACHABLE:
            self._refuse(request, outcomes.Reason.DEADLINE_UNREACHABLE)
        else:
            self._defer(request, choice.replica)
            return False
        return True

    def _defer(self, request: requests.Request, name: str) -> None:
        self._deferred.add(request.request_id)
        self._blocks_lower = True
        if name:
            self.options.reserve(name)

    def _place(self, request: requests.Request, name: str) -> None:
        replica = self._state.replicas[name]
        assert replica.info is not None
        cached = self.options.count_cached(request, name)
        self._pool.sequence += 1
        self._state.grant(
            request,
            replica=name,
            sequence=self._pool.sequence,
            cached_tokens=cached,
            now_s=self._now_s,
        )
        self._pool.prefixes.note_expected(name, cached)
        self._pool.prefixes.note_dispatch(name, request.spec.prefix)
        self._free_slots -= 1
        self.options.refresh(name)
        self._granted.append(Granted(request, replica.info))

    def _is_unreachable(self, request: requests.Request) -> bool:
        demand = pools.build_demand(self._pool, request, self._now_s)
        if not placement.is_unreachable(demand, self.options.list_all()):
            return False
        options = self.options.exclude_lower(
            request.spec.tier, self.options.list_for(request)
        )
        return placement.is_unreachable(demand, options)
