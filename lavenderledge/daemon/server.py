"""HTTP servers on sockets that are already bound."""

import contextlib
import socket
import typing
from collections import abc

import expression
import uvicorn
from starlette import types

from lavenderledge.daemon import formats, protocol

_BACKLOG = 2048
_KEEP_ALIVE_S = 30


class ListenFailure(typing.NamedTuple):
    """An address could not be bound."""

    address: formats.Address
    detail: str


class Server(uvicorn.Server):
    """A server that leaves signal handling to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> abc.Generator[None, None, None]:
        """Install no signal handlers."""
        yield


def bind_socket(
    address: formats.Address,
) -> 'expression.Result[socket.socket, ListenFailure]':
    """Return a listening socket."""
    try:
        return expression.Ok(
            socket.create_server((address.host, address.port), backlog=_BACKLOG)
        )
    except OSError as error:
        return expression.Error(ListenFailure(address, str(error)))


def read_address(bound: socket.socket) -> str:
    """Return a bound socket's ``host:port``."""
    host, port = bound.getsockname()[:2]
    return f'{host}:{port}'


def build_server(application: types.ASGIApp) -> Server:
    """Return a server for an application, not yet started."""
    return Server(
        uvicorn.Config(
            application,
            http=protocol.Protocol,
            log_config=None,
            access_log=False,
            lifespan='off',
            server_header=False,
            timeout_keep_alive=_KEEP_ALIVE_S,
        )
    )
