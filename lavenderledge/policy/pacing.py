"""How fast a replica is, by what requests met there."""

import statistics
import typing
from collections import abc

# Weight of the newest reading in a running mean.
_WEIGHT: typing.Final = 0.2
# A replica's own word on its machine is out of date after this, seconds: it
# changes many times a second.
_WORD_S: typing.Final = 0.4
# How much longer work takes on a replica that has just started.
_COLD_FACTOR: typing.Final = 1.6
# First closing of a replica after a failure, and the longest, seconds.
_FIRST_CLOSED_S: typing.Final = 0.2
_MOST_CLOSED_S: typing.Final = 3.0
_MOST_DOUBLINGS: typing.Final = 5


class Mean:
    """A running mean that starts at its first reading."""

    def __init__(self) -> None:
        """Start without readings."""
        self._mean: float | None = None

    def note(self, reading: float) -> None:
        """Take a reading."""
        if self._mean is None:
            self._mean = reading
        else:
            self._mean += _WEIGHT * (reading - self._mean)

    def read(self, default: float) -> float:
        """Return the mean, or the default without readings."""
        return default if self._mean is None else self._mean


class Pace:
    """One replica's pace, and whether it is open to requests.

    A pace is the seconds between pieces of a stream, or to a plain answer;
    they are compared inside one service only.
    """

    def __init__(self, *, cold_until_s: float) -> None:
        """Start without readings."""
        self.seconds = Mean()
        self._cold_until_s = cold_until_s
        self._word = 1.0
        self._word_at_s = float('-inf')
        self._failures = 0
        self._closed_until_s = float('-inf')

    def is_open(self, now_s: float) -> bool:
        """Return whether requests may be sent."""
        return now_s >= self._closed_until_s

    def note_granted(self, now_s: float) -> None:
        """Let one request try a replica that failed, and no more for now."""
        if self._failures:
            self._closed_until_s = now_s + self._closed_s()

    def note_answer(
        self, *, pace_s: float, slowness: float, now_s: float
    ) -> None:
        """Take what a request met; 0 stands for what is not known."""
        self._failures = 0
        self._closed_until_s = float('-inf')
        if pace_s > 0:
            self.seconds.note(pace_s)
        if slowness > 0:
            self._word = slowness
            self._word_at_s = now_s

    def note_failure(self, now_s: float) -> None:
        """Close for longer with each failure in a row."""
        if self.is_open(now_s) or not self._failures:
            self._failures = min(self._failures + 1, _MOST_DOUBLINGS)
        self._closed_until_s = now_s + self._closed_s()

    def expect(self, usual_s: float, now_s: float) -> float:
        """Return the pace to expect now; ``usual_s`` where none is known."""
        pace_s = self.seconds.read(usual_s)
        if now_s - self._word_at_s < _WORD_S:
            pace_s *= self._word
        if now_s < self._cold_until_s:
            pace_s *= _COLD_FACTOR
        return pace_s

    def _closed_s(self) -> float:
        closed_s = _FIRST_CLOSED_S * 2 ** (self._failures - 1)
        return min(closed_s, _MOST_CLOSED_S)


def find_usual(paces: abc.Iterable[Pace]) -> float:
    """Return the median of the known paces, 1 where none is known."""
    known = [each.seconds.read(0) for each in paces]
    return statistics.median([pace_s for pace_s in known if pace_s] or [1.0])
