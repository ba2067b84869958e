"""Authenticates and counts the connections to one instance."""

import logging
import typing
from collections import abc

import zmq
import zmq.asyncio
from zmq.utils import monitor, z85

from lavenderledge import logs
from lavenderledge.peers import sockets

_ZAP_ENDPOINT = 'inproc://zeromq.zap.01'
_MONITOR_ENDPOINT = 'inproc://connections'
_ZAP_VERSION = b'1.0'
_MAX_LOGGED_ADDRESSES = 64
_LOGGER = logging.getLogger(__name__)
_HANDSHAKE_FAILURES: typing.Final = {
    zmq.Event.HANDSHAKE_FAILED_NO_DETAIL: 'cut',
    zmq.Event.HANDSHAKE_FAILED_PROTOCOL: 'protocol',
}
_CONNECTION_STATES: typing.Final = {
    zmq.Event.ACCEPTED: 'accepted',
    zmq.Event.HANDSHAKE_SUCCEEDED: 'authenticated',
    zmq.Event.DISCONNECTED: 'closed',
}


class _Request(typing.NamedTuple):
    """One request of the ZeroMQ Authentication Protocol (RFC 27)."""

    version: bytes
    request_id: bytes
    domain: bytes
    address: bytes
    identity: bytes
    mechanism: bytes
    credentials: bytes = b''


class Authenticator:
    """Accepts peers by their public key and counts connections.

    Counts ``peer_connections`` by state and ``peer_handshakes_failed`` by
    reason. Connections that do not speak ZeroMQ's protocol end without a failed
    handshake; their number is accepted - authenticated - failed.
    """

    def __init__(
        self,
        *,
        context: zmq.asyncio.Context,
        accepted_keys: abc.Iterable[bytes],
        count: abc.Callable[..., None],
    ) -> None:
        """Take the accepted public keys in Z85."""
        self._accepted_keys = frozenset(accepted_keys)
        self._count = count
        self._context = context
        self._logged: set[bytes] = set()
        self._replies = context.socket(zmq.REP)
        self._replies.bind(_ZAP_ENDPOINT)

    async def answer(self) -> None:
        """Answer the context's authentication requests until cancelled."""
        while True:
            frames = await self._replies.recv_multipart()
            request = _Request(*frames[: len(_Request._fields)])
            status = b'200' if self._authenticate(request) else b'400'
            await self._replies.send_multipart(
                (_ZAP_VERSION, request.request_id, status, b'', b'', b''),
            )

    async def watch(self, pull: zmq.Socket[bytes]) -> None:
        """Count the connection events of a socket until cancelled."""
        pull.monitor(
            _MONITOR_ENDPOINT,
            sum((*_HANDSHAKE_FAILURES, *_CONNECTION_STATES)),
        )
        events = self._context.socket(zmq.PAIR)
        events.connect(_MONITOR_ENDPOINT)
        while True:
            frames = await events.recv_multipart()
            self._count_event(monitor.parse_monitor_message(frames)['event'])

    def _authenticate(self, request: _Request) -> bool:
        is_accepted = (
            request.mechanism == b'CURVE'
            and request.domain == sockets.ZAP_DOMAIN
            and z85.encode(request.credentials) in self._accepted_keys
        )
        if not is_accepted:
            self._count('peer_handshakes_failed', reason='unknown_key')
            self._log_unknown_key(request.address)
        return is_accepted

    def _log_unknown_key(self, address: bytes) -> None:
        if address in self._logged or len(self._logged) > _MAX_LOGGED_ADDRESSES:
            return
        self._logged.add(address)
        logs.write_event(
            _LOGGER,
            'peer_key_unknown',
            level=logging.WARNING,
            address=address.decode(errors='replace'),
        )

    def _count_event(self, event: int) -> None:
        state = _CONNECTION_STATES.get(zmq.Event(event))
        if state is not None:
            self._count('peer_connections', state=state)
        reason = _HANDSHAKE_FAILURES.get(zmq.Event(event))
        if reason is not None:
            self._count('peer_handshakes_failed', reason=reason)
