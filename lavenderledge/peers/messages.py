"""Messages between instances.

Durations are in seconds. ``stamp_s`` is a reading of the sender's own
monotonic clock; other instances only echo it.
"""

import typing


class Ask(typing.NamedTuple):
    """One request that waits for a replica.

    ``prefix`` holds 64-bit digests of the prompt's successive blocks, each
    digest covering everything before it. ``pressed`` asks for a grant, or a
    refusal, without further waiting.
    """

    request_id: str
    row: str
    customer: str
    tier: int
    weight: float
    prompt_tokens: int
    output_tokens: int
    prefix: tuple[int, ...]
    remaining_s: float
    waited_s: float
    preemptible: bool
    pressed: bool


class Running(typing.NamedTuple):
    """One request that holds a grant."""

    request_id: str
    row: str
    customer: str
    tier: int
    replica: str
    prompt_tokens: int
    output_tokens: int
    output_done: int
    preemptible: bool
    started: bool


class Reading(typing.NamedTuple):
    """What one instance measured of one replica since its last report.

    ``token_gap_s`` is the summed time between tokens over ``token_gaps``
    gaps; ``first_token_s`` the summed time to first token over
    ``first_tokens`` requests with ``prefill_tokens`` prompt tokens in all.
    ``failures`` counts failed connects and refusals by the replica itself.
    """

    replica: str
    token_gaps: int
    token_gap_s: float
    first_tokens: int
    first_token_s: float
    prefill_tokens: int
    cached_tokens: int
    failures: int


class Report(typing.NamedTuple):
    """Everything an instance holds for one pool; replaces the last report.

    ``grant_seen`` is the highest grant sequence that the sender has received
    from the allocator it reports to.
    """

    sender: str
    incarnation: int
    pool: str
    sequence: int
    stamp_s: float
    grant_seen: int
    waiting: tuple[Ask, ...]
    running: tuple[Running, ...]
    readings: tuple[Reading, ...]


class NewAsk(typing.NamedTuple):
    """A request that has just begun to wait."""

    sender: str
    incarnation: int
    pool: str
    stamp_s: float
    ask: Ask


class Release(typing.NamedTuple):
    """A request that no longer waits or runs; ``output_done`` in tokens."""

    sender: str
    incarnation: int
    pool: str
    request_id: str
    output_done: int


class Grant(typing.NamedTuple):
    """Leave to dispatch one request to one replica.

    ``stamp_s`` echoes the newest stamp of the asker that the allocator had;
    the asker lets the grant expire on its own clock counted from there.
    """

    sender: str
    pool: str
    sequence: int
    request_id: str
    replica: str
    address: str
    stamp_s: float


class Refuse(typing.NamedTuple):
    """The allocator's word that a waiting request won't be granted.

    ``reason`` is a value of ``outcomes.Reason``.
    """

    sender: str
    pool: str
    request_id: str
    reason: str
    retry_after_s: float


class Preempt(typing.NamedTuple):
    """An order to cancel a running request for one of a higher tier."""

    sender: str
    pool: str
    request_id: str


class Member(typing.NamedTuple):
    """One instance as known by heartbeat gossip.

    ``heartbeat`` only grows within an incarnation, and the incarnation grows
    with each start of the process.
    """

    instance: str
    incarnation: int
    heartbeat: int
    leaving: bool
    availability_zone: str
    address: str
    table_revision: int


class Pulse(typing.NamedTuple):
    """A member's heartbeat alone; ``digest`` as ``gossip.digest_member``."""

    digest: int
    heartbeat: int


class Heartbeat(typing.NamedTuple):
    """A sample of the members that the sender believes alive.

    ``pulses`` holds the heartbeats of all of them in a large fleet.
    """

    sender: str
    members: tuple[Member, ...]
    pulses: tuple[Pulse, ...] = ()


class TableRequest(typing.NamedTuple):
    """A request for the table, from an instance with a lower revision."""

    sender: str
    revision: int


class TableCopy(typing.NamedTuple):
    """The table's stored value at a revision."""

    sender: str
    revision: int
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
