"""Messages between instances.

Durations are in seconds. ``stamp_s`` is the sender's monotonic clock when
it sent the message; other instances only echo it. Decoding checks the bounds
that are declared with the fields.
"""

import typing

import msgspec

from lavenderledge.peers import bounds, slotmessages

_MAX_REQUESTS = 20_000
_MAX_MEMBERS = 1000
_MAX_BLOCKS = 256


class RequestSpec(typing.NamedTuple):
    """One request that waits for a replica.

    ``prefix`` holds 64-bit digests of the prompt's successive blocks; each
    digest also covers all blocks before its own. ``immediate`` requests a
    grant or a refusal without further waiting.
    """

    request_id: bounds.Name
    row: bounds.Name
    customer: bounds.Name
    tier: bounds.Tier
    weight: bounds.NonNegative
    prompt_tokens: bounds.Count
    output_tokens: bounds.Count
    prefix: typing.Annotated[
        tuple[int, ...], msgspec.Meta(max_length=_MAX_BLOCKS)
    ]
    remaining_s: bounds.Finite
    waited_s: bounds.NonNegative
    preemptible: bool
    immediate: bool


class RunningRequest(typing.NamedTuple):
    """One request that holds a grant."""

    request_id: bounds.Name
    row: bounds.Name
    customer: bounds.Name
    tier: bounds.Tier
    replica: bounds.Name
    prompt_tokens: bounds.Count
    output_tokens: bounds.Count
    output_done: bounds.Count
    preemptible: bool
    started: bool


class Reading(typing.NamedTuple):
    """One instance's measurements of one replica since its last report.

    ``token_gap_s`` is the summed time between tokens over ``token_gaps``
    gaps; ``first_token_s`` the summed time to first token over
    ``first_tokens`` requests with ``prefill_tokens`` prompt tokens in all.
    ``failures`` counts failed connects and refusals by the replica itself.
    """

    replica: bounds.Name
    token_gaps: bounds.Count
    token_gap_s: bounds.NonNegative
    first_tokens: bounds.Count
    first_token_s: bounds.NonNegative
    prefill_tokens: bounds.Count
    cached_tokens: bounds.Count
    failures: bounds.Count


class Report(typing.NamedTuple):
    """All requests of one instance in a pool; replaces its last report.

    ``grant_seen`` is the highest grant sequence that the sender has received
    from the allocator it reports to.
    """

    sender: bounds.Name
    incarnation: bounds.Count
    pool: bounds.Name
    sequence: bounds.Count
    stamp_s: bounds.Finite
    grant_seen: bounds.Count
    waiting: typing.Annotated[
        tuple[RequestSpec, ...], msgspec.Meta(max_length=_MAX_REQUESTS)
    ]
    running: typing.Annotated[
        tuple[RunningRequest, ...], msgspec.Meta(max_length=_MAX_REQUESTS)
    ]
    readings: typing.Annotated[
        tuple[Reading, ...], msgspec.Meta(max_length=_MAX_REQUESTS)
    ]


class NewAsk(typing.NamedTuple):
    """A request that has started to wait."""

    sender: bounds.Name
    incarnation: bounds.Count
    pool: bounds.Name
    stamp_s: bounds.Finite
    spec: RequestSpec


class Release(typing.NamedTuple):
    """A request that no longer waits or runs; ``output_done`` in tokens."""

    sender: bounds.Name
    incarnation: bounds.Count
    pool: bounds.Name
    request_id: bounds.Name
    output_done: bounds.Count


class Grant(typing.NamedTuple):
    """Permission to dispatch one request to one replica.

    ``stamp_s`` echoes the latest one that the allocator received from the
    requester, which uses its own clock since then to expire the grant.
    """

    sender: bounds.Name
    pool: bounds.Name
    sequence: bounds.Count
    request_id: bounds.Name
    replica: bounds.Name
    address: bounds.Name
    stamp_s: bounds.Finite


class Refuse(typing.NamedTuple):
    """The allocator's refusal of a waiting request.

    ``reason`` is a value of ``outcomes.Reason``.
    """

    sender: bounds.Name
    pool: bounds.Name
    request_id: bounds.Name
    reason: bounds.Name
    retry_after_s: bounds.NonNegative


class Preempt(typing.NamedTuple):
    """An order to cancel a running request for one of a higher tier."""

    sender: bounds.Name
    pool: bounds.Name
    request_id: bounds.Name


class Member(typing.NamedTuple):
    """One instance as known from heartbeat gossip.

    ``heartbeat`` only grows within an incarnation, and the incarnation grows
    with each start of the process.
    """

    instance: bounds.Name
    incarnation: bounds.Count
    heartbeat: bounds.Count
    leaving: bool
    availability_zone: bounds.Name
    address: bounds.Name
    table_revision: bounds.Count


class HeartbeatDigest(typing.NamedTuple):
    """A member's heartbeat counter, with ``gossip.digest_member`` of it."""

    member_digest: int
    heartbeat: bounds.Count


class Heartbeat(typing.NamedTuple):
    """A sample of the members that the sender considers alive.

    In a large fleet ``digests`` holds the heartbeats of all of them.
    """

    sender: bounds.Name
    members: typing.Annotated[
        tuple[Member, ...], msgspec.Meta(max_length=_MAX_MEMBERS)
    ]
    digests: typing.Annotated[
        tuple[HeartbeatDigest, ...], msgspec.Meta(max_length=_MAX_MEMBERS)
    ] = ()


class TableRequest(typing.NamedTuple):
    """A request for the table by an instance with a lower revision."""

    sender: bounds.Name
    revision: bounds.Count


class TableCopy(typing.NamedTuple):
    """The table's stored value at a revision."""

    sender: bounds.Name
    revision: bounds.Count
    body: bytes


Message: typing.TypeAlias = (
    Report
    | NewAsk
    | Release
    | Grant
    | Refuse
    | Preempt
    | Heartbeat
    | TableRequest
    | TableCopy
    | slotmessages.Message
)
