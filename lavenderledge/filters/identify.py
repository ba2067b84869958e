"""The filter that reads customer, kind, key and timeout headers."""

import math

import expression

from lavenderledge import outcomes
from lavenderledge.filters import exchange

CUSTOMER_HEADER = 'x-customer'
KIND_HEADER = 'x-request-kind'
KEY_HEADER = 'idempotency-key'
TIMEOUT_HEADER = 'x-request-timeout'

_MAX_NAME_CHARS = 200
_DEFAULT_KIND = 'default'


async def identify(
    current: exchange.Exchange, proceed: exchange.Handler
) -> exchange.Outcome:
    """Set the identity from the headers; refuse malformed headers."""
    identity = _read_identity(current)
    if identity.is_error():
        return expression.Error(identity.error)
    current.identity = identity.ok
    return await proceed(current)


def _read_identity(
    current: exchange.Exchange,
) -> 'expression.Result[exchange.Identity, outcomes.Refusal]':
    headers = current.call.headers
    customer = headers.get(CUSTOMER_HEADER, '').strip()
    if not customer:
        return current.refuse(
            outcomes.Reason.CUSTOMER_MISSING, 'the X-Customer header is missing'
        )
    for name in (CUSTOMER_HEADER, KIND_HEADER, KEY_HEADER):
        if len(headers.get(name, '')) > _MAX_NAME_CHARS:
            return current.refuse(
                outcomes.Reason.MALFORMED,
                f'the {name} header exceeds {_MAX_NAME_CHARS} characters',
            )
    return _read_timeout(current).map(
        lambda timeout_s: exchange.Identity(
            customer,
            headers.get(KIND_HEADER, _DEFAULT_KIND).strip(),
            headers.get(KEY_HEADER, '').strip() or None,
            timeout_s,
        )
    )


def _read_timeout(
    current: exchange.Exchange,
) -> 'expression.Result[float | None, outcomes.Refusal]':
    text = current.call.headers.get(TIMEOUT_HEADER)
    if text is None:
        return expression.Ok(None)
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = math.nan
    if math.isfinite(timeout_s) and timeout_s > 0:
        return expression.Ok(timeout_s)
    return current.refuse(
        outcomes.Reason.MALFORMED,
        'the X-Request-Timeout header must be a positive number of seconds',
    )
