"""Dispatch and relay of model requests under combined failures."""

import asyncio
import json

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from lavenderledge import outcomes
from lavenderledge.peers import messages
from tests import entry, faultyengines

STREAM_FAULTS = st.builds(
    faultyengines.Fault,
    st.sampled_from(faultyengines.STREAM_FAULT_KINDS),
    st.integers(0, 3),
)
FAULTS = st.one_of(
    STREAM_FAULTS,
    st.builds(
        faultyengines.Fault, st.sampled_from(faultyengines.REQUEST_FAULT_KINDS)
    ),
    st.just(faultyengines.Fault()),
)
INDEXES = st.integers(0, 2)
DEADLINE_S = 30
SILENCE_S = 2
CANCEL_ATTEMPTS = 3
CANCEL_S = faultyengines.CONNECT_S + SILENCE_S + 0.5
SETTLE_S = 0.001
WAITS_S = (0.1, 0.1, 0.5, 1, 2.5, 9, 31)
UNEXPECTED_REASONS = (
    outcomes.Reason.INTERNAL,
    outcomes.Reason.ANSWER_INCOMPLETE,
)


class RelayMachine(stateful.RuleBasedStateMachine):
    """Callers, one instance's filters, and engines behind a faulty network.

    The oracle is what the engines received and generated.
    """

    def __init__(self):
        super().__init__()
        self.loop = faultyengines.VirtualTimeLoop()
        self.entry = entry.Entry(
            loop=self.loop,
            deadline_s=DEADLINE_S,
            silence_timeout_s=SILENCE_S,
            note_preempted=self._note_preempted,
        )
        self.network = self.entry.network
        self.callers = []
        self._do(self.entry.start)

    @stateful.rule(
        tokens=st.integers(1, 8),
        streamed=st.booleans(),
        faults=st.lists(STREAM_FAULTS | FAULTS, max_size=3),
    )
    def send_request(self, tokens, streamed, faults):
        self.network.faults.extend(faults)
        self._do(self._send_request, tokens, streamed)

    @stateful.rule(faults=st.lists(FAULTS, max_size=4))
    def queue_faults(self, faults):
        self.network.faults.extend(faults)

    @stateful.rule(age_s=st.sampled_from((0, 1.5)))
    def delay_grants(self, age_s):
        self.entry.grant_age_s = age_s

    @stateful.rule(count=st.integers(0, 4), seconds=st.sampled_from(WAITS_S))
    def pass_time(self, count, seconds):
        for generation in self.network.list_running():
            self._do(generation.produce, count)
        self.loop.advance(seconds)

    @stateful.rule(
        index=INDEXES, kind=st.sampled_from(('failed', 'incomplete'))
    )
    def end_generation(self, index, kind):
        for generation in self.network.list_running()[index:][:1]:
            self._do(generation.end, kind)

    @stateful.rule(index=INDEXES)
    def forget_generation(self, index):
        for generation in self.network.list_running()[index:][:1]:
            self._do(self.network.forget, generation)

    @stateful.rule()
    def deliver_delayed(self):
        self._do(self.network.deliver_delayed)

    @stateful.rule(index=INDEXES)
    def disconnect(self, index):
        for caller in self.callers[-1 - index :][:1]:
            self._do(caller.disconnect)

    @stateful.rule(index=INDEXES, reads=st.booleans())
    def stall(self, index, reads):
        for caller in self.callers[-1 - index :][:1]:
            change = caller.reading.set if reads else caller.reading.clear
            self._do(change)

    @stateful.rule(index=INDEXES)
    def preempt(self, index):
        for request_id in list(self.entry.granted)[index:][:1]:
            order = messages.Preempt('a', entry.POOL, request_id)
            self._do(self.entry.requests.receive, order)

    @stateful.invariant()
    def at_most_once(self):
        assert not self.entry.expired_dispatches
        assert all(len(each) <= 1 for each in self.network.arrived.values())

    @stateful.invariant()
    def nothing_runs_without_a_caller(self):
        for caller in self.callers:
            if caller.finished_s is None and (
                caller.ended or caller.disconnected
            ):
                caller.finished_s = self.loop.now_s
        for generation in self.network.list_running():
            finished_s = self.callers[generation.number].finished_s
            if (
                finished_s is None
                or self.loop.now_s < finished_s + 4 * CANCEL_S
            ):
                continue
            cancels = self.network.cancels[generation.response_id]
            assert cancels >= CANCEL_ATTEMPTS

    @stateful.invariant()
    def deadlines_are_met(self):
        for caller in self.callers:
            late_s = self.loop.now_s - caller.sent_s - DEADLINE_S
            if caller.reading.is_set() and late_s >= CANCEL_S:
                assert caller.ended or caller.disconnected

    @stateful.invariant()
    def answers_match_what_ran(self):
        for caller in self.callers:
            generations = self.network.arrived[caller.number] or [None]
            if caller.streamed and caller.status == 200:
                self._check_stream(caller, generations[0])
            elif caller.ended and caller.status == 200:
                assert json.loads(caller.received) == generations[0].response
                assert generations[0].kind in {'completed', 'incomplete'}
            elif caller.ended:
                document = json.loads(caller.received)
                self._check_refusal(caller, document, generations[0])

    def teardown(self):
        """Stop the faults; check that all cancels arrive and all tasks end."""
        try:
            self._settle()
        finally:
            self.loop.run_until_complete(_cancel_all())
            self.loop.close()

    def _settle(self):
        self.network.faults.clear()
        for caller in self.callers:
            self._do(caller.reading.set)
        self._do(self.network.deliver_delayed)
        self.loop.advance(4 * CANCEL_S)
        self.nothing_runs_without_a_caller()
        self.loop.advance(4 * CANCEL_S)
        self.nothing_runs_without_a_caller()
        for generation in self.network.list_running():
            self._do(generation.produce, 10)
        self.loop.advance(DEADLINE_S + 30)
        self.at_most_once()
        self.answers_match_what_ran()
        assert all(task.done() for task in self.entry.tasks)
        assert all(each.ended or each.disconnected for each in self.callers)
        assert not self.network.open_responses
        assert not self.entry.granted

    def _note_preempted(self, number):
        self.callers[number].finished_s = self.loop.now_s

    def _send_request(self, tokens, streamed):
        caller = faultyengines.Caller(
            number=len(self.callers), tokens=tokens, streamed=streamed
        )
        caller.sent_s = self.loop.now_s
        self.callers.append(caller)
        self.entry.serve(caller)

    def _check_refusal(self, caller, document, generation):
        """Check a refusal against the requests that arrived at engines."""
        error = document['error']
        assert error['code'] not in UNEXPECTED_REASONS
        assert caller.outcome in {'', error['outcome']}
        if error['outcome'] == outcomes.Outcome.NOT_RUN:
            assert generation is None
        lost = error['code'] == outcomes.Reason.UPSTREAM_LOST
        if lost and generation is not None and not generation.forgotten:
            assert self.network.fault_counts[generation.response_id] > 1

    def _check_stream(self, caller, generation):
        """Check that a stream is the engine's: in order, whole or refused."""
        received, _, error = caller.received.partition(b'event: error\ndata: ')
        events = b''.join(generation.events) if generation else b''
        assert events.startswith(received)
        if error:
            self._check_refusal(caller, json.loads(error), generation)
        elif caller.ended:
            assert received == events
            assert generation.kind in {'completed', 'incomplete'}

    def _do(self, action, *args):
        async def act():
            action(*args)
            await asyncio.sleep(SETTLE_S)

        self.loop.run_until_complete(act())


async def _cancel_all():
    for task in asyncio.all_tasks() - {asyncio.current_task()}:
        task.cancel()
    await asyncio.sleep(SETTLE_S)


RelayMachine.TestCase.settings = hypothesis.settings(
    max_examples=400, stateful_step_count=40, derandomize=True, deadline=None
)
TestRelay = RelayMachine.TestCase


def test_a_lost_stream_is_cancelled_though_its_caller_does_not_read():
    machine = RelayMachine()
    machine.send_request(tokens=5, streamed=True, faults=())
    machine.stall(index=0, reads=False)
    machine.queue_faults([faultyengines.Fault('lost_before')] * 16)
    machine.pass_time(count=0, seconds=20)
    assert not machine.network.list_running()
    machine.teardown()


@pytest.fixture
def machine():
    running = RelayMachine()
    yield running
    running.teardown()


def check_whole(machine):
    """Let the engine go on, and check that its caller gets the rest."""
    (generation,) = machine.network.arrived[0]
    for _ in range(2):
        machine._do(generation.produce, 3)
    (caller,) = machine.callers
    machine.loop.advance(1)
    assert generation.kind == 'completed'
    assert caller.ended
    assert caller.status == 200
    if caller.streamed:
        assert caller.received == b''.join(generation.events)
    else:
        assert json.loads(caller.received) == generation.response


CANNOT_RESUME = [
    '404',
    '503',
    'refused',
    'lost_before',
    'silent_before',
    'ended',
    'silent',
]


@pytest.mark.parametrize('fault', CANNOT_RESUME)
@pytest.mark.parametrize('streamed', [True, False])
def test_a_pausing_stream_that_cannot_be_resumed_goes_on(
    machine, streamed, fault
):
    machine.send_request(tokens=5, streamed=streamed, faults=())
    machine.pass_time(count=2, seconds=0.1)
    machine.queue_faults([faultyengines.Fault(fault)] * 16)
    machine.loop.advance(SILENCE_S + 1)
    check_whole(machine)


@pytest.mark.parametrize('fault', CANNOT_RESUME)
@pytest.mark.parametrize('streamed', [True, False])
def test_a_pausing_creation_that_cannot_be_resumed_goes_on(
    machine, streamed, fault
):
    faults = ['pausing', *[fault] * 16]
    machine.send_request(
        tokens=5, streamed=streamed, faults=map(faultyengines.Fault, faults)
    )
    machine.loop.advance(faultyengines.PAUSE_S)
    check_whole(machine)


@pytest.mark.parametrize('streamed', [True, False])
def test_a_creation_refused_after_a_pause_is_reported_as_refused(
    machine, streamed
):
    faults = ['pausing_503', *['404'] * 16]
    machine.send_request(
        tokens=5, streamed=streamed, faults=map(faultyengines.Fault, faults)
    )
    machine.loop.advance(faultyengines.PAUSE_S + 1)
    (caller,) = machine.callers
    error = json.loads(caller.received.rpartition(b'data: ')[2])['error']
    assert caller.ended
    assert error['code'] == outcomes.Reason.UPSTREAM_REFUSED
    assert error['outcome'] == outcomes.Outcome.FAILED
