"""The cost of the table and the instance list at the design size."""

import asyncio
import http
import typing

import msgspec

from lavenderledge.capacity import figures, manualclock, samples
from lavenderledge.controllers import directory, tablecopy
from lavenderledge.policy import table, tablecheck
from lavenderledge.registry import instancelist

# Limits and ports of a typical user's table and instance list.
_RATE: typing.Final = 50.0
_CONCURRENCY: typing.Final = 200
_FIRST_PORT: typing.Final = 8000

CUSTOMERS: typing.Final = 500
KINDS: typing.Final = ('plan', 'check', 'note')
POOLS: typing.Final = 28
NODES: typing.Final = 370
REPLICAS: typing.Final = 790

_MATCH_COUNT: typing.Final = 10_000
_POLL_COUNT: typing.Final = 5


class _Response:
    """A response of the instance list."""

    def __init__(
        self, *, body: bytes, etag: str, request_etag: str | None
    ) -> None:
        """Respond "not modified" if the request has the current ETag."""
        unchanged = etag == request_etag
        self.status = (
            http.HTTPStatus.NOT_MODIFIED if unchanged else http.HTTPStatus.OK
        )
        self.headers = {'ETag': etag}
        self._body = b'' if unchanged else body

    async def __aenter__(self) -> '_Response':
        return self

    async def __aexit__(self, *raised: object) -> None:
        """Close nothing."""

    async def read(self) -> bytes:
        """Return the body."""
        return self._body


class _Session:
    """Serves polls of the instance list without a network."""

    def __init__(self, *, body: bytes) -> None:
        """Serve this list."""
        self.etag = 0
        self._body = body

    def get(
        self, url: str, *, headers: dict[str, str], timeout: object
    ) -> _Response:
        """Return the list, unless the client already has it."""
        request_etag = headers.get('If-None-Match')
        return _Response(
            body=self._body, etag=f'{self.etag}', request_etag=request_etag
        )


def make_rows() -> tuple[table.Row, ...]:
    """Return three rows for each customer."""
    return tuple(
        table.Row(
            row=f'customer-{number:03d}-{kind}',
            customer=f'customer-{number:03d}',
            pool=f'model-{number % POOLS:02d}',
            kind=kind,
            tier=tier,
            rate=_RATE,
            burst=100,
            concurrency=_CONCURRENCY,
            timeout_s=60.0,
            output_tokens=samples.OUTPUT_TOKENS,
            repeatable=True,
        )
        for number in range(CUSTOMERS)
        for tier, kind in enumerate(KINDS, start=1)
    )


def measure_table() -> list[figures.Figure]:
    """Return the sizes and processor times of the table."""
    full_table = table.Table(make_rows(), 'edit-0123456789abcdef')
    stored = tablecheck.encode_checked(full_table).default_value(b'')
    compressed = tablecopy.compress(stored)
    index = table.RowIndex(rows=full_table.rows)

    def accept(count: int) -> None:
        for _ in range(count):
            body = tablecopy.decompress(compressed).default_value(b'')
            decoded = tablecheck.decode_table(body)
            table.RowIndex(rows=decoded.ok.rows)

    def match(count: int) -> None:
        for number in range(count):
            customer = number % CUSTOMERS
            index.match_row(
                customer=f'customer-{customer:03d}',
                pool=f'model-{customer % POOLS:02d}',
                kind='note',
            )

    return [
        figures.build_figure('table: stored', 'B', [len(stored)]),
        figures.build_figure('table: compressed', 'B', [len(compressed)]),
        figures.measure_time(
            'table: compress', _make_compress(stored), count=3
        ),
        figures.measure_time('table: decode, check, index', accept, count=3),
        figures.measure_time('table: match a row', match, count=_MATCH_COUNT),
        figures.measure_memory(
            'table: memory of a row', _build_index, count=CUSTOMERS
        ),
    ]


def measure_list() -> list[figures.Figure]:
    """Return the size and processor times of the instance list."""
    return asyncio.run(_measure_list())


async def _measure_list() -> list[figures.Figure]:
    body = _make_list()
    session = _Session(body=body)
    source = instancelist.InstanceList(
        session=typing.cast(typing.Any, session), address='http://list'
    )
    instance_directory = directory.Directory(
        source=source,
        clock=manualclock.ManualClock(),
        on_instances=_ignore,
        count_failure=_ignore,
    )
    changed: list[float] = []
    unchanged: list[float] = []
    for _ in range(_POLL_COUNT):
        session.etag += 1
        changed.append(await _time_poll(instance_directory))
        unchanged.append(await _time_poll(instance_directory))
    return [
        figures.build_figure('list: size', 'B', [len(body)]),
        figures.build_figure('list: a changed poll', 'us', changed),
        figures.build_figure('list: an unchanged poll', 'us', unchanged),
    ]


async def _time_poll(instance_directory: directory.Directory) -> float:
    with figures.Stopwatch() as stopwatch:
        await instance_directory.refresh()
    return stopwatch.elapsed_us


def _make_compress(stored: bytes) -> typing.Callable[[int], None]:
    def compress(count: int) -> None:
        for _ in range(count):
            tablecopy.compress(stored)

    return compress


def _build_index(count: int) -> table.RowIndex:
    rows = make_rows()[:count]
    return table.RowIndex(rows=rows)


def _make_list() -> bytes:
    slices = [
        _make_slice(
            'lavenderledge', 'instance', number, ('http', 'admin', 'peer')
        )
        for number in range(NODES)
    ]
    slices.extend(
        _make_slice(f'model-{number % POOLS:02d}', 'engine', number, ('http',))
        for number in range(REPLICAS)
    )
    return msgspec.json.encode(
        {
            'kind': 'EndpointSliceList',
            'apiVersion': 'discovery.k8s.io/v1',
            'metadata': {'resourceVersion': '12'},
            'items': slices,
        }
    )


def _make_slice(
    service: str, kind: str, number: int, ports: tuple[str, ...]
) -> dict[str, object]:
    name = f'{service}-{number}'
    conditions = {'ready': True, 'serving': True, 'terminating': False}
    return {
        'metadata': {
            'name': name,
            'labels': {
                instancelist.POOL_LABEL: service,
                instancelist.KIND_LABEL: kind,
            },
        },
        'addressType': 'IPv4',
        'endpoints': [
            {
                'addresses': [samples.make_address(number)],
                'conditions': conditions,
                'targetRef': {'kind': 'Pod', 'name': name},
                'zone': 'addis-a',
            }
        ],
        'ports': [
            {'name': port, 'port': _FIRST_PORT + offset}
            for offset, port in enumerate(ports)
        ],
    }


def _ignore(event: object) -> None:
    """Do nothing."""
