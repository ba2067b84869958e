"""The endpoints under ``/standin`` that every stand-in serves.

Switches change the behaviour of a running stand-in, the log records what it
did, and the counts give the number of calls of each kind.
"""

import collections
import functools
import http
import typing
from collections import abc

import msgspec
from starlette import requests, responses, routing

_BAD_REQUEST = 400

Switches = typing.TypeVar('Switches', bound=tuple)
Record: typing.TypeAlias = typing.Any


class SwitchError(typing.NamedTuple):
    """A rejected change of switches; none of it was applied."""

    error: str


class Page(typing.TypedDict):
    """A page of log records; pass ``next`` to read the following page."""

    records: list[dict[str, object]]
    next: int


class Journal:
    """A log of named tuples, numbered from 1 in order of arrival."""

    def __init__(self) -> None:
        """Create an empty log."""
        self._records: list[Record] = []

    def append(self, record: Record) -> None:
        """Append one record."""
        self._records.append(record)

    def read(self, after: int = 0) -> Page:
        """Return the records whose number is greater than ``after``."""
        return {
            'records': [
                {'number': number, **record._asdict()}
                for number, record in enumerate(
                    self._records[after:], start=after + 1
                )
            ],
            'next': len(self._records),
        }


class Controls(typing.Generic[Switches]):
    """The switches, log and counts of one stand-in."""

    def __init__(self, *, switches: Switches) -> None:
        """Set the initial switches."""
        self.switches = switches
        self.journal = Journal()
        self.counts: collections.Counter[str] = collections.Counter()
        self._listeners: list[abc.Callable[[Switches], None]] = []

    def subscribe(self, listener: abc.Callable[[Switches], None]) -> None:
        """Call the listener with the new switches after each update."""
        self._listeners.append(listener)

    def update(self, named: abc.Mapping[str, object]) -> SwitchError | None:
        """Set the named switches; on an error set none and return it."""
        current = typing.cast(typing.Any, self.switches)
        unknown = sorted(set(named) - set(current._fields))
        if unknown:
            return SwitchError(f'unknown switch: {unknown[0]}')
        merged = {**current._asdict(), **named}
        try:
            self.switches = msgspec.convert(
                list(merged.values()), type(self.switches)
            )
        except msgspec.ValidationError as error:
            return SwitchError(str(error))
        for listener in self._listeners:
            listener(self.switches)
        return None

    def reset(self, name: str, value: object) -> None:
        """Set one switch without calling the listeners."""
        switches = typing.cast(typing.Any, self.switches)
        self.switches = switches._replace(**{name: value})

    def consume(self, name: str) -> bool:
        """Decrement a counting switch; return false if it was zero."""
        remaining = getattr(self.switches, name)
        if remaining > 0:
            self.reset(name, remaining - 1)
        return bool(remaining > 0)


def reply(body: object, status: int = 200) -> responses.Response:
    """Return a JSON response."""
    return responses.Response(
        msgspec.json.encode(body),
        status_code=status,
        media_type='application/json',
    )


def reply_health(body: object, *, is_healthy: bool) -> responses.Response:
    """Return a JSON health response: status 200 if healthy, else 503."""
    ok, unavailable = http.HTTPStatus.OK, http.HTTPStatus.SERVICE_UNAVAILABLE
    return reply(body, ok if is_healthy else unavailable)


async def read_object(request: requests.Request) -> dict[str, typing.Any]:
    """Return the JSON object in the body; raises ``msgspec.MsgspecError``."""
    return msgspec.json.decode(await request.body(), type=dict[str, typing.Any])


def list_routes(controls: Controls[typing.Any]) -> list[routing.BaseRoute]:
    """Return the routes under ``/standin``."""
    return [
        route('GET', '/standin/switches', _show_switches, controls),
        route('POST', '/standin/switches', _change_switches, controls),
        route('GET', '/standin/log', _show_log, controls),
        route('GET', '/standin/counts', _show_counts, controls),
    ]


def route(
    method: str,
    path: str,
    endpoint: abc.Callable[..., typing.Any],
    *bound: object,
) -> routing.Route:
    """Return a route to ``endpoint(*bound, request)``."""
    return routing.Route(
        path, functools.partial(endpoint, *bound), methods=[method]
    )


async def _show_switches(
    controls: Controls[typing.Any], request: requests.Request
) -> responses.Response:
    return reply(controls.switches._asdict())


async def _change_switches(
    controls: Controls[typing.Any], request: requests.Request
) -> responses.Response:
    try:
        named = await read_object(request)
    except msgspec.MsgspecError as error:
        return reply(SwitchError(str(error))._asdict(), _BAD_REQUEST)
    switch_error = controls.update(named)
    if switch_error is not None:
        return reply(switch_error._asdict(), _BAD_REQUEST)
    return reply(controls.switches._asdict())


async def _show_log(
    controls: Controls[typing.Any], request: requests.Request
) -> responses.Response:
    after = request.query_params.get('after', '0')
    if not after.isdecimal():
        return reply({'error': 'after is not a number'}, _BAD_REQUEST)
    return reply(controls.journal.read(int(after)))


async def _show_counts(
    controls: Controls[typing.Any], request: requests.Request
) -> responses.Response:
    return reply(controls.counts)
