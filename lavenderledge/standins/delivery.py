"""The connections on which the engine stand-in sends its responses.

A silenced connection delivers nothing more. The engine treats it as open
even after the client has closed it, as with a network partition, where
neither end sees the other.
"""

import contextlib
import sys
from collections import abc

import msgspec
from starlette import types

from lavenderledge.standins import connection, engines, generations

_STREAM_HEADERS = (
    (b'content-type', b'text/event-stream'),
    (b'cache-control', b'no-cache'),
)
_JSON_HEADERS = ((b'content-type', b'application/json'),)


def build_event_stream(
    engine: engines.Engine,
    generation: generations.Generation,
    *,
    first_event: int = 0,
    silent: bool = False,
) -> types.ASGIApp:
    """Return an ASGI app that streams events from ``first_event`` on."""

    async def respond(
        scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        async with _listening(engine, generation, receive, silent) as listener:
            if not listener.silent:
                await _send_head(send, _STREAM_HEADERS)
                await _send_events(
                    engine, generation, listener, send, first_event
                )
            await _close(scope, listener)

    return respond


def build_json_response(
    engine: engines.Engine,
    generation: generations.Generation,
    *,
    silent: bool = False,
) -> types.ASGIApp:
    """Return an ASGI app that sends the complete response as JSON."""

    async def respond(
        scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        async with _listening(engine, generation, receive, silent) as listener:
            while not generation.sequence.ended and not _is_stopped(listener):
                await listener.wait()
            if not _is_stopped(listener):
                await _send_head(send, _JSON_HEADERS)
                body = msgspec.json.encode(generation.build_response())
                await _send_body(send, body, more=False)
            await _close(scope, listener)

    return respond


@contextlib.asynccontextmanager
async def _listening(
    engine: engines.Engine,
    generation: generations.Generation,
    receive: types.Receive,
    silent: bool,
) -> abc.AsyncGenerator[generations.Listener, None]:
    listener = generations.Listener(silent=silent)
    engine.attach(generation, listener)
    async with connection.calling_on_close(receive, listener.close):
        try:
            yield listener
        finally:
            if not listener.silent:
                engine.detach(generation, listener)


async def _send_events(
    engine: engines.Engine,
    generation: generations.Generation,
    listener: generations.Listener,
    send: types.Send,
    first_event: int,
) -> None:
    next_event = first_event
    while not _is_stopped(listener):
        max_events = engine.controls.switches.cut_after_events or sys.maxsize
        end = min(generation.last_event + 1, first_event + max_events)
        if next_event < end:
            body = b''.join(map(generation.render, range(next_event, end)))
            await _send_body(send, body, more=True)
            next_event = end
        if generation.sequence.ended and next_event > generation.last_event:
            await _send_body(send, b'', more=False)
            return
        if next_event - first_event >= max_events:
            listener.cut = True
            return
        await listener.wait()


async def _send_body(send: types.Send, body: bytes, *, more: bool) -> None:
    await send({'type': 'http.response.body', 'body': body, 'more_body': more})


async def _send_head(
    send: types.Send, headers: abc.Iterable[tuple[bytes, bytes]]
) -> None:
    await send(
        {
            'type': 'http.response.start',
            'status': 200,
            'headers': list(headers),
        }
    )


async def _close(scope: types.Scope, listener: generations.Listener) -> None:
    if listener.cut and not listener.silent:
        connection.abort(scope)
    while _is_stopped(listener) and not listener.closed:
        await listener.wait()


def _is_stopped(listener: generations.Listener) -> bool:
    return listener.silent or listener.cut or listener.closed
