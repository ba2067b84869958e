"""The command line of the capacity measurements."""

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
    """The figures of one part, and the time its measurement began."""

    part: str
    began: datetime.datetime
    found: list[figures.Figure]


class _FigureFields(typing.TypedDict):
    name: str
    median: float


class _PartLine(typing.TypedDict):
    part: str
    began: datetime.datetime
    found: list[_FigureFields]


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
    """Measure the given parts, or compute the design costs, and print them."""
    try:
        arguments = _build_parser().parse_args(args)
    except SystemExit as end:
        return status.ExitStatus(int(end.code or 0))
    render = _render_json if arguments.json else _render_text
    if arguments.work_out is not None:
        return _show_design_costs(arguments.work_out, render, env)
    for name in arguments.part or PARTS:
        began = clocks.SystemClock().read_wall()
        _write(render(Part(name, began, PARTS[name]())), env)
    return status.ExitStatus.SUCCESS


def _show_design_costs(
    path: str,
    render: abc.Callable[[Part], str],
    env: environment.Environment,
) -> status.ExitStatus:
    """Print the costs at the design size, from the slopes in a file."""
    try:
        found = design.compute_figures(_read_slopes(path))
    except (OSError, msgspec.MsgspecError, KeyError) as error:
        env.write_error(
            program=PROGRAM,
            message=f'cannot read slopes from {path}: {error!r}',
            hint='FILE must hold the output of --json for all parts',
        )
        return status.ExitStatus.ERROR
    began = clocks.SystemClock().read_wall()
    _write(render(Part('design', began, found)), env)
    return status.ExitStatus.SUCCESS


def _read_slopes(path: str) -> dict[str, float]:
    lines = pathlib.Path(path).read_bytes().splitlines()
    parts = [msgspec.json.decode(line, type=_PartLine) for line in lines]
    return {
        figure['name']: figure['median']
        for part in parts
        for figure in part['found']
    }


def _write(text: str, env: environment.Environment) -> None:
    env.stdout.write(text)
    env.stdout.flush()


def _render_text(part: Part) -> str:
    text = figures.render_text(part.found)
    return f'# {part.part}, {part.began:%Y-%m-%d %H:%M} UTC\n{text}'


def _render_json(part: Part) -> str:
    """Return one line of JSON."""
    found = [figure._asdict() for figure in part.found]
    encoded = msgspec.json.encode({**part._asdict(), 'found': found})
    return f'{encoded.decode()}\n'


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog=PROGRAM,
        description='Measure the slopes behind docs/CAPACITY.md.',
    )
    parser.add_argument(
        '--part',
        action='append',
        choices=tuple(PARTS),
        help='measure this part only; may be given more than once',
    )
    parser.add_argument(
        '--json', action='store_true', help='print a JSON line for each part'
    )
    parser.add_argument(
        '--work-out',
        metavar='FILE',
        help='compute the costs at the design size from the slopes in FILE',
    )
    return parser
