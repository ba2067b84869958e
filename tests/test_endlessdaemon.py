"""Clients of the daemon's servers that send bytes without end."""

import asyncio
import contextlib

import pytest

from lavenderledge.daemon import formats, server
from tests import platformfleet

# Limits of what is read, and the sockets' buffers on both sides.
MAX_SENT_BYTES = 16_000_000
ENDLESS_BYTES = 64_000_000
PIECE_BYTES = 65_536
START = b'POST / HTTP/1.1\r\nHost: x\r\n'
HEAD = START + b'Transfer-Encoding: chunked\r\n\r\n'
CHUNK = b'5\r\nwhole\r\n'
REQUEST = b'GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'

# What is sent first, and what is then repeated.
CASES = {
    'blank lines': (b'', b'\r\n'),
    'target': (b'GET /', b'x'),
    'header value': (START + b'X-Filler: ', b'x'),
    'header fields': (START, b'X-Filler: x\r\n'),
    'extension': (HEAD + b'5;x=', b'x'),
    'size of zeros': (HEAD + CHUNK, b'0'),
    'trailer value': (HEAD + CHUNK + b'0\r\nX-Filler: ', b'x'),
    'trailer fields': (HEAD + CHUNK + b'0\r\n', b'X-Filler: x\r\n'),
    'requests': (b'', b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'),
}


async def read_and_answer(scope, receive, send):
    """Read a request's body, then answer with it."""
    body = b''
    message = {'more_body': True}
    while message.get('more_body'):
        message = await receive()
        body += message.get('body', b'')
    await send({'type': 'http.response.start', 'status': 200, 'headers': []})
    await send({'type': 'http.response.body', 'body': body})


@contextlib.asynccontextmanager
async def serving(handle=read_and_answer):
    """Run a server; yield its port."""
    bound = server.bind_socket(formats.Address('127.0.0.1', 0)).ok
    running = server.build_server(handle)
    task = asyncio.create_task(running.serve(sockets=[bound]))
    try:
        async with asyncio.timeout(platformfleet.TIMEOUT_S):
            await platformfleet.wait_until(lambda: running.started)
            yield bound.getsockname()[1]
    finally:
        running.force_exit = True
        running.should_exit = True
        await task


async def exchange(port, data):
    """Return all that is received for a request that closes."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    with contextlib.closing(writer):
        writer.write(data)
        return await reader.read()


async def send_without_end(port, start, filler):
    """Send until the other side closes; return how many bytes were sent."""
    _, writer = await asyncio.open_connection('127.0.0.1', port)
    piece = filler * (PIECE_BYTES // len(filler))
    sent_bytes = 0
    writer.write(start)
    with contextlib.suppress(ConnectionError):
        while sent_bytes < ENDLESS_BYTES:
            writer.write(piece)
            await writer.drain()
            sent_bytes += len(piece)
    writer.transport.abort()
    return sent_bytes


@pytest.mark.parametrize('case', CASES)
async def test_bytes_without_end_are_not_read(case):
    async with serving() as port:
        sending = asyncio.create_task(send_without_end(port, *CASES[case]))
        while not sending.done():
            async with asyncio.timeout(1):
                answer = await exchange(port, REQUEST)
            assert answer.startswith(b'HTTP/1.1 200 ')
        sent_bytes = await sending
    assert sent_bytes < MAX_SENT_BYTES


@pytest.mark.parametrize('extension', [b'', b';signature=' + b'0' * 64])
async def test_a_request_in_small_chunks_with_trailers_is_read(extension):
    scopes = []

    async def handle(scope, receive, send):
        scopes.append(scope)
        await read_and_answer(scope, receive, send)

    chunks = (b'1%b\r\nx\r\n' % extension) * 20_000
    head = START + b'Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n'
    async with serving(handle) as port:
        answer = await exchange(
            port, head + chunks + b'0\r\nAuthorization: other\r\n\r\n'
        )
    assert answer.startswith(b'HTTP/1.1 200 ')
    assert answer.count(b'x') >= 20_000
    assert b'authorization' not in dict(scopes[0]['headers'])
