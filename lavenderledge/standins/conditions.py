"""Key ranges and transaction conditions of the key-value stand-in."""

import typing

from lavenderledge.standins import protocol


def contains_key(start: bytes, end: bytes, key: bytes) -> bool:
    """Return whether the key is in the range from ``start`` to ``end``."""
    if not end:
        return key == start
    return key >= start and (end == b'\0' or key < end)


def compare_pair(
    pair: protocol.KeyValue | None, condition: protocol.Compare
) -> bool:
    """Return whether a condition holds; a missing key has revisions 0."""
    target = condition.get('target', 'VERSION')
    if target == 'VALUE':
        return pair is not None and _compare(
            pair['value'], condition.get('value', b''), condition
        )
    if target == 'CREATE':
        actual = pair['create_revision'] if pair else 0
        return _compare(actual, condition.get('create_revision', 0), condition)
    if target == 'MOD':
        actual = pair['mod_revision'] if pair else 0
        return _compare(actual, condition.get('mod_revision', 0), condition)
    actual = pair['version'] if pair else 0
    return _compare(actual, condition.get('version', 0), condition)


def _compare(
    actual: typing.Any, expected: typing.Any, condition: protocol.Compare
) -> bool:
    relation = condition.get('result', 'EQUAL')
    if relation == 'EQUAL':
        return bool(actual == expected)
    if relation == 'NOT_EQUAL':
        return bool(actual != expected)
    if relation == 'GREATER':
        return bool(actual > expected)
    return bool(actual < expected)
