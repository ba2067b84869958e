"""The end of a connection whose peer may not have received all bytes.

A peer that crashes while it receives ends its connection in an orderly way,
and resets it when further bytes arrive. One that has finished with the
connection goes on reading until everything has arrived (RFC 9112, section
9.6).
"""

import asyncio
import socket
import typing
from collections import abc

from lavenderledge.http1 import socketbuffers

# How often the unacknowledged bytes are counted; a round trip takes as long.
_CHECK_INTERVAL_S: typing.Final = 0.005
# A peer that takes nothing for this long is gone: the kernel ends connections
# to upstreams after the same time.
_MAX_STILL_S: typing.Final = 5.0
_MAX_STILL_CHECKS: typing.Final = round(_MAX_STILL_S / _CHECK_INTERVAL_S)


def _count_none() -> int:
    return 0


class _Receipt:
    """Waits until the peer of a connection has received all bytes."""

    def __init__(
        self,
        *,
        transport: asyncio.Transport,
        on_reset: abc.Callable[[], None],
        count_unwritten: abc.Callable[[], int],
    ) -> None:
        self._transport = transport
        self._on_reset = on_reset
        self._count_unwritten = count_unwritten
        self._last_count = 0
        self._still_checks = 0

    def count(self) -> int:
        """Return how many bytes the peer has not acknowledged."""
        return (
            self._count_unwritten()
            + self._transport.get_write_buffer_size()
            + socketbuffers.count_unacknowledged(
                self._transport.get_extra_info('socket')
            )
        )

    def check_later(self) -> None:
        asyncio.get_running_loop().call_later(_CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        if self._transport.is_closing():
            return
        unreceived = self.count()
        is_still = unreceived == self._last_count
        self._still_checks = self._still_checks + 1 if is_still else 0
        self._last_count = unreceived
        raw_socket = self._transport.get_extra_info('socket')
        is_reset = raw_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if is_reset or self._still_checks > _MAX_STILL_CHECKS:
            self._on_reset()
            self._transport.abort()
        elif unreceived:
            self.check_later()
        else:
            self._transport.close()


def close_when_received(
    transport: asyncio.Transport,
    on_reset: abc.Callable[[], None],
    *,
    count_unwritten: abc.Callable[[], int] = _count_none,
) -> bool:
    """Close a connection that its peer has ended, once it has received all.

    ``count_unwritten`` returns the bytes that are still to be written to the
    transport. Returns False if the peer has received all; then the caller
    closes the connection. Otherwise the connection stays open until the peer
    has received everything, resets it, or takes nothing for five seconds, and
    ``on_reset`` is called before the connection is aborted. A reset that the
    transport notices itself is reported by it alone.
    """
    receipt = _Receipt(
        transport=transport,
        on_reset=on_reset,
        count_unwritten=count_unwritten,
    )
    if not receipt.count():
        return False
    receipt.check_later()
    return True
