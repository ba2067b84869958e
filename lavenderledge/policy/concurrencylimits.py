"""The learned limit of concurrent requests on one replica."""

import math
import typing

INITIAL_LIMIT: typing.Final = 8
MIN_LIMIT: typing.Final = 1
MAX_LIMIT: typing.Final = 256
TARGET_GAP_S: typing.Final = 0.061

_PERIOD_S: typing.Final = 0.5
# Readings of fewer gaps than this decide nothing.
_LEAST_GAPS: typing.Final = 16
# Batches within this ratio are taken together.
_BAND_RATIO: typing.Final = 1.2
# The least number of bands between two that are compared.
_BANDS_APART: typing.Final = 2
_KEEP: typing.Final = 0.7
_GROW_FAST: typing.Final = 1.25
_GROW: typing.Final = 1.1
_SHRINK: typing.Final = 0.93
_SHRINK_MOST: typing.Final = 0.7
_SHRINK_LEAST: typing.Final = 0.9
# The part of the target up to which the limit grows.
_HEADROOM: typing.Final = 0.9
_SATURATED: typing.Final = 0.8
# Periods over the target in a row before the limit shrinks.
_PATIENCE: typing.Final = 2
# The gain in throughput by the gain in batch: the limit grows over the
# first, and shrinks under the second.
_GOOD_GAIN: typing.Final = 0.45
_POOR_GAIN: typing.Final = 0.25


class _Band(typing.NamedTuple):
    """Tokens a second at like batches."""

    batch: float
    rate: float


class Limit:
    """Grows while a full replica gains by it, and shrinks where not.

    Readings of a period are put together, so that one noisy reading decides
    nothing; throughput is compared with that of smaller batches.
    """

    def __init__(self, *, start: int = INITIAL_LIMIT) -> None:
        """Start from a cautious limit."""
        self.max_concurrency = start
        self._exact = float(start)
        self._bands: dict[int, _Band] = {}
        self._began_s: float | None = None
        self._gaps = 0
        self._gap_s = float(0)
        self._batch = float(0)
        self._over = 0

    def note_gaps(
        self, *, batch: float, gaps: int, total_gap_s: float, now_s: float
    ) -> None:
        """Take the summed gaps of a healthy replica at a batch."""
        if self._began_s is None:
            self._began_s = now_s
        self._gaps += gaps
        self._gap_s += total_gap_s
        self._batch += batch * gaps
        ripe = now_s - self._began_s >= _PERIOD_S
        if ripe and self._gaps >= _LEAST_GAPS and self._gap_s > 0:
            self._decide(
                batch=max(self._batch / self._gaps, 1),
                gap_s=self._gap_s / self._gaps,
            )
            self.discard_period()

    def discard_period(self) -> None:
        """Forget the present period, as while the replica is a straggler."""
        self._began_s = None
        self._gaps = 0
        self._gap_s = float(0)
        self._batch = float(0)

    def _decide(self, *, batch: float, gap_s: float) -> None:
        gain = self._learn_gain(batch, batch / gap_s)
        saturated = batch >= _SATURATED * self.max_concurrency
        if gap_s > TARGET_GAP_S:
            self._over += 1
            if self._over >= _PATIENCE:
                self._over = 0
                over = TARGET_GAP_S / gap_s
                shrink = min(max(over, _SHRINK_MOST), _SHRINK_LEAST)
                self._set(min(self._exact, batch) * shrink)
            return
        self._over = 0
        roomy = gap_s <= TARGET_GAP_S * _HEADROOM
        if not saturated:
            return
        if gain is None and roomy:
            self._set(self._exact * _GROW_FAST)
        elif gain is not None and gain < _POOR_GAIN:
            self._set(self._exact * _SHRINK)
        elif gain is not None and gain > _GOOD_GAIN and roomy:
            self._set(self._exact * _GROW)

    def _learn_gain(self, batch: float, rate: float) -> float | None:
        """Return how throughput has grown with the batch, if it is known.

        1 is in proportion and 0 not at all.
        """
        number = round(math.log(batch, _BAND_RATIO))
        known = self._bands.get(number)
        if known is not None:
            batch = _KEEP * known.batch + (1 - _KEEP) * batch
            rate = _KEEP * known.rate + (1 - _KEEP) * rate
        self._bands[number] = _Band(batch, rate)
        smaller = [
            band for band in self._bands if band <= number - _BANDS_APART
        ]
        if not smaller:
            return None
        lower = self._bands[max(smaller)]
        return math.log(rate / lower.rate) / math.log(batch / lower.batch)

    def _set(self, exact: float) -> None:
        self._exact = min(max(exact, MIN_LIMIT), MAX_LIMIT)
        self.max_concurrency = math.floor(self._exact)
