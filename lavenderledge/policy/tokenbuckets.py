"""Token buckets of customers' quotas, kept by the allocator."""

import typing

from lavenderledge.policy import routes

# Buckets that were not used for this long are full again or belong to a quota
# that was removed.
_IDLE_TIMEOUT_S: typing.Final = 60.0


# How often the buckets may be filled within one window: at the start, and once
# more by a new allocator, which does not know what was spent before.
_MAX_FILLS: typing.Final = 2.2
# Ratio of the capacity that counts as full, because refills add up with
# rounding errors.
_FULL_RATIO: typing.Final = 0.999999999


class Tolerance(typing.NamedTuple):
    """By how much a customer may exceed a quota, set by the operators.

    In any window of ``window_s`` a customer may spend (rate x window + burst)
    x (1 + ``overrun``) + ``slack``.
    """

    window_s: float
    overrun: float
    slack: float


def compute_extra_burst(quota: routes.Quota, tolerance: Tolerance) -> float:
    """Return what may be spent beyond rate and burst, once in a window.

    It is the most that the tolerance allows if all buckets are filled twice in
    a window, so that short peaks within the tolerance are not refused.
    """
    refilled = quota.rate * tolerance.window_s
    bound = (refilled + quota.burst) * (1 + tolerance.overrun) + tolerance.slack
    excess = bound - refilled - quota.burst * _MAX_FILLS
    return max(0, excess / (_MAX_FILLS + 1))


class _Bucket:
    """A token bucket; its level may be negative, which is a debt."""

    def __init__(self, *, capacity: float, now_s: float) -> None:
        self._level = capacity
        self._capacity = capacity
        self._rate = float(0)
        self._filled_at_s = now_s

    @property
    def filled_at_s(self) -> float:
        return self._filled_at_s

    def fill(self, capacity: float, rate: float, now_s: float) -> None:
        elapsed_s = max(0, now_s - self._filled_at_s)
        self._level = min(capacity, self._level + elapsed_s * rate)
        self._capacity = capacity
        self._rate = rate
        self._filled_at_s = now_s

    def fits(self, cost: float) -> bool:
        """Return whether a cost fits; above the capacity it fits if full."""
        return self._level >= min(cost, self._capacity * _FULL_RATIO)

    def covers(self, cost: float) -> bool:
        """Return whether a cost fits without a debt."""
        return self._level >= cost

    def take(self, cost: float) -> None:
        self._level -= cost

    def compute_wait_s(self, cost: float) -> float:
        """Return the seconds until a cost fits."""
        missing = min(cost, self._capacity) - self._level
        if missing <= 0:
            return 0
        # A debt that is not paid off ends when the bucket is dropped.
        return missing / self._rate if self._rate else _IDLE_TIMEOUT_S


class _BucketPair(typing.NamedTuple):
    """The buckets of a customer's quota and of the tolerated excess."""

    quota: _Bucket
    extra: _Bucket


class TokenBuckets:
    """Two buckets for each customer.

    The first is the quota itself, so that a request within it is never
    refused. A request beyond it is charged to the second one.
    """

    def __init__(self, *, tolerance: Tolerance) -> None:
        """Start with all buckets full."""
        self._tolerance = tolerance
        self._pairs: dict[str, _BucketPair] = {}

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

        ``share`` is this allocator's fraction of the quota. A cost above the
        burst takes the burst and the excess from the second bucket. A cost
        above both fits when they are full and leaves a debt.
        """
        if quota.rate <= 0:
            return 0
        pair = self._fill(customer, quota, share, now_s)
        burst = quota.burst * share
        if cost <= burst:
            return _take_from_either(pair, cost)
        excess = cost - burst
        if pair.extra.fits(excess) and pair.quota.fits(burst):
            pair.quota.take(burst)
            pair.extra.take(excess)
            return 0
        return max(
            pair.quota.compute_wait_s(burst), pair.extra.compute_wait_s(excess)
        )

    def refund(self, customer: str, cost: float) -> None:
        """Return the cost of a request that did not run."""
        pair = self._pairs.get(customer)
        if pair is not None:
            pair.quota.take(-cost)

    def drop_idle(self, now_s: float) -> None:
        """Drop buckets that were not used for ``_IDLE_TIMEOUT_S``."""
        for customer, pair in tuple(self._pairs.items()):
            if now_s - pair.quota.filled_at_s > _IDLE_TIMEOUT_S:
                self._pairs.pop(customer)

    def _fill(
        self, customer: str, quota: routes.Quota, share: float, now_s: float
    ) -> _BucketPair:
        burst = quota.burst * share
        extra = compute_extra_burst(quota, self._tolerance) * share
        pair = self._pairs.get(customer)
        if pair is None:
            pair = _BucketPair(
                _Bucket(capacity=burst, now_s=now_s),
                _Bucket(capacity=extra, now_s=now_s),
            )
            self._pairs[customer] = pair
        pair.quota.fill(burst, quota.rate * share, now_s)
        pair.extra.fill(extra, extra / self._tolerance.window_s, now_s)
        return pair


def _take_from_either(pair: _BucketPair, cost: float) -> float:
    """Take a cost from one bucket; return 0, or the seconds until it fits."""
    if pair.quota.fits(cost):
        pair.quota.take(cost)
        return 0
    if pair.extra.covers(cost):
        pair.extra.take(cost)
        return 0
    return pair.quota.compute_wait_s(cost)
