"""Buckets of quotas, which a new allocator fills by what it is told."""

import hypothesis
import pytest
from hypothesis import strategies as st

from lavenderledge.policy import routes, spending, tokenbuckets

QUOTA = routes.Quota(10_000, 60_000)
TOLERANCE = tokenbuckets.Tolerance(8, 0.1, 190_000)
COST = 4000
AMOUNTS = st.floats(1, 1e5)


@hypothesis.given(
    rate=AMOUNTS,
    burst=AMOUNTS,
    tolerance=st.builds(
        tokenbuckets.Tolerance,
        window_s=st.floats(1, 20),
        overrun=st.floats(0, 0.5),
        slack=st.floats(0, 1e6),
    ),
    steps=st.lists(
        st.tuples(st.floats(0, 3), st.floats(0.01, 0.5), st.booleans()),
        max_size=80,
    ),
)
def test_no_window_exceeds_the_tolerance_whatever_allocators_follow(
    rate, burst, tolerance, steps
):
    quota = routes.Quota(rate, burst)
    buckets = tokenbuckets.TokenBuckets(tolerance=tolerance)
    extra = tokenbuckets.compute_extra_burst(quota, tolerance)
    spent = []
    now_s = 0
    for number, (pause_s, cost_ratio, is_new) in enumerate(steps):
        now_s += pause_s
        if is_new:
            former = buckets
            buckets = tokenbuckets.TokenBuckets(tolerance=tolerance)
            buckets.merge(former.list_spendings(now_s), now_s)
        cost = (burst + extra) * cost_ratio
        if not buckets.take(
            'dealer', quota, cost, request_id=str(number), share=1, now_s=now_s
        ):
            spent.append((now_s, cost))
    for end_s, _ in spent:
        window = [
            cost
            for at_s, cost in spent
            if end_s - tolerance.window_s < at_s <= end_s
        ]
        assert sum(window) <= tolerance.compute_bound(quota) * 1.000001


@hypothesis.given(
    rate=AMOUNTS,
    burst=AMOUNTS,
    steps=st.lists(
        st.tuples(st.floats(0, 3), st.floats(0.01, 0.5), st.booleans()),
        max_size=80,
    ),
)
def test_a_request_within_the_quota_is_not_refused_by_a_new_allocator(
    rate, burst, steps
):
    quota = routes.Quota(rate, burst)
    tolerance = tokenbuckets.Tolerance(8, 0.1, 0)
    buckets = tokenbuckets.TokenBuckets(tolerance=tolerance)
    now_s = 0
    level = burst
    for number, (pause_s, cost_ratio, is_new) in enumerate(steps):
        now_s += pause_s
        level = min(burst, level + pause_s * rate)
        if is_new:
            former = buckets
            buckets = tokenbuckets.TokenBuckets(tolerance=tolerance)
            buckets.merge(former.list_spendings(now_s), now_s)
        cost = burst * cost_ratio
        if level < cost * 1.000001:
            continue
        level -= cost
        assert not buckets.take(
            'dealer', quota, cost, request_id=str(number), share=1, now_s=now_s
        )


def test_a_charge_that_is_reported_back_counts_once():
    ledger = spending.SpendingLedger(window_s=8)
    charged = spending.Spending('r-0', 'dealer', COST, 100)
    ledger.charge(charged, share=1)
    ledger.merge([charged, charged._replace(request_id='r-1')], 101)
    ledger.merge([charged._replace(request_id='r-1', at_s=100.1)], 101)
    assert [spent.request_id for spent in ledger.list_all(101)] == [
        'r-0',
        'r-1',
    ]
    assert not ledger.list_all(108.2)


def test_a_refused_request_is_not_spent():
    buckets = tokenbuckets.TokenBuckets(tolerance=TOLERANCE)
    buckets.take('dealer', QUOTA, COST, request_id='r-0', share=1, now_s=100)
    buckets.refund('dealer', COST, request_id='r-0')
    assert not buckets.list_spendings(100)


def test_the_wait_for_a_full_window_ends_with_its_oldest_spending():
    ledger = spending.SpendingLedger(window_s=8)
    for number in range(3):
        spent = spending.Spending(str(number), 'dealer', 10, 100 + number)
        ledger.charge(spent, share=1)
    options = {'bound': 30, 'share': 1, 'now_s': 104}
    assert ledger.compute_wait_s('dealer', 10, **options) == pytest.approx(4)
    assert ledger.compute_wait_s('dealer', 20, **options) == pytest.approx(5)
    assert ledger.compute_wait_s('dealer', 99, **options) == pytest.approx(6)
    assert not ledger.compute_wait_s('other', 99, **options)


def test_the_first_request_at_a_new_allocator_does_not_fix_the_level():
    # It is asked while one of nine instances has reported.
    tolerance = tokenbuckets.Tolerance(8, 0.1, 0)
    buckets = tokenbuckets.TokenBuckets(tolerance=tolerance)
    costs = {'r-0': COST, 'r-1': QUOTA.burst - 2 * COST}
    for request_id, share in (('r-0', 1 / 9), ('r-1', 1)):
        assert not buckets.take(
            'dealer',
            QUOTA,
            costs[request_id],
            request_id=request_id,
            share=share,
            now_s=100,
        )


@hypothesis.given(
    rate=AMOUNTS,
    burst=AMOUNTS,
    steps=st.lists(
        st.tuples(
            st.floats(0, 3),
            st.floats(0.01, 0.5),
            st.sampled_from((0.5, 0.9, 1)),
        ),
        max_size=80,
    ),
)
def test_no_window_exceeds_the_tolerance_as_the_share_changes(
    rate, burst, steps
):
    quota = routes.Quota(rate, burst)
    tolerance = tokenbuckets.Tolerance(8, 0.1, 1e5)
    buckets = tokenbuckets.TokenBuckets(tolerance=tolerance)
    spent = []
    now_s = 0
    for number, (pause_s, cost_ratio, share) in enumerate(steps):
        now_s += pause_s
        cost = burst * cost_ratio
        if not buckets.take(
            'dealer',
            quota,
            cost,
            request_id=str(number),
            share=share,
            now_s=now_s,
        ):
            spent.append((now_s, cost))
    for end_s, _ in spent:
        window = [cost for at_s, cost in spent if end_s - 8 < at_s <= end_s]
        assert sum(window) <= tolerance.compute_bound(quota) * 1.000001


def test_a_cost_above_the_burst_is_no_greater_debt_at_a_new_allocator():
    waits = []
    for is_new in (False, True):
        buckets = tokenbuckets.TokenBuckets(tolerance=TOLERANCE)
        options = {'share': 1, 'now_s': 100}
        large = QUOTA.burst * 1.5
        buckets.take('dealer', QUOTA, large, request_id='r-0', **options)
        if is_new:
            former = buckets
            buckets = tokenbuckets.TokenBuckets(tolerance=TOLERANCE)
            buckets.merge(former.list_spendings(100), 100)
        waits.append(
            buckets.take(
                'dealer', QUOTA, QUOTA.burst, request_id='r-1', **options
            )
        )
    assert waits[0] == pytest.approx(waits[1])
