"""The table as a spreadsheet: a header line and a line for each row, in CSV.

Every cell is plain text, also one that looks like a formula.
"""

import csv
import io
import re
import typing
from collections import abc

import expression

from lavenderledge.policy import problems, table, tablecheck

_WHOLE = re.compile(r'[+-]?\d+(\.0*)?')
_NUMBER = re.compile(r'[+-]?(\d+\.?\d*|\.\d+)([eE][+-]?\d+)?')
_TRUTHS: typing.Final = {'yes': True, 'true': True, 'no': False, 'false': False}

_WHOLE_COLUMNS = ('tier', 'burst', 'concurrency', 'queue', 'output_tokens')
_NUMBER_COLUMNS = ('weight', 'rate', 'timeout_s')


class Expected(typing.NamedTuple):
    """What a cell should have held."""

    expected: str


def parse_cell(
    column: str, text: str
) -> expression.Result[table.Cell, Expected]:
    """Return the content of a cell's text; a blank cell is ``None``."""
    text = text.strip()
    if not text:
        return expression.Ok(None)
    if column in _WHOLE_COLUMNS:
        return _parse(_WHOLE, text, _read_whole, 'a whole number')
    if column in _NUMBER_COLUMNS:
        return _parse(_NUMBER, text, float, 'a number')
    if column == 'repeatable':
        truth = _TRUTHS.get(text.lower())
        if truth is None:
            return expression.Error(Expected('yes or no'))
        return expression.Ok(truth)
    return expression.Ok(text)


def format_cell(content: table.Cell) -> str:
    """Return the text of a cell."""
    match content:
        case None:
            return ''
        case bool():
            return 'yes' if content else 'no'
        case float():
            return repr(content).removesuffix('.0')
        case _:
            return str(content)


def read_row(
    cells: abc.Mapping[str, str],
) -> expression.Result[table.Row, problems.Problems]:
    """Return the row of some cells' texts, with defaults for blank ones."""
    name = cells.get('row', '').strip()
    found: list[problems.Problem] = []
    parsed: dict[str, table.Cell] = {}
    for column, text in cells.items():
        cell = parse_cell(column, text)
        if cell.is_error():
            expected = cell.error.expected
            found.append(problems.BadCell(name, column, text, expected))
        elif cell.ok is not None:
            parsed[column] = cell.ok
    if found:
        return expression.Error(tuple(found))
    return tablecheck.build_row(parsed)


def read_rows(
    text: str,
) -> expression.Result[tuple[table.Row, ...], problems.Problems]:
    """Return the rows of a CSV text, or every problem in it.

    A byte order mark, any line ending and blank lines are accepted.
    """
    lines = csv.reader(io.StringIO(text.removeprefix('\ufeff'), newline=''))
    try:
        filled = [line for line in lines if any(map(str.strip, line))]
    except csv.Error as error:
        return expression.Error((problems.NotTable(str(error)),))
    if not filled:
        return expression.Error((problems.NotTable('no header line'),))
    columns = [column.strip() for column in filled[0]]
    while columns and not columns[-1]:
        columns.pop()
    found = tablecheck.check_columns(columns)
    if found:
        return expression.Error(found)
    return _read_lines(columns, filled[1:])


def write_rows(rows: abc.Iterable[table.Row]) -> str:
    """Return the CSV text of rows; lines end in a line feed."""
    text = io.StringIO(newline='')
    writer = csv.writer(text, lineterminator='\n')
    writer.writerow(table.COLUMNS)
    writer.writerows(map(format_cell, row) for row in rows)
    return text.getvalue()


def _read_lines(
    columns: abc.Sequence[str], lines: abc.Iterable[list[str]]
) -> expression.Result[tuple[table.Row, ...], problems.Problems]:
    rows: list[table.Row] = []
    found: list[problems.Problem] = []
    for line in lines:
        row = _read_line(columns, line)
        if row.is_ok():
            rows.append(row.ok)
        else:
            found.extend(row.error)
    found.extend(tablecheck.check_rows(rows))
    if found:
        return expression.Error(tuple(found))
    return expression.Ok(tuple(rows))


def _read_line(
    columns: abc.Sequence[str], line: list[str]
) -> expression.Result[table.Row, problems.Problems]:
    cells = dict(zip(columns, line, strict=False))
    extra = line[len(columns) :]
    if any(map(str.strip, extra)):
        position = f'{len(columns) + 1}'
        name = cells.get('row', '').strip()
        return expression.Error((problems.UnknownColumn(name, position),))
    return read_row(cells)


def _parse(
    pattern: re.Pattern[str],
    text: str,
    convert: abc.Callable[[str], table.Cell],
    expected: str,
) -> expression.Result[table.Cell, Expected]:
    if not pattern.fullmatch(text):
        return expression.Error(Expected(expected))
    return expression.Ok(convert(text))


def _read_whole(text: str) -> int:
    return int(text.partition('.')[0])
