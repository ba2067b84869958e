"""Finds the parts of prompts that crash the replicas that answer them.

A prompt that crashes replicas never gets a byte of its answer, while the other
requests that a crash breaks off share their parts with requests that do.
"""

import itertools
import typing
from collections import abc

# How long lost runs and answers count, and a quarantine lasts after the last
# crash, seconds.
RETENTION_S: typing.Final = 600.0

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
_MAX_LOST_RUNS: typing.Final = 64
_MAX_ANSWERED: typing.Final = 4096


class LostRun(typing.NamedTuple):
    """A run that ended with its connection before the first byte of a body.

    ``parts`` are those of its prompt that other requests may share, ``at_s``
    is monotonic.
    """

    request_id: str
    service: str
    replica: str
    parts: frozenset[str]
    at_s: float


class Quarantine(typing.NamedTuple):
    """Prompts with all these parts are not sent until ``until_s``."""

    service: str
    parts: frozenset[str]
    until_s: float

    def matches(self, service: str, parts: abc.Set[str]) -> bool:
        """Return whether a request's prompt has all these parts."""
        return service == self.service and self.parts <= parts


class CrashEvidence:
    """Lost runs, answered parts, and the quarantines that follow."""

    def __init__(self) -> None:
        """Start without evidence."""
        self._lost: dict[tuple[str, str], LostRun] = {}
        self._answered_s: dict[tuple[str, str], float] = {}
        self._quarantines: dict[tuple[str, frozenset[str]], Quarantine] = {}
        self._judge_at_s: float | None = None

    def note_lost(self, run: LostRun) -> None:
        """Add a run; one that is reported again changes nothing."""
        key = (run.request_id, run.replica)
        if not run.parts or key in self._lost:
            return
        if len(self._lost) >= _MAX_LOST_RUNS:
            self._lost.pop(next(iter(self._lost)))
        self._lost[key] = run
        if self._judge_at_s is None:
            self._judge_at_s = run.at_s + _SETTLE_S

    def note_answered(
        self, service: str, parts: frozenset[str], now_s: float
    ) -> None:
        """Clear the parts of an answered request."""
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
        key = (quarantine.service, quarantine.parts)
        imposed_s = quarantine.until_s - RETENTION_S
        if all(
            self._read_answered_s(quarantine.service, part) > imposed_s
            for part in quarantine.parts
        ):
            return
        present = self._quarantines.get(key)
        if present is None or present.until_s < quarantine.until_s:
            self._quarantines[key] = quarantine

    def judge(self, now_s: float) -> list[Quarantine]:
        """Return the quarantines that new evidence imposes."""
        if self._judge_at_s is None or now_s < self._judge_at_s:
            return []
        self._judge_at_s = None
        self._drop_old(now_s)
        imposed: list[Quarantine] = []
        for service, part in self._list_suspects():
            quarantine = self._judge_part(service, part)
            if quarantine is None:
                continue
            key = (service, quarantine.parts)
            if key not in self._quarantines:
                imposed.append(quarantine)
            self._quarantines[key] = quarantine
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

    def _list_suspects(self) -> list[tuple[str, str]]:
        """Return the parts that enough replicas lost runs with."""
        replicas: dict[tuple[str, str], set[str]] = {}
        for run in self._lost.values():
            for part in self._find_suspects(run):
                key = (run.service, part)
                replicas.setdefault(key, set()).add(run.replica)
        return [
            key
            for key, names in replicas.items()
            if len(names) >= _MIN_REPLICAS
        ]

    def _judge_part(self, service: str, part: str) -> Quarantine | None:
        runs = [
            run
            for run in self._lost.values()
            if run.service == service and part in self._find_suspects(run)
        ]
        latest = {run.replica: run for run in runs}
        blame = sum(self._compute_blame(run, part) for run in latest.values())
        if blame < _MIN_BLAME:
            return None
        # Parts that occurred in each of these crashes can't be told apart.
        common = frozenset.intersection(*map(self._find_suspects, runs))
        last_s = max(run.at_s for run in runs)
        return Quarantine(service, common, last_s + RETENTION_S)

    def _compute_blame(self, run: LostRun, part: str) -> float:
        """Return a part's share of the runs lost where this one was."""
        lost = [
            other
            for other in self._lost.values()
            if other.replica == run.replica
            and abs(other.at_s - run.at_s) < _CRASH_SPAN_S
        ]
        suspects = [self._find_suspects(other) for other in lost]
        if self._find_unknown(run):
            suspects = [self._find_unknown(other) for other in lost]
        found = [parts for parts in suspects if parts]
        return len([parts for parts in found if part in parts]) / len(found)

    def _find_suspects(self, run: LostRun) -> frozenset[str]:
        """Return the parts that no request with them was answered since.

        Parts that were never answered are suspected before all others.
        """
        return self._find_unknown(run) or frozenset(
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
