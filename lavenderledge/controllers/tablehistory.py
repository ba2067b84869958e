"""The table's rows at an earlier revision, computed from its history."""

import operator
import typing
from collections import abc

import expression

from lavenderledge.controllers import edit, table
from lavenderledge.policy import history, tablemerge
from lavenderledge.registry import keyvalue, operations

MAX_EDITS = 200


class RevisionUnavailable(typing.NamedTuple):
    """The rows at this revision can't be computed from the history."""

    revision: int
    detail: str


class RevisionEntry(typing.NamedTuple):
    """A history entry and the table revision that it produced."""

    revision: int
    entry: history.HistoryEntry


Failure: typing.TypeAlias = (
    RevisionUnavailable | edit.StoredInvalid | operations.Failure
)


async def list_history(
    service: keyvalue.KeyValue, limit: int = MAX_EDITS
) -> expression.Result[list[RevisionEntry], operations.Failure]:
    """Return the last accepted edits, newest first, without malformed ones."""
    listed = await service.list_prefix(edit.HISTORY_PREFIX, limit=limit)
    return listed.map(
        lambda snapshot: sorted(
            _read_entries(snapshot.entries),
            key=operator.attrgetter('revision'),
            reverse=True,
        ),
    )


async def read_rows_at(
    service: keyvalue.KeyValue, revision: int
) -> expression.Result[tablemerge.Rows, Failure]:
    """Return the rows of the table at one of its revisions."""
    listed = await list_history(service)
    if listed.is_error():
        return expression.Error(listed.error)
    snapshot = await service.read(table.TABLE_KEY)
    if snapshot.is_error():
        return expression.Error(snapshot.error)
    stored = edit.read_stored(snapshot.ok)
    if stored.is_error():
        return expression.Error(stored.error)
    edits = {item.revision: item.entry for item in listed.ok}
    return _undo_edits(stored.ok, edits, revision)


def _undo_edits(
    stored: edit.Stored,
    edits: abc.Mapping[int, history.HistoryEntry],
    revision: int,
) -> expression.Result[tablemerge.Rows, Failure]:
    reached, rows = stored
    while reached > revision:
        entry = edits.get(reached)
        if entry is None or entry.left_out:
            detail = (
                f'the history of revision {reached} is missing or incomplete'
            )
            return expression.Error(RevisionUnavailable(revision, detail))
        previous = tablemerge.undo_changes(entry.changes, rows)
        if previous.is_error():
            detail = f'the changes of revision {reached} do not match the rows'
            return expression.Error(RevisionUnavailable(revision, detail))
        reached, rows = entry.previous_revision, previous.ok
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
