"""The replicas as options for requests in one allocation round."""

import statistics
import typing

from lavenderledge.policy import (
    digests,
    placement,
    replicas,
    requests,
)
from lavenderledge.policy import (
    pool as pools,
)

_TOKENS_PER_BLOCK: typing.Final = digests.BLOCK_CHARS // 4


class Options:
    """Options of all listed replicas; only changed ones are rebuilt."""

    def __init__(self, *, pool: pools.Pool, now_s: float) -> None:
        """Take a snapshot of the pool's replicas."""
        self._pool = pool
        self._now_s = now_s
        self._share = pool.fleet.share
        if self._share != pool.options_share:
            pool.options.clear()
            pool.options_share = self._share
        self._options = {
            name: self._find(name, replica)
            for name, replica in pool.state.replicas.items()
            if replica.info is not None
        }

    def __len__(self) -> int:
        """Return the number of listed replicas."""
        return len(self._options)

    def list_all(self) -> list[placement.Option]:
        """Return the options, not adjusted to any request."""
        return list(self._options.values())

    def has_slots(self) -> bool:
        """Return whether any replica has a free slot."""
        return any(option.slots > 0 for option in self._options.values())

    def refresh(self, name: str) -> None:
        """Rebuild a replica's option after a grant."""
        self._options[name] = self._find(name, self._pool.state.replicas[name])

    def reserve(self, name: str) -> None:
        """Reserve one slot of a replica for the rest of the round."""
        option = self._options[name]
        self._options[name] = option._replace(slots=option.slots - 1)

    def count_cached(self, request: requests.Request, name: str) -> float:
        """Return the prompt tokens expected in a replica's cache."""
        blocks = self._pool.prefixes.match(name, request.spec.prefix)
        return min(blocks * _TOKENS_PER_BLOCK, request.spec.prompt_tokens)

    def list_for(self, request: requests.Request) -> list[placement.Option]:
        """Return the options with the cached tokens of a request's prompt."""
        if not request.spec.prefix or not self._pool.enforces_limits:
            return self.list_all()
        options = []
        for name, option in self._options.items():
            cached = self.count_cached(request, name)
            if cached:
                options.append(option._replace(cached_tokens=cached))
            else:
                options.append(option)
        return options

    def exclude_lower(
        self, tier: int, options: list[placement.Option]
    ) -> list[placement.Option]:
        """Return options with token gaps as if lower tiers were cancelled."""
        adjusted = []
        for option in options:
            replica = self._pool.state.replicas[option.replica]
            lower = replica.load.count_lower(tier)
            gap_s = self._estimate_gap_s(replica, replica.load.held + 1 - lower)
            min_gap_s = gap_s * replica.find_slowdown_factor()
            adjusted.append(option._replace(min_gap_s=min_gap_s))
        return adjusted

    def _estimate_gap_s(self, replica: replicas.Replica, batch: float) -> float:
        """Return a replica's token gap, or the pool's median if unknown."""
        if replica.speed.has_readings:
            return replica.speed.estimate_gap_s(batch)
        known_gaps = [
            other.speed.estimate_gap_s(batch)
            for other in self._pool.state.replicas.values()
            if other.speed.has_readings
        ]
        if known_gaps:
            return statistics.median_low(known_gaps)
        return replica.speed.estimate_gap_s(batch)

    def _find(self, name: str, replica: replicas.Replica) -> placement.Option:
        option = self._pool.options.get(name)
        if (
            option is None
            or replica.load.changed
            or not replica.has_constant_limit
        ):
            option = self._build(name, replica)
            self._pool.options[name] = option
            replica.load.changed = False
        return option

    def _build(self, name: str, replica: replicas.Replica) -> placement.Option:
        load = replica.load
        factor = replica.find_slowdown_factor()
        gap_s = self._estimate_gap_s(replica, load.held + 1) * factor
        held = max(load.held, 1)
        return placement.Option(
            replica=name,
            slots=replica.count_slots(share=self._share, now_s=self._now_s),
            gap_s=gap_s,
            min_gap_s=gap_s,
            prefill_rate=replica.speed.prefill_rate / factor,
            queued_tokens=load.prefill_left,
            cached_tokens=0,
            free_in_s=load.output_left / held * gap_s / held,
            outstanding=load.held,
            reported_load=replica.reported_load,
            is_stale=replica.is_stale(self._now_s),
        )
