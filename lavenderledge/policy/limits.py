"""Fleet-wide limits of rows on rate, concurrency and queue length."""

import math
import typing

# How long a charged request is remembered.
_CHARGE_RETENTION_S: typing.Final = 30.0


class RowLimits(typing.Protocol):
    """The limits of a row; ``None`` means no limit."""

    @property
    def rate(self) -> float | None:
        """Requests per second."""

    @property
    def burst(self) -> int | None:
        """Maximum burst, in requests."""

    @property
    def concurrency(self) -> int | None:
        """Maximum number of running requests."""

    @property
    def queue(self) -> int:
        """Maximum number of waiting requests."""


class BucketLevel(typing.NamedTuple):
    """A token bucket's level, in requests, at a point in time."""

    level: float
    updated_s: float


def refill(
    bucket: BucketLevel | None, *, rate: float, burst: float, now_s: float
) -> BucketLevel:
    """Return the bucket refilled up to now; a new one is full."""
    if bucket is None:
        return BucketLevel(burst, now_s)
    refilled = max(now_s - bucket.updated_s, 0) * rate
    return BucketLevel(
        min(bucket.level + refilled, burst), max(now_s, bucket.updated_s)
    )


def scale_count(limit: int, share: float) -> int:
    """Return this share of a fleet-wide limit, at least 1 unless it is 0."""
    return max(1, math.floor(limit * share)) if limit > 0 else 0


class RateLimits:
    """Token buckets by row; each request is charged once."""

    def __init__(self) -> None:
        """Start with every bucket full."""
        self._buckets: dict[str, BucketLevel] = {}
        self._charged: dict[str, float] = {}

    def charge(
        self,
        request_id: str,
        *,
        name: str,
        row: RowLimits | None,
        share: float,
        now_s: float,
    ) -> float | None:
        """Charge a request; return the seconds to wait if over the limit."""
        self._drop_expired(now_s)
        if row is None or row.rate is None or request_id in self._charged:
            return None
        rate = row.rate * share
        if rate <= 0:
            return _CHARGE_RETENTION_S
        burst = row.rate if row.burst is None else row.burst
        bucket = refill(
            self._buckets.get(name),
            rate=rate,
            burst=max(1, burst * share),
            now_s=now_s,
        )
        if bucket.level < 1:
            self._buckets[name] = bucket
            return (1 - bucket.level) / rate
        self._buckets[name] = bucket._replace(level=bucket.level - 1)
        self._charged[request_id] = now_s
        return None

    def note_charged(self, request_id: str, *, now_s: float) -> None:
        """Record that a previous allocator has charged a request."""
        self._charged[request_id] = now_s

    def _drop_expired(self, now_s: float) -> None:
        while self._charged:
            oldest = next(iter(self._charged))
            if now_s - self._charged[oldest] < _CHARGE_RETENTION_S:
                return
            self._charged.pop(oldest)
