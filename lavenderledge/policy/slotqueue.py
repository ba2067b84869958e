"""The priority queue in which requests of one service wait for slots.

Ranks are strict. Within a rank the slots are shared between customers, and each
customer's requests are served in order of arrival. A request is late when its
objective can no longer be met. It is served after the timely requests of its
own and the next rank, which can still meet theirs, and before all lower ranks.
"""

import collections
import copy
import heapq
import itertools
import typing
from collections import abc

from lavenderledge.peers import slotmessages
from lavenderledge.policy import fairshares

# How many ranks a late request is moved back.
_LATE_PENALTY: typing.Final = 1.5


class WaitingRequest(typing.NamedTuple):
    """One waiting request; times are the allocator's monotonic clock.

    ``work_s`` is for how long it is expected to hold a slot.
    """

    sender: str
    spec: slotmessages.RequestSpec
    due_s: float
    expires_s: float
    work_s: float = 0

    @property
    def request_id(self) -> str:
        """Return the request's id."""
        return self.spec.request_id


class Backlog(typing.NamedTuple):
    """The work of one customer that waits in a rank, in seconds of one slot.

    ``lead_s`` is the work that it got ahead of the others.
    """

    waiting_s: float
    lead_s: float


def find_priority(tier: int, *, late: bool) -> float:
    """Return a request's priority; the lowest number is served first."""
    return tier + _LATE_PENALTY if late else tier


class _CustomerQueue:
    """One customer's requests of one priority, in order of arrival."""

    def __init__(self) -> None:
        self.requests: collections.OrderedDict[str, WaitingRequest] = (
            collections.OrderedDict()
        )
        self.work_s = float(0)

    def add(self, waiting: WaitingRequest) -> None:
        self.requests[waiting.request_id] = waiting
        self.work_s += waiting.work_s

    def copy(self) -> '_CustomerQueue':
        copied = _CustomerQueue()
        copied.requests = self.requests.copy()
        copied.work_s = self.work_s
        return copied

    def pop(self, request_id: str) -> WaitingRequest:
        waiting = self.requests.pop(request_id)
        self.work_s = self.work_s - waiting.work_s if self.requests else 0
        return waiting


class SlotQueue:
    """The waiting requests of one service."""

    def __init__(self) -> None:
        """Start without requests."""
        self._places: dict[str, tuple[float, str]] = {}
        self._queues: dict[float, dict[str, _CustomerQueue]] = {}
        self._shares: dict[int, fairshares.FairShares] = {}

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._places)

    def __contains__(self, request_id: str) -> bool:
        """Return whether a request waits."""
        return request_id in self._places

    def copy(self) -> 'SlotQueue':
        """Return a copy that can be changed without changing this one."""
        copied = SlotQueue()
        copied._places = self._places.copy()
        copied._queues = {
            priority: {name: queue.copy() for name, queue in customers.items()}
            for priority, customers in self._queues.items()
        }
        copied._shares = copy.deepcopy(self._shares)
        return copied

    def add(self, waiting: WaitingRequest, *, late: bool = False) -> None:
        """Append a request to its rank, or to the late ones of its rank."""
        spec = waiting.spec
        priority = find_priority(spec.tier, late=late)
        self._places[waiting.request_id] = (priority, spec.customer)
        customers = self._queues.setdefault(priority, {})
        customers.setdefault(spec.customer, _CustomerQueue()).add(waiting)

    def demote(self, waiting: WaitingRequest) -> None:
        """Move a request to the late ones of its rank."""
        self.remove(waiting.request_id)
        self.add(waiting, late=True)

    def set_excluded(self, request_id: str, excluded: tuple[str, ...]) -> bool:
        """Replace a waiting request's exclusions; return whether it waits."""
        place = self._places.get(request_id)
        if place is None:
            return False
        priority, customer = place
        requests = self._queues[priority][customer].requests
        waiting = requests[request_id]
        requests[request_id] = waiting._replace(
            spec=waiting.spec._replace(excluded=excluded)
        )
        return True

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Remove and return a request, None if it does not wait."""
        place = self._places.pop(request_id, None)
        if place is None:
            return None
        priority, customer = place
        customers = self._queues[priority]
        queue = customers[customer]
        waiting = queue.pop(request_id)
        if not queue.requests:
            customers.pop(customer)
        return waiting

    def grant(self, waiting: WaitingRequest) -> None:
        """Remove a request that gets a slot, and charge its customer."""
        self.remove(waiting.request_id)
        spec = waiting.spec
        self._find_shares(spec.tier).charge(spec.customer, waiting.work_s)

    def is_late(self, waiting: WaitingRequest) -> bool:
        """Return whether a waiting request was added or demoted as late."""
        return self.read_priority(waiting) != waiting.spec.tier

    def read_priority(self, waiting: WaitingRequest) -> float:
        """Return the priority of a waiting request."""
        return self._places[waiting.request_id][0]

    def list_requests(self) -> list[WaitingRequest]:
        """Return all requests, by priority and customer."""
        queues = itertools.chain.from_iterable(
            self._queues[priority].values() for priority in sorted(self._queues)
        )
        return [
            waiting for queue in queues for waiting in queue.requests.values()
        ]

    def walk(self) -> abc.Iterator[WaitingRequest]:
        """Yield the requests in order; yielded ones may be granted."""
        for priority in sorted(self._queues):
            yield from self._walk_priority(priority)

    def sum_work_s(self, priority: float, *, inclusive: bool = True) -> float:
        """Return the work that waits at higher priorities, and at this one."""
        return sum(
            queue.work_s
            for queue_priority, customers in self._queues.items()
            if queue_priority < priority
            or (inclusive and queue_priority == priority)
            for queue in customers.values()
        )

    def read_backlog(self, tier: int, customer: str) -> Backlog:
        """Return the timely work of one customer that waits in a rank."""
        queue = self._queues.get(tier, {}).get(customer)
        return Backlog(
            0 if queue is None else queue.work_s,
            self._read_customer_lead_s(tier, customer),
        )

    def list_timely_tiers(self) -> set[int]:
        """Return the ranks with timely requests."""
        return {
            int(priority)
            for priority, customers in self._queues.items()
            if customers and float(priority).is_integer()
        }

    def list_customers(self, tier: int) -> list[str]:
        """Return the customers with timely requests in a rank."""
        return list(self._queues.get(tier, ()))

    def list_ids(self, sender: str) -> list[str]:
        """Return the ids of one instance's waiting requests."""
        return [
            waiting.request_id
            for waiting in self.list_requests()
            if waiting.sender == sender
        ]

    def list_senders(self) -> set[str]:
        """Return the instances with waiting requests."""
        return {waiting.sender for waiting in self.list_requests()}

    def _find_shares(self, tier: int) -> fairshares.FairShares:
        shares = self._shares.get(tier)
        if shares is None:
            shares = fairshares.FairShares()
            self._shares[tier] = shares
        return shares

    def _walk_priority(self, priority: float) -> abc.Iterator[WaitingRequest]:
        """Yield one priority's requests, the lowest lead first."""
        remaining: dict[str, abc.Iterator[WaitingRequest]] = {}
        order: list[tuple[float, str]] = []
        for customer, queue in self._queues[priority].items():
            remaining[customer] = iter(tuple(queue.requests.values()))
            lead_s = self._read_lead_s(next(iter(queue.requests.values())))
            order.append((lead_s, customer))
        heapq.heapify(order)
        while order:
            _, customer = heapq.heappop(order)
            waiting = next(remaining[customer], None)
            if waiting is None:
                continue
            yield waiting
            lead_s = self._read_lead_s(waiting)
            heapq.heappush(order, (lead_s, customer))

    def _read_lead_s(self, waiting: WaitingRequest) -> float:
        spec = waiting.spec
        return self._read_customer_lead_s(spec.tier, spec.customer)

    def _read_customer_lead_s(self, tier: int, customer: str) -> float:
        shares = self._shares.get(tier)
        return 0 if shares is None else shares.read_lead_s(customer)
