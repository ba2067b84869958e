"""The platform's instance list: upstreams and instances."""

import logging
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge import logs, timing
from lavenderledge.controllers import membership
from lavenderledge.policy import replicas
from lavenderledge.registry import instancelist

INSTANCE_KIND = 'instance'

_POLL_INTERVAL_S = 1.0
_LOGGER = logging.getLogger(__name__)


class Pool(typing.NamedTuple):
    """A pool's listed endpoints."""

    kind: str
    endpoints: tuple[instancelist.Endpoint, ...]


class Directory:
    """Polls the instance list; in an outage the last list stays valid."""

    def __init__(
        self,
        *,
        source: instancelist.InstanceList,
        clock: clocks.Clock,
        on_instances: abc.Callable[[list[membership.ListedInstance]], None],
        count_failure: abc.Callable[[str], None],
    ) -> None:
        """Start with an empty list."""
        self._source = source
        self._clock = clock
        self._on_instances = on_instances
        self._count_failure = count_failure
        self._listed: instancelist.Endpoints | None = None
        self._pools: dict[str, Pool] = {}
        self._addresses: dict[tuple[str, str], str] = {}
        self._available: dict[str, tuple[replicas.ReplicaInfo, ...]] = {}
        self._unready: set[tuple[str, str]] = set()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.refresh()
            await self._clock.sleep(timing.seconds(_POLL_INTERVAL_S))

    async def refresh(self) -> None:
        """Poll once."""
        polled = await self._source.poll()
        if polled.is_error():
            self._count_failure(type(polled.error).__name__)
            logs.write_event(
                _LOGGER,
                'instance_list_failed',
                level=logging.WARNING,
                detail=polled.error.detail,
            )
        elif polled.ok is not self._listed:
            self._apply_list(polled.ok)

    def list_pools(self) -> tuple[str, ...]:
        """Return the names of the pools that have endpoints."""
        return tuple(self._pools)

    def find_kind(self, pool: str) -> str | None:
        """Return ``engine`` or ``plain``, or None for an unlisted pool."""
        listed = self._pools.get(pool)
        return None if listed is None else listed.kind

    def list_replicas(self, pool: str) -> tuple[replicas.ReplicaInfo, ...]:
        """Return the replicas that may get new requests.

        They are listed as ready and have not reported themselves unready.
        """
        listed = self.list_ready_endpoints(pool)
        if not self._unready:
            return listed
        return tuple(
            replica
            for replica in listed
            if (pool, replica.name) not in self._unready
        )

    def list_ready_endpoints(
        self, pool: str
    ) -> tuple[replicas.ReplicaInfo, ...]:
        """Return the replicas that the instance list marks as ready."""
        return self._available.get(pool, ())

    def note_readiness(self, pool: str, replica: str, ready: bool) -> None:
        """Record whether a replica reports itself ready."""
        key = (pool, replica)
        if ready == (key not in self._unready):
            return
        if ready:
            self._unready.discard(key)
        else:
            self._unready.add(key)
        logs.write_event(
            _LOGGER, 'replica_ready', pool=pool, replica=replica, ready=ready
        )

    def find_address(self, pool: str, replica: str) -> str | None:
        """Return ``host:port`` of a listed replica, also if terminating."""
        return self._addresses.get((pool, replica))

    def _apply_list(self, listed: instancelist.Endpoints) -> None:
        self._listed = listed
        grouped: dict[str, list[instancelist.Endpoint]] = {}
        instances: list[membership.ListedInstance] = []
        for endpoint in listed:
            if endpoint.kind == INSTANCE_KIND:
                instances.extend(_read_instance(endpoint))
            else:
                grouped.setdefault(endpoint.pool, []).append(endpoint)
        self._pools = {
            name: Pool(endpoints[0].kind, tuple(endpoints))
            for name, endpoints in grouped.items()
        }
        self._index_pools()
        self._on_instances(instances)

    def _index_pools(self) -> None:
        self._addresses.clear()
        self._available.clear()
        for name, pool in self._pools.items():
            available = []
            for endpoint in pool.endpoints:
                address = _find_address(endpoint)
                if address is None:
                    continue
                self._addresses[name, endpoint.name] = address
                if endpoint.ready and not endpoint.terminating:
                    available.append(_describe_replica(endpoint, address))
            self._available[name] = tuple(available)
        self._unready.intersection_update(self._addresses)


def _find_address(endpoint: instancelist.Endpoint) -> str | None:
    port = endpoint.find_port('http')
    return None if port is None else f'{endpoint.address}:{port}'


def _describe_replica(
    endpoint: instancelist.Endpoint, address: str
) -> replicas.ReplicaInfo:
    return replicas.ReplicaInfo(
        name=endpoint.name,
        address=address,
        availability_zone=endpoint.availability_zone,
        kind='engine' if endpoint.kind == 'engine' else 'plain',
    )


def _read_instance(
    endpoint: instancelist.Endpoint,
) -> abc.Iterator[membership.ListedInstance]:
    port = endpoint.find_port('peer')
    if port is not None:
        yield membership.ListedInstance(
            endpoint.name, f'{endpoint.address}:{port}', endpoint.terminating
        )
