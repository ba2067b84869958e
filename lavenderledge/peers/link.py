"""Authenticated and encrypted links between instances.

Each instance binds one PULL socket and opens one PUSH socket per peer.
Messages may be lost, and are never delivered twice; whoever needs delivery
sends its state again.
"""

import asyncio
import contextlib
import logging
import typing
from collections import abc

import expression
import zmq
import zmq.asyncio
from zmq.auth import asyncio as zmq_auth
from zmq.utils import monitor

from lavenderledge import clock as clocks
from lavenderledge import logs
from lavenderledge.peers import codec, keys, messages, sockets

_MAX_BATCH = 64
_RENEW_AFTER_S = 5.0
_LOGGER = logging.getLogger(__name__)
_FAILED_HANDSHAKES: typing.Final = {
    zmq.Event.HANDSHAKE_FAILED_NO_DETAIL: 'cut',
    zmq.Event.HANDSHAKE_FAILED_PROTOCOL: 'protocol',
}
_CONNECTION_EVENTS: typing.Final = {
    zmq.Event.ACCEPTED: 'accepted',
    zmq.Event.HANDSHAKE_SUCCEEDED: 'authenticated',
    zmq.Event.DISCONNECTED: 'closed',
}


class ListenFailure(typing.NamedTuple):
    """The listen address could not be bound."""

    address: str
    detail: str


class Traffic(typing.NamedTuple):
    """Messages and encoded bytes of one kind since the start."""

    kind: str
    direction: str
    messages: int
    size_bytes: int


class _Peer:
    """One peer's address and the socket to it."""

    def __init__(self, *, address: str) -> None:
        """Start without a socket."""
        self.address = address
        self.socket: zmq.Socket[bytes] | None = None
        self.blocked_at_s: float | None = None
        self.renewals = 0

    def close(self) -> None:
        """Close the socket, dropping what it holds."""
        if self.socket is not None:
            self.socket.close(linger=0)
            self.socket = None


class _KeyCheck:
    """Accepts the known public keys; counts all others."""

    def __init__(
        self,
        *,
        accepted: frozenset[bytes],
        count: abc.Callable[..., None],
    ) -> None:
        """Take the accepted keys in Z85."""
        self._accepted = accepted
        self._count = count

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether the key is accepted, as the ZAP handler asks."""
        if key in self._accepted:
            return True
        self._count('peer_handshakes_failed', reason='unknown_key')
        return False


class PeerLink:
    """All links of one instance to its peers.

    ``count(name, **labels)`` is called for each drop, malformed message,
    connection event, failed handshake, handler failure and renewed socket.
    Bytes that are not ZeroMQ at all end a connection without a failed
    handshake: accepted minus authenticated minus failed is their number.
    """

    def __init__(
        self,
        *,
        instance: str,
        listen: str,
        pair: keys.KeyPair,
        accepted: abc.Iterable[bytes] = (),
        on_message: abc.Callable[[messages.Message], None],
        count: abc.Callable[..., None],
        clock: clocks.Clock,
    ) -> None:
        """Take the listen address as ``host:port``; port 0 picks a free one.

        ``accepted`` holds further public keys, of peers with another pair.
        """
        self._instance = instance
        self._listen = listen
        self._pair = pair
        self._public_keys = tuple(dict.fromkeys((pair.public, *accepted)))
        self._on_message = on_message
        self._count = count
        self._clock = clock
        self._context = zmq.asyncio.Context()
        self._peers: dict[str, _Peer] = {}
        self._traffic: dict[tuple[str, str], list[int]] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._authenticator: zmq_auth.AsyncioAuthenticator | None = None
        self._address = ''

    @property
    def address(self) -> str:
        """Return the bound ``host:port``, empty before the start."""
        return self._address

    def start(self) -> expression.Result[str, ListenFailure]:
        """Bind and receive on the running loop; return ``host:port``."""
        self._start_authenticator()
        pull = self._context.socket(zmq.PULL)
        sockets.configure_server(pull, self._pair)
        watched = pull.get_monitor_socket(
            sum((*_FAILED_HANDSHAKES, *_CONNECTION_EVENTS)),
        )
        try:
            pull.bind(f'tcp://{self._listen}')
        except zmq.ZMQError as err:
            return expression.Error(ListenFailure(self._listen, str(err)))
        self._address = sockets.read_address(pull)
        self._tasks.append(asyncio.ensure_future(self._receive(pull)))
        self._tasks.append(asyncio.ensure_future(self._watch(watched)))
        return expression.Ok(self._address)

    async def close(self) -> None:
        """Stop receiving and close every socket."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()
        if self._authenticator is not None:
            self._authenticator.stop()
            self._authenticator = None
        self.update({})
        self._context.destroy(linger=0)

    def connect(self, instance: str, address: str) -> None:
        """Open a link; a changed address replaces the one before."""
        peer = self._peers.get(instance)
        if instance == self._instance:
            return
        if peer is not None:
            if peer.address == address:
                return
            peer.close()
        peer = _Peer(address=address)
        self._peers[instance] = peer
        self._open(instance, peer)

    def disconnect(self, instance: str) -> None:
        """Close the link to an instance, if there is one."""
        peer = self._peers.pop(instance, None)
        if peer is not None:
            peer.close()

    def update(self, addresses: abc.Mapping[str, str]) -> None:
        """Connect to these ``host:port`` by instance, and to no others."""
        for instance in self._peers.keys() - addresses.keys():
            self.disconnect(instance)
        for instance, address in addresses.items():
            self.connect(instance, address)

    def list_peers(self) -> tuple[str, ...]:
        """Return the names of the instances that have a link."""
        return tuple(sorted(self._peers))

    def list_traffic(self) -> list[Traffic]:
        """Return the totals by kind and direction."""
        return [
            Traffic(kind, direction, *totals)
            for (kind, direction), totals in sorted(self._traffic.items())
        ]

    def send(self, instance: str, message: messages.Message) -> bool:
        """Hand a message to the link without waiting.

        Returns False where it was dropped; True does not mean delivered.
        """
        if instance == self._instance:
            asyncio.get_running_loop().call_soon(self._deliver, message)
            return True
        peer = self._peers.get(instance)
        if peer is None or peer.socket is None:
            return self._drop('no_link', message)
        encoded = codec.encode(message)
        if encoded.is_error():
            return self._drop(encoded.error.fault, message)
        return self._write(instance, peer, message, encoded.ok)

    def _write(
        self,
        instance: str,
        peer: _Peer,
        message: messages.Message,
        encoded: bytes,
    ) -> bool:
        assert peer.socket is not None
        try:
            peer.socket.send(encoded, zmq.NOBLOCK)
        except zmq.Again:
            self._renew_blocked(instance, peer)
            return self._drop('would_block', message)
        except zmq.ZMQError:
            self._renew(instance, peer)
            return self._drop('socket_failed', message)
        peer.blocked_at_s = None
        self._add_traffic(message, 'sent', len(encoded))
        return True

    def _drop(self, reason: str, message: messages.Message) -> bool:
        kind = codec.name_kind(message)
        self._count('peer_messages_dropped', reason=reason, kind=kind)
        return False

    def _renew_blocked(self, instance: str, peer: _Peer) -> None:
        now_s = self._clock.read_monotonic()
        if peer.blocked_at_s is None:
            peer.blocked_at_s = now_s
        elif now_s - peer.blocked_at_s >= _RENEW_AFTER_S:
            self._renew(instance, peer)

    def _renew(self, instance: str, peer: _Peer) -> None:
        # ZeroMQ stops reconnecting after a refused handshake; a new socket,
        # with the next known server key, starts over.
        peer.close()
        peer.blocked_at_s = None
        peer.renewals += 1
        self._count('peer_sockets_renewed', instance=instance)
        self._open(instance, peer)

    def _open(self, instance: str, peer: _Peer) -> None:
        server_key = self._public_keys[peer.renewals % len(self._public_keys)]
        push: zmq.Socket[bytes] = zmq.Socket(self._context, zmq.PUSH)
        sockets.configure_client(push, self._pair, server_key)
        try:
            push.connect(f'tcp://{peer.address}')
        except zmq.ZMQError as err:
            push.close(linger=0)
            self._count('peer_addresses_invalid', instance=instance)
            logs.write_event(
                _LOGGER,
                'peer_address_invalid',
                level=logging.WARNING,
                instance=instance,
                address=peer.address,
                error=err,
            )
            return
        peer.socket = push

    def _start_authenticator(self) -> None:
        authenticator = zmq_auth.AsyncioAuthenticator(self._context)
        authenticator.configure_curve_callback(
            domain=sockets.ZAP_DOMAIN,
            credentials_provider=_KeyCheck(
                accepted=frozenset(self._public_keys),
                count=self._count,
            ),
        )
        authenticator.start()
        self._authenticator = authenticator

    async def _receive(self, pull: zmq.asyncio.Socket) -> None:
        direct: zmq.Socket[bytes] = zmq.Socket.shadow(pull)
        while True:
            self._accept(await pull.recv())
            with contextlib.suppress(zmq.Again):
                for _ in range(_MAX_BATCH - 1):
                    self._accept(direct.recv(zmq.NOBLOCK))
            await asyncio.sleep(0)

    async def _watch(self, watched: zmq.asyncio.Socket) -> None:
        while True:
            frames = await watched.recv_multipart()
            event = zmq.Event(monitor.parse_monitor_message(frames)['event'])
            state = _CONNECTION_EVENTS.get(event)
            if state is not None:
                self._count('peer_connections', state=state)
            reason = _FAILED_HANDSHAKES.get(event)
            if reason is not None:
                self._count('peer_handshakes_failed', reason=reason)

    def _accept(self, encoded: bytes) -> None:
        decoded = codec.decode(encoded)
        if decoded.is_error():
            self._count('peer_messages_malformed', reason=decoded.error.fault)
            return
        self._add_traffic(decoded.ok, 'received', len(encoded))
        self._deliver(decoded.ok)

    def _deliver(self, message: messages.Message) -> None:
        try:
            self._on_message(message)
        except Exception:
            kind = codec.name_kind(message)
            self._count('peer_handlers_failed', kind=kind)
            _LOGGER.exception(
                'peer_handler_failed', extra={'fields': {'kind': kind}}
            )

    def _add_traffic(
        self, message: messages.Message, direction: str, size_bytes: int
    ) -> None:
        totals = self._traffic.setdefault(
            (codec.name_kind(message), direction), [0, 0]
        )
        totals[0] += 1
        totals[1] += size_bytes
