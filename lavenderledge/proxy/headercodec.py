"""Requests and responses as the data path reads them from HTTP headers."""

import typing
from collections import abc

from lavenderledge.http1 import messages
from lavenderledge.policy import upstreamnotices


class ParsedRequest(typing.NamedTuple):
    """A caller's request, parsed.

    ``remaining_s`` is how long the caller waits from the request's arrival,
    None if it sent no deadline. Token counts are 0 if it sent none.
    ``shared_parts`` identifies the parts of its prompt that other requests may
    share. ``hint_tokens`` is the caller's estimate of the output tokens.
    """

    request_id: str
    host: str
    path: str
    key: str | None
    remaining_s: float | None
    has_tokens: bool
    prompt_tokens: int
    output_tokens: int
    shared_parts: tuple[str, ...]
    last_event_id: str | None
    hint_tokens: float | None = None


class MalformedRequest(typing.NamedTuple):
    """A request that can't be forwarded, and the status to respond with."""

    status: int
    detail: str


class ForwardContext(typing.NamedTuple):
    """Values of the header fields that are set on a request to a replica."""

    replica: str
    customer: str | None
    remaining_s: float
    last_event_id: str | None


class ParsedResponse(typing.NamedTuple):
    """The head of a replica's response, parsed.

    ``matches_request`` is False for the response to another request. Without
    ``has_id`` it can't be told from an earlier one on the same connection.
    ``slowness`` is the factor by which work takes longer on the replica's
    machine now: 1 is normal, 0 unknown. ``notice`` is what the replica says of
    itself.
    """

    matches_request: bool
    has_id: bool
    is_signed: bool
    has_not_run: bool
    is_encoded: bool
    slowness: float
    notice: upstreamnotices.Notice


class HeaderCodec(typing.NamedTuple):
    """Reads and writes a platform's HTTP header fields.

    ``event_fields`` are the names of the fields that events may have.
    """

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
    event_fields: frozenset[bytes]
