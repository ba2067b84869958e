"""Waiting requests of one pool: strict tiers, fair order within each."""

from collections import abc

from lavenderledge.policy import fairness, requests

_MIN_WEIGHT = 1e-6


class _Row:
    """One row's waiting requests, by customer in order of arrival."""

    def __init__(self) -> None:
        """Start empty."""
        self.customers: dict[str, requests.Requests] = {}
        self.scheduler = fairness.FlowScheduler()
        self.weight = float(1)


class _Tier:
    """One tier's waiting requests, by row and in order of arrival."""

    def __init__(self) -> None:
        """Start empty."""
        self.rows: dict[str, _Row] = {}
        self.scheduler = fairness.FlowScheduler()
        self.arrivals: requests.Requests = {}


class Queue:
    """Waiting requests; rows share by weight, a row's customers equally."""

    def __init__(self) -> None:
        """Start empty."""
        self._tiers: dict[int, _Tier] = {}
        self._waiting_by_row: dict[str, int] = {}
        self._blocked: set[str] = set()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(map(_count_arrivals, self._tiers.values()))

    def add(self, request: requests.Request) -> None:
        """Add a request after the others of its customer."""
        spec = request.spec
        tier = self._tiers.setdefault(spec.tier, _Tier())
        row = tier.rows.setdefault(spec.row, _Row())
        row.weight = max(spec.weight, _MIN_WEIGHT)
        row.customers.setdefault(spec.customer, {})[spec.request_id] = request
        row.scheduler.join(spec.customer)
        tier.arrivals[spec.request_id] = request
        self._waiting_by_row[spec.row] = (
            self._waiting_by_row.get(spec.row, 0) + 1
        )
        if spec.row not in self._blocked:
            tier.scheduler.join(spec.row)

    def remove(self, request: requests.Request) -> None:
        """Remove a request that is in the queue."""
        spec = request.spec
        tier = self._tiers[spec.tier]
        del tier.arrivals[spec.request_id]  # noqa: WPS420
        self._waiting_by_row[spec.row] -= 1
        row = tier.rows[spec.row]
        waiting = row.customers[spec.customer]
        waiting.pop(spec.request_id)
        if not waiting:
            row.customers.pop(spec.customer)
            row.scheduler.leave(spec.customer)
        if not row.customers:
            tier.scheduler.leave(spec.row)

    def charge(self, request: requests.Request, cost: float) -> None:
        """Charge the cost in tokens to the request's flow, at its grant."""
        tier = self._tiers.setdefault(request.spec.tier, _Tier())
        row = tier.rows.setdefault(request.spec.row, _Row())
        tier.scheduler.charge(request.spec.row, cost / row.weight)
        row.scheduler.charge(request.spec.customer, cost)

    def adjust(self, request: requests.Request, cost: float) -> None:
        """Adjust the charge to the request's flow, in tokens."""
        tier = self._tiers.get(request.spec.tier)
        row = tier.rows.get(request.spec.row) if tier else None
        if tier is not None and row is not None:
            tier.scheduler.adjust(request.spec.row, cost / row.weight)
            row.scheduler.adjust(request.spec.customer, cost)

    def block(self, name: str) -> None:
        """Block a row that is at its concurrency limit."""
        self._blocked.add(name)
        for tier in self._tiers.values():
            tier.scheduler.leave(name)

    def unblock(self, name: str) -> None:
        """Unblock a row."""
        self._blocked.discard(name)
        for tier in self._tiers.values():
            row = tier.rows.get(name)
            if row is not None and row.customers:
                tier.scheduler.join(name)

    def is_blocked(self, name: str) -> bool:
        """Return whether a row is blocked."""
        return name in self._blocked

    def list_blocked(self) -> tuple[str, ...]:
        """Return the blocked rows."""
        return tuple(self._blocked)

    def list_tiers(self) -> list[int]:
        """Return the tiers with waiting requests, the highest first."""
        return sorted(
            tier_number
            for tier_number, tier in self._tiers.items()
            if tier.arrivals
        )

    def list_first(
        self, tier_number: int, limit: int
    ) -> list[requests.Request]:
        """Return up to ``limit`` of a tier's next requests, one per flow."""
        tier = self._tiers[tier_number]
        first_requests: list[requests.Request] = []
        for name in tier.scheduler.list_first(limit):
            row = tier.rows[name]
            for customer in row.scheduler.list_first(
                limit - len(first_requests)
            ):
                first_requests.append(
                    next(iter(row.customers[customer].values()))
                )
            if len(first_requests) >= limit:
                break
        return first_requests

    def walk_arrivals(self, tier_number: int) -> abc.Iterator[requests.Request]:
        """Iterate over a tier's requests in order of arrival."""
        return iter(self._tiers[tier_number].arrivals.values())

    def find_newest(self, tier_number: int) -> requests.Request:
        """Return the newest request of a tier that is not empty."""
        return next(reversed(self._tiers[tier_number].arrivals.values()))

    def count_row(self, name: str) -> int:
        """Return the number of waiting requests of a row."""
        return self._waiting_by_row.get(name, 0)

    def count_tier(self, tier_number: int) -> int:
        """Return the number of waiting requests of a tier."""
        tier = self._tiers.get(tier_number)
        return len(tier.arrivals) if tier else 0


def _count_arrivals(tier: _Tier) -> int:
    return len(tier.arrivals)
