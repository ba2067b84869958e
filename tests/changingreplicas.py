"""Replicas that are sound, but pause, refuse, leave and now and then fail."""

import asyncio
import collections
import random

from tests import answerrules, operatorversions, platformreplica

REPLICAS = 3
SLOTS = 8
TICK_S = 0.02
BREAKS = ('reset', 'error', 'cut', 'early')
PAUSES_S = (0.7, 1.8)
# For how long some replicas keep idle connections.
KEEP_S = 1
KEEP_ALIVE = ((b'Keep-Alive', b'timeout=1'),)
# What an instance buffers of a plain answer, and more than that.
BUFFERED_BYTES = 262_144
PADDING = b'p' * 400_000


class Replicas:
    """The replicas of a fleet, and what arrived at them."""

    def __init__(self, *, fleet, seed, pauses_s):
        self._fleet = fleet
        self._seed = seed
        self._pauses_s = pauses_s
        self._runs = collections.defaultdict(list)
        self._last_ids = {}
        self._services = {}
        self._busy_until_s = {}

    async def start(self):
        rng = random.Random(f'{self._seed} kinds of replicas')
        for service in operatorversions.SERVICES:
            for number in range(REPLICAS):
                name = f'{service}-{number}'
                self._services[name] = service
                replica = await self._fleet.add_replica(
                    name,
                    service,
                    SLOTS,
                    event_gap_s=rng.choice((0.005, 0.05, 0.15)),
                    work_s=rng.choice((0, 0.02, 0.1)),
                )
                replica.choose = self._make_chooser(replica)
                if number == 0:
                    replica.padding = PADDING
                if number == 1:
                    replica.notices = KEEP_ALIVE

    def list_runs(self, request_id):
        """Return what arrived of a request."""
        replicas = self._fleet.replicas
        return [
            run._replace(
                cancelled_s=replicas[run.replica].cancelled_s.get(request_id)
            )
            for run in self._runs[request_id]
        ]

    async def close_idle(self):
        """Some replicas close idle connections, as they say they will."""
        while True:
            await asyncio.sleep(TICK_S)
            for replica in self._fleet.replicas.values():
                if replica.notices:
                    replica.listener.close_idle(min_idle_s=KEEP_S)

    async def change(self):
        rng = random.Random(f'{self._seed} replicas')
        while True:
            await asyncio.sleep(rng.uniform(0.3, 1.5))
            name = rng.choice(tuple(self._services))
            change = rng.choice(('full', 'full', 'draining', 'removed'))
            back_s = rng.uniform(0.5, 2)
            if change == 'full':
                for other, service in self._services.items():
                    if other != name and service == self._services[name]:
                        self._busy_until_s[other] = now() + back_s
            else:
                await self._let_leave(name, change, back_s)

    async def _let_leave(self, name, change, back_s):
        """A replica leaves the list, serves on, and comes back."""
        replica = self._fleet.replicas[name]
        service = self._services[name]
        key = f'servers/{name}'
        replica.listener.drain()
        if change == 'removed':
            self._fleet.store.delete(key)
        else:
            self._fleet.store.write(
                key, replica.describe(service, SLOTS, state='draining')
            )
        await asyncio.sleep(back_s)
        replica.listener._draining = False
        self._fleet.store.write(key, replica.describe(service, SLOTS))

    def _make_chooser(self, replica):
        """Return a function that draws and notes what a replica does."""

        def choose(request):
            request_id = request.fields.find(b'attempt-id').decode()
            runs = self._runs[request_id]
            rng = random.Random(f'{self._seed} {request_id} {len(runs)}')
            action = self._draw(rng, replica)
            runs.append(self._plan(replica, request, request_id, action))
            return action

        return choose

    def _draw(self, rng, replica):
        kind = rng.random()
        if now() < self._busy_until_s.get(replica.name, 0):
            return 'full'
        if kind < 0.35:
            after = rng.randint(0, replica.events - 1)
            return platformreplica.Pause(after, rng.uniform(*self._pauses_s))
        if kind < 0.40:
            return 'full'
        if kind < 0.43:
            return rng.choice(BREAKS)
        return 'ok'

    def _plan(self, replica, request, request_id, action):
        first_id = 1 + self._last_ids.setdefault(
            request_id, int(request.fields.find(b'last-event-id') or b'0')
        )
        now_s = now()
        output_s = now_s + replica.work_s
        pause_s = 0
        if isinstance(action, platformreplica.Pause):
            pause_s = action.seconds
            output_s += 0 if action.after else pause_s
        end_s = now_s + replica.work_s + pause_s
        if b'/stream' in request.target:
            end_s += replica.events * replica.event_gap_s
            body = b''.join(
                f'id: {number}\ndata: {number}\n\n'.encode()
                for number in range(first_id, replica.events + 1)
            )
        else:
            output_s = end_s
            body = f'{replica.name} ran {request_id}'.encode()
            body += replica.padding
            parts = action.after if pause_s else 0
            if len(body) * parts // replica.events > BUFFERED_BYTES:
                # The instance relays what it can't buffer, before the pause.
                output_s -= pause_s
        return answerrules.Run(
            replica.name,
            self._services[replica.name],
            action not in {'full', 'early'},
            action in BREAKS,
            now_s,
            output_s if action not in {'full', *BREAKS} else float('inf'),
            end_s,
            None,
            body,
        )


def now():
    return asyncio.get_running_loop().time()
