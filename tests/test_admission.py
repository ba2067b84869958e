"""Admission: grants, their expiry, reports and displacement."""

import contextlib

import pytest

from lavenderledge import outcomes
from lavenderledge.controllers import admission
from lavenderledge.peers import messages
from tests import fleet


class Requester:
    """An admission whose allocator is the test."""

    def __init__(self, running):
        self.fleet = running
        self.sent = []
        self.allocator = 'b'
        self.preempted = []
        self.priorities = {}
        self.admission = admission.Admission(
            instance='a',
            incarnation=1,
            clock=running.clock,
            send=lambda to, message: self.sent.append((to, message)),
            find_allocator=lambda pool: self.allocator,
            on_preempt=self.preempted.append,
            find_priority=self.priorities.get,
        )
        self.sequence = 0

    def acquire(self, request_id='1', *, timeout_s=30, **changes):
        spec = fleet.build_spec(request_id, **changes)
        return self.fleet.start(
            self.admission.acquire(
                pool=fleet.POOL,
                spec=spec,
                deadline_s=self.fleet.clock.now_s + timeout_s,
            )
        )

    def grant(self, request_id='1', *, sender='b', stamp_s=None, sequence=None):
        self.sequence += 1
        stamp_s = self.fleet.clock.now_s if stamp_s is None else stamp_s
        grant = messages.Grant(
            sender,
            fleet.POOL,
            sequence or self.sequence,
            request_id,
            'engine-0',
            '127.0.0.1:1',
            stamp_s,
        )
        self.deliver(grant)
        return grant

    def deliver(self, message):
        self.admission.receive(message)
        self.fleet.settle()

    def preempt(self, request_id='1', *, sender='b'):
        self.deliver(messages.Preempt(sender, fleet.POOL, request_id))

    def place(self, request_id='1', **changes):
        task = self.acquire(request_id, **changes)
        self.grant(request_id)
        return task.result().ok

    def tick(self, later_s):
        self.fleet.clock.now_s += later_s
        self.admission.tick()
        self.fleet.settle()

    def pop_sent(self, kind):
        matching = [
            (to, message)
            for to, message in self.sent
            if isinstance(message, kind)
        ]
        self.sent.clear()
        return matching


@pytest.fixture
def requester():
    running = fleet.Fleet()
    with contextlib.closing(running):
        yield Requester(running)


def test_a_grant_is_used_once_and_expires_by_the_requesters_stamp(requester):
    placement = requester.place()
    assert requester.admission.is_current(placement)
    requester.grant()
    assert requester.admission.is_current(placement)
    requester.fleet.clock.now_s = placement.expires_s
    assert not requester.admission.is_current(placement)
    assert requester.pop_sent(messages.Release)
    again = requester.acquire()
    ((_, sent),) = requester.pop_sent(messages.NewAsk)
    assert sent.spec.waited_s == pytest.approx(2)
    requester.grant(stamp_s=requester.fleet.clock.now_s - 2)
    assert not again.done()
    requester.grant()
    assert not requester.admission.is_current(placement)
    assert requester.admission.is_current(again.result().ok)


def test_a_started_request_does_not_expire_with_its_grant(requester):
    placement = requester.place()
    requester.admission.note_first_byte('1')
    requester.tick(60)
    assert requester.admission.is_current(placement)
    requester.admission.release('1', 5)
    assert not requester.admission.is_current(placement)
    ((_, release),) = requester.pop_sent(messages.Release)
    assert release.output_done == 5
    requester.admission.release('1', 5)
    assert not requester.pop_sent(messages.Release)


def test_messages_of_other_allocators_are_ignored(requester):
    task = requester.acquire()
    requester.grant(sender='c')
    requester.deliver(messages.Refuse('c', fleet.POOL, '1', 'overloaded', 0))
    assert not task.done()
    ((to, _),) = requester.pop_sent(messages.Release)
    assert to == 'c'
    requester.grant('unknown')
    ((to, _),) = requester.pop_sent(messages.Release)
    assert to == 'b'
    requester.deliver(
        messages.Refuse('b', fleet.POOL, '1', 'rate_limited', 0.5)
    )
    refusal = task.result().error
    assert refusal.reason is outcomes.Reason.RATE_LIMITED
    assert refusal.retry_after_s == 0.5


def test_a_grant_that_was_reported_as_lost_is_ignored(requester):
    first = requester.acquire('1')
    second = requester.acquire('2')
    requester.grant('2', sequence=5)
    assert second.done()
    requester.tick(1.1)
    ((_, report),) = requester.pop_sent(messages.Report)
    assert report.grant_seen == 5
    assert [spec.request_id for spec in report.waiting] == ['1']
    requester.grant('1', sequence=4)
    assert not first.done()
    requester.grant('1', sequence=6)
    assert first.done()


def test_preemption_cancels_started_and_releases_granted_requests(requester):
    started = requester.place('1')
    requester.admission.note_first_byte('1')
    granted = requester.place('2')
    kept = requester.place('3', preemptible=False)
    requester.preempt('1', sender='c')
    assert requester.admission.is_current(started)
    for request_id in ('1', '1', '2', '3'):
        requester.preempt(request_id)
    assert requester.preempted == ['1']
    assert not requester.admission.is_current(started)
    assert not requester.admission.is_current(granted)
    assert requester.admission.is_current(kept)


def test_waiting_ends_at_the_deadline_by_displacement_or_cancelling(requester):
    late = requester.acquire('1', timeout_s=3)
    requester.tick(2.9)
    assert not late.done()
    requester.tick(0.1)
    assert late.result().error.reason is outcomes.Reason.DEADLINE_EXCEEDED
    waiting = {
        name: requester.acquire(name, tier=tier)
        for name, tier in (('a', 2), ('b', 4), ('c', 4), ('d', 3))
    }
    for name in ('c', 'b', 'd'):
        assert requester.admission.displace(2)
        requester.fleet.settle()
        refusal = waiting[name].result().error
        assert refusal.reason is outcomes.Reason.DISPLACED
    assert not requester.admission.displace(2)
    requester.pop_sent(messages.Release)
    waiting['a'].cancel()
    requester.fleet.settle()
    ((_, release),) = requester.pop_sent(messages.Release)
    assert release.request_id == 'a'
    assert requester.admission.count_waiting() == 0


def test_a_new_allocator_gets_a_full_report_at_once(requester):
    requester.place('1')
    requester.acquire('2')
    requester.tick(1.1)
    requester.pop_sent(messages.Report)
    requester.allocator = 'c'
    requester.tick(0.05)
    ((to, report),) = requester.pop_sent(messages.Report)
    assert (to, report.grant_seen) == ('c', 0)
    assert [held.request_id for held in report.running] == ['1']
    assert [spec.request_id for spec in report.waiting] == ['2']


def test_edits_of_the_table_reach_waiting_requests(requester):
    requester.acquire('1', tier=2, row='dealer')
    requester.priorities['dealer'] = (4, 3.0)
    requester.tick(1.1)
    ((_, report),) = requester.pop_sent(messages.Report)
    assert (report.waiting[0].tier, report.waiting[0].weight) == (4, 3.0)
    assert requester.admission.displace(3)


def test_progress_is_measured_and_failures_are_reported_early(requester):
    requester.place('1')
    requester.admission.note_first_byte('1')
    requester.tick(0.4)
    requester.admission.note_tokens('1', 1)
    for done in (2, 3, 4):
        requester.fleet.clock.now_s += 0.02
        requester.admission.note_tokens('1', done)
    requester.pop_sent(messages.Report)
    requester.tick(0.94)
    ((_, report),) = requester.pop_sent(messages.Report)
    (reading,) = report.readings
    assert (reading.first_tokens, reading.prefill_tokens) == (1, 100)
    assert reading.first_token_s == pytest.approx(0.4)
    assert reading.token_gaps == 4
    assert reading.token_gap_s == pytest.approx(0.06 + 0.94)
    requester.fleet.clock.now_s += 0.2
    requester.admission.note_failure(pool=fleet.POOL, replica='engine-0')
    ((_, early),) = requester.pop_sent(messages.Report)
    assert early.readings[0].failures == 1
