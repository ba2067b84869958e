"""Differences between two versions of a document.

A document is compared piece by piece; a piece ends after a closing brace.
"""

import typing
from collections import abc

import xxhash

Pieces: typing.TypeAlias = tuple[bytes, ...]

_PIECE_END: typing.Final = b'}'


class Step(typing.NamedTuple):
    """Copies ``copied`` pieces of the base, then appends ``literal``."""

    first: int
    copied: int
    literal: bytes


class Delta(typing.NamedTuple):
    """The steps from a base to a document, and the document's digest."""

    steps: tuple[Step, ...]
    digest: int

    @property
    def size_bytes(self) -> int:
        """Return the size of all that is not in the base."""
        return sum(len(step.literal) for step in self.steps)


def split(document: bytes) -> Pieces:
    """Return a document's pieces."""
    *complete, rest = document.split(_PIECE_END)
    return (*(piece + _PIECE_END for piece in complete), rest)


def compute(base: Pieces, document: Pieces) -> Delta:
    """Return the difference of a document from a base."""
    positions = {piece: index for index, piece in enumerate(base)}
    steps: list[Step] = []
    first = 0
    copied = 0
    literal: list[bytes] = []
    for piece in document:
        follows = first + copied
        if not literal and follows < len(base) and base[follows] == piece:
            copied += 1
            continue
        position = positions.get(piece)
        if position is None:
            literal.append(piece)
            continue
        steps.append(Step(first, copied, b''.join(literal)))
        literal.clear()
        first, copied = position, 1
    steps.append(Step(first, copied, b''.join(literal)))
    return Delta(tuple(steps), compute_digest(document))


def apply(base: Pieces, delta: Delta) -> bytes | None:
    """Return the document, None if the delta is for another base."""
    document = tuple(
        piece
        for step in delta.steps
        for piece in (
            *base[step.first : step.first + step.copied],
            step.literal,
        )
    )
    if compute_digest(document) != delta.digest:
        return None
    return b''.join(document)


def compute_digest(pieces: abc.Iterable[bytes]) -> int:
    """Return the digest of a document."""
    digest = xxhash.xxh64()
    for piece in pieces:
        digest.update(piece)
    return digest.intdigest()
