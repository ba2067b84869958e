"""The command-line tool's main function."""

import asyncio
import random
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge import environment, logs, options, status
from lavenderledge.cli import (
    context,
    definition,
    editcommands,
    parsing,
    settings,
    statuscommand,
    tablecommands,
    tracecommand,
)
from lavenderledge.registry import instancelist, keyvalue

Run: typing.TypeAlias = abc.Callable[
    [context.Context],
    abc.Coroutine[typing.Any, typing.Any, status.ExitStatus],
]

_RUNS: typing.Final[abc.Mapping[definition.Command, Run]] = {
    definition.TABLE_SHOW: tablecommands.run_show,
    definition.TABLE_SET: editcommands.run_set,
    definition.TABLE_REMOVE: editcommands.run_remove,
    definition.TABLE_IMPORT: editcommands.run_import,
    definition.TABLE_EXPORT: tablecommands.run_export,
    definition.TABLE_HISTORY: tablecommands.run_history,
    definition.TABLE_STATUS: tablecommands.run_status,
    definition.STATUS: statuscommand.run_status,
    definition.TRACE: tracecommand.run_trace,
}


def main(
    args: abc.Sequence[str], env: environment.Environment
) -> status.ExitStatus:
    """Run one command and return its exit status."""
    parsed = parsing.parse(args, env)
    if parsed.is_error():
        return parsed.error.status
    found = settings.read_settings(
        parsed.ok.given, env.variables, _list_needs(parsed.ok)
    )
    if found.is_error():
        return _refuse_settings(env, found.error)
    logs.configure_logs(stream=env.stderr, level=found.ok.log_level)
    try:
        return asyncio.run(_run(parsed.ok, found.ok, env))
    except KeyboardInterrupt:
        return status.ExitStatus.INTERRUPTED


def _list_needs(parsed: parsing.Parsed) -> set[str]:
    needs = set(parsed.command.needs)
    if getattr(parsed.given, 'no_wait', False):
        needs.discard('instance_list')
    return needs


def _refuse_settings(
    env: environment.Environment, problems: abc.Iterable[options.Problem]
) -> status.ExitStatus:
    for problem in problems:
        env.write_error(program=definition.PROGRAM, message=str(problem))
    env.stderr.write(
        f'{definition.PROGRAM}: hint: see {definition.PROGRAM} --help\n',
    )
    return status.ExitStatus.USAGE


async def _run(
    parsed: parsing.Parsed,
    found: settings.Settings,
    env: environment.Environment,
) -> status.ExitStatus:
    async with keyvalue.open_session() as session:
        return await _RUNS[parsed.command](
            context.Context(
                env=env,
                given=parsed.given,
                settings=found,
                session=session,
                keyvalue=keyvalue.KeyValue(
                    session=session,
                    addresses=found.keyvalue,
                    timeout=min(keyvalue.CALL_TIMEOUT, found.timeout),
                ),
                instances=instancelist.InstanceList(
                    session=session, address=found.instance_list
                ),
                clock=clocks.SystemClock(),
                rng=random.Random(),
            ),
        )
