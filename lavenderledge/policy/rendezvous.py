"""Rendezvous hashing: which instances serve a key.

Each key ranks all instances; when one instance goes, only the keys that
it came first for move. The ranking is the same in every process.
"""

from collections import abc

import xxhash

_POINT_BITS = 32
_POINTS = 1 << _POINT_BITS


def rank(key: str, instances: abc.Iterable[str]) -> list[str]:
    """Return the instances, the first choice for the key first."""
    return sorted(
        set(instances),
        key=lambda instance: (_weigh(key, instance), instance),
        reverse=True,
    )


def pick(key: str, instances: abc.Iterable[str]) -> str | None:
    """Return the first choice for the key, or None without instances."""
    return max(
        instances,
        key=lambda instance: (_weigh(key, instance), instance),
        default=None,
    )


def is_among_first(
    key: str,
    instance: str,
    instances: abc.Iterable[str],
    count: int,
) -> bool:
    """Return whether the instance is one of the first ``count`` choices."""
    return instance in rank(key, instances)[:count]


def hash_to_fraction(text: str) -> float:
    """Return where a text falls between 0 and 1, everywhere the same."""
    return xxhash.xxh32_intdigest(text.encode()) / _POINTS


def _weigh(key: str, instance: str) -> int:
    text = f'{len(key)}:{key}{instance}'
    return xxhash.xxh3_64_intdigest(text.encode())
