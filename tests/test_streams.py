"""Each caller gets the complete answer to its own request, or an error."""

import asyncio
import contextlib
import json
import signal

import pytest
import pytest_asyncio

from lavenderledge.policy import table
from lavenderledge.standins import launcher, responses
from tests import garblingengine, oracle, processes, relay

pytestmark = pytest.mark.asyncio(loop_scope='module')

FLAGS = ('--silence-timeout=0.5', '--lost-timeout=3')
SPEED = ('--token-gap-s=0.005',)
ROWS = (
    *processes.ROWS,
    table.Row('odd', '*', 'odd', '*', 1, output_tokens=1, repeatable=True),
    table.Row('solo', '*', 'solo', '*', 1, repeatable=True),
)
NOT_FOUND = b'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n'
STREAM = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n'
CREATED = b'data: {"type":"response.created","sequence_number":0}\n\n'
DELTA = (
    b'data: {"type":"response.output_text.delta",'
    b'"sequence_number":%d,"delta":"x"}\n\n'
)


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def fleet():
    async with processes.run_fleet(
        flags=FLAGS, rows=ROWS, instances=3, engine_flags=SPEED
    ) as running:
        yield running
        await oracle.audit(running)


COMPLETED = (
    b'data: {"type":"response.completed",'
    b'"sequence_number":%d,"response":{"id":"ID"}}\n\n'
)


class ScriptedEngine:
    """An engine with one answer to creations and one to other requests.

    In both, ``ID`` stands for the response's id, as its creation named it.
    ``rest`` is the part of an answer that follows the first refused resume.
    """

    def __init__(self):
        self.answer = b''
        self.rest = b''
        self.other_answer = NOT_FOUND
        self.creations = 0
        self.response_id = b''
        self._asked = asyncio.Event()

    async def serve(self, reader, writer):
        with contextlib.closing(writer):
            await self._answer(reader, writer)

    async def _answer(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        if head.startswith(b'POST /v1/responses '):
            self.creations += 1
            request = await garblingengine.read_request(head, reader)
            response_id = request['request_id'].encode()
            self.response_id = response_id
            writer.write(self.answer.replace(b'ID', response_id))
            if self.rest:
                self._asked.clear()
                await self._asked.wait()
                writer.write(self.rest.replace(b'ID', response_id))
        else:
            response_id = head.split()[1].partition(b'?')[0].rpartition(b'/')[2]
            writer.write(self.other_answer.replace(b'ID', response_id))
            if head.startswith(b'GET /v1/responses/'):
                self._asked.set()
        await writer.drain()


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def scripted(fleet):
    engine = ScriptedEngine()
    listening = await asyncio.start_server(engine.serve, '127.0.0.1', 0)
    host, port = listening.sockets[0].getsockname()
    await fleet.publish_upstream(
        launcher.Upstream('odd-0', 'odd', 'engine', 'a', f'{host}:{port}')
    )
    yield engine
    listening.close()


async def ask_many(fleet, count):
    """Send requests of many lengths at once; return answers and lengths."""
    lengths = [5 + 7 * (number % 23) for number in range(count)]
    received = await asyncio.gather(
        *(
            fleet.request_model(
                f'entry-{number % 3}',
                stream=number % 2 == 0,
                metadata={'output_tokens': tokens, 'caller': number},
            )
            for number, tokens in enumerate(lengths)
        )
    )
    return list(zip(received, lengths, strict=True))


async def inject_faults(fleet):
    """Cut, silence, slow down and freeze engines in a loop."""
    while True:
        for switches in (
            {'cut': True},
            {'silent': True},
            {'slowdown': 4},
            {'cut_after_events': 9, 'slowdown': 1},
            {'cut_after_events': 0, 'silent_new': 1},
        ):
            for name in ('engine-0', 'engine-1'):
                await fleet.set_switches(name, **switches)
            await asyncio.sleep(0.2)
        frozen = fleet.programs['engine-0']
        frozen.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.8)
        frozen.send_signal(signal.SIGCONT)


async def test_each_caller_gets_its_own_complete_answer(fleet):
    faults_task = asyncio.create_task(inject_faults(fleet))
    received = await ask_many(fleet, 60)
    faults_task.cancel()
    fleet.programs['engine-0'].send_signal(signal.SIGCONT)
    for name in ('engine-0', 'engine-1'):
        await fleet.set_switches(
            name, slowdown=1, cut_after_events=0, silent_new=0
        )
    for number, (answer, tokens) in enumerate(received):
        oracle.check_complete(answer, tokens, caller=number)


async def test_a_permanently_silent_connection_is_replaced(fleet):
    engine = await fleet.start_standin(
        'engine', '--model=solo', '--replica=solo-0', *SPEED, name='engine-solo'
    )
    path = relay.Relay(target=engine.address)
    await fleet.publish_upstream(
        launcher.Upstream('solo-0', 'solo', 'engine', 'a', await path.start())
    )
    whole = asyncio.create_task(
        fleet.request_model('entry-1', tokens=200, model='solo')
    )
    async with oracle.open_stream(
        fleet, 'entry-0', tokens=200, model='solo'
    ) as response:
        events = await oracle.read_events(response, until=20)
        path.silence()
        events += await oracle.read_events(response)
    received = oracle.ReceivedResponse(events=events)
    assert received.sequence_numbers == list(range(202))
    assert received.text == responses.render_text(received.response['id'], 200)
    oracle.check_complete(await whole, 200)
    await path.close()


async def test_any_instance_resumes_a_stream(fleet):
    victim = await fleet.start_instance('entry-9', *FLAGS)
    await fleet.wait_until_ready('entry-0', 'entry-1', 'entry-2', 'entry-9')
    async with oracle.open_stream(fleet, 'entry-9', tokens=300) as response:
        events = await oracle.read_events(response, until=20)
        await victim.kill()
    await fleet.remove_endpoint('entry-9')
    response_id = events[0]['response']['id']
    path = f'/v1/responses/{response_id}'
    resumed = await fleet.call(
        'entry-1', 'GET', f'{path}?stream=true&starting_after=20'
    )
    received = oracle.ReceivedResponse(
        events=events + oracle.parse_answer(resumed).events
    )
    assert received.sequence_numbers == list(range(302))
    assert received.text == responses.render_text(response_id, 300)
    again = oracle.parse_answer(await fleet.call('entry-2', 'GET', path))
    assert again.response == received.response


@pytest.mark.parametrize(
    ('stream', 'code', 'outcome'),
    [
        (None, 'upstream_refused', 'failed'),
        (b'data: nonsense\n\n', 'upstream_lost', 'unknown'),
        (CREATED + DELTA % 1 + DELTA % 3, 'upstream_lost', 'unknown'),
        (CREATED + DELTA % 1, 'upstream_lost', 'unknown'),
        (
            CREATED + b'data: {"type":"response.completed",'
            b'"sequence_number":1}\n\n',
            'answer_incomplete',
            'failed',
        ),
        (
            CREATED + b'data: {"type":"response.cancelled",'
            b'"sequence_number":1,"response":{"status":"cancelled"}}\n\n',
            'upstream_failed',
            'failed',
        ),
    ],
)
async def test_a_broken_answer_is_refused(
    fleet, scripted, stream, code, outcome
):
    before = scripted.creations
    conflict = b'HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n'
    scripted.answer = conflict if stream is None else STREAM + stream
    received = await asyncio.gather(
        *(
            fleet.request_model('entry-0', model='odd', stream=streamed)
            for streamed in (False, True)
        )
    )
    for answer in received:
        oracle.check_refused(answer, code, outcome)
    assert scripted.creations == before + 2


@pytest.mark.parametrize('streamed', [True, False])
@pytest.mark.parametrize('begun', [b'', STREAM + CREATED + DELTA % 1])
async def test_a_silent_engine_that_cannot_resume_is_heard_out(
    fleet, scripted, begun, streamed
):
    whole = STREAM + CREATED + DELTA % 1 + DELTA % 2 + COMPLETED % 3
    before = scripted.creations
    scripted.answer = begun
    scripted.rest = whole.removeprefix(begun)
    answer = await fleet.request_model('entry-0', model='odd', stream=streamed)
    scripted.rest = b''
    assert answer.status == 200
    assert oracle.parse_answer(answer).error is None
    response_id = scripted.response_id.decode()
    assert response_id.endswith(answer.request_id)
    if streamed:
        expected = whole.removeprefix(STREAM)
        expected = expected.replace(b'ID', scripted.response_id)
        assert answer.body.encode() == expected
    else:
        assert json.loads(answer.body) == {'id': response_id}
    assert scripted.creations == before + 1


async def test_repeated_events_are_relayed_once(fleet, scripted):
    """The engine sends every stream from the first event."""
    begun = STREAM + CREATED + DELTA % 1
    scripted.answer = begun
    scripted.other_answer = begun + DELTA % 2 + COMPLETED % 3
    received = oracle.parse_answer(
        await fleet.request_model('entry-0', model='odd', stream=True)
    )
    scripted.other_answer = NOT_FOUND
    assert received.sequence_numbers == [0, 1, 2, 3]


async def test_an_engines_death_is_reported(fleet):
    await fleet.remove_endpoint('solo-0')
    victim = await fleet.start_engine(
        'engine-9', 'solo', '--model=solo', *SPEED
    )
    whole = asyncio.create_task(
        fleet.request_model('entry-1', tokens=5000, model='solo')
    )
    async with oracle.open_stream(
        fleet, 'entry-0', tokens=5000, model='solo'
    ) as response:
        events = await oracle.read_events(response, until=20)

        async def are_running():
            return await oracle.count_calls(fleet, 'create', 'engine-9') == 2

        await processes.wait_for(are_running)
        await victim.kill()
        events += await oracle.read_events(response)
    received = oracle.ReceivedResponse(events=events)
    assert received.response is None
    assert received.error['code'] == 'upstream_lost'
    assert received.error['outcome'] == 'unknown'
    assert received.sequence_numbers == list(
        range(len(received.sequence_numbers))
    )
    oracle.check_refused(await whole, 'upstream_lost', 'unknown')
