"""The main function of the capacity measurements."""

import argparse
import datetime
import pathlib
import typing
from collections import abc

import msgspec

from lavenderledge import clock as clocks
from lavenderledge import environment, status
from lavenderledge.capacity import (
    allocatorcosts,
    claimcommits,
    design,
    figures,
    gossipcosts,
    idlelinks,
    logline,
    peermessages,
    relaycosts,
    requestercosts,
    tables,
)

PROGRAM: typing.Final = 'python -m lavenderledge.capacity'

Measure: typing.TypeAlias = abc.Callable[[], list[figures.Figure]]


class Part(typing.NamedTuple):
    """The figures of one part, and when their measuring began."""

    part: str
    began: datetime.datetime
    found: list[figures.Figure]


class _Fields(typing.TypedDict):
    name: str
    median: float


class _Line(typing.TypedDict):
    part: str
    began: datetime.datetime
    found: list[_Fields]


PARTS: typing.Final[dict[str, Measure]] = {
    'peers': peermessages.measure,
    'links': idlelinks.measure,
    'allocator': allocatorcosts.measure,
    'admission': requestercosts.measure,
    'table': tables.measure_table,
    'list': tables.measure_list,
    'claims': claimcommits.measure,
    'log': logline.measure,
    'relay': relaycosts.measure,
    'membership': gossipcosts.measure,
    'cold-start': gossipcosts.measure_cold_start,
    'split': gossipcosts.measure_split,
}


def main(
    args: abc.Sequence[str], env: environment.Environment
) -> status.ExitStatus:
    """Measure one part or all, or work the design out, and show figures."""
    try:
        given = _build_parser().parse_args(args)
    except SystemExit as end:
        return status.ExitStatus(int(end.code or 0))
    render = _render_json if given.json else _render_text
    if given.work_out is not None:
        return _work_out(given.work_out, render, env)
    for name in given.part or PARTS:
        began = clocks.SystemClock().read_wall()
        _write(render(Part(name, began, PARTS[name]())), env)
    return status.ExitStatus.SUCCESS


def _work_out(
    path: str,
    render: abc.Callable[[Part], str],
    env: environment.Environment,
) -> status.ExitStatus:
    """Show the costs at the design size, from the slopes in a file."""
    try:
        found = design.work_out(_read_slopes(path))
    except (OSError, msgspec.MsgspecError, KeyError) as error:
        env.write_error(
            program=PROGRAM,
            message=f'{path}: {error!r}',
            hint='the file is what --json prints of every part',
        )
        return status.ExitStatus.ERROR
    began = clocks.SystemClock().read_wall()
    _write(render(Part('design', began, found)), env)
    return status.ExitStatus.SUCCESS


def _read_slopes(path: str) -> dict[str, float]:
    lines = pathlib.Path(path).read_bytes().splitlines()
    parts = [msgspec.json.decode(line, type=_Line) for line in lines]
    return {
        each['name']: each['median'] for part in parts for each in part['found']
    }


def _write(text: str, env: environment.Environment) -> None:
    env.stdout.write(text)
    env.stdout.flush()


def _render_text(part: Part) -> str:
    shown = figures.render_text(part.found)
    return f'# {part.part}, {part.began:%Y-%m-%d %H:%M} UTC\n{shown}'


def _render_json(part: Part) -> str:
    """Return one line of JSON."""
    found = [each._asdict() for each in part.found]
    encoded = msgspec.json.encode({**part._asdict(), 'found': found})
    return f'{encoded.decode()}\n'


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog=PROGRAM,
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
    parser.add_argument(
        '--work-out',
        metavar='FILE',
        help='measure nothing, show the costs at the design size from FILE',
    )
    return parser
