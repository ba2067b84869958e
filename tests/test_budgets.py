"""Token buckets, retry budgets and the matching of routes."""

import hypothesis
from hypothesis import strategies as st

from lavenderledge.http1 import bounds
from lavenderledge.policy import retrybudget, routes, tokenbuckets

AMOUNTS = st.floats(1, 1e5)
TOLERANCES = st.builds(
    tokenbuckets.Tolerance,
    window_s=st.floats(1, 20),
    overrun=st.floats(0, 0.5),
    slack=st.floats(0, 1e6),
)
STEPS = st.lists(st.tuples(st.floats(0, 3), st.floats(0.01, 0.5)), max_size=120)


@hypothesis.given(
    rate=AMOUNTS,
    burst=AMOUNTS,
    tolerance=TOLERANCES,
    steps=STEPS,
    restart=st.integers(0, 120),
)
def test_no_window_exceeds_the_tolerance_with_one_new_allocator(
    rate, burst, tolerance, steps, restart
):
    quota = routes.Quota(rate, burst)
    buckets = tokenbuckets.TokenBuckets(tolerance=tolerance)
    spent = []
    now_s = 0
    extra = tokenbuckets.compute_extra_burst(quota, tolerance)
    for number, (pause_s, cost_ratio) in enumerate(steps):
        now_s += pause_s
        if number == restart:
            buckets = tokenbuckets.TokenBuckets(tolerance=tolerance)
        cost = (burst + extra) * cost_ratio
        wait_s = buckets.take(
            'dealer', quota, cost, request_id=str(number), share=1, now_s=now_s
        )
        assert wait_s >= 0
        if not wait_s:
            spent.append((now_s, cost))
    bound = rate * tolerance.window_s + burst
    bound = bound * (1 + tolerance.overrun) + tolerance.slack
    # Two fills are always tolerated; the bound applies if it allows more.
    if extra > 0:
        for end_s, _ in spent:
            window = [
                cost
                for at_s, cost in spent
                if end_s - tolerance.window_s <= at_s <= end_s
            ]
            assert sum(window) <= bound * 1.000001


@hypothesis.given(
    rate=AMOUNTS, burst=AMOUNTS, tolerance=TOLERANCES, steps=STEPS
)
def test_a_request_within_the_quota_is_never_refused(
    rate, burst, tolerance, steps
):
    quota = routes.Quota(rate, burst)
    buckets = tokenbuckets.TokenBuckets(tolerance=tolerance)
    now_s = filled_at_s = 0
    level = burst
    for number, (pause_s, cost_ratio) in enumerate(steps):
        now_s += pause_s
        level = min(burst, level + (now_s - filled_at_s) * rate)
        filled_at_s = now_s
        cost = burst * cost_ratio * 2
        wait_s = buckets.take(
            'dealer', quota, cost, request_id=str(number), share=1, now_s=now_s
        )
        if level >= cost * 1.000001:
            assert not wait_s
        if level >= cost:
            level -= cost


@hypothesis.given(
    steps=st.lists(st.tuples(st.floats(0, 2), st.booleans()), max_size=200),
    instances=st.integers(1, 9),
)
def test_retries_stay_within_the_instances_share_of_the_budget(
    steps, instances
):
    budget = retrybudget.Budget(0.2, 50, 10)
    retry_budget = retrybudget.RetryBudget(budget=budget)
    requests, retries = [], []
    now_s = 0
    for pause_s, is_retry in steps:
        now_s += pause_s
        if not is_retry:
            retry_budget.note_request(now_s)
            requests.append(now_s)
        elif retry_budget.take(now_s, instance_count=instances):
            retries.append(now_s)
            recent_retries = [at_s for at_s in retries if now_s - at_s <= 10]
            recent_requests = [at_s for at_s in requests if now_s - at_s <= 10]
            assert (
                len(recent_retries)
                <= 0.2 * len(recent_requests) + 50 / instances
            )


def make_route(name, prefix, *targets):
    return routes.Route(
        name, 'h', prefix, targets, routes.RouteType.ONCE, 1, 1, 1, 1, 0, False
    )


def make_configuration(configured_routes, customers=()):
    return routes.Configuration(
        1,
        routes.index_routes(configured_routes),
        dict(customers),
        {},
        bool(customers),
        bounds.Bounds(1, 1, 1, 1),
    )


def test_the_longest_matching_prefix_of_the_host_is_chosen():
    configuration = make_configuration(
        [make_route('short', '/a/'), make_route('long', '/a/b/')]
    )
    route = routes.match_route(configuration, 'h', '/a/b/c')
    assert route.name == 'long'
    assert routes.match_route(configuration, 'h', '/a/x').name == 'short'
    assert routes.match_route(configuration, 'h', '/a') is None
    assert routes.match_route(configuration, 'other', '/a/b/c') is None


@hypothesis.given(weight=st.integers(1, 99))
def test_services_are_picked_by_weight(weight):
    route = make_route(
        'split',
        '/',
        routes.Target('a', weight),
        routes.Target('b', 100 - weight),
    )
    picked = [
        routes.pick_service(route, f'r{number}') for number in range(2000)
    ]
    assert abs(picked.count('a') / 2000 - weight / 100) < 0.05


def test_the_customers_tier_takes_precedence_over_the_routes():
    low = routes.Customer('low', 2, routes.Quota(0, 0), False, 1)
    high = low._replace(name='high', tier=1)
    first = make_route('first', '/')
    last = first._replace(tier=5)
    ranks = [
        routes.RouteMatch(first, high).rank,
        routes.RouteMatch(last, high).rank,
        routes.RouteMatch(first, low).rank,
        routes.RouteMatch(last, low).rank,
    ]
    assert ranks == sorted(set(ranks))
    assert routes.RouteMatch(last, None).rank == 5


def test_requests_outside_the_window_are_dropped_without_retries():
    budget = retrybudget.Budget(0.2, 50, 10)
    retry_budget = retrybudget.RetryBudget(budget=budget)
    for number in range(5000):
        retry_budget.note_request(number / 10)
    assert len(retry_budget._requests) <= 101
