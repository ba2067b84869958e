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


class OutdatedProcess(typing.NamedTuple):
    """A process that still gossips under a name that a newer one took."""

    instance: str
    address: str
    heard_at_s: float


class PeerStates:
    """The newest facts of each instance, and when it last advanced.

    Instances are *heard* until they are forgotten. After that they are
    *lost*: remembered for two hours, so that stale gossip brings none back
    and a region cut off for an hour is found again.
    """

    def __init__(self) -> None:
        """Start with nobody heard of."""
        self._sightings: dict[str, gossip.PeerState] = {}
        self._instances: dict[int, str] = {}
        self._digests: dict[str, int] = {}
        self._outdated: dict[str, OutdatedProcess] = {}

    def __contains__(self, instance: str) -> bool:
        """Return whether the instance is remembered."""
        return instance in self._sightings

    def get_member(self, instance: str) -> messages.Member | None:
        """Return the newest facts of an instance."""
        sighting = self._sightings.get(instance)
        return None if sighting is None else sighting.member

    def apply_member(
        self,
        member: messages.Member,
        now_s: float,
        failure_timeout: datetime.timedelta,
    ) -> bool:
        """Merge a member; return whether more than its heartbeat changed."""
        old = self._sightings.get(member.instance)
        new = gossip.merge_member(old, member, now_s)
        if new == old:
            return False
        alive = self.is_alive(member.instance, now_s, failure_timeout)
        self._sightings[member.instance] = new
        if old is None or new.changed_at_s != old.changed_at_s:
            self._note_digest(member)
            return True
        return not alive

    def apply_digest(
        self,
        pulse: messages.HeartbeatDigest,
        now_s: float,
        failure_timeout: datetime.timedelta,
    ) -> bool:
        """Merge a heartbeat; return whether it brought a member back."""
        instance = self._instances.get(pulse.member_digest)
        if instance is None:
            return False
        old = self._sightings[instance]
        if pulse.heartbeat <= old.member.heartbeat:
            return False
        self._sightings[instance] = gossip.merge_digest(old, pulse, now_s)
        return not gossip.is_alive(old, now_s, failure_timeout)

    def build_digest(self, member: messages.Member) -> messages.HeartbeatDigest:
        """Return the heartbeat of a member that was heard of, or the own."""
        digest = self._digests.get(member.instance)
        if digest is None:
            digest = gossip.digest_member(member)
        return messages.HeartbeatDigest(digest, member.heartbeat)

    def _note_digest(self, member: messages.Member) -> None:
        old = self._digests.get(member.instance)
        if old is not None:
            self._instances.pop(old, None)
        digest = gossip.digest_member(member)
        self._digests[member.instance] = digest
        self._instances[digest] = member.instance

    def note_outdated_sender(
        self, member: messages.Member, now_s: float
    ) -> bool:
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
            self._outdated[member.address] = OutdatedProcess(
                member.instance, member.address, now_s
            )
        return not known

    def postpone_timeouts(self, late_s: float) -> None:
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
        for instance in self._digests.keys() - self._sightings.keys():
            self._instances.pop(self._digests.pop(instance), None)
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
        since_s = now_s - within.total_seconds()
        return [
            sighting.member
            for sighting in self._sightings.values()
            if sighting.advanced_at_s > since_s
        ]

    def list_changed(
        self, now_s: float, within: datetime.timedelta
    ) -> list[messages.Member]:
        """Return the members that advanced, the last changed ones first."""
        since_s = now_s - within.total_seconds()
        advanced = [
            sighting
            for sighting in self._sightings.values()
            if sighting.advanced_at_s > since_s
        ]
        advanced.sort(key=lambda sighting: -sighting.changed_at_s)
        return [sighting.member for sighting in advanced]

    def list_lost(
        self, now_s: float, forget_after: datetime.timedelta
    ) -> list[messages.Member]:
        """Return the members lost last, but for those that left."""
        until_s = now_s - forget_after.total_seconds()
        lost = [
            sighting
            for sighting in self._sightings.values()
            if sighting.advanced_at_s <= until_s and not sighting.member.leaving
        ]
        lost.sort(key=lambda sighting: sighting.advanced_at_s, reverse=True)
        return [sighting.member for sighting in lost[:_MAX_LOST]]

    def list_outdated(self) -> list[OutdatedProcess]:
        """Return the processes to be told that they were replaced."""
        return list(self._outdated.values())
