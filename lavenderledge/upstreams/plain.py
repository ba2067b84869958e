"""Calls to plain services: one request, one buffered answer."""

import asyncio
import http
import re
import typing
from collections import abc

import aiohttp
import expression

from lavenderledge.upstreams import connection

# Servers send no header value that has one of these.
_CONTROL_CHARACTERS = re.compile('[\x00-\x08\x0a-\x1f\x7f]')
_HOP_BY_HOP = frozenset(
    (
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


class ServiceAnswer(typing.NamedTuple):
    """The complete answer of a service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class TooLarge(typing.NamedTuple):
    """The answer was larger than ``max_answer_bytes``."""

    max_answer_bytes: int


Failure: typing.TypeAlias = connection.Failure | TooLarge


def select_headers(headers: abc.Mapping[str, str]) -> dict[str, str]:
    """Return the end-to-end headers, with names in lower case."""
    return {
        name.lower(): text
        for name, text in headers.items()
        if name.lower() not in _HOP_BY_HOP
    }


def is_refusal(answer: ServiceAnswer) -> bool:
    """Return whether the service refused: status 503 and Retry-After."""
    if answer.status != http.HTTPStatus.SERVICE_UNAVAILABLE:
        return False
    return any(name == 'retry-after' for name, _ in answer.headers)


async def call_service(
    *,
    client: connection.UpstreamClient,
    method: str,
    url: str,
    headers: abc.Mapping[str, str],
    body: bytes,
    before_first_byte: connection.BeforeFirstByte,
    max_answer_bytes: int,
) -> 'expression.Result[ServiceAnswer, Failure]':
    """Send a call and read its complete answer into memory."""
    reset = asyncio.Event()
    sent = await client.send(
        method,
        url,
        before_first_byte=before_first_byte,
        headers=headers,
        body=body or None,
        on_reset=reset.set,
    )
    if sent.is_error():
        return expression.Error(sent.error)
    answer = await _read_answer(sent.ok, max_answer_bytes)
    if answer.is_ok() and reset.is_set() and not _is_framed(sent.ok):
        return expression.Error(
            connection.Lost('the connection was reset inside the answer')
        )
    return answer


def _is_framed(response: aiohttp.ClientResponse) -> bool:
    """Return whether the body's end is marked by a length or chunks."""
    return (
        'Content-Length' in response.headers
        or 'Transfer-Encoding' in response.headers
    )


async def _read_answer(
    response: aiohttp.ClientResponse, max_answer_bytes: int
) -> 'expression.Result[ServiceAnswer, Failure]':
    try:
        return await _read_body(response, max_answer_bytes)
    except (aiohttp.ClientError, asyncio.IncompleteReadError, OSError) as error:
        return expression.Error(
            connection.Lost(f'{type(error).__name__}: {error}')
        )
    finally:
        response.close()


async def _read_body(
    response: aiohttp.ClientResponse, max_answer_bytes: int
) -> 'expression.Result[ServiceAnswer, Failure]':
    body = bytearray()
    async for chunk in response.content.iter_any():
        body.extend(chunk)
        if len(body) > max_answer_bytes:
            return expression.Error(TooLarge(max_answer_bytes))
    headers = _read_headers(response)
    is_valid = connection.is_final(response.status) and not any(
        _CONTROL_CHARACTERS.search(text) for _, text in headers
    )
    if not is_valid:
        return expression.Error(connection.Lost('the head is invalid'))
    return expression.Ok(ServiceAnswer(response.status, headers, bytes(body)))


def _read_headers(
    response: aiohttp.ClientResponse,
) -> tuple[tuple[str, str], ...]:
    """Return the end-to-end headers; a character stands for each byte."""
    return tuple(
        (name, text.encode('utf-8', 'surrogateescape').decode('latin-1'))
        for name, text in select_headers(response.headers).items()
    )
