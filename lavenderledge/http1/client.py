"""The calling side of HTTP/1.1: connections and the idle ones kept."""

import asyncio
import re
import socket
import typing
from collections import abc

import expression
import httptools

from lavenderledge import clock as clocks
from lavenderledge.http1 import messages

# Unanswered data ends a connection after this long, by the kernel.
_USER_TIMEOUT_MS: typing.Final = 5000
# Closed this long before the peer's own idle timeout, seconds.
_IDLE_MARGIN_S: typing.Final = 0.5
# Kept idle where the peer states no timeout, seconds.
_DEFAULT_IDLE_S: typing.Final = 2.0
_KEEP_ALIVE: typing.Final = re.compile(rb'timeout=(\d+)')


class ConnectFailure(typing.NamedTuple):
    """No connection could be opened; nothing was sent."""

    address: str
    detail: str


class Receiver(typing.Protocol):
    """Takes one response as it comes."""

    def accepts(self, head: messages.ResponseHead) -> bool:
        """Return whether a response is the one that is waited for."""

    def receive_head(self, head: messages.ResponseHead) -> None:
        """Take the head."""

    def receive_body(self, body: bytes) -> None:
        """Take a part of the body."""

    def receive_end(self, ending: messages.Ending) -> None:
        """Take the end; nothing comes after it."""


class Connection(asyncio.Protocol):
    """One connection, for one exchange at a time.

    A response that the receiver does not take is skipped, and the connection
    is then used no more; neither is one that brought bytes beyond a response.
    """

    def __init__(self, *, address: str, clock: clocks.Clock) -> None:
        """Stand for a connection to ``host:port``."""
        self.address = address
        self.idle_since_s = clock.read_monotonic()
        self.idle_timeout_s = _DEFAULT_IDLE_S
        self.on_lost: abc.Callable[[Connection], None] | None = None
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._parser: typing.Any = None
        self._receiver: Receiver | None = None
        self._fields = messages.Fields()
        self._until_close = False
        self._headed = False
        self._skipping = False
        self._tainted = False
        self._bodiless = False
        self._closes = False

    @property
    def is_open(self) -> bool:
        """Return whether the connection is there."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may be sent here."""
        if self._tainted or not self.is_open or self._receiver is not None:
            return False
        assert self._transport is not None
        return not self._transport.get_write_buffer_size()

    def is_expired(self, now_s: float) -> bool:
        """Return whether the peer may have closed or be closing it."""
        return now_s - self.idle_since_s >= self.idle_timeout_s

    def begin(
        self, request: bytes, receiver: Receiver, *, bodiless: bool = False
    ) -> None:
        """Send a request; ``bodiless`` says that no body will come."""
        assert self._transport is not None
        self._receiver = receiver
        self._parser = httptools.HttpResponseParser(self)
        self._headed = False
        self._skipping = False
        self._bodiless = bodiless
        self._transport.write(request)

    def set_reading(self, *, value: bool) -> None:
        """Pause or resume what comes from the peer."""
        if self._transport is None or self._transport.is_closing():
            return
        if value:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def abort(self) -> None:
        """Break the connection; the receiver is told nothing more."""
        self._receiver = None
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        plain = transport.get_extra_info('socket')
        plain.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange; an orderly close may be a response's end."""
        self._transport = None
        whole = exc is None and self._headed and self._until_close
        if whole and not self._skipping:
            self._end(messages.Ending.COMPLETE)
        else:
            self._end(messages.Ending.CLOSED)
        if self.on_lost is not None:
            self.on_lost(self)

    def data_received(self, data: bytes) -> None:
        """Parse what has come."""
        if self._receiver is None:
            self._taint()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._taint()
            self._end(messages.Ending.MALFORMED)

    def on_message_begin(self) -> None:
        """Begin a response; one that nobody waits for taints."""
        self._fields = messages.Fields()
        self._headed = False
        self._until_close = False
        if self._receiver is None:
            self._taint()

    def on_header(self, name: bytes, text: bytes | None) -> None:
        """Take a header."""
        self._fields.add(name, (text or b'').strip(b' \t'))

    def on_headers_complete(self) -> None:
        """Hand the head over, or skip a response of another request."""
        if self._receiver is None:
            return
        status = self._parser.get_status_code()
        if status < messages.OK:
            return
        head = messages.ResponseHead(status, self._fields, self._read_length())
        self._headed = True
        # The parser forgets this when the message is complete.
        self._closes = not self._parser.should_keep_alive()
        self._until_close = (
            head.length is None
            and self._fields.find(b'transfer-encoding') is None
        )
        self._skipping = not self._receiver.accepts(head)
        if self._skipping:
            self._tainted = True
            return
        self._note_keep_alive()
        self._receiver.receive_head(head)
        if self._bodiless:
            self._finish()
            self._taint()

    def on_body(self, body: bytes) -> None:
        """Hand a part of the body over."""
        if self._receiver is not None and not self._skipping:
            self._receiver.receive_body(body)

    def on_message_complete(self) -> None:
        """End the response that is waited for."""
        if self._headed and not self._skipping:
            self._finish()
        self._headed = False

    def _finish(self) -> None:
        self._tainted = self._tainted or self._closes
        self.idle_since_s = self._clock.read_monotonic()
        self._end(messages.Ending.COMPLETE)

    def _end(self, ending: messages.Ending) -> None:
        receiver = self._receiver
        self._receiver = None
        if receiver is not None:
            receiver.receive_end(ending)

    def _taint(self) -> None:
        self._tainted = True
        if self._transport is not None and self._receiver is None:
            self._transport.abort()

    def _read_length(self) -> int | None:
        text = self._fields.find(b'content-length')
        return int(text) if text is not None and text.isdigit() else None

    def _note_keep_alive(self) -> None:
        found = _KEEP_ALIVE.search(self._fields.find(b'keep-alive') or b'')
        if found is not None:
            self.idle_timeout_s = max(0, int(found.group(1)) - _IDLE_MARGIN_S)


class ConnectionPool:
    """Connections to many addresses, the idle ones kept for reuse."""

    def __init__(
        self, *, clock: clocks.Clock, count: abc.Callable[..., None]
    ) -> None:
        """Start empty; ``count`` is told of opened connections."""
        self._clock = clock
        self._count = count
        self._idle: dict[str, list[Connection]] = {}

    async def open(
        self, address: str, *, timeout_s: float, max_idle_s: float
    ) -> expression.Result[Connection, ConnectFailure]:
        """Return an idle connection of at most that age, or a new one."""
        found = self._take_idle(address, max_idle_s)
        if found is not None:
            return expression.Ok(found)
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, opened = await loop.create_connection(
                    lambda: Connection(address=address, clock=self._clock),
                    host,
                    int(port),
                )
        except (OSError, ValueError) as error:
            self._count('upstream_connections', outcome='failed')
            return expression.Error(ConnectFailure(address, repr(error)))
        self._count('upstream_connections', outcome='opened')
        opened.on_lost = self._forget
        return expression.Ok(opened)

    def release(self, connection: Connection) -> None:
        """Keep a connection for reuse, or close it."""
        if connection.is_reusable:
            self._idle.setdefault(connection.address, []).append(connection)
        else:
            connection.abort()

    def close_address(self, address: str) -> None:
        """Close the idle connections to an address."""
        for each in self._idle.pop(address, ()):
            each.abort()

    def close_expired(self) -> None:
        """Close the idle connections that have expired."""
        now_s = self._clock.read_monotonic()
        for kept in tuple(self._idle.values()):
            for each in tuple(kept):
                if each.is_expired(now_s):
                    each.abort()
                    kept.remove(each)

    def close(self) -> None:
        """Close every idle connection."""
        for address in tuple(self._idle):
            self.close_address(address)

    def _take_idle(self, address: str, max_idle_s: float) -> Connection | None:
        kept = self._idle.get(address)
        now_s = self._clock.read_monotonic()
        while kept:
            newest = kept[-1]
            if now_s - newest.idle_since_s > max_idle_s:
                return None
            kept.pop()
            if newest.is_reusable and not newest.is_expired(now_s):
                return newest
            newest.abort()
        return None

    def _forget(self, connection: Connection) -> None:
        kept = self._idle.get(connection.address)
        if kept is not None and connection in kept:
            kept.remove(connection)
