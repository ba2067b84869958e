"""Customers' quotas, counted where their requests are allocated."""

import typing

from lavenderledge.policy import routes

# Buckets of customers that were not seen for so long are full again or
# belong to a quota that has gone.
_FORGET_S: typing.Final = 60.0


# How many times the buckets may be filled within one window: at first, and once
# more at a new allocator, which knows of nothing spent.
_FILLINGS: typing.Final = 2.2
# Of a bucket's content so much counts as full: fillings are sums of parts.
_FULL_PART: typing.Final = 0.999999999


class Tolerance(typing.NamedTuple):
    """By how much the operators let a quota be passed.

    In any window of ``window_s`` a customer may spend (rate x window + burst)
    x (1 + ``overrun``) + ``slack``.
    """

    window_s: float
    overrun: float
    slack: float


def compute_extra_burst(quota: routes.Quota, tolerance: Tolerance) -> float:
    """Return what may be spent beyond rate and burst, once in a window.

    It is as much as the tolerance allows when all is filled twice in a
    window, so that short peaks are not refused that the operators bear.
    """
    steady = quota.rate * tolerance.window_s
    most = (steady + quota.burst) * (1 + tolerance.overrun) + tolerance.slack
    beyond = most - steady - quota.burst * _FILLINGS
    return max(0, beyond / (_FILLINGS + 1))


class _Bucket:
    """What is left of an amount that comes back at a rate."""

    def __init__(self, *, most: float, now_s: float) -> None:
        self._level = most
        self._most = most
        self._rate = float(0)
        self._read_s = now_s

    @property
    def read_s(self) -> float:
        return self._read_s

    def fill(self, most: float, rate: float, now_s: float) -> None:
        passed_s = max(0, now_s - self._read_s)
        self._level = min(most, self._level + passed_s * rate)
        self._most = most
        self._rate = rate
        self._read_s = now_s

    def has(self, cost: float) -> bool:
        """Return whether a cost fits; one over the whole fits a full one."""
        return self._level >= min(cost, self._most * _FULL_PART)

    def covers(self, cost: float) -> bool:
        """Return whether a cost fits that leaves no debt."""
        return self._level >= cost

    def take(self, cost: float) -> None:
        self._level -= cost

    def count_wait_s(self, cost: float) -> float:
        """Return the seconds until a cost fits."""
        missing = min(cost, self._most) - self._level
        if missing <= 0:
            return 0
        return missing / self._rate if self._rate else float('inf')


class _Purse(typing.NamedTuple):
    """A customer's quota, and what the operators bear beyond it."""

    quota: _Bucket
    extra: _Bucket


class TokenBuckets:
    """Two buckets for each customer.

    The first is the quota itself, so that whatever it allows is allowed. What
    goes beyond is taken from the second and leaves the first as it is.
    """

    def __init__(self, *, tolerance: Tolerance) -> None:
        """Start with all buckets full."""
        self._tolerance = tolerance
        self._purses: dict[str, _Purse] = {}

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
        over the whole burst takes the burst and the rest from the extra; one
        over both fits when they are full, which they then owe.
        """
        if quota.rate <= 0:
            return 0
        purse = self._fill(customer, quota, share, now_s)
        burst = quota.burst * share
        if cost <= burst:
            return _take_one_of(purse, cost)
        beyond = cost - burst
        if purse.extra.has(beyond) and purse.quota.has(burst):
            purse.quota.take(burst)
            purse.extra.take(beyond)
            return 0
        return max(
            purse.quota.count_wait_s(burst), purse.extra.count_wait_s(beyond)
        )

    def refund(self, customer: str, cost: float) -> None:
        """Return the cost of a request that did not run."""
        purse = self._purses.get(customer)
        if purse is not None:
            purse.quota.take(-cost)

    def drop_idle(self, now_s: float) -> None:
        """Drop the buckets that nobody has used of late."""
        for customer, purse in tuple(self._purses.items()):
            if now_s - purse.quota.read_s > _FORGET_S:
                self._purses.pop(customer)

    def _fill(
        self, customer: str, quota: routes.Quota, share: float, now_s: float
    ) -> _Purse:
        burst = quota.burst * share
        extra = compute_extra_burst(quota, self._tolerance) * share
        purse = self._purses.get(customer)
        if purse is None:
            purse = _Purse(
                _Bucket(most=burst, now_s=now_s),
                _Bucket(most=extra, now_s=now_s),
            )
            self._purses[customer] = purse
        purse.quota.fill(burst, quota.rate * share, now_s)
        purse.extra.fill(extra, extra / self._tolerance.window_s, now_s)
        return purse


def _take_one_of(purse: _Purse, cost: float) -> float:
    """Take a cost from the quota or from the extra; return the wait else."""
    if purse.quota.has(cost):
        purse.quota.take(cost)
        return 0
    if purse.extra.covers(cost):
        purse.extra.take(cost)
        return 0
    return purse.quota.count_wait_s(cost)
