"""What the scheduler itself costs: latency, processor, bytes, memory."""

import statistics
import typing
from collections import abc

from lavenderledge.load import (
    capacity as capacities,
)
from lavenderledge.load import (
    fleet as fleets,
)
from lavenderledge.load import (
    replay,
    report,
    scenarios,
    summary,
    targets,
    traces,
    workloads,
)
from lavenderledge.policy import rendezvous

# Percentiles that are shown.
_MEDIAN = 50
_SLOWEST = 99

_QUICK_GAP_S = 0.005
_QUICK = workloads.make_gap_bound_speed(_QUICK_GAP_S)
_THIRD = 1 / 3
# Loads, as parts of the fleet's capacity, and numbers of idle instances.
_LOADS = (_THIRD, 2 / 3, 4 / 3)
_SIZES = (3, 6, 9)
_IDLE_S = 20.0
_ADDED_P50_MS = 5.0
_ADDED_P99_MS = 20.0
_MOST_CORES = 0.013
_MOST_BYTES_S = 20_000
_MOST_RESIDENT_MB = 256
_MB = 1_000_000
_SENT = 'direction="sent"'
_BYTES = 'lavenderledge_peer_bytes{'
_MESSAGES = 'lavenderledge_peer_messages{'
_RATE = 'requests/s'
_SIZE = 'instances'
_ALLOCATOR = 'allocator without callers, cores'
_SENT_RATE = 'peer bytes sent/s, mean of instances'
_SENT_MOST = 'peer bytes sent/s, most of instances'
_CORES = 'cores, mean of instances'

Fields: typing.TypeAlias = abc.Mapping[str, float]


class Line(typing.NamedTuple):
    """A fitted line ``base + slope * x``."""

    base: float
    slope: float


async def run_overhead(context: scenarios.Context) -> report.Report:
    """Measure the added latency, and the cost by rate and by instances."""
    user = context.settings.user
    quick = user._replace(
        engines=tuple(
            workloads.Engine(_QUICK, engine.cache_blocks)
            for engine in user.engines
        )
    )
    plan = scenarios.build_plan(context.settings)._replace(
        bursts=False, stragglers=False
    )
    runs: dict[str, summary.Measures] = {}
    trace = _build_trace(user, plan, _THIRD)
    runs['direct'] = await _measure(context, quick, trace, fleets.DIRECT)
    for load in _LOADS:
        trace = _build_trace(user, plan, load)
        label = f'load {load:.2f}'
        runs[label] = await _measure(context, quick, trace, targets.OWN_POLICY)
    for size in _SIZES:
        idle = trace._replace(
            arrivals=(), measured_window=traces.Window(0, _IDLE_S)
        )
        runs[f'idle {size}'] = await _measure(
            context, quick._replace(instances=size), idle, targets.OWN_POLICY
        )
    _add_slopes(runs)
    return report.Report(_list_facts(context, plan), runs, _judge(runs))


def fit_line(points: abc.Iterable[tuple[float, float]]) -> Line:
    """Return the least-squares line through two or more points."""
    across, up = zip(*points, strict=True)
    fitted = statistics.linear_regression(across, up)
    return Line(fitted.intercept, fitted.slope)


def _build_trace(
    user: workloads.User, plan: traces.Plan, load: float
) -> traces.Trace:
    """Return a steady trace at a part of the real engines' capacity.

    No request is sent to the instance that allocates, so that what it costs
    is the control alone.
    """
    trace = traces.build_trace(user, plan._replace(base=load))
    names = [f'entry-{number}' for number in range(user.instances)]
    allocating = rendezvous.pick(user.pool, names)
    others = [number for number, name in enumerate(names) if name != allocating]
    return trace._replace(
        arrivals=tuple(
            arrival._replace(entry=others[arrival.number % len(others)])
            for arrival in trace.arrivals
        )
    )


async def _measure(
    context: scenarios.Context,
    user: workloads.User,
    trace: traces.Trace,
    policy: str,
) -> summary.Measures:
    count = len(trace.arrivals)
    context.report_progress(
        f'{policy}: {count} requests, {user.instances} instances'
    )
    async with fleets.run_fleet(
        user, policy, log_path=context.settings.log
    ) as fleet:
        run = await replay.replay_trace(
            fleet, trace, policy=policy, label=policy, clock=context.clock
        )
    measures = _measure_latency(run)
    if policy != fleets.DIRECT:
        measures.update(_measure_costs(user, run))
    measures['machine busy, %'] = run.usage.machine * 100
    measures['load average before'] = run.usage.load_average
    return measures


def _measure_latency(run: replay.Run) -> summary.Measures:
    first = summary.Latencies()
    results = [
        result
        for result in run.results
        if run.trace.measured_window.contains(result.arrival.at_s)
    ]
    for result in results:
        first.add(summary.compute_first_token_s(result))
    if not results:
        return {}
    return {
        'requests': len(results),
        'whole': sum(1 for result in results if result.complete),
        'first token p50, ms': first.read_ms(_MEDIAN),
        'first token p99, ms': first.read_ms(_SLOWEST),
    }


def _measure_costs(user: workloads.User, run: replay.Run) -> summary.Measures:
    used = run.usage
    names = list(run.metric_deltas)
    cores = [used.programs[name] for name in names]
    sent = [
        _sum_growth(run.metric_deltas[name], _BYTES) / used.elapsed_s
        for name in names
    ]
    messages = [
        _sum_growth(run.metric_deltas[name], _MESSAGES) / used.elapsed_s
        for name in names
    ]
    allocating = rendezvous.pick(user.pool, names)
    resident = [used.resident_bytes[name] / _MB for name in names]
    return {
        _SIZE: user.instances,
        _RATE: len(run.trace.arrivals) / used.elapsed_s,
        _CORES: statistics.fmean(cores),
        _ALLOCATOR: used.programs[allocating or names[0]],
        _SENT_RATE: statistics.fmean(sent),
        _SENT_MOST: max(sent),
        'peer messages sent/s, mean of instances': statistics.fmean(messages),
        'resident MB, most of instances': max(resident),
    }


def _sum_growth(metric_deltas: Fields, start: str) -> float:
    return sum(
        amount
        for name, amount in metric_deltas.items()
        if name.startswith(start) and _SENT in name
    )


def _add_slopes(runs: dict[str, summary.Measures]) -> None:
    loaded = [runs[f'load {load:.2f}'] for load in _LOADS]
    idle = [runs[f'idle {size}'] for size in _SIZES]
    slopes: summary.Measures = {}
    for name in (_ALLOCATOR, _CORES, _SENT_RATE, _SENT_MOST):
        by_rate = fit_line((each[_RATE], each[name]) for each in loaded)
        by_size = fit_line((each[_SIZE], each[name]) for each in idle)
        slopes[f'{name}: per request/s'] = by_rate.slope
        slopes[f'{name}: at no requests'] = by_rate.base
        slopes[f'{name}: per idle instance'] = by_size.slope
        slopes[f'{name}: at no instances'] = by_size.base
    runs['slopes'] = slopes


def _judge(runs: abc.Mapping[str, summary.Measures]) -> list[targets.Target]:
    direct = runs['direct']
    third = runs[f'load {_THIRD:.2f}']
    bounds = (
        ('first token p50, ms', _ADDED_P50_MS),
        ('first token p99, ms', _ADDED_P99_MS),
    )
    found = [
        targets.check_upper_bound(
            f'added {name}', third[name] - direct[name], bound
        )
        for name, bound in bounds
    ]
    costs = (
        (_ALLOCATOR, _MOST_CORES),
        (_SENT_MOST, _MOST_BYTES_S),
        ('resident MB, most of instances', _MOST_RESIDENT_MB),
    )
    found.extend(
        targets.check_upper_bound(name, third[name], bound)
        for name, bound in costs
    )
    return found


def _list_facts(
    context: scenarios.Context, plan: traces.Plan
) -> dict[str, str | int | float]:
    capacity = capacities.compute_capacity(context.settings.user)
    return {
        'scenario': 'overhead',
        'user': context.settings.user.name,
        'seed': plan.seed,
        'duration_s': plan.duration_s,
        'warmup_s': plan.warmup_s,
        'capacity_requests_s': round(capacity.requests, 2),
    }
