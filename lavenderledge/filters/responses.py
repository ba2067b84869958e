"""Handlers for existing responses: read, resume and cancel."""

import http
import typing
from collections import abc
from urllib import parse

import expression

from lavenderledge import outcomes
from lavenderledge.filters import dispatch, exchange, identifiers, relay
from lavenderledge.upstreams import engine

FindAddress = abc.Callable[[str, str], str | None]

_READ_TIMEOUT_S = 600
_NOT_FOUND = 404


class _Target(typing.NamedTuple):
    address: str
    response_id: str


def make_read(
    context: dispatch.Context, *, find_address: FindAddress
) -> exchange.Handler:
    """Return a handler of ``GET /v1/responses/ID``.

    With ``stream=true`` the events after ``starting_after`` are relayed; any
    instance can do so.
    """

    async def read(current: exchange.Exchange) -> exchange.Outcome:
        target = _find_target(current, find_address)
        if target.is_error():
            return expression.Error(target.error)
        query = dict(parse.parse_qsl(current.call.query))
        after = query.get('starting_after', '-1')
        if not after.removeprefix('-').isdecimal():
            return current.refuse(
                outcomes.Reason.MALFORMED,
                'starting_after must be an integer',
            )
        current.deadline_s = current.call.received_s + _READ_TIMEOUT_S
        current.dispatch.start()
        current.is_retrieval = True
        streamed = query.get('stream') == 'true'
        stream = relay.open_stream(
            context,
            target.ok.address,
            target.ok.response_id,
            last_sequence=int(after) if streamed else -1,
        )
        current.cleanup.callback(stream.close)
        opened = await stream.open()
        if opened.is_error() and isinstance(opened.error, engine.Refused):
            return _refuse_read(current, opened.error)
        return await relay.answer_stream(
            context, current, stream, streamed=streamed
        )

    return read


def make_cancel(
    context: dispatch.Context, *, find_address: FindAddress
) -> exchange.Handler:
    """Return a handler of ``POST /v1/responses/ID/cancel``."""

    async def cancel(current: exchange.Exchange) -> exchange.Outcome:
        target = _find_target(current, find_address)
        if target.is_error():
            return expression.Error(target.error)
        current.dispatch.start()
        stream = relay.open_stream(
            context, target.ok.address, target.ok.response_id
        )
        if await stream.cancel():
            return expression.Ok(
                exchange.Answer(
                    http.HTTPStatus.OK,
                    relay.JSON_HEADERS,
                    b'{"cancelled":true}',
                )
            )
        return current.refuse(
            outcomes.Reason.UPSTREAM_LOST,
            'the engine did not confirm the cancellation',
        )

    return cancel


async def refuse_path(current: exchange.Exchange) -> exchange.Outcome:
    """Refuse a path that has no handler."""
    return current.refuse(
        outcomes.Reason.NO_SUCH_PATH,
        'unknown path; use /v1/responses or /services/NAME/PATH',
    )


def _refuse_read(
    current: exchange.Exchange, refused: engine.Refused
) -> exchange.Outcome:
    if refused.status == _NOT_FOUND:
        return current.refuse(
            outcomes.Reason.NO_SUCH_RESPONSE, 'the engine has no such response'
        )
    return current.refuse(
        outcomes.Reason.UPSTREAM_REFUSED,
        f'the engine answered with status {refused.status}',
        retry_after_s=refused.retry_after_s,
    )


def _find_target(
    current: exchange.Exchange, find_address: FindAddress
) -> 'expression.Result[_Target, outcomes.Refusal]':
    path = parse.unquote(current.call.path)
    text = path.removesuffix('/cancel').rpartition('/')[-1]
    parsed = identifiers.parse_id(text)
    tag = identifiers.tag_customer(current.identity.customer)
    if parsed is None or parsed.customer_tag != tag:
        return current.refuse(
            outcomes.Reason.NO_SUCH_RESPONSE, 'no such response'
        )
    address = find_address(parsed.pool, parsed.replica)
    if address is None:
        return current.refuse(
            outcomes.Reason.NO_SUCH_RESPONSE,
            'the replica of this response is gone',
        )
    return expression.Ok(_Target(address, text))
