"""Streams the events of a watch on the key-value service."""

import asyncio
import contextlib
import datetime
import http
import typing
from collections import abc

import aiohttp
import expression
import msgspec

from lavenderledge.registry import gateway, operations, schemas, watchevents

CONNECT_TIMEOUT = datetime.timedelta(seconds=2)
MAX_LINE_BYTES = 8_000_000

Event: typing.TypeAlias = expression.Result[
    watchevents.WatchEvent,
    operations.Failure,
]
Events: typing.TypeAlias = abc.AsyncGenerator[Event, None]


def build_request(key: str, start_revision: int) -> gateway.Json:
    """Return the request that watches one key from a revision on."""
    return {
        'create_request': {
            'key': key.encode(),
            'start_revision': str(start_revision),
            'progress_notify': True,
        },
    }


async def stream_events(
    session: aiohttp.ClientSession,
    url: str,
    request: gateway.Json,
    idle_timeout: datetime.timedelta,
) -> Events:
    """Yield the events of one watch, and its failure last."""
    lines = _stream_lines(session, url, request, idle_timeout)
    async with contextlib.aclosing(lines):
        while True:
            line = await _read_next(lines)
            events = line.bind(_read_line)
            if events.is_error():
                yield expression.Error(events.error)
                return
            for event in events.ok:
                yield expression.Ok(event)


async def _read_next(
    lines: abc.AsyncGenerator[bytes, None],
) -> expression.Result[bytes, operations.Failure]:
    try:
        return expression.Ok(await anext(lines))
    except StopAsyncIteration:
        return expression.Error(operations.Unavailable('watch stream ended'))
    except asyncio.TimeoutError:
        return expression.Error(
            operations.Unavailable('connect or idle timeout expired')
        )
    except (aiohttp.ClientError, OSError) as error:
        return expression.Error(operations.Unavailable(repr(error)))


async def _stream_lines(
    session: aiohttp.ClientSession,
    url: str,
    request: gateway.Json,
    idle_timeout: datetime.timedelta,
) -> abc.AsyncGenerator[bytes, None]:
    async with session.post(
        url,
        data=msgspec.json.encode(request),
        headers={'Content-Type': 'application/json'},
        timeout=aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT.total_seconds(),
            sock_read=idle_timeout.total_seconds(),
        ),
        allow_redirects=False,
    ) as response:
        if response.status != http.HTTPStatus.OK:
            return
        pending = b''
        async for chunk in response.content.iter_any():
            *complete, pending = (pending + chunk).split(b'\n')
            for line in complete:
                if line.strip():
                    yield line
            if len(pending) > MAX_LINE_BYTES:
                return


def _read_line(
    line: bytes,
) -> expression.Result[list[watchevents.WatchEvent], operations.Failure]:
    answer = gateway.decode(line, schemas.WatchAnswer)
    return answer.bind(_read_answer)


def _read_answer(
    answer: schemas.WatchAnswer,
) -> expression.Result[list[watchevents.WatchEvent], operations.Failure]:
    watched = answer.get('result')
    if watched is None:
        return expression.Error(
            operations.Malformed('watch message has no result')
        )
    if watched.get('canceled'):
        reason = watched.get('cancel_reason', 'watch was canceled')
        return expression.Error(
            operations.Rejected(http.HTTPStatus.OK, reason),
        )
    return expression.Ok(gateway.read_events(watched))
