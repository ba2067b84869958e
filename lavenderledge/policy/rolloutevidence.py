"""Evidence against a version: failures and slow answers beside the old one's.

Replicas differ in speed and may fail for seconds, and a route may fail on all
versions. Failures are therefore counted by route, a replica's failures in a
row count once a second, and the replicas' speeds are compared as samples.
"""

import collections
import enum
import math
import statistics
import typing
from collections import abc

# The probability of so many failures, or slow answers, of a version that is
# as good as the old one, below which it is rejected. It is checked again at
# each answer, which multiplies it by about 10, and by the number of routes.
_MAX_CHANCE: typing.Final = 2e-5
# Prior of the old version's rate: 4 in 100, weighed as 10 answers.
_PRIOR_HITS: typing.Final = 0.4
_PRIOR_TRIALS: typing.Final = 10.0
# Fewer failures are never evidence.
_MIN_FAILURES: typing.Final = 3
_MIN_SLOW: typing.Final = 5
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
# An answer is slow beyond this multiple of its replica's lower quartile, which
# is that of the normal answers also if half of the answers are slow. Replicas
# are 2.5 times slower now and then.
_SLOW_FACTOR: typing.Final = 3.5
_QUARTILE: typing.Final = 0.25
# Readings after which a replica's speed is known, and how many are kept.
_MIN_READINGS: typing.Final = 5
_MAX_READINGS: typing.Final = 48
# All answers of a version are slow if the mean of its replicas' medians
# exceeds the old version's by this ratio and number of standard errors.
_MIN_SLOW_RATIO: typing.Final = 2.2
_MIN_DEVIATIONS: typing.Final = 4.0
# Lower bound of the deviation of the logarithms of the replicas' medians:
# replicas take 0.68 to 3 times as long as the average.
_MIN_DEVIATION: typing.Final = 0.43
_MIN_OLD_REPLICAS: typing.Final = 3
# Answers that are bad by any count, well below the 50 that the bound on
# exposure allows, end the roll-out if the old version has far fewer.
_MAX_BAD: typing.Final = 25
_BAD_FACTOR: typing.Final = 3.0
_BAD_MARGIN: typing.Final = 0.05


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


class _ReplicaReadings:
    def __init__(self) -> None:
        self.ratios: collections.deque[float] = collections.deque(
            maxlen=_MAX_READINGS
        )
        self.readings: collections.deque[tuple[str, float, float]] = (
            collections.deque(maxlen=_MAX_READINGS)
        )
        self.failed_s: float | None = None

    @property
    def median(self) -> float | None:
        """Return the median ratio, None as long as it is not known."""
        if len(self.ratios) < _MIN_READINGS:
            return None
        return statistics.median(self.ratios)

    def list_answers(self) -> abc.Iterator[tuple[str, bool]]:
        """Yield the routes of answers that count, and whether each was slow.

        None counts as long as the replica's speed is not known.
        """
        if len(self.ratios) < _MIN_READINGS:
            return
        quartile = sorted(self.ratios)[int(len(self.ratios) * _QUARTILE)]
        counted_s = float('-inf')
        for route, ratio, now_s in self.readings:
            is_slow = ratio > _SLOW_FACTOR * quartile
            if is_slow:
                if now_s - counted_s < _SLOW_SPACING_S:
                    continue
                counted_s = now_s
            yield route, is_slow


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
            readings.ratios.append(ratio)
            readings.readings.append((route, ratio, now_s))
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
            or _judge_rates(
                self._counts, _MIN_FAILURES, _FAILURE_MARGIN, 'failures'
            )
            or _judge_rates(self._count_slow(), _MIN_SLOW, _SLOW_MARGIN, 'slow')
            or self._judge_medians()
        )

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

    def _judge_bad(self) -> str:
        new = self.sum_counts(Side.NEW)
        if new.bad < _MAX_BAD:
            return ''
        old = self.sum_counts(Side.OLD)
        old_rate = old.bad / max(1, _count_all(old))
        limit = _BAD_FACTOR * old_rate + _BAD_MARGIN
        return f'bad={new.bad}' if new.bad > limit * _count_all(new) else ''

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

    def _judge_medians(self) -> str:
        """Compare the speeds of the replicas of both versions."""
        new = self._list_log_medians(Side.NEW)
        old = self._list_log_medians(Side.OLD)
        if not new or len(old) < _MIN_OLD_REPLICAS:
            return ''
        excess = statistics.fmean(new) - statistics.fmean(old)
        deviation = max(statistics.stdev(old), _MIN_DEVIATION)
        error = deviation * math.sqrt(1 / len(new) + 1 / len(old))
        limit = max(math.log(_MIN_SLOW_RATIO), _MIN_DEVIATIONS * error)
        return f'slowdown={math.exp(excess):.1f}' if excess > limit else ''

    def _list_log_medians(self, side: Side) -> list[float]:
        medians = [
            readings.median for readings in self._replicas[side].values()
        ]
        return [math.log(median) for median in medians if median]


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


def _count_all(counts: Counts) -> int:
    """Return the answers and all failures."""
    return counts.trials - counts.failures + counts.bad


def _judge_rates(
    table: Table, min_failures: int, margin: float, name: str
) -> str:
    """Compare the rates of each route, then those of all routes together.

    The old version's rate over all routes is weighed by the new version's
    requests, because the routes' shares may differ.
    """
    total = Counts()
    expected = float(0)
    old_trials = 0
    for route, side in table:
        if side is not Side.NEW:
            continue
        new = table[route, side]
        old = table.get((route, Side.OLD), Counts())
        if _is_evidence(new, old, min_failures, margin):
            return f'{name}={new.failures}/{new.trials} route={route}'
        rate = (old.failures + _PRIOR_HITS) / (old.trials + _PRIOR_TRIALS)
        expected += rate * new.trials
        old_trials += old.trials
        total = Counts(total.trials + new.trials, total.failures + new.failures)
    if not total.trials:
        return ''
    rate = expected / total.trials
    base = Counts(old_trials, round(rate * old_trials))
    if _is_evidence(total, base, min_failures, margin):
        return f'{name}={total.failures}/{total.trials}'
    return ''


def _is_evidence(
    new: Counts, old: Counts, min_failures: int, margin: float
) -> bool:
    if new.failures < min_failures:
        return False
    old_rate = old.failures / max(1, old.trials)
    if new.failures <= (_RATE_FACTOR * old_rate + margin) * new.trials:
        return False
    chance = compute_chance(
        new.failures,
        new.trials,
        old_failures=old.failures,
        old_trials=old.trials,
    )
    return chance < _MAX_CHANCE
