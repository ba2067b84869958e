"""``lavenderledge explain``: the decision of a real request, without one.

They guard against an explanation that differs from the decision, that changes
the state it explains, or that tells a caller's key.
"""

import asyncio
import io
import json
import pickle
import random

import pytest

from lavenderledge import core, environment, status
from lavenderledge.platform import __main__ as program
from lavenderledge.policy import (
    explanation,
    questions,
    routes,
    slotgrants,
    targetviews,
    tokenbuckets,
)
from tests import platformfleet, test_slots

QUERY = 'host=Shop.example:80&path=/safe/x&customer=dealer'
SIZE = '&prompt_tokens=900&output_tokens=9'
QUOTA = routes.Quota(10, 100)
TWO_SERVICES = [
    {'service': 'model', 'weight': 1},
    {'service': 'none', 'weight': 1},
]
NOW_S = 50.0


def make_configuration(**route):
    document = platformfleet.make_configuration(
        routes=[platformfleet.make_route('safe', 'safe', **route)]
    )
    encoded = json.dumps(document).encode()
    return program.PLATFORM.read_configuration(encoded).ok


def make_state(seed=0):
    """Return a state after random requests until ``NOW_S``."""
    rng = random.Random(seed)
    count = seed % 10 * 8
    state = test_slots.make_state(('i-0', 'i-1', 'i-2'), 2)
    for number in range(count):
        now_s = NOW_S - 3 * (1 - number / count)
        spec = test_slots.make_spec(
            f'r-{number}',
            rng.choice([0, 1, 2]),
            rng.randrange(100, 9000),
            customer=rng.choice(['dealer', 'other']),
        )
        slotgrants.enqueue(state, 'e', spec, now_s)
        slotgrants.decide(state, now_s)
        if state.held_slots and rng.random() < seed / 60:
            held = state.free(rng.choice(sorted(state.held_slots)))
            first_s = rng.uniform(0.02, 0.3)
            state.note_answer(held, first_s=first_s, slowness=0, now_s=now_s)
            if rng.random() < 0.1:
                state.note_failure(held, now_s)
    return state


def explain(query=QUERY, *, state=None, is_catching_up=False, **changes):
    knowledge = explanation.Knowledge(
        configuration=make_configuration(),
        configuration_age_s=1,
        is_superseded=False,
        max_key_age_s=4,
        max_apply_age_s=2,
        allocation=targetviews.Allocation(
            state or make_state(), is_catching_up, NOW_S + 0.05
        ),
        preview_quota=lambda spec: None,
    )._replace(**changes)
    return questions.parse_question(query).bind(
        lambda question: explanation.explain(question, knowledge)
    )


@pytest.mark.parametrize(
    ('query', 'problem'),
    [
        ('', 'host'),
        ('host=a', 'path'),
        ('host=a&path=x', 'starts with /'),
        ('host=a&path=/&host=b', 'repeated'),
        ('host=a&path=/&key=secret', 'unknown parameter'),
        ('host=a&path', 'name=value'),
        ('host=a&path=/&prompt_tokens=-1&output_tokens=1', 'whole number'),
        ('host=a&path=/&prompt_tokens=%C2%B2&output_tokens=1', 'whole number'),
        ('host=a&path=/&prompt_tokens=1', 'both'),
        ('host=a&path=/&customer=nobody', 'no customer'),
    ],
)
def test_an_invalid_question_is_told_what_is_wrong(query, problem):
    assert problem in explain(query).error


@pytest.mark.parametrize(
    ('query', 'changes', 'reason', 'answer'),
    [
        (QUERY, {}, 'shortest_duration', None),
        (QUERY, {'is_catching_up': True}, 'catching_up', None),
        ('host=a&path=/', {}, 'no_route', 404),
        ('host=shop.example&path=/safe/', {}, 'unknown_key', 401),
        (QUERY, {'configuration': None}, 'no_configuration', 503),
        (QUERY, {'configuration_age_s': 9}, 'stale_configuration', 503),
        (QUERY, {'is_superseded': True}, 'superseded_configuration', 503),
        (
            QUERY,
            {'configuration': make_configuration(service='none')},
            'no_upstream',
            503,
        ),
        (
            QUERY,
            {'configuration': make_configuration(backends=TWO_SERVICES)},
            'service_by_request_id',
            None,
        ),
    ],
)
def test_the_decision_has_its_reason(query, changes, reason, answer):
    decision = explain(query, **changes).ok['decision']
    assert (decision['reason'], decision['status']) == (reason, answer)


@pytest.mark.parametrize('seed', range(60))
def test_the_decision_is_that_of_a_real_request_and_changes_nothing(seed):
    state = make_state(seed)
    before = pickle.dumps(state)
    explained = explain(QUERY + SIZE, state=state).ok
    assert pickle.dumps(state) == before
    spec = test_slots.make_spec(
        'own', explained['rank'], 900, objective_left_s=0.5, remaining_s=3
    )
    refused = slotgrants.enqueue(state, 'e', spec, NOW_S + 0.05)
    granted, later = slotgrants.decide(state, NOW_S + 0.05)
    own = [grant.replica for grant in granted if grant.request_id == 'own']
    reasons = [
        refusal.reason
        for refusal in (refused, *later)
        if refusal is not None and refusal.request_id == 'own'
    ]
    decision = explained['decision']
    assert decision['replica'] == (own[0] if own else None)
    assert decision['reason'] == (
        'shortest_duration' if own else (*reasons, 'no_slot')[0]
    )
    replicas = explained['targets'][0]['replicas']
    chosen = [view['name'] for view in replicas if view['verdict'] == 'chosen']
    assert chosen == own


def test_a_quota_is_previewed_without_being_spent():
    tolerance = tokenbuckets.Tolerance(8, 0, 0)
    buckets = tokenbuckets.TokenBuckets(tolerance=tolerance)
    options = {'share': 1, 'now_s': NOW_S}
    assert not buckets.take('dealer', QUOTA, 80, request_id='a', **options)
    before = pickle.dumps(buckets)
    level = buckets.preview('dealer', QUOTA, 30, **options)
    assert pickle.dumps(buckets) == before
    assert (level.level, level.wait_s) == (20, 1)
    decision = explain(preview_quota=lambda spec: level).ok['decision']
    assert (decision['status'], decision['retry_after_s']) == (429, 1)


async def run(*args):
    """Run the command line; return its status and all that it writes."""
    stream = io.StringIO()
    env = environment.Environment(stdout=stream, stderr=stream, variables={})
    exit_status = await asyncio.to_thread(core.main, ('explain', *args), env)
    return exit_status, stream.getvalue()


async def test_an_operator_asks_an_instance():
    request = (platformfleet.HOST, '/safe/x', '--customer', 'dealer')
    async with platformfleet.running(replicas=2, instances=2) as fleet:
        first, second = fleet.instances.values()
        await platformfleet.wait_until(
            lambda: first._requester.allocator == second._requester.allocator
        )
        allocator = first._requester.allocator
        addresses = [
            str(fleet.instance_ports[name][2])
            for name in sorted(fleet.instances, key=lambda n: n != allocator)
        ]
        shown = await run(addresses[0], *request, '--json')
        text = await run(addresses[0], *request)
        own_view = await run(addresses[1], *request)
        invalid = await run(addresses[0], platformfleet.HOST, 'x')
        unreachable = await run('127.0.0.1:1', *request)
        assert not fleet.list_runs()
    explained = json.loads(shown[1])
    assert (explained['allocator'], explained['is_allocator']) == (
        allocator,
        True,
    )
    assert explained['decision']['replica'] in {'i-0', 'i-1'}
    assert explained['decision']['replica'] in text[1]
    assert f'allocator: {allocator}' in own_view[1]
    assert 'decision: outcome=granted' in own_view[1]
    assert platformfleet.KEY not in shown[1] + text[1] + own_view[1]
    assert invalid[0] is status.ExitStatus.USAGE
    assert 'starts with /' in invalid[1]
    assert unreachable[0] is status.ExitStatus.UNAVAILABLE
