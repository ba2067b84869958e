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
    explaincommand,
    parsing,
    settings,
    statuscommand,
    tablecommands,
    tracecommand,
)
from lavenderledge.registry import instancelist, keyvalue

RunCommand: typing.TypeAlias = abc.Callable[
    [context.Context],
    abc.Coroutine[typing.Any, typing.Any, status.ExitStatus],
]

# A list of all kept edits: 200 of at most 200 kB, in base64.
_MAX_ANSWER_BYTES: typing.Final = 64_000_000
_RUNNERS: typing.Final[abc.Mapping[definition.Command, RunCommand]] = {
    definition.TABLE_SHOW: tablecommands.run_show,
    definition.TABLE_SET: editcommands.run_set,
    definition.TABLE_REMOVE: editcommands.run_remove,
    definition.TABLE_IMPORT: editcommands.run_import,
    definition.TABLE_EXPORT: tablecommands.run_export,
    definition.TABLE_HISTORY: tablecommands.run_history,
    definition.TABLE_STATUS: tablecommands.run_status,
    definition.STATUS: statuscommand.run_status,
    definition.TRACE: tracecommand.run_trace,
    definition.EXPLAIN: explaincommand.run_explain,
}


def main(
    args: abc.Sequence[str], env: environment.Environment
) -> status.ExitStatus:
    """Run one command and return its exit status."""
    parsed = parsing.parse(args, env)
    if parsed.is_error():
        return parsed.error.status
    loaded = settings.read_settings(
        parsed.ok.args, env.variables, _list_required_settings(parsed.ok)
    )
    if loaded.is_error():
        return _refuse_settings(env, loaded.error)
    logs.configure_logs(stream=env.stderr, level=loaded.ok.log_level)
    try:
        return asyncio.run(_run(parsed.ok, loaded.ok, env))
    except KeyboardInterrupt:
        return status.ExitStatus.INTERRUPTED


def _list_required_settings(parsed: parsing.Parsed) -> set[str]:
    required_settings = set(parsed.command.required_settings)
    if getattr(parsed.args, 'no_wait', False):
        required_settings.discard('instance_list')
    return required_settings


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
    cli_settings: settings.Settings,
    env: environment.Environment,
) -> status.ExitStatus:
    async with keyvalue.open_session() as session:
        return await _RUNNERS[parsed.command](
            context.Context(
                env=env,
                args=parsed.args,
                settings=cli_settings,
                session=session,
                keyvalue=keyvalue.KeyValue(
                    session=session,
                    addresses=cli_settings.keyvalue,
                    timeout=min(keyvalue.CALL_TIMEOUT, cli_settings.timeout),
                    max_answer_bytes=_MAX_ANSWER_BYTES,
                ),
                instances=instancelist.InstanceList(
                    session=session, address=cli_settings.instance_list
                ),
                clock=clocks.SystemClock(),
                rng=random.Random(),
            ),
        )
