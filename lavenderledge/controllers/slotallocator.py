"""The allocating side of slots: what instances say, put into the book."""

import asyncio
import datetime
import logging
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge import logs
from lavenderledge.peers import slotmessages as messages
from lavenderledge.policy import (
    incarnations,
    routes,
    slotgrants,
    slots,
    tokenbuckets,
)

_TICK_MS: typing.Final = 50
TICK: typing.Final = datetime.timedelta(milliseconds=_TICK_MS)
# An instance that has not reported for so long is forgotten, seconds; three
# reports may be lost before.
REPORT_TIMEOUT_S: typing.Final = 2.0

# Those whose requests wait hear from the allocator so often, seconds: twice
# within the patience of their instances.
BEAT_INTERVAL_S: typing.Final = 0.09
# Ages are told up to this, seconds.
_MOST_AGE_S: typing.Final = 3600.0

# A replica that failed so many requests in a row is told as lost: a single one
# may fail for a reason of its own.
_LOST_FAILURES: typing.Final = 2
_MILLISECONDS: typing.Final = 1000
_LOGGER = logging.getLogger(__name__)

# Outcomes of a reading, as they go between instances.
ANSWERED: typing.Final = 0
REFUSED: typing.Final = 1
FAILED: typing.Final = 2
ERROR: typing.Final = 3

Send: typing.TypeAlias = abc.Callable[[str, messages.Message], object]
FindQuota: typing.TypeAlias = abc.Callable[[str], routes.Quota | None]


class Freshness(typing.NamedTuple):
    """How well an instance knows what the store holds.

    ``age_s`` is that of the configuration ``version``, ``list_age_s`` that of
    the list of replicas.
    """

    version: int
    age_s: float
    list_age_s: float


class StateReader(typing.NamedTuple):
    """What an allocator is told of the outside.

    Nothing is granted while ``is_catching_up``.
    """

    list_replicas: abc.Callable[[], abc.Sequence[slots.ReplicaInfo]]
    find_quota: FindQuota
    read_freshness: abc.Callable[[], Freshness]
    is_catching_up: abc.Callable[[], bool]


class _Sender:
    def __init__(self, *, incarnation: int, now_s: float) -> None:
        self.incarnation = incarnation
        self.sequence = -1
        self.heard_s = now_s
        self.stamp_s: float | None = None


class SlotAllocator:
    """Grants slots to the requests of all instances that ask here."""

    def __init__(
        self,
        *,
        instance: str,
        clock: clocks.Clock,
        send: Send,
        state_reader: StateReader,
        count_alive: abc.Callable[[], int],
        tolerance: tokenbuckets.Tolerance,
        on_peer_address: abc.Callable[[str, str], None],
    ) -> None:
        """Hold nothing yet; ``introduce`` gets reporters' addresses."""
        self.slot_state = slots.SlotState()
        self._instance = instance
        self._clock = clock
        self._send = send
        self._state_reader = state_reader
        self._on_peer_address = on_peer_address
        self._count_alive = count_alive
        self._buckets = tokenbuckets.TokenBuckets(tolerance=tolerance)
        self._senders: dict[str, _Sender] = {}
        self._due = False
        self._beaten_s = float('-inf')

    def receive(
        self, message: messages.Ask | messages.Release | messages.Report
    ) -> None:
        """Take an instance's message; stale ones change nothing."""
        now_s = self._clock.read_monotonic()
        sender = self._find_sender(message.sender, message.incarnation, now_s)
        if sender is None:
            return
        self.slot_state.set_replicas(self._state_reader.list_replicas(), now_s)
        match message:
            case messages.Ask():
                self._take_ask(message, now_s)
            case messages.Release():
                self._take_release(message, now_s)
            case messages.Report():
                self._take_report(sender, message, now_s)
        self._decide_soon()

    def tick(self) -> None:
        """Decide, forget who is silent, tell those that wait."""
        now_s = self._clock.read_monotonic()
        self._forget_silent(now_s)
        if not self._senders:
            return
        self.slot_state.set_replicas(self._state_reader.list_replicas(), now_s)
        self._buckets.drop_idle(now_s)
        self._decide()
        if now_s - self._beaten_s < BEAT_INTERVAL_S:
            return
        self._beaten_s = now_s
        for name in slotgrants.list_waiting_senders(self.slot_state):
            self._beat(name)

    def notify_all(self) -> None:
        """Tell every instance that reports here what is known now."""
        for name in self._senders:
            self._beat(name)

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await self._clock.sleep(TICK)

    def _find_sender(
        self, name: str, incarnation: int, now_s: float
    ) -> _Sender | None:
        def make() -> _Sender:
            return _Sender(incarnation=incarnation, now_s=now_s)

        known = len(self._senders)
        sender = incarnations.admit(
            self._senders,
            name,
            incarnation,
            forget=lambda former: self._forget(former, now_s),
            make=make,
        )
        if len(self._senders) != known:
            self._update_share()
        return sender

    def _take_ask(self, ask: messages.Ask, now_s: float) -> None:
        wanted = ask.spec
        self.slot_state.free(wanted.request_id)
        retry_after_s = self._charge(wanted, now_s)
        if retry_after_s > 0:
            self._refuse(
                slotgrants.Refused(
                    ask.sender, wanted.request_id, 'quota', retry_after_s
                )
            )
            return
        refused = slotgrants.enqueue(self.slot_state, ask.sender, wanted, now_s)
        if refused is not None:
            self._buckets.refund(wanted.customer, wanted.cost)
            self._refuse(refused)

    def _charge(self, wanted: messages.RequestSpec, now_s: float) -> float:
        quota = self._state_reader.find_quota(wanted.customer)
        if quota is None or not wanted.cost:
            return 0
        return self._buckets.take(
            wanted.customer,
            quota,
            wanted.cost,
            share=self.slot_state.share,
            now_s=now_s,
        )

    def _take_release(self, release: messages.Release, now_s: float) -> None:
        for service in self.slot_state.services.values():
            waiting = service.queue.remove(release.request_id)
            if waiting is not None and release.refund:
                self._buckets.refund(waiting.spec.customer, release.refund)
        holding = self.slot_state.free(release.request_id)
        reading = release.reading
        if holding is None or reading is None:
            return
        replica = self.slot_state.find_replica(holding.replica)
        before = replica.health.failures if replica else 0
        self._learn(holding, reading, now_s)
        if replica is not None:
            self._tell_failing(replica, before)

    def _learn(
        self, holding: slots.HeldSlot, reading: messages.Reading, now_s: float
    ) -> None:
        if reading.outcome == ANSWERED:
            self.slot_state.note_answer(
                holding,
                first_s=reading.first_s,
                slowness=reading.slowness,
                now_s=now_s,
            )
        elif reading.outcome == ERROR:
            self.slot_state.note_error(holding, now_s)
        else:
            self.slot_state.note_failure(holding, now_s)

    def _tell_failing(self, replica: slots.Replica, before: int) -> None:
        """Log that a replica began to fail requests, or answers again."""
        failures = replica.health.failures
        name = replica.info.name
        if before < _LOST_FAILURES <= failures:
            self._log('upstream_lost', replica=name, failures=failures)
        elif before >= _LOST_FAILURES and not failures:
            self._log('upstream_regained', replica=name)

    def _take_report(
        self, sender: _Sender, report: messages.Report, now_s: float
    ) -> None:
        if report.sequence <= sender.sequence:
            return
        sender.sequence = report.sequence
        sender.heard_s = now_s
        sender.stamp_s = report.stamp_s
        held = {each.request_id: each for each in report.held}
        waiting = set(report.waiting)
        self._keep_only(report.sender, held=held.keys(), waiting=waiting)
        for request_id, each in held.items():
            self.slot_state.hold(
                request_id,
                slots.HeldSlot(
                    report.sender,
                    each.replica,
                    0,
                    0,
                    now_s,
                ),
                service=each.service,
            )
        self._on_peer_address(report.sender, report.address)
        self._beat(report.sender)

    def _beat(self, name: str) -> None:
        sender = self._senders.get(name)
        known = self._state_reader.read_freshness()
        self._send(
            name,
            messages.Beat(
                self._instance,
                None if sender is None else sender.stamp_s,
                known.version,
                min(known.age_s, _MOST_AGE_S),
                min(known.list_age_s, _MOST_AGE_S),
            ),
        )

    def _forget_silent(self, now_s: float) -> None:
        for name, sender in tuple(self._senders.items()):
            if now_s - sender.heard_s > REPORT_TIMEOUT_S:
                self._forget(name, now_s)
        self._update_share()

    def _forget(self, name: str, now_s: float) -> None:
        self._senders.pop(name)
        self._keep_only(name, held=frozenset(), waiting=frozenset())

    def _keep_only(
        self, name: str, *, held: abc.Set[str], waiting: abc.Set[str]
    ) -> None:
        """Drop all of an instance's requests but these.

        One that it still waits for may have been granted meanwhile.
        """
        kept = held | waiting
        for request_id, holding in tuple(self.slot_state.held_slots.items()):
            if holding.sender == name and request_id not in kept:
                self.slot_state.free(request_id)
        for service in self.slot_state.services.values():
            for waiting_id in service.queue.list_requests(name):
                if waiting_id not in waiting:
                    service.queue.remove(waiting_id)

    def _update_share(self) -> None:
        alive = max(self._count_alive(), 1)
        self.slot_state.share = min(1.0, len(self._senders) / alive)

    def _decide_soon(self) -> None:
        """Decide once for all messages of this turn of the loop."""
        if not self._due:
            self._due = True
            asyncio.get_running_loop().call_soon(self._decide)

    def _decide(self) -> None:
        self._due = False
        if self._state_reader.is_catching_up():
            return
        granted, refused = slotgrants.decide(
            self.slot_state, self._clock.read_monotonic()
        )
        for each in granted:
            self._log_decision(
                'slot_granted',
                id=each.request_id,
                sender=each.sender,
                replica=each.replica,
            )
            self._send(
                each.sender,
                messages.Grant(
                    self._instance, each.request_id, each.replica, each.address
                ),
            )
        for turned_away in refused:
            self._refuse(turned_away)

    def _refuse(self, refused: slotgrants.Refused) -> None:
        self._log_decision(
            'slot_refused',
            id=refused.request_id,
            sender=refused.sender,
            reason=refused.reason,
            retry_after_ms=round(refused.retry_after_s * _MILLISECONDS),
        )
        self._send(
            refused.sender,
            messages.Refusal(
                self._instance,
                refused.request_id,
                refused.reason,
                refused.retry_after_s,
            ),
        )

    def _log_decision(self, event: str, **fields: object) -> None:
        """Tell a decision with what it rested on, when debugging."""
        if not _LOGGER.isEnabledFor(logging.DEBUG):
            return
        list_age_s = self._state_reader.read_freshness().list_age_s
        self._log(
            event,
            level=logging.DEBUG,
            **fields,
            share=round(self.slot_state.share, 2),
            list_age_ms=round(min(list_age_s, _MOST_AGE_S) * _MILLISECONDS),
        )

    def _log(
        self, event: str, *, level: int = logging.INFO, **fields: object
    ) -> None:
        logs.write_event(
            _LOGGER, event, level=level, instance=self._instance, **fields
        )
