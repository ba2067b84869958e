"""Faults of a connection that no ASGI message can express."""

import asyncio
import typing

from starlette import types

_TRANSPORT = 'lavenderledge.transport'


def expose_transport(app: types.ASGIApp) -> types.ASGIApp:
    """Give an application the transport of each connection it answers on."""

    async def handle(
        scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        if scope['type'] == 'http':
            cycle = getattr(send, '__self__', None)
            scope[_TRANSPORT] = getattr(cycle, 'transport', None)
        await app(scope, receive, send)

    return handle


def abort(scope: types.Scope) -> None:
    """Close a request's connection at once, whatever was still to be sent."""
    typing.cast(asyncio.Transport, scope[_TRANSPORT]).abort()


async def wait_closed(receive: types.Receive) -> None:
    """Return when the connection has closed."""
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            return


async def drop(
    scope: types.Scope, receive: types.Receive, send: types.Send
) -> None:
    """Close the connection without an answer."""
    abort(scope)
    await wait_closed(receive)


async def keep_silent(
    scope: types.Scope, receive: types.Receive, send: types.Send
) -> None:
    """Leave the connection open without an answer until it closes."""
    await wait_closed(receive)
