"""One pool as its allocator sees it: requests, replicas and limits."""

import math
import typing
from collections import abc

from lavenderledge.policy import (
    intake as intakes,
)
from lavenderledge.policy import (
    limits,
    placement,
    poolstate,
    prefix,
    replicas,
    requests,
    stragglers,
)


class Fleet(typing.NamedTuple):
    """How many instances report for the pool, of those believed alive."""

    reporting: int
    alive: int

    @property
    def share(self) -> float:
        """Return the part of the capacity that this view may grant."""
        return min(1, self.reporting / max(self.alive, 1))


class Pool:
    """The state of one pool; decisions are made in ``allocation``."""

    def __init__(
        self,
        *,
        policy: placement.Policy,
        find_row: intakes.FindRow,
        now_s: float,
    ) -> None:
        """Start empty."""
        self.state = poolstate.PoolState()
        self.prefixes = prefix.PrefixHistory()
        self.intake = intakes.Intake(
            state=self.state, find_row=find_row, now_s=now_s
        )
        self.fleet = Fleet(0, 1)
        self.checked_s = float('-inf')
        self.options: dict[str, placement.Option] = {}
        self.options_share = float(0)
        self.sequence = 0
        self._policy = policy
        self._find_row = find_row
        self._infos: abc.Sequence[replicas.ReplicaInfo] = ()

    def set_replicas(self, infos: abc.Sequence[replicas.ReplicaInfo]) -> None:
        """Take the replicas that may be granted now."""
        if infos is self._infos:
            return
        self._infos = infos
        listed = {info.name: info for info in infos}
        self.state.plain = any(info.kind == 'plain' for info in infos)
        for name, replica in tuple(self.state.replicas.items()):
            replica.list_as(listed.get(name))
            if replica.info is None and not replica.load.held:
                self.state.replicas.pop(name)
        for name, info in listed.items():
            if name not in self.state.replicas:
                self.state.replicas[name] = replicas.Replica(info=info)
        self.prefixes.retain(self.state.replicas)

    def update_stragglers(self, now_s: float) -> None:
        """Tell stragglers from the rest."""
        median_ratio = stragglers.find_median_ratio(
            replica.slowdown.ratio() for replica in self.state.replicas.values()
        )
        for replica in self.state.replicas.values():
            replica.update_straggler_status(
                median_ratio=median_ratio, now_s=now_s
            )

    def count_room(self) -> int:
        """Return how many more grants the share of capacity allows."""
        listed = [
            replica
            for replica in self.state.replicas.values()
            if replica.info is not None
        ]
        capacity = sum(replica.limit.max_concurrency for replica in listed)
        most = max(1, math.floor(capacity * self.fleet.share))
        return most - sum(replica.load.held for replica in listed)

    @property
    def limited(self) -> bool:
        """Return whether the policy knows limits and tiers."""
        return self._policy.limited

    def choose(
        self,
        request: requests.Request,
        options: abc.Sequence[placement.Option],
        now_s: float,
    ) -> placement.Choice:
        """Return the policy's choice for a request."""
        return self._policy.choose(measure(self, request, now_s), options)

    def is_over_limit(self, row: str) -> bool:
        """Return whether a row runs as many requests as it may."""
        found = self._find_row(row)
        if found is None or found.concurrency is None or not self.limited:
            return False
        most = limits.share_count(found.concurrency, self.fleet.share)
        return self.state.count_row_held(row) >= most

    def update_blocked(self) -> None:
        """Let rows be served again that are under their limits now."""
        for row in self.state.queue.list_blocked():
            if not self.is_over_limit(row):
                self.state.queue.unblock(row)


def measure(
    pool: Pool, request: requests.Request, now_s: float
) -> placement.Demand:
    """Return what placement is to know of a request."""
    return placement.Demand(
        prompt_tokens=pool.state.count_prompt(request.spec.prompt_tokens),
        output_tokens=pool.state.count_output(request.spec.output_tokens),
        remaining_s=request.deadline_s - now_s,
        waited_s=now_s - request.arrived_s,
    )
