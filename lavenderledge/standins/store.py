"""The state of the key-value stand-in: keys, revisions, leases, watches.

It runs in process, without sockets, and behaves like etcd v3: each request
that writes creates one revision, transactions are atomic, the end of a lease
removes its keys, and watches replay from a revision.
"""

import bisect
import typing
from collections import abc

import expression

from lavenderledge import clock as clocks
from lavenderledge.standins import (
    conditions,
    leases,
    limits,
    protocol,
    storeerrors,
)

_MAX_HISTORY_EVENTS = 100_000

Notify: typing.TypeAlias = abc.Callable[[protocol.WatchResponse], None]
Response = typing.TypeVar('Response')
StoreResult: typing.TypeAlias = expression.Result[
    Response, storeerrors.StoreError
]


class Watch(typing.NamedTuple):
    """One open watch and the function that receives its changes."""

    key: bytes
    range_end: bytes
    notify: Notify


class Store:
    """All keys of the service; every method is atomic."""

    def __init__(self, *, clock: clocks.Clock) -> None:
        """Create an empty store at revision 1."""
        self.revision = 1
        self.history: list[protocol.Event] = []
        self._pairs: dict[bytes, protocol.KeyValue] = {}
        self._keys: list[bytes] = []
        self._leases = leases.Leases(clock=clock)
        self._watches: list[Watch] = []
        self._pending: list[protocol.Event] = []
        self._compact_revision = 0

    @property
    def header(self) -> protocol.Header:
        """Return a header with the current revision."""
        return {'revision': self.revision}

    def range(
        self, request: protocol.RangeRequest
    ) -> StoreResult[protocol.RangeResponse]:
        """Read one key or a range of keys, by default in key order."""
        self.expire_leases()
        if not request.get('key'):
            return expression.Error(storeerrors.KEY_MISSING)
        return expression.Ok(self._read(request))

    def put(
        self, request: protocol.PutRequest
    ) -> StoreResult[protocol.PutResponse]:
        """Write one key."""
        outcome = self.txn({'success': [{'request_put': request}]})
        return outcome.map(
            lambda response: response['responses'][0]['response_put']
        )

    def delete_range(
        self, request: protocol.DeleteRequest
    ) -> StoreResult[protocol.DeleteResponse]:
        """Remove one key or a range of keys."""
        outcome = self.txn({'success': [{'request_delete_range': request}]})
        return outcome.map(
            lambda response: response['responses'][0]['response_delete_range']
        )

    def txn(
        self, request: protocol.TxnRequest
    ) -> StoreResult[protocol.TxnResponse]:
        """Run a transaction; a rejected one changes nothing."""
        self.expire_leases()
        error = limits.check_txn(request) or self._check_leases(request)
        if error is not None:
            return expression.Error(error)
        response = self._run(request)
        self._commit()
        return expression.Ok(response)

    def grant_lease(
        self, request: protocol.GrantRequest
    ) -> StoreResult[protocol.LeaseResponse]:
        """Create a lease."""
        self.expire_leases()
        granted = self._leases.grant(
            request.get('ID', 0), request.get('TTL', 0)
        )
        if granted is None:
            return expression.Error(storeerrors.LEASE_EXISTS)
        return expression.Ok(
            protocol.LeaseResponse(
                header=self.header, ID=granted.number, TTL=granted.ttl_s
            )
        )

    def renew_lease(
        self, request: protocol.LeaseRequest
    ) -> StoreResult[protocol.LeaseResponse]:
        """Renew a lease; the response for an unknown one has ``TTL`` 0."""
        self.expire_leases()
        number = request.get('ID', 0)
        return expression.Ok(
            protocol.LeaseResponse(
                header=self.header, ID=number, TTL=self._leases.renew(number)
            )
        )

    def describe_lease(
        self, request: protocol.LeaseRequest
    ) -> StoreResult[protocol.LeaseResponse]:
        """Return a lease's remaining time; ``TTL`` -1 for an unknown one."""
        self.expire_leases()
        number = request.get('ID', 0)
        response = protocol.LeaseResponse(header=self.header, ID=number, TTL=-1)
        lease = self._leases.find(number)
        if lease is not None:
            response['TTL'] = self._leases.read_remaining_s(number)
            response['grantedTTL'] = lease.ttl_s
            response['keys'] = self._list_attached(number)
        return expression.Ok(response)

    def revoke_lease(
        self, request: protocol.LeaseRequest
    ) -> StoreResult[protocol.LeaseResponse]:
        """End a lease and remove its keys."""
        self.expire_leases()
        number = request.get('ID', 0)
        if self._leases.find(number) is None:
            return expression.Error(storeerrors.LEASE_UNKNOWN)
        self._end_lease(number)
        return expression.Ok(protocol.LeaseResponse(header=self.header))

    def watch(
        self, request: protocol.WatchRequest, notify: Notify
    ) -> Watch | None:
        """Open a watch that passes each response to ``notify``.

        A watch that starts at a compacted revision is cancelled at once, and
        ``None`` is returned.
        """
        self.expire_leases()
        start = request.get('start_revision', 0)
        watch = Watch(request['key'], request.get('range_end', b''), notify)
        notify({'header': self.header, 'created': True})
        if start and start <= self._compact_revision:
            notify(
                {
                    'header': self.header,
                    'canceled': True,
                    'compact_revision': self._compact_revision,
                }
            )
            return None
        if start and start <= self.revision:
            self._send(watch, _list_since(self.history, start))
        self._watches.append(watch)
        return watch

    def close_watch(self, watch: Watch | None) -> None:
        """Close a watch; does nothing if it is closed."""
        self._watches = [other for other in self._watches if other is not watch]

    def expire_leases(self) -> None:
        """End the expired leases and remove their keys."""
        for number in self._leases.list_expired():
            self._end_lease(number)

    def _check_leases(
        self, request: protocol.TxnRequest
    ) -> storeerrors.StoreError | None:
        for put in limits.list_puts(request):
            number = put.get('lease', 0)
            if number and self._leases.find(number) is None:
                return storeerrors.LEASE_UNKNOWN
        return None

    def _run(self, request: protocol.TxnRequest) -> protocol.TxnResponse:
        succeeded = all(
            conditions.compare_pair(
                self._pairs.get(condition['key']), condition
            )
            for condition in request.get('compare', [])
        )
        branch: typing.Literal['success', 'failure'] = (
            'success' if succeeded else 'failure'
        )
        steps = request.get(branch, [])
        responses = [self._run_step(step) for step in steps]
        return {
            'header': self._header_after(),
            'succeeded': succeeded,
            'responses': responses,
        }

    def _run_step(self, step: protocol.Operation) -> protocol.OperationResponse:
        put = step.get('request_put')
        if put is not None:
            return {'response_put': self._write(put)}
        read = step.get('request_range')
        if read is not None:
            return {'response_range': self._read(read)}
        nested = step.get('request_txn')
        if nested is not None:
            return {'response_txn': self._run(nested)}
        removal = step['request_delete_range']
        return {'response_delete_range': self._remove(removal)}

    def _header_after(self) -> protocol.Header:
        return {'revision': self.revision + bool(self._pending)}

    def _read(self, request: protocol.RangeRequest) -> protocol.RangeResponse:
        keys = self._sort(
            self._select_requested(request),
            request,
        )
        limit = request.get('limit', 0) or len(keys)
        pairs = [] if request.get('count_only') else keys[:limit]
        kvs = [self._pairs[key].copy() for key in pairs]
        if request.get('keys_only'):
            for pair in kvs:
                pair['value'] = b''
        return {
            'header': self._header_after(),
            'kvs': kvs,
            'more': len(keys) > limit,
            'count': len(keys),
        }

    def _sort(
        self, keys: list[bytes], request: protocol.RangeRequest
    ) -> list[bytes]:
        ordered = list(keys)
        if request.get('sort_target') == 'MOD':
            ordered.sort(key=lambda key: self._pairs[key]['mod_revision'])
        if request.get('sort_order') == 'DESCEND':
            ordered.reverse()
        return ordered

    def _write(self, request: protocol.PutRequest) -> protocol.PutResponse:
        key = request['key']
        revision = self.revision + 1
        previous = self._pairs.get(key)
        if previous is None:
            bisect.insort(self._keys, key)
        pair: protocol.KeyValue = {
            'key': key,
            'create_revision': previous['create_revision']
            if previous
            else revision,
            'mod_revision': revision,
            'version': previous['version'] + 1 if previous else 1,
            'value': request.get('value', b''),
            'lease': request.get('lease', 0),
        }
        self._pairs[key] = pair
        self._pending.append({'type': 'PUT', 'kv': pair})
        return {'header': self._header_after()}

    def _remove(
        self, request: protocol.DeleteRequest
    ) -> protocol.DeleteResponse:
        keys = self._select_requested(request)
        self._drop(keys)
        return {'header': self._header_after(), 'deleted': len(keys)}

    def _drop(self, keys: list[bytes]) -> None:
        for key in keys:
            self._pairs.pop(key)
            self._keys.pop(bisect.bisect_left(self._keys, key))
            self._pending.append(
                {
                    'type': 'DELETE',
                    'kv': {
                        'key': key,
                        'create_revision': 0,
                        'mod_revision': self.revision + 1,
                        'version': 0,
                        'value': b'',
                        'lease': 0,
                    },
                }
            )

    def _commit(self) -> None:
        if not self._pending:
            return
        events = self._pending
        self._pending = []
        self.revision += 1
        self.history.extend(events)
        self._compact()
        for watch in list(self._watches):
            self._send(watch, events)

    def _compact(self) -> None:
        surplus = len(self.history) - _MAX_HISTORY_EVENTS
        if surplus > _MAX_HISTORY_EVENTS // 10:
            self._compact_revision = self.history[surplus - 1]['kv'][
                'mod_revision'
            ]
            self.history = self.history[surplus:]

    def _send(self, watch: Watch, events: list[protocol.Event]) -> None:
        matching = [
            event
            for event in events
            if conditions.contains_key(
                watch.key, watch.range_end, event['kv']['key']
            )
        ]
        if matching:
            watch.notify({'header': self.header, 'events': matching})

    def _select_requested(
        self, request: protocol.RangeRequest | protocol.DeleteRequest
    ) -> list[bytes]:
        return self._select(request['key'], request.get('range_end', b''))

    def _select(self, key: bytes, end: bytes) -> list[bytes]:
        if not end:
            return [key] if key in self._pairs else []
        first = bisect.bisect_left(self._keys, key)
        if end == b'\0':
            return self._keys[first:]
        return self._keys[first : bisect.bisect_left(self._keys, end)]

    def _list_attached(self, number: int) -> list[bytes]:
        return [
            key for key in self._keys if self._pairs[key]['lease'] == number
        ]

    def _end_lease(self, number: int) -> None:
        self._leases.remove(number)
        self._drop(self._list_attached(number))
        self._commit()


def _list_since(
    history: list[protocol.Event], revision: int
) -> list[protocol.Event]:
    first = bisect.bisect_left(
        history, revision, key=lambda event: event['kv']['mod_revision']
    )
    return history[first:]
