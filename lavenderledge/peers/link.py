"""Authenticated and encrypted links between instances.

Each instance binds one PULL socket and opens a PUSH socket per peer that it
sends to. Delivery is at most once: senders that need delivery send their
state again.
"""

import asyncio
import contextlib
import datetime
import logging
import traceback
import typing
from collections import abc

import expression
import zmq
import zmq.asyncio

from lavenderledge import clock as clocks
from lavenderledge import logs
from lavenderledge.peers import (
    authentication,
    channel,
    codec,
    keys,
    messages,
    sockets,
)

_MAX_BATCH = 64
_FLUSH_INTERVAL_S = 0.01
_SWEEP_INTERVAL = datetime.timedelta(seconds=5)
_CLOSE_LINGER_MS = 200
_CLOSE_LINGER = datetime.timedelta(milliseconds=_CLOSE_LINGER_MS)
_LOGGER = logging.getLogger(__name__)


class ListenFailure(typing.NamedTuple):
    """The listen address could not be bound."""

    address: str
    detail: str


class Traffic(typing.NamedTuple):
    """Number and encoded bytes of one kind's messages since the start."""

    kind: str
    direction: str
    messages: int
    size_bytes: int


class PeerLink:
    """All links of one instance to its peers.

    ``count(name, **labels)`` counts dropped and malformed messages, connection
    events, failed handlers and renewed sockets.
    """

    def __init__(
        self,
        *,
        instance: str,
        listen: str,
        pair: keys.KeyPair,
        accepted_keys: abc.Iterable[bytes] = (),
        on_message: abc.Callable[[messages.Message], None],
        count: abc.Callable[..., None],
        clock: clocks.Clock,
    ) -> None:
        """Take the listen address as ``host:port``; port 0 picks a free one.

        ``accepted_keys`` are the public keys of peers with other key pairs.
        """
        self._instance = instance
        self._listen = listen
        self.pair = pair
        self._public_keys = tuple(dict.fromkeys((pair.public, *accepted_keys)))
        self._on_message = on_message
        self._count = count
        self._clock = clock
        self._context = zmq.asyncio.Context()
        self._channels: dict[str, channel.Channel] = {}
        self._flush_timer: asyncio.TimerHandle | None = None
        self._traffic: dict[tuple[str, str], list[int]] = {}
        self._cached: tuple[messages.Message, channel.EncodedMessage] | None = (
            None
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._pull: zmq.Socket[bytes] | None = None
        self._address = ''

    @property
    def address(self) -> str:
        """Return the bound ``host:port``, empty before the start."""
        return self._address

    def start(self) -> expression.Result[str, ListenFailure]:
        """Bind the socket and receive on the running loop."""
        pull: zmq.Socket[bytes] = zmq.Socket(self._context, zmq.PULL)
        sockets.configure_server(pull, self.pair)
        self._pull = pull
        authenticator = authentication.Authenticator(
            context=self._context,
            accepted_keys=self._public_keys,
            count=self._count,
        )
        try:
            pull.bind(f'tcp://{self._listen}')
        except zmq.ZMQError as err:
            return expression.Error(ListenFailure(self._listen, str(err)))
        self._address = sockets.read_address(pull)
        self._tasks = [
            asyncio.ensure_future(coroutine)
            for coroutine in (
                authenticator.answer(),
                authenticator.watch(pull),
                self._sweep(),
            )
        ]
        asyncio.get_running_loop().add_reader(pull.FD, self._receive)
        self._receive()
        return expression.Ok(self._address)

    async def close(self) -> None:
        """Stop receiving, send written messages and close every socket."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()
        if self._pull is not None:
            asyncio.get_running_loop().remove_reader(self._pull.FD)
            self._pull.close(linger=0)
            self._pull = None
        for open_channel in self._channels.values():
            open_channel.close(linger=_CLOSE_LINGER)
        self._channels.clear()
        if self._flush_timer is not None:
            self._flush_timer.cancel()
        self._context.destroy(linger=0)

    def connect(self, instance: str, address: str) -> None:
        """Add a peer; a changed address replaces its channel.

        The socket is opened by the first message.
        """
        existing = self._channels.get(instance)
        if instance == self._instance:
            return
        if existing is not None and existing.address == address:
            return
        self.disconnect(instance)
        self._channels[instance] = channel.Channel(
            instance=instance,
            address=address,
            context=self._context,
            pair=self.pair,
            server_keys=self._public_keys,
            count=self._count,
            on_sent=self._note_sent,
            clock=self._clock,
        )

    def disconnect(self, instance: str) -> None:
        """Remove a peer and close its channel, if there is one."""
        existing = self._channels.pop(instance, None)
        if existing is not None:
            existing.close()

    def update(self, addresses: abc.Mapping[str, str]) -> None:
        """Replace all peers by these, as ``host:port`` by instance."""
        for instance in self._channels.keys() - addresses.keys():
            self.disconnect(instance)
        for instance, address in addresses.items():
            self.connect(instance, address)

    def list_peers(self) -> tuple[str, ...]:
        """Return the instance names of all peers."""
        return tuple(sorted(self._channels))

    def list_traffic(self) -> list[Traffic]:
        """Return the total traffic of each kind and direction."""
        return [
            Traffic(kind, direction, *totals)
            for (kind, direction), totals in sorted(self._traffic.items())
        ]

    def send(self, instance: str, message: messages.Message) -> bool:
        """Send a message without waiting.

        Return False if it was dropped; True does not confirm delivery.
        """
        if instance == self._instance:
            asyncio.get_running_loop().call_soon(self._deliver, message)
            return True
        peer_channel = self._channels.get(instance)
        if peer_channel is None:
            return self._drop('no_link', message)
        encoded = self._encode(message)
        if encoded is None:
            return False
        sent = peer_channel.send(encoded)
        if peer_channel.has_queued:
            self._flush_later()
        return sent

    def _encode(
        self, message: messages.Message
    ) -> channel.EncodedMessage | None:
        # The same message is often sent to several peers in a row.
        if self._cached is not None and self._cached[0] is message:
            return self._cached[1]
        body = codec.encode(message)
        if body.is_error():
            self._drop(body.error.fault, message)
            return None
        encoded = channel.EncodedMessage(codec.name_kind(message), body.ok)
        self._cached = (message, encoded)
        return encoded

    def _drop(self, reason: str, message: messages.Message) -> bool:
        kind = codec.name_kind(message)
        self._count('peer_messages_dropped', reason=reason, kind=kind)
        return False

    def _flush_later(self) -> None:
        if self._flush_timer is None:
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_later(_FLUSH_INTERVAL_S, self._flush)

    def _flush(self) -> None:
        self._flush_timer = None
        has_queued = False
        for open_channel in self._channels.values():
            open_channel.flush()
            has_queued = has_queued or open_channel.has_queued
        if has_queued:
            self._flush_later()

    async def _sweep(self) -> None:
        while True:
            await self._clock.sleep(_SWEEP_INTERVAL)
            for open_channel in self._channels.values():
                open_channel.close_idle()

    def _receive(self) -> None:
        """Receive a batch; further messages wait for the next loop turn.

        ZeroMQ signals its descriptor once for all messages that have arrived,
        so the socket must be read until it is empty.
        """
        with contextlib.suppress(zmq.Again):
            for _ in range(_MAX_BATCH):
                if self._pull is None:
                    return
                self._handle(self._pull.recv(zmq.NOBLOCK))
            asyncio.get_running_loop().call_soon(self._receive)

    def _handle(self, encoded: bytes) -> None:
        decoded = codec.decode(encoded)
        if decoded.is_error():
            self._count('peer_messages_malformed', reason=decoded.error.fault)
            return
        kind = codec.name_kind(decoded.ok)
        self._add_traffic(kind, 'received', len(encoded))
        self._deliver(decoded.ok)

    def _deliver(self, message: messages.Message) -> None:
        try:
            self._on_message(message)
        except Exception:
            kind = codec.name_kind(message)
            self._count('peer_handlers_failed', kind=kind)
            logs.write_event(
                _LOGGER,
                'peer_handler_failed',
                level=logging.ERROR,
                kind=kind,
                exception=traceback.format_exc(),
            )

    def _note_sent(self, message: channel.EncodedMessage) -> None:
        self._add_traffic(message.kind, 'sent', len(message.encoded))

    def _add_traffic(self, kind: str, direction: str, size: int) -> None:
        totals = self._traffic.setdefault((kind, direction), [0, 0])
        totals[0] += 1
        totals[1] += size
