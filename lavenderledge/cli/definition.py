"""The command line's options and commands, declared as data."""

import typing
from collections import abc

from lavenderledge.daemon import formats

# Default number of edits in a history; they fit on one screen.
_DEFAULT_HISTORY_LIMIT = 20

PROGRAM = 'lavenderledge'
DESCRIPTION = 'Shows and edits the table, and shows the instances.'
EPILOG = """\
Each setting can also be given by the environment variable named with it; the
flag takes precedence.

Exit statuses: 0 success; 1 refused; 2 wrong usage or settings; 3 another edit
changed the same cells; 4 a service is unavailable, nothing was changed;
5 the edit's outcome is unknown; 6 the edit is accepted but not yet in force
on every instance.
"""
LOG_LEVELS = ('debug', 'info', 'warning', 'error')


class Setting(typing.NamedTuple):
    """A setting of every command: a flag and an environment variable.

    ``default`` is text, and is parsed like a value that a user gives.
    """

    flag: str
    variable: str
    metavar: str
    parse: abc.Callable[[str], typing.Any]
    help_text: str
    default: str | None = None

    @property
    def name(self) -> str:
        """Return the name of the setting's field in ``Settings``."""
        return self.flag.removeprefix('--').replace('-', '_')


class Argument(typing.NamedTuple):
    """A positional argument or flag of one command.

    ``action`` and ``nargs`` have the meaning that argparse gives them.
    """

    name: str
    help_text: str
    metavar: str | None = None
    nargs: str | None = None
    action: str | None = None
    default: str | int | None = None
    parse: abc.Callable[[str], typing.Any] | None = None


class Command(typing.NamedTuple):
    """A command: its words, its arguments and the settings it requires."""

    words: tuple[str, ...]
    help_text: str
    arguments: tuple[Argument, ...] = ()
    required_settings: tuple[str, ...] = ('keyvalue',)
    examples: tuple[str, ...] = ()


SETTINGS: typing.Final = (
    Setting(
        '--keyvalue',
        'LAVENDERLEDGE_KEYVALUE',
        'URL[,URL]',
        formats.parse_urls,
        'the key-value service',
    ),
    Setting(
        '--instance-list',
        'LAVENDERLEDGE_INSTANCE_LIST',
        'URL',
        formats.parse_url,
        'the instance list',
    ),
    Setting(
        '--timeout',
        'LAVENDERLEDGE_TIMEOUT',
        'SECONDS',
        formats.parse_positive_duration,
        'time limit for an edit to be accepted, and again for it to come '
        'into force',
        default='16',
    ),
    Setting(
        '--log-level',
        'LAVENDERLEDGE_LOG_LEVEL',
        'LEVEL',
        formats.make_parse_choice(LOG_LEVELS),
        'minimum level of the events logged on standard error',
        default='error',
    ),
)

JSON = Argument('--json', 'write JSON', action='store_true')

_EDIT_ARGUMENTS = (
    Argument(
        '--author',
        'author of the edit; the default is the variable USER',
        metavar='NAME',
    ),
    Argument(
        '--edit-id',
        'the id of an edit whose outcome was unknown; the edit is applied '
        'at most once',
        metavar='ID',
        parse=formats.parse_name,
    ),
    Argument(
        '--no-wait',
        'do not wait until the edit is in force on every instance',
        action='store_true',
    ),
)

TABLE_SHOW = Command(
    ('table', 'show'),
    'show the stored table',
    (Argument('rows', 'show only these rows', metavar='ROW', nargs='*'),),
    examples=('table show', 'table show plans --json'),
)
TABLE_SET = Command(
    ('table', 'set'),
    'change cells of a row, or create the row',
    (
        Argument('row', 'the row', metavar='ROW'),
        Argument(
            'cells',
            'a cell; a new row needs pool and tier, and an empty VALUE '
            'restores the default',
            metavar='COLUMN=VALUE',
            nargs='+',
        ),
        *_EDIT_ARGUMENTS,
    ),
    required_settings=('keyvalue', 'instance_list'),
    examples=(
        'table set plans pool=calculator tier=1 repeatable=yes',
        'table set notes rate=5 burst=10',
        'table set notes rate= burst=',
    ),
)
TABLE_REMOVE = Command(
    ('table', 'remove'),
    'remove a row',
    (Argument('row', 'the row', metavar='ROW'), *_EDIT_ARGUMENTS),
    required_settings=('keyvalue', 'instance_list'),
    examples=('table remove notes',),
)
TABLE_IMPORT = Command(
    ('table', 'import'),
    'replace the whole table with a spreadsheet in CSV',
    (
        Argument('file', 'the spreadsheet; - is standard input', 'FILE'),
        Argument(
            '--base-revision',
            'the revision that the spreadsheet was exported at; later changes '
            'by others are kept',
            metavar='REVISION',
            parse=formats.parse_count,
        ),
        *_EDIT_ARGUMENTS,
    ),
    required_settings=('keyvalue', 'instance_list'),
    examples=(
        'table import table.csv',
        'table import table.csv --base-revision 17',
    ),
)
TABLE_EXPORT = Command(
    ('table', 'export'),
    'write the stored table as a spreadsheet in CSV',
    (
        Argument(
            'file',
            'the file to write; the default is standard output',
            metavar='FILE',
            nargs='?',
            default='-',
        ),
    ),
    examples=('table export table.csv',),
)
TABLE_HISTORY = Command(
    ('table', 'history'),
    'list the accepted edits, newest first',
    (
        Argument(
            '--limit',
            'maximum number of edits to list; the default is 20',
            metavar='COUNT',
            parse=formats.parse_count,
            default=_DEFAULT_HISTORY_LIMIT,
        ),
    ),
    examples=('table history --limit 5',),
)
TABLE_STATUS = Command(
    ('table', 'status'),
    'show which instances have which revision of the table in force',
    (
        Argument(
            '--edit',
            'show whether this edit is accepted and where it is in force',
            metavar='ID',
            parse=formats.parse_name,
        ),
    ),
    required_settings=('keyvalue', 'instance_list'),
    examples=('table status', 'table status --edit ID'),
)
STATUS = Command(
    ('status',),
    'show the instances',
    required_settings=('instance_list',),
    examples=('status', 'status --json'),
)
TRACE = Command(
    ('trace',),
    'show the log lines of instances that concern one request',
    (
        Argument('id', 'the request id', metavar='ID'),
        Argument('logs', 'log files', metavar='FILE', nargs='+'),
    ),
    required_settings=(),
    examples=('trace 9c41d07be2a35f68 entry-a.log entry-b.log',),
)
EXPLAIN = Command(
    ('explain',),
    'show where a request would be sent now, and why, without sending it',
    (
        Argument(
            'address',
            'the metrics address of a routed instance',
            metavar='HOST:PORT',
            parse=formats.parse_address,
        ),
        Argument('host', 'the host name of the request', metavar='NAME'),
        Argument('path', 'the path of the request', metavar='PATH'),
        Argument(
            '--customer',
            'the name of the customer; the default is a request without a key',
            metavar='NAME',
        ),
        Argument(
            '--prompt-tokens',
            'tokens of the prompt, if the request declares them',
            metavar='COUNT',
            parse=formats.parse_count,
        ),
        Argument(
            '--output-tokens',
            'maximum tokens of the output, if the request declares them',
            metavar='COUNT',
            parse=formats.parse_count,
        ),
    ),
    required_settings=(),
    examples=(
        'explain 127.0.0.1:9102 shop.example /chat/x --customer dealer '
        '--prompt-tokens 3720 --output-tokens 200',
    ),
)

COMMANDS: typing.Final = (
    TABLE_SHOW,
    TABLE_SET,
    TABLE_REMOVE,
    TABLE_IMPORT,
    TABLE_EXPORT,
    TABLE_HISTORY,
    TABLE_STATUS,
    STATUS,
    TRACE,
    EXPLAIN,
)
