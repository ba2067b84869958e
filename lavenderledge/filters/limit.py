"""The filter that bounds the requests and bytes held by an instance."""

import collections
import contextlib
import typing
from collections import abc

from lavenderledge import outcomes
from lavenderledge.filters import exchange

_RESERVE_FACTOR = 2


class Bounds(typing.NamedTuple):
    """The maximum that one instance holds at a time."""

    requests: int
    customer_requests: int
    body_bytes: int


class _CustomerTier(typing.NamedTuple):
    customer: str
    tier: int


class ResourceUsage:
    """Requests and body bytes held now, in total and by customer."""

    def __init__(self, *, bounds: Bounds) -> None:
        """Start empty."""
        self.bounds = bounds
        self.requests = 0
        self.body_bytes = 0
        self._by_customer_tier: collections.Counter[_CustomerTier] = (
            collections.Counter()
        )

    def count_customer(self, customer: str, tier: int) -> int:
        """Return how many requests of a tier or higher the customer has.

        Lower tiers are not counted, so that they can't block a customer's
        own higher tiers.
        """
        return sum(
            self._by_customer_tier[_CustomerTier(customer, counted_tier)]
            for counted_tier in range(1, tier + 1)
        )

    def is_full(self, size: int) -> bool:
        """Return whether one more body of ``size`` bytes exceeds a bound."""
        return (
            self.requests >= self.bounds.requests
            or self.body_bytes + size > self.bounds.body_bytes
        )

    def has_reserve(self, size: int, *, displaced: bool) -> bool:
        """Return whether one more body of ``size`` bytes fits the reserve.

        A request that displaced another takes its place, which is freed
        shortly after; only the bound on bytes applies to it.
        """
        if self.body_bytes + size > self.bounds.body_bytes * _RESERVE_FACTOR:
            return False
        return (
            displaced or self.requests < self.bounds.requests * _RESERVE_FACTOR
        )

    @contextlib.contextmanager
    def hold(self, customer: str, tier: int, size: int) -> abc.Iterator[None]:
        """Count one request of ``size`` bytes until the context ends."""
        customer_tier = _CustomerTier(customer, tier)
        self.requests += 1
        self.body_bytes += size
        self._by_customer_tier[customer_tier] += 1
        try:
            yield
        finally:
            self._release(customer_tier, size)

    def _release(self, customer_tier: _CustomerTier, size: int) -> None:
        self.requests -= 1
        self.body_bytes -= size
        self._by_customer_tier[customer_tier] -= 1
        if not self._by_customer_tier[customer_tier]:
            self._by_customer_tier.pop(customer_tier)


def make_limit(
    *,
    usage: ResourceUsage,
    displace: abc.Callable[[int], bool],
) -> exchange.Filter:
    """Return a filter that displaces lower tiers or refuses when full.

    A full instance first ends a waiting request of a lower tier. If none
    waits here, a request may use a reserve as large as the bounds. It is
    marked immediate: the allocator then grants it, by preemption if
    necessary, or refuses it because nothing of a lower tier runs in the pool.
    """

    async def limit(
        current: exchange.Exchange, proceed: exchange.Handler
    ) -> exchange.Outcome:
        assert current.row is not None
        size = len(current.call.body)
        customer = current.identity.customer
        tier = current.row.tier
        held = usage.count_customer(customer, tier)
        if held >= usage.bounds.customer_requests:
            return current.refuse(
                outcomes.Reason.CALLER_LIMIT,
                'this customer has too many requests at this instance',
                retry_after_s=1,
            )
        displaced = False
        if usage.is_full(size):
            displaced = displace(tier)
            current.immediate = not displaced
        if not usage.has_reserve(size, displaced=displaced):
            return current.refuse(
                outcomes.Reason.MEMORY_FULL,
                'this instance is at its limit of requests or body bytes',
                retry_after_s=1,
            )
        current.cleanup.enter_context(usage.hold(customer, tier, size))
        return await proceed(current)

    return limit
