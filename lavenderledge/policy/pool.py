"""The allocator's state of one pool: requests, replicas and limits."""

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
    """Numbers of instances that report for the pool and that are alive."""

    reporting: int
    alive: int

    @property
    def share(self) -> float:
        """Return the fraction of the capacity that may be granted here."""
        return min(1, self.reporting / max(self.alive, 1))


class Pool:
    """The state of one pool; ``allocation`` makes the decisions."""

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
        self.last_check_s = float('-inf')
        self.options: dict[str, placement.Option] = {}
        self.options_share = float(0)
        self.sequence = 0
        self._policy = policy
        self._find_row = find_row
        self._infos: abc.Sequence[replicas.ReplicaInfo] = ()

    def set_replicas(self, infos: abc.Sequence[replicas.ReplicaInfo]) -> None:
        """Replace the list of available replicas."""
        if infos is self._infos:
            return
        self._infos = infos
        listed = {info.name: info for info in infos}
        self.state.plain = any(info.kind == 'plain' for info in infos)
        for name, replica in tuple(self.state.replicas.items()):
            replica.update_info(listed.get(name))
            if replica.info is None and not replica.load.held:
                self.state.replicas.pop(name)
        for name, info in listed.items():
            if name not in self.state.replicas:
                self.state.replicas[name] = replicas.Replica(info=info)
        self.prefixes.retain(self.state.replicas)

    def update_stragglers(self, now_s: float) -> None:
        """Update every replica's straggler status."""
        median_ratio = stragglers.find_median_ratio(
            replica.slowdown.ratio() for replica in self.state.replicas.values()
        )
        for replica in self.state.replicas.values():
            replica.update_straggler_status(
                median_ratio=median_ratio, now_s=now_s
            )

    def count_free_slots(self) -> int:
        """Return the number of grants left in this share of the capacity."""
        listed = [
            replica
            for replica in self.state.replicas.values()
            if replica.info is not None
        ]
        capacity = sum(replica.limit.max_concurrency for replica in listed)
        limit = max(1, math.floor(capacity * self.fleet.share))
        return limit - sum(replica.load.held for replica in listed)

    @property
    def enforces_limits(self) -> bool:
        """Return whether the policy enforces limits and tiers."""
        return self._policy.enforces_limits

    def choose(
        self,
        request: requests.Request,
        options: abc.Sequence[placement.Option],
        now_s: float,
    ) -> placement.Choice:
        """Return the policy's choice for a request."""
        return self._policy.choose(build_demand(self, request, now_s), options)

    def is_over_limit(self, row: str) -> bool:
        """Return whether a row is at its concurrency limit."""
        found_row = self._find_row(row)
        if (
            found_row is None
            or found_row.concurrency is None
            or not self.enforces_limits
        ):
            return False
        limit = limits.scale_count(found_row.concurrency, self.fleet.share)
        return self.state.count_row_held(row) >= limit

    def update_blocked(self) -> None:
        """Unblock rows that are below their concurrency limits."""
        for row in self.state.queue.list_blocked():
            if not self.is_over_limit(row):
                self.state.queue.unblock(row)


def build_demand(
    pool: Pool, request: requests.Request, now_s: float
) -> placement.Demand:
    """Return a request's size and times for placement."""
    return placement.Demand(
        prompt_tokens=pool.state.count_prompt(request.spec.prompt_tokens),
        output_tokens=pool.state.count_output(request.spec.output_tokens),
        remaining_s=request.deadline_s - now_s,
        waited_s=now_s - request.arrived_s,
    )
