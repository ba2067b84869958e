"""What the operators and the replicas write into the platform's store."""

import typing

import expression
import msgspec

from lavenderledge.controllers import caches
from lavenderledge.http1 import bounds
from lavenderledge.policy import routes, slots
from lavenderledge.registry import store as stores

CONFIGURATION_KEY: typing.Final = 'op/config'
REPLICAS_PREFIX: typing.Final = 'servers/'

_MILLISECONDS: typing.Final = 1000
# Callers leave a stream after the longest of these without an event: a time
# in ms, and multiples of the objective and of the longest pause in time.
_LEAST_SILENCE_MS: typing.Final = 2000
_SILENCE_OBJECTIVES: typing.Final = 4
_SILENCE_PAUSES: typing.Final = 8
_UNLIMITED_BYTES: typing.Final = 4_194_304
_DEFAULT_HEADER_BYTES: typing.Final = 16384
_DEFAULT_HEADER_MS: typing.Final = 3000
_DEFAULT_IDLE_MS: typing.Final = 15000

_REPETITIONS: typing.Final = {
    ('safe', False): routes.RouteType.IDEMPOTENT,
    ('safe', True): routes.RouteType.IDEMPOTENT,
    ('unsafe', False): routes.RouteType.ONCE,
    ('unsafe', True): routes.RouteType.ONCE,
    ('streaming', False): routes.RouteType.STREAM_ONCE,
    ('streaming', True): routes.RouteType.STREAM_RESUMABLE,
}


class Unreadable(typing.NamedTuple):
    """A document that is not what its key promises."""

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
    # The time to the whole answer, or to a stream's first event.
    slo_ms: float = 0
    priority: int = 0
    service: str | None = None
    backends: list[_Backend] | None = None
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    # The longest pause between events for an answer that is in time.
    itl_target_ms: float = 0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    unit: str | None = None
    # What a request without a token count counts as.
    uncached_tokens: float = 0
    rate_per_s: float = 0
    burst: float = 0


class _Limits(msgspec.Struct):
    max_header_bytes: int = _DEFAULT_HEADER_BYTES
    max_body_bytes: int = _UNLIMITED_BYTES
    header_timeout_ms: float = _DEFAULT_HEADER_MS
    idle_timeout_ms: float = _DEFAULT_IDLE_MS


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    tenants: list[_Tenant] | None = None
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Replica(msgspec.Struct):
    service: str
    # host:port
    address: str
    # How many requests it processes at a time.
    capacity: int
    state: typing.Literal['ready', 'draining']
    zone: str = ''
    # For how much longer it is slow after its start.
    cold_remaining_ms: float = 0


def read_configuration(
    content: bytes,
) -> expression.Result[routes.Configuration, Unreadable]:
    """Return the operators' configuration."""
    try:
        document = msgspec.json.decode(content, type=_Configuration)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return expression.Error(Unreadable(str(error)))
    tenants = document.tenants or []
    customers = {
        key: _build_customer(tenant)
        for tenant in tenants
        for key in tenant.api_keys
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
            has_customers=document.tenants is not None and bool(tenants),
            limits=bounds.Bounds(
                header_bytes=document.limits.max_header_bytes,
                body_bytes=document.limits.max_body_bytes,
                header_timeout_s=document.limits.header_timeout_ms
                / _MILLISECONDS,
                idle_timeout_s=document.limits.idle_timeout_ms / _MILLISECONDS,
            ),
        )
    )


def read_replica(change: stores.Change) -> caches.ListedReplica | None:
    """Return a replica's entry, None where it names none to use."""
    name = change.key.removeprefix(REPLICAS_PREFIX)
    if change.content is None or not name:
        return None
    try:
        entry = msgspec.json.decode(change.content, type=_Replica)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    _, separator, port = entry.address.rpartition(':')
    if entry.capacity < 1 or not separator or not port.isdigit():
        return None
    return caches.ListedReplica(
        slots.ReplicaInfo(
            name=name,
            service=entry.service,
            address=entry.address,
            availability_zone=entry.zone,
            slots=entry.capacity,
            cold_s=max(0, entry.cold_remaining_ms) / _MILLISECONDS,
        ),
        is_ready=entry.state == 'ready',
    )


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
        route_type=_REPETITIONS.get(
            (route.route_type, route.resumable), routes.RouteType.ONCE
        ),
        max_attempts=max(1, route.max_attempts),
        timeout_s=route.timeout_ms / _MILLISECONDS,
        objective_s=(route.slo_ms or route.timeout_ms) / _MILLISECONDS,
        max_silence_s=max(
            _LEAST_SILENCE_MS,
            _SILENCE_OBJECTIVES * route.slo_ms,
            _SILENCE_PAUSES * route.itl_target_ms,
        )
        / _MILLISECONDS,
        tier=max(0, route.priority),
        public=route.public,
    )


def _build_customer(tenant: _Tenant) -> routes.Customer:
    return routes.Customer(
        name=tenant.name,
        tier=tenant.priority,
        quota=routes.Quota(tenant.rate_per_s, tenant.burst),
        counts_tokens=tenant.unit == 'tokens',
        default_cost=tenant.uncached_tokens,
    )
