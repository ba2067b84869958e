"""The rows' limits on rate, concurrency and queue, over the whole fleet."""

import math
import typing

# How long a charged request is remembered, in seconds.
_REMEMBER_S: typing.Final = 30.0


class RowLimits(typing.Protocol):
    """The cells of a row that limit it; ``None`` is no limit."""

    @property
    def rate(self) -> float | None:
        """Requests per second."""

    @property
    def burst(self) -> int | None:
        """The most requests at once."""

    @property
    def concurrency(self) -> int | None:
        """The most requests that run."""

    @property
    def queue(self) -> int:
        """The most requests that wait."""


class Level(typing.NamedTuple):
    """How many requests a token bucket would let pass at a time."""

    level: float
    read_s: float


def refill(
    bucket: Level | None, *, rate: float, burst: float, now_s: float
) -> Level:
    """Return the bucket as it stands now; a new one is full."""
    if bucket is None:
        return Level(burst, now_s)
    gained = max(now_s - bucket.read_s, 0) * rate
    return Level(min(bucket.level + gained, burst), max(now_s, bucket.read_s))


def share_count(most: int, share: float) -> int:
    """Return this view's part of a fleet-wide count, at least one."""
    return max(1, math.floor(most * share)) if most > 0 else 0


class RateLimits:
    """Token buckets by row; each request is charged once."""

    def __init__(self) -> None:
        """Start with every bucket full."""
        self._buckets: dict[str, Level] = {}
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
        """Charge a request; return seconds to wait where it is over."""
        self._forget(now_s)
        if row is None or row.rate is None or request_id in self._charged:
            return None
        rate = row.rate * share
        if rate <= 0:
            return _REMEMBER_S
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
        """Record that an earlier allocator has charged a request."""
        self._charged[request_id] = now_s

    def _forget(self, now_s: float) -> None:
        while self._charged:
            oldest = next(iter(self._charged))
            if now_s - self._charged[oldest] < _REMEMBER_S:
                return
            self._charged.pop(oldest)
