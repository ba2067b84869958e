"""HTTP/1.1 client: connections and a pool of idle connections."""

import array
import asyncio
import re
import socket
import typing
from collections import abc

import expression
import httptools

from lavenderledge import clock as clocks
from lavenderledge.http1 import (
    bounds,
    heldbytes,
    messages,
    receipt,
    socketbuffers,
)

# The kernel ends a connection when data is unacknowledged for this long.
_USER_TIMEOUT_MS: typing.Final = 5000
# An idle connection is closed this long before the peer's idle timeout.
_IDLE_MARGIN_S: typing.Final = 0.5
# Idle timeout if the peer sends no Keep-Alive timeout.
_DEFAULT_IDLE_TIMEOUT_S: typing.Final = 2.0
# Maximum size of all that a peer sends apart from the body of the response that
# is waited for.
_MAX_UNUSED_BYTES: typing.Final = 262_144
# How many requests with an id are sent on a connection.
_MAX_IDENTIFIED_REQUESTS: typing.Final = 256
# A body is written in parts of this size if memory is limited.
_PART_BYTES: typing.Final = 131_072
_NOTHING: typing.Final = memoryview(b'')
_KEEP_ALIVE: typing.Final = re.compile(rb'timeout=(\d+)')


class ConnectFailure(typing.NamedTuple):
    """No connection was opened; nothing was sent."""

    address: str
    detail: str


class Receiver(typing.Protocol):
    """Receives one response as it arrives."""

    def accepts(self, head: messages.ResponseHead) -> bool:
        """Return whether the response belongs to the request."""

    def receive_head(self, head: messages.ResponseHead) -> None:
        """Receive the head."""

    def receive_body(self, body: bytes) -> None:
        """Receive a part of the body."""

    def receive_end(self, ending: messages.Ending) -> None:
        """Receive the end; nothing follows it."""


class Connection(asyncio.Protocol):
    """One connection, for one exchange at a time.

    A response that the receiver does not accept is skipped, and the connection
    is not reused. Nor is a connection that sent bytes beyond a response. It is
    not reused for a request whose id was sent on it before: a copy of the
    earlier response could not be told from the new one. Trailers are discarded,
    and a response with too much framing is malformed.
    """

    def __init__(
        self,
        *,
        address: str,
        clock: clocks.Clock,
        account: heldbytes.Account | None = None,
    ) -> None:
        """Create a connection to ``host:port`` that is not open yet.

        ``account`` is charged with what is not yet sent.
        """
        self.address = address
        self.idle_since_s = clock.read_monotonic()
        self.idle_timeout_s = _DEFAULT_IDLE_TIMEOUT_S
        self.on_lost: abc.Callable[[Connection], None] | None = None
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._parser: typing.Any = None
        self._receiver: Receiver | None = None
        self._fields = messages.Fields()
        self._until_close = False
        self._head_received = False
        self._skipping = False
        self._unused_bytes = 0
        # Parts of the body in the bytes that are being parsed.
        self._parts: list[bytes] = []
        self._not_reusable = False
        self._bodiless = False
        self._peer_closes = False
        # Hashes of the ids, which may collide: that costs a connection.
        self._sent_ids = array.array('q')
        self._account = account or heldbytes.Account()
        self._unwritten = _NOTHING
        self._charge = self._account.open()
        self.was_used = False

    @property
    def is_open(self) -> bool:
        """Return whether the connection is open."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may be sent on this connection."""
        if self._not_reusable or not self.is_open or self._receiver is not None:
            return False
        assert self._transport is not None
        return not self._unwritten and (
            not self._transport.get_write_buffer_size()
        )

    def is_expired(self, now_s: float) -> bool:
        """Return whether the peer may have reached its idle timeout."""
        return now_s - self.idle_since_s >= self.idle_timeout_s

    def has_sent(self, request_id: str) -> bool:
        """Return whether a request with this id was sent here before."""
        return hash(request_id) in self._sent_ids

    def begin(
        self,
        request: bytes,
        receiver: Receiver,
        *,
        request_id: str | None = None,
        bodiless: bool = False,
        body: bytes = b'',
    ) -> None:
        """Send a request; ``bodiless`` means a response without a body.

        ``request_id`` is what its response names, None if it names nothing.
        ``body`` is the end of ``request``; it is held by the caller, and not
        copied if memory is limited.
        """
        assert self._transport is not None
        self.was_used = True
        if request_id is not None:
            self._note_sent(request_id)
        self._receiver = receiver
        self._parser = httptools.HttpResponseParser(self)
        self._head_received = False
        self._skipping = False
        self._unused_bytes = 0
        self._bodiless = bodiless
        if self._account.is_limited and len(body) > _PART_BYTES:
            self._unwritten = memoryview(body)
            self._transport.write(request[: -len(body)])
            self._write_on()
        else:
            self._transport.write(request)
            self._update_charge()

    def resume_writing(self) -> None:
        """Write the next part, and release what has been sent.

        Not at once: the transport is called back while it handles a write, and
        can't be closed then.
        """
        if self._unwritten:
            asyncio.get_running_loop().call_soon(self._write_on)
        else:
            self._update_charge()

    def set_reading(self, *, value: bool) -> None:
        """Resume or pause reading from the peer."""
        if self._transport is None or self._transport.is_closing():
            return
        if value:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def prevent_reuse(self) -> None:
        """Send no further request on this connection."""
        self._not_reusable = True

    def abort(self) -> None:
        """Abort the connection; the receiver is not called again."""
        self._receiver = None
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the kernel timeout."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        raw_socket = transport.get_extra_info('socket')
        raw_socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS
        )
        if self._account.is_limited:
            socketbuffers.limit_buffers(raw_socket)
            # ``resume_writing`` is called once everything has been sent.
            transport.set_write_buffer_limits(high=0)

    def eof_received(self) -> bool:
        """Return whether the connection stays open for the request's rest.

        A response that ends with the connection is complete only if the peer
        receives the whole request: one that crashes resets the connection.
        """
        if self._transport is None or not self._is_ended_by_close:
            return False
        return receipt.close_when_received(
            self._transport,
            lambda: self._end(messages.Ending.RESET),
            count_unwritten=lambda: len(self._unwritten),
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange; an orderly close may complete a response."""
        self._transport = None
        is_ended = self._is_ended_by_close and not self._unwritten
        self._unwritten = _NOTHING
        self._charge.close()
        if exc is None and is_ended:
            self._end(messages.Ending.COMPLETE)
        elif exc is None:
            self._end(messages.Ending.CLOSED)
        else:
            self._end(messages.Ending.RESET)
        if self.on_lost is not None:
            self.on_lost(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._receiver is None:
            self._prevent_reuse()
            return
        self._unused_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._prevent_reuse()
            self._pass_body_on()
            self._end(messages.Ending.MALFORMED)
            return
        self._pass_body_on()
        self._check_unused()

    def on_message_begin(self) -> None:
        """Begin a response; an unexpected one prevents reuse."""
        self._fields = messages.Fields()
        self._head_received = False
        self._until_close = False
        if self._receiver is None:
            self._prevent_reuse()

    def on_header(self, name: bytes, text: bytes | None) -> None:
        """Store a header field, and no trailer."""
        if not self._head_received:
            self._fields.add(name, (text or b'').strip(b' \t'))

    def on_headers_complete(self) -> None:
        """Pass the head on, or skip a response to another request."""
        if self._receiver is None:
            return
        status = self._parser.get_status_code()
        if not messages.is_valid_status(status):
            self._end(messages.Ending.MALFORMED)
            self._prevent_reuse()
            return
        if status < messages.OK:
            return
        head = messages.ResponseHead(status, self._fields, self._read_length())
        self._head_received = True
        # The parser no longer has this when the message is complete.
        self._peer_closes = not self._parser.should_keep_alive()
        self._until_close = not head.is_framed
        self._skipping = not self._receiver.accepts(head)
        if self._skipping:
            self._not_reusable = True
            return
        self._note_keep_alive()
        self._receiver.receive_head(head)
        if self._bodiless:
            self._finish()
            self._prevent_reuse()

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body until it is passed on with others."""
        if self._receiver is not None and not self._skipping:
            self._parts.append(body)

    def on_message_complete(self) -> None:
        """End an accepted response."""
        if self._head_received and not self._skipping:
            self._pass_body_on()
            self._finish()
        self._head_received = False

    @property
    def _is_ended_by_close(self) -> bool:
        """Return whether an orderly close completes the response."""
        is_unframed = self._head_received and self._until_close
        return self._receiver is not None and is_unframed and not self._skipping

    def _write_on(self) -> None:
        while self._unwritten and self._can_write:
            assert self._transport is not None
            self._transport.write(self._unwritten[:_PART_BYTES])
            if self._transport.is_closing():
                # The write has failed.
                break
            self._unwritten = self._unwritten[_PART_BYTES:]
        self._update_charge()

    @property
    def _can_write(self) -> bool:
        """Return whether everything that was written has been sent."""
        if self._transport is None or self._transport.is_closing():
            return False
        return not self._transport.get_write_buffer_size()

    def _update_charge(self) -> None:
        if self._transport is not None:
            unsent_bytes = self._transport.get_write_buffer_size()
            self._charge.replace(unsent_bytes, 0)

    def _note_sent(self, request_id: str) -> None:
        self._sent_ids.append(hash(request_id))
        if len(self._sent_ids) >= _MAX_IDENTIFIED_REQUESTS:
            self._not_reusable = True

    def _pass_body_on(self) -> None:
        """Pass on the parts of the body that were received together.

        A receiver's work for each call would add up for small chunks.
        """
        if not self._parts:
            return
        body = b''.join(self._parts)
        used_bytes = len(body) + len(self._parts) * bounds.CHUNK_FRAMING_BYTES
        self._unused_bytes = max(0, self._unused_bytes - used_bytes)
        self._parts.clear()
        if self._receiver is not None:
            self._receiver.receive_body(body)

    def _finish(self) -> None:
        self._not_reusable = self._not_reusable or self._peer_closes
        self.idle_since_s = self._clock.read_monotonic()
        self._end(messages.Ending.COMPLETE)

    def _check_unused(self) -> None:
        """End the exchange if the peer sends too much that is no body."""
        if self._receiver is None:
            return
        if self._unused_bytes > _MAX_UNUSED_BYTES:
            self._end(messages.Ending.MALFORMED)
            self._prevent_reuse()

    def _end(self, ending: messages.Ending) -> None:
        receiver = self._receiver
        self._receiver = None
        if receiver is not None:
            receiver.receive_end(ending)

    def _prevent_reuse(self) -> None:
        self._not_reusable = True
        if self._transport is not None and self._receiver is None:
            self._transport.abort()

    def _read_length(self) -> int | None:
        text = self._fields.find(b'content-length')
        return int(text) if text is not None and text.isdigit() else None

    def _note_keep_alive(self) -> None:
        match = _KEEP_ALIVE.search(self._fields.find(b'keep-alive') or b'')
        if match is not None:
            self.idle_timeout_s = max(0, int(match.group(1)) - _IDLE_MARGIN_S)


class ConnectionPool:
    """Opens connections and keeps idle ones for reuse, by address."""

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        count: abc.Callable[..., None],
        account: heldbytes.Account | None = None,
    ) -> None:
        """Start empty; ``count`` counts attempts to open a connection.

        ``account`` is charged with what connections hold.
        """
        self._clock = clock
        self._account = account
        self._count = count
        self._idle: dict[str, list[Connection]] = {}

    async def open(
        self,
        address: str,
        *,
        timeout_s: float,
        max_idle_s: float,
        request_id: str | None = None,
    ) -> expression.Result[Connection, ConnectFailure]:
        """Return a connection idle for at most ``max_idle_s``, or a new one.

        No request with ``request_id`` was sent on it before.
        """
        idle = self._take_idle(address, max_idle_s, request_id)
        if idle is not None:
            return expression.Ok(idle)
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: Connection(
                        address=address,
                        clock=self._clock,
                        account=self._account,
                    ),
                    host,
                    int(port),
                )
        except (OSError, ValueError, OverflowError) as error:
            self._count('upstream_connections', outcome='failed')
            return expression.Error(ConnectFailure(address, repr(error)))
        self._count('upstream_connections', outcome='opened')
        connection.on_lost = self._remove_idle
        return expression.Ok(connection)

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        if connection.is_reusable:
            # The caller of the last response may have been slow to read it.
            connection.set_reading(value=True)
            self._idle.setdefault(connection.address, []).append(connection)
        else:
            connection.abort()

    def close_address(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.abort()

    def close_expired(self) -> None:
        """Close the idle connections that have expired."""
        now_s = self._clock.read_monotonic()
        for idle in tuple(self._idle.values()):
            for connection in tuple(idle):
                if connection.is_expired(now_s):
                    connection.abort()
                    idle.remove(connection)

    def close(self) -> None:
        """Close every idle connection."""
        for address in tuple(self._idle):
            self.close_address(address)

    def _take_idle(
        self, address: str, max_idle_s: float, request_id: str | None
    ) -> Connection | None:
        """Take a connection out of the pool; close one that is passed over.

        A new one takes its place: the peer may accept no more of them.
        """
        idle = self._idle.get(address, [])
        now_s = self._clock.read_monotonic()
        passed_over: Connection | None = None
        for index in reversed(range(len(idle))):
            connection = idle[index]
            if now_s - connection.idle_since_s > max_idle_s:
                break
            if request_id is not None and connection.has_sent(request_id):
                passed_over = connection
                continue
            idle.pop(index)
            if connection.is_reusable and not connection.is_expired(now_s):
                return connection
            connection.abort()
        if passed_over is not None:
            self._count('upstream_connections', outcome='passed_over')
            idle.remove(passed_over)
            passed_over.abort()
        return None

    def _remove_idle(self, connection: Connection) -> None:
        idle = self._idle.get(connection.address)
        if idle is not None and connection in idle:
            idle.remove(connection)
