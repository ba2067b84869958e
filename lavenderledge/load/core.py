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

RunScenario: typing.TypeAlias = abc.Callable[
    [scenarios.Context], abc.Coroutine[typing.Any, typing.Any, report.Report]
]

_SCENARIOS: typing.Final[dict[str, RunScenario]] = {
    'fairness': fairness.run_fairness,
    'overhead': overhead.run_overhead,
}


def main(
    args: abc.Sequence[str], env: environment.Environment
) -> status.ExitStatus:
    """Run a scenario, print its measures and return the exit status."""
    try:
        arguments = configuration.build_parser().parse_args(args)
    except SystemExit as end:
        return status.ExitStatus(int(end.code or 0))
    parsed = configuration.read_settings(arguments)
    if parsed.is_error():
        return _report_problems(env, parsed.error)
    try:
        measured = asyncio.run(_run(parsed.ok, env))
        _write_report(measured, parsed.ok, env)
    except (programs.LaunchError, OSError) as error:
        env.write_error(
            program=definition.PROGRAM,
            message=str(error),
            hint='use --log FILE to keep the logs of all programs',
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

    run = _SCENARIOS.get(settings.scenario, scenarios.run_policies)
    return await run(
        scenarios.Context(settings, clocks.SystemClock(), report_progress)
    )


def _write_report(
    measured: report.Report,
    settings: configuration.Settings,
    env: environment.Environment,
) -> None:
    env.stdout.write(report.render_text(measured))
    if settings.json is not None:
        pathlib.Path(settings.json).write_bytes(report.render_json(measured))
    if settings.plot is not None:
        pathlib.Path(settings.plot).write_text(chart.render_svg(measured))


def _report_problems(
    env: environment.Environment,
    problems: abc.Iterable[configuration.Problem],
) -> status.ExitStatus:
    for problem in problems:
        env.write_error(program=definition.PROGRAM, message=str(problem))
    env.stderr.write(
        f'{definition.PROGRAM}: hint: see {definition.PROGRAM} --help\n'
    )
    return status.ExitStatus.USAGE
