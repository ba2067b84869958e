"""Parsing of the command line from the declared commands."""

import argparse
import contextlib
import typing
from collections import abc

import expression

import lavenderledge
from lavenderledge import environment, status
from lavenderledge.cli import definition


class Parsed(typing.NamedTuple):
    """The command on the command line, and its arguments."""

    command: definition.Command
    args: argparse.Namespace


class ParserExit(typing.NamedTuple):
    """The parser has written help, the version or an error itself."""

    status: status.ExitStatus


def parse(
    args: abc.Sequence[str], env: environment.Environment
) -> expression.Result[Parsed, ParserExit]:
    """Parse arguments; write help and errors to the streams of ``env``."""
    parser = build_parser()
    with contextlib.ExitStack() as stack:
        stack.enter_context(contextlib.redirect_stdout(env.stdout))
        stack.enter_context(contextlib.redirect_stderr(env.stderr))
        try:
            parsed = parser.parse_args(args)
        except SystemExit as ended:
            code = int(ended.code or 0)
            return expression.Error(ParserExit(status.ExitStatus(code)))
    return expression.Ok(Parsed(parsed.command, parsed))


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    parser = argparse.ArgumentParser(
        prog=definition.PROGRAM,
        description=definition.DESCRIPTION,
        epilog=_build_epilog(),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        '--version',
        action='version',
        version=f'{definition.PROGRAM} {lavenderledge.__version__}',
    )
    _add_settings(parser)
    groups: dict[tuple[str, ...], typing.Any] = {
        (): _add_group(parser),
    }
    for command in definition.COMMANDS:
        words = command.words[:-1]
        if words not in groups:
            group = groups[()].add_parser(
                words[0], help=f'commands of the {words[0]}'
            )
            groups[words] = _add_group(group)
        _add_command(groups[words], command)
    return parser


def _add_group(parser: argparse.ArgumentParser) -> typing.Any:
    return parser.add_subparsers(metavar='COMMAND', required=True)


def _add_command(group: typing.Any, command: definition.Command) -> None:
    parser = group.add_parser(
        command.words[-1],
        help=command.help_text,
        description=f'{command.help_text.capitalize()}.',
        epilog=_list_examples([command]),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.set_defaults(command=command)
    for argument in command.arguments:
        _add_argument(parser, argument)
    _add_settings(parser)


def _add_settings(parser: argparse.ArgumentParser) -> None:
    group = parser.add_argument_group('settings')
    for setting in definition.SETTINGS:
        default = f'; default {setting.default}' if setting.default else ''
        group.add_argument(
            setting.flag,
            metavar=setting.metavar,
            default=argparse.SUPPRESS,
            help=f'{setting.help_text} [{setting.variable}{default}]',
        )
    group.add_argument(
        definition.JSON.name,
        action='store_true',
        default=argparse.SUPPRESS,
        help=definition.JSON.help_text,
    )


def _add_argument(
    parser: argparse.ArgumentParser, argument: definition.Argument
) -> None:
    options: dict[str, typing.Any] = {
        'help': argument.help_text,
        'metavar': argument.metavar,
        'nargs': argument.nargs,
        'action': argument.action,
        'default': argument.default,
        'type': argument.parse and _wrap_parser(argument.parse),
    }
    present = {
        name: option for name, option in options.items() if option is not None
    }
    parser.add_argument(argument.name, **present)


def _wrap_parser(
    parse_text: abc.Callable[[str], typing.Any],
) -> abc.Callable[[str], typing.Any]:
    def parse_argument(text: str) -> typing.Any:
        try:
            return parse_text(text)
        except ValueError as error:
            raise argparse.ArgumentTypeError(f'{text!r}: {error}') from error

    return parse_argument


def _build_epilog() -> str:
    examples = _list_examples(definition.COMMANDS)
    return f'{examples}\n\n{definition.EPILOG}'


def _list_examples(commands: abc.Iterable[definition.Command]) -> str:
    lines = [
        f'  {definition.PROGRAM} {example}'
        for command in commands
        for example in command.examples
    ]
    return '\n'.join(['examples:', *lines])
