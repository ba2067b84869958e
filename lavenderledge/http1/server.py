"""HTTP/1.1 server: one protocol object for each connection."""

import asyncio
import collections
import functools
import select
import socket
import struct
import typing
from collections import abc

import httptools

from lavenderledge import clock as clocks
from lavenderledge.http1 import bounds, heldbytes, messages, socketbuffers
from lavenderledge.policy import memorybudget

# Buffered writes beyond this pause the producer of the answer, so that a
# client that does not read holds little memory. asyncio's default is 64 KiB.
_HIGH_WATER_BYTES: typing.Final = 65536
# Limit of the request target, which ``header_bytes`` does not count.
_MAX_TARGET_BYTES: typing.Final = 8192
# Values of SO_LINGER: a socket that is closed is reset, or is closed in order.
_RESET_ON_CLOSE: typing.Final = struct.pack('ii', 1, 0)
_ORDERLY_CLOSE: typing.Final = struct.pack('ii', 0, 0)
# Complete requests of one client that wait for the answer to another one. The
# answer to the last of them ends the connection if there are more.
_MAX_WAITING_REQUESTS: typing.Final = 32
_CONTINUE: typing.Final = b'HTTP/1.1 100 Continue\r\n\r\n'
# The rank of a request whose head has not been read: below all others.
_UNKNOWN_RANK: typing.Final = 1000


class Reply:
    """Sends the answer to one request."""

    __slots__ = ('_bodiless', '_chunked', '_connection', 'ended', 'started')

    def __init__(self, connection: 'Connection', *, bodiless: bool) -> None:
        """Answer the request that ``connection`` has read.

        ``bodiless`` means that only the head is sent, as for HEAD.
        """
        self._connection = connection
        self._bodiless = bodiless
        self._chunked = False
        self.started = False
        self.ended = False

    @property
    def is_behind_another(self) -> bool:
        """Return whether an earlier answer is still being sent."""
        return self._connection.has_unsent_answer

    @property
    def held_bytes(self) -> int:
        """Return how much is held for the connection."""
        return self._connection.charge.size_bytes

    def hold(self, added_bytes: int) -> None:
        """Add to what is held for the answer; negative if it is released."""
        if not self.ended:
            self._connection.hold(added_bytes)

    def watch_writable(self, notify: abc.Callable[[bool], None]) -> None:
        """Call ``notify`` when writing must pause or may resume."""
        self._connection.notify_writable = notify
        if self._connection.is_ahead:
            notify(False)

    def send(
        self, status: int, fields: abc.Iterable[messages.Header], body: bytes
    ) -> None:
        """Send a complete answer."""
        self.start(status, fields, length=len(body))
        self.write(body)
        self.finish()

    def start(
        self,
        status: int,
        fields: abc.Iterable[messages.Header],
        *,
        length: int | None,
    ) -> None:
        """Send the head.

        Without ``length`` the body is chunked, or ends with the connection of
        a client that does not know chunks.
        """
        connection = self._connection
        self.started = True
        framing = self._choose_framing(length)
        if framing is messages.Framing.CLOSE and not self._bodiless:
            connection.begin_unframed()
        connection.is_end_announced = connection.closing
        self._chunked = framing is messages.Framing.CHUNKED
        connection.write(
            messages.format_head(
                status,
                fields,
                framing=framing,
                length=length,
                close=connection.closing,
            )
        )

    def write(self, body: bytes) -> None:
        """Send a part of the body."""
        if not body or self._bodiless:
            return
        if self._chunked:
            body = b'%x\r\n%b\r\n' % (len(body), body)
        self._connection.write(body)

    def finish(self) -> None:
        """Complete the answer."""
        if self._chunked:
            self._connection.write(b'0\r\n\r\n')
        self.ended = True
        self._connection.end_exchange()

    def abort(self) -> None:
        """Abort the connection, so that the answer is seen as incomplete."""
        self.ended = True
        self._connection.abort()

    def _choose_framing(self, length: int | None) -> messages.Framing:
        if length is not None:
            return messages.Framing.LENGTH
        if self._bodiless or not self._connection.knows_chunks:
            return messages.Framing.CLOSE
        return messages.Framing.CHUNKED


Handle: typing.TypeAlias = abc.Callable[
    [messages.Request, Reply], abc.Coroutine[typing.Any, typing.Any, None]
]


class _Received(typing.NamedTuple):
    """A complete request, and what its client expects of the connection."""

    request: messages.Request
    is_last: bool
    knows_chunks: bool
    size_bytes: int


class Inspection(typing.NamedTuple):
    """What the head of a request tells: its rank, 0 being the highest.

    ``fields`` are those of a refusal for want of memory.
    """

    rank: int
    fields: abc.Sequence[messages.Header]


class Owner(typing.Protocol):
    """The listener of a connection: its limits and its callbacks."""

    connections: 'set[Connection]'
    account: heldbytes.Account
    inspect: abc.Callable[[messages.Request], Inspection]
    note_fault: abc.Callable[[int], None]
    note_error: abc.Callable[[BaseException], None]

    def find_bounds(self, since_s: float) -> bounds.Bounds:
        """Return the bounds of a request that began at ``since_s``."""


class Connection(asyncio.Protocol):
    """Handles one request at a time in a task.

    The task is cancelled when the client disconnects. Further requests, and
    bytes that arrive meanwhile, wait until the answer has been sent.
    """

    def __init__(
        self, *, listener: Owner, handle: Handle, clock: clocks.Clock
    ) -> None:
        """Create a connection of a listener, which has its bounds.

        ``closing`` means that the next answer announces the end. ``is_ahead``
        means that more is unsent than memory allows.
        """
        self._listener = listener
        self._handle = handle
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._fields = messages.Fields()
        self._target = b''
        self._body = bytearray()
        self._size = 0
        self._framing_bytes = 0
        self._fed_bytes = 0
        self._part_count = 0
        self._head_received = False
        self._task: asyncio.Task[None] | None = None
        self._pending = b''
        self._reading = False
        self._fault = 0
        self._received: collections.deque[_Received] = collections.deque()
        self._is_partial = False
        self._is_last = False
        self._is_chunks_known = True
        self._must_continue = False
        self._has_ended = False
        self._has_left = False
        self._is_unframed = False
        self._account = listener.account
        self._queued_bytes = 0
        self._running_bytes = 0
        self._kernel_bytes = 0
        self._waits = False
        self._waits_since_s = float(0)
        self._refused: messages.Request | None = None
        self.charge = self._account.open()
        self.state_since_s = clock.read_monotonic()
        self.closing = False
        self.is_end_announced = False
        self.knows_chunks = True
        self.is_ahead = False
        self.has_unsent_answer = False
        self.notify_writable: abc.Callable[[bool], None] | None = None

    @property
    def is_idle(self) -> bool:
        """Return whether no request is read or handled, and no answer sent."""
        return self._task is None and not self._reading and not self.has_unsent

    @property
    def has_ended(self) -> bool:
        """Return whether the last answer was given; nothing more is read."""
        return self._has_ended

    @property
    def has_unsent(self) -> bool:
        """Return whether a part of an answer waits to be sent."""
        return (
            self._transport is not None
            and self._transport.get_write_buffer_size() > 0
        )

    @property
    def has_unread(self) -> bool:
        """Return whether bytes have arrived that the event loop did not read.

        So it is after the loop was blocked or the process suspended.
        """
        if self._transport is None or self._waits:
            return False
        poll = select.poll()
        poll.register(
            self._transport.get_extra_info('socket').fileno(), select.POLLIN
        )
        return bool(poll.poll(0))

    @property
    def is_reading(self) -> bool:
        """Return whether a part of a request has been received."""
        return self._task is None and self._reading

    @property
    def waits_for_memory(self) -> bool:
        """Return whether an upload is not read on for want of memory."""
        return self._waits

    @property
    def missing_bytes(self) -> int:
        """Return how much of the body has not been read, at most."""
        declared_bytes = self._find_declared()
        if declared_bytes is None:
            declared_bytes = self._bounds.body_bytes
        return max(1, declared_bytes - len(self._body))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of an accepted connection.

        With a limit on memory, the account tells how much may be unsent.
        """
        assert isinstance(transport, asyncio.Transport)
        transport.set_write_buffer_limits(
            high=0 if self._account.is_limited else _HIGH_WATER_BYTES
        )
        self._transport = transport
        self._listener.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request of a client that has disconnected."""
        self._listener.connections.discard(self)
        self._account.leave(self)
        self.charge.close()
        if self._is_unframed and exc is None and self._task is None:
            # Not earlier: until now, buffered bytes may have been unsent.
            self._set_linger(_ORDERLY_CLOSE)
        self._transport = None
        self.notify_writable = None
        # The parser and the connection refer to each other, so that it may be
        # long until they are collected.
        self._body = bytearray()
        self._pending = b''
        self._received.clear()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Cancel the request; return whether its client gets an error first.

        A client that has left can't be told from one that half-closes.
        """
        self._has_left = True
        if self._task is None:
            return False
        self._task.cancel()
        return True

    def pause_writing(self) -> None:
        """Notify the producer to pause."""
        if not self._account.is_limited:
            self._set_writable(value=False)

    def resume_writing(self) -> None:
        """Notify the producer to resume; without one, idle time begins."""
        self.has_unsent_answer = self.has_unsent_answer and self.has_unsent
        if self._task is None and not self._reading:
            self.state_since_s = self._clock.read_monotonic()
        if self._account.is_limited:
            self._note_unsent()
        else:
            self._set_writable(value=True)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, one request at a time."""
        if self._has_ended:
            return
        if self._task is not None:
            self._pending += data
            if len(self._pending) > self._bounds.header_bytes:
                self._pause()
            self._update_charge()
            return
        if not self._reading:
            self._reading = True
            self.state_since_s = self._clock.read_monotonic()
        self._feed(data)

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._is_partial = True
        self._fields = messages.Fields()
        self._target = b''
        self._body = bytearray()
        self._size = 0
        self._head_received = False

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url
        if len(self._target) > _MAX_TARGET_BYTES:
            self._fault = self._fault or messages.HEADERS_TOO_LARGE

    def on_header(self, name: bytes, text: bytes | None) -> None:
        """Store a header field, and no trailer."""
        if self._head_received:
            return
        text = text or b''
        self._size += len(name) + len(text) + 4
        if self._size > self._bounds.header_bytes:
            self._fault = self._fault or messages.HEADERS_TOO_LARGE
            return
        self._fields.add(name, text.strip(b' \t'))

    def on_headers_complete(self) -> None:
        """Refuse ambiguous framing before the body is read."""
        self._head_received = True
        # The parser no longer has this when the message is complete.
        self._is_last = not self._parser.should_keep_alive()
        self._is_chunks_known = self._parser.get_http_version() != '1.0'
        if self._fault:
            # An earlier request in the same bytes is refused.
            return
        if (
            not is_framing_unambiguous(self._fields)
            or self._parser.should_upgrade()
        ):
            self._fault = messages.BAD_REQUEST
        elif not self._account.fits(self._find_declared()):
            # Nothing of the body is kept.
            self._fault = messages.UNAVAILABLE
            self._refused = self._build_request(b'')
            self._account.note_refusal('body', self._find_declared() or 0)
        elif self._fields.find(b'expect'):
            self._must_continue = True

    def on_body(self, body: bytes) -> None:
        """Append a part of the body; ``_feed`` then checks its size."""
        if self._fault == messages.UNAVAILABLE:
            return
        self._body += body
        self._part_count += 1

    def on_message_complete(self) -> None:
        """Keep the request; ``_feed`` then handles it."""
        self._is_partial = False
        self._must_continue = False
        # What follows in the same bytes belongs to another request.
        self._framing_bytes = 0
        self._fed_bytes = 0
        self._part_count = 0
        self._check_sizes()
        if self._fault:
            return
        body = bytes(self._body)
        self._body = bytearray()
        if len(self._received) > _MAX_WAITING_REQUESTS:
            self._received[-1] = self._received[-1]._replace(is_last=True)
            return
        size_bytes = self._size + len(self._target) + len(body)
        self._queued_bytes += size_bytes
        self._received.append(
            _Received(
                self._build_request(body),
                self._is_last,
                self._is_chunks_known,
                size_bytes,
            )
        )

    def begin_unframed(self) -> None:
        """Prepare for an answer that ends with the connection.

        If it is not finished, also if the process is killed, the connection is
        reset: an orderly close would make it look complete.
        """
        self.closing = True
        self._is_unframed = True
        self._set_linger(_RESET_ON_CLOSE)

    def write(self, data: bytes) -> None:
        """Write to the client if it is still connected."""
        if self._transport is not None and not self._has_ended:
            self._transport.write(data)
            self._note_unsent()

    def hold(self, added_bytes: int) -> None:
        """Add to what is held for the running request."""
        self._running_bytes += added_bytes
        self._update_charge()

    def read_on(self, reserved_bytes: int) -> None:
        """Read an upload on that waited; the wait is not its caller's."""
        if not self._waits:
            return
        self._waits = False
        self._kernel_bytes = 0
        self.state_since_s += self._clock.read_monotonic() - self._waits_since_s
        self.charge.reserve(reserved_bytes)
        if self._transport is not None:
            self._transport.resume_reading()

    def refresh(self) -> None:
        """Update what is held, as the kernel and the client change it."""
        transport = self._transport
        if transport is None or not self._account.is_limited:
            return
        if not self.charge.size_bytes:
            # Most connections are idle, and thousands are looked at.
            return
        self._kernel_bytes = 0
        raw_socket = transport.get_extra_info('socket')
        if not transport.is_reading():
            self._kernel_bytes += socketbuffers.count_unread(raw_socket)
        if self.has_unsent:
            self._kernel_bytes += socketbuffers.count_unacknowledged(raw_socket)
        self._note_unsent()
        self._update_charge()

    def describe(self) -> memorybudget.Holding:
        """Return what is held for the upload that is being read."""
        rank = _UNKNOWN_RANK
        if self._head_received:
            rank = self._listener.inspect(self._build_request(b'')).rank
        return memorybudget.Holding(
            memorybudget.Kind.UPLOAD, rank, self.charge.size_bytes
        )

    def refuse_upload(self, reason: str) -> None:
        """Refuse the upload that is being read for want of memory."""
        self._account.note_refusal(reason, self.charge.size_bytes)
        if self._head_received:
            self._refused = self._build_request(b'')
        self.refuse(messages.UNAVAILABLE)

    def abort(self) -> None:
        """Abort the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection after sending buffered data."""
        if self._transport is not None:
            self._transport.close()

    def end_exchange(self) -> None:
        """Prepare for the next request, or close the connection.

        A client that was not told of the end may send another request.
        """
        self._task = None
        self._reading = False
        self._running_bytes = 0
        self.is_ahead = False
        self.has_unsent_answer = self.has_unsent
        self._update_charge()
        self.notify_writable = None
        self.state_since_s = self._clock.read_monotonic()
        has_left = self._has_left or self._transport is None
        if self.is_end_announced or has_left:
            self._end()
        elif self._received or self._fault:
            self._go_on()
        else:
            self._read_next()

    def refuse(self, status: int) -> None:
        """Answer a request that can't be read, and close the connection."""
        self._fault = self._fault or status
        self.closing = True
        fields: abc.Sequence[messages.Header] = ()
        if self._refused is not None:
            fields = self._listener.inspect(self._refused).fields
        self.write(
            messages.format_head(
                status,
                fields,
                framing=messages.Framing.LENGTH,
                length=0,
                close=True,
            )
        )
        self._end()

    def _end(self) -> None:
        """Send what is buffered and its end; discard what still arrives.

        A socket that is closed with unread bytes is reset, and a client that
        is reset may lose the answer (RFC 9112, section 9.6).
        """
        self._has_ended = True
        self._reading = False
        self._pending = b''
        self._body = bytearray()
        self._received.clear()
        self._queued_bytes = 0
        self._kernel_bytes = 0
        self._is_partial = False
        self._waits = False
        self._account.leave(self)
        self.charge.reserve(0)
        self._update_charge()
        self.state_since_s = self._clock.read_monotonic()
        if self._transport is None:
            return
        if self._has_left:
            self._transport.close()
            return
        if self._is_unframed and not self.has_unsent:
            self._set_linger(_ORDERLY_CLOSE)
        try:
            self._transport.write_eof()
        except OSError:
            # The client has reset the connection.
            self.abort()
            return
        self._transport.resume_reading()

    @property
    def _bounds(self) -> bounds.Bounds:
        return self._listener.find_bounds(self.state_since_s)

    def _feed(self, data: bytes) -> None:
        self._fed_bytes = len(data)
        self._part_count = 0
        body_bytes = len(self._body)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fault = self._fault or messages.BAD_REQUEST
        # The request that is being read may have begun in these bytes.
        body_bytes = min(body_bytes, len(self._body))
        used_bytes = len(self._body) - body_bytes
        used_bytes += self._part_count * bounds.CHUNK_FRAMING_BYTES
        self._framing_bytes = max(
            0, self._framing_bytes + self._fed_bytes - used_bytes
        )
        self._check_sizes()
        self._go_on()
        self._update_charge()
        self._check_memory()

    def _check_memory(self) -> None:
        """Let an upload wait if no more of it may be read now."""
        is_upload = self.is_reading and self._is_partial and self._head_received
        charge = self.charge
        if charge.reserved_bytes:
            left_bytes = charge.reserved_bytes - self._fed_bytes
            charge.reserve(max(0, left_bytes) if is_upload else 0)
        if (
            is_upload
            and not charge.reserved_bytes
            and self._account.must_uploads_wait
        ):
            self._waits = True
            self._waits_since_s = self._clock.read_monotonic()
            self._pause()
            self._account.wait(self)

    def _check_sizes(self) -> None:
        """Refuse a body over its bound, or too much beside head and body.

        Trailers and chunk extensions have as much room as the head's fields.
        """
        if self._fault:
            return
        limits = self._bounds
        max_framing_bytes = _MAX_TARGET_BYTES + 2 * limits.header_bytes
        if len(self._body) > limits.body_bytes:
            self._fault = messages.CONTENT_TOO_LARGE
        elif self._framing_bytes > max_framing_bytes:
            self._fault = (
                messages.CONTENT_TOO_LARGE
                if self._head_received
                else messages.HEADERS_TOO_LARGE
            )

    def _go_on(self) -> None:
        """Handle the next request, refuse it, or wait for the rest of it."""
        if self._received:
            self._begin(self._received.popleft())
        elif self._fault:
            self._listener.note_fault(self._fault)
            self.refuse(self._fault)
        elif self._must_continue:
            self._must_continue = False
            self.write(_CONTINUE)

    def _read_next(self) -> None:
        """Read on, from the rest of a request or from a new one."""
        self._reading = self._is_partial
        if not self._is_partial:
            self._parser = httptools.HttpRequestParser(self)
            self._framing_bytes = 0
        if self._transport is not None:
            self._transport.resume_reading()
        self._go_on()
        if self._pending:
            data = self._pending
            self._pending = b''
            self.data_received(data)

    def _begin(self, received: _Received) -> None:
        self.closing = self.closing or received.is_last
        self.knows_chunks = received.knows_chunks
        self._queued_bytes -= received.size_bytes
        self._running_bytes = received.size_bytes
        request = received.request
        reply = Reply(self, bodiless=request.method == b'HEAD')
        self._task = asyncio.get_running_loop().create_task(
            self._handle(request, reply)
        )
        self._task.add_done_callback(functools.partial(self._check_task, reply))

    def _check_task(self, reply: Reply, task: asyncio.Task[None]) -> None:
        """Send an error if a handler ended without an answer."""
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self._listener.note_error(error)
        if reply.ended:
            return
        if reply.started:
            reply.abort()
            return
        # Whether the request was carried out is not known.
        self.closing = True
        reply.send(messages.BAD_GATEWAY, (), b'')

    def _build_request(self, body: bytes) -> messages.Request:
        return messages.Request(
            method=self._parser.get_method(),
            target=self._target,
            fields=self._fields,
            body=body,
            received_s=self._clock.read_monotonic(),
        )

    def _find_declared(self) -> int | None:
        """Return the declared size of a body, None if it is chunked.

        A larger one than is allowed is refused for its size when it is read.
        """
        if self._fields.find(b'transfer-encoding') is not None:
            return None
        text = self._fields.find(b'content-length') or b''
        declared_bytes = int(text) if text.isdigit() else 0
        return min(declared_bytes, self._bounds.body_bytes)

    def _update_charge(self) -> None:
        unsent_bytes = 0
        if self._transport is not None:
            unsent_bytes = self._transport.get_write_buffer_size()
        unread_bytes = len(self._body) + len(self._pending)
        if self._is_partial:
            unread_bytes += self._size + len(self._target)
        request_bytes = self._queued_bytes + self._running_bytes
        self.charge.replace(
            unread_bytes + request_bytes + self._kernel_bytes + unsent_bytes,
            unsent_bytes,
        )

    def _note_unsent(self) -> None:
        """Charge what is not sent, and pause a producer too far ahead."""
        assert self._transport is not None
        unsent_bytes = self._transport.get_write_buffer_size()
        if unsent_bytes != self.charge.unsent_bytes:
            self._update_charge()
        if not self._account.is_limited:
            return
        is_ahead = unsent_bytes > 0 and (
            unsent_bytes > self._account.find_read_ahead()
        )
        if is_ahead != self.is_ahead:
            self.is_ahead = is_ahead
            self._set_writable(value=not is_ahead)

    def _set_linger(self, linger: bytes) -> None:
        if self._transport is not None:
            self._transport.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )

    def _pause(self) -> None:
        if self._transport is not None:
            self._transport.pause_reading()

    def _set_writable(self, *, value: bool) -> None:
        if self.notify_writable is not None:
            self.notify_writable(value)


def is_framing_unambiguous(fields: messages.Fields) -> bool:
    """Return whether the end of the body is unambiguous."""
    coding = fields.find(b'transfer-encoding')
    if coding is None:
        return fields.count(b'content-length') <= 1
    if fields.find(b'content-length') is not None:
        return False
    return (
        coding.lower() == b'chunked' and fields.count(b'transfer-encoding') == 1
    )
