"""The design size, and the costs of each role there from measured slopes.

Costs are per second: messages, bytes and microseconds of processor time.
"""

import math
import typing
from collections import abc

from lavenderledge.capacity import figures

Slopes: typing.TypeAlias = abc.Mapping[str, float]

_PERCENT_PER_US: typing.Final = 1e-4
_MEAN_JITTER: typing.Final = 0.75


class Size(typing.NamedTuple):
    """A fleet at peak load; rates are per second, for the whole fleet.

    ``report_s`` is the time between two reports of one instance for one
    pool. Each of the ``regions`` allocates every pool separately, with
    ``shards`` allocators per pool; an instance uses one of them.
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
        """Return the number of running requests, by Little's law."""
        return self.tokens * self.gap_s

    @property
    def allocator_count(self) -> int:
        """Return the total number of allocators."""
        return self.pools * self.regions * self.shards

    @property
    def replicas_per_allocator(self) -> float:
        """Return the number of replicas per allocator."""
        return self.replicas / self.allocator_count

    @property
    def reporters(self) -> float:
        """Return the number of instances that report to an allocator."""
        return self.nodes / self.regions / self.shards

    @property
    def reports(self) -> float:
        """Return the reports that an instance sends per second."""
        return self.pools / self.report_s

    @property
    def report_running(self) -> float:
        """Return the number of running requests in one report."""
        return self.running / self.nodes / self.pools


CASES: typing.Final[dict[str, Size]] = {
    'as it runs': Size(),
    'regional': Size(regions=2),
    'regional, reports every 8 s': Size(regions=2, report_s=8),
    'regional, 6 shards, 8 s': Size(regions=2, shards=6, report_s=8),
}


class Cost(typing.NamedTuple):
    """The cost of a role to one instance, per second."""

    sent: float
    received: float
    sent_bytes: float
    received_bytes: float
    processor_us: float

    @property
    def percent(self) -> float:
        """Return the processor time as a percentage of one core."""
        return self.processor_us * _PERCENT_PER_US


def compute_entry_cost(size: Size, slopes: Slopes) -> Cost:
    """Return an entry's control cost: requests, releases, reports, grants."""
    request_rate = size.requests / size.nodes
    report_bytes = _compute_report_bytes(size, slopes)
    sent = 2 * request_rate + size.reports
    held_us = slopes['report by held: slope'] * size.report_running
    return Cost(
        sent=sent,
        received=request_rate,
        sent_bytes=request_rate
        * (slopes['NewAsk: size'] + slopes['Release: size'])
        + size.reports * report_bytes,
        received_bytes=request_rate * slopes['Grant: size'],
        processor_us=(sent + request_rate) * _compute_endpoint_us(slopes)
        + request_rate * slopes['request: acquire, start, release']
        + size.reports * (slopes['report by held: base'] + held_us),
    )


def compute_allocator_cost(size: Size, slopes: Slopes) -> Cost:
    """Return an allocator's control cost, including its replica polls."""
    request_rate = size.requests / size.allocator_count
    reports = size.reporters / size.report_s
    received = 2 * request_rate + reports
    decision_us = _evaluate_line(
        slopes, 'report, ask, grant, release', size.replicas_per_allocator
    ) - _evaluate_line(slopes, 'empty report', size.replicas_per_allocator)
    running_us = slopes['report by running: slope'] * size.report_running
    report_us = _evaluate_line(
        slopes, 'empty report', size.replicas_per_allocator
    )
    return Cost(
        sent=request_rate,
        received=received,
        sent_bytes=request_rate * slopes['Grant: size'],
        received_bytes=request_rate
        * (slopes['NewAsk: size'] + slopes['Release: size'])
        + reports * _compute_report_bytes(size, slopes),
        processor_us=(request_rate + received) * _compute_endpoint_us(slopes)
        + request_rate * decision_us
        + reports * (report_us + running_us)
        + size.replicas_per_allocator * slopes['poll of a replica'],
    )


def spread_evenly(size: Size, cost: Cost) -> Cost:
    """Return the mean cost per instance, for a given cost per allocator."""
    allocators_per_instance = size.allocator_count / size.nodes
    return Cost(*(amount * allocators_per_instance for amount in cost))


def add_costs(*costs: Cost) -> Cost:
    """Return the sum of several costs."""
    return Cost(*map(math.fsum, zip(*costs, strict=True)))


def compute_table_poll_rate(nodes: int) -> float:
    """Return the fleet's table polls per second.

    Each period is jittered to between half and all of its length.
    """
    period_s = max(10, nodes / 4)
    return nodes / (_MEAN_JITTER * period_s)


def compute_figures(slopes: Slopes) -> list[figures.Figure]:
    """Return the costs of each role in every case."""
    found = []
    for name, size in CASES.items():
        entry = compute_entry_cost(size, slopes)
        allocator = compute_allocator_cost(size, slopes)
        mean = add_costs(entry, spread_evenly(size, allocator))
        found.extend(build_cost_figures(f'{name}: entry', entry))
        found.extend(build_cost_figures(f'{name}: allocator', allocator))
        found.extend(build_cost_figures(f'{name}: mean instance', mean))
    for nodes in (9, Size().nodes):
        polls = figures.build_figure(
            f'table polls, {nodes} nodes',
            '/s',
            [compute_table_poll_rate(nodes)],
        )
        found.append(polls)
    return found


def build_cost_figures(name: str, cost: Cost) -> list[figures.Figure]:
    """Return the figures of a cost."""
    units = {
        'messages sent': (cost.sent, '/s'),
        'messages received': (cost.received, '/s'),
        'bytes sent': (cost.sent_bytes, 'B/s'),
        'bytes received': (cost.received_bytes, 'B/s'),
        'processor': (cost.percent, '% core'),
    }
    return [
        figures.build_figure(f'{name}: {quantity}', unit, [amount])
        for quantity, (amount, unit) in units.items()
    ]


def _compute_endpoint_us(slopes: Slopes) -> float:
    """Return the microseconds that one end of a link spends per message."""
    return slopes['NewAsk: both ends, 1 a wake-up'] / 2


def _compute_report_bytes(size: Size, slopes: Slopes) -> float:
    return _evaluate_line(slopes, 'report on the wire', size.report_running)


def _evaluate_line(slopes: Slopes, name: str, point: float) -> float:
    return slopes[f'{name}: base'] + slopes[f'{name}: slope'] * point
