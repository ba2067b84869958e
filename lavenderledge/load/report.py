"""Tables of measures and targets, as text and as JSON."""

import typing
from collections import abc

import msgspec

from lavenderledge.load import summary, targets

_COLUMN_GAP = '  '


class Report(typing.NamedTuple):
    """The measures of one invocation.

    ``facts`` holds the scenario's settings, ``runs`` the measures by label.
    """

    facts: dict[str, str | int | float]
    runs: dict[str, summary.Measures]
    targets: list[targets.Target]


def render_text(report: Report) -> str:
    """Return the report as aligned tables."""
    facts = ' '.join(f'{name}={fact}' for name, fact in report.facts.items())
    parts = [facts, '', *render_runs(report.runs)]
    if report.targets:
        parts.extend(('', *_render_targets(report.targets)))
    return '\n'.join((*parts, ''))


def render_json(report: Report) -> bytes:
    """Return the report as a JSON document."""
    return msgspec.json.format(
        msgspec.json.encode(
            {
                'facts': report.facts,
                'runs': report.runs,
                'targets': [target._asdict() for target in report.targets],
            }
        )
    )


def render_runs(runs: abc.Mapping[str, summary.Measures]) -> list[str]:
    """Return the lines of a table with one line per measure."""
    names: dict[str, None] = {}
    for measures in runs.values():
        names.update(dict.fromkeys(measures))
    lines = [['measure', *runs]]
    for name in names:
        cells = [
            format_number(measures.get(name)) for measures in runs.values()
        ]
        lines.append([name, *cells])
    return _align(lines)


def format_number(number: float | None) -> str:
    """Return a number with about three significant digits; a dash for None."""
    if number is None:
        return '-'
    if float(number).is_integer():
        return f'{number:.0f}'
    if abs(number) >= 100:
        return f'{number:.0f}'
    return f'{number:.3g}' if abs(number) < 10 else f'{number:.1f}'


def _render_targets(checked_targets: abc.Iterable[targets.Target]) -> list[str]:
    lines = [['target', 'bound', 'measured', '']]
    lines.extend(
        [
            target.name,
            target.bound,
            format_number(target.measured),
            'met' if target.met else 'MISSED',
        ]
        for target in checked_targets
    )
    return _align(lines)


def _align(lines: abc.Sequence[abc.Sequence[str]]) -> list[str]:
    """Return lines with the first column left-aligned, the others right."""
    columns = list(zip(*lines, strict=True))
    widths = [max(map(len, column)) for column in columns]
    return [
        _COLUMN_GAP.join(
            (
                line[0].ljust(widths[0]),
                *(
                    cell.rjust(width)
                    for cell, width in zip(line[1:], widths[1:], strict=True)
                ),
            )
        ).rstrip()
        for line in lines
    ]
