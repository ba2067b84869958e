"""What an operator's command changes in the rows that it finds."""

from collections import abc

import expression

from lavenderledge.policy import problems, spreadsheet, table, tablemerge

_FIXED = 'the same name; remove the row and set another instead'


def plan_set(
    rows: tablemerge.Rows, name: str, cells: abc.Mapping[str, str]
) -> expression.Result[tablemerge.Changes, problems.Problems]:
    """Return the changes that give a row these cells, or that create it.

    A blank cell stands for the column's default. Where some cells change,
    the others that are asked for are listed with them unchanged, so that
    they conflict with what somebody else makes of them meanwhile.
    """
    found = tuple(_check_cells(name, cells))
    if found:
        return expression.Error(found)
    before = tuple(row for row in rows if row.row == name)
    texts = {'row': name}
    for row in before:
        texts.update(_format_row(row))
    wanted = spreadsheet.read_row(texts | dict(cells))
    return wanted.map(lambda row: _list_changes(before, row, cells))


def plan_remove(rows: tablemerge.Rows, name: str) -> tablemerge.Changes:
    """Return the changes that remove a row; none if it is not there."""
    before = tuple(row for row in rows if row.row == name)
    return tablemerge.list_changes(before, ())


def _list_changes(
    before: tablemerge.Rows, wanted: table.Row, asked: abc.Iterable[str]
) -> tablemerge.Changes:
    changes = tablemerge.list_changes(before, (wanted,))
    if not changes or not before:
        return changes
    kept = []
    for column in asked:
        content = getattr(wanted, column)
        if content == getattr(before[0], column):
            kept.append(
                tablemerge.CellChange(wanted.row, column, content, content),
            )
    return (*changes, *kept)


def _check_cells(
    name: str, cells: abc.Mapping[str, str]
) -> abc.Iterator[problems.Problem]:
    for column, text in cells.items():
        parsed = spreadsheet.parse_cell(column, text)
        if column == 'row':
            yield problems.BadCell(name, column, text, _FIXED)
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
