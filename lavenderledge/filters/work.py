"""Parsing of requests into the work for an upstream."""

import typing
from collections import abc

import expression
import msgspec

from lavenderledge import outcomes
from lavenderledge.filters import exchange

SERVICES_PREFIX = '/services/'

_MAX_NAME_CHARS = 200
_RESERVED = frozenset(':/?#')

Document: typing.TypeAlias = dict[str, typing.Any]
_WorkResult: typing.TypeAlias = (
    'expression.Result[exchange.Work, outcomes.Refusal]'
)


def read_response_work(current: exchange.Exchange) -> _WorkResult:
    """Read the body of ``POST /v1/responses``."""
    try:
        document = msgspec.json.decode(current.call.body, type=Document)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return current.refuse(
            outcomes.Reason.MALFORMED, f'the body is not a JSON object: {error}'
        )
    model = document.get('model')
    if not isinstance(model, str) or not is_pool_name(model):
        return current.refuse(
            outcomes.Reason.MALFORMED, 'the body has no valid model name'
        )
    prompt = _join_input(document.get('input'))
    if prompt is None:
        return current.refuse(
            outcomes.Reason.MALFORMED,
            'input must be a string or a list of messages',
        )
    limit = document.get('max_output_tokens')
    if limit is not None and not _is_count(limit):
        return current.refuse(
            outcomes.Reason.MALFORMED,
            'max_output_tokens must be a positive integer',
        )
    current.background = document.get('background') is True
    return expression.Ok(
        exchange.Work(
            pool=model,
            path='/v1/responses',
            model=model,
            prompt=prompt,
            stream=document.get('stream') is True,
            output_limit=limit,
        )
    )


def read_service_work(current: exchange.Exchange) -> _WorkResult:
    """Read a call to ``/services/NAME/PATH`` of a plain service."""
    target = current.call.path.removeprefix(SERVICES_PREFIX)
    service, _, path = target.partition('/')
    if not is_pool_name(service):
        return current.refuse(
            outcomes.Reason.MALFORMED, 'the path has no valid service name'
        )
    query = current.call.query
    return expression.Ok(
        exchange.Work(
            pool=service,
            path=f'/{path}?{query}' if query else f'/{path}',
            model='',
            prompt='',
            stream=False,
            output_limit=None,
        )
    )


def is_pool_name(name: str) -> bool:
    """Return whether a name is valid for a pool."""
    if not name or len(name) > _MAX_NAME_CHARS or not name.isprintable():
        return False
    return not _RESERVED.intersection(name)


def build_engine_body(body: bytes, response_id: str) -> bytes:
    """Return the body for an engine, with streaming and the response ID."""
    document = msgspec.json.decode(body, type=Document)
    document['stream'] = True
    document['request_id'] = response_id
    return msgspec.json.encode(document)


def _is_count(number: object) -> bool:
    if isinstance(number, bool) or not isinstance(number, int):
        return False
    return number > 0


def _join_input(prompt: object) -> str | None:
    """Return the prompt as engines render it, for digests and counts."""
    if isinstance(prompt, str):
        return prompt
    if not isinstance(prompt, list):
        return None
    parts = [_read_content(message) for message in prompt]
    if None in parts:
        return None
    return ''.join(part for part in parts if part)


def _read_content(message: object) -> str | None:
    if not isinstance(message, abc.Mapping):
        return None
    content = _join_parts(message.get('content'))
    if content is None:
        return None
    return f'{message.get("role", "")}: {content}\n'


def _join_parts(content: object) -> str | None:
    if isinstance(content, str):
        return content
    if not isinstance(content, list):
        return None
    texts = (part.get('text') for part in content if isinstance(part, dict))
    return ''.join(text for text in texts if isinstance(text, str))


def make_read_work(
    read: abc.Callable[[exchange.Exchange], _WorkResult],
) -> exchange.Filter:
    """Return a filter that sets the work that ``read`` returns."""

    async def read_work(
        current: exchange.Exchange, proceed: exchange.Handler
    ) -> exchange.Outcome:
        work = read(current)
        if work.is_error():
            return expression.Error(work.error)
        current.work = work.ok
        return await proceed(current)

    return read_work
