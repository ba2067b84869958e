"""Decisions of heartbeat gossip, without sockets or clocks.

Times are seconds on the deciding instance's own monotonic clock.
"""

import datetime
import typing

from lavenderledge.peers import messages

SMALL_FLEET = 9
NEIGHBOUR_LIFETIME = datetime.timedelta(seconds=60)
_SMALL_INTERVAL = datetime.timedelta(milliseconds=500)
_SMALL_TIMEOUT = datetime.timedelta(seconds=3)
_SMALL_SAMPLE = 3
_LARGE_NEIGHBOURS = 8
_MAX_SAMPLE = 64
_MEMBERS_PER_S = 80
_FORGET_AFTER = datetime.timedelta(seconds=60)


class Plan(typing.NamedTuple):
    """How a fleet of some size gossips.

    Each ``interval`` an instance sends itself and at most ``sample`` other
    members to ``fanout`` of its ``neighbours``, which it draws anew every
    ``NEIGHBOUR_LIFETIME``. A member whose heartbeat has not advanced for
    ``failure_timeout`` is no longer believed alive, and is forgotten after
    ``forget_after``.
    """

    interval: datetime.timedelta
    neighbours: int
    fanout: int
    sample: int
    failure_timeout: datetime.timedelta
    forget_after: datetime.timedelta


def plan_gossip(members: int) -> Plan:
    """Return the plan of a fleet with so many members, itself included.

    A small fleet gossips with everyone. In a larger one each instance sends
    a constant number of members a second, so that bytes do not grow with
    the fleet; what grows is the time to detect a failure.
    """
    if members <= SMALL_FLEET:
        return Plan(
            interval=_SMALL_INTERVAL,
            neighbours=max(members - 1, 0),
            fanout=max(members - 1, 0),
            sample=_SMALL_SAMPLE,
            failure_timeout=_SMALL_TIMEOUT,
            forget_after=_FORGET_AFTER,
        )
    sample = min(members - 1, _MAX_SAMPLE)
    failure_timeout = _SMALL_TIMEOUT * (members / SMALL_FLEET)
    return Plan(
        interval=datetime.timedelta(seconds=(sample + 1) / _MEMBERS_PER_S),
        neighbours=_LARGE_NEIGHBOURS,
        fanout=1,
        sample=sample,
        failure_timeout=failure_timeout,
        forget_after=max(_FORGET_AFTER, 2 * failure_timeout),
    )


class Sighting(typing.NamedTuple):
    """A member as last heard of, and when its heartbeat last advanced."""

    member: messages.Member
    advanced_at_s: float


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
