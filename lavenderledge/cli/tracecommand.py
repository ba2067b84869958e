"""``lavenderledge trace``: log lines that concern one request."""

import re
import typing
from collections import abc

from lavenderledge import logevents, status
from lavenderledge.cli import context

_FIELD_PATTERN: typing.Final = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
# State changes are shown from this long before the request's first line, s.
_LOOKBACK_S: typing.Final = 5.0
_UNREADABLE_TIME_S: typing.Final = float(0)


class Line(typing.NamedTuple):
    """One line of a log, with the file it comes from."""

    source: str
    time_s: float
    fields: abc.Mapping[str, str]
    text: str

    @property
    def event(self) -> str:
        """Return the event's name."""
        return self.fields.get('event', '')


async def run_trace(ctx: context.Context) -> status.ExitStatus:
    """Print the request's log lines and state changes of its instances."""
    request_id = ctx.args.id
    lines: list[Line] = []
    for path in ctx.args.logs:
        try:
            with open(path, encoding='utf-8', errors='replace') as log:
                lines += read_lines(path, log)
        except OSError as error:
            ctx.env.write_error(
                program='lavenderledge', message=f'{path}: {error.strerror}'
            )
            return status.ExitStatus.ERROR
    selected = select_lines(request_id, lines)
    for line in selected:
        ctx.env.stdout.write(f'{line.source}: {line.text}\n')
    if not selected:
        ctx.env.write_error(
            program='lavenderledge',
            message=f'no log line has request id {request_id}',
            hint='the connection may have failed before the request was read',
        )
        return status.ExitStatus.ERROR
    return status.ExitStatus.SUCCESS


def read_lines(source: str, log: abc.Iterable[str]) -> abc.Iterator[Line]:
    """Yield the lines of a log that have a time and an event."""
    for text in log:
        fields = {
            name: quoted.strip('"')
            for name, quoted in _FIELD_PATTERN.findall(text)
        }
        if 'event' in fields and 'time' in fields:
            yield Line(source, _read_time(fields['time']), fields, text.strip())


def select_lines(request_id: str, lines: abc.Iterable[Line]) -> list[Line]:
    """Return the request's lines and preceding state changes, by time.

    Only changes at the instances involved are returned: the instance that
    answered and the allocator it requested a slot from.
    """
    ordered = sorted(lines, key=lambda line: line.time_s)
    own = [line for line in ordered if _names(line, request_id)]
    if not own:
        return []
    end_s = own[-1].time_s
    begin_s = own[0].time_s - _LOOKBACK_S
    sources = {line.source for line in own}
    allocators = {line.fields.get('allocator') for line in own}
    changes = [
        line
        for line in ordered
        if begin_s <= line.time_s <= end_s
        and line.event != logevents.REQUEST
        and not _names(line, request_id)
        and (
            line.source in sources or line.fields.get('instance') in allocators
        )
    ]
    return sorted((*changes, *own), key=lambda line: line.time_s)


def _names(line: Line, request_id: str) -> bool:
    """Return whether a line is about a request or one of its slots."""
    line_id = line.fields.get('id', '')
    return line_id == request_id or line_id.startswith(f'{request_id}/')


def _read_time(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        return _UNREADABLE_TIME_S
