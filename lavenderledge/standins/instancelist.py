"""The instance-list stand-in: EndpointSlices, visible after a lag."""

import typing

import msgspec
from starlette import applications, requests, responses, types

from lavenderledge import clock as clocks
from lavenderledge.standins import admin, lag

_PATH = '/apis/discovery.k8s.io/v1/endpointslices'
_LABEL_POOL = 'kubernetes.io/service-name'
_LABEL_KIND = 'lavenderledge/kind'
_LABEL_FENCING = 'lavenderledge/fencing'
_NOT_MODIFIED = 304
_BAD_REQUEST = 400


class Switches(typing.NamedTuple):
    """The delay in seconds before a change becomes visible."""

    lag_s: float = 0


class _EndpointFields(typing.TypedDict):
    pool: str
    kind: typing.Literal['instance', 'engine', 'plain']
    zone: str
    address: str
    ports: dict[str, int]


class Endpoint(_EndpointFields, total=False):
    """The body of a PUT; by default ready and not terminating."""

    ready: bool
    terminating: bool
    fencing: typing.Literal['checked', 'ignored'] | None


class Change(typing.NamedTuple):
    """One change in the log; ``endpoint`` is ``None`` for a removal."""

    name: str
    version: int
    endpoint: Endpoint | None
    time_s: float


class Snapshot(typing.NamedTuple):
    """The complete list at one version."""

    version: int
    slices: tuple[dict[str, typing.Any], ...]


class InstanceList:
    """The endpoints and the lag until changes become visible."""

    def __init__(self, *, clock: clocks.Clock, lag_s: float = 0) -> None:
        """Create an empty list at version 1."""
        self.controls = admin.Controls(switches=Switches(lag_s=lag_s))
        self._clock = clock
        self._endpoints: dict[str, Endpoint] = {}
        self._version = 1
        self._snapshot = lag.DelayedValue(initial=Snapshot(1, ()))

    def put(self, name: str, endpoint: Endpoint) -> None:
        """Add or replace one endpoint."""
        self._endpoints[name] = endpoint
        self._record(name, endpoint)

    def remove(self, name: str) -> None:
        """Remove one endpoint; an unknown name changes nothing."""
        if self._endpoints.pop(name, None) is not None:
            self._record(name, None)

    def read(self) -> Snapshot:
        """Return the list that is visible now."""
        return self._snapshot.read(
            self._clock.read_monotonic(), self.controls.switches.lag_s
        )

    def _record(self, name: str, endpoint: Endpoint | None) -> None:
        self._version += 1
        self.controls.journal.append(
            Change(
                name=name,
                version=self._version,
                endpoint=endpoint,
                time_s=self._clock.read_wall().timestamp(),
            )
        )
        slices = tuple(
            _build_slice(
                endpoint_name, self._endpoints[endpoint_name], self._version
            )
            for endpoint_name in sorted(self._endpoints)
        )
        self._snapshot.set(
            self._clock.read_monotonic(), Snapshot(self._version, slices)
        )


def build_app(service: InstanceList) -> types.ASGIApp:
    """Return the ASGI application of the instance list."""
    path = '/standin/endpoints/{name}'
    return applications.Starlette(
        routes=[
            admin.route('GET', _PATH, _show, service),
            admin.route('PUT', path, _put, service),
            admin.route('DELETE', path, _remove, service),
            *admin.list_routes(service.controls),
        ]
    )


async def _show(
    service: InstanceList, request: requests.Request
) -> responses.Response:
    service.controls.counts['list'] += 1
    snapshot = service.read()
    tag = f'"{snapshot.version}"'
    if request.headers.get('if-none-match') == tag:
        return responses.Response(
            status_code=_NOT_MODIFIED, headers={'ETag': tag}
        )
    response = admin.reply(_build_list(snapshot))
    response.headers['ETag'] = tag
    return response


async def _put(
    service: InstanceList, request: requests.Request
) -> responses.Response:
    try:
        endpoint = msgspec.json.decode(await request.body(), type=Endpoint)
    except msgspec.MsgspecError as error:
        return admin.reply({'error': str(error)}, _BAD_REQUEST)
    service.put(request.path_params['name'], endpoint)
    return admin.reply(endpoint)


async def _remove(
    service: InstanceList, request: requests.Request
) -> responses.Response:
    service.remove(request.path_params['name'])
    return admin.reply({})


def _build_list(snapshot: Snapshot) -> dict[str, typing.Any]:
    return {
        'kind': 'EndpointSliceList',
        'apiVersion': 'discovery.k8s.io/v1',
        'metadata': {'resourceVersion': str(snapshot.version)},
        'items': snapshot.slices,
    }


def _build_slice(
    name: str, endpoint: Endpoint, version: int
) -> dict[str, typing.Any]:
    labels = {_LABEL_POOL: endpoint['pool'], _LABEL_KIND: endpoint['kind']}
    fencing = endpoint.get('fencing')
    if fencing:
        labels[_LABEL_FENCING] = fencing
    terminating = endpoint.get('terminating', False)
    return {
        'metadata': {
            'name': name,
            'labels': labels,
            'resourceVersion': str(version),
        },
        'addressType': 'IPv4',
        'endpoints': [
            {
                'addresses': [endpoint['address']],
                'conditions': {
                    'ready': endpoint.get('ready', True) and not terminating,
                    'serving': endpoint.get('ready', True),
                    'terminating': terminating,
                },
                'targetRef': {'kind': 'Pod', 'name': name},
                'zone': endpoint['zone'],
            }
        ],
        'ports': [
            {'name': port, 'port': number, 'protocol': 'TCP'}
            for port, number in sorted(endpoint['ports'].items())
        ],
    }
