"""An allocator is killed or paused; instances start during an outage."""

import asyncio
import json
import signal

from tests import processes
from tests import test_stop as stops

ENGINE_FLAGS = ('--token-gap-s=0.01',)
REQUESTS = 24


async def test_another_instance_takes_over_a_dead_allocators_pools():
    async with processes.run_fleet(
        instances=3, engines=2, engine_flags=ENGINE_FLAGS
    ) as running:
        dead = await stops.find_allocator(running, 'calculator')
        others = sorted({'entry-0', 'entry-1', 'entry-2'} - {dead})
        tasks = start_requests(running, others)
        await stops.wait_for_running(running, others[0])
        await running.programs[dead].kill()
        await check_complete_once(running, await asyncio.gather(*tasks))


async def test_a_paused_allocator_resumes_without_duplicate_runs():
    async with processes.run_fleet(
        instances=3, engines=2, engine_flags=ENGINE_FLAGS
    ) as running:
        paused = await stops.find_allocator(running, 'calculator')
        names = ['entry-0', 'entry-1', 'entry-2']
        others = [name for name in names if name != paused]
        tasks = start_requests(running, names)
        await stops.wait_for_running(running, others[0])
        running.programs[paused].send_signal(signal.SIGSTOP)

        async def is_taken_over():
            statuses = await asyncio.gather(
                *(running.read_json(name, '/status') for name in others)
            )
            return any('calculator' in status['pools'] for status in statuses)

        await processes.wait_for(is_taken_over)
        tasks += start_requests(running, others)
        running.programs[paused].send_signal(signal.SIGCONT)
        tasks += start_requests(running, names)
        await check_complete_once(running, await asyncio.gather(*tasks))


async def test_a_new_instance_gets_the_table_from_peers_in_an_outage():
    async with processes.run_fleet(instances=2, engines=1) as running:
        for outage in (True, 'silent'):
            await running.set_switches('keyvalue', outage=outage)
            name = f'entry-new-{outage}'.lower()
            await running.start_instance(name)

            async def has_table(name=name):
                status = await running.read_json(name, '/status')
                return status['table_revision'] > 0 and status['ready']

            await processes.wait_for(has_table)
            answer = await running.request_model(name, tokens=5)
            assert answer.status == 200


def start_requests(running, names):
    return [
        asyncio.create_task(
            running.request_model(
                names[number % len(names)], tokens=10 + number
            )
        )
        for number in range(REQUESTS)
    ]


async def check_complete_once(running, answers):
    """Check that every request ran once, at one engine, and completed."""
    finished = []
    for number in range(2):
        log = await running.read_json(f'engine-{number}', '/standin/log')
        last = {
            record['id']: record
            for record in log['records']
            if record['kind'] == 'request'
        }
        finished.extend(last)
    assert len(finished) == len(set(finished)) == len(answers)
    for answer in answers:
        assert answer.status == 200
        assert json.loads(answer.body)['id'] in finished
