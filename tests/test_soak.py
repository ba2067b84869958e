"""The soak's checks fail where a promise is broken; a short seeded run."""

import pytest

from tests.soak import checks, run, takeover

# Seeds that failed once, played as they were then (15 s, four daemons).
REGRESSIONS = (
    # An instance that had not followed the store for seconds became its own
    # allocator, and granted by the list that it still had.
    6,
    # An allocator had no link back to an instance that had restarted, and a
    # stale allocator granted what its asker had seen to leave.
    21,
    25,
)


def make_history(**changes):
    told = [
        checks.Told('r1', 'e', '/once/x', 'k', 10, 200, True, b'i-0 ran r1')
    ]
    runs = [checks.Run('r1', 'i-0', 10.1)]
    history = checks.History(told, runs, {}, {}, {}, 2)
    return history._replace(**changes)


def find(history):
    return list(checks.find_violations(history, drain_s=2, revoke_s=5))


def test_nothing_is_found_where_all_is_kept():
    assert find(make_history()) == []


@pytest.mark.parametrize(
    ('changes', 'words'),
    [
        ({'runs': [checks.Run('r1', 'i-0', 1)] * 2}, 'may run once'),
        (
            {
                'told': [
                    checks.Told('r1', 'e', '/once/x', 'k', 1, 503, True, b'')
                ]
            },
            'told 503 and ran',
        ),
        (
            {
                'told': [
                    checks.Told(
                        'r1', 'e', '/once/x', 'k', 1, 200, True, b'ran r2'
                    )
                ]
            },
            'got the answer',
        ),
        (
            {
                'told': [
                    checks.Told(
                        'r1', 'e', '/stream/x', 'k', 1, 200, True, b'id: 1\n\n'
                    )
                ]
            },
            'not whole',
        ),
        ({'left': {'i-0': 7}}, 'leaves'),
        ({'revoked': {'k': 4.9}}, 'taken away'),
        ({'told': []}, 'nobody asked'),
    ],
)
def test_each_check_finds_its_violation(changes, words):
    found = find(make_history(**changes))
    assert any(words in violation for violation in found)


def test_a_late_run_counts_only_by_instances_in_touch():
    late = make_history(left={'i-0': 7})
    assert find(late)
    for name in ('', 'e'):
        assert find(late._replace(disturbed={name: [(1, 7)]}))
        assert not find(late._replace(disturbed={name: [(1, 7.2)]}))
    assert find(late._replace(disturbed={'other': [(1, 9)]}))


async def test_a_short_soak_keeps_every_promise():
    found, summary = await run.play(1, seconds=8, size=3)
    assert not found, summary


@pytest.mark.parametrize('seed', REGRESSIONS)
async def test_a_seed_that_failed_keeps_every_promise(seed):
    found, summary = await run.play(seed, seconds=15, size=4)
    assert not found, summary


@pytest.mark.parametrize('fault', ['killed', 'frozen', 'store-silent'])
async def test_a_lost_allocator_costs_callers_less_than_a_second(fault):
    found = await takeover.play(fault)
    assert found.answered == 1
    assert found.longest_s < 1
