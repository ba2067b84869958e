"""What is replayed, in which order, for each scenario."""

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
    """What every scenario works with."""

    settings: configuration.Settings
    clock: clocks.Clock
    report_progress: Progress


class PlannedRun(typing.NamedTuple):
    """One run to be made."""

    label: str
    policy: str
    trace: traces.Trace


async def run_policies(context: Context) -> report.Report:
    """Replay one trace against every policy and judge the targets."""
    settings = context.settings
    plan = build_plan(settings)
    trace = traces.build_trace(settings.user, plan)
    runs: dict[str, summary.Measures] = {}
    for turn in _list_turns(settings, trace):
        context.report_progress(
            f'{turn.label}: {len(turn.trace.arrivals)} requests'
        )
        runs[turn.label] = await _run_turn(context, turn)
    return report.Report(
        _list_facts(settings, plan), runs, targets.check_targets(runs)
    )


def build_plan(settings: configuration.Settings) -> traces.Plan:
    """Return the plan of the trace for a scenario."""
    return traces.Plan(
        seed=settings.seed,
        duration_s=settings.duration.total_seconds(),
        warmup_s=settings.warmup.total_seconds(),
        base=settings.base,
        peak=settings.crest,
        bursts=settings.scenario != 'stragglers',
        stragglers=settings.scenario in {'stragglers', 'storm'},
    )


async def _run_turn(context: Context, turn: PlannedRun) -> summary.Measures:
    user = context.settings.user
    async with fleets.run_fleet(
        user, turn.policy, log_path=context.settings.log
    ) as fleet:
        run = await replay.replay_trace(
            fleet,
            turn.trace,
            policy=turn.policy,
            label=turn.label,
            clock=context.clock,
        )
    _keep_lines(context.settings, run)
    return summary.measure_run(user, run)


def _keep_lines(settings: configuration.Settings, run: replay.Run) -> None:
    if settings.requests is None:
        return
    with pathlib.Path(settings.requests).open('ab') as kept:
        kept.write(requestlines.render_lines(settings.user, run))


def _list_turns(
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
        quick = tuple(episode._replace(factor=1) for episode in trace.episodes)
        yield PlannedRun(
            targets.NO_STRAGGLERS,
            targets.OWN_POLICY,
            trace._replace(episodes=quick),
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
