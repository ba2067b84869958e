"""Checks of the table: every problem is found, typed and placed."""

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
    """The least and the most that a number column may hold."""

    least: float
    most: float


# Figures beyond these are taken for typing errors.
_LEAST: typing.Final = 0.001
_MOST: typing.Final = 1_000_000
_DAY_S: typing.Final = 86_400

RANGES: typing.Final[abc.Mapping[str, Range]] = {
    'tier': Range(1, 4),
    'weight': Range(_LEAST, _MOST),
    'rate': Range(_LEAST, _MOST),
    'burst': Range(1, _MOST),
    'concurrency': Range(1, _MOST),
    'queue': Range(0, _MOST),
    'timeout_s': Range(0.1, _DAY_S),
    'output_tokens': Range(1, _MOST),
}


def check_rows(rows: abc.Sequence[table.Row]) -> problems.Problems:
    """Return every problem of the rows; none means that they are valid."""
    found: list[problems.Problem] = []
    if len(rows) > problems.MAX_ROWS:
        found.append(problems.TooManyRows(len(rows)))
    for row in rows:
        found.extend(_check_cells(row))
    found.extend(_check_duplicates(rows))
    return tuple(found)


def encode_checked(
    wanted: table.Table,
) -> expression.Result[bytes, problems.Problems]:
    """Return the stored form of a table that passes every check."""
    found = check_rows(wanted.rows)
    if found:
        return expression.Error(found)
    body = table.encode_table(wanted)
    if len(body) >= problems.MAX_TABLE_BYTES:
        return expression.Error((problems.TooLarge(len(body)),))
    return expression.Ok(body)


def decode_table(
    body: bytes,
) -> expression.Result[table.Table, problems.Problems]:
    """Return the table of a stored form, or all that is wrong with it."""
    try:
        stored = msgspec.json.decode(body, type=table.StoredTable)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return expression.Error((problems.NotTable(str(error)),))
    if stored['format'] != table.FORMAT:
        return expression.Error(
            (problems.NotTable(f'format {stored["format"]}'),)
        )
    return _decode_rows(stored).bind(
        lambda rows: _accept(table.Table(rows, stored['edit_id'])),
    )


def check_columns(columns: abc.Sequence[str]) -> problems.Problems:
    """Return the problems of a header: unknown, repeated, missing columns."""
    counts = collections.Counter(columns)
    found: list[problems.Problem] = [
        problems.UnknownColumn('', column)
        for column in counts
        if column not in table.COLUMNS
    ]
    found.extend(
        problems.RepeatedColumn('', column)
        for column, count in counts.items()
        if count > 1
    )
    found.extend(
        problems.MissingCell('', column)
        for column in ('row', 'pool', 'tier')
        if column not in counts
    )
    return tuple(found)


def build_row(
    cells: abc.Mapping[str, table.Cell],
) -> expression.Result[table.Row, problems.Problems]:
    """Return the row of typed cells, with defaults for those not given."""
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


def _accept(
    decoded: table.Table,
) -> expression.Result[table.Table, problems.Problems]:
    found = check_rows(decoded.rows)
    if found:
        return expression.Error(found)
    return expression.Ok(decoded)


def _decode_rows(
    stored: table.StoredTable,
) -> expression.Result[tuple[table.Row, ...], problems.Problems]:
    columns = stored['columns']
    found = list(check_columns(columns))
    rows: list[table.Row] = []
    for cells in stored['rows']:
        if len(cells) != len(columns):
            place = str(cells[0]) if cells else ''
            found.append(problems.UnknownColumn(place, f'{len(cells)} cells'))
            continue
        built = build_row(dict(zip(columns, cells, strict=True)))
        if built.is_ok():
            rows.append(built.ok)
        else:
            found.extend(built.error)
    if found:
        return expression.Error(tuple(found))
    return expression.Ok(tuple(rows))


def _find_mistyped(
    name: str, cells: abc.Sequence[table.Cell]
) -> problems.Problems:
    hints = typing.get_type_hints(table.Row)
    found: list[problems.Problem] = []
    for column, cell in zip(table.COLUMNS, cells, strict=True):
        try:
            msgspec.convert(cell, hints[column])
        except msgspec.ValidationError as error:
            found.append(problems.BadCell(name, column, str(cell), str(error)))
    return tuple(found)


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
        if number is not None and not _is_within(number, limits):
            expected = f'from {limits.least:g} to {limits.most:g}'
            yield problems.BadCell(row.row, numeric, str(number), expected)
    if row.burst is not None and row.rate is None:
        yield problems.BadCell(
            row.row, 'burst', str(row.burst), 'blank without rate'
        )


def _is_within(number: float, limits: Range) -> bool:
    return math.isfinite(number) and limits.least <= number <= limits.most


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
