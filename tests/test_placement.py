"""Where a request goes: speeds, knees, stragglers, prefixes, preemption."""

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


def test_a_long_answer_waits_for_a_fast_replica_and_a_short_one_goes():
    slow = build_option('slow', gap_s=0.06, min_gap_s=0.06)
    fast = build_option('fast', slots=0, gap_s=0.02, free_in_s=0.1)
    held = choose(slow, fast, output_tokens=300)
    assert held == placement.Choice(placement.Decision.WAIT, 'slow')
    short = choose(slow, fast, output_tokens=5)
    assert short.decision is placement.Decision.PLACE
    later = choose(slow, fast, output_tokens=300, waited_s=placement.MAX_HOLD_S)
    assert later == placement.Choice(placement.Decision.PLACE, 'slow')


def test_a_held_back_request_keeps_its_slot_from_lower_tiers():
    made = fleet.build_pool(engines=2)
    slow, fast = made.state.replicas.values()
    for replica, gap_s in ((slow, 0.08), (fast, 0.01)):
        replica.speed.note_gaps(batch=1, gaps=50, mean_gap_s=gap_s)
    slow.limit.max_concurrency = 1
    fast.limit.max_concurrency = 1
    fleet.add(made, fleet.build_spec('first', output_tokens=10))
    assert allocation.decide(made, 0).granted[0].info.name == 'engine-1'
    fleet.add(made, fleet.build_spec('long', output_tokens=500))
    fleet.add(made, fleet.build_spec('note', tier=4, output_tokens=5))
    assert not allocation.decide(made, 0.1).granted
    late = allocation.decide(made, 0.1 + placement.MAX_HOLD_S).granted
    assert [grant.request.request_id for grant in late] == ['long']


def test_a_tier_is_served_in_order_of_arrival():
    made = fleet.build_pool()
    made.state.replicas['engine-0'].limit.max_concurrency = 2
    for name, tier, remaining_s in (
        ('urgent', 1, 1.8),
        ('safe', 1, 60),
        ('note', 2, 60),
    ):
        fleet.add(
            made,
            fleet.build_spec(name, tier=tier, remaining_s=remaining_s),
        )
    granted = allocation.decide(made, 0).granted
    names = [grant.request.request_id for grant in granted]
    assert names == ['urgent', 'safe']


def test_lower_tiers_wait_while_no_free_replica_is_in_time_for_a_higher():
    made = build_slow_and_fast(slow_gap_s=0.5)
    fleet.add(made, fleet.build_spec('first', remaining_s=5))
    assert len(allocation.decide(made, 0).granted) == 1
    fleet.add(made, fleet.build_spec('second', tier=2, remaining_s=5))
    fleet.add(made, fleet.build_spec('note', tier=3))
    assert not allocation.decide(made, 0).granted
    release(made, 'first', now_s=1)
    names = [
        grant.request.request_id for grant in allocation.decide(made, 1).granted
    ]
    assert names == ['second', 'note']


def test_lower_tiers_wait_while_a_higher_is_held_for_a_faster_replica():
    made = build_slow_and_fast(slow_gap_s=0.1)
    fleet.add(made, fleet.build_spec('first', output_tokens=10))
    assert len(allocation.decide(made, 0).granted) == 1
    fleet.add(made, fleet.build_spec('held', tier=2))
    fleet.add(made, fleet.build_spec('note', tier=3, output_tokens=1))
    assert not allocation.decide(made, 0).granted


def build_slow_and_fast(*, slow_gap_s):
    """Build a pool of a slow replica and a fast one with a single slot."""
    made = fleet.build_pool(engines=2)
    slow, fast = made.state.replicas.values()
    for replica, gap_s in ((slow, slow_gap_s), (fast, 0.01)):
        replica.speed.note_gaps(batch=1, gaps=64, mean_gap_s=gap_s)
        replica.last_reading_s = 0
    fast.limit.max_concurrency = 1
    return made


def release(made, name, *, now_s):
    request = made.state.requests[name]
    fleet.release(made, request, now_s=now_s, output_done=50)


def test_what_cannot_finish_in_time_is_not_started():
    slow = build_option('slow', gap_s=0.1, min_gap_s=0.1)
    full = build_option('full', slots=0)
    assert choose(slow, full, remaining_s=5).decision is placement.Decision.WAIT
    assert (
        choose(slow, remaining_s=5).decision is placement.Decision.UNREACHABLE
    )
    made_fast = slow._replace(min_gap_s=0.02)
    assert choose(made_fast, remaining_s=10).replica == 'slow'


def test_speed_is_learned_by_batch_under_noise():
    noise = random.Random(1)
    learned = speed.Speed()
    for _ in range(300):
        batch = noise.uniform(2, 30)
        gap_s = (0.02 + 0.001 * batch) * noise.uniform(0.8, 1.2)
        learned.note_gaps(batch=batch, gaps=20, mean_gap_s=gap_s)
    for batch in (4, 16, 28):
        usual_s = 0.02 + 0.001 * batch
        assert learned.estimate_gap_s(batch) == pytest.approx(usual_s, rel=0.15)


@pytest.mark.parametrize(
    ('knee', 'base_s'), [(24, 0.018), (10, 0.04), (24, 0.008)]
)
def test_the_limit_settles_about_the_knee_under_noise(knee, base_s):
    noise = random.Random(2)
    limit = concurrencylimits.Limit()
    settled = []
    for period in range(400):
        batch = limit.max_concurrency * noise.uniform(0.9, 1)
        level = 1 + 0.02 * (min(batch, knee) - 1)
        gap_s = base_s * level * max(1, batch / knee) * noise.uniform(0.9, 1.1)
        limit.note_gaps(
            batch=batch, gaps=50, total_gap_s=50 * gap_s, now_s=period * 0.6
        )
        settled.append(limit.max_concurrency)
    last = settled[100:]
    assert knee * 0.7 <= sum(last) / len(last) <= knee * 1.7


def test_a_limit_far_over_the_knee_shrinks_without_missing_the_target():
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
def test_stragglers_are_told_from_the_pool_and_return(slow, factor):
    paces = [stragglers.Slowdown() for _ in range(5)]
    statuses = [
        stragglers.StragglerStatus(stragglers.State.NORMAL, 0) for _ in paces
    ]

    def run(ratios, start_s, duration_s):
        for step in range(int(duration_s * 5)):
            now_s = start_s + step / 5
            for slowdown, ratio in zip(paces, ratios, strict=True):
                slowdown.note_gaps(
                    gaps=10,
                    total_gap_s=0.2 * ratio,
                    expected_gap_s=0.02,
                    now_s=now_s,
                )
            median_ratio = stragglers.find_median_ratio(
                slowdown.ratio() for slowdown in paces
            )
            statuses[:] = [
                stragglers.update_status(
                    status,
                    ratio=slowdown.ratio(),
                    median_ratio=median_ratio,
                    last_reading_s=slowdown.last_reading_s,
                    now_s=now_s,
                )
                for status, slowdown in zip(statuses, paces, strict=True)
            ]
        return {
            number
            for number, status in enumerate(statuses)
            if status.state is not stragglers.State.NORMAL
        }

    assert not run([1] * 5, 0, 2)
    part = [factor if number in slow else 1 for number in range(5)]
    assert run(part, 2, 2) == slow
    for number in slow:
        most = stragglers.scale_limit(statuses[number], 8, now_s=4)
        assert most == 0
    assert not run([1] * 5, 4, 7)
    assert not run([factor] * 5, 11, 4)


def test_prefix_history_follows_dispatches_events_and_gaps():
    known = prefix.PrefixHistory()
    known.note_dispatch('engine-0', (1, 2, 3, 4))
    assert known.match('engine-0', (1, 2, 3, 9)) == 3
    assert known.match('engine-1', (1, 2, 3, 9)) == 0
    known.note_events(
        'engine-0', [prefix.CacheEvent(False, 3)], events_lost=False
    )
    assert known.match('engine-0', (1, 2, 3)) == 2
    known.note_events('engine-0', [], events_lost=True)
    assert known.match('engine-0', (1, 2, 3)) == 1
    known.note_events(
        'engine-0', [prefix.CacheEvent(True, 2)], events_lost=False
    )
    assert known.match('engine-0', (1, 2, 3)) == 2
    for _ in range(20):
        known.note_expected('engine-0', 1000)
        known.note_cached('engine-0', 100)
    assert known.match('engine-0', (1, 2, 3)) < 1
    known.note_dispatch('engine-1', range(10_000))
    assert known.match('engine-1', (0, 1)) == 0


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
    made = fleet.build_pool()
    for number in range(notes + fixed):
        fleet.add(
            made,
            fleet.build_spec(
                f'low-{number}', tier=4, preemptible=number < notes
            ),
        )
    held = len(allocation.decide(made, 0).granted)
    for number in range(plans):
        fleet.add(made, fleet.build_spec(f'high-{number}'))
    first = allocation.decide(made, 0.01)
    need = max(0, plans - len(first.granted))
    assert not first.preempted
    later = allocation.decide(made, 0.7).preempted
    low_held = min(notes, held)
    assert len(later) == min(need, low_held)
    assert not allocation.decide(made, 0.8).preempted
    assert len(allocation.decide(made, 1.5).preempted) == len(later)


def test_a_pressed_request_is_refused_only_when_nothing_lower_is_left():
    made = fleet.build_pool(fleet_size=2)
    for number in range(9):
        fleet.add(
            made,
            fleet.build_spec(f'fixed-{number}', tier=4, preemptible=False),
        )
    assert len(allocation.decide(made, 0).granted) == 8
    fleet.add(made, fleet.build_spec('plan', immediate=True))
    made.fleet = made.fleet._replace(reporting=1)
    allocation.decide(made, 0.1)
    assert fleet.list_refused(made) == [outcomes.Reason.DISPLACED]
    allocation.decide(made, 0.2)
    assert len(made.intake.refused) == 1
    made.fleet = made.fleet._replace(reporting=2)
    allocation.decide(made, 0.3)
    assert fleet.list_refused(made)[1:] == [outcomes.Reason.OVERLOADED]


def test_a_pressed_request_cancels_lower_work_rather_than_be_refused():
    made = fleet.build_pool()
    for number in range(9):
        fleet.add(made, fleet.build_spec(f'note-{number}', tier=4))
    assert len(allocation.decide(made, 0).granted) == 8
    fleet.add(made, fleet.build_spec('plan', immediate=True))
    assert len(allocation.decide(made, 0.01).preempted) == 1
    allocation.decide(made, 0.1)
    assert not made.intake.refused


def test_a_failing_replica_gets_nothing_for_a_while():
    made = fleet.build_pool(engines=2)
    reading = messages.Reading('engine-0', 0, 0, 0, 0, 0, 0, failures=1)
    made.state.replicas['engine-0'].note_reading(reading, now_s=0)
    fleet.add(made, fleet.build_spec('1'))
    (grant,) = allocation.decide(made, 0.1).granted
    assert grant.info.name == 'engine-1'
    assert made.state.replicas['engine-0'].is_available(0.3)


@pytest.mark.parametrize(
    ('name', 'chosen'),
    [
        ('round-robin', ['engine-1', 'engine-0', 'engine-1', 'engine-0']),
        ('least-loaded', ['engine-0'] * 4),
    ],
)
def test_baselines_grant_at_once(name, chosen):
    made = fleet.Fleet(replicas=2, policy=name)
    node = made.nodes['a']
    made.advance(1)
    node.allocator.note_load(fleet.POOL, 'engine-1', 5, 5)
    tasks = [
        made.acquire('a', fleet.build_spec(f'{number}')) for number in range(4)
    ]
    made.advance(0.1)
    replicas = [task.result().ok.replica for task in tasks]
    made.close()
    assert replicas == chosen
