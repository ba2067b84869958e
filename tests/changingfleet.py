"""A fleet whose configuration changes while callers ask it.

Choices depend on the seed only; processes and sockets take real time.
"""

import asyncio
import collections
import logging
import random

import expression

from tests import (
    answerrules,
    changingreplicas,
    keptcallers,
    operatorversions,
    platformfleet,
)

CALLERS = 60
STOP_GRACE_S = 5.0
# The platform sends new connections for this long after a stop signal.
ROTATION_S = 2.5
TICK_S = 0.02
# How long a disturbance lasts at least and at most: shorter than an instance
# may go by what it knows.
DISTURBED_S = (0.1, 0.9)
# A turn of the loop that is later than this counts as a stall.
STALL_S = 0.03


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
    """One seeded play; afterwards ``broken`` has the broken promises.

    With ``is_disturbed``, instances lose the store or their peers for a while,
    and connections without a request are reset.
    """

    def __init__(
        self,
        seed,
        seconds,
        pauses_s=changingreplicas.PAUSES_S,
        *,
        is_disturbed=False,
    ):
        self.seed = seed
        self._is_disturbed = is_disturbed
        self._pauses_s = pauses_s
        self.seconds = seconds
        self.is_over = False
        self.broken = []
        self.counts = collections.Counter()
        self.fleet = None
        self.operator = None
        self.replicas = None
        self.log = Log()
        self._rng = random.Random(f'{seed} platform')
        self._stalls = []
        self._resets_s = []
        self._stop = None
        self._ready = []
        self._retry_slack = 0

    def now(self):
        return asyncio.get_running_loop().time()

    def list_open(self):
        """Return the instances to which new connections go."""
        return [
            name
            for name in self._ready
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
            ballast=self._rng.choice((0, 0, 500)),
        )
        self.operator.begin()
        first = self.operator.newest
        await self.fleet.start(replicas=0, instances=0, **first)
        self.replicas = changingreplicas.Replicas(
            fleet=self.fleet,
            seed=self.seed,
            pauses_s=self._pauses_s,
        )
        await self.replicas.start()
        # Some plays have few retries, or none.
        self._retry_slack = self._rng.choice((0, 2, 50))
        for number in range(self._rng.choice((2, 3))):
            await self._add_instance(f'entry-{number}')

    async def _add_instance(self, name, **changes):
        slack = self._retry_slack
        if self._is_disturbed:
            changes['store'] = await self.fleet.add_store_link(name)
        await self.fleet.add_instance(
            name,
            retry_slack=slack,
            retry_ratio=0.1 if slack else 0,
            stop_grace_s=STOP_GRACE_S,
            **changes,
        )
        self._ready.append(name)

    async def _play(self):
        callers = [keptcallers.Caller(self, n) for n in range(CALLERS)]
        asking = [asyncio.create_task(caller.run()) for caller in callers]
        acting = [
            asyncio.create_task(act())
            for act in (
                self._watch_loop,
                self._operate,
                self.replicas.change,
                self._change_instances,
                self.replicas.close_idle,
                *([self._disturb] if self._is_disturbed else ()),
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

    async def _change_instances(self):
        """Reload settings now and then; add an instance, and stop one."""
        rng = random.Random(f'{self.seed} instances')
        stops = rng.random() < 0.6
        adds = rng.random() < 0.5
        stop_s = self.now() + self.seconds * rng.uniform(0.2, 0.6)
        while True:
            await asyncio.sleep(rng.uniform(0.3, 1))
            running = self.fleet.instances[
                rng.choice(tuple(self.fleet.instances))
            ]
            running.reload(expression.Ok(running._settings))
            if adds and self.now() > stop_s:
                adds = False
                # It may become the one that allocates.
                await self._add_instance(
                    'entry-new', processor_speed=rng.choice((0.5, 2))
                )
            if stops and self._stop is None and self.now() > stop_s:
                name = rng.choice(tuple(self.fleet.instances))
                self._stop = answerrules.Stop(name, self.now(), STOP_GRACE_S)
                self.fleet.instances[name].request_stop()

    async def _disturb(self):
        rng = random.Random(f'{self.seed} disturbances')
        while True:
            await asyncio.sleep(rng.uniform(*DISTURBED_S))
            name = rng.choice(tuple(self.fleet.instances))
            kind = rng.choice(('store', 'peers', 'reset'))
            for_s = rng.uniform(*DISTURBED_S)
            if kind == 'store':
                self.fleet.cut_store(name)
                await asyncio.sleep(for_s)
                self.fleet.cut_store(name, is_cut=False)
            elif kind == 'peers':
                await self._silence(name, for_s)
            else:
                self._reset_idle(rng)

    async def _silence(self, name, for_s):
        """Lose what an instance sends to others."""
        link = self.fleet.instances[name]._link
        if link is None:
            return
        send = link.send
        link.send = lambda to, message: to == name and send(to, message)
        await asyncio.sleep(for_s)
        link.send = send

    def _reset_idle(self, rng):
        """Reset half of the replicas' connections that rest."""
        self._resets_s.append(self.now())
        for replica in self.fleet.replicas.values():
            for connection in tuple(replica.listener.connections):
                if connection.is_idle and rng.random() < 0.5:
                    connection.abort()

    def _check(self, outcome):
        sent = outcome.sent
        runs = self.replicas.list_runs(sent.request_id)
        stop = self._stop
        case = answerrules.Case(
            outcome,
            runs,
            self.operator.list_in_force(sent.begun_s, outcome.ended_s),
            stop if stop and stop.instance == sent.instance else None,
            self._find_stalled_s(sent.sent_s, outcome.ended_s),
            any(
                sent.sent_s < at_s < outcome.ended_s for at_s in self._resets_s
            ),
        )
        names = list(answerrules.check(case))
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
