"""Token buckets of customers' quotas, kept by the allocator."""

import copy
import typing
from collections import abc

from lavenderledge.policy import routes, spending

# Buckets that were not used for this long are full again or belong to a quota
# that was removed.
_IDLE_TIMEOUT_S: typing.Final = 60.0


# How often the buckets may be filled within one window: at the start, and once
# more by a new allocator that nobody can tell what was spent before.
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

    def compute_bound(self, quota: routes.Quota) -> float:
        """Return what may be spent of a quota in a window."""
        allowed = quota.rate * self.window_s + quota.burst
        return allowed * (1 + self.overrun) + self.slack


class QuotaLevel(typing.NamedTuple):
    """What an allocator's share of a quota holds now.

    ``wait_s`` is the seconds until a request's cost fits, 0 if it fits.
    """

    level: float
    share: float
    wait_s: float


def compute_extra_burst(quota: routes.Quota, tolerance: Tolerance) -> float:
    """Return what may be spent beyond rate and burst, once in a window.

    It is the most that the tolerance allows if all buckets are filled twice in
    a window, so that short peaks within the tolerance are not refused.
    """
    refilled = quota.rate * tolerance.window_s
    bound = tolerance.compute_bound(quota)
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

    @property
    def level(self) -> float:
        return self._level

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
    """The buckets of a customer's quota and of the tolerated excess.

    They have a share of the quota.
    """

    quota: _Bucket
    extra: _Bucket
    share: float


class TokenBuckets:
    """Two buckets for each customer.

    The first is the quota itself, so that a request within it is never
    refused. A request beyond it is charged to the second one. What other
    allocators charged is taken from them too, as far as it is known, and a
    window never gets more than is tolerated.
    """

    def __init__(self, *, tolerance: Tolerance) -> None:
        """Start with all buckets full."""
        self._tolerance = tolerance
        self._pairs: dict[str, _BucketPair] = {}
        self._ledger = spending.SpendingLedger(window_s=tolerance.window_s)

    def take(
        self,
        customer: str,
        quota: routes.Quota,
        cost: float,
        *,
        request_id: str,
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
        wait_s = self._ledger.compute_wait_s(
            customer,
            cost,
            bound=self._tolerance.compute_bound(quota),
            share=share,
            now_s=now_s,
        )
        pair = self._fill(customer, quota, share, now_s)
        wait_s = wait_s or _take_from_pair(pair, quota.burst * share, cost)
        if not wait_s:
            self._ledger.charge(
                spending.Spending(request_id, customer, cost, now_s),
                share=share,
            )
        return wait_s

    def preview(
        self,
        customer: str,
        quota: routes.Quota,
        cost: float,
        *,
        share: float,
        now_s: float,
    ) -> QuotaLevel:
        """Return what ``take`` would find now; nothing is changed."""
        copied = TokenBuckets(tolerance=self._tolerance)
        copied._ledger = self._ledger.copy_customer(customer)
        pair = self._pairs.get(customer)
        if pair is not None:
            copied._pairs[customer] = copy.deepcopy(pair)
        level = copied._fill(customer, quota, share, now_s).quota.level
        wait_s = copied.take(
            customer, quota, cost, request_id='', share=share, now_s=now_s
        )
        return QuotaLevel(level, share, wait_s)

    def refund(self, customer: str, cost: float, *, request_id: str) -> None:
        """Return the cost of a request that did not run."""
        self._ledger.refund(customer, request_id)
        pair = self._pairs.get(customer)
        if pair is not None:
            pair.quota.take(-cost)

    def merge(
        self, reported: abc.Iterable[spending.Spending], now_s: float
    ) -> None:
        """Take what other allocators charged; what is known is ignored."""
        self._ledger.merge(reported, now_s)

    def list_spendings(self, now_s: float) -> abc.Sequence[spending.Spending]:
        """Return what was spent in the last window."""
        return self._ledger.list_all(now_s)

    def drop_idle(self, now_s: float) -> None:
        """Drop buckets that were not used for ``_IDLE_TIMEOUT_S``."""
        self._ledger.drop_old(now_s)
        for customer, pair in tuple(self._pairs.items()):
            if now_s - pair.quota.filled_at_s > _IDLE_TIMEOUT_S:
                self._pairs.pop(customer)

    def _fill(
        self, customer: str, quota: routes.Quota, share: float, now_s: float
    ) -> _BucketPair:
        burst = quota.burst * share
        extra = compute_extra_burst(quota, self._tolerance) * share
        window_s = self._tolerance.window_s

        def fill(filled: _BucketPair, at_s: float) -> None:
            filled.quota.fill(burst, quota.rate * share, at_s)
            filled.extra.fill(extra, extra / window_s, at_s)

        pair = self._pairs.get(customer)
        is_changed = self._ledger.take_change(customer)
        if pair is None or is_changed or share > pair.share:
            # As it would be now, had all been charged here since then.
            since_s = now_s - window_s
            pair = _BucketPair(
                _Bucket(capacity=burst, now_s=since_s),
                _Bucket(capacity=extra, now_s=since_s),
                share,
            )
            for spent in self._ledger.list_customer(customer, now_s):
                fill(pair, spent.at_s)
                _charge_pair(pair, burst, spent.cost)
        self._pairs[customer] = pair._replace(share=share)
        fill(pair, now_s)
        return pair


def _take_from_pair(pair: _BucketPair, burst: float, cost: float) -> float:
    """Take a cost from a pair; return 0, or the seconds until it fits."""
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


def _charge_pair(pair: _BucketPair, burst: float, cost: float) -> None:
    """Take a cost that was granted before, though it may not fit now."""
    within = min(cost, burst)
    if not pair.quota.fits(within):
        within = 0
    pair.quota.take(within)
    pair.extra.take(cost - within)


def _take_from_either(pair: _BucketPair, cost: float) -> float:
    """Take a cost from one bucket; return 0, or the seconds until it fits."""
    if pair.quota.fits(cost):
        pair.quota.take(cost)
        return 0
    if pair.extra.covers(cost):
        pair.extra.take(cost)
        return 0
    return pair.quota.compute_wait_s(cost)
