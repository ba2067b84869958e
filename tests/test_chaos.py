"""Failures in a seeded order, together and twice, under steady calls.

The oracle is what the stand-ins ran and what callers and operators were
told; it holds at any timing, so that only the order of failures is fixed.
"""

import asyncio
import collections
import json
import random
import signal

import aiohttp
import pytest

from lavenderledge import status
from lavenderledge.standins import answers
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
    """Calls through any instance until told to stop, and keeps a record."""

    def __init__(self, *, fleet, rng):
        self.fleet = fleet
        self.rng = rng
        self.told = []
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
            self.told.append(('order', key, 0, answer))
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
        self.told.append(('ask', streamed, tokens, answer))


class Storm:
    """The failures, in an order that the seed gives."""

    def __init__(self, *, fleet, rng):
        self.fleet = fleet
        self.rng = rng
        self.accepted = []

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
        await self.heal()

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
        await self.fleet.list_upstream(upstream, leaving=True)
        await asyncio.sleep(2)
        await self.fleet.list_upstream(upstream)

    async def edit(self, number):
        told = await self.fleet.run_command(
            'table', 'set', 'notes', f'queue={1000 + number}', '--timeout=3'
        )
        if told.status in {
            status.ExitStatus.SUCCESS,
            status.ExitStatus.NOT_IN_FORCE,
        }:
            self.accepted.append(1000 + number)
        elif told.status == status.ExitStatus.UNKNOWN_OUTCOME:
            self.accepted.append(None)

    async def heal(self):
        for name in INSTANCES:
            self.fleet.programs[name].send_signal(signal.SIGCONT)
        await self.fleet.set_switches('keyvalue', outage=False, lose_answers=0)


@pytest.mark.parametrize('seed', [1, 2])
async def test_promises_hold_in_a_storm(seed):
    rng = random.Random(seed)
    async with processes.run_fleet(
        instances=len(INSTANCES), engines=len(ENGINES), flags=FLAGS
    ) as running:
        callers = [
            Caller(fleet=running, rng=random.Random(rng.random()))
            for _ in range(CALLERS)
        ]
        calling = [asyncio.create_task(each.run()) for each in callers]
        storm = Storm(fleet=running, rng=rng)
        await storm.run()
        for caller in callers:
            caller.stopping = True
        await asyncio.gather(*calling)
        told = [each for caller in callers for each in caller.told]
        await check_engines(running, told)
        await check_orders(running, told)
        await check_table(running, storm.accepted)


async def check_engines(running, told):
    ran = collections.Counter()
    for name in ENGINES:
        log = await running.read_json(name, '/standin/log')
        ran.update({record['id'] for record in log['records']})
    assert all(count == 1 for count in ran.values())
    known = {response_id.rpartition(':')[-1] for response_id in ran}
    whole = 0
    for kind, streamed, tokens, answer in told:
        if kind == 'ask':
            check_not_run(answer, known)
            whole += check_whole(answer, streamed, tokens)
    assert whole > 0


def check_whole(answer, streamed, tokens):
    """Check an answer that calls itself whole; return whether it does."""
    if answer.status != 200:
        return False
    if not streamed:
        document = json.loads(answer.body)
    elif 'event: response.completed' in answer.body:
        last = answer.body.strip().splitlines()[-1]
        document = json.loads(last.removeprefix('data: '))['response']
    else:
        assert 'event: error' in answer.body
        return False
    text = document['output'][0]['content'][0]['text']
    assert text == answers.render_text(document['id'], tokens)
    return True


def check_not_run(answer, known):
    if answer.headers.get('x-request-outcome') == 'not_run':
        assert answer.headers['X-Request-ID'] not in known


async def check_orders(running, told):
    runs = await running.read_json('orders-0', '/standin/runs')
    firsts = {}
    for kind, key, _, answer in told:
        if kind != 'order':
            continue
        assert runs.get(key, 0) <= 1
        check_not_run(answer, set(runs))
        if answer.status == 200:
            assert runs[key] == 1
            assert firsts.setdefault(key, answer.body) == answer.body


async def check_table(running, accepted):
    """The last edit that was accepted is in force on every instance."""

    async def is_in_force():
        found = await asyncio.gather(
            *(running.read_json(name, '/status') for name in INSTANCES)
        )
        revisions = {each['table_revision'] for each in found}
        return len(revisions) == 1

    await processes.wait_for(is_in_force)
    if accepted and accepted[-1] is not None:
        shown = await running.run_command('table', 'show', '--json')
        rows = {row['row']: row for row in json.loads(shown.stdout)['rows']}
        assert rows['notes']['queue'] == accepted[-1]
