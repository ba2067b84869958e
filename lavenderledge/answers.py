"""Answers of HTTP services that are read whole."""

import aiohttp


async def read_body(
    response: aiohttp.ClientResponse, *, max_bytes: int
) -> bytes:
    """Return the whole body.

    Raises ``aiohttp.ClientPayloadError`` if it is larger than ``max_bytes``;
    the caller closes the response.
    """
    body = bytearray()
    async for part in response.content.iter_any():
        body += part
        if len(body) > max_bytes:
            raise aiohttp.ClientPayloadError(
                f'expected at most {max_bytes} bytes, got more'
            )
    return bytes(body)
