"""Rendezvous hashing: which instances serve a key.

Each key ranks all instances. When an instance leaves, only the keys that it
was first for move. The ranking is the same in every process.
"""

from collections import abc

import xxhash

_HASH_BITS = 32
_HASH_VALUES = 1 << _HASH_BITS


def rank(key: str, instances: abc.Iterable[str]) -> list[str]:
    """Return the instances ordered by rank for the key, the first one first."""
    return sorted(
        set(instances),
        key=lambda instance: (_hash_pair(key, instance), instance),
        reverse=True,
    )


def pick(key: str, instances: abc.Iterable[str]) -> str | None:
    """Return the first instance for the key, or None without instances."""
    return max(
        instances,
        key=lambda instance: (_hash_pair(key, instance), instance),
        default=None,
    )


def is_among_first(
    key: str,
    instance: str,
    instances: abc.Iterable[str],
    count: int,
) -> bool:
    """Return whether the instance is among the first ``count`` for the key."""
    return instance in rank(key, instances)[:count]


def hash_to_fraction(text: str) -> float:
    """Return a hash of the text as a number from 0 to below 1."""
    return xxhash.xxh32_intdigest(text.encode()) / _HASH_VALUES


def _hash_pair(key: str, instance: str) -> int:
    text = f'{len(key)}:{key}{instance}'
    return xxhash.xxh3_64_intdigest(text.encode())
