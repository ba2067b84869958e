"""Weighted fair queueing of flows by virtual time."""

import heapq
import itertools
import typing

# Idle flows and stale heap entries that are kept before a clean-up.
_MAX_STALE_ENTRIES: typing.Final = 64


class FlowScheduler:
    """Orders flows that have work by their virtual time tags.

    A flow's tag grows by each charged cost divided by its weight. A flow
    that joins starts no earlier than the flow last served, so that idle time
    earns no credit.
    """

    def __init__(self) -> None:
        """Create a scheduler without flows at virtual time zero."""
        self._tags: dict[str, float] = {}
        self._joined: set[str] = set()
        self._heap: list[tuple[float, int, str]] = []
        self._order = itertools.count()
        self._virtual_time = float(0)

    def __len__(self) -> int:
        """Return the number of flows that have work."""
        return len(self._joined)

    def join(self, flow: str) -> None:
        """Add a flow that has work."""
        if flow in self._joined:
            return
        self._joined.add(flow)
        self._tags[flow] = max(self._tags.get(flow, 0), self._virtual_time)
        self._push(flow)

    def leave(self, flow: str) -> None:
        """Remove a flow that has no work or is blocked."""
        self._joined.discard(flow)
        if len(self._tags) > 2 * len(self._joined) + _MAX_STALE_ENTRIES:
            self._drop_idle()

    def list_first(self, limit: int) -> list[str]:
        """Return up to ``limit`` flows in order of their tags."""
        entries: list[tuple[float, int, str]] = []
        while self._heap and len(entries) < limit:
            entry = heapq.heappop(self._heap)
            if self._is_valid(entry) and entry not in entries:
                entries.append(entry)
        for entry in entries:
            heapq.heappush(self._heap, entry)
        return [flow for _, _, flow in entries]

    def charge(self, flow: str, cost: float) -> None:
        """Charge a served flow; ``cost`` is already divided by its weight."""
        tag = self._tags.get(flow, self._virtual_time)
        self._virtual_time = max(self._virtual_time, tag)
        self._tags[flow] = tag + cost
        if flow in self._joined:
            self._push(flow)

    def adjust(self, flow: str, cost: float) -> None:
        """Adjust an earlier charge; a negative cost is a refund."""
        if flow in self._tags and cost:
            self._tags[flow] += cost
            if flow in self._joined:
                self._push(flow)

    def _push(self, flow: str) -> None:
        entry = (self._tags[flow], next(self._order), flow)
        heapq.heappush(self._heap, entry)
        if len(self._heap) > 4 * len(self._joined) + _MAX_STALE_ENTRIES:
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

    def _drop_idle(self) -> None:
        self._tags = {
            flow: tag
            for flow, tag in self._tags.items()
            if flow in self._joined or tag > self._virtual_time
        }
