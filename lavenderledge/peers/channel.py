"""The outgoing link to one peer."""

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

_MAX_WAITING = 64
_WAIT_S = 1.0
_IDLE_S = 30.0
_RENEW_AFTER_S = 5.0
_NO_LINGER = datetime.timedelta()
_LOGGER = logging.getLogger(__name__)


class EncodedMessage(typing.NamedTuple):
    """One encoded message and the kind it is counted under."""

    kind: str
    encoded: bytes


class _Waiting(typing.NamedTuple):
    parcel: EncodedMessage
    since_s: float


class Channel:
    """A socket to one peer, opened on first use and closed when idle.

    While the socket connects, a few messages wait for up to a second.
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
        """Take the peer's ``host:port`` and the keys it may have."""
        self.address = address
        self._instance = instance
        self._context = context
        self._pair = pair
        self._server_keys = server_keys
        self._count = count
        self._on_sent = on_sent
        self._clock = clock
        self._socket: zmq.Socket[bytes] | None = None
        self._waiting: collections.deque[_Waiting] = collections.deque()
        self._used_at_s = clock.read_monotonic()
        self._blocked_at_s: float | None = None
        self._renewals = 0

    @property
    def is_waiting(self) -> bool:
        """Return whether messages wait for the socket."""
        return bool(self._waiting)

    def send(self, parcel: EncodedMessage) -> bool:
        """Write a message or let it wait; False where it was dropped."""
        self._used_at_s = self._clock.read_monotonic()
        if not self._waiting and self._write(parcel):
            return True
        if len(self._waiting) >= _MAX_WAITING:
            self._drop(parcel, 'would_block')
            return False
        self._waiting.append(_Waiting(parcel, self._used_at_s))
        return True

    def flush(self) -> None:
        """Write what waits, as far as the socket takes it."""
        now_s = self._clock.read_monotonic()
        while self._waiting:
            waiting = self._waiting[0]
            if now_s - waiting.since_s >= _WAIT_S:
                self._drop(waiting.parcel, 'no_connection')
            elif not self._write(waiting.parcel):
                return
            self._waiting.popleft()

    def close_idle(self) -> None:
        """Close the socket where it has not been used for a while."""
        if self._clock.read_monotonic() - self._used_at_s >= _IDLE_S:
            self.close()

    def close(self, *, linger: datetime.timedelta = _NO_LINGER) -> None:
        """Close the socket; what was written may linger to be sent."""
        for waiting in self._waiting:
            self._drop(waiting.parcel, 'closed')
        self._waiting.clear()
        self._blocked_at_s = None
        if self._socket is not None:
            self._socket.close(linger=sockets.count_ms(linger))
            self._socket = None

    def _write(self, parcel: EncodedMessage) -> bool:
        socket = self._socket or self._open()
        try:
            socket.send(parcel.encoded, zmq.NOBLOCK)
        except zmq.Again:
            self._renew_blocked()
            return False
        self._blocked_at_s = None
        self._on_sent(parcel)
        return True

    def _renew_blocked(self) -> None:
        now_s = self._clock.read_monotonic()
        if self._blocked_at_s is None:
            self._blocked_at_s = now_s
        if now_s - self._blocked_at_s < _RENEW_AFTER_S:
            return
        # ZeroMQ gives up after a refused handshake; a new socket, with the
        # next known server key, starts over.
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

    def _drop(self, parcel: EncodedMessage, reason: str) -> None:
        self._count('peer_messages_dropped', reason=reason, kind=parcel.kind)
