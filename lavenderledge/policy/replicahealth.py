"""Speed and availability of a replica, from the requests sent to it."""

import typing

# Weight of the newest reading in a moving average.
_DEFAULT_WEIGHT: typing.Final = 0.2
# The slowness that a replica reports changes many times a second, so older
# reports are ignored.
_SLOWNESS_MAX_AGE_S: typing.Final = 0.4
# How much longer work takes on a replica that has just started.
_COLD_FACTOR: typing.Final = 1.6
# Bounds of the exponential backoff from a replica after failures.
_MIN_BACKOFF_S: typing.Final = 0.2
_MAX_BACKOFF_S: typing.Final = 3.0
_MAX_FAILURES: typing.Final = 5
# Consecutive errors of a replica that count as a failure: a single one may be
# caused by the request.
_ERROR_THRESHOLD: typing.Final = 2
# Bound of the ratio of attempts that end in errors, so that the estimated
# number of attempts stays finite.
_MAX_ERROR_RATIO: typing.Final = 0.9
# Factor by which the sums of the linear regression decay with each reading.
_DECAY: typing.Final = 0.98
# The slope is 0 until the variance of the prompts' sizes, in thousands of
# tokens, exceeds this.
_MIN_VARIANCE: typing.Final = 0.05
_THOUSAND: typing.Final = 1000
# Bounds of a replica's first byte time relative to its service's estimate.
_MIN_RATIO: typing.Final = 0.1
_MAX_RATIO: typing.Final = 20.0


class MovingAverage:
    """An exponential moving average that starts at its first reading."""

    def __init__(self, *, weight: float = _DEFAULT_WEIGHT) -> None:
        """Start without readings; ``weight`` is that of the newest."""
        self._weight = weight
        self._mean: float | None = None

    def note(self, reading: float) -> None:
        """Add a reading."""
        if self._mean is None:
            self._mean = reading
        else:
            self._mean += self._weight * (reading - self._mean)

    def read(self, default: float) -> float:
        """Return the average, or the default without readings."""
        return default if self._mean is None else self._mean


class FirstByteEstimator:
    """Linear regression of the time to first byte over the prompt's tokens.

    It estimates the time at a replica of a service's average speed.
    """

    def __init__(self) -> None:
        """Start without readings."""
        self._sum_weights = float(0)
        self._sum_tokens = float(0)
        self._sum_squares = float(0)
        self._sum_seconds = float(0)
        self._sum_products = float(0)
        self._line = (float(0), float(0))

    def note(self, prompt_tokens: int, seconds: float) -> None:
        """Add a reading, scaled to a replica of average speed."""
        thousands = prompt_tokens / _THOUSAND
        self._sum_weights = self._sum_weights * _DECAY + 1
        self._sum_tokens = self._sum_tokens * _DECAY + thousands
        self._sum_squares = self._sum_squares * _DECAY + thousands**2
        self._sum_seconds = self._sum_seconds * _DECAY + seconds
        self._sum_products = self._sum_products * _DECAY + thousands * seconds
        self._line = self._fit()

    def estimate(self, prompt_tokens: int) -> float:
        """Return the seconds to the first byte, 0 without readings."""
        intercept, slope = self._line
        return intercept + slope * prompt_tokens / _THOUSAND

    def estimate_prefill(self, prompt_tokens: int) -> float:
        """Return the seconds of it in which the prompt is read."""
        return self._line[1] * prompt_tokens / _THOUSAND

    def _fit(self) -> tuple[float, float]:
        """Return the intercept and the seconds per thousand tokens."""
        mean_tokens = self._sum_tokens / self._sum_weights
        mean_s = self._sum_seconds / self._sum_weights
        variance = self._sum_squares / self._sum_weights - mean_tokens**2
        slope = float(0)
        if variance > _MIN_VARIANCE:
            covariance = (
                self._sum_products / self._sum_weights - mean_tokens * mean_s
            )
            slope = max(0, covariance / variance)
        return max(0, mean_s - slope * mean_tokens), slope


class ReplicaHealth:
    """One replica's speed, and whether requests may be sent to it."""

    def __init__(self, *, cold_until_s: float) -> None:
        """Start without readings."""
        self.hold_s = MovingAverage()
        self._first_byte_ratio = MovingAverage()
        self._cold_until_s = cold_until_s
        self._slowness = 1.0
        self._slowness_at_s = float('-inf')
        self._error_ratio = MovingAverage()
        self._error_ratio.note(0)
        self._consecutive_errors = 0
        self._failures = 0
        self._is_probing = False
        self._backoff_until_s = float('-inf')

    def is_available(self, now_s: float) -> bool:
        """Return whether requests may be sent."""
        return now_s >= self._backoff_until_s

    def note_granted(self, now_s: float) -> None:
        """Make the first request after a backoff the only one: a probe."""
        if self._failures:
            self._is_probing = True
            self._backoff_until_s = now_s + self._compute_backoff_s()

    def note_answer(
        self, *, ratio: float, slowness: float, now_s: float
    ) -> None:
        """Record an answered request.

        ``ratio`` is the time to its first byte relative to the service's
        estimate; 0 means that ``ratio`` or ``slowness`` is not known.
        """
        self._error_ratio.note(0)
        self._consecutive_errors = 0
        self._failures = 0
        self._backoff_until_s = float('-inf')
        if ratio > 0:
            self._first_byte_ratio.note(min(max(ratio, _MIN_RATIO), _MAX_RATIO))
        if slowness > 0:
            self._slowness = slowness
            self._slowness_at_s = now_s

    def note_error(self, now_s: float) -> None:
        """Record an error response of the replica."""
        self._error_ratio.note(1)
        self._consecutive_errors += 1
        if self._consecutive_errors >= _ERROR_THRESHOLD:
            self.note_failure(now_s)

    def note_failure(self, now_s: float) -> None:
        """Back off, for longer after each failed probe.

        Requests that were in flight at the first failure are not counted.
        """
        if self._is_probing or self.is_available(now_s):
            self._is_probing = False
            self._failures = min(self._failures + 1, _MAX_FAILURES)
        self._backoff_until_s = now_s + self._compute_backoff_s()

    @property
    def failures(self) -> int:
        """Return the number of consecutive failures, up to a bound."""
        return self._failures

    @property
    def first_byte_ratio(self) -> float:
        """Return the time to first byte relative to the service's estimate."""
        return self._first_byte_ratio.read(1)

    def estimate_attempts(self, service_error_ratio: float) -> float:
        """Return how many attempts an answer takes on average.

        Errors that requests cause occur at any replica, so only the part of
        the error ratio that exceeds ``service_error_ratio`` counts.
        """
        own_ratio = max(0, self._error_ratio.read(0) - service_error_ratio)
        return 1 / (1 - min(own_ratio, _MAX_ERROR_RATIO))

    def estimate_slowdown(self, now_s: float) -> float:
        """Return the present time of work relative to the replica's average."""
        slowdown = 1.0
        if now_s - self._slowness_at_s < _SLOWNESS_MAX_AGE_S:
            slowdown = self._slowness
        if now_s < self._cold_until_s:
            slowdown *= _COLD_FACTOR
        return slowdown

    def _compute_backoff_s(self) -> float:
        backoff_s = _MIN_BACKOFF_S * 2 ** (self._failures - 1)
        return min(backoff_s, _MAX_BACKOFF_S)
