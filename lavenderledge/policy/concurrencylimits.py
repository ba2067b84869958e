"""Adaptive concurrency limit of one replica."""

import math
import typing

INITIAL_LIMIT: typing.Final = 8
MIN_LIMIT: typing.Final = 1
MAX_LIMIT: typing.Final = 256
TARGET_GAP_S: typing.Final = 0.061

_PERIOD_S: typing.Final = 0.5
# Minimum number of token gaps in a period for a decision.
_MIN_GAPS: typing.Final = 16
# Batch sizes within this ratio share a band.
_BAND_RATIO: typing.Final = 1.2
# Minimum distance, in bands, of two bands that are compared.
_MIN_BAND_DISTANCE: typing.Final = 2
_OLD_WEIGHT: typing.Final = 0.7
_FAST_GROWTH_FACTOR: typing.Final = 1.25
_GROWTH_FACTOR: typing.Final = 1.1
_SHRINK_FACTOR: typing.Final = 0.93
_MIN_SHRINK_FACTOR: typing.Final = 0.7
_MAX_SHRINK_FACTOR: typing.Final = 0.9
# The limit grows while the mean gap is at most this ratio of the target.
_GROWTH_GAP_RATIO: typing.Final = 0.9
_SATURATED_RATIO: typing.Final = 0.8
# Consecutive periods over the target before the limit shrinks.
_MAX_PERIODS_OVER: typing.Final = 2
# Relative throughput gain per relative batch gain: the limit grows above the
# first and shrinks below the second.
_GROWTH_GAIN: typing.Final = 0.45
_SHRINK_GAIN: typing.Final = 0.25


class _Band(typing.NamedTuple):
    """Mean tokens per second for batch sizes in a band."""

    batch: float
    rate: float


class Limit:
    """Grows while a saturated replica gains throughput, else shrinks.

    Throughput is compared with that of smaller batches. Readings are summed
    over a period, so that one noisy reading does not change the limit.
    """

    def __init__(self, *, start: int = INITIAL_LIMIT) -> None:
        """Start at a conservative limit."""
        self.max_concurrency = start
        self._exact_limit = float(start)
        self._bands: dict[int, _Band] = {}
        self._started_s: float | None = None
        self._gaps = 0
        self._total_gap_s = float(0)
        self._weighted_batch = float(0)
        self._periods_over = 0

    def note_gaps(
        self, *, batch: float, gaps: int, total_gap_s: float, now_s: float
    ) -> None:
        """Add the sum of token gaps of a replica that is not a straggler."""
        if self._started_s is None:
            self._started_s = now_s
        self._gaps += gaps
        self._total_gap_s += total_gap_s
        self._weighted_batch += batch * gaps
        complete = now_s - self._started_s >= _PERIOD_S
        if complete and self._gaps >= _MIN_GAPS and self._total_gap_s > 0:
            self._decide(
                batch=max(self._weighted_batch / self._gaps, 1),
                mean_gap_s=self._total_gap_s / self._gaps,
            )
            self.discard_period()

    def discard_period(self) -> None:
        """Discard the current period, e.g. while the replica is a straggler."""
        self._started_s = None
        self._gaps = 0
        self._total_gap_s = float(0)
        self._weighted_batch = float(0)

    def _decide(self, *, batch: float, mean_gap_s: float) -> None:
        gain = self._update_gain(batch, batch / mean_gap_s)
        saturated = batch >= _SATURATED_RATIO * self.max_concurrency
        if mean_gap_s > TARGET_GAP_S:
            self._periods_over += 1
            if self._periods_over >= _MAX_PERIODS_OVER:
                self._periods_over = 0
                target_ratio = TARGET_GAP_S / mean_gap_s
                shrink = min(
                    max(target_ratio, _MIN_SHRINK_FACTOR), _MAX_SHRINK_FACTOR
                )
                self._set_limit(min(self._exact_limit, batch) * shrink)
            return
        self._periods_over = 0
        below_target = mean_gap_s <= TARGET_GAP_S * _GROWTH_GAP_RATIO
        if not saturated:
            return
        if gain is None and below_target:
            self._set_limit(self._exact_limit * _FAST_GROWTH_FACTOR)
        elif gain is not None and gain < _SHRINK_GAIN:
            self._set_limit(self._exact_limit * _SHRINK_FACTOR)
        elif gain is not None and gain > _GROWTH_GAIN and below_target:
            self._set_limit(self._exact_limit * _GROWTH_FACTOR)

    def _update_gain(self, batch: float, rate: float) -> float | None:
        """Return the relative throughput gain per batch gain, if known.

        1 means in proportion to the batch, 0 means no gain.
        """
        band_number = round(math.log(batch, _BAND_RATIO))
        previous = self._bands.get(band_number)
        if previous is not None:
            batch = _OLD_WEIGHT * previous.batch + (1 - _OLD_WEIGHT) * batch
            rate = _OLD_WEIGHT * previous.rate + (1 - _OLD_WEIGHT) * rate
        self._bands[band_number] = _Band(batch, rate)
        smaller = [
            band
            for band in self._bands
            if band <= band_number - _MIN_BAND_DISTANCE
        ]
        if not smaller:
            return None
        lower = self._bands[max(smaller)]
        return math.log(rate / lower.rate) / math.log(batch / lower.batch)

    def _set_limit(self, exact: float) -> None:
        self._exact_limit = min(max(exact, MIN_LIMIT), MAX_LIMIT)
        self.max_concurrency = math.floor(self._exact_limit)
