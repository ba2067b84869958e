"""The arithmetic behind docs/CAPACITY.md."""

import collections
import io

from lavenderledge import environment, status
from lavenderledge.capacity import (
    allocatorcosts,
    core,
    design,
    figures,
    relaycosts,
)


def test_line_is_fitted_through_points():
    line = figures.fit_line({1: 12.0, 2: 14.0, 10: 30.0})
    assert round(line.base, 6) == 10
    assert round(line.slope, 6) == 2


def test_each_release_allows_one_more_grant():
    harness = allocatorcosts.AllocatorHarness(replicas=3)
    harness.fill_queue(5)
    granted_count = len(harness.granted)
    harness.request_and_release(20)
    assert len(harness.waiting) == 5
    assert len(harness.granted) == granted_count > 0


def test_costs_of_requests_and_tokens_are_separated():
    short = relaycosts.Run(cores=0.03 + 0.01 + 0.02, requests=10, tokens=200)
    long = relaycosts.Run(cores=0.03 + 0.01 + 0.2, requests=10, tokens=2000)
    found = relaycosts.solve_costs(short, long, 0.03)
    assert [round(cost, 6) for cost in found] == [1000, 100]


def test_messages_at_the_design_size_are_balanced():
    size = design.Size()
    slopes = collections.defaultdict(lambda: 1.0)
    entry = design.compute_entry_cost(size, slopes)
    allocator = design.compute_allocator_cost(size, slopes)
    received = (
        size.nodes * entry.sent - size.allocator_count * allocator.received
    )
    granted = (
        size.nodes * entry.received - size.allocator_count * allocator.sent
    )
    assert round(size.running) == 73_200
    assert round(received, 6) == round(granted, 6) == 0
    mean = design.add_costs(entry, design.spread_evenly(size, allocator))
    assert round(mean.sent - mean.received, 6) == 0
    assert round(mean.sent_bytes - mean.received_bytes, 6) == 0


def test_table_polls_grow_more_slowly_than_the_fleet():
    assert design.compute_table_poll_rate(
        370
    ) < 5 * design.compute_table_poll_rate(9)


def test_invalid_input_sets_the_exit_status(tmp_path):
    streams = environment.Environment(
        stdout=io.StringIO(), stderr=io.StringIO()
    )
    malformed = tmp_path / 'bad.json'
    malformed.write_text('no figures')
    assert core.main(['--part', 'none'], streams) is status.ExitStatus.USAGE
    exit_status = core.main(['--work-out', str(malformed)], streams)
    assert exit_status is status.ExitStatus.ERROR
