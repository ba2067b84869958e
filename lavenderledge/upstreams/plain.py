"""Calls to plain services: one request, one whole answer."""

import asyncio
import http
import typing
from collections import abc

import aiohttp
import expression

from lavenderledge.upstreams import connection

_HOP_HEADERS = frozenset(
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
    """A service's whole answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class TooLarge(typing.NamedTuple):
    """The answer was larger than this instance buffers."""

    max_answer_bytes: int


Failure: typing.TypeAlias = connection.Failure | TooLarge


def select_headers(headers: abc.Mapping[str, str]) -> dict[str, str]:
    """Return the headers that are passed on between caller and service."""
    return {
        name.lower(): text
        for name, text in headers.items()
        if name.lower() not in _HOP_HEADERS
    }


def is_refusal(whole: ServiceAnswer) -> bool:
    """Return whether an answer says that the service takes no work now."""
    if whole.status != http.HTTPStatus.SERVICE_UNAVAILABLE:
        return False
    return any(name == 'retry-after' for name, _ in whole.headers)


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
    """Send a call and read its whole answer into memory."""
    sent = await client.send(
        method,
        url,
        before_first_byte=before_first_byte,
        headers=headers,
        body=body or None,
    )
    if sent.is_error():
        return expression.Error(sent.error)
    return await _read_whole(sent.ok, max_answer_bytes)


async def _read_whole(
    response: aiohttp.ClientResponse, max_answer_bytes: int
) -> 'expression.Result[ServiceAnswer, Failure]':
    try:
        return await _gather_body(response, max_answer_bytes)
    except (aiohttp.ClientError, asyncio.IncompleteReadError, OSError) as error:
        return expression.Error(
            connection.Lost(f'{type(error).__name__}: {error}')
        )
    finally:
        response.close()


async def _gather_body(
    response: aiohttp.ClientResponse, max_answer_bytes: int
) -> 'expression.Result[ServiceAnswer, Failure]':
    body = bytearray()
    async for chunk in response.content.iter_any():
        body.extend(chunk)
        if len(body) > max_answer_bytes:
            return expression.Error(TooLarge(max_answer_bytes))
    headers = tuple(select_headers(response.headers).items())
    return expression.Ok(ServiceAnswer(response.status, headers, bytes(body)))
