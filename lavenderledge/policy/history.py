"""History entries of accepted table edits."""

import typing

import expression
import msgspec

from lavenderledge.policy import table, tablemerge

MAX_ENTRY_BYTES = 200_000


class HistoryEntry(typing.NamedTuple):
    """One accepted edit.

    ``time`` is when the author made it, in ISO 8601. ``request`` is a digest
    of the requested edit. ``left_out`` is the number of omitted changes.
    """

    edit_id: str
    time: str
    author: str
    summary: str
    request: str
    previous_revision: int
    changes: tablemerge.Changes
    left_out: int = 0


class BadEntry(typing.NamedTuple):
    """A stored history entry that can't be read."""

    detail: str


class StoredChange(typing.TypedDict):
    """One change; cells of a whole row are in column order."""

    change: typing.Literal['cell', 'added', 'removed']
    row: str
    column: str
    before: table.Cell | list[table.Cell]
    after: table.Cell | list[table.Cell]


class StoredEntry(typing.TypedDict):
    """A history entry as stored in the key-value service, in JSON."""

    edit_id: str
    time: str
    author: str
    summary: str
    request: str
    previous_revision: int
    changes: list[StoredChange]
    left_out: int


def encode_entry(entry: HistoryEntry) -> bytes:
    """Return an entry encoded as JSON.

    The last changes are omitted as needed to fit ``MAX_ENTRY_BYTES``.
    """
    body = msgspec.json.encode(build_stored_entry(entry))
    while len(body) > MAX_ENTRY_BYTES and entry.changes:
        kept = len(entry.changes) // 2
        entry = entry._replace(
            changes=entry.changes[:kept],
            left_out=entry.left_out + len(entry.changes) - kept,
        )
        body = msgspec.json.encode(build_stored_entry(entry))
    return body


def build_stored_entry(entry: HistoryEntry) -> StoredEntry:
    """Return an entry in its stored form."""
    return StoredEntry(
        edit_id=entry.edit_id,
        time=entry.time,
        author=entry.author,
        summary=entry.summary,
        request=entry.request,
        previous_revision=entry.previous_revision,
        changes=[build_stored_change(change) for change in entry.changes],
        left_out=entry.left_out,
    )


def decode_entry(body: bytes) -> expression.Result[HistoryEntry, BadEntry]:
    """Decode an entry from JSON."""
    try:
        return expression.Ok(_read_entry(body))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return expression.Error(BadEntry(str(error)))


def build_stored_change(change: tablemerge.Change) -> StoredChange:
    """Return a change in its stored form."""
    match change:
        case tablemerge.CellChange():
            return StoredChange(
                change='cell',
                row=change.row,
                column=change.column,
                before=change.before,
                after=change.after,
            )
        case tablemerge.RowAdded(row):
            return StoredChange(
                change='added',
                row=row.row,
                column='',
                before=None,
                after=list(row),
            )
        case tablemerge.RowRemoved(row):
            return StoredChange(
                change='removed',
                row=row.row,
                column='',
                before=list(row),
                after=None,
            )


def _read_entry(body: bytes) -> HistoryEntry:
    stored = msgspec.json.decode(body, type=StoredEntry)
    changes = tuple(_read_change(change) for change in stored['changes'])
    return HistoryEntry(
        edit_id=stored['edit_id'],
        time=stored['time'],
        author=stored['author'],
        summary=stored['summary'],
        request=stored['request'],
        previous_revision=stored['previous_revision'],
        changes=changes,
        left_out=stored['left_out'],
    )


def _read_change(stored: StoredChange) -> tablemerge.Change:
    match stored['change']:
        case 'added':
            return tablemerge.RowAdded(
                msgspec.convert(stored['after'], table.Row),
            )
        case 'removed':
            return tablemerge.RowRemoved(
                msgspec.convert(stored['before'], table.Row),
            )
        case 'cell':
            return msgspec.convert(
                (
                    stored['row'],
                    stored['column'],
                    stored['before'],
                    stored['after'],
                ),
                tablemerge.CellChange,
            )
