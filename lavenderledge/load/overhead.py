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
_QUICK = workloads.make_roomy_speed(_QUICK_GAP_S)
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


async def run_overhead(bench: scenarios.Bench) -> report.Report:
    """Measure the added latency, and the cost by rate and by instances."""
    user = bench.settings.user
    quick = user._replace(
        engines=tuple(
            workloads.Engine(_QUICK, engine.cache_blocks)
            for engine in user.engines
        )
    )
    plan = scenarios.build_plan(bench.settings)._replace(
        bursts=False, stragglers=False
    )
    runs: dict[str, summary.Measures] = {}
    trace = _build_trace(user, plan, _THIRD)
    runs['direct'] = await _measure(bench, quick, trace, fleets.DIRECT)
    for load in _LOADS:
        trace = _build_trace(user, plan, load)
        label = f'load {load:.2f}'
        runs[label] = await _measure(bench, quick, trace, targets.OURS)
    for size in _SIZES:
        idle = trace._replace(arrivals=(), counted=traces.Window(0, _IDLE_S))
        runs[f'idle {size}'] = await _measure(
            bench, quick._replace(instances=size), idle, targets.OURS
        )
    _add_slopes(runs)
    return report.Report(_list_facts(bench, plan), runs, _judge(runs))


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
    bench: scenarios.Bench,
    user: workloads.User,
    trace: traces.Trace,
    policy: str,
) -> summary.Measures:
    count = len(trace.arrivals)
    bench.tell(f'{policy}: {count} requests, {user.instances} instances')
    async with fleets.run_fleet(
        user, policy, log_path=bench.settings.log
    ) as fleet:
        run = await replay.replay_trace(
            fleet, trace, policy=policy, label=policy, clock=bench.clock
        )
    measures = _measure_latency(run)
    if policy != fleets.DIRECT:
        measures.update(_measure_costs(user, run))
    measures['machine busy, %'] = run.usage.machine * 100
    measures['load average before'] = run.usage.load_average
    return measures


def _measure_latency(run: replay.Run) -> summary.Measures:
    first = summary.Latencies()
    answers = [
        answer
        for answer in run.answers
        if run.trace.counted.holds(answer.arrival.at_s)
    ]
    for answer in answers:
        first.note(summary.count_first_s(answer))
    if not answers:
        return {}
    return {
        'requests': len(answers),
        'whole': sum(1 for answer in answers if answer.whole),
        'first token p50, ms': first.read_ms(_MEDIAN),
        'first token p99, ms': first.read_ms(_SLOWEST),
    }


def _measure_costs(user: workloads.User, run: replay.Run) -> summary.Measures:
    used = run.usage
    names = list(run.growth)
    cores = [used.programs[name] for name in names]
    sent = [
        _sum_growth(run.growth[name], _BYTES) / used.elapsed_s for name in names
    ]
    messages = [
        _sum_growth(run.growth[name], _MESSAGES) / used.elapsed_s
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


def _sum_growth(growth: Fields, start: str) -> float:
    return sum(
        amount
        for name, amount in growth.items()
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
        targets.judge_most(f'added {name}', third[name] - direct[name], bound)
        for name, bound in bounds
    ]
    costs = (
        (_ALLOCATOR, _MOST_CORES),
        (_SENT_MOST, _MOST_BYTES_S),
        ('resident MB, most of instances', _MOST_RESIDENT_MB),
    )
    found.extend(
        targets.judge_most(name, third[name], bound) for name, bound in costs
    )
    return found


def _list_facts(
    bench: scenarios.Bench, plan: traces.Plan
) -> dict[str, str | int | float]:
    capacity = capacities.find_capacity(bench.settings.user)
    return {
        'scenario': 'overhead',
        'user': bench.settings.user.name,
        'seed': plan.seed,
        'duration_s': plan.duration_s,
        'warmup_s': plan.warmup_s,
        'capacity_requests_s': round(capacity.requests, 2),
    }
