"""Options of the ZeroMQ sockets between instances."""

import datetime
import typing

import zmq

from lavenderledge.peers import codec, keys

ZAP_DOMAIN = b'lavenderledge'
HEARTBEAT_INTERVAL = datetime.timedelta(seconds=1)
HEARTBEAT_TIMEOUT = datetime.timedelta(seconds=3)
HEARTBEAT_LIFETIME = datetime.timedelta(seconds=4)
HANDSHAKE_TIMEOUT = datetime.timedelta(seconds=3)
RECONNECT_MIN = datetime.timedelta(milliseconds=100)
RECONNECT_MAX = datetime.timedelta(seconds=1)
_MAX_QUEUED_MESSAGES = 1000
_BACKLOG = 1024

_AnySocket: typing.TypeAlias = zmq.Socket[typing.Any]


def configure_server(pull: _AnySocket, pair: keys.KeyPair) -> None:
    """Set the options of the PULL socket that peers connect to."""
    _configure(pull, pair)
    pull.curve_server = True
    pull.setsockopt(zmq.ZAP_DOMAIN, ZAP_DOMAIN)
    pull.setsockopt(zmq.BACKLOG, _BACKLOG)


def configure_client(
    push: _AnySocket, pair: keys.KeyPair, server_key: bytes
) -> None:
    """Set the options of a PUSH socket to one peer."""
    _configure(push, pair)
    push.setsockopt(zmq.CURVE_SERVERKEY, server_key)
    push.setsockopt(zmq.IMMEDIATE, 1)
    # The server closes a connection without pings for HEARTBEAT_LIFETIME.
    push.setsockopt(zmq.HEARTBEAT_IVL, count_ms(HEARTBEAT_INTERVAL))
    push.setsockopt(zmq.HEARTBEAT_TIMEOUT, count_ms(HEARTBEAT_TIMEOUT))
    push.setsockopt(zmq.HEARTBEAT_TTL, count_ms(HEARTBEAT_LIFETIME))
    push.setsockopt(zmq.RECONNECT_IVL, count_ms(RECONNECT_MIN))
    push.setsockopt(zmq.RECONNECT_IVL_MAX, count_ms(RECONNECT_MAX))
    push.setsockopt(zmq.CONNECT_TIMEOUT, count_ms(HANDSHAKE_TIMEOUT))


def read_address(socket: _AnySocket) -> str:
    """Return the ``host:port`` that a socket is bound to."""
    endpoint = socket.getsockopt_string(zmq.LAST_ENDPOINT)
    return endpoint.rstrip('\0').removeprefix('tcp://')


def count_ms(duration: datetime.timedelta) -> int:
    """Return a duration in whole milliseconds, ZeroMQ's unit."""
    return duration // datetime.timedelta(milliseconds=1)


def _configure(socket: _AnySocket, pair: keys.KeyPair) -> None:
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, _MAX_QUEUED_MESSAGES)
    socket.setsockopt(zmq.RCVHWM, _MAX_QUEUED_MESSAGES)
    socket.setsockopt(zmq.MAXMSGSIZE, codec.MAX_MESSAGE_BYTES)
    socket.setsockopt(zmq.HANDSHAKE_IVL, count_ms(HANDSHAKE_TIMEOUT))
    socket.setsockopt(zmq.CURVE_PUBLICKEY, pair.public)
    socket.setsockopt(zmq.CURVE_SECRETKEY, pair.secret)
