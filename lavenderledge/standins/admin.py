"""The endpoints under ``/standin`` that every stand-in has.

Switches change how a stand-in behaves while it runs, the log is its ground
truth of what it did, and the counts tell how often each kind of call came.
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
    """A change of switches that is refused as a whole."""

    error: str


class Page(typing.TypedDict):
    """Some records of a log; ``next`` continues after them."""

    records: list[dict[str, object]]
    next: int


class Journal:
    """A log of named tuples, numbered from 1 in the order they came."""

    def __init__(self) -> None:
        """Start empty."""
        self._records: list[Record] = []

    def append(self, record: Record) -> None:
        """Add one record."""
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
        """Start with the switches' first values."""
        self.switches = switches
        self.journal = Journal()
        self.counts: collections.Counter[str] = collections.Counter()
        self._listeners: list[abc.Callable[[Switches], None]] = []

    def subscribe(self, listener: abc.Callable[[Switches], None]) -> None:
        """Call the listener with the switches after each change."""
        self._listeners.append(listener)

    def update(self, named: abc.Mapping[str, object]) -> SwitchError | None:
        """Set the named switches, or none of them where one is wrong."""
        before = typing.cast(typing.Any, self.switches)
        unknown = sorted(set(named) - set(before._fields))
        if unknown:
            return SwitchError(f'unknown switch: {unknown[0]}')
        merged = {**before._asdict(), **named}
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
        """Set one switch without telling the listeners."""
        switches = typing.cast(typing.Any, self.switches)
        self.switches = switches._replace(**{name: value})

    def consume(self, name: str) -> bool:
        """Use up one of a switch that counts down; false at zero."""
        left = getattr(self.switches, name)
        if left > 0:
            self.reset(name, left - 1)
        return bool(left > 0)


def reply(body: object, status: int = 200) -> responses.Response:
    """Return a JSON answer."""
    return responses.Response(
        msgspec.json.encode(body),
        status_code=status,
        media_type='application/json',
    )


def reply_health(body: object, *, is_healthy: bool) -> responses.Response:
    """Return a JSON answer with the status of a health check."""
    well, ill = http.HTTPStatus.OK, http.HTTPStatus.SERVICE_UNAVAILABLE
    return reply(body, well if is_healthy else ill)


async def read_object(request: requests.Request) -> dict[str, typing.Any]:
    """Return a request's JSON object; raises ``msgspec.MsgspecError``."""
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
    refused = controls.update(named)
    if refused is not None:
        return reply(refused._asdict(), _BAD_REQUEST)
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
