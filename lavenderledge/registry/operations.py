"""What is asked of the key-value service, and what it answers.

Keys are text, values are bytes. A revision is the service's counter of
writes; a key's ``mod_revision`` is the revision of its last write.
"""

import enum
import typing


@enum.unique
class Target(enum.StrEnum):
    """The property of a key that a comparison looks at; 0 when absent."""

    CREATE = 'CREATE'
    MOD = 'MOD'
    VERSION = 'VERSION'
    VALUE = 'VALUE'


class Compare(typing.NamedTuple):
    """Holds when the key's property equals what is wanted."""

    key: str
    target: Target
    expected: int | bytes


class Get(typing.NamedTuple):
    """Reads one key, or every key that starts with it."""

    key: str
    prefix: bool = False


class Put(typing.NamedTuple):
    """Writes one key; lease 0 is none."""

    key: str
    value: bytes
    lease: int = 0


class Delete(typing.NamedTuple):
    """Deletes one key."""

    key: str


class Transaction(typing.NamedTuple):
    """A transaction within a transaction."""

    compares: tuple[Compare, ...]
    then: tuple['Operation', ...]
    otherwise: tuple['Operation', ...] = ()


Operation: typing.TypeAlias = Get | Put | Delete | Transaction


class Entry(typing.NamedTuple):
    """One key as stored."""

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease: int = 0


class Snapshot(typing.NamedTuple):
    """Entries read together, at the service's revision."""

    revision: int
    entries: tuple[Entry, ...]

    def find(self, key: str) -> Entry | None:
        """Return the entry of this key, if there was one."""
        for entry in self.entries:
            if entry.key == key:
                return entry
        return None


class GetAnswer(typing.NamedTuple):
    """The entries that a ``Get`` found."""

    entries: tuple[Entry, ...]


class PutAnswer(typing.NamedTuple):
    """A ``Put`` was done."""


class DeleteAnswer(typing.NamedTuple):
    """How many keys a ``Delete`` removed."""

    deleted: int


class TransactAnswer(typing.NamedTuple):
    """Whether the comparisons held, and an answer for each operation.

    ``revision`` is the service's revision after the transaction; it is 0
    for a nested one.
    """

    revision: int
    succeeded: bool
    answers: tuple['Answer', ...]


Answer: typing.TypeAlias = GetAnswer | PutAnswer | DeleteAnswer | TransactAnswer


class CreateResult(typing.NamedTuple):
    """Whether a key was created; ``stored`` is what it holds now."""

    key: str
    created: bool
    stored: bytes


class Lease(typing.NamedTuple):
    """A lease and its time to live in seconds; 0 when it has lapsed."""

    lease: int
    ttl_s: int


class Unavailable(typing.NamedTuple):
    """No answer, and nothing took effect: a read, or a failed connect."""

    detail: str


class OutcomeUnknown(typing.NamedTuple):
    """A write was sent and not answered: it may take effect, or not."""

    detail: str


class Rejected(typing.NamedTuple):
    """The service refused the call with an error; nothing took effect."""

    status: int
    detail: str


class Malformed(typing.NamedTuple):
    """The service answered something that is no answer."""

    detail: str


Failure: typing.TypeAlias = Unavailable | OutcomeUnknown | Rejected | Malformed
