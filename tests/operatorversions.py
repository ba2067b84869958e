"""An operator's versions of the configuration, and what each one allows.

The matching here is the test's own, after the platform's description.
"""

import copy
import typing

from tests import platformfleet

SERVICES = ('model', 'other')
KEYS = ('key-a', 'key-b', 'key-c')
# A version may still be in force for this long after the next one.
APPLY_S = 2.0
STEP = 3
MIN_ROUTES = 4

# Routes that nest have other types: a request may match either of them.
ROUTES = {
    'safe': {'route_type': 'safe', 'max_attempts': 3},
    'safe/once': {'route_type': 'unsafe'},
    # One that may not run twice may still be refused and sent again.
    'once': {'route_type': 'unsafe', 'max_attempts': 2},
    'once/safe': {'route_type': 'safe', 'max_attempts': 2},
    'open': {'route_type': 'safe', 'public': True, 'max_attempts': 2},
    'stream': {'route_type': 'streaming', 'max_attempts': 3},
    'stream/one': {'route_type': 'streaming', 'resumable': True},
    'stream/two': {
        'route_type': 'streaming',
        'resumable': True,
        'max_attempts': 2,
    },
    'stream/three': {
        'route_type': 'streaming',
        'resumable': True,
        'max_attempts': 3,
    },
    'stream/three/open': {
        'route_type': 'streaming',
        'resumable': True,
        'max_attempts': 3,
        'public': True,
    },
}


class Version(typing.NamedTuple):
    """A version and when the store had it."""

    document: dict
    written_s: float


class Match(typing.NamedTuple):
    """What a version says of a request; ``status`` 0 means that it may run."""

    status: int
    route: dict | None


def build_route(name):
    options = {'max_attempts': 1, **ROUTES[name]}
    route_type = options.pop('route_type')
    return platformfleet.make_route(name, route_type, **options)


def build_first():
    document = platformfleet.make_configuration(
        1, routes=[build_route(name) for name in ROUTES]
    )
    document['services'] = [
        {'name': name, 'health_path': '/healthz'} for name in SERVICES
    ]
    document['tenants'][0]['api_keys'] = list(KEYS)
    return document


def match(document, path, key):
    routes = [
        route
        for route in document['routes']
        if route['hostname'] == platformfleet.HOST
        and path.startswith(route['path_prefix'])
    ]
    if not routes:
        return Match(404, None)
    route = max(routes, key=lambda listed: len(listed['path_prefix']))
    known = {
        listed
        for tenant in document['tenants']
        for listed in tenant['api_keys']
    }
    if not route['public'] and key not in known:
        return Match(401, route)
    return Match(0, route)


def list_services(route):
    if 'backends' in route:
        return {target['service'] for target in route['backends']}
    return {route['service']}


def is_repeatable(route):
    return route['route_type'] == 'safe' or route['resumable']


class Operator:
    """Writes versions, each with one to three random changes.

    They contain ``ballast`` routes of another host.
    """

    def __init__(self, *, rng, write, now, ballast=0):
        self.versions = []
        self._rng = rng
        self._write = write
        self._now = now
        self._ballast = [
            platformfleet.make_route(
                f'ballast/{number}', 'safe', hostname='other.example'
            )
            for number in range(ballast)
        ]
        self._changes = (
            self._move,
            self._move,
            self._split,
            self._change_timeout,
            self._change_attempts,
            self._remove_route,
            self._remove_route,
            self._add_route,
            self._add_route,
            self._remove_key,
            self._add_key,
            self._change_idle,
            self._change_idle,
            self._change_header_timeout,
            self._change_objective,
            self._change_quota,
        )

    def begin(self):
        self.versions.append(Version(build_first(), self._now()))

    @property
    def newest(self):
        return self.versions[-1].document

    def change(self):
        """Write the next version."""
        document = copy.deepcopy(self.newest)
        document['version'] += self._rng.randint(1, STEP)
        for _ in range(self._rng.randint(1, 3)):
            self._rng.choice(self._changes)(document)
        routes = document['routes'] + self._ballast
        self._write({**document, 'routes': routes})
        self.versions.append(Version(document, self._now()))

    def list_in_force(self, from_s, until_s):
        """Return the versions that an instance may have used in that time."""
        ends_s = [version.written_s + APPLY_S for version in self.versions[1:]]
        return [
            version.document
            for version, end_s in zip(
                self.versions, (*ends_s, float('inf')), strict=True
            )
            if version.written_s <= until_s and end_s >= from_s
        ]

    def _pick_route(self, document):
        return self._rng.choice(document['routes'])

    def _move(self, document):
        route = self._pick_route(document)
        route.pop('backends', None)
        route['service'] = self._rng.choice(SERVICES)

    def _split(self, document):
        route = self._pick_route(document)
        route['backends'] = [
            {'service': service, 'weight': self._rng.randint(1, 9)}
            for service in SERVICES
        ]

    def _change_timeout(self, document):
        route = self._pick_route(document)
        route['timeout_ms'] = self._rng.choice((2500, 3000, 4000, 6000))

    def _change_attempts(self, document):
        self._pick_route(document)['max_attempts'] = self._rng.randint(1, 3)

    def _change_objective(self, document):
        route = self._pick_route(document)
        route['slo_ms'] = self._rng.choice((100, 500, 1500))
        route['itl_target_ms'] = self._rng.choice((100, 300))

    def _change_quota(self, document):
        tenant = document['tenants'][0]
        tenant['rate_per_s'] = self._rng.choice((0, 0, 4000))
        tenant['burst'] = 1000

    def _remove_route(self, document):
        if len(document['routes']) > MIN_ROUTES:
            document['routes'].remove(self._pick_route(document))

    def _add_route(self, document):
        names = {route['name'] for route in document['routes']}
        missing = [name for name in ROUTES if name not in names]
        if missing:
            document['routes'].append(build_route(self._rng.choice(missing)))

    def _remove_key(self, document):
        keys = document['tenants'][0]['api_keys']
        if len(keys) > 1:
            keys.remove(self._rng.choice(keys))

    def _add_key(self, document):
        keys = document['tenants'][0]['api_keys']
        missing = [key for key in KEYS if key not in keys]
        if missing:
            keys.append(self._rng.choice(missing))

    def _change_idle(self, document):
        self._change_limit(document, 'idle_timeout_ms', (400, 800, 1600))

    def _change_header_timeout(self, document):
        self._change_limit(document, 'header_timeout_ms', (300, 600, 1200))

    def _change_limit(self, document, name, choices):
        document['limits'] = {
            **document['limits'],
            name: self._rng.choice(choices),
        }
