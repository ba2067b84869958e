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


class Bench(typing.NamedTuple):
    """What every scenario works with."""

    settings: configuration.Settings
    clock: clocks.Clock
    tell: Progress


class Turn(typing.NamedTuple):
    """One run to be made."""

    label: str
    policy: str
    trace: traces.Trace


async def run_policies(bench: Bench) -> report.Report:
    """Replay one trace against every policy and judge the targets."""
    settings = bench.settings
    plan = build_plan(settings)
    trace = traces.build_trace(settings.user, plan)
    runs: dict[str, summary.Measures] = {}
    for turn in _list_turns(settings, trace):
        bench.tell(f'{turn.label}: {len(turn.trace.arrivals)} requests')
        runs[turn.label] = await _run_turn(bench, turn)
    return report.Report(
        _list_facts(settings, plan), runs, targets.judge_runs(runs)
    )


def build_plan(settings: configuration.Settings) -> traces.Plan:
    """Return the plan of the trace for a scenario."""
    return traces.Plan(
        seed=settings.seed,
        duration_s=settings.duration.total_seconds(),
        warmup_s=settings.warmup.total_seconds(),
        base=settings.base,
        crest=settings.crest,
        bursts=settings.scenario != 'stragglers',
        stragglers=settings.scenario in {'stragglers', 'storm'},
    )


async def _run_turn(bench: Bench, turn: Turn) -> summary.Measures:
    user = bench.settings.user
    async with fleets.run_fleet(
        user, turn.policy, log_path=bench.settings.log
    ) as fleet:
        run = await replay.replay_trace(
            fleet,
            turn.trace,
            policy=turn.policy,
            label=turn.label,
            clock=bench.clock,
        )
    _keep_lines(bench.settings, run)
    return summary.measure_run(user, run)


def _keep_lines(settings: configuration.Settings, run: replay.Run) -> None:
    if settings.requests is None:
        return
    with pathlib.Path(settings.requests).open('ab') as kept:
        kept.write(requestlines.render_lines(settings.user, run))


def _list_turns(
    settings: configuration.Settings, trace: traces.Trace
) -> abc.Iterator[Turn]:
    policies = settings.policies
    if settings.scenario == 'alone':
        policies = (targets.OURS,)
    for policy in policies:
        yield Turn(policy, policy, trace)
    if settings.scenario in {'crest', 'alone', 'storm'}:
        alone = traces.keep_tier(trace, 1)
        yield Turn(targets.ALONE, targets.OURS, alone)
    if settings.scenario == 'stragglers':
        quick = tuple(episode._replace(factor=1) for episode in trace.episodes)
        yield Turn(targets.CALM, targets.OURS, trace._replace(episodes=quick))


def _list_facts(
    settings: configuration.Settings, plan: traces.Plan
) -> dict[str, str | int | float]:
    capacity = capacities.find_capacity(settings.user)
    return {
        'scenario': settings.scenario,
        'user': settings.user.name,
        'seed': plan.seed,
        'duration_s': plan.duration_s,
        'warmup_s': plan.warmup_s,
        'base': plan.base,
        'crest': plan.crest if plan.bursts else plan.base,
        'capacity_requests_s': round(capacity.requests, 2),
        'capacity_tokens_s': round(capacity.output_tokens, 1),
        'first_token_target_s': summary.FIRST_TOKEN_TARGET_S,
    }
