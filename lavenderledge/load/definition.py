"""The command-line options of the load tool."""

import typing
from collections import abc

from lavenderledge.daemon import definition as daemon
from lavenderledge.daemon import formats
from lavenderledge.load import workloads

PROGRAM: typing.Final = 'lavenderledge-load'
SCENARIOS: typing.Final = (
    'crest',
    'stragglers',
    'storm',
    'alone',
    'fairness',
    'overhead',
)

Parse: typing.TypeAlias = abc.Callable[[str], typing.Any]


class Option(typing.NamedTuple):
    """One option; ``default`` is text and is parsed like a given value."""

    flag: str
    metavar: str
    parse: Parse
    default: str
    text: str

    @property
    def name(self) -> str:
        """Return the setting's name in ``Settings``."""
        return self.flag.removeprefix('--').replace('-', '_')


def parse_load(text: str) -> float:
    """Parse a fraction of the capacity above 0; raises ``ValueError``."""
    return formats.parse_positive_duration(text).total_seconds()


def parse_user(text: str) -> workloads.User:
    """Parse the name of a known user; raises ``ValueError``."""
    name = formats.make_parse_choice(tuple(workloads.USERS))(text)
    return workloads.USERS[name]


def parse_policies(text: str) -> tuple[str, ...]:
    """Parse comma-separated policies; raises ``ValueError``."""
    parse = formats.make_parse_choice(daemon.POLICIES)
    return tuple(parse(part.strip()) for part in text.split(','))


def parse_seed(text: str) -> int:
    """Parse a non-negative integer; raises ``ValueError``."""
    if text.isdecimal():
        return int(text)
    raise ValueError('expected a non-negative integer')


def parse_path(text: str) -> str | None:
    """Parse a file's path; None if the text is empty."""
    return text or None


OPTIONS: typing.Final = (
    Option(
        '--scenario',
        '|'.join(SCENARIOS),
        formats.make_parse_choice(SCENARIOS),
        'crest',
        'load to replay: bursts (crest), straggler episodes, both (storm), '
        'bursts under lavenderledge only, with and without the lower tiers '
        '(alone), weights within one tier (fairness), or the cost of the '
        'scheduler itself (overhead)',
    ),
    Option(
        '--user',
        '|'.join(workloads.USERS),
        parse_user,
        'abyssinia',
        'user whose fleet and requests are simulated',
    ),
    Option(
        '--policies',
        'NAME[,NAME]',
        parse_policies,
        ','.join(daemon.POLICIES),
        'policies to compare, each on a newly started fleet',
    ),
    Option('--seed', 'NUMBER', parse_seed, '1', 'seed of the trace'),
    Option(
        '--duration',
        'SECONDS',
        formats.parse_positive_duration,
        '60',
        'length of the trace, including the warm-up',
    ),
    Option(
        '--warmup',
        'SECONDS',
        formats.parse_duration,
        '10',
        'start of the trace, left out of the measures',
    ),
    Option(
        '--base',
        'PART',
        parse_load,
        '0.6',
        'load between bursts, as a fraction of the capacity',
    ),
    Option(
        '--crest',
        'PART',
        parse_load,
        '2',
        'load in bursts, as a fraction of the capacity',
    ),
    Option(
        '--json',
        'FILE',
        parse_path,
        '',
        'file to write the measures to, as JSON',
    ),
    Option('--plot', 'FILE', parse_path, '', 'file to write a plot to, as SVG'),
    Option(
        '--requests',
        'FILE',
        parse_path,
        '',
        'file to append a JSON line to for each request of each run',
    ),
    Option(
        '--log', 'FILE', parse_path, '', "file to append all programs' logs to"
    ),
)
