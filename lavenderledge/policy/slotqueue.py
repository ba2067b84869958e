"""The priority queue in which requests of one service wait for slots.

Ranks are strict, and each rank is served in order of arrival. A request is
late when its objective can no longer be met. It is served after the timely
requests of its own and the next rank, which can still meet theirs, and before
all lower ranks.
"""

import collections
import typing
from collections import abc

from lavenderledge.peers import slotmessages

# How many ranks a late request is moved back.
_LATE_PENALTY: typing.Final = 1.5


class WaitingRequest(typing.NamedTuple):
    """One waiting request; times are the allocator's monotonic clock."""

    sender: str
    spec: slotmessages.RequestSpec
    due_s: float
    expires_s: float

    @property
    def request_id(self) -> str:
        """Return the request's id."""
        return self.spec.request_id


def find_priority(tier: int, *, late: bool) -> float:
    """Return a request's priority; the lowest number is served first."""
    return tier + _LATE_PENALTY if late else tier


class SlotQueue:
    """The waiting requests of one service."""

    def __init__(self) -> None:
        """Start without requests."""
        self._priorities: dict[str, float] = {}
        self._queues: dict[
            float, collections.OrderedDict[str, WaitingRequest]
        ] = {}

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._priorities)

    def __contains__(self, request_id: str) -> bool:
        """Return whether a request waits."""
        return request_id in self._priorities

    def add(self, waiting: WaitingRequest, *, late: bool = False) -> None:
        """Append a request to its rank, or to the late ones of its rank."""
        priority = find_priority(waiting.spec.tier, late=late)
        self._priorities[waiting.request_id] = priority
        queue = self._queues.setdefault(priority, collections.OrderedDict())
        queue[waiting.request_id] = waiting

    def demote(self, waiting: WaitingRequest) -> None:
        """Move a request to the late ones of its rank."""
        self.remove(waiting.request_id)
        self.add(waiting, late=True)

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Remove and return a request, None if it does not wait."""
        priority = self._priorities.pop(request_id, None)
        return (
            None if priority is None else self._queues[priority].pop(request_id)
        )

    def is_late(self, waiting: WaitingRequest) -> bool:
        """Return whether a waiting request was added or demoted as late."""
        return self._priorities[waiting.request_id] != waiting.spec.tier

    def read_priority(self, waiting: WaitingRequest) -> float:
        """Return the priority of a waiting request."""
        return self._priorities[waiting.request_id]

    def walk(self) -> abc.Iterator[WaitingRequest]:
        """Yield the requests in order; yielded ones may be moved."""
        for priority in sorted(self._queues):
            yield from tuple(self._queues[priority].values())

    def count_ahead(self, priority: float) -> int:
        """Return how many requests wait at this or a higher priority."""
        return sum(
            len(queue)
            for queue_priority, queue in self._queues.items()
            if queue_priority <= priority
        )

    def list_requests(self, sender: str) -> list[str]:
        """Return the ids of one instance's waiting requests."""
        return [
            waiting.request_id
            for waiting in self.walk()
            if waiting.sender == sender
        ]

    def list_senders(self) -> set[str]:
        """Return the instances with waiting requests."""
        return {waiting.sender for waiting in self.walk()}
