"""Roll-outs of a version: their phases, and which replicas get a request."""

import enum
import math
import typing
from collections import abc

from lavenderledge.peers import slotmessages
from lavenderledge.policy import rolloutevidence

# The part of the allowed exposure that the canary uses: the ramp needs the
# rest, before the version is shifted to.
_CANARY_SHARE: typing.Final = 0.8
_CANARY_SLACK: typing.Final = 0.5
# The part of the slack that is used at once; the rest is used over the
# canary, so that a version that turns bad later is still tested.
_FIRST_SLACK: typing.Final = 0.3
# Requests of a route beyond its part of the ceiling, so that rare routes are
# tested. All routes may use their part at once: their bursts fill a replica.
_ROUTE_SLACK: typing.Final = 2
# The final status is written this long before the deadline, seconds: the
# order is seen up to 0.5 s after it was written, and a write that gets no
# answer is repeated after 0.4 s.
FINAL_MARGIN_S: typing.Final = 1.4
# Bounds of the canary's part of the duration. Within them, it leaves the ramp
# and the longest streams, of 5 s, enough time.
_MIN_CANARY_RATIO: typing.Final = 0.4
_MAX_CANARY_RATIO: typing.Final = 0.5
_LONGEST_STREAM_S: typing.Final = 5.5
_RAMP_STEP_S: typing.Final = 1.0
_MIN_RAMP_STEP_S: typing.Final = 0.3
# After a change of the controller, the ramp's two steps and the end of the
# running requests share what is left in this many parts.
_RAMP_PARTS: typing.Final = 4
# A new allocator has the other instances' reports after this time.
_MIN_SHIFTED_S: typing.Final = 0.6
# Answers after which the canary counts as tested.
_MIN_ANSWERS: typing.Final = 10
# A version is taken for the only one left, or for gone, after this time without
# another one, or without it: lists have gaps of some tenths of a second when
# the allocator changes or the store is restored.
_SETTLED_S: typing.Final = 1.0
# Canary requests are concentrated on the next new replicas after this time.
_ROTATION_S: typing.Final = 1.0
_SETTLE_S: typing.Final = 0.2
# How much longer a replica that has just started takes.
_COLD_FACTOR: typing.Final = 1.6


@enum.unique
class Phase(enum.StrEnum):
    """The phase of a roll-out."""

    CANARY = 'canary'
    QUARTER = 'quarter'
    HALF = 'half'
    SHIFTED = 'shifted'
    COMPLETED = 'completed'
    REVERTED = 'reverted'

    @property
    def is_final(self) -> bool:
        """Return whether the roll-out is over."""
        return self in {Phase.COMPLETED, Phase.REVERTED}


_RAMP_RATIOS: typing.Final = {Phase.QUARTER: 0.25, Phase.HALF: 0.5}
_NEXT_PHASES: typing.Final = {
    Phase.CANARY: Phase.QUARTER,
    Phase.QUARTER: Phase.HALF,
    Phase.HALF: Phase.SHIFTED,
}


class Limits(typing.NamedTuple):
    """The bounds of exposure.

    A bad version gets at most ``share`` of the requests plus ``slack``, and
    none ``rollback_s`` after its 50th bad answer.
    """

    share: float
    slack: float
    rollback_s: float


class Order(typing.NamedTuple):
    """An operator's order, and the store's revision of it."""

    to: str
    duration_s: float
    revision: int = 0


class Record(typing.NamedTuple):
    """The durable state of a roll-out.

    ``elapsed_s`` have passed since the order; it was written at
    ``written_ms`` of the controller's wall clock. ``seen`` requests were
    granted, up to ``ceiling`` of them on the new version. Replicas of the
    ``trusted`` versions get requests, those of the ``barred`` ones never.
    """

    order: Order
    phase: Phase
    controller: str
    incarnation: int
    elapsed_s: float
    written_ms: int
    seen: int
    ceiling: int
    trusted: frozenset[str]
    barred: frozenset[str]
    counts: rolloutevidence.Table


class Progress(typing.NamedTuple):
    """What decides on the next phase.

    ``phase_s`` have passed in the phase, and ``elapsed_s`` since the order.
    ``granted`` and ``answered`` count the new version's requests, ``seen`` all.
    """

    phase: Phase
    phase_s: float
    elapsed_s: float
    duration_s: float
    has_replicas: bool
    seen: int
    granted: int
    answered: int
    held_old: int


class ReplicaInfo(typing.Protocol):
    """A replica's description."""

    @property
    def name(self) -> str:
        """Return its name."""

    @property
    def version(self) -> str:
        """Return its version."""

    @property
    def cold_s(self) -> float:
        """Return for how many seconds it is slow after its start."""

    @property
    def started_ms(self) -> int:
        """Return when it started."""


class _Replica(typing.Protocol):
    @property
    def info(self) -> ReplicaInfo:
        """Return its description."""


_Candidate = typing.TypeVar('_Candidate', bound=_Replica)
# Returns a service's gate, given its replicas; None if there is no rule.
OpenGate: typing.TypeAlias = abc.Callable[
    [str, abc.Sequence[ReplicaInfo]], 'Gate | None'
]


def find_canary_end_s(duration_s: float) -> float:
    """Return when the canary ends, in seconds since the order."""
    left_s = FINAL_MARGIN_S + 2 * _RAMP_STEP_S + _LONGEST_STREAM_S
    return max(
        duration_s * _MIN_CANARY_RATIO,
        min(duration_s * _MAX_CANARY_RATIO, duration_s - left_s),
    )


def advance(progress: Progress) -> Phase:
    """Return the phase that follows from the time and the requests."""
    phase = progress.phase
    left_s = progress.duration_s - FINAL_MARGIN_S - progress.elapsed_s
    if phase is Phase.SHIFTED and progress.has_replicas:
        is_idle = not progress.held_old and progress.phase_s >= _MIN_SHIFTED_S
        is_over = left_s <= 0 or is_idle
        return Phase.COMPLETED if is_over else phase
    if left_s <= 0 or phase is Phase.SHIFTED:
        return Phase.REVERTED
    if phase is Phase.CANARY:
        is_due = progress.elapsed_s >= find_canary_end_s(progress.duration_s)
        is_due = is_due and _is_tested(progress)
    else:
        step_s = min(_RAMP_STEP_S, max(_MIN_RAMP_STEP_S, left_s / _RAMP_PARTS))
        is_due = progress.phase_s >= step_s and progress.has_replicas
    return _NEXT_PHASES[phase] if is_due else phase


def _is_tested(progress: Progress) -> bool:
    """Return whether the new version has answered enough requests."""
    if not progress.has_replicas:
        return False
    if not progress.seen:
        return True
    min_answers = min(_MIN_ANSWERS, max(1, progress.granted / 2))
    return progress.answered >= min_answers


class Gate:
    """Decides which replicas of one service get requests, by their version.

    It starts closed: until the orders were read, only versions that are
    trusted already get requests.
    """

    def __init__(self, limits: Limits) -> None:
        """Start without known versions."""
        self.trusted: frozenset[str] = frozenset()
        self.barred: frozenset[str] = frozenset()
        self.targets: frozenset[str] = frozenset()
        self.listed: frozenset[str] = frozenset()
        # Versions that a completed roll-out replaced, while they are listed.
        self.replaced: frozenset[str] = frozenset()
        self.control: Control | None = None
        self._limits = limits
        self._alone_since_s = float('inf')

    def learn(self, versions: abc.Set[str]) -> None:
        """Take note of the versions of the service's replicas.

        Those of the first list are trusted, and others once none of the
        trusted is left, unless an order is in progress. A replica that names
        no version can't be told from the trusted ones.
        """
        former = self.listed
        self.listed = frozenset(versions)
        self.replaced &= self.listed
        known = self.listed - self.barred - self.targets - self.replaced
        if not self.trusted or (
            not self.targets and self.trusted.isdisjoint(versions)
        ):
            self.trusted |= known
        elif not self.targets:
            self.trusted |= (known - former) & {''}
        if not self.has_only_target:
            self._alone_since_s = float('inf')

    def trust_listed(self) -> None:
        """Trust all versions of the list, as without any order."""
        if not self.targets:
            self.trusted |= self.listed - self.barred - self.replaced

    @property
    def has_only_target(self) -> bool:
        """Return whether only versions that are rolled out have replicas."""
        usable = self.listed & (self.trusted | self.targets)
        is_known = self.targets <= self.trusted or usable == self.listed
        return is_known and bool(usable) and usable <= self.targets

    def is_open(self, version: str, now_s: float) -> bool:
        """Return whether replicas of a version may get requests now.

        If that leaves no version of the list, trusted ones get them, all that
        were not reverted if there is no order, and a target that is alone.
        """
        if any(self._is_allowed(listed, now_s) for listed in self.listed):
            return self._is_allowed(version, now_s)
        if version in self.barred:
            return False
        is_left = not self.targets or self._is_alone(now_s)
        return version in self.trusted or is_left

    def _is_alone(self, now_s: float) -> bool:
        """Return whether there is only a target, which nobody judges here."""
        if self.control is not None or not self.has_only_target:
            return False
        self._alone_since_s = min(self._alone_since_s, now_s)
        return now_s - self._alone_since_s >= _SETTLED_S

    def _is_allowed(self, version: str, now_s: float) -> bool:
        control = self._find_control(now_s)
        if version in self.targets:
            return control is not None and version == control.target
        if control is not None and control.phase is Phase.SHIFTED:
            return False
        return version in self.trusted and version not in self.barred

    def counts_capacity(self, version: str, now_s: float) -> bool:
        """Return whether waiting requests may expect slots of a version."""
        control = self._find_control(now_s)
        if control is not None and control.phase is Phase.CANARY:
            return version not in self.targets and self.is_open(version, now_s)
        return self.is_open(version, now_s)

    def select(
        self,
        candidates: list[_Candidate],
        spec: slotmessages.RequestSpec,
        now_s: float,
    ) -> list[_Candidate]:
        """Return those of the free replicas that may get a request."""
        opened = {
            version for version in self.listed if self.is_open(version, now_s)
        }
        usable = [
            replica for replica in candidates if replica.info.version in opened
        ]
        control = self._find_control(now_s)
        if control is None:
            return usable
        new = [
            replica
            for replica in usable
            if replica.info.version == control.target
        ]
        if control.phase is Phase.SHIFTED:
            return new
        if new and control.takes(spec, now_s):
            return control.concentrate(new, now_s)
        return [
            replica
            for replica in usable
            if replica.info.version != control.target
        ]

    def note_granted(
        self, replica: _Replica, spec: slotmessages.RequestSpec, now_s: float
    ) -> None:
        """Count a granted request."""
        control = self._find_control(now_s)
        if control is not None:
            control.note_granted(replica.info, spec, now_s)

    def note_outcome(
        self,
        replica: _Replica,
        *,
        route: str,
        is_answered: bool,
        ratio: float,
        now_s: float,
    ) -> None:
        """Record how a first attempt ended, see ``rolloutevidence``."""
        control = self.control
        if control is None:
            return
        info = replica.info
        side = rolloutevidence.Side(info.version == control.target)
        key = (info.name, info.started_ms)
        if is_answered:
            if now_s < control.cold_until_s.get(key, 0):
                ratio /= _COLD_FACTOR
            control.evidence.note_answer(
                side, key, route=route, ratio=ratio, now_s=now_s
            )
        else:
            control.evidence.note_failure(side, key, route=route, now_s=now_s)

    @property
    def settle_s(self) -> float:
        """Return how long after its last grant a version is reverted.

        Granted requests are sent within this time.
        """
        return min(_SETTLE_S, self._limits.rollback_s / 2)

    def start_control(
        self, order: Order, *, now_s: float, record: Record | None
    ) -> 'Control':
        """Prepare the control of a roll-out, which a record's continues."""
        self.control = Control(self._limits, order, now_s, record)
        return self.control

    def _find_control(self, now_s: float) -> 'Control | None':
        control = self.control
        if control is None or now_s >= control.held_until_s:
            return None
        return control


def note_answer(
    gate: Gate | None,
    replica: _Replica,
    slot: '_Slot',
    times_s: tuple[float, float],
    now_s: float,
) -> None:
    """Record an answer: its time to first byte and the one expected."""
    if gate is not None and slot.is_evidence:
        own_s, expected_s = times_s
        gate.note_outcome(
            replica,
            route=slot.route,
            is_answered=True,
            ratio=own_s / expected_s if expected_s else 0,
            now_s=now_s,
        )


def note_failure(
    gate: Gate | None, replica: _Replica, slot: '_Slot', now_s: float
) -> None:
    """Record an error response, or a run without response."""
    if gate is not None and slot.is_evidence:
        gate.note_outcome(
            replica, route=slot.route, is_answered=False, ratio=0, now_s=now_s
        )


class _Slot(typing.Protocol):
    @property
    def route(self) -> str:
        """Return the route of its request."""

    @property
    def is_evidence(self) -> bool:
        """Return whether it is a first attempt that was granted here."""


class Control:
    """The requests of one roll-out, as its controller grants them.

    New replicas are granted until ``held_until_s``, which each renewal of the
    record extends. ``phase`` is that of the record.
    """

    def __init__(
        self, limits: Limits, order: Order, now_s: float, record: Record | None
    ) -> None:
        """Continue from a record: its whole ceiling counts as granted."""
        self.order = order
        self.target = order.to
        self.phase = Phase.CANARY if record is None else record.phase
        self.since_s = now_s
        self.started_s = now_s
        self.held_until_s = float('-inf')
        self._listed_s = now_s
        self.evidence = rolloutevidence.Evidence(
            None if record is None else record.counts
        )
        self.seen = 0 if record is None else record.seen
        self.granted = 0 if record is None else record.ceiling
        self.ceiling = self.granted
        self.cold_until_s: dict[rolloutevidence.ReplicaKey, float] = {}
        self._limits = limits
        self._routes_seen: dict[str, int] = {}
        self._routes_granted: dict[str, int] = {}
        # First attempts under this controller.
        self._first_seen = 0
        self._phase_seen = 0
        self._phase_granted = 0

    def set_phase(self, phase: Phase, now_s: float) -> None:
        """Enter a phase that the record has."""
        if phase is not self.phase:
            self.phase = phase
            self.since_s = now_s
            self._phase_seen = 0
            self._phase_granted = 0

    def has_target(self, versions: abc.Iterable[str], now_s: float) -> bool:
        """Return whether the version has replicas, or had a moment ago."""
        if self.target in versions:
            self._listed_s = now_s
        return now_s - self._listed_s < _SETTLED_S

    def find_ceiling(self, now_s: float) -> int:
        """Return how many requests the canary may have got by now."""
        canary_s = find_canary_end_s(self.order.duration_s)
        ratio = min(1, max(0, now_s - self.started_s) / canary_s)
        slack_ratio = _FIRST_SLACK + (1 - _FIRST_SLACK) * ratio
        allowed = (
            _CANARY_SHARE * self._limits.share * self.seen
            + _CANARY_SLACK * self._limits.slack * slack_ratio
        )
        return max(self.granted, math.floor(allowed))

    def takes(self, spec: slotmessages.RequestSpec, now_s: float) -> bool:
        """Return whether a request goes to the new version."""
        if spec.is_repeat:
            return False
        ratio = _RAMP_RATIOS.get(self.phase)
        if ratio is not None:
            is_due = self._phase_granted < ratio * (self._phase_seen + 1)
            return is_due and self.granted < self._find_whole_exposure(now_s)
        if self.granted >= self.ceiling:
            return False
        seen = self._routes_seen.get(spec.route, 0)
        part = (seen + 1) / (self._first_seen + 1)
        allowed = self.ceiling * part + _ROUTE_SLACK
        return self._routes_granted.get(spec.route, 0) < allowed

    def _find_whole_exposure(self, now_s: float) -> float:
        """Return how many requests may reach the version until the deadline.

        The ramp repeats its steps under each controller; this bounds them all.
        """
        elapsed_s = max(now_s - self.started_s, _RAMP_STEP_S)
        duration_s = max(self.order.duration_s, elapsed_s)
        expected = self.seen * duration_s / elapsed_s
        return self._limits.share * expected + self._limits.slack

    def concentrate(
        self, replicas: list[_Candidate], now_s: float
    ) -> list[_Candidate]:
        """Return the new replica to fill, so that some carry a full load."""
        if self.phase is not Phase.CANARY:
            return replicas
        ordered = sorted(replicas, key=lambda replica: replica.info.name)
        turn = int((now_s - self.started_s) / _ROTATION_S)
        names = sorted(
            {key[0] for key in self.cold_until_s}
            | {replica.info.name for replica in ordered}
        )
        first = names[turn % len(names)]
        following = [
            replica for replica in ordered if replica.info.name >= first
        ]
        return (following or ordered)[:1]

    def note_granted(
        self, info: ReplicaInfo, spec: slotmessages.RequestSpec, now_s: float
    ) -> None:
        """Count a granted request."""
        self.seen += 1
        is_new = info.version == self.target
        if not spec.is_repeat:
            self._phase_seen += 1
            self._first_seen += 1
            seen = self._routes_seen.get(spec.route, 0)
            self._routes_seen[spec.route] = seen + 1
        if is_new:
            self.granted += 1
            self._phase_granted += 1
            granted = self._routes_granted.get(spec.route, 0)
            self._routes_granted[spec.route] = granted + 1
            self.cold_until_s.setdefault(
                (info.name, info.started_ms), now_s + info.cold_s
            )
