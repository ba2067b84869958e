"""Who gets which replica now: the decisions of one pool's allocator."""

import math
import typing
from collections import abc

from lavenderledge import outcomes
from lavenderledge.policy import (
    book as books,
    digests,
    intake as intakes,
    limits,
    placement,
    preemption,
    prefix,
    replicas,
    requests,
    stragglers,
)

# Flows of a tier that are looked at before lower tiers have their turn.
_LOOK_AHEAD: typing.Final = 8
_TOKENS_PER_BLOCK: typing.Final = digests.BLOCK_CHARS // 4


class Policy(typing.NamedTuple):
    """How a daemon decides; the baselines know neither limits nor tiers."""

    name: str
    choose: placement.Choose
    limited: bool


def make_policy(name: str) -> Policy:
    """Return the policy of a name; raises ``KeyError`` for others."""
    makers: dict[str, abc.Callable[[], Policy]] = {
        'lavenderledge': lambda: Policy(
            'lavenderledge', placement.choose_by_finish, limited=True
        ),
        'round-robin': lambda: Policy(
            'round-robin', placement.make_round_robin(), limited=False
        ),
        'least-loaded': lambda: Policy(
            'least-loaded', placement.make_least_loaded(), limited=False
        ),
    }
    return makers[name]()


POLICIES: typing.Final = ('lavenderledge', 'round-robin', 'least-loaded')


class Granted(typing.NamedTuple):
    """A request that was granted its replica."""

    request: requests.Request
    info: replicas.ReplicaInfo


class Fleet(typing.NamedTuple):
    """How many instances report for the pool, of those believed alive."""

    reporting: int
    alive: int

    @property
    def share(self) -> float:
        """Return the part of the capacity that this view may grant."""
        return min(1, self.reporting / max(self.alive, 1))


class Decisions(typing.NamedTuple):
    """What one round has decided."""

    granted: list[Granted]
    preempted: list[requests.Request]


class Pool:
    """The state of one pool and its decisions."""

    def __init__(
        self, *, policy: Policy, find_row: intakes.FindRow, now_s: float
    ) -> None:
        """Start empty."""
        self.book = books.Book()
        self.prefixes = prefix.Prefixes()
        self.intake = intakes.Intake(
            book=self.book, find_row=find_row, now_s=now_s
        )
        self.fleet = Fleet(0, 1)
        self.sequence = 0
        self._policy = policy
        self._find_row = find_row

    def list_replicas(self, infos: abc.Sequence[replicas.ReplicaInfo]) -> None:
        """Take the replicas that may be granted now."""
        listed = {info.name: info for info in infos}
        for name, replica in tuple(self.book.replicas.items()):
            replica.info = listed.get(name)
            if replica.info is None and not replica.load.held:
                self.book.replicas.pop(name)
        for name, info in listed.items():
            if name not in self.book.replicas:
                self.book.replicas[name] = replicas.Replica(info=info)
        self.prefixes.retain(self.book.replicas)

    def judge_replicas(self, now_s: float) -> None:
        """Tell stragglers from the rest."""
        common = stragglers.find_common_ratio(
            replica.pace.ratio() for replica in self.book.replicas.values()
        )
        for replica in self.book.replicas.values():
            replica.judge(common=common, now_s=now_s)

    def decide(self, now_s: float) -> Decisions:
        """Grant what can be granted; name whom to cancel for the rest."""
        self._update_blocked()
        turn = _Turn(pool=self, now_s=now_s)
        granted = turn.grant()
        preempted = turn.preempt() if self._policy.limited else []
        return Decisions(granted, preempted)

    def count_room(self) -> int:
        """Return how many more grants the share of capacity allows."""
        listed = [
            replica
            for replica in self.book.replicas.values()
            if replica.info is not None
        ]
        capacity = sum(replica.limit.most for replica in listed)
        most = max(1, math.floor(capacity * self.fleet.share))
        return most - sum(replica.load.held for replica in listed)

    @property
    def limited(self) -> bool:
        """Return whether the policy knows limits and tiers."""
        return self._policy.limited

    def choose(
        self,
        request: requests.Request,
        options: abc.Sequence[placement.Option],
        now_s: float,
    ) -> placement.Choice:
        """Return the policy's choice for a request."""
        return self._policy.choose(measure(request, now_s), options)

    def is_over_limit(self, row: str) -> bool:
        """Return whether a row runs as many requests as it may."""
        found = self._find_row(row)
        if found is None or found.concurrency is None or not self.limited:
            return False
        most = limits.share_count(found.concurrency, self.fleet.share)
        return self.book.count_row_held(row) >= most

    def _update_blocked(self) -> None:
        for row in self.book.queue.list_blocked():
            if not self.is_over_limit(row):
                self.book.queue.unblock(row)


class _Turn:
    """One round of decisions at one time."""

    def __init__(self, *, pool: Pool, now_s: float) -> None:
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
            waiting = self._count_impatient(tier)
            need = max(0, waiting - freeing)
            freeing = max(0, freeing - waiting)
            if need:
                chosen.extend(self._preempt_for(tier, need))
        return chosen

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
                self._pool.intake.refuse(
                    request, outcomes.Reason.DEADLINE_UNREACHABLE, self._now_s
                )
                return True
            if choice.replica:
                self._reserve(choice.replica)
        return False

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
        if not request.ask.prefix or not self._pool.limited:
            return list(self._options.values())
        return [
            option._replace(cached_tokens=self._count_cached(request, name))
            for name, option in self._options.items()
        ]

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

    def _count_impatient(self, tier: int) -> int:
        count = 0
        for request in self._book.queue.walk_arrivals(tier):
            if self._book.queue.is_blocked(request.ask.row):
                continue
            if not self._is_impatient(request):
                break
            count += 1
        return count

    def _is_impatient(self, request: requests.Request) -> bool:
        wanted = measure(request, self._now_s)
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
        victims = preemption.select_victims(
            self._list_victims(tier), tier=tier, need=need
        )
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
                        number, request.work_done, request.request_id
                    )


def measure(request: requests.Request, now_s: float) -> placement.Wanted:
    """Return what placement is to know of a request."""
    return placement.Wanted(
        prompt_tokens=request.ask.prompt_tokens,
        output_tokens=request.ask.output_tokens,
        remaining_s=request.deadline_s - now_s,
        waited_s=now_s - request.arrived_s,
    )
