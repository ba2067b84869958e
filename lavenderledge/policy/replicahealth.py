"""How fast a replica is, by what requests met there."""

import typing

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
# A replica that answers with errors is closed after so many in a row: a single
# one may be the fault of what was asked.
_ERRORS_IN_A_ROW: typing.Final = 2
# Bound of the part of runs that end in errors, so that a time stays finite.
_MOST_ERRORS: typing.Final = 0.9
# How much of the sums behind the line is kept at each reading.
_FADE: typing.Final = 0.98
# The line's slope is not believed before prompts have differed by so much,
# as the variance of their thousands of tokens.
_LEAST_VARIANCE: typing.Final = 0.05
_THOUSAND: typing.Final = 1000
# Bounds of one replica's factor against the service's line.
_LEAST_FACTOR: typing.Final = 0.1
_MOST_FACTOR: typing.Final = 20.0


class MovingAverage:
    """A running mean that starts at its first reading."""

    def __init__(self, *, weight: float = _WEIGHT) -> None:
        """Start without readings; ``weight`` is the newest one's."""
        self._weight = weight
        self._mean: float | None = None

    def note(self, reading: float) -> None:
        """Take a reading."""
        if self._mean is None:
            self._mean = reading
        else:
            self._mean += self._weight * (reading - self._mean)

    def read(self, default: float) -> float:
        """Return the mean, or the default without readings."""
        return default if self._mean is None else self._mean


class FirstByteEstimator:
    """The time to the first byte as a line over the prompt's tokens.

    It is a whole service's, at the pace of its usual replica.
    """

    def __init__(self) -> None:
        """Start without readings."""
        self._weight = float(0)
        self._tokens = float(0)
        self._squares = float(0)
        self._seconds = float(0)
        self._products = float(0)
        self._line = (float(0), float(0))

    def note(self, prompt_tokens: int, seconds: float) -> None:
        """Take a reading, of a replica at the usual pace."""
        thousands = prompt_tokens / _THOUSAND
        self._weight = self._weight * _FADE + 1
        self._tokens = self._tokens * _FADE + thousands
        self._squares = self._squares * _FADE + thousands**2
        self._seconds = self._seconds * _FADE + seconds
        self._products = self._products * _FADE + thousands * seconds
        self._line = self._fit()

    def expect(self, prompt_tokens: int) -> float:
        """Return the seconds to the first byte, 0 without readings."""
        base, slope = self._line
        return base + slope * prompt_tokens / _THOUSAND

    def expect_reading(self, prompt_tokens: int) -> float:
        """Return the part of it in which the prompt is read."""
        return self._line[1] * prompt_tokens / _THOUSAND

    def _fit(self) -> tuple[float, float]:
        """Return the base and the seconds for a thousand tokens."""
        mean_tokens = self._tokens / self._weight
        mean_s = self._seconds / self._weight
        variance = self._squares / self._weight - mean_tokens**2
        slope = float(0)
        if variance > _LEAST_VARIANCE:
            covariance = self._products / self._weight - mean_tokens * mean_s
            slope = max(0, covariance / variance)
        return max(0, mean_s - slope * mean_tokens), slope


class ReplicaHealth:
    """One replica's pace, and whether it is open to requests."""

    def __init__(self, *, cold_until_s: float) -> None:
        """Start without readings."""
        self.hold_s = MovingAverage()
        self._factor = MovingAverage()
        self._cold_until_s = cold_until_s
        self._word = 1.0
        self._word_at_s = float('-inf')
        self._errors = MovingAverage()
        self._errors.note(0)
        self._errors_in_a_row = 0
        self._failures = 0
        self._is_tried = False
        self._closed_until_s = float('-inf')

    def is_available(self, now_s: float) -> bool:
        """Return whether requests may be sent."""
        return now_s >= self._closed_until_s

    def note_granted(self, now_s: float) -> None:
        """Let one request try a replica that failed, and no more for now."""
        if self._failures:
            self._is_tried = True
            self._closed_until_s = now_s + self._closed_s()

    def note_answer(
        self, *, ratio: float, slowness: float, now_s: float
    ) -> None:
        """Take what a request met.

        ``ratio`` is the time to its first byte against the service's usual;
        0 stands for what is not known.
        """
        self._errors.note(0)
        self._errors_in_a_row = 0
        self._failures = 0
        self._closed_until_s = float('-inf')
        if ratio > 0:
            self._factor.note(min(max(ratio, _LEAST_FACTOR), _MOST_FACTOR))
        if slowness > 0:
            self._word = slowness
            self._word_at_s = now_s

    def note_error(self, now_s: float) -> None:
        """Take an error that the replica itself answered with."""
        self._errors.note(1)
        self._errors_in_a_row += 1
        if self._errors_in_a_row >= _ERRORS_IN_A_ROW:
            self.note_failure(now_s)

    def note_failure(self, now_s: float) -> None:
        """Close for longer with each try that fails.

        Requests that were on their way at the first failure say nothing new.
        """
        if self._is_tried or self.is_available(now_s):
            self._is_tried = False
            self._failures = min(self._failures + 1, _MOST_DOUBLINGS)
        self._closed_until_s = now_s + self._closed_s()

    @property
    def failures(self) -> int:
        """Return how many requests failed in a row, up to a bound."""
        return self._failures

    @property
    def factor(self) -> float:
        """Return the first byte's time against the service's usual."""
        return self._factor.read(1)

    def expect_runs(self, usual_errors: float) -> float:
        """Return how many runs an answer takes.

        Errors of what was asked come anywhere: only those count that are more
        than the service's ``usual_errors``, as parts of all runs.
        """
        own = max(0, self._errors.read(0) - usual_errors)
        return 1 / (1 - min(own, _MOST_ERRORS))

    def slow_by(self, now_s: float) -> float:
        """Return how much longer than usual for it work takes there now."""
        slow = 1.0
        if now_s - self._word_at_s < _WORD_S:
            slow = self._word
        if now_s < self._cold_until_s:
            slow *= _COLD_FACTOR
        return slow

    def _closed_s(self) -> float:
        closed_s = _FIRST_CLOSED_S * 2 ** (self._failures - 1)
        return min(closed_s, _MOST_CLOSED_S)
