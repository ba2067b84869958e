"""The main function of an instance."""

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
    """Run an instance until it is stopped; return its exit status."""
    parser = daemonsettings.build_parser(
        proxysettings.OPTIONS, proxysettings.PROGRAM
    )
    try:
        parsed_args = parser.parse_args(args)
    except SystemExit as exit_request:
        return status.ExitStatus(int(exit_request.code or 0))

    def read_settings() -> proxysettings.ReadResult:
        return proxysettings.read_settings(parsed_args, env.variables)

    outcome = read_settings()
    if outcome.is_error():
        for problem in outcome.error:
            env.write_error(program=proxysettings.PROGRAM, message=str(problem))
        return status.ExitStatus.USAGE
    clock = clocks.BootTimeClock()
    log_handler = logs.configure_bounded_logs(
        descriptor=env.stdout.fileno(), level=outcome.ok.log_level, clock=clock
    )
    config = _Config(outcome.ok, platform, clock)
    try:
        asyncio.run(_run(config, read_settings, log_handler))
    except OSError as error:
        env.write_error(
            program=proxysettings.PROGRAM, message=f'cannot listen: {error}'
        )
        return status.ExitStatus.ERROR
    finally:
        log_handler.flush()
    return status.ExitStatus.SUCCESS


class _Config(typing.NamedTuple):
    settings: proxysettings.Settings
    platform: watching.Platform
    clock: clocks.Clock


async def _run(
    config: _Config,
    read_settings: abc.Callable[[], proxysettings.ReadResult],
    log_handler: logs.BoundedHandler,
) -> None:
    running = instance.Instance(
        settings=config.settings, platform=config.platform, clock=config.clock
    )
    running.handle_signals(read_settings)
    log_writer = asyncio.create_task(log_handler.run())
    try:
        await running.run()
    finally:
        log_writer.cancel()
