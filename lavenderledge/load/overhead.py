"""The scheduler's overhead: added latency, CPU time, traffic and memory."""

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

# Percentiles in the report.
_P50 = 50
_P99 = 99

_FAST_TOKEN_GAP_S = 0.005
_FAST_SPEED = workloads.make_gap_bound_speed(_FAST_TOKEN_GAP_S)
_THIRD = 1 / 3
# Loads, as fractions of the capacity, and numbers of idle instances.
_LOADS = (_THIRD, 2 / 3, 4 / 3)
_INSTANCE_COUNTS = (3, 6, 9)
_IDLE_S = 20.0
_MAX_ADDED_P50_MS = 5.0
_MAX_ADDED_P99_MS = 20.0
_MAX_CORES = 0.013
_MAX_BYTES_PER_S = 20_000
_MAX_RESIDENT_MB = 256
_BYTES_PER_MB = 1_000_000
_SENT_LABEL = 'direction="sent"'
_BYTES_METRIC = 'lavenderledge_peer_bytes{'
_MESSAGES_METRIC = 'lavenderledge_peer_messages{'
_RATE = 'requests/s'
_INSTANCES = 'instances'
_ALLOCATOR = 'allocator without callers, cores'
_SENT_RATE = 'peer bytes sent/s, mean of instances'
_MAX_SENT_RATE = 'peer bytes sent/s, most of instances'
_CORES = 'cores, mean of instances'

Metrics: typing.TypeAlias = abc.Mapping[str, float]


class Line(typing.NamedTuple):
    """A fitted line ``base + slope * x``."""

    base: float
    slope: float


async def run_overhead(context: scenarios.Context) -> report.Report:
    """Measure added latency, and costs by request rate and instance count."""
    user = context.settings.user
    fast_user = user._replace(
        engines=tuple(
            workloads.Engine(_FAST_SPEED, engine.cache_blocks)
            for engine in user.engines
        )
    )
    plan = scenarios.build_plan(context.settings)._replace(
        bursts=False, stragglers=False
    )
    runs: dict[str, summary.Measures] = {}
    trace = _build_trace(user, plan, _THIRD)
    runs['direct'] = await _measure(context, fast_user, trace, fleets.DIRECT)
    for load in _LOADS:
        trace = _build_trace(user, plan, load)
        label = f'load {load:.2f}'
        runs[label] = await _measure(
            context, fast_user, trace, targets.OWN_POLICY
        )
    for instance_count in _INSTANCE_COUNTS:
        idle = trace._replace(
            arrivals=(), measured_window=traces.Window(0, _IDLE_S)
        )
        runs[f'idle {instance_count}'] = await _measure(
            context,
            fast_user._replace(instances=instance_count),
            idle,
            targets.OWN_POLICY,
        )
    _add_slopes(runs)
    return report.Report(_list_facts(context, plan), runs, _check_targets(runs))


def fit_line(points: abc.Iterable[tuple[float, float]]) -> Line:
    """Return the least-squares line through two or more points."""
    xs, ys = zip(*points, strict=True)
    fitted = statistics.linear_regression(xs, ys)
    return Line(fitted.intercept, fitted.slope)


def _build_trace(
    user: workloads.User, plan: traces.Plan, load: float
) -> traces.Trace:
    """Return a steady trace at a fraction of the real engines' capacity.

    No request is sent to the allocator, so that its cost is that of the
    control messages alone.
    """
    trace = traces.build_trace(user, plan._replace(base=load))
    names = [f'entry-{number}' for number in range(user.instances)]
    allocator = rendezvous.pick(user.pool, names)
    others = [number for number, name in enumerate(names) if name != allocator]
    return trace._replace(
        arrivals=tuple(
            arrival._replace(instance=others[arrival.number % len(others)])
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
    measures['machine busy, %'] = run.usage.machine_busy_ratio * 100
    measures['load average before'] = run.usage.load_average
    return measures


def _measure_latency(run: replay.Run) -> summary.Measures:
    first_token = summary.Latencies()
    results = [
        result
        for result in run.results
        if run.trace.measured_window.contains(result.arrival.at_s)
    ]
    for result in results:
        first_token.add(summary.compute_first_token_s(result))
    if not results:
        return {}
    return {
        'requests': len(results),
        'whole': sum(1 for result in results if result.complete),
        'first token p50, ms': first_token.read_ms(_P50),
        'first token p99, ms': first_token.read_ms(_P99),
    }


def _measure_costs(user: workloads.User, run: replay.Run) -> summary.Measures:
    usage = run.usage
    names = list(run.metric_deltas)
    cores = [usage.program_cores[name] for name in names]
    bytes_per_s = [
        _sum_sent(run.metric_deltas[name], _BYTES_METRIC) / usage.elapsed_s
        for name in names
    ]
    messages_per_s = [
        _sum_sent(run.metric_deltas[name], _MESSAGES_METRIC) / usage.elapsed_s
        for name in names
    ]
    allocator = rendezvous.pick(user.pool, names)
    resident_mb = [usage.resident_bytes[name] / _BYTES_PER_MB for name in names]
    return {
        _INSTANCES: user.instances,
        _RATE: len(run.trace.arrivals) / usage.elapsed_s,
        _CORES: statistics.fmean(cores),
        _ALLOCATOR: usage.program_cores[allocator or names[0]],
        _SENT_RATE: statistics.fmean(bytes_per_s),
        _MAX_SENT_RATE: max(bytes_per_s),
        'peer messages sent/s, mean of instances': statistics.fmean(
            messages_per_s
        ),
        'resident MB, most of instances': max(resident_mb),
    }


def _sum_sent(metric_deltas: Metrics, prefix: str) -> float:
    return sum(
        amount
        for name, amount in metric_deltas.items()
        if name.startswith(prefix) and _SENT_LABEL in name
    )


def _add_slopes(runs: dict[str, summary.Measures]) -> None:
    load_runs = [runs[f'load {load:.2f}'] for load in _LOADS]
    idle = [
        runs[f'idle {instance_count}'] for instance_count in _INSTANCE_COUNTS
    ]
    slopes: summary.Measures = {}
    for name in (_ALLOCATOR, _CORES, _SENT_RATE, _MAX_SENT_RATE):
        by_rate = fit_line(
            (measures[_RATE], measures[name]) for measures in load_runs
        )
        by_count = fit_line(
            (measures[_INSTANCES], measures[name]) for measures in idle
        )
        slopes[f'{name}: per request/s'] = by_rate.slope
        slopes[f'{name}: at no requests'] = by_rate.base
        slopes[f'{name}: per idle instance'] = by_count.slope
        slopes[f'{name}: at no instances'] = by_count.base
    runs['slopes'] = slopes


def _check_targets(
    runs: abc.Mapping[str, summary.Measures],
) -> list[targets.Target]:
    direct = runs['direct']
    third_load = runs[f'load {_THIRD:.2f}']
    bounds = (
        ('first token p50, ms', _MAX_ADDED_P50_MS),
        ('first token p99, ms', _MAX_ADDED_P99_MS),
    )
    checked_targets = [
        targets.check_upper_bound(
            f'added {name}', third_load[name] - direct[name], bound
        )
        for name, bound in bounds
    ]
    costs = (
        (_ALLOCATOR, _MAX_CORES),
        (_MAX_SENT_RATE, _MAX_BYTES_PER_S),
        ('resident MB, most of instances', _MAX_RESIDENT_MB),
    )
    checked_targets.extend(
        targets.check_upper_bound(name, third_load[name], bound)
        for name, bound in costs
    )
    return checked_targets


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
