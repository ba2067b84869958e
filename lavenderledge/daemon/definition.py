"""The daemon's options, declared as data."""

import typing
from collections import abc

from lavenderledge.daemon import formats

Parse: typing.TypeAlias = abc.Callable[[str], typing.Any]

POLICIES = ('lavenderledge', 'round-robin', 'least-loaded')


class Option(typing.NamedTuple):
    """One setting: a flag, and an environment variable behind it.

    ``default`` is text that is parsed like a given one; None means that the
    setting is required. The text of a secret is never shown.
    """

    flag: str
    variable: str
    metavar: str
    parse: Parse
    default: str | None
    text: str
    secret: bool = False

    @property
    def name(self) -> str:
        """Return the setting's name in ``Settings``."""
        return self.flag.removeprefix('--').replace('-', '_')


def declare(
    flag: str, metavar: str, parse: Parse, default: str | None, text: str
) -> Option:
    """Return an option whose variable has the flag's name."""
    name = flag.removeprefix('--').replace('-', '_').upper()
    return Option(flag, f'LAVENDERLEDGE_{name}', metavar, parse, default, text)


OPTIONS: typing.Final = (
    declare(
        '--instance',
        'NAME',
        formats.parse_name,
        None,
        'this instance, by the name that the instance list gives it',
    ),
    declare(
        '--availability-zone',
        'NAME',
        formats.parse_name,
        None,
        'the availability zone that this instance runs in',
    ),
    declare(
        '--listen',
        'HOST:PORT',
        formats.parse_address,
        '127.0.0.1:8080',
        'where callers connect; port 0 takes a free one',
    ),
    declare(
        '--admin-listen',
        'HOST:PORT',
        formats.parse_address,
        '127.0.0.1:8081',
        'where /live, /ready, /status and /metrics answer',
    ),
    declare(
        '--peer-listen',
        'HOST:PORT',
        formats.parse_address,
        '127.0.0.1:8082',
        'where this instance listens for other instances',
    ),
    declare(
        '--peer-address',
        'HOST:PORT',
        formats.parse_optional_address,
        '',
        'where other instances reach it, where that is not --peer-listen',
    ),
    declare(
        '--keyvalue',
        'URL[,URL]',
        formats.parse_urls,
        None,
        'the key-value service',
    ),
    declare(
        '--instance-list', 'URL', formats.parse_url, None, 'the instance list'
    ),
    declare(
        '--peer-secret-key',
        'KEY',
        formats.parse_secret_key,
        None,
        'the CURVE secret key that all instances share, 40 characters',
    )._replace(secret=True),
    declare(
        '--peer-accepted-keys',
        'KEY[,KEY]',
        formats.parse_public_keys,
        '',
        'further public keys to accept, while keys are being changed',
    ),
    declare(
        '--policy',
        '|'.join(POLICIES),
        formats.make_parse_choice(POLICIES),
        POLICIES[0],
        'how replicas are chosen; the last two are for comparison',
    ),
    declare(
        '--notice-period',
        'SECONDS',
        formats.parse_duration,
        '5',
        'how long a stopping instance still accepts, while not ready',
    ),
    declare(
        '--silence-timeout',
        'SECONDS',
        formats.parse_positive_duration,
        '5',
        'how long an open stream may be silent before it is resumed',
    ),
    declare(
        '--lost-timeout',
        'SECONDS',
        formats.parse_positive_duration,
        '20',
        'how long a broken stream is tried again',
    ),
    declare(
        '--connect-timeout',
        'SECONDS',
        formats.parse_positive_duration,
        '1',
        'how long a connection to an upstream may take',
    ),
    declare(
        '--claim-timeout',
        'SECONDS',
        formats.parse_positive_duration,
        '5',
        'how long a claim may take before its request is refused',
    ),
    declare(
        '--max-requests',
        'COUNT',
        formats.parse_count,
        '2000',
        'most requests held at a time',
    ),
    declare(
        '--max-customer-requests',
        'COUNT',
        formats.parse_count,
        '1000',
        'most requests held at a time for one customer',
    ),
    declare(
        '--max-body-bytes',
        'BYTES',
        formats.parse_count,
        '1048576',
        'largest request body',
    ),
    declare(
        '--max-held-bytes',
        'BYTES',
        formats.parse_count,
        '67108864',
        'most bytes of request bodies held at a time',
    ),
    declare(
        '--max-answer-bytes',
        'BYTES',
        formats.parse_count,
        '16777216',
        'largest answer of a plain service',
    ),
    declare(
        '--log-level',
        'LEVEL',
        formats.make_parse_choice(('debug', 'info', 'warning', 'error')),
        'info',
        'least severe events that are logged',
    ),
)
