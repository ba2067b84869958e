"""Selects gossip targets and builds the heartbeats sent to them."""

import random
import typing
from collections import abc

from lavenderledge.controllers import peerstates
from lavenderledge.peers import messages
from lavenderledge.policy import gossip

_PROBE_INTERVAL_S = 2.0
_MAX_PROBES = 8
_NEW_MEMBER_SAMPLE = 64
_Item = typing.TypeVar('_Item')


class Gossiper:
    """Sends the known members' state to some of the members.

    ``own`` is the current member record of this instance. ``settled`` is
    whether the state of other members may be sent. Times are seconds on the
    local monotonic clock.
    """

    def __init__(
        self,
        *,
        peers: peerstates.PeerStates,
        rng: random.Random,
        send: abc.Callable[[str, messages.Message], object],
        plan: gossip.Plan,
    ) -> None:
        """Start without neighbours."""
        self._peers = peers
        self._rng = rng
        self._send = send
        self._plan = plan
        self._candidates: set[str] = set()
        self._neighbours: tuple[str, ...] = ()
        self._probe_at_s = float('-inf')

    def update(
        self, own: messages.Member, alive: set[str], plan: gossip.Plan
    ) -> None:
        """Set the other members that are alive, and the gossip plan."""
        self._plan = plan
        if alive != self._candidates:
            self._candidates = alive
            self._neighbours = gossip.pick_neighbours(
                own.instance, alive, plan.neighbours
            )

    def has_candidate(self, instance: str) -> bool:
        """Return whether the instance was alive at the last update."""
        return instance in self._candidates

    def gossip(
        self,
        now_s: float,
        own: messages.Member,
        *,
        settled: bool,
        linked: abc.Set[str],
    ) -> None:
        """Send one round; at intervals also to linked silent instances."""
        targets = self._sample(self._neighbours, self._plan.fanout)
        if now_s >= self._probe_at_s:
            self._probe_at_s = now_s + _PROBE_INTERVAL_S
            silent = sorted(linked - self._candidates)
            targets.extend(self._sample(silent, _MAX_PROBES))
        self._send_to_all(targets, now_s, own, settled)
        for outdated in self._peers.list_outdated():
            newest = self._peers.get_member(outdated.instance)
            if newest is not None:
                heartbeat = messages.Heartbeat(own.instance, (own, newest))
                self._send(outdated.address, heartbeat)

    def notify_neighbours(
        self, now_s: float, own: messages.Member, *, settled: bool
    ) -> None:
        """Send to all neighbours at once."""
        self._send_to_all(self._neighbours, now_s, own, settled)

    def greet_new_member(
        self,
        instance: str,
        now_s: float,
        own: messages.Member,
        *,
        settled: bool,
    ) -> None:
        """Send a large sample of the members to a new member at once.

        No member has it as a neighbour yet.
        """
        heartbeat = messages.Heartbeat(own.instance, (own,))
        if settled:
            heartbeat = self._build_heartbeat(now_s, own, _NEW_MEMBER_SAMPLE)
        self._send(instance, heartbeat)

    def _send_to_all(
        self,
        targets: abc.Iterable[str],
        now_s: float,
        own: messages.Member,
        settled: bool,
    ) -> None:
        heartbeat = messages.Heartbeat(own.instance, (own,))
        if settled:
            heartbeat = self._build_heartbeat(now_s, own, self._plan.sample)
        for instance in targets:
            self._send(instance, heartbeat)

    def _build_heartbeat(
        self, now_s: float, own: messages.Member, sample: int
    ) -> messages.Heartbeat:
        alive = self._peers.list_changed(now_s, self._plan.failure_timeout)
        recent = alive[: sample // 2]
        others = self._sample(alive[len(recent) :], sample - len(recent))
        members = (own, *recent, *others)
        if not self._plan.has_digests:
            return messages.Heartbeat(own.instance, members)
        digests = [self._peers.build_digest(member) for member in (own, *alive)]
        return messages.Heartbeat(own.instance, members, tuple(digests))

    def _sample(
        self, population: abc.Sequence[_Item], count: int
    ) -> list[_Item]:
        return self._rng.sample(population, min(count, len(population)))
