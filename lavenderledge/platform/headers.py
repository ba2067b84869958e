"""How callers and replicas speak on the platform."""

import typing

from lavenderledge.http1 import messages
from lavenderledge.proxy import headercodec

_REQUEST_ID: typing.Final = b'attempt-id'
_DEADLINE: typing.Final = b'deadline-ms'
_TOKENS: typing.Final = b'token-count'
_LAST_EVENT: typing.Final = b'last-event-id'
_AUTHORIZATION: typing.Final = b'authorization'
_SEAL: typing.Final = b'response-seal'
_NOT_RUN: typing.Final = b'not-executed'
_LOAD: typing.Final = b'server-load'
_BEARER: typing.Final = b'bearer '
_LOAD_FIGURES: typing.Final = 4
_USUAL: typing.Final = 100
_MILLISECONDS: typing.Final = 1000
_ID_LIMIT: typing.Final = 200
_LEAST_DEADLINE_MS: typing.Final = 1

# Set by the system alone, whatever a caller sent.
_OWN: typing.Final = frozenset(
    (
        b'tenant',
        b'expect-instance',
        b'expect-version',
        b'hold',
        b'pin-ms',
        b'kv-backup',
        b'kv-from',
        b'kv-fetch',
        _DEADLINE,
        _AUTHORIZATION,
        _LAST_EVENT,
    )
)


def parse_request(
    request: messages.Request,
) -> headercodec.ParsedRequest | headercodec.MalformedRequest:
    """Decode a caller's request."""
    fields = request.fields
    request_id = _read_text(fields.find(_REQUEST_ID))
    if not request_id or len(request_id) > _ID_LIMIT:
        return headercodec.MalformedRequest(
            messages.BAD_REQUEST, 'no request id'
        )
    host = fields.find(b'host')
    if host is None or fields.count(b'host') != 1:
        return headercodec.MalformedRequest(
            messages.BAD_REQUEST, 'not one host'
        )
    target = request.target
    if not target.startswith(b'/'):
        return headercodec.MalformedRequest(messages.BAD_REQUEST, 'no path')
    tokens = _read_tokens(fields.find(_TOKENS))
    deadline_ms = _read_number(fields.find(_DEADLINE))
    return headercodec.ParsedRequest(
        request_id=request_id,
        host=_read_host(host),
        path=target.partition(b'?')[0].decode('latin-1'),
        key=_read_key(fields.find(_AUTHORIZATION)),
        remaining_s=None
        if deadline_ms is None
        else deadline_ms / _MILLISECONDS,
        has_tokens=tokens is not None,
        prompt_tokens=tokens[0] if tokens else 0,
        output_tokens=tokens[1] if tokens else 0,
        last_event_id=_read_text(fields.find(_LAST_EVENT)) or None,
    )


def build_upstream_request(
    request: messages.Request, onward: headercodec.ForwardContext
) -> bytes:
    """Return the request's bytes for a replica."""
    fields = [
        pair
        for pair in messages.list_end_to_end(request.fields)
        if pair[0].lower() not in _OWN
    ]
    deadline_ms = max(
        _LEAST_DEADLINE_MS, int(onward.remaining_s * _MILLISECONDS)
    )
    fields.append((b'Deadline-Ms', b'%d' % deadline_ms))
    fields.append((b'Expect-Instance', onward.replica.encode()))
    if onward.customer is not None:
        fields.append((b'Tenant', onward.customer.encode()))
    if onward.last_event_id is not None:
        fields.append((b'Last-Event-Id', onward.last_event_id.encode()))
    return messages.format_request(
        request.method, request.target, fields, request.body
    )


def parse_response(
    head: messages.ResponseHead, call: headercodec.ParsedRequest
) -> headercodec.ParsedResponse:
    """Decode the head of a replica's response."""
    fields = head.fields
    echoed = fields.find(_REQUEST_ID)
    not_run = fields.find(_NOT_RUN) is not None
    misdirected = head.status == messages.MISDIRECTED
    if echoed is None:
        # Rejections before the request was looked at may lack the id.
        is_ours = not_run or misdirected
    else:
        is_ours = _read_text(echoed) == call.request_id
    return headercodec.ParsedResponse(
        is_ours=is_ours,
        is_signed=fields.find(_SEAL) is not None,
        has_not_run=not_run or misdirected,
        is_encoded=fields.find(b'content-encoding') is not None,
        slowness=_read_slowness(fields.find(_LOAD)),
    )


def build_local_fields(
    request_id: str, retry_after_s: float | None
) -> list[messages.Header]:
    """Return the fields of an answer that the system gives itself."""
    fields = [(b'Attempt-Id', request_id.encode('latin-1'))]
    if retry_after_s is not None:
        fields.append((b'Retry-After', b'%.3f' % retry_after_s))
    return fields


HEADER_CODEC: typing.Final = headercodec.HeaderCodec(
    parse_request=parse_request,
    build_upstream_request=build_upstream_request,
    parse_response=parse_response,
    build_local_fields=build_local_fields,
)


def _read_text(text: bytes | None) -> str:
    return '' if text is None else text.decode('latin-1')


def _read_host(text: bytes) -> str:
    return text.decode('latin-1').partition(':')[0].lower()


def _read_key(text: bytes | None) -> str | None:
    if text is None or text[: len(_BEARER)].lower() != _BEARER:
        return None
    return text[len(_BEARER) :].strip().decode('latin-1')


def _read_number(text: bytes | None) -> float | None:
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number < float('inf') else None


def _read_tokens(text: bytes | None) -> tuple[int, int] | None:
    if text is None:
        return None
    prompt, _, output = text.partition(b',')
    try:
        counts = int(prompt), int(output)
    except ValueError:
        return None
    return counts if min(counts) >= 0 else None


def _read_slowness(text: bytes | None) -> float:
    """Return the fourth figure of a load: how long work takes, 100 as usual."""
    if text is None:
        return 0
    figures = text.split(b',')
    if len(figures) < _LOAD_FIGURES:
        return 0
    number = _read_number(figures[_LOAD_FIGURES - 1])
    return 0 if number is None else number / _USUAL
