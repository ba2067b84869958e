"""The outgoing connection to one peer."""

import collections
import datetime
import logging
import typing
from collections import abc

import zmq
import zmq.asyncio

from lavenderledge import clock as clocks
from lavenderledge import logs
from lavenderledge.peers import keys, sockets

_MAX_QUEUED = 64
_QUEUE_TIMEOUT_S = 1.0
_IDLE_TIMEOUT_S = 30.0
_RENEW_AFTER_S = 5.0
_NO_LINGER = datetime.timedelta()
_LOGGER = logging.getLogger(__name__)


class EncodedMessage(typing.NamedTuple):
    """One encoded message and the kind it is counted under."""

    kind: str
    encoded: bytes


class _QueuedMessage(typing.NamedTuple):
    message: EncodedMessage
    since_s: float


class Channel:
    """A socket to one peer, opened on first use and closed when idle.

    Until the socket has connected, a few messages are queued for a second.
    """

    def __init__(
        self,
        *,
        instance: str,
        address: str,
        context: zmq.asyncio.Context,
        pair: keys.KeyPair,
        server_keys: tuple[bytes, ...],
        count: abc.Callable[..., None],
        on_sent: abc.Callable[[EncodedMessage], None],
        clock: clocks.Clock,
    ) -> None:
        """Take the peer's ``host:port`` and the public keys it may use."""
        self.address = address
        self._instance = instance
        self._context = context
        self._pair = pair
        self._server_keys = server_keys
        self._count = count
        self._on_sent = on_sent
        self._clock = clock
        self._socket: zmq.Socket[bytes] | None = None
        self._queue: collections.deque[_QueuedMessage] = collections.deque()
        self._used_at_s = clock.read_monotonic()
        self._blocked_at_s: float | None = None
        self._renewals = 0

    @property
    def has_queued(self) -> bool:
        """Return whether messages are queued for the socket."""
        return bool(self._queue)

    def send(self, message: EncodedMessage) -> bool:
        """Write or queue a message; return False if it was dropped."""
        self._used_at_s = self._clock.read_monotonic()
        if not self._queue and self._write(message):
            return True
        if len(self._queue) >= _MAX_QUEUED:
            self._drop(message, 'would_block')
            return False
        self._queue.append(_QueuedMessage(message, self._used_at_s))
        return True

    def flush(self) -> None:
        """Write queued messages until the socket would block."""
        now_s = self._clock.read_monotonic()
        while self._queue:
            queued = self._queue[0]
            if now_s - queued.since_s >= _QUEUE_TIMEOUT_S:
                self._drop(queued.message, 'no_connection')
            elif not self._write(queued.message):
                return
            self._queue.popleft()

    def close_idle(self) -> None:
        """Close the socket if it was not used for ``_IDLE_TIMEOUT_S``."""
        if self._clock.read_monotonic() - self._used_at_s >= _IDLE_TIMEOUT_S:
            self.close()

    def close(self, *, linger: datetime.timedelta = _NO_LINGER) -> None:
        """Close the socket; written messages are sent for up to ``linger``."""
        for queued in self._queue:
            self._drop(queued.message, 'closed')
        self._queue.clear()
        self._blocked_at_s = None
        if self._socket is not None:
            self._socket.close(linger=sockets.count_ms(linger))
            self._socket = None

    def _write(self, message: EncodedMessage) -> bool:
        socket = self._socket or self._open()
        try:
            socket.send(message.encoded, zmq.NOBLOCK)
        except zmq.Again:
            self._renew_blocked()
            return False
        self._blocked_at_s = None
        self._on_sent(message)
        return True

    def _renew_blocked(self) -> None:
        now_s = self._clock.read_monotonic()
        if self._blocked_at_s is None:
            self._blocked_at_s = now_s
        if now_s - self._blocked_at_s < _RENEW_AFTER_S:
            return
        # ZeroMQ does not retry after a refused handshake, so a new socket is
        # opened with the next known server key.
        self._blocked_at_s = now_s
        self._renewals += 1
        self._count('peer_sockets_renewed')
        self._open()

    def _open(self) -> zmq.Socket[bytes]:
        if self._socket is not None:
            self._socket.close(linger=0)
        push: zmq.Socket[bytes] = zmq.Socket(self._context, zmq.PUSH)
        server_key = self._server_keys[self._renewals % len(self._server_keys)]
        sockets.configure_client(push, self._pair, server_key)
        self._socket = push
        try:
            push.connect(f'tcp://{self.address}')
        except zmq.ZMQError as err:
            self._count('peer_addresses_invalid')
            logs.write_event(
                _LOGGER,
                'peer_address_invalid',
                level=logging.WARNING,
                instance=self._instance,
                address=self.address,
                error=err,
            )
        return push

    def _drop(self, message: EncodedMessage, reason: str) -> None:
        self._count('peer_messages_dropped', reason=reason, kind=message.kind)
