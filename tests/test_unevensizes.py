"""An overload of requests of very uneven sizes is replayed: who is served."""

import math

import pytest

from lavenderledge.peers import slotmessages as messages
from lavenderledge.policy import sizeadmission, slotgrants, workestimates
from tests import simulatedoverload

# Outputs with a mean of three times their median, callers' estimates of them
# that are off by half in one of three cases, and the time of a token.
OUTPUT_SIGMA = 1.5
MEDIAN_TOKENS = 40
ESTIMATE_SIGMA = 0.5
FIRST_S = 0.2
TOKEN_S = 0.008
PLAN = simulatedoverload.Kind('plan', 0, 1.0, 12, 0)


class UnevenReplay(simulatedoverload.Replay):
    """Replays requests whose output is long-tailed; callers estimate it."""

    def __init__(self, *, seed, are_sizes_known):
        super().__init__(seed=seed, replicas=10, slots_count=6)
        self.are_sizes_known = are_sizes_known
        self.sizes = {}
        self.answers = []

    def arrive(self, now_s, kind, customer, asked_s, has_returned):
        tokens = self.sizes.get((customer, asked_s))
        if tokens is None:
            tokens = MEDIAN_TOKENS * self.rng.lognormvariate(0, OUTPUT_SIGMA)
            self.sizes[customer, asked_s] = tokens
        estimate = tokens * self.rng.lognormvariate(0, ESTIMATE_SIGMA)
        request_id = f'r{next(self.order)}'
        self.attempts[request_id] = (now_s, kind, customer, asked_s)
        self.attempts[request_id] += (has_returned,)
        spec = messages.RequestSpec(
            request_id=request_id,
            service=simulatedoverload.SERVICE,
            customer=customer,
            tier=kind.tier,
            prompt_tokens=1000,
            objective_left_s=kind.objective_s,
            remaining_s=4 * kind.objective_s,
            cost=0,
            hint_tokens=max(1, round(estimate)) * self.are_sizes_known,
        )
        refused = slotgrants.enqueue(self.state, 'e', spec, now_s)
        if refused is not None:
            self.refuse(now_s, refused)

    def start(self, now_s, grant):
        _, _, customer, asked_s, _ = self.attempts[grant.request_id]
        tokens = self.sizes[customer, asked_s]
        work_s = FIRST_S + tokens * TOKEN_S
        self.push(now_s + work_s, self.end, grant.request_id, work_s)

    def end(self, now_s, request_id, work_s):
        slot = self.state.free(request_id)
        self.state.note_answer(slot, first_s=FIRST_S, slowness=0, now_s=now_s)
        _, kind, customer, asked_s, _ = self.attempts[request_id]
        first_s = now_s - work_s + FIRST_S - asked_s
        is_in_aim = first_s <= kind.objective_s
        self.answers.append((self.sizes[customer, asked_s], is_in_aim))

    def measure_share(self, begin, end):
        """Return which part of the requests of these sizes was answered.

        ``begin`` and ``end`` are fractions of all requests, the largest first.
        """
        sizes = sorted(self.sizes.values(), reverse=True)
        some = sizes[int(len(sizes) * begin) : int(len(sizes) * end)]
        answered = {tokens for tokens, _ in self.answers}
        return len(answered.intersection(some)) / len(some)


def replay_overload(seed, *, are_sizes_known):
    """Ask for 1.6 times the slots for 12 s, by one rank of 8 customers."""
    replay = UnevenReplay(seed=seed, are_sizes_known=are_sizes_known)
    work_s = FIRST_S + TOKEN_S * MEDIAN_TOKENS * math.exp(OUTPUT_SIGMA**2 / 2)
    for number in range(8):
        rate = 60 / work_s / 8
        replay.offer(PLAN, f'c{number}', rate * 0.8, 0, 4)
        replay.offer(PLAN, f'c{number}', rate * 1.6, 4, 16)
    replay.run(40)
    return replay


@pytest.mark.parametrize('seed', range(4))
def test_known_sizes_let_more_callers_be_answered_in_aim(seed):
    """A few long requests take the slots of many short ones."""
    counts = {
        are_sizes_known: sum(
            is_in_aim
            for _, is_in_aim in replay_overload(
                seed, are_sizes_known=are_sizes_known
            ).answers
        )
        for are_sizes_known in (False, True)
    }
    assert counts[True] > counts[False]


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('part', [(0, 0.1), (0.1, 0.3)])
def test_the_largest_are_served_half_as_often_as_all(seed, part):
    """Short requests must not displace all of the long ones."""
    replay = replay_overload(seed, are_sizes_known=True)
    assert replay.measure_share(*part) >= 0.5 * replay.measure_share(0, 1)


@pytest.mark.parametrize(
    ('tokens', 'estimate_s'),
    [(0, 1.0), (100, 0.5 + 1.0), (1, 0.51), (10_000, 8.0)],
)
def test_work_is_estimated_from_the_declared_output(tokens, estimate_s):
    """0.01 s a token, between a fifth and eight times the mean of 1 s."""
    estimator = workestimates.WorkEstimator()
    assert estimator.estimate(tokens, first_s=0.5, mean_s=1) == 1
    for _ in range(20):
        estimator.note(50, 0.5)
    estimate = estimator.estimate(tokens, first_s=0.5, mean_s=1)
    assert estimate == pytest.approx(estimate_s)


def test_a_request_without_a_size_waits_for_half_of_its_time_at_most():
    """The rule without sizes holds for callers that declare none."""
    assert sizeadmission.SizeAdmission().find_wait_ratio(1) == 0.5
    sizes = sizeadmission.SizeAdmission()
    sizes.note(1, is_accepted=True)
    assert sizes.find_wait_ratio(0) == 0.5
