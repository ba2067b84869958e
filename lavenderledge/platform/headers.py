"""The platform's HTTP header fields, read and written."""

import typing

from lavenderledge.http1 import messages
from lavenderledge.policy import upstreamnotices
from lavenderledge.proxy import events, headercodec

_REQUEST_ID: typing.Final = b'attempt-id'
_DEADLINE: typing.Final = b'deadline-ms'
_TOKEN_COUNT: typing.Final = b'token-count'
# The caller's estimate of the output tokens.
_LENGTH_HINT: typing.Final = b'length-hint'
_LAST_EVENT_ID: typing.Final = b'last-event-id'
_PROMPT_PREFIX: typing.Final = b'prompt-prefix'
_AUTHORIZATION: typing.Final = b'authorization'
_RESPONSE_SEAL: typing.Final = b'response-seal'
_NOT_RUN: typing.Final = b'not-executed'
_SERVER_LOAD: typing.Final = b'server-load'
# Requests per second that a replica takes from all instances together.
_SERVER_LIMIT: typing.Final = b'server-limit'
_SERVER_LEAVING: typing.Final = b'server-leaving'
_RETRY_AFTER: typing.Final = b'retry-after'
# A field of the event at which the version of the replica's model changes.
_WEIGHT_VERSIONS: typing.Final = b'weight-versions'
_BEARER_PREFIX: typing.Final = b'bearer '
_SERVER_LOAD_COUNT: typing.Final = 4
_NORMAL_SLOWNESS: typing.Final = 100
_MILLISECONDS: typing.Final = 1000
_MAX_ID_LENGTH: typing.Final = 200
_MAX_SHARED_PARTS: typing.Final = 32
_MIN_DEADLINE_MS: typing.Final = 1

# Fields of callers' requests that are not forwarded; some are set anew.
_RESERVED: typing.Final = frozenset(
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
        _LAST_EVENT_ID,
    )
)


def parse_request(
    request: messages.Request,
) -> headercodec.ParsedRequest | headercodec.MalformedRequest:
    """Return the parsed request, or why it is malformed."""
    fields = request.fields
    request_id = _read_text(fields.find(_REQUEST_ID))
    if not request_id or len(request_id) > _MAX_ID_LENGTH:
        return headercodec.MalformedRequest(
            messages.BAD_REQUEST,
            f'expected attempt-id of 1 to {_MAX_ID_LENGTH} characters, '
            f'got {len(request_id)}',
        )
    host = fields.find(b'host')
    if host is None or fields.count(b'host') != 1:
        return headercodec.MalformedRequest(
            messages.BAD_REQUEST,
            f'expected one Host field, got {fields.count(b"host")}',
        )
    target = request.target
    if not target.startswith(b'/'):
        return headercodec.MalformedRequest(
            messages.BAD_REQUEST, 'expected a target that starts with /'
        )
    tokens = _read_tokens(fields.find(_TOKEN_COUNT))
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
        shared_parts=_read_shared_parts(fields.find(_PROMPT_PREFIX)),
        last_event_id=_read_text(fields.find(_LAST_EVENT_ID)) or None,
        hint_tokens=_read_number(fields.find(_LENGTH_HINT)),
    )


def build_upstream_request(
    request: messages.Request, context: headercodec.ForwardContext
) -> bytes:
    """Return the bytes of the request to a replica."""
    fields = [
        pair
        for pair in messages.list_end_to_end(request.fields)
        if pair[0].lower() not in _RESERVED
    ]
    deadline_ms = max(
        _MIN_DEADLINE_MS, int(context.remaining_s * _MILLISECONDS)
    )
    fields.append((b'Deadline-Ms', b'%d' % deadline_ms))
    fields.append((b'Expect-Instance', context.replica.encode()))
    if context.customer is not None:
        fields.append((b'Tenant', context.customer.encode()))
    if context.last_event_id is not None:
        fields.append(
            (b'Last-Event-Id', context.last_event_id.encode('latin-1'))
        )
    return messages.format_request(
        request.method, request.target, fields, request.body
    )


def parse_response(
    head: messages.ResponseHead, parsed: headercodec.ParsedRequest
) -> headercodec.ParsedResponse:
    """Return the parsed head of a replica's response."""
    fields = head.fields
    echoed_id = fields.find(_REQUEST_ID)
    not_run = fields.find(_NOT_RUN) is not None
    misdirected = head.status == messages.MISDIRECTED
    if echoed_id is None:
        # A replica may reject a request before it has read the id.
        matches_request = not_run or misdirected
    else:
        matches_request = _read_text(echoed_id) == parsed.request_id
    return headercodec.ParsedResponse(
        matches_request=matches_request,
        has_id=echoed_id is not None,
        is_signed=_is_signed(fields),
        has_not_run=not_run or misdirected,
        is_encoded=_is_encoded(fields),
        slowness=_read_slowness(fields.find(_SERVER_LOAD)),
        notice=upstreamnotices.Notice(
            limit_per_s=_read_number(fields.find(_SERVER_LIMIT)),
            is_leaving=fields.find(_SERVER_LEAVING) == b'1',
            is_refusal=not_run or misdirected,
            pause_s=_read_pause(head),
        ),
    )


def build_local_fields(
    request_id: str, retry_after_s: float | None
) -> list[messages.Header]:
    """Return the header fields of a response that no replica has sent."""
    fields = [(b'Attempt-Id', request_id.encode('latin-1'))]
    if retry_after_s is not None:
        fields.append((b'Retry-After', b'%.3f' % retry_after_s))
    return fields


HEADER_CODEC: typing.Final = headercodec.HeaderCodec(
    parse_request=parse_request,
    build_upstream_request=build_upstream_request,
    parse_response=parse_response,
    build_local_fields=build_local_fields,
    event_fields=events.FIELDS | {_WEIGHT_VERSIONS},
)


def _is_signed(fields: messages.Fields) -> bool:
    """Return whether a response's seal reaches the caller."""
    if not fields.find(_RESPONSE_SEAL):
        return False
    if fields.find(b'connection') is None:
        return True
    passed = messages.Fields(messages.list_end_to_end(fields))
    return passed.find(_RESPONSE_SEAL) is not None


def _is_encoded(fields: messages.Fields) -> bool:
    """Return whether a body has a coding that is not removed here."""
    if fields.find(b'content-encoding') is not None:
        return True
    coding = fields.find(b'transfer-encoding')
    if coding is None:
        return False
    is_repeated = fields.count(b'transfer-encoding') > 1
    return is_repeated or coding.lower() != b'chunked'


def _read_text(text: bytes | None) -> str:
    return '' if text is None else text.decode('latin-1')


def _read_host(text: bytes) -> str:
    return text.decode('latin-1').partition(':')[0].lower()


def _read_key(text: bytes | None) -> str | None:
    if text is None or text[: len(_BEARER_PREFIX)].lower() != _BEARER_PREFIX:
        return None
    return text[len(_BEARER_PREFIX) :].strip().decode('latin-1')


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


def _read_shared_parts(text: bytes | None) -> tuple[str, ...]:
    """Return the ids in a prompt prefix without the last, the request's own."""
    parts = _read_text(text).split(',')[:-1]
    return tuple(
        part.partition(':')[0].strip()[:_MAX_ID_LENGTH]
        for part in parts[:_MAX_SHARED_PARTS]
    )


def _read_pause(head: messages.ResponseHead) -> float:
    """Return for how many seconds a replica that is full wants no requests."""
    if head.status != messages.UNAVAILABLE:
        return 0
    return _read_number(head.fields.find(_RETRY_AFTER)) or 0


def _read_slowness(text: bytes | None) -> float:
    """Return the fourth number of a server load as a ratio, 0 if unknown."""
    if text is None:
        return 0
    numbers = text.split(b',')
    if len(numbers) < _SERVER_LOAD_COUNT:
        return 0
    number = _read_number(numbers[_SERVER_LOAD_COUNT - 1])
    return 0 if number is None else number / _NORMAL_SLOWNESS
