"""Validation problems of the operators' table, with their location."""

import typing

MAX_ROWS = 5000
MAX_TABLE_BYTES = 1_000_000


class BadCell(typing.NamedTuple):
    """A cell whose content is not valid for its column."""

    row: str
    column: str
    content: str
    expected: str


class MissingCell(typing.NamedTuple):
    """A required cell that is absent or blank."""

    row: str
    column: str


class UnknownColumn(typing.NamedTuple):
    """An unknown column, or a cell beyond the last column."""

    row: str
    column: str


class RepeatedColumn(typing.NamedTuple):
    """A column that occurs twice."""

    row: str
    column: str


class DuplicateRow(typing.NamedTuple):
    """A row with the name of an earlier row."""

    row: str
    column: str = 'row'


class DuplicateMatch(typing.NamedTuple):
    """A row with the same customer, pool and kind as an earlier row."""

    row: str
    other: str
    column: str = 'customer'


class TooManyRows(typing.NamedTuple):
    """A table with more rows than ``MAX_ROWS``."""

    rows: int
    row: str = ''
    column: str = ''


class TooLarge(typing.NamedTuple):
    """A table whose stored form is not under ``MAX_TABLE_BYTES``."""

    size_bytes: int
    row: str = ''
    column: str = ''


class NotTable(typing.NamedTuple):
    """A text that can't be parsed as a table."""

    detail: str
    row: str = ''
    column: str = ''


Problem: typing.TypeAlias = (
    BadCell
    | MissingCell
    | UnknownColumn
    | RepeatedColumn
    | DuplicateRow
    | DuplicateMatch
    | TooManyRows
    | TooLarge
    | NotTable
)
Problems: typing.TypeAlias = tuple[Problem, ...]


def describe(problem: Problem) -> str:
    """Return a one-line description with the location."""
    match problem:
        case TooManyRows():
            return f'{problem.rows} rows; expected at most {MAX_ROWS}'
        case TooLarge():
            return (
                f'{problem.size_bytes} bytes; expected under {MAX_TABLE_BYTES}'
            )
        case NotTable():
            return f'not a table: {problem.detail}'
    place = f'column {problem.column}'
    if problem.row:
        place = f'row {problem.row}, {place}'
    return f'{place}: {_explain(problem)}'


def _explain(problem: Problem) -> str:
    match problem:
        case BadCell():
            return f'{problem.content!r} is not {problem.expected}'
        case MissingCell():
            return 'missing'
        case UnknownColumn():
            return 'unknown column'
        case DuplicateMatch():
            return f'same customer, pool and kind as row {problem.other}'
        case _:
            return 'duplicate'
