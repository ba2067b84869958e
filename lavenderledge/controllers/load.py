"""Polls upstreams for readiness, and engines for load and cache events."""

import asyncio
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge import timing
from lavenderledge.policy import prefix, replicas
from lavenderledge.upstreams import observation

_POLL_INTERVAL_S = 1.0
_MAX_CONCURRENT_POLLS = 16
_ENGINE_KIND = 'engine'


class ReportReceiver(typing.Protocol):
    """The receiver of load reports and cache events."""

    def note_load(
        self, pool: str, replica: str, running: int, waiting: int
    ) -> None:
        """Apply a load report."""

    def note_cache_events(
        self,
        pool: str,
        replica: str,
        events: abc.Iterable[prefix.CacheEvent],
        events_lost: bool,
    ) -> None:
        """Apply cache events; ``events_lost`` tells of a gap."""


class LoadPoller:
    """Polls the replicas of the pools that this instance allocates."""

    def __init__(
        self,
        *,
        observer: observation.Observer,
        clock: clocks.Clock,
        receiver: ReportReceiver,
        list_pools: abc.Callable[[], abc.Iterable[str]],
        list_replicas: abc.Callable[[str], abc.Iterable[replicas.ReplicaInfo]],
        note_readiness: abc.Callable[[str, str, bool], None],
        count_failure: abc.Callable[[str], None],
    ) -> None:
        """Create a poller without positions in the cache events.

        ``list_replicas`` also returns replicas that are not ready.
        ``note_readiness`` gets the pool, the replica and whether it is ready.
        """
        self._observer = observer
        self._clock = clock
        self._receiver = receiver
        self._list_pools = list_pools
        self._list_replicas = list_replicas
        self._note_readiness = note_readiness
        self._count_failure = count_failure
        self._positions: dict[tuple[str, str], int] = {}
        self._semaphore = asyncio.Semaphore(_MAX_CONCURRENT_POLLS)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await self._clock.sleep(timing.seconds(_POLL_INTERVAL_S))

    async def poll(self) -> None:
        """Poll each replica once."""
        targets = [
            (pool, replica)
            for pool in self._list_pools()
            for replica in self._list_replicas(pool)
        ]
        current = {(pool, replica.name) for pool, replica in targets}
        for key in self._positions.keys() - current:
            self._positions.pop(key)
        await asyncio.gather(
            *(self._poll_replica(pool, replica) for pool, replica in targets)
        )

    async def _poll_replica(
        self, pool: str, replica: replicas.ReplicaInfo
    ) -> None:
        async with self._semaphore:
            ready = await self._observer.read_readiness(replica.address)
            if ready.is_error():
                self._count_failure('readiness')
                return
            self._note_readiness(pool, replica.name, ready.ok)
            if replica.kind == _ENGINE_KIND:
                await self._poll_engine(pool, replica)

    async def _poll_engine(
        self, pool: str, replica: replicas.ReplicaInfo
    ) -> None:
        load = await self._observer.read_load(replica.address)
        if load.is_error():
            self._count_failure('load')
            return
        self._receiver.note_load(
            pool, replica.name, load.ok.running, load.ok.waiting
        )
        await self._poll_cache(pool, replica)

    async def _poll_cache(
        self, pool: str, replica: replicas.ReplicaInfo
    ) -> None:
        key = (pool, replica.name)
        has_position = key in self._positions
        after = self._positions.get(key, 0)
        read = await self._observer.read_cache_events(replica.address, after)
        if read.is_error():
            self._count_failure('cache_events')
            return
        batch = read.ok
        self._positions[key] = batch.next_sequence
        self._receiver.note_cache_events(
            pool,
            replica.name,
            batch.events,
            has_position and batch.gap,
        )
