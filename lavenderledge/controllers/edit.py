"""Edits of the table: accepted at most once, or reported as unknown.

An edit is one transaction: it succeeds only if the table is still at the
revision that was read and the edit's id is not in the history. After a lost
answer the id tells the outcome. Sending the same transaction again is safe,
and it can no longer take effect once the table is past the revision that it
was sent for.
"""

import datetime
import random
import typing
from collections import abc

import expression

from lavenderledge import clock as clocks
from lavenderledge.controllers import table as controller
from lavenderledge.policy import (
    history,
    problems,
    table,
    tablecheck,
    tablemerge,
)
from lavenderledge.registry import keyvalue, operations

HISTORY_PREFIX = 'lavenderledge/history/'
MAX_TRIES = 1000
_MIN_PAUSE_MS = 50
MIN_PAUSE = datetime.timedelta(milliseconds=_MIN_PAUSE_MS)
MAX_PAUSE = datetime.timedelta(seconds=1)


class NoSuchRow(typing.NamedTuple):
    """The edit names a row that is not in the table."""

    row: str


class Refused(typing.NamedTuple):
    """The table would be invalid after the edit."""

    problems: problems.Problems


class Conflicted(typing.NamedTuple):
    """Another edit changed the same cells; nothing was written."""

    conflicts: tablemerge.Conflicts


class StoredInvalid(typing.NamedTuple):
    """The stored table is invalid and can only be replaced as a whole."""

    problems: problems.Problems


class EditIdReused(typing.NamedTuple):
    """Another edit already has this id."""

    edit_id: str
    summary: str


class NotAccepted(typing.NamedTuple):
    """The edit did not take effect and never will."""

    edit_id: str
    detail: str


class OutcomeUnknown(typing.NamedTuple):
    """The edit may have taken effect, or may still do so."""

    edit_id: str
    detail: str


Failure: typing.TypeAlias = (
    NoSuchRow
    | Refused
    | Conflicted
    | StoredInvalid
    | EditIdReused
    | NotAccepted
    | OutcomeUnknown
)
Plan: typing.TypeAlias = abc.Callable[
    [tablemerge.Rows],
    expression.Result[tablemerge.Changes, Failure],
]


class Edit(typing.NamedTuple):
    """An operator's edit.

    ``plan`` returns the changes against the rows first read. ``request`` is
    a digest of the requested edit. An edit that ``replaces`` the whole table
    is also made if the stored one is invalid. One that is ``repeated`` may
    have been sent before under the same id.
    """

    edit_id: str
    author: str
    summary: str
    request: str
    plan: Plan
    replaces: bool = False
    repeated: bool = False


class Accepted(typing.NamedTuple):
    """The edit is permanently in the table at ``revision``.

    ``changes`` is empty if the table already had the requested cells.
    """

    edit_id: str
    revision: int
    changes: tablemerge.Changes


class Stored(typing.NamedTuple):
    """The stored table; revision 0 if there is none."""

    revision: int
    rows: tablemerge.Rows


class _Attempt(typing.NamedTuple):
    """A table to write in place of the one at the base revision."""

    base: int
    body: bytes


class Editor:
    """Makes one edit, retrying until its outcome is known."""

    def __init__(
        self,
        *,
        edit: Edit,
        keyvalue: keyvalue.KeyValue,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        """Prepare an edit that was not sent yet."""
        self._edit = edit
        self._keyvalue = keyvalue
        self._clock = clock
        self._rng = rng
        self._time = clock.read_wall().isoformat(timespec='seconds')
        self._changes: tablemerge.Changes | None = None
        self._pending: int | None = None
        self._replaces_invalid = False
        self._may_have_run = edit.repeated
        self._detail = 'not sent yet'

    async def run(
        self, timeout: datetime.timedelta
    ) -> expression.Result[Accepted, Failure]:
        """Make the edit; stop retrying after the timeout."""
        deadline_s = self._clock.read_monotonic() + timeout.total_seconds()
        for retries in range(MAX_TRIES):
            outcome = await self._attempt_once()
            if outcome is not None:
                return outcome
            pause = self._plan_pause(retries)
            ends_s = self._clock.read_monotonic() + pause.total_seconds()
            if ends_s > deadline_s:
                break
            await self._clock.sleep(pause)
        return expression.Error(self._describe_unfinished())

    def _describe_unfinished(self) -> Failure:
        if self._may_have_run or self._pending is not None:
            return OutcomeUnknown(self._edit.edit_id, self._detail)
        return NotAccepted(self._edit.edit_id, self._detail)

    async def _attempt_once(
        self,
    ) -> expression.Result[Accepted, Failure] | None:
        answer = await read_edit(self._keyvalue, self._edit.edit_id)
        if answer.is_error():
            return self._fail(answer.error)
        entry = answer.ok.find(name_history(self._edit.edit_id))
        if entry is not None:
            return _read_accepted(self._edit, entry)
        prepared = self._prepare(answer.ok)
        if prepared.is_error():
            return expression.Error(prepared.error)
        if isinstance(prepared.ok, Accepted):
            return expression.Ok(prepared.ok)
        return await self._send(prepared.ok)

    def _prepare(
        self, snapshot: operations.Snapshot
    ) -> expression.Result[_Attempt | Accepted, Failure]:
        stored = self._read_stored(snapshot)
        if stored.is_error():
            return expression.Error(stored.error)
        base, rows = stored.ok
        if self._may_have_run:
            self._may_have_run = False
            self._pending = base
        if base != self._pending:
            self._pending = None
        merged = self._merge(rows)
        if merged.is_error():
            return expression.Error(merged.error)
        if merged.ok == rows and not self._replaces_invalid:
            return expression.Ok(Accepted(self._edit.edit_id, base, ()))
        edited = table.Table(merged.ok, self._edit.edit_id)
        body = tablecheck.encode_checked(edited).map_error(Refused)
        return body.map(lambda encoded: _Attempt(base, encoded))

    def _read_stored(
        self, snapshot: operations.Snapshot
    ) -> expression.Result[Stored, Failure]:
        entry = snapshot.find(controller.TABLE_KEY)
        stored = read_stored(snapshot)
        if entry and stored.is_error() and self._edit.replaces:
            self._replaces_invalid = True
            return expression.Ok(Stored(entry.mod_revision, ()))
        return stored

    def _merge(
        self, rows: tablemerge.Rows
    ) -> expression.Result[tablemerge.Rows, Failure]:
        if self._changes is None:
            planned = self._edit.plan(rows)
            if planned.is_error():
                return expression.Error(planned.error)
            self._changes = planned.ok
        merged = tablemerge.apply_changes(self._changes, rows)
        return merged.map_error(Conflicted)

    async def _send(
        self, attempt: _Attempt
    ) -> expression.Result[Accepted, Failure] | None:
        base, body = attempt
        key = name_history(self._edit.edit_id)
        entry = history.encode_entry(self._build_entry(base))
        previous_pending = self._pending
        self._pending = base
        answer = await self._keyvalue.transact(
            (
                operations.Compare(
                    controller.TABLE_KEY, operations.Target.MOD, base
                ),
                operations.Compare(key, operations.Target.CREATE, 0),
            ),
            (
                operations.Put(controller.TABLE_KEY, body),
                operations.Put(key, entry),
            ),
        )
        if answer.is_error():
            if not isinstance(answer.error, operations.OutcomeUnknown):
                self._pending = previous_pending
            return self._fail(answer.error)
        if answer.ok.succeeded:
            return expression.Ok(self._accept(answer.ok.revision))
        self._pending = previous_pending
        self._detail = 'the table changed between the read and the write'
        return None

    def _accept(self, revision: int) -> Accepted:
        return Accepted(self._edit.edit_id, revision, self._list_effective())

    def _list_effective(self) -> tablemerge.Changes:
        return tablemerge.drop_unchanged(self._changes or ())

    def _build_entry(self, base: int) -> history.HistoryEntry:
        return history.HistoryEntry(
            edit_id=self._edit.edit_id,
            time=self._time,
            author=self._edit.author,
            summary=self._edit.summary,
            request=self._edit.request,
            previous_revision=base,
            changes=self._list_effective(),
        )

    def _fail(
        self, failure: operations.Failure
    ) -> expression.Result[Accepted, Failure] | None:
        """Return the edit's result, or None if a retry may succeed."""
        self._detail = failure.detail
        ended = self._describe_unfinished()
        if not isinstance(failure, operations.Rejected):
            return None
        if isinstance(ended, OutcomeUnknown):
            return None
        return expression.Error(ended)

    def _plan_pause(self, retries: int) -> datetime.timedelta:
        max_pause = min(MIN_PAUSE * 2 ** min(retries, 10), MAX_PAUSE)
        return max_pause * self._rng.uniform(0.5, 1)


def name_history(edit_id: str) -> str:
    """Return the key of an edit's history entry."""
    return f'{HISTORY_PREFIX}{edit_id}'


async def read_edit(
    service: keyvalue.KeyValue, edit_id: str
) -> expression.Result[operations.Snapshot, operations.Failure]:
    """Read the table and an edit's history entry at one revision."""
    return await service.read_many(
        (controller.TABLE_KEY, name_history(edit_id)),
    )


def read_stored(
    snapshot: operations.Snapshot,
) -> expression.Result[Stored, StoredInvalid]:
    """Return the table in a snapshot, without rows if there is none."""
    entry = snapshot.find(controller.TABLE_KEY)
    if entry is None:
        return expression.Ok(Stored(0, ()))
    decoded = tablecheck.decode_table(entry.value)
    if decoded.is_error():
        return expression.Error(StoredInvalid(decoded.error))
    return expression.Ok(Stored(entry.mod_revision, decoded.ok.rows))


def _read_accepted(
    edit: Edit, entry: operations.Entry
) -> expression.Result[Accepted, Failure]:
    decoded = history.decode_entry(entry.value)
    if decoded.is_error():
        return expression.Error(EditIdReused(edit.edit_id, 'unreadable'))
    accepted = decoded.ok
    if accepted.request != edit.request:
        return expression.Error(EditIdReused(edit.edit_id, accepted.summary))
    return expression.Ok(
        Accepted(edit.edit_id, entry.mod_revision, accepted.changes),
    )
