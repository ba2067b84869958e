"""The main function of a routed instance."""

import asyncio
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge import environment, logs, status
from lavenderledge.daemon import settings as daemonsettings
from lavenderledge.proxy import instance
from lavenderledge.proxy import settings as configuration


def main(
    args: abc.Sequence[str],
    env: environment.Environment,
    platform: instance.Platform,
) -> status.ExitStatus:
    """Run one instance until it is stopped and return its exit status."""
    parser = daemonsettings.build_parser(
        configuration.OPTIONS, configuration.PROGRAM
    )
    try:
        given = parser.parse_args(args)
    except SystemExit as end:
        return status.ExitStatus(int(end.code or 0))

    def read_settings() -> configuration.Read:
        return configuration.read_settings(given, env.variables)

    read = read_settings()
    if read.is_error():
        for problem in read.error:
            env.write_error(program=configuration.PROGRAM, message=str(problem))
        return status.ExitStatus.USAGE
    logs.configure_logs(stream=env.stdout, level=read.ok.log_level)
    try:
        asyncio.run(_run(read.ok, platform, read_settings))
    except OSError as error:
        env.write_error(
            program=configuration.PROGRAM, message=f'cannot listen: {error}'
        )
        return status.ExitStatus.ERROR
    return status.ExitStatus.SUCCESS


async def _run(
    settings: configuration.Settings,
    platform: instance.Platform,
    read_settings: abc.Callable[[], configuration.Read],
) -> typing.Any:
    running = instance.Instance(
        settings=settings, platform=platform, clock=clocks.SuspendClock()
    )
    running.handle_signals(read_settings)
    await running.run()
