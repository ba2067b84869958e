"""One process of 200 MB between hundreds of slow callers and a slow replica."""

import asyncio
import contextlib
import json
import re
import socket
import time

from lavenderledge.daemon import formats
from tests import platformfleet, rawreplica, singleinstance
from tests.soak import daemons

MEMORY_MB = 200
LIMITS = {
    'max_header_bytes': 16_384,
    'max_body_bytes': 4_194_304,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15_000,
}
SLOW_BYTES = 1024
SLOW_INTERVAL_S = 1.0
STREAM = b''.join(
    b'id: %d\ndata: %b\n\n' % (n, b'x' * 10_000) for n in range(1, 101)
)
READERS = 200
UPLOADS = 100
SINK_UPLOADS = 16
PROBES = 100
PROBE_INTERVAL_S = 0.08
TARGET_S = 0.5
# The machine of the test may hold this many of the probes up.
MAX_LATE = 2


async def serve_stream(reader, writer):
    """Answer with a stream, as fast as it is read."""
    head = await reader.readuntil(b'\r\n\r\n')
    request_id = re.search(rb'(?i)attempt-id: (\S+)', head)[1]
    length = b'Content-Length: %d' % len(STREAM)
    writer.write(rawreplica.build_head(request_id, length) + STREAM)
    await writer.drain()
    writer.close()


async def serve_slowly(reader, writer):
    """Read a request at 1 KB/s."""
    while await reader.read(SLOW_BYTES):
        await asyncio.sleep(SLOW_INTERVAL_S)


async def start_replica(fleet, name, serve):
    async def serve_quietly(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await serve(reader, writer)

    server = await asyncio.start_server(
        serve_quietly, '127.0.0.1', 0, limit=SLOW_BYTES * 16
    )
    port = server.sockets[0].getsockname()[1]
    entry = {
        'service': name,
        'address': f'127.0.0.1:{port}',
        'zone': 'a',
        'capacity': READERS,
        'state': 'ready',
    }
    fleet.store.write(f'servers/{name}', json.dumps(entry).encode())
    return server


async def connect(port):
    """Connect with small buffers, as over a slow link."""
    raw_socket = socket.socket()
    raw_socket.setblocking(False)
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(raw_socket, ('127.0.0.1', port))
    return await asyncio.open_connection(sock=raw_socket, limit=SLOW_BYTES)


async def read_slowly(port, number):
    reader, writer = await connect(port)
    writer.write(
        singleinstance.build_request(
            '/large/x', deadline_ms=30_000, request_id=b'read-%d' % number
        )
    )
    try:
        while await reader.read(SLOW_BYTES):
            await asyncio.sleep(SLOW_INTERVAL_S)
    finally:
        writer.transport.abort()


async def upload(port, number, path, *, interval_s):
    """Send 4 MiB in parts until answered, again and again."""
    while True:
        reader, writer = await connect(port)
        is_chunked = number % 2
        part = b'u' * 65_536
        framing = b'Content-Length: 4194304'
        if is_chunked:
            framing = b'Transfer-Encoding: chunked'
            part = b'10000\r\n%b\r\n' % part
        writer.write(
            singleinstance.build_request(
                path,
                deadline_ms=20_000,
                request_id=b'up-%d-%d' % (number, time.monotonic_ns()),
                framing=framing,
            )
        )
        answered = asyncio.create_task(reader.readline())
        try:
            for _ in range(64):
                if answered.done():
                    break
                writer.write(part)
                await asyncio.sleep(interval_s)
            if is_chunked:
                writer.write(b'0\r\n\r\n')
            with contextlib.suppress(ConnectionError):
                await answered
        finally:
            answered.cancel()
            writer.transport.abort()
        await asyncio.sleep(0.2)


def read_peak_mb(pid):
    with open(f'/proc/{pid}/status', encoding='ascii') as file:
        return int(re.search(r'VmHWM:\s+(\d+)', file.read())[1]) / 1000


async def read_held(port):
    """Return the gauge of the bytes held."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(b'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n')
    received = await singleinstance.receive(reader)
    writer.close()
    return float(
        re.search(rb'\nlavenderledge_held_bytes (\S+)', received.body)[1]
    )


async def probe(port, number):
    """Return the status of a usual request, and how long it took."""
    begun_s = time.monotonic()
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(
        singleinstance.build_request('/safe/x', request_id=b'probe-%d' % number)
    )
    received = await singleinstance.receive(reader)
    writer.close()
    return received.status, time.monotonic() - begun_s


def build_load(port):
    """Return the coroutines of all slow callers."""
    readers = [read_slowly(port, number) for number in range(READERS)]
    uploads = [
        upload(port, number, '/safe/x', interval_s=0.5)
        for number in range(UPLOADS)
    ]
    sink_uploads = [
        upload(port, number, '/sink/x', interval_s=0)
        for number in range(SINK_UPLOADS)
    ]
    return [*readers, *uploads, *sink_uploads]


async def probe_repeatedly(daemon):
    """Return the statuses, times and bytes held while slow callers wait."""
    probes = []
    held = []
    for number in range(1, PROBES + 1):
        probes.append(await probe(daemon.ports[0], number))
        await asyncio.sleep(PROBE_INTERVAL_S)
        if number % 10 == 0:
            held.append(await read_held(daemon.ports[2]))
    return probes, held


async def test_slow_peers_neither_exhaust_the_memory_nor_delay_others(
    tmp_path, monkeypatch
):
    monkeypatch.setenv('LAVENDERLEDGE_MEMORY_MB', str(MEMORY_MB))
    routes = [
        platformfleet.make_route('safe', 'safe', slo_ms=TARGET_S * 1000),
        *(
            platformfleet.make_route(
                name, kind, service=name, timeout_ms=30_000
            )
            for name, kind in (('large', 'streaming'), ('sink', 'safe'))
        ),
    ]
    services = [
        {'name': name, 'health_path': '/healthz'}
        for name in ('model', 'large', 'sink')
    ]
    async with (
        asyncio.timeout(120),
        platformfleet.running(
            instances=0, routes=routes, services=services, limits=LIMITS
        ) as fleet,
    ):
        servers = [
            await start_replica(fleet, 'large', serve_stream),
            await start_replica(fleet, 'sink', serve_slowly),
        ]
        store = formats.Address('127.0.0.1', fleet._store_listener.port)
        daemon = daemons.Daemon('a', tmp_path, store=store)
        try:
            await daemon.start_on_free_ports()
            tasks = [
                asyncio.create_task(work)
                for work in build_load(daemon.ports[0])
            ]
            probes, held = await probe_repeatedly(daemon)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            assert daemon.is_running
            assert read_peak_mb(daemon.process.pid) < MEMORY_MB
            # The load fills what may be held.
            assert max(held) > 20e6
            assert {status for status, _ in probes} == {200}
            late = [seconds for _, seconds in probes if seconds > TARGET_S]
            assert len(late) <= MAX_LATE
            while await read_held(daemon.ports[2]):
                await asyncio.sleep(0.2)
        finally:
            await daemon.kill()
            for server in servers:
                server.close()
