"""Measured figures: processor time, memory and how they are shown."""

import gc
import os
import statistics
import time
import tracemalloc
import typing
from collections import abc

REPEATS: typing.Final = 7

_MICROSECONDS: typing.Final = 1e6


class Figure(typing.NamedTuple):
    """One measured figure with its spread over the repeats.

    ``load_average`` is the machine's of the last minute, when it was taken.
    """

    name: str
    unit: str
    median: float
    low: float
    high: float
    load_average: float


class Line(typing.NamedTuple):
    """A fitted line ``base + slope * size``."""

    base: float
    slope: float


class Stopwatch:
    """Processor time of a block, of all threads of this process."""

    def __init__(self) -> None:
        """Start at zero."""
        self.elapsed_us = float(0)
        self._begin_s = float(0)

    def __enter__(self) -> 'Stopwatch':
        """Begin."""
        self._begin_s = time.process_time()
        return self

    def __exit__(self, *raised: object) -> None:
        """End."""
        elapsed_s = time.process_time() - self._begin_s
        self.elapsed_us = elapsed_s * _MICROSECONDS


def fit_line(points: abc.Mapping[int, float]) -> Line:
    """Return the least-squares line through two or more points by size."""
    sizes, heights = list(points), list(points.values())
    fitted = statistics.linear_regression(sizes, heights)
    return Line(fitted.intercept, fitted.slope)


def build_figure(name: str, unit: str, samples: abc.Sequence[float]) -> Figure:
    """Return the median and the spread of some samples."""
    return Figure(
        name=name,
        unit=unit,
        median=statistics.median(samples),
        low=min(samples),
        high=max(samples),
        load_average=os.getloadavg()[0],
    )


def measure_time(
    name: str,
    act: abc.Callable[[int], object],
    *,
    count: int,
    prepare: abc.Callable[[], object] = tuple,
    repeats: int = REPEATS,
) -> Figure:
    """Return the processor microseconds of one of ``act``'s actions.

    ``act(count)`` does so many actions; ``prepare`` goes before each repeat
    and is not counted. The first repeat warms up and is left out.
    """
    samples = []
    for _ in range(repeats + 1):
        prepare()
        with Stopwatch() as watch:
            act(count)
        samples.append(watch.elapsed_us / count)
    return build_figure(name, 'us', samples[1:])


def measure_memory(
    name: str, make: abc.Callable[[int], object], *, count: int
) -> Figure:
    """Return the bytes of each thing that ``make(count)`` holds on to."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    held = make(count)
    gc.collect()
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del held
    return build_figure(name, 'B', [grown / count])


def add_slope(
    name: str, unit: str, points: abc.Mapping[int, Figure]
) -> list[Figure]:
    """Return the figures by size, and their line's base and slope."""
    line = fit_line({size: each.median for size, each in points.items()})
    return [
        *points.values(),
        build_figure(f'{name}: base', unit, [line.base]),
        build_figure(f'{name}: slope', unit, [line.slope]),
    ]


def render_text(found: abc.Iterable[Figure]) -> str:
    """Return a line for each figure."""
    return ''.join(
        f'{each.name:<52} {each.median:>12.2f} {each.unit:<10}'
        f' ({each.low:.2f} to {each.high:.2f})'
        f' load {each.load_average:.1f}\n'
        for each in found
    )
