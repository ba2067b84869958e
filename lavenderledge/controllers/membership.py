"""Which instances are believed alive, by heartbeat gossip.

Belief is soft: two instances may differ for some seconds. Nothing that must
happen at most once may rest on it.
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
    """An instance of ours in the platform's lagging list."""

    instance: str
    address: str
    terminating: bool


class Description(typing.TypedDict):
    """The membership as the status page shows it."""

    instance: str
    incarnation: int
    alive: tuple[str, ...]
    leaving: tuple[str, ...]
    silent: tuple[str, ...]
    known: int
    settled: bool
    superseded: bool


class Membership:
    """The members of the fleet as one instance believes them to be.

    ``send(instance, message)`` never blocks. ``on_change(addresses)`` gets
    the ``host:port`` by instance that links are wanted to, after each change
    of these or of the members alive.
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
        """Start with nobody but the own instance."""
        self._own = own
        self._clock = clock
        self._on_change = on_change
        self._read_table_revision = read_table_revision
        self._make_plan = plan
        self._plan = plan(1)
        self._sightings = peerstates.PeerStates()
        self._gossiper = gossiper.Gossiper(
            peers=self._sightings, rng=rng, send=send, plan=self._plan
        )
        self._listed: dict[str, ListedInstance] | None = None
        self._superseded = False
        now_s = clock.read_monotonic()
        self._settling = startup.StartupPeriod(
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
        """Advance the own heartbeat, drop silent members and gossip once."""
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
        """Gossip at once, as after a new table revision."""
        self._own = self._own._replace(
            table_revision=self._read_table_revision(),
        )
        if not self._superseded:
            self._gossiper.notify_neighbours(
                self._observe(), self._own, settled=self.is_settled()
            )

    def receive(self, heartbeat: messages.Heartbeat) -> None:
        """Merge what another instance believes alive."""
        now_s = self._observe()
        known = self._gossiper.has_candidate(heartbeat.sender)
        changed = False
        for member in heartbeat.members:
            changed |= self._hear(member, now_s, heartbeat.sender)
        for pulse in heartbeat.digests:
            changed |= self._sightings.apply_digest(
                pulse, now_s, self._plan.failure_timeout
            )
        if changed:
            self._refresh(now_s)
        if self._superseded or known:
            return
        if self._gossiper.has_candidate(heartbeat.sender):
            self._gossiper.greet_new_member(
                heartbeat.sender, now_s, self._own, settled=self.is_settled()
            )

    def apply_instance_list(
        self, endpoints: abc.Iterable[ListedInstance]
    ) -> None:
        """Take the platform's present list; it replaces the last one.

        Those not heard of yet are contacted, but not believed alive.
        """
        self._listed = {
            listed.instance: listed
            for listed in endpoints
            if listed.instance != self._own.instance
        }
        self._refresh(self._observe())

    def mark_leaving(self) -> None:
        """Tell everyone that this instance is stopping; can't be undone."""
        self._own = self._own._replace(leaving=True)
        self.tick()
        self.notify_neighbours()

    def list_alive(self) -> tuple[str, ...]:
        """Return the sorted names of those alive and not leaving."""
        return self._alive

    def list_members(self) -> tuple[messages.Member, ...]:
        """Return every member heard of lately, itself first, alive or not."""
        now_s = self._clock.read_monotonic()
        return (self._own, *self._list_heard(now_s))

    def get_member(self, instance: str) -> messages.Member | None:
        """Return the newest facts heard of an instance."""
        if instance == self._own.instance:
            return self._own
        return self._sightings.get_member(instance)

    def count_instances(self) -> int:
        """Return how many instances share the pools.

        That is the larger of those alive and those in the platform's list
        that are not terminating, the own instance included.
        """
        listed = sum(not self._is_leaving(each) for each in self._list_listed())
        own = 0 if self._own.leaving else 1
        return max(len(self._alive), listed + own, 1)

    def is_settled(self) -> bool:
        """Return whether the belief is fresh enough to allocate on.

        It is not for a failure timeout after the start, unless everyone in
        the platform's list was heard of sooner. It is not while the process
        has been paused for half a failure timeout, nor for a failure timeout
        afterwards: peers have moved on, and are listened to first. It never
        is again once a newer incarnation of this instance was heard of.
        """
        now_s = self._clock.read_monotonic()
        late = self._settling.read_lateness(now_s, self._plan.interval)
        if self._superseded:
            return False
        if startup.is_pause(late, self._plan.failure_timeout):
            return False
        if self._settling.is_over(now_s):
            return True
        return self._settling.is_starting(now_s) and self._has_heard_all()

    def is_superseded(self) -> bool:
        """Return whether a newer process has taken this instance's name."""
        return self._superseded

    def describe(self) -> Description:
        """Return the state for the status page."""
        heard = self.list_members()
        alive = {each.instance for each in self._list_alive_members()}
        leaving = [each.instance for each in heard if each.leaving]
        silent = [
            each.instance for each in heard[1:] if each.instance not in alive
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
        return self._sightings.list_advanced(
            self._clock.read_monotonic(), self._plan.failure_timeout
        )

    def _list_heard(self, now_s: float) -> list[messages.Member]:
        return self._sightings.list_advanced(now_s, self._plan.forget_after)

    def _list_listed(self) -> list[ListedInstance]:
        return [
            entry
            for entry in (self._listed or {}).values()
            if not entry.terminating
        ]

    def _has_heard_all(self) -> bool:
        return self._listed is not None and all(
            entry.instance in self._sightings for entry in self._list_listed()
        )

    def _is_leaving(self, entry: ListedInstance) -> bool:
        member = self._sightings.get_member(entry.instance)
        return member is not None and member.leaving

    def _observe(self) -> float:
        """Return the time, once the silence of a pause is discounted."""
        now_s = self._clock.read_monotonic()
        late = self._settling.observe(
            now_s,
            interval=self._plan.interval,
            failure_timeout=self._plan.failure_timeout,
        )
        if late > self._plan.interval:
            # Peers could not be heard meanwhile: silence proves nothing.
            self._sightings.postpone_timeouts(late.total_seconds())
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

    def _hear(self, member: messages.Member, now_s: float, sender: str) -> bool:
        if member.instance == self._own.instance:
            self._hear_of_self(member, now_s)
            return False
        changed = self._sightings.apply_member(
            member, now_s, self._plan.failure_timeout
        )
        if member.instance == sender:
            changed |= self._sightings.note_outdated_sender(member, now_s)
        return changed

    def _hear_of_self(self, member: messages.Member, now_s: float) -> None:
        if member.incarnation <= self._own.incarnation or self._superseded:
            return
        self._superseded = not self._settling.is_starting(now_s)
        if not self._superseded:
            # The wall clock went back over the restart.
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
        self._sightings.purge(now_s)
        heard = self._list_heard(now_s)
        self._plan = self._make_plan(len(heard) + 1)
        members = self._list_alive_members()
        alive = [each.instance for each in members if not each.leaving]
        if not self._own.leaving:
            alive.append(self._own.instance)
        others = {each.instance for each in members}
        self._gossiper.update(self._own, others, self._plan)
        self._announce(tuple(sorted(alive)), self._plan_links(now_s, members))

    def _announce(self, alive: tuple[str, ...], links: dict[str, str]) -> None:
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
        """Return the addresses by name.

        Those alive are where they said; the platform's list knows better
        than the last words of the others. An outdated process is linked
        under its address, which no instance has for a name.
        """
        silent = (
            *self._sightings.list_lost(now_s, self._plan.forget_after),
            *self._list_heard(now_s),
        )
        links = {member.instance: member.address for member in silent}
        for entry in self._list_listed():
            links[entry.instance] = entry.address
        for member in alive:
            links[member.instance] = member.address
        for outdated in self._sightings.list_outdated():
            links[outdated.address] = outdated.address
        return links
