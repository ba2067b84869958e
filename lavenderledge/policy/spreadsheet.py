"""The table as CSV: a header line and one line per row.

Every cell is plain text, even if it looks like a formula.
"""

import csv
import io
import re
import typing
from collections import abc

import expression

from lavenderledge.policy import problems, table, tablecheck

_INTEGER = re.compile(r'[+-]?\d+(\.0*)?')
_NUMBER = re.compile(r'[+-]?(\d+\.?\d*|\.\d+)([eE][+-]?\d+)?')
_BOOLEANS: typing.Final = {
    'yes': True,
    'true': True,
    'no': False,
    'false': False,
}

_INTEGER_COLUMNS = ('tier', 'burst', 'concurrency', 'queue', 'output_tokens')
_NUMBER_COLUMNS = ('weight', 'rate', 'timeout_s')


class InvalidText(typing.NamedTuple):
    """A text that is not valid in its column, with what was expected."""

    expected: str


def parse_cell(
    column: str, text: str
) -> expression.Result[table.Cell, InvalidText]:
    """Parse a cell's text; a blank cell is ``None``."""
    text = text.strip()
    if not text:
        return expression.Ok(None)
    if column in _INTEGER_COLUMNS:
        return _parse_number(_INTEGER, text, _parse_integer, 'a whole number')
    if column in _NUMBER_COLUMNS:
        return _parse_number(_NUMBER, text, float, 'a number')
    if column == 'repeatable':
        boolean = _BOOLEANS.get(text.lower())
        if boolean is None:
            return expression.Error(InvalidText('yes or no'))
        return expression.Ok(boolean)
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
    """Parse a row from its cells' texts; blank cells get the defaults."""
    name = cells.get('row', '').strip()
    errors: list[problems.Problem] = []
    parsed: dict[str, table.Cell] = {}
    for column, text in cells.items():
        cell = parse_cell(column, text)
        if cell.is_error():
            expected = cell.error.expected
            errors.append(problems.BadCell(name, column, text, expected))
        elif cell.ok is not None:
            parsed[column] = cell.ok
    if errors:
        return expression.Error(tuple(errors))
    return tablecheck.build_row(parsed)


def read_rows(
    text: str,
) -> expression.Result[tuple[table.Row, ...], problems.Problems]:
    """Parse the rows of a CSV text, or return every problem in it.

    A byte order mark, any line ending and blank lines are accepted.
    """
    lines = csv.reader(io.StringIO(text.removeprefix('\ufeff'), newline=''))
    try:
        nonblank = [line for line in lines if any(map(str.strip, line))]
    except csv.Error as error:
        return expression.Error((problems.NotTable(str(error)),))
    if not nonblank:
        return expression.Error((problems.NotTable('no header line'),))
    columns = [column.strip() for column in nonblank[0]]
    while columns and not columns[-1]:
        columns.pop()
    errors = tablecheck.check_columns(columns)
    if errors:
        return expression.Error(errors)
    return _read_lines(columns, nonblank[1:])


def write_rows(rows: abc.Iterable[table.Row]) -> str:
    """Return rows as CSV; lines end in a line feed."""
    text = io.StringIO(newline='')
    writer = csv.writer(text, lineterminator='\n')
    writer.writerow(table.COLUMNS)
    writer.writerows(map(format_cell, row) for row in rows)
    return text.getvalue()


def _read_lines(
    columns: abc.Sequence[str], lines: abc.Iterable[list[str]]
) -> expression.Result[tuple[table.Row, ...], problems.Problems]:
    rows: list[table.Row] = []
    errors: list[problems.Problem] = []
    for line in lines:
        row = _read_line(columns, line)
        if row.is_ok():
            rows.append(row.ok)
        else:
            errors.extend(row.error)
    errors.extend(tablecheck.check_rows(rows))
    if errors:
        return expression.Error(tuple(errors))
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


def _parse_number(
    pattern: re.Pattern[str],
    text: str,
    convert: abc.Callable[[str], table.Cell],
    expected: str,
) -> expression.Result[table.Cell, InvalidText]:
    if not pattern.fullmatch(text):
        return expression.Error(InvalidText(expected))
    return expression.Ok(convert(text))


def _parse_integer(text: str) -> int:
    return int(text.partition('.')[0])
