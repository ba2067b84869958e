"""Every instance is replaced in turn, under calls and an outage."""

import asyncio
import random

import aiohttp

from tests import processes

NAMES = ('entry-0', 'entry-1', 'entry-2')
FLAGS = ('--notice-period=3',)
CALLERS = 12


class Balancer:
    """Sends to instances that say they are ready."""

    def __init__(self, *, fleet):
        self.fleet = fleet
        self.stopping = False

    async def is_ready(self, name):
        try:
            health = await self.fleet.read_json(name, '/ready')
        except (OSError, KeyError, aiohttp.ClientError):
            return False
        return health['ready']

    async def call_on(self, seed):
        """Call until told to stop; return every answer."""
        rng = random.Random(seed)
        told = []
        while not self.stopping:
            name = rng.choice(NAMES)
            if not await self.is_ready(name):
                continue
            told.append(
                await self.fleet.request_model(
                    name, tokens=rng.randrange(10, 600), stream=True
                )
            )
        return told


async def test_replacing_every_instance_cuts_off_no_request():
    async with processes.run_fleet(
        instances=3, engines=2, flags=FLAGS
    ) as running:
        balancer = Balancer(fleet=running)
        calling = [
            asyncio.create_task(balancer.call_on(seed))
            for seed in range(CALLERS)
        ]
        for number, name in enumerate(NAMES):
            await running.set_switches('keyvalue', outage=number == 1)
            leaving = running.programs[name]
            leaving.terminate()
            assert await leaving.process.wait() == 0
            await running.start_instance(name, *FLAGS)
            await processes.wait_for(lambda: balancer.is_ready(name))
        await running.set_switches('keyvalue', outage=False)
        balancer.stopping = True
        told = [
            answer
            for answers in await asyncio.gather(*calling)
            for answer in answers
        ]
        assert len(told) > CALLERS
        for answer in told:
            assert answer.status == 200
            assert 'event: response.completed' in answer.body
