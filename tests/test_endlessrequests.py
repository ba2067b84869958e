"""Callers that send bytes without end until they are answered."""

import asyncio
import contextlib
import tracemalloc

import pytest

from lavenderledge import clock as clocks
from lavenderledge.http1 import bounds, listener
from tests import platformfleet

# Limits of what is read, and the sockets' buffers on both sides.
MAX_SENT_BYTES = 16_000_000
# Shares of the memory of a machine, for its callers together.
MAX_HELD_BYTES = 16_000_000
ENDLESS_BYTES = 64_000_000
PIECE_BYTES = 65_536
NEIGHBOUR_DEADLINE_MS = 1000
# Requests are not timed out while a test sends.
LIMITS = {**platformfleet.LIMITS, 'header_timeout_ms': 10_000}

START = b'POST /once/x HTTP/1.1\r\n'
HEAD = b'%bHost: %b\r\nTransfer-Encoding: chunked\r\n\r\n' % (
    START,
    platformfleet.HOST.encode(),
)
CHUNK = b'5\r\nwhole\r\n'

# What is sent first, what is then repeated, and the possible statuses.
CASES = {
    'blank lines': (b'', b'\r\n', {431}),
    'method': (b'', b'X', {400}),
    'space after the method': (b'POST', b' ', {400, 431}),
    'target': (b'POST /', b'x', {431}),
    'version': (b'POST / HTTP/1.', b'1', {400}),
    'header name': (START, b'x', {431}),
    'header value': (START + b'X-Filler: ', b'x', {431}),
    'header whitespace': (START + b'X-Filler:', b' ', {431}),
    'folded header': (START + b'X-Filler: x', b'\r\n x', {400, 431}),
    'header fields': (START, b'X-Filler: x\r\n', {431}),
    'body': (START + b'Content-Length: 99999999\r\n\r\n', b'x', {413}),
    'chunks': (HEAD, b'1\r\nx\r\n', {413}),
    'extension name': (HEAD + b'5;', b'x', {413}),
    'extension value': (HEAD + b'5;x=', b'x', {413}),
    'quoted extension': (HEAD + b'5;x="', b'x', {413}),
    'extensions': (HEAD + b'5', b';x=x', {413}),
    'size of zeros': (HEAD + CHUNK, b'0', {413}),
    'size of digits': (HEAD + CHUNK, b'1', {400}),
    'space for a size': (HEAD + CHUNK, b' ', {400}),
    'blank lines for a size': (HEAD + CHUNK, b'\r\n', {400}),
    'last extension': (HEAD + CHUNK + b'0;x=', b'x', {413}),
    'trailer name': (HEAD + CHUNK + b'0\r\n', b'x', {413}),
    'trailer value': (HEAD + CHUNK + b'0\r\nX-Filler: ', b'x', {413}),
    'trailer whitespace': (HEAD + CHUNK + b'0\r\nX-Filler:', b' ', {413}),
    'trailer fields': (HEAD + CHUNK + b'0\r\n', b'X-Filler: x\r\n', {413}),
}


class Caller:
    """Sends bytes without end; ``answer`` is all that it received."""

    def __init__(self, port):
        self.sent_bytes = 0
        self.answer = b''
        self.is_over = False
        self._port = port

    async def send(self, start, filler):
        """Send until an answer arrives or enough bytes were sent."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self._port)
        receiving = asyncio.create_task(reader.read(PIECE_BYTES))
        piece = filler * (PIECE_BYTES // len(filler))
        writer.write(start)
        with contextlib.suppress(ConnectionError):
            while self.sent_bytes < ENDLESS_BYTES and not receiving.done():
                writer.write(piece)
                drained = asyncio.create_task(writer.drain())
                await asyncio.wait(
                    {drained, receiving}, return_when=asyncio.FIRST_COMPLETED
                )
                if not drained.done():
                    drained.cancel()
                    break
                self.sent_bytes += len(piece)
        self.answer = await receiving
        self.is_over = True
        writer.close()


@contextlib.asynccontextmanager
async def running():
    """Run an instance whose limits apply from its first request on."""
    async with platformfleet.running(
        replicas=1, instances=0, limits=LIMITS
    ) as fleet:
        await fleet.add_instance('entry-0', apply_ms=0)
        yield fleet


@pytest.mark.parametrize('case', CASES)
async def test_a_request_without_end_is_refused_at_its_bounds(case):
    start, filler, expected = CASES[case]
    async with running() as fleet:
        caller = Caller(fleet.instance_ports['entry-0'][0].port)
        sending = asyncio.create_task(caller.send(start, filler))
        statuses = set()
        while not caller.is_over and not sending.done():
            other = await fleet.send(
                '/once/x', deadline_ms=NEIGHBOUR_DEADLINE_MS
            )
            statuses.add(other.status)
        await sending
    status_line, _, fields = caller.answer.partition(b'\r\n')
    assert int(status_line.split()[1]) in expected
    assert b'Connection: close' in fields
    assert caller.sent_bytes < MAX_SENT_BYTES
    assert statuses <= {200}


class Held:
    """A listener whose handler answers with the body when told to."""

    def __init__(self, **changes):
        self.requests = []
        self.released = asyncio.Event()
        self.listener = listener.Listener(
            handle=self._handle,
            clock=clocks.SystemClock(),
            bounds=bounds.Bounds(16_384, 4_194_304, 10, 10)._replace(**changes),
            note_fault=lambda status: None,
            note_error=lambda error: None,
        )

    async def _handle(self, request, reply):
        self.requests.append(request)
        await self.released.wait()
        reply.send(200, (), request.body)

    async def connect(self):
        if not self.listener.port:
            await self.listener.listen('127.0.0.1', 0)
        return await asyncio.open_connection('127.0.0.1', self.listener.port)


async def exchange(held, data):
    """Return what a listener answers to bytes, up to its close."""
    held.released.set()
    reader, writer = await held.connect()
    writer.write(data)
    answer = await asyncio.wait_for(reader.read(), platformfleet.TIMEOUT_S)
    writer.close()
    held.listener.stop()
    return answer


async def test_bytes_after_a_request_are_not_read_before_its_answer():
    held = Held()
    reader, writer = await held.connect()
    writer.write(b'GET / HTTP/1.1\r\n\r\n')
    await platformfleet.wait_until(lambda: held.requests)
    writer.write(b'\r\n' * (ENDLESS_BYTES // 2))
    kept = list(held.listener.connections)[0]
    await platformfleet.wait_until(lambda: not kept._transport.is_reading())
    held.released.set()
    unsent_bytes = writer.transport.get_write_buffer_size()
    answer = await asyncio.wait_for(reader.readline(), platformfleet.TIMEOUT_S)
    writer.transport.abort()
    held.listener.stop()
    assert answer.startswith(b'HTTP/1.1 200 ')
    assert ENDLESS_BYTES - unsent_bytes < MAX_SENT_BYTES


HEAD_THAT_CLOSES = (
    b'POST / HTTP/1.1\r\nConnection: close\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)


async def test_a_body_in_small_chunks_takes_little_more_than_its_size():
    body_bytes = 4_194_304
    held = Held()
    reader, writer = await held.connect()
    tracemalloc.start()
    writer.write(HEAD_THAT_CLOSES)
    for _ in range(64):
        writer.write(b'2\r\nxx\r\n' * (body_bytes // 2 // 64))
        await writer.drain()
    kept = list(held.listener.connections)[0]
    await platformfleet.wait_until(lambda: len(kept._body) == body_bytes)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    writer.write(b'0\r\n\r\n')
    held.released.set()
    answer = await asyncio.wait_for(reader.read(), platformfleet.TIMEOUT_S)
    writer.close()
    held.listener.stop()
    assert answer.endswith(b'\r\n\r\n' + b'x' * body_bytes)
    assert held_bytes < MAX_HELD_BYTES


@pytest.mark.parametrize('extension', [b'', b';signature=' + b'0' * 64])
async def test_a_request_in_chunks_of_a_byte_is_read_whole(extension):
    chunks = (b'1%b\r\nx\r\n' % extension) * 50_000
    answer = await exchange(Held(), HEAD_THAT_CLOSES + chunks + b'0\r\n\r\n')
    assert answer.endswith(b'\r\n\r\n' + b'x' * 50_000)


async def test_trailers_are_read_and_not_taken_for_headers():
    held = Held(header_bytes=200, body_bytes=2000)
    body = b'3e8\r\n' + b'x' * 1000 + b'\r\n'
    trailers = b'0\r\nX-Sum: 1\r\nAuthorization: Bearer other\r\n\r\n'
    answer = await exchange(held, HEAD_THAT_CLOSES + body + trailers)
    assert answer.endswith(b'\r\n\r\n' + b'x' * 1000)
    assert [name for name, _ in held.requests[0].fields.pairs] == [
        b'Connection',
        b'Transfer-Encoding',
    ]


async def test_others_are_answered_while_bodies_arrive_in_chunks_of_a_byte():

    statuses = []
    limits = {**LIMITS, 'max_body_bytes': 4_194_304}
    async with platformfleet.running(replicas=1, limits=limits) as fleet:
        port = fleet.instance_ports['entry-0'][0].port
        callers = [Caller(port) for _ in range(8)]
        async with asyncio.TaskGroup() as group:
            for caller in callers:
                group.create_task(caller.send(HEAD, b'1\r\nx\r\n'))
            while not any(caller.is_over for caller in callers):
                other = await fleet.send(
                    '/once/x', deadline_ms=NEIGHBOUR_DEADLINE_MS
                )
                statuses.append(other.status)
    assert set(statuses) == {200}
