"""A plot of one report as SVG: a row of bars for each main measure."""

import typing
from collections import abc
from xml.sax import saxutils

from lavenderledge.load import report

# Keeps a length of zero from dividing.
_TINY = 1e-9

_WIDTH_PX = 760
_LABEL_PX = 180
_BAR_PX = 18
_GAP_PX = 12
_FONT = 'font-family="sans-serif" font-size="12"'
_COLOURS = ('#6a51a3', '#9e9ac8', '#bcbddc', '#74c476')
_SUFFIXES = ('goodput, tokens/s', 'whole answer p99, ms', 'first token p99, ms')
_EXACT = frozenset(('wasted prefill, tokens', 'share of weights'))


class _Bars(typing.NamedTuple):
    name: str
    sizes: dict[str, float]


def render_svg(found: report.Report) -> str:
    """Return the plot; every row of bars has a scale of its own."""
    parts = []
    top = _GAP_PX
    for bars in _select_bars(found):
        parts.append(_render_text(_GAP_PX, top + _BAR_PX, bars.name))
        top += _BAR_PX + _GAP_PX // 2
        for place, (label, size) in enumerate(bars.sizes.items()):
            most = max(*bars.sizes.values(), _TINY)
            parts.append(_render_bar(top, place, label, size, most))
            top += _BAR_PX
        top += _GAP_PX
    head = (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{_WIDTH_PX}" '
        f'height="{top}">'
    )
    return '\n'.join((head, *parts, '</svg>', ''))


def _select_bars(found: report.Report) -> abc.Iterator[_Bars]:
    names: dict[str, None] = {}
    for measures in found.runs.values():
        names.update(dict.fromkeys(measures))
    for name in names:
        if name in _EXACT or name.endswith(_SUFFIXES):
            yield _Bars(
                name,
                {
                    label: measures[name]
                    for label, measures in found.runs.items()
                    if name in measures
                },
            )


def _render_bar(
    top: int, place: int, label: str, size: float, most: float
) -> str:
    room = _WIDTH_PX - 2 * _LABEL_PX
    width = round(room * size / most)
    colour = _COLOURS[place % len(_COLOURS)]
    middle = top + _BAR_PX - _BAR_PX // 3
    return (
        f'{_render_text(2 * _GAP_PX, middle, label)}'
        f'<rect x="{_LABEL_PX}" y="{top}" width="{width}" '
        f'height="{_BAR_PX - 2}" fill="{colour}"/>'
        f'{_render_text(_LABEL_PX + width + 4, middle, _write(size))}'
    )


def _write(size: float) -> str:
    return report.format_number(size)


def _render_text(left: int, top: int, text: str) -> str:
    escaped = saxutils.escape(text)
    return f'<text x="{left}" y="{top}" {_FONT}>{escaped}</text>'
