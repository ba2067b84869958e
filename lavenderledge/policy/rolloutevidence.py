"""Evidence against a version: failures and slow answers beside the old one's.

Replicas differ in speed and may fail for seconds, and a route may fail on all
versions. Failures are therefore counted by route, a replica's failures in a
row count once a second, and the replicas' speeds are compared as samples.
"""

import collections
import enum
import functools
import math
import statistics
import typing
from collections import abc

# The probability of so many failures, or slow answers, of a version that is
# as good as the old one, below which it is rejected. It is checked again at
# each answer, which multiplies it by about 10, and by the number of routes.
_MAX_CHANCE: typing.Final = 5e-5
# The same for evidence that delays the next phase.
_MAX_CHANCE_SUSPECT: typing.Final = 1e-3
# Prior of the old version's rate: 4 in 100, weighed as 10 answers.
_PRIOR_HITS: typing.Final = 0.4
_PRIOR_TRIALS: typing.Final = 10.0
# Fewer failures are never evidence.
_MIN_FAILURES: typing.Final = 3
_MIN_SLOW: typing.Final = 4
# A rate is evidence only if it exceeds the old version's by this factor and
# margin: large samples make differences significant that do not matter.
_RATE_FACTOR: typing.Final = 1.5
_FAILURE_MARGIN: typing.Final = 0.03
_SLOW_MARGIN: typing.Final = 0.1
# A replica's failures without an answer in between count once in this time:
# a crash fails all running requests, and some replicas fail for seconds.
_FAILURE_SPACING_S: typing.Final = 1.0
# Slow answers of one replica count once in this time: replicas are slow for
# 0.6 s for reasons of their own.
_SLOW_SPACING_S: typing.Final = 0.25
# An answer is slow beyond this multiple of its replica's lower quartile.
# Replicas are 2.5 times slower now and then.
_SLOW_FACTOR: typing.Final = 3.5
_QUARTILE: typing.Final = 0.25
# Readings after which a replica's speed is known, and how many are kept.
_MIN_READINGS: typing.Final = 4
_MAX_READINGS: typing.Final = 48
# All answers of a version are slow if the mean of its replicas' medians
# exceeds the old version's by this ratio and number of standard errors.
_MIN_SLOW_RATIO: typing.Final = 2.2
_MIN_DEVIATIONS: typing.Final = 4.5
# Lower bound of the deviation of the logarithms of the replicas' medians:
# replicas take 0.68 to 3 times as long as the average.
_MIN_DEVIATION: typing.Final = 0.47
_MIN_OLD_REPLICAS: typing.Final = 3
# A single one of several may be slow hardware, or slow for 0.6 s.
_MIN_NEW_REPLICAS: typing.Final = 3
# So many bad answers are near the 50 that the bound on exposure allows. Then
# weaker evidence is enough. Crashes alone may cause as many.
_MAX_BAD: typing.Final = 25
_MAX_CHANCE_BAD: typing.Final = 1e-4


@enum.unique
class Side(enum.IntEnum):
    """The version that a replica has."""

    OLD = 0
    NEW = 1


class Counts(typing.NamedTuple):
    """Answers and failures of a side on a route.

    ``bad`` counts all failures, ``failures`` those that are independent.
    """

    trials: int = 0
    failures: int = 0
    bad: int = 0


# A replica's name and start: names may be used again.
ReplicaKey: typing.TypeAlias = tuple[str, int]
Table: typing.TypeAlias = abc.Mapping[tuple[str, Side], Counts]


class Speed(typing.NamedTuple):
    """A replica's times to first byte, relative to the estimates.

    The lower quartile is that of normal answers also if half of them are slow.
    """

    quartile: float
    median: float


class _Reading(typing.NamedTuple):
    route: str
    ratio: float
    at_s: float


class _ReplicaReadings:
    def __init__(self) -> None:
        self.readings: collections.deque[_Reading] = collections.deque(
            maxlen=_MAX_READINGS
        )
        self.failed_s: float | None = None

    @property
    def speed(self) -> Speed | None:
        """Return the quantiles of the ratios, None if they are not known."""
        if len(self.readings) < _MIN_READINGS:
            return None
        ratios = sorted(reading.ratio for reading in self.readings)
        return Speed(
            ratios[int(len(ratios) * _QUARTILE)], statistics.median(ratios)
        )

    def list_answers(self) -> abc.Iterator[tuple[str, bool]]:
        """Yield the routes of answers that count, and whether each was slow.

        None counts as long as the replica's speed is not known.
        """
        speed = self.speed
        if speed is None:
            return
        counted_s = float('-inf')
        for reading in self.readings:
            is_slow = reading.ratio > _SLOW_FACTOR * speed.quartile
            if is_slow:
                if reading.at_s - counted_s < _SLOW_SPACING_S:
                    continue
                counted_s = reading.at_s
            yield reading.route, is_slow


class Evidence:
    """Answers and failures of both versions during one roll-out."""

    def __init__(self, counts: Table | None = None) -> None:
        """Start with the counts of a former controller."""
        self._counts: dict[tuple[str, Side], Counts] = dict(counts or {})
        self._replicas: tuple[
            dict[ReplicaKey, _ReplicaReadings],
            dict[ReplicaKey, _ReplicaReadings],
        ] = ({}, {})
        self._is_changed = True

    @property
    def counts(self) -> Table:
        """Return the counts by route and side."""
        return dict(self._counts)

    def sum_counts(self, side: Side) -> Counts:
        """Return the counts of a side over all routes."""
        listed = [
            counts for (_, own), counts in self._counts.items() if own is side
        ]
        return Counts(
            sum(counts.trials for counts in listed),
            sum(counts.failures for counts in listed),
            sum(counts.bad for counts in listed),
        )

    def note_answer(
        self,
        side: Side,
        replica: ReplicaKey,
        *,
        route: str,
        ratio: float,
        now_s: float,
    ) -> None:
        """Record an answer.

        ``ratio`` is its time to first byte relative to the estimate for an
        average replica, 0 if that is not known.
        """
        readings = self._find_readings(side, replica)
        readings.failed_s = None
        if ratio > 0:
            readings.readings.append(_Reading(route, ratio, now_s))
        self._add(side, route, Counts(trials=1))

    def note_failure(
        self, side: Side, replica: ReplicaKey, *, route: str, now_s: float
    ) -> None:
        """Record an error response, a lost run or a run without response."""
        readings = self._find_readings(side, replica)
        is_repeated = (
            readings.failed_s is not None
            and now_s - readings.failed_s < _FAILURE_SPACING_S
        )
        if is_repeated:
            self._add(side, route, Counts(bad=1))
            return
        readings.failed_s = now_s
        self._add(side, route, Counts(1, 1, 1))

    def judge(self) -> str:
        """Return what speaks against the new version, empty if nothing."""
        if not self._is_changed:
            return ''
        self._is_changed = False
        return (
            self._judge_bad()
            or self._judge_rates(_MAX_CHANCE)
            or self._judge_speeds()
        )

    def is_suspect(self) -> bool:
        """Return whether there is weak evidence against the new version."""
        return bool(self._judge_rates(_MAX_CHANCE_SUSPECT))

    def _find_readings(
        self, side: Side, replica: ReplicaKey
    ) -> _ReplicaReadings:
        return self._replicas[side].setdefault(replica, _ReplicaReadings())

    def _add(self, side: Side, route: str, added: Counts) -> None:
        former = self._counts.get((route, side), Counts())
        self._counts[route, side] = Counts(
            former.trials + added.trials,
            former.failures + added.failures,
            former.bad + added.bad,
        )
        self._is_changed = self._is_changed or side is Side.NEW

    def _judge_rates(self, max_chance: float) -> str:
        failures = functools.partial(
            _is_evidence, margin=_FAILURE_MARGIN, max_chance=max_chance
        )
        slow = functools.partial(
            _is_evidence, margin=_SLOW_MARGIN, max_chance=max_chance
        )
        failing = _find_evidence(self._counts, _MIN_FAILURES, failures)
        if failing:
            return f'failures={failing}'
        slowed = _find_evidence(self._count_slow(), _MIN_SLOW, slow)
        return f'slow={slowed}' if slowed else ''

    def _judge_bad(self) -> str:
        new = self.sum_counts(Side.NEW)
        if new.bad < _MAX_BAD:
            return ''
        total, base = _sum_routes(self._counts)
        is_evidence = _is_evidence(
            total, base, margin=_FAILURE_MARGIN, max_chance=_MAX_CHANCE_BAD
        )
        return f'bad={new.bad}' if is_evidence else ''

    def _count_slow(self) -> Table:
        """Return answers and slow ones, by route and side.

        An answer is compared with others of its own replica, so that slow
        hardware does not count.
        """
        counted: dict[tuple[str, Side], Counts] = {}
        for side in Side:
            for readings in self._replicas[side].values():
                for route, is_slow in readings.list_answers():
                    former = counted.get((route, side), Counts())
                    counted[route, side] = Counts(
                        former.trials + 1, former.failures + is_slow
                    )
        return counted

    def _judge_speeds(self) -> str:
        """Compare the speeds of the replicas of both versions."""
        new = self._list_log_speeds(Side.NEW)
        old = self._list_log_speeds(Side.OLD)
        tried = len(self._replicas[Side.NEW])
        if len(new) < min(tried, _MIN_NEW_REPLICAS) or not new:
            return ''
        if len(old) < _MIN_OLD_REPLICAS:
            return ''
        excess = statistics.fmean(new) - statistics.fmean(old)
        deviation = max(statistics.stdev(old), _MIN_DEVIATION)
        error = deviation * math.sqrt(1 / len(new) + 1 / len(old))
        limit = max(math.log(_MIN_SLOW_RATIO), _MIN_DEVIATIONS * error)
        return f'slowdown={math.exp(excess):.1f}' if excess > limit else ''

    def _list_log_speeds(self, side: Side) -> list[float]:
        speeds = [readings.speed for readings in self._replicas[side].values()]
        return [math.log(speed.median) for speed in speeds if speed]


def compute_chance(
    failures: int, trials: int, *, old_failures: float, old_trials: float
) -> float:
    """Return the probability of at least so many failures.

    The rate is that of the old version, of which only a sample is known: the
    tail of the beta-binomial distribution.
    """
    alpha = old_failures + _PRIOR_HITS
    beta = old_trials - old_failures + _PRIOR_TRIALS - _PRIOR_HITS
    whole = _log_beta(alpha, beta)
    return sum(
        math.exp(
            math.lgamma(trials + 1)
            - math.lgamma(hits + 1)
            - math.lgamma(trials - hits + 1)
            + _log_beta(alpha + hits, beta + trials - hits)
            - whole
        )
        for hits in range(failures, trials + 1)
    )


def _log_beta(alpha: float, beta: float) -> float:
    return math.lgamma(alpha) + math.lgamma(beta) - math.lgamma(alpha + beta)


def _find_evidence(
    table: Table,
    min_failures: int,
    is_evidence: abc.Callable[[Counts, Counts], bool],
) -> str:
    """Compare the rates of each route, then those of all routes together."""
    for route, side in table:
        new = table[route, side]
        if side is Side.OLD or new.failures < min_failures:
            continue
        old = table.get((route, Side.OLD), Counts())
        if is_evidence(new, old):
            return f'{new.failures}/{new.trials} route={route}'
    total, base = _sum_routes(table)
    if total.failures >= min_failures and is_evidence(total, base):
        return f'{total.failures}/{total.trials}'
    return ''


def _sum_routes(table: Table) -> tuple[Counts, Counts]:
    """Return the new version's counts, and the old one's to compare with.

    The old version's rate is weighed by the new version's requests, because
    the routes' shares may differ.
    """
    total = Counts()
    expected = float(0)
    old_trials = 0
    for route, side in table:
        if side is not Side.NEW:
            continue
        new = table[route, side]
        old = table.get((route, Side.OLD), Counts())
        rate = (old.failures + _PRIOR_HITS) / (old.trials + _PRIOR_TRIALS)
        expected += rate * new.trials
        old_trials += old.trials
        total = Counts(total.trials + new.trials, total.failures + new.failures)
    rate = expected / max(1, total.trials)
    return total, Counts(old_trials, round(rate * old_trials))


def _is_evidence(
    new: Counts, old: Counts, *, margin: float, max_chance: float
) -> bool:
    old_rate = old.failures / max(1, old.trials)
    if new.failures <= (_RATE_FACTOR * old_rate + margin) * new.trials:
        return False
    chance = compute_chance(
        new.failures,
        new.trials,
        old_failures=old.failures,
        old_trials=old.trials,
    )
    return chance < max_chance
