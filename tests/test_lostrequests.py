"""A request that was received whole gets a whole answer or an error."""

import asyncio
import contextlib
import select
import socket

import pytest

from lavenderledge.http1 import bounds, listener, messages
from tests import platformfleet, rawreplica, serving, singleinstance

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
# More than the kernel buffers of a connection that isn't read.
LARGE = b'x' * 20_000_000


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
    def connections(self):
        return self.listener.connections

    @property
    def connection(self):
        (connection,) = self.connections
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
        await platformfleet.wait_until(lambda: not server.connections)


async def call(reader, writer):
    """Send a request on an open connection; return what was received."""
    writer.write(REQUEST + BODY)
    return await singleinstance.receive(reader)


async def call_large(reader, writer):
    """Send a request; return the size of the answer that was received."""
    writer.write(REQUEST + BODY)
    return await read_large(reader)


async def read_large(reader):
    await reader.readuntil(b'\r\n\r\n')
    size = 0
    while size < len(LARGE):
        part = await asyncio.wait_for(reader.read(len(LARGE) - size), 5)
        if not part:
            break
        size += len(part)
    return size


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
        await platformfleet.wait_until(lambda: not server.connections)
        server.pass_time(0)
        former = server.listener.find_bounds(server.clock.now_s)
    assert rest == b''
    assert former == LOW_BOUNDS


async def test_a_request_that_began_before_lower_bounds_is_read():
    async with running() as server:
        reader, writer = await server.connect()
        writer.write(REQUEST + BODY[:20])
        await platformfleet.wait_until(
            lambda: server.connections and server.connection.is_reading
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
            lambda: server.connections and server.connection.is_reading
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


async def fail(reply):
    raise ValueError('a fault of the program')


async def cancel(reply):
    asyncio.current_task().cancel()
    await asyncio.sleep(0)


async def return_early(reply):
    """End without an answer."""


@pytest.mark.parametrize('end', [fail, cancel, return_early])
async def test_a_handler_that_ends_without_an_answer_gives_an_error(end):
    server = Server()
    server.handle = lambda request, reply: end(reply)
    async with running(server):
        reader, writer = await server.connect()
        answer = await call(reader, writer)
        rest = await asyncio.wait_for(reader.read(), 5)
        writer.close()
    assert (answer.status, rest) == (messages.BAD_GATEWAY, b'')
    assert answer.fields[b'connection'] == b'close'
    assert len(server.errors) == (end is fail)


@pytest.mark.parametrize('end', [fail, cancel, return_early])
async def test_a_handler_that_ends_inside_its_answer_leaves_it_incomplete(end):
    async def handle(request, reply):
        reply.start(200, (), length=None)
        reply.write(request.body)
        await end(reply)

    server = Server()
    server.handle = handle
    async with running(server):
        reader, writer = await server.connect()
        answer = await call(reader, writer)
        writer.close()
    assert not answer.is_complete


@pytest.mark.parametrize('end', [fail, cancel])
async def test_a_handler_that_fails_after_its_answer_destroys_none(end):
    async def handle(request, reply):
        reply.send(200, (), LARGE)
        await end(reply)

    server = Server()
    server.handle = handle
    async with running(server):
        reader, writer = await server.connect()
        sizes = [await call_large(reader, writer) for _ in range(2)]
        writer.close()
    assert sizes == [len(LARGE), len(LARGE)]


async def test_a_fault_in_an_exchange_gives_its_caller_an_error(caplog):
    replica = singleinstance.Replica(lambda *args: None)
    instance = singleinstance.Instance({'i-0': replica})

    async def acquire(spec):
        raise ValueError('a fault of the program')

    instance.requester.acquire = acquire
    await instance.start()
    reader, writer = await instance.connect()
    with caplog.at_level('INFO'):
        writer.write(singleinstance.build_request('/once/x'))
        answer = await singleinstance.receive(reader)
    writer.close()
    await instance.stop()
    (error,) = instance.errors
    logged = [
        record.fields['reason']
        for record in caplog.records
        if record.getMessage() == 'request'
    ]
    assert isinstance(error, ValueError)
    # It promises nothing.
    assert answer.status == messages.GATEWAY_TIMEOUT
    assert answer.fields[b'attempt-id'] == b'r-0'
    assert logged == ['handler_failed']


@pytest.mark.parametrize('is_early', [True, False])
async def test_a_connection_serves_until_an_answer_announces_its_end(is_early):
    may_end = asyncio.Event()

    async def stream(request, reply):
        reply.start(200, (), length=None)
        await may_end.wait()
        reply.write(request.body)
        reply.finish()

    server = Server()
    server.handle = stream
    async with running(server):
        reader, writer = await server.connect()
        writer.write(REQUEST + BODY)
        head = await reader.readuntil(b'\r\n\r\n')
        server.listener.drain()
        if is_early:
            writer.write(REQUEST + BODY)
            await platformfleet.wait_until(lambda: server.connection._pending)
        may_end.set()
        await reader.readuntil(b'0\r\n\r\n')
        if not is_early:
            writer.write(REQUEST + BODY)
        second = await singleinstance.receive(reader)
        rest = await asyncio.wait_for(reader.read(), 5)
        writer.close()
    assert b'Connection: close' not in head
    assert (second.status, second.body, rest) == (200, BODY, b'')
    assert second.fields[b'connection'] == b'close'


def connect_slowly(port, *, buffer_bytes=65536):
    """Connect with a small receive buffer, as a slow network would have."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    caller.connect(('127.0.0.1', port))
    return caller


async def receive_all(caller):
    """Return what a caller receives until its connection is closed."""
    loop = asyncio.get_running_loop()
    caller.setblocking(False)
    received = []
    async with asyncio.timeout(10):
        while part := await loop.sock_recv(caller, 1 << 20):
            received.append(part)
    return b''.join(received)


async def receive_some(caller):
    caller.setblocking(False)
    loop = asyncio.get_running_loop()
    return await asyncio.wait_for(loop.sock_recv(caller, 1 << 20), 5)


@pytest.mark.parametrize('version', [b'1.0', b'1.1'])
@pytest.mark.parametrize('extra_count', [1, 500])
async def test_unread_bytes_destroy_no_answer(version, extra_count):
    begun = asyncio.Event()
    may_end = asyncio.Event()

    async def handle(request, reply):
        begun.set()
        await may_end.wait()
        reply.start(200, (), length=None)
        reply.write(LARGE)
        reply.finish()

    server = Server()
    server.handle = handle
    extra = b'GET /extra HTTP/1.1\r\n\r\n'
    async with running(server):
        caller = connect_slowly(server.listener.port)
        caller.sendall(b'GET / HTTP/%b\r\nConnection: close\r\n\r\n' % version)
        await begun.wait()
        caller.sendall(extra * extra_count)
        await platformfleet.wait_until(lambda: server.connection._pending)
        caller.sendall(extra * extra_count)
        may_end.set()
        await platformfleet.wait_until(lambda: server.connection.has_ended)
        caller.sendall(extra)
        received = await receive_all(caller)
        caller.close()
    assert len(received) > len(LARGE)


async def test_a_refusal_reaches_a_caller_that_still_sends():
    async with running() as server:
        reader, writer = await server.connect()
        head = b'POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n'
        writer.write(head % len(LARGE))
        writer.write(LARGE)
        await writer.drain()
        answer = await singleinstance.receive(reader)
        writer.close()
    assert answer.status == messages.CONTENT_TOO_LARGE


async def test_a_caller_that_stays_after_the_last_answer_is_closed():
    async with running() as server:
        reader, writer = await server.connect()
        writer.write(b'GET / HTTP/1.1\r\nConnection: close\r\n\r\n')
        answer = await singleinstance.receive(reader)
        rest = await asyncio.wait_for(reader.read(), 5)
        has_stayed = bool(server.connections)
        server.pass_time(6)
        await platformfleet.wait_until(lambda: not server.connections)
        writer.close()
    assert (answer.status, rest, has_stayed) == (200, b'', True)


def send_unnoticed(server, caller, data):
    """Send bytes that reach the server's kernel while its loop is blocked."""
    caller.sendall(data)
    transport = server.connection._transport
    fd = transport.get_extra_info('socket').fileno()
    assert select.select([fd], [], [], 5)[0]


def close_idle(server):
    server.clock.now_s += 1
    server.listener.close_idle(min_idle_s=0.2)


def time_out(server):
    server.pass_time(100)


@pytest.mark.parametrize('close', [close_idle, time_out])
@pytest.mark.parametrize('begun', [b'', REQUEST, REQUEST + BODY[:20]])
async def test_a_request_that_has_arrived_is_read_before_a_close(close, begun):
    async with running() as server:
        with socket.create_connection(
            ('127.0.0.1', server.listener.port)
        ) as caller:
            caller.sendall(begun)
            await platformfleet.wait_until(
                lambda: (
                    server.connections
                    and server.connection.is_reading == bool(begun)
                )
            )
            rest = (REQUEST + BODY).removeprefix(begun)
            send_unnoticed(server, caller, rest)
            close(server)
            received = await receive_some(caller)
    assert received.startswith(b'HTTP/1.1 200 ')
    assert received.endswith(BODY)


async def test_a_listener_is_idle_only_once_its_answers_are_sent():
    async def handle(request, reply):
        reply.send(200, (), LARGE)

    server = Server()
    server.handle = handle
    async with running(server):
        caller = connect_slowly(server.listener.port)
        caller.sendall(REQUEST + BODY)
        await platformfleet.wait_until(
            lambda: server.connections and server.connection.has_unsent
        )
        is_idle = server.listener.is_idle
        server.listener.drain()
        caller.shutdown(socket.SHUT_WR)
        received = await receive_all(caller)
        await platformfleet.wait_until(lambda: server.listener.is_idle)
        caller.close()
    assert not is_idle
    assert len(received) > len(LARGE)


@pytest.mark.parametrize('has_begun', [False, True])
async def test_a_caller_that_half_closes_gets_an_error_and_no_work(has_begun):
    cancelled = asyncio.Event()

    async def work(request, reply):
        if has_begun:
            reply.start(200, (), length=None)
            reply.write(request.body)
        try:
            await asyncio.Event().wait()
        finally:
            cancelled.set()

    server = Server()
    server.handle = work
    async with running(server):
        reader, writer = await server.connect()
        writer.write(REQUEST + BODY)
        writer.write_eof()
        answer = await singleinstance.receive(reader)
        await asyncio.wait_for(cancelled.wait(), 5)
        await platformfleet.wait_until(lambda: not server.connections)
        writer.close()
    assert not server.errors
    if has_begun:
        assert (answer.status, answer.is_complete) == (200, False)
    else:
        assert answer.status == messages.BAD_GATEWAY


async def test_an_answer_is_sent_to_a_caller_that_half_closes_after_it():
    async def handle(request, reply):
        reply.send(200, (), LARGE)

    server = Server()
    server.handle = handle
    async with running(server):
        caller = connect_slowly(server.listener.port)
        caller.sendall(REQUEST + BODY)
        await platformfleet.wait_until(
            lambda: server.connections and server.connection.has_unsent
        )
        caller.shutdown(socket.SHUT_WR)
        received = await receive_all(caller)
        caller.close()
    assert len(received) > len(LARGE)


async def test_a_replica_is_read_again_after_a_caller_that_read_slowly():
    numbers = []

    def build(request_id, last_id, number):
        numbers.append(number)
        # The last part read of the first answer fills the caller's buffer.
        body = BODY if number else b'x' * 100_000
        head = rawreplica.build_head(
            request_id, b'Content-Length: %d' % len(body)
        )
        return singleinstance.Answer(head + body, 'keep')

    async with singleinstance.running(
        singleinstance.Replica(build)
    ) as instance:
        callers = instance._listener.connections
        slow = connect_slowly(instance._listener.port, buffer_bytes=4096)
        await platformfleet.wait_until(lambda: callers)
        for connection in callers:
            connection._transport.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
            )
        slow.sendall(singleinstance.build_request('/safe/x'))
        await platformfleet.wait_until(
            lambda: any(connection.has_unsent for connection in callers)
        )
        first = b''
        while not first.endswith(b'x' * 100_000):
            first += await receive_some(slow)
        await platformfleet.wait_until(lambda: instance.pool._idle)
        reader, writer = await instance.connect()
        writer.write(singleinstance.build_request('/safe/x', request_id=b'r-1'))
        second = await singleinstance.receive(reader)
        slow.close()
        writer.close()
    assert numbers == [0, 1]
    assert (second.status, second.body) == (200, BODY)


async def test_a_request_that_had_to_wait_unread_is_answered():
    begun = asyncio.Event()
    may_end = asyncio.Event()

    async def handle(request, reply):
        begun.set()
        await may_end.wait()
        reply.send(200, (), request.body)

    server = Server()
    server.handle = handle
    long_body = b'y' * 5000
    async with running(server):
        server.listener.replace_bounds(
            BOUNDS._replace(body_bytes=len(long_body)), overlap_s=0
        )
        reader, writer = await server.connect()
        writer.write(REQUEST + BODY)
        await begun.wait()
        head = b'POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n'
        writer.write(head % len(long_body) + long_body[:2000])
        # Beyond the header limit, no more is read for now.
        await platformfleet.wait_until(
            lambda: not server.connection._transport.is_reading()
        )
        writer.write(long_body[2000:])
        may_end.set()
        answers = [await singleinstance.receive(reader) for _ in range(2)]
        writer.close()
    assert [answer.body for answer in answers] == [BODY, long_body]


async def test_idle_time_begins_when_the_answer_has_been_sent():
    async def handle(request, reply):
        reply.send(200, (), LARGE)

    server = Server()
    server.handle = handle
    async with running(server):
        reader, writer = await server.connect()
        writer.write(REQUEST + BODY)
        await platformfleet.wait_until(
            lambda: server.connections and server.connection.has_unsent
        )
        server.pass_time(BOUNDS.idle_timeout_s + 1)
        sizes = [await read_large(reader)]
        await platformfleet.wait_until(lambda: not server.connection.has_unsent)
        server.pass_time(BOUNDS.idle_timeout_s * 0.8)
        sizes.append(await call_large(reader, writer))
        writer.close()
    assert sizes == [len(LARGE), len(LARGE)]
