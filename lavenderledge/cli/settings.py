"""The command line's settings, from flags and environment variables."""

import argparse
import datetime
import typing
from collections import abc

import expression

from lavenderledge import options
from lavenderledge.cli import definition


class Settings(typing.NamedTuple):
    """Every setting, checked; empty where a command does not need it."""

    keyvalue: tuple[str, ...]
    instance_list: str
    timeout: datetime.timedelta
    log_level: str


_ABSENT: typing.Final[abc.Mapping[str, typing.Any]] = {
    'keyvalue': (),
    'instance_list': '',
}


def read_settings(
    given: argparse.Namespace,
    variables: abc.Mapping[str, str],
    needs: abc.Container[str],
) -> 'expression.Result[Settings, tuple[options.Problem, ...]]':
    """Return all settings, or every problem with them at once."""
    found: dict[str, typing.Any] = dict(_ABSENT)
    problems: list[options.Problem] = []
    for setting in definition.SETTINGS:
        text = getattr(given, setting.name, None)
        if text is None:
            text = variables.get(setting.variable) or setting.default
        if text is None:
            if setting.name in needs:
                problems.append(_report(setting, 'is required'))
            continue
        try:
            found[setting.name] = setting.parse(text)
        except ValueError as error:
            problems.append(_report(setting, f'{text!r}: {error}'))
    if problems:
        return expression.Error(tuple(problems))
    return expression.Ok(Settings(**found))


def _report(setting: definition.Setting, detail: str) -> options.Problem:
    return options.Problem(setting.flag, setting.variable, detail)
