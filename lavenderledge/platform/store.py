"""Client of the platform's key-value service, over HTTP with JSON bodies."""

import asyncio
import base64
import typing
import urllib.parse
from collections import abc

import expression
import msgspec

from lavenderledge.http1 import client, messages
from lavenderledge.registry import store as stores

# Requests take milliseconds, and a hundred times that when the service is slow.
# A long answer on a slow link takes longer; it may not stop for this long.
_REQUEST_TIMEOUT_S: typing.Final = 1.0
# The timeout of a whole answer from its first byte.
_TRANSFER_TIMEOUT_S: typing.Final = 10.0
_CONNECT_TIMEOUT_S: typing.Final = 0.5
# Many times the configuration of a large site. Decoded, small entries take ten
# times as much.
_MAX_RESPONSE_BYTES: typing.Final = 4_194_304
_MAX_LISTING_BYTES: typing.Final = 8_388_608
_MAX_ENTRIES: typing.Final = 20_000
# Short, because the service does not state its idle timeout.
_MAX_IDLE_S: typing.Final = 3.0
_MILLISECONDS: typing.Final = 1000
_COMPACTED: typing.Final = 410
_CONFLICT: typing.Final = 412
_ERA: typing.Final = b'store-era'

_STATUS_FAULTS: typing.Final = {
    messages.NOT_FOUND: stores.Fault.NO_LEASE,
    _COMPACTED: stores.Fault.COMPACTED,
    _CONFLICT: stores.Fault.CONFLICT,
    messages.TOO_MANY_REQUESTS: stores.Fault.REFUSED,
    messages.UNAVAILABLE: stores.Fault.REFUSED,
}

_Decoded = typing.TypeVar('_Decoded')


class _Entry(msgspec.Struct):
    key: str
    revision: int = 0
    # The content in standard base64.
    data: str = ''
    lease_id: int | None = None
    deleted: bool = False


_Entries: typing.TypeAlias = typing.Annotated[
    list[_Entry], msgspec.Meta(max_length=_MAX_ENTRIES)
]


class _RangePage(msgspec.Struct):
    # The service's revision when it responded.
    at: int
    entries: _Entries = []
    has_more: bool = False


class _WatchResult(msgspec.Struct):
    at: int
    events: _Entries = []


class _Written(msgspec.Struct):
    revision: int


class _Lease(msgspec.Struct):
    lease_id: int


class _ResponseCollector:
    """Collects one response; each part of it extends the timeout.

    A body that is too large ends it as malformed.
    """

    def __init__(self) -> None:
        self.status = 0
        self.timeout: asyncio.Timeout | None = None
        self._end_s: float | None = None
        self.era = 0
        self.body = bytearray()
        self.ended: asyncio.Future[messages.Ending] = (
            asyncio.get_running_loop().create_future()
        )

    def accepts(self, head: messages.ResponseHead) -> bool:
        return True

    def receive_head(self, head: messages.ResponseHead) -> None:
        self.status = head.status
        era = head.fields.find(_ERA) or b''
        self.era = int(era) if era.isdigit() else 0
        self._extend_timeout()

    def receive_body(self, body: bytes) -> None:
        if self.ended.done():
            return
        self.body += body
        self._extend_timeout()
        if len(self.body) > _MAX_RESPONSE_BYTES:
            self.ended.set_result(messages.Ending.MALFORMED)

    def receive_end(self, ending: messages.Ending) -> None:
        if not self.ended.done():
            self.ended.set_result(ending)

    def _extend_timeout(self) -> None:
        if self.timeout is None or self.timeout.expired():
            return
        now_s = asyncio.get_running_loop().time()
        if self._end_s is None:
            self._end_s = now_s + _TRANSFER_TIMEOUT_S
        self.timeout.reschedule(min(now_s + _REQUEST_TIMEOUT_S, self._end_s))


class _Response(typing.NamedTuple):
    """The body of a successful response, and the service's era."""

    body: bytes
    era: int


_CallResult: typing.TypeAlias = expression.Result[
    _Response, stores.StoreFailure
]


class PlatformStore:
    """Implements ``registry.store.Store`` with the platform's service."""

    def __init__(self, *, address: str, pool: client.ConnectionPool) -> None:
        """Create a client of the service at ``host:port``."""
        self._address = address
        self._host = address.encode()
        self._pool = pool

    async def list_keys(
        self, prefix: str, *, may_be_old: bool = False
    ) -> stores.ListResult:
        """Return all keys with a prefix, read page by page.

        The revision is that of the first page: a watch from there reports
        any change made between two pages. MALFORMED if it is too large.
        """
        size_bytes = 0
        entries: list[stores.Change] = []
        revision: int | None = None
        era: int | None = None
        after = ''
        while True:
            query = _build_range_query(prefix, after, may_be_old=may_be_old)
            response = await self._get('/api/kv-range', query)
            page = _decode(response, _RangePage)
            if page.is_error():
                return expression.Error(page.error)
            if era not in {None, response.ok.era}:
                return _fail(
                    stores.Fault.RESTORED,
                    f'era {era} at the first page, then {response.ok.era}',
                )
            size_bytes += len(response.ok.body)
            if size_bytes > _MAX_LISTING_BYTES:
                return _fail(
                    stores.Fault.MALFORMED,
                    f'keys without end, {size_bytes} bytes so far',
                )
            era = response.ok.era
            revision = page.ok.at if revision is None else revision
            entries += [_parse_entry(entry) for entry in page.ok.entries]
            if not page.ok.has_more or not page.ok.entries:
                return expression.Ok(
                    stores.Listing(tuple(entries), revision, era)
                )
            after = page.ok.entries[-1].key

    async def watch(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> stores.ListResult:
        """Return the changes after a revision, none if the wait times out."""
        query = {
            'path_prefix': prefix,
            'after': str(after_revision),
            'wait_ms': str(int(wait_s * _MILLISECONDS)),
        }
        response = await self._get(
            '/api/kv-watch', query, timeout_s=wait_s + _REQUEST_TIMEOUT_S
        )
        watched = _decode(response, _WatchResult)
        if watched.is_error():
            return expression.Error(watched.error)
        changes = tuple(_parse_entry(entry) for entry in watched.ok.events)
        return expression.Ok(
            stores.Listing(changes, watched.ok.at, response.ok.era)
        )

    async def create(
        self, key: str, content: bytes
    ) -> expression.Result[None, stores.StoreFailure]:
        """Create a key; fails if it exists."""
        return await self._post(
            '/api/kv-txn',
            {
                'expected_revision': [{'key': key, 'revision': 0}],
                'write': [_build_entry(key, content)],
                'remove': [],
            },
        )

    async def replace(
        self, writes: abc.Sequence[stores.Write], *, key: str, revision: int
    ) -> expression.Result[int, stores.StoreFailure]:
        """Write keys together; CONFLICT if ``key`` has another revision."""
        response = await self._request(
            b'POST',
            '/api/kv-txn',
            msgspec.json.encode(
                {
                    'expected_revision': [{'key': key, 'revision': revision}],
                    'write': [
                        _build_entry(write.key, write.content)
                        for write in writes
                    ],
                    'remove': [],
                }
            ),
        )
        written = _decode(response, _Written)
        return written.map(lambda document: document.revision)

    async def put(
        self, key: str, content: bytes, *, lease: stores.Lease
    ) -> expression.Result[None, stores.StoreFailure]:
        """Write a key that is deleted when its lease ends."""
        entry = {**_build_entry(key, content), 'lease_id': lease.number}
        return await self._post(
            '/api/kv-txn',
            {'expected_revision': [], 'write': [entry], 'remove': []},
            era=lease.era,
        )

    async def open_lease(
        self, ttl_s: float
    ) -> expression.Result[stores.Lease, stores.StoreFailure]:
        """Create a lease."""
        response = await self._request(
            b'POST',
            '/api/kv-lease',
            msgspec.json.encode({'ttl_ms': int(ttl_s * _MILLISECONDS)}),
        )
        lease = _decode(response, _Lease)
        return lease.map(
            lambda opened: stores.Lease(opened.lease_id, response.ok.era)
        )

    async def keep_lease(
        self, lease: stores.Lease
    ) -> expression.Result[None, stores.StoreFailure]:
        """Renew a lease."""
        return await self._post(
            f'/api/kv-keep/{lease.number}', {}, era=lease.era
        )

    async def end_lease(
        self, lease: stores.Lease
    ) -> expression.Result[None, stores.StoreFailure]:
        """End a lease, which deletes its keys."""
        target = f'/api/kv-lease-end/{lease.number}'
        response = await self._request(b'DELETE', target)
        return response.map(lambda _: None)

    async def _post(
        self,
        path: str,
        document: dict[str, typing.Any],
        *,
        era: int | None = None,
    ) -> expression.Result[None, stores.StoreFailure]:
        """Send a document; with ``era``, fail in any other one."""
        body = msgspec.json.encode(document)
        response = await self._request(b'POST', path, body)
        if response.is_ok() and era not in {None, response.ok.era}:
            return _fail(
                stores.Fault.RESTORED,
                f'era {era} expected, got {response.ok.era}',
            )
        return response.map(lambda _: None)

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        *,
        timeout_s: float = _REQUEST_TIMEOUT_S,
    ) -> _CallResult:
        target = f'{path}?{urllib.parse.urlencode(query, safe="/")}'
        return await self._request(b'GET', target, timeout_s=timeout_s)

    async def _request(
        self,
        method: bytes,
        target: str,
        body: bytes = b'',
        *,
        timeout_s: float = _REQUEST_TIMEOUT_S,
    ) -> _CallResult:
        opened = await self._pool.open(
            self._address,
            timeout_s=_CONNECT_TIMEOUT_S,
            max_idle_s=_MAX_IDLE_S,
        )
        if opened.is_error():
            return _fail(stores.Fault.UNREACHABLE, opened.error.detail)
        connection = opened.ok
        fields = [
            (b'Host', self._host),
            (b'Content-Type', b'application/json'),
        ]
        response = _ResponseCollector()
        connection.begin(
            messages.format_request(method, target.encode(), fields, body),
            response,
        )
        try:
            async with asyncio.timeout(timeout_s) as timeout:
                response.timeout = timeout
                ending = await response.ended
        except TimeoutError:
            return _fail(
                stores.Fault.UNREACHABLE,
                f'timed out after {len(response.body)} bytes of a response',
            )
        finally:
            self._pool.release(connection)
        if ending is messages.Ending.MALFORMED:
            return _fail(
                stores.Fault.MALFORMED,
                f'malformed or too large after {len(response.body)} bytes',
            )
        if ending is not messages.Ending.COMPLETE:
            return _fail(stores.Fault.UNREACHABLE, ending.value)
        if response.status != messages.OK:
            fault = _STATUS_FAULTS.get(response.status, stores.Fault.MALFORMED)
            return _fail(fault, f'status {response.status}')
        return expression.Ok(_Response(bytes(response.body), response.era))


def _build_range_query(
    prefix: str, after: str, *, may_be_old: bool
) -> dict[str, str]:
    query = {'path_prefix': prefix}
    if after:
        query['after'] = after
    if may_be_old:
        query['outdated'] = '1'
    return query


def _parse_entry(entry: _Entry) -> stores.Change:
    if entry.deleted:
        return stores.Change(entry.key, None, entry.revision)
    # An entry with invalid base64 is passed on empty; its reader rejects it.
    try:
        content = base64.b64decode(entry.data, validate=True)
    except ValueError:
        content = b''
    return stores.Change(entry.key, content, entry.revision, entry.lease_id)


def _build_entry(key: str, content: bytes) -> dict[str, typing.Any]:
    return {'key': key, 'data': base64.b64encode(content).decode()}


def _decode(
    response: _CallResult, schema: type[_Decoded]
) -> expression.Result[_Decoded, stores.StoreFailure]:
    if response.is_error():
        return expression.Error(response.error)
    try:
        return expression.Ok(msgspec.json.decode(response.ok.body, type=schema))
    except (
        msgspec.MsgspecError,
        UnicodeDecodeError,
        # Fields that are not in the schema may be nested deeply.
        RecursionError,
    ) as error:
        return _fail(stores.Fault.MALFORMED, str(error))


def _fail(
    fault: stores.Fault, detail: str
) -> expression.Result[typing.Any, stores.StoreFailure]:
    return expression.Error(stores.StoreFailure(fault, detail))
