"""Renders a report as an SVG chart, with bars for each main measure."""

import typing
from collections import abc
from xml.sax import saxutils

from lavenderledge.load import report as reports

# Avoids a division by zero where all values are 0.
_MIN_VALUE = 1e-9

_WIDTH_PX = 760
_LABEL_PX = 180
_BAR_PX = 18
_GAP_PX = 12
_FONT = 'font-family="sans-serif" font-size="12"'
_COLOURS = ('#6a51a3', '#9e9ac8', '#bcbddc', '#74c476')
_SHOWN_SUFFIXES = (
    'goodput, tokens/s',
    'whole answer p99, ms',
    'first token p99, ms',
)
_SHOWN_NAMES = frozenset(('wasted prefill, tokens', 'share of weights'))


class _BarGroup(typing.NamedTuple):
    name: str
    values_by_label: dict[str, float]


def render_svg(report: reports.Report) -> str:
    """Return the chart as SVG; each group of bars has its own scale."""
    parts = []
    top = _GAP_PX
    for group in _select_groups(report):
        parts.append(_render_text(_GAP_PX, top + _BAR_PX, group.name))
        top += _BAR_PX + _GAP_PX // 2
        for index, (label, amount) in enumerate(group.values_by_label.items()):
            maximum = max(*group.values_by_label.values(), _MIN_VALUE)
            parts.append(_render_bar(top, index, label, amount, maximum))
            top += _BAR_PX
        top += _GAP_PX
    head = (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{_WIDTH_PX}" '
        f'height="{top}">'
    )
    return '\n'.join((head, *parts, '</svg>', ''))


def _select_groups(report: reports.Report) -> abc.Iterator[_BarGroup]:
    names: dict[str, None] = {}
    for measures in report.runs.values():
        names.update(dict.fromkeys(measures))
    for name in names:
        if name in _SHOWN_NAMES or name.endswith(_SHOWN_SUFFIXES):
            yield _BarGroup(
                name,
                {
                    label: measures[name]
                    for label, measures in report.runs.items()
                    if name in measures
                },
            )


def _render_bar(
    top: int, index: int, label: str, amount: float, maximum: float
) -> str:
    available_px = _WIDTH_PX - 2 * _LABEL_PX
    width_px = round(available_px * amount / maximum)
    colour = _COLOURS[index % len(_COLOURS)]
    baseline = top + _BAR_PX - _BAR_PX // 3
    return (
        f'{_render_text(2 * _GAP_PX, baseline, label)}'
        f'<rect x="{_LABEL_PX}" y="{top}" width="{width_px}" '
        f'height="{_BAR_PX - 2}" fill="{colour}"/>'
        f'{_render_text(_LABEL_PX + width_px + 4, baseline, _format(amount))}'
    )


def _format(amount: float) -> str:
    return reports.format_number(amount)


def _render_text(left: int, top: int, text: str) -> str:
    escaped = saxutils.escape(text)
    return f'<text x="{left}" y="{top}" {_FONT}>{escaped}</text>'
