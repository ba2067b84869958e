"""Concurrent edits of the table: differences, and a three-way merge.

An edit is a set of changes against the rows that its author saw. It is
applied to later rows where nobody else has since changed the same cells.
"""

import typing
from collections import abc

import expression

from lavenderledge.policy import table


class CellChange(typing.NamedTuple):
    """One cell's content before and after; the same where it is to stay."""

    row: str
    column: str
    before: table.Cell
    after: table.Cell


class RowAdded(typing.NamedTuple):
    """A row that was not there before."""

    added: table.Row


class RowRemoved(typing.NamedTuple):
    """A row that is there no longer, as it was before."""

    removed: table.Row


Change: typing.TypeAlias = CellChange | RowAdded | RowRemoved
Changes: typing.TypeAlias = tuple[Change, ...]
Rows: typing.TypeAlias = tuple[table.Row, ...]


class Conflict(typing.NamedTuple):
    """A cell that somebody else has changed since; ``current`` is theirs.

    ``current`` is ``None`` too where the row was removed.
    """

    row: str
    column: str
    wanted: table.Cell
    current: table.Cell


Conflicts: typing.TypeAlias = tuple[Conflict, ...]


def list_changes(
    before: abc.Iterable[table.Row], after: abc.Iterable[table.Row]
) -> Changes:
    """Return what turns one set of rows into another; names are unique."""
    old = _index(before)
    new = _index(after)
    changes: list[Change] = [
        RowRemoved(row) for name, row in old.items() if name not in new
    ]
    for name, row in new.items():
        if name not in old:
            changes.append(RowAdded(row))
            continue
        changes.extend(_list_cells(old[name], row))
    return tuple(changes)


def drop_unchanged(changes: abc.Iterable[Change]) -> Changes:
    """Return the changes without the cells that are only to stay."""
    return tuple(
        change
        for change in changes
        if not isinstance(change, CellChange) or change.before != change.after
    )


def apply_changes(
    changes: abc.Iterable[Change], rows: abc.Iterable[table.Row]
) -> expression.Result[Rows, Conflicts]:
    """Return the rows after the changes, or every conflict.

    A change that somebody else has already made alike is no conflict. The
    order of the rows is kept and added rows come last.
    """
    merged = _index(rows)
    conflicts: list[Conflict] = []
    for change in changes:
        conflicts.extend(_apply(change, merged))
    if conflicts:
        return expression.Error(tuple(conflicts))
    return expression.Ok(tuple(merged.values()))


def undo_changes(
    changes: abc.Iterable[Change], rows: abc.Iterable[table.Row]
) -> expression.Result[Rows, Conflicts]:
    """Return the rows as they were before the changes."""
    return apply_changes([_invert(change) for change in changes], rows)


def _invert(change: Change) -> Change:
    match change:
        case CellChange():
            return change._replace(before=change.after, after=change.before)
        case RowAdded():
            return RowRemoved(change.added)
        case RowRemoved():
            return RowAdded(change.removed)


def _index(rows: abc.Iterable[table.Row]) -> dict[str, table.Row]:
    return {row.row: row for row in rows}


def _list_cells(old: table.Row, new: table.Row) -> abc.Iterator[CellChange]:
    for column, before, after in zip(table.COLUMNS, old, new, strict=True):
        if before != after:
            yield CellChange(old.row, column, before, after)


def _apply(
    change: Change, merged: dict[str, table.Row]
) -> abc.Iterable[Conflict]:
    match change:
        case CellChange():
            return _change_cell(change, merged)
        case RowAdded():
            return _add_row(change.added, merged)
        case RowRemoved():
            return _remove_row(change.removed, merged)


def _change_cell(
    change: CellChange, merged: dict[str, table.Row]
) -> abc.Iterable[Conflict]:
    row = merged.get(change.row)
    if row is None:
        return [Conflict(change.row, change.column, change.after, None)]
    found = getattr(row, change.column)
    if found not in {change.before, change.after}:
        return [Conflict(change.row, change.column, change.after, found)]
    cells = {**row._asdict(), change.column: change.after}
    merged[change.row] = table.Row(**cells)
    return []


def _add_row(
    added: table.Row, merged: dict[str, table.Row]
) -> abc.Iterable[Conflict]:
    row = merged.setdefault(added.row, added)
    return [
        Conflict(change.row, change.column, change.after, change.before)
        for change in _list_cells(row, added)
    ]


def _remove_row(
    removed: table.Row, merged: dict[str, table.Row]
) -> abc.Iterable[Conflict]:
    row = merged.get(removed.row, removed)
    conflicts = [
        Conflict(change.row, change.column, None, change.after)
        for change in _list_cells(removed, row)
    ]
    if not conflicts:
        merged.pop(removed.row, None)
    return conflicts
