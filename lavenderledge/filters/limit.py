"""The filter that bounds what this instance holds for its callers."""

import collections
import contextlib
import typing
from collections import abc

from lavenderledge import outcomes
from lavenderledge.filters import exchange


class Bounds(typing.NamedTuple):
    """The most that one instance holds at a time."""

    requests: int
    customer_requests: int
    body_bytes: int


class Holdings:
    """What this instance holds now, in all and for each customer."""

    def __init__(self, *, bounds: Bounds) -> None:
        """Start empty."""
        self.bounds = bounds
        self.requests = 0
        self.body_bytes = 0
        self._by_customer: collections.Counter[str] = collections.Counter()

    def count_customer(self, customer: str) -> int:
        """Return how many requests the customer has here."""
        return self._by_customer[customer]

    def is_full(self, size: int) -> bool:
        """Return whether one more body of ``size`` bytes passes a bound."""
        return (
            self.requests >= self.bounds.requests
            or self.body_bytes + size > self.bounds.body_bytes
        )

    @contextlib.contextmanager
    def hold(self, customer: str, size: int) -> abc.Iterator[None]:
        """Count one request of ``size`` bytes until the context ends."""
        self.requests += 1
        self.body_bytes += size
        self._by_customer[customer] += 1
        try:
            yield
        finally:
            self._let_go(customer, size)

    def _let_go(self, customer: str, size: int) -> None:
        self.requests -= 1
        self.body_bytes -= size
        self._by_customer[customer] -= 1
        if not self._by_customer[customer]:
            self._by_customer.pop(customer)


def make_limit(
    *,
    holdings: Holdings,
    displace: abc.Callable[[int], bool],
) -> exchange.Filter:
    """Return a filter that makes room by tier, or refuses.

    A full instance first ends a waiting request of a lower tier. Where none
    waits here, a request may use a reserve of as much again, and is marked
    as pressed at the allocator.
    """

    async def limit(
        current: exchange.Exchange, proceed: exchange.Handler
    ) -> exchange.Outcome:
        size = len(current.call.body)
        customer = current.identity.customer
        assert current.row is not None
        if holdings.count_customer(customer) >= (
            holdings.bounds.customer_requests
        ):
            return current.refuse(
                outcomes.Reason.CALLER_LIMIT,
                'too many requests of this customer at this instance',
                retry_after_s=1,
            )
        if holdings.is_full(size):
            if not displace(current.row.tier):
                return current.refuse(
                    outcomes.Reason.OVERLOADED,
                    'this instance holds as much as it may',
                    retry_after_s=1,
                )
        current.cleanup.enter_context(holdings.hold(customer, size))
        return await proceed(current)

    return limit
