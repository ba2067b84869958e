"""The operators' table: its rows, its stored form and row lookup."""

import typing
from collections import abc

import msgspec

ANY = '*'
FORMAT = 1


class Row(typing.NamedTuple):
    """One row of the table: the requests it matches, its tier and limits.

    ``customer`` and ``kind`` may be ``'*'`` for any. ``tier`` is 1 (highest)
    to 4. ``rate`` is in requests per second, ``burst`` and ``concurrency``
    in requests; ``None`` means no limit. ``queue`` is the maximum number of
    waiting requests. ``timeout_s`` counts from the request's arrival.
    ``output_tokens`` is the typical length of an answer. A row that is not
    ``repeatable`` is for non-idempotent requests.
    """

    row: str
    customer: str
    pool: str
    kind: str
    tier: int
    weight: float = 1.0
    rate: float | None = None
    burst: int | None = None
    concurrency: int | None = None
    queue: int = 1000
    timeout_s: float = 60.0
    output_tokens: int = 256
    repeatable: bool = False


Cell: typing.TypeAlias = str | int | float | bool | None

COLUMNS = Row._fields


class Table(typing.NamedTuple):
    """All rows, and the id of the latest edit."""

    rows: tuple[Row, ...] = ()
    edit_id: str = ''


class StoredTable(typing.TypedDict):
    """The table as stored in the key-value service, in JSON.

    Each member of ``rows`` holds the cells of one row in the order of
    ``columns``.
    """

    format: int
    edit_id: str
    columns: list[str]
    rows: list[list[Cell]]


class RowIndex:
    """Index of one table's rows; built once for each revision."""

    def __init__(self, *, rows: abc.Iterable[Row]) -> None:
        """Index the rows by customer, pool and kind, and by name."""
        self._by_name = {row.row: row for row in rows}
        self._by_match = {
            (row.customer, row.pool, row.kind): row
            for row in self._by_name.values()
        }
        self._pools = frozenset(row.pool for row in self._by_name.values())

    @property
    def pools(self) -> frozenset[str]:
        """Return the names of all pools in the table."""
        return self._pools

    def find_row(self, name: str) -> Row | None:
        """Return the row of this name."""
        return self._by_name.get(name)

    def match_row(self, *, customer: str, pool: str, kind: str) -> Row | None:
        """Return the most specific row for a request.

        An exact customer takes precedence over any customer, then an exact
        kind over any kind.
        """
        for match in (
            (customer, pool, kind),
            (customer, pool, ANY),
            (ANY, pool, kind),
            (ANY, pool, ANY),
        ):
            row = self._by_match.get(match)
            if row is not None:
                return row
        return None


def list_pools(table: Table) -> list[str]:
    """Return the table's pools, sorted, without duplicates."""
    return sorted({row.pool for row in table.rows})


def encode_table(table: Table) -> bytes:
    """Return the table encoded as JSON."""
    return msgspec.json.encode(
        StoredTable(
            format=FORMAT,
            edit_id=table.edit_id,
            columns=list(COLUMNS),
            rows=[list(row) for row in table.rows],
        ),
    )
