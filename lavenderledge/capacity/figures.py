"""Measures processor time and memory, and prints the figures."""

import gc
import os
import statistics
import time
import tracemalloc
import typing
from collections import abc

REPEATS: typing.Final = 7

_US_PER_S: typing.Final = 1e6


class Figure(typing.NamedTuple):
    """One measured figure with its spread over the repeats.

    ``load_average`` is the machine's one-minute load average at that time.
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
    """Measures a block's processor time, over all threads of the process."""

    def __init__(self) -> None:
        """Set the elapsed time to 0."""
        self.elapsed_us = float(0)
        self._begin_s = float(0)

    def __enter__(self) -> 'Stopwatch':
        """Start measuring."""
        self._begin_s = time.process_time()
        return self

    def __exit__(self, *raised: object) -> None:
        """Stop measuring."""
        elapsed_s = time.process_time() - self._begin_s
        self.elapsed_us = elapsed_s * _US_PER_S


def fit_line(points: abc.Mapping[int, float]) -> Line:
    """Return the least-squares line of two or more values by size."""
    sizes, medians = list(points), list(points.values())
    fitted = statistics.linear_regression(sizes, medians)
    return Line(fitted.intercept, fitted.slope)


def build_figure(name: str, unit: str, samples: abc.Sequence[float]) -> Figure:
    """Return the median and the range of the samples."""
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
    """Return the processor microseconds per action of ``act``.

    ``act(count)`` performs ``count`` actions. ``prepare`` runs before each
    repeat and is not measured. The first repeat is a warm-up and left out.
    """
    samples = []
    for _ in range(repeats + 1):
        prepare()
        with Stopwatch() as stopwatch:
            act(count)
        samples.append(stopwatch.elapsed_us / count)
    return build_figure(name, 'us', samples[1:])


def measure_memory(
    name: str, make: abc.Callable[[int], object], *, count: int
) -> Figure:
    """Return the bytes per object of the ``count`` that ``make`` builds."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = make(count)
    gc.collect()
    growth = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del built
    return build_figure(name, 'B', [growth / count])


def add_slope(
    name: str, unit: str, points: abc.Mapping[int, Figure]
) -> list[Figure]:
    """Return the figures, and the base and slope of a line through them."""
    fitted_line = fit_line(
        {size: figure.median for size, figure in points.items()}
    )
    return [
        *points.values(),
        build_figure(f'{name}: base', unit, [fitted_line.base]),
        build_figure(f'{name}: slope', unit, [fitted_line.slope]),
    ]


def render_text(shown_figures: abc.Iterable[Figure]) -> str:
    """Return one line of text per figure."""
    return ''.join(
        f'{figure.name:<52} {figure.median:>12.2f} {figure.unit:<10}'
        f' ({figure.low:.2f} to {figure.high:.2f})'
        f' load {figure.load_average:.1f}\n'
        for figure in shown_figures
    )
