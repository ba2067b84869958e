"""Answers that are accepted and then go on without end.

Other callers of the instance are answered meanwhile, from another service.
"""

import asyncio
import contextlib

import pytest

from tests import platformfleet, rawreplica

# Limits of what is read, and the sockets' buffers on both sides.
MAX_SENT_BYTES = 16_000_000
# Far less than the time that the answers go on if they are not cut off.
DEADLINE_MS = 2500
NEIGHBOUR_DEADLINE_MS = 1000
EVENT = b'id: 1\ndata: x\n\n'
CHUNK = b'%x\r\n%b\r\n' % (len(EVENT), EVENT)
PATHS = ['/safe/x', '/once/x', '/stream/x', '/stream/resumable/x']

# What follows the head, and what is then repeated.
CASES = {
    'trailer fields': (CHUNK + b'0\r\n', b'X-Filler: x\r\n'),
    'trailer value': (CHUNK + b'0\r\nX-Filler: ', b'x'),
    'trailer name': (CHUNK + b'0\r\n', b'x'),
    'trailer whitespace': (CHUNK + b'0\r\nX-Filler:', b' '),
    'folded trailer': (CHUNK + b'0\r\nX-Filler: x', b'\r\n x'),
    'extension name': (b'%x;' % len(EVENT), b'x'),
    'extension value': (b'%x;x=' % len(EVENT), b'x'),
    'quoted extension': (b'%x;x="' % len(EVENT), b'x'),
    'extensions': (b'%x' % len(EVENT), b';x=x'),
    'last extension': (CHUNK + b'0;x=', b'x'),
    'long extensions': (b'', b'1;%b\r\nx\r\n' % (b'x' * 4096)),
    'size of zeros': (CHUNK, b'0'),
    'size of digits': (CHUNK, b'1'),
    'space for a size': (CHUNK, b' '),
    'blank lines for a size': (CHUNK, b'\r\n'),
}


def configure():
    """Return routes of one attempt, and a second service at ``/other/``."""
    configuration = platformfleet.make_configuration()
    other = platformfleet.make_route('other', 'unsafe', service='other')
    routes = [*configuration['routes'], other]
    return {
        'routes': [{**route, 'max_attempts': 1} for route in routes],
        'services': [
            *configuration['services'],
            {'name': 'other', 'health_path': '/healthz'},
        ],
    }


@contextlib.asynccontextmanager
async def running(replica):
    """Run an instance with this replica, and one of another service."""
    async with platformfleet.running(
        replicas=0, instances=0, **configure()
    ) as fleet:
        await replica.start(fleet)
        await fleet.add_replica('i-0', service='other')
        await fleet.add_instance('entry-0')
        yield fleet
        replica.stop()


async def send_beside(fleet, path):
    """Return the response to a request, and the statuses of others."""
    response, _ = await fleet.begin(path, deadline_ms=DEADLINE_MS)
    statuses = []
    while not response.done.done():
        other = await fleet.send('/other/x', deadline_ms=NEIGHBOUR_DEADLINE_MS)
        statuses.append(other.status)
    return response, statuses


@pytest.mark.parametrize('case', CASES)
@pytest.mark.parametrize('path', PATHS)
async def test_an_answer_is_cut_off_when_what_follows_is_no_body(case, path):
    start, filler = CASES[case]

    def build(request_id):
        chunked = b'Transfer-Encoding: chunked'
        return rawreplica.build_head(request_id, chunked) + start

    replica = rawreplica.RawReplica(
        'i-9', build, ending='endless', filler=filler
    )
    async with running(replica) as fleet:
        response, statuses = await send_beside(fleet, path)
    assert response.status == 502 or not response.is_complete
    assert response.status != 504
    assert replica.requests == 1
    assert replica.sent_bytes < MAX_SENT_BYTES
    assert set(statuses) == {200}


async def receive(*parts):
    """Return the response to a request and whether its connection is usable."""
    closed = asyncio.Event()

    async def serve(reader, writer):
        with contextlib.closing(writer):
            await reader.readuntil(b'\r\n\r\n')
            for part in parts:
                writer.write(part)
                await writer.drain()
            await closed.wait()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    pool = platformfleet.make_pool()
    opened = await pool.open(f'127.0.0.1:{port}', timeout_s=1, max_idle_s=0)
    response = platformfleet.Response()
    opened.ok.begin(b'GET / HTTP/1.1\r\n\r\n', response)
    await asyncio.wait_for(response.done, platformfleet.TIMEOUT_S)
    is_reusable = opened.ok.is_reusable
    opened.ok.abort()
    closed.set()
    server.close()
    return response, is_reusable


CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


@pytest.mark.parametrize('extension', [b'', b';signature=' + b'0' * 64])
async def test_an_answer_in_chunks_of_a_byte_is_read_whole(extension):
    chunks = (b'1%b\r\nx\r\n' % extension) * 100_000
    response, is_reusable = await receive(CHUNKED, chunks, b'0\r\n\r\n')
    assert response.is_complete
    assert response.body == b'x' * 100_000
    assert is_reusable


async def test_trailers_are_read_and_not_taken_for_headers():
    trailers = b'0\r\nX-Sum: 1\r\nAttempt-Id: other\r\n\r\n'
    response, is_reusable = await receive(CHUNKED, CHUNK, trailers)
    assert response.is_complete
    assert response.fields.pairs == [(b'Transfer-Encoding', b'chunked')]
    assert is_reusable


# What is repeated in chunks of a byte.
BYTEWISE = {
    'part of an event': b'1\r\nx\r\n',
    'events': b''.join(b'1\r\n%c\r\n' % byte for byte in EVENT),
    'blank lines': b'1\r\n\n\r\n',
}


@pytest.mark.parametrize('case', BYTEWISE)
@pytest.mark.parametrize('path', PATHS)
async def test_others_are_answered_while_chunks_of_a_byte_arrive(case, path):
    def build(request_id):
        chunked = b'Transfer-Encoding: chunked'
        return rawreplica.build_head(request_id, chunked)

    replica = rawreplica.RawReplica(
        'i-9', build, ending='endless', filler=BYTEWISE[case]
    )
    async with running(replica) as fleet:
        _, statuses = await send_beside(fleet, path)
    assert set(statuses) == {200}
