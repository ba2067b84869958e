"""Decisions of heartbeat gossip, without sockets or clocks.

Times are seconds on the deciding instance's own monotonic clock.
"""

import datetime
import math
import typing
from collections import abc

import xxhash

from lavenderledge.peers import messages

SMALL_FLEET = 9
_RING_BITS = 64
_RING_SIZE = 2**_RING_BITS
_MIN_INTERVAL_S = 0.5
_SMALL_TIMEOUT = datetime.timedelta(seconds=3)
_SMALL_SAMPLE = 3
_LARGE_NEIGHBOURS = 8
_LARGE_SAMPLE = 16
_ROUNDS_PER_DOUBLING = 3.2
_MEMBER_BYTES = 61
_PULSE_BYTES = 11
_OVERHEAD_BYTES = 110
_MAX_BYTES_PER_S = 5000
_FORGET_AFTER = datetime.timedelta(seconds=60)


class Plan(typing.NamedTuple):
    """How a fleet of some size gossips.

    Each ``interval`` an instance sends itself and at most ``sample`` other
    members, with the pulses of all where ``has_pulses``, to ``fanout`` of
    its ``neighbours``. A member whose heartbeat has not advanced for
    ``failure_timeout`` is no longer believed alive, and is forgotten after
    ``forget_after``.
    """

    interval: datetime.timedelta
    neighbours: int
    fanout: int
    sample: int
    has_digests: bool
    failure_timeout: datetime.timedelta
    forget_after: datetime.timedelta


class PeerState(typing.NamedTuple):
    """A member as last heard of.

    ``advanced_at_s`` is when its heartbeat last advanced, ``changed_at_s``
    when anything else but the table revision did.
    """

    member: messages.Member
    advanced_at_s: float
    changed_at_s: float


def plan_gossip(members: int) -> Plan:
    """Return the plan of a fleet with so many members, itself included.

    A small fleet gossips with everyone. In a larger one the interval grows
    with the fleet, so that bytes a second do not, and the failure timeout
    grows with the rounds that a heartbeat takes to reach everyone.
    """
    if members <= SMALL_FLEET:
        return Plan(
            interval=datetime.timedelta(seconds=_MIN_INTERVAL_S),
            neighbours=max(members - 1, 0),
            fanout=max(members - 1, 0),
            sample=_SMALL_SAMPLE,
            has_digests=False,
            failure_timeout=_SMALL_TIMEOUT,
            forget_after=_FORGET_AFTER,
        )
    interval_s = max(_MIN_INTERVAL_S, _count_bytes(members) / _MAX_BYTES_PER_S)
    rounds = _ROUNDS_PER_DOUBLING * math.log2(members)
    failure_timeout = datetime.timedelta(seconds=interval_s * rounds)
    return Plan(
        interval=datetime.timedelta(seconds=interval_s),
        neighbours=_LARGE_NEIGHBOURS,
        fanout=1,
        sample=_LARGE_SAMPLE,
        has_digests=True,
        failure_timeout=failure_timeout,
        forget_after=max(_FORGET_AFTER, 2 * failure_timeout),
    )


def pick_neighbours(
    own: str, members: abc.Collection[str], count: int
) -> tuple[str, ...]:
    """Return at most ``count`` members for an instance to gossip with.

    Each is the instance's successor on a ring of its own, so that everyone
    is also the neighbour of so many others, and few change with the fleet.
    """
    others = sorted(set(members) - {own})
    if len(others) <= count:
        return tuple(others)
    picked = {_find_successor(own, others, ring) for ring in range(count)}
    return tuple(sorted(picked))


def digest_member(member: messages.Member) -> int:
    """Return 32 bits that stand for an incarnation of an instance."""
    text = f'{member.incarnation}:{member.instance}'
    return xxhash.xxh32_intdigest(text.encode())


def merge_member(
    old: PeerState | None, member: messages.Member, now_s: float
) -> PeerState:
    """Return what is known of a member after hearing of it once more.

    A newer incarnation replaces an older one. Within an incarnation the
    heartbeat and the table revision only grow, and leaving stays.
    """
    if old is None or member.incarnation > old.member.incarnation:
        return PeerState(member, now_s, now_s)
    if member.incarnation < old.member.incarnation:
        return old
    merged = old.member._replace(
        heartbeat=max(member.heartbeat, old.member.heartbeat),
        leaving=member.leaving or old.member.leaving,
        table_revision=max(member.table_revision, old.member.table_revision),
    )
    advanced = merged.heartbeat > old.member.heartbeat
    changed = merged.leaving != old.member.leaving
    return PeerState(
        merged,
        advanced_at_s=now_s if advanced else old.advanced_at_s,
        changed_at_s=now_s if changed else old.changed_at_s,
    )


def merge_digest(
    sighting: PeerState, pulse: messages.HeartbeatDigest, now_s: float
) -> PeerState:
    """Return what is known of a member after hearing its heartbeat."""
    if pulse.heartbeat <= sighting.member.heartbeat:
        return sighting
    member = sighting.member._replace(heartbeat=pulse.heartbeat)
    return sighting._replace(member=member, advanced_at_s=now_s)


def is_alive(
    sighting: PeerState, now_s: float, failure_timeout: datetime.timedelta
) -> bool:
    """Return whether the member's heartbeat advanced recently enough."""
    age_s = now_s - sighting.advanced_at_s
    return age_s < failure_timeout.total_seconds()


def _find_successor(own: str, others: list[str], ring: int) -> str:
    start = _place(own, ring)
    return min(
        others, key=lambda each: (_place(each, ring) - start) % _RING_SIZE
    )


def _place(instance: str, ring: int) -> int:
    return xxhash.xxh3_64_intdigest(f'{ring}:{instance}'.encode())


def _count_bytes(members: int) -> int:
    sampled = _MEMBER_BYTES * (1 + _LARGE_SAMPLE)
    return sampled + _PULSE_BYTES * members + _OVERHEAD_BYTES
