"""Who gets which replica now: the decisions of one pool's allocator."""

import itertools
import typing

from lavenderledge import outcomes
from lavenderledge.policy import (
    cancellation,
    placement,
    replicas,
    requests,
)
from lavenderledge.policy import (
    options as rounds,
)
from lavenderledge.policy import (
    pool as pools,
)

# Flows of a tier that are looked at before lower tiers have their turn.
_LOOK_AHEAD: typing.Final = 8
# Waiting requests are looked through for the hopeless and the impatient at
# most this often.
_CHECK_INTERVAL_S: typing.Final = 0.02
_LOWEST_TIER: typing.Final = 4


class Granted(typing.NamedTuple):
    """A request that was granted its replica."""

    request: requests.Request
    info: replicas.ReplicaInfo


class Decisions(typing.NamedTuple):
    """What one round has decided."""

    granted: list[Granted]
    preempted: list[requests.Request]


def decide(pool: pools.Pool, now_s: float) -> Decisions:
    """Grant what can be granted; name whom to cancel for the rest."""
    if not pool.state.queue and not pool.state.freeing:
        return Decisions([], [])
    pool.update_blocked()
    current = _Round(pool=pool, now_s=now_s)
    if not pool.limited:
        return Decisions(current.grant(), [])
    due = now_s - pool.checked_s >= _CHECK_INTERVAL_S
    if due:
        pool.checked_s = now_s
        current.refuse_hopeless()
    granted = current.grant()
    preempted: list[requests.Request] = []
    if due or pool.state.immediate:
        preempted = cancellation.cancel_lower(pool, current.options, now_s)
        preempted.extend(cancellation.list_overdue(pool, now_s))
        current.settle_pressed()
    return Decisions(granted, preempted)


class _Round:
    """Decisions at one time, each counting on those before."""

    def __init__(self, *, pool: pools.Pool, now_s: float) -> None:
        """Look at the replicas once."""
        self.options = rounds.Options(pool=pool, now_s=now_s)
        self._pool = pool
        self._book = pool.state
        self._now_s = now_s
        self._granted: list[Granted] = []
        self._room = pool.count_room()
        self._held_back: set[str] = set()
        self._holds = False

    def refuse_hopeless(self) -> None:
        """Refuse the oldest of each tier that no replica could finish."""
        for tier in self._book.queue.list_tiers():
            oldest = itertools.islice(
                self._book.queue.walk_arrivals(tier), _LOOK_AHEAD
            )
            for request in tuple(oldest):
                if not self._is_hopeless(request):
                    break
                self._refuse(request, outcomes.Reason.DEADLINE_UNREACHABLE)

    def grant(self) -> list[Granted]:
        """Grant in strict order of tiers, fairly inside each.

        While a request is held back, for a faster replica or because no
        free one would be in time, lower tiers get nothing: their work might
        have to be cancelled for it.
        """
        for tier in self._book.queue.list_tiers():
            self._grant_tier(tier)
            if self._holds:
                break
        return self._granted

    def settle_pressed(self) -> None:
        """Make room for pressed requests, or refuse them.

        One is refused only where every instance reports and nothing of a
        lower tier waits or runs that could give way.
        """
        for request in tuple(self._book.immediate.values()):
            tier = request.spec.tier
            gone = request.request_id not in self._book.immediate
            if gone or self._book.has_lower_held(tier):
                continue
            lowest = self._book.queue.list_tiers()[-1]
            if lowest > tier:
                newest = self._book.queue.find_newest(lowest)
                self._refuse(newest, outcomes.Reason.DISPLACED)
            elif self._pool.fleet.share >= 1 or tier >= _LOWEST_TIER:
                self._refuse(request, outcomes.Reason.OVERLOADED)

    def _refuse(
        self, request: requests.Request, reason: outcomes.Reason
    ) -> None:
        self._pool.intake.refuse(request, reason, self._now_s)

    def _has_room(self) -> bool:
        if self._pool.limited:
            return self._room > 0 and self.options.has_slots()
        return bool(self.options)

    def _grant_tier(self, tier: int) -> None:
        settled = True
        while settled and self._has_room():
            settled = self._grant_first(tier)

    def _grant_first(self, tier: int) -> bool:
        """Settle one request of a tier; False where none can be."""
        for request in self._book.queue.list_first(tier, _LOOK_AHEAD):
            if request.request_id in self._held_back:
                continue
            if self._pool.is_over_limit(request.spec.row):
                self._book.queue.block(request.spec.row)
                return True
            if self._settle(request, self._choose(request)):
                return True
        return False

    def _choose(self, request: requests.Request) -> placement.Choice:
        fitted = self.options.fit(request)
        choice = self._pool.choose(request, fitted, self._now_s)
        tier = request.spec.tier
        if choice.decision is placement.Decision.PLACE:
            return choice
        if self._book.has_lower_held(tier):
            fitted = self.options.discount_lower(tier, fitted)
            return self._pool.choose(request, fitted, self._now_s)
        return choice

    def _settle(
        self, request: requests.Request, choice: placement.Choice
    ) -> bool:
        """Act on a choice; False where the request waits on."""
        if choice.decision is placement.Decision.PLACE:
            self._place(request, choice.replica)
        elif choice.decision is placement.Decision.UNREACHABLE:
            self._refuse(request, outcomes.Reason.DEADLINE_UNREACHABLE)
        else:
            self._hold_back(request, choice.replica)
            return False
        return True

    def _hold_back(self, request: requests.Request, name: str) -> None:
        self._held_back.add(request.request_id)
        self._holds = True
        if name:
            self.options.reserve(name)

    def _place(self, request: requests.Request, name: str) -> None:
        replica = self._book.replicas[name]
        assert replica.info is not None
        cached = self.options.count_cached(request, name)
        self._pool.sequence += 1
        self._book.grant(
            request,
            replica=name,
            sequence=self._pool.sequence,
            cached_tokens=cached,
            now_s=self._now_s,
        )
        self._pool.prefixes.note_expected(name, cached)
        self._pool.prefixes.note_dispatch(name, request.spec.prefix)
        self._room -= 1
        self.options.refresh(name)
        self._granted.append(Granted(request, replica.info))

    def _is_hopeless(self, request: requests.Request) -> bool:
        demand = pools.measure(self._pool, request, self._now_s)
        if not placement.is_unreachable(demand, self.options.list_all()):
            return False
        fitted = self.options.discount_lower(
            request.spec.tier, self.options.fit(request)
        )
        return placement.is_unreachable(demand, fitted)
