"""The order in which requests of one service wait for slots.

Ranks are strict. Inside a rank requests go in order of arrival. One whose
objective can't be met any more goes behind the fresh ones of its own rank
and of the next, whose callers can still be served in time, and before those
of the ranks below.
"""

import collections
import typing
from collections import abc

from lavenderledge.peers import slotmessages

# How many ranks a late request goes back.
_LATE_RANKS: typing.Final = 1.5


class WaitingRequest(typing.NamedTuple):
    """One request that waits; times are the allocator's clock."""

    sender: str
    spec: slotmessages.RequestSpec
    due_s: float
    expires_s: float

    @property
    def request_id(self) -> str:
        """Return the request's id."""
        return self.spec.request_id


def find_place(tier: int, *, late: bool) -> float:
    """Return a request's place in the order, the lowest first."""
    return tier + _LATE_RANKS if late else tier


class SlotQueue:
    """The waiting requests of one service."""

    def __init__(self) -> None:
        """Start empty."""
        self._places: dict[str, float] = {}
        self._lines: dict[
            float, collections.OrderedDict[str, WaitingRequest]
        ] = {}

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._places)

    def __contains__(self, request_id: str) -> bool:
        """Return whether a request waits."""
        return request_id in self._places

    def add(self, waiting: WaitingRequest, *, late: bool = False) -> None:
        """Add a request as the newest of its rank, or of the late ones."""
        place = find_place(waiting.spec.tier, late=late)
        self._places[waiting.request_id] = place
        line = self._lines.setdefault(place, collections.OrderedDict())
        line[waiting.request_id] = waiting

    def demote(self, waiting: WaitingRequest) -> None:
        """Put a request among the late ones of its rank."""
        self.remove(waiting.request_id)
        self.add(waiting, late=True)

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Take a request out, if it is there."""
        place = self._places.pop(request_id, None)
        return None if place is None else self._lines[place].pop(request_id)

    def is_late(self, waiting: WaitingRequest) -> bool:
        """Return whether a request that waits was put among the late."""
        return self._places[waiting.request_id] != waiting.spec.tier

    def read_place(self, waiting: WaitingRequest) -> float:
        """Return the place of a request that waits, for ``count_before``."""
        return self._places[waiting.request_id]

    def walk(self) -> abc.Iterator[WaitingRequest]:
        """Yield the requests in order; those yielded may be moved."""
        for place in sorted(self._lines):
            yield from tuple(self._lines[place].values())

    def count_before(self, place: float) -> int:
        """Return how many wait at a place in the order and before it."""
        return sum(
            len(line) for each, line in self._lines.items() if each <= place
        )

    def list_requests(self, sender: str) -> list[str]:
        """Return the ids of the requests of one instance."""
        return [
            waiting.request_id
            for waiting in self.walk()
            if waiting.sender == sender
        ]

    def list_senders(self) -> set[str]:
        """Return the instances whose requests wait."""
        return {waiting.sender for waiting in self.walk()}
