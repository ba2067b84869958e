"""Entry point of the stand-ins: one process serves one of them."""

import argparse
import sys
import typing
from collections import abc

from lavenderledge import environment, status
from lavenderledge.standins import definition, server

PROGRAM = 'lavenderledge-standin'


class _Parser(argparse.ArgumentParser):
    """A parser whose errors name the program alone."""

    def error(self, message: str) -> typing.NoReturn:
        self.exit(status.ExitStatus.USAGE, f'{PROGRAM}: error: {message}\n')


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of every kind's flags."""
    parser = _Parser(
        prog=PROGRAM, description='Serve a small stand-in for the platform.'
    )
    kinds = parser.add_subparsers(dest='kind', required=True, metavar='KIND')
    for kind in definition.KINDS:
        kind_parser = kinds.add_parser(
            kind.name, help=kind.summary, description=kind.summary
        )
        kind_parser.set_defaults(build=kind.build)
        for option in (definition.LISTEN, *kind.options):
            _add_option(kind_parser, option)
    return parser


def run(
    args: abc.Sequence[str], env: environment.Environment
) -> status.ExitStatus:
    """Serve one stand-in until it is told to stop."""
    parsed = build_parser().parse_args(args)
    try:
        listener = server.bind(*parsed.listen)
    except (OSError, OverflowError) as error:
        env.write_error(
            program=PROGRAM,
            message=f'cannot listen on {parsed.listen.host}: {error}',
        )
        return status.ExitStatus.ERROR
    server.run(parsed.build(parsed), listener, env.stdout)
    return status.ExitStatus.SUCCESS


def main() -> None:
    """Serve one stand-in and leave with its status."""
    sys.exit(run(sys.argv[1:], environment.Environment()))


def _add_option(
    parser: argparse.ArgumentParser, option: definition.Option
) -> None:
    parser.add_argument(
        option.flag,
        type=option.parse,
        default=option.default,
        choices=option.choices,
        help=option.summary,
    )


if __name__ == '__main__':
    main()
