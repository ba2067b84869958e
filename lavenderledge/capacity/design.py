"""The design size, and each role's costs there from measured slopes.

Costs are those of one second: messages, bytes and microseconds of processor.
"""

import math
import typing
from collections import abc

from lavenderledge.capacity import figures

Slopes: typing.TypeAlias = abc.Mapping[str, float]

_PERCENT_PER_US: typing.Final = 1e-4
_MEAN_JITTER: typing.Final = 0.75


class Size(typing.NamedTuple):
    """A fleet at its peak; rates are a second, over the whole fleet.

    ``report_s`` is the time between two reports of one instance for one
    pool. ``regions`` allocate each pool on their own where it is not 1, and
    ``shards`` is the number of allocators of a pool in a region, of which an
    instance asks one.
    """

    nodes: int = 370
    replicas: int = 790
    pools: int = 28
    regions: int = 1
    shards: int = 1
    requests: float = 5100.0
    tokens: float = 1.2e6
    gap_s: float = 0.061
    report_s: float = 1.0

    @property
    def running(self) -> float:
        """Return how many requests run at once (Little's law)."""
        return self.tokens * self.gap_s

    @property
    def allocator_count(self) -> int:
        """Return how many allocators there are in all."""
        return self.pools * self.regions * self.shards

    @property
    def replicas_per_allocator(self) -> float:
        """Return how many replicas one allocator has."""
        return self.replicas / self.allocator_count

    @property
    def reporters(self) -> float:
        """Return how many instances report to one allocator."""
        return self.nodes / self.regions / self.shards

    @property
    def reports(self) -> float:
        """Return how many reports an instance sends."""
        return self.pools / self.report_s

    @property
    def report_running(self) -> float:
        """Return how many running requests one report names."""
        return self.running / self.nodes / self.pools


CASES: typing.Final[dict[str, Size]] = {
    'as it runs': Size(),
    'regional': Size(regions=2),
    'regional, reports every 8 s': Size(regions=2, report_s=8),
    'regional, 6 shards, 8 s': Size(regions=2, shards=6, report_s=8),
}


class Cost(typing.NamedTuple):
    """What a role costs one instance each second."""

    sent: float
    received: float
    sent_bytes: float
    received_bytes: float
    processor_us: float

    @property
    def percent(self) -> float:
        """Return the processor time in percent of a core."""
        return self.processor_us * _PERCENT_PER_US


def compute_entry_cost(size: Size, slopes: Slopes) -> Cost:
    """Return the control of one entry: asks, releases, reports, grants."""
    asked = size.requests / size.nodes
    report_bytes = _find_report_bytes(size, slopes)
    sent = 2 * asked + size.reports
    held_us = slopes['report by held: slope'] * size.report_running
    return Cost(
        sent=sent,
        received=asked,
        sent_bytes=asked * (slopes['NewAsk: size'] + slopes['Release: size'])
        + size.reports * report_bytes,
        received_bytes=asked * slopes['Grant: size'],
        processor_us=(sent + asked) * _find_end_us(slopes)
        + asked * slopes['request: acquire, start, release']
        + size.reports * (slopes['report by held: base'] + held_us),
    )


def compute_allocator_cost(size: Size, slopes: Slopes) -> Cost:
    """Return the control of one allocator, its polls of replicas included."""
    asked = size.requests / size.allocator_count
    reports = size.reporters / size.report_s
    received = 2 * asked + reports
    decision_us = _read_line(
        slopes, 'report, ask, grant, release', size.replicas_per_allocator
    ) - _read_line(slopes, 'empty report', size.replicas_per_allocator)
    running_us = slopes['report by running: slope'] * size.report_running
    report_us = _read_line(slopes, 'empty report', size.replicas_per_allocator)
    return Cost(
        sent=asked,
        received=received,
        sent_bytes=asked * slopes['Grant: size'],
        received_bytes=asked
        * (slopes['NewAsk: size'] + slopes['Release: size'])
        + reports * _find_report_bytes(size, slopes),
        processor_us=(asked + received) * _find_end_us(slopes)
        + asked * decision_us
        + reports * (report_us + running_us)
        + size.replicas_per_allocator * slopes['poll of a replica'],
    )


def spread(size: Size, cost: Cost) -> Cost:
    """Return a cost of every allocator, shared by all instances alike."""
    part = size.allocator_count / size.nodes
    return Cost(*(amount * part for amount in cost))


def add(*costs: Cost) -> Cost:
    """Return the sum of costs of one instance."""
    return Cost(*map(math.fsum, zip(*costs, strict=True)))


def compute_table_poll_rate(nodes: int) -> float:
    """Return the table's polls a second of a whole fleet.

    The period is jittered between half and all of it.
    """
    period_s = max(10, nodes / 4)
    return nodes / (_MEAN_JITTER * period_s)


def work_out(slopes: Slopes) -> list[figures.Figure]:
    """Return the costs of the roles in every case."""
    found = []
    for name, size in CASES.items():
        entry = compute_entry_cost(size, slopes)
        allocator = compute_allocator_cost(size, slopes)
        evenly = add(entry, spread(size, allocator))
        found.extend(build_cost_figures(f'{name}: entry', entry))
        found.extend(build_cost_figures(f'{name}: allocator', allocator))
        found.extend(build_cost_figures(f'{name}: mean instance', evenly))
    for nodes in (9, Size().nodes):
        polls = figures.build_figure(
            f'table polls, {nodes} nodes',
            '/s',
            [compute_table_poll_rate(nodes)],
        )
        found.append(polls)
    return found


def build_cost_figures(name: str, cost: Cost) -> list[figures.Figure]:
    """Return a cost as figures."""
    units = {
        'messages sent': (cost.sent, '/s'),
        'messages received': (cost.received, '/s'),
        'bytes sent': (cost.sent_bytes, 'B/s'),
        'bytes received': (cost.received_bytes, 'B/s'),
        'processor': (cost.percent, '% core'),
    }
    return [
        figures.build_figure(f'{name}: {what}', unit, [amount])
        for what, (amount, unit) in units.items()
    ]


def _find_end_us(slopes: Slopes) -> float:
    """Return what one end of a link spends on a message."""
    return slopes['NewAsk: both ends, 1 a wake-up'] / 2


def _find_report_bytes(size: Size, slopes: Slopes) -> float:
    return _read_line(slopes, 'report on the wire', size.report_running)


def _read_line(slopes: Slopes, name: str, at: float) -> float:
    return slopes[f'{name}: base'] + slopes[f'{name}: slope'] * at
