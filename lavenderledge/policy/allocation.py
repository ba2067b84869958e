"""Who gets which replica now: the decisions of one pool's allocator."""

import itertools
import typing
from collections import abc

from lavenderledge import outcomes
from lavenderledge.policy import (
    digests,
    placement,
    pool as pools,
    preemption,
    replicas,
    requests,
)

# Flows of a tier that are looked at before lower tiers have their turn.
_LOOK_AHEAD: typing.Final = 8
_TELL_AGAIN_S: typing.Final = 0.5
# The most requests that are told to end for one tier in one round.
_MOST_VICTIMS: typing.Final = 16
_LOWEST_TIER: typing.Final = 4
_TOKENS_PER_BLOCK: typing.Final = digests.BLOCK_CHARS // 4


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
    pool.update_blocked()
    current = _Round(pool=pool, now_s=now_s)
    if pool.limited:
        current.refuse_hopeless()
    granted = current.grant()
    preempted: list[requests.Request] = []
    if pool.limited:
        preempted.extend(current.preempt())
        preempted.extend(_list_overdue(pool, now_s))
        current.settle_pressed()
    return Decisions(granted, preempted)


class _Round:
    """Decisions at one time, each counting on those before."""

    def __init__(self, *, pool: pools.Pool, now_s: float) -> None:
        """Look at the replicas once."""
        self._pool = pool
        self._book = pool.book
        self._now_s = now_s
        self._granted: list[Granted] = []
        self._room = pool.count_room()
        self._options = {
            name: self._build_option(name, replica)
            for name, replica in pool.book.replicas.items()
            if replica.info is not None
        }
        self._reserved: dict[str, int] = {}

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
        """Grant in strict order of tiers, fairly inside each."""
        for tier in self._book.queue.list_tiers():
            self._grant_tier(tier)
        return self._granted

    def preempt(self) -> list[requests.Request]:
        """Choose lower-tier work to cancel for requests out of patience."""
        chosen: list[requests.Request] = []
        if not self._options:
            return chosen
        freeing = len(self._book.freeing)
        for tier in self._book.queue.list_tiers():
            if not self._book.has_lower_held(tier):
                break
            waiting = self._count_impatient(tier, freeing + _MOST_VICTIMS)
            need = max(0, waiting - freeing)
            freeing = max(0, freeing - waiting)
            if need:
                chosen.extend(self._preempt_for(tier, need))
        return chosen

    def settle_pressed(self) -> None:
        """Make room for pressed requests, or refuse them.

        One is refused only where every instance reports and nothing of a
        lower tier waits or runs that could give way.
        """
        for request in tuple(self._book.pressed.values()):
            tier = request.ask.tier
            gone = request.request_id not in self._book.pressed
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
        if not self._pool.limited:
            return bool(self._options)
        return self._room > 0 and any(
            option.slots > 0 for option in self._options.values()
        )

    def _grant_tier(self, tier: int) -> None:
        settled = True
        while settled and self._has_room():
            settled = self._grant_first(tier)

    def _grant_first(self, tier: int) -> bool:
        """Settle one request of a tier; False where none can be."""
        for request in self._book.queue.list_first(tier, _LOOK_AHEAD):
            if self._pool.is_over_limit(request.ask.row):
                self._book.queue.block(request.ask.row)
                return True
            options = self._fit_options(request)
            choice = self._pool.choose(request, options, self._now_s)
            if choice.verdict is placement.Verdict.PLACE:
                self._place(request, choice.replica)
                return True
            if choice.verdict is placement.Verdict.UNREACHABLE:
                self._refuse(request, outcomes.Reason.DEADLINE_UNREACHABLE)
                return True
            if choice.verdict is placement.Verdict.LATE:
                self._book.queue.defer(request)
                return True
            if choice.replica:
                self._reserve(choice.replica)
        return False

    def _is_hopeless(self, request: requests.Request) -> bool:
        wanted = pools.measure(request, self._now_s)
        return placement.is_unreachable(wanted, self._fit_options(request))

    def _place(self, request: requests.Request, name: str) -> None:
        replica = self._book.replicas[name]
        assert replica.info is not None
        cached = self._count_cached(request, name)
        self._pool.sequence += 1
        self._book.grant(
            request,
            replica=name,
            sequence=self._pool.sequence,
            cached_tokens=cached,
            now_s=self._now_s,
        )
        self._pool.prefixes.note_expected(name, cached)
        self._pool.prefixes.note_dispatch(name, request.ask.prefix)
        self._room -= 1
        self._options[name] = self._build_option(name, replica)
        self._granted.append(Granted(request, replica.info))

    def _reserve(self, name: str) -> None:
        option = self._options[name]
        self._options[name] = option._replace(slots=option.slots - 1)

    def _count_cached(self, request: requests.Request, name: str) -> float:
        blocks = self._pool.prefixes.match(name, request.ask.prefix)
        return min(blocks * _TOKENS_PER_BLOCK, request.ask.prompt_tokens)

    def _fit_options(self, request: requests.Request) -> list[placement.Option]:
        """Return the options with what each has cached of the prompt."""
        options = self._options
        if request.ask.prefix and self._pool.limited:
            options = {
                name: option._replace(
                    cached_tokens=self._count_cached(request, name)
                )
                for name, option in options.items()
            }
        if self._book.has_lower_held(request.ask.tier):
            return [
                self._discount_lower(request.ask.tier, option)
                for option in options.values()
            ]
        return list(options.values())

    def _discount_lower(
        self, tier: int, option: placement.Option
    ) -> placement.Option:
        """Return the option with its gap were lower tiers cancelled."""
        replica = self._book.replicas[option.replica]
        lower = replica.load.count_lower(tier)
        gap_s = replica.speed.gap_s(replica.load.held + 1 - lower)
        return option._replace(least_gap_s=gap_s * replica.slow_factor())

    def _build_option(
        self, name: str, replica: replicas.Replica
    ) -> placement.Option:
        load = replica.load
        factor = replica.slow_factor()
        gap_s = replica.speed.gap_s(load.held + 1) * factor
        left = load.output_left / max(load.held, 1)
        return placement.Option(
            replica=name,
            slots=replica.count_slots(
                share=self._pool.fleet.share, now_s=self._now_s
            ),
            gap_s=gap_s,
            least_gap_s=gap_s,
            prefill_rate=replica.speed.prefill_rate / factor,
            queued_tokens=load.prefill_left,
            cached_tokens=0,
            free_in_s=left * gap_s / max(load.held, 1),
            outstanding=load.held,
            reported=replica.reported,
        )

    def _count_impatient(self, tier: int, most: int) -> int:
        """Return how many of a tier wait too long; pressed ones all do."""
        pressed = self._book.pressed
        blocked = self._book.queue.is_blocked
        count = sum(
            1
            for request in pressed.values()
            if request.ask.tier == tier and not blocked(request.ask.row)
        )
        for request in self._book.queue.walk_arrivals(tier):
            if blocked(request.ask.row):
                continue
            if count >= most or not self._is_impatient(request):
                break
            count += request.request_id not in pressed
        return count

    def _is_impatient(self, request: requests.Request) -> bool:
        wanted = pools.measure(request, self._now_s)
        first_s = min(
            placement.estimate_first_s(wanted, option)
            for option in self._options.values()
        )
        finish_s = min(
            placement.estimate_finish_s(wanted, option)
            for option in self._options.values()
        )
        patience_s = preemption.find_patience_s(
            remaining_s=wanted.remaining_s + wanted.waited_s,
            first_token_s=first_s,
            finish_s=finish_s,
        )
        return request.ask.pressed or wanted.waited_s >= patience_s

    def _preempt_for(self, tier: int, need: int) -> list[requests.Request]:
        lower = list(self._list_victims(tier))
        useful = [victim for victim in lower if self._gives_slot(victim)]
        victims = preemption.select_victims(useful, tier=tier, need=need)
        chosen = [self._book.requests[victim.request_id] for victim in victims]
        for request in chosen:
            self._book.preempt(request, now_s=self._now_s)
        return chosen

    def _list_victims(self, tier: int) -> abc.Iterator[preemption.Victim]:
        for number, held in self._book.held.items():
            if number <= tier:
                continue
            for request in held.values():
                if request.ask.preemptible and request.preempted_s is None:
                    yield preemption.Victim(
                        number,
                        request.work_done,
                        request.request_id,
                        request.replica,
                    )

    def _gives_slot(self, victim: preemption.Victim) -> bool:
        """Return whether cancelling would free a slot that can be used."""
        replica = self._book.replicas[victim.replica]
        return replica.is_open(self._now_s) and (
            replica.count_most(share=self._pool.fleet.share, now_s=self._now_s)
            >= replica.load.held
        )


def _list_overdue(pool: pools.Pool, now_s: float) -> list[requests.Request]:
    """Return those told to end long ago, to be told again."""
    overdue = []
    for request in pool.book.freeing.values():
        told_s = request.preempted_s
        if told_s is not None and now_s - told_s > _TELL_AGAIN_S:
            request.preempted_s = now_s
            overdue.append(request)
    return overdue
