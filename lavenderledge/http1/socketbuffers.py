"""The kernel's buffers of a socket: their size and what they hold.

Platforms may refuse these calls; then nothing is known of the buffers.
"""

import fcntl
import functools
import logging
import socket
import struct
import termios
import typing

from lavenderledge import logs

# The kernel would extend its buffers to megabytes for a slow reader.
_BUFFER_BYTES: typing.Final = 65_536
_COUNT_FORMAT: typing.Final = 'i'
_COUNT_BYTES: typing.Final = struct.calcsize(_COUNT_FORMAT)
_LOGGER = logging.getLogger(__name__)


def limit_buffers(raw_socket: socket.socket) -> None:
    """Bound the kernel's buffers of a socket, and of those it accepts."""
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        try:
            raw_socket.setsockopt(socket.SOL_SOCKET, option, _BUFFER_BYTES)
        except OSError as error:
            _warn_once('setsockopt', str(error))


def count_unread(raw_socket: socket.socket) -> int:
    """Return how many bytes a socket has received that were not read."""
    return _read_count(raw_socket, termios.FIONREAD)


def count_unacknowledged(raw_socket: socket.socket) -> int:
    """Return how many bytes the kernel holds until the peer has them."""
    # On Linux, TIOCOUTQ of a socket is SIOCOUTQ: see tcp(7).
    return _read_count(raw_socket, termios.TIOCOUTQ)


def _read_count(raw_socket: socket.socket, request: int) -> int:
    if raw_socket.fileno() < 0:
        return 0
    try:
        found = fcntl.ioctl(raw_socket.fileno(), request, bytes(_COUNT_BYTES))
    except OSError as error:
        _warn_once('ioctl', str(error))
        return 0
    return int(struct.unpack(_COUNT_FORMAT, found)[0])


@functools.cache
def _warn_once(call: str, detail: str) -> None:
    logs.write_event(
        _LOGGER,
        'socket_call_refused',
        level=logging.WARNING,
        call=call,
        detail=detail,
    )
