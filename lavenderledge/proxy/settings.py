"""The settings of a routed instance: flags, variables, a file of variables."""

import argparse
import pathlib
import typing
from collections import abc

import expression

from lavenderledge import options
from lavenderledge.daemon import definition, formats
from lavenderledge.daemon import settings as daemonsettings

PROGRAM: typing.Final = 'lavenderledge-proxy'
FILE_VARIABLE: typing.Final = 'LAVENDERLEDGE_NODE_FILE'

_MILLISECONDS: typing.Final = 1000


class Settings(typing.NamedTuple):
    """Every setting, checked; see ``OPTIONS`` for each."""

    instance: str
    availability_zone: str
    listen: formats.Address
    ready_listen: formats.Address
    metrics_listen: formats.Address
    peer_listen: formats.Address
    store: formats.Address
    processor_share: float
    processor_speed: float
    stop_grace_s: float
    revocation_ms: float
    apply_ms: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    quota_window_s: float
    quota_overrun: float
    quota_slack: float
    log_level: str

    @property
    def revocation_s(self) -> float:
        """Return the bound on the use of a revoked key, in seconds."""
        return self.revocation_ms / _MILLISECONDS

    @property
    def apply_s(self) -> float:
        """Return the bound on applying a configuration, in seconds."""
        return self.apply_ms / _MILLISECONDS


def _parse_number(text: str) -> float:
    number = float(text)
    if not 0 <= number < float('inf'):
        raise ValueError('it is not a finite number of at least 0')
    return number


OPTIONS: typing.Final = (
    definition.declare(
        '--instance', 'NAME', formats.parse_name, None, 'this instance'
    ),
    definition.declare(
        '--availability-zone',
        'NAME',
        formats.parse_name,
        None,
        'the availability zone that this instance runs in',
    ),
    definition.declare(
        '--listen',
        'HOST:PORT',
        formats.parse_address,
        None,
        'where callers connect',
    ),
    definition.declare(
        '--ready-listen',
        'HOST:PORT',
        formats.parse_address,
        None,
        'where the balancer asks whether this instance is ready',
    ),
    definition.declare(
        '--metrics-listen',
        'HOST:PORT',
        formats.parse_address,
        None,
        'where /metrics answers',
    ),
    definition.declare(
        '--peer-listen',
        'HOST:PORT',
        formats.parse_address,
        None,
        'where this instance listens for other instances',
    ),
    definition.declare(
        '--store',
        'HOST:PORT',
        formats.parse_address,
        None,
        'the key-value service',
    ),
    definition.declare(
        '--processor-share',
        'RATIO',
        _parse_number,
        '1',
        'the part of a core that this instance may use',
    ),
    definition.declare(
        '--processor-speed',
        'RATIO',
        _parse_number,
        '1',
        'how fast that core is; the strongest instances allocate',
    ),
    definition.declare(
        '--stop-grace-s',
        'SECONDS',
        _parse_number,
        '8',
        'time from a request to stop until the process is killed',
    ),
    definition.declare(
        '--revocation-ms',
        'MILLISECONDS',
        _parse_number,
        '5000',
        'time after which a revoked key may no longer be used',
    ),
    definition.declare(
        '--apply-ms',
        'MILLISECONDS',
        _parse_number,
        '2000',
        'time within which a configuration is in force',
    ),
    definition.declare(
        '--retry-ratio',
        'RATIO',
        _parse_number,
        '0.2',
        'repeats that are allowed for each request of a service',
    ),
    definition.declare(
        '--retry-window-s',
        'SECONDS',
        _parse_number,
        '10',
        'the window in which repeats are counted',
    ),
    definition.declare(
        '--retry-slack',
        'COUNT',
        _parse_number,
        '50',
        'repeats of a service that the fleet is allowed beyond the ratio',
    ),
    definition.declare(
        '--quota-window-s',
        'SECONDS',
        _parse_number,
        '8',
        'the window in which what customers spend is counted',
    ),
    definition.declare(
        '--quota-overrun',
        'RATIO',
        _parse_number,
        '0',
        'the part by which a quota may be passed in a window',
    ),
    definition.declare(
        '--quota-slack',
        'COUNT',
        _parse_number,
        '0',
        'what may be spent in a window beyond that',
    ),
    definition.declare(
        '--log-level',
        'LEVEL',
        formats.make_parse_choice(('debug', 'info', 'warning', 'error')),
        'info',
        'least severe events that are logged',
    ),
)

ReadResult: typing.TypeAlias = (
    'expression.Result[Settings, tuple[options.Problem, ...]]'
)


def read_settings(
    given: argparse.Namespace, variables: abc.Mapping[str, str]
) -> ReadResult:
    """Return all settings, or every problem with them at once.

    Flags go before variables, and these before the file of variables.
    """
    path = variables.get(FILE_VARIABLE)
    named = dict(variables)
    if path:
        try:
            text = pathlib.Path(path).read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as error:
            problem = options.Problem('(file)', FILE_VARIABLE, str(error))
            return expression.Error((problem,))
        named = {**parse_variables(text), **named}
    found = daemonsettings.read_options(OPTIONS, given, named)
    return found.map(lambda each: Settings(**each))


def parse_variables(text: str) -> dict[str, str]:
    """Return the variables of lines ``NAME=value``; # begins a comment."""
    found: dict[str, str] = {}
    for line in text.splitlines():
        name, separator, content = line.partition('=')
        if separator and not line.startswith('#'):
            found[name.strip()] = content.strip()
    return found
