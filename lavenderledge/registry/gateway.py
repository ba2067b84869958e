"""The JSON of the etcd v3 gateway, to and from our own types.

Bytes travel in base64 and 64-bit numbers as strings; fields that hold zero
are left out of answers.
"""

import typing
from collections import abc

import expression
import msgspec

from lavenderledge.registry import operations, schemas, watchevents

Shape = typing.TypeVar('Shape')
Json: typing.TypeAlias = dict[str, object]


def decode(
    body: bytes, shape: type[Shape]
) -> expression.Result[Shape, operations.Failure]:
    """Return the answer in its shape, or ``Malformed``."""
    try:
        return expression.Ok(
            msgspec.json.decode(body, type=shape, strict=False),
        )
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return expression.Error(operations.Malformed(str(error)))


def build_range(key: str, *, prefix: bool = False) -> Json:
    """Return the request that reads a key or all keys that start so."""
    start = key.encode()
    if prefix:
        return {
            'key': start or b'\0',
            'range_end': find_range_end(start),
        }
    return {'key': start}


def find_range_end(prefix: bytes) -> bytes:
    """Return the first key after all that start with the prefix."""
    kept = prefix.rstrip(b'\xff')
    if not kept:
        return b'\0'
    return kept[:-1] + bytes([kept[-1] + 1])


def build_transaction(
    compares: abc.Iterable[operations.Compare],
    then: abc.Iterable[operations.Operation],
    otherwise: abc.Iterable[operations.Operation],
) -> Json:
    """Return the request for a transaction."""
    return {
        'compare': [_build_compare(compare) for compare in compares],
        'success': [_build_operation(operation) for operation in then],
        'failure': [_build_operation(operation) for operation in otherwise],
    }


def read_entries(answer: schemas.RangeAnswer) -> tuple[operations.Entry, ...]:
    """Return the entries of a read."""
    return tuple(read_entry(stored) for stored in answer.get('kvs', []))


def read_entry(stored: schemas.KeyValue) -> operations.Entry:
    """Return one entry."""
    return operations.Entry(
        key=stored.get('key', b'').decode(errors='replace'),
        value=stored.get('value', b''),
        create_revision=stored.get('create_revision', 0),
        mod_revision=stored.get('mod_revision', 0),
        lease=stored.get('lease', 0),
    )


def read_revision(header: schemas.Header | None) -> int:
    """Return the revision of an answer's header."""
    return header.get('revision', 0) if header else 0


def read_transaction(
    answer: schemas.TransactionAnswer,
) -> operations.TransactAnswer:
    """Return a transaction's answer."""
    return operations.TransactAnswer(
        revision=read_revision(answer.get('header')),
        succeeded=answer.get('succeeded', False),
        answers=tuple(
            _read_operation(each) for each in answer.get('responses', [])
        ),
    )


def read_events(watched: schemas.WatchResult) -> list[watchevents.WatchEvent]:
    """Return a watch message's events, or its progress if it has none."""
    events = [_read_event(event) for event in watched.get('events', [])]
    if events:
        return events
    revision = read_revision(watched.get('header'))
    return [watchevents.Progress(revision)]


def _read_event(event: schemas.EventAnswer) -> watchevents.WatchEvent:
    entry = read_entry(event.get('kv', {}))
    if event.get('type') == 'DELETE':
        return watchevents.Removed(entry.key, entry.mod_revision)
    return watchevents.Changed(entry)


_FIELDS: typing.Final[abc.Mapping[operations.Target, str]] = {
    operations.Target.CREATE: 'create_revision',
    operations.Target.MOD: 'mod_revision',
    operations.Target.VERSION: 'version',
    operations.Target.VALUE: 'value',
}


def _build_compare(compare: operations.Compare) -> Json:
    expected = compare.expected
    return {
        'result': 'EQUAL',
        'target': compare.target.value,
        'key': compare.key.encode(),
        _FIELDS[compare.target]: (
            expected if isinstance(expected, bytes) else str(expected)
        ),
    }


def _build_operation(operation: operations.Operation) -> Json:
    match operation:
        case operations.Get():
            return {
                'request_range': build_range(
                    operation.key, prefix=operation.prefix
                ),
            }
        case operations.Put():
            return {
                'request_put': {
                    'key': operation.key.encode(),
                    'value': operation.value,
                    'lease': str(operation.lease),
                },
            }
        case operations.Delete():
            return {
                'request_delete_range': {'key': operation.key.encode()},
            }
        case operations.Transaction():
            return {'request_txn': build_transaction(*operation)}


def _read_operation(answer: schemas.OperationAnswer) -> operations.Answer:
    match answer:
        case {'response_range': found}:
            return operations.GetAnswer(read_entries(found))
        case {'response_delete_range': deletion}:
            return operations.DeleteAnswer(deletion.get('deleted', 0))
        case {'response_txn': nested}:
            return read_transaction(nested)
    return operations.PutAnswer()
