"""Budget of the retries that one instance may send to a service."""

import collections
import typing

# Fraction of its share that an instance uses. The remainder covers requests
# at the window's edges and those that other parties count differently.
_SAFETY_FACTOR: typing.Final = 0.8


class Budget(typing.NamedTuple):
    """The fleet's limit of retries: ratio x requests + slack, in any window."""

    ratio: float
    slack: float
    window_s: float


class RetryBudget:
    """Counts requests and retries of one service over the last window."""

    def __init__(self, *, budget: Budget) -> None:
        """Start with an empty window."""
        self._budget = budget
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def note_request(self, now_s: float) -> None:
        """Count a request that arrived at this instance."""
        self._expire(now_s)
        self._requests.append(now_s)

    def take(self, now_s: float, *, instance_count: int) -> bool:
        """Count a retry; return False if the budget does not allow it.

        The slack is divided by ``instance_count``.
        """
        allowed = self.allows(now_s, instance_count=instance_count)
        if allowed:
            self._retries.append(now_s)
        return allowed

    def allows(self, now_s: float, *, instance_count: int) -> bool:
        """Return whether a retry may be taken, without counting it."""
        self._expire(now_s)
        slack = self._budget.slack / max(instance_count, 1)
        limit = self._budget.ratio * len(self._requests) + slack
        return len(self._retries) + 1 <= limit * _SAFETY_FACTOR

    def _expire(self, now_s: float) -> None:
        for times in (self._requests, self._retries):
            while times and now_s - times[0] > self._budget.window_s:
                times.popleft()


class RetryBudgets:
    """The retry budgets by service."""

    def __init__(self, *, budget: Budget) -> None:
        """Start with empty windows; all services have the same limit."""
        self._budget = budget
        self._by_service: dict[str, RetryBudget] = {}

    def find(self, service: str) -> RetryBudget:
        """Return a service's budget, created at its first request."""
        budget = self._by_service.get(service)
        if budget is None:
            budget = RetryBudget(budget=self._budget)
            self._by_service[service] = budget
        return budget
