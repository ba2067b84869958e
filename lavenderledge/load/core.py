"""The load tool's main function."""

import asyncio
import pathlib
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge import environment, status
from lavenderledge.load import (
    chart,
    definition,
    fairness,
    overhead,
    report,
    scenarios,
)
from lavenderledge.load import (
    settings as configuration,
)
from lavenderledge.standins import programs

Run: typing.TypeAlias = abc.Callable[
    [scenarios.Context], abc.Coroutine[typing.Any, typing.Any, report.Report]
]

_RUNS: typing.Final[dict[str, Run]] = {
    'fairness': fairness.run_fairness,
    'overhead': overhead.run_overhead,
}


def main(
    args: abc.Sequence[str], env: environment.Environment
) -> status.ExitStatus:
    """Run one scenario, show its measures and return the exit status."""
    try:
        given = configuration.build_parser().parse_args(args)
    except SystemExit as end:
        return status.ExitStatus(int(end.code or 0))
    read = configuration.read_settings(given)
    if read.is_error():
        return _refuse(env, read.error)
    try:
        found = asyncio.run(_run(read.ok, env))
        _write(found, read.ok, env)
    except (programs.LaunchError, OSError) as error:
        env.write_error(
            program=definition.PROGRAM,
            message=str(error),
            hint='--log FILE keeps what the programs say',
        )
        return status.ExitStatus.ERROR
    except KeyboardInterrupt:
        return status.ExitStatus.INTERRUPTED
    return status.ExitStatus.SUCCESS


async def _run(
    settings: configuration.Settings, env: environment.Environment
) -> report.Report:
    def report_progress(line: str) -> None:
        env.stderr.write(f'{line}\n')
        env.stderr.flush()

    run = _RUNS.get(settings.scenario, scenarios.run_policies)
    return await run(
        scenarios.Context(settings, clocks.SystemClock(), report_progress)
    )


def _write(
    found: report.Report,
    settings: configuration.Settings,
    env: environment.Environment,
) -> None:
    env.stdout.write(report.render_text(found))
    if settings.json is not None:
        pathlib.Path(settings.json).write_bytes(report.render_json(found))
    if settings.plot is not None:
        pathlib.Path(settings.plot).write_text(chart.render_svg(found))


def _refuse(
    env: environment.Environment,
    problems: abc.Iterable[configuration.Problem],
) -> status.ExitStatus:
    for problem in problems:
        env.write_error(program=definition.PROGRAM, message=str(problem))
    env.stderr.write(
        f'{definition.PROGRAM}: hint: see {definition.PROGRAM} --help\n'
    )
    return status.ExitStatus.USAGE
