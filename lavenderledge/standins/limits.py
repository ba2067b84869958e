"""Validation of requests before the key-value service runs them."""

import itertools
import typing

from lavenderledge.standins import protocol, storeerrors

MAX_OPERATIONS = 128
MAX_VALUE_BYTES = 1024 * 1024
MAX_REQUEST_BYTES = 3 * MAX_VALUE_BYTES // 2


def check_txn(request: protocol.TxnRequest) -> storeerrors.StoreError | None:
    """Return why a transaction is invalid, or ``None``.

    A nested transaction may use the operations that its parent leaves of
    ``MAX_OPERATIONS``.
    """
    if measure_txn(request) > MAX_REQUEST_BYTES:
        return storeerrors.TOO_LARGE
    return _check_level(request, MAX_OPERATIONS) or _check_keys(request)


def check_put(request: protocol.PutRequest) -> storeerrors.StoreError | None:
    """Return why a write is invalid, or ``None``."""
    if not request.get('key'):
        return storeerrors.KEY_MISSING
    if len(request.get('value', b'')) > MAX_VALUE_BYTES:
        return storeerrors.TOO_LARGE
    return None


def list_puts(
    request: protocol.TxnRequest,
) -> typing.Iterator[protocol.PutRequest]:
    """Yield every write of a transaction, in either branch."""
    for step in _list_steps(request):
        put = step.get('request_put')
        if put is not None:
            yield put
        yield from list_puts(step.get('request_txn', {}))


def measure_txn(request: protocol.TxnRequest) -> int:
    """Return the total size of a transaction's keys and values, in bytes."""
    size = sum(
        len(condition.get('key', b'')) + len(condition.get('value', b''))
        for condition in request.get('compare', [])
    )
    return size + sum(
        len(put.get('key', b'')) + len(put.get('value', b''))
        for put in list_puts(request)
    )


def _list_steps(
    request: protocol.TxnRequest,
) -> typing.Iterator[protocol.Operation]:
    return itertools.chain(
        request.get('success', []), request.get('failure', [])
    )


def _check_level(
    request: protocol.TxnRequest, allowed: int
) -> storeerrors.StoreError | None:
    used = max(
        len(request.get('compare', [])),
        len(request.get('success', [])),
        len(request.get('failure', [])),
    )
    if used > allowed:
        return storeerrors.TOO_MANY_OPERATIONS
    if not all(
        condition.get('key') for condition in request.get('compare', [])
    ):
        return storeerrors.KEY_MISSING
    for step in _list_steps(request):
        error = _check_step(step, allowed - used)
        if error is not None:
            return error
    return None


def _check_step(
    step: protocol.Operation, allowed: int
) -> storeerrors.StoreError | None:
    nested = step.get('request_txn')
    if nested is not None:
        return _check_level(nested, allowed)
    put = step.get('request_put')
    if put is not None:
        return check_put(put)
    ranged = step.get('request_range') or step.get('request_delete_range')
    return None if ranged and ranged.get('key') else storeerrors.KEY_MISSING


def _check_keys(
    request: protocol.TxnRequest,
) -> storeerrors.StoreError | None:
    for branch in (request.get('success', []), request.get('failure', [])):
        if _repeats_key(branch):
            return storeerrors.DUPLICATE_KEY
    return None


def _repeats_key(branch: list[protocol.Operation]) -> bool:
    seen: set[bytes] = set()
    for step in branch:
        keys = _list_step_keys(step)
        if _check_keys(step.get('request_txn', {})) is not None:
            return True
        if not seen.isdisjoint(keys):
            return True
        seen.update(keys)
    return False


def _list_step_keys(step: protocol.Operation) -> set[bytes]:
    wrapped: protocol.TxnRequest = {'success': [step]}
    return {put['key'] for put in list_puts(wrapped)}
