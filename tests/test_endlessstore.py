"""Answers of the store, instance list and engines that go on without end."""

import asyncio
import contextlib
import json

import pytest

from lavenderledge.daemon import formats
from lavenderledge.platform import store
from lavenderledge.registry import instancelist, keyvalue
from lavenderledge.registry import store as stores
from lavenderledge.upstreams import observation
from tests import platformfleet, platformstore

# Limits of what is read, and the sockets' buffers on both sides.
MAX_SENT_BYTES = 16_000_000
ENDLESS_BYTES = 64_000_000
PIECE_BYTES = 65_536
NEIGHBOUR_DEADLINE_MS = 1000
NEIGHBOURS = 100

OK = b'HTTP/1.1 200 OK\r\n'
CHUNKED = OK + b'Transfer-Encoding: chunked\r\n\r\n'
CHUNK = b'2\r\n{}\r\n'

# What is sent first, and what is then repeated.
BODIES = {
    'body': (OK + b'\r\n', b' '),
    'entries': (OK + b'\r\n{"at":1,"entries":[', b'{"key":""},'),
    'body of a length': (OK + b'Content-Length: 64000000\r\n\r\n', b' '),
    'large chunks': (CHUNKED, b'1000\r\n' + b' ' * 4096 + b'\r\n'),
    'error': (b'HTTP/1.1 500 Failed\r\n\r\n', b' '),
}
FRAMINGS = {
    'header value': (OK + b'X-Filler: ', b'x'),
    'trailer fields': (CHUNKED + CHUNK + b'0\r\n', b'X-Filler: x\r\n'),
    'trailer value': (CHUNKED + CHUNK + b'0\r\nX-Filler: ', b'x'),
    'extension': (CHUNKED + b'2;x=', b'x'),
    'size of zeros': (CHUNKED + CHUNK, b'0'),
}
CASES = {**BODIES, **FRAMINGS}


class Server:
    """Sends bytes without end, or relays to ``upstream`` until told to.

    ``sent_bytes`` is the most that it sent on one connection.
    """

    def __init__(self, start, filler, *, upstream=None):
        self.sent_bytes = 0
        self.answers = 0
        self.port = 0
        self._start = start
        self._filler = filler
        self._upstream = upstream
        self._tasks = set()
        self._server = None

    async def listen(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop_relaying(self):
        """End what is relayed, and answer without end from now on."""
        self._upstream = None
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def stop(self):
        self._server.close()
        await self.stop_relaying()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            if self._upstream is None:
                await self._repeat(reader, writer)
            else:
                await self._relay(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _repeat(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        self.answers += 1
        writer.write(self._start)
        piece = self._filler * (PIECE_BYTES // len(self._filler))
        sent_bytes = 0
        while sent_bytes < ENDLESS_BYTES:
            writer.write(piece)
            await writer.drain()
            sent_bytes += len(piece)
            self.sent_bytes = max(self.sent_bytes, sent_bytes)
        await reader.read()

    async def _relay(self, reader, writer):
        answers, requests = await asyncio.open_connection(
            '127.0.0.1', self._upstream
        )
        with contextlib.closing(requests):
            await asyncio.gather(
                _pump(reader, requests), _pump(answers, writer)
            )


async def _pump(reader, writer):
    while data := await reader.read(PIECE_BYTES):
        writer.write(data)
        await writer.drain()
    writer.close()


@contextlib.asynccontextmanager
async def serving(case):
    server = Server(*CASES[case])
    await server.listen()
    try:
        async with asyncio.timeout(platformfleet.TIMEOUT_S):
            yield server
    finally:
        await server.stop()


@pytest.mark.parametrize('case', CASES)
async def test_an_answer_of_the_platforms_store_is_given_up_at_its_bound(case):
    async with serving(case) as server:
        client = store.PlatformStore(
            address=f'127.0.0.1:{server.port}', pool=platformfleet.make_pool()
        )
        listed = await client.list_keys('op/')
        watched = await client.watch('op/', after_revision=1, wait_s=10)
    assert listed.is_error()
    assert watched.is_error()
    assert server.answers == 2
    assert server.sent_bytes < MAX_SENT_BYTES


async def test_an_answer_of_countless_entries_is_given_up():
    entries = b','.join([b'{"key":""}'] * 370_000)

    async def serve(request, reply):
        reply.send(200, (), b'{"at":1,"entries":[%b]}' % entries)

    server = platformstore.build_listener(serve)
    await server.listen('127.0.0.1', 0)
    client = store.PlatformStore(
        address=f'127.0.0.1:{server.port}', pool=platformfleet.make_pool()
    )
    listed = await client.list_keys('op/')
    server.stop()
    assert listed.error.fault is stores.Fault.MALFORMED


async def test_pages_without_end_are_given_up():
    pages = 0
    content = 'x' * 100_000

    async def serve(request, reply):
        nonlocal pages
        pages += 1
        page = {
            'at': 1,
            'entries': [{'key': f'op/{pages:09}', 'data': content}],
            'has_more': True,
        }
        reply.send(200, (), json.dumps(page).encode())

    server = platformstore.build_listener(serve)
    await server.listen('127.0.0.1', 0)
    client = store.PlatformStore(
        address=f'127.0.0.1:{server.port}', pool=platformfleet.make_pool()
    )
    async with asyncio.timeout(platformfleet.TIMEOUT_S):
        listed = await client.list_keys('op/')
    server.stop()
    assert listed.error.fault is stores.Fault.MALFORMED
    assert pages * len(content) < MAX_SENT_BYTES


@pytest.mark.parametrize('case', CASES)
async def test_callers_are_answered_while_the_store_goes_on_without_end(case):
    async with platformfleet.running(replicas=1, instances=0) as fleet:
        server = Server(*CASES[case], upstream=fleet._store_listener.port)
        await server.listen()
        await fleet.add_instance(
            'entry-0', store=formats.Address('127.0.0.1', server.port)
        )
        await server.stop_relaying()
        await platformfleet.wait_until(lambda: server.answers)
        statuses = []
        for _ in range(NEIGHBOURS):
            other = await fleet.send(
                '/safe/x', deadline_ms=NEIGHBOUR_DEADLINE_MS
            )
            statuses.append(other.status)
        await server.stop()
    assert set(statuses) == {200}
    assert server.sent_bytes < MAX_SENT_BYTES


@pytest.mark.parametrize('case', BODIES)
async def test_an_answer_of_the_key_value_service_is_given_up(case):
    async with serving(case) as server, keyvalue.open_session() as session:
        address = f'http://127.0.0.1:{server.port}'
        client = keyvalue.KeyValue(session=session, addresses=[address])
        read = await client.read('key')
        written = await client.replace_if('key', expected=0, value=b'')
    assert read.is_error()
    assert written.is_error()
    assert server.sent_bytes < MAX_SENT_BYTES


@pytest.mark.parametrize('case', BODIES)
async def test_an_instance_list_without_end_is_given_up(case):
    async with serving(case) as server, keyvalue.open_session() as session:
        address = f'http://127.0.0.1:{server.port}'
        client = instancelist.InstanceList(session=session, address=address)
        polled = await client.poll()
    assert polled.is_error()
    assert server.sent_bytes < MAX_SENT_BYTES


@pytest.mark.parametrize('case', BODIES)
async def test_a_report_without_end_is_given_up(case):
    async with serving(case) as server, keyvalue.open_session() as session:
        observer = observation.Observer(session=session)
        address = f'127.0.0.1:{server.port}'
        load = await observer.read_load(address)
    assert load.is_error()
    assert server.sent_bytes < MAX_SENT_BYTES
