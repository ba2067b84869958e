"""Messages between instances.

Durations are in seconds. ``stamp_s`` is a reading of the sender's own
monotonic clock; other instances only echo it. Decoding checks the bounds
that are given with the fields.
"""

import sys
import typing

import msgspec

_MOST_REQUESTS = 20_000
_MOST_MEMBERS = 1000
_MOST_BLOCKS = 256

Name: typing.TypeAlias = typing.Annotated[str, msgspec.Meta(max_length=256)]
Tier: typing.TypeAlias = typing.Annotated[int, msgspec.Meta(ge=1, le=4)]
Count: typing.TypeAlias = typing.Annotated[int, msgspec.Meta(ge=0)]
Finite: typing.TypeAlias = typing.Annotated[
    float, msgspec.Meta(ge=-sys.float_info.max, le=sys.float_info.max)
]
Span: typing.TypeAlias = typing.Annotated[
    float, msgspec.Meta(ge=0, le=sys.float_info.max)
]


class Ask(typing.NamedTuple):
    """One request that waits for a replica.

    ``prefix`` holds 64-bit digests of the prompt's successive blocks, each
    digest covering everything before it. ``pressed`` asks for a grant, or a
    refusal, without further waiting.
    """

    request_id: Name
    row: Name
    customer: Name
    tier: Tier
    weight: Span
    prompt_tokens: Count
    output_tokens: Count
    prefix: typing.Annotated[
        tuple[int, ...], msgspec.Meta(max_length=_MOST_BLOCKS)
    ]
    remaining_s: Finite
    waited_s: Span
    preemptible: bool
    pressed: bool


class Running(typing.NamedTuple):
    """One request that holds a grant."""

    request_id: Name
    row: Name
    customer: Name
    tier: Tier
    replica: Name
    prompt_tokens: Count
    output_tokens: Count
    output_done: Count
    preemptible: bool
    started: bool


class Reading(typing.NamedTuple):
    """What one instance measured of one replica since its last report.

    ``token_gap_s`` is the summed time between tokens over ``token_gaps``
    gaps; ``first_token_s`` the summed time to first token over
    ``first_tokens`` requests with ``prefill_tokens`` prompt tokens in all.
    ``failures`` counts failed connects and refusals by the replica itself.
    """

    replica: Name
    token_gaps: Count
    token_gap_s: Span
    first_tokens: Count
    first_token_s: Span
    prefill_tokens: Count
    cached_tokens: Count
    failures: Count


class Report(typing.NamedTuple):
    """Everything an instance holds for one pool; replaces the last report.

    ``grant_seen`` is the highest grant sequence that the sender has received
    from the allocator it reports to.
    """

    sender: Name
    incarnation: Count
    pool: Name
    sequence: Count
    stamp_s: Finite
    grant_seen: Count
    waiting: typing.Annotated[
        tuple[Ask, ...], msgspec.Meta(max_length=_MOST_REQUESTS)
    ]
    running: typing.Annotated[
        tuple[Running, ...], msgspec.Meta(max_length=_MOST_REQUESTS)
    ]
    readings: typing.Annotated[
        tuple[Reading, ...], msgspec.Meta(max_length=_MOST_REQUESTS)
    ]


class NewAsk(typing.NamedTuple):
    """A request that has just begun to wait."""

    sender: Name
    incarnation: Count
    pool: Name
    stamp_s: Finite
    ask: Ask


class Release(typing.NamedTuple):
    """A request that no longer waits or runs; ``output_done`` in tokens."""

    sender: Name
    incarnation: Count
    pool: Name
    request_id: Name
    output_done: Count


class Grant(typing.NamedTuple):
    """Leave to dispatch one request to one replica.

    ``stamp_s`` echoes the newest stamp of the asker that the allocator had;
    the asker lets the grant expire on its own clock counted from there.
    """

    sender: Name
    pool: Name
    sequence: Count
    request_id: Name
    replica: Name
    address: Name
    stamp_s: Finite


class Refuse(typing.NamedTuple):
    """The allocator's word that a waiting request won't be granted.

    ``reason`` is a value of ``outcomes.Reason``.
    """

    sender: Name
    pool: Name
    request_id: Name
    reason: Name
    retry_after_s: Span


class Preempt(typing.NamedTuple):
    """An order to cancel a running request for one of a higher tier."""

    sender: Name
    pool: Name
    request_id: Name


class Member(typing.NamedTuple):
    """One instance as known by heartbeat gossip.

    ``heartbeat`` only grows within an incarnation, and the incarnation grows
    with each start of the process.
    """

    instance: Name
    incarnation: Count
    heartbeat: Count
    leaving: bool
    availability_zone: Name
    address: Name
    table_revision: Count


class Pulse(typing.NamedTuple):
    """A member's heartbeat alone; ``digest`` as ``gossip.digest_member``."""

    digest: int
    heartbeat: Count


class Heartbeat(typing.NamedTuple):
    """A sample of the members that the sender believes alive.

    ``pulses`` holds the heartbeats of all of them in a large fleet.
    """

    sender: Name
    members: typing.Annotated[
        tuple[Member, ...], msgspec.Meta(max_length=_MOST_MEMBERS)
    ]
    pulses: typing.Annotated[
        tuple[Pulse, ...], msgspec.Meta(max_length=_MOST_MEMBERS)
    ] = ()


class TableRequest(typing.NamedTuple):
    """A request for the table, from an instance with a lower revision."""

    sender: Name
    revision: Count


class TableCopy(typing.NamedTuple):
    """The table's stored value at a revision."""

    sender: Name
    revision: Count
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
)
