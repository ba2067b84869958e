"""How many repeats one instance may add to a service's load."""

import collections
import typing

# Part of the instance's share that it uses; what others count differently
# and requests that cross the window's edge fit into the rest.
_USED_PART: typing.Final = 0.8


class Budget(typing.NamedTuple):
    """The fleet's bound: ratio x requests + slack, in any window."""

    ratio: float
    slack: float
    window_s: float


class RetryBudget:
    """Counts requests and repeats of one service over the last window."""

    def __init__(self, *, budget: Budget) -> None:
        """Start with an empty window."""
        self._budget = budget
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def note_request(self, now_s: float) -> None:
        """Count a request that arrived here."""
        self._expire(now_s)
        self._requests.append(now_s)

    def take(self, now_s: float, *, instance_count: int) -> bool:
        """Count a repeat if the instance's share has room for it.

        ``instance_count`` is how many share the slack.
        """
        self._expire(now_s)
        slack = self._budget.slack / max(instance_count, 1)
        most = self._budget.ratio * len(self._requests) + slack
        if len(self._repeats) + 1 > most * _USED_PART:
            return False
        self._repeats.append(now_s)
        return True

    def _expire(self, now_s: float) -> None:
        for times in (self._requests, self._repeats):
            while times and now_s - times[0] > self._budget.window_s:
                times.popleft()


class RetryBudgets:
    """A budget of its own for each service."""

    def __init__(self, *, budget: Budget) -> None:
        """Start with empty windows; each service has the same bound."""
        self._budget = budget
        self._by_service: dict[str, RetryBudget] = {}

    def find(self, service: str) -> RetryBudget:
        """Return a service's budget, made at its first request."""
        found = self._by_service.get(service)
        if found is None:
            found = RetryBudget(budget=self._budget)
            self._by_service[service] = found
        return found
