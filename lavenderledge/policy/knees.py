"""The learned limit of concurrent requests on one replica."""

import typing

from lavenderledge.policy import speed

START_LIMIT: typing.Final = 8
LEAST_LIMIT: typing.Final = 1
MOST_LIMIT: typing.Final = 256
TARGET_GAP_S: typing.Final = 0.061

_PERIOD_S: typing.Final = 0.5
# Readings of fewer gaps than this decide nothing.
_LEAST_GAPS: typing.Final = 16
_GROW: typing.Final = 1.25
_SHRINK: typing.Final = 0.9
# The part of the target up to which the limit grows.
_HEADROOM: typing.Final = 0.9
# Throughput must still grow by this part of the batch's growth.
_LEAST_ELASTICITY: typing.Final = 0.2
_SATURATED: typing.Final = 0.8
# Periods over the target in a row before the limit shrinks.
_PATIENCE: typing.Final = 2


class Limit:
    """Grows while a full replica gains by it, and shrinks over the target.

    Readings of a period are put together, so that one noisy reading decides
    nothing.
    """

    def __init__(self, *, start: int = START_LIMIT) -> None:
        """Start from a cautious limit."""
        self.most = start
        self._began_s: float | None = None
        self._gaps = 0
        self._gap_s = float(0)
        self._batch = float(0)
        self._over = 0

    def note(
        self,
        *,
        batch: float,
        gaps: int,
        gap_s: float,
        usual: speed.Speed,
        now_s: float,
    ) -> None:
        """Take the summed gaps of a healthy replica at a batch."""
        if self._began_s is None:
            self._began_s = now_s
        self._gaps += gaps
        self._gap_s += gap_s
        self._batch += batch * gaps
        ripe = now_s - self._began_s >= _PERIOD_S
        if ripe and self._gaps >= _LEAST_GAPS:
            self._decide(usual)
            self.skip()

    def skip(self) -> None:
        """Forget the present period, as while the replica is a straggler."""
        self._began_s = None
        self._gaps = 0
        self._gap_s = float(0)
        self._batch = float(0)

    def _decide(self, usual: speed.Speed) -> None:
        gap_s = self._gap_s / self._gaps
        batch = self._batch / self._gaps
        if gap_s > TARGET_GAP_S:
            self._over += 1
            if self._over >= _PATIENCE:
                self._over = 0
                self._shrink(batch)
            return
        self._over = 0
        saturated = batch >= _SATURATED * self.most
        if saturated and gap_s <= TARGET_GAP_S * _HEADROOM:
            self._grow(usual)

    def _shrink(self, batch: float) -> None:
        reached = min(self.most, max(batch, 1))
        self.most = max(LEAST_LIMIT, int(reached * _SHRINK))

    def _grow(self, usual: speed.Speed) -> None:
        if usual.elasticity(self.most) < _LEAST_ELASTICITY:
            return
        goal = max(self.most + 1, int(self.most * _GROW))
        while goal > self.most + 1 and usual.gap_s(goal) > TARGET_GAP_S:
            goal -= 1
        self.most = min(goal, MOST_LIMIT)
