import asyncio
import collections

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from lavenderledge import outcomes
from lavenderledge.filters import refusals
from tests import claimants

KEYS = st.sampled_from(('order-1', 'order-2'))
FAULTS = st.sampled_from(('none', 'refused', 'lost', 'late'))
ENDINGS = st.sampled_from(('answered', 'unanswered', 'refused', 'frozen'))
INSTANCES = 3
LOOP_ITERATIONS = 40


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Callers repeat keyed requests through several instances.

    The oracle is what the service ran: at most once for each key, and never
    for an attempt that was reported as not run.
    """

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = claimants.SteppedClock()
        self.store = claimants.FaultyStore()
        self.runs = collections.defaultdict(list)
        self.attempts = []
        self.instances = [self._build(number) for number in range(INSTANCES)]

    def teardown(self):
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self._run_loop()
        self.loop.close()

    @stateful.rule(key=KEYS, number=st.integers(0, INSTANCES - 1))
    def send(self, key, number):
        self._do(self._send, key, number)

    @stateful.rule(faults=st.lists(FAULTS, min_size=1, max_size=6))
    def break_store(self, faults):
        self.store.faults.extend(faults)

    @stateful.rule()
    def deliver_late_writes(self):
        late = self.store.late
        self.store.late = []
        for transactions in late:
            self.store.apply(transactions)

    @stateful.precondition(lambda self: self._list_pending())
    @stateful.rule(index=st.integers(0, 10), ending=ENDINGS)
    def end(self, index, ending):
        pending = self._list_pending()
        pending[index % len(pending)].gate.set_result(ending)
        self._run_loop()

    @stateful.rule(number=st.integers(0, INSTANCES - 1))
    def kill(self, number):
        self.instances[number].alive = False
        self.instances[number] = self._build(number)

    @stateful.rule(seconds=st.sampled_from((0.1, 1, 5, 30)))
    def wait(self, seconds):
        self.clock.advance(seconds)
        self._run_loop()

    @stateful.invariant()
    def runs_at_most_once(self):
        assert all(len(runs) <= 1 for runs in self.runs.values())

    @stateful.invariant()
    def attempts_reported_as_not_run_did_not_run(self):
        ran = {number for runs in self.runs.values() for number in runs}
        for attempt in self.attempts:
            outcome = attempt.outcome
            if outcome is None or outcome.is_ok():
                continue
            if outcome.error.outcome is outcomes.Outcome.NOT_RUN:
                assert attempt.number not in ran

    @stateful.invariant()
    def answers_are_the_first(self):
        for attempt in self.attempts:
            outcome = attempt.outcome
            if outcome is not None and outcome.is_ok():
                assert outcome.ok.body == _answer(attempt.key)

    def _build(self, number):
        return claimants.Instance(
            name=f'entry-{number}',
            store=self.store,
            clock=self.clock,
            service=self._run,
        )

    def _run(self, attempt):
        self.runs[attempt.key].append(attempt.number)
        return _answer(attempt.key)

    def _list_pending(self):
        return [
            attempt
            for attempt in self.attempts
            if not attempt.gate.done() and attempt.outcome is None
        ]

    async def _send(self, key, number):
        attempt = claimants.Attempt(
            number=len(self.attempts), key=key, instance=number
        )
        self.attempts.append(attempt)
        self.instances[number].serve(attempt)

    def _do(self, action, *args):
        self.loop.run_until_complete(action(*args))
        self._run_loop()

    def _run_loop(self):
        self.loop.run_until_complete(_yield_to_tasks())


async def _yield_to_tasks():
    for _ in range(LOOP_ITERATIONS):
        await asyncio.sleep(0)


def _answer(key):
    return key.encode()


ClaimMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)
TestClaims = ClaimMachine.TestCase


class Bench:
    """One instance and its store, driven by hand."""

    def __init__(self):
        self.clock = claimants.SteppedClock()
        self.store = claimants.FaultyStore()
        self.runs = []
        self.instance = claimants.Instance(
            name='entry-0',
            store=self.store,
            clock=self.clock,
            service=lambda attempt: self.runs.append(attempt.number) or b'ok',
        )

    async def send(self, number, ending='answered'):
        attempt = claimants.Attempt(number=number, key='order-1', instance=0)
        attempt.gate.set_result(ending)
        self.instance.serve(attempt)
        await self.wait(0)
        return attempt

    async def wait(self, seconds):
        for _ in range(int(seconds * 10) + 1):
            await _yield_to_tasks()
            self.clock.advance(0.1)


async def test_a_key_refused_in_an_outage_can_be_used_afterwards():
    bench = Bench()
    bench.store.faults = ['late'] + ['refused'] * 50
    refused = await bench.send(0)
    await bench.wait(10)
    assert refused.outcome.error.reason is outcomes.Reason.CLAIM_UNAVAILABLE
    assert refused.outcome.error.outcome is outcomes.Outcome.NOT_RUN
    bench.store.faults = []
    await bench.wait(10)
    for transactions in bench.store.late:
        bench.store.apply(transactions)
    await bench.wait(30)
    again = await bench.send(1)
    assert again.outcome.ok.body == b'ok'
    assert bench.runs == [1]


async def test_a_lost_answer_to_a_create_is_resolved_by_its_token():
    bench = Bench()
    bench.store.faults = ['lost', 'lost']
    sent = await bench.send(0)
    await bench.wait(1)
    assert sent.outcome.ok.body == b'ok'
    assert bench.runs == [0]


async def test_an_unanswered_call_stays_unknown_for_its_key():
    bench = Bench()
    first = await bench.send(0, ending='unanswered')
    again = await bench.send(1)
    assert first.outcome.error.outcome is outcomes.Outcome.UNKNOWN
    assert again.outcome.error.reason is outcomes.Reason.KEY_IN_USE
    assert again.outcome.error.outcome is outcomes.Outcome.UNKNOWN
    assert bench.runs == [0]


async def test_a_refused_call_releases_its_key():
    bench = Bench()
    refused = await bench.send(0, ending='refused')
    assert refused.outcome.error.outcome is outcomes.Outcome.NOT_RUN
    again = await bench.send(1)
    assert again.outcome.ok.body == b'ok'


@pytest.mark.parametrize('ending', ['answered', 'streamed', 'failed'])
async def test_an_answer_is_sent_when_its_key_can_be_repeated(ending):
    bench = Bench()
    # The claim is created; storing its answer fails once.
    bench.store.faults = ['none', 'refused']
    first = await bench.send(0, ending)
    assert bench.runs == [0]
    assert first.outcome is None
    await _yield_to_tasks()
    assert first.outcome is not None
    again = await bench.send(1)
    assert get_body(again) == get_body(first)
    assert bench.runs == [0]


@pytest.mark.parametrize('ending', ['answered', 'streamed', 'failed'])
async def test_an_answer_is_not_held_back_by_a_long_outage(ending):
    bench = Bench()
    bench.store.faults = ['none'] + ['refused'] * 50
    first = await bench.send(0, ending)
    await bench.wait(1)
    assert first.outcome is not None
    bench.store.faults = []
    await bench.wait(10)
    again = await bench.send(1)
    assert get_body(again) == get_body(first)


def get_body(attempt):
    """Return the body that a caller gets: of an answer or of a refusal."""
    outcome = attempt.outcome
    if outcome.is_ok():
        return outcome.ok.body
    return refusals.answer_refusal('0', outcome.error).body
