"""A sound upstream that falls silent for a while ends no answer."""

import asyncio
import contextlib
import itertools
import json

import pytest
import pytest_asyncio

from lavenderledge.policy import table
from lavenderledge.standins import launcher
from tests import garblingengine, oracle, platformfleet, processes

FLAGS = ('--silence-timeout=0.5', '--lost-timeout=3')
ROWS = (
    *processes.ROWS,
    table.Row('odd', '*', 'odd', '*', 1, output_tokens=1, repeatable=True),
    table.Row('jobs', '*', 'jobs', '*', 1, timeout_s=20),
)
PAUSE_S = 1.6
HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: %b\r\n\r\n'
STREAM = HEAD % b'text/event-stream'
NOT_FOUND = b'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n'
EVENTS = (
    b'data: {"type":"response.created","sequence_number":0}\n\n',
    b'data: {"type":"response.output_text.delta","sequence_number":1}\n\n',
    b'data: {"type":"response.completed","sequence_number":2,'
    b'"response":{"id":"ID"}}\n\n',
)


class PausingUpstream:
    """Answers in parts and pauses before part ``pauses_at``, as it began.

    A request to resume gets the events from the start, or 404.
    """

    def __init__(self):
        self.pauses_at = 0
        self.can_resume = False
        self.runs = 0
        self.response_id = b''

    def build_events(self):
        """Return the events of the response that was created last."""
        return [event.replace(b'ID', self.response_id) for event in EVENTS]

    async def serve(self, reader, writer):
        with (
            contextlib.closing(writer),
            contextlib.suppress(ConnectionError, asyncio.IncompleteReadError),
        ):
            await self._answer(reader, writer)

    async def _answer(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        target = head.split(b' ')[1]
        is_read = target.startswith(b'/v1/responses/') and b'stream=' in target
        if target == b'/v1/responses':
            self.runs += 1
            request = await garblingengine.read_request(head, reader)
            self.response_id = request['request_id'].encode()
            await self._write(writer, (STREAM, *self.build_events()))
        elif is_read and self.can_resume:
            await self._write(writer, (STREAM, *self.build_events()))
        elif target.startswith(b'/note'):
            self.runs += 1
            await self._write(writer, (HEAD % b'text/plain', b'no', b'ted'))
        else:
            writer.write(NOT_FOUND)
            await writer.drain()

    async def _write(self, writer, parts):
        for number, part in enumerate(parts):
            if number == self.pauses_at:
                await asyncio.sleep(PAUSE_S)
            writer.write(part)
            await writer.drain()


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def fleet():
    async with processes.run_fleet(
        flags=FLAGS, rows=ROWS, instances=1
    ) as running:
        yield running


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def upstream(fleet):
    pausing = PausingUpstream()
    listening = await asyncio.start_server(pausing.serve, '127.0.0.1', 0)
    host, port = listening.sockets[0].getsockname()
    for pool, kind in (('odd', 'engine'), ('jobs', 'plain')):
        await fleet.publish_upstream(
            launcher.Upstream(f'{pool}-0', pool, kind, 'a', f'{host}:{port}')
        )

    async def is_listed():
        status = await fleet.read_json('entry-0', '/status')
        return {'odd', 'jobs'}.issubset(status['pools'])

    await processes.wait_for(is_listed)
    yield pausing
    listening.close()


@pytest.mark.asyncio(loop_scope='module')
@pytest.mark.parametrize('streamed', [True, False])
@pytest.mark.parametrize('can_resume', [True, False])
@pytest.mark.parametrize('pauses_at', range(4))
async def test_an_engine_that_pauses_still_answers(
    fleet, upstream, pauses_at, can_resume, streamed
):
    upstream.pauses_at = pauses_at
    upstream.can_resume = can_resume
    before = upstream.runs
    answer = await fleet.request_model('entry-0', model='odd', stream=streamed)
    assert answer.status == 200, answer.body
    if streamed:
        assert answer.body.encode() == b''.join(upstream.build_events())
    else:
        response_id = upstream.response_id.decode()
        assert response_id.endswith(answer.request_id)
        assert json.loads(answer.body) == {'id': response_id}
    assert oracle.parse_answer(answer).error is None
    assert upstream.runs == before + 1


_KEYS = itertools.count()


@pytest.mark.asyncio(loop_scope='module')
@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize('pauses_at', range(3))
async def test_a_plain_service_that_pauses_still_answers(
    fleet, upstream, pauses_at, method
):
    upstream.pauses_at = pauses_at
    before = upstream.runs
    answer = await fleet.call(
        'entry-0',
        method,
        '/services/jobs/note',
        headers={'Idempotency-Key': f'{next(_KEYS)}'},
    )
    assert (answer.status, answer.body) == (200, 'noted')
    assert upstream.runs == before + 1


@pytest.mark.parametrize(
    ('path', 'work_s', 'event_gap_s'),
    [
        ('/once/x', PAUSE_S, 0),
        ('/stream/x', PAUSE_S, 0),
        ('/stream/x', 0, PAUSE_S),
    ],
)
async def test_a_replica_of_a_request_that_runs_once_still_answers(
    path, work_s, event_gap_s
):
    routes = [
        platformfleet.make_route(
            name, route_type, max_attempts=1, timeout_ms=12000
        )
        for name, route_type in (('once', 'unsafe'), ('stream', 'streaming'))
    ]
    async with platformfleet.running(replicas=1, routes=routes) as fleet:
        replica = fleet.replicas['i-0']
        replica.work_s = work_s
        replica.event_gap_s = event_gap_s
        replica.events = 3
        response = await fleet.send(path, deadline_ms=12000)
        runs = fleet.list_runs()
    assert response.status == 200
    assert response.is_complete
    assert len(runs) == 1
