"""``lavenderledge trace``: one request's story out of instances' logs."""

import re
import typing
from collections import abc

from lavenderledge import logevents, status
from lavenderledge.cli import context

_PAIR: typing.Final = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
# Beliefs that changed so long before a request's end are shown with it, s.
_BEFORE_S: typing.Final = 5.0
_UNREADABLE: typing.Final = float(0)


class Line(typing.NamedTuple):
    """One line of a log, with where it came from."""

    source: str
    time_s: float
    fields: abc.Mapping[str, str]
    text: str

    @property
    def event(self) -> str:
        """Return the event's name."""
        return self.fields.get('event', '')


async def run_trace(given: context.Context) -> status.ExitStatus:
    """Print the request's lines and what its instances believed."""
    request_id = given.given.id
    lines: list[Line] = []
    for path in given.given.logs:
        try:
            with open(path, encoding='utf-8', errors='replace') as log:
                lines += read_lines(path, log)
        except OSError as error:
            given.env.write_error(
                program='lavenderledge', message=f'{path}: {error.strerror}'
            )
            return status.ExitStatus.ERROR
    story = tell_story(request_id, lines)
    for line in story:
        given.env.stdout.write(f'{line.source}: {line.text}\n')
    if not story:
        given.env.write_error(
            program='lavenderledge',
            message=f'no line tells of request {request_id}',
            hint='its connection may have failed before it was read',
        )
        return status.ExitStatus.ERROR
    return status.ExitStatus.SUCCESS


def read_lines(source: str, log: abc.Iterable[str]) -> abc.Iterator[Line]:
    """Yield a log's lines that have a time and an event."""
    for text in log:
        fields = {
            name: quoted.strip('"') for name, quoted in _PAIR.findall(text)
        }
        if 'event' in fields and 'time' in fields:
            yield Line(source, _read_time(fields['time']), fields, text.strip())


def tell_story(request_id: str, lines: abc.Iterable[Line]) -> list[Line]:
    """Return the request's lines, and the beliefs that changed before.

    Only changes at the instances that took part are given: the one that
    answered and the allocator that it asked.
    """
    known = sorted(lines, key=lambda line: line.time_s)
    own = [line for line in known if line.fields.get('id') == request_id]
    if not own:
        return []
    end_s = own[-1].time_s
    begin_s = own[0].time_s - _BEFORE_S
    sources = {line.source for line in own}
    allocators = {line.fields.get('allocator') for line in own}
    beliefs = [
        line
        for line in known
        if begin_s <= line.time_s <= end_s
        and line.event != logevents.REQUEST
        and (
            line.source in sources or line.fields.get('instance') in allocators
        )
    ]
    return sorted((*beliefs, *own), key=lambda line: line.time_s)


def _read_time(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        return _UNREADABLE
