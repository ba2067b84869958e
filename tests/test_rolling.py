"""Every instance is replaced in turn, under load and an outage."""

import asyncio
import random

import aiohttp

from tests import processes

NAMES = ('entry-0', 'entry-1', 'entry-2')
FLAGS = ('--notice-period=3',)
CALLERS = 12


class Balancer:
    """Sends requests to instances that report ready."""

    def __init__(self, *, fleet):
        self.fleet = fleet
        self.stopping = False

    async def is_ready(self, name):
        try:
            health = await self.fleet.read_json(name, '/ready')
        except (OSError, KeyError, aiohttp.ClientError):
            return False
        return health['ready']

    async def send_until_stopped(self, seed):
        """Send requests until ``stopping`` is set; return all answers."""
        rng = random.Random(seed)
        answers = []
        while not self.stopping:
            name = rng.choice(NAMES)
            if not await self.is_ready(name):
                continue
            answers.append(
                await self.fleet.request_model(
                    name, tokens=rng.randrange(10, 600), stream=True
                )
            )
        return answers


async def test_replacing_every_instance_cuts_off_no_request():
    async with processes.run_fleet(
        instances=3, engines=2, flags=FLAGS
    ) as running:
        balancer = Balancer(fleet=running)
        clients = [
            asyncio.create_task(balancer.send_until_stopped(seed))
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
        answers = [
            answer for sent in await asyncio.gather(*clients) for answer in sent
        ]
        assert len(answers) > CALLERS
        for answer in answers:
            assert answer.status == 200
            assert 'event: response.completed' in answer.body
