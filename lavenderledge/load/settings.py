"""The load tool's settings, parsed from its flags."""

import argparse
import datetime
import typing

import expression

from lavenderledge.load import definition, workloads


class Settings(typing.NamedTuple):
    """All settings, validated; ``definition.OPTIONS`` describes them."""

    scenario: str
    user: workloads.User
    policies: tuple[str, ...]
    seed: int
    duration: datetime.timedelta
    warmup: datetime.timedelta
    base: float
    crest: float
    json: str | None
    plot: str | None
    requests: str | None
    log: str | None


class Problem(typing.NamedTuple):
    """An invalid setting."""

    flag: str
    detail: str

    def __str__(self) -> str:
        """Return the flag and what is wrong with it."""
        return f'{self.flag}: {self.detail}'


def build_parser() -> argparse.ArgumentParser:
    """Return a parser that keeps every flag's value as text."""
    parser = argparse.ArgumentParser(
        prog=definition.PROGRAM,
        description='Replay one seeded trace against several policies.',
        formatter_class=argparse.ArgumentDefaultsHelpFormatter,
    )
    for option in definition.OPTIONS:
        parser.add_argument(
            option.flag,
            metavar=option.metavar,
            default=option.default,
            help=option.text.replace('%', '%%'),
        )
    return parser


def read_settings(
    arguments: argparse.Namespace,
) -> 'expression.Result[Settings, tuple[Problem, ...]]':
    """Return the settings, or all problems with them."""
    parsed: dict[str, typing.Any] = {}
    problems: list[Problem] = []
    for option in definition.OPTIONS:
        text = getattr(arguments, option.name)
        try:
            parsed[option.name] = option.parse(text)
        except ValueError as error:
            problems.append(
                Problem(option.flag, f'{text!r} is not valid: {error}')
            )
    if not problems and parsed['warmup'] >= parsed['duration']:
        problems.append(Problem('--warmup', 'must be shorter than --duration'))
    if problems:
        return expression.Error(tuple(problems))
    return expression.Ok(Settings(**parsed))
