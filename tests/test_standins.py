import asyncio
import contextlib
import datetime
import json
import signal
import sys

import aiohttp
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from lavenderledge import clock as clocks
from lavenderledge.standins import (
    answers,
    batch,
    definition,
    engine,
    engineapp,
    instancelist,
    keyvalue,
    plain,
    prefixcache,
    refusals,
    server,
    store,
)

EVERYTHING = {'key': b'\0', 'range_end': b'\0'}
LIMIT_S = 30
ANSWERS = '/v1/responses'
KEYS = st.sampled_from([b'a', b'b', b'ba', b'c'])


class ManualClock:
    def __init__(self):
        self.now_s = 1000.0

    def read_monotonic(self):
        return self.now_s

    def read_wall(self):
        return datetime.datetime.fromtimestamp(self.now_s, tz=datetime.UTC)

    async def sleep(self, delay):
        self.now_s += delay.total_seconds()


def make_engine(clock, **changes):
    kind = next(kind for kind in definition.KINDS if kind.name == 'engine')
    flags = {
        option.flag[2:].replace('-', '_'): option.default
        for option in kind.options
    }
    speed = batch.Speed(
        **{name: changes.pop(name, flags[name]) for name in batch.Speed._fields}
    )
    settings = engine.Settings(
        model='calculator',
        replica='calculator-0',
        speed=speed,
        cache_blocks=flags['cache_blocks'],
        block_tokens=flags['block_tokens'],
        load_lag=flags['load_lag_s'],
        cache_event_lag=flags['cache_event_lag_s'],
        orphan_limit=flags['orphan_s'],
        fencing=flags['fencing'],
    )
    return engine.Engine(clock=clock, settings=settings._replace(**changes))


def ask(request_id, tokens, text='', **fields):
    return {
        'model': 'calculator',
        'input': text,
        'stream': True,
        'request_id': request_id,
        'metadata': {'output_tokens': tokens},
        **fields,
    }


@contextlib.asynccontextmanager
async def connect(app):
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(asyncio.timeout(LIMIT_S))
        address = await stack.enter_async_context(server.serving(app))
        yield await stack.enter_async_context(
            aiohttp.ClientSession(f'http://{address}')
        )


async def read_events(response):
    lines = [line async for line in response.content if b'data:' in line]
    return [json.loads(line.removeprefix(b'data: ')) for line in lines]


async def switch(session, **switches):
    async with session.post('/standin/switches', json=switches) as response:
        assert response.status == 200


class StoreMachine(stateful.RuleBasedStateMachine):
    """The store against a plain dict, and its watches against both."""

    def __init__(self):
        super().__init__()
        self.store = store.Store(clock=ManualClock())
        self.oracle = {}
        self.revision = 1
        self.live = []
        self.store.watch(EVERYTHING, self.live.append)

    @stateful.rule(key=KEYS, value=st.binary(max_size=2))
    def put(self, key, value):
        self.revision += 1
        self.oracle[key] = value
        done = self.store.put({'key': key, 'value': value}).ok
        assert done['header']['revision'] == self.revision

    @stateful.rule(key=KEYS, end=KEYS)
    def delete(self, key, end):
        gone = [name for name in self.oracle if key <= name < end]
        self.revision += bool(gone)
        for name in gone:
            self.oracle.pop(name)
        done = self.store.delete_range({'key': key, 'range_end': end}).ok
        assert done['deleted'] == len(gone)

    @stateful.rule(keys=st.lists(KEYS, min_size=1, max_size=3, unique=True))
    def create_in_group(self, keys):
        nested = [
            {
                'compare': [{'key': key, 'target': 'CREATE'}],
                'success': [{'request_put': {'key': key, 'value': b'new'}}],
                'failure': [{'request_range': {'key': key}}],
            }
            for key in keys
        ]
        steps = [{'request_txn': inner} for inner in nested]
        done = self.store.txn({'success': steps}).ok['responses']
        self.revision += any(key not in self.oracle for key in keys)
        for key, step in zip(keys, done, strict=True):
            inner = step['response_txn']
            assert inner['succeeded'] == (key not in self.oracle)
            if not inner['succeeded']:
                found = inner['responses'][0]['response_range']['kvs'][0]
                assert found['value'] == self.oracle[key]
            self.oracle.setdefault(key, b'new')

    @stateful.invariant()
    def agrees(self):
        found = self.store.range(EVERYTHING).ok
        assert found['header']['revision'] == self.revision
        pairs = [(pair['key'], pair['value']) for pair in found['kvs']]
        assert pairs == sorted(self.oracle.items())
        replayed = []
        self.store.close_watch(
            self.store.watch(
                EVERYTHING | {'start_revision': 1}, replayed.append
            )
        )
        events = [seen for sent in self.live for seen in sent.get('events', [])]
        again = [seen for sent in replayed for seen in sent.get('events', [])]
        assert events == again
        state = {}
        for event in events:
            kept = event['kv'] if event['type'] == 'PUT' else None
            state[event['kv']['key']] = kept
        assert [pair for _, pair in sorted(state.items()) if pair] == found[
            'kvs'
        ]


test_store = StoreMachine.TestCase


@pytest.mark.parametrize(('steps', 'error'), [
    ([{'request_put': {'key': b'k'}}] * 2, refusals.DUPLICATE_KEY),
    ([{'request_range': {'key': b'k'}}] * 129, refusals.TOO_MANY_OPERATIONS),
    ([{'request_put': {'key': b'k', 'lease': 7}}], refusals.LEASE_UNKNOWN),
    ([{'request_put': {'key': b'k', 'value': bytes(2**20 + 1)}}],
     refusals.TOO_LARGE),
    ([{'request_txn': {'failure': [{'request_put': {}}]}}],
     refusals.KEY_MISSING),
])  # fmt: skip
def test_a_refused_transaction_changes_nothing(steps, error):
    kept = store.Store(clock=ManualClock())
    good = {'request_put': {'key': b'first'}}
    assert kept.txn({'success': [good, *steps]}).error == error
    assert kept.header['revision'] == 1


def test_a_lease_takes_its_keys_along():
    clock = ManualClock()
    kept = store.Store(clock=clock)
    seen = []
    kept.watch({'key': b'k'}, seen.append)
    number = kept.grant_lease({'TTL': 5}).ok['ID']
    kept.put({'key': b'k', 'lease': number})
    clock.now_s += 4
    assert kept.keep_lease({'ID': number}).ok['TTL'] == 5
    clock.now_s += 4
    assert kept.range({'key': b'k'}).ok['count'] == 1
    clock.now_s += 1
    assert kept.range({'key': b'k'}).ok['count'] == 0
    assert seen[-1]['events'][0]['type'] == 'DELETE'
    assert kept.keep_lease({'ID': number}).ok['TTL'] == 0


async def test_key_value_faults():
    service = keyvalue.KeyValue(
        clock=clocks.SystemClock(),
        progress_interval=datetime.timedelta(milliseconds=20),
    )
    pair = {'key': 'aw==', 'value': 'dg=='}
    watch = {'create_request': {'key': 'aw==', 'progress_notify': True}}
    async with connect(keyvalue.build_app(service)) as session:
        quiet = await session.post('/v3/watch', json=watch)
        await quiet.content.readline()
        await switch(session, silent_watches=True, lose_answers=1)
        ended = await session.post('/v3/watch', json=watch)
        with pytest.raises(aiohttp.ServerDisconnectedError):
            await session.post('/v3/kv/put', json=pair)
        await switch(session, outage=True)
        assert b'"value":"dg=="' in await ended.content.read()
        refused = await session.post('/v3/kv/put', json=pair)
        assert refused.status == 503
        await switch(session, outage='silent')
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await session.post('/v3/kv/put', json=pair)
        await switch(session, outage=False)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await quiet.content.read()
    log = service.panel.journal.read()['records']
    facts = [(each['took_effect'], each['answered']) for each in log]
    assert facts == [(True, False), (False, True), (False, False)]
    assert service.panel.counts['put'] == 3


def test_a_batch_slows_beyond_its_knee_and_for_a_prefill():
    speed = batch.Speed(
        token_gap_s=0.01, knee=2, prefill_rate=1000, max_running=4
    )
    cache = prefixcache.PrefixCache(capacity=9)
    served = batch.Batch(speed=speed, cache=cache)
    for _ in range(5):
        served.add(batch.Sequence(digests=(), prompt_tokens=100, wanted=3))
    assert len(served.admit()) == 4
    assert (served.running, served.waiting) == (4, 1)
    assert served.measure_step() == pytest.approx(0.256)
    assert [len(group) for group in served.step()] == [2, 2]
    assert served.measure_step() == pytest.approx(0.01 * 1.02 + 0.144)
    assert [len(group) for group in served.step()] == [4, 2]
    assert served.measure_step() == pytest.approx(0.01 * 1.02 * 2)
    served.slowdown = 3
    assert served.measure_step() == pytest.approx(0.06 * 1.02 * 2 / 2)


def test_cached_and_wasted_prefill_are_counted():
    clock = ManualClock()
    served = make_engine(clock, cache_blocks=3)
    text = 'x' * 64 * 3
    served.panel.change({'cache_event_gaps': 0.0})
    for name in ('first', 'second', 'third'):
        made = served.create(
            ask(name, 50, text if name != 'third' else 'y' * 99)
        )
        served.step()
        served.cancel(made)
    log = [made._asdict() for made in served.panel.journal._records[2::3]]
    assert [each['cached_tokens'] for each in log] == [0, 47, 0]
    assert [each['wasted_prefill_tokens'] for each in log] == [48, 1, 25]
    assert served.read_cache_events(0)['next'] == 0
    clock.now_s += 0.5
    page = served.read_cache_events(0)
    assert [each['type'] for each in page['events']] == [
        'stored', 'removed', 'stored',
    ]  # fmt: skip
    digests = prefixcache.digest_blocks(text)
    assert page['events'][0]['blocks'] == digests
    assert page['events'][1]['blocks'] == digests[-1:]


async def test_an_engine_resumes_what_a_connection_lost():
    served = make_engine(clocks.SystemClock())
    async with connect(engineapp.build_app(served)) as session:
        await switch(session, cut_after_events=5)
        cut = await session.post(ANSWERS, json=ask('resumed-1', 40))
        again = await session.post(ANSWERS, json=ask('resumed-1', 40))
        assert again.status == 409
        with pytest.raises(aiohttp.ClientPayloadError):
            await read_events(cut)
        await switch(session, cut_after_events=0)
        path = f'{ANSWERS}/resumed-1?stream=true&starting_after=4'
        lost = await session.get(path)
        await lost.content.readline()
        await switch(session, silent=True)
        events = await read_events(await session.get(path))
    assert [each['sequence_number'] for each in events] == list(range(5, 42))
    assert events[-1]['type'] == 'response.completed'
    usage = events[-1]['response']['usage']
    assert usage['output_tokens'] == 40
    whole = answers.render_text('resumed-1', 40)
    assert events[-1]['response']['output'][0]['content'][0]['text'] == whole
    deltas = ''.join(each['delta'] for each in events[:-1])
    assert whole.endswith(deltas)


async def test_an_engine_cancels_on_order_and_orphans():
    served = make_engine(
        clocks.SystemClock(), orphan_limit=datetime.timedelta(0)
    )
    async with connect(engineapp.build_app(served)) as session:
        ordered = await session.post(ANSWERS, json=ask('ordered', 10**6))
        await session.post(f'{ANSWERS}/ordered/cancel')
        events = await read_events(ordered)
        assert events[-1]['type'] == 'response.cancelled'
        orphan = await session.post(ANSWERS, json=ask('orphan', 10**6))
        orphan.close()
        while not served.find('orphan').sequence.ended:
            await asyncio.sleep(0.01)
    last = served.panel.journal.read()['records'][-1]
    assert (last['id'], last['status']) == ('orphan', 'orphaned')


async def test_old_fencing_numbers_are_refused_where_checked():
    for fencing, status in (('checked', 409), ('ignored', 200)):
        served = make_engine(clocks.SystemClock(), fencing=fencing)
        async with connect(engineapp.build_app(served)) as session:
            for number, wanted in ((2, 200), (1, status)):
                order = {'order': 'load_model', 'fencing': number}
                answer = await session.post('/orders', json=order)
                assert answer.status == wanted


def test_the_instance_list_lags():
    clock = ManualClock()
    service = instancelist.InstanceList(clock=clock, lag_s=2)
    service.put('order-0', {
        'pool': 'orders', 'kind': 'plain', 'zone': 'addis-a',
        'address': '127.0.0.1', 'ports': {'http': 1}, 'terminating': True,
    })  # fmt: skip
    clock.now_s += 1.9
    assert service.read().version == 1
    clock.now_s += 0.1
    listing = service.read()
    assert listing.version == 2
    conditions = listing.slices[0]['endpoints'][0]['conditions']
    assert conditions == {'ready': False, 'serving': True, 'terminating': True}


async def test_a_plain_service_tells_what_ran():
    service = plain.Plain(
        clock=clocks.SystemClock(), name='orders', work=datetime.timedelta()
    )
    headers = {'Idempotency-Key': 'key-1'}
    async with connect(plain.build_app(service)) as session:
        for fault, runs in (('close_before', 0), ('close_after', 1)):
            await switch(session, **{fault: 1})
            with pytest.raises(aiohttp.ServerDisconnectedError):
                await session.post('/orders', headers=headers)
            assert service.runs['key-1'] == runs
        answer = await session.post('/orders', headers=headers)
        assert (await answer.json())['run'] == 2


async def test_a_process_is_ready_and_ends_with_status_0():
    command = (sys.executable, '-m', 'lavenderledge.standins')
    process = await asyncio.create_subprocess_exec(
        *command, 'engine', stdout=asyncio.subprocess.PIPE
    )
    async with asyncio.timeout(LIMIT_S):
        line = await process.stdout.readline()
        address = line.decode().strip().removeprefix('ready address=')
        async with aiohttp.ClientSession(f'http://{address}') as session:
            await session.post(ANSWERS, json=ask('endless', 10**6))
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
