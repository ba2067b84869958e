"""The changes that an operator's command makes to the current rows."""

from collections import abc

import expression

from lavenderledge.policy import problems, spreadsheet, table, tablemerge

_NO_RENAME = 'a valid change of name; remove the row and set another instead'


def plan_set(
    rows: tablemerge.Rows, name: str, cells: abc.Mapping[str, str]
) -> expression.Result[tablemerge.Changes, problems.Problems]:
    """Return the changes that set a row's cells or create the row.

    A blank cell stands for the column's default. If any cell changes, the
    unchanged cells of the command are listed too, so that they conflict with
    concurrent edits of the same cells.
    """
    errors = tuple(_check_cells(name, cells))
    if errors:
        return expression.Error(errors)
    before = tuple(row for row in rows if row.row == name)
    texts = {'row': name}
    for row in before:
        texts.update(_format_row(row))
    planned = spreadsheet.read_row(texts | dict(cells))
    return planned.map(lambda row: _list_changes(before, row, cells))


def plan_remove(rows: tablemerge.Rows, name: str) -> tablemerge.Changes:
    """Return the changes that remove a row; empty if it does not exist."""
    before = tuple(row for row in rows if row.row == name)
    return tablemerge.list_changes(before, ())


def _list_changes(
    before: tablemerge.Rows, planned: table.Row, columns: abc.Iterable[str]
) -> tablemerge.Changes:
    changes = tablemerge.list_changes(before, (planned,))
    if not changes or not before:
        return changes
    unchanged = []
    for column in columns:
        content = getattr(planned, column)
        if content == getattr(before[0], column):
            unchanged.append(
                tablemerge.CellChange(planned.row, column, content, content),
            )
    return (*changes, *unchanged)


def _check_cells(
    name: str, cells: abc.Mapping[str, str]
) -> abc.Iterator[problems.Problem]:
    for column, text in cells.items():
        parsed = spreadsheet.parse_cell(column, text)
        if column == 'row':
            yield problems.BadCell(name, column, text, _NO_RENAME)
        elif column not in table.COLUMNS:
            yield problems.UnknownColumn(name, column)
        elif parsed.is_error():
            expected = parsed.error.expected
            yield problems.BadCell(name, column, text, expected)


def _format_row(row: table.Row) -> dict[str, str]:
    return {
        column: spreadsheet.format_cell(content)
        for column, content in row._asdict().items()
    }
