"""Connection faults that ASGI messages cannot express."""

import asyncio
import contextlib
import functools
import typing
from collections import abc

from starlette import types

_TRANSPORT = 'lavenderledge.transport'


def expose_transport(app: types.ASGIApp) -> types.ASGIApp:
    """Wrap an application; each HTTP scope gets its connection's transport."""
    return functools.partial(_run_exposed, app)


def abort(scope: types.Scope) -> None:
    """Close a request's connection at once and discard unsent data."""
    typing.cast(asyncio.Transport, scope[_TRANSPORT]).abort()


async def wait_closed(receive: types.Receive) -> None:
    """Wait until the connection has closed."""
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            return


@contextlib.asynccontextmanager
async def calling_on_close(
    receive: types.Receive, callback: abc.Callable[[], None]
) -> abc.AsyncGenerator[asyncio.Task[None], None]:
    """Call ``callback`` when the connection closes; yield the waiting task."""
    closing = asyncio.create_task(wait_closed(receive))
    closing.add_done_callback(lambda done: callback())
    try:
        yield closing
    finally:
        closing.cancel()


async def drop(
    scope: types.Scope, receive: types.Receive, send: types.Send
) -> None:
    """Close the connection without a response."""
    abort(scope)
    await wait_closed(receive)


async def leave_unanswered(
    scope: types.Scope, receive: types.Receive, send: types.Send
) -> None:
    """Send no response and wait until the client closes the connection."""
    await wait_closed(receive)


async def _run_exposed(
    app: types.ASGIApp,
    scope: types.Scope,
    receive: types.Receive,
    send: types.Send,
) -> None:
    if scope['type'] == 'http':
        # Only uvicorn's request cycle, which owns send, has the transport.
        cycle = getattr(send, '__self__', None)
        scope[_TRANSPORT] = getattr(cycle, 'transport', None)
    await app(scope, receive, send)
