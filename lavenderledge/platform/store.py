"""The platform's key-value service, spoken over HTTP with JSON bodies."""

import asyncio
import base64
import typing
import urllib.parse

import expression
import msgspec

from lavenderledge.http1 import client, messages
from lavenderledge.registry import store as stores

# A call that takes longer counts as unanswered, seconds: calls take
# milliseconds, and a hundred times that when the service is slow.
_CALL_TIMEOUT_S: typing.Final = 1.0
_CONNECT_TIMEOUT_S: typing.Final = 0.5
# Idle connections are used up to this age, seconds; no idle timeout of the
# service is stated.
_MOST_IDLE_S: typing.Final = 3.0
_MILLISECONDS: typing.Final = 1000
_COMPACTED: typing.Final = 410
_CONFLICT: typing.Final = 412

_STATUS_FAULTS: typing.Final = {
    messages.NOT_FOUND: stores.Fault.NO_LEASE,
    _COMPACTED: stores.Fault.COMPACTED,
    _CONFLICT: stores.Fault.CONFLICT,
    messages.TOO_MANY_REQUESTS: stores.Fault.REFUSED,
    messages.UNAVAILABLE: stores.Fault.REFUSED,
}

_Decoded = typing.TypeVar('_Decoded')


class _Item(msgspec.Struct):
    key: str
    revision: int = 0
    # Standard base64 text of the key's bytes.
    data: str = ''
    deleted: bool = False


class _Range(msgspec.Struct):
    # The service's revision at the time of the answer.
    at: int
    entries: list[_Item] = []
    has_more: bool = False


class _Watched(msgspec.Struct):
    at: int
    events: list[_Item] = []


class _Lease(msgspec.Struct):
    lease_id: int


class _Whole:
    """Collects one response."""

    def __init__(self) -> None:
        self.status = 0
        self.body: list[bytes] = []
        self.ended: asyncio.Future[messages.Ending] = (
            asyncio.get_running_loop().create_future()
        )

    def accepts(self, head: messages.ResponseHead) -> bool:
        return True

    def receive_head(self, head: messages.ResponseHead) -> None:
        self.status = head.status

    def receive_body(self, body: bytes) -> None:
        self.body.append(body)

    def receive_end(self, ending: messages.Ending) -> None:
        if not self.ended.done():
            self.ended.set_result(ending)


_Answer: typing.TypeAlias = expression.Result[bytes, stores.StoreFailure]


class PlatformStore:
    """Implements ``registry.store.Store`` on the platform's calls."""

    def __init__(self, *, address: str, pool: client.ConnectionPool) -> None:
        """Take the service's ``host:port``."""
        self._address = address
        self._host = address.encode()
        self._pool = pool

    async def list_keys(self, prefix: str) -> stores.ListResult:
        """Return the keys of a prefix, page by page.

        The revision is that of the first page: what changes meanwhile is
        told by a watch from there.
        """
        found: list[stores.Change] = []
        revision: int | None = None
        after = ''
        while True:
            query = {'path_prefix': prefix}
            if after:
                query['after'] = after
            answer = await self._get('/api/kv-range', query)
            page = _decode(answer, _Range)
            if page.is_error():
                return expression.Error(page.error)
            revision = page.ok.at if revision is None else revision
            found += [_read_item(item) for item in page.ok.entries]
            if not page.ok.has_more or not page.ok.entries:
                return expression.Ok(stores.Listing(tuple(found), revision))
            after = page.ok.entries[-1].key

    async def watch(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> stores.ListResult:
        """Return the changes after a revision; none once the wait is over."""
        query = {
            'path_prefix': prefix,
            'after': str(after_revision),
            'wait_ms': str(int(wait_s * _MILLISECONDS)),
        }
        answer = await self._get(
            '/api/kv-watch', query, timeout_s=wait_s + _CALL_TIMEOUT_S
        )
        watched = _decode(answer, _Watched)
        if watched.is_error():
            return expression.Error(watched.error)
        changes = tuple(_read_item(item) for item in watched.ok.events)
        return expression.Ok(stores.Listing(changes, watched.ok.at))

    async def create(
        self, key: str, content: bytes
    ) -> expression.Result[None, stores.StoreFailure]:
        """Write a key that does not exist."""
        return await self._post(
            '/api/kv-txn',
            {
                'expected_revision': [{'key': key, 'revision': 0}],
                'write': [_write_item(key, content)],
                'remove': [],
            },
        )

    async def put(
        self, key: str, content: bytes, *, lease: int
    ) -> expression.Result[None, stores.StoreFailure]:
        """Write a key that goes with a lease."""
        return await self._post(
            '/api/kv-txn',
            {
                'expected_revision': [],
                'write': [{**_write_item(key, content), 'lease_id': lease}],
                'remove': [],
            },
        )

    async def open_lease(
        self, ttl_s: float
    ) -> expression.Result[int, stores.StoreFailure]:
        """Return a new lease's id."""
        answer = await self._call(
            b'POST',
            '/api/kv-lease',
            msgspec.json.encode({'ttl_ms': int(ttl_s * _MILLISECONDS)}),
        )
        lease = _decode(answer, _Lease)
        return lease.map(lambda found: found.lease_id)

    async def keep_lease(
        self, lease: int
    ) -> expression.Result[None, stores.StoreFailure]:
        """Renew a lease."""
        return await self._post(f'/api/kv-keep/{lease}', {})

    async def end_lease(
        self, lease: int
    ) -> expression.Result[None, stores.StoreFailure]:
        """End a lease with its keys."""
        answer = await self._call(b'DELETE', f'/api/kv-lease-end/{lease}')
        return answer.map(lambda _: None)

    async def _post(
        self, path: str, document: dict[str, typing.Any]
    ) -> expression.Result[None, stores.StoreFailure]:
        body = msgspec.json.encode(document)
        answer = await self._call(b'POST', path, body)
        return answer.map(lambda _: None)

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        *,
        timeout_s: float = _CALL_TIMEOUT_S,
    ) -> _Answer:
        target = f'{path}?{urllib.parse.urlencode(query, safe="/")}'
        return await self._call(b'GET', target, timeout_s=timeout_s)

    async def _call(
        self,
        method: bytes,
        target: str,
        body: bytes = b'',
        *,
        timeout_s: float = _CALL_TIMEOUT_S,
    ) -> _Answer:
        opened = await self._pool.open(
            self._address,
            timeout_s=_CONNECT_TIMEOUT_S,
            max_idle_s=_MOST_IDLE_S,
        )
        if opened.is_error():
            return _fail(stores.Fault.UNREACHABLE, opened.error.detail)
        connection = opened.ok
        fields = [
            (b'Host', self._host),
            (b'Content-Type', b'application/json'),
        ]
        whole = _Whole()
        connection.begin(
            messages.format_request(method, target.encode(), fields, body),
            whole,
        )
        try:
            async with asyncio.timeout(timeout_s):
                ending = await whole.ended
        except TimeoutError:
            return _fail(stores.Fault.UNREACHABLE, 'no answer in time')
        finally:
            self._pool.release(connection)
        if ending is not messages.Ending.COMPLETE:
            return _fail(stores.Fault.UNREACHABLE, ending.value)
        if whole.status != messages.OK:
            fault = _STATUS_FAULTS.get(whole.status, stores.Fault.MALFORMED)
            return _fail(fault, f'status {whole.status}')
        return expression.Ok(b''.join(whole.body))


def _read_item(item: _Item) -> stores.Change:
    if item.deleted:
        return stores.Change(item.key, None, item.revision)
    # Bytes that can't be decoded belong to an entry that can't be read.
    try:
        content = base64.b64decode(item.data, validate=True)
    except ValueError:
        content = b''
    return stores.Change(item.key, content, item.revision)


def _write_item(key: str, content: bytes) -> dict[str, typing.Any]:
    return {'key': key, 'data': base64.b64encode(content).decode()}


def _decode(
    answer: _Answer, kind: type[_Decoded]
) -> expression.Result[_Decoded, stores.StoreFailure]:
    if answer.is_error():
        return expression.Error(answer.error)
    try:
        return expression.Ok(msgspec.json.decode(answer.ok, type=kind))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return _fail(stores.Fault.MALFORMED, str(error))


def _fail(
    fault: stores.Fault, detail: str
) -> expression.Result[typing.Any, stores.StoreFailure]:
    return expression.Error(stores.StoreFailure(fault, detail))
