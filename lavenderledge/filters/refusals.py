"""Refusals as HTTP answers and events, and refusals after failures."""

import math
import typing

import msgspec

from lavenderledge import outcomes
from lavenderledge.filters import exchange
from lavenderledge.upstreams import connection, events


class _ErrorBody(typing.TypedDict):
    code: str
    outcome: str
    message: str
    request_id: str


def answer_refusal(
    request_id: str, refusal: outcomes.Refusal
) -> exchange.Answer:
    """Return the HTTP answer for a refusal: a JSON error with its code."""
    headers = [
        ('content-type', 'application/json'),
        (outcomes.OUTCOME_HEADER.lower(), refusal.outcome.value),
    ]
    if refusal.retry_after_s is not None:
        seconds = max(1, math.ceil(refusal.retry_after_s))
        headers.append(('retry-after', str(seconds)))
    return exchange.Answer(
        refusal.status, tuple(headers), format_refusal(request_id, refusal)
    )


def format_refusal(request_id: str, refusal: outcomes.Refusal) -> bytes:
    """Return a refusal's JSON document."""
    body = _ErrorBody(
        code=refusal.reason.value,
        outcome=refusal.outcome.value,
        message=refusal.detail,
        request_id=request_id,
    )
    return msgspec.json.encode({'error': body})


def format_stream_refusal(request_id: str, refusal: outcomes.Refusal) -> bytes:
    """Return a refusal as the last event of a stream."""
    return events.format_error(format_refusal(request_id, refusal))


def refuse_after_failure(
    current: exchange.Exchange, failure: connection.Failure
) -> exchange.Outcome:
    """Return the refusal for a failed connection."""
    match failure:
        case connection.NotSent(detail):
            return current.refuse(
                outcomes.Reason.CONNECT_FAILED, detail, retry_after_s=1
            )
        case connection.CheckFailed(detail):
            return current.refuse(
                outcomes.Reason.GRANT_LAPSED, detail, retry_after_s=1
            )
        case connection.Lost(detail):
            return current.refuse(outcomes.Reason.UPSTREAM_LOST, detail)
