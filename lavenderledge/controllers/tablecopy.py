"""Compresses copies of the table that instances send each other."""

import typing
import zlib

import expression

from lavenderledge.policy import problems

_COMPRESSION_LEVEL = 6


class BadCopy(typing.NamedTuple):
    """A copy that is malformed or exceeds the table's size limit."""

    detail: str


def compress(stored: bytes) -> bytes:
    """Return a stored value in compressed form."""
    return zlib.compress(stored, _COMPRESSION_LEVEL)


def decompress(body: bytes) -> expression.Result[bytes, BadCopy]:
    """Return the stored value; fail if it exceeds ``LIMIT_BYTES``."""
    reader = zlib.decompressobj()
    try:
        stored = reader.decompress(body, problems.MAX_TABLE_BYTES)
    except zlib.error as error:
        return expression.Error(BadCopy(str(error)))
    if not reader.eof:
        return expression.Error(BadCopy('truncated, or over the size limit'))
    return expression.Ok(stored)
