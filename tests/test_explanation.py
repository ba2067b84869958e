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
from lavenderledge.http1 import bounds
from lavenderledge.peers import slotmessages
from lavenderledge.policy import (
    explanation,
    questions,
    routes,
    slotgrants,
    slots,
    targetviews,
    tokenbuckets,
)
from tests import platformfleet

SERVICE = 'model'
QUERY = 'host=Shop.example:80&path=/chat/x&customer=dealer'
QUOTA = routes.Quota(10, 100)
NOW_S = 50.0


def make_configuration(*, objective_s=0.5, public=False, services=(SERVICE,)):
    route = routes.Route(
        name='chat',
        host='shop.example',
        path_prefix='/chat/',
        targets=tuple(routes.Target(name, 1) for name in services),
        route_type=routes.RouteType.IDEMPOTENT,
        max_attempts=2,
        timeout_s=3,
        objective_s=objective_s,
        max_silence_s=2,
        tier=1,
        public=public,
    )
    customer = routes.Customer('dealer', None, QUOTA, True, 30)
    return routes.Configuration(
        version=3,
        routes_by_host=routes.index_routes([route]),
        customers_by_key={'secret': customer},
        quotas={'dealer': QUOTA},
        has_customers=True,
        limits=bounds.Bounds(1, 1, 1, 1),
    )


def make_state(seed=0, *, replicas=3):
    """Return a state after random requests until ``NOW_S``."""
    rng = random.Random(seed)
    count = seed % 10 * 4
    state = slots.SlotState()
    state.set_replicas(
        [
            slots.ReplicaInfo(f'i-{n}', SERVICE, f'a:{n}', 'a', 2, 0)
            for n in range(replicas)
        ],
        0,
    )
    for number in range(count):
        now_s = NOW_S - 1 + number / count
        slotgrants.enqueue(state, 'e', make_spec(f'r-{number}', rng), now_s)
        slotgrants.decide(state, now_s)
        if state.held_slots and rng.random() < 0.3 + seed / 80:
            held = state.free(rng.choice(sorted(state.held_slots)))
            first_s = rng.uniform(0.02, 0.3)
            state.note_answer(held, first_s=first_s, slowness=0, now_s=now_s)
        if rng.random() < 0.05:
            state.find_replica(f'i-{number % replicas}').health.note_failure(
                now_s
            )
    return state


def make_spec(request_id, rng):
    return slotmessages.RequestSpec(
        request_id=request_id,
        service=SERVICE,
        customer=rng.choice(['dealer', 'other']),
        tier=rng.choice([0, 1, 2]),
        prompt_tokens=rng.randrange(100, 9000),
        objective_left_s=0.5,
        remaining_s=3,
        cost=0,
    )


def explain(query=QUERY, **changes):
    knowledge = explanation.Knowledge(
        configuration=make_configuration(),
        configuration_age_s=1,
        is_superseded=False,
        max_key_age_s=4,
        max_apply_age_s=2,
        allocation=targetviews.Allocation(make_state(), False, NOW_S),
        preview_quota=lambda spec: None,
    )
    return questions.parse_question(query).bind(
        lambda question: explanation.explain(
            question, knowledge._replace(**changes)
        )
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
    ('query', 'changes', 'outcome', 'reason', 'answer'),
    [
        (QUERY, {}, 'granted', 'shortest_duration', None),
        ('host=a&path=/', {}, 'refused', 'no_route', 404),
        ('host=shop.example&path=/chat/', {}, 'refused', 'unknown_key', 401),
        (QUERY, {'configuration': None}, 'refused', 'no_configuration', 503),
        (
            QUERY,
            {'configuration_age_s': 9},
            'refused',
            'stale_configuration',
            503,
        ),
        (
            QUERY,
            {'is_superseded': True},
            'refused',
            'superseded_configuration',
            503,
        ),
        (
            QUERY,
            {'configuration': make_configuration(services=('none',))},
            'refused',
            'no_upstream',
            503,
        ),
        (
            QUERY,
            {'configuration': make_configuration(services=(SERVICE, 'none'))},
            'depends',
            'service_by_request_id',
            None,
        ),
        (
            QUERY,
            {'allocation': targetviews.Allocation(make_state(), True, NOW_S)},
            'waits',
            'catching_up',
            None,
        ),
    ],
)
def test_the_decision_and_its_reason(query, changes, outcome, reason, answer):
    decision = explain(query, **changes).ok['decision']
    assert (decision['outcome'], decision['reason']) == (outcome, reason)
    assert decision['status'] == answer


@pytest.mark.parametrize('seed', range(60))
def test_the_decision_is_that_of_a_real_request_and_changes_nothing(seed):
    state = make_state(seed)
    now_s = NOW_S + 0.05
    before = pickle.dumps(state)
    query = f'{QUERY}&prompt_tokens=900&output_tokens=9'
    allocation = targetviews.Allocation(state, False, now_s)
    explained = explain(query, allocation=allocation).ok
    assert pickle.dumps(state) == before
    decision = explained['decision']
    spec = make_spec('own', random.Random(0))._replace(
        customer='dealer', tier=1, prompt_tokens=900
    )
    refused = slotgrants.enqueue(state, 'e', spec, now_s)
    granted, later = slotgrants.decide(state, now_s)
    refused = refused or next((r for r in later if r.request_id == 'own'), None)
    own = [grant.replica for grant in granted if grant.request_id == 'own']
    if refused is not None:
        assert (decision['outcome'], decision['reason']) == (
            'refused',
            refused.reason,
        )
    else:
        assert decision['replica'] == (own[0] if own else None)
        assert decision['outcome'] == ('granted' if own else 'waits')
    verdicts = {
        view['name']: view['verdict']
        for view in explained['targets'][0]['replicas']
    }
    assert [name for name in verdicts if verdicts[name] == 'chosen'] == own


def test_a_quota_is_previewed_without_being_spent():
    buckets = tokenbuckets.TokenBuckets(
        tolerance=tokenbuckets.Tolerance(8, 0, 0)
    )
    options = {'share': 1, 'now_s': NOW_S}
    assert not buckets.take('dealer', QUOTA, 80, request_id='a', **options)
    before = pickle.dumps(buckets)
    level = buckets.preview('dealer', QUOTA, 30, **options)
    assert pickle.dumps(buckets) == before
    assert (level.level, level.wait_s) == (20, 1)
    explained = explain(preview_quota=lambda spec: level).ok
    assert explained['decision']['status'] == 429
    assert explained['decision']['retry_after_s'] == 1
    assert explained['quota']['cost'] == 30


async def run(*args):
    """Run the command line; return its status, output and errors."""
    streams = [io.StringIO(), io.StringIO()]
    env = environment.Environment(
        stdout=streams[0], stderr=streams[1], variables={}
    )
    exit_status = await asyncio.to_thread(core.main, ('explain', *args), env)
    return exit_status, streams[0].getvalue(), streams[1].getvalue()


async def test_an_operator_asks_an_instance():
    request = (platformfleet.HOST, '/safe/x', '--customer', 'dealer')
    async with platformfleet.running(replicas=2, instances=2) as fleet:
        names = ('entry-0', 'entry-1')
        await platformfleet.wait_until(
            lambda: (
                len(
                    {
                        running._requester.allocator
                        for running in fleet.instances.values()
                    }
                )
                == 1
            )
        )
        allocator = fleet.instances['entry-0']._requester.allocator
        other = next(name for name in names if name != allocator)
        address, other_address = (
            str(fleet.instance_ports[name][2]) for name in (allocator, other)
        )
        shown = await run(address, *request, '--json')
        text = await run(address, *request)
        own_view = await run(other_address, *request)
        invalid = await run(address, platformfleet.HOST, 'x')
        unreachable = await run('127.0.0.1:1', *request)
        runs = fleet.list_runs()
        response = await fleet.send('/safe/x', instance=allocator)
    explained = json.loads(shown[1])
    assert explained['allocator'] == allocator
    assert explained['is_allocator']
    assert explained['decision']['replica'] in {'i-0', 'i-1'}
    assert explained['decision']['replica'] in text[1]
    assert f'allocator: {allocator}' in own_view[1]
    assert 'decision: outcome=granted' in own_view[1]
    assert platformfleet.KEY not in shown[1] + text[1] + own_view[1]
    assert invalid[0] is status.ExitStatus.USAGE
    assert 'starts with /' in invalid[2]
    assert unreachable[0] is status.ExitStatus.UNAVAILABLE
    assert not runs
    assert response.status == 200
