"""The daemon's settings, from flags and environment variables."""

import argparse
import datetime
import typing
from collections import abc

import expression

import lavenderledge
from lavenderledge import options
from lavenderledge.daemon import definition, formats
from lavenderledge.peers import keys

PROGRAM = 'lavenderledged'


class Settings(typing.NamedTuple):
    """All settings, validated; ``definition.OPTIONS`` describes each."""

    instance: str
    availability_zone: str
    listen: formats.Address
    admin_listen: formats.Address
    peer_listen: formats.Address
    peer_address: formats.Address | None
    keyvalue: tuple[str, ...]
    instance_list: str
    peer_secret_key: keys.KeyPair
    peer_accepted_keys: tuple[bytes, ...]
    policy: str
    notice_period: datetime.timedelta
    silence_timeout: datetime.timedelta
    lost_timeout: datetime.timedelta
    connect_timeout: datetime.timedelta
    claim_timeout: datetime.timedelta
    max_requests: int
    max_customer_requests: int
    max_body_bytes: int
    max_held_bytes: int
    max_answer_bytes: int
    log_level: str


def build_parser(
    declared: abc.Sequence[definition.Option] = definition.OPTIONS,
    program: str = PROGRAM,
) -> argparse.ArgumentParser:
    """Return a parser that accepts every declared flag as text."""
    parser = argparse.ArgumentParser(
        prog=program,
        description='Schedules requests over heterogeneous upstreams.',
        epilog='Each flag can be set by the environment variable named with '
        'it; the flag takes precedence.',
    )
    parser.add_argument(
        '--version',
        action='version',
        version=f'{program} {lavenderledge.__version__}',
    )
    for option in declared:
        parser.add_argument(
            option.flag, metavar=option.metavar, help=_format_help(option)
        )
    return parser


def read_settings(
    arguments: argparse.Namespace, variables: abc.Mapping[str, str]
) -> 'expression.Result[Settings, tuple[options.Problem, ...]]':
    """Return all settings, or all problems with them."""
    values = read_options(definition.OPTIONS, arguments, variables)
    return values.map(lambda by_name: Settings(**by_name))


def read_options(
    declared: abc.Sequence[definition.Option],
    arguments: argparse.Namespace,
    variables: abc.Mapping[str, str],
) -> 'expression.Result[dict[str, typing.Any], tuple[options.Problem, ...]]':
    """Return the values by option name, or all problems with them."""
    values: dict[str, typing.Any] = {}
    problems: list[options.Problem] = []
    for option in declared:
        text = getattr(arguments, option.name)
        if text is None:
            text = variables.get(option.variable, option.default)
        if text is None:
            problems.append(_build_problem(option, 'is required'))
            continue
        try:
            values[option.name] = option.parse(text)
        except ValueError as error:
            problems.append(
                _build_problem(option, _describe_error(option, text, error))
            )
    if problems:
        return expression.Error(tuple(problems))
    return expression.Ok(values)


def _build_problem(option: definition.Option, detail: str) -> options.Problem:
    return options.Problem(option.flag, option.variable, detail)


def _describe_error(
    option: definition.Option, text: str, error: ValueError
) -> str:
    shown = 'the given text' if option.secret else repr(text)
    return f'{shown} is not valid: {error}'


def _format_help(option: definition.Option) -> str:
    default = '' if option.default is None else f'; default {option.default}'
    if option.default == '':
        default = ''
    return f'{option.text} [{option.variable}{default}]'.replace('%', '%%')
