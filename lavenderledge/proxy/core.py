"""The main function of a routed instance."""

import asyncio
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge import environment, logs, status
from lavenderledge.daemon import settings as daemonsettings
from lavenderledge.proxy import instance, watching
from lavenderledge.proxy import settings as proxysettings


def main(
    args: abc.Sequence[str],
    env: environment.Environment,
    platform: watching.Platform,
) -> status.ExitStatus:
    """Run one instance until it is stopped and return its exit status."""
    parser = daemonsettings.build_parser(
        proxysettings.OPTIONS, proxysettings.PROGRAM
    )
    try:
        given = parser.parse_args(args)
    except SystemExit as end:
        return status.ExitStatus(int(end.code or 0))

    def read_settings() -> proxysettings.ReadResult:
        return proxysettings.read_settings(given, env.variables)

    read = read_settings()
    if read.is_error():
        for problem in read.error:
            env.write_error(program=proxysettings.PROGRAM, message=str(problem))
        return status.ExitStatus.USAGE
    clock = clocks.BootTimeClock()
    lines = logs.configure_bounded_logs(
        descriptor=env.stdout.fileno(), level=read.ok.log_level, clock=clock
    )
    running = _Start(read.ok, platform, clock)
    try:
        asyncio.run(_run(running, read_settings, lines))
    except OSError as error:
        env.write_error(
            program=proxysettings.PROGRAM, message=f'cannot listen: {error}'
        )
        return status.ExitStatus.ERROR
    finally:
        lines.flush()
    return status.ExitStatus.SUCCESS


class _Start(typing.NamedTuple):
    settings: proxysettings.Settings
    platform: watching.Platform
    clock: clocks.Clock


async def _run(
    start: _Start,
    read_settings: abc.Callable[[], proxysettings.ReadResult],
    lines: logs.BoundedHandler,
) -> None:
    running = instance.Instance(
        settings=start.settings, platform=start.platform, clock=start.clock
    )
    running.handle_signals(read_settings)
    writing = asyncio.create_task(lines.run())
    try:
        await running.run()
    finally:
        writing.cancel()
