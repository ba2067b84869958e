"""The daemon's main function."""

import asyncio
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge import environment, logs, status
from lavenderledge.daemon import lifecycle
from lavenderledge.daemon import settings as daemonsettings

_HINT = f'see {daemonsettings.PROGRAM} --help'


def main(
    args: abc.Sequence[str], env: environment.Environment
) -> status.ExitStatus:
    """Run one instance until it is stopped and return its exit status."""
    try:
        arguments = daemonsettings.build_parser().parse_args(args)
    except SystemExit as end:
        return status.ExitStatus(int(end.code or 0))
    settings = daemonsettings.read_settings(arguments, env.variables)
    if settings.is_error():
        for problem in settings.error:
            env.write_error(
                program=daemonsettings.PROGRAM, message=str(problem)
            )
        env.stderr.write(f'{daemonsettings.PROGRAM}: hint: {_HINT}\n')
        return status.ExitStatus.USAGE
    logs.configure_logs(stream=env.stderr, level=settings.ok.log_level)
    return asyncio.run(_run(settings.ok, env))


async def _run(
    settings: daemonsettings.Settings, env: environment.Environment
) -> status.ExitStatus:
    instance = lifecycle.Instance(settings=settings, clock=clocks.SystemClock())
    instance.handle_signals()

    def write_addresses(addresses: lifecycle.Addresses) -> None:
        env.stdout.write(
            f'ready listen={addresses.listen} admin={addresses.admin} '
            f'peer={addresses.peer}\n'
        )
        env.stdout.flush()

    outcome = await instance.run(write_addresses)
    if outcome.is_error():
        env.write_error(
            program=daemonsettings.PROGRAM,
            message=f'cannot listen on {outcome.error.address}: '
            f'{outcome.error.detail}',
            hint='choose another address, or port 0 for any free port',
        )
        return status.ExitStatus.ERROR
    return status.ExitStatus.SUCCESS
