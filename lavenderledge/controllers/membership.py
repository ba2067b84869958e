"""The instances that are alive, by heartbeat gossip.

Views are eventually consistent: two instances may differ for some seconds.
Nothing that must happen at most once may depend on them.
"""

import datetime
import logging
import random
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge import logs
from lavenderledge.controllers import gossiper, peerstates, startup
from lavenderledge.peers import messages
from lavenderledge.policy import gossip

_LOGGER = logging.getLogger(__name__)


class ListedInstance(typing.NamedTuple):
    """An instance in the platform's list, which lags behind."""

    instance: str
    address: str
    terminating: bool


class Description(typing.TypedDict):
    """The membership as shown on the status page."""

    instance: str
    incarnation: int
    alive: tuple[str, ...]
    leaving: tuple[str, ...]
    silent: tuple[str, ...]
    known: int
    settled: bool
    superseded: bool


class Membership:
    """The members of the fleet as seen by one instance.

    ``send(instance, message)`` never blocks. ``on_change(addresses)`` gets
    the ``host:port`` by instance to link to, after each change of these or of
    the alive members.
    """

    def __init__(
        self,
        *,
        own: messages.Member,
        clock: clocks.Clock,
        rng: random.Random,
        send: abc.Callable[[str, messages.Message], object],
        on_change: abc.Callable[[abc.Mapping[str, str]], None],
        read_table_revision: abc.Callable[[], int],
        plan: abc.Callable[[int], gossip.Plan] = gossip.plan_gossip,
    ) -> None:
        """Start with only this instance as a member."""
        self._own = own
        self._clock = clock
        self._on_change = on_change
        self._read_table_revision = read_table_revision
        self._make_plan = plan
        self._plan = plan(1)
        self._peer_states = peerstates.PeerStates()
        self._gossiper = gossiper.Gossiper(
            peers=self._peer_states, rng=rng, send=send, plan=self._plan
        )
        self._instance_list: dict[str, ListedInstance] | None = None
        self._superseded = False
        now_s = clock.read_monotonic()
        self._startup = startup.StartupPeriod(
            now_s=now_s, failure_timeout=self._plan.failure_timeout
        )
        self._alive: tuple[str, ...] = (own.instance,)
        self._links: dict[str, str] = {}

    async def run(self) -> None:
        """Gossip until cancelled."""
        while True:
            self.tick()
            await self._clock.sleep(self._plan.interval)

    def tick(self) -> None:
        """Advance the heartbeat, remove silent members and gossip once."""
        now_s = self._observe()
        self._own = self._own._replace(
            heartbeat=self._own.heartbeat + 1,
            table_revision=self._read_table_revision(),
        )
        self._refresh(now_s)
        if not self._superseded:
            self._gossiper.gossip(
                now_s,
                self._own,
                settled=self.is_settled(),
                linked=self._links.keys(),
            )

    def notify_neighbours(self) -> None:
        """Send a heartbeat to all neighbours, as after a new table revision."""
        self._own = self._own._replace(
            table_revision=self._read_table_revision(),
        )
        if not self._superseded:
            self._gossiper.notify_neighbours(
                self._observe(), self._own, settled=self.is_settled()
            )

    def receive(self, heartbeat: messages.Heartbeat) -> None:
        """Merge a heartbeat of another instance."""
        now_s = self._observe()
        was_candidate = self._gossiper.has_candidate(heartbeat.sender)
        changed = False
        for member in heartbeat.members:
            changed |= self._apply_member(member, now_s, heartbeat.sender)
        for digest in heartbeat.digests:
            changed |= self._peer_states.apply_digest(
                digest, now_s, self._plan.failure_timeout
            )
        if changed:
            self._refresh(now_s)
        if self._superseded or was_candidate:
            return
        if self._gossiper.has_candidate(heartbeat.sender):
            self._gossiper.greet_new_member(
                heartbeat.sender, now_s, self._own, settled=self.is_settled()
            )

    def apply_instance_list(
        self, endpoints: abc.Iterable[ListedInstance]
    ) -> None:
        """Replace the platform's list of instances.

        Those without a heartbeat so far are contacted but don't count as alive.
        """
        self._instance_list = {
            listed.instance: listed
            for listed in endpoints
            if listed.instance != self._own.instance
        }
        self._refresh(self._observe())

    def mark_leaving(self) -> None:
        """Notify all members that this instance stops; this is permanent."""
        self._own = self._own._replace(leaving=True)
        self.tick()
        self.notify_neighbours()

    def list_alive(self) -> tuple[str, ...]:
        """Return the sorted names of the members alive and not leaving."""
        return self._alive

    def list_members(self) -> tuple[messages.Member, ...]:
        """Return the recent members, this one first, whether alive or not."""
        now_s = self._clock.read_monotonic()
        return (self._own, *self._list_recent(now_s))

    def get_member(self, instance: str) -> messages.Member | None:
        """Return the newest known state of an instance."""
        if instance == self._own.instance:
            return self._own
        return self._peer_states.get_member(instance)

    def count_instances(self) -> int:
        """Return the number of instances that share the pools.

        This is the number of alive members or of non-terminating instances in
        the platform's list, whichever is larger, including this instance.
        """
        listed = sum(
            not self._is_leaving(entry)
            for entry in self._list_not_terminating()
        )
        own = 0 if self._own.leaving else 1
        return max(len(self._alive), listed + own, 1)

    def is_settled(self) -> bool:
        """Return whether the view is recent enough to allocate on.

        It is not for a failure timeout after the start, unless heartbeats of
        all listed instances arrived sooner. After a pause of the process of
        half a failure timeout it is not until a failure timeout has passed
        since, as peers may have changed their view. It never is again once a
        newer incarnation of this instance was seen.
        """
        now_s = self._clock.read_monotonic()
        late = self._startup.read_lateness(now_s, self._plan.interval)
        if self._superseded:
            return False
        if startup.is_pause(late, self._plan.failure_timeout):
            return False
        if self._startup.is_over(now_s):
            return True
        return self._startup.is_starting(now_s) and self._has_state_of_all()

    def is_superseded(self) -> bool:
        """Return whether a newer process runs under this instance's name."""
        return self._superseded

    def describe(self) -> Description:
        """Return the state for the status page."""
        recent = self.list_members()
        alive = {member.instance for member in self._list_alive_members()}
        leaving = [member.instance for member in recent if member.leaving]
        silent = [
            member.instance
            for member in recent[1:]
            if member.instance not in alive
        ]
        return Description(
            instance=self._own.instance,
            incarnation=self._own.incarnation,
            alive=self._alive,
            leaving=tuple(sorted(leaving)),
            silent=tuple(sorted(silent)),
            known=self.count_instances(),
            settled=self.is_settled(),
            superseded=self._superseded,
        )

    def _list_alive_members(self) -> list[messages.Member]:
        return self._peer_states.list_advanced(
            self._clock.read_monotonic(), self._plan.failure_timeout
        )

    def _list_recent(self, now_s: float) -> list[messages.Member]:
        return self._peer_states.list_advanced(now_s, self._plan.forget_after)

    def _list_not_terminating(self) -> list[ListedInstance]:
        return [
            entry
            for entry in (self._instance_list or {}).values()
            if not entry.terminating
        ]

    def _has_state_of_all(self) -> bool:
        return self._instance_list is not None and all(
            entry.instance in self._peer_states
            for entry in self._list_not_terminating()
        )

    def _is_leaving(self, entry: ListedInstance) -> bool:
        member = self._peer_states.get_member(entry.instance)
        return member is not None and member.leaving

    def _observe(self) -> float:
        """Return the time, after adjusting timeouts for a pause."""
        now_s = self._clock.read_monotonic()
        late = self._startup.observe(
            now_s,
            interval=self._plan.interval,
            failure_timeout=self._plan.failure_timeout,
        )
        if late > self._plan.interval:
            # No heartbeats could be received, so missing ones prove nothing.
            self._peer_states.postpone_timeouts(late.total_seconds())
            self._log_lateness(late)
        return now_s

    def _log_lateness(self, late: datetime.timedelta) -> None:
        logs.write_event(
            _LOGGER,
            'membership_late',
            level=logging.WARNING,
            late_s=f'{late.total_seconds():.1f}',
            settled=self.is_settled(),
        )

    def _apply_member(
        self, member: messages.Member, now_s: float, sender: str
    ) -> bool:
        if member.instance == self._own.instance:
            self._check_incarnation(member, now_s)
            return False
        changed = self._peer_states.apply_member(
            member, now_s, self._plan.failure_timeout
        )
        if member.instance == sender:
            changed |= self._peer_states.note_outdated_sender(member, now_s)
        return changed

    def _check_incarnation(self, member: messages.Member, now_s: float) -> None:
        if member.incarnation <= self._own.incarnation or self._superseded:
            return
        self._superseded = not self._startup.is_starting(now_s)
        if not self._superseded:
            # The wall clock went back across the restart.
            incarnation = member.incarnation + 1
            self._own = self._own._replace(incarnation=incarnation)
        logs.write_event(
            _LOGGER,
            'newer_incarnation_heard',
            level=logging.WARNING,
            incarnation=member.incarnation,
            address=member.address,
            superseded=self._superseded,
        )

    def _refresh(self, now_s: float) -> None:
        self._peer_states.purge(now_s)
        recent = self._list_recent(now_s)
        self._plan = self._make_plan(len(recent) + 1)
        members = self._list_alive_members()
        alive = [member.instance for member in members if not member.leaving]
        if not self._own.leaving:
            alive.append(self._own.instance)
        others = {member.instance for member in members}
        self._gossiper.update(self._own, others, self._plan)
        self._apply_change(
            tuple(sorted(alive)), self._plan_links(now_s, members)
        )

    def _apply_change(
        self, alive: tuple[str, ...], links: dict[str, str]
    ) -> None:
        if alive == self._alive and links == self._links:
            return
        if alive != self._alive:
            logs.write_event(
                _LOGGER,
                'members_changed',
                joined=','.join(sorted(set(alive) - set(self._alive))),
                gone=','.join(sorted(set(self._alive) - set(alive))),
                alive=len(alive),
            )
        self._alive = alive
        self._links = links
        self._on_change(links)

    def _plan_links(
        self, now_s: float, alive: list[messages.Member]
    ) -> dict[str, str]:
        """Return the addresses to link to by instance.

        Alive members use the address in their own heartbeats. For the others,
        the platform's list overrides their last heartbeat. An outdated process
        is linked under its address, which is never an instance's name.
        """
        silent = (
            *self._peer_states.list_lost(now_s, self._plan.forget_after),
            *self._list_recent(now_s),
        )
        links = {member.instance: member.address for member in silent}
        for entry in self._list_not_terminating():
            links[entry.instance] = entry.address
        for member in alive:
            links[member.instance] = member.address
        for outdated in self._peer_states.list_outdated():
            links[outdated.address] = outdated.address
        return links
