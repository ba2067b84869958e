"""Client of the key-value service, through etcd's JSON gateway.

Every call opens its own connection, so that a connection that has gone
silent is never used again and no write is ever sent twice. A write that was
sent and not answered returns ``OutcomeUnknown``; only a write whose
connection could not be opened returns ``Unavailable``.
"""

import asyncio
import datetime
import http
import typing
from collections import abc

import aiohttp
import expression
import msgspec

from lavenderledge import answers
from lavenderledge.registry import gateway, operations, schemas, watches

CALL_TIMEOUT = datetime.timedelta(seconds=2)
MAX_OPERATIONS = 128
MAX_ANSWER_BYTES = 8_000_000

_MAX_DETAIL_BYTES = 200
_CONNECT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
_JSON_HEADERS: typing.Final = {'Content-Type': 'application/json'}

_Body: typing.TypeAlias = expression.Result[bytes, operations.Failure]


def open_session() -> aiohttp.ClientSession:
    """Return a session that makes a new connection for each call."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(force_close=True, limit=0),
    )


class KeyValue:
    """Calls the key-value service at one of its addresses.

    ``addresses`` are base URLs such as ``http://10.0.0.1:2379``. ``calls``
    counts all calls so far.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        addresses: abc.Sequence[str],
        timeout: datetime.timedelta = CALL_TIMEOUT,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        """Use an open session, which its owner closes.

        A call whose answer is over ``max_answer_bytes`` fails.
        """
        self._max_answer_bytes = max_answer_bytes
        self._session = session
        self._addresses = tuple(base.rstrip('/') for base in addresses)
        self._preferred = 0
        self._timeout = aiohttp.ClientTimeout(
            total=timeout.total_seconds(),
            sock_connect=timeout.total_seconds() / 2,
        )
        self.calls = 0

    async def read(
        self, key: str
    ) -> expression.Result[operations.Snapshot, operations.Failure]:
        """Read one key."""
        return await self._range(gateway.build_range(key))

    async def list_prefix(
        self, prefix: str, *, limit: int = 0
    ) -> expression.Result[operations.Snapshot, operations.Failure]:
        """Read the keys with a prefix, last written first.

        ``limit`` is the maximum number of entries; 0 means no limit.
        """
        request = gateway.build_range(prefix, prefix=True)
        request['sort_order'] = 'DESCEND'
        request['sort_target'] = 'MOD'
        request['limit'] = str(limit)
        return await self._range(request)

    async def read_many(
        self, keys: abc.Sequence[str]
    ) -> expression.Result[operations.Snapshot, operations.Failure]:
        """Read at most ``MAX_OPERATIONS`` keys at one revision."""
        gets = [operations.Get(key) for key in keys]
        answer = await self._call(
            '/v3/kv/txn', gateway.build_transaction((), gets, ()), write=False
        )
        return answer.bind(_read_transaction).map(_gather_entries)

    async def transact(
        self,
        compares: abc.Sequence[operations.Compare],
        then: abc.Sequence[operations.Operation],
        otherwise: abc.Sequence[operations.Operation] = (),
    ) -> expression.Result[operations.TransactAnswer, operations.Failure]:
        """Run ``then`` if all comparisons hold, and else ``otherwise``.

        Each sequence has at most ``MAX_OPERATIONS`` items.
        """
        answer = await self._call(
            '/v3/kv/txn',
            gateway.build_transaction(compares, then, otherwise),
            write=True,
        )
        return answer.bind(_read_transaction).map_error(_convert_malformed)

    async def replace_if(
        self,
        key: str,
        *,
        expected: int | bytes,
        value: bytes,
    ) -> expression.Result[bool, operations.Failure]:
        """Write a key if it has the expected value or mod revision."""
        answer = await self.transact(
            [_build_compare(key, expected)], [operations.Put(key, value)]
        )
        return answer.map(lambda transacted: transacted.succeeded)

    async def delete_if_value(
        self, key: str, value: bytes
    ) -> expression.Result[bool, operations.Failure]:
        """Delete a key if it has this value."""
        answer = await self.transact(
            [_build_compare(key, value)], [operations.Delete(key)]
        )
        return answer.map(lambda transacted: transacted.succeeded)

    async def grant_lease(
        self, ttl: datetime.timedelta
    ) -> expression.Result[operations.Lease, operations.Failure]:
        """Grant a lease; its time to live is rounded to whole seconds."""
        answer = await self._call(
            '/v3/lease/grant',
            {'TTL': str(round(ttl.total_seconds()))},
            write=True,
        )
        return answer.bind(
            lambda body: gateway.decode(body, schemas.LeaseAnswer),
        ).map(_read_lease)

    async def keep_alive(
        self, lease: int
    ) -> expression.Result[operations.Lease, operations.Failure]:
        """Renew a lease; a time to live of 0 means that it has expired."""
        answer = await self._call(
            '/v3/lease/keepalive', {'ID': str(lease)}, write=True
        )
        return answer.bind(
            lambda body: gateway.decode(body, schemas.KeepAliveAnswer),
        ).map(lambda renewed: _read_lease(renewed['result']))

    async def revoke_lease(
        self, lease: int
    ) -> expression.Result[None, operations.Failure]:
        """Revoke a lease, which deletes its keys."""
        answer = await self._call(
            '/v3/lease/revoke', {'ID': str(lease)}, write=True
        )
        return answer.map(lambda _: None)

    def watch(
        self,
        key: str,
        *,
        start_revision: int,
        idle_timeout: datetime.timedelta,
    ) -> watches.Events:
        """Yield the events of a key from a revision on.

        The last item is a failure: the watch was refused or lost, or sent
        nothing within the idle timeout.
        """
        self.calls += 1
        return watches.stream_events(
            self._session,
            self._build_url('/v3/watch'),
            watches.build_request(key, start_revision),
            idle_timeout,
        )

    async def _range(
        self, request: gateway.Json
    ) -> expression.Result[operations.Snapshot, operations.Failure]:
        answer = await self._call('/v3/kv/range', request, write=False)
        return answer.bind(
            lambda body: gateway.decode(body, schemas.RangeAnswer),
        ).map(_read_range)

    async def _call(
        self, path: str, request: gateway.Json, *, write: bool
    ) -> _Body:
        body = msgspec.json.encode(request)
        answer: _Body = expression.Error(
            operations.Unavailable('no address is configured')
        )
        for _ in self._addresses:
            answer = await self._post(path, body, write=write)
            if answer.is_ok():
                return answer
            if not isinstance(answer.error, operations.Unavailable):
                return answer
            self._preferred += 1
        return answer

    async def _post(self, path: str, body: bytes, *, write: bool) -> _Body:
        self.calls += 1
        unanswered = (
            operations.OutcomeUnknown if write else operations.Unavailable
        )
        try:
            return await self._send(path, body, unanswered)
        except _CONNECT_ERRORS as error:
            return expression.Error(operations.Unavailable(str(error)))
        except (aiohttp.ClientError, OSError) as error:
            return expression.Error(unanswered(repr(error)))
        except asyncio.TimeoutError:
            return expression.Error(
                unanswered(f'no answer within {self._timeout.total} s')
            )

    async def _send(
        self,
        path: str,
        body: bytes,
        unanswered: type[operations.OutcomeUnknown | operations.Unavailable],
    ) -> _Body:
        async with self._session.post(
            self._build_url(path),
            data=body,
            headers=_JSON_HEADERS,
            timeout=self._timeout,
            allow_redirects=False,
        ) as response:
            answer = await answers.read_body(
                response, max_bytes=self._max_answer_bytes
            )
            status = response.status
        if status == http.HTTPStatus.OK:
            return expression.Ok(answer)
        detail = answer[:_MAX_DETAIL_BYTES].decode(errors='replace')
        if status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
            return expression.Error(unanswered(f'status {status}: {detail}'))
        return expression.Error(operations.Rejected(status, detail))

    def _build_url(self, path: str) -> str:
        base = self._addresses[self._preferred % len(self._addresses)]
        return f'{base}{path}'


def _build_compare(key: str, expected: int | bytes) -> operations.Compare:
    if isinstance(expected, bytes):
        return operations.Compare(key, operations.Target.VALUE, expected)
    return operations.Compare(key, operations.Target.MOD, expected)


def _read_range(answer: schemas.RangeAnswer) -> operations.Snapshot:
    return operations.Snapshot(
        gateway.read_revision(answer.get('header')),
        gateway.read_entries(answer),
    )


def _read_transaction(
    body: bytes,
) -> expression.Result[operations.TransactAnswer, operations.Failure]:
    return gateway.decode(body, schemas.TransactionAnswer).map(
        gateway.read_transaction,
    )


def _gather_entries(answer: operations.TransactAnswer) -> operations.Snapshot:
    entries: list[operations.Entry] = []
    for get_answer in answer.answers:
        if isinstance(get_answer, operations.GetAnswer):
            entries.extend(get_answer.entries)
    return operations.Snapshot(answer.revision, tuple(entries))


def _read_lease(answer: schemas.LeaseAnswer) -> operations.Lease:
    return operations.Lease(answer.get('ID', 0), answer.get('TTL', 0))


def _convert_malformed(failure: operations.Failure) -> operations.Failure:
    if isinstance(failure, operations.Malformed):
        return operations.OutcomeUnknown(failure.detail)
    return failure
