"""The load tool's settings, from its flags."""

import argparse
import datetime
import typing

import expression

from lavenderledge.load import definition, workloads


class Settings(typing.NamedTuple):
    """Every setting, checked; see ``definition.OPTIONS`` for each."""

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
    """A setting that is malformed."""

    flag: str
    detail: str

    def __str__(self) -> str:
        """Return the problem in words."""
        return f'{self.flag}: {self.detail}'


def build_parser() -> argparse.ArgumentParser:
    """Return a parser that takes every flag as text."""
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
    given: argparse.Namespace,
) -> 'expression.Result[Settings, tuple[Problem, ...]]':
    """Return all settings, or every problem with them at once."""
    found: dict[str, typing.Any] = {}
    problems: list[Problem] = []
    for option in definition.OPTIONS:
        text = getattr(given, option.name)
        try:
            found[option.name] = option.parse(text)
        except ValueError as error:
            problems.append(
                Problem(option.flag, f'{text!r} is not valid: {error}')
            )
    if not problems and found['warmup'] >= found['duration']:
        problems.append(
            Problem('--warmup', 'must be shorter than the duration')
        )
    if problems:
        return expression.Error(tuple(problems))
    return expression.Ok(Settings(**found))
