"""Response IDs, which name the replica that runs a response."""

import typing

import xxhash

_PREFIX = 'resp_'
_SEPARATOR = ':'
_PART_COUNT = 4


class ResponseId(typing.NamedTuple):
    """The parts of a response ID; ``request_id`` is hard to guess."""

    pool: str
    replica: str
    customer_tag: str
    request_id: str


def format_id(
    *, pool: str, replica: str, customer: str, request_id: str
) -> str:
    """Return the ID of a response that runs on the replica."""
    parts = (pool, replica, tag_customer(customer), request_id)
    return _PREFIX + _SEPARATOR.join(parts)


def parse_id(text: str) -> ResponseId | None:
    """Return the parts of a response ID, or None if it is malformed."""
    parts = text.removeprefix(_PREFIX).split(_SEPARATOR)
    if not text.startswith(_PREFIX) or len(parts) != _PART_COUNT:
        return None
    return ResponseId(*parts)


def tag_customer(customer: str) -> str:
    """Return a short digest of a customer's name."""
    return xxhash.xxh32_hexdigest(customer.encode())
