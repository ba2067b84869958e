import asyncio
import datetime
import signal
import sys

import aiohttp
import pytest

from lavenderledge import clock as clocks
from lavenderledge.standins import (
    batch,
    engineapp,
    instancelist,
    keyvalue,
    plain,
    prefixcache,
    responses,
)
from tests import serving


async def test_key_value_faults():
    service = keyvalue.KeyValue(
        clock=clocks.SystemClock(),
        progress_interval=datetime.timedelta(milliseconds=20),
    )
    pair = {'key': 'aw==', 'value': 'dg=='}
    watch = {'create_request': {'key': 'aw==', 'progress_notify': True}}
    async with serving.connect(keyvalue.build_app(service)) as session:
        silent_watch = await session.post('/v3/watch', json=watch)
        await silent_watch.content.readline()
        await serving.set_switches(session, silent_watches=True, lose_answers=1)
        open_watch = await session.post('/v3/watch', json=watch)
        with pytest.raises(aiohttp.ServerDisconnectedError):
            await session.post('/v3/kv/put', json=pair)
        await serving.set_switches(session, outage=True)
        assert b'"value":"dg=="' in await open_watch.content.read()
        refused = await session.post('/v3/kv/put', json=pair)
        assert refused.status == 503
        await serving.set_switches(session, outage='silent')
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await session.post('/v3/kv/put', json=pair)
        await serving.set_switches(session, outage=False)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await silent_watch.content.read()
    records = service.controls.journal.read()['records']
    effects = [(each['took_effect'], each['answered']) for each in records]
    assert effects == [(True, False), (False, True), (False, False)]
    assert service.controls.counts['put'] == 3


def test_a_step_takes_longer_beyond_the_knee_and_during_prefill():
    speed = batch.Speed(
        token_gap_s=0.01, knee=2, prefill_rate=1000, max_running=4
    )
    cache = prefixcache.PrefixCache(capacity=9)
    engine = batch.Batch(speed=speed, cache=cache)
    for _ in range(5):
        engine.add(
            batch.Sequence(digests=(), prompt_tokens=100, target_tokens=3)
        )
    assert engine.begin_step() == 0
    assert len(engine.admit()) == 4
    assert (engine.running, engine.waiting) == (4, 1)
    assert [len(group) for group in engine.end_step()] == [0, 0]
    assert engine.begin_step() == pytest.approx(0.256)
    assert [len(group) for group in engine.end_step()] == [2, 2]
    assert engine.begin_step() == pytest.approx(0.01 * 1.02 + 0.144)
    assert [len(group) for group in engine.end_step()] == [4, 2]
    assert engine.begin_step() == pytest.approx(0.01 * 1.02 * 2)
    engine.slowdown = 3
    assert engine.begin_step() == pytest.approx(0.01 * 1.02 * 2 * 3)


def test_cached_and_wasted_prefill_are_counted():
    clock = serving.ManualClock()
    engine = serving.make_engine(clock, '--cache-blocks', '3')
    text = 'x' * 64 * 3
    for name in ('first', 'second', 'third'):
        generation = engine.create(
            serving.build_request_body(
                name, 50, text if name != 'third' else 'y' * 99
            )
        )
        engine.begin_step()
        engine.end_step()
        engine.cancel(generation)
    records = engine.controls.journal.read()['records'][2::3]
    assert [each['cached_tokens'] for each in records] == [0, 47, 0]
    assert [each['wasted_prefill_tokens'] for each in records] == [48, 1, 25]
    assert engine.read_cache_events(0)['next'] == 0
    clock.now_s += 0.5
    page = engine.read_cache_events(0)
    assert [each['type'] for each in page['events']] == [
        'stored', 'removed', 'stored',
    ]  # fmt: skip
    digests = prefixcache.digest_blocks(text)
    assert page['events'][0]['blocks'] == digests
    assert page['events'][1]['blocks'] == digests[-1:]


async def test_a_stream_resumes_after_a_lost_connection():
    engine = serving.make_engine(clocks.SystemClock())
    async with serving.connect(engineapp.build_app(engine)) as session:
        await serving.set_switches(session, cut_after_events=5)
        first = await session.post(
            serving.RESPONSES_PATH,
            json=serving.build_request_body('resumed-1', 40),
        )
        duplicate = await session.post(
            serving.RESPONSES_PATH,
            json=serving.build_request_body('resumed-1', 40),
        )
        assert duplicate.status == 409
        with pytest.raises(aiohttp.ClientPayloadError):
            await serving.read_events(first)
        await serving.set_switches(session, cut_after_events=0)
        path = (
            f'{serving.RESPONSES_PATH}/resumed-1?stream=true&starting_after=4'
        )
        lost = await session.get(path)
        await lost.content.readline()
        await serving.set_switches(session, silent=True)
        events = await serving.read_events(await session.get(path))
    assert [each['sequence_number'] for each in events] == list(range(5, 42))
    assert events[-1]['type'] == 'response.completed'
    usage = events[-1]['response']['usage']
    assert usage['output_tokens'] == 40
    text = responses.render_text('resumed-1', 40)
    assert events[-1]['response']['output'][0]['content'][0]['text'] == text
    deltas = ''.join(each['delta'] for each in events[:-1])
    assert text.endswith(deltas)


async def test_a_request_on_a_silent_connection_completes():
    engine = serving.make_engine(clocks.SystemClock())
    async with serving.connect(engineapp.build_app(engine)) as session:
        await serving.set_switches(session, silent_new=1)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await session.post(
                    serving.RESPONSES_PATH,
                    json=serving.build_request_body('silent', 30),
                )
        resumed = await session.get(
            f'{serving.RESPONSES_PATH}/silent?stream=true'
        )
        assert len(await serving.read_events(resumed)) == 32


def test_the_reported_load_lags():
    clock = serving.ManualClock()
    engine = serving.make_engine(clock, '--load-lag-s', '2')
    engine.create(serving.build_request_body('first', 9))
    clock.now_s += 1.9
    assert engine.read_load().running == 0
    clock.now_s += 0.1
    assert engine.read_load().running == 1


async def test_a_request_ends_on_cancel_and_when_orphaned():
    engine = serving.make_engine(clocks.SystemClock(), '--orphan-s', '0')
    async with serving.connect(engineapp.build_app(engine)) as session:
        ordered = await session.post(
            serving.RESPONSES_PATH,
            json=serving.build_request_body('ordered', 10**6),
        )
        await session.post(f'{serving.RESPONSES_PATH}/ordered/cancel')
        events = await serving.read_events(ordered)
        assert events[-1]['type'] == 'response.cancelled'
        orphan = await session.post(
            serving.RESPONSES_PATH,
            json=serving.build_request_body('orphan', 10**6),
        )
        orphan.close()
        while not engine.find('orphan').sequence.ended:
            await asyncio.sleep(0.01)
    last = engine.controls.journal.read()['records'][-1]
    assert (last['id'], last['status']) == ('orphan', 'orphaned')


async def test_stale_fencing_numbers_are_rejected_if_checked():
    for fencing, status in (('checked', 409), ('ignored', 200)):
        engine = serving.make_engine(clocks.SystemClock(), '--fencing', fencing)
        async with serving.connect(engineapp.build_app(engine)) as session:
            for number, wanted in ((2, 200), (1, status)):
                order = {'order': 'load_model', 'fencing': number}
                answer = await session.post('/orders', json=order)
                assert answer.status == wanted


def test_the_instance_list_lags():
    clock = serving.ManualClock()
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


async def test_a_plain_service_counts_runs_with_closed_connections():
    service = plain.PlainService(
        clock=clocks.SystemClock(),
        name='orders',
        call_duration=datetime.timedelta(),
    )
    headers = {'Idempotency-Key': 'key-1'}
    async with serving.connect(plain.build_app(service)) as session:
        for fault, runs in (('close_before', 0), ('close_after', 1)):
            await serving.set_switches(session, **{fault: 1})
            with pytest.raises(aiohttp.ServerDisconnectedError):
                await session.post('/orders', headers=headers)
            assert service.runs['key-1'] == runs
        answer = await session.post('/orders', headers=headers)
        assert (await answer.json())['run'] == 2


async def test_a_process_reports_ready_and_exits_with_status_0():
    command = (sys.executable, '-m', 'lavenderledge.standins')
    process = await asyncio.create_subprocess_exec(
        *command, 'engine', stdout=asyncio.subprocess.PIPE
    )
    async with asyncio.timeout(serving.TIMEOUT_S):
        line = await process.stdout.readline()
        address = line.decode().strip().removeprefix('ready address=')
        async with aiohttp.ClientSession(f'http://{address}') as session:
            await session.post(
                serving.RESPONSES_PATH,
                json=serving.build_request_body('endless', 10**6),
            )
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
