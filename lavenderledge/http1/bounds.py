"""Limits of what a client may send on its connection."""

import typing


class Bounds(typing.NamedTuple):
    """Limits on the size of a request and on the time to send it."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
