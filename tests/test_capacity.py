"""The capacity page's arithmetic: lines, Little's law, roles and claims."""

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


def test_a_line_is_fitted_through_its_points():
    line = figures.fit_line({1: 12.0, 2: 14.0, 10: 30.0})
    assert round(line.base, 6) == 10
    assert round(line.slope, 6) == 2


def test_every_ask_is_granted_and_every_release_makes_room():
    world = allocatorcosts.AllocatorHarness(replicas=3)
    world.fill_queue(5)
    held = len(world.granted)
    world.request_and_release(20)
    assert len(world.waiting) == 5
    assert len(world.granted) == held > 0


def test_costs_of_requests_and_tokens_are_told_apart():
    short = relaycosts.Run(cores=0.03 + 0.01 + 0.02, requests=10, tokens=200)
    long = relaycosts.Run(cores=0.03 + 0.01 + 0.2, requests=10, tokens=2000)
    found = relaycosts.solve_costs(short, long, 0.03)
    assert [round(each, 6) for each in found] == [1000, 100]


def test_the_design_size_adds_up():
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
    mean = design.add(entry, design.spread(size, allocator))
    assert round(mean.sent - mean.received, 6) == 0
    assert round(mean.sent_bytes - mean.received_bytes, 6) == 0


def test_platform_calls_grow_more_slowly_than_the_fleet():
    assert design.compute_table_poll_rate(
        370
    ) < 5 * design.compute_table_poll_rate(9)


def test_bad_input_is_refused(tmp_path):
    streams = environment.Environment(
        stdout=io.StringIO(), stderr=io.StringIO()
    )
    bad = tmp_path / 'bad.json'
    bad.write_text('no figures')
    assert core.main(['--part', 'none'], streams) is status.ExitStatus.USAGE
    told = core.main(['--work-out', str(bad)], streams)
    assert told is status.ExitStatus.ERROR
