"""The routed configuration: routes, services, customers, and how they match."""

import enum
import typing
from collections import abc

from lavenderledge.http1 import bounds
from lavenderledge.policy import rendezvous

# Route tiers beyond this count as the lowest.
ROUTE_TIERS: typing.Final = 16


@enum.unique
class RouteType(enum.Enum):
    """Whether a request may run more than once, and how it answers."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM_ONCE = 'stream_once'
    STREAM_RESUMABLE = 'stream_resumable'

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a series of events."""
        return self in _STREAMS

    @property
    def is_repeatable(self) -> bool:
        """Return whether a second run does no harm."""
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
    """A service that takes a part of a route's requests, by weight."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Where requests of a host and path prefix go, and within what time.

    Times are in seconds; ``objective_s`` runs to the whole answer, for a
    stream to its first event. Callers leave a stream after ``max_silence_s``
    without an event. Tier 0 is the highest.
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


class Quota(typing.NamedTuple):
    """A fleet-wide token bucket; a rate of 0 is no limit."""

    rate: float
    burst: float


class Customer(typing.NamedTuple):
    """Who holds a key; ``tier`` goes before the route's where it is given.

    A request without a size of its own counts as ``default_cost``.
    """

    name: str
    tier: int | None
    quota: Quota
    counts_tokens: bool
    default_cost: float


class Configuration(typing.NamedTuple):
    """One version of the operators' configuration.

    ``routes_by_host`` holds each host's routes, the longest prefix first,
    ``quotas`` those of the customers by name. Without customers no request
    needs a key.
    """

    version: int
    routes_by_host: abc.Mapping[str, tuple[Route, ...]]
    customers_by_key: abc.Mapping[str, Customer]
    quotas: abc.Mapping[str, Quota]
    has_customers: bool
    limits: bounds.Bounds


class RouteMatch(typing.NamedTuple):
    """What the configuration in force allows a request."""

    route: Route
    customer: Customer | None

    @property
    def rank(self) -> int:
        """Return the request's place in the order, 0 being the highest.

        The customer's tier goes before the route's.
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
    """Return the routes by host, the longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    for found in by_host.values():
        found.sort(key=_measure_prefix, reverse=True)
    return {host: tuple(found) for host, found in by_host.items()}


def _measure_prefix(route: Route) -> int:
    return len(route.path_prefix)


def match_route(
    configuration: Configuration, host: str, path: str
) -> Route | None:
    """Return the route with the longest prefix of the path."""
    for route in configuration.routes_by_host.get(host, ()):
        if path.startswith(route.path_prefix):
            return route
    return None


def match_request(
    configuration: Configuration, *, host: str, path: str, key: str | None
) -> RouteMatch | Rejection:
    """Return what a request may do under a configuration."""
    route = match_route(configuration, host, path)
    if route is None:
        return Rejection.NO_ROUTE
    if not configuration.has_customers:
        return RouteMatch(route, None)
    customer = configuration.customers_by_key.get(key or '')
    if customer is None and not route.public:
        return Rejection.UNKNOWN_KEY
    return RouteMatch(route, customer)


def pick_service(route: Route, request_id: str) -> str:
    """Return the service for a request, by the targets' weights."""
    if len(route.targets) == 1:
        return route.targets[0].service
    total = sum(target.weight for target in route.targets)
    point = rendezvous.hash_to_fraction(request_id) * total
    for target in route.targets:
        point -= target.weight
        if point < 0:
            return target.service
    return route.targets[-1].service
