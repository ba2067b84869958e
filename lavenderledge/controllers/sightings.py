"""What has been heard of other instances by gossip.

Times are seconds on the own monotonic clock, passed in by the caller.
"""

import datetime
import typing

from lavenderledge.peers import messages
from lavenderledge.policy import gossip

_REMEMBER_FOR_S = 7200.0
_TELL_OUTDATED_FOR_S = 5.0
_MAX_OUTDATED = 16
_MAX_LOST = 64


class Outdated(typing.NamedTuple):
    """A process that still gossips under a name that a newer one took."""

    instance: str
    address: str
    heard_at_s: float


class Sightings:
    """The newest facts of each instance, and when it last advanced.

    Instances are *heard* until they are forgotten. After that they are
    *lost*: remembered for two hours, so that stale gossip brings none back
    and a region cut off for an hour is found again.
    """

    def __init__(self) -> None:
        """Start with nobody heard of."""
        self._sightings: dict[str, gossip.Sighting] = {}
        self._outdated: dict[str, Outdated] = {}

    def __contains__(self, instance: str) -> bool:
        """Return whether the instance is remembered."""
        return instance in self._sightings

    def get_member(self, instance: str) -> messages.Member | None:
        """Return the newest facts of an instance."""
        sighting = self._sightings.get(instance)
        return None if sighting is None else sighting.member

    def hear(
        self,
        member: messages.Member,
        now_s: float,
        failure_timeout: datetime.timedelta,
    ) -> bool:
        """Merge a member; return whether more than its heartbeat changed."""
        old = self._sightings.get(member.instance)
        new = gossip.merge_sighting(old, member, now_s)
        if new is old:
            return False
        alive = self.is_alive(member.instance, now_s, failure_timeout)
        self._sightings[member.instance] = new
        if old is None or not alive:
            return True
        return _read_lasting(old.member) != _read_lasting(new.member)

    def hear_sender(self, member: messages.Member, now_s: float) -> bool:
        """Note a sender whose name a newer process has at a new address.

        Nobody gossips to the old address any more; it is to hear why.
        Returns whether the sender was not noted before.
        """
        newest = self.get_member(member.instance)
        if newest is None or member.address == newest.address:
            return False
        if member.incarnation >= newest.incarnation:
            return False
        known = member.address in self._outdated
        if known or len(self._outdated) < _MAX_OUTDATED:
            self._outdated[member.address] = Outdated(
                member.instance, member.address, now_s
            )
        return not known

    def discount(self, late_s: float) -> None:
        """Take no account of a time in which nobody could be heard."""
        for instance, sighting in self._sightings.items():
            self._sightings[instance] = sighting._replace(
                advanced_at_s=sighting.advanced_at_s + late_s,
            )

    def purge(self, now_s: float) -> None:
        """Drop what is too old to be of use."""
        self._sightings = {
            instance: sighting
            for instance, sighting in self._sightings.items()
            if now_s - sighting.advanced_at_s < _REMEMBER_FOR_S
        }
        self._outdated = {
            address: outdated
            for address, outdated in self._outdated.items()
            if now_s - outdated.heard_at_s < _TELL_OUTDATED_FOR_S
            and outdated.instance in self._sightings
        }

    def is_alive(
        self,
        instance: str,
        now_s: float,
        failure_timeout: datetime.timedelta,
    ) -> bool:
        """Return whether the instance advanced recently enough."""
        sighting = self._sightings.get(instance)
        if sighting is None:
            return False
        return gossip.is_alive(sighting, now_s, failure_timeout)

    def list_advanced(
        self, now_s: float, within: datetime.timedelta
    ) -> list[messages.Member]:
        """Return the members that advanced within a time, leaving or not."""
        return [
            sighting.member
            for sighting in self._sightings.values()
            if gossip.is_alive(sighting, now_s, within)
        ]

    def list_lost(
        self, now_s: float, forget_after: datetime.timedelta
    ) -> list[messages.Member]:
        """Return the members lost last, but for those that left."""
        lost = [
            sighting
            for sighting in self._sightings.values()
            if not gossip.is_alive(sighting, now_s, forget_after)
            and not sighting.member.leaving
        ]
        lost.sort(key=lambda sighting: sighting.advanced_at_s, reverse=True)
        return [sighting.member for sighting in lost[:_MAX_LOST]]

    def list_outdated(self) -> list[Outdated]:
        """Return the processes to be told that they were replaced."""
        return list(self._outdated.values())


def _read_lasting(member: messages.Member) -> tuple[int, bool, str]:
    return (member.incarnation, member.leaving, member.address)
