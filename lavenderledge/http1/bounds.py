"""Limits of what a peer may send on its connection."""

import typing

# Each part of a body allows for this much of its chunk's framing.
CHUNK_FRAMING_BYTES: typing.Final = 256


class Bounds(typing.NamedTuple):
    """Limits on the size of a request and on the time to send it."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


def merge(first: Bounds, second: Bounds) -> Bounds:
    """Return the higher one of each bound."""
    return Bounds(
        max(first.header_bytes, second.header_bytes),
        max(first.body_bytes, second.body_bytes),
        max(first.header_timeout_s, second.header_timeout_s),
        max(first.idle_timeout_s, second.idle_timeout_s),
    )
