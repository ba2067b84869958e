"""Graceful stops complete all requests in flight."""

import asyncio
import json
import signal

from tests import processes

FLAGS = ('--notice-period=1',)
ENGINE_FLAGS = ('--token-gap-s=0.02',)


async def test_a_graceful_stop_cuts_off_no_request():
    async with processes.run_fleet(
        instances=2, engines=1, flags=FLAGS, engine_flags=ENGINE_FLAGS
    ) as running:
        allocator = await find_allocator(running, 'calculator')
        streams = [
            asyncio.create_task(
                running.request_model(
                    allocator, tokens=100, stream=number % 2 == 0
                )
            )
            for number in range(20)
        ]
        await wait_for_running(running, allocator)
        program = running.programs[allocator]
        program.terminate()
        await processes.wait_for(lambda: is_leaving(running, allocator))
        accepted = await running.request_model(allocator, tokens=5)
        assert accepted.status == 200
        for number, answer in enumerate(await asyncio.gather(*streams)):
            assert answer.status == 200
            if number % 2 == 0:
                assert 'event: response.completed' in answer.body
            else:
                usage = json.loads(answer.body)['usage']
                assert usage['output_tokens'] == 100
        assert await program.process.wait() == 0
        other = ({'entry-0', 'entry-1'} - {allocator}).pop()
        answer = await running.request_model(other, tokens=5)
        assert answer.status == 200


async def test_a_second_signal_forces_the_stop():
    async with processes.run_fleet(
        instances=1, engines=1, flags=FLAGS, engine_flags=ENGINE_FLAGS
    ) as running:
        stream = asyncio.create_task(
            running.request_model('entry-0', tokens=3000, stream=True)
        )
        await wait_for_running(running, 'entry-0')
        program = running.programs['entry-0']
        program.terminate()
        await processes.wait_for(lambda: is_leaving(running, 'entry-0'))
        program.send_signal(signal.SIGTERM)
        assert await program.process.wait() == 0
        ended = (await asyncio.gather(stream, return_exceptions=True))[0]
        is_complete = 'response.completed' in getattr(ended, 'body', '')
        assert not is_complete


async def find_allocator(running, pool):
    for name in running.programs:
        if name.startswith('entry-'):
            status = await running.read_json(name, '/status')
            if pool in status['pools']:
                return name
    raise AssertionError(f'no instance allocates {pool}')


async def wait_for_running(running, instance):
    async def has_running():
        status = await running.read_json(instance, '/status')
        return status['running'] > 0

    await processes.wait_for(has_running)


async def is_leaving(running, instance):
    return (await running.read_json(instance, '/status'))['leaving']


async def test_an_instance_stops_when_a_newer_one_has_its_name():
    async with processes.run_fleet(
        instances=2, engines=1, flags=FLAGS
    ) as running:
        older = running.programs['entry-0']
        await running.start_instance('entry-0', *FLAGS)
        assert await older.process.wait() == 0
        await running.wait_until_ready('entry-0', 'entry-1')
        answer = await running.request_model('entry-0', tokens=5)
        assert answer.status == 200
