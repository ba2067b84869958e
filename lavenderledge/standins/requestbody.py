"""The request body of the engine stand-in and the prompt in it."""

import re
import typing

import expression
import msgspec
import xxhash

from lavenderledge.standins import prefixcache

_RESPONSE_ID = re.compile(r'[\w.:-]{1,128}')
_MIN_OUTPUT_TOKENS = 20
_OUTPUT_SPREAD_TOKENS = 200


class Part(typing.TypedDict):
    """One part of a message's content."""

    type: str
    text: str


class Message(typing.TypedDict):
    """One message of the prompt."""

    role: str
    content: str | list[Part]


class _RequiredFields(typing.TypedDict):
    model: str
    input: str | list[Message]


class CreateRequest(_RequiredFields, total=False):
    """The body of ``POST /v1/responses``.

    ``request_id`` becomes the response's id; ``metadata.output_tokens`` sets
    the number of output tokens.
    """

    stream: bool
    max_output_tokens: int | None
    request_id: str
    metadata: dict[str, typing.Any] | None


class RequestError(typing.NamedTuple):
    """Why a request body is invalid."""

    message: str


def parse(body: bytes) -> expression.Result[CreateRequest, RequestError]:
    """Return the decoded request body, or why it is invalid."""
    try:
        request = msgspec.json.decode(body, type=CreateRequest)
    except msgspec.MsgspecError as error:
        return expression.Error(RequestError(str(error)))
    if not _RESPONSE_ID.fullmatch(request.get('request_id', 'absent')):
        return expression.Error(RequestError('request_id is not an id'))
    return expression.Ok(request)


def render_prompt(request: CreateRequest) -> str:
    """Return the prompt's text, with a line ``role: content`` a message."""
    prompt = request['input']
    if isinstance(prompt, str):
        return prompt
    return ''.join(
        f'{message["role"]}: {_join_content(message["content"])}\n'
        for message in prompt
    )


def count_output_tokens(request: CreateRequest) -> int:
    """Return the number of output tokens, at least one."""
    metadata = request.get('metadata') or {}
    tokens = metadata.get('output_tokens')
    if tokens is None or not str(tokens).isdecimal():
        digest = xxhash.xxh64_intdigest(render_prompt(request).encode())
        tokens = _MIN_OUTPUT_TOKENS + digest % _OUTPUT_SPREAD_TOKENS
    max_tokens = request.get('max_output_tokens')
    if max_tokens is not None:
        tokens = min(int(tokens), max_tokens)
    return max(int(tokens), 1)


def count_prompt_tokens(request: CreateRequest) -> int:
    """Return the number of prompt tokens."""
    return prefixcache.count_tokens(render_prompt(request))


def _join_content(content: str | list[Part]) -> str:
    if isinstance(content, str):
        return content
    return ''.join(part['text'] for part in content)
