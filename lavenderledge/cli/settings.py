"""The command line's settings, from flags and environment variables."""

import argparse
import datetime
import typing
from collections import abc

import expression

from lavenderledge import options
from lavenderledge.cli import definition


class Settings(typing.NamedTuple):
    """Checked settings; empty where absent and not required."""

    keyvalue: tuple[str, ...]
    instance_list: str
    timeout: datetime.timedelta
    log_level: str


_ABSENT: typing.Final[abc.Mapping[str, typing.Any]] = {
    'keyvalue': (),
    'instance_list': '',
}


def read_settings(
    args: argparse.Namespace,
    variables: abc.Mapping[str, str],
    required: abc.Container[str],
) -> 'expression.Result[Settings, tuple[options.Problem, ...]]':
    """Return all settings, or all problems with them."""
    checked: dict[str, typing.Any] = dict(_ABSENT)
    problems: list[options.Problem] = []
    for setting in definition.SETTINGS:
        text = getattr(args, setting.name, None)
        if text is None:
            text = variables.get(setting.variable) or setting.default
        if text is None:
            if setting.name in required:
                problems.append(_report(setting, 'is required'))
            continue
        try:
            checked[setting.name] = setting.parse(text)
        except ValueError as error:
            problems.append(_report(setting, f'{text!r}: {error}'))
    if problems:
        return expression.Error(tuple(problems))
    return expression.Ok(Settings(**checked))


def _report(setting: definition.Setting, detail: str) -> options.Problem:
    return options.Problem(setting.flag, setting.variable, detail)
