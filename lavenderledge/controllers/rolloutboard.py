"""What an instance knows of roll-outs: orders, records and the gates."""

import logging
import typing
from collections import abc

import expression

from lavenderledge import clock as clocks
from lavenderledge import logs
from lavenderledge.policy import rollouts
from lavenderledge.registry import store as stores

# The orders are read within milliseconds of the list of replicas. If the store
# answers only the latter for this long, replicas are used without orders.
_MAX_LOADING_S: typing.Final = 5.0
# Orders and records are watched for 3 s at a time, and a call that is not
# answered ends after a second. What was read longer ago may be outdated.
_MAX_READ_AGE_S: typing.Final = 5.0
# If fewer of a service's replicas have a trusted version, they are being
# replaced without an order.
_MIN_TRUSTED_RATIO: typing.Final = 0.25
_LOGGER = logging.getLogger(__name__)


class Problem(typing.Protocol):
    """Why a document is invalid."""

    @property
    def detail(self) -> str:
        """Return a description."""


class Formats(typing.NamedTuple):
    """Names and formats of the store's documents on roll-outs."""

    orders_prefix: str
    status_prefix: str
    records_prefix: str
    read_order: abc.Callable[
        [stores.Change], expression.Result[rollouts.Order, typing.Any]
    ]
    encode_status: abc.Callable[[str, str, rollouts.Phase], bytes]
    read_record: abc.Callable[
        [bytes], expression.Result[rollouts.Record, typing.Any]
    ]
    encode_record: abc.Callable[[rollouts.Record], bytes]


class Watched(typing.NamedTuple):
    """A record in the store, None if it is unreadable.

    It was seen to change at ``changed_s``, or listed then if ``is_listed``.
    """

    record: rollouts.Record | None
    revision: int
    changed_s: float
    is_listed: bool


class Rollout:
    """What is known of one service's roll-out."""

    def __init__(self, service: str, gate: rollouts.Gate) -> None:
        """Start without order and record."""
        self.service = service
        self.gate = gate
        self.order: rollouts.Order | None = None
        self.order_seen_s = float('-inf')
        self.watched: Watched | None = None
        self.finished: tuple[rollouts.Order, rollouts.Phase] | None = None

    @property
    def record(self) -> rollouts.Record | None:
        """Return the readable record, None without one."""
        return None if self.watched is None else self.watched.record

    @property
    def revision(self) -> int:
        """Return the revision of the record's key, 0 without one."""
        return 0 if self.watched is None else self.watched.revision

    def find_outcome(self, order: rollouts.Order) -> rollouts.Phase | None:
        """Return the final phase of an order, None if it has none."""
        if self.finished is not None and self.finished[0] == order:
            return self.finished[1]
        record = self.record
        is_final = record is not None and record.order == order
        if is_final and record is not None and record.phase.is_final:
            return record.phase
        return None

    def apply_record(self, record: rollouts.Record) -> None:
        """Take over which versions are trusted.

        What this instance knows to be final stays if the store lost it.
        """
        outcome = self.find_outcome(record.order)
        if record.phase.is_final:
            self.finished = (record.order, outcome or record.phase)
        if record.phase is (outcome or record.phase):
            if record.phase is rollouts.Phase.COMPLETED:
                self.gate.replaced = self.gate.trusted - record.trusted
            self.gate.trusted = record.trusted or self.gate.trusted
            self.gate.barred = record.barred

    def sync(self) -> None:
        """Set the versions that are rolled out."""
        orders = [self.order, self.record.order if self.record else None]
        self.gate.targets = frozenset(
            order.to
            for order in orders
            if order is not None and self.find_outcome(order) is None
        )
        self.gate.learn(self.gate.listed)


class RolloutBoard:
    """The roll-outs of all services; without orders, their known versions."""

    def __init__(
        self,
        *,
        instance: str,
        clock: clocks.Clock,
        limits: rollouts.Limits,
        formats: Formats,
    ) -> None:
        """Start without reading of the store."""
        self.formats = formats
        self._instance = instance
        self._clock = clock
        self._limits = limits
        self._rollouts: dict[str, Rollout] = {}
        self._unread = {formats.orders_prefix, formats.records_prefix}
        self._needed_s: float | None = None
        self._confirmed_s: dict[str, float] = {}

    @property
    def is_current(self) -> bool:
        """Return whether orders and records were read a short time ago."""
        now_s = self._clock.read_monotonic()
        prefixes = (self.formats.orders_prefix, self.formats.records_prefix)
        return self.is_loaded and all(
            now_s - self._confirmed_s.get(prefix, float('-inf'))
            <= _MAX_READ_AGE_S
            for prefix in prefixes
        )

    def confirm(self, prefix: str, requested_s: float) -> None:
        """Record that what is known of a prefix was right at that time."""
        self._confirmed_s[prefix] = requested_s

    @property
    def is_loaded(self) -> bool:
        """Return whether orders and records were read."""
        return not self._unread

    def list_rollouts(self) -> list[Rollout]:
        """Return the services that have an order or a record."""
        return [
            rollout
            for rollout in self._rollouts.values()
            if rollout.order is not None or rollout.watched is not None
        ]

    def open_gate(
        self, service: str, infos: abc.Sequence[rollouts.ReplicaInfo]
    ) -> rollouts.Gate:
        """Return a service's gate, given its replicas."""
        rollout = self._find(service)
        versions = frozenset(info.version for info in infos)
        if self.is_loaded:
            rollout.gate.learn(versions)
            trusted = [info.version in rollout.gate.trusted for info in infos]
            if sum(trusted) < _MIN_TRUSTED_RATIO * len(trusted):
                rollout.gate.trust_listed()
        else:
            rollout.gate.listed = versions
            if self._needed_s is None:
                self._needed_s = self._clock.read_monotonic()
        return rollout.gate

    def check_loading(self) -> None:
        """Use the replicas without orders if the store does not give them."""
        if self.is_loaded or self._needed_s is None:
            return
        waited_s = self._clock.read_monotonic() - self._needed_s
        if waited_s > _MAX_LOADING_S:
            self._log('rollouts_unread', level=logging.WARNING)
            for prefix in tuple(self._unread):
                self._note_read(prefix)

    def replace_orders(
        self, changes: abc.Sequence[stores.Change], requested_s: float
    ) -> None:
        """Replace all orders."""
        services = {
            change.key.removeprefix(self.formats.orders_prefix)
            for change in changes
        }
        for rollout in self._rollouts.values():
            if rollout.service not in services:
                rollout.order = None
        self.update_orders(changes, requested_s)
        self._note_read(self.formats.orders_prefix)

    def update_orders(
        self, changes: abc.Sequence[stores.Change], requested_s: float
    ) -> None:
        """Apply changed orders; unreadable ones are ignored."""
        for change in changes:
            service = change.key.removeprefix(self.formats.orders_prefix)
            if change.content is None:
                self._find(service).order = None
            else:
                self._apply_order(service, change)
        self.sync()

    def replace_records(
        self, changes: abc.Sequence[stores.Change], requested_s: float
    ) -> None:
        """Replace all records."""
        services = {
            change.key.removeprefix(self.formats.records_prefix)
            for change in changes
        }
        for rollout in self._rollouts.values():
            if rollout.service not in services:
                rollout.watched = None
        self._apply_records(changes, is_listed=True)
        self._note_read(self.formats.records_prefix)

    def update_records(
        self, changes: abc.Sequence[stores.Change], requested_s: float
    ) -> None:
        """Apply changed records."""
        self._apply_records(changes, is_listed=False)

    def apply_own(self, rollout: Rollout, watched: Watched) -> None:
        """Apply a record that this instance wrote or read."""
        rollout.watched = watched
        if watched.record is not None:
            rollout.apply_record(watched.record)
        rollout.sync()

    def sync(self) -> None:
        """Set the versions that are rolled out, once all was read."""
        if self.is_loaded:
            for rollout in self._rollouts.values():
                rollout.sync()

    def read_record(
        self, change: stores.Change, *, is_listed: bool
    ) -> Watched | None:
        """Return a record, None if its key was deleted."""
        if change.content is None:
            return None
        parsed = self.formats.read_record(change.content)
        if parsed.is_error():
            self._log(
                'rollout_record_unreadable',
                level=logging.WARNING,
                key=change.key,
                detail=parsed.error.detail,
            )
        return Watched(
            None if parsed.is_error() else parsed.ok,
            change.revision,
            self._clock.read_monotonic(),
            is_listed,
        )

    def _find(self, service: str) -> Rollout:
        rollout = self._rollouts.get(service)
        if rollout is None:
            rollout = Rollout(service, rollouts.Gate(self._limits))
            self._rollouts[service] = rollout
        return rollout

    def _apply_order(self, service: str, change: stores.Change) -> None:
        parsed = self.formats.read_order(change)
        if parsed.is_error():
            self._log(
                'rollout_order_unreadable',
                level=logging.WARNING,
                service=service,
                detail=parsed.error.detail,
            )
            return
        rollout = self._find(service)
        if rollout.order != parsed.ok:
            rollout.order = parsed.ok
            rollout.order_seen_s = self._clock.read_monotonic()

    def _apply_records(
        self, changes: abc.Sequence[stores.Change], *, is_listed: bool
    ) -> None:
        for change in changes:
            service = change.key.removeprefix(self.formats.records_prefix)
            rollout = self._find(service)
            watched = self.read_record(change, is_listed=is_listed)
            is_known = (
                watched is not None and watched.revision == rollout.revision
            )
            if not is_known:
                rollout.watched = watched
                if watched is not None and watched.record is not None:
                    rollout.apply_record(watched.record)
        self.sync()

    def _note_read(self, prefix: str) -> None:
        self._unread.discard(prefix)
        self.sync()

    def _log(
        self, event: str, *, level: int = logging.INFO, **fields: object
    ) -> None:
        logs.write_event(
            _LOGGER, event, level=level, instance=self._instance, **fields
        )
