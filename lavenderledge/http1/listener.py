"""Listening for HTTP/1.1 connections, with bounds on what clients do."""

import asyncio
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge.http1 import bounds as limits
from lavenderledge.http1 import messages, server

# Connections that wait to be accepted while the loop is busy.
_BACKLOG: typing.Final = 1024


class Listener:
    """Accepts connections on one address and bounds them."""

    def __init__(
        self,
        *,
        handle: server.Handle,
        clock: clocks.Clock,
        bounds: limits.Bounds,
        note_fault: abc.Callable[[int], None],
        note_error: abc.Callable[[BaseException], None],
    ) -> None:
        """Accept nothing yet; ``bounds`` may be replaced at any time."""
        self.bounds = bounds
        self.connections: set[server.Connection] = set()
        self.note_fault = note_fault
        self.note_error = note_error
        self._handle = handle
        self._clock = clock
        self._server: asyncio.Server | None = None
        self._draining = False

    @property
    def port(self) -> int:
        """Return the port that is listened on, 0 before."""
        if self._server is None:
            return 0
        return int(self._server.sockets[0].getsockname()[1])

    @property
    def is_idle(self) -> bool:
        """Return whether no connection has a request."""
        return all(each.is_idle for each in self.connections)

    async def listen(self, host: str, port: int) -> None:
        """Bind and accept.

        Raises OSError where the address can't be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, host, port, backlog=_BACKLOG
        )

    def drain(self) -> None:
        """Have every further answer close its connection."""
        self._draining = True
        for each in self.connections:
            each.closing = True

    def close_idle(self) -> None:
        """Close the connections that have no request."""
        for each in tuple(self.connections):
            if each.is_idle:
                each.close()

    def enforce_timeouts(self) -> None:
        """Close what was idle too long, refuse what comes too slowly."""
        now_s = self._clock.read_monotonic()
        for each in tuple(self.connections):
            age_s = now_s - each.state_since_s
            if each.is_idle and age_s > self.bounds.idle_timeout_s:
                each.close()
            elif each.is_reading and age_s > self.bounds.header_timeout_s:
                self.note_fault(messages.REQUEST_TIMEOUT)
                each.refuse(messages.REQUEST_TIMEOUT)

    def stop(self) -> None:
        """Accept no more and close what is open."""
        if self._server is not None:
            self._server.close()
        for each in tuple(self.connections):
            each.close()

    def _accept(self) -> server.Connection:
        connection = server.Connection(
            listener=self, handle=self._handle, clock=self._clock
        )
        connection.closing = self._draining
        return connection
