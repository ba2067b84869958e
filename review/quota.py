"""A tenant with a quota in tokens, and the check of the rule QUOTA."""

import asyncio
import itertools
import typing

import standins

PROMPT_TOKENS, OUTPUT_TOKENS = 3720, 280
COST = PROMPT_TOKENS + OUTPUT_TOKENS
KEY = 'key-of-dealer'
REPLICAS = 3
FINISH_TIMEOUT_S = 5


class Limit(typing.NamedTuple):
    """A tenant's quota, in tokens."""

    rate: int
    burst: int

    def compute_bound(self):
        """Return what may run of what was sent in one window."""
        bounds = standins.BOUNDS
        window = self.rate * bounds['quota_window_s'] + self.burst
        return window * (1 + bounds['quota_overrun']) + bounds['quota_slack']


class Fleet:
    """The stand-ins and the programs of a case."""

    def __init__(self, record, store, replicas, programs, runs, limit):
        self.record = record
        self.store = store
        self.replicas = replicas
        self.programs = programs
        self.runs = runs
        self.limit = limit

    def end(self):
        for program in self.programs:
            program.end()


async def start_stand_ins(record, folder, limit, instances):
    """Start the store and the replicas; return them with ended programs."""
    store = standins.Store(record)
    await store.start('127.0.0.1')
    runs = []
    replicas = [
        standins.Replica(f'i-{number}', record, runs)
        for number in range(REPLICAS)
    ]
    for replica in replicas:
        await replica.server.start('127.0.0.1')
        store.write(f'servers/{replica.name}', replica.describe('model'))
    tenant = {
        'name': 'dealer',
        'api_keys': [KEY],
        'unit': 'tokens',
        'uncached_tokens': 200,
        'rate_per_s': limit.rate,
        'burst': limit.burst,
    }
    route = standins.make_route('plan', 'unsafe', 'model')
    store.write(
        'op/config', standins.make_configuration(3, [route], [tenant])
    )
    programs = [
        standins.Program(f'edge-a-{number}', store.server.address, record, folder)
        for number in range(1, instances + 1)
    ]
    return Fleet(record, store, replicas, programs, runs, limit)


class Sender:
    """Sends the tenant's requests, each on a connection of its own."""

    def __init__(self, fleet):
        self.sent_s = {}
        self._record = fleet.record
        self._numbers = itertools.count(1)
        self._tasks = set()

    def start(self, program):
        task = asyncio.create_task(self._ask(program))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def finish(self):
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=FINISH_TIMEOUT_S)

    async def _ask(self, program):
        request_id = f'{next(self._numbers):016x}'
        data = standins.format_client_request(
            '/plan/1',
            request_id,
            fields={
                'Model': 'm',
                'Token-Count': f'{PROMPT_TOKENS},{OUTPUT_TOKENS}',
                'Deadline-Ms': '10000',
                'Authorization': f'Bearer {KEY}',
            },
        )
        self.sent_s[request_id] = self._record.now_s()
        self._record.write(f'client sends {request_id} to {program.name}')
        answer = await standins.send(program.front, data)
        self._record.write(f'client gets {answer.status} for {request_id}')


def check(fleet, sender):
    """Return whether more than the quota was sent and ran in some window."""
    window_s = standins.BOUNDS['quota_window_s']
    times = [(sender.sent_s[run.request_id], run.at_s) for run in fleet.runs]
    most, since_s = max(
        (
            COST
            * sum(
                start_s <= sent_s and at_s < start_s + window_s
                for sent_s, at_s in times
            ),
            start_s,
        )
        for start_s in sender.sent_s.values()
    )
    bound = fleet.limit.compute_bound()
    is_broken = most > bound
    verdict = 'broken' if is_broken else 'kept'
    fleet.record.write(
        f'QUOTA is {verdict}: {most} tokens ran of what was sent in the '
        f'{window_s} s from {since_s:.3f}; the bound is {bound:.0f}'
    )
    return is_broken
