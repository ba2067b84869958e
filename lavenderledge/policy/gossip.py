"""Heartbeat gossip without I/O: plan, neighbours and merging of states.

Times are seconds on this instance's monotonic clock.
"""

import datetime
import math
import typing
from collections import abc

import xxhash

from lavenderledge.peers import messages

SMALL_FLEET_MEMBERS = 9
_RING_BITS = 64
_RING_SIZE = 2**_RING_BITS
_MIN_INTERVAL_S = 0.5
_SMALL_FAILURE_TIMEOUT = datetime.timedelta(seconds=3)
_SMALL_SAMPLE = 3
_LARGE_NEIGHBOURS = 8
_LARGE_SAMPLE = 16
_ROUNDS_PER_DOUBLING = 3.2
_MEMBER_BYTES = 61
_DIGEST_BYTES = 11
_OVERHEAD_BYTES = 110
_MAX_BYTES_PER_S = 5000
_FORGET_AFTER = datetime.timedelta(seconds=60)


class Plan(typing.NamedTuple):
    """Gossip parameters for a fleet of a given size.

    Each ``interval`` an instance sends its own state and that of at most
    ``sample`` other members to ``fanout`` of its ``neighbours``; with
    ``has_digests``, the heartbeat digests of all members too. A member whose
    heartbeat has not advanced for ``failure_timeout`` is considered dead,
    and is removed after ``forget_after``.
    """

    interval: datetime.timedelta
    neighbours: int
    fanout: int
    sample: int
    has_digests: bool
    failure_timeout: datetime.timedelta
    forget_after: datetime.timedelta


class PeerState(typing.NamedTuple):
    """The latest known state of a member.

    ``advanced_at_s`` is when its heartbeat last advanced; ``changed_at_s`` is
    when anything else except the table revision last changed.
    """

    member: messages.Member
    advanced_at_s: float
    changed_at_s: float


def plan_gossip(members: int) -> Plan:
    """Return the plan for ``members`` instances, this one included.

    A small fleet gossips all to all. In a larger one the interval grows with
    the fleet to bound the bytes per second, and the failure timeout grows
    with the number of rounds in which a heartbeat reaches all members.
    """
    if members <= SMALL_FLEET_MEMBERS:
        return Plan(
            interval=datetime.timedelta(seconds=_MIN_INTERVAL_S),
            neighbours=max(members - 1, 0),
            fanout=max(members - 1, 0),
            sample=_SMALL_SAMPLE,
            has_digests=False,
            failure_timeout=_SMALL_FAILURE_TIMEOUT,
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

    Each is the instance's successor on a separate hash ring. So each member
    is also the neighbour of about ``count`` others, and few neighbours change
    when the fleet does.
    """
    others = sorted(set(members) - {own})
    if len(others) <= count:
        return tuple(others)
    picked = {_find_successor(own, others, ring) for ring in range(count)}
    return tuple(sorted(picked))


def digest_member(member: messages.Member) -> int:
    """Return a 32-bit hash of an instance and its incarnation."""
    text = f'{member.incarnation}:{member.instance}'
    return xxhash.xxh32_intdigest(text.encode())


def merge_member(
    old: PeerState | None, member: messages.Member, now_s: float
) -> PeerState:
    """Return a member's state merged with a newly received one.

    A newer incarnation replaces an older one. Within an incarnation, the
    heartbeat and the table revision only grow and ``leaving`` stays set.
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
    state: PeerState, digest: messages.HeartbeatDigest, now_s: float
) -> PeerState:
    """Return a member's state merged with a received heartbeat digest."""
    if digest.heartbeat <= state.member.heartbeat:
        return state
    member = state.member._replace(heartbeat=digest.heartbeat)
    return state._replace(member=member, advanced_at_s=now_s)


def is_alive(
    state: PeerState, now_s: float, failure_timeout: datetime.timedelta
) -> bool:
    """Return whether the member's heartbeat advanced recently enough."""
    age_s = now_s - state.advanced_at_s
    return age_s < failure_timeout.total_seconds()


def _find_successor(own: str, others: list[str], ring: int) -> str:
    start = _hash_to_ring(own, ring)
    return min(
        others,
        key=lambda other: (_hash_to_ring(other, ring) - start) % _RING_SIZE,
    )


def _hash_to_ring(instance: str, ring: int) -> int:
    return xxhash.xxh3_64_intdigest(f'{ring}:{instance}'.encode())


def _count_bytes(members: int) -> int:
    sampled = _MEMBER_BYTES * (1 + _LARGE_SAMPLE)
    return sampled + _DIGEST_BYTES * members + _OVERHEAD_BYTES
