"""Client of the instance list, which lists EndpointSlices in JSON."""

import asyncio
import datetime
import http
import typing
from collections import abc

import aiohttp
import expression
import msgspec

from lavenderledge import answers

PATH = '/apis/discovery.k8s.io/v1/endpointslices'
POLL_TIMEOUT = datetime.timedelta(seconds=2)
MAX_LIST_BYTES = 8_000_000

POOL_LABEL = 'kubernetes.io/service-name'
KIND_LABEL = 'lavenderledge/kind'
FENCING_LABEL = 'lavenderledge/fencing'


class Port(typing.NamedTuple):
    """A named port of an endpoint."""

    name: str
    port: int


class Endpoint(typing.NamedTuple):
    """An upstream or a lavenderledge instance, as the platform lists it.

    ``kind`` is ``instance``, ``engine`` or ``plain``; ``fencing`` is
    ``checked`` or ``ignored``. ``address`` is an IP address.
    """

    name: str
    pool: str
    kind: str
    fencing: str
    availability_zone: str
    address: str
    ports: tuple[Port, ...]
    ready: bool
    terminating: bool

    def find_port(self, name: str) -> int | None:
        """Return the port with this name, or None."""
        for port in self.ports:
            if port.name == name:
                return port.port
        return None


class ListUnavailable(typing.NamedTuple):
    """The instance list did not answer; the last valid list stays in use."""

    detail: str


class ListMalformed(typing.NamedTuple):
    """The answer is not a list of slices; the last valid list stays in use."""

    detail: str


Failure: typing.TypeAlias = ListUnavailable | ListMalformed
Endpoints: typing.TypeAlias = tuple[Endpoint, ...]


class _Conditions(typing.TypedDict, total=False):
    ready: bool | None
    terminating: bool | None


class _Target(typing.TypedDict, total=False):
    name: str


class _Endpoint(typing.TypedDict):
    addresses: list[str]
    conditions: typing.NotRequired[_Conditions]
    targetRef: typing.NotRequired[_Target | None]
    zone: typing.NotRequired[str | None]


class _Port(typing.TypedDict):
    name: typing.NotRequired[str | None]
    port: int


class _Metadata(typing.TypedDict):
    labels: dict[str, str]


class _Slice(typing.TypedDict):
    metadata: _Metadata
    endpoints: list[_Endpoint] | None
    ports: list[_Port] | None


class _SliceList(typing.TypedDict):
    items: list[msgspec.Raw]


class InstanceList:
    """Polls the instance list and keeps the last valid one.

    ``skipped`` counts all malformed slices so far, ``polls`` all calls.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        address: str,
        timeout: datetime.timedelta = POLL_TIMEOUT,
    ) -> None:
        """Use an open session, which its owner closes, and the base URL."""
        self._session = session
        self._url = address.rstrip('/') + PATH
        self._timeout = aiohttp.ClientTimeout(total=timeout.total_seconds())
        self._etag: str | None = None
        self.endpoints: Endpoints = ()
        self.skipped = 0
        self.polls = 0

    async def poll(self) -> expression.Result[Endpoints, Failure]:
        """Fetch the list and return it, or the failure."""
        self.polls += 1
        try:
            return await self._fetch()
        except asyncio.TimeoutError:
            return expression.Error(
                ListUnavailable(f'no answer within {self._timeout.total} s')
            )
        except (aiohttp.ClientError, OSError) as error:
            return expression.Error(ListUnavailable(str(error)))

    async def _fetch(self) -> expression.Result[Endpoints, Failure]:
        headers = {} if self._etag is None else {'If-None-Match': self._etag}
        async with self._session.get(
            self._url, headers=headers, timeout=self._timeout
        ) as response:
            body = await answers.read_body(response, max_bytes=MAX_LIST_BYTES)
            status = response.status
            etag = response.headers.get('ETag')
        if status == http.HTTPStatus.NOT_MODIFIED:
            return expression.Ok(self.endpoints)
        if status != http.HTTPStatus.OK:
            return expression.Error(
                ListUnavailable(f'expected status 200 or 304, got {status}')
            )
        listed = self._parse_list(body)
        if listed.is_ok():
            self.endpoints = listed.ok
            self._etag = etag
        return listed

    def _parse_list(self, body: bytes) -> expression.Result[Endpoints, Failure]:
        try:
            slices = msgspec.json.decode(body, type=_SliceList)['items']
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return expression.Error(ListMalformed(str(error)))
        endpoints: list[Endpoint] = []
        for raw in slices:
            endpoints.extend(self._parse_slice(raw))
        return expression.Ok(tuple(endpoints))

    def _parse_slice(self, raw: msgspec.Raw) -> abc.Iterable[Endpoint]:
        try:
            return list(_list_endpoints(msgspec.json.decode(raw, type=_Slice)))
        except (msgspec.DecodeError, UnicodeDecodeError, LookupError):
            self.skipped += 1
            return ()


def _list_endpoints(listed: _Slice) -> abc.Iterator[Endpoint]:
    labels = listed['metadata']['labels']
    ports = tuple(
        Port(port.get('name') or '', port['port'])
        for port in listed['ports'] or ()
    )
    for endpoint in listed['endpoints'] or ():
        yield _build_endpoint(endpoint, labels, ports)


def _build_endpoint(
    endpoint: _Endpoint,
    labels: abc.Mapping[str, str],
    ports: tuple[Port, ...],
) -> Endpoint:
    address = endpoint['addresses'][0]
    conditions = endpoint.get('conditions') or _Conditions()
    target = endpoint.get('targetRef') or _Target()
    return Endpoint(
        name=target.get('name') or address,
        pool=labels[POOL_LABEL],
        kind=labels[KIND_LABEL],
        fencing=labels.get(FENCING_LABEL, 'ignored'),
        availability_zone=endpoint.get('zone') or '',
        address=address,
        ports=ports,
        ready=conditions.get('ready') is not False,
        terminating=bool(conditions.get('terminating')),
    )
