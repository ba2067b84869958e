"""HTTP/1.1 connections: framing, limits and reuse."""

import asyncio
import subprocess
import sys

import hypothesis
import pytest
from hypothesis import strategies as st

from lavenderledge import clock as clocks
from lavenderledge.http1 import bounds, listener
from lavenderledge.proxy import events
from tests import platformfleet, platformstore

BOUNDS = bounds.Bounds(
    header_bytes=1000, body_bytes=100, header_timeout_s=0.2, idle_timeout_s=0.4
)


class Echo:
    """A listener that answers with the request body."""

    def __init__(self):
        self.requests = []
        self.faults = []
        self.listener = listener.Listener(
            handle=self.handle,
            clock=clocks.SystemClock(),
            bounds=BOUNDS,
            note_fault=self.faults.append,
            note_error=lambda error: None,
        )

    async def handle(self, request, reply):
        self.requests.append(request)
        reply.send(200, (), request.body)

    async def exchange(self, data, *, parts=1):
        """Send bytes on a connection; return all bytes received on it."""
        if not self.listener.port:
            await self.listener.listen('127.0.0.1', 0)
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.listener.port
        )
        size = -(-len(data) // parts)
        for begin in range(0, len(data), size):
            writer.write(data[begin : begin + size])
            await asyncio.sleep(0)
        try:
            async with asyncio.timeout(5):
                return await reader.read()
        finally:
            writer.close()


SMUGGLED = (
    b'POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n'
    b'\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n',
    b'POST / HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde',
    b'POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n',
    b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n'
    b'Transfer-Encoding: identity\r\n\r\n0\r\n\r\n',
    b'POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n',
    b'GET / HTTP/1.1\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\n',
    b'not http at all\r\n\r\n',
    b'POST / HTTP/1.1\r\nContent-Length : 4\r\n\r\nabcd',
)


@pytest.mark.parametrize('data', SMUGGLED)
async def test_ambiguous_messages_are_refused_and_closed(data):
    echo = Echo()
    answer = await echo.exchange(data)
    echo.listener.stop()
    assert answer.startswith(b'HTTP/1.1 400 ')
    assert b'Connection: close' in answer
    assert not echo.requests


@pytest.mark.parametrize(
    ('data', 'status'),
    [
        (b'GET / HTTP/1.1\r\nA: ' + b'x' * 2000 + b'\r\n\r\n', 431),
        (b'POST / HTTP/1.1\r\nContent-Length: 200\r\n\r\n' + b'x' * 200, 413),
    ],
)
async def test_requests_over_a_limit_are_refused(data, status):
    echo = Echo()
    answer = await echo.exchange(data)
    echo.listener.stop()
    assert answer.startswith(b'HTTP/1.1 %d ' % status)
    assert not echo.requests


@pytest.mark.parametrize('parts', [1, 2, 7, 40])
async def test_a_request_is_read_however_it_is_split(parts):
    echo = Echo()
    answer = await echo.exchange(
        b'POST /a HTTP/1.1\r\nConnection: close\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n',
        parts=parts,
    )
    echo.listener.stop()
    assert answer.endswith(b'\r\n\r\nabcde')


async def test_a_slow_head_is_timed_out_and_an_idle_connection_closed():
    echo = Echo()
    await echo.listener.listen('127.0.0.1', 0)
    reader, writer = await asyncio.open_connection(
        '127.0.0.1', echo.listener.port
    )
    idle_reader, idle_writer = await asyncio.open_connection(
        '127.0.0.1', echo.listener.port
    )
    writer.write(b'GET / HT')
    await asyncio.sleep(0.3)
    echo.listener.enforce_timeouts()
    answer = await asyncio.wait_for(reader.read(), 5)
    await asyncio.sleep(0.2)
    echo.listener.enforce_timeouts()
    idle_answer = await asyncio.wait_for(idle_reader.read(), 5)
    writer.close()
    idle_writer.close()
    echo.listener.stop()
    assert answer.startswith(b'HTTP/1.1 408 ')
    assert idle_answer == b''


async def call(data, *, request_id=b'mine'):
    """Answer with raw bytes; return the answer and ``is_reusable``."""

    class Expected(platformfleet.Response):
        def accepts(self, head):
            return head.fields.find(b'attempt-id') == request_id

    async def serve(reader, writer):
        try:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(0.05)
        finally:
            writer.close()
            served.set()

    served = asyncio.Event()
    peer = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = peer.sockets[0].getsockname()[1]
    pool = platformfleet.make_pool()
    opened = await pool.open(f'127.0.0.1:{port}', timeout_s=1, max_idle_s=9)
    answer = Expected()
    opened.ok.begin(b'GET / HTTP/1.1\r\n\r\n', answer)
    await asyncio.wait_for(answer.done, 5)
    reusable = opened.ok.is_reusable
    peer.close()
    opened.ok.abort()
    await asyncio.wait_for(served.wait(), 5)
    return answer, reusable


OWN = b'HTTP/1.1 200 OK\r\nAttempt-Id: mine\r\nContent-Length: 2\r\n\r\nok'
OTHER = b'HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 2\r\n\r\nno'


async def test_an_answer_to_another_request_is_skipped():
    answer, reusable = await call(OTHER + OWN)
    assert (answer.body, answer.is_complete, reusable) == (b'ok', True, False)


async def test_a_connection_with_extra_bytes_is_not_reused():
    for extra in (b'xx', OTHER, b'\r\n\r\nHTTP'):
        answer, reusable = await call(OWN + extra)
        assert (answer.body, reusable) == (b'ok', False)


async def test_a_connection_without_extra_bytes_is_reusable():
    _, reusable = await call(OWN)
    assert reusable


@pytest.mark.parametrize(
    'data',
    [
        OWN[:-1],
        b'HTTP/1.1 200 OK\r\nAttempt-Id: mine\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n',
        b'HTTP/1.1 200',
        b'garbage that is no answer\r\n\r\n',
        b'',
    ],
)
async def test_a_truncated_answer_is_incomplete(data):
    answer, reusable = await call(data)
    assert not answer.is_complete
    assert not reusable


async def test_an_answer_without_a_length_ends_with_its_connection():
    answer, reusable = await call(
        b'HTTP/1.1 200 OK\r\nAttempt-Id: mine\r\n\r\nok'
    )
    assert (answer.body, answer.is_complete, reusable) == (b'ok', True, False)


@hypothesis.given(st.lists(st.binary(max_size=12), max_size=8), st.data())
def test_events_are_complete_however_they_are_split(texts, data):
    stream = b''.join(
        b'id: %d\ndata: %s\n\n'
        % (number, text.replace(b'\n', b'').hex().encode())
        for number, text in enumerate(texts, 1)
    )
    reader = events.EventReader(fields=events.FIELDS, last_id=None)
    passed = b''
    while stream:
        size = data.draw(st.integers(1, len(stream)))
        passed += reader.feed(stream[:size])
        stream = stream[size:]
        count = passed.count(b'\n\n')
        assert passed == b'' or passed.endswith(b'\n\n')
        assert reader.last_id == (str(count) if count else None)
    assert reader.is_complete


async def test_the_store_stand_in_lists_written_keys():
    store = platformstore.Store()
    store.write('a/1', {'x': 1})
    store.write('a/2', {'x': 2})
    assert [item['key'] for item in store._list('a/', '')['entries']] == [
        'a/1',
        'a/2',
    ]


async def test_an_unframed_answer_is_reset_if_its_process_is_killed():
    # A kernel closes the sockets of a killed process in an orderly way.
    process = await asyncio.create_subprocess_exec(
        sys.executable, '-m', 'tests.endlessserver', stdout=subprocess.PIPE
    )
    port = int(await process.stdout.readline())
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(b'GET /x HTTP/1.0\r\nHost: x\r\n\r\n')
    await reader.readuntil(b'part')
    process.kill()
    with pytest.raises(ConnectionResetError):
        await reader.read()
    await process.wait()
