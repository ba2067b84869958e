"""Telling stragglers from the pace of their tokens now."""

import enum
import math
import statistics
import typing
from collections import abc

# The time over which the present pace is taken, in seconds.
_WINDOW_S: typing.Final = 0.7
_LEAST_GAPS: typing.Final = 3.0
_SUSPECT_RATIO: typing.Final = 1.8
_HEALTHY_RATIO: typing.Final = 1.35
# After this long without readings a suspect is tried again.
_SILENCE_S: typing.Final = 2.0
_RETURN_S: typing.Final = 2.0
_RETURN_LEAST: typing.Final = 0.1


@enum.unique
class State(enum.Enum):
    """What is held of a replica's pace."""

    NORMAL = 'normal'
    SUSPECT = 'suspect'
    RETURNING = 'returning'


class StragglerStatus(typing.NamedTuple):
    """A replica's state, and since when by the allocator's clock."""

    state: State
    since_s: float


class Slowdown:
    """The ratio of a replica's token gaps now to its usual ones."""

    def __init__(self) -> None:
        """Start without readings."""
        self.last_reading_s = float('-inf')
        self._measured = float(0)
        self._usual = float(0)
        self._gaps = float(0)

    def note_gaps(
        self,
        *,
        gaps: int,
        total_gap_s: float,
        expected_gap_s: float,
        now_s: float,
    ) -> None:
        """Add the summed time of so many gaps; old ones fade."""
        if gaps <= 0:
            return
        fade = math.exp(-max(now_s - self.last_reading_s, 0) / _WINDOW_S)
        self._measured = self._measured * fade + total_gap_s
        self._usual = self._usual * fade + gaps * expected_gap_s
        self._gaps = self._gaps * fade + gaps
        self.last_reading_s = now_s

    def ratio(self) -> float | None:
        """Return the ratio, or None with too few readings."""
        if self._gaps < _LEAST_GAPS or self._usual <= 0:
            return None
        return self._measured / self._usual


def find_median_ratio(ratios: abc.Iterable[float | None]) -> float:
    """Return the ratio by which all replicas are slow, at least one."""
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
    """Return the replica's standing after its newest reading or silence.

    ``ratio`` is its own and ``common`` the pool's: where all are slow, none
    is a straggler.
    """
    relative = None if ratio is None else ratio / median_ratio
    if relative is not None and now_s - last_reading_s <= _SILENCE_S:
        if relative > _SUSPECT_RATIO:
            return _enter(status, State.SUSPECT, now_s)
        healthy = relative < _HEALTHY_RATIO
    else:
        healthy = now_s - max(status.since_s, last_reading_s) > _SILENCE_S
    if status.state is State.SUSPECT and healthy:
        return StragglerStatus(State.RETURNING, now_s)
    returned = now_s - status.since_s >= _RETURN_S
    if status.state is State.RETURNING and returned:
        return StragglerStatus(State.NORMAL, now_s)
    return status


def scale_limit(status: StragglerStatus, limit: int, *, now_s: float) -> int:
    """Return the limit that a replica's standing leaves of its own."""
    if status.state is State.NORMAL:
        return limit
    if status.state is State.SUSPECT:
        return 0
    part = max((now_s - status.since_s) / _RETURN_S, _RETURN_LEAST)
    return max(1, min(limit, math.floor(limit * part)))


def _enter(
    status: StragglerStatus, state: State, now_s: float
) -> StragglerStatus:
    if status.state is state:
        return status
    return StragglerStatus(state, now_s)
