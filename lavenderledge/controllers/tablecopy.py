"""Copies of the table between instances, compressed."""

import typing
import zlib

import expression

from lavenderledge.policy import problems

_LEVEL = 6


class BadCopy(typing.NamedTuple):
    """A copy that can't be read or would be over the table's limit."""

    detail: str


def compress(stored: bytes) -> bytes:
    """Return the body of a copy of a stored value."""
    return zlib.compress(stored, _LEVEL)


def decompress(body: bytes) -> expression.Result[bytes, BadCopy]:
    """Return the stored value of a copy's body; never reads past a limit."""
    reader = zlib.decompressobj()
    try:
        stored = reader.decompress(body, problems.MAX_TABLE_BYTES)
    except zlib.error as error:
        return expression.Error(BadCopy(str(error)))
    if not reader.eof:
        return expression.Error(BadCopy('cut off or too large'))
    return expression.Ok(stored)
