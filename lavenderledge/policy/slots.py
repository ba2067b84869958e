"""The slots of services' replicas: which are taken, and how fast they are."""

import math
import typing
from collections import abc

from lavenderledge.policy import replicahealth, slotqueue

# Assumed until requests have ended, seconds a slot is held.
_DEFAULT_HOLD_S: typing.Final = 0.5
# Of a time to a first byte so much at least was the request's own: how long
# other prompts took before it is an estimate.
_OWN_PART: typing.Final = 0.2
# Weight of the newest run in a service's part of errors: of some fifty.
_ERRORS_WEIGHT: typing.Final = 0.02
# Times and rates below this count as this, in seconds and a second.
_LEAST: typing.Final = 0.001


class ReplicaInfo(typing.NamedTuple):
    """One listed replica; ``cold_s`` is how long it remains slow."""

    name: str
    service: str
    address: str
    availability_zone: str
    slots: int
    cold_s: float


class HeldSlot(typing.NamedTuple):
    """A slot that is taken.

    ``queued_s`` is how long other prompts were to be read before its own.
    """

    sender: str
    replica: str
    prompt_tokens: int
    queued_s: float
    since_s: float


class Replica:
    """One replica's slots and pace."""

    def __init__(self, info: ReplicaInfo, *, now_s: float) -> None:
        """Start with all slots free."""
        self.info = info
        self.held = 0
        self.health = replicahealth.ReplicaHealth(
            cold_until_s=now_s + info.cold_s
        )
        self.reading_until_s = now_s

    def queued_s(self, now_s: float) -> float:
        """Return the seconds until the prompts sent there have been read."""
        return max(0, self.reading_until_s - now_s)

    def is_free(self, *, share: float, now_s: float) -> bool:
        """Return whether a slot may be granted here."""
        most = max(1, math.floor(self.info.slots * share))
        return self.held < most and self.health.is_available(now_s)


class Service:
    """The replicas of one service and the requests that wait for them."""

    def __init__(self) -> None:
        """Start empty."""
        self.replicas: dict[str, Replica] = {}
        self.queue = slotqueue.SlotQueue()
        self.hold_s = replicahealth.MovingAverage()
        self.first_byte = replicahealth.FirstByteEstimator()
        self.errors = replicahealth.MovingAverage(weight=_ERRORS_WEIGHT)
        self.sorted_s = float('-inf')

    def expect_first_s(
        self, replica: Replica, prompt_tokens: int, now_s: float
    ) -> float:
        """Return the seconds to a first byte if granted now."""
        own_s = (
            self.first_byte.expect(prompt_tokens)
            * replica.health.factor
            * replica.health.slow_by(now_s)
        )
        return replica.queued_s(now_s) + own_s

    def note_reading(
        self, replica: Replica, prompt_tokens: int, now_s: float
    ) -> None:
        """Count a prompt as being read; prompts are read one by one."""
        reading_s = (
            self.first_byte.expect_reading(prompt_tokens)
            * replica.health.factor
        )
        replica.reading_until_s = now_s + replica.queued_s(now_s) + reading_s

    def expect_hold_s(self, replica: Replica, now_s: float) -> float:
        """Return the seconds for which a slot there is held."""
        usual_s = self.hold_s.read(_DEFAULT_HOLD_S)
        hold_s = replica.health.hold_s.read(usual_s)
        return hold_s * replica.health.slow_by(now_s)

    def count_rate(self, share: float) -> float:
        """Return how many requests a second the slots get through.

        It is infinite until one has ended: nobody is refused on a guess.
        """
        usual_s = self.hold_s.read(0)
        if not usual_s:
            return float('inf')
        rate = sum(
            replica.info.slots
            / max(replica.health.hold_s.read(usual_s), _LEAST)
            for replica in self.replicas.values()
        )
        return max(rate * share, _LEAST)


class SlotState:
    """Every slot that is taken and every request that waits."""

    def __init__(self) -> None:
        """Start empty."""
        self.services: dict[str, Service] = {}
        self.held_slots: dict[str, HeldSlot] = {}
        self.share = 1.0
        self.has_replica_list = False
        self._infos: abc.Sequence[ReplicaInfo] = ()

    def set_replicas(
        self, infos: abc.Sequence[ReplicaInfo], now_s: float
    ) -> None:
        """Take the replicas that may be granted from now on."""
        if infos is self._infos:
            return
        self._infos = infos
        self.has_replica_list = self.has_replica_list or bool(infos)
        listed: dict[str, dict[str, ReplicaInfo]] = {}
        for info in infos:
            listed.setdefault(info.service, {})[info.name] = info
        for name in listed:
            self.services.setdefault(name, Service())
        for name, service in self.services.items():
            self._relist(service, listed.get(name, {}), now_s)

    def hold(self, request_id: str, holding: HeldSlot, *, service: str) -> None:
        """Count a slot as taken, once."""
        if request_id in self.held_slots:
            return
        self.held_slots[request_id] = holding
        found = self.services.get(service)
        replica = None if found is None else found.replicas.get(holding.replica)
        if replica is not None:
            replica.held += 1

    def free(self, request_id: str) -> HeldSlot | None:
        """Count a slot as free; return who held it."""
        holding = self.held_slots.pop(request_id, None)
        if holding is None:
            return None
        replica = self.find_replica(holding.replica)
        if replica is not None:
            replica.held -= 1
        return holding

    def find_replica(self, name: str) -> Replica | None:
        """Return a replica by its name, None where it is not listed."""
        service = self._find_service(name)
        return None if service is None else service.replicas[name]

    def note_answer(
        self,
        holding: HeldSlot,
        *,
        first_s: float,
        slowness: float,
        now_s: float,
    ) -> None:
        """Learn from a request that was answered."""
        service = self._find_service(holding.replica)
        if service is None:
            return
        health = service.replicas[holding.replica].health
        own_s = max(first_s - holding.queued_s, first_s * _OWN_PART)
        usual_s = service.first_byte.expect(holding.prompt_tokens)
        health.note_answer(
            ratio=own_s / usual_s if usual_s else 0,
            slowness=slowness,
            now_s=now_s,
        )
        service.first_byte.note(holding.prompt_tokens, own_s / health.factor)
        health.hold_s.note(now_s - holding.since_s)
        service.hold_s.note(now_s - holding.since_s)
        service.errors.note(0)

    def note_failure(self, holding: HeldSlot, now_s: float) -> None:
        """Learn from a request that its replica failed or turned away."""
        replica = self.find_replica(holding.replica)
        if replica is not None:
            replica.health.note_failure(now_s)

    def note_error(self, holding: HeldSlot, now_s: float) -> None:
        """Learn from a request that its replica answered with an error."""
        service = self._find_service(holding.replica)
        if service is not None:
            service.replicas[holding.replica].health.note_error(now_s)
            service.errors.note(1)

    def _find_service(self, replica: str) -> Service | None:
        """Return the service of a replica, None where it is not listed."""
        for service in self.services.values():
            if replica in service.replicas:
                return service
        return None

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
        return [each.replica for each in self.held_slots.values()].count(
            replica
        )
