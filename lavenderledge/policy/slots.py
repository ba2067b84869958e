"""Who gets which slot of a service's replicas, and who is turned away.

Replicas run a fixed number of requests at a time and admit in order of
arrival, so that nothing is sent to one whose slots are taken: requests wait
here, where tiers and objectives are known.
"""

import itertools
import math
import typing
from collections import abc

from lavenderledge.peers import slots
from lavenderledge.policy import pacing, slotqueue

# Of a request's remaining time that must be left when it is granted, as a
# multiple of the expected first byte.
_START_MARGIN: typing.Final = 1.2
# A slot whose release was never heard of is free again after this long
# beyond its request's deadline, seconds.
_LOST_RELEASE_S: typing.Final = 1.0
# Retry-After is at least this, so that no caller returns in a busy loop.
_LEAST_RETRY_S: typing.Final = 0.1


class ReplicaInfo(typing.NamedTuple):
    """One listed replica; ``cold_s`` is how long it remains slow."""

    name: str
    service: str
    address: str
    availability_zone: str
    slots: int
    cold_s: float


class Granted(typing.NamedTuple):
    """A request and the replica it was granted."""

    sender: str
    request_id: str
    replica: str


class Refused(typing.NamedTuple):
    """A request that is turned away."""

    sender: str
    request_id: str
    reason: str
    retry_after_s: float


class Holding(typing.NamedTuple):
    """A slot that is taken; ``until_s`` is when it is free at the latest."""

    sender: str
    replica: str
    tier: int
    since_s: float
    until_s: float


class Replica:
    """One replica's slots and pace."""

    def __init__(self, info: ReplicaInfo, *, now_s: float) -> None:
        """Start with all slots free."""
        self.info = info
        self.held = 0
        self.pace = pacing.Pace(cold_until_s=now_s + info.cold_s)

    def count_free(self, *, share: float) -> int:
        """Return how many slots may be granted here."""
        most = max(1, math.floor(self.info.slots * share))
        return most - self.held


class Service:
    """The replicas of one service and the requests that wait for them."""

    def __init__(self) -> None:
        """Start empty."""
        self.replicas: dict[str, Replica] = {}
        self.queue = slotqueue.SlotQueue()
        self.hold_s = pacing.Mean()

    def count_slots(self) -> int:
        """Return how many requests the service runs at a time."""
        return sum(each.info.slots for each in self.replicas.values())


class Book:
    """Every slot that is taken and every request that waits."""

    def __init__(self) -> None:
        """Start empty."""
        self.services: dict[str, Service] = {}
        self.holdings: dict[str, Holding] = {}
        self.share = 1.0
        self._infos: abc.Sequence[ReplicaInfo] = ()

    def list_replicas(
        self, infos: abc.Sequence[ReplicaInfo], now_s: float
    ) -> None:
        """Take the replicas that may be granted from now on."""
        if infos is self._infos:
            return
        self._infos = infos
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

    def free(self, request_id: str, now_s: float) -> Replica | None:
        """Count a slot as free; return its replica if it is listed."""
        holding = self.holdings.pop(request_id, None)
        if holding is None:
            return None
        for service in self.services.values():
            replica = service.replicas.get(holding.replica)
            if replica is not None:
                replica.held -= 1
                service.hold_s.note(now_s - holding.since_s)
                return replica
        return None

    def free_lost(self, now_s: float) -> None:
        """Free the slots whose requests must have ended long ago."""
        for request_id, holding in tuple(self.holdings.items()):
            if now_s > holding.until_s:
                self.free(request_id, now_s)

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
        return sum(
            1 for each in self.holdings.values() if each.replica == replica
        )


def enqueue(
    book: Book, sender: str, wanted: slots.Wanted, now_s: float
) -> Refused | None:
    """Let a request wait, or refuse it where no slot will come in time."""
    service = book.services.get(wanted.service)
    if service is None or not service.replicas:
        return Refused(sender, wanted.request_id, 'no_upstream', 1.0)
    wait_s = expect_wait(book, service, wanted.tier)
    if wait_s > wanted.remaining_s:
        return Refused(
            sender,
            wanted.request_id,
            'overloaded',
            max(_LEAST_RETRY_S, wait_s - wanted.remaining_s),
        )
    service.queue.add(sender, wanted, now_s)
    return None


def expect_wait(book: Book, service: Service, tier: int) -> float:
    """Return the seconds until a request of a tier would get a slot."""
    capacity = max(1, service.count_slots() * book.share)
    ahead = service.queue.count_up_to(tier)
    held = sum(replica.held for replica in service.replicas.values())
    beyond = ahead + 1 + held - capacity
    return max(0, beyond) / capacity * service.hold_s.read(0)


def decide(book: Book, now_s: float) -> tuple[list[Granted], list[Refused]]:
    """Grant what can be granted, in order; refuse what came to its end."""
    granted: list[Granted] = []
    refused: list[Refused] = []
    for name, service in book.services.items():
        if not service.queue:
            continue
        refused += [
            Refused(each.sender, each.request_id, 'expired', _LEAST_RETRY_S)
            for each in service.queue.pop_expired(now_s)
        ]
        granted += _grant(book, name, service, now_s)
    return granted, refused


def _grant(
    book: Book, name: str, service: Service, now_s: float
) -> list[Granted]:
    free = [
        replica
        for replica in service.replicas.values()
        if replica.count_free(share=book.share) > 0
        and replica.pace.is_open(now_s)
    ]
    granted: list[Granted] = []
    usual_s = pacing.find_usual(
        replica.pace for replica in service.replicas.values()
    )
    passed: list[slotqueue.Waiting] = []
    while free and service.queue:
        waiting = service.queue.pop(now_s)
        chosen = _choose(free, waiting.wanted, usual_s, now_s)
        if chosen is None:
            passed.append(waiting)
            continue
        chosen.pace.note_granted(now_s)
        book.hold(
            waiting.request_id,
            Holding(
                waiting.sender,
                chosen.info.name,
                waiting.wanted.tier,
                now_s,
                waiting.expires_s + _LOST_RELEASE_S,
            ),
            service=name,
        )
        granted.append(
            Granted(waiting.sender, waiting.request_id, chosen.info.name)
        )
        if chosen.count_free(share=book.share) <= 0 or not chosen.pace.is_open(
            now_s
        ):
            free.remove(chosen)
    for waiting in reversed(passed):
        service.queue.put_back(waiting)
    return granted


def _choose(
    free: list[Replica],
    wanted: slots.Wanted,
    usual_s: float,
    now_s: float,
) -> Replica | None:
    """Return the replica on which the request should be over soonest."""
    fitting = [
        replica for replica in free if replica.info.name not in wanted.excluded
    ]
    return min(
        fitting,
        key=lambda replica: (
            replica.pace.expect(usual_s, now_s)
            * (1 + replica.held / max(1, replica.info.slots))
        ),
        default=None,
    )


def list_senders_waiting(book: Book) -> set[str]:
    """Return the instances whose requests wait."""
    return set(
        itertools.chain.from_iterable(
            service.queue.list_senders() for service in book.services.values()
        )
    )
