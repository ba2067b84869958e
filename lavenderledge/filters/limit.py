"""The filter that bounds what this instance holds for its callers."""

import collections
import contextlib
import typing
from collections import abc

from lavenderledge import outcomes
from lavenderledge.filters import exchange

_RESERVE = 2


class Bounds(typing.NamedTuple):
    """The most that one instance holds at a time."""

    requests: int
    customer_requests: int
    body_bytes: int


class _Share(typing.NamedTuple):
    customer: str
    tier: int


class ResourceUsage:
    """What this instance holds now, in all and for each customer."""

    def __init__(self, *, bounds: Bounds) -> None:
        """Start empty."""
        self.bounds = bounds
        self.requests = 0
        self.body_bytes = 0
        self._by_customer: collections.Counter[_Share] = collections.Counter()

    def count_customer(self, customer: str, tier: int) -> int:
        """Return how many requests of a tier or higher the customer has.

        Work of lower tiers does not count, so that it can't keep a
        customer's own higher tiers out.
        """
        return sum(
            self._by_customer[_Share(customer, each)]
            for each in range(1, tier + 1)
        )

    def is_full(self, size: int) -> bool:
        """Return whether one more body of ``size`` bytes passes a bound."""
        return (
            self.requests >= self.bounds.requests
            or self.body_bytes + size > self.bounds.body_bytes
        )

    def has_reserve(self, size: int, *, displaced: bool) -> bool:
        """Return whether the reserve takes one more body of ``size`` bytes.

        One that has displaced another takes the other's place, which is
        given up a moment later; only bytes count for it.
        """
        if self.body_bytes + size > self.bounds.body_bytes * _RESERVE:
            return False
        return displaced or self.requests < self.bounds.requests * _RESERVE

    @contextlib.contextmanager
    def hold(self, customer: str, tier: int, size: int) -> abc.Iterator[None]:
        """Count one request of ``size`` bytes until the context ends."""
        share = _Share(customer, tier)
        self.requests += 1
        self.body_bytes += size
        self._by_customer[share] += 1
        try:
            yield
        finally:
            self._let_go(share, size)

    def _let_go(self, share: _Share, size: int) -> None:
        self.requests -= 1
        self.body_bytes -= size
        self._by_customer[share] -= 1
        if not self._by_customer[share]:
            self._by_customer.pop(share)


def make_limit(
    *,
    usage: ResourceUsage,
    displace: abc.Callable[[int], bool],
) -> exchange.Filter:
    """Return a filter that makes room by tier, or refuses.

    A full instance first ends a waiting request of a lower tier. Where none
    waits here, a request may use a reserve of as much again; it is pressed,
    so that the allocator grants it, by preemption if need be, or refuses it
    in the knowledge that nothing of a lower tier runs in the pool.
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
                'too many requests of this customer at this instance',
                retry_after_s=1,
            )
        displaced = False
        if usage.is_full(size):
            displaced = displace(tier)
            current.immediate = not displaced
        if not usage.has_reserve(size, displaced=displaced):
            return current.refuse(
                outcomes.Reason.MEMORY_FULL,
                'this instance holds as much as it may',
                retry_after_s=1,
            )
        current.cleanup.enter_context(usage.hold(customer, tier, size))
        return await proceed(current)

    return limit
