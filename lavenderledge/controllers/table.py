"""The table in force on this instance, and its updates."""

import datetime
import enum
import logging
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge import logs
from lavenderledge.controllers import tablecopy
from lavenderledge.peers import messages
from lavenderledge.policy import problems, table, tablecheck
from lavenderledge.registry import operations, watchevents

TABLE_KEY = 'lavenderledge/table'
PEER_REQUEST_PERIOD = datetime.timedelta(seconds=1)
MAX_LISTED_PROBLEMS = 5

_LOGGER = logging.getLogger(__name__)


@enum.unique
class Event(enum.StrEnum):
    """The events that the controller counts."""

    IN_FORCE = 'table_in_force'
    INVALID = 'table_invalid'
    LOWER = 'table_lower_revision'
    ABSENT = 'table_absent'
    POLL_FAILED = 'table_poll_failed'
    WATCH_FAILED = 'table_watch_failed'
    COPY_REQUESTED = 'table_copy_requested'
    COPY_SENT = 'table_copy_sent'
    COPY_MALFORMED = 'table_copy_malformed'


class TableInForce(typing.NamedTuple):
    """A valid table and its revision."""

    revision: int
    table: table.Table
    rows: table.RowIndex


class TableStatus(typing.NamedTuple):
    """The state of the table on this instance.

    ``refused_revision`` is the highest invalid revision, or 0; ``problems``
    lists the reasons, one line each.
    """

    revision: int
    edit_id: str
    refused_revision: int
    problems: tuple[str, ...]


class TableController:
    """Moves this instance's table to higher revisions, never to lower ones.

    ``send_to`` sends a message to an instance. ``on_change`` is called with
    each table that comes into force, and ``count`` with each event.
    """

    def __init__(
        self,
        *,
        instance: str,
        clock: clocks.Clock,
        on_change: abc.Callable[[TableInForce], object],
        send_to: abc.Callable[[str, messages.Message], object],
        count: abc.Callable[[Event], object],
    ) -> None:
        """Start without a table."""
        self._instance = instance
        self._clock = clock
        self._on_change = on_change
        self._send_to = send_to
        self._count = count
        self._in_force: TableInForce | None = None
        self._stored = b''
        self._cached_copy: messages.TableCopy | None = None
        self._refused_revision = 0
        self._problems: tuple[str, ...] = ()
        self._requested_s: float | None = None

    @property
    def in_force(self) -> TableInForce | None:
        """Return the table in force, or None before the first one."""
        return self._in_force

    @property
    def revision(self) -> int:
        """Return the revision in force, or 0 before the first table."""
        return self._in_force.revision if self._in_force else 0

    def read_status(self) -> TableStatus:
        """Return the state of the table on this instance."""
        edit_id = self._in_force.table.edit_id if self._in_force else ''
        return TableStatus(
            revision=self.revision,
            edit_id=edit_id,
            refused_revision=self._refused_revision,
            problems=self._problems,
        )

    def apply_snapshot(self, snapshot: operations.Snapshot) -> None:
        """Apply the key-value service's table unless its revision is lower."""
        entry = snapshot.find(TABLE_KEY)
        if entry is None:
            self._count(Event.ABSENT)
            return
        if entry.mod_revision < self.revision:
            self._note_lower_revision(entry.mod_revision)
        self._apply_if_newer(entry.mod_revision, entry.value, 'poll')

    def apply_event(self, event: watchevents.WatchEvent) -> None:
        """Apply a watch event."""
        if isinstance(event, watchevents.Changed):
            entry = event.entry
            self._apply_if_newer(entry.mod_revision, entry.value, 'watch')

    def note_peer_revision(self, instance: str, revision: int) -> None:
        """Request a peer's table if it has a higher revision in force."""
        if revision <= max(self.revision, self._refused_revision):
            return
        now_s = self._clock.read_monotonic()
        if self._requested_s is not None:
            if now_s - self._requested_s < PEER_REQUEST_PERIOD.total_seconds():
                return
        self._requested_s = now_s
        self._count(Event.COPY_REQUESTED)
        self._send_to(
            instance, messages.TableRequest(self._instance, self.revision)
        )

    def answer_request(self, request: messages.TableRequest) -> None:
        """Send the table in force to a peer with a lower revision."""
        if self.revision <= request.revision:
            return
        if (
            self._cached_copy is None
            or self._cached_copy.revision != self.revision
        ):
            self._cached_copy = messages.TableCopy(
                sender=self._instance,
                revision=self.revision,
                body=tablecopy.compress(self._stored),
            )
        self._count(Event.COPY_SENT)
        self._send_to(request.sender, self._cached_copy)

    def accept_copy(self, copied: messages.TableCopy) -> None:
        """Put a peer's table into force if its revision is higher."""
        if copied.revision <= self.revision:
            return
        stored = tablecopy.decompress(copied.body)
        if stored.is_error():
            self._count(Event.COPY_MALFORMED)
            self._warn(
                'table_copy_malformed',
                sender=copied.sender,
                failure=stored.error,
            )
            return
        self._apply_if_newer(copied.revision, stored.ok, copied.sender)

    def _note_lower_revision(self, revision: int) -> None:
        self._count(Event.LOWER)
        self._warn(
            'table_lower_revision', revision=revision, in_force=self.revision
        )

    def _apply_if_newer(
        self, revision: int, stored: bytes, source: str
    ) -> None:
        if revision <= max(self.revision, self._refused_revision):
            return
        decoded = tablecheck.decode_table(stored)
        if decoded.is_error():
            self._note_invalid(revision, source, decoded.error)
            return
        self._stored = stored
        self._in_force = TableInForce(
            revision=revision,
            table=decoded.ok,
            rows=table.RowIndex(rows=decoded.ok.rows),
        )
        self._problems = ()
        self._count(Event.IN_FORCE)
        logs.write_event(
            _LOGGER,
            'table_in_force',
            revision=revision,
            edit_id=decoded.ok.edit_id,
            rows=len(decoded.ok.rows),
            source=source,
        )
        self._on_change(self._in_force)

    def _note_invalid(
        self, revision: int, source: str, all_problems: problems.Problems
    ) -> None:
        self._refused_revision = revision
        self._problems = tuple(
            problems.describe(problem)
            for problem in all_problems[:MAX_LISTED_PROBLEMS]
        )
        self._count(Event.INVALID)
        self._warn(
            'table_invalid',
            revision=revision,
            source=source,
            found=len(all_problems),
            problems='; '.join(self._problems),
        )

    def _warn(self, event: str, **fields: object) -> None:
        logs.write_event(_LOGGER, event, level=logging.WARNING, **fields)
