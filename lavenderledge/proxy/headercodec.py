"""What the data path knows of a caller's request and of a replica's answer."""

import typing
from collections import abc

from lavenderledge.http1 import messages


class ParsedRequest(typing.NamedTuple):
    """A caller's request, decoded.

    ``remaining_s`` is how long the caller waits from the request's arrival,
    None where it did not say. Token counts are 0 where they were not given.
    """

    request_id: str
    host: str
    path: str
    key: str | None
    remaining_s: float | None
    has_tokens: bool
    prompt_tokens: int
    output_tokens: int
    last_event_id: str | None


class MalformedRequest(typing.NamedTuple):
    """A request that can't be forwarded, and the status that says so."""

    status: int
    detail: str


class ForwardContext(typing.NamedTuple):
    """What the system itself sets on a request to a replica."""

    replica: str
    customer: str | None
    remaining_s: float
    last_event_id: str | None


class ParsedResponse(typing.NamedTuple):
    """What a response's head says, decoded.

    ``is_ours`` tells whether it belongs to the request that was sent.
    ``slowness`` is how much longer work takes on the replica's machine now,
    1 being usual and 0 unknown.
    """

    is_ours: bool
    is_signed: bool
    has_not_run: bool
    is_encoded: bool
    slowness: float


class HeaderCodec(typing.NamedTuple):
    """How callers and replicas speak HTTP here."""

    parse_request: abc.Callable[
        [messages.Request], ParsedRequest | MalformedRequest
    ]
    build_upstream_request: abc.Callable[
        [messages.Request, ForwardContext], bytes
    ]
    parse_response: abc.Callable[
        [messages.ResponseHead, ParsedRequest], ParsedResponse
    ]
    build_local_fields: abc.Callable[[str, float | None], list[messages.Header]]
