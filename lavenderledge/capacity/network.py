"""Memberships and tables of a simulated fleet, on an in-memory network.

The controllers are the daemon's own. Time is simulated, so that the same seed
gives the same run; processor time is measured.
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

_SAMPLING_INTERVAL: typing.Final = 16
_STEP_S: typing.Final = 0.05
_FIRST_REVISION: typing.Final = 1

Callback: typing.TypeAlias = abc.Callable[[], object]


class Usage(typing.NamedTuple):
    """The fleet's traffic and processor time over some simulated time."""

    elapsed_s: float
    messages: int
    sent_bytes: float
    processor_s: float


class Node:
    """The membership and table of one instance."""

    def __init__(self, *, network: 'Network', number: int) -> None:
        """Start without any known peer."""
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
            on_change=self._set_links,
            read_table_revision=lambda: self.table.revision,
            plan=self._plan_gossip,
        )

    def tick(self) -> None:
        """Gossip once, and repeat after the plan's interval."""
        if self.running:
            self.membership.tick()
            self._network.schedule(self.interval_s, self.tick)

    def set_table_revision(self, revision: int) -> None:
        """Apply a table revision as if read from the key-value service."""
        stored = tables.encode_table(tables.Table((), str(revision)))
        entry = operations.Entry(table.TABLE_KEY, stored, 1, revision)
        self.table.apply_snapshot(operations.Snapshot(revision, (entry,)))

    def receive(self, message: messages.Message) -> None:
        """Handle a message as the daemon does."""
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

    def _plan_gossip(self, members: int) -> gossip.Plan:
        plan = gossip.plan_gossip(members)
        self.interval_s = plan.interval.total_seconds()
        return plan

    def _set_links(self, links: abc.Mapping[str, str]) -> None:
        self.links = dict(links)

    def _send(self, instance: str, message: messages.Message) -> None:
        self._network.send(self, self.links.get(instance), message)


class Network:
    """``size`` instances; messages take ``LATENCY_S`` and none is lost."""

    def __init__(self, *, size: int) -> None:
        """Build the instances without starting them."""
        self.clock = manualclock.ManualClock()
        self.partitioned = False
        self.nodes = [
            Node(network=self, number=number) for number in range(size)
        ]
        self._by_address = {node.address: node for node in self.nodes}
        self._rng = random.Random(size)
        self._events: list[tuple[float, int, Callback]] = []
        self._event_numbers = itertools.count()
        self._messages = 0
        self._sampled_bytes = 0
        self._sampling_s = float(0)

    def start(self, *, introduced: bool) -> None:
        """Start all within one second, with all in the platform's list.

        If ``introduced``, all instances already know each other.
        """
        instance_list = [
            membership.ListedInstance(
                node.name, node.address, terminating=False
            )
            for node in self.nodes
        ]
        members = tuple(
            node.membership.list_members()[0] for node in self.nodes
        )
        for node in self.nodes:
            node.membership.apply_instance_list(instance_list)
            node.set_table_revision(_FIRST_REVISION)
            if introduced:
                node.membership.receive(messages.Heartbeat('', members))
            self.schedule(self._rng.random(), node.tick)

    def schedule(self, delay_s: float, callback: Callback) -> None:
        """Schedule a callback after a delay."""
        event = (
            self.clock.now_s + delay_s,
            next(self._event_numbers),
            callback,
        )
        heapq.heappush(self._events, event)

    def send(
        self, sender: Node, address: str | None, message: messages.Message
    ) -> None:
        """Count a message and deliver it, unless the network is partitioned."""
        self._messages += 1
        if self._messages % _SAMPLING_INTERVAL == 0:
            self._sample(message)
        node = self._by_address.get(address or '')
        if node is None or (self.partitioned and node.region != sender.region):
            return
        self.schedule(LATENCY_S, lambda: self._deliver(node, message))

    def run(self, duration_s: float) -> Usage:
        """Advance the time; return the fleet's usage."""
        self._messages = 0
        self._sampled_bytes = 0
        self._sampling_s = float(0)
        end_s = self.clock.now_s + duration_s
        process_start_s = time.process_time()
        while self._events and self._events[0][0] <= end_s:
            event = heapq.heappop(self._events)
            self.clock.now_s = event[0]
            event[2]()
        self.clock.now_s = end_s
        processor_s = time.process_time() - process_start_s - self._sampling_s
        sent_bytes = self._sampled_bytes * _SAMPLING_INTERVAL
        return Usage(duration_s, self._messages, sent_bytes, processor_s)

    def run_until(
        self, is_done: abc.Callable[[Node], bool], *, timeout_s: float
    ) -> list[float]:
        """Return the seconds until each running instance was done.

        Instances that are not done within the limit are left out.
        """
        start_s = self.clock.now_s
        waiting = [node for node in self.nodes if node.running]
        times_s: list[float] = []
        while waiting and self.clock.now_s - start_s < timeout_s:
            self.run(_STEP_S)
            pending = [node for node in waiting if not is_done(node)]
            elapsed_s = self.clock.now_s - start_s
            done = len(waiting) - len(pending)
            times_s.extend(itertools.repeat(elapsed_s, done))
            waiting = pending
        return times_s

    def _deliver(self, node: Node, message: messages.Message) -> None:
        if node.running:
            node.receive(message)

    def _sample(self, message: messages.Message) -> None:
        process_start_s = time.process_time()
        self._sampled_bytes += len(codec.encode(message).default_value(b''))
        self._sampling_s += time.process_time() - process_start_s


def _read_revision(member: messages.Member) -> int:
    return member.table_revision


def _ignore(event: table.Event) -> None:
    """Count nothing."""
