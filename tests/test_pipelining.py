"""Requests that a client sends before it has the answer to the last one."""

import asyncio

import pytest

from lavenderledge.http1 import bounds, listener
from tests import platformfleet, serving, singleinstance

BOUNDS = bounds.Bounds(
    header_bytes=1000, body_bytes=100, header_timeout_s=3, idle_timeout_s=15
)
# More than a connection keeps of requests that it has parsed.
MANY = 500


def build(number, *fields, body=b''):
    head = b'POST /%d HTTP/1.1\r\n' % number
    head += b''.join(b'%b\r\n' % field for field in fields)
    return head + b'Content-Length: %d\r\n\r\n%b' % (len(body), body)


class Server:
    """A listener that answers with the request's target and body."""

    def __init__(self):
        self.targets = []
        self.faults = []
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.clock = serving.ManualClock()
        self.listener = listener.Listener(
            handle=self.handle,
            clock=self.clock,
            bounds=BOUNDS,
            note_fault=self.faults.append,
            note_error=lambda error: None,
        )

    async def handle(self, request, reply):
        self.targets.append(request.target)
        await self.may_answer.wait()
        reply.send(200, (), request.target + request.body)

    async def exchange(self, *parts):
        """Send parts on a connection; return its answers and what follows.

        Each part is read before the next one is sent.
        """
        await self.listener.listen('127.0.0.1', 0)
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.listener.port
        )
        data = b''
        try:
            for part in parts[:-1]:
                writer.write(part)
                await writer.drain()
                await platformfleet.wait_until(
                    lambda: any(
                        connection.is_reading or not connection.is_idle
                        for connection in self.listener.connections
                    )
                )
            writer.write(parts[-1])
            async with asyncio.timeout(5):
                data = await reader.read()
        finally:
            writer.close()
            self.listener.stop()
        return list_answers(data)


def list_answers(data):
    """Return all answers of a connection; each has the next one's bytes."""
    answers = []
    while data:
        answer = singleinstance.parse(data)
        assert answer.is_complete
        answers.append(answer)
        data = answer.rest
    return answers


def list_bodies(answers):
    return [answer.body for answer in answers]


LAST = build(9, b'Connection: close')


async def test_each_request_of_the_same_bytes_is_answered_in_order():
    server = Server()
    answers = await server.exchange(
        build(1, body=b'first') + build(2, body=b'second') + LAST
    )
    assert list_bodies(answers) == [b'/1first', b'/2second', b'/9']
    assert not server.faults
    closes = [answer.fields.get(b'connection') for answer in answers]
    assert closes == [None, None, b'close']


@pytest.mark.parametrize('size', range(1, len(build(2, body=b'second')), 7))
async def test_a_request_that_begins_in_the_same_bytes_is_answered(size):
    server = Server()
    second = build(2, body=b'second')
    answers = await server.exchange(
        build(1) + second[:size], second[size:] + LAST
    )
    assert list_bodies(answers) == [b'/1', b'/2second', b'/9']


async def test_requests_of_the_same_bytes_are_handled_one_at_a_time():
    server = Server()
    server.may_answer.clear()
    exchange = asyncio.create_task(server.exchange(build(1) + build(2) + LAST))
    await platformfleet.wait_until(lambda: server.targets)
    (connection,) = server.listener.connections
    assert not connection.is_idle
    assert server.targets == [b'/1']
    server.may_answer.set()
    assert len(await exchange) == 3


@pytest.mark.parametrize(
    ('second', 'status'),
    [
        (b'not http at all\r\n\r\n', 400),
        (build(2, b'Transfer-Encoding: chunked', body=b'abcde'), 400),
        (build(2, b'A: ' + b'x' * 2000), 431),
        (build(2, body=b'x' * 200), 413),
    ],
)
async def test_a_refused_request_takes_none_before_it_along(second, status):
    server = Server()
    answers = await server.exchange(build(1, body=b'first') + second + LAST)
    assert list_bodies(answers) == [b'/1first', b'']
    assert answers[-1].status == status
    assert answers[-1].fields[b'connection'] == b'close'
    assert server.targets == [b'/1']
    assert server.faults == [status]


async def test_bytes_after_a_last_request_take_no_answer_along():
    server = Server()
    answers = await server.exchange(LAST + build(1))
    assert list_bodies(answers) == [b'/9']
    assert server.targets == [b'/9']


async def test_a_client_is_told_which_requests_are_not_handled():
    """It may send those again that the connection had no room for."""
    server = Server()
    data = b''.join(build(number) for number in range(MANY))
    answers = await server.exchange(data)
    numbers = [int(answer.body[1:]) for answer in answers]
    assert numbers == list(range(len(answers)))
    assert 1 < len(answers) < MANY
    assert answers[-1].fields[b'connection'] == b'close'
    assert all(answer.status == 200 for answer in answers)


async def test_a_client_that_waits_to_continue_gets_its_answers_in_order():
    server = Server()
    second = build(2, b'Expect: 100-continue', body=b'second')
    server.may_answer.clear()
    await server.listener.listen('127.0.0.1', 0)
    reader, writer = await asyncio.open_connection(
        '127.0.0.1', server.listener.port
    )
    writer.write(build(1) + second.removesuffix(b'second'))
    await platformfleet.wait_until(lambda: server.targets)
    server.may_answer.set()
    data = await asyncio.wait_for(reader.readuntil(b'100 Continue\r\n\r\n'), 5)
    writer.write(b'second' + LAST)
    rest = await asyncio.wait_for(reader.read(), 5)
    writer.close()
    server.listener.stop()
    first = data.removesuffix(b'HTTP/1.1 100 Continue\r\n\r\n')
    assert list_bodies(list_answers(first)) == [b'/1']
    assert list_bodies(list_answers(rest)) == [b'/2second', b'/9']


async def test_a_request_behind_another_may_take_its_time_to_arrive():
    """Its time begins when the answer before it has been sent."""
    server = Server()
    server.may_answer.clear()
    second = build(2)
    await server.listener.listen('127.0.0.1', 0)
    reader, writer = await asyncio.open_connection(
        '127.0.0.1', server.listener.port
    )
    writer.write(build(1) + second[:10])
    await platformfleet.wait_until(lambda: server.targets)
    server.clock.now_s += BOUNDS.header_timeout_s + 1
    server.listener.enforce_timeouts()
    server.may_answer.set()
    (connection,) = server.listener.connections
    await platformfleet.wait_until(lambda: connection.is_reading)
    server.listener.enforce_timeouts()
    writer.write(second[10:] + LAST)
    data = await asyncio.wait_for(reader.read(), 5)
    writer.close()
    server.listener.stop()
    assert list_bodies(list_answers(data)) == [b'/1', b'/2', b'/9']


async def drain(server):
    server.listener.drain()


async def fail(server):
    """Let the handler end without an answer."""
    (connection,) = server.listener.connections
    connection._task.cancel()


async def half_close(server):
    (connection,) = server.listener.connections
    connection.eof_received()


@pytest.mark.parametrize('end', [drain, fail, half_close])
@pytest.mark.parametrize('is_parsed', [True, False])
async def test_a_request_is_dropped_only_after_an_announced_end(end, is_parsed):
    server = Server()
    server.may_answer.clear()
    await server.listener.listen('127.0.0.1', 0)
    reader, writer = await asyncio.open_connection(
        '127.0.0.1', server.listener.port
    )
    writer.write(build(1) + (build(2) if is_parsed else b''))
    await platformfleet.wait_until(lambda: server.targets)
    (connection,) = server.listener.connections
    if not is_parsed:
        writer.write(build(2))
        await platformfleet.wait_until(lambda: connection._pending)
    await end(server)
    server.may_answer.set()
    data = await asyncio.wait_for(reader.read(), 5)
    writer.close()
    server.listener.stop()
    (answer,) = list_answers(data)
    assert answer.fields[b'connection'] == b'close'
    assert server.targets == [b'/1']
