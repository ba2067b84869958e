"""Documents that operators and replicas write into the platform's store."""

import re
import typing
from collections import abc

import expression
import msgspec

from lavenderledge.controllers import caches
from lavenderledge.http1 import bounds
from lavenderledge.platform import runtimes
from lavenderledge.policy import rolloutevidence, rollouts, routes, slots
from lavenderledge.registry import store as stores

CONFIGURATION_KEY: typing.Final = 'op/config'
REPLICAS_PREFIX: typing.Final = 'servers/'

ORDERS_PREFIX: typing.Final = 'op/rollout/'
STATUS_PREFIX: typing.Final = 'status/rollout/'
RECORDS_PREFIX: typing.Final = 'lavenderledge/rollouts/'

# The feature of deployments whose requests carry keys.
_KEYS_FEATURE: typing.Final = 'tenants'

_MILLISECONDS: typing.Final = 1000
# Callers leave a stream that is silent for the longest of these: a minimum, a
# multiple of the objective and a multiple of the target pause between events.
_MIN_SILENCE_MS: typing.Final = 2000
_SILENCE_PER_OBJECTIVE: typing.Final = 4
_SILENCE_PER_PAUSE: typing.Final = 8
_DEFAULT_BODY_BYTES: typing.Final = 4_194_304
_DEFAULT_HEADER_BYTES: typing.Final = 16384
_DEFAULT_HEADER_MS: typing.Final = 3000
_DEFAULT_IDLE_MS: typing.Final = 15000

# Bounds of what a replica's entry says; another writer may have left anything.
_MAX_NAME_LENGTH: typing.Final = 200
_MAX_CAPACITY: typing.Final = 1_000_000
_MAX_COLD_MS: typing.Final = 86_400_000
_MAX_TIME_MS: typing.Final = 9_007_199_254_740_991
_MAX_PORT: typing.Final = 65_535
_MAX_ROLLOUT_S: typing.Final = 1e7
_Name: typing.TypeAlias = typing.Annotated[
    str, msgspec.Meta(max_length=_MAX_NAME_LENGTH)
]
_Address: typing.TypeAlias = typing.Annotated[
    str, msgspec.Meta(pattern=r'\A[A-Za-z0-9_.:\[\]-]{1,200}:[0-9]{1,5}\Z')
]
# Names go into header fields.
_PRINTABLE_NAME: typing.Final = re.compile('[!-~]{1,%d}' % _MAX_NAME_LENGTH)

_ROUTE_TYPES: typing.Final = {
    ('safe', False): routes.RouteType.IDEMPOTENT,
    ('safe', True): routes.RouteType.IDEMPOTENT,
    ('unsafe', False): routes.RouteType.ONCE,
    ('unsafe', True): routes.RouteType.ONCE,
    ('streaming', False): routes.RouteType.STREAM_ONCE,
    ('streaming', True): routes.RouteType.STREAM_RESUMABLE,
}


_Decoded = typing.TypeVar('_Decoded')


class InvalidDocument(typing.NamedTuple):
    """Why a document does not match its schema."""

    detail: str


class _Backend(msgspec.Struct):
    service: str
    weight: float = 1


class _Route(msgspec.Struct):
    name: str
    hostname: str
    path_prefix: str
    route_type: str
    timeout_ms: float
    # Target time until the complete response, or a stream's first event.
    slo_ms: float = 0
    priority: int = 0
    service: str | None = None
    backends: list[_Backend] | None = None
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    # Target for the longest pause between events.
    itl_target_ms: float = 0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] | None = None
    priority: int | None = None
    unit: str | None = None
    # Tokens charged for a request without a token count.
    uncached_tokens: float = 0
    rate_per_s: float = 0
    burst: float = 0


class _Limits(msgspec.Struct):
    max_header_bytes: int = _DEFAULT_HEADER_BYTES
    max_body_bytes: int = _DEFAULT_BODY_BYTES
    header_timeout_ms: float = _DEFAULT_HEADER_MS
    idle_timeout_ms: float = _DEFAULT_IDLE_MS


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    # A list that became empty may be written as null.
    tenants: list[_Tenant] | msgspec.UnsetType | None = msgspec.UNSET
    limits: _Limits = msgspec.field(default_factory=_Limits)
    services: msgspec.Raw = msgspec.Raw(b'[]')


class _Replica(msgspec.Struct):
    service: _Name
    # host:port
    address: _Address
    # Maximum number of concurrent requests.
    capacity: typing.Annotated[int, msgspec.Meta(ge=1, le=_MAX_CAPACITY)]
    state: typing.Literal['ready', 'draining']
    zone: _Name = ''
    # Remaining time of its slow start.
    cold_remaining_ms: typing.Annotated[
        float, msgspec.Meta(le=_MAX_COLD_MS)
    ] = 0
    # When it started, in Unix milliseconds.
    born: typing.Annotated[int, msgspec.Meta(le=_MAX_TIME_MS)] = 0
    version: _Name = ''


class _RolloutOrder(msgspec.Struct):
    service: _Name
    to: typing.Annotated[
        str, msgspec.Meta(min_length=1, max_length=_MAX_NAME_LENGTH)
    ]
    duration_s: typing.Annotated[float, msgspec.Meta(gt=0, le=_MAX_ROLLOUT_S)]


class _RolloutStatus(msgspec.Struct):
    service: str
    to: str
    state: str


_Count: typing.TypeAlias = typing.Annotated[
    int, msgspec.Meta(ge=0, le=_MAX_TIME_MS)
]


class _RouteCounts(msgspec.Struct):
    route: str
    is_new: bool
    trials: _Count
    failures: _Count
    bad: _Count


class _RolloutRecord(msgspec.Struct):
    revision: _Count
    to: str
    duration_s: float
    phase: rollouts.Phase
    controller: str
    incarnation: _Count
    elapsed_s: typing.Annotated[float, msgspec.Meta(ge=0, le=_MAX_ROLLOUT_S)]
    written_ms: int
    seen: _Count
    ceiling: _Count
    trusted: list[str]
    barred: list[str]
    evidence: list[_RouteCounts]


def read_configuration(
    content: bytes, features: abc.Collection[str] = ()
) -> expression.Result[routes.Configuration, InvalidDocument]:
    """Return the parsed configuration, or why it is invalid.

    ``features`` are the names of those that the deployment has.
    """
    decoded = _decode(content, _Configuration)
    if decoded.is_error():
        return expression.Error(decoded.error)
    document = decoded.ok
    is_listed = document.tenants is not msgspec.UNSET
    customers = {
        key: _build_customer(tenant)
        for tenant in document.tenants or ()
        for key in tenant.api_keys or ()
    }
    return expression.Ok(
        routes.Configuration(
            version=document.version,
            routes_by_host=routes.index_routes(
                _build_route(route) for route in document.routes
            ),
            customers_by_key=customers,
            quotas={
                customer.name: customer.quota for customer in customers.values()
            },
            # Without its last key a deployment must not be open to everyone.
            requires_keys=is_listed or _KEYS_FEATURE in features,
            limits=bounds.Bounds(
                header_bytes=document.limits.max_header_bytes,
                body_bytes=document.limits.max_body_bytes,
                header_timeout_s=document.limits.header_timeout_ms
                / _MILLISECONDS,
                idle_timeout_s=document.limits.idle_timeout_ms / _MILLISECONDS,
            ),
            services=runtimes.read_limits(bytes(document.services)),
        )
    )


def read_replica(change: stores.Change) -> caches.ListedReplica | None:
    """Return a replica's entry, None if it is deleted or invalid."""
    name = change.key.removeprefix(REPLICAS_PREFIX)
    if change.content is None or not _PRINTABLE_NAME.fullmatch(name):
        return None
    decoded = _decode(change.content, _Replica)
    if decoded.is_error():
        return None
    entry = decoded.ok
    port = int(entry.address.rpartition(':')[2])
    if not 0 < port <= _MAX_PORT:
        return None
    return caches.ListedReplica(
        slots.ReplicaInfo(
            name=name,
            service=entry.service,
            address=entry.address,
            availability_zone=entry.zone,
            slots=entry.capacity,
            cold_s=max(0, entry.cold_remaining_ms) / _MILLISECONDS,
            started_ms=max(0, entry.born),
            version=entry.version,
        ),
        is_ready=entry.state == 'ready',
    )


def read_rollout_order(
    change: stores.Change,
) -> expression.Result[rollouts.Order, InvalidDocument]:
    """Return the order that a key holds, or why it is invalid."""
    decoded = _decode(change.content or b'', _RolloutOrder)
    if decoded.is_error():
        return expression.Error(decoded.error)
    order = decoded.ok
    if order.service != change.key.removeprefix(ORDERS_PREFIX):
        return expression.Error(
            InvalidDocument(f'the order is for the service {order.service}')
        )
    return expression.Ok(
        rollouts.Order(order.to, order.duration_s, change.revision)
    )


def encode_rollout_status(
    service: str, to: str, phase: rollouts.Phase
) -> bytes:
    """Return the status of a roll-out for the operator."""
    state = phase.value if phase.is_final else 'in_progress'
    return msgspec.json.encode(_RolloutStatus(service, to, state))


def read_rollout_record(
    content: bytes,
) -> expression.Result[rollouts.Record, InvalidDocument]:
    """Return a roll-out's record, or why it is invalid."""
    decoded = _decode(content, _RolloutRecord)
    return decoded.map(
        lambda document: rollouts.Record(
            order=rollouts.Order(
                document.to, document.duration_s, document.revision
            ),
            phase=document.phase,
            controller=document.controller,
            incarnation=document.incarnation,
            elapsed_s=document.elapsed_s,
            written_ms=document.written_ms,
            seen=document.seen,
            ceiling=document.ceiling,
            trusted=frozenset(document.trusted),
            barred=frozenset(document.barred),
            counts={
                (
                    row.route,
                    rolloutevidence.Side(row.is_new),
                ): rolloutevidence.Counts(row.trials, row.failures, row.bad)
                for row in document.evidence
            },
        )
    )


def encode_rollout_record(record: rollouts.Record) -> bytes:
    """Return a record as ``read_rollout_record`` reads it."""
    return msgspec.json.encode(
        _RolloutRecord(
            revision=record.order.revision,
            to=record.order.to,
            duration_s=record.order.duration_s,
            phase=record.phase,
            controller=record.controller,
            incarnation=record.incarnation,
            elapsed_s=record.elapsed_s,
            written_ms=record.written_ms,
            seen=record.seen,
            ceiling=record.ceiling,
            trusted=sorted(record.trusted),
            barred=sorted(record.barred),
            evidence=[
                _RouteCounts(route, bool(side), *counts)
                for (route, side), counts in record.counts.items()
            ],
        )
    )


def _decode(
    content: bytes, schema: type[_Decoded]
) -> expression.Result[_Decoded, InvalidDocument]:
    try:
        return expression.Ok(msgspec.json.decode(content, type=schema))
    except (
        msgspec.MsgspecError,
        UnicodeDecodeError,
        # Fields that are not in the schema may be nested deeply.
        RecursionError,
    ) as error:
        return expression.Error(InvalidDocument(str(error)))


def _build_route(route: _Route) -> routes.Route:
    if route.backends:
        targets = tuple(
            routes.Target(backend.service, backend.weight)
            for backend in route.backends
        )
    else:
        targets = (routes.Target(route.service or '', 1),)
    return routes.Route(
        name=route.name,
        host=route.hostname.lower(),
        path_prefix=route.path_prefix,
        targets=targets,
        route_type=_ROUTE_TYPES.get(
            (route.route_type, route.resumable), routes.RouteType.ONCE
        ),
        max_attempts=max(1, route.max_attempts),
        timeout_s=route.timeout_ms / _MILLISECONDS,
        objective_s=(route.slo_ms or route.timeout_ms) / _MILLISECONDS,
        max_silence_s=max(
            _MIN_SILENCE_MS,
            _SILENCE_PER_OBJECTIVE * route.slo_ms,
            _SILENCE_PER_PAUSE * route.itl_target_ms,
        )
        / _MILLISECONDS,
        tier=max(0, route.priority),
        public=route.public,
        pause_target_s=max(0, route.itl_target_ms) / _MILLISECONDS,
    )


def _build_customer(tenant: _Tenant) -> routes.Customer:
    return routes.Customer(
        name=tenant.name,
        tier=tenant.priority,
        quota=routes.Quota(tenant.rate_per_s, tenant.burst),
        counts_tokens=tenant.unit == 'tokens',
        default_cost=tenant.uncached_tokens,
    )
