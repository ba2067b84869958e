"""Granting, queueing and refusing slots; a load peak is replayed."""

import heapq
import itertools
import random

import hypothesis
import pytest
from hypothesis import strategies as st

from lavenderledge.peers import slotmessages as messages
from lavenderledge.policy import replicahealth, slotgrants, slots

SERVICE = 'model'
PLAN, CHECK, NOTE = 16, 17, 18
OBJECTIVES_S = {PLAN: 0.8, CHECK: 0.6, NOTE: 0.5}
VALUES = {PLAN: 4.8, CHECK: 2.4, NOTE: 0.33}
MAX_WAIT_S = 2.3


def make_info(name, slots_count=6):
    return slots.ReplicaInfo(name, SERVICE, '', 'a', slots_count, 0)


def make_spec(request_id, tier=PLAN, tokens=2000, **changes):
    spec = messages.RequestSpec(
        request_id=request_id,
        service=SERVICE,
        customer='dealer',
        tier=tier,
        prompt_tokens=tokens,
        objective_left_s=OBJECTIVES_S.get(tier, 0.5),
        remaining_s=MAX_WAIT_S,
        cost=0,
    )
    return spec._replace(**changes)


def make_state(names=('i-0',), slots_count=1):
    state = slots.SlotState()
    state.set_replicas([make_info(name, slots_count) for name in names], 0)
    return state


def record_answers(state, *, hold_s=0.5, first_s=0.1):
    """Record one answer of each replica."""
    for name in tuple(state.services[SERVICE].replicas):
        slot = slots.HeldSlot('e', name, 2000, 0, -hold_s)
        state.hold('answered', slot, service=SERVICE)
        state.free('answered')
        state.note_answer(slot, first_s=first_s, slowness=0, now_s=0)


def list_granted(state, now_s):
    granted, _ = slotgrants.decide(state, now_s)
    return [grant.request_id for grant in granted]


def test_higher_ranks_are_granted_first_in_any_order_of_arrival():
    state = make_state()
    for number, tier in enumerate((NOTE, CHECK, PLAN)):
        slotgrants.enqueue(state, 'e', make_spec(str(number), tier), 0)
    order = []
    for step in range(3):
        granted = list_granted(state, step / 100)
        order += granted
        state.free(granted[0])
    assert order == ['2', '1', '0']


def test_a_late_request_goes_behind_timely_ones_of_the_next_rank_only():
    state = make_state()
    slotgrants.enqueue(state, 'e', make_spec('holds'), 0)
    assert list_granted(state, 0) == ['holds']
    slotgrants.enqueue(state, 'e', make_spec('late', objective_left_s=0.2), 0)
    slotgrants.enqueue(state, 'e', make_spec('check', CHECK), 0)
    slotgrants.enqueue(state, 'e', make_spec('note', NOTE), 0)
    order = []
    for step in range(3):
        state.free('holds' if not order else order[-1])
        order += list_granted(state, 0.3 + step / 20)
    assert order == ['check', 'late', 'note']


def test_a_request_is_refused_at_once_if_it_would_expire_without_a_slot():
    state = make_state()
    record_answers(state, hold_s=1)
    for number in range(3):
        spec = make_spec(f'w{number}', remaining_s=9)
        assert slotgrants.enqueue(state, 'e', spec, 0) is None
    refused = slotgrants.enqueue(state, 'e', make_spec('last'), 0)
    assert refused is not None
    # Three requests wait for a slot that each of them holds for a second.
    assert 3 <= refused.retry_after_s <= 3 * 1.4 + 0.01


def test_no_request_is_refused_while_a_slot_is_free():
    state = make_state(slots_count=2)
    record_answers(state, hold_s=10)
    spec = make_spec('first', remaining_s=0.5)
    assert slotgrants.enqueue(state, 'e', spec, 0) is None
    assert list_granted(state, 0) == ['first']


def test_a_timely_request_waits_for_a_replica_that_keeps_it_timely():
    state = make_state(('fast', 'slow'))
    for name, first_s in (('fast', 0.1), ('slow', 0.7)) * 20:
        slot = slots.HeldSlot('e', name, 2000, 0, -0.5)
        state.note_answer(slot, first_s=first_s, slowness=0, now_s=0)
    slotgrants.enqueue(state, 'e', make_spec('busy'), 0)
    assert list_granted(state, 0) == ['busy']
    slotgrants.enqueue(state, 'e', make_spec('note', NOTE), 0)
    assert list_granted(state, 0.05) == []
    state.free('busy')
    assert list_granted(state, 0.1) == ['note']
    assert state.held_slots['note'].replica == 'fast'


def test_a_failing_replica_is_probed_by_one_request_at_a_time():
    state = make_state(slots_count=4)
    slot = slots.HeldSlot('e', 'i-0', 0, 0, 0)
    state.note_failure(slot, 0)
    for number in range(4):
        slotgrants.enqueue(state, 'e', make_spec(str(number)), 0)
    assert list_granted(state, 0.1) == []
    assert len(list_granted(state, 0.3)) == 1
    assert list_granted(state, 0.35) == []


def test_single_errors_do_not_make_a_replica_unavailable():
    health = replicahealth.ReplicaHealth(cold_until_s=0)
    for _ in range(3):
        health.note_error(0)
        assert health.is_available(0)
        health.note_answer(ratio=0, slowness=0, now_s=0)
    health.note_error(0)
    health.note_error(0)
    assert not health.is_available(0)


def test_a_replica_with_fewer_errors_is_preferred():
    state = make_state(('i-0', 'i-1'), slots_count=2)
    record_answers(state)
    state.note_error(slots.HeldSlot('e', 'i-0', 0, 0, 0), 0)
    for request_id in 'ab':
        slotgrants.enqueue(state, 'e', make_spec(request_id), 0)
    list_granted(state, 0)
    assert {slot.replica for slot in state.held_slots.values()} == {'i-1'}


def test_each_failed_probe_doubles_the_backoff():
    health = replicahealth.ReplicaHealth(cold_until_s=0)
    now_s = 0
    backoffs_s = []
    for _ in range(4):
        # Requests in flight at the first failure are not counted.
        for _ in range(3):
            health.note_failure(now_s)
        backoff_s = 0
        while not health.is_available(now_s + backoff_s):
            backoff_s += 0.05
        backoffs_s.append(round(backoff_s, 1))
        now_s += backoff_s
        health.note_granted(now_s)
        now_s += 0.02
    assert backoffs_s == [0.2, 0.4, 0.8, 1.6]


def test_an_excluded_replica_is_never_granted():
    state = make_state(('i-0', 'i-1'), slots_count=3)
    spec = make_spec('x', excluded=('i-0',))
    slotgrants.enqueue(state, 'e', spec, 0)
    assert list_granted(state, 0) == ['x']
    assert state.held_slots['x'].replica == 'i-1'


def test_an_allocator_grants_only_its_share_of_the_slots():
    state = make_state(slots_count=6)
    state.share = 0.5
    for number in range(6):
        slotgrants.enqueue(state, 'e', make_spec(str(number)), 0)
    assert len(list_granted(state, 0)) == 3


@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from((PLAN, CHECK, NOTE)),
            st.floats(0, 0.2),
            st.booleans(),
        ),
        max_size=60,
    )
)
def test_no_replica_holds_more_than_its_slots(steps):
    state = make_state(('i-0', 'i-1'), slots_count=2)
    now_s = 0
    running = []
    for number, (tier, pause_s, ends) in enumerate(steps):
        now_s += pause_s
        slotgrants.enqueue(state, 'e', make_spec(str(number), tier), now_s)
        if ends and running:
            state.free(running.pop(0))
        granted, refused = slotgrants.decide(state, now_s)
        running += [grant.request_id for grant in granted]
        request_ids = [decision.request_id for decision in (*granted, *refused)]
        assert len(request_ids) == len(set(request_ids))
        for replica in state.services[SERVICE].replicas.values():
            held = [slot.replica for slot in state.held_slots.values()]
            assert replica.held == held.count(replica.info.name) <= 2


class PeakLoad:
    """A seeded load peak at replicas of two speeds, in simulated time.

    Load pattern: 10 s of a third of the capacity, 5 s of 1.9 times the
    capacity, 5 s of a third; 9 replicas of 6 slots, a third of them four
    times slower; plans, checks and notes as 31 : 13 : 29.
    """

    def __init__(self, *, seed, decide=slotgrants.decide):
        self.rng = random.Random(seed)
        self.decide = decide
        self.state = slots.SlotState()
        self.state.set_replicas(
            [make_info(f'i-{number}') for number in range(9)], 0
        )
        self.events = []
        self.order = itertools.count()
        self.arrivals = {}
        self.first_s = {}
        self.prefill_until_s = {}

    def draw_arrivals(self):
        now_s = 0
        while now_s < 20:
            rate = 150 if 10 <= now_s < 15 else 27
            now_s += self.rng.expovariate(rate)
            tier = self.rng.choices((PLAN, CHECK, NOTE), (31, 13, 29))[0]
            yield now_s, tier

    def push(self, at_s, kind, *args):
        heapq.heappush(self.events, (at_s, next(self.order), kind, args))

    def run(self):
        """Return the ratio of timely requests at the peak, by tier."""
        for number, (at_s, tier) in enumerate(self.draw_arrivals()):
            self.push(at_s, 'arrive', str(number), tier)
        for tick in range(1, 500):
            self.push(tick / 20, 'tick')
        while self.events:
            now_s, _, kind, args = heapq.heappop(self.events)
            getattr(self, kind)(now_s, *args)
            granted, _ = self.decide(self.state, now_s)
            for grant in granted:
                self.start(now_s, grant)
        return {
            tier: self.compute_timely_ratio(tier)
            for tier in (PLAN, CHECK, NOTE)
        }

    def arrive(self, now_s, request_id, tier):
        tokens = int(self.rng.lognormvariate(7.6, 0.8))
        self.arrivals[request_id] = (now_s, tier)
        spec = make_spec(request_id, tier, tokens)
        slotgrants.enqueue(self.state, 'e', spec, now_s)

    def tick(self, now_s):
        """Change nothing; ``run`` decides after each event."""

    def start(self, now_s, granted):
        slot = self.state.held_slots[granted.request_id]
        slow = 4 if int(granted.replica[2:]) % 3 == 2 else 1
        noise = self.rng.choice((1, 1, 1, 1, 1, 2.5))
        # Prompts are read one after another.
        prefill_s = slow * noise * slot.prompt_tokens / 54600
        read_s = max(now_s, self.prefill_until_s.get(granted.replica, 0))
        self.prefill_until_s[granted.replica] = read_s + prefill_s
        first_s = read_s + prefill_s + slow * noise * 0.06 - now_s
        hold_s = first_s + slow * self.rng.lognormvariate(-1.1, 0.8)
        self.first_s[granted.request_id] = now_s + first_s
        self.push(now_s + hold_s, 'end', granted.request_id, first_s)

    def end(self, now_s, request_id, first_s):
        slot = self.state.free(request_id)
        self.state.note_answer(slot, first_s=first_s, slowness=0, now_s=now_s)

    def compute_timely_ratio(self, tier):
        timely = [
            self.first_s.get(request_id, 99) - at_s <= OBJECTIVES_S[tier]
            for request_id, (at_s, request_tier) in self.arrivals.items()
            if request_tier == tier and 10 <= at_s < 15
        ]
        return sum(timely) / len(timely)


def decide_by_arrival(state, now_s):
    """Grant in order of arrival, regardless of ranks and objectives."""
    service = state.services[SERVICE]
    for waiting in tuple(service.queue.walk()):
        service.queue.remove(waiting.request_id)
        service.queue.add(
            waiting._replace(
                spec=waiting.spec._replace(tier=PLAN),
                due_s=now_s + 99,
            )
        )
    return slotgrants.decide(state, now_s)


@pytest.mark.parametrize('seed', range(4))
def test_the_highest_rank_is_served_in_time_at_a_load_peak(seed):
    current = PeakLoad(seed=seed).run()
    baseline = PeakLoad(seed=seed, decide=decide_by_arrival).run()
    # Plans alone stay below the capacity, so nearly all can be served in time.
    assert current[PLAN] > 0.9
    # Requirement: the timely ratio of a rank is at most 0.05 below that of a
    # lower rank. A note may start on a replica that is too slow for a check.
    assert current[PLAN] >= current[CHECK] >= current[NOTE] - 0.05
    value = sum(VALUES[tier] * ratio for tier, ratio in current.items())
    baseline_value = sum(
        VALUES[tier] * ratio for tier, ratio in baseline.items()
    )
    assert value > baseline_value


class FailingReplicas(PeakLoad):
    """A steady load with a ratio of errors at some or all replicas.

    Load patterns, 20 s each: 0.7 of the capacity, where all replicas fail 15
    in 100 requests; and 0.4 of it, where two of nine replicas fail 30 in 100.
    """

    def __init__(self, *, seed, note, rate, error_ratio, replicas):
        super().__init__(seed=seed)
        self.note = note
        self.rate = rate
        self.error_ratio = error_ratio
        self.replicas = replicas

    def draw_arrivals(self):
        now_s = 0
        while now_s < 20:
            now_s += self.rng.expovariate(self.rate)
            yield now_s, self.rng.choice((PLAN, CHECK, NOTE))

    def end(self, now_s, request_id, first_s):
        is_failing = self.state.held_slots[request_id].replica in self.replicas
        if is_failing and random.Random(request_id).random() < self.error_ratio:
            self.first_s[request_id] = float('inf')
            self.note(self.state, self.state.free(request_id), now_s)
        else:
            super().end(now_s, request_id, first_s)


ALL_REPLICAS = tuple(f'i-{number}' for number in range(9))


@pytest.mark.parametrize(
    ('rate', 'error_ratio', 'replicas'),
    [(55, 0.15, ALL_REPLICAS), (30, 0.3, ('i-0', 'i-2'))],
)
def test_errors_cost_less_value_than_if_counted_as_failures(
    rate, error_ratio, replicas
):
    values = dict.fromkeys(
        (slots.SlotState.note_error, slots.SlotState.note_failure), 0
    )
    for note, seed in itertools.product(values, range(8)):
        timely_ratios = FailingReplicas(
            seed=seed,
            note=note,
            rate=rate,
            error_ratio=error_ratio,
            replicas=replicas,
        ).run()
        values[note] += sum(
            VALUES[tier] * timely_ratios[tier] for tier in timely_ratios
        )
    assert (
        values[slots.SlotState.note_error]
        > values[slots.SlotState.note_failure]
    )
