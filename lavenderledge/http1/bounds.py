"""What a client may do on its connection."""

import typing


class Bounds(typing.NamedTuple):
    """What a client may send, in bytes, and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
