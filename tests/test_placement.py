"""Placement: speeds, limits, stragglers, prefixes and preemption."""

import random

import hypothesis
import pytest
from hypothesis import strategies

from lavenderledge import outcomes
from lavenderledge.peers import messages
from lavenderledge.policy import (
    allocation,
    concurrencylimits,
    placement,
    preemption,
    prefix,
    speed,
    stragglers,
)
from tests import fleet

SETTINGS = hypothesis.settings(derandomize=True, deadline=None)
VICTIMS = strategies.lists(
    strategies.builds(
        preemption.Victim,
        tier=strategies.integers(1, 4),
        work=strategies.integers(0, 1000),
        request_id=strategies.uuids().map(str),
        replica=strategies.just('engine-0'),
    ),
    max_size=20,
)


def build_option(name, **changes):
    option = placement.Option(
        replica=name,
        slots=1,
        gap_s=0.03,
        min_gap_s=0.03,
        prefill_rate=5000.0,
        queued_tokens=0,
        cached_tokens=0,
        free_in_s=10.0,
        outstanding=0,
        reported_load=0,
    )
    return option._replace(**changes)


def choose(*options, **changes):
    demand = placement.Demand(
        prompt_tokens=1000, output_tokens=100, remaining_s=60, waited_s=0
    )
    return placement.choose_by_finish(demand._replace(**changes), options)


@pytest.mark.parametrize(
    ('better', 'worse'),
    [
        ({}, {'gap_s': 0.06, 'min_gap_s': 0.06}),
        ({}, {'queued_tokens': 9000}),
        ({}, {'prefill_rate': 500.0}),
        ({'cached_tokens': 900}, {}),
        ({'gap_s': 0.04}, {'slots': 0}),
    ],
)
def test_the_earlier_finish_is_chosen(better, worse):
    options = [build_option('worse', **worse), build_option('better', **better)]
    assert choose(*options) == placement.Choice(
        placement.Decision.PLACE, 'better'
    )


def test_only_a_long_answer_waits_for_a_faster_replica():
    slow = build_option('slow', gap_s=0.06, min_gap_s=0.06)
    fast = build_option('fast', slots=0, gap_s=0.02, free_in_s=0.1)
    deferred = choose(slow, fast, output_tokens=300)
    assert deferred == placement.Choice(placement.Decision.WAIT, 'slow')
    short = choose(slow, fast, output_tokens=5)
    assert short.decision is placement.Decision.PLACE
    later = choose(
        slow, fast, output_tokens=300, waited_s=placement.MAX_DEFER_S
    )
    assert later == placement.Choice(placement.Decision.PLACE, 'slow')


def test_a_waiting_request_reserves_its_slot_against_lower_tiers():
    pool = fleet.build_pool(engines=2)
    slow, fast = pool.state.replicas.values()
    for replica, gap_s in ((slow, 0.08), (fast, 0.01)):
        replica.speed.note_gaps(batch=1, gaps=50, mean_gap_s=gap_s)
    slow.limit.max_concurrency = 1
    fast.limit.max_concurrency = 1
    fleet.add(pool, fleet.build_spec('first', output_tokens=10))
    assert allocation.decide(pool, 0).granted[0].info.name == 'engine-1'
    fleet.add(pool, fleet.build_spec('long', output_tokens=500))
    fleet.add(pool, fleet.build_spec('note', tier=4, output_tokens=5))
    assert not allocation.decide(pool, 0.1).granted
    late = allocation.decide(pool, 0.1 + placement.MAX_DEFER_S).granted
    assert [grant.request.request_id for grant in late] == ['long']


def test_a_tier_is_served_in_order_of_arrival():
    pool = fleet.build_pool()
    pool.state.replicas['engine-0'].limit.max_concurrency = 2
    for name, tier, remaining_s in (
        ('urgent', 1, 1.8),
        ('safe', 1, 60),
        ('note', 2, 60),
    ):
        fleet.add(
            pool,
            fleet.build_spec(name, tier=tier, remaining_s=remaining_s),
        )
    granted = allocation.decide(pool, 0).granted
    names = [grant.request.request_id for grant in granted]
    assert names == ['urgent', 'safe']


def test_lower_tiers_wait_while_no_free_replica_meets_a_higher_deadline():
    pool = build_slow_and_fast(slow_gap_s=0.5)
    fleet.add(pool, fleet.build_spec('first', remaining_s=5))
    assert len(allocation.decide(pool, 0).granted) == 1
    fleet.add(pool, fleet.build_spec('second', tier=2, remaining_s=5))
    fleet.add(pool, fleet.build_spec('note', tier=3))
    assert not allocation.decide(pool, 0).granted
    release(pool, 'first', now_s=1)
    names = [
        grant.request.request_id for grant in allocation.decide(pool, 1).granted
    ]
    assert names == ['second', 'note']


def test_lower_tiers_wait_while_a_higher_waits_for_a_faster_replica():
    pool = build_slow_and_fast(slow_gap_s=0.1)
    fleet.add(pool, fleet.build_spec('first', output_tokens=10))
    assert len(allocation.decide(pool, 0).granted) == 1
    fleet.add(pool, fleet.build_spec('held', tier=2))
    fleet.add(pool, fleet.build_spec('note', tier=3, output_tokens=1))
    assert not allocation.decide(pool, 0).granted


def build_slow_and_fast(*, slow_gap_s):
    """Build a pool of a slow replica and a fast one with a single slot."""
    pool = fleet.build_pool(engines=2)
    slow, fast = pool.state.replicas.values()
    for replica, gap_s in ((slow, slow_gap_s), (fast, 0.01)):
        replica.speed.note_gaps(batch=1, gaps=64, mean_gap_s=gap_s)
        replica.last_reading_s = 0
    fast.limit.max_concurrency = 1
    return pool


def release(pool, name, *, now_s):
    request = pool.state.requests[name]
    fleet.release(pool, request, now_s=now_s, output_done=50)


def test_a_request_that_cannot_meet_its_deadline_is_not_placed():
    slow = build_option('slow', gap_s=0.1, min_gap_s=0.1)
    full = build_option('full', slots=0)
    assert choose(slow, full, remaining_s=5).decision is placement.Decision.WAIT
    assert (
        choose(slow, remaining_s=5).decision is placement.Decision.UNREACHABLE
    )
    without_lower = slow._replace(min_gap_s=0.02)
    assert choose(without_lower, remaining_s=10).replica == 'slow'


def test_the_speed_fit_follows_the_batch_under_noise():
    noise = random.Random(1)
    estimate = speed.Speed()
    for _ in range(300):
        batch = noise.uniform(2, 30)
        gap_s = (0.02 + 0.001 * batch) * noise.uniform(0.8, 1.2)
        estimate.note_gaps(batch=batch, gaps=20, mean_gap_s=gap_s)
    for batch in (4, 16, 28):
        expected_s = 0.02 + 0.001 * batch
        assert estimate.estimate_gap_s(batch) == pytest.approx(
            expected_s, rel=0.15
        )


@pytest.mark.parametrize(
    ('saturation_batch', 'base_s'), [(24, 0.018), (10, 0.04), (24, 0.008)]
)
def test_the_limit_converges_to_saturation_under_noise(
    saturation_batch, base_s
):
    noise = random.Random(2)
    limit = concurrencylimits.Limit()
    limits = []
    for period in range(400):
        batch = limit.max_concurrency * noise.uniform(0.9, 1)
        level = 1 + 0.02 * (min(batch, saturation_batch) - 1)
        gap_s = (
            base_s
            * level
            * max(1, batch / saturation_batch)
            * noise.uniform(0.9, 1.1)
        )
        limit.note_gaps(
            batch=batch, gaps=50, total_gap_s=50 * gap_s, now_s=period * 0.6
        )
        limits.append(limit.max_concurrency)
    converged = limits[100:]
    assert (
        saturation_batch * 0.7
        <= sum(converged) / len(converged)
        <= saturation_batch * 1.7
    )


def test_a_limit_far_over_saturation_shrinks_while_gaps_meet_the_target():
    limit = concurrencylimits.Limit(start=60)
    for period in range(200):
        batch = limit.max_concurrency if period > 10 else 16 + 4 * period
        gap_s = 0.005 * max(1, batch / 16)
        limit.note_gaps(
            batch=batch, gaps=50, total_gap_s=50 * gap_s, now_s=period * 0.6
        )
    assert limit.max_concurrency < 30


def test_the_limit_shrinks_over_the_target_gap_and_not_while_idle():
    limit = concurrencylimits.Limit(start=20)
    for period in range(10):
        limit.note_gaps(batch=2, gaps=50, total_gap_s=50 * 0.02, now_s=period)
    assert limit.max_concurrency == 20
    for period in range(20):
        limit.note_gaps(
            batch=20, gaps=50, total_gap_s=50 * 0.2, now_s=20 + period
        )
    assert limit.max_concurrency < 10


@SETTINGS
@hypothesis.given(
    slow=strategies.sets(strategies.integers(0, 4), max_size=2),
    factor=strategies.floats(2.5, 10),
)
def test_stragglers_are_detected_and_return(slow, factor):
    slowdowns = [stragglers.Slowdown() for _ in range(5)]
    statuses = [
        stragglers.StragglerStatus(stragglers.State.NORMAL, 0)
        for _ in slowdowns
    ]

    def run(ratios, start_s, duration_s):
        for step in range(int(duration_s * 5)):
            now_s = start_s + step / 5
            for slowdown, ratio in zip(slowdowns, ratios, strict=True):
                slowdown.note_gaps(
                    gaps=10,
                    total_gap_s=0.2 * ratio,
                    expected_gap_s=0.02,
                    now_s=now_s,
                )
            median_ratio = stragglers.find_median_ratio(
                slowdown.ratio() for slowdown in slowdowns
            )
            statuses[:] = [
                stragglers.update_status(
                    status,
                    ratio=slowdown.ratio(),
                    median_ratio=median_ratio,
                    last_reading_s=slowdown.last_reading_s,
                    now_s=now_s,
                )
                for status, slowdown in zip(statuses, slowdowns, strict=True)
            ]
        return {
            number
            for number, status in enumerate(statuses)
            if status.state is not stragglers.State.NORMAL
        }

    assert not run([1] * 5, 0, 2)
    ratios = [factor if number in slow else 1 for number in range(5)]
    assert run(ratios, 2, 2) == slow
    for number in slow:
        limit = stragglers.scale_limit(statuses[number], 8, now_s=4)
        assert limit == 0
    assert not run([1] * 5, 4, 7)
    assert not run([factor] * 5, 11, 4)


def test_prefix_history_follows_dispatches_events_and_lost_events():
    history = prefix.PrefixHistory()
    history.note_dispatch('engine-0', (1, 2, 3, 4))
    assert history.match('engine-0', (1, 2, 3, 9)) == 3
    assert history.match('engine-1', (1, 2, 3, 9)) == 0
    history.note_events(
        'engine-0', [prefix.CacheEvent(False, 3)], events_lost=False
    )
    assert history.match('engine-0', (1, 2, 3)) == 2
    history.note_events('engine-0', [], events_lost=True)
    assert history.match('engine-0', (1, 2, 3)) == 1
    history.note_events(
        'engine-0', [prefix.CacheEvent(True, 2)], events_lost=False
    )
    assert history.match('engine-0', (1, 2, 3)) == 2
    for _ in range(20):
        history.note_expected('engine-0', 1000)
        history.note_cached('engine-0', 100)
    assert history.match('engine-0', (1, 2, 3)) < 1
    history.note_dispatch('engine-1', range(10_000))
    assert history.match('engine-1', (0, 1)) == 0


@SETTINGS
@hypothesis.given(
    held=VICTIMS, tier=strategies.integers(1, 4), need=strategies.integers(0, 9)
)
def test_victims_are_the_fewest_lowest_and_cheapest(held, tier, need):
    chosen = preemption.select_victims(held, tier=tier, need=need)
    lower = [victim for victim in held if victim.tier > tier]
    assert len(chosen) == min(need, len(lower))
    assert all(victim.tier > tier for victim in chosen)
    spared = [victim for victim in lower if victim not in chosen]
    for victim in chosen:
        for other in spared:
            assert (-victim.tier, victim.work) <= (-other.tier, other.work)


@SETTINGS
@hypothesis.given(
    notes=strategies.integers(0, 8),
    fixed=strategies.integers(0, 8),
    plans=strategies.integers(1, 12),
)
def test_no_more_is_cancelled_than_needed(notes, fixed, plans):
    pool = fleet.build_pool()
    for number in range(notes + fixed):
        fleet.add(
            pool,
            fleet.build_spec(
                f'low-{number}', tier=4, preemptible=number < notes
            ),
        )
    held = len(allocation.decide(pool, 0).granted)
    for number in range(plans):
        fleet.add(pool, fleet.build_spec(f'high-{number}'))
    first = allocation.decide(pool, 0.01)
    need = max(0, plans - len(first.granted))
    assert not first.preempted
    later = allocation.decide(pool, 0.7).preempted
    low_held = min(notes, held)
    assert len(later) == min(need, low_held)
    assert not allocation.decide(pool, 0.8).preempted
    assert len(allocation.decide(pool, 1.5).preempted) == len(later)


def test_an_immediate_request_is_refused_only_without_lower_tier_work():
    pool = fleet.build_pool(fleet_size=2)
    for number in range(9):
        fleet.add(
            pool,
            fleet.build_spec(f'fixed-{number}', tier=4, preemptible=False),
        )
    assert len(allocation.decide(pool, 0).granted) == 8
    fleet.add(pool, fleet.build_spec('plan', immediate=True))
    pool.fleet = pool.fleet._replace(reporting=1)
    allocation.decide(pool, 0.1)
    assert fleet.list_refused(pool) == [outcomes.Reason.DISPLACED]
    allocation.decide(pool, 0.2)
    assert len(pool.intake.refused) == 1
    pool.fleet = pool.fleet._replace(reporting=2)
    allocation.decide(pool, 0.3)
    assert fleet.list_refused(pool)[1:] == [outcomes.Reason.OVERLOADED]


def test_an_immediate_request_cancels_lower_tiers_before_being_refused():
    pool = fleet.build_pool()
    for number in range(9):
        fleet.add(pool, fleet.build_spec(f'note-{number}', tier=4))
    assert len(allocation.decide(pool, 0).granted) == 8
    fleet.add(pool, fleet.build_spec('plan', immediate=True))
    assert len(allocation.decide(pool, 0.01).preempted) == 1
    allocation.decide(pool, 0.1)
    assert not pool.intake.refused


def test_a_failed_replica_gets_no_requests_during_backoff():
    pool = fleet.build_pool(engines=2)
    reading = messages.Reading('engine-0', 0, 0, 0, 0, 0, 0, failures=1)
    pool.state.replicas['engine-0'].note_reading(reading, now_s=0)
    fleet.add(pool, fleet.build_spec('1'))
    (grant,) = allocation.decide(pool, 0.1).granted
    assert grant.info.name == 'engine-1'
    assert pool.state.replicas['engine-0'].is_available(0.3)


@pytest.mark.parametrize(
    ('name', 'chosen'),
    [
        ('round-robin', ['engine-1', 'engine-0', 'engine-1', 'engine-0']),
        ('least-loaded', ['engine-0'] * 4),
    ],
)
def test_baselines_grant_at_once(name, chosen):
    instances = fleet.Fleet(replicas=2, policy=name)
    node = instances.nodes['a']
    instances.advance(1)
    node.allocator.note_load(fleet.POOL, 'engine-1', 5, 5)
    tasks = [
        instances.acquire('a', fleet.build_spec(f'{number}'))
        for number in range(4)
    ]
    instances.advance(0.1)
    replicas = [task.result().ok.replica for task in tasks]
    instances.close()
    assert replicas == chosen
