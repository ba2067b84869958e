"""Decisions of heartbeat gossip, without sockets or clocks.

Times are seconds on the deciding instance's own monotonic clock.
"""

import datetime
import typing

from lavenderledge.peers import messages

SMALL_FLEET = 9
FORGET_AFTER = datetime.timedelta(seconds=60)
_BASE_INTERVAL = datetime.timedelta(milliseconds=500)
_BASE_TIMEOUT = datetime.timedelta(seconds=3)
_LARGE_FANOUT = 3
_SMALL_SAMPLE = 2
_MAX_SAMPLE = 64


class Plan(typing.NamedTuple):
    """How a fleet of some size gossips.

    Each ``interval`` an instance sends itself and at most ``sample`` other
    members to ``fanout`` members. A member whose heartbeat has not advanced
    for ``failure_timeout`` is no longer believed alive.
    """

    interval: datetime.timedelta
    fanout: int
    sample: int
    failure_timeout: datetime.timedelta


class Sighting(typing.NamedTuple):
    """A member as last heard of, and when its heartbeat last advanced."""

    member: messages.Member
    advanced_at_s: float


def plan_gossip(members: int) -> Plan:
    """Return the plan of a fleet with so many members, itself included."""
    if members <= SMALL_FLEET:
        return Plan(
            interval=_BASE_INTERVAL,
            fanout=max(members - 1, 0),
            sample=_SMALL_SAMPLE,
            failure_timeout=_BASE_TIMEOUT,
        )
    return Plan(
        interval=_BASE_INTERVAL,
        fanout=_LARGE_FANOUT,
        sample=min(members - 1, _MAX_SAMPLE),
        failure_timeout=_BASE_TIMEOUT * (members / SMALL_FLEET),
    )


def supersedes(new: messages.Member, old: messages.Member) -> bool:
    """Return whether the new facts are younger than the old ones."""
    return (new.incarnation, new.heartbeat) > (old.incarnation, old.heartbeat)


def merge_sighting(
    old: Sighting | None, member: messages.Member, now_s: float
) -> Sighting:
    """Return what is known of a member after hearing of it once more.

    An older incarnation or heartbeat changes nothing, except that leaving
    is never taken back within an incarnation.
    """
    if old is None:
        return Sighting(member, now_s)
    same = member.incarnation == old.member.incarnation
    leaving = same and (member.leaving or old.member.leaving)
    if supersedes(member, old.member):
        leaving = leaving or member.leaving
        return Sighting(member._replace(leaving=leaving), now_s)
    if same and leaving and not old.member.leaving:
        return old._replace(member=old.member._replace(leaving=True))
    return old


def is_alive(
    sighting: Sighting, now_s: float, failure_timeout: datetime.timedelta
) -> bool:
    """Return whether the member's heartbeat advanced recently enough."""
    age_s = now_s - sighting.advanced_at_s
    return age_s < failure_timeout.total_seconds()


def is_forgotten(sighting: Sighting, now_s: float) -> bool:
    """Return whether the member has been silent for a long time."""
    return not is_alive(sighting, now_s, FORGET_AFTER)
