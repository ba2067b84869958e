"""Shares of two rows of one tier with different weights, under backlog."""

import typing

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
from lavenderledge.policy import table

# Avoids a division by zero for a response of one token.
_MIN_DURATION_S = 1e-9

_WEIGHTS: typing.Final = {'heavy': 3.0, 'light': 1.0}
_KIND = 'check'
_BACKLOG_FROM_S = 2
_BACKLOG_UNTIL_S = 12
_BACKLOG = traces.Window(_BACKLOG_FROM_S, _BACKLOG_UNTIL_S)
_TOLERANCE = 0.1
_TIMEOUT_S = 60.0
_PAUSE_S = 1.0
# Each row alone has this multiple of the work that fits into the window.
_OVERLOAD_FACTOR = 1.2


async def run_fairness(context: scenarios.Context) -> report.Report:
    """Keep both rows backlogged for 10 s and compare their shares."""
    user = _build_user(context.settings.user)
    trace = _build_backlog(user, context.settings.seed)
    runs: dict[str, summary.Measures] = {}
    checked_targets: list[targets.Target] = []
    for policy in context.settings.policies:
        context.report_progress(f'{policy}: {len(trace.arrivals)} requests')
        runs[policy] = await _measure(context, user, trace, policy)
        if policy == targets.OWN_POLICY:
            checked_targets.append(
                _check_share(runs[policy]['share of weights'])
            )
    facts: dict[str, str | int | float] = {
        'scenario': 'fairness',
        'user': user.name,
        'seed': trace.seed,
        'backlog_s': _BACKLOG.end_s - _BACKLOG.start_s,
        'weights': ':'.join(f'{weight:g}' for weight in _WEIGHTS.values()),
    }
    return report.Report(facts, runs, checked_targets)


def measure_served(record: fleets.EngineRecord, window: traces.Window) -> float:
    """Return the output tokens that a request produced in a window.

    The window and the record use the same clock. The tokens are assumed to
    be evenly spread between the first and the last.
    """
    if record.first_token_s is None or record.finished_s is None:
        return 0
    length_s = max(record.finished_s - record.first_token_s, _MIN_DURATION_S)
    overlap_s = min(record.finished_s, window.end_s) - max(
        record.first_token_s, window.start_s
    )
    return record.tokens * max(0, min(1, overlap_s / length_s))


async def _measure(
    context: scenarios.Context,
    user: workloads.User,
    trace: traces.Trace,
    policy: str,
) -> summary.Measures:
    rows = _build_rows(user)
    async with fleets.run_fleet(
        user, policy, log_path=context.settings.log, rows=rows
    ) as fleet:
        run = await replay.replay_trace(
            fleet, trace, policy=policy, label=policy, clock=context.clock
        )
    start_s = run.started_wall_s
    window = traces.Window(start_s + _BACKLOG.start_s, start_s + _BACKLOG.end_s)
    served = {customer: float(0) for customer in _WEIGHTS}
    customers = {arrival.number: arrival.customer for arrival in trace.arrivals}
    for record in run.records:
        served[customers[record.number]] += measure_served(record, window)
    ratio = served['heavy'] / max(served['light'], 1)
    expected_ratio = _WEIGHTS['heavy'] / _WEIGHTS['light']
    return {
        'heavy row, tokens': served['heavy'],
        'light row, tokens': served['light'],
        'heavy over light': ratio,
        'share of weights': ratio / expected_ratio,
        'machine busy, %': run.usage.machine_busy_ratio * 100,
        'load average before': run.usage.load_average,
    }


def _check_share(share: float) -> targets.Target:
    return targets.Target(
        'heavy over light, as a part of the weights',
        f'within {_TOLERANCE:.0%} of 1',
        share,
        abs(share - 1) <= _TOLERANCE,
    )


def _build_user(user: workloads.User) -> workloads.User:
    kind = next(kind for kind in user.kinds if kind.tier == 2)
    customers = tuple(workloads.Customer(name, 0.5) for name in _WEIGHTS)
    return user._replace(
        kinds=(kind._replace(share=1, timeout_s=_TIMEOUT_S),),
        customers=customers,
    )


def _build_rows(user: workloads.User) -> list[table.Row]:
    row = user.build_rows()[0]
    return [
        row._replace(row=name, customer=name, weight=weight)
        for name, weight in _WEIGHTS.items()
    ]


def _build_backlog(user: workloads.User, seed: int) -> traces.Trace:
    """Return a trace whose requests all arrive in its first second.

    Each row has enough work to keep the whole fleet busy for the window.
    """
    capacity = capacities.compute_capacity(user)
    count = round(capacity.requests * _BACKLOG.end_s * _OVERLOAD_FACTOR)
    generator = traces.RequestGenerator(
        user=user, shares=capacity.shares, seed=seed
    )
    arrivals = [
        generator.generate_arrival(number, number / (2 * count))
        for number in range(2 * count)
    ]
    names = list(_WEIGHTS)
    return traces.Trace(
        seed=seed,
        measured_window=_BACKLOG,
        arrivals=tuple(
            arrival._replace(customer=names[arrival.number % len(names)])
            for arrival in arrivals
        ),
        bursts=(),
        episodes=(),
    )
