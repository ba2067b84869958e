"""Ranges of keys, and the conditions of transactions."""

import typing

from lavenderledge.standins import protocol


def contains_key(start: bytes, end: bytes, key: bytes) -> bool:
    """Return whether a range that begins at ``start`` holds the key."""
    if not end:
        return key == start
    return key >= start and (end == b'\0' or key < end)


def compare_pair(
    pair: protocol.KeyValue | None, test: protocol.Compare
) -> bool:
    """Return whether a condition holds; a missing key has revisions of 0."""
    target = test.get('target', 'VERSION')
    if target == 'VALUE':
        return pair is not None and _relate(
            pair['value'], test.get('value', b''), test
        )
    if target == 'CREATE':
        found = pair['create_revision'] if pair else 0
        return _relate(found, test.get('create_revision', 0), test)
    if target == 'MOD':
        found = pair['mod_revision'] if pair else 0
        return _relate(found, test.get('mod_revision', 0), test)
    found = pair['version'] if pair else 0
    return _relate(found, test.get('version', 0), test)


def _relate(
    found: typing.Any, wanted: typing.Any, test: protocol.Compare
) -> bool:
    relation = test.get('result', 'EQUAL')
    if relation == 'EQUAL':
        return bool(found == wanted)
    if relation == 'NOT_EQUAL':
        return bool(found != wanted)
    if relation == 'GREATER':
        return bool(found > wanted)
    return bool(found < wanted)
