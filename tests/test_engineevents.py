"""What an engine's run did not make never reaches a caller."""

import asyncio
import itertools
import json

import pytest
import pytest_asyncio

from lavenderledge.policy import table
from lavenderledge.upstreams import events
from tests import garblingengine, processes

pytestmark = pytest.mark.asyncio(loop_scope='module')

FLAGS = ('--silence-timeout=0.5', '--lost-timeout=2')
ROWS = (
    *processes.ROWS,
    table.Row(
        'odd', '*', 'odd', '*', 1, output_tokens=1, repeatable=True, timeout_s=9
    ),
)
INPUTS = tuple(
    '/'.join(way)
    for way in itertools.product(
        garblingengine.FRAMINGS, garblingengine.ENDINGS
    )
)
# Limits of what is read, and the sockets' buffers, for two requests.
MAX_SENT_BYTES = 32_000_000
MAX_KEPT_LINES = 2000
# A reset may discard events that the daemon has not read yet.
RESUMES = {
    'stream=true',
    'stream=true&starting_after=0',
    'stream=true&starting_after=1',
}
HIGH_BYTES = bytes(range(128, 256))
FOREIGN_HEAD = b'HTTP/1.1 500 Failed\r\nContent-Length: 3\r\n\r\nx\n\n'
OTHER_RESPONSE = {'id': 'other', 'status': 'completed'}
OTHER_END = garblingengine.format_event(
    2, 'response.completed', response=OTHER_RESPONSE
)
DEEP = b'[' * 5000 + b']' * 5000


def number_as(text):
    return (
        b'data: {"type":"response.output_text.delta",'
        b'"sequence_number":%b,"delta":"foreign"}\n\n' % text
    )


# In place of the third event.
BLOCKS = {
    'high bytes': HIGH_BYTES,
    'high bytes, blank line': HIGH_BYTES + b'\n\n',
    'high bytes, blank lines inside': HIGH_BYTES + b'\n\n' + HIGH_BYTES,
    'no JSON': b'data: x\n\n',
    'JSON that is no object': b'data: [2]\n\n',
    'no data': b'event: response.foreign\n\n',
    'no data, an id': b'id: 7\n\n',
    'no number': b'data: {"type":"response.foreign"}\n\n',
    'repeated number': number_as(b'1'),
    'lower number': number_as(b'0'),
    'skipped number': number_as(b'3'),
    'negative number': number_as(b'-1'),
    'huge number': number_as(b'9' * 40),
    'number without end': number_as(b'9' * 5000),
    'fraction': number_as(b'2.0'),
    'text for a number': number_as(b'"2"'),
    'boolean': number_as(b'true'),
    'null': number_as(b'null'),
    'foreign head': FOREIGN_HEAD,
    'no UTF-8': number_as(b'2').replace(b'foreign', HIGH_BYTES),
    'no UTF-8 in a name': number_as(b'2').replace(b'delta"', b'\xff"'),
    'nested too deeply': number_as(b'2').replace(b'"foreign"', DEEP),
    'other kind': b'event: response.completed\n' + number_as(b'2'),
    'carriage return': b'event: x\rdata: y\r\r\n' + number_as(b'2'),
    'carriage return in JSON': number_as(b'\r2'),
    'other response ends': OTHER_END,
    'other response begins': garblingengine.format_event(
        2, 'response.in_progress', response=OTHER_RESPONSE
    ),
    'response that is no object': garblingengine.format_event(
        2, 'response.in_progress', response='x'
    ),
}
# In front of the third event, without a blank line.
PREFIXES = {
    'high bytes': HIGH_BYTES + b'\n',
    'high bytes without a line end': HIGH_BYTES,
    'status line': b'HTTP/1.1 500 Failed\r\n',
    'header field': b'Content-Length: 3\r\n',
    'unknown field': b'foreign: x\n',
    'id': b'id: 7\n',
    'retry': b'retry: 7\n',
    'text': b'foreign\n',
    'other event': b'event: response.foreign\n',
    'event without data': b'event\n',
    'data without a colon': b'data\n',
    'torn event': b'data: {"type":"resp\n',
}


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def fleet():
    async with processes.run_fleet(
        flags=FLAGS, rows=ROWS, instances=1, engines=1
    ) as running:
        yield running


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def published(fleet):
    engine = garblingengine.GarblingEngine()
    listening = await engine.publish(fleet)
    yield engine
    listening.close()


@pytest.fixture
def engine(published):
    published.__init__()
    return published


async def ask(fleet, text, *, stream):
    """Send a request; return its id, status and the bytes of its answer."""
    address = fleet.programs['entry-0'].addresses['listen']
    async with fleet.session.post(
        f'http://{address}/v1/responses',
        json={'model': 'odd', 'input': text, 'stream': stream},
        headers={'X-Customer': 'hub', 'X-Request-Kind': 'plan'},
    ) as response:
        request_id = response.headers['X-Request-Id']
        return request_id, response.status, await response.read()


async def check_all(fleet, engine, check, inputs=INPUTS):
    """Send a request for each input, streamed or not; check the answers."""
    ways = list(itertools.product(inputs, (True, False)))
    received = await asyncio.gather(
        *(ask(fleet, text, stream=stream) for text, stream in ways)
    )
    wrong = []
    for (text, stream), (request_id, status, body) in zip(
        ways, received, strict=True
    ):
        events = garblingengine.build_events(engine.response_ids[request_id])
        if not check(events, status, body, stream=stream):
            wrong.append(f'{text} {stream=} {status} {body[-400:]}')
    assert not wrong, '\n'.join((f'{len(wrong)} wrong', *wrong))


def is_whole(events, status, body, *, stream):
    """Return whether an answer is what the run made, and nothing else."""
    if stream:
        return (status, body) == (200, b''.join(events))
    last = json.loads(events[-1].rpartition(b'data: ')[2])
    return status == 200 and json.loads(body) == last['response']


def is_refused(events, status, body, *, stream):
    """Return whether an answer ends as lost, after no more than two events."""
    if not stream:
        return status == 504 and is_lost(body)
    relayed, _, error = body.partition(b'event: error\ndata: ')
    return b''.join(events[:2]).startswith(relayed) and is_lost(error)


def is_lost(document):
    return b'"code":"upstream_lost"' in document.replace(b' ', b'')


@pytest.mark.parametrize('rest', ['none', 'good'])
@pytest.mark.parametrize('block', BLOCKS)
async def test_a_stream_goes_on_after_its_last_good_event(
    fleet, engine, block, rest
):
    def build(events):
        goes_on = events[2:] if rest == 'good' else ()
        return *events[:2], BLOCKS[block], *goes_on

    engine.build = build
    await check_all(fleet, engine, is_whole)
    assert set(engine.resumed) <= RESUMES


@pytest.mark.parametrize('prefix', PREFIXES)
async def test_nothing_in_front_of_an_event_is_passed_on(fleet, engine, prefix):
    engine.build = lambda events: (
        *events[:2],
        PREFIXES[prefix] + events[2],
        events[3],
    )
    await check_all(fleet, engine, is_whole)
    assert set(engine.resumed) <= RESUMES


@pytest.mark.parametrize('prefix', PREFIXES)
async def test_nothing_in_front_of_the_first_event_is_passed_on(
    fleet, engine, prefix
):
    engine.build = lambda events: (PREFIXES[prefix] + events[0], *events[1:])
    await check_all(fleet, engine, is_whole)
    assert set(engine.resumed) <= {'stream=true'}


@pytest.mark.parametrize(
    'comment', [b': x\n', b':\xff\n', b':\n\n', b': x\n\n']
)
async def test_comments_are_not_passed_on(fleet, engine, comment):
    engine.build = lambda events: tuple(comment + event for event in events)
    await check_all(fleet, engine, is_whole, INPUTS[::3])
    assert not engine.resumed


@pytest.mark.parametrize('block', BLOCKS)
async def test_nothing_foreign_is_passed_on_if_an_engine_cannot_resume(
    fleet, engine, block
):
    engine.can_resume = False
    engine.build = lambda events: (*events[:2], BLOCKS[block])
    await check_all(fleet, engine, is_refused)


@pytest.mark.parametrize('block', BLOCKS)
async def test_an_engine_that_sends_nothing_else_is_lost(fleet, engine, block):
    engine.garbles_resumed = True
    engine.filler = BLOCKS[block]
    engine.build = lambda events: (*events[:2], BLOCKS[block])
    await check_all(fleet, engine, is_refused, INPUTS[:1])


@pytest.mark.parametrize('block', BLOCKS)
async def test_nothing_is_passed_on_after_the_last_event(fleet, engine, block):
    engine.build = lambda events: (*events, BLOCKS[block], *events)
    await check_all(fleet, engine, is_whole)


async def test_a_second_copy_is_not_passed_on(fleet, engine):
    engine.build = lambda events: (
        *events[:2],
        *(event.replace(b'two ', b'another ') for event in events),
    )
    await check_all(fleet, engine, is_whole)


@pytest.mark.parametrize('filler', [b'x', b'data: [\n', b'event: x\n'])
async def test_an_event_without_end_is_not_read_on(fleet, engine, filler):
    engine.filler = filler
    engine.build = lambda events: (*events[:2], b'data: [')
    await check_all(fleet, engine, is_whole, ('unframed/closed',))
    assert engine.sent_bytes < MAX_SENT_BYTES


@pytest.mark.parametrize('line', [b'data: [\n', b'event: x\n'])
async def test_an_event_is_kept_up_to_a_limit(line):
    parser = events.EventParser(response_id='resp')
    with pytest.raises(events.ForeignError):
        for _ in range(MAX_KEPT_LINES):
            parser.feed(line)
