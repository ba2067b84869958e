"""Weighted fair order of flows by virtual time."""

import heapq
import itertools
import typing

# Idle flows and stale heap entries that are kept before tidying up.
_SLACK: typing.Final = 64


class Rotation:
    """Orders the flows that have work; each is due at its tag.

    A flow's tag grows by the cost that it is charged over its weight. A flow
    that joins starts no earlier than the flow last served, so that being
    idle earns no credit.
    """

    def __init__(self) -> None:
        """Start with no flows at virtual time zero."""
        self._tags: dict[str, float] = {}
        self._joined: set[str] = set()
        self._heap: list[tuple[float, int, str]] = []
        self._order = itertools.count()
        self._virtual = float(0)

    def __len__(self) -> int:
        """Return how many flows have work."""
        return len(self._joined)

    def join(self, flow: str) -> None:
        """Add a flow that has work now."""
        if flow in self._joined:
            return
        self._joined.add(flow)
        self._tags[flow] = max(self._tags.get(flow, 0), self._virtual)
        self._push(flow)

    def leave(self, flow: str) -> None:
        """Remove a flow that has no work, or none that may be served."""
        self._joined.discard(flow)
        if len(self._tags) > 2 * len(self._joined) + _SLACK:
            self._forget_idle()

    def list_first(self, most: int) -> list[str]:
        """Return the flows due first, in order, at most so many."""
        taken: list[tuple[float, int, str]] = []
        while self._heap and len(taken) < most:
            entry = heapq.heappop(self._heap)
            if self._is_valid(entry) and entry not in taken:
                taken.append(entry)
        for entry in taken:
            heapq.heappush(self._heap, entry)
        return [flow for _, _, flow in taken]

    def charge(self, flow: str, cost: float) -> None:
        """Charge a flow that is served now with a cost over its weight."""
        tag = self._tags.get(flow, self._virtual)
        self._virtual = max(self._virtual, tag)
        self._tags[flow] = tag + cost
        if flow in self._joined:
            self._push(flow)

    def correct(self, flow: str, cost: float) -> None:
        """Change an earlier charge; a negative cost pays back."""
        if flow in self._tags and cost:
            self._tags[flow] += cost
            if flow in self._joined:
                self._push(flow)

    def _push(self, flow: str) -> None:
        entry = (self._tags[flow], next(self._order), flow)
        heapq.heappush(self._heap, entry)
        if len(self._heap) > 4 * len(self._joined) + _SLACK:
            self._rebuild()

    def _is_valid(self, entry: tuple[float, int, str]) -> bool:
        flow = entry[2]
        return flow in self._joined and self._tags[flow] == entry[0]

    def _rebuild(self) -> None:
        self._heap = [
            (self._tags[flow], next(self._order), flow)
            for flow in sorted(self._joined)
        ]
        heapq.heapify(self._heap)

    def _forget_idle(self) -> None:
        self._tags = {
            flow: tag
            for flow, tag in self._tags.items()
            if flow in self._joined or tag > self._virtual
        }
