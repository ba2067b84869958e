"""The waiting requests of one pool: strict tiers, fair order inside each."""

from collections import abc

from lavenderledge.policy import fairness, requests

_LEAST_WEIGHT = 1e-6


class _Row:
    """One row's waiting requests, by customer in order of arrival."""

    def __init__(self) -> None:
        """Start empty."""
        self.customers: dict[str, requests.Requests] = {}
        self.rotation = fairness.Rotation()
        self.weight = float(1)


class _Tier:
    """One tier's waiting requests, by row and in order of arrival."""

    def __init__(self) -> None:
        """Start empty."""
        self.rows: dict[str, _Row] = {}
        self.rotation = fairness.Rotation()
        self.arrivals: requests.Requests = {}


class Queue:
    """Waiting requests; rows share by weight, customers equally in a row."""

    def __init__(self) -> None:
        """Start empty."""
        self._tiers: dict[int, _Tier] = {}
        self._counts: dict[str, int] = {}
        self._blocked: set[str] = set()

    def __len__(self) -> int:
        """Return how many requests wait."""
        return sum(map(_count_arrivals, self._tiers.values()))

    def add(self, request: requests.Request) -> None:
        """Add a request behind its customer's others."""
        ask = request.spec
        tier = self._tiers.setdefault(ask.tier, _Tier())
        row = tier.rows.setdefault(ask.row, _Row())
        row.weight = max(ask.weight, _LEAST_WEIGHT)
        row.customers.setdefault(ask.customer, {})[ask.request_id] = request
        row.rotation.join(ask.customer)
        tier.arrivals[ask.request_id] = request
        self._counts[ask.row] = self._counts.get(ask.row, 0) + 1
        if ask.row not in self._blocked:
            tier.rotation.join(ask.row)

    def remove(self, request: requests.Request) -> None:
        """Remove a request that is in the queue."""
        ask = request.spec
        tier = self._tiers[ask.tier]
        del tier.arrivals[ask.request_id]  # noqa: WPS420
        self._counts[ask.row] -= 1
        row = tier.rows[ask.row]
        waiting = row.customers[ask.customer]
        waiting.pop(ask.request_id)
        if not waiting:
            row.customers.pop(ask.customer)
            row.rotation.leave(ask.customer)
        if not row.customers:
            tier.rotation.leave(ask.row)

    def charge(self, request: requests.Request, cost: float) -> None:
        """Charge the request's flow with a cost in tokens, at its grant."""
        tier = self._tiers.setdefault(request.spec.tier, _Tier())
        row = tier.rows.setdefault(request.spec.row, _Row())
        tier.rotation.charge(request.spec.row, cost / row.weight)
        row.rotation.charge(request.spec.customer, cost)

    def correct(self, request: requests.Request, cost: float) -> None:
        """Change what the request's flow was charged, in tokens."""
        tier = self._tiers.get(request.spec.tier)
        row = tier.rows.get(request.spec.row) if tier else None
        if tier is not None and row is not None:
            tier.rotation.correct(request.spec.row, cost / row.weight)
            row.rotation.correct(request.spec.customer, cost)

    def block(self, name: str) -> None:
        """Keep a row at its concurrency limit from being served."""
        self._blocked.add(name)
        for tier in self._tiers.values():
            tier.rotation.leave(name)

    def unblock(self, name: str) -> None:
        """Let a row be served again."""
        self._blocked.discard(name)
        for tier in self._tiers.values():
            row = tier.rows.get(name)
            if row is not None and row.customers:
                tier.rotation.join(name)

    def is_blocked(self, name: str) -> bool:
        """Return whether a row is kept from being served."""
        return name in self._blocked

    def list_blocked(self) -> tuple[str, ...]:
        """Return the rows that are kept from being served."""
        return tuple(self._blocked)

    def list_tiers(self) -> list[int]:
        """Return the tiers in which requests wait, the highest first."""
        return sorted(
            number for number, tier in self._tiers.items() if tier.arrivals
        )

    def list_first(self, number: int, most: int) -> list[requests.Request]:
        """Return a tier's requests due first, one for each flow."""
        tier = self._tiers[number]
        firsts: list[requests.Request] = []
        for name in tier.rotation.list_first(most):
            row = tier.rows[name]
            for customer in row.rotation.list_first(most - len(firsts)):
                firsts.append(next(iter(row.customers[customer].values())))
            if len(firsts) >= most:
                break
        return firsts

    def walk_arrivals(self, number: int) -> abc.Iterator[requests.Request]:
        """Iterate over a tier's requests in order of arrival."""
        return iter(self._tiers[number].arrivals.values())

    def find_newest(self, number: int) -> requests.Request:
        """Return the request that arrived last in a tier that has some."""
        return next(reversed(self._tiers[number].arrivals.values()))

    def count_row(self, name: str) -> int:
        """Return how many requests of a row wait."""
        return self._counts.get(name, 0)

    def count_tier(self, number: int) -> int:
        """Return how many requests of a tier wait."""
        tier = self._tiers.get(number)
        return len(tier.arrivals) if tier else 0


def _count_arrivals(tier: _Tier) -> int:
    return len(tier.arrivals)
