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
    """Every setting, checked; see ``definition.OPTIONS`` for each."""

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
    """Return a parser that takes every declared flag as text."""
    parser = argparse.ArgumentParser(
        prog=program,
        description='Schedules requests of callers over unlike upstreams.',
        epilog='Each flag can be given by the environment variable named '
        'with it; a flag goes first.',
    )
    parser.add_argument(
        '--version',
        action='version',
        version=f'{program} {lavenderledge.__version__}',
    )
    for option in declared:
        parser.add_argument(
            option.flag, metavar=option.metavar, help=_describe(option)
        )
    return parser


def read_settings(
    given: argparse.Namespace, variables: abc.Mapping[str, str]
) -> 'expression.Result[Settings, tuple[options.Problem, ...]]':
    """Return all settings, or every problem with them at once."""
    found = read_options(definition.OPTIONS, given, variables)
    return found.map(lambda named: Settings(**named))


def read_options(
    declared: abc.Sequence[definition.Option],
    given: argparse.Namespace,
    variables: abc.Mapping[str, str],
) -> 'expression.Result[dict[str, typing.Any], tuple[options.Problem, ...]]':
    """Return the options by name, or every problem with them at once."""
    found: dict[str, typing.Any] = {}
    problems: list[options.Problem] = []
    for option in declared:
        text = getattr(given, option.name)
        if text is None:
            text = variables.get(option.variable, option.default)
        if text is None:
            problems.append(_report(option, 'is required'))
            continue
        try:
            found[option.name] = option.parse(text)
        except ValueError as error:
            problems.append(_report(option, _explain(option, text, error)))
    if problems:
        return expression.Error(tuple(problems))
    return expression.Ok(found)


def _report(option: definition.Option, detail: str) -> options.Problem:
    return options.Problem(option.flag, option.variable, detail)


def _explain(option: definition.Option, text: str, error: ValueError) -> str:
    shown = 'the given text' if option.secret else repr(text)
    return f'{shown} is not valid: {error}'


def _describe(option: definition.Option) -> str:
    default = '' if option.default is None else f'; default {option.default}'
    if option.default == '':
        default = ''
    return f'{option.text} [{option.variable}{default}]'.replace('%', '%%')
