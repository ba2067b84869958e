"""The capacity page's measuring: fitted lines and the design's arithmetic."""

import io

from lavenderledge import environment, status
from lavenderledge.capacity import allocating, core, figures


def test_a_line_is_fitted_through_its_points():
    line = figures.fit_line({1: 12.0, 2: 14.0, 10: 30.0})
    assert round(line.base, 6) == 10
    assert round(line.slope, 6) == 2


def test_every_ask_is_granted_and_every_release_makes_room():
    world = allocating.World(replicas=3)
    world.ask_until(5)
    held = len(world.granted)
    world.cycle(20)
    assert len(world.waiting) == 5
    assert len(world.granted) == held > 0


def test_an_unknown_part_is_a_usage_error():
    streams = environment.Environment(stdout=io.StringIO())
    assert core.main(['--part', 'none'], streams) is status.ExitStatus.USAGE
