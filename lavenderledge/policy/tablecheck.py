"""Validation of the table; every problem is returned with its location."""

import collections
import math
import typing
import unicodedata
from collections import abc

import expression
import msgspec

from lavenderledge.policy import problems, table

MAX_NAME_LENGTH = 100

_NAMES: typing.Final = ('row', 'customer', 'pool', 'kind')


class Range(typing.NamedTuple):
    """The inclusive range of a number column."""

    minimum: float
    maximum: float


# Numbers out of this range are assumed to be typing errors.
_MIN_NUMBER: typing.Final = 0.001
_MAX_NUMBER: typing.Final = 1_000_000
_DAY_S: typing.Final = 86_400

RANGES: typing.Final[abc.Mapping[str, Range]] = {
    'tier': Range(1, 4),
    'weight': Range(_MIN_NUMBER, _MAX_NUMBER),
    'rate': Range(_MIN_NUMBER, _MAX_NUMBER),
    'burst': Range(1, _MAX_NUMBER),
    'concurrency': Range(1, _MAX_NUMBER),
    'queue': Range(0, _MAX_NUMBER),
    'timeout_s': Range(0.1, _DAY_S),
    'output_tokens': Range(1, _MAX_NUMBER),
}


def check_rows(rows: abc.Sequence[table.Row]) -> problems.Problems:
    """Return every problem of the rows; empty if they are valid."""
    errors: list[problems.Problem] = []
    if len(rows) > problems.MAX_ROWS:
        errors.append(problems.TooManyRows(len(rows)))
    for row in rows:
        errors.extend(_check_cells(row))
    errors.extend(_check_duplicates(rows))
    return tuple(errors)


def encode_checked(
    new_table: table.Table,
) -> expression.Result[bytes, problems.Problems]:
    """Return the table encoded as JSON, or every problem in it."""
    errors = check_rows(new_table.rows)
    if errors:
        return expression.Error(errors)
    body = table.encode_table(new_table)
    if len(body) >= problems.MAX_TABLE_BYTES:
        return expression.Error((problems.TooLarge(len(body)),))
    return expression.Ok(body)


def decode_table(
    body: bytes,
) -> expression.Result[table.Table, problems.Problems]:
    """Decode a table from JSON, or return every problem in it."""
    try:
        stored = msgspec.json.decode(body, type=table.StoredTable)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return expression.Error((problems.NotTable(str(error)),))
    if stored['format'] != table.FORMAT:
        return expression.Error(
            (
                problems.NotTable(
                    f'format {stored["format"]}, expected {table.FORMAT}'
                ),
            )
        )
    return _decode_rows(stored).bind(
        lambda rows: _validate(table.Table(rows, stored['edit_id'])),
    )


def check_columns(columns: abc.Sequence[str]) -> problems.Problems:
    """Return a header's unknown, repeated and missing columns."""
    counts = collections.Counter(columns)
    errors: list[problems.Problem] = [
        problems.UnknownColumn('', column)
        for column in counts
        if column not in table.COLUMNS
    ]
    errors.extend(
        problems.RepeatedColumn('', column)
        for column, count in counts.items()
        if count > 1
    )
    errors.extend(
        problems.MissingCell('', column)
        for column in ('row', 'pool', 'tier')
        if column not in counts
    )
    return tuple(errors)


def build_row(
    cells: abc.Mapping[str, table.Cell],
) -> expression.Result[table.Row, problems.Problems]:
    """Return the row of typed cells; absent cells get the defaults."""
    name = str(cells.get('row') or '')
    missing = tuple(
        problems.MissingCell(name, column)
        for column in ('row', 'pool', 'tier')
        if cells.get(column) is None
    )
    if missing:
        return expression.Error(missing)
    ordered = [
        cells.get(column, _DEFAULTS.get(column)) for column in table.COLUMNS
    ]
    try:
        return expression.Ok(msgspec.convert(ordered, table.Row))
    except msgspec.ValidationError:
        return expression.Error(_find_mistyped(name, ordered))


_DEFAULTS: typing.Final[abc.Mapping[str, table.Cell]] = {
    'customer': table.ANY,
    'kind': table.ANY,
    **table.Row._field_defaults,
}


def _validate(
    decoded: table.Table,
) -> expression.Result[table.Table, problems.Problems]:
    errors = check_rows(decoded.rows)
    if errors:
        return expression.Error(errors)
    return expression.Ok(decoded)


def _decode_rows(
    stored: table.StoredTable,
) -> expression.Result[tuple[table.Row, ...], problems.Problems]:
    columns = stored['columns']
    errors = list(check_columns(columns))
    rows: list[table.Row] = []
    for cells in stored['rows']:
        if len(cells) != len(columns):
            name = str(cells[0]) if cells else ''
            errors.append(problems.UnknownColumn(name, f'{len(cells)} cells'))
            continue
        built = build_row(dict(zip(columns, cells, strict=True)))
        if built.is_ok():
            rows.append(built.ok)
        else:
            errors.extend(built.error)
    if errors:
        return expression.Error(tuple(errors))
    return expression.Ok(tuple(rows))


def _find_mistyped(
    name: str, cells: abc.Sequence[table.Cell]
) -> problems.Problems:
    hints = typing.get_type_hints(table.Row)
    errors: list[problems.Problem] = []
    for column, cell in zip(table.COLUMNS, cells, strict=True):
        try:
            msgspec.convert(cell, hints[column])
        except msgspec.ValidationError as error:
            errors.append(problems.BadCell(name, column, str(cell), str(error)))
    return tuple(errors)


def _check_cells(row: table.Row) -> abc.Iterator[problems.Problem]:
    for column in _NAMES:
        name = getattr(row, column)
        if not _is_name(name):
            yield problems.BadCell(row.row, column, name, 'a printable name')
    if row.pool == table.ANY:
        yield problems.BadCell(
            row.row, 'pool', row.pool, 'the name of one pool'
        )
    for numeric, limits in RANGES.items():
        number = getattr(row, numeric)
        if number is not None and not _is_in_range(number, limits):
            expected = f'from {limits.minimum:g} to {limits.maximum:g}'
            yield problems.BadCell(row.row, numeric, str(number), expected)
    if row.burst is not None and row.rate is None:
        yield problems.BadCell(
            row.row, 'burst', str(row.burst), 'blank without rate'
        )


def _is_in_range(number: float, limits: Range) -> bool:
    return math.isfinite(number) and limits.minimum <= number <= limits.maximum


def _is_name(text: str) -> bool:
    if not text or len(text) > MAX_NAME_LENGTH or text != text.strip():
        return False
    return all(unicodedata.category(char)[0] != 'C' for char in text)


def _check_duplicates(
    rows: abc.Sequence[table.Row],
) -> abc.Iterator[problems.Problem]:
    names: set[str] = set()
    matches: dict[tuple[str, str, str], str] = {}
    for row in rows:
        if row.row in names:
            yield problems.DuplicateRow(row.row)
        names.add(row.row)
        match = (row.customer, row.pool, row.kind)
        if match in matches and matches[match] != row.row:
            yield problems.DuplicateMatch(row.row, matches[match])
        matches.setdefault(match, row.row)
