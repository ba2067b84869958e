"""The table's rows at an earlier revision, worked out from its history."""

import operator
import typing
from collections import abc

import expression

from lavenderledge.controllers import edit, table
from lavenderledge.policy import history, tablemerge
from lavenderledge.registry import keyvalue, operations

MAX_EDITS = 200


class RevisionUnavailable(typing.NamedTuple):
    """The rows at this revision can't be worked out any more."""

    revision: int
    detail: str


class RevisionEntry(typing.NamedTuple):
    """A history entry and the revision of the table that it made."""

    revision: int
    entry: history.HistoryEntry


Failure: typing.TypeAlias = (
    RevisionUnavailable | edit.StoredInvalid | operations.Failure
)


async def list_history(
    service: keyvalue.KeyValue, limit: int = MAX_EDITS
) -> expression.Result[list[RevisionEntry], operations.Failure]:
    """Return the last accepted edits, newest first; unreadable are left out."""
    found = await service.list_prefix(edit.HISTORY_PREFIX, limit=limit)
    return found.map(
        lambda snapshot: sorted(
            _read_entries(snapshot.entries),
            key=operator.attrgetter('revision'),
            reverse=True,
        ),
    )


async def read_rows_at(
    service: keyvalue.KeyValue, revision: int
) -> expression.Result[tablemerge.Rows, Failure]:
    """Return the rows that the table had at a revision of its own."""
    listed = await list_history(service)
    if listed.is_error():
        return expression.Error(listed.error)
    snapshot = await service.read(table.TABLE_KEY)
    if snapshot.is_error():
        return expression.Error(snapshot.error)
    stored = edit.read_stored(snapshot.ok)
    if stored.is_error():
        return expression.Error(stored.error)
    edits = {past.revision: past.entry for past in listed.ok}
    return _unwind(stored.ok, edits, revision)


def _unwind(
    stored: edit.Stored,
    edits: abc.Mapping[int, history.HistoryEntry],
    revision: int,
) -> expression.Result[tablemerge.Rows, Failure]:
    reached, rows = stored
    while reached > revision:
        entry = edits.get(reached)
        if entry is None or entry.left_out:
            detail = f'the edit of revision {reached} is not kept in full'
            return expression.Error(RevisionUnavailable(revision, detail))
        undone = tablemerge.undo_changes(entry.changes, rows)
        if undone.is_error():
            detail = f'the edit of revision {reached} does not fit'
            return expression.Error(RevisionUnavailable(revision, detail))
        reached, rows = entry.previous_revision, undone.ok
    if reached != revision:
        return expression.Error(
            RevisionUnavailable(revision, 'the table never had this revision'),
        )
    return expression.Ok(rows)


def _read_entries(
    entries: abc.Iterable[operations.Entry],
) -> abc.Iterator[RevisionEntry]:
    for entry in entries:
        decoded = history.decode_entry(entry.value)
        if decoded.is_ok():
            yield RevisionEntry(entry.mod_revision, decoded.ok)
