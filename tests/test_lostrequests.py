"""A request that was received whole gets a whole answer or an error."""

import asyncio
import contextlib

from lavenderledge.http1 import bounds, listener
from tests import platformfleet, serving, singleinstance

BOUNDS = bounds.Bounds(
    header_bytes=1000, body_bytes=100, header_timeout_s=3, idle_timeout_s=15
)
LOW_BOUNDS = bounds.Bounds(
    header_bytes=20, body_bytes=10, header_timeout_s=1, idle_timeout_s=2
)
LOW_IDLE_BOUNDS = BOUNDS._replace(idle_timeout_s=2)
# How long callers may go by bounds that were replaced.
OVERLAP_S = 2
REQUEST = b'POST / HTTP/1.1\r\nContent-Length: 40\r\n\r\n'
BODY = b'x' * 40


class Server:
    """A listener that answers with the body, and whose time stands still."""

    def __init__(self):
        self.clock = serving.ManualClock()
        self.faults = []
        self.errors = []
        self.listener = listener.Listener(
            handle=lambda request, reply: self.handle(request, reply),
            clock=self.clock,
            bounds=BOUNDS,
            note_fault=self.faults.append,
            note_error=self.errors.append,
        )

    async def handle(self, request, reply):
        reply.send(200, (), request.body)

    async def connect(self, **options):
        return await asyncio.open_connection(
            '127.0.0.1', self.listener.port, **options
        )

    @property
    def connection(self):
        (connection,) = self.listener.connections
        return connection

    def pass_time(self, seconds):
        """Let time pass, and apply the timeouts."""
        self.clock.now_s += seconds
        self.listener.enforce_timeouts()


@contextlib.asynccontextmanager
async def running(server=None):
    server = server or Server()
    await server.listener.listen('127.0.0.1', 0)
    try:
        yield server
    finally:
        server.listener.stop()
        await platformfleet.wait_until(lambda: not server.listener.connections)


async def call(reader, writer):
    """Send a request on an open connection; return what was received."""
    writer.write(REQUEST + BODY)
    return await singleinstance.receive(reader)


async def test_a_lower_idle_limit_spares_connections_in_use():
    async with running() as server:
        reader, writer = await server.connect()
        first = await call(reader, writer)
        server.pass_time(5)
        server.listener.replace_bounds(LOW_IDLE_BOUNDS, overlap_s=OVERLAP_S)
        # Callers use a connection for up to four fifths of the limit.
        server.pass_time(6)
        second = await call(reader, writer)
        server.pass_time(2.5)
        rest = await asyncio.wait_for(reader.read(), 5)
        writer.close()
    assert (first.body, second.body, rest) == (BODY, BODY, b'')


async def test_callers_may_go_by_the_former_idle_limit_for_a_while():
    async with running() as server:
        server.listener.replace_bounds(LOW_IDLE_BOUNDS, overlap_s=OVERLAP_S)
        server.pass_time(OVERLAP_S - 0.5)
        reader, writer = await server.connect()
        first = await call(reader, writer)
        server.pass_time(12)
        second = await call(reader, writer)
        writer.close()
    assert (first.body, second.body) == (BODY, BODY)


async def test_former_bounds_end():
    async with running() as server:
        reader, writer = await server.connect()
        await call(reader, writer)
        server.listener.replace_bounds(LOW_BOUNDS, overlap_s=OVERLAP_S)
        server.pass_time(15.5)
        rest = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        await platformfleet.wait_until(lambda: not server.listener.connections)
        server.pass_time(0)
        former = server.listener.find_bounds(server.clock.now_s)
    assert rest == b''
    assert former == LOW_BOUNDS


async def test_a_request_that_began_before_lower_bounds_is_read():
    async with running() as server:
        reader, writer = await server.connect()
        writer.write(REQUEST + BODY[:20])
        await platformfleet.wait_until(
            lambda: server.listener.connections and server.connection.is_reading
        )
        server.listener.replace_bounds(LOW_BOUNDS, overlap_s=OVERLAP_S)
        server.pass_time(2.5)
        writer.write(BODY[20:])
        answer = await singleinstance.receive(reader)
        writer.close()
    assert (answer.status, answer.body) == (200, BODY)
    assert not server.faults


async def test_higher_bounds_apply_at_once():
    async with running() as server:
        server.listener.replace_bounds(LOW_BOUNDS, overlap_s=0)
        server.pass_time(1)
        reader, writer = await server.connect()
        writer.write(REQUEST + BODY[:5])
        await platformfleet.wait_until(
            lambda: server.listener.connections and server.connection.is_reading
        )
        server.listener.replace_bounds(BOUNDS, overlap_s=OVERLAP_S)
        server.pass_time(2.5)
        writer.write(BODY[5:])
        answer = await singleinstance.receive(reader)
        writer.close()
    assert (answer.status, answer.body) == (200, BODY)


async def test_a_configuration_with_lower_limits_closes_no_used_connection():
    limits = {**platformfleet.LIMITS, 'idle_timeout_ms': 60_000}
    lower = {**limits, 'idle_timeout_ms': 1}
    async with platformfleet.running(replicas=1, limits=limits) as fleet:
        instance = fleet.instances['entry-0']
        port = fleet.instance_ports['entry-0'][0].port
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(singleinstance.build_request('/once/x'))
        first = await singleinstance.receive(reader)
        fleet.store.write(
            'op/config',
            platformfleet.make_configuration(version=2, limits=lower),
        )
        callers = instance._caller_listener
        await platformfleet.wait_until(
            lambda: callers.find_bounds(float('inf')).idle_timeout_s < 1
        )
        callers.enforce_timeouts()
        writer.write(singleinstance.build_request('/once/x', request_id=b'r-1'))
        second = await singleinstance.receive(reader)
        writer.close()
    assert (first.status, second.status) == (200, 200)
