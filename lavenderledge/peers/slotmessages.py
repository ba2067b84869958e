"""Messages about the slots of routed services.

Durations are in seconds and start when the message is sent.
"""

import typing

import msgspec

from lavenderledge.peers import bounds

_MAX_REQUESTS = 20_000
MAX_EXCLUDED: typing.Final = 64
_MAX_TIER = 1000
_MAX_PARTS = 32
# Reason of a refusal that asks for the request once more.
UNKNOWN_REQUEST: typing.Final = 'unknown_request'
MAX_LOST_RUNS: typing.Final = 32
MAX_QUARANTINES: typing.Final = 32
MAX_REQUEST_QUARANTINES: typing.Final = 64
MAX_STEPS: typing.Final = 256
MAX_UPSTREAM_NOTICES: typing.Final = 1024
MAX_SPENDINGS: typing.Final = 8192

Tier: typing.TypeAlias = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_TIER)]


PromptParts: typing.TypeAlias = typing.Annotated[
    tuple[bounds.Name, ...], msgspec.Meta(max_length=_MAX_PARTS)
]


class RequestSpec(typing.NamedTuple):
    """One request for a slot of a service.

    ``request_id`` names the slot: a caller's request may ask for several.
    ``tier`` is its rank, 0 being the highest. The first byte is due within
    ``objective_left_s``; a slot is useless after ``remaining_s``. ``cost`` is
    charged to the customer's quota, 0 if it was charged before. ``excluded``
    names replicas that must not be granted, ``parts`` those parts of the prompt
    that other requests may share. ``output_tokens`` are those that there has to
    be memory for. ``pause_target_s`` is the longest pause between two events
    for which its answer is in time, 0 if there is none. ``is_repeat`` tells
    later attempts at the caller's request from the first.
    """

    request_id: bounds.Name
    service: bounds.Name
    customer: bounds.Name
    tier: Tier
    prompt_tokens: bounds.Count
    objective_left_s: bounds.Finite
    remaining_s: bounds.Finite
    cost: bounds.NonNegative
    excluded: typing.Annotated[
        tuple[bounds.Name, ...], msgspec.Meta(max_length=MAX_EXCLUDED)
    ] = ()
    parts: PromptParts = ()
    output_tokens: bounds.Count = 0
    pause_target_s: bounds.NonNegative = 0
    availability_zone: bounds.Name = ''
    route: bounds.Name = ''
    is_repeat: bool = False


class Reading(typing.NamedTuple):
    """The outcome and measurements of one request at its replica.

    ``first_s`` is the time from dispatch to the first byte. ``slowness`` is
    reported by the replica: 1 is normal speed, 0 if it reported none.
    ``longest_pause_s`` is that between two events of a stream.
    ``is_continuation`` tells that only the rest of a stream was asked for.
    """

    outcome: bounds.Count
    first_s: bounds.NonNegative
    slowness: bounds.NonNegative
    longest_pause_s: bounds.NonNegative = 0
    is_continuation: bool = False


class HeldSlot(typing.NamedTuple):
    """One request that holds a slot.

    ``tokens`` are those of the replica's memory that it is expected to take.
    """

    request_id: bounds.Name
    service: bounds.Name
    replica: bounds.Name
    tokens: bounds.Count = 0


class LostRun(typing.NamedTuple):
    """A run that ended with its connection, ``age_s`` before the report.

    ``parts`` are those of its prompt that other requests may share. ``digest``
    is the same for the same request. ``has_begun`` tells that a part of the
    answer's body was received.
    """

    request_id: bounds.Name
    service: bounds.Name
    replica: bounds.Name
    parts: PromptParts
    age_s: bounds.NonNegative
    digest: bounds.Name = ''
    has_begun: bool = False


class Quarantine(typing.NamedTuple):
    """Prompts with all these parts are not sent for ``left_s``."""

    service: bounds.Name
    parts: PromptParts
    left_s: bounds.NonNegative


class RequestQuarantine(typing.NamedTuple):
    """A request that is not sent for ``left_s``.

    Its last crash was ``age_s`` ago.
    """

    digest: bounds.Name
    age_s: bounds.NonNegative
    left_s: bounds.NonNegative


class AnsweredRequest(typing.NamedTuple):
    """A quarantined request that was answered ``age_s`` ago."""

    digest: bounds.Name
    age_s: bounds.NonNegative


class Spending(typing.NamedTuple):
    """A cost that was charged to a customer ``age_s`` before the report."""

    request_id: bounds.Name
    customer: bounds.Name
    cost: bounds.NonNegative
    age_s: bounds.NonNegative


class UpstreamLimit(typing.NamedTuple):
    """The limit that a replica named in an answer ``age_s`` ago.

    ``limit_per_s`` is in requests per second from all instances together, None
    if the replica names no limit any more.
    """

    replica: bounds.Name
    limit_per_s: bounds.NonNegative | None
    age_s: bounds.NonNegative


class UpstreamDeparture(typing.NamedTuple):
    """A replica that said ``age_s`` ago that it leaves.

    ``started_ms`` tells it from a later one of the same name.
    """

    replica: bounds.Name
    started_ms: bounds.Count
    age_s: bounds.NonNegative


class UpstreamNotices(typing.NamedTuple):
    """What replicas said of themselves in answers to any instance."""

    limits: typing.Annotated[
        tuple[UpstreamLimit, ...], msgspec.Meta(max_length=MAX_UPSTREAM_NOTICES)
    ] = ()
    departures: typing.Annotated[
        tuple[UpstreamDeparture, ...],
        msgspec.Meta(max_length=MAX_UPSTREAM_NOTICES),
    ] = ()


_Quarantines: typing.TypeAlias = typing.Annotated[
    tuple[Quarantine, ...], msgspec.Meta(max_length=MAX_QUARANTINES)
]
_RequestQuarantines: typing.TypeAlias = typing.Annotated[
    tuple[RequestQuarantine, ...],
    msgspec.Meta(max_length=MAX_REQUEST_QUARANTINES),
]


class Ask(typing.NamedTuple):
    """A request that has started to wait.

    ``stamp_s`` is the sender's clock.
    """

    sender: bounds.Name
    incarnation: bounds.Count
    stamp_s: bounds.Finite
    spec: RequestSpec


class Grant(typing.NamedTuple):
    """A slot of a replica, reached at ``host:port``.

    ``stamp_s`` echoes the newest stamp of the instance that asked. The store
    confirmed the allocator's list of replicas ``list_age_s`` before the grant.
    ``started_ms`` is when the replica started, 0 if it is not known.
    """

    sender: bounds.Name
    request_id: bounds.Name
    replica: bounds.Name
    address: bounds.Name
    stamp_s: bounds.Finite
    list_age_s: bounds.NonNegative
    started_ms: bounds.Count = 0


class Refusal(typing.NamedTuple):
    """The refusal of a slot, and when to retry.

    With the reason ``UNKNOWN_REQUEST``, the allocator does not know the request
    and its sender asks again.
    """

    sender: bounds.Name
    request_id: bounds.Name
    reason: bounds.Name
    retry_after_s: bounds.NonNegative


class Release(typing.NamedTuple):
    """A request that no longer waits or holds a slot.

    ``refund`` is returned to the customer's quota.
    """

    sender: bounds.Name
    incarnation: bounds.Count
    request_id: bounds.Name
    refund: bounds.NonNegative
    reading: Reading | None


class Report(typing.NamedTuple):
    """All slots and waiting requests of an instance; replaces its last report.

    ``stamp_s`` is the sender's clock. Replies go to ``address``, which the
    allocator may not have read from the store yet. ``lost_runs`` and
    ``quarantines`` are what a new allocator has to know about prompts that
    crash replicas, ``notices`` what replicas say of themselves. ``version`` is
    the sender's configuration, 0 without one. ``spendings`` are what a new
    allocator has to know of the quotas' last window. ``request_quarantines``
    are those that the sender keeps, ``answered`` those of them that it has seen
    answered.
    """

    sender: bounds.Name
    incarnation: bounds.Count
    address: bounds.Name
    sequence: bounds.Count
    stamp_s: bounds.Finite
    held: typing.Annotated[
        tuple[HeldSlot, ...], msgspec.Meta(max_length=_MAX_REQUESTS)
    ]
    waiting: typing.Annotated[
        tuple[bounds.Name, ...], msgspec.Meta(max_length=_MAX_REQUESTS)
    ]
    lost_runs: typing.Annotated[
        tuple[LostRun, ...], msgspec.Meta(max_length=MAX_LOST_RUNS)
    ] = ()
    quarantines: _Quarantines = ()
    version: bounds.Count = 0
    notices: UpstreamNotices = UpstreamNotices()
    spendings: typing.Annotated[
        tuple[Spending, ...], msgspec.Meta(max_length=MAX_SPENDINGS)
    ] = ()
    request_quarantines: _RequestQuarantines = ()
    answered: typing.Annotated[
        tuple[AnsweredRequest, ...],
        msgspec.Meta(max_length=MAX_REQUEST_QUARANTINES),
    ] = ()


class UpdateStep(typing.NamedTuple):
    """Copies ``copied`` pieces of the base, then appends ``literal``."""

    first: bounds.Count
    copied: bounds.Count
    literal: bytes


class ConfigurationUpdate(typing.NamedTuple):
    """How to get a version of the configuration from an earlier one.

    ``digest`` is that of the result, ``revision`` and ``era`` are the store's.
    """

    base_version: bounds.Count
    version: bounds.Count
    revision: bounds.Count
    era: bounds.Count
    steps: typing.Annotated[
        tuple[UpdateStep, ...], msgspec.Meta(max_length=MAX_STEPS)
    ]
    digest: bounds.Count


class Beat(typing.NamedTuple):
    """An allocator's heartbeat, which acknowledges the latest report.

    ``stamp_s`` echoes that report's, None without one. The store confirmed
    the allocator's configuration ``version`` ``age_s`` ago and its list of
    replicas ``list_age_s`` ago. ``quarantines`` and ``request_quarantines``
    replace the last beat's.
    ``notices`` are those that any instance was told. ``update`` leads from the
    version that the instance reported to ``version``. ``incarnation`` is the
    sender's, 0 before it has joined.
    """

    sender: bounds.Name
    stamp_s: bounds.Finite | None
    version: bounds.Count
    age_s: bounds.NonNegative
    list_age_s: bounds.NonNegative
    quarantines: _Quarantines = ()
    notices: UpstreamNotices = UpstreamNotices()
    update: ConfigurationUpdate | None = None
    incarnation: bounds.Count = 0
    request_quarantines: _RequestQuarantines = ()


Message: typing.TypeAlias = Ask | Grant | Refusal | Release | Report | Beat
