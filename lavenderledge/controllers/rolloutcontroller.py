"""Controls roll-outs: keeps their records and writes their status."""

import asyncio
import datetime
import logging
import typing
from collections import abc

import expression

from lavenderledge import clock as clocks
from lavenderledge import logs
from lavenderledge.controllers import rolloutboard
from lavenderledge.policy import rolloutevidence, rollouts, slots
from lavenderledge.registry import store as stores

_TICK_MS: typing.Final = 100
_TICK: typing.Final = datetime.timedelta(milliseconds=_TICK_MS)
_RENEWAL_INTERVAL_S: typing.Final = 1.0
# New replicas are granted for this long after a renewal was sent. A grant is
# used within 0.6 s, so none is left when another instance takes over.
_CONTROL_S: typing.Final = 1.5
_TAKEOVER_S: typing.Final = 2.5
# A call without an answer is repeated after this time, so that one lost
# answer fits into the margin before a deadline.
_CALL_TIMEOUT_S: typing.Final = 0.4
_RETRY_S: typing.Final = 0.2
_MAX_RETRY_S: typing.Final = 1.6
# After a restart of all instances, the wall clock tells how long the record
# was without a controller. A greater difference is taken for a wrong clock.
_MAX_GAP_S: typing.Final = 60.0
# Versions that were reverted before and have no replica are forgotten beyond
# this number.
_MAX_BARRED: typing.Final = 32
# A controller that starts has read the list of replicas after this time.
_MAX_LISTING_S: typing.Final = 1.0
_MILLISECONDS: typing.Final = 1000
_LOGGER = logging.getLogger(__name__)

Count: typing.TypeAlias = abc.Callable[..., None]


class Fleet(typing.NamedTuple):
    """What a controller knows of its instance and the replicas.

    ``list_replicas`` returns a service's replicas, as the allocator has them.
    """

    instance: str
    read_incarnation: abc.Callable[[], int]
    is_allocating: abc.Callable[[], bool]
    list_replicas: abc.Callable[[str], abc.Collection[slots.Replica]]


class _Held:
    """A roll-out that this instance controls.

    ``verdict`` is why it is reverted, at ``verdict_s``. ``is_doubtful`` tells
    that the last write, of ``record`` at ``sent_s``, may have taken effect. A
    former controller's record is replaced at ``revision``.
    """

    def __init__(self, control: rollouts.Control, revision: int) -> None:
        self.control = control
        self.revision = revision
        self.renewed_s = float('-inf')
        self.retry_s = float('-inf')
        self.verdict = ''
        self.verdict_s = float('-inf')
        self.is_doubtful = False
        self.is_new = True
        self.record: rollouts.Record | None = None
        self.sent_s = float('-inf')
        self._pause_s = _RETRY_S

    def back_off(self, now_s: float) -> None:
        """Repeat a failed call later, at first soon enough for a deadline."""
        self.retry_s = now_s + self._pause_s
        self._pause_s = min(2 * self._pause_s, _MAX_RETRY_S)

    def note_saved(self) -> None:
        """Begin with short pauses again."""
        self._pause_s = _RETRY_S


class RolloutController:
    """Controls the roll-outs of the services while its instance allocates."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        board: rolloutboard.RolloutBoard,
        store: stores.Store,
        clock: clocks.Clock,
        count: Count,
    ) -> None:
        """Start without control of any roll-out."""
        self._fleet = fleet
        self._board = board
        self._store = store
        self._clock = clock
        self._count = count
        self._held: dict[str, _Held] = {}
        self._has_failed = False

    async def run(self) -> None:
        """Control the roll-outs until cancelled."""
        while True:
            await self.update()
            await self._clock.sleep(_TICK)

    async def update(self) -> None:
        """Take the next step of each roll-out."""
        self._board.check_loading()
        if not self._board.is_current:
            return
        pending = self._board.list_rollouts()
        if pending:
            await asyncio.gather(*(self._step(rollout) for rollout in pending))

    async def _step(self, rollout: rolloutboard.Rollout) -> None:
        held = self._held.get(rollout.service)
        if not self._fleet.is_allocating():
            if held is not None:
                await self._release(rollout, held)
            return
        if held is None:
            held = self._take(rollout)
        if held is None:
            return
        now_s = self._clock.read_monotonic()
        self._check(rollout, held, now_s)
        if now_s < held.retry_s:
            return
        if held.is_doubtful:
            await self._read_again(rollout, held)
            return
        phase = self._find_phase(rollout, held, now_s)
        is_due = now_s - held.renewed_s >= _RENEWAL_INTERVAL_S
        if phase is not held.control.phase or is_due or held.is_new:
            await self._write(rollout, held, phase)

    def _take(self, rollout: rolloutboard.Rollout) -> _Held | None:
        """Return the control of a roll-out, None if nothing is to be done."""
        record = rollout.record
        now_s = self._clock.read_monotonic()
        if record is not None and not record.phase.is_final:
            return self._take_over(rollout, record, now_s)
        order = rollout.order
        if order is None:
            return None
        age_s = now_s - rollout.order_seen_s
        if not rollout.gate.listed and age_s < _MAX_LISTING_S:
            return None
        outcome = rollout.find_outcome(order)
        is_written = record is not None and record.order == order
        if outcome is not None and is_written:
            return None
        control = rollout.gate.start_control(order, now_s=now_s, record=None)
        control.started_s = rollout.order_seen_s
        held = self._hold(rollout, control)
        if outcome is rollouts.Phase.REVERTED:
            held.verdict = 'record_lost'
        self._log('rollout_started', rollout, duration_s=order.duration_s)
        return held

    def _take_over(
        self,
        rollout: rolloutboard.Rollout,
        record: rollouts.Record,
        now_s: float,
    ) -> _Held | None:
        watched = rollout.watched
        assert watched is not None
        is_free = record.controller in {'', self._fleet.instance}
        if not is_free and now_s - watched.changed_s < _TAKEOVER_S:
            return None
        control = rollout.gate.start_control(
            record.order, now_s=now_s, record=record
        )
        gap_s = float(0)
        if watched.is_listed:
            gap_s = (self._read_wall_ms() - record.written_ms) / _MILLISECONDS
            gap_s -= now_s - watched.changed_s
        if gap_s > _MAX_GAP_S:
            gap_s = 0
        control.started_s = watched.changed_s - record.elapsed_s - max(gap_s, 0)
        if rollout.order == record.order:
            control.started_s = min(control.started_s, rollout.order_seen_s)
        held = self._hold(rollout, control)
        if rollout.find_outcome(record.order) is rollouts.Phase.REVERTED:
            held.verdict = 'record_lost'
        self._log(
            'rollout_taken_over',
            rollout,
            former=record.controller,
            phase=record.phase.value,
            elapsed_s=round(now_s - control.started_s, 1),
        )
        return held

    def _hold(
        self, rollout: rolloutboard.Rollout, control: rollouts.Control
    ) -> _Held:
        held = _Held(control, rollout.revision)
        self._held[rollout.service] = held
        return held

    def _check(
        self, rollout: rolloutboard.Rollout, held: _Held, now_s: float
    ) -> None:
        """Close the new version at once if something speaks against it."""
        if held.verdict:
            return
        control = held.control
        if rollout.order == control.order:
            held.verdict = control.evidence.judge()
        elif rollout.order is None:
            held.verdict = 'order_removed'
        else:
            held.verdict = 'order_replaced'
        if held.verdict:
            control.held_until_s = float('-inf')
            held.verdict_s = now_s
            self._log('rollout_rejected', rollout, reason=held.verdict)

    def _find_phase(
        self, rollout: rolloutboard.Rollout, held: _Held, now_s: float
    ) -> rollouts.Phase:
        """Return the phase to write next."""
        control = held.control
        if held.verdict:
            is_settled = now_s - held.verdict_s >= rollout.gate.settle_s
            return rollouts.Phase.REVERTED if is_settled else control.phase
        is_known = held.is_new or control.target in rollout.gate.trusted
        is_first = is_known and control.phase is rollouts.Phase.CANARY
        outcome = rollout.find_outcome(control.order)
        is_over = outcome is rollouts.Phase.COMPLETED
        if is_over or (is_first and rollout.gate.has_only_target):
            return rollouts.Phase.COMPLETED
        if held.is_new:
            return control.phase
        phase = rollouts.advance(self._describe(rollout, control, now_s))
        if phase is rollouts.Phase.REVERTED:
            held.verdict = 'deadline'
            held.verdict_s = now_s
            control.held_until_s = float('-inf')
            self._log('rollout_rejected', rollout, reason=held.verdict)
            return control.phase
        is_next = phase is not control.phase and not phase.is_final
        is_suspect = is_next and control.evidence.is_suspect()
        return control.phase if is_suspect else phase

    def _describe(
        self,
        rollout: rolloutboard.Rollout,
        control: rollouts.Control,
        now_s: float,
    ) -> rollouts.Progress:
        replicas = self._fleet.list_replicas(rollout.service)
        target = control.target
        new = control.evidence.sum_counts(rolloutevidence.Side.NEW)
        return rollouts.Progress(
            phase=control.phase,
            phase_s=now_s - control.since_s,
            elapsed_s=now_s - control.started_s,
            duration_s=control.order.duration_s,
            has_replicas=control.has_target(
                {replica.info.version for replica in replicas}, now_s
            ),
            seen=control.seen,
            granted=control.granted,
            answered=new.trials,
            held_old=sum(
                replica.held
                for replica in replicas
                if replica.info.version != target
            ),
        )

    async def _write(
        self,
        rollout: rolloutboard.Rollout,
        held: _Held,
        phase: rollouts.Phase,
        *,
        controller: str | None = None,
    ) -> None:
        """Write the record and the status together; enter the phase then."""
        sent_s = self._clock.read_monotonic()
        record = self._build_record(rollout, held, phase)
        if controller is not None:
            record = record._replace(controller=controller)
        held.record = record
        held.sent_s = sent_s
        formats = self._board.formats
        key = f'{formats.records_prefix}{rollout.service}'
        status = formats.encode_status(
            rollout.service, record.order.to, record.phase
        )
        writes = [
            stores.Write(f'{formats.status_prefix}{rollout.service}', status),
            stores.Write(key, formats.encode_record(record)),
        ]
        is_state_new = held.is_new or phase.is_final
        written = await self._call(
            self._store.replace(
                writes if is_state_new else writes[1:],
                key=key,
                revision=held.revision,
            )
        )
        if written.is_error():
            held.is_doubtful = written.error.fault is not stores.Fault.REFUSED
            held.back_off(self._clock.read_monotonic())
            return
        held.revision = written.ok
        self._apply_written(rollout, held, record, sent_s)

    def _apply_written(
        self,
        rollout: rolloutboard.Rollout,
        held: _Held,
        record: rollouts.Record,
        sent_s: float,
    ) -> None:
        control = held.control
        now_s = self._clock.read_monotonic()
        held.is_new = False
        held.is_doubtful = False
        held.note_saved()
        held.renewed_s = sent_s
        if record.phase is not control.phase or record.phase.is_final:
            self._count('rollout_phases', phase=record.phase.value)
            self._log(
                'rollout_phase',
                rollout,
                phase=record.phase.value,
                elapsed_s=round(now_s - control.started_s, 1),
                granted=control.granted,
                seen=control.seen,
                reason=held.verdict,
            )
        control.set_phase(record.phase, now_s)
        control.ceiling = max(control.granted, record.ceiling)
        if record.phase.is_final:
            self._drop(rollout)
        elif not held.verdict:
            control.held_until_s = max(
                control.held_until_s, sent_s + _CONTROL_S
            )
        self._board.apply_own(
            rollout,
            rolloutboard.Watched(record, held.revision, now_s, is_listed=False),
        )

    async def _read_again(
        self, rollout: rolloutboard.Rollout, held: _Held
    ) -> None:
        """After a write of unknown outcome, find out who has the record."""
        key = f'{self._board.formats.records_prefix}{rollout.service}'
        listed = await self._call(self._store.list_keys(key))
        if listed.is_error():
            held.back_off(self._clock.read_monotonic())
            return
        found = [change for change in listed.ok.changes if change.key == key]
        watched = None
        if found:
            watched = self._board.read_record(found[0], is_listed=False)
        record = None if watched is None else watched.record
        revision = 0 if watched is None else watched.revision
        if record is not None and self._is_own(record, held):
            held.revision = revision
            # Others may have seen it as soon as it was sent. Of an earlier
            # write, that time is not known: it extends nothing.
            is_last = record == held.record
            sent_s = held.sent_s if is_last else float('-inf')
            self._apply_written(rollout, held, record, sent_s)
        elif revision == held.revision or record is None:
            held.revision = revision
            held.is_doubtful = False
        else:
            self._log('rollout_lost', rollout, controller=record.controller)
            self._drop(rollout)
            if watched is not None:
                self._board.apply_own(rollout, watched)

    def _is_own(self, record: rollouts.Record, held: _Held) -> bool:
        own = (self._fleet.instance, self._fleet.read_incarnation())
        is_same = record.order == held.control.order
        return is_same and (record.controller, record.incarnation) == own

    async def _release(
        self, rollout: rolloutboard.Rollout, held: _Held
    ) -> None:
        """Leave the roll-out to the new allocator."""
        held.control.held_until_s = float('-inf')
        self._log('rollout_released', rollout)
        if not held.is_doubtful and not held.is_new:
            await self._write(rollout, held, held.control.phase, controller='')
        self._drop(rollout)

    def _drop(self, rollout: rolloutboard.Rollout) -> None:
        self._held.pop(rollout.service, None)
        rollout.gate.control = None

    def _build_record(
        self,
        rollout: rolloutboard.Rollout,
        held: _Held,
        phase: rollouts.Phase,
    ) -> rollouts.Record:
        control = held.control
        now_s = self._clock.read_monotonic()
        target = control.target
        own = frozenset((target,))
        trusted = rollout.gate.trusted - own
        barred = rollout.gate.barred - own
        if phase is rollouts.Phase.COMPLETED:
            trusted = own
        elif phase is rollouts.Phase.REVERTED:
            if len(barred) >= _MAX_BARRED:
                barred &= rollout.gate.listed
            barred |= own
        return rollouts.Record(
            order=control.order,
            phase=phase,
            controller=self._fleet.instance,
            incarnation=self._fleet.read_incarnation(),
            elapsed_s=max(0, now_s - control.started_s),
            written_ms=self._read_wall_ms(),
            seen=control.seen,
            ceiling=control.find_ceiling(now_s),
            trusted=trusted,
            barred=barred,
            counts=control.evidence.counts,
        )

    async def _call(
        self, call: abc.Awaitable[expression.Result[typing.Any, typing.Any]]
    ) -> expression.Result[typing.Any, stores.StoreFailure]:
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_S):
                outcome = await call
        except TimeoutError:
            outcome = expression.Error(
                stores.StoreFailure(stores.Fault.UNREACHABLE, 'timed out')
            )
        if outcome.is_error() and not self._has_failed:
            logs.write_event(
                _LOGGER,
                'rollout_unsaved',
                level=logging.WARNING,
                instance=self._fleet.instance,
                fault=outcome.error.fault.value,
                detail=outcome.error.detail,
            )
        self._has_failed = outcome.is_error()
        return outcome

    def _read_wall_ms(self) -> int:
        return int(self._clock.read_wall().timestamp() * _MILLISECONDS)

    def _log(
        self, event: str, rollout: rolloutboard.Rollout, **fields: typing.Any
    ) -> None:
        held = self._held.get(rollout.service)
        order = rollout.order if held is None else held.control.order
        logs.write_event(
            _LOGGER,
            event,
            instance=self._fleet.instance,
            service=rollout.service,
            to='' if order is None else order.to,
            **fields,
        )
