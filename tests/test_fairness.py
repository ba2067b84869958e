"""Strict tiers, weighted fairness within a tier, and the rows' limits."""

import collections

import hypothesis
from hypothesis import strategies

from lavenderledge import outcomes
from lavenderledge.peers import messages
from lavenderledge.policy import (
    allocation,
    limits,
    replicas,
    requests,
)
from lavenderledge.policy import (
    pool as pools,
)
from tests import fleet

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
TOLERANCE = 0.1
BACKLOG_S = 10
GAP_S = 0.02


@SETTINGS
@hypothesis.given(
    weights=strategies.lists(
        strategies.sampled_from((1.0, 2.0, 3.0, 5.0)), min_size=2, max_size=4
    ),
    lengths=strategies.lists(
        strategies.integers(10, 60), min_size=4, max_size=4
    ),
    estimate_errors=strategies.lists(
        strategies.sampled_from((0.5, 1, 2)), min_size=4, max_size=4
    ),
)
def test_rows_share_by_weight_over_ten_seconds(
    weights, lengths, estimate_errors
):
    pool = fleet.build_pool()
    served = collections.Counter()
    ends = []
    for flow, weight in enumerate(weights):
        for number in range(BACKLOG_S * 8 * 60 // lengths[flow]):
            spec = fleet.build_spec(
                f'{flow}-{number}',
                row=f'{flow}',
                weight=weight,
                prompt_tokens=0,
                output_tokens=max(
                    1, int(lengths[flow] * estimate_errors[flow])
                ),
                remaining_s=1e6,
            )
            fleet.add(pool, spec)
    now_s = 0
    while now_s < BACKLOG_S:
        for granted in allocation.decide(pool, now_s).granted:
            flow = int(granted.request.spec.row)
            ends.append((now_s + lengths[flow] * GAP_S, flow, granted.request))
        ends.sort(key=lambda end: end[0])
        now_s, flow, request = ends.pop(0)
        served[flow] += lengths[flow]
        fleet.release(pool, request, now_s=now_s, output_done=lengths[flow])
    for end_s, flow, _ in ends:
        served[flow] += lengths[flow] - int((end_s - BACKLOG_S) / GAP_S)
    total = sum(served.values())
    for flow, weight in enumerate(weights):
        expected = total * weight / sum(weights)
        # Answers are granted whole, so a row may be off by one answer.
        assert (
            abs(served[flow] - expected) <= TOLERANCE * expected + lengths[flow]
        )


def test_customers_share_a_row_equally_and_idle_time_earns_no_credit():
    pool = fleet.build_pool()
    for number in range(40):
        fleet.add(pool, fleet.build_spec(f'busy-{number}', customer='busy'))
    first = allocation.decide(pool, 0).granted
    assert len(first) == 8
    for number in range(20):
        fleet.add(pool, fleet.build_spec(f'new-{number}', customer='new'))
    for granted in first:
        fleet.release(pool, granted.request, now_s=1, output_done=50)
    second = allocation.decide(pool, 1).granted
    customers = collections.Counter(
        granted.request.spec.customer for granted in second
    )
    assert customers == {'busy': 4, 'new': 4}


@SETTINGS
@hypothesis.given(
    tiers=strategies.lists(strategies.integers(1, 4), min_size=1, max_size=40),
    engines=strategies.integers(1, 2),
)
def test_no_lower_tier_is_granted_before_a_higher(tiers, engines):
    pool = fleet.build_pool(engines=engines)
    for number, tier in enumerate(tiers):
        fleet.add(pool, fleet.build_spec(f'{number}', tier=tier))
    granted = allocation.decide(pool, 0.3).granted
    assert [grant.request.spec.tier for grant in granted] == sorted(tiers)[
        : engines * 8
    ]


@SETTINGS
@hypothesis.given(
    times=strategies.lists(
        strategies.floats(0, 20), min_size=1, max_size=60
    ).map(sorted),
    rate=strategies.floats(0.5, 5),
    burst=strategies.integers(1, 5),
)
def test_the_rate_limit_holds_over_any_interval_and_charges_once(
    times, rate, burst
):
    row = fleet.build_row('rated', rate=rate, burst=burst)
    rates = limits.RateLimits()
    admitted_s = []
    for number, now_s in enumerate(times):
        for _ in range(3):
            wait_s = rates.charge(
                f'{number}', name='rated', row=row, share=1, now_s=now_s
            )
            if wait_s is not None:
                assert wait_s > 0
                break
        else:
            admitted_s.append(now_s)
    for first, start_s in enumerate(admitted_s):
        for last in range(first, len(admitted_s)):
            span_s = admitted_s[last] - start_s
            assert last - first + 1 <= burst + rate * span_s + 1e-6


def test_a_request_is_charged_once_across_a_takeover():
    row = fleet.build_row('rated', rate=0.1, burst=1)
    pool = fleet.build_pool(rows=[row])
    for request_id in ('1', '2', '3'):
        spec = fleet.build_spec(request_id, row='rated', waited_s=1)
        fleet.add(pool, spec)
    for _ in range(2):
        fleet.add(pool, fleet.build_spec('4', row='rated'))
        report = messages.Report('a', 1, fleet.POOL, 1, 0, 0, (), (), ())
        pool.intake.apply_report(report, share=1, now_s=0)
    assert not pool.intake.refused
    fleet.add(pool, fleet.build_spec('5', row='rated'))
    assert fleet.list_refused(pool) == [outcomes.Reason.RATE_LIMITED]


def test_the_queue_limit_refuses_the_newest_only():
    row = fleet.build_row('short', queue=2, concurrency=1)
    pool = fleet.build_pool(rows=[row])
    for number in range(2):
        fleet.add(pool, fleet.build_spec(f'{number}', row='short'))
    assert not pool.intake.refused
    fleet.add(pool, fleet.build_spec('2', row='short'))
    assert fleet.list_refused(pool) == [outcomes.Reason.QUEUE_FULL]


def test_a_concurrency_limit_blocks_its_row_only():
    rows = [
        fleet.build_row('capped', concurrency=2),
        fleet.build_row('free'),
    ]
    pool = fleet.build_pool(rows=rows)
    for number in range(4):
        fleet.add(pool, fleet.build_spec(f'capped-{number}', row='capped'))
        fleet.add(pool, fleet.build_spec(f'free-{number}', row='free'))
    granted = allocation.decide(pool, 0).granted
    by_row = collections.Counter(grant.request.spec.row for grant in granted)
    assert by_row == {'capped': 2, 'free': 4}
    fleet.release(pool, granted[0].request, now_s=1, output_done=50)
    freed = granted[0].request.spec.row
    again = allocation.decide(pool, 1).granted
    assert [grant.request.spec.row for grant in again] == (
        ['capped'] if freed == 'capped' else []
    )


@SETTINGS
@hypothesis.given(
    reporting_counts=strategies.lists(
        strategies.integers(1, 5), min_size=1, max_size=4
    ),
    engines=strategies.integers(1, 5),
)
def test_partitioned_allocators_never_exceed_the_capacity(
    reporting_counts, engines
):
    alive = sum(reporting_counts)
    total = 0
    for reporting in reporting_counts:
        pool = fleet.build_pool(engines=engines)
        pool.fleet = pools.Fleet(reporting, alive)
        for number in range(engines * 10):
            fleet.add(pool, fleet.build_spec(f'{number}'))
        granted = len(allocation.decide(pool, 0.3).granted)
        assert granted == max(1, engines * 8 * reporting // alive)
        total += granted
    assert total <= max(engines * 8, len(reporting_counts))


def test_reports_update_the_stage_of_a_request():
    pool = fleet.build_pool()
    spec = fleet.build_spec('1')
    fleet.add(pool, spec)
    (grant,) = allocation.decide(pool, 0).granted
    report = messages.Report('a', 1, fleet.POOL, 1, 0.5, 0, (spec,), (), ())
    pool.intake.apply_report(report, share=1, now_s=0.5)
    assert grant.request.stage is requests.Stage.GRANTED
    lost = report._replace(
        sequence=2, stamp_s=1, grant_seen=grant.request.sequence
    )
    pool.intake.apply_report(lost, share=1, now_s=1)
    assert grant.request.stage is requests.Stage.WAITING
    assert not pool.intake.apply_report(report, share=1, now_s=1)
    newer = fleet.build_spec('2')
    fleet.add(pool, newer, now_s=3)
    empty = report._replace(sequence=3, stamp_s=2, waiting=())
    pool.intake.apply_report(empty, share=1, now_s=3)
    assert list(pool.state.requests) == ['2']
    pool.intake.expire_senders(10)
    assert not pool.state.requests
    assert isinstance(pool.state.find_replica('engine-0'), replicas.Replica)
