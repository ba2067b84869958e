"""The main function of the capacity measurements."""

import argparse
import datetime
import typing
from collections import abc

import msgspec

from lavenderledge import clock as clocks
from lavenderledge import environment, status
from lavenderledge.capacity import (
    allocating,
    asking,
    committing,
    figures,
    gossiping,
    linking,
    tables,
)

Measure: typing.TypeAlias = abc.Callable[[], list[figures.Figure]]

PARTS: typing.Final[dict[str, Measure]] = {
    'peers': linking.measure,
    'allocator': allocating.measure,
    'admission': asking.measure,
    'table': tables.measure_table,
    'list': tables.measure_list,
    'claims': committing.measure,
    'membership': gossiping.measure,
    'cold-start': gossiping.measure_cold_start,
    'split': gossiping.measure_split,
}


def main(
    args: abc.Sequence[str], env: environment.Environment
) -> status.ExitStatus:
    """Measure one part or all, and show the figures."""
    try:
        given = _build_parser().parse_args(args)
    except SystemExit as end:
        return status.ExitStatus(int(end.code or 0))
    for name in given.part or PARTS:
        began = clocks.SystemClock().read_wall()
        found = PARTS[name]()
        if given.json:
            env.stdout.write(_render_json(name, began, found))
        else:
            env.stdout.write(f'# {name}, {began:%Y-%m-%d %H:%M} UTC\n')
            env.stdout.write(figures.render_text(found))
        env.stdout.flush()
    return status.ExitStatus.SUCCESS


def _render_json(
    name: str, began: datetime.datetime, found: list[figures.Figure]
) -> str:
    """Return one line of JSON for a part."""
    shown = [each._asdict() for each in found]
    encoded = msgspec.json.encode(
        {'part': name, 'began': began, 'figures': shown}
    )
    return f'{encoded.decode()}\n'


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='python -m lavenderledge.capacity',
        description='Measure the slopes that docs/CAPACITY.md rests on.',
    )
    parser.add_argument(
        '--part',
        action='append',
        choices=tuple(PARTS),
        help='measure this part only; may be given more than once',
    )
    parser.add_argument(
        '--json', action='store_true', help='print a line of JSON a part'
    )
    return parser
