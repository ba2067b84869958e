"""The runs of each scenario, in order."""

import pathlib
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge.load import (
    capacity as capacities,
)
from lavenderledge.load import (
    fleet as fleets,
)
from lavenderledge.load import (
    replay,
    report,
    requestlines,
    summary,
    targets,
    traces,
)
from lavenderledge.load import (
    settings as configuration,
)

Progress: typing.TypeAlias = abc.Callable[[str], object]


class Context(typing.NamedTuple):
    """The settings and dependencies of a scenario."""

    settings: configuration.Settings
    clock: clocks.Clock
    report_progress: Progress


class PlannedRun(typing.NamedTuple):
    """A run to replay."""

    label: str
    policy: str
    trace: traces.Trace


async def run_policies(context: Context) -> report.Report:
    """Replay one trace against every policy and check the targets."""
    settings = context.settings
    plan = build_plan(settings)
    trace = traces.build_trace(settings.user, plan)
    runs: dict[str, summary.Measures] = {}
    for planned in _list_runs(settings, trace):
        context.report_progress(
            f'{planned.label}: {len(planned.trace.arrivals)} requests'
        )
        runs[planned.label] = await _execute_run(context, planned)
    return report.Report(
        _list_facts(settings, plan), runs, targets.check_targets(runs)
    )


def build_plan(settings: configuration.Settings) -> traces.Plan:
    """Return the plan of a scenario's trace."""
    return traces.Plan(
        seed=settings.seed,
        duration_s=settings.duration.total_seconds(),
        warmup_s=settings.warmup.total_seconds(),
        base=settings.base,
        peak=settings.crest,
        bursts=settings.scenario != 'stragglers',
        stragglers=settings.scenario in {'stragglers', 'storm'},
    )


async def _execute_run(
    context: Context, planned: PlannedRun
) -> summary.Measures:
    user = context.settings.user
    async with fleets.run_fleet(
        user, planned.policy, log_path=context.settings.log
    ) as fleet:
        run = await replay.replay_trace(
            fleet,
            planned.trace,
            policy=planned.policy,
            label=planned.label,
            clock=context.clock,
        )
    _append_lines(context.settings, run)
    return summary.measure_run(user, run)


def _append_lines(settings: configuration.Settings, run: replay.Run) -> None:
    if settings.requests is None:
        return
    with pathlib.Path(settings.requests).open('ab') as output:
        output.write(requestlines.render_lines(settings.user, run))


def _list_runs(
    settings: configuration.Settings, trace: traces.Trace
) -> abc.Iterator[PlannedRun]:
    policies = settings.policies
    if settings.scenario == 'alone':
        policies = (targets.OWN_POLICY,)
    for policy in policies:
        yield PlannedRun(policy, policy, trace)
    if settings.scenario in {'crest', 'alone', 'storm'}:
        alone = traces.select_tier(trace, 1)
        yield PlannedRun(targets.TIER1_ALONE, targets.OWN_POLICY, alone)
    if settings.scenario == 'stragglers':
        unslowed = tuple(
            episode._replace(factor=1) for episode in trace.episodes
        )
        yield PlannedRun(
            targets.NO_STRAGGLERS,
            targets.OWN_POLICY,
            trace._replace(episodes=unslowed),
        )


def _list_facts(
    settings: configuration.Settings, plan: traces.Plan
) -> dict[str, str | int | float]:
    capacity = capacities.compute_capacity(settings.user)
    return {
        'scenario': settings.scenario,
        'user': settings.user.name,
        'seed': plan.seed,
        'duration_s': plan.duration_s,
        'warmup_s': plan.warmup_s,
        'base': plan.base,
        'crest': plan.peak if plan.bursts else plan.base,
        'capacity_requests_s': round(capacity.requests, 2),
        'capacity_tokens_s': round(capacity.output_tokens, 1),
        'first_token_target_s': summary.FIRST_TOKEN_TARGET_S,
    }
