"""Serving a stand-in's application, in a process or inside a test."""

import argparse
import asyncio
import contextlib
import signal
import socket
import typing
from collections import abc

import uvicorn
from starlette import types

from lavenderledge import environment, status
from lavenderledge.standins import connection

PROGRAM = 'lavenderledge-standin'

_BACKLOG = 1024
_STOP_LIMIT_S = 1
_KEEP_ALIVE_S = 75
_POLL_S = 0.01

BuildApp: typing.TypeAlias = abc.Callable[[argparse.Namespace], types.ASGIApp]
Run: typing.TypeAlias = abc.Callable[
    [argparse.Namespace, environment.Environment], status.ExitStatus
]


class _Server(uvicorn.Server):
    """A server that leaves the process's signals alone."""

    @contextlib.contextmanager
    def capture_signals(self) -> abc.Generator[None, None, None]:
        yield


def bind(host: str, port: int) -> socket.socket:
    """Return a listening socket; port 0 takes a free one.

    Raises ``OSError`` where the address can't be had.
    """
    return socket.create_server((host, port), backlog=_BACKLOG)


def format_address(listener: socket.socket) -> str:
    """Return the HOST:PORT of a listening socket."""
    host, port = listener.getsockname()[:2]
    return f'{host}:{port}'


@contextlib.asynccontextmanager
async def serving(
    app: types.ASGIApp, listener: socket.socket | None = None
) -> abc.AsyncGenerator[str, None]:
    """Serve an application and give its HOST:PORT; stop on leaving."""
    listener = listener or bind('127.0.0.1', 0)
    address = format_address(listener)
    server = _Server(
        uvicorn.Config(
            connection.expose_transport(app),
            interface='asgi3',
            access_log=False,
            log_level='critical',
            proxy_headers=False,
            ws='none',
            timeout_graceful_shutdown=_STOP_LIMIT_S,
            timeout_keep_alive=_KEEP_ALIVE_S,
        )
    )
    serving_task = asyncio.create_task(server.serve(sockets=[listener]))
    while not server.started and not serving_task.done():
        await asyncio.sleep(_POLL_S)
    try:
        yield address
    finally:
        await _stop(server, serving_task)


def serve_until_stopped(build: BuildApp) -> Run:
    """Return what serves an application until SIGTERM or SIGINT.

    It tells the address on the standard output once it listens.
    """

    def run(
        args: argparse.Namespace, env: environment.Environment
    ) -> status.ExitStatus:
        try:
            listener = bind(*args.listen)
        except (OSError, OverflowError) as error:
            env.write_error(
                program=PROGRAM,
                message=f'cannot listen on {args.listen.host}: {error}',
            )
            return status.ExitStatus.ERROR
        asyncio.run(_run(build(args), listener, env.stdout))
        return status.ExitStatus.SUCCESS

    return run


async def _run(
    app: types.ASGIApp, listener: socket.socket, stdout: typing.TextIO
) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    async with serving(app, listener) as address:
        stdout.write(f'ready address={address}\n')
        stdout.flush()
        await stopping.wait()


async def _stop(
    server: uvicorn.Server, serving_task: asyncio.Task[None]
) -> None:
    server.should_exit = True
    for opened in list(server.server_state.connections):
        transport = getattr(opened, 'transport', None)
        if transport is not None:
            transport.abort()
    await serving_task
