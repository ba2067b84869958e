"""Converts between the JSON of the etcd v3 gateway and our own types.

Bytes are encoded in base64 and 64-bit numbers as strings; fields that hold
zero are left out of answers.
"""

import typing
from collections import abc

import expression
import msgspec

from lavenderledge.registry import operations, schemas, watchevents

Schema = typing.TypeVar('Schema')
Json: typing.TypeAlias = dict[str, object]


def decode(
    body: bytes, schema: type[Schema]
) -> expression.Result[Schema, operations.Failure]:
    """Return the decoded answer, or ``Malformed`` if it breaks the schema."""
    try:
        return expression.Ok(
            msgspec.json.decode(body, type=schema, strict=False),
        )
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return expression.Error(operations.Malformed(str(error)))


def build_range(key: str, *, prefix: bool = False) -> Json:
    """Return the request that reads a key, or all keys with a prefix."""
    start = key.encode()
    if prefix:
        return {
            'key': start or b'\0',
            'range_end': find_range_end(start),
        }
    return {'key': start}


def find_range_end(prefix: bytes) -> bytes:
    """Return the first key after all keys with the prefix."""
    trimmed = prefix.rstrip(b'\xff')
    if not trimmed:
        return b'\0'
    return trimmed[:-1] + bytes([trimmed[-1] + 1])


def build_transaction(
    compares: abc.Iterable[operations.Compare],
    then: abc.Iterable[operations.Operation],
    otherwise: abc.Iterable[operations.Operation],
) -> Json:
    """Return the request that runs a transaction."""
    return {
        'compare': [_build_compare(compare) for compare in compares],
        'success': [_build_operation(operation) for operation in then],
        'failure': [_build_operation(operation) for operation in otherwise],
    }


def read_entries(answer: schemas.RangeAnswer) -> tuple[operations.Entry, ...]:
    """Return the entries of a range answer."""
    return tuple(read_entry(stored) for stored in answer.get('kvs', []))


def read_entry(stored: schemas.KeyValue) -> operations.Entry:
    """Return the entry of a stored key."""
    return operations.Entry(
        key=stored.get('key', b'').decode(errors='replace'),
        value=stored.get('value', b''),
        create_revision=stored.get('create_revision', 0),
        mod_revision=stored.get('mod_revision', 0),
        lease=stored.get('lease', 0),
    )


def read_revision(header: schemas.Header | None) -> int:
    """Return the revision in an answer's header; 0 if it has none."""
    return header.get('revision', 0) if header else 0


def read_transaction(
    answer: schemas.TransactionAnswer,
) -> operations.TransactAnswer:
    """Return a transaction's answer."""
    return operations.TransactAnswer(
        revision=read_revision(answer.get('header')),
        succeeded=answer.get('succeeded', False),
        answers=tuple(
            _read_operation(response)
            for response in answer.get('responses', [])
        ),
    )


def read_events(watched: schemas.WatchResult) -> list[watchevents.WatchEvent]:
    """Return the events of a watch message; without any, its progress."""
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
        case {'response_range': range_answer}:
            return operations.GetAnswer(read_entries(range_answer))
        case {'response_delete_range': deletion}:
            return operations.DeleteAnswer(deletion.get('deleted', 0))
        case {'response_txn': transaction}:
            return read_transaction(transaction)
    return operations.PutAnswer()
