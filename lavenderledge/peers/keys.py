"""CURVE keys of the links between instances.

All instances of a fleet share one key pair. Keys are text of 40 characters
in ZeroMQ's Z85 encoding.
"""

import sys
import typing

import expression
import zmq
from zmq.utils import z85

KEY_CHARACTERS = 40
_KEY_BYTES = 32


class KeyPair(typing.NamedTuple):
    """A secret key and its public key; the secret is not in the repr."""

    public: bytes
    secret: bytes

    def __repr__(self) -> str:
        """Return text that is safe to log."""
        return f'KeyPair(public={self.public!r}, secret=...)'


class KeyFailure(typing.NamedTuple):
    """A text that is not a key; never holds the text itself."""

    detail: str


def generate_pair() -> KeyPair:
    """Return a new random key pair."""
    public, secret = zmq.curve_keypair()
    return KeyPair(public=public, secret=secret)


def parse_secret(text: str) -> expression.Result[KeyPair, KeyFailure]:
    """Return the key pair of a secret key."""
    return _parse_key(text).map(_derive_pair)


def parse_public(text: str) -> expression.Result[bytes, KeyFailure]:
    """Return a public key, as accepted from peers during a rotation."""
    return _parse_key(text)


def _derive_pair(secret: bytes) -> KeyPair:
    return KeyPair(public=zmq.curve_public(secret), secret=secret)


def _parse_key(text: str) -> expression.Result[bytes, KeyFailure]:
    if len(text) != KEY_CHARACTERS:
        return expression.Error(
            KeyFailure(f'a key has {KEY_CHARACTERS} characters'),
        )
    try:
        key = z85.decode(text)
    except (ValueError, KeyError):
        return expression.Error(KeyFailure('a key is Z85 text'))
    if len(key) != _KEY_BYTES or z85.encode(key) != text.encode():
        return expression.Error(KeyFailure('a key is Z85 text'))
    return expression.Ok(text.encode())


def main() -> None:
    """Print a new secret key, for the setting of the whole fleet."""
    sys.stdout.write(f'{generate_pair().secret.decode()}\n')


if __name__ == '__main__':
    main()
