"""Listener for HTTP/1.1 connections, with limits for clients."""

import asyncio
import contextlib
import socket
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge.http1 import bounds as limits
from lavenderledge.http1 import heldbytes, messages, server, socketbuffers

# Connections that can wait to be accepted while the event loop is busy.
_BACKLOG: typing.Final = 1024
# How long a client may take to close its side after its last answer.
_LINGER_S: typing.Final = 5.0
# In a refusal for want of memory that is built without the request.
_RETRY_AFTER: typing.Final = (b'Retry-After', b'1')


class _FormerBounds(typing.NamedTuple):
    """Replaced bounds, and until when callers may still go by them."""

    bounds: limits.Bounds
    until_s: float


class Listener:
    """Accepts connections on one address and enforces their limits."""

    def __init__(
        self,
        *,
        handle: server.Handle,
        clock: clocks.Clock,
        bounds: limits.Bounds,
        note_fault: abc.Callable[[int], None],
        note_error: abc.Callable[[BaseException], None],
        account: heldbytes.Account | None = None,
        inspect: abc.Callable[[messages.Request], server.Inspection]
        | None = None,
    ) -> None:
        """Create a closed listener with its first bounds.

        ``account`` limits what its connections hold, and ``inspect`` gets the
        heads of requests that are refused or shed.
        """
        self.account = account or heldbytes.Account()
        self.inspect = inspect or _inspect_nothing
        self._bounds = bounds
        self._former: list[_FormerBounds] = []
        self.connections: set[server.Connection] = set()
        self.note_fault = note_fault
        self.note_error = note_error
        self._handle = handle
        self._clock = clock
        self._server: asyncio.Server | None = None
        self._draining = False

    @property
    def port(self) -> int:
        """Return the listening port, or 0 before ``listen``."""
        if self._server is None:
            return 0
        return int(self._server.sockets[0].getsockname()[1])

    @property
    def is_idle(self) -> bool:
        """Return whether all requests are answered, and the answers sent."""
        return all(connection.is_idle for connection in self.connections)

    async def listen(self, host: str, port: int) -> None:
        """Bind and accept connections.

        Raises OSError if the address can't be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, host, port, backlog=_BACKLOG
        )
        if self.account.is_limited:
            for listening in self._server.sockets:
                socketbuffers.limit_buffers(listening)

    def replace_bounds(self, new: limits.Bounds, *, overlap_s: float) -> None:
        """Set the bounds; callers may go by the former for ``overlap_s``."""
        if new == self._bounds:
            return
        until_s = self._clock.read_monotonic() + overlap_s
        self._former.append(_FormerBounds(self._bounds, until_s))
        self._bounds = new

    def find_bounds(self, since_s: float) -> limits.Bounds:
        """Return the bounds of a request or an idle time.

        A caller that began at ``since_s`` is held to no bound that is lower
        than those which it could go by.
        """
        found = self._bounds
        for former in self._former:
            if since_s < former.until_s:
                found = limits.merge(found, former.bounds)
        return found

    def drain(self) -> None:
        """Close each connection after the next answer that begins."""
        self._draining = True
        for connection in self.connections:
            connection.closing = True

    def close_idle(self, *, min_idle_s: float) -> None:
        """Close the connections without a request for at least that long.

        A new connection is idle until its request has been read.
        """
        now_s = self._clock.read_monotonic()
        for connection in tuple(self.connections):
            idle_s = now_s - connection.state_since_s
            if (
                connection.is_idle
                and idle_s >= min_idle_s
                and not connection.has_unread
            ):
                connection.close()

    async def stop_accepting(self) -> None:
        """Accept the connections that wait, and no further ones."""
        if self._server is None:
            return
        loop = asyncio.get_running_loop()
        accepted: list[socket.socket] = []
        for listening in self._server.sockets:
            accepted.extend(_take_waiting(listening.dup()))
        self._server.close()
        for connection in accepted:
            await loop.connect_accepted_socket(self._accept, connection)

    def enforce_timeouts(self) -> None:
        """Close idle connections and refuse slow requests at their timeouts."""
        now_s = self._clock.read_monotonic()
        for connection in tuple(self.connections):
            if self._is_over(connection, now_s):
                self._end(connection)
            else:
                connection.refresh()
        self._discard_former(now_s)

    def list_uploads(self) -> list[server.Connection]:
        """Return the connections that are reading a part of a request."""
        return [
            connection
            for connection in self.connections
            if connection.is_reading
        ]

    def stop(self) -> None:
        """Stop accepting and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            connection.close()

    def _is_over(self, connection: server.Connection, now_s: float) -> bool:
        age_s = now_s - connection.state_since_s
        if connection.has_ended:
            return age_s > _LINGER_S and not connection.has_unsent
        return self._is_timed_out(connection, age_s)

    def _end(self, connection: server.Connection) -> None:
        """Refuse a request that was not received in time, or close."""
        if connection.waits_for_memory:
            connection.refuse_upload('waited')
        elif connection.is_reading:
            self.note_fault(messages.REQUEST_TIMEOUT)
            connection.refuse(messages.REQUEST_TIMEOUT)
        else:
            connection.close()

    def _is_timed_out(
        self, connection: server.Connection, age_s: float
    ) -> bool:
        bounds = self.find_bounds(connection.state_since_s)
        timeout_s = (
            bounds.header_timeout_s
            if connection.is_reading
            else bounds.idle_timeout_s
        )
        is_waiting = connection.is_reading or connection.is_idle
        return is_waiting and age_s > timeout_s and not connection.has_unread

    def _discard_former(self, now_s: float) -> None:
        """Discard former bounds that no request or idle time began under."""
        oldest_s = min(
            (
                connection.state_since_s
                for connection in self.connections
                if connection.is_idle or connection.is_reading
            ),
            default=now_s,
        )
        self._former = [
            former
            for former in self._former
            if former.until_s > min(now_s, oldest_s)
        ]

    def _accept(self) -> server.Connection:
        connection = server.Connection(
            listener=self, handle=self._handle, clock=self._clock
        )
        connection.closing = self._draining
        return connection


def _inspect_nothing(request: messages.Request) -> server.Inspection:
    return server.Inspection(0, (_RETRY_AFTER,))


def _take_waiting(listening: socket.socket) -> list[socket.socket]:
    """Accept what waits at a socket, and close it in the same step."""
    accepted: list[socket.socket] = []
    listening.setblocking(False)
    with listening, contextlib.suppress(BlockingIOError, ConnectionError):
        for _ in range(_BACKLOG):
            connection, _address = listening.accept()
            connection.setblocking(False)
            accepted.append(connection)
    return accepted
