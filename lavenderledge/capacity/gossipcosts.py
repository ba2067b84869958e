"""What gossip costs, and how soon a fleet hears of things, by its size."""

import statistics
import typing
from collections import abc

from lavenderledge.capacity import figures
from lavenderledge.capacity import network as networks

# The last of so many parts begins at the 95th percentile.
_TWENTIETHS: typing.Final = 20

SIZES: typing.Final = (9, 30, 100, 370)
COLD_SIZES: typing.Final = (30, 100, 370)
SPLIT_SIZES: typing.Final = (30, 370)

_LIMIT_S: typing.Final = 120.0
_SETTLE_S: typing.Final = 10.0
_COUNTED_S: typing.Final = 10.0
_REPEATS: typing.Final = 3
_REVISION: typing.Final = 2
_WATCHERS: typing.Final = 2
_SMALL: typing.Final = 30
_SPLIT_S: typing.Final = 3600.0
# Longer than the memory of silent instances in a fleet of any size here.
_SHORT_SPLIT_S: typing.Final = 150.0
_PERCENT: typing.Final = 100
_MICROSECONDS: typing.Final = 1e6


def measure() -> list[figures.Figure]:
    """Return the costs of an idle fleet, detection and table spread."""
    return [each for size in SIZES for each in _measure_size(size)]


def measure_cold_start() -> list[figures.Figure]:
    """Return how soon instances that start together know each other."""
    found = []
    for size in COLD_SIZES:
        fleet = networks.Network(size=size)
        fleet.start(introduced=False)
        times = _wait_for_alive(fleet, size)
        found.extend(_tell_times(f'cold start, {size} nodes', times, size))
        known = [_count_alive(node) for node in fleet.nodes]
        found.append(
            figures.build_figure(
                f'cold start, {size} nodes: known at the end', 'nodes', known
            )
        )
    return found


def measure_split() -> list[figures.Figure]:
    """Return how soon two halves know each other after a cut."""
    found = []
    for size in SPLIT_SIZES:
        split_s = _SPLIT_S if size <= _SMALL else _SHORT_SPLIT_S
        fleet = _start_settled(size)
        fleet.cut = True
        fleet.run(split_s)
        parted = [_count_alive(node) for node in fleet.nodes]
        fleet.cut = False
        times = _wait_for_alive(fleet, size)
        name = f'split of {split_s:.0f} s, {size} nodes'
        found.append(
            figures.build_figure(f'{name}: alive in a half', 'nodes', parted)
        )
        found.extend(_tell_times(f'{name}: whole again', times, size))
    return found


def _measure_size(size: int) -> list[figures.Figure]:
    fleet = _start_settled(size)
    usages = [fleet.run(_COUNTED_S) for _ in range(_REPEATS)]
    found = _tell_usage(size, usages)
    for node in fleet.nodes[:_WATCHERS]:
        node.take_table(_REVISION)
    times = fleet.run_until(
        lambda node: node.table.revision == _REVISION, limit_s=_LIMIT_S
    )
    found.extend(_tell_times(f'table spread, {size} nodes', times, size))
    fleet.nodes[-1].running = False
    times = _wait_for_alive(fleet, size - 1)
    found.extend(_tell_times(f'detection, {size} nodes', times, size - 1))
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
        lambda node: _count_alive(node) == alive, limit_s=_LIMIT_S
    )


def _tell_usage(
    size: int, usages: abc.Sequence[networks.Usage]
) -> list[figures.Figure]:
    seconds = usages[0].elapsed_s * size
    spent = [usage.processor_s for usage in usages]
    sent = [usage.messages for usage in usages]
    rates = {
        'messages sent, /s': [count / seconds for count in sent],
        'bytes sent, B/s': [usage.sent_bytes / seconds for usage in usages],
        'processor, % of a core': [
            each_s / seconds * _PERCENT for each_s in spent
        ],
        'processor a message, us': [
            each_s / count * _MICROSECONDS
            for each_s, count in zip(spent, sent, strict=True)
        ],
    }
    return [
        figures.build_figure(f'gossip, {size} nodes: {name}', '', amounts)
        for name, amounts in rates.items()
    ]


def _tell_times(
    name: str, times: abc.Sequence[float], expected: int
) -> list[figures.Figure]:
    """Return median and last of the times, and how many had none."""
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
