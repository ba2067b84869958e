"""Servers for stand-in applications, as a process or inside a test."""

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
_STOP_TIMEOUT_S = 1
_KEEP_ALIVE_S = 75
_POLL_S = 0.01

BuildApp: typing.TypeAlias = abc.Callable[[argparse.Namespace], types.ASGIApp]
Run: typing.TypeAlias = abc.Callable[
    [argparse.Namespace, environment.Environment], status.ExitStatus
]


class _Server(uvicorn.Server):
    """A server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self) -> abc.Generator[None, None, None]:
        yield


def bind(host: str, port: int) -> socket.socket:
    """Return a listening socket; port 0 picks a free port.

    Raises ``OSError`` if the address cannot be bound.
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
    """Serve an application and yield its HOST:PORT; stop on exit."""
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
            timeout_graceful_shutdown=_STOP_TIMEOUT_S,
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
    """Return a function that serves an application until SIGTERM or SIGINT.

    It writes the address to standard output as soon as it listens.
    """

    def run(
        args: argparse.Namespace, env: environment.Environment
    ) -> status.ExitStatus:
        try:
            listener = bind(*args.listen)
        except (OSError, OverflowError) as error:
            env.write_error(
                program=PROGRAM,
                message=f'cannot listen on {args.listen.host}:'
                f'{args.listen.port}: {error}',
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
    for connected in list(server.server_state.connections):
        transport = getattr(connected, 'transport', None)
        if transport is not None:
            transport.abort()
    await serving_task
