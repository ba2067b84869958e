"""The state of other instances, received by gossip.

Times are seconds on the local monotonic clock, passed in by the caller.
"""

import datetime
import typing

from lavenderledge.peers import messages
from lavenderledge.policy import gossip

_RETENTION_S = 7200.0
_OUTDATED_RETENTION_S = 5.0
_MAX_OUTDATED = 16
_MAX_LOST = 64


class OutdatedProcess(typing.NamedTuple):
    """A process that still gossips under the name of a newer one."""

    instance: str
    address: str
    received_at_s: float


class PeerStates:
    """The newest state of each instance, and when it last advanced.

    Instances that have not advanced within the plan's ``forget_after`` are
    *lost*. They are kept for two hours, so that stale gossip does not bring
    them back and a region that was cut off for an hour is contacted again.
    """

    def __init__(self) -> None:
        """Start without instances."""
        self._states: dict[str, gossip.PeerState] = {}
        self._instance_by_digest: dict[int, str] = {}
        self._digest_by_instance: dict[str, int] = {}
        self._outdated: dict[str, OutdatedProcess] = {}

    def __contains__(self, instance: str) -> bool:
        """Return whether the instance is known, lost ones included."""
        return instance in self._states

    def get_member(self, instance: str) -> messages.Member | None:
        """Return the newest state of an instance."""
        state = self._states.get(instance)
        return None if state is None else state.member

    def apply_member(
        self,
        member: messages.Member,
        now_s: float,
        failure_timeout: datetime.timedelta,
    ) -> bool:
        """Merge a member; return whether more than its heartbeat changed."""
        old = self._states.get(member.instance)
        new = gossip.merge_member(old, member, now_s)
        if new == old:
            return False
        alive = self.is_alive(member.instance, now_s, failure_timeout)
        self._states[member.instance] = new
        if old is None or new.changed_at_s != old.changed_at_s:
            self._note_digest(member)
            return True
        return not alive

    def apply_digest(
        self,
        digest: messages.HeartbeatDigest,
        now_s: float,
        failure_timeout: datetime.timedelta,
    ) -> bool:
        """Merge a heartbeat digest; return whether it made a member alive."""
        instance = self._instance_by_digest.get(digest.member_digest)
        if instance is None:
            return False
        old = self._states[instance]
        if digest.heartbeat <= old.member.heartbeat:
            return False
        self._states[instance] = gossip.merge_digest(old, digest, now_s)
        return not gossip.is_alive(old, now_s, failure_timeout)

    def build_digest(self, member: messages.Member) -> messages.HeartbeatDigest:
        """Return the heartbeat digest of a known member or this instance."""
        member_digest = self._digest_by_instance.get(member.instance)
        if member_digest is None:
            member_digest = gossip.digest_member(member)
        return messages.HeartbeatDigest(member_digest, member.heartbeat)

    def _note_digest(self, member: messages.Member) -> None:
        old = self._digest_by_instance.get(member.instance)
        if old is not None:
            self._instance_by_digest.pop(old, None)
        member_digest = gossip.digest_member(member)
        self._digest_by_instance[member.instance] = member_digest
        self._instance_by_digest[member_digest] = member.instance

    def note_outdated_sender(
        self, member: messages.Member, now_s: float
    ) -> bool:
        """Record a sender replaced by a newer process at another address.

        Members no longer gossip to the old address, so it is notified here.
        Returns whether the sender is newly recorded.
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
        """Extend all timeouts by a time in which no heartbeat could arrive."""
        for instance, state in self._states.items():
            self._states[instance] = state._replace(
                advanced_at_s=state.advanced_at_s + late_s,
            )

    def purge(self, now_s: float) -> None:
        """Remove expired states."""
        self._states = {
            instance: state
            for instance, state in self._states.items()
            if now_s - state.advanced_at_s < _RETENTION_S
        }
        for instance in self._digest_by_instance.keys() - self._states.keys():
            self._instance_by_digest.pop(
                self._digest_by_instance.pop(instance), None
            )
        self._outdated = {
            address: outdated
            for address, outdated in self._outdated.items()
            if now_s - outdated.received_at_s < _OUTDATED_RETENTION_S
            and outdated.instance in self._states
        }

    def is_alive(
        self,
        instance: str,
        now_s: float,
        failure_timeout: datetime.timedelta,
    ) -> bool:
        """Return whether the instance advanced within the timeout."""
        state = self._states.get(instance)
        if state is None:
            return False
        return gossip.is_alive(state, now_s, failure_timeout)

    def list_advanced(
        self, now_s: float, within: datetime.timedelta
    ) -> list[messages.Member]:
        """Return the members that advanced ``within`` a time, also leaving."""
        since_s = now_s - within.total_seconds()
        return [
            state.member
            for state in self._states.values()
            if state.advanced_at_s > since_s
        ]

    def list_changed(
        self, now_s: float, within: datetime.timedelta
    ) -> list[messages.Member]:
        """Return the members that advanced, the last changed first."""
        since_s = now_s - within.total_seconds()
        advanced = [
            state
            for state in self._states.values()
            if state.advanced_at_s > since_s
        ]
        advanced.sort(key=lambda state: -state.changed_at_s)
        return [state.member for state in advanced]

    def list_lost(
        self, now_s: float, forget_after: datetime.timedelta
    ) -> list[messages.Member]:
        """Return the most recently lost members, except those that left."""
        until_s = now_s - forget_after.total_seconds()
        lost = [
            state
            for state in self._states.values()
            if state.advanced_at_s <= until_s and not state.member.leaving
        ]
        lost.sort(key=lambda state: state.advanced_at_s, reverse=True)
        return [state.member for state in lost[:_MAX_LOST]]

    def list_outdated(self) -> list[OutdatedProcess]:
        """Return the processes to notify that they were replaced."""
        return list(self._outdated.values())
