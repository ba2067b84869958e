"""The load tool's options, declared as data."""

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
    """One setting; ``default`` is text that is parsed like a given one."""

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
    """Parse a part of the capacity, above zero; raises ``ValueError``."""
    return formats.parse_positive_duration(text).total_seconds()


def parse_user(text: str) -> workloads.User:
    """Parse a user's name; raises ``ValueError`` for others."""
    name = formats.make_parse_choice(tuple(workloads.USERS))(text)
    return workloads.USERS[name]


def parse_policies(text: str) -> tuple[str, ...]:
    """Parse policies with commas between; raises ``ValueError``."""
    parse = formats.make_parse_choice(daemon.POLICIES)
    return tuple(parse(part.strip()) for part in text.split(','))


def parse_seed(text: str) -> int:
    """Parse a whole number; raises ``ValueError`` for others."""
    if text.isdecimal():
        return int(text)
    raise ValueError('expected a whole number')


def parse_path(text: str) -> str | None:
    """Parse a file's path; none where the text is empty."""
    return text or None


OPTIONS: typing.Final = (
    Option(
        '--scenario',
        '|'.join(SCENARIOS),
        formats.make_parse_choice(SCENARIOS),
        'crest',
        'bursts, straggler episodes, both at once (storm), bursts of our '
        'policy and of tier 1 alone, weights in one tier, or own cost',
    ),
    Option(
        '--user',
        '|'.join(workloads.USERS),
        parse_user,
        'abyssinia',
        'whose fleet and requests',
    ),
    Option(
        '--policies',
        'NAME[,NAME]',
        parse_policies,
        ','.join(daemon.POLICIES),
        'policies to compare, each on a fleet started anew',
    ),
    Option('--seed', 'NUMBER', parse_seed, '1', 'seed of the trace'),
    Option(
        '--duration',
        'SECONDS',
        formats.parse_positive_duration,
        '60',
        'length of the trace, with its warm-up',
    ),
    Option(
        '--warmup',
        'SECONDS',
        formats.parse_duration,
        '10',
        'first part of the trace, which is not counted',
    ),
    Option(
        '--base',
        'PART',
        parse_load,
        '0.6',
        'load between bursts as a part of the capacity',
    ),
    Option(
        '--crest',
        'PART',
        parse_load,
        '2',
        'load in bursts as a part of the capacity',
    ),
    Option(
        '--json', 'FILE', parse_path, '', 'where to write the measures as JSON'
    ),
    Option('--plot', 'FILE', parse_path, '', 'where to write a plot as SVG'),
    Option(
        '--requests',
        'FILE',
        parse_path,
        '',
        'where to append a line of JSON for each request of each run',
    ),
    Option(
        '--log', 'FILE', parse_path, '', "where to append all programs' logs"
    ),
)
