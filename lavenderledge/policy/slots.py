"""Who gets which slot of a service's replicas, and who is turned away.

Replicas run a fixed number of requests at a time and admit in order of
arrival, so that nothing is sent to one whose slots are taken: requests wait
here, where ranks and objectives are known.
"""

import itertools
import math
import typing
from collections import abc

import xxhash

from lavenderledge.peers import slots
from lavenderledge.policy import pacing, slotqueue

# A slot whose release was never heard of is free again this long after its
# request's deadline, seconds.
_LOST_RELEASE_S: typing.Final = 1.0
# Retry-After lies between these, seconds, and is spread by this part, so that
# callers neither return in a busy loop nor all at once.
_LEAST_RETRY_S: typing.Final = 0.3
_MOST_RETRY_S: typing.Final = 5.0
_RETRY_SPREAD: typing.Final = 0.4
# Assumed until requests have ended, seconds a slot is held.
_DEFAULT_HOLD_S: typing.Final = 0.5
# A full replica takes so much longer than an empty one.
_FULL_FACTOR: typing.Final = 0.5
# Of a time to a first byte so much at least was the request's own: how long
# other prompts took before it is an estimate.
_OWN_PART: typing.Final = 0.2
# Of each line so many are looked at that no free replica suits.
_LOOK_AHEAD: typing.Final = 6
# No request is looked at for lateness more often than this, seconds.
_SORT_INTERVAL_S: typing.Final = 0.02
_POINTS: typing.Final = 1 << 32


class ReplicaInfo(typing.NamedTuple):
    """One listed replica; ``cold_s`` is how long it remains slow."""

    name: str
    service: str
    address: str
    availability_zone: str
    slots: int
    cold_s: float


class Granted(typing.NamedTuple):
    """A request and the replica it was granted, at ``host:port``."""

    sender: str
    request_id: str
    replica: str
    address: str


class Refused(typing.NamedTuple):
    """A request that is turned away."""

    sender: str
    request_id: str
    reason: str
    retry_after_s: float


class Holding(typing.NamedTuple):
    """A slot that is taken; ``until_s`` is when it is free at the latest.

    ``queued_s`` is how long other prompts were to be read before its own.
    """

    sender: str
    replica: str
    tier: int
    prompt_tokens: int
    queued_s: float
    since_s: float
    until_s: float


class Replica:
    """One replica's slots and pace."""

    def __init__(self, info: ReplicaInfo, *, now_s: float) -> None:
        """Start with all slots free."""
        self.info = info
        self.held = 0
        self.pace = pacing.Pace(cold_until_s=now_s + info.cold_s)
        self.reading_until_s = now_s

    def queued_s(self, now_s: float) -> float:
        """Return the seconds until the prompts sent there have been read."""
        return max(0, self.reading_until_s - now_s)

    def is_free(self, *, share: float, now_s: float) -> bool:
        """Return whether a slot may be granted here."""
        most = max(1, math.floor(self.info.slots * share))
        return self.held < most and self.pace.is_open(now_s)


class Service:
    """The replicas of one service and the requests that wait for them."""

    def __init__(self) -> None:
        """Start empty."""
        self.replicas: dict[str, Replica] = {}
        self.queue = slotqueue.SlotQueue()
        self.hold_s = pacing.Mean()
        self.first_byte = pacing.FirstByteLine()
        self.sorted_s = float('-inf')

    def expect_first_s(
        self, replica: Replica, prompt_tokens: int, now_s: float
    ) -> float:
        """Return the seconds to a first byte if granted now."""
        own_s = (
            self.first_byte.expect(prompt_tokens)
            * replica.pace.factor
            * replica.pace.slow_by(now_s)
        )
        return replica.queued_s(now_s) + own_s

    def note_reading(
        self, replica: Replica, prompt_tokens: int, now_s: float
    ) -> None:
        """Count a prompt as being read; prompts are read one by one."""
        reading_s = (
            self.first_byte.expect_reading(prompt_tokens) * replica.pace.factor
        )
        replica.reading_until_s = now_s + replica.queued_s(now_s) + reading_s

    def expect_hold_s(self, replica: Replica, now_s: float) -> float:
        """Return the seconds for which a slot there is held."""
        usual_s = self.hold_s.read(_DEFAULT_HOLD_S)
        hold_s = replica.pace.hold_s.read(usual_s)
        return hold_s * replica.pace.slow_by(now_s)

    def count_rate(self, share: float) -> float:
        """Return how many requests a second the slots get through.

        It is infinite until one has ended: nobody is refused on a guess.
        """
        usual_s = self.hold_s.read(0)
        if not usual_s:
            return float('inf')
        rate = sum(
            replica.info.slots / max(replica.pace.hold_s.read(usual_s), 0.001)
            for replica in self.replicas.values()
        )
        return max(rate * share, 0.001)


class Book:
    """Every slot that is taken and every request that waits."""

    def __init__(self) -> None:
        """Start empty."""
        self.services: dict[str, Service] = {}
        self.holdings: dict[str, Holding] = {}
        self.share = 1.0
        self.is_listed = False
        self._infos: abc.Sequence[ReplicaInfo] = ()

    def list_replicas(
        self, infos: abc.Sequence[ReplicaInfo], now_s: float
    ) -> None:
        """Take the replicas that may be granted from now on."""
        if infos is self._infos:
            return
        self._infos = infos
        self.is_listed = self.is_listed or bool(infos)
        listed: dict[str, dict[str, ReplicaInfo]] = {}
        for info in infos:
            listed.setdefault(info.service, {})[info.name] = info
        for name in listed:
            self.services.setdefault(name, Service())
        for name, service in self.services.items():
            self._relist(service, listed.get(name, {}), now_s)

    def hold(self, request_id: str, holding: Holding, *, service: str) -> None:
        """Count a slot as taken, once."""
        if request_id in self.holdings:
            return
        self.holdings[request_id] = holding
        found = self.services.get(service)
        replica = None if found is None else found.replicas.get(holding.replica)
        if replica is not None:
            replica.held += 1

    def free(self, request_id: str) -> Holding | None:
        """Count a slot as free; return who held it."""
        holding = self.holdings.pop(request_id, None)
        if holding is None:
            return None
        for service in self.services.values():
            replica = service.replicas.get(holding.replica)
            if replica is not None:
                replica.held -= 1
        return holding

    def free_lost(self, now_s: float) -> None:
        """Free the slots whose requests must have ended long ago."""
        for request_id, holding in tuple(self.holdings.items()):
            if now_s > holding.until_s:
                self.free(request_id)

    def note_answer(
        self,
        holding: Holding,
        *,
        first_s: float,
        slowness: float,
        now_s: float,
    ) -> None:
        """Learn from a request that was answered."""
        for service in self.services.values():
            replica = service.replicas.get(holding.replica)
            if replica is None:
                continue
            first_s = max(first_s - holding.queued_s, first_s * _OWN_PART)
            usual_s = service.first_byte.expect(holding.prompt_tokens)
            replica.pace.note_answer(
                ratio=first_s / usual_s if usual_s else 0,
                slowness=slowness,
                now_s=now_s,
            )
            service.first_byte.note(
                holding.prompt_tokens, first_s / replica.pace.factor
            )
            replica.pace.hold_s.note(now_s - holding.since_s)
            service.hold_s.note(now_s - holding.since_s)

    def note_failure(self, holding: Holding, now_s: float) -> None:
        """Learn from a request that its replica failed or turned away."""
        for service in self.services.values():
            replica = service.replicas.get(holding.replica)
            if replica is not None:
                replica.pace.note_failure(now_s)

    def _relist(
        self, service: Service, infos: dict[str, ReplicaInfo], now_s: float
    ) -> None:
        for name in tuple(service.replicas):
            if name not in infos:
                service.replicas.pop(name)
        for name, info in infos.items():
            present = service.replicas.get(name)
            if present is None:
                present = Replica(info, now_s=now_s)
                present.held = self._count_held(name)
                service.replicas[name] = present
            present.info = info

    def _count_held(self, replica: str) -> int:
        return [each.replica for each in self.holdings.values()].count(replica)


def enqueue(
    book: Book, sender: str, wanted: slots.Wanted, now_s: float
) -> Refused | None:
    """Let a request wait, or refuse it where no slot will come in time."""
    if not book.is_listed:
        # A new allocator has not read the list yet; it takes milliseconds.
        book.services.setdefault(wanted.service, Service())
    service = book.services.get(wanted.service)
    if service is None or (book.is_listed and not service.replicas):
        return Refused(sender, wanted.request_id, 'no_upstream', _LEAST_RETRY_S)
    if wanted.request_id in service.queue:
        return None
    waiting = slotqueue.Waiting(
        sender,
        wanted,
        now_s + wanted.objective_left_s,
        now_s + wanted.remaining_s,
    )
    late = wanted.objective_left_s <= 0
    refused = _refuse_hopeless(book, service, waiting, now_s, late=late)
    if refused is not None:
        return refused
    service.queue.add(waiting)
    if late:
        service.queue.demote(waiting)
    return None


def decide(book: Book, now_s: float) -> tuple[list[Granted], list[Refused]]:
    """Grant what can be granted, in order; refuse what is hopeless."""
    granted: list[Granted] = []
    refused: list[Refused] = []
    for name, service in book.services.items():
        if service.queue:
            refused += _sort_out(book, service, now_s)
            granted += _grant(book, name, service, now_s)
    return granted, refused


def list_senders_waiting(book: Book) -> set[str]:
    """Return the instances whose requests wait."""
    return set(
        itertools.chain.from_iterable(
            service.queue.list_senders() for service in book.services.values()
        )
    )


def _sort_out(book: Book, service: Service, now_s: float) -> list[Refused]:
    """Put the late behind, and refuse those whom no slot reaches in time."""
    if now_s - service.sorted_s < _SORT_INTERVAL_S:
        return []
    service.sorted_s = now_s
    refused: list[Refused] = []
    fastest = _find_fastest(service)
    for waiting in service.queue.walk():
        found = None
        if waiting.expires_s <= now_s:
            found = _refuse(book, service, waiting)
        elif not service.queue.is_late(waiting) and _is_late(
            service, waiting, now_s, fastest=fastest
        ):
            service.queue.demote(waiting)
            found = _refuse_hopeless(book, service, waiting, now_s, late=True)
        if found is not None:
            service.queue.remove(waiting.request_id)
            refused.append(found)
    return refused


def _find_fastest(service: Service) -> float:
    """Return the least factor of the replicas' first bytes."""
    return min(
        (replica.pace.factor for replica in service.replicas.values()),
        default=float(0),
    )


def _is_late(
    service: Service,
    waiting: slotqueue.Waiting,
    now_s: float,
    *,
    fastest: float,
) -> bool:
    """Return whether no replica could begin to answer by the objective."""
    first_s = service.first_byte.expect(waiting.wanted.prompt_tokens) * fastest
    return now_s + first_s > waiting.due_s


def _refuse_hopeless(
    book: Book,
    service: Service,
    waiting: slotqueue.Waiting,
    now_s: float,
    *,
    late: bool,
) -> Refused | None:
    place = service.queue.find_place(waiting.wanted.tier, late=late)
    ahead = service.queue.count_before(place)
    wait_s = ahead / service.count_rate(book.share)
    if now_s + wait_s <= waiting.expires_s:
        return None
    return _refuse(book, service, waiting)


def _refuse(
    book: Book, service: Service, waiting: slotqueue.Waiting
) -> Refused:
    """Return a refusal until the present queue should have been served."""
    clear_s = len(service.queue) / service.count_rate(book.share)
    point = xxhash.xxh32_intdigest(waiting.request_id.encode()) / _POINTS
    spread_s = clear_s * (1 + _RETRY_SPREAD * point)
    return Refused(
        waiting.sender,
        waiting.request_id,
        'overloaded',
        min(max(spread_s, _LEAST_RETRY_S), _MOST_RETRY_S),
    )


def _grant(
    book: Book, name: str, service: Service, now_s: float
) -> list[Granted]:
    free = [
        replica
        for replica in service.replicas.values()
        if replica.is_free(share=book.share, now_s=now_s)
    ]
    granted: list[Granted] = []
    unplaced: dict[float, int] = {}
    for waiting in service.queue.walk():
        if not free:
            break
        place = service.queue.read_place(waiting)
        if unplaced.get(place, 0) >= _LOOK_AHEAD:
            continue
        chosen = _choose(service, free, waiting, now_s)
        if chosen is None:
            unplaced[place] = unplaced.get(place, 0) + 1
            continue
        service.queue.remove(waiting.request_id)
        _take(book, name, chosen, waiting, now_s)
        granted.append(
            Granted(
                waiting.sender,
                waiting.request_id,
                chosen.info.name,
                chosen.info.address,
            )
        )
        if not chosen.is_free(share=book.share, now_s=now_s):
            free.remove(chosen)
    return granted


def _take(
    book: Book,
    name: str,
    replica: Replica,
    waiting: slotqueue.Waiting,
    now_s: float,
) -> None:
    wanted = waiting.wanted
    replica.pace.note_granted(now_s)
    queued_s = replica.queued_s(now_s)
    book.services[name].note_reading(replica, wanted.prompt_tokens, now_s)
    book.hold(
        waiting.request_id,
        Holding(
            waiting.sender,
            replica.info.name,
            wanted.tier,
            wanted.prompt_tokens,
            queued_s,
            now_s,
            float('inf'),
        ),
        service=name,
    )


def _choose(
    service: Service,
    free: list[Replica],
    waiting: slotqueue.Waiting,
    now_s: float,
) -> Replica | None:
    """Return the replica on which the request should be over soonest.

    A request that is in time waits on where only replicas are free that
    would make it late.
    """
    wanted = waiting.wanted
    fitting = [
        replica for replica in free if replica.info.name not in wanted.excluded
    ]
    if not service.queue.is_late(waiting):
        left_s = waiting.due_s - now_s
        fitting = [
            replica
            for replica in fitting
            if service.expect_first_s(replica, wanted.prompt_tokens, now_s)
            <= left_s
        ]

    def expect_end(replica: Replica) -> float:
        crowd = replica.held / max(1, replica.info.slots)
        return service.expect_first_s(
            replica, wanted.prompt_tokens, now_s
        ) + service.expect_hold_s(replica, now_s) * (1 + _FULL_FACTOR * crowd)

    return min(fitting, key=expect_end, default=None)
