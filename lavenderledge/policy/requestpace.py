"""Bounds the rate of requests to one upstream."""

import typing

from lavenderledge.policy import limits

# Even an upstream that names a limit of zero gets requests at this rate: only
# an answer tells that the limit has ended.
_MIN_RATE_PER_S: typing.Final = 0.2
# Requests that fit into the bucket are sent at once. They cover the interval
# between two decisions.
_MIN_BURST: typing.Final = 1.0
_BURST_S: typing.Final = 0.1


class RequestPace:
    """A token bucket that starts empty: what was sent before is not known."""

    def __init__(self) -> None:
        """Start without a bound."""
        self._rate_per_s: float | None = None
        self._bucket: limits.BucketLevel | None = None

    def set_rate(self, rate_per_s: float | None, now_s: float) -> None:
        """Set the bound, None to remove it."""
        if rate_per_s is None:
            self._rate_per_s = None
            self._bucket = None
            return
        if self._bucket is None:
            self._bucket = limits.BucketLevel(0, now_s)
        self._refill(now_s)
        self._rate_per_s = rate_per_s

    def allows(self, now_s: float) -> bool:
        """Return whether a request may be sent."""
        self._refill(now_s)
        return self._bucket is None or self._bucket.level >= 1

    def take(self, now_s: float) -> None:
        """Count a request."""
        self._refill(now_s)
        if self._bucket is not None:
            level = self._bucket.level - 1
            self._bucket = self._bucket._replace(level=level)

    def _refill(self, now_s: float) -> None:
        if self._bucket is None or self._rate_per_s is None:
            return
        rate = self._rate_per_s
        self._bucket = limits.refill(
            self._bucket,
            rate=rate,
            burst=max(_MIN_BURST, rate * _BURST_S),
            now_s=now_s,
        )


def bound_rate(limit_per_s: float) -> float:
    """Return the rate at which requests are sent under an upstream's limit."""
    return max(limit_per_s, _MIN_RATE_PER_S)
