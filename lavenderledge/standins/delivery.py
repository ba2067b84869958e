"""The connections on which the engine stand-in delivers its answers.

A connection that has been silenced delivers nothing more, and the engine
takes it for open even when the other end has gone, since neither end sees
the other any longer.
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


def stream(
    served: engines.Engine,
    made: generations.Generation,
    *,
    first: int = 0,
    silent: bool = False,
) -> types.ASGIApp:
    """Return an answer that streams a request's events from a number on."""

    async def respond(
        scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        async with _listening(served, made, receive, silent) as listener:
            if not listener.silent:
                await _start(send, _STREAM_HEADERS)
                await _send_events(served, made, listener, send, first)
            await _end(scope, listener)

    return respond


def answer(
    served: engines.Engine,
    made: generations.Generation,
    *,
    silent: bool = False,
) -> types.ASGIApp:
    """Return an answer that gives the whole response at its end."""

    async def respond(
        scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        async with _listening(served, made, receive, silent) as listener:
            while not made.sequence.ended and not _is_over(listener):
                await listener.wait()
            if not _is_over(listener):
                await _start(send, _JSON_HEADERS)
                body = msgspec.json.encode(made.build_response())
                await _send_body(send, body, more=False)
            await _end(scope, listener)

    return respond


@contextlib.asynccontextmanager
async def _listening(
    served: engines.Engine,
    made: generations.Generation,
    receive: types.Receive,
    silent: bool,
) -> abc.AsyncGenerator[generations.Listener, None]:
    listener = generations.Listener(silent=silent)
    served.attach(made, listener)
    async with connection.calling_on_close(receive, listener.close):
        try:
            yield listener
        finally:
            if not listener.silent:
                served.detach(made, listener)


async def _send_events(
    served: engines.Engine,
    made: generations.Generation,
    listener: generations.Listener,
    send: types.Send,
    first: int,
) -> None:
    following = first
    while not _is_over(listener):
        limit = served.controls.switches.cut_after_events or sys.maxsize
        end = min(made.last_event + 1, first + limit)
        if following < end:
            body = b''.join(map(made.render, range(following, end)))
            await _send_body(send, body, more=True)
            following = end
        if made.sequence.ended and following > made.last_event:
            await _send_body(send, b'', more=False)
            return
        if following - first >= limit:
            listener.cut = True
            return
        await listener.wait()


async def _send_body(send: types.Send, body: bytes, *, more: bool) -> None:
    await send({'type': 'http.response.body', 'body': body, 'more_body': more})


async def _start(
    send: types.Send, headers: abc.Iterable[tuple[bytes, bytes]]
) -> None:
    await send(
        {
            'type': 'http.response.start',
            'status': 200,
            'headers': list(headers),
        }
    )


async def _end(scope: types.Scope, listener: generations.Listener) -> None:
    if listener.cut and not listener.silent:
        connection.abort(scope)
    while _is_over(listener) and not listener.closed:
        await listener.wait()


def _is_over(listener: generations.Listener) -> bool:
    return listener.silent or listener.cut or listener.closed
