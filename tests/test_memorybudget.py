"""Decisions on what an instance holds: who waits, who is refused or shed."""

import pytest

from lavenderledge.policy import memorybudget
from lavenderledge.proxy import settings

LIMIT = 1_000_000
THRESHOLDS = memorybudget.build_thresholds(LIMIT)
UNLIMITED = memorybudget.build_thresholds(0)
UPLOAD, WAITING, RUNNING = memorybudget.Kind


def use(held, unsent=0, reserved=0):
    return memorybudget.Usage(held, unsent, reserved)


@pytest.mark.parametrize('memory_mb', [200, 280, 552])
def test_the_limit_leaves_room_for_the_idle_process_and_a_copy(memory_mb):
    limit = memorybudget.compute_limit(memory_mb)
    assert 60e6 + 2 * limit <= memory_mb * 1e6
    assert limit > 10 * 4 * 2**20


@pytest.mark.parametrize(('text', 'memory_mb'), [('', 0), ('200', 200)])
def test_a_variable_that_the_template_left_empty_is_not_set(text, memory_mb):
    (option,) = (
        option for option in settings.OPTIONS if option.name == 'memory_mb'
    )
    assert option.parse(text) == memory_mb
    assert option.parse(option.default) == 0


def test_without_a_setting_there_is_no_limit():
    assert memorybudget.compute_limit(0) == 0
    huge = use(10**12)
    assert memorybudget.fits(10**12, huge, UNLIMITED)
    level = memorybudget.find_level(huge, UNLIMITED)
    assert level is memorybudget.Level.NORMAL


@pytest.mark.parametrize(
    ('usage', 'declared', 'expected'),
    [
        (use(450_000), 300_000, True),
        (use(450_000, reserved=1), 300_000, False),
        # Small bodies have room for themselves, also a bit above the limit.
        (use(LIMIT), 65_536, True),
        (use(1_125_000), 0, True),
        (use(1_125_001), 0, False),
        (use(1_125_000, reserved=1), 0, False),
        # A chunked body may be of any size.
        (use(749_999), None, True),
        (use(749_999, reserved=1), None, False),
    ],
)
def test_large_bodies_leave_room_for_small_ones(usage, declared, expected):
    assert memorybudget.fits(declared, usage, THRESHOLDS) is expected


@pytest.mark.parametrize(
    ('held', 'unsent', 'least', 'most'),
    [
        (0, 0, 100_000, 100_000),
        (300_000, 300_000, 65_536, 65_536),
        (749_999, 749_999, 65_536, 65_536),
        (750_000, 0, 0, 0),
    ],
)
def test_less_is_read_ahead_the_more_is_unsent(held, unsent, least, most):
    """Callers that read nothing must not fill the account."""
    ahead = memorybudget.find_read_ahead(use(held, unsent), THRESHOLDS)
    assert least <= ahead <= most


@pytest.mark.parametrize(
    ('missing', 'usage', 'expected'),
    [
        # Below the first threshold: parts, as long as there is room.
        ([400_000] * 9, use(200_000), [(0, 0), (1, 0), (2, 0)]),
        ([10, 10], use(499_999), [(0, 0)]),
        # Above it: what can be completed below the second one.
        ([400_000, 100_000, 200_000], use(600_000), [(1, 100_000)]),
        ([100_000, 50_000, 10], use(600_000), [(0, 100_000), (1, 50_000)]),
        ([100_000], use(600_000, reserved=100_000), []),
        # Nothing can be completed for sure: the oldest must go on.
        ([450_000, 400_000], use(600_000), [(0, 275_000)]),
        ([400_000], use(600_000, reserved=1), []),
        ([400_000, 1], use(750_000), [(0, 125_000)]),
        ([1], use(875_000), []),
        ([], use(600_000), []),
    ],
)
def test_incomplete_uploads_do_not_wait_for_each_other(
    missing, usage, expected
):
    chosen = memorybudget.choose_resumed(missing, usage, THRESHOLDS)
    assert chosen == expected


@pytest.mark.parametrize(
    ('holdings', 'excess', 'expected'),
    [
        # Uploads of any rank go before waiting requests, those before running.
        ([(RUNNING, 9, 5), (WAITING, 9, 5), (UPLOAD, 0, 5)], 11, [2, 1, 0]),
        ([(RUNNING, 9, 5), (WAITING, 9, 5), (UPLOAD, 0, 5)], 5, [2]),
        # The lowest rank first, and the largest first within a rank.
        ([(WAITING, 0, 9), (WAITING, 2, 1), (WAITING, 2, 3)], 4, [2, 1]),
        # What holds nothing frees nothing.
        ([(UPLOAD, 5, 0), (RUNNING, 0, 1)], 1, [1]),
        ([(UPLOAD, 5, 5)], 0, []),
    ],
)
def test_work_is_shed_in_the_order_of_its_loss(holdings, excess, expected):
    entries = [memorybudget.Holding(*holding) for holding in holdings]
    assert memorybudget.choose_shed(entries, excess) == expected
