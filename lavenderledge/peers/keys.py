"""CURVE keys of the links between instances.

All instances of a fleet share one key pair. Keys are 40 characters of text
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
    """Why a text is not a key, without the text, which may be a secret."""

    detail: str


def generate_pair() -> KeyPair:
    """Return a new random key pair."""
    public, secret = zmq.curve_keypair()
    return KeyPair(public=public, secret=secret)


def parse_secret(text: str) -> expression.Result[KeyPair, KeyFailure]:
    """Return the key pair of a secret key."""
    return _parse_key(text).map(_derive_pair)


def parse_public(text: str) -> expression.Result[bytes, KeyFailure]:
    """Return a further public key that peers use during a key rotation."""
    return _parse_key(text)


def _derive_pair(secret: bytes) -> KeyPair:
    return KeyPair(public=zmq.curve_public(secret), secret=secret)


def _parse_key(text: str) -> expression.Result[bytes, KeyFailure]:
    if len(text) != KEY_CHARACTERS:
        return expression.Error(
            KeyFailure(
                f'expected a key of {KEY_CHARACTERS} characters, '
                f'got {len(text)}'
            ),
        )
    try:
        key = z85.decode(text)
    except (ValueError, KeyError):
        return expression.Error(KeyFailure('expected a key in Z85 encoding'))
    if len(key) != _KEY_BYTES or z85.encode(key) != text.encode():
        return expression.Error(KeyFailure('expected a key in Z85 encoding'))
    return expression.Ok(text.encode())


def main() -> None:
    """Print a new secret key for all instances of a fleet."""
    sys.stdout.write(f'{generate_pair().secret.decode()}\n')


if __name__ == '__main__':
    main()
