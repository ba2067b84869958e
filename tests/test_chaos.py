"""Overlapping and repeated faults in a seeded order, under constant load.

The test compares the runs that the stand-ins logged with the responses to
callers and operators. The checks hold at any timing, so only the order of
the faults is fixed by the seed.
"""

import asyncio
import collections
import json
import random
import signal

import aiohttp
import pytest

from lavenderledge import status
from lavenderledge.standins import responses
from tests import processes

INSTANCES = ('entry-0', 'entry-1', 'entry-2', 'entry-3')
ENGINES = ('engine-0', 'engine-1', 'engine-2')
FLAGS = (
    '--notice-period=0.2',
    '--silence-timeout=0.5',
    '--lost-timeout=3',
    '--claim-timeout=2',
)
STEPS = 14
STEP_S = 0.7
CALLERS = 10
KEYS = 8


class Caller:
    """Sends requests through random instances and records responses."""

    def __init__(self, *, fleet, rng):
        self.fleet = fleet
        self.rng = rng
        self.results = []
        self.stopping = False

    async def run(self):
        while not self.stopping:
            instance = self.rng.choice(INSTANCES)
            if not self.fleet.programs[instance].addresses:
                await asyncio.sleep(0.05)
                continue
            try:
                await self.call(instance)
            except (aiohttp.ClientError, OSError, TimeoutError):
                await asyncio.sleep(0.05)

    async def call(self, instance):
        if self.rng.random() < 0.4:
            key = f'key-{self.rng.randrange(KEYS)}'
            answer = await self.fleet.confirm_order(instance, key)
            self.results.append(('order', key, 0, answer))
            return
        tokens = self.rng.randrange(5, 60)
        streamed = self.rng.random() < 0.5
        answer = await self.fleet.request_model(
            instance,
            tokens=tokens,
            stream=streamed,
            kind=self.rng.choice(('plan', 'note')),
            headers={'X-Request-Timeout': '8'},
        )
        self.results.append(('ask', streamed, tokens, answer))


class FaultInjector:
    """Injects faults in an order that the seed determines."""

    def __init__(self, *, fleet, rng):
        self.fleet = fleet
        self.rng = rng
        self.accepted_queues = []

    async def run(self):
        for number in range(STEPS):
            step = self.rng.choice(
                (
                    self.replace_instance,
                    self.pause_instance,
                    self.break_store,
                    self.silence_store,
                    self.lose_answers,
                    self.cut_engine,
                    self.silence_engine,
                    self.slow_engine,
                    self.break_service,
                    self.withdraw_engine,
                    self.edit,
                )
            )
            await asyncio.gather(step(number), asyncio.sleep(STEP_S))
        await self.clear_faults()

    async def replace_instance(self, number):
        name = self.rng.choice(INSTANCES)
        await self.fleet.programs[name].kill()
        await self.fleet.start_instance(name, *FLAGS)

    async def pause_instance(self, number):
        program = self.fleet.programs[self.rng.choice(INSTANCES)]
        program.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.choice((0.3, 4)))
        program.send_signal(signal.SIGCONT)

    async def break_store(self, number):
        await self.fleet.set_switches('keyvalue', outage=True)
        await asyncio.sleep(STEP_S)
        await self.fleet.set_switches('keyvalue', outage=False)

    async def silence_store(self, number):
        await self.fleet.set_switches('keyvalue', outage='silent')
        await asyncio.sleep(STEP_S)
        await self.fleet.set_switches('keyvalue', outage=False)

    async def lose_answers(self, number):
        await self.fleet.set_switches('keyvalue', lose_answers=3)

    async def cut_engine(self, number):
        await self.fleet.set_switches(self.rng.choice(ENGINES), cut=True)

    async def silence_engine(self, number):
        await self.fleet.set_switches(self.rng.choice(ENGINES), silent=True)

    async def slow_engine(self, number):
        name = self.rng.choice(ENGINES)
        await self.fleet.set_switches(name, slowdown=5)
        await asyncio.sleep(STEP_S)
        await self.fleet.set_switches(name, slowdown=1)

    async def break_service(self, number):
        switch = self.rng.choice(('close_before', 'close_after'))
        await self.fleet.set_switches('orders-0', **{switch: 2})

    async def withdraw_engine(self, number):
        name = self.rng.choice(ENGINES)
        upstream = processes.launcher.Upstream(
            name,
            'calculator',
            'engine',
            'zone-a',
            self.fleet.programs[name].address,
        )
        await self.fleet.publish_upstream(upstream, terminating=True)
        await asyncio.sleep(2)
        await self.fleet.publish_upstream(upstream)

    async def edit(self, number):
        outcome = await self.fleet.run_command(
            'table', 'set', 'notes', f'queue={1000 + number}', '--timeout=3'
        )
        if outcome.status in {
            status.ExitStatus.SUCCESS,
            status.ExitStatus.NOT_IN_FORCE,
        }:
            self.accepted_queues.append(1000 + number)
        elif outcome.status == status.ExitStatus.UNKNOWN_OUTCOME:
            self.accepted_queues.append(None)

    async def clear_faults(self):
        for name in INSTANCES:
            self.fleet.programs[name].send_signal(signal.SIGCONT)
        await self.fleet.set_switches('keyvalue', outage=False, lose_answers=0)


@pytest.mark.parametrize('seed', [1, 2])
async def test_guarantees_hold_under_random_faults(seed):
    rng = random.Random(seed)
    async with processes.run_fleet(
        instances=len(INSTANCES), engines=len(ENGINES), flags=FLAGS
    ) as running:
        callers = [
            Caller(fleet=running, rng=random.Random(rng.random()))
            for _ in range(CALLERS)
        ]
        tasks = [asyncio.create_task(each.run()) for each in callers]
        injector = FaultInjector(fleet=running, rng=rng)
        await injector.run()
        for caller in callers:
            caller.stopping = True
        await asyncio.gather(*tasks)
        results = [each for caller in callers for each in caller.results]
        await check_engines(running, results)
        await check_orders(running, results)
        await check_table(running, injector.accepted_queues)


async def check_engines(running, results):
    ran = collections.Counter()
    for name in ENGINES:
        log = await running.read_json(name, '/standin/log')
        ran.update({record['id'] for record in log['records']})
    assert all(count == 1 for count in ran.values())
    run_ids = {response_id.rpartition(':')[-1] for response_id in ran}
    complete_count = 0
    for kind, streamed, tokens, answer in results:
        if kind == 'ask':
            check_not_run(answer, run_ids)
            complete_count += check_complete(answer, streamed, tokens)
    assert complete_count > 0


def check_complete(answer, streamed, tokens):
    """Check the text of a complete response; return whether it is one."""
    if answer.status != 200:
        return False
    if not streamed:
        response = json.loads(answer.body)
    elif 'event: response.completed' in answer.body:
        last = answer.body.strip().splitlines()[-1]
        response = json.loads(last.removeprefix('data: '))['response']
    else:
        assert 'event: error' in answer.body
        return False
    text = response['output'][0]['content'][0]['text']
    assert text == responses.render_text(response['id'], tokens)
    return True


def check_not_run(answer, run_ids):
    if answer.headers.get('x-request-outcome') == 'not_run':
        assert answer.headers['X-Request-ID'] not in run_ids


async def check_orders(running, results):
    runs = await running.read_json('orders-0', '/standin/runs')
    first_bodies = {}
    for kind, key, _, answer in results:
        if kind != 'order':
            continue
        assert runs.get(key, 0) <= 1
        check_not_run(answer, set(runs))
        if answer.status == 200:
            assert runs[key] == 1
            assert first_bodies.setdefault(key, answer.body) == answer.body


async def check_table(running, accepted_queues):
    """Check that the last accepted edit is in force on every instance."""

    async def is_in_force():
        found = await asyncio.gather(
            *(running.read_json(name, '/status') for name in INSTANCES)
        )
        revisions = {each['table_revision'] for each in found}
        return len(revisions) == 1

    await processes.wait_for(is_in_force)
    if accepted_queues and accepted_queues[-1] is not None:
        outcome = await running.run_command('table', 'show', '--json')
        rows = {row['row']: row for row in json.loads(outcome.stdout)['rows']}
        assert rows['notes']['queue'] == accepted_queues[-1]
