"""Quotas, retry budgets and routes, as plain decisions."""

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
    for number, (pause_s, part) in enumerate(steps):
        now_s += pause_s
        if number == restart:
            buckets = tokenbuckets.TokenBuckets(tolerance=tolerance)
        cost = (burst + extra) * part
        wait_s = buckets.take('dealer', quota, cost, share=1, now_s=now_s)
        assert wait_s >= 0
        if not wait_s:
            spent.append((now_s, cost))
    bound = rate * tolerance.window_s + burst
    bound = bound * (1 + tolerance.overrun) + tolerance.slack
    # Two fillings are always borne where the bound allows for more than them.
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
def test_what_the_quota_itself_allows_is_never_refused(
    rate, burst, tolerance, steps
):
    quota = routes.Quota(rate, burst)
    buckets = tokenbuckets.TokenBuckets(tolerance=tolerance)
    now_s = read_s = 0
    level = burst
    for pause_s, part in steps:
        now_s += pause_s
        level = min(burst, level + (now_s - read_s) * rate)
        read_s = now_s
        cost = burst * part * 2
        wait_s = buckets.take('dealer', quota, cost, share=1, now_s=now_s)
        if level >= cost * 1.000001:
            assert not wait_s
        if level >= cost:
            level -= cost


@hypothesis.given(
    steps=st.lists(st.tuples(st.floats(0, 2), st.booleans()), max_size=200),
    instances=st.integers(1, 9),
)
def test_repeats_stay_within_the_share_of_the_budget(steps, instances):
    budget = retrybudget.Budget(0.2, 50, 10)
    counted = retrybudget.RetryBudget(budget=budget)
    requests, repeats = [], []
    now_s = 0
    for pause_s, is_repeat in steps:
        now_s += pause_s
        if not is_repeat:
            counted.note_request(now_s)
            requests.append(now_s)
        elif counted.take(now_s, instance_count=instances):
            repeats.append(now_s)
            window = [at_s for at_s in repeats if now_s - at_s <= 10]
            asked = [at_s for at_s in requests if now_s - at_s <= 10]
            assert len(window) <= 0.2 * len(asked) + 50 / instances


def make_route(name, prefix, *targets):
    return routes.Route(
        name, 'h', prefix, targets, routes.RouteType.ONCE, 1, 1, 1, 1, 0, False
    )


def make_configuration(found, customers=()):
    return routes.Configuration(
        1,
        routes.index_routes(found),
        dict(customers),
        {},
        bool(customers),
        bounds.Bounds(1, 1, 1, 1),
    )


def test_the_longest_prefix_wins_and_hosts_are_apart():
    configuration = make_configuration(
        [make_route('short', '/a/'), make_route('long', '/a/b/')]
    )
    found = routes.match_route(configuration, 'h', '/a/b/c')
    assert found.name == 'long'
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


def test_the_customers_tier_goes_before_the_routes():
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


def test_requests_out_of_the_window_are_forgotten_without_repeats():
    budget = retrybudget.Budget(0.2, 50, 10)
    counted = retrybudget.RetryBudget(budget=budget)
    for number in range(5000):
        counted.note_request(number / 10)
    assert len(counted._requests) <= 101
