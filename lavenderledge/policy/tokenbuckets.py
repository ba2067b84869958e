"""Customers' quotas, counted where their requests are allocated."""

import typing

from lavenderledge.policy import routes

# Buckets of customers that were not seen for so long are full again or
# belong to a quota that has gone.
_FORGET_S: typing.Final = 60.0


# How many times a bucket may be filled within one window: at first, and once
# more at a new allocator, which knows of nothing spent.
_FILLINGS: typing.Final = 2.2


class Tolerance(typing.NamedTuple):
    """By how much the operators let a quota be passed.

    In any window of ``window_s`` a customer may spend (rate x window + burst)
    x (1 + ``overrun``) + ``slack``.
    """

    window_s: float
    overrun: float
    slack: float


def count_capacity(quota: routes.Quota, tolerance: Tolerance) -> float:
    """Return how much a full bucket holds.

    It is as much as the tolerance allows when a bucket is filled twice in a
    window, so that short peaks are not refused that the operators bear.
    """
    steady = quota.rate * tolerance.window_s
    most = (steady + quota.burst) * (1 + tolerance.overrun) + tolerance.slack
    return max(quota.burst, (most - steady) / _FILLINGS)


class _Bucket:
    def __init__(self, level: float, now_s: float) -> None:
        self.level = level
        self.read_s = now_s


class TokenBuckets:
    """A bucket for each customer."""

    def __init__(self, *, tolerance: Tolerance) -> None:
        """Start with all buckets full."""
        self._tolerance = tolerance
        self._buckets: dict[str, _Bucket] = {}

    def take(
        self,
        customer: str,
        quota: routes.Quota,
        cost: float,
        *,
        share: float,
        now_s: float,
    ) -> float:
        """Take a request's cost; return 0, or the seconds until it fits.

        ``share`` is the part of the quota that may be given out here. A cost
        over the whole burst fits when the bucket is full, which it then owes.
        """
        if quota.rate <= 0:
            return 0
        rate = quota.rate * share
        burst = count_capacity(quota, self._tolerance) * share
        bucket = self._fill(customer, rate, burst, now_s)
        missing = min(cost, burst) - bucket.level
        if missing > 0:
            return missing / rate
        bucket.level -= cost
        return 0

    def give_back(self, customer: str, cost: float) -> None:
        """Return the cost of a request that did not run."""
        bucket = self._buckets.get(customer)
        if bucket is not None:
            bucket.level += cost

    def forget_idle(self, now_s: float) -> None:
        """Drop the buckets that nobody has used of late."""
        for customer, bucket in tuple(self._buckets.items()):
            if now_s - bucket.read_s > _FORGET_S:
                self._buckets.pop(customer)

    def _fill(
        self, customer: str, rate: float, burst: float, now_s: float
    ) -> _Bucket:
        bucket = self._buckets.get(customer)
        if bucket is None:
            bucket = _Bucket(burst, now_s)
            self._buckets[customer] = bucket
        passed_s = max(0, now_s - bucket.read_s)
        bucket.level = min(burst, bucket.level + passed_s * rate)
        bucket.read_s = now_s
        return bucket
