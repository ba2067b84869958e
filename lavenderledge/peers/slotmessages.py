"""Messages about the slots of routed services.

Durations are in seconds and count from the moment of sending.
"""

import typing

import msgspec

from lavenderledge.peers import bounds

_MOST_REQUESTS = 20_000
_MOST_EXCLUDED = 64
_LOWEST_TIER = 1000

Tier: typing.TypeAlias = typing.Annotated[
    int, msgspec.Meta(ge=0, le=_LOWEST_TIER)
]


class RequestSpec(typing.NamedTuple):
    """One request that wants a slot of a service.

    ``tier`` is its rank, 0 the highest. ``objective_left_s`` is what is left
    of the time within which its first byte is due, ``remaining_s`` of that
    within which a slot is of any use. ``cost`` is what it takes of its
    customer's quota, 0 where it was taken before. ``excluded`` names replicas
    that it may not have.
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
        tuple[bounds.Name, ...], msgspec.Meta(max_length=_MOST_EXCLUDED)
    ] = ()


class Reading(typing.NamedTuple):
    """What one request met at its replica.

    ``first_s`` runs from the dispatch to the first byte. ``slowness`` is the
    replica's word on its machine, 1 being usual, 0 where it said nothing.
    """

    outcome: bounds.Count
    first_s: bounds.NonNegative
    slowness: bounds.NonNegative


class HeldSlot(typing.NamedTuple):
    """One request that holds a slot."""

    request_id: bounds.Name
    service: bounds.Name
    replica: bounds.Name


class Ask(typing.NamedTuple):
    """A request that begins to wait."""

    sender: bounds.Name
    incarnation: bounds.Count
    spec: RequestSpec


class Grant(typing.NamedTuple):
    """A slot of a replica, reached at ``host:port``."""

    sender: bounds.Name
    request_id: bounds.Name
    replica: bounds.Name
    address: bounds.Name


class Refusal(typing.NamedTuple):
    """Word that a request gets no slot, and when to come again."""

    sender: bounds.Name
    request_id: bounds.Name
    reason: bounds.Name
    retry_after_s: bounds.NonNegative


class Release(typing.NamedTuple):
    """A request that no longer waits or holds a slot.

    ``refund`` is what its customer gets back.
    """

    sender: bounds.Name
    incarnation: bounds.Count
    request_id: bounds.Name
    refund: bounds.NonNegative
    reading: Reading | None


class Report(typing.NamedTuple):
    """Everything that an instance holds and waits for; replaces the last.

    ``stamp_s`` is the sender's clock, ``address`` where it is answered, which
    the allocator may not know from the store yet.
    """

    sender: bounds.Name
    incarnation: bounds.Count
    address: bounds.Name
    sequence: bounds.Count
    stamp_s: bounds.Finite
    held: typing.Annotated[
        tuple[HeldSlot, ...], msgspec.Meta(max_length=_MOST_REQUESTS)
    ]
    waiting: typing.Annotated[
        tuple[bounds.Name, ...], msgspec.Meta(max_length=_MOST_REQUESTS)
    ]


class Beat(typing.NamedTuple):
    """An allocator's word that it is there and has what it was told.

    ``stamp_s`` echoes the newest report, None where there was none. The
    allocator has the configuration ``version``, which the store confirmed
    ``age_s`` before, and a list of replicas confirmed ``list_age_s`` before.
    """

    sender: bounds.Name
    stamp_s: bounds.Finite | None
    version: bounds.Count
    age_s: bounds.NonNegative
    list_age_s: bounds.NonNegative


Message: typing.TypeAlias = Ask | Grant | Refusal | Release | Report | Beat
