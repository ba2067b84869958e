"""Output of commands: text tables and JSON."""

import typing
from collections import abc

import msgspec

Record: typing.TypeAlias = abc.Mapping[str, object]

_INDENT = 2
_COLUMN_SEPARATOR = '  '


def write_json(stream: typing.TextIO, content: object) -> None:
    """Write content as indented JSON."""
    encoded = msgspec.json.format(msgspec.json.encode(content), indent=_INDENT)
    stream.write(f'{encoded.decode()}\n')


def write_text_table(
    stream: typing.TextIO,
    columns: abc.Sequence[str],
    lines: abc.Iterable[abc.Sequence[str]],
) -> None:
    """Write aligned columns under a header."""
    cells = [columns, *lines]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for line in cells:
        padded = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        stream.write(f'{_COLUMN_SEPARATOR.join(padded).rstrip()}\n')


def format_content(content: object) -> str:
    """Return the text of a JSON value; empty for ``None``."""
    match content:
        case None:
            return ''
        case bool():
            return 'yes' if content else 'no'
        case list() | tuple():
            return ','.join(map(str, content))
        case _:
            return str(content)
