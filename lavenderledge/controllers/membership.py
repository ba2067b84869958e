"""Which instances are believed alive, by heartbeat gossip.

Belief is soft: two instances may differ for some seconds. Nothing that must
happen at most once may rest on it.
"""

import logging
import random
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge import logs
from lavenderledge.peers import messages
from lavenderledge.policy import gossip

_PROBE_INTERVAL_S = 2.0
_MAX_PROBES = 8
_MAX_LOST = 64
_REMEMBER_FOR_S = 7200.0
_MAX_LATENESS = 0.5
_MAX_OUTDATED = 16
_TELL_OUTDATED_FOR_S = 5.0
_LOGGER = logging.getLogger(__name__)
_Item = typing.TypeVar('_Item')


class Listed(typing.NamedTuple):
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


class _Outdated(typing.NamedTuple):
    """A process that still gossips under a name that has a newer one."""

    member: messages.Member
    heard_at_s: float


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
        self._rng = rng
        self._send = send
        self._on_change = on_change
        self._read_table_revision = read_table_revision
        self._make_plan = plan
        self._sightings: dict[str, gossip.Sighting] = {}
        self._listed: dict[str, Listed] = {}
        self._outdated: dict[str, _Outdated] = {}
        self._list_known = False
        self._superseded = False
        self._starting = True
        self._plan = plan(1)
        self._observed_at_s = clock.read_monotonic()
        self._settled_at_s = self._observed_at_s + self._read_timeout_s()
        self._probed_at_s = self._observed_at_s - _PROBE_INTERVAL_S
        self._alive: tuple[str, ...] = (own.instance,)
        self._links: dict[str, str] = {}

    async def run(self) -> None:
        """Gossip until cancelled."""
        while True:
            self.beat()
            await self._clock.sleep(self._plan.interval)

    def beat(self) -> None:
        """Advance the own heartbeat, drop silent members and gossip once."""
        now_s = self._observe()
        self._own = self._own._replace(
            heartbeat=self._own.heartbeat + 1,
            table_revision=self._read_table_revision(),
        )
        self._refresh(now_s)
        if not self._superseded:
            self._gossip(now_s)

    def receive(self, heartbeat: messages.Heartbeat) -> None:
        """Merge what another instance believes alive."""
        now_s = self._observe()
        changed = False
        for member in heartbeat.members:
            if member.instance == self._own.instance:
                self._hear_of_self(member, now_s)
            else:
                changed = self._hear(member, now_s) or changed
        self._note_sender(heartbeat, now_s)
        if changed:
            self._refresh(now_s)

    def note_listed(self, endpoints: abc.Iterable[Listed]) -> None:
        """Take the platform's present list; it replaces the last one.

        Those not heard of yet are contacted, but not believed alive.
        """
        self._listed = {
            listed.instance: listed
            for listed in endpoints
            if listed.instance != self._own.instance
        }
        self._list_known = True
        self._refresh(self._observe())

    def is_superseded(self) -> bool:
        """Return whether a newer process has taken this instance's name."""
        return self._superseded

    def mark_leaving(self) -> None:
        """Tell everyone that this instance is stopping; can't be undone."""
        self._own = self._own._replace(leaving=True)
        self.beat()

    def list_alive(self) -> tuple[str, ...]:
        """Return the sorted names of those alive and not leaving."""
        return self._alive

    def list_members(self) -> tuple[messages.Member, ...]:
        """Return every member heard of lately, itself first, alive or not."""
        now_s = self._clock.read_monotonic()
        return (
            self._own,
            *(
                sighting.member
                for sighting in self._sightings.values()
                if not _is_forgotten(sighting, now_s)
            ),
        )

    def get_member(self, instance: str) -> messages.Member | None:
        """Return the newest facts heard of an instance."""
        if instance == self._own.instance:
            return self._own
        sighting = self._sightings.get(instance)
        return None if sighting is None else sighting.member

    def count_known(self) -> int:
        """Return how many instances share the pools.

        That is the larger of those alive and those in the platform's list
        that are not terminating, the own instance included.
        """
        listed = sum(
            not entry.terminating and not self._is_leaving(entry.instance)
            for entry in self._listed.values()
        )
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
        max_late_s = self._read_timeout_s() * _MAX_LATENESS
        if self._superseded or self._read_lateness(now_s) > max_late_s:
            return False
        if now_s >= self._settled_at_s:
            return True
        return self._starting and self._list_known and self._has_heard_all()

    def describe(self) -> Description:
        """Return the state for the status page."""
        now_s = self._clock.read_monotonic()
        heard = self.list_members()
        return Description(
            instance=self._own.instance,
            incarnation=self._own.incarnation,
            alive=self._alive,
            leaving=tuple(
                sorted(each.instance for each in heard if each.leaving)
            ),
            silent=tuple(
                sorted(
                    each.instance
                    for each in heard[1:]
                    if not self._is_alive(each.instance, now_s)
                )
            ),
            known=self.count_known(),
            settled=self.is_settled(),
            superseded=self._superseded,
        )

    def _read_timeout_s(self) -> float:
        return self._plan.failure_timeout.total_seconds()

    def _read_lateness(self, now_s: float) -> float:
        return now_s - self._observed_at_s - self._plan.interval.total_seconds()

    def _is_alive(self, instance: str, now_s: float) -> bool:
        sighting = self._sightings.get(instance)
        if sighting is None:
            return False
        return gossip.is_alive(sighting, now_s, self._plan.failure_timeout)

    def _has_heard_all(self) -> bool:
        return all(
            entry.terminating or entry.instance in self._sightings
            for entry in self._listed.values()
        )

    def _is_leaving(self, instance: str) -> bool:
        sighting = self._sightings.get(instance)
        return sighting is not None and sighting.member.leaving

    def _observe(self) -> float:
        """Return the time, once the silence of a pause is discounted."""
        now_s = self._clock.read_monotonic()
        late_s = self._read_lateness(now_s)
        self._observed_at_s = now_s
        if late_s > self._plan.interval.total_seconds():
            self._discount(late_s)
        if late_s > self._read_timeout_s() * _MAX_LATENESS:
            self._unsettle(now_s, late_s)
        return now_s

    def _discount(self, late_s: float) -> None:
        # Peers could not be heard meanwhile: their silence proves nothing.
        for instance, sighting in self._sightings.items():
            self._sightings[instance] = sighting._replace(
                advanced_at_s=sighting.advanced_at_s + late_s,
            )

    def _unsettle(self, now_s: float, late_s: float) -> None:
        self._starting = False
        self._settled_at_s = now_s + self._read_timeout_s()
        logs.write_event(
            _LOGGER,
            'membership_paused',
            level=logging.WARNING,
            late_s=f'{late_s:.1f}',
        )

    def _hear(self, member: messages.Member, now_s: float) -> bool:
        """Return whether more than the heartbeat changed."""
        old = self._sightings.get(member.instance)
        new = gossip.merge_sighting(old, member, now_s)
        if new is old:
            return False
        alive = self._is_alive(member.instance, now_s)
        self._sightings[member.instance] = new
        return (
            old is None
            or not alive
            or _read_lasting(old.member) != _read_lasting(new.member)
        )

    def _note_sender(self, heartbeat: messages.Heartbeat, now_s: float) -> None:
        """Remember a process whose name a newer one has taken.

        Nobody gossips to its address any more; it is to hear why.
        """
        for member in heartbeat.members[:1]:
            sighting = self._sightings.get(member.instance)
            if (
                sighting is not None
                and member.instance == heartbeat.sender
                and member.incarnation < sighting.member.incarnation
                and member.address != sighting.member.address
                and len(self._outdated) < _MAX_OUTDATED
            ):
                self._outdated[member.address] = _Outdated(member, now_s)

    def _hear_of_self(self, member: messages.Member, now_s: float) -> None:
        if member.incarnation <= self._own.incarnation or self._superseded:
            return
        self._superseded = not self._starting or now_s >= self._settled_at_s
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
        self._purge(now_s)
        alive = [
            instance
            for instance, sighting in self._sightings.items()
            if not sighting.member.leaving and self._is_alive(instance, now_s)
        ]
        if not self._own.leaving:
            alive.append(self._own.instance)
        self._plan = self._make_plan(len(self._list_heard(now_s)) + 1)
        self._announce(tuple(sorted(alive)), self._plan_links(now_s))

    def _purge(self, now_s: float) -> None:
        for instance, sighting in list(self._sightings.items()):
            if now_s - sighting.advanced_at_s >= _REMEMBER_FOR_S:
                self._sightings.pop(instance)
        for address, outdated in list(self._outdated.items()):
            if now_s - outdated.heard_at_s >= _TELL_OUTDATED_FOR_S:
                self._outdated.pop(address)

    def _list_heard(self, now_s: float) -> list[str]:
        return [
            instance
            for instance, sighting in self._sightings.items()
            if not _is_forgotten(sighting, now_s)
        ]

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

    def _plan_links(self, now_s: float) -> dict[str, str]:
        links = {
            entry.instance: entry.address
            for entry in self._listed.values()
            if not entry.terminating
        }
        for instance in self._list_lost(now_s):
            links[instance] = self._sightings[instance].member.address
        for instance in self._list_heard(now_s):
            links[instance] = self._sightings[instance].member.address
        # No instance has an address for a name.
        links.update((address, address) for address in self._outdated)
        return links

    def _list_lost(self, now_s: float) -> list[str]:
        lost = [
            (sighting.advanced_at_s, instance)
            for instance, sighting in self._sightings.items()
            if _is_forgotten(sighting, now_s) and not sighting.member.leaving
        ]
        lost.sort(reverse=True)
        return [instance for _, instance in lost[:_MAX_LOST]]

    def _gossip(self, now_s: float) -> None:
        heard = self._list_heard(now_s)
        targets = self._sample(heard, self._plan.fanout)
        if now_s - self._probed_at_s >= _PROBE_INTERVAL_S:
            self._probed_at_s = now_s
            strangers = sorted(
                self._links.keys() - set(heard) - self._outdated.keys(),
            )
            targets.extend(self._sample(strangers, _MAX_PROBES))
        heartbeat = self._make_heartbeat(now_s)
        for instance in targets:
            self._send(instance, heartbeat)
        for address, outdated in self._outdated.items():
            newer = self._sightings[outdated.member.instance].member
            self._send(
                address,
                messages.Heartbeat(self._own.instance, (self._own, newer)),
            )

    def _make_heartbeat(self, now_s: float) -> messages.Heartbeat:
        members = [self._own]
        if self.is_settled():
            alive = [
                sighting.member
                for instance, sighting in self._sightings.items()
                if self._is_alive(instance, now_s)
            ]
            members.extend(self._sample(alive, self._plan.sample))
        return messages.Heartbeat(self._own.instance, tuple(members))

    def _sample(self, population: list[_Item], count: int) -> list[_Item]:
        return self._rng.sample(population, min(count, len(population)))


def _read_lasting(member: messages.Member) -> tuple[int, bool, str]:
    return (member.incarnation, member.leaving, member.address)


def _is_forgotten(sighting: gossip.Sighting, now_s: float) -> bool:
    age_s = now_s - sighting.advanced_at_s
    return age_s >= gossip.FORGET_AFTER.total_seconds()
