"""Slots of the services' replicas: which are held, and how fast they are."""

import math
import typing
from collections import abc

from lavenderledge.policy import (
    demand,
    pauserisk,
    replicahealth,
    replicamemory,
    requestpace,
    rollouts,
    slotqueue,
    upstreamnotices,
)

# How long a slot is assumed to be held until requests have ended.
_DEFAULT_HOLD_S: typing.Final = 0.5
# Minimum ratio of a time to first byte that is attributed to the request
# itself, as the wait for other prompts before it is only an estimate.
_MIN_OWN_RATIO: typing.Final = 0.2
# The part of the time left for which a request is kept waiting for a slot in
# which it would be in time, rather than being placed where it would not.
_SOUND_WAIT_RATIO: typing.Final = 0.3
# Weight of the newest request in a service's error ratio: it covers about 50.
_ERRORS_WEIGHT: typing.Final = 0.02
# Weight of the newest request in the mean time for which slots are held.
_WORK_WEIGHT: typing.Final = 0.03
# Lower bound of hold times in seconds and of requests per second.
_EPSILON: typing.Final = 0.001


class ReplicaInfo(typing.NamedTuple):
    """One listed replica; it is slow after its start, for ``cold_s``.

    ``started_ms`` is when it started, in Unix milliseconds, 0 if not known.
    ``version`` is empty if it names none.
    """

    name: str
    service: str
    address: str
    availability_zone: str
    slots: int
    cold_s: float
    started_ms: int = 0
    version: str = ''

    @property
    def upstream(self) -> upstreamnotices.Upstream:
        """Return the replica's identity."""
        return upstreamnotices.Upstream(self.name, self.started_ms)


class HeldSlot(typing.NamedTuple):
    """A slot that a request holds.

    ``prefill_wait_s`` is the estimated wait for other prompts before its own,
    ``parts`` are those of its prompt that other requests may share. ``tier`` is
    None if the request was granted by another allocator. ``load`` is how many
    requests its replica ran when it was granted, with this one. ``tokens`` are
    those of the replica's memory that it is expected to take. ``is_repeat``
    tells later attempts from the first.
    """

    sender: str
    replica: str
    prompt_tokens: int
    prefill_wait_s: float
    since_s: float
    service: str = ''
    parts: frozenset[str] = frozenset()
    tier: int | None = None
    tokens: int = 0
    pause_target_s: float = 0
    load: int = 1
    route: str = ''
    is_repeat: bool = False

    @property
    def is_evidence(self) -> bool:
        """Return whether its outcome tells something of its version."""
        return self.tier is not None and not self.is_repeat


class Replica:
    """One replica's slots and health."""

    def __init__(self, info: ReplicaInfo, *, now_s: float) -> None:
        """Start with all slots free."""
        self.info = info
        self.held = 0
        self.held_tokens = 0
        self.health = replicahealth.ReplicaHealth(
            cold_until_s=now_s + info.cold_s
        )
        self.prefill_until_s = now_s
        self.pace = requestpace.RequestPace()
        self.limit_per_s: float | None = None
        self.is_leaving = False
        self.pause_risk = pauserisk.PauseRisk(slots=info.slots)

    def estimate_prefill_wait_s(self, now_s: float) -> float:
        """Return the seconds until all prompts sent here have been read."""
        return max(0, self.prefill_until_s - now_s)

    def has_free_slot(self, *, share: float, now_s: float) -> bool:
        """Return whether a slot of this allocator's share may be granted."""
        return self.count_free_slots(share=share, now_s=now_s) > 0

    def count_free_slots(self, *, share: float, now_s: float) -> int:
        """Return how many slots of this allocator's share may be granted."""
        if self.is_leaving or not self.health.is_available(now_s):
            return 0
        limit = max(1, math.floor(self.info.slots * share))
        return max(0, limit - self.held) if self.pace.allows(now_s) else 0

    def set_limit(
        self, limit_per_s: float | None, *, share: float, now_s: float
    ) -> None:
        """Set the limit that it names, None without one."""
        self.limit_per_s = limit_per_s
        rate_per_s = None
        if limit_per_s is not None:
            rate_per_s = requestpace.bound_rate(limit_per_s) * share
        self.pace.set_rate(rate_per_s, now_s)

    def count_useful_slots(self, work_s: float) -> float:
        """Return how many slots the limit that it names keeps busy at most."""
        if self.is_leaving:
            return 0
        if self.limit_per_s is None:
            return self.info.slots
        rate_per_s = requestpace.bound_rate(self.limit_per_s)
        return min(self.info.slots, rate_per_s * work_s)


class Service:
    """The replicas of one service and the requests that wait for them."""

    def __init__(self) -> None:
        """Start without replicas and requests."""
        self.replicas: dict[str, Replica] = {}
        self.queue = slotqueue.SlotQueue()
        self.hold_s = replicahealth.MovingAverage()
        self.first_byte = replicahealth.FirstByteEstimator()
        self.error_ratio = replicahealth.MovingAverage(weight=_ERRORS_WEIGHT)
        self.demand = demand.Demand()
        # The ratio of the fastest replica, at the last update of the capacity.
        self.min_first_byte_ratio = float(0)
        self._capacity: float | None = None
        self._work_s = replicahealth.MovingAverage(weight=_WORK_WEIGHT)
        # Slots in which streams are in time, at the last update.
        self.sound_slots = float(0)
        self._rank_work_s: dict[int, replicahealth.MovingAverage] = {}
        self.checked_at_s = float('-inf')
        # Requests that were queued since the last decision.
        self.undecided = 0
        # Which versions get requests, None if all do.
        self.gate: rollouts.Gate | None = None

    def estimate_first_byte_s(
        self, replica: Replica, prompt_tokens: int, now_s: float
    ) -> float:
        """Return the seconds to the first byte of a request granted now."""
        own_s = (
            self.first_byte.estimate(prompt_tokens)
            * replica.health.first_byte_ratio
            * replica.health.estimate_slowdown(now_s)
        )
        return replica.estimate_prefill_wait_s(now_s) + own_s

    def estimate_min_first_byte_s(self, prompt_tokens: int) -> float:
        """Return the seconds to the first byte at the fastest replica."""
        first_s = self.first_byte.estimate(prompt_tokens)
        return first_s * self.min_first_byte_ratio

    def note_prefill(
        self, replica: Replica, prompt_tokens: int, now_s: float
    ) -> None:
        """Add a prompt to those that the replica reads one after another."""
        prefill_s = (
            self.first_byte.estimate_prefill(prompt_tokens)
            * replica.health.first_byte_ratio
        )
        replica.prefill_until_s = (
            now_s + replica.estimate_prefill_wait_s(now_s) + prefill_s
        )

    def estimate_hold_s(self, replica: Replica, now_s: float) -> float:
        """Return for how many seconds a request holds a slot there."""
        service_hold_s = self.hold_s.read(_DEFAULT_HOLD_S)
        hold_s = replica.health.hold_s.read(service_hold_s)
        return hold_s * replica.health.estimate_slowdown(now_s)

    def estimate_work_s(self, tier: int) -> float:
        """Return for how many seconds a request of a rank holds a slot.

        It is 0 until a request has ended, so that none is refused before there
        is a measurement.
        """
        service_work_s = self._work_s.read(0)
        rank_work_s = self._rank_work_s.get(tier)
        return (
            service_work_s
            if rank_work_s is None
            else rank_work_s.read(service_work_s)
        )

    def note_work(self, tier: int | None, hold_s: float) -> None:
        """Record for how long an answered request held its slot."""
        self._work_s.note(hold_s)
        if tier is not None:
            self._rank_work_s.setdefault(
                tier, replicahealth.MovingAverage(weight=_WORK_WEIGHT)
            ).note(hold_s)

    def list_available(self, now_s: float) -> list[Replica]:
        """Return the replicas that get requests, also if all slots are held."""
        return [
            replica
            for replica in self.replicas.values()
            if not replica.is_leaving and replica.health.is_available(now_s)
        ]

    def update_capacity(self, share: float, now_s: float) -> None:
        """Count the useful slots anew, and compare the demand with them."""
        self._capacity = self._count_useful_slots(share, now_s)
        self.min_first_byte_ratio = min(
            (
                replica.health.first_byte_ratio
                for replica in self.replicas.values()
            ),
            default=float(0),
        )
        self.sound_slots = share * sum(
            replica.pause_risk.find_limit(now_s)
            for replica in self.replicas.values()
            if replica.health.is_available(now_s) and not replica.is_leaving
        )
        self.demand.compare(
            self._capacity, self.queue.list_timely_tiers(), now_s
        )

    def read_capacity(self, share: float, now_s: float) -> float:
        """Return the number of useful slots at the last update."""
        if self._capacity is None:
            self.update_capacity(share, now_s)
        return self._capacity or _EPSILON

    def expects_sound_slot(self, ahead: int, left_s: float) -> bool:
        """Return whether a slot in which streams are in time is free soon.

        ``ahead`` requests wait for one before.
        """
        if not self.sound_slots:
            return False
        turn_s = self.hold_s.read(_DEFAULT_HOLD_S) / self.sound_slots
        return (ahead + 1) * turn_s <= left_s * _SOUND_WAIT_RATIO

    def has_slot_left(
        self, excluded: abc.Collection[str], share: float, now_s: float
    ) -> bool:
        """Return whether a slot is free beside those for undecided requests.

        Slots of the excluded replicas do not count.
        """
        free = sum(
            replica.count_free_slots(share=share, now_s=now_s)
            for name, replica in self.replicas.items()
            if name not in excluded and self._is_open(replica, now_s)
        )
        return free > self.undecided

    def _count_useful_slots(self, share: float, now_s: float) -> float:
        """Return how many slots this allocator can keep busy.

        Those of unavailable replicas do not count, unless all of them are:
        each is probed within seconds.
        """
        available = [
            replica
            for replica in self.replicas.values()
            if replica.health.is_available(now_s)
            and self._is_open(replica, now_s)
        ]
        work_s = self._work_s.read(_DEFAULT_HOLD_S)
        useful = sum(
            replica.count_useful_slots(work_s)
            for replica in available or self.replicas.values()
        )
        return max(useful * share, _EPSILON)

    def _is_open(self, replica: Replica, now_s: float) -> bool:
        """Return whether a replica's version gets waiting requests."""
        return self.gate is None or self.gate.counts_capacity(
            replica.info.version, now_s
        )


class SlotState:
    """All held slots and all waiting requests of an allocator.

    ``share`` is the fraction of the slots that this allocator may grant.
    """

    def __init__(self) -> None:
        """Start without replicas and requests."""
        self.services: dict[str, Service] = {}
        self.held_slots: dict[str, HeldSlot] = {}
        self.share = 1.0
        self.has_replica_list = False
        self.memory = replicamemory.MemoryState()
        self.open_gate: rollouts.OpenGate = _open_none
        self._infos: abc.Sequence[ReplicaInfo] = ()
        self._has_notices = False

    def set_replicas(
        self, infos: abc.Sequence[ReplicaInfo], now_s: float
    ) -> None:
        """Replace the list of replicas whose slots may be granted."""
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
            self._update_replicas(service, listed.get(name, {}), now_s)
            service.gate = self.open_gate(
                name, [replica.info for replica in service.replicas.values()]
            )

    def apply_notices(
        self, board: upstreamnotices.NoticeBoard, now_s: float
    ) -> None:
        """Apply what the replicas say of themselves."""
        limits = board.list_limits(now_s)
        departures = board.list_departures(now_s)
        has_notices = bool(limits or departures)
        if not has_notices and not self._has_notices:
            return
        self._has_notices = has_notices
        for service in self.services.values():
            for name, replica in service.replicas.items():
                limit = limits.get(name)
                replica.set_limit(
                    None if limit is None else limit.limit_per_s,
                    share=self.share,
                    now_s=now_s,
                )
                replica.is_leaving = replica.info.upstream in departures

    def hold(self, request_id: str, slot: HeldSlot, *, service: str) -> None:
        """Record a held slot, unless the request holds one already."""
        if request_id in self.held_slots:
            return
        self.held_slots[request_id] = slot
        owner = self.services.get(service)
        replica = None if owner is None else owner.replicas.get(slot.replica)
        if replica is not None:
            replica.held += 1
            replica.held_tokens += slot.tokens

    def free(self, request_id: str) -> HeldSlot | None:
        """Free a request's slot and return it, None if it held none."""
        slot = self.held_slots.pop(request_id, None)
        if slot is None:
            return None
        replica = self.find_replica(slot.replica)
        if replica is not None:
            replica.held -= 1
            replica.held_tokens -= slot.tokens
        return slot

    def find_replica(self, name: str) -> Replica | None:
        """Return a replica by its name, None if it is not listed."""
        service = self._find_service(name)
        return None if service is None else service.replicas[name]

    def list_replicas(self, service: str) -> abc.Collection[Replica]:
        """Return a service's replicas."""
        owner = self.services.get(service)
        return () if owner is None else owner.replicas.values()

    def note_answer(
        self,
        slot: HeldSlot,
        *,
        first_s: float,
        slowness: float,
        now_s: float,
        longest_pause_s: float = 0,
    ) -> None:
        """Record the times of an answered request."""
        service = self._find_service(slot.replica)
        if service is None:
            return
        replica = service.replicas[slot.replica]
        health = replica.health
        if slot.pause_target_s:
            replica.pause_risk.note(
                max(slot.load, replica.held + 1),
                is_late=longest_pause_s > slot.pause_target_s,
                now_s=now_s,
            )
        own_s = max(first_s - slot.prefill_wait_s, first_s * _MIN_OWN_RATIO)
        expected_s = service.first_byte.estimate(slot.prompt_tokens)
        rollouts.note_answer(
            service.gate, replica, slot, (own_s, expected_s), now_s
        )
        health.note_answer(
            ratio=own_s / expected_s if expected_s else 0,
            slowness=slowness,
            now_s=now_s,
        )
        service.first_byte.note(
            slot.prompt_tokens, own_s / health.first_byte_ratio
        )
        health.hold_s.note(now_s - slot.since_s)
        service.hold_s.note(now_s - slot.since_s)
        service.note_work(slot.tier, now_s - slot.since_s)
        service.error_ratio.note(0)

    def note_failure(self, slot: HeldSlot, now_s: float) -> None:
        """Record a request that its replica failed or refused."""
        replica = self.find_replica(slot.replica)
        if replica is not None:
            replica.health.note_failure(now_s)
            self._note_version_failure(replica, slot, now_s)

    def note_error(self, slot: HeldSlot, now_s: float) -> None:
        """Record a request that its replica answered with an error."""
        service = self._find_service(slot.replica)
        if service is not None:
            replica = service.replicas[slot.replica]
            replica.health.note_error(now_s)
            service.error_ratio.note(1)
            self._note_version_failure(replica, slot, now_s)

    def _note_version_failure(
        self, replica: Replica, slot: HeldSlot, now_s: float
    ) -> None:
        gate = self.services[replica.info.service].gate
        rollouts.note_failure(gate, replica, slot, now_s)

    def _find_service(self, replica: str) -> Service | None:
        """Return the service of a replica, None if it is not listed."""
        for service in self.services.values():
            if replica in service.replicas:
                return service
        return None

    def _update_replicas(
        self, service: Service, infos: dict[str, ReplicaInfo], now_s: float
    ) -> None:
        for name in tuple(service.replicas):
            if name not in infos:
                service.replicas.pop(name)
        for name, info in infos.items():
            replica = service.replicas.get(name)
            if replica is None:
                replica = Replica(info, now_s=now_s)
                replica.held = self._count_held(name)
                replica.held_tokens = self._sum_held_tokens(name)
                service.replicas[name] = replica
            if info.slots != replica.info.slots:
                replica.pause_risk = pauserisk.PauseRisk(slots=info.slots)
            replica.info = info

    def _count_held(self, replica: str) -> int:
        return [slot.replica for slot in self.held_slots.values()].count(
            replica
        )

    def _sum_held_tokens(self, replica: str) -> int:
        return sum(
            slot.tokens
            for slot in self.held_slots.values()
            if slot.replica == replica
        )


def _open_none(service: str, infos: abc.Sequence[rollouts.ReplicaInfo]) -> None:
    """Return no gate: all versions get requests."""
