"""Tests of the soak checks, and short soak runs."""

import pytest

from tests.soak import checks, run, takeover

# Seeds that failed before, run with the same settings (15 s, four daemons).
REGRESSIONS = (
    # An instance without store updates for seconds became its own allocator
    # and made grants from a stale replica list.
    6,
    # An allocator had no connection back to a restarted instance, and a stale
    # allocator granted a replica that the requester had seen leave.
    21,
    25,
)


def make_history(**changes):
    calls = [
        checks.CallRecord(
            'r1', 'e', '/once/x', 'k', 10, 200, True, b'i-0 ran r1'
        )
    ]
    runs = [checks.Run('r1', 'i-0', 10.1)]
    history = checks.History(calls, runs, {}, {}, {}, 2)
    return history._replace(**changes)


def find_violations(history):
    return list(checks.find_violations(history, drain_s=2, revoke_s=5))


def test_a_correct_history_has_no_violations():
    assert find_violations(make_history()) == []


@pytest.mark.parametrize(
    ('changes', 'words'),
    [
        (
            {'runs': [checks.Run('r1', 'i-0', 1)] * 2},
            'ran 2 times, expected at most 1',
        ),
        (
            {
                'calls': [
                    checks.CallRecord(
                        'r1', 'e', '/once/x', 'k', 1, 503, True, b''
                    )
                ]
            },
            'ran despite status 503',
        ),
        (
            {
                'calls': [
                    checks.CallRecord(
                        'r1', 'e', '/once/x', 'k', 1, 200, True, b'ran r2'
                    )
                ]
            },
            'got the wrong body',
        ),
        (
            {
                'calls': [
                    checks.CallRecord(
                        'r1', 'e', '/stream/x', 'k', 1, 200, True, b'id: 1\n\n'
                    )
                ]
            },
            'got the wrong stream',
        ),
        ({'draining': {'i-0': 7}}, 'started to drain'),
        ({'revoked': {'k': 4.9}}, 'key revoked'),
        ({'calls': []}, 'never sent'),
    ],
)
def test_each_check_finds_its_violation(changes, words):
    violations = find_violations(make_history(**changes))
    assert any(words in violation for violation in violations)


def test_a_late_run_counts_only_for_connected_instances():
    late = make_history(draining={'i-0': 7})
    assert find_violations(late)
    for name in ('', 'e'):
        assert find_violations(late._replace(disturbances={name: [(1, 7)]}))
        assert not find_violations(
            late._replace(disturbances={name: [(1, 7.2)]})
        )
    assert find_violations(late._replace(disturbances={'other': [(1, 9)]}))


async def test_a_short_soak_has_no_violations():
    violations, summary = await run.run_seed(1, seconds=8, size=3)
    assert not violations, summary


@pytest.mark.parametrize('seed', REGRESSIONS)
async def test_a_seed_that_failed_has_no_violations(seed):
    violations, summary = await run.run_seed(seed, seconds=15, size=4)
    assert not violations, summary


async def test_a_run_with_restored_stores_has_no_violations():
    violations, summary = await run.run_seed(
        101, seconds=15, size=4, restores=True
    )
    assert not violations, summary


async def test_a_run_with_slow_callers_has_no_violations():
    """Bodies that take long to send or to read, beside the other faults."""
    violations, summary = await run.run_seed(201, seconds=15, size=4, slow=True)
    assert not violations, summary


@pytest.mark.parametrize('fault', ['killed', 'frozen', 'store-silent'])
async def test_a_lost_allocator_costs_callers_less_than_a_second(fault):
    outcome = await takeover.run_fault(fault)
    assert outcome.answered == 1
    assert outcome.max_duration_s < 1
