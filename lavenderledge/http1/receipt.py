"""The end of a connection whose peer may not have received all bytes.

A peer that crashes while it receives ends its connection in an orderly way,
and resets it when further bytes arrive. One that has finished with the
connection goes on reading until everything has arrived (RFC 9112, section
9.6).
"""

import array
import asyncio
import fcntl
import socket
import termios
import typing
from collections import abc

# How often the unacknowledged bytes are counted; a round trip takes as long.
_CHECK_INTERVAL_S: typing.Final = 0.005


def close_when_received(
    transport: asyncio.Transport, on_reset: abc.Callable[[], None]
) -> bool:
    """Close a connection that its peer has ended, once it has received all.

    Returns False if it has; then the caller closes the connection. Otherwise
    the connection stays open until the peer has received everything or resets
    it, and ``on_reset`` is called before a reset connection is aborted. A reset
    that the transport notices itself is reported by it alone.
    """
    if not _count_unreceived(transport):
        return False
    _check_later(transport, on_reset)
    return True


def _check_later(
    transport: asyncio.Transport, on_reset: abc.Callable[[], None]
) -> None:
    asyncio.get_running_loop().call_later(
        _CHECK_INTERVAL_S, _check, transport, on_reset
    )


def _check(
    transport: asyncio.Transport, on_reset: abc.Callable[[], None]
) -> None:
    if transport.is_closing():
        return
    raw_socket = transport.get_extra_info('socket')
    if raw_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        on_reset()
        transport.abort()
    elif _count_unreceived(transport):
        _check_later(transport, on_reset)
    else:
        transport.close()


def _count_unreceived(transport: asyncio.Transport) -> int:
    """Return the number of written bytes that are not acknowledged."""
    # On Linux, TIOCOUTQ of a socket is SIOCOUTQ: see tcp(7).
    unacknowledged = array.array('i', [0])
    descriptor = transport.get_extra_info('socket').fileno()
    fcntl.ioctl(descriptor, termios.TIOCOUTQ, unacknowledged)
    return transport.get_write_buffer_size() + unacknowledged[0]
