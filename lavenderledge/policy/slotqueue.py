"""The order in which requests of one service wait for slots.

Tiers are strict. Inside a tier, requests whose objective can still be met go
first, in order of arrival; those that are late already follow, the one with
the least time left first.
"""

import collections
import typing
from collections import abc

from lavenderledge.peers import slots


class Waiting(typing.NamedTuple):
    """One request that waits; times are the allocator's clock."""

    sender: str
    wanted: slots.Wanted
    due_s: float
    expires_s: float

    @property
    def request_id(self) -> str:
        """Return the request's id."""
        return self.wanted.request_id


class SlotQueue:
    """The waiting requests of one service."""

    def __init__(self) -> None:
        """Start empty."""
        self._waiting: dict[str, Waiting] = {}
        self._tiers: dict[int, collections.OrderedDict[str, Waiting]] = {}

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    def add(self, sender: str, wanted: slots.Wanted, now_s: float) -> None:
        """Add a request as its tier's newest; a repeat changes nothing."""
        if wanted.request_id in self._waiting:
            return
        self.put_back(
            Waiting(
                sender,
                wanted,
                now_s + wanted.objective_left_s,
                now_s + wanted.remaining_s,
            ),
            newest=True,
        )

    def put_back(self, waiting: Waiting, *, newest: bool = False) -> None:
        """Return a request that was taken out to its place."""
        self._waiting[waiting.request_id] = waiting
        tier = self._tiers.setdefault(
            waiting.wanted.tier, collections.OrderedDict()
        )
        tier[waiting.request_id] = waiting
        if not newest:
            tier.move_to_end(waiting.request_id, last=False)

    def remove(self, request_id: str) -> Waiting | None:
        """Take a request out, if it is there."""
        waiting = self._waiting.pop(request_id, None)
        if waiting is not None:
            self._tiers[waiting.wanted.tier].pop(request_id, None)
        return waiting

    def pop(self, now_s: float) -> Waiting:
        """Take out the request that is next; raises KeyError if empty."""
        for tier in sorted(self._tiers):
            waiting = self._find_next(self._tiers[tier].values(), now_s)
            if waiting is not None:
                self.remove(waiting.request_id)
                return waiting
        raise KeyError('the queue is empty')

    def pop_expired(self, now_s: float) -> list[Waiting]:
        """Take out the requests whose time has run out."""
        expired = [
            waiting
            for waiting in self._waiting.values()
            if waiting.expires_s <= now_s
        ]
        for waiting in expired:
            self.remove(waiting.request_id)
        return expired

    def count_up_to(self, tier: int) -> int:
        """Return how many wait in a tier and those above it."""
        return sum(
            len(held) for number, held in self._tiers.items() if number <= tier
        )

    def list_senders(self) -> set[str]:
        """Return the instances whose requests wait."""
        return {waiting.sender for waiting in self._waiting.values()}

    def list_of(self, sender: str) -> list[str]:
        """Return the ids of the requests of one instance."""
        return [
            waiting.request_id
            for waiting in self._waiting.values()
            if waiting.sender == sender
        ]

    def _find_next(
        self, tier: abc.Iterable[Waiting], now_s: float
    ) -> Waiting | None:
        late: Waiting | None = None
        for waiting in tier:
            if waiting.due_s > now_s:
                return waiting
            if late is None or waiting.expires_s < late.expires_s:
                late = waiting
        return late
