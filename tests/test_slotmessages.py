"""State machine: slots are requested and released while instances fail."""

import asyncio

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from lavenderledge.controllers import (
    registration,
    slotallocator,
    slotrequester,
)
from lavenderledge.peers import slotmessages as messages
from lavenderledge.policy import (
    rendezvous,
    routes,
    slots,
    tokenbuckets,
    upstreamnotices,
)
from tests import serving

NAMES = ('a', 'b', 'c')
SLOTS = 2
INFOS = tuple(
    slots.ReplicaInfo(f'i-{number}', 'model', f'h:{number}', 'z', SLOTS, 0)
    for number in range(2)
)
AGES = st.sampled_from((0.2, 5.0))


class Node:
    """An instance's requester and allocator on the machine's network."""

    def __init__(self, name, incarnation, machine):
        self.name = name
        self.incarnation = incarnation
        self.machine = machine
        self.age_s = 0.2
        self.known = []
        self.round_trips = []
        self.peer_addresses = set()
        self.running = {}
        self.waiting = {}
        self.notices = upstreamnotices.NoticeBoard()
        self.requester = slotrequester.SlotRequester(
            instance=name,
            address=f'{name}:1',
            own_state=slotrequester.OwnState(
                read_incarnation=lambda: incarnation,
                read_version=lambda: 1,
                notices=self.notices,
                list_spendings=lambda: self.allocator.list_spendings(),
                quota_window_s=8,
            ),
            clock=machine.clock,
            send=self.send,
            rank_allocators=lambda: machine.ranked,
            callbacks=slotrequester.Callbacks(
                lambda before, after: None,
                lambda version, confirmed_s: self.known.append(confirmed_s),
                self.round_trips.append,
                lambda peer: None,
                lambda peer: None,
                lambda replica, notice: None,
                lambda update, confirmed_s: None,
                lambda request_id: None,
            ),
        )
        self.allocator = slotallocator.SlotAllocator(
            instance=name,
            clock=machine.clock,
            send=self.send,
            state_reader=slotallocator.StateReader(
                list_replicas=lambda: INFOS,
                find_quota=lambda customer: None,
                read_freshness=lambda: slotallocator.Freshness(
                    1, self.age_s, self.age_s
                ),
                is_catching_up=lambda: False,
                note_version=lambda version: None,
                notices=self.notices,
                build_update=lambda version: None,
            ),
            count_alive=lambda: len(machine.ranked),
            tolerance=tokenbuckets.Tolerance(8, 0, 0),
            on_peer_address=lambda sender, address: self.peer_addresses.add(
                (sender, address)
            ),
            read_incarnation=lambda: incarnation,
        )

    def send(self, to, message):
        self.machine.network.append((self.name, to, message))

    def receive(self, message):
        if isinstance(
            message, messages.Ask | messages.Release | messages.Report
        ):
            self.allocator.receive(message)
        else:
            self.requester.receive(message)


class Machine(stateful.RuleBasedStateMachine):
    """Links lose messages; nodes restart, pause and resume."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.clock = serving.ManualClock()
        self.network = []
        self.cut = set()
        self.paused = set()
        self.lost_kinds = ()
        self.ranked = tuple(rendezvous.rank('slots', NAMES))
        self.count = 0
        self.nodes = {name: Node(name, 1, self) for name in NAMES}
        self.decisions = {}

    def teardown(self):
        for node in self.nodes.values():
            for task in node.waiting.values():
                task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        self.loop.close()

    def turn(self):
        """Deliver pending messages and settle finished requests."""
        self.loop.run_until_complete(self.deliver())
        for node in self.nodes.values():
            for request_id, task in tuple(node.waiting.items()):
                if task.done():
                    node.waiting.pop(request_id)
                    self.settle(node, request_id, task.result())

    async def deliver(self):
        for _ in range(6):
            await asyncio.sleep(0)
            sent_messages, self.network = self.network, []
            for sender, to, message in sent_messages:
                is_lost = frozenset((sender, to)) in self.cut
                if isinstance(message, self.lost_kinds):
                    continue
                if is_lost or to in self.paused or sender in self.paused:
                    continue
                self.nodes[to].receive(message)

    def settle(self, node, request_id, decision):
        assert request_id not in self.decisions
        self.decisions[request_id] = decision
        if decision.is_ok():
            assert decision.ok.address == f'h:{decision.ok.replica[2:]}'
            node.running[request_id] = decision.ok.replica

    @stateful.rule(name=st.sampled_from(NAMES), tier=st.integers(0, 2))
    def ask(self, name, tier):
        if name in self.paused:
            return
        self.count += 1
        request_id = f'{name}-{self.count}'
        spec = messages.RequestSpec(
            request_id, 'model', 'dealer', tier, 100, 0.5, 4, 0
        )
        node = self.nodes[name]
        node.waiting[request_id] = self.loop.create_task(
            node.requester.acquire(spec)
        )
        self.turn()

    @stateful.rule(name=st.sampled_from(NAMES))
    def end(self, name):
        node = self.nodes[name]
        if name in self.paused or not node.running:
            return
        request_id = next(iter(node.running))
        node.running.pop(request_id)
        reading = messages.Reading(slotallocator.ANSWERED, 0.1, 0)
        node.requester.release(request_id, reading=reading)
        self.turn()

    @stateful.rule(name=st.sampled_from(NAMES))
    def leave(self, name):
        node = self.nodes[name]
        if name not in self.paused and node.waiting:
            node.waiting.pop(next(iter(node.waiting))).cancel()
            self.turn()

    @stateful.rule(seconds=st.floats(0.05, 1))
    def pass_time(self, seconds):
        remaining_s = seconds
        while remaining_s > 0:
            self.clock.now_s += 0.05
            remaining_s -= 0.05
            for name, node in self.nodes.items():
                if name not in self.paused:
                    node.allocator.tick()
                    node.requester.tick()
            self.turn()
        for node in self.nodes.values():
            if node.name not in self.paused:
                node.requester.tick()
                self.check_allocator(node.requester)
        self.turn()

    def check_allocator(self, requester):
        """Stale allocators are used only if all that answer are stale."""
        answering = set(self.ranked) - requester._suspect_until_s.keys()
        followers = answering & set(self.ranked[: slotrequester.FOLLOWER_COUNT])
        if (
            requester.allocator
            in requester._stale_confirmed_s.keys() & answering
        ):
            assert followers <= requester._stale_confirmed_s.keys()

    @stateful.rule(pair=st.sampled_from((('a', 'b'), ('a', 'c'), ('b', 'c'))))
    def cut_link(self, pair):
        self.cut.symmetric_difference_update((frozenset(pair),))

    @stateful.rule(name=st.sampled_from(NAMES))
    def pause(self, name):
        if name in self.paused:
            self.paused.discard(name)
        elif not self.paused:
            self.paused.add(name)

    @stateful.rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        old = self.nodes[name]
        for task in old.waiting.values():
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.network = [sent for sent in self.network if sent[0] != name]
        self.paused.discard(name)
        self.nodes[name] = Node(name, old.incarnation + 1, self)
        self.turn()

    @stateful.rule(name=st.sampled_from(NAMES), age_s=AGES)
    def change_age(self, name, age_s):
        self.nodes[name].age_s = age_s

    @stateful.invariant()
    def held_counts_match_the_held_slots(self):
        for node in self.nodes.values():
            for service in node.allocator.slot_state.services.values():
                for replica in service.replicas.values():
                    names = [
                        slot.replica
                        for slot in (
                            node.allocator.slot_state.held_slots.values()
                        )
                    ]
                    assert replica.held == names.count(replica.info.name)
                    assert replica.held_tokens == 100 * replica.held

    @stateful.invariant()
    def received_confirmations_are_not_in_the_future(self):
        for node in self.nodes.values():
            min_age_s = min(peer.age_s for peer in self.nodes.values())
            assert all(
                confirmed_s <= self.clock.now_s for confirmed_s in node.known
            )
            node.known.clear()
            assert min_age_s > 0

    @stateful.rule()
    def heal(self):
        """Once all links work, requests are settled and slots are freed."""
        self.cut.clear()
        self.paused.clear()
        for _ in range(12):
            self.pass_time(0.5)
            for name in NAMES:
                while self.nodes[name].running:
                    self.end(name)
        assert not any(node.waiting for node in self.nodes.values())
        self.pass_time(1)
        for node in self.nodes.values():
            assert not node.allocator.slot_state.held_slots


Machine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
TestSlotMessages = Machine.TestCase


def test_instances_with_more_cores_allocate_first():
    members = [
        registration.Member(f'entry-{number}', '', 0.5 if number % 2 else 2)
        for number in range(9)
    ]
    ranked = registration.rank_members(members)
    faster = [f'entry-{number}' for number in range(0, 9, 2)]
    assert sorted(ranked[:5]) == faster
    assert list(ranked[:5]) == rendezvous.rank('slots', faster)


def test_a_beat_that_arrives_late_does_not_make_a_list_look_recent():
    machine = Machine()
    try:
        node = machine.nodes[machine.ranked[1]]
        first = machine.ranked[0]
        sent_s = machine.clock.now_s
        machine.clock.now_s += 4
        beat = messages.Beat(first, sent_s, 1, 0.2, 0.2)
        node.requester.receive(beat)
        node.requester.tick()
        assert node.requester.allocator != first
        node.requester.receive(beat._replace(stamp_s=machine.clock.now_s))
        node.requester.tick()
        assert node.requester.allocator == first
    finally:
        machine.teardown()


def test_a_grant_that_is_read_after_a_pause_is_not_used():
    """Meanwhile the allocator may have granted the slot to another one."""
    machine = Machine()
    try:
        node = machine.nodes[machine.ranked[1]]
        first = machine.ranked[0]
        machine.ask(node.name, 0)
        node.running.clear()
        request_id = f'{node.name}-1'
        sent_s = machine.clock.now_s
        node.requester.release(request_id)
        machine.turn()
        spec = messages.RequestSpec(
            'late', 'model', 'dealer', 0, 100, 0.5, 9, 0
        )
        waiting = machine.loop.create_task(node.requester.acquire(spec))
        machine.loop.run_until_complete(asyncio.sleep(0))
        machine.network.clear()
        machine.clock.now_s += slotallocator.REPORT_TIMEOUT_S + 0.1
        node.requester.receive(
            messages.Grant(first, 'late', 'i-0', 'h:0', sent_s, 0.2)
        )
        machine.loop.run_until_complete(asyncio.sleep(0))
        assert not waiting.done()
        sent = [message for _, to, message in machine.network if to == first]
        assert [type(message) for message in sent] == [
            messages.Release,
            messages.Ask,
        ]
        machine.turn()
        assert waiting.done()
    finally:
        machine.teardown()


def test_a_request_that_is_refused_while_it_waits_costs_no_quota():
    machine = Machine()
    try:
        node = machine.nodes[machine.ranked[0]]
        allocator = node.allocator
        allocator._state_reader = allocator._state_reader._replace(
            find_quota=lambda customer: routes.Quota(rate=1, burst=100)
        )
        for _ in range(len(INFOS) * SLOTS):
            machine.ask(node.name, 0)
        spec = messages.RequestSpec(
            'waits', 'model', 'dealer', 0, 100, 0.5, 1, 60
        )
        refusals = []
        for request_id in ('waits', 'comes later'):
            asked = machine.loop.create_task(
                node.requester.acquire(spec._replace(request_id=request_id))
            )
            machine.turn()
            machine.pass_time(1.2)
            assert asked.done()
            refusals.append(asked.result().error.reason)
        # Both had their 60 of 100, and ran out of time; at 1 a second, the
        # second would not have fitted beside the first.
        assert 'quota' not in refusals
    finally:
        machine.teardown()


@pytest.fixture
def machine():
    running = Machine()
    yield running
    running.teardown()


PAUSE_S = 0.3


def start_asking(machine, node, request_id, *, cost=0):
    spec = messages.RequestSpec(
        request_id, 'model', 'dealer', 0, 100, 3, 4, cost
    )
    asked = machine.loop.create_task(node.requester.acquire(spec))
    machine.turn()
    return asked


def ask_during_a_pause(machine, node, request_id, *, cost=0):
    """Fill all slots, and ask while the first replica wants no requests."""
    machine.pass_time(slotrequester.REPORT_INTERVAL_S)
    for _ in range(len(INFOS) * SLOTS):
        machine.ask(node.name, 0)
    node.requester.note_notice(
        upstreamnotices.Upstream(INFOS[0].name, 0),
        upstreamnotices.Notice(None, False, True, PAUSE_S),
    )
    return start_asking(machine, node, request_id, cost=cost)


def test_a_waiting_request_keeps_its_place_when_a_pause_ends(machine):
    node, other = (machine.nodes[name] for name in machine.ranked[:2])
    first = ask_during_a_pause(machine, node, 'first')
    second = start_asking(machine, other, 'second')
    machine.pass_time(PAUSE_S + 0.1)
    machine.end(node.name)
    assert first.done()
    assert not second.done()
    second.cancel()


def test_a_waiting_request_is_not_refused_for_quota_when_a_pause_ends(machine):
    node, other = (machine.nodes[name] for name in machine.ranked[:2])
    allocator = node.allocator
    allocator._state_reader = allocator._state_reader._replace(
        find_quota=lambda customer: routes.Quota(rate=1, burst=100)
    )
    first = ask_during_a_pause(machine, node, 'first', cost=60)
    refused = start_asking(machine, other, 'refused', cost=60)
    assert refused.result().error.reason == 'quota'
    machine.clock.now_s += PAUSE_S
    node.requester.tick()
    # The other instance's request arrives between the messages of this one.
    renewed = machine.network
    (asked_at,) = (
        number
        for number, (_, _, message) in enumerate(renewed)
        if isinstance(message, messages.Ask)
    )
    machine.network = renewed[:asked_at]
    second = start_asking(machine, other, 'second', cost=60)
    machine.network = renewed[asked_at:]
    machine.turn()
    machine.end(node.name)
    assert first.result().is_ok()
    assert second.result().error.reason == 'quota'


def test_a_pause_that_ends_is_known_to_the_allocator(machine):
    """A waiting request may then get the replica that had paused."""
    node = machine.nodes[machine.ranked[0]]
    waiting = ask_during_a_pause(machine, node, 'first')
    paused = [
        request_id
        for request_id, replica in node.running.items()
        if replica == INFOS[0].name
    ]
    node.running.pop(paused[0])
    node.requester.release(paused[0])
    machine.turn()
    assert not waiting.done()
    machine.pass_time(PAUSE_S + 0.1)
    assert waiting.result().ok.replica == INFOS[0].name


def test_a_request_whose_grant_lapsed_is_not_charged_again(machine):
    node = machine.nodes[machine.ranked[1]]
    allocator = machine.nodes[machine.ranked[0]].allocator
    allocator._state_reader = allocator._state_reader._replace(
        find_quota=lambda customer: routes.Quota(rate=1, burst=100)
    )
    machine.pass_time(slotrequester.REPORT_INTERVAL_S)

    async def grant():
        asked = asyncio.create_task(
            node.requester.acquire(
                messages.RequestSpec(
                    'late', 'model', 'dealer', 0, 100, 9, 9, 60
                )
            )
        )
        await asyncio.sleep(0)
        ((_, _, ask),) = machine.network
        machine.network.clear()
        allocator.receive(ask)
        await asyncio.sleep(0)
        return asked

    asked = machine.loop.run_until_complete(grant())
    machine.clock.now_s += slotallocator.REPORT_TIMEOUT_S + 0.1
    machine.turn()
    assert asked.result().is_ok()


QUOTA = routes.Quota(rate=1, burst=100)


def limit(machine):
    for node in machine.nodes.values():
        allocator = node.allocator
        allocator._state_reader = allocator._state_reader._replace(
            find_quota=lambda customer: QUOTA
        )


def ask_with_loss(machine, node, lost, *, cost):
    """Ask while such messages are lost; others still arrive."""
    machine.pass_time(slotrequester.REPORT_INTERVAL_S)
    machine.lost_kinds = (lost,)
    asked = start_asking(machine, node, 'asked', cost=cost)
    machine.lost_kinds = ()
    node.requester._report(machine.clock.now_s)
    machine.turn()
    machine.pass_time(2 * slotrequester.REPORT_INTERVAL_S)
    return asked


@pytest.mark.parametrize('lost', [messages.Ask, messages.Grant])
def test_a_request_is_granted_though_a_message_is_lost(machine, lost):
    allocating, node = (machine.nodes[name] for name in machine.ranked[:2])
    limit(machine)
    asked = ask_with_loss(machine, node, lost, cost=60)
    # The rest of the quota is left: it was charged once.
    other = start_asking(machine, node, 'other', cost=40)
    assert asked.done()
    assert asked.result().is_ok()
    assert other.result().is_ok()
    assert len(allocating.allocator.slot_state.held_slots) == 2


@pytest.mark.parametrize('lost', [messages.Ask, messages.Refusal])
def test_a_request_is_refused_though_a_message_is_lost(machine, lost):
    limit(machine)
    node = machine.nodes[machine.ranked[1]]
    machine.pass_time(2 * slotrequester.REPORT_INTERVAL_S)
    first = start_asking(machine, node, 'first', cost=60)
    asked = ask_with_loss(machine, node, lost, cost=60)
    assert first.result().is_ok()
    assert asked.done()
    assert asked.result().error.reason == 'quota'


def fill(machine, node):
    machine.pass_time(slotrequester.REPORT_INTERVAL_S)
    for _ in range(len(INFOS) * SLOTS):
        machine.ask(node.name, 0)


def test_a_request_waits_on_if_its_message_overtakes_a_report(machine):
    node = machine.nodes[machine.ranked[1]]
    fill(machine, node)
    node.requester._report(machine.clock.now_s)
    earlier = machine.network
    machine.network = []
    asked = start_asking(machine, node, 'asked')
    machine.network = earlier
    machine.turn()
    machine.pass_time(2 * slotrequester.REPORT_INTERVAL_S)
    assert not asked.done()
    machine.end(node.name)
    assert asked.done()
    assert asked.result().is_ok()


def test_a_request_waits_on_though_its_instance_was_forgotten(machine):
    node, other = (machine.nodes[name] for name in machine.ranked[1:3])
    fill(machine, other)
    asked = start_asking(machine, node, 'asked')
    machine.pass_time(0.1)
    machine.paused.add(node.name)
    machine.pass_time(slotallocator.REPORT_TIMEOUT_S + 0.1)
    machine.paused.clear()
    machine.pass_time(2 * slotrequester.REPORT_INTERVAL_S)
    assert not asked.done()
    machine.end(other.name)
    assert asked.done()
    assert asked.result().is_ok()


def test_a_decided_request_is_not_decided_again(machine):
    """Its instance reports that it waits, as the decision is under way."""
    allocating, node = (machine.nodes[name] for name in machine.ranked[:2])
    machine.pass_time(slotrequester.REPORT_INTERVAL_S)
    machine.lost_kinds = (messages.Grant,)
    asked = start_asking(machine, node, 'asked')
    sent = []
    allocating.allocator._send = lambda name, message: sent.append(message)
    node.requester._report(machine.clock.now_s)
    machine.turn()
    assert not [each for each in sent if isinstance(each, messages.Grant)]
    assert not [each for each in sent if isinstance(each, messages.Refusal)]
    asked.cancel()


def test_a_new_allocator_is_asked_once(machine):
    """It gets a report of the waiting requests before it is asked for them."""
    first, node, other = (machine.nodes[name] for name in machine.ranked)
    machine.pass_time(slotrequester.REPORT_INTERVAL_S)
    for _ in range(len(INFOS) * SLOTS):
        machine.ask(other.name, 0)
    asked = start_asking(machine, other, 'asked')
    sent = []
    send = other.requester._send

    def record(name, message):
        if isinstance(message, messages.Ask):
            sent.append(name)
        send(name, message)

    other.requester._send = record
    machine.paused.add(first.name)
    machine.pass_time(2 * slotrequester.REPORT_INTERVAL_S)
    assert other.requester.allocator == node.name
    assert sent == [node.name]
    asked.cancel()


def test_requests_beyond_a_quota_without_tolerance_are_refused(machine):
    """A refusal whose time was infinite could not be sent."""
    node = machine.nodes[machine.ranked[1]]
    limit(machine)
    machine.pass_time(slotrequester.REPORT_INTERVAL_S)
    cost = QUOTA.burst + 1
    first = start_asking(machine, node, 'first', cost=cost)
    second = start_asking(machine, node, 'second', cost=cost)
    assert first.result().is_ok()
    assert second.result().error.reason == 'quota'
    assert 0 < second.result().error.retry_after_s < float('inf')
