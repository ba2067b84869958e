"""Entry point of the stand-ins: each process serves one kind."""

import argparse
import sys
import typing
from collections import abc

from lavenderledge import environment, status
from lavenderledge.standins import definition, server


class _Parser(argparse.ArgumentParser):
    """A parser whose errors omit the subcommand and the usage text."""

    def error(self, message: str) -> typing.NoReturn:
        self.exit(
            status.ExitStatus.USAGE, f'{server.PROGRAM}: error: {message}\n'
        )


def build_parser() -> argparse.ArgumentParser:
    """Return a parser with one subcommand for each kind."""
    parser = _Parser(
        prog=server.PROGRAM,
        description='Simulate an external system that lavenderledge uses.',
    )
    kinds = parser.add_subparsers(dest='kind', required=True, metavar='KIND')
    for kind in definition.KINDS:
        kind_parser = kinds.add_parser(
            kind.name, help=kind.summary, description=kind.summary
        )
        kind_parser.set_defaults(run=kind.run)
        for option in kind.options:
            _add_option(kind_parser, option)
    return parser


def run(
    args: abc.Sequence[str], env: environment.Environment
) -> status.ExitStatus:
    """Run one stand-in until it stops, and return its exit status."""
    parsed = build_parser().parse_args(args)
    exit_status: status.ExitStatus = parsed.run(parsed, env)
    return exit_status


def main() -> None:
    """Run one stand-in and exit with its status."""
    sys.exit(run(sys.argv[1:], environment.Environment()))


def _add_option(
    parser: argparse.ArgumentParser, option: definition.Option
) -> None:
    parser.add_argument(
        option.flag,
        type=_report_errors(option.parse),
        default=option.default,
        choices=option.choices,
        help=f'{option.summary} (default: %(default)s)',
    )


def _report_errors(
    parse: abc.Callable[[str], typing.Any],
) -> abc.Callable[[str], typing.Any]:
    def convert(text: str) -> typing.Any:
        try:
            return parse(text)
        except ValueError as error:
            raise argparse.ArgumentTypeError(str(error)) from error

    return convert


if __name__ == '__main__':
    main()
