"""An instance's settings: flags, environment variables, a variables file."""

import argparse
import pathlib
import typing
from collections import abc

import expression

from lavenderledge import options
from lavenderledge.daemon import definition, formats
from lavenderledge.daemon import settings as daemonsettings
from lavenderledge.policy import rollouts

PROGRAM: typing.Final = 'lavenderledge-proxy'
FILE_VARIABLE: typing.Final = 'LAVENDERLEDGE_NODE_FILE'

_MILLISECONDS: typing.Final = 1000
_DEFAULT_ROLLBACK_MS: typing.Final = 5000.0


class Settings(typing.NamedTuple):
    """All settings, validated; see ``OPTIONS`` for their meaning."""

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
    drain_ms: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    quota_window_s: float
    quota_overrun: float
    quota_slack: float
    memory_mb: float
    log_level: str
    exposure_share: float | None = None
    exposure_slack: float | None = None
    rollback_ms: float | None = None
    features: frozenset[str] = frozenset()

    @property
    def revocation_s(self) -> float:
        """Return how long a revoked key may still be used, in seconds."""
        return self.revocation_ms / _MILLISECONDS

    @property
    def apply_s(self) -> float:
        """Return the time limit for applying a configuration, in seconds."""
        return self.apply_ms / _MILLISECONDS

    @property
    def rollout_limits(self) -> rollouts.Limits | None:
        """Return the bounds of roll-outs, None if versions do not matter."""
        if self.exposure_share is None:
            return None
        rollback_ms = self.rollback_ms
        if rollback_ms is None:
            rollback_ms = _DEFAULT_ROLLBACK_MS
        return rollouts.Limits(
            self.exposure_share,
            self.exposure_slack or 0,
            rollback_ms / _MILLISECONDS,
        )

    @property
    def drain_s(self) -> float:
        """Return how long a leaving replica takes requests, in seconds."""
        return self.drain_ms / _MILLISECONDS


def _parse_optional_number(text: str) -> float:
    """Return 0 for a variable that the platform's template left empty."""
    return _parse_number(text) if text else float(0)


def _parse_number(text: str) -> float:
    number = float(text)
    if not 0 <= number < float('inf'):
        raise ValueError('expected a finite number of at least 0')
    return number


def _parse_optional(text: str) -> float | None:
    """Return a number, None for an empty text: the setting is not given."""
    return _parse_number(text) if text.strip() else None


def _parse_names(text: str) -> frozenset[str]:
    """Return the names in a list that is separated by commas."""
    return frozenset(name.strip() for name in text.split(',') if name.strip())


OPTIONS: typing.Final = (
    definition.declare(
        '--instance', 'NAME', formats.parse_name, None, 'name of this instance'
    ),
    definition.declare(
        '--availability-zone',
        'NAME',
        formats.parse_name,
        None,
        'availability zone of this instance',
    ),
    definition.declare(
        '--listen',
        'HOST:PORT',
        formats.parse_address,
        None,
        'address for callers',
    ),
    definition.declare(
        '--ready-listen',
        'HOST:PORT',
        formats.parse_address,
        None,
        "address for the load balancer's readiness checks",
    ),
    definition.declare(
        '--metrics-listen',
        'HOST:PORT',
        formats.parse_address,
        None,
        'address that serves /metrics',
    ),
    definition.declare(
        '--peer-listen',
        'HOST:PORT',
        formats.parse_address,
        None,
        'address for connections of other instances',
    ),
    definition.declare(
        '--store',
        'HOST:PORT',
        formats.parse_address,
        None,
        'address of the key-value service',
    ),
    definition.declare(
        '--processor-share',
        'RATIO',
        _parse_number,
        '1',
        'fraction of a core that this instance may use',
    ),
    definition.declare(
        '--processor-speed',
        'RATIO',
        _parse_number,
        '1',
        'relative speed of that core; the instances with the most processing '
        'power allocate',
    ),
    definition.declare(
        '--stop-grace-s',
        'SECONDS',
        _parse_number,
        '8',
        'time from the stop signal until the process is killed',
    ),
    definition.declare(
        '--revocation-ms',
        'MILLISECONDS',
        _parse_number,
        '5000',
        'maximum time that a revoked key is still accepted',
    ),
    definition.declare(
        '--apply-ms',
        'MILLISECONDS',
        _parse_number,
        '2000',
        'maximum time until a new configuration is applied',
    ),
    definition.declare(
        '--drain-ms',
        'MILLISECONDS',
        _parse_number,
        '2000',
        'time for which a replica still takes requests after it says that it '
        'leaves',
    ),
    definition.declare(
        '--retry-ratio',
        'RATIO',
        _parse_number,
        '0.2',
        'retries allowed per request of a service',
    ),
    definition.declare(
        '--retry-window-s',
        'SECONDS',
        _parse_number,
        '10',
        'time window in which retries are counted',
    ),
    definition.declare(
        '--retry-slack',
        'COUNT',
        _parse_number,
        '50',
        'retries of a service that the fleet may make beyond the ratio',
    ),
    definition.declare(
        '--quota-window-s',
        'SECONDS',
        _parse_number,
        '8',
        'time window in which quota use is counted',
    ),
    definition.declare(
        '--quota-overrun',
        'RATIO',
        _parse_number,
        '0',
        'fraction by which a quota may be exceeded in a window',
    ),
    definition.declare(
        '--quota-slack',
        'COUNT',
        _parse_number,
        '0',
        'quota units that may be used in a window beyond that',
    ),
    definition.declare(
        '--exposure-share',
        'RATIO',
        _parse_optional,
        '',
        'fraction of the requests that a bad version may get in its roll-out; '
        'empty: replicas of all versions are used',
    ),
    definition.declare(
        '--exposure-slack',
        'COUNT',
        _parse_optional,
        '',
        'requests that a bad version may get beyond that',
    ),
    definition.declare(
        '--rollback-ms',
        'MILLISECONDS',
        _parse_optional,
        '',
        'time after the 50th bad answer of a version until it gets no more '
        'requests',
    ),
    definition.declare(
        '--memory-mb',
        'MEGABYTES',
        _parse_optional_number,
        '0',
        'memory that the process may use; 0 means no limit',
    ),
    definition.declare(
        '--features',
        'NAMES',
        _parse_names,
        '',
        'features that the deployment has, by the platform, separated by '
        'commas',
    ),
    definition.declare(
        '--log-level',
        'LEVEL',
        formats.make_parse_choice(('debug', 'info', 'warning', 'error')),
        'info',
        'minimum level of logged events',
    ),
)

ReadResult: typing.TypeAlias = (
    'expression.Result[Settings, tuple[options.Problem, ...]]'
)


def read_settings(
    args: argparse.Namespace, variables: abc.Mapping[str, str]
) -> ReadResult:
    """Return all settings, or all problems with them.

    Flags override environment variables, which override the variables file.
    """
    path = variables.get(FILE_VARIABLE)
    merged = dict(variables)
    if path:
        try:
            text = pathlib.Path(path).read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as error:
            problem = options.Problem('(file)', FILE_VARIABLE, str(error))
            return expression.Error((problem,))
        merged = {**parse_variables(text), **merged}
    found = daemonsettings.read_options(OPTIONS, args, merged)
    return found.map(lambda fields: Settings(**fields))


def parse_variables(text: str) -> dict[str, str]:
    """Return the variables in lines ``NAME=value``; # starts a comment."""
    found: dict[str, str] = {}
    for line in text.splitlines():
        name, separator, content = line.partition('=')
        if separator and not line.startswith('#'):
            found[name.strip()] = content.strip()
    return found
