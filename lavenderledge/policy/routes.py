"""The configuration: routes, services and customers, and their matching."""

import enum
import types
import typing
from collections import abc

from lavenderledge.http1 import bounds
from lavenderledge.policy import rendezvous

# Number of route tiers; higher numbers count as the lowest tier.
ROUTE_TIERS: typing.Final = 16


@enum.unique
class RouteType(enum.Enum):
    """Whether a request may be repeated, and how it is answered."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM_ONCE = 'stream_once'
    STREAM_RESUMABLE = 'stream_resumable'

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is an event stream."""
        return self in _STREAMS

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may be executed more than once."""
        return self in _REPEATABLE


_STREAMS: typing.Final = frozenset(
    (
        RouteType.STREAM_ONCE,
        RouteType.STREAM_RESUMABLE,
    )
)
_REPEATABLE: typing.Final = frozenset(
    (
        RouteType.IDEMPOTENT,
        RouteType.STREAM_RESUMABLE,
    )
)


class Target(typing.NamedTuple):
    """A service that receives a route's requests by weight."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Targets and time limits of requests with a host and path prefix.

    Times are in seconds. ``objective_s`` is for the whole answer, of a stream
    for its first event. Callers leave a stream after ``max_silence_s`` without
    an event. Tier 0 is the highest. ``pause_target_s`` is the longest pause
    between two events for which an answer is in time, 0 if there is none.
    """

    name: str
    host: str
    path_prefix: str
    targets: tuple[Target, ...]
    route_type: RouteType
    max_attempts: int
    timeout_s: float
    objective_s: float
    max_silence_s: float
    tier: int
    public: bool
    pause_target_s: float = 0


class Quota(typing.NamedTuple):
    """A fleet-wide token bucket; a rate of 0 means no limit."""

    rate: float
    burst: float


class Customer(typing.NamedTuple):
    """The owner of an API key; its ``tier`` takes precedence over the route's.

    A request that declares no size costs ``default_cost``.
    """

    name: str
    tier: int | None
    quota: Quota
    counts_tokens: bool
    default_cost: float

    def compute_cost(self, token_count: int | None) -> float:
        """Return a request's cost; None is a size that is not declared."""
        if not self.counts_tokens:
            return 1
        return self.default_cost if token_count is None else token_count


class ServiceLimits(typing.NamedTuple):
    """What each replica of a service can hold.

    ``token_capacity`` is the memory for tokens of prompts and outputs of all
    requests that run there together, None without a limit.
    """

    token_capacity: int | None


class Configuration(typing.NamedTuple):
    """One version of the operators' configuration.

    ``routes_by_host`` holds each host's routes, the longest prefix first, and
    ``quotas`` the quotas by customer name. If ``requires_keys``, requests of
    routes that are not public need a key, also while no customer has one.
    ``services`` holds the limits by service, for those that have any.
    """

    version: int
    routes_by_host: abc.Mapping[str, tuple[Route, ...]]
    customers_by_key: abc.Mapping[str, Customer]
    quotas: abc.Mapping[str, Quota]
    requires_keys: bool
    limits: bounds.Bounds
    services: abc.Mapping[str, ServiceLimits] = types.MappingProxyType({})

    @property
    def token_capacities(self) -> dict[str, int]:
        """Return the token capacities by service, of those that are limited."""
        return {
            name: limits.token_capacity
            for name, limits in self.services.items()
            if limits.token_capacity is not None
        }


class RouteMatch(typing.NamedTuple):
    """The route and the customer of a request."""

    route: Route
    customer: Customer | None

    @property
    def rank(self) -> int:
        """Return the request's rank, 0 being the highest.

        The customer's tier takes precedence over the route's.
        """
        route_tier = min(self.route.tier, ROUTE_TIERS - 1)
        if self.customer is None or self.customer.tier is None:
            return route_tier
        return min(self.customer.tier, ROUTE_TIERS) * ROUTE_TIERS + route_tier


@enum.unique
class Rejection(enum.Enum):
    """Why a configuration does not allow a request."""

    NO_ROUTE = 'no_route'
    UNKNOWN_KEY = 'unknown_key'


def index_routes(
    routes: abc.Iterable[Route],
) -> dict[str, tuple[Route, ...]]:
    """Return each host's routes, the longest prefix first."""
    routes_by_host: dict[str, list[Route]] = {}
    for route in routes:
        routes_by_host.setdefault(route.host, []).append(route)
    for host_routes in routes_by_host.values():
        host_routes.sort(key=_measure_prefix, reverse=True)
    return {
        host: tuple(host_routes) for host, host_routes in routes_by_host.items()
    }


def _measure_prefix(route: Route) -> int:
    return len(route.path_prefix)


def match_route(
    configuration: Configuration, host: str, path: str
) -> Route | None:
    """Return the route with the longest matching prefix, if any."""
    for route in configuration.routes_by_host.get(host, ()):
        if path.startswith(route.path_prefix):
            return route
    return None


def match_request(
    configuration: Configuration, *, host: str, path: str, key: str | None
) -> RouteMatch | Rejection:
    """Return the request's route and customer, or why it is rejected."""
    route = match_route(configuration, host, path)
    if route is None:
        return Rejection.NO_ROUTE
    if not configuration.requires_keys:
        return RouteMatch(route, None)
    customer = configuration.customers_by_key.get(key) if key else None
    if customer is None and not route.public:
        return Rejection.UNKNOWN_KEY
    return RouteMatch(route, customer)


def pick_service(route: Route, request_id: str) -> str:
    """Return a request's service, chosen by the targets' weights."""
    if len(route.targets) == 1:
        return route.targets[0].service
    total_weight = sum(target.weight for target in route.targets)
    remaining_weight = rendezvous.hash_to_fraction(request_id) * total_weight
    for target in route.targets:
        remaining_weight -= target.weight
        if remaining_weight < 0:
            return target.service
    return route.targets[-1].service
