"""HTTP/1.1 messages: parsed requests and heads, and their formatting."""

import enum
import typing
from collections import abc

Header: typing.TypeAlias = tuple[bytes, bytes]

# Headers that apply to one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP: typing.Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)

OK: typing.Final = 200
BAD_REQUEST: typing.Final = 400
UNAUTHORIZED: typing.Final = 401
NOT_FOUND: typing.Final = 404
REQUEST_TIMEOUT: typing.Final = 408
CONTENT_TOO_LARGE: typing.Final = 413
MISDIRECTED: typing.Final = 421
TOO_MANY_REQUESTS: typing.Final = 429
HEADERS_TOO_LARGE: typing.Final = 431
INTERNAL_ERROR: typing.Final = 500
BAD_GATEWAY: typing.Final = 502
UNAVAILABLE: typing.Final = 503
GATEWAY_TIMEOUT: typing.Final = 504

_MIN_STATUS: typing.Final = 100
_MAX_STATUS: typing.Final = 599

_PHRASES: typing.Final = {
    OK: b'OK',
    BAD_REQUEST: b'Bad Request',
    UNAUTHORIZED: b'Unauthorized',
    NOT_FOUND: b'Not Found',
    REQUEST_TIMEOUT: b'Request Timeout',
    CONTENT_TOO_LARGE: b'Content Too Large',
    MISDIRECTED: b'Misdirected Request',
    TOO_MANY_REQUESTS: b'Too Many Requests',
    HEADERS_TOO_LARGE: b'Request Header Fields Too Large',
    INTERNAL_ERROR: b'Internal Server Error',
    BAD_GATEWAY: b'Bad Gateway',
    UNAVAILABLE: b'Service Unavailable',
    GATEWAY_TIMEOUT: b'Gateway Timeout',
}


class Fields:
    """Header fields in order, with look-up by lower-case name."""

    __slots__ = ('_by_name', 'pairs')

    def __init__(self, pairs: abc.Iterable[Header] = ()) -> None:
        """Store pairs of name and value."""
        self.pairs: list[Header] = []
        self._by_name: dict[bytes, bytes] = {}
        for name, text in pairs:
            self.add(name, text)

    def add(self, name: bytes, text: bytes) -> None:
        """Append a field; look-up returns the first of a name."""
        self.pairs.append((name, text))
        self._by_name.setdefault(name.lower(), text)

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a lower-case name, or None if absent."""
        return self._by_name.get(name)

    def count(self, name: bytes) -> int:
        """Return how often a lower-case name occurs."""
        return [field_name.lower() for field_name, _ in self.pairs].count(name)


class Request(typing.NamedTuple):
    """A complete request; ``received_s`` is the monotonic time of its end."""

    method: bytes
    target: bytes
    fields: Fields
    body: bytes
    received_s: float


@enum.unique
class Framing(enum.Enum):
    """What marks the end of a response's body."""

    LENGTH = 'length'
    CHUNKED = 'chunked'
    CLOSE = 'close'


class ResponseHead(typing.NamedTuple):
    """The head of a response; ``length`` is None if not given."""

    status: int
    fields: Fields
    length: int | None

    @property
    def framing(self) -> Framing:
        """Return what marks the end of the body."""
        if self.fields.find(b'transfer-encoding') is not None:
            return Framing.CHUNKED
        return Framing.CLOSE if self.length is None else Framing.LENGTH

    @property
    def is_framed(self) -> bool:
        """Return whether the body's end is marked by a length or chunks."""
        return self.framing is not Framing.CLOSE


@enum.unique
class Ending(enum.Enum):
    """How a response ended.

    CLOSED and RESET mean that the connection ended before the response did.
    """

    COMPLETE = 'complete'
    CLOSED = 'closed'
    RESET = 'reset'
    MALFORMED = 'malformed'


def is_valid_status(status: int) -> bool:
    """Return whether a response may have a status (RFC 9110, section 15)."""
    return _MIN_STATUS <= status <= _MAX_STATUS


def format_request(
    method: bytes,
    target: bytes,
    fields: abc.Iterable[Header],
    body: bytes = b'',
) -> bytes:
    """Return the bytes of a request, with the length of its body."""
    parts = [method, b' ', target, b' HTTP/1.1\r\n']
    parts += [b'%b: %b\r\n' % pair for pair in fields]
    if body or method not in {b'GET', b'HEAD', b'DELETE'}:
        parts.append(b'Content-Length: %d\r\n' % len(body))
    parts += (b'\r\n', body)
    return b''.join(parts)


def format_head(
    status: int,
    fields: abc.Iterable[Header],
    *,
    framing: Framing,
    length: int | None,
    close: bool,
) -> bytes:
    """Return the bytes of a response head with its framing fields."""
    parts = [b'HTTP/1.1 %d ' % status, _PHRASES.get(status, b''), b'\r\n']
    parts += [b'%b: %b\r\n' % pair for pair in fields]
    if framing is Framing.CHUNKED:
        parts.append(b'Transfer-Encoding: chunked\r\n')
    elif length is not None:
        parts.append(b'Content-Length: %d\r\n' % length)
    if close:
        parts.append(b'Connection: close\r\n')
    parts.append(b'\r\n')
    return b''.join(parts)


def list_end_to_end(fields: Fields) -> list[Header]:
    """Return the fields that do not apply to one connection only."""
    listed = fields.find(b'connection') or b''
    hops = HOP_BY_HOP
    if listed:
        hops = hops | {name.strip().lower() for name in listed.split(b',')}
    return [pair for pair in fields.pairs if pair[0].lower() not in hops]
