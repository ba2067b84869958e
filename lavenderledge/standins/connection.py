"""Faults of a connection that no ASGI message can express."""

import asyncio
import contextlib
import functools
import typing
from collections import abc

from starlette import types

_TRANSPORT = 'lavenderledge.transport'


def expose_transport(app: types.ASGIApp) -> types.ASGIApp:
    """Give an application the transport of each connection it answers on."""
    return functools.partial(_run_exposed, app)


def abort(scope: types.Scope) -> None:
    """Close a request's connection at once, whatever was still to be sent."""
    typing.cast(asyncio.Transport, scope[_TRANSPORT]).abort()


async def wait_closed(receive: types.Receive) -> None:
    """Return when the connection has closed."""
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            return


@contextlib.asynccontextmanager
async def calling_on_close(
    receive: types.Receive, callback: abc.Callable[[], None]
) -> abc.AsyncGenerator[asyncio.Task[None], None]:
    """Call ``notice`` once the connection has closed, and give that task."""
    closing = asyncio.create_task(wait_closed(receive))
    closing.add_done_callback(lambda done: callback())
    try:
        yield closing
    finally:
        closing.cancel()


async def drop(
    scope: types.Scope, receive: types.Receive, send: types.Send
) -> None:
    """Close the connection without an answer."""
    abort(scope)
    await wait_closed(receive)


async def leave_unanswered(
    scope: types.Scope, receive: types.Receive, send: types.Send
) -> None:
    """Leave the connection open without an answer until it closes."""
    await wait_closed(receive)


async def _run_exposed(
    app: types.ASGIApp,
    scope: types.Scope,
    receive: types.Receive,
    send: types.Send,
) -> None:
    if scope['type'] == 'http':
        # The server's request cycle alone knows the transport.
        cycle = getattr(send, '__self__', None)
        scope[_TRANSPORT] = getattr(cycle, 'transport', None)
    await app(scope, receive, send)
