"""Operations of the key-value service and their answers.

Keys are text, values are bytes. A revision is the service's counter of
writes; a key's ``mod_revision`` is the revision of its last write.
"""

import enum
import typing


@enum.unique
class Target(enum.StrEnum):
    """The property of a key that is compared; 0 if the key is absent."""

    CREATE = 'CREATE'
    MOD = 'MOD'
    VERSION = 'VERSION'
    VALUE = 'VALUE'


class Compare(typing.NamedTuple):
    """Holds if the key's property equals the expected one."""

    key: str
    target: Target
    expected: int | bytes


class Get(typing.NamedTuple):
    """Reads one key, or every key with this prefix."""

    key: str
    prefix: bool = False


class Put(typing.NamedTuple):
    """Writes one key; lease 0 means no lease."""

    key: str
    value: bytes
    lease: int = 0


class Delete(typing.NamedTuple):
    """Deletes one key."""

    key: str


class Transaction(typing.NamedTuple):
    """A transaction; it can be nested in another one."""

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
        """Return the entry of this key, or None."""
        for entry in self.entries:
            if entry.key == key:
                return entry
        return None


class GetAnswer(typing.NamedTuple):
    """The entries that a ``Get`` found."""

    entries: tuple[Entry, ...]


class PutAnswer(typing.NamedTuple):
    """A ``Put`` took effect."""


class DeleteAnswer(typing.NamedTuple):
    """The number of keys that a ``Delete`` removed."""

    deleted: int


class TransactAnswer(typing.NamedTuple):
    """Whether the comparisons held, and an answer for each operation.

    ``revision`` is the service's revision after the transaction; 0 for a
    nested one.
    """

    revision: int
    succeeded: bool
    answers: tuple['Answer', ...]


Answer: typing.TypeAlias = GetAnswer | PutAnswer | DeleteAnswer | TransactAnswer


class CreateResult(typing.NamedTuple):
    """Whether a key was created; ``stored`` is its value now."""

    key: str
    created: bool
    stored: bytes


class Lease(typing.NamedTuple):
    """A lease and its time to live in seconds; 0 if it has expired."""

    lease: int
    ttl_s: int


class Unavailable(typing.NamedTuple):
    """No answer and no effect: a read, or a connection that failed to open."""

    detail: str


class OutcomeUnknown(typing.NamedTuple):
    """A write was sent and not answered; it may or may not take effect."""

    detail: str


class Rejected(typing.NamedTuple):
    """The service refused the call with an error; nothing took effect."""

    status: int
    detail: str


class Malformed(typing.NamedTuple):
    """The answer of the service could not be decoded."""

    detail: str


Failure: typing.TypeAlias = Unavailable | OutcomeUnknown | Rejected | Malformed
