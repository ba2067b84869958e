"""The body of a request to an engine, and the prompt in it."""

import re
import typing

import expression
import msgspec
import xxhash

from lavenderledge.standins import prefixcache

_RESPONSE_ID = re.compile(r'[\w.:-]{1,128}')
_LEAST_OUTPUT_TOKENS = 20
_OUTPUT_SPREAD_TOKENS = 200


class Part(typing.TypedDict):
    """One part of a message's content."""

    type: str
    text: str


class Message(typing.TypedDict):
    """One message of the input."""

    role: str
    content: str | list[Part]


class _RequiredFields(typing.TypedDict):
    model: str
    input: str | list[Message]


class CreateRequest(_RequiredFields, total=False):
    """The body of ``POST /v1/responses``.

    ``request_id`` becomes the response's id; ``metadata.output_tokens`` sets
    the length of the answer.
    """

    stream: bool
    max_output_tokens: int | None
    request_id: str
    metadata: dict[str, typing.Any] | None


class RequestError(typing.NamedTuple):
    """A body that is not understood."""

    message: str


def parse(body: bytes) -> expression.Result[CreateRequest, RequestError]:
    """Return a request's body, or what is wrong with it."""
    try:
        creation = msgspec.json.decode(body, type=CreateRequest)
    except msgspec.MsgspecError as error:
        return expression.Error(RequestError(str(error)))
    if not _RESPONSE_ID.fullmatch(creation.get('request_id', 'absent')):
        return expression.Error(RequestError('request_id is not an id'))
    return expression.Ok(creation)


def render_prompt(creation: CreateRequest) -> str:
    """Return the prompt's text: each message is ``role: content`` a line."""
    given = creation['input']
    if isinstance(given, str):
        return given
    return ''.join(
        f'{message["role"]}: {_join_content(message["content"])}\n'
        for message in given
    )


def count_output_tokens(creation: CreateRequest) -> int:
    """Return how many tokens the answer has, at least one."""
    metadata = creation.get('metadata') or {}
    wanted = metadata.get('output_tokens')
    if wanted is None or not str(wanted).isdecimal():
        digest = xxhash.xxh64_intdigest(render_prompt(creation).encode())
        wanted = _LEAST_OUTPUT_TOKENS + digest % _OUTPUT_SPREAD_TOKENS
    cap = creation.get('max_output_tokens')
    if cap is not None:
        wanted = min(int(wanted), cap)
    return max(int(wanted), 1)


def count_prompt_tokens(creation: CreateRequest) -> int:
    """Return the prompt's tokens."""
    return prefixcache.count_tokens(render_prompt(creation))


def _join_content(content: str | list[Part]) -> str:
    if isinstance(content, str):
        return content
    return ''.join(part['text'] for part in content)
