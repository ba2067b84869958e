"""The cost of gossip and the time it takes to spread, by fleet size."""

import statistics
import typing
from collections import abc

from lavenderledge.capacity import figures
from lavenderledge.capacity import network as networks

# The last of 20 quantiles begins at the 95th percentile.
_TWENTIETHS: typing.Final = 20

SIZES: typing.Final = (9, 30, 100, 370)
COLD_SIZES: typing.Final = (30, 100, 370)
SPLIT_SIZES: typing.Final = (30, 370)

_TIMEOUT_S: typing.Final = 120.0
_SETTLE_S: typing.Final = 10.0
_MEASURED_S: typing.Final = 10.0
_REPEATS: typing.Final = 3
_REVISION: typing.Final = 2
_TABLE_SOURCES: typing.Final = 2
_MAX_LONG_SPLIT_SIZE: typing.Final = 30
_SPLIT_S: typing.Final = 3600.0
# Longer than silent instances are kept at any of these fleet sizes.
_SHORT_SPLIT_S: typing.Final = 150.0
_PERCENT: typing.Final = 100
_US_PER_S: typing.Final = 1e6


def measure() -> list[figures.Figure]:
    """Return the costs of gossip, and detection and table spread times."""
    return [each for size in SIZES for each in _measure_size(size)]


def measure_cold_start() -> list[figures.Figure]:
    """Return the time until instances that start together know each other."""
    found = []
    for size in COLD_SIZES:
        fleet = networks.Network(size=size)
        fleet.start(introduced=False)
        times = _wait_for_alive(fleet, size)
        found.extend(
            _build_time_figures(f'cold start, {size} nodes', times, size)
        )
        known = [_count_alive(node) for node in fleet.nodes]
        found.append(
            figures.build_figure(
                f'cold start, {size} nodes: known at the end', 'nodes', known
            )
        )
    return found


def measure_split() -> list[figures.Figure]:
    """Return the time until two halves know each other after a partition."""
    found = []
    for size in SPLIT_SIZES:
        split_s = _SPLIT_S if size <= _MAX_LONG_SPLIT_SIZE else _SHORT_SPLIT_S
        fleet = _start_settled(size)
        fleet.partitioned = True
        fleet.run(split_s)
        alive_while_split = [_count_alive(node) for node in fleet.nodes]
        fleet.partitioned = False
        times = _wait_for_alive(fleet, size)
        name = f'split of {split_s:.0f} s, {size} nodes'
        found.append(
            figures.build_figure(
                f'{name}: alive in a half', 'nodes', alive_while_split
            )
        )
        found.extend(_build_time_figures(f'{name}: whole again', times, size))
    return found


def _measure_size(size: int) -> list[figures.Figure]:
    fleet = _start_settled(size)
    usages = [fleet.run(_MEASURED_S) for _ in range(_REPEATS)]
    found = _build_usage_figures(size, usages)
    for node in fleet.nodes[:_TABLE_SOURCES]:
        node.set_table_revision(_REVISION)
    times = fleet.run_until(
        lambda node: node.table.revision == _REVISION, timeout_s=_TIMEOUT_S
    )
    found.extend(
        _build_time_figures(f'table spread, {size} nodes', times, size)
    )
    fleet.nodes[-1].running = False
    times = _wait_for_alive(fleet, size - 1)
    found.extend(
        _build_time_figures(f'detection, {size} nodes', times, size - 1)
    )
    return found


def _start_settled(size: int) -> networks.Network:
    fleet = networks.Network(size=size)
    fleet.start(introduced=True)
    fleet.run(_SETTLE_S)
    return fleet


def _count_alive(node: networks.Node) -> int:
    return len(node.membership.list_alive())


def _wait_for_alive(fleet: networks.Network, alive: int) -> list[float]:
    return fleet.run_until(
        lambda node: _count_alive(node) == alive, timeout_s=_TIMEOUT_S
    )


def _build_usage_figures(
    size: int, usages: abc.Sequence[networks.Usage]
) -> list[figures.Figure]:
    seconds = usages[0].elapsed_s * size
    processor_s = [usage.processor_s for usage in usages]
    message_counts = [usage.messages for usage in usages]
    rates = {
        'messages sent, /s': [count / seconds for count in message_counts],
        'bytes sent, B/s': [usage.sent_bytes / seconds for usage in usages],
        'processor, % of a core': [
            each_s / seconds * _PERCENT for each_s in processor_s
        ],
        'processor a message, us': [
            each_s / count * _US_PER_S
            for each_s, count in zip(processor_s, message_counts, strict=True)
        ],
    }
    return [
        figures.build_figure(f'gossip, {size} nodes: {name}', '', amounts)
        for name, amounts in rates.items()
    ]


def _build_time_figures(
    name: str, times: abc.Sequence[float], expected: int
) -> list[figures.Figure]:
    """Return the figures of the times, and the number of nodes without one."""
    missing = expected - len(times)
    found = [figures.build_figure(f'{name}: not done', 'nodes', [missing])]
    if times:
        found.append(figures.build_figure(f'{name}: each node', 's', times))
        found.append(
            figures.build_figure(
                f'{name}: 95 in 100', 's', [_find_percentile(times)]
            )
        )
    return found


def _find_percentile(times: abc.Sequence[float]) -> float:
    if len(times) < 2:
        return times[0]
    return statistics.quantiles(times, n=_TWENTIETHS, method='inclusive')[-1]
