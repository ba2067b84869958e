"""The daemon's options, declared as data."""

import typing
from collections import abc

from lavenderledge.daemon import formats

Parse: typing.TypeAlias = abc.Callable[[str], typing.Any]

POLICIES = ('lavenderledge', 'round-robin', 'least-loaded')


class Option(typing.NamedTuple):
    """One setting: a flag, and the environment variable used without it.

    ``default`` is parsed like a given text; None means that the setting is
    required. Errors never show the text of a secret.
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
    """Return an option whose environment variable is named after its flag."""
    name = flag.removeprefix('--').replace('-', '_').upper()
    return Option(flag, f'LAVENDERLEDGE_{name}', metavar, parse, default, text)


OPTIONS: typing.Final = (
    declare(
        '--instance',
        'NAME',
        formats.parse_name,
        None,
        'name of this instance in the instance list',
    ),
    declare(
        '--availability-zone',
        'NAME',
        formats.parse_name,
        None,
        'availability zone of this instance',
    ),
    declare(
        '--listen',
        'HOST:PORT',
        formats.parse_address,
        '127.0.0.1:8080',
        'address for callers; port 0 picks a free port',
    ),
    declare(
        '--admin-listen',
        'HOST:PORT',
        formats.parse_address,
        '127.0.0.1:8081',
        'address for /live, /ready, /status and /metrics',
    ),
    declare(
        '--peer-listen',
        'HOST:PORT',
        formats.parse_address,
        '127.0.0.1:8082',
        'address for other instances',
    ),
    declare(
        '--peer-address',
        'HOST:PORT',
        formats.parse_optional_address,
        '',
        'address that other instances connect to, if not --peer-listen',
    ),
    declare(
        '--keyvalue',
        'URL[,URL]',
        formats.parse_urls,
        None,
        'base URLs of the key-value service',
    ),
    declare(
        '--instance-list',
        'URL',
        formats.parse_url,
        None,
        'base URL of the instance list',
    ),
    declare(
        '--peer-secret-key',
        'KEY',
        formats.parse_secret_key,
        None,
        'CURVE secret key of all instances, 40 characters',
    )._replace(secret=True),
    declare(
        '--peer-accepted-keys',
        'KEY[,KEY]',
        formats.parse_public_keys,
        '',
        'additional public keys to accept during a key rotation',
    ),
    declare(
        '--policy',
        '|'.join(POLICIES),
        formats.make_parse_choice(POLICIES),
        POLICIES[0],
        'how replicas are chosen; the last two are baselines',
    ),
    declare(
        '--notice-period',
        'SECONDS',
        formats.parse_duration,
        '5',
        'how long a stopping instance accepts requests, while not ready',
    ),
    declare(
        '--silence-timeout',
        'SECONDS',
        formats.parse_positive_duration,
        '5',
        'how long a stream may send nothing before it is resumed',
    ),
    declare(
        '--lost-timeout',
        'SECONDS',
        formats.parse_positive_duration,
        '20',
        'how long resuming a broken stream is retried',
    ),
    declare(
        '--connect-timeout',
        'SECONDS',
        formats.parse_positive_duration,
        '1',
        'time limit for connecting to an upstream',
    ),
    declare(
        '--claim-timeout',
        'SECONDS',
        formats.parse_positive_duration,
        '5',
        'time limit for a claim, after which the request is refused',
    ),
    declare(
        '--max-requests',
        'COUNT',
        formats.parse_count,
        '2000',
        'maximum number of requests held at a time',
    ),
    declare(
        '--max-customer-requests',
        'COUNT',
        formats.parse_count,
        '1000',
        'maximum number of requests held at a time per customer',
    ),
    declare(
        '--max-body-bytes',
        'BYTES',
        formats.parse_count,
        '1048576',
        'maximum size of a request body',
    ),
    declare(
        '--max-held-bytes',
        'BYTES',
        formats.parse_count,
        '67108864',
        'maximum total size of the request bodies held at a time',
    ),
    declare(
        '--max-answer-bytes',
        'BYTES',
        formats.parse_count,
        '16777216',
        'maximum size of the answer of a plain service',
    ),
    declare(
        '--log-level',
        'LEVEL',
        formats.make_parse_choice(('debug', 'info', 'warning', 'error')),
        'info',
        'minimum severity of logged events',
    ),
)
