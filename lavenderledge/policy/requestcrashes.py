"""Finds requests that crash the replicas that run them, by their digests.

The same request comes again and again, is lost with each replica and is never
answered, while the others that were lost with it are new each time.
"""

import typing
from collections import abc

# A request that was never answered is refused for this long after its last
# crash, seconds.
_MAX_QUARANTINE_S: typing.Final = 600.0
# One that was answered before its crashes may be sound, and only an answer
# shows it. Each further crash doubles this time, seconds.
_MIN_QUARANTINE_S: typing.Final = 30.0
# How long crashes count, seconds. It covers a quarantine, so that one more
# crash after it is enough for the next.
RETENTION_S: typing.Final = 1200.0
# A request is guilty from this number of crashes on.
_MIN_CRASHES: typing.Final = 3
# Instances report what they lost in the same crash at about the same time. It
# is judged this long after the first report, seconds.
_SETTLE_S: typing.Final = 0.1
# A replica does not crash twice within this time, seconds.
_MIN_UPTIME_S: typing.Final = 1.0
# Losses at several replicas within this time, in seconds, have one cause, which
# may lie outside of them.
_SAME_CAUSE_S: typing.Final = 0.02
# Times in messages between instances grow by their delay, seconds.
_MERGE_TOLERANCE_S: typing.Final = 1.0
_MAX_SUSPECTS: typing.Final = 1024
# How many suspects are forgotten at once, since finding the weakest takes time.
_FORGOTTEN_SUSPECTS: typing.Final = 256
_MAX_ANSWERED: typing.Final = 4096


class Crash(typing.NamedTuple):
    """The loss of runs at a replica; ``at_s`` is monotonic."""

    replica: str
    at_s: float

    def is_same(self, other: 'Crash') -> bool:
        """Return whether both were seen in the same crash."""
        is_close = abs(self.at_s - other.at_s) < _MIN_UPTIME_S
        return is_close and self.replica == other.replica


class Quarantine(typing.NamedTuple):
    """A request that is not sent until ``until_s``.

    ``imposed_s`` is the time of its last crash; both are monotonic.
    """

    digest: str
    imposed_s: float
    until_s: float


class Verdict(typing.NamedTuple):
    """What new evidence has changed: quarantines and digests."""

    imposed: abc.Sequence[Quarantine] = ()
    withdrawn: abc.Sequence[str] = ()


class AnsweredRequests:
    """When an instance last saw each request answered, the latest ones."""

    def __init__(self) -> None:
        """Start empty."""
        self._answered_s: dict[str, float] = {}

    def note(self, digest: str, at_s: float) -> None:
        """Add an answer."""
        self._answered_s.pop(digest, None)
        self._answered_s[digest] = at_s
        if len(self._answered_s) > _MAX_ANSWERED:
            self._answered_s.pop(next(iter(self._answered_s)))

    def find(self, digest: str) -> float | None:
        """Return the time of a request's last answer, None if unknown."""
        return self._answered_s.get(digest)


class _Suspect:
    """What is known of one request."""

    def __init__(self) -> None:
        self.crashes: list[Crash] = []
        self.answered_s = float('-inf')

    @property
    def strength(self) -> tuple[bool, int]:
        """Return a pair that is greater for a stronger suspicion.

        It has whether the request was never answered, then its crashes.
        """
        return self.answered_s == float('-inf'), len(self.crashes)

    def note_crash(self, crash: Crash) -> bool:
        """Return whether the crash was not known and was not answered since."""
        if crash.at_s <= self.answered_s:
            return False
        if any(crash.is_same(known) for known in self.crashes):
            return False
        self.crashes.append(crash)
        return True

    def note_answered(self, at_s: float) -> None:
        """Drop the crashes before an answer: they had another cause."""
        self.answered_s = max(self.answered_s, at_s)
        self.drop_before(self.answered_s)

    def build_quarantine(self, digest: str) -> Quarantine:
        """Return the quarantine that the last crash imposes."""
        imposed_s = max(crash.at_s for crash in self.crashes)
        duration_s = _MAX_QUARANTINE_S
        if self.answered_s != float('-inf'):
            doublings = len(self.crashes) - _MIN_CRASHES
            duration_s = min(_MIN_QUARANTINE_S * 2**doublings, duration_s)
        return Quarantine(digest, imposed_s, imposed_s + duration_s)

    def drop_before(self, at_s: float) -> None:
        """Drop the crashes before a time."""
        self.crashes = [crash for crash in self.crashes if crash.at_s > at_s]

    def count_unexplained(self, stronger: abc.Iterable['_Suspect']) -> int:
        """Count the crashes in which no stronger suspect was lost."""
        known = [crash for suspect in stronger for crash in suspect.crashes]
        return _count_causes(
            crash
            for crash in self.crashes
            if not any(crash.is_same(other) for other in known)
        )


class RequestCrashes:
    """The crashes in which requests were lost, and which are quarantined."""

    def __init__(self) -> None:
        """Start without evidence."""
        self._suspects: dict[str, _Suspect] = {}
        self._quarantines: dict[str, Quarantine] = {}
        # Those that were not taken over from another instance.
        self._own: set[str] = set()
        self._withdrawn: dict[str, Quarantine] = {}
        # Digests that were withdrawn since the last verdict.
        self._newly_withdrawn: list[str] = []
        self._judge_at_s: float | None = None

    def note_lost(self, digest: str, crash: Crash) -> None:
        """Add the loss of a request; what is known changes nothing."""
        if digest not in self._suspects:
            self._make_room()
        suspect = self._suspects.setdefault(digest, _Suspect())
        is_new = suspect.note_crash(crash)
        if is_new and self._judge_at_s is None:
            self._judge_at_s = crash.at_s + _SETTLE_S

    def note_answered(self, digest: str, at_s: float) -> None:
        """Clear a suspect of the crashes before an answer."""
        suspect = self._suspects.get(digest)
        if suspect is not None and at_s > suspect.answered_s:
            suspect.note_answered(at_s)
            self._judge_at_s = float('-inf')
        quarantine = self._quarantines.get(digest)
        if quarantine is not None and quarantine.imposed_s < at_s:
            self._withdraw(digest)
            self._judge_at_s = float('-inf')

    def merge(self, quarantine: Quarantine) -> None:
        """Add another instance's quarantine unless it was withdrawn here."""
        digest = quarantine.digest
        withdrawn = self._withdrawn.get(digest)
        if withdrawn is not None and not _is_later(quarantine, withdrawn):
            return
        present = self._quarantines.get(digest)
        if present is None or _is_later(quarantine, present):
            self._quarantines[digest] = quarantine

    def judge(self, now_s: float) -> Verdict:
        """Return what new evidence has changed, nothing without any."""
        if self._judge_at_s is None or now_s < self._judge_at_s:
            return Verdict()
        self._judge_at_s = None
        self._drop_old(now_s)
        guilty = {
            quarantine.digest: quarantine
            for quarantine in self._find_guilty()
            if quarantine.until_s > now_s
        }
        for digest in self._own - guilty.keys():
            self._withdraw(digest)
        imposed = [
            quarantine
            for digest, quarantine in guilty.items()
            if digest not in self._quarantines
        ]
        self._quarantines.update(guilty)
        self._own.update(guilty)
        withdrawn = self._newly_withdrawn
        self._newly_withdrawn = []
        return Verdict(imposed, withdrawn)

    def list_quarantines(self, now_s: float) -> tuple[Quarantine, ...]:
        """Return the quarantines in force."""
        return tuple(
            quarantine
            for quarantine in self._quarantines.values()
            if quarantine.until_s > now_s
        )

    def list_crashed(self, digest: str) -> list[str]:
        """Return the replicas with which a request was lost."""
        suspect = self._suspects.get(digest)
        crashes = [] if suspect is None else suspect.crashes
        return sorted({crash.replica for crash in crashes})

    def _find_guilty(self) -> list[Quarantine]:
        """Return quarantines of those that crashed enough replicas.

        Crashes in which a stronger suspect was lost are explained by it.
        """
        suspects = {
            digest: suspect
            for digest, suspect in self._suspects.items()
            if len(suspect.crashes) >= _MIN_CRASHES
            and _count_causes(suspect.crashes) >= _MIN_CRASHES
        }
        return [
            suspect.build_quarantine(digest)
            for digest, suspect in suspects.items()
            if suspect.count_unexplained(
                other
                for other in suspects.values()
                if other.strength > suspect.strength
            )
            >= _MIN_CRASHES
        ]

    def _withdraw(self, digest: str) -> None:
        self._withdrawn[digest] = self._quarantines.pop(digest)
        self._own.discard(digest)
        self._newly_withdrawn.append(digest)

    def _make_room(self) -> None:
        """Forget the weakest of too many suspects, the oldest first."""
        if len(self._suspects) < _MAX_SUSPECTS:
            return
        weakest = sorted(
            self._suspects, key=lambda digest: self._suspects[digest].strength
        )
        for digest in weakest[:_FORGOTTEN_SUSPECTS]:
            self._suspects.pop(digest)

    def _drop_old(self, now_s: float) -> None:
        oldest_s = now_s - RETENTION_S
        for digest, suspect in tuple(self._suspects.items()):
            suspect.drop_before(oldest_s)
            if not suspect.crashes:
                self._suspects.pop(digest)
        for quarantines in (self._quarantines, self._withdrawn):
            for digest, quarantine in tuple(quarantines.items()):
                if quarantine.until_s <= now_s:
                    quarantines.pop(digest)
        self._own &= self._quarantines.keys()


def _is_later(quarantine: Quarantine, other: Quarantine) -> bool:
    """Return whether a quarantine was imposed by a later crash."""
    return quarantine.imposed_s > other.imposed_s + _MERGE_TOLERANCE_S


def _count_causes(crashes: abc.Iterable[Crash]) -> int:
    """Count crashes; those of the same moment count once."""
    count = 0
    last_s = float('-inf')
    for at_s in sorted(crash.at_s for crash in crashes):
        if at_s - last_s >= _SAME_CAUSE_S:
            count += 1
        last_s = at_s
    return count
