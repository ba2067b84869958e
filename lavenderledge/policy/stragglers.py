"""Detection of stragglers by their current token gaps."""

import enum
import math
import statistics
import typing
from collections import abc

# Time constant of the moving average of token gaps.
_WINDOW_S: typing.Final = 0.7
_MIN_GAPS: typing.Final = 3.0
_SUSPECT_RATIO: typing.Final = 1.8
_HEALTHY_RATIO: typing.Final = 1.35
# A suspect without readings for this long is tried again.
_READING_TIMEOUT_S: typing.Final = 2.0
_RAMP_UP_S: typing.Final = 2.0
_MIN_RAMP_UP_RATIO: typing.Final = 0.1


@enum.unique
class State(enum.Enum):
    """State of a replica with regard to stragglers."""

    NORMAL = 'normal'
    SUSPECT = 'suspect'
    RETURNING = 'returning'


class StragglerStatus(typing.NamedTuple):
    """A replica's state and its start on the allocator's clock."""

    state: State
    since_s: float


class Slowdown:
    """Ratio of a replica's current token gaps to the expected ones."""

    def __init__(self) -> None:
        """Start without readings."""
        self.last_reading_s = float('-inf')
        self._measured = float(0)
        self._expected = float(0)
        self._gaps = float(0)

    def note_gaps(
        self,
        *,
        gaps: int,
        total_gap_s: float,
        expected_gap_s: float,
        now_s: float,
    ) -> None:
        """Add the sum of ``gaps`` token gaps; older ones decay."""
        if gaps <= 0:
            return
        decay = math.exp(-max(now_s - self.last_reading_s, 0) / _WINDOW_S)
        self._measured = self._measured * decay + total_gap_s
        self._expected = self._expected * decay + gaps * expected_gap_s
        self._gaps = self._gaps * decay + gaps
        self.last_reading_s = now_s

    def ratio(self) -> float | None:
        """Return the ratio, or None if there are too few readings."""
        if self._gaps < _MIN_GAPS or self._expected <= 0:
            return None
        return self._measured / self._expected


def find_median_ratio(ratios: abc.Iterable[float | None]) -> float:
    """Return the median of the known ratios, at least 1."""
    known = [ratio for ratio in ratios if ratio is not None]
    return max(1, statistics.median_low(known)) if known else 1


def update_status(
    status: StragglerStatus,
    *,
    ratio: float | None,
    median_ratio: float,
    last_reading_s: float,
    now_s: float,
) -> StragglerStatus:
    """Return a replica's status after its latest reading or its time-out.

    ``ratio`` is its own slowdown and ``median_ratio`` the pool's: if all
    replicas are slow, none is a straggler.
    """
    relative = None if ratio is None else ratio / median_ratio
    if relative is not None and now_s - last_reading_s <= _READING_TIMEOUT_S:
        if relative > _SUSPECT_RATIO:
            return _change_state(status, State.SUSPECT, now_s)
        healthy = relative < _HEALTHY_RATIO
    else:
        healthy = (
            now_s - max(status.since_s, last_reading_s) > _READING_TIMEOUT_S
        )
    if status.state is State.SUSPECT and healthy:
        return StragglerStatus(State.RETURNING, now_s)
    returned = now_s - status.since_s >= _RAMP_UP_S
    if status.state is State.RETURNING and returned:
        return StragglerStatus(State.NORMAL, now_s)
    return status


def scale_limit(status: StragglerStatus, limit: int, *, now_s: float) -> int:
    """Return a replica's limit reduced according to its status."""
    if status.state is State.NORMAL:
        return limit
    if status.state is State.SUSPECT:
        return 0
    ratio = max((now_s - status.since_s) / _RAMP_UP_S, _MIN_RAMP_UP_RATIO)
    return max(1, min(limit, math.floor(limit * ratio)))


def _change_state(
    status: StragglerStatus, state: State, now_s: float
) -> StragglerStatus:
    if status.state is state:
        return status
    return StragglerStatus(state, now_s)
