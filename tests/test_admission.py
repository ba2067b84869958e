"""The asker's side: grants, their end, reports and making room."""

import contextlib

import pytest

from lavenderledge import outcomes
from lavenderledge.controllers import admission
from lavenderledge.peers import messages
from tests import fleet


class Asker:
    """One admission whose allocator is the test."""

    def __init__(self, made):
        self.made = made
        self.sent = []
        self.allocator = 'b'
        self.preempted = []
        self.standings = {}
        self.admission = admission.Admission(
            instance='a',
            incarnation=1,
            clock=made.clock,
            send=lambda to, message: self.sent.append((to, message)),
            find_allocator=lambda pool: self.allocator,
            on_preempt=self.preempted.append,
            find_priority=self.standings.get,
        )
        self.sequence = 0

    def acquire(self, request_id='1', *, timeout_s=30, **changes):
        ask = fleet.build_spec(request_id, **changes)
        return self.made.start(
            self.admission.acquire(
                pool=fleet.POOL,
                spec=ask,
                deadline_s=self.made.clock.now_s + timeout_s,
            )
        )

    def grant(self, request_id='1', *, sender='b', stamp_s=None, sequence=None):
        self.sequence += 1
        stamp_s = self.made.clock.now_s if stamp_s is None else stamp_s
        grant = messages.Grant(
            sender,
            fleet.POOL,
            sequence or self.sequence,
            request_id,
            'engine-0',
            '127.0.0.1:1',
            stamp_s,
        )
        self.tell(grant)
        return grant

    def tell(self, message):
        self.admission.receive(message)
        self.made.settle()

    def preempt(self, request_id='1', *, sender='b'):
        self.tell(messages.Preempt(sender, fleet.POOL, request_id))

    def place(self, request_id='1', **changes):
        task = self.acquire(request_id, **changes)
        self.grant(request_id)
        return task.result().ok

    def tick(self, later_s):
        self.made.clock.now_s += later_s
        self.admission.tick()
        self.made.settle()

    def take(self, kind):
        found = [(to, each) for to, each in self.sent if isinstance(each, kind)]
        self.sent.clear()
        return found


@pytest.fixture
def asker():
    made = fleet.Fleet()
    with contextlib.closing(made):
        yield Asker(made)


def test_a_grant_places_once_and_lapses_by_the_askers_stamp(asker):
    placement = asker.place()
    assert asker.admission.is_current(placement)
    asker.grant()
    assert asker.admission.is_current(placement)
    asker.made.clock.now_s = placement.expires_s
    assert not asker.admission.is_current(placement)
    assert asker.take(messages.Release)
    again = asker.acquire()
    ((_, ask),) = asker.take(messages.NewAsk)
    assert ask.spec.waited_s == pytest.approx(2)
    asker.grant(stamp_s=asker.made.clock.now_s - 2)
    assert not again.done()
    asker.grant()
    assert not asker.admission.is_current(placement)
    assert asker.admission.is_current(again.result().ok)


def test_a_started_request_outlives_its_grant(asker):
    placement = asker.place()
    asker.admission.note_first_byte('1')
    asker.tick(60)
    assert asker.admission.is_current(placement)
    asker.admission.release('1', 5)
    assert not asker.admission.is_current(placement)
    ((_, release),) = asker.take(messages.Release)
    assert release.output_done == 5
    asker.admission.release('1', 5)
    assert not asker.take(messages.Release)


def test_only_the_present_allocator_is_heeded(asker):
    task = asker.acquire()
    asker.grant(sender='c')
    asker.tell(messages.Refuse('c', fleet.POOL, '1', 'overloaded', 0))
    assert not task.done()
    ((to, _),) = asker.take(messages.Release)
    assert to == 'c'
    asker.grant('unknown')
    ((to, _),) = asker.take(messages.Release)
    assert to == 'b'
    asker.tell(messages.Refuse('b', fleet.POOL, '1', 'rate_limited', 0.5))
    denial = task.result().error
    assert denial.reason is outcomes.Reason.RATE_LIMITED
    assert denial.retry_after_s == 0.5


def test_a_grant_that_was_reported_as_lost_stays_lost(asker):
    first = asker.acquire('1')
    second = asker.acquire('2')
    asker.grant('2', sequence=5)
    assert second.done()
    asker.tick(1.1)
    ((_, report),) = asker.take(messages.Report)
    assert report.grant_seen == 5
    assert [ask.request_id for ask in report.waiting] == ['1']
    asker.grant('1', sequence=4)
    assert not first.done()
    asker.grant('1', sequence=6)
    assert first.done()


def test_preemption_cancels_started_work_and_takes_back_the_rest(asker):
    started = asker.place('1')
    asker.admission.note_first_byte('1')
    granted = asker.place('2')
    kept = asker.place('3', preemptible=False)
    asker.preempt('1', sender='c')
    assert asker.admission.is_current(started)
    for request_id in ('1', '1', '2', '3'):
        asker.preempt(request_id)
    assert asker.preempted == ['1']
    assert not asker.admission.is_current(started)
    assert not asker.admission.is_current(granted)
    assert asker.admission.is_current(kept)


def test_waiting_ends_at_the_deadline_by_displacement_or_cancelling(asker):
    late = asker.acquire('1', timeout_s=3)
    asker.tick(2.9)
    assert not late.done()
    asker.tick(0.1)
    assert late.result().error.reason is outcomes.Reason.DEADLINE_EXCEEDED
    waiting = {
        name: asker.acquire(name, tier=tier)
        for name, tier in (('a', 2), ('b', 4), ('c', 4), ('d', 3))
    }
    for name in ('c', 'b', 'd'):
        assert asker.admission.displace(2)
        asker.made.settle()
        denial = waiting[name].result().error
        assert denial.reason is outcomes.Reason.DISPLACED
    assert not asker.admission.displace(2)
    asker.take(messages.Release)
    waiting['a'].cancel()
    asker.made.settle()
    ((_, release),) = asker.take(messages.Release)
    assert release.request_id == 'a'
    assert asker.admission.count_waiting() == 0


def test_a_new_allocator_is_told_everything_at_once(asker):
    asker.place('1')
    asker.acquire('2')
    asker.tick(1.1)
    asker.take(messages.Report)
    asker.allocator = 'c'
    asker.tick(0.05)
    ((to, report),) = asker.take(messages.Report)
    assert (to, report.grant_seen) == ('c', 0)
    assert [held.request_id for held in report.running] == ['1']
    assert [ask.request_id for ask in report.waiting] == ['2']


def test_edits_of_the_table_reach_waiting_requests(asker):
    asker.acquire('1', tier=2, row='dealer')
    asker.standings['dealer'] = (4, 3.0)
    asker.tick(1.1)
    ((_, report),) = asker.take(messages.Report)
    assert (report.waiting[0].tier, report.waiting[0].weight) == (4, 3.0)
    assert asker.admission.displace(3)


def test_progress_is_measured_and_failures_told_early(asker):
    asker.place('1')
    asker.admission.note_first_byte('1')
    asker.tick(0.4)
    asker.admission.note_tokens('1', 1)
    for done in (2, 3, 4):
        asker.made.clock.now_s += 0.02
        asker.admission.note_tokens('1', done)
    asker.take(messages.Report)
    asker.tick(0.94)
    ((_, report),) = asker.take(messages.Report)
    (reading,) = report.readings
    assert (reading.first_tokens, reading.prefill_tokens) == (1, 100)
    assert reading.first_token_s == pytest.approx(0.4)
    assert reading.token_gaps == 4
    assert reading.token_gap_s == pytest.approx(0.06 + 0.94)
    asker.made.clock.now_s += 0.2
    asker.admission.note_failure(pool=fleet.POOL, replica='engine-0')
    ((_, early),) = asker.take(messages.Report)
    assert early.readings[0].failures == 1
