"""Parsers of settings; a ``ValueError`` says which format is expected."""

import datetime
import math
import re
import typing
from collections import abc
from urllib import parse

from lavenderledge.peers import keys

_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,99}')
_MAX_PORT = 65_535


class Address(typing.NamedTuple):
    """An IP address or host name, and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


def parse_name(text: str) -> str:
    """Parse the name of an instance or an availability zone."""
    if _NAME.fullmatch(text):
        return text
    raise ValueError(
        'expected 1 to 100 letters, digits, dots, dashes or underscores, '
        'starting with a letter or a digit'
    )


def parse_address(text: str) -> Address:
    """Parse ``HOST:PORT``."""
    host, _, port = text.rpartition(':')
    if host and port.isdecimal() and int(port) <= _MAX_PORT:
        return Address(host, int(port))
    raise ValueError('expected HOST:PORT, with a port from 0 to 65535')


def parse_optional_address(text: str) -> Address | None:
    """Parse ``HOST:PORT``, or None from an empty text."""
    return parse_address(text) if text else None


def parse_url(text: str) -> str:
    """Parse an ``http`` or ``https`` URL without a path."""
    if _is_base_url(parse.urlsplit(text)):
        return text.rstrip('/')
    raise ValueError('expected http[s]://HOST[:PORT] without a path')


def _is_base_url(url: parse.SplitResult) -> bool:
    try:
        has_port = url.port is None or url.port > 0
    except ValueError:
        return False
    is_bare = url.path in {'', '/'} and not url.query and not url.fragment
    is_http = url.scheme in {'http', 'https'} and bool(url.hostname)
    return has_port and is_bare and is_http


def parse_urls(text: str) -> tuple[str, ...]:
    """Parse one or more base URLs separated by commas."""
    return tuple(parse_url(part.strip()) for part in text.split(','))


def parse_secret_key(text: str) -> keys.KeyPair:
    """Parse a CURVE secret key; the error never shows the text."""
    pair = keys.parse_secret(text)
    if pair.is_error():
        raise ValueError(pair.error.detail)
    return pair.ok


def parse_public_keys(text: str) -> tuple[bytes, ...]:
    """Parse any number of public keys separated by commas."""
    accepted = []
    for part in filter(None, text.split(',')):
        key = keys.parse_public(part.strip())
        if key.is_error():
            raise ValueError(key.error.detail)
        accepted.append(key.ok)
    return tuple(accepted)


def parse_duration(text: str) -> datetime.timedelta:
    """Parse a number of seconds, 0 or more."""
    try:
        amount = float(text)
    except ValueError:
        amount = math.nan
    if math.isfinite(amount) and amount >= 0:
        return datetime.timedelta(seconds=amount)
    raise ValueError('expected a number of seconds, 0 or more')


def parse_positive_duration(text: str) -> datetime.timedelta:
    """Parse a number of seconds above zero."""
    duration = parse_duration(text)
    if duration:
        return duration
    raise ValueError('expected a number of seconds above zero')


def parse_count(text: str) -> int:
    """Parse a whole number above zero."""
    if text.isdecimal() and int(text) > 0:
        return int(text)
    raise ValueError('expected a whole number above zero')


def make_parse_choice(
    choices: abc.Sequence[str],
) -> abc.Callable[[str], str]:
    """Return a parser that accepts one of the choices."""

    def parse_choice(text: str) -> str:
        if text in choices:
            return text
        raise ValueError(f'expected one of {", ".join(choices)}')

    return parse_choice
