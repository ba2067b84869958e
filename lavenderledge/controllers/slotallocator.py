"""The allocator's side of slots: applies the instances' messages."""

import asyncio
import datetime
import logging
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge import logs
from lavenderledge.controllers import (
    noticecodec,
    quarantinecodec,
    spendingcodec,
)
from lavenderledge.peers import slotmessages as messages
from lavenderledge.policy import (
    crashevidence,
    incarnations,
    replicamemory,
    requestcrashes,
    routes,
    slotgrants,
    slots,
    spending,
    tokenbuckets,
    upstreamnotices,
)

_TICK_MS: typing.Final = 50
TICK: typing.Final = datetime.timedelta(milliseconds=_TICK_MS)
# An instance that has not reported for this long is removed, seconds. Up to
# three reports may be lost before.
REPORT_TIMEOUT_S: typing.Final = 2.0

# Interval of messages to instances with waiting requests, seconds: two fit
# into the requester's ALLOCATOR_TIMEOUT_S.
BEAT_INTERVAL_S: typing.Final = 0.09
# A request that waits by its instance's report, although it was granted a slot
# earlier than this, seconds, has not got the grant.
_GRANT_ARRIVAL_S: typing.Final = 0.2
# The maximum age that is reported, seconds.
_MAX_REPORTED_AGE_S: typing.Final = 3600.0

# A replica is logged as lost after this many consecutive failed requests. A
# single request may fail for a reason of its own.
_MIN_LOST_FAILURES: typing.Final = 2
_MILLISECONDS: typing.Final = 1000
_LOGGER = logging.getLogger(__name__)

# Outcomes of a reading, as sent between instances.
ANSWERED: typing.Final = 0
REFUSED: typing.Final = 1
FAILED: typing.Final = 2
ERROR: typing.Final = 3

Send: typing.TypeAlias = abc.Callable[[str, messages.Message], object]
FindQuota: typing.TypeAlias = abc.Callable[[str], routes.Quota | None]


class Freshness(typing.NamedTuple):
    """The age of an instance's cached state of the store.

    ``age_s`` is the age of the configuration ``version``, ``list_age_s`` that
    of the list of replicas.
    """

    version: int
    age_s: float
    list_age_s: float


def _note_nothing(state: slots.SlotState, now_s: float) -> None:
    """Note no limits."""


class StateReader(typing.NamedTuple):
    """Functions that read cached state of the store.

    Nothing is granted while ``is_catching_up`` returns True. ``note_version``
    gets the versions of the configuration that other instances have.
    ``notices`` holds what replicas say of themselves, to this instance or to
    others. ``build_update`` gets the version that an instance has.
    ``read_token_capacities`` returns the memory of each service's replicas,
    ``note_memory_waits`` gets the requests that begin to wait for it.
    ``note_pause_limits`` gets the state at each tick.
    """

    list_replicas: abc.Callable[[], abc.Sequence[slots.ReplicaInfo]]
    find_quota: FindQuota
    read_freshness: abc.Callable[[], Freshness]
    is_catching_up: abc.Callable[[], bool]
    note_version: abc.Callable[[int], None]
    notices: upstreamnotices.NoticeBoard
    build_update: abc.Callable[[int], messages.ConfigurationUpdate | None]
    read_token_capacities: abc.Callable[[], abc.Mapping[str, int]] = dict
    note_memory_waits: abc.Callable[
        [abc.Iterable[replicamemory.Wait]], object
    ] = tuple
    note_pause_limits: abc.Callable[[slots.SlotState, float], object] = (
        _note_nothing
    )


class _Sender:
    def __init__(self, *, incarnation: int, now_s: float) -> None:
        self.incarnation = incarnation
        self.sequence = -1
        self.received_s = now_s
        self.stamp_s: float | None = None
        self.version = 0

    def note_stamp(self, stamp_s: float) -> None:
        """Keep the newest stamp; messages may arrive out of order."""
        if self.stamp_s is None or stamp_s > self.stamp_s:
            self.stamp_s = stamp_s


class SlotAllocator:
    """Grants slots to the requests of all instances that report here."""

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
        read_incarnation: abc.Callable[[], int],
    ) -> None:
        """Start empty; ``on_peer_address`` gets the senders' addresses."""
        self.slot_state = slots.SlotState()
        self._instance = instance
        self._clock = clock
        self._send = send
        self._state_reader = state_reader
        self._on_peer_address = on_peer_address
        self._count_alive = count_alive
        self._read_incarnation = read_incarnation
        self._evidence = crashevidence.CrashEvidence()
        self._request_crashes = requestcrashes.RequestCrashes()
        self._buckets = tokenbuckets.TokenBuckets(tolerance=tolerance)
        self._senders: dict[str, _Sender] = {}
        self._decision_scheduled = False
        self._beats_sent_s = float('-inf')

    def receive(
        self, message: messages.Ask | messages.Release | messages.Report
    ) -> None:
        """Apply an instance's message; stale ones are ignored."""
        now_s = self._clock.read_monotonic()
        sender = self._find_sender(message.sender, message.incarnation, now_s)
        if sender is None:
            return
        self.slot_state.set_replicas(self._state_reader.list_replicas(), now_s)
        match message:
            case messages.Ask():
                sender.note_stamp(message.stamp_s)
                self._apply_request(message, now_s)
            case messages.Release():
                self._apply_release(message, now_s)
            case messages.Report():
                self._apply_report(sender, message, now_s)
        self._schedule_decision()

    def tick(self) -> None:
        """Remove silent instances, decide, and send beats that are due."""
        now_s = self._clock.read_monotonic()
        self._remove_silent_senders(now_s)
        if not self._senders:
            return
        self.slot_state.set_replicas(self._state_reader.list_replicas(), now_s)
        self._buckets.drop_idle(now_s)
        self._judge_crashes(now_s)
        self._state_reader.note_pause_limits(self.slot_state, now_s)
        self._decide()
        if now_s - self._beats_sent_s < BEAT_INTERVAL_S:
            return
        self._beats_sent_s = now_s
        for name in slotgrants.list_waiting_senders(self.slot_state):
            self._send_beat(name)

    def notify_all(self) -> None:
        """Send a beat to every instance that reports here."""
        for name in self._senders:
            self._send_beat(name)

    def list_spendings(self) -> abc.Sequence[spending.Spending]:
        """Return the quotas' spendings in the last window, without waiters."""
        waiting: set[str] = set()
        for service in self.slot_state.services.values():
            for name in self._senders:
                waiting.update(service.queue.list_ids(name))
        listed = self._buckets.list_spendings(self._clock.read_monotonic())
        return [spent for spent in listed if spent.request_id not in waiting]

    def list_request_quarantines(
        self,
    ) -> abc.Sequence[requestcrashes.Quarantine]:
        """Return the quarantines of requests in force."""
        now_s = self._clock.read_monotonic()
        return self._request_crashes.list_quarantines(now_s)

    def merge_request_quarantine(
        self, quarantine: requestcrashes.Quarantine
    ) -> None:
        """Take over a request's quarantine, and tell all instances."""
        self._request_crashes.merge(quarantine)
        self.notify_all()

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

        former_count = len(self._senders)
        sender = incarnations.admit(
            self._senders,
            name,
            incarnation,
            forget=lambda former: self._remove_sender(former, now_s),
            make=make,
        )
        if len(self._senders) != former_count:
            self._update_share()
        return sender

    def _apply_request(self, message: messages.Ask, now_s: float) -> None:
        spec = message.spec
        if slotgrants.renew(self.slot_state, spec):
            return
        self.slot_state.free(spec.request_id)
        retry_after_s = self._charge(spec, now_s)
        if retry_after_s > 0:
            self._refuse(
                slotgrants.Refused(
                    message.sender,
                    spec.request_id,
                    'quota',
                    retry_after_s,
                    spec.customer,
                    0,
                )
            )
            return
        refused = slotgrants.enqueue(
            self.slot_state, message.sender, spec, now_s
        )
        if refused is not None:
            self._refuse(refused)

    def _charge(self, spec: messages.RequestSpec, now_s: float) -> float:
        quota = self._state_reader.find_quota(spec.customer)
        if quota is None or not spec.cost:
            return 0
        return self._buckets.take(
            spec.customer,
            quota,
            spec.cost,
            request_id=spec.request_id,
            share=self.slot_state.share,
            now_s=now_s,
        )

    def preview_quota(
        self, spec: messages.RequestSpec, *, share: float
    ) -> tokenbuckets.QuotaLevel | None:
        """Return what is left of a request's quota here, None without one."""
        quota = self._state_reader.find_quota(spec.customer)
        if quota is None or quota.rate <= 0:
            return None
        return self._buckets.preview(
            spec.customer,
            quota,
            spec.cost,
            share=share,
            now_s=self._clock.read_monotonic(),
        )

    def _apply_release(self, release: messages.Release, now_s: float) -> None:
        for service in self.slot_state.services.values():
            waiting = service.queue.remove(release.request_id)
            if waiting is not None and release.refund:
                self._buckets.refund(
                    waiting.spec.customer,
                    release.refund,
                    request_id=release.request_id,
                )
        holding = self.slot_state.free(release.request_id)
        reading = release.reading
        if holding is None or reading is None:
            return
        replica = self.slot_state.find_replica(holding.replica)
        former_failures = replica.health.failures if replica else 0
        self._apply_reading(holding, reading, now_s)
        if replica is not None:
            self._log_failing(replica, former_failures)

    def _apply_reading(
        self, holding: slots.HeldSlot, reading: messages.Reading, now_s: float
    ) -> None:
        if reading.outcome == ANSWERED:
            if not reading.is_continuation:
                self._evidence.note_answered(
                    holding.service, holding.parts, now_s
                )
            self.slot_state.note_answer(
                holding,
                first_s=reading.first_s,
                slowness=reading.slowness,
                now_s=now_s,
                longest_pause_s=reading.longest_pause_s,
            )
        elif reading.outcome == ERROR:
            self.slot_state.note_error(holding, now_s)
        else:
            self.slot_state.note_failure(holding, now_s)

    def _log_failing(
        self, replica: slots.Replica, former_failures: int
    ) -> None:
        """Log that a replica begins to fail requests, or answers again."""
        failures = replica.health.failures
        name = replica.info.name
        if former_failures < _MIN_LOST_FAILURES <= failures:
            self._log('upstream_lost', replica=name, failures=failures)
        elif former_failures >= _MIN_LOST_FAILURES and not failures:
            self._log('upstream_regained', replica=name)

    def _apply_report(
        self, sender: _Sender, report: messages.Report, now_s: float
    ) -> None:
        if report.sequence <= sender.sequence:
            return
        sender.sequence = report.sequence
        sender.received_s = now_s
        sender.note_stamp(report.stamp_s)
        sender.version = report.version
        self._state_reader.note_version(report.version)
        noticecodec.merge(self._state_reader.notices, report.notices, now_s)
        held = {slot.request_id: slot for slot in report.held}
        waiting = set(report.waiting)
        self._remove_other_requests(
            report.sender, held=held.keys(), waiting=waiting
        )
        for request_id, slot in held.items():
            self.slot_state.hold(
                request_id,
                slots.HeldSlot(
                    report.sender,
                    slot.replica,
                    0,
                    0,
                    now_s,
                    tokens=slot.tokens,
                ),
                service=slot.service,
            )
        self._buckets.merge(
            spendingcodec.decode(report.spendings, now_s), now_s
        )
        for request_id in report.waiting:
            self._confirm_waiting(report.sender, request_id, now_s)
        self._note_evidence(report, now_s)
        self._on_peer_address(report.sender, report.address)
        self._send_beat(report.sender)

    def _confirm_waiting(
        self, sender: str, request_id: str, now_s: float
    ) -> None:
        """Repeat a grant, or ask for a request, that was lost on the way."""
        holding = self.slot_state.held_slots.get(request_id)
        if holding is not None:
            if now_s - holding.since_s > _GRANT_ARRIVAL_S:
                self._repeat_grant(request_id, holding)
            return
        services = self.slot_state.services.values()
        if any(request_id in service.queue for service in services):
            return
        self._send(
            sender,
            messages.Refusal(
                self._instance, request_id, messages.UNKNOWN_REQUEST, 0
            ),
        )

    def _repeat_grant(self, request_id: str, holding: slots.HeldSlot) -> None:
        replica = self.slot_state.find_replica(holding.replica)
        if replica is None:
            return
        self._send_grant(
            slotgrants.Granted(
                holding.sender,
                request_id,
                holding.replica,
                replica.info.address,
                replica.info.started_ms,
            )
        )

    def _note_evidence(self, report: messages.Report, now_s: float) -> None:
        for run in report.lost_runs:
            self._evidence.note_lost(
                crashevidence.LostRun(
                    run.request_id,
                    run.service,
                    run.replica,
                    frozenset(run.parts),
                    now_s - run.age_s,
                    has_begun=run.has_begun,
                )
            )
            if run.digest:
                self._request_crashes.note_lost(
                    run.digest,
                    requestcrashes.Crash(run.replica, now_s - run.age_s),
                )
        for answered in report.answered:
            self._request_crashes.note_answered(
                answered.digest, now_s - answered.age_s
            )
        for request_quarantine in quarantinecodec.decode(
            report.request_quarantines, now_s
        ):
            self._request_crashes.merge(request_quarantine)
        for quarantine in report.quarantines:
            self._evidence.merge(
                crashevidence.Quarantine(
                    quarantine.service,
                    frozenset(quarantine.parts),
                    now_s + quarantine.left_s,
                )
            )

    def _judge_crashes(self, now_s: float) -> None:
        """Quarantine prompts that crash replicas, and tell all instances."""
        imposed = self._evidence.judge(now_s)
        for quarantine in imposed:
            self._log(
                'prompt_quarantined',
                level=logging.WARNING,
                service=quarantine.service,
                parts=','.join(sorted(quarantine.parts)),
                replicas=','.join(self._evidence.list_crashed(quarantine)),
            )
        verdict = self._request_crashes.judge(now_s)
        for request_quarantine in verdict.imposed:
            digest = request_quarantine.digest
            self._log(
                'request_quarantined',
                level=logging.WARNING,
                digest=digest,
                replicas=','.join(self._request_crashes.list_crashed(digest)),
                for_s=round(request_quarantine.until_s - now_s),
            )
        for withdrawn in verdict.withdrawn:
            self._log('request_released', digest=withdrawn)
        if imposed or verdict.imposed or verdict.withdrawn:
            self.notify_all()

    def _list_quarantines(self) -> tuple[messages.Quarantine, ...]:
        now_s = self._clock.read_monotonic()
        listed = self._evidence.list_quarantines(now_s)
        return tuple(
            messages.Quarantine(
                quarantine.service,
                tuple(sorted(quarantine.parts)),
                quarantine.until_s - now_s,
            )
            for quarantine in listed[-messages.MAX_QUARANTINES :]
        )

    def _send_beat(self, name: str) -> None:
        sender = self._senders.get(name)
        freshness = self._state_reader.read_freshness()
        now_s = self._clock.read_monotonic()
        self._send(
            name,
            messages.Beat(
                self._instance,
                None if sender is None else sender.stamp_s,
                freshness.version,
                min(freshness.age_s, _MAX_REPORTED_AGE_S),
                min(freshness.list_age_s, _MAX_REPORTED_AGE_S),
                self._list_quarantines(),
                noticecodec.encode(self._state_reader.notices, now_s),
                self._build_update(sender, freshness.version),
                self._read_incarnation(),
                quarantinecodec.encode(self.list_request_quarantines(), now_s),
            ),
        )

    def _build_update(
        self, sender: _Sender | None, version: int
    ) -> messages.ConfigurationUpdate | None:
        """Return an update for an instance that reported an older version.

        It is sent again if the next report still has that version.
        """
        if sender is None or sender.version >= version:
            return None
        update = self._state_reader.build_update(sender.version)
        sender.version = version
        return update

    def _remove_silent_senders(self, now_s: float) -> None:
        for name, sender in tuple(self._senders.items()):
            if now_s - sender.received_s > REPORT_TIMEOUT_S:
                self._remove_sender(name, now_s)
        self._update_share()

    def _remove_sender(self, name: str, now_s: float) -> None:
        self._senders.pop(name)
        self._remove_other_requests(name, held=frozenset(), waiting=frozenset())

    def _remove_other_requests(
        self, name: str, *, held: abc.Set[str], waiting: abc.Set[str]
    ) -> None:
        """Remove an instance's requests except these.

        A request that it reports as waiting may hold a new grant, which stays.
        """
        kept = held | waiting
        for request_id, holding in tuple(self.slot_state.held_slots.items()):
            if holding.sender == name and request_id not in kept:
                self.slot_state.free(request_id)
        for service in self.slot_state.services.values():
            for waiting_id in service.queue.list_ids(name):
                if waiting_id not in waiting:
                    service.queue.remove(waiting_id)

    def _update_share(self) -> None:
        alive = max(self._count_alive(), 1)
        self.slot_state.share = min(1.0, len(self._senders) / alive)

    def _schedule_decision(self) -> None:
        """Decide once for all messages of this event loop iteration."""
        if not self._decision_scheduled:
            self._decision_scheduled = True
            asyncio.get_running_loop().call_soon(self._decide)

    def _decide(self) -> None:
        self._decision_scheduled = False
        if self._state_reader.is_catching_up():
            return
        now_s = self._clock.read_monotonic()
        self.slot_state.apply_notices(self._state_reader.notices, now_s)
        memory = self.slot_state.memory
        memory.capacities = self._state_reader.read_token_capacities()
        granted, refused = slotgrants.decide(self.slot_state, now_s)
        self._state_reader.note_memory_waits(memory.take_new_waits())
        for grant in granted:
            self._log_decision(
                'slot_granted',
                id=grant.request_id,
                sender=grant.sender,
                replica=grant.replica,
            )
            self._send_grant(grant)
        for refusal in refused:
            self._refuse(refusal)

    def _send_grant(self, grant: slotgrants.Granted) -> None:
        stamp_s = self._senders[grant.sender].stamp_s
        assert stamp_s is not None
        list_age_s = self._state_reader.read_freshness().list_age_s
        self._send(
            grant.sender,
            messages.Grant(
                self._instance,
                grant.request_id,
                grant.replica,
                grant.address,
                stamp_s,
                min(list_age_s, _MAX_REPORTED_AGE_S),
                grant.started_ms,
            ),
        )

    def _refuse(self, refused: slotgrants.Refused) -> None:
        if refused.cost:
            self._buckets.refund(
                refused.customer, refused.cost, request_id=refused.request_id
            )
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
        """Log a decision and the state that it is based on, at debug level."""
        if not _LOGGER.isEnabledFor(logging.DEBUG):
            return
        list_age_s = self._state_reader.read_freshness().list_age_s
        self._log(
            event,
            level=logging.DEBUG,
            **fields,
            share=round(self.slot_state.share, 2),
            list_age_ms=round(
                min(list_age_s, _MAX_REPORTED_AGE_S) * _MILLISECONDS
            ),
        )

    def _log(
        self, event: str, *, level: int = logging.INFO, **fields: object
    ) -> None:
        logs.write_event(
            _LOGGER, event, level=level, instance=self._instance, **fields
        )
