"""Memberships and tables of a simulated fleet, on a network in memory.

The controllers are the daemon's own; time is moved by hand, so that the same
seed gives the same run. Processor time is what the run really took.
"""

import heapq
import itertools
import random
import time
import typing
from collections import abc

from lavenderledge.capacity import manualclock, samples
from lavenderledge.controllers import membership, table
from lavenderledge.peers import codec, messages
from lavenderledge.policy import gossip
from lavenderledge.policy import table as tables
from lavenderledge.registry import operations

LATENCY_S: typing.Final = 0.005

_SAMPLED: typing.Final = 16
_STEP_S: typing.Final = 0.05
_FIRST_REVISION: typing.Final = 1

Act: typing.TypeAlias = abc.Callable[[], object]


class Usage(typing.NamedTuple):
    """What the whole fleet sent and spent in some simulated time."""

    elapsed_s: float
    messages: int
    sent_bytes: float
    processor_s: float


class Node:
    """One instance's membership and table."""

    def __init__(self, *, network: 'Network', number: int) -> None:
        """Start without having heard of anybody."""
        self.name = f'lavenderledge-{number}'
        self.address = f'{samples.make_address(number)}:7400'
        self.region = number % 2
        self.running = True
        self.interval_s = float(1)
        self.links: dict[str, str] = {}
        self._network = network
        self.table = table.TableController(
            instance=self.name,
            clock=network.clock,
            on_change=lambda in_force: self.membership.notify_neighbours(),
            send_to=self._send,
            count=_ignore,
        )
        self.membership = membership.Membership(
            own=self._make_member(),
            clock=network.clock,
            rng=random.Random(self.name),
            send=self._send,
            on_change=self._relink,
            read_table_revision=lambda: self.table.revision,
            plan=self._plan,
        )

    def beat(self) -> None:
        """Gossip once, and again after the plan's interval."""
        if self.running:
            self.membership.tick()
            self._network.schedule(self.interval_s, self.beat)

    def take_table(self, revision: int) -> None:
        """Take a revision of the table as from the key-value service."""
        stored = tables.encode_table(tables.Table((), str(revision)))
        entry = operations.Entry(table.TABLE_KEY, stored, 1, revision)
        self.table.apply_snapshot(operations.Snapshot(revision, (entry,)))

    def receive(self, message: messages.Message) -> None:
        """Take a message as the daemon does."""
        match message:
            case messages.Heartbeat():
                self.membership.receive(message)
                newest = max(message.members, key=_read_revision)
                self.table.note_peer_revision(
                    newest.instance, newest.table_revision
                )
            case messages.TableRequest():
                self.table.answer_request(message)
            case messages.TableCopy():
                self.table.accept_copy(message)

    def _make_member(self) -> messages.Member:
        return messages.Member(
            self.name, samples.INCARNATION, 0, False, 'addis-a', self.address, 0
        )

    def _plan(self, members: int) -> gossip.Plan:
        plan = gossip.plan_gossip(members)
        self.interval_s = plan.interval.total_seconds()
        return plan

    def _relink(self, links: abc.Mapping[str, str]) -> None:
        self.links = dict(links)

    def _send(self, instance: str, message: messages.Message) -> None:
        self._network.send(self, self.links.get(instance), message)


class Network:
    """So many instances; messages take ``LATENCY_S``, none is lost."""

    def __init__(self, *, size: int) -> None:
        """Build the instances; none has started."""
        self.clock = manualclock.ManualClock()
        self.cut = False
        self.nodes = [Node(network=self, number=each) for each in range(size)]
        self._by_address = {node.address: node for node in self.nodes}
        self._rng = random.Random(size)
        self._due: list[tuple[float, int, Act]] = []
        self._order = itertools.count()
        self._messages = 0
        self._sampled_bytes = 0
        self._sampling_s = float(0)

    def start(self, *, introduced: bool) -> None:
        """Start all within a second, with all in the platform's list.

        Where ``introduced``, everyone has already heard of everyone.
        """
        listed = [
            membership.ListedInstance(
                node.name, node.address, terminating=False
            )
            for node in self.nodes
        ]
        members = tuple(
            node.membership.list_members()[0] for node in self.nodes
        )
        for node in self.nodes:
            node.membership.apply_instance_list(listed)
            node.take_table(_FIRST_REVISION)
            if introduced:
                node.membership.receive(messages.Heartbeat('', members))
            self.schedule(self._rng.random(), node.beat)

    def schedule(self, delay_s: float, act: Act) -> None:
        """Do something after a delay."""
        due = (self.clock.now_s + delay_s, next(self._order), act)
        heapq.heappush(self._due, due)

    def send(
        self, sender: Node, address: str | None, message: messages.Message
    ) -> None:
        """Count a message and deliver it, unless the way is cut."""
        self._messages += 1
        if self._messages % _SAMPLED == 0:
            self._sample(message)
        node = self._by_address.get(address or '')
        if node is None or (self.cut and node.region != sender.region):
            return
        self.schedule(LATENCY_S, lambda: self._deliver(node, message))

    def run(self, duration_s: float) -> Usage:
        """Let time pass; return what the fleet did in it."""
        self._messages = 0
        self._sampled_bytes = 0
        self._sampling_s = float(0)
        end_s = self.clock.now_s + duration_s
        begin_s = time.process_time()
        while self._due and self._due[0][0] <= end_s:
            due = heapq.heappop(self._due)
            self.clock.now_s = due[0]
            due[2]()
        self.clock.now_s = end_s
        spent_s = time.process_time() - begin_s - self._sampling_s
        sent_bytes = self._sampled_bytes * _SAMPLED
        return Usage(duration_s, self._messages, sent_bytes, spent_s)

    def run_until(
        self, is_done: abc.Callable[[Node], bool], *, limit_s: float
    ) -> list[float]:
        """Return the seconds until each running instance was done.

        One that was not done by the limit is left out.
        """
        began_s = self.clock.now_s
        waiting = [node for node in self.nodes if node.running]
        found: list[float] = []
        while waiting and self.clock.now_s - began_s < limit_s:
            self.run(_STEP_S)
            left = [node for node in waiting if not is_done(node)]
            elapsed_s = self.clock.now_s - began_s
            done = len(waiting) - len(left)
            found.extend(itertools.repeat(elapsed_s, done))
            waiting = left
        return found

    def _deliver(self, node: Node, message: messages.Message) -> None:
        if node.running:
            node.receive(message)

    def _sample(self, message: messages.Message) -> None:
        begin_s = time.process_time()
        self._sampled_bytes += len(codec.encode(message).default_value(b''))
        self._sampling_s += time.process_time() - begin_s


def _read_revision(member: messages.Member) -> int:
    return member.table_revision


def _ignore(event: table.Event) -> None:
    """Count nothing."""
