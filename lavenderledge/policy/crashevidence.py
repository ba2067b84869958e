"""Finds the parts of prompts that crash the replicas that answer them.

A prompt that crashes replicas is never answered, while the other requests that
a crash breaks off share their parts with requests that are. It mostly gets no
byte of an answer, while these mostly have.
"""

import itertools
import typing
from collections import abc

# How long lost runs and answers count, and the longest quarantine, seconds.
RETENTION_S: typing.Final = 600.0
# A quarantine after the first two crashes lasts this long, seconds, and each
# further crash doubles it: it may be wrong, and then only an answer shows it.
_FIRST_QUARANTINE_S: typing.Final = 30.0
# Times in messages between instances grow by their delay, seconds.
_MERGE_TOLERANCE_S: typing.Final = 1.0

# Instances report what they lost in the same crash at about the same time. It
# is judged this long after the first report, seconds.
_SETTLE_S: typing.Final = 0.1
# The blame for what a replica loses within this time, in seconds, is shared by
# the runs that it lost: a faulty replica loses many that have nothing in
# common. A part of a prompt is guilty from this sum of blame and from this many
# replicas on.
_CRASH_SPAN_S: typing.Final = 10.0
_MIN_BLAME: typing.Final = 1.5
_MIN_REPLICAS: typing.Final = 2
# A run that was lost after its first byte is evidence only if the allocator had
# noted this number of answers of its service before, with gaps of this many
# seconds at most. Else a part may have been answered without its knowledge.
_MIN_OBSERVED: typing.Final = 2
_MAX_OBSERVATION_GAP_S: typing.Final = 5.0
# Such losses at several replicas within this time, in seconds, have one cause,
# which may lie outside of the requests.
_SAME_CAUSE_S: typing.Final = 0.05
_MAX_LOST_RUNS: typing.Final = 64
_MAX_ANSWERED: typing.Final = 4096


class LostRun(typing.NamedTuple):
    """A run that ended with its connection.

    ``parts`` are those of its prompt that other requests may share, ``at_s``
    is monotonic. ``digest`` is the same for the same request. ``has_begun``
    tells that a part of the answer's body was received.
    """

    request_id: str
    service: str
    replica: str
    parts: frozenset[str]
    at_s: float
    digest: str = ''
    has_begun: bool = False


class _Observation(typing.NamedTuple):
    """How many answers of a service were noted without a long gap.

    ``since_s`` is when there were enough to tell known parts from new ones.
    """

    answers: int = 0
    last_s: float = float('-inf')
    since_s: float = float('inf')

    def note(self, now_s: float) -> '_Observation':
        """Return the observation after one more answer."""
        if now_s - self.last_s > _MAX_OBSERVATION_GAP_S:
            return _Observation(1, now_s)
        answers = self.answers + 1
        since_s = now_s if answers == _MIN_OBSERVED else self.since_s
        return _Observation(answers, now_s, since_s)


class Quarantine(typing.NamedTuple):
    """Prompts with all these parts are not sent until ``until_s``."""

    service: str
    parts: frozenset[str]
    until_s: float

    @property
    def key(self) -> tuple[str, frozenset[str]]:
        """Return what is quarantined, without the time."""
        return self.service, self.parts

    def matches(self, service: str, parts: abc.Set[str]) -> bool:
        """Return whether a request's prompt has all these parts."""
        return service == self.service and self.parts <= parts


class CrashEvidence:
    """Lost runs, answered parts, and the quarantines that follow."""

    def __init__(self) -> None:
        """Start without evidence."""
        self._lost: dict[tuple[str, str], LostRun] = {}
        self._answered_s: dict[tuple[str, str], float] = {}
        self._observations: dict[str, _Observation] = {}
        self._quarantines: dict[tuple[str, frozenset[str]], Quarantine] = {}
        self._merged: set[tuple[str, frozenset[str]]] = set()
        self._withdrawn_s: dict[tuple[str, frozenset[str]], float] = {}
        self._judge_at_s: float | None = None

    def note_lost(self, run: LostRun) -> None:
        """Add a run; one that is reported again changes nothing."""
        key = (run.request_id, run.replica)
        if not run.parts or key in self._lost or not self._is_evidence(run):
            return
        if len(self._lost) >= _MAX_LOST_RUNS:
            self._lost.pop(next(iter(self._lost)))
        self._lost[key] = run
        if self._judge_at_s is None:
            self._judge_at_s = run.at_s + _SETTLE_S

    def note_answered(
        self, service: str, parts: frozenset[str], now_s: float
    ) -> None:
        """Clear the parts of a request that was answered by one run."""
        observation = self._observations.get(service, _Observation())
        self._observations[service] = observation.note(now_s)
        for part in parts:
            self._answered_s.pop((service, part), None)
            self._answered_s[(service, part)] = now_s
        while len(self._answered_s) > _MAX_ANSWERED:
            self._answered_s.pop(next(iter(self._answered_s)))
        for key, quarantine in tuple(self._quarantines.items()):
            if quarantine.matches(service, parts):
                self._quarantines.pop(key)

    def merge(self, quarantine: Quarantine) -> None:
        """Add another instance's quarantine unless it was answered since."""
        key = quarantine.key
        withdrawn_s = self._withdrawn_s.get(key, float('-inf'))
        if quarantine.until_s < withdrawn_s + _MERGE_TOLERANCE_S:
            return
        imposed_s = quarantine.until_s - RETENTION_S
        if all(
            self._read_answered_s(quarantine.service, part) > imposed_s
            for part in quarantine.parts
        ):
            return
        present = self._quarantines.get(key)
        if present is None:
            self._merged.add(key)
        if present is None or present.until_s < quarantine.until_s:
            self._quarantines[key] = quarantine

    def judge(self, now_s: float) -> list[Quarantine]:
        """Return the quarantines that new evidence imposes."""
        if self._judge_at_s is None or now_s < self._judge_at_s:
            return []
        self._judge_at_s = None
        self._drop_old(now_s)
        found = self._explain_crashes()
        imposed = [
            quarantine
            for quarantine in found
            if quarantine.key not in self._quarantines
        ]
        self._withdraw_explained(found)
        for quarantine in found:
            self._quarantines[quarantine.key] = quarantine
        return imposed

    def list_quarantines(self, now_s: float) -> tuple[Quarantine, ...]:
        """Return the quarantines in force."""
        return tuple(
            quarantine
            for quarantine in self._quarantines.values()
            if quarantine.until_s > now_s
        )

    def list_crashed(self, quarantine: Quarantine) -> list[str]:
        """Return the replicas whose crashes are behind a quarantine."""
        return sorted(
            {
                run.replica
                for run in self._lost.values()
                if quarantine.matches(run.service, run.parts)
            }
        )

    def _explain_crashes(self) -> list[Quarantine]:
        """Return quarantines that explain the crashes, the strongest first.

        Runs that were lost in a crash that is explained are its victims. What
        another allocator has explained is taken over: it may have known more.
        """
        found: list[Quarantine] = []
        merged = [
            quarantine
            for key, quarantine in self._quarantines.items()
            if key in self._merged
        ]
        runs = [
            run
            for run in self._lost.values()
            if _is_culprit(run, merged) or not self._is_victim(run, merged)
        ]
        while True:
            strongest = self._find_strongest(runs)
            if strongest is None:
                return found
            found.append(strongest)
            runs = [run for run in runs if not self._is_victim(run, found)]

    def _find_strongest(self, runs: list[LostRun]) -> Quarantine | None:
        """Return a quarantine of the part that explains most crashes.

        Shared parts are in more lost runs than the one that crashes replicas,
        but in fewer crashes.
        """
        max_strength = (0, float(0))
        guilty: list[LostRun] = []
        for service, part in self._list_suspects(runs):
            with_part = [
                run
                for run in runs
                if run.service == service and part in self._find_suspects(run)
            ]
            crashes = _select_crashes(with_part)
            blame = sum(self._compute_blame(run, part) for run in crashes)
            strength = (len(crashes), blame)
            if blame >= _MIN_BLAME and strength > max_strength:
                max_strength = strength
                guilty = with_part
        if not guilty:
            return None
        # Parts that occurred in each of these crashes can't be told apart.
        common = frozenset.intersection(*map(self._find_suspects, guilty))
        retries = len({run.replica for run in guilty}) - _MIN_REPLICAS
        duration_s = min(_FIRST_QUARANTINE_S * 2**retries, RETENTION_S)
        last_s = max(run.at_s for run in guilty)
        return Quarantine(guilty[0].service, common, last_s + duration_s)

    def _list_suspects(self, runs: list[LostRun]) -> list[tuple[str, str]]:
        """Return the parts that enough replicas lost runs with."""
        replicas: dict[tuple[str, str], set[str]] = {}
        for run in runs:
            for part in self._find_suspects(run):
                key = (run.service, part)
                replicas.setdefault(key, set()).add(run.replica)
        return [
            key
            for key, names in replicas.items()
            if len(names) >= _MIN_REPLICAS
        ]

    def _is_victim(self, run: LostRun, found: list[Quarantine]) -> bool:
        """Return whether a quarantined prompt was lost in the same crash."""
        return any(
            _is_culprit(other, found)
            for other in self._lost.values()
            if _are_together(run, other)
        )

    def _withdraw_explained(self, found: list[Quarantine]) -> None:
        """Withdraw own quarantines whose evidence others explain better."""
        kept = {quarantine.key for quarantine in found}
        for key, quarantine in tuple(self._quarantines.items()):
            runs = [
                run
                for run in self._lost.values()
                if quarantine.matches(run.service, run.parts)
            ]
            is_explained = runs and all(
                self._is_victim(run, found) for run in runs
            )
            if is_explained and key not in kept | self._merged:
                self._quarantines.pop(key)
                self._withdrawn_s[key] = quarantine.until_s

    def _compute_blame(self, run: LostRun, part: str) -> float:
        """Return a part's share of the runs lost where this one was."""
        lost = [
            other for other in self._lost.values() if _are_together(run, other)
        ]
        suspects = [self._find_suspects(other) for other in lost]
        if self._find_unknown(run):
            suspects = [self._find_unknown(other) for other in lost]
        found = [parts for parts in suspects if parts]
        return len([parts for parts in found if part in parts]) / len(found)

    def _is_evidence(self, run: LostRun) -> bool:
        """Return whether a run may tell which parts crash replicas.

        Most that are lost after their first byte are victims of a crash.
        """
        if not run.has_begun:
            return True
        observation = self._observations.get(run.service, _Observation())
        is_observed = observation.since_s <= run.at_s
        return is_observed and bool(self._find_unknown(run))

    def _find_suspects(self, run: LostRun) -> frozenset[str]:
        """Return the parts that no request with them was answered since.

        Parts that were never answered are suspected before all others, and
        alone if the run had begun to answer.
        """
        unknown = self._find_unknown(run)
        if unknown or run.has_begun:
            return unknown
        return frozenset(
            part
            for part in run.parts
            if self._read_answered_s(run.service, part) < run.at_s
        )

    def _find_unknown(self, run: LostRun) -> frozenset[str]:
        """Return the parts that no request with them was ever answered."""
        return frozenset(
            part
            for part in run.parts
            if (run.service, part) not in self._answered_s
        )

    def _read_answered_s(self, service: str, part: str) -> float:
        return self._answered_s.get((service, part), float('-inf'))

    def _drop_old(self, now_s: float) -> None:
        oldest_s = now_s - RETENTION_S
        for key, run in tuple(self._lost.items()):
            if run.at_s < oldest_s:
                self._lost.pop(key)
        expired = itertools.takewhile(
            lambda answered: answered[1] < oldest_s,
            tuple(self._answered_s.items()),
        )
        for answered_key, _ in expired:
            self._answered_s.pop(answered_key)
        for quarantine_key, quarantine in tuple(self._quarantines.items()):
            if quarantine.until_s <= now_s:
                self._quarantines.pop(quarantine_key)
        self._merged &= self._quarantines.keys()
        for withdrawn_key, until_s in tuple(self._withdrawn_s.items()):
            if until_s < oldest_s:
                self._withdrawn_s.pop(withdrawn_key)


def _is_culprit(run: LostRun, quarantines: list[Quarantine]) -> bool:
    """Return whether a run's prompt is quarantined."""
    return any(
        quarantine.matches(run.service, run.parts) for quarantine in quarantines
    )


def _are_together(run: LostRun, other: LostRun) -> bool:
    """Return whether two runs were lost at a replica at about the same time."""
    is_close = abs(other.at_s - run.at_s) < _CRASH_SPAN_S
    return is_close and other.replica == run.replica


def _select_crashes(runs: list[LostRun]) -> list[LostRun]:
    """Return one run of each replica, the latest that differs from the others.

    A running answer that is lost, and lost again where it goes on, is one loss,
    as are those at the same moment.
    """
    selected: dict[str, LostRun] = {}
    for run in sorted(runs, key=lambda lost: lost.at_s, reverse=True):
        others = selected.values()
        if not any(_is_same_loss(run, other) for other in others):
            selected.setdefault(run.replica, run)
    return list(selected.values())


def _is_same_loss(run: LostRun, other: LostRun) -> bool:
    """Return whether two losses, one after a first byte, have one cause."""
    if not (run.has_begun or other.has_begun):
        return False
    is_close = abs(run.at_s - other.at_s) < _SAME_CAUSE_S
    return is_close or run.request_id == other.request_id
