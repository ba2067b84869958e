"""Polling of upstreams: readiness, and load and cache events of engines."""

import typing

import aiohttp
import expression
import msgspec
from prometheus_client import parser

from lavenderledge import answers
from lavenderledge.policy import prefix

_TIMEOUT_S = 2.0
_KEEP_ALIVE_S = 15.0
_MAX_REPORT_BYTES = 8_000_000
_OK = 200
_UNAVAILABLE = 503
_RUNNING = 'vllm:num_requests_running'
_WAITING = 'vllm:num_requests_waiting'


class Load(typing.NamedTuple):
    """An engine's load as last published, in requests."""

    running: int
    waiting: int


class CacheEvents(typing.NamedTuple):
    """Cache events in order; ``gap`` is True if some are missing.

    The next event has at least ``next_sequence``.
    """

    events: tuple[prefix.CacheEvent, ...]
    next_sequence: int
    gap: bool


class ReportFailure(typing.NamedTuple):
    """A report that was not received or could not be parsed."""

    detail: str


class _Response(typing.NamedTuple):
    status: int
    body: bytes


class _EventDocument(msgspec.Struct):
    seq: int
    type: typing.Literal['stored', 'removed']
    blocks: tuple[int, ...]


class _EventsDocument(msgspec.Struct):
    events: list[_EventDocument]
    next: int


def open_session() -> aiohttp.ClientSession:
    """Return a session that keeps connections open between polls.

    A dead connection costs one poll: it is closed at the timeout, and the
    next poll opens a new one.
    """
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0, keepalive_timeout=_KEEP_ALIVE_S
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
    )


class Observer:
    """Reads readiness, load and cache events from upstreams."""

    def __init__(self, *, session: aiohttp.ClientSession) -> None:
        """Use an open session, which the caller closes."""
        self._session = session

    async def read_readiness(
        self, address: str
    ) -> 'expression.Result[bool, ReportFailure]':
        """Return whether the upstream at ``host:port`` accepts new work.

        Only status 503 means that it does not, since not every upstream has
        the page.
        """
        answer = await self._fetch(f'http://{address}/health')
        return answer.map(lambda fetched: fetched.status != _UNAVAILABLE)

    async def read_load(
        self, address: str
    ) -> 'expression.Result[Load, ReportFailure]':
        """Read the load of the engine at ``host:port``."""
        body = await self._read(f'http://{address}/metrics')
        return body.bind(_parse_load)

    async def read_cache_events(
        self, address: str, after: int
    ) -> 'expression.Result[CacheEvents, ReportFailure]':
        """Read the cache events after a sequence number."""
        body = await self._read(f'http://{address}/kv_events?after={after}')
        return body.bind(lambda text: _parse_events(text, after))

    async def _read(
        self, url: str
    ) -> 'expression.Result[bytes, ReportFailure]':
        return (await self._fetch(url)).bind(_check_status)

    async def _fetch(
        self, url: str
    ) -> 'expression.Result[_Response, ReportFailure]':
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
        try:
            async with self._session.get(url, timeout=timeout) as response:
                body = await answers.read_body(
                    response, max_bytes=_MAX_REPORT_BYTES
                )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return expression.Error(ReportFailure(repr(error)))
        return expression.Ok(_Response(response.status, body))


def _check_status(
    fetched: _Response,
) -> 'expression.Result[bytes, ReportFailure]':
    if fetched.status == _OK:
        return expression.Ok(fetched.body)
    return expression.Error(
        ReportFailure(f'expected status 200, got {fetched.status}')
    )


def _parse_load(
    body: bytes,
) -> 'expression.Result[Load, ReportFailure]':
    totals = {_RUNNING: 0, _WAITING: 0}
    try:
        for family in parser.text_string_to_metric_families(body.decode()):
            for sample in family.samples:
                totals[sample.name] = int(sample.value) + totals.get(
                    sample.name, 0
                )
    except ValueError as error:
        return expression.Error(ReportFailure(str(error)))
    return expression.Ok(Load(totals[_RUNNING], totals[_WAITING]))


def _parse_events(
    body: bytes, after: int
) -> 'expression.Result[CacheEvents, ReportFailure]':
    try:
        document = msgspec.json.decode(body, type=_EventsDocument)
    except msgspec.MsgspecError as error:
        return expression.Error(ReportFailure(str(error)))
    received = [event.seq for event in document.events]
    expected = list(range(after + 1, document.next))
    events = tuple(
        prefix.CacheEvent(stored=event.type == 'stored', digest=digest)
        for event in document.events
        for digest in event.blocks
    )
    return expression.Ok(
        CacheEvents(events, document.next, received != expected)
    )
