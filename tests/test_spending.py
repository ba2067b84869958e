"""What customers spent of their quotas outlasts the allocator."""

import pytest

from lavenderledge.peers import slotmessages as messages
from lavenderledge.policy import crashevidence, routes, tokenbuckets
from tests import test_slotmessages

QUOTA = routes.Quota(10_000, 60_000)
TOLERANCE = tokenbuckets.Tolerance(8, 0.1, 190_000)
BOUND = TOLERANCE.compute_bound(QUOTA)
COST = 4000


class Fleet:
    """Three instances in virtual time, with one customer's quota."""

    def __init__(self):
        self.machine = test_slotmessages.Machine()
        self.names = self.machine.ranked
        self.spent = []
        self.count = 0
        for name in self.names:
            self.set_quota(name)
        self.settle()

    def set_quota(self, name):
        allocator = self.machine.nodes[name].allocator
        allocator._buckets = tokenbuckets.TokenBuckets(tolerance=TOLERANCE)
        allocator._state_reader = allocator._state_reader._replace(
            find_quota=lambda customer: QUOTA
        )

    def settle(self, seconds=0.5):
        self.machine.pass_time(seconds)

    def restart(self, *names):
        for name in names:
            self.machine.restart(name)
            self.set_quota(name)

    def leave(self, *names):
        self.machine.ranked = tuple(
            name for name in self.names if name not in names
        )
        self.settle()

    def return_all(self):
        self.machine.ranked = self.names
        self.settle()

    def ask(self, name):
        self.count += 1
        spec = messages.RequestSpec(
            f'{name}-{self.count}', 'model', 'dealer', 0, 100, 0.5, 4, COST
        )
        requester = self.machine.nodes[name].requester
        task = self.machine.loop.create_task(requester.acquire(spec))
        self.machine.loop.run_until_complete(self.machine.deliver())
        is_granted = task.done() and task.result().is_ok()
        if is_granted:
            self.spent.append((self.machine.clock.now_s, COST))
            requester.release(spec.request_id)
        elif not task.done():
            task.cancel()
        self.machine.loop.run_until_complete(self.machine.deliver())
        return is_granted

    def spend_all(self, *names):
        """Ask through each instance until nothing is granted any more."""
        asking = set(names or self.names)
        while asking:
            asking -= {name for name in sorted(asking) if not self.ask(name)}

    def find_most(self):
        return max(
            sum(
                cost
                for at_s, cost in self.spent
                if end_s - TOLERANCE.window_s < at_s <= end_s
            )
            for end_s, _ in self.spent
        )


@pytest.fixture
def fleet():
    built = Fleet()
    yield built
    built.machine.teardown()


def test_a_planned_restart_of_the_allocator_hands_out_no_second_burst(fleet):
    fleet.spend_all()
    first = fleet.names[0]
    before = len(fleet.spent)
    fleet.leave(first)
    fleet.spend_all()
    fleet.restart(first)
    fleet.return_all()
    fleet.spend_all()
    # Two pauses of half a second, and the peaks' bucket meanwhile.
    refilled = (QUOTA.rate + 5200) * 1.2
    assert (len(fleet.spent) - before) * COST <= refilled
    assert fleet.find_most() <= BOUND


def test_restarts_of_all_instances_in_turn_stay_within_the_quota(fleet):
    for _ in range(2):
        for name in fleet.names:
            fleet.spend_all()
            fleet.leave(name)
            fleet.spend_all()
            fleet.restart(name)
            fleet.return_all()
    fleet.spend_all()
    assert fleet.find_most() <= BOUND


def test_crashes_of_allocators_in_turn_stay_within_the_quota(fleet):
    for name in fleet.names[:2] * 2:
        fleet.spend_all()
        fleet.machine.paused.add(name)
        fleet.settle()
        fleet.spend_all(*(other for other in fleet.names if other != name))
        fleet.restart(name)
        fleet.settle(1.2)
    fleet.spend_all()
    assert fleet.find_most() <= BOUND


def test_a_freeze_of_the_allocator_hands_out_no_second_burst(fleet):
    first = fleet.names[0]
    for _ in range(2):
        fleet.spend_all()
        fleet.machine.paused.add(first)
        fleet.settle()
        fleet.spend_all(*fleet.names[1:])
        fleet.machine.paused.discard(first)
        fleet.settle(1.2)
    fleet.spend_all()
    assert fleet.find_most() <= BOUND


def test_an_allocator_cut_off_from_one_instance_stays_within_the_quota(fleet):
    first, second, third = fleet.names
    for _ in range(2):
        fleet.spend_all()
        fleet.machine.cut_link((first, third))
        fleet.settle(2.5)
        fleet.spend_all()
        fleet.machine.cut_link((first, third))
        fleet.settle(1.2)
    fleet.spend_all()
    assert fleet.find_most() <= BOUND


def test_all_instances_killed_at_once_stay_within_the_quota(fleet):
    fleet.spend_all()
    fleet.restart(*fleet.names)
    fleet.settle()
    fleet.spend_all()
    assert fleet.find_most() <= BOUND


def test_what_waits_is_charged_once_when_the_allocator_changes(fleet):
    first, second, third = fleet.names
    allocator = fleet.machine.nodes[first].allocator
    catching_up = allocator._state_reader
    allocator._state_reader = catching_up._replace(is_catching_up=lambda: True)
    spec = messages.RequestSpec(
        'waiting', 'model', 'dealer', 0, 100, 0.5, 4, COST
    )
    loop = fleet.machine.loop
    task = loop.create_task(fleet.machine.nodes[third].requester.acquire(spec))
    loop.run_until_complete(fleet.machine.deliver())
    assert not task.done()
    fleet.leave(first)
    assert task.result().is_ok()
    spent = fleet.machine.nodes[second].allocator.list_spendings()
    assert [item.cost for item in spent] == [COST]


def test_spendings_are_not_reported_again_for_ever(fleet):
    fleet.spend_all()
    fleet.leave(fleet.names[0])
    fleet.settle(3)
    requester = fleet.machine.nodes[fleet.names[1]].requester
    assert not requester._encode_spendings(fleet.machine.clock.now_s)


def test_restarts_that_no_instance_notices_stay_within_the_quota(fleet):
    first = fleet.names[0]
    fleet.settle(2.5)
    for _ in range(3):
        fleet.spend_all()
        fleet.restart(first)
        fleet.settle()
    fleet.spend_all()
    assert fleet.find_most() <= BOUND


def test_what_waits_at_an_allocator_that_restarts_is_asked_for_again(fleet):
    first, second, _ = fleet.names
    allocator = fleet.machine.nodes[first].allocator
    allocator._state_reader = allocator._state_reader._replace(
        is_catching_up=lambda: True
    )
    spec = messages.RequestSpec(
        'waiting', 'model', 'dealer', 0, 100, 0.5, 4, COST
    )
    loop = fleet.machine.loop
    task = loop.create_task(fleet.machine.nodes[second].requester.acquire(spec))
    loop.run_until_complete(fleet.machine.deliver())
    fleet.restart(first)
    fleet.settle(1)
    assert task.done() and task.result().is_ok()


def test_a_quarantine_outlasts_a_restart_that_no_instance_notices(fleet):
    first, second, _ = fleet.names
    fleet.settle(2.5)
    allocator = fleet.machine.nodes[first].allocator
    until_s = fleet.machine.clock.now_s + 30
    allocator._evidence.merge(
        crashevidence.Quarantine('model', frozenset({'dead'}), until_s)
    )
    fleet.settle()
    requester = fleet.machine.nodes[second].requester
    assert requester.find_quarantine_s('model', {'dead'})
    fleet.restart(first)
    fleet.settle(1)
    assert requester.find_quarantine_s('model', {'dead'})
