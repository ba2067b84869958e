"""Concurrent edits of the table: differences and a three-way merge.

An edit is a set of changes to the rows that its author read. It applies to
later rows unless another edit has changed the same cells since.
"""

import typing
from collections import abc

import expression

from lavenderledge.policy import table


class CellChange(typing.NamedTuple):
    """One cell's content before and after; equal if it must not change."""

    row: str
    column: str
    before: table.Cell
    after: table.Cell


class RowAdded(typing.NamedTuple):
    """A row that the edit adds."""

    added: table.Row


class RowRemoved(typing.NamedTuple):
    """A row that the edit removes, as it was before."""

    removed: table.Row


Change: typing.TypeAlias = CellChange | RowAdded | RowRemoved
Changes: typing.TypeAlias = tuple[Change, ...]
Rows: typing.TypeAlias = tuple[table.Row, ...]


class Conflict(typing.NamedTuple):
    """A cell that another edit has changed; ``current`` is its content.

    ``current`` is also ``None`` if the row was removed.
    """

    row: str
    column: str
    wanted: table.Cell
    current: table.Cell


Conflicts: typing.TypeAlias = tuple[Conflict, ...]


def list_changes(
    before: abc.Iterable[table.Row], after: abc.Iterable[table.Row]
) -> Changes:
    """Return the changes from one set of rows to another."""
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
    """Return the changes without cells that must stay unchanged."""
    return tuple(
        change
        for change in changes
        if not isinstance(change, CellChange) or change.before != change.after
    )


def apply_changes(
    changes: abc.Iterable[Change], rows: abc.Iterable[table.Row]
) -> expression.Result[Rows, Conflicts]:
    """Return the rows after the changes, or every conflict.

    A change that another edit has already made is not a conflict. The order
    of the rows is kept and added rows come last.
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
    current = getattr(row, change.column)
    if current not in {change.before, change.after}:
        return [Conflict(change.row, change.column, change.after, current)]
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
