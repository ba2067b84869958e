"""The daemon's main function."""

import asyncio
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge import environment, logs, status
from lavenderledge.daemon import lifecycle
from lavenderledge.daemon import settings as configuration

_HINT = f'see {configuration.PROGRAM} --help'


def main(
    args: abc.Sequence[str], env: environment.Environment
) -> status.ExitStatus:
    """Run one instance until it is stopped and return its exit status."""
    try:
        given = configuration.build_parser().parse_args(args)
    except SystemExit as end:
        return status.ExitStatus(int(end.code or 0))
    read = configuration.read_settings(given, env.variables)
    if read.is_error():
        for problem in read.error:
            env.write_error(program=configuration.PROGRAM, message=str(problem))
        env.stderr.write(f'{configuration.PROGRAM}: hint: {_HINT}\n')
        return status.ExitStatus.USAGE
    logs.configure_logs(stream=env.stderr, level=read.ok.log_level)
    return asyncio.run(_run(read.ok, env))


async def _run(
    settings: configuration.Settings, env: environment.Environment
) -> status.ExitStatus:
    instance = lifecycle.Instance(settings=settings, clock=clocks.SystemClock())
    instance.handle_signals()

    def tell_ready(addresses: lifecycle.Addresses) -> None:
        env.stdout.write(
            f'ready listen={addresses.listen} admin={addresses.admin} '
            f'peer={addresses.peer}\n'
        )
        env.stdout.flush()

    ended = await instance.run(tell_ready)
    if ended.is_error():
        env.write_error(
            program=configuration.PROGRAM,
            message=f'cannot listen: {ended.error.detail}',
            hint='choose another address, or port 0 for a free port',
        )
        return status.ExitStatus.ERROR
    return status.ExitStatus.SUCCESS
