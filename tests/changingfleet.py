"""A fleet whose configuration changes while callers ask it.

Choices depend on the seed only; processes and sockets take real time.
"""

import asyncio
import collections
import logging
import random

import expression

from tests import (
    keptcallers,
    lostrequests,
    operatorversions,
    platformfleet,
    platformreplica,
)

CALLERS = 60
REPLICAS = 3
SLOTS = 8
STOP_GRACE_S = 5.0
# The platform sends new connections for this long after a stop signal.
ROTATION_S = 2.5
TICK_S = 0.02
# A turn of the loop that is later than this counts as a stall.
STALL_S = 0.03
BREAKS = ('reset', 'error', 'cut', 'early')
PAUSES_S = (0.7, 1.8)
# More than what an instance buffers of a plain answer.
PADDING = b'p' * 400_000


class Log(logging.Handler):
    """Collects events by the id of their request, and errors."""

    def __init__(self):
        super().__init__(logging.INFO)
        self.by_id = collections.defaultdict(list)
        self.errors = []

    def emit(self, record):
        fields = getattr(record, 'fields', {})
        if 'id' in fields:
            self.by_id[fields['id']].append((record.getMessage(), fields))
        if record.levelno >= logging.ERROR:
            self.errors.append(f'{record.getMessage()} {record.exc_info}')


class Play:
    """One seeded play; afterwards ``broken`` has the broken promises."""

    def __init__(self, seed, seconds, pauses_s=PAUSES_S):
        self.seed = seed
        self._pauses_s = pauses_s
        self.seconds = seconds
        self.is_over = False
        self.broken = []
        self.counts = collections.Counter()
        self.fleet = None
        self.operator = None
        self.log = Log()
        self._rng = random.Random(f'{seed} platform')
        self._runs = collections.defaultdict(list)
        self._last_ids = {}
        self._services = {}
        self._busy_until_s = {}
        self._stalls = []
        self._stop = None

    def now(self):
        return asyncio.get_running_loop().time()

    def list_open(self):
        """Return the instances to which new connections go."""
        return [
            name
            for name in self.fleet.instances
            if self._stop is None
            or name != self._stop.instance
            or self.now() < self._stop.at_s + ROTATION_S
        ]

    async def run(self):
        logger = logging.getLogger('lavenderledge')
        before = logger.level, logging.getLogger().level
        logger.addHandler(self.log)
        logger.setLevel(logging.INFO)
        self.fleet = platformfleet.Fleet()
        try:
            await self._start()
            await self._play()
        finally:
            await self.fleet.close()
            logger.removeHandler(self.log)
            logger.setLevel(before[0])
            logging.getLogger().setLevel(before[1])

    async def _start(self):
        self.operator = operatorversions.Operator(
            rng=random.Random(f'{self.seed} operator'),
            write=lambda document: self.fleet.store.write(
                'op/config', document
            ),
            now=self.now,
        )
        self.operator.begin()
        first = self.operator.newest
        await self.fleet.start(replicas=0, instances=0, **first)
        for service in operatorversions.SERVICES:
            for number in range(REPLICAS):
                name = f'{service}-{number}'
                self._services[name] = service
                replica = await self.fleet.add_replica(
                    name,
                    service,
                    SLOTS,
                    event_gap_s=self._rng.choice((0.005, 0.05, 0.15)),
                    work_s=self._rng.choice((0, 0.02, 0.1)),
                )
                replica.choose = self._make_chooser(replica)
                if number == 0:
                    replica.padding = PADDING
        # Some plays have few retries, or none.
        slack = self._rng.choice((0, 2, 50))
        for number in range(self._rng.choice((2, 3))):
            await self.fleet.add_instance(
                f'entry-{number}',
                retry_slack=slack,
                retry_ratio=0.1 if slack else 0,
                stop_grace_s=STOP_GRACE_S,
            )

    async def _play(self):
        callers = [keptcallers.Caller(self, n) for n in range(CALLERS)]
        asking = [asyncio.create_task(caller.run()) for caller in callers]
        acting = [
            asyncio.create_task(act())
            for act in (
                self._watch_loop,
                self._operate,
                self._change_replicas,
                self._change_instances,
            )
        ]
        await asyncio.sleep(self.seconds)
        self.is_over = True
        await asyncio.gather(*asking)
        for task in acting:
            task.cancel()
        await asyncio.gather(*acting, return_exceptions=True)
        for task in acting:
            if not task.cancelled():
                task.result()
        for caller in callers:
            for outcome in caller.outcomes:
                self._check(outcome)
        self.broken += [f'error logged: {line}' for line in self.log.errors]

    async def _watch_loop(self):
        while True:
            due_s = self.now() + TICK_S
            await asyncio.sleep(TICK_S)
            late_s = self.now() - due_s
            if late_s > STALL_S:
                self._stalls.append((self.now(), late_s))

    async def _operate(self):
        """Write versions alone, and in series that overlap."""
        rng = random.Random(f'{self.seed} times')
        while True:
            await asyncio.sleep(rng.uniform(0.2, 1.5))
            for _ in range(rng.choice((1, 1, 2, 4))):
                self.operator.change()
                await asyncio.sleep(rng.choice((0, 0.02, 0.2)))

    async def _change_replicas(self):
        rng = random.Random(f'{self.seed} replicas')
        while True:
            await asyncio.sleep(rng.uniform(0.3, 1.5))
            name = rng.choice(tuple(self._services))
            change = rng.choice(('full', 'full', 'draining', 'removed'))
            back_s = rng.uniform(0.5, 2)
            if change == 'full':
                for other, service in self._services.items():
                    if other != name and service == self._services[name]:
                        self._busy_until_s[other] = self.now() + back_s
            else:
                await self._let_leave(name, change, back_s)

    async def _let_leave(self, name, change, back_s):
        """A replica leaves the list, serves on, and comes back."""
        replica = self.fleet.replicas[name]
        service = self._services[name]
        key = f'servers/{name}'
        if change == 'removed':
            self.fleet.store.delete(key)
        else:
            self.fleet.store.write(
                key, replica.describe(service, SLOTS, state='draining')
            )
        await asyncio.sleep(back_s)
        self.fleet.store.write(key, replica.describe(service, SLOTS))

    async def _change_instances(self):
        """Reload settings now and then, and stop one instance."""
        rng = random.Random(f'{self.seed} instances')
        stops = rng.random() < 0.6
        stop_s = self.now() + self.seconds * rng.uniform(0.2, 0.6)
        while True:
            await asyncio.sleep(rng.uniform(0.3, 1))
            running = self.fleet.instances[
                rng.choice(tuple(self.fleet.instances))
            ]
            running.reload(expression.Ok(running._settings))
            if stops and self._stop is None and self.now() > stop_s:
                name = rng.choice(tuple(self.fleet.instances))
                self._stop = lostrequests.Stop(name, self.now(), STOP_GRACE_S)
                self.fleet.instances[name].request_stop()

    def _make_chooser(self, replica):
        """Return a function that draws and notes what a replica does."""

        def choose(request):
            request_id = request.fields.find(b'attempt-id').decode()
            runs = self._runs[request_id]
            rng = random.Random(f'{self.seed} {request_id} {len(runs)}')
            action = self._draw(rng, replica)
            runs.append(self._plan(replica, request, request_id, action))
            return action

        return choose

    def _draw(self, rng, replica):
        kind = rng.random()
        if self.now() < self._busy_until_s.get(replica.name, 0):
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
        now_s = self.now()
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
        return lostrequests.Run(
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

    def _check(self, outcome):
        sent = outcome.sent
        runs = [
            run._replace(
                cancelled_s=self.fleet.replicas[run.replica].cancelled_s.get(
                    sent.request_id
                )
            )
            for run in self._runs[sent.request_id]
        ]
        stop = self._stop
        case = lostrequests.Case(
            outcome,
            runs,
            self.operator.list_in_force(sent.begun_s, outcome.ended_s),
            stop if stop and stop.instance == sent.instance else None,
            self._find_stalled_s(sent.sent_s, outcome.ended_s),
        )
        names = list(lostrequests.check(case))
        status = outcome.received.status
        self.counts[f'{outcome.ending} {status}'] += 1
        for name in names:
            self.broken.append(self._describe(name, case))

    def _find_stalled_s(self, from_s, until_s):
        return sum(
            late_s
            for at_s, late_s in self._stalls
            if from_s < at_s and at_s - late_s < until_s
        )

    def _describe(self, name, case):
        outcome = case.outcome
        sent = outcome.sent
        start_s = sent.sent_s
        runs = ' '.join(
            f'{run.replica}@{run.begun_s - start_s:.2f}'
            f'{"" if run.runs else " not run"}{" breaks" if run.breaks else ""}'
            + (f'-{run.cancelled_s - start_s:.2f}' if run.cancelled_s else '')
            for run in case.runs
        )
        lines = [
            f'{name}: {sent.request_id} {sent.path} at {sent.instance}'
            f'{" reused" if sent.is_reused else ""} ended {outcome.ending} '
            f'{outcome.received.status} after {case.elapsed_s:.2f} of '
            f'{case.time_s:.2f} s; runs: {runs or "none"}'
        ]
        for event, fields in self.log.by_id[sent.request_id]:
            listed = ' '.join(f'{key}={text}' for key, text in fields.items())
            lines.append(f'    {event} {listed}')
        return '\n'.join(lines)


async def play(seed, seconds, **options):
    """Return a play that has ended."""
    played = Play(seed, seconds, **options)
    await played.run()
    return played
