"""Runs seeds: ``python -m tests.soak.run --seeds 1 2 3 --seconds 20``."""

import argparse
import asyncio
import random
import shutil
import signal
import sys

from lavenderledge.http1 import messages
from tests import platformfleet, platformreplica, platformstore
from tests.soak import checks, daemons, proxy

DRAIN_S = 2.0
REVOKE_S = 5.0
EVENTS = 6
# A request is on its way this long at most when its replica is asked, seconds.
TRANSIT_S = 0.5
# From a signal to stop until the process runs again at the latest, seconds.
RESTART_S = 8.0
PATHS = ('/once/x', '/safe/x', '/stream/x', '/stream/resumable/x')
KEYS = ('key-0', 'key-1', 'key-2')


class LoggedReplica(platformreplica.Replica):
    """A replica that notes when each run began."""

    def __init__(self, name, log, **options):
        super().__init__(name, **options)
        self.log = log

    async def handle(self, request, reply):
        before = len(self.runs)
        try:
            await super().handle(request, reply)
        finally:
            loop = asyncio.get_running_loop()
            for request_id in self.runs[before : before + 1]:
                self.log.append(checks.Run(request_id, self.name, loop.time()))


class Soak:
    """One seeded run."""

    def __init__(self, *, seed, seconds, size, directory):
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.size = size
        self.directory = directory
        self.store = platformstore.Store()
        self.listener = platformstore.build_listener(self.store.handle)
        self.proxies = []
        self.daemons = []
        # Who is asked; everybody while it is empty.
        self.asked = []
        self.replicas = {}
        self.history = checks.History([], [], {}, {}, {}, EVENTS)
        self.keys = list(KEYS)
        self.version = 1
        self.sent = 0
        self.faults = []
        self.tasks = set()

    async def run(self):
        """Play it; return the broken promises."""
        loop = asyncio.get_running_loop()
        try:
            await self.start()
            end_s = loop.time() + self.seconds
            callers = [
                asyncio.create_task(self.call_until(end_s)) for _ in range(12)
            ]
            while loop.time() < end_s - 3:
                await asyncio.sleep(self.rng.uniform(0.1, 0.9))
                await self.disturb()
            self.heal()
            await asyncio.gather(*callers)
            served = await self.recover()
        finally:
            await self.close()
        found = list(
            checks.find_violations(
                self.history,
                drain_s=DRAIN_S + TRANSIT_S,
                revoke_s=REVOKE_S,
            )
        )
        if not served:
            found.append('no request was served after all was healed')
        return found

    async def start(self):
        await self.listener.listen('127.0.0.1', 0)
        self.write_configuration()
        for _ in range(3):
            await self.add_replica()
        for number in range(self.size):
            gate = proxy.Proxy(f'127.0.0.1:{self.listener.port}')
            await gate.start()
            self.proxies.append(gate)
            daemon = daemons.Daemon(
                f'entry-{number}', self.directory, store=gate.address
            )
            self.daemons.append(daemon)
        await asyncio.gather(*(daemon.open() for daemon in self.daemons))
        await asyncio.sleep(1)

    async def add_replica(self):
        name = f'i-{len(self.replicas)}'
        replica = LoggedReplica(
            name, self.history.runs, work_s=0.02, events=EVENTS
        )
        await replica.start()
        gate = proxy.Proxy(replica.address)
        await gate.start()
        self.proxies.append(gate)
        self.replicas[name] = replica
        self.store.write(
            f'servers/{name}', replica.describe(address=gate.address)
        )

    def write_configuration(self):
        self.version += self.rng.randint(1, 5)
        tenant = {'name': 'dealer', 'api_keys': list(self.keys)}
        self.store.write(
            'op/config',
            platformfleet.make_configuration(self.version, tenants=[tenant]),
        )

    async def call_until(self, end_s):
        loop = asyncio.get_running_loop()
        pool = platformfleet.make_pool()
        while loop.time() < end_s:
            await self.call(pool)
            await asyncio.sleep(self.rng.uniform(0.01, 0.1))
        pool.close()

    async def call(self, pool):
        loop = asyncio.get_running_loop()
        daemon = self.rng.choice(self.asked or self.daemons)
        path = self.rng.choice(PATHS)
        key = self.rng.choice(KEYS)
        self.sent += 1
        request_id = f'r{self.sent}'
        opened = await pool.open(
            f'127.0.0.1:{daemon.ports[0]}', timeout_s=0.5, max_idle_s=5
        )
        if opened.is_error():
            return False
        answer = platformfleet.Response()
        sent_s = loop.time()
        fields = (
            (b'Host', platformfleet.HOST.encode()),
            (b'Attempt-Id', request_id.encode()),
            (b'Deadline-Ms', b'2000'),
            (b'Authorization', f'Bearer {key}'.encode()),
        )
        opened.ok.begin(
            messages.format_request(b'POST', path.encode(), fields), answer
        )
        await asyncio.wait((answer.done,), timeout=2.5)
        if answer.done.done():
            pool.release(opened.ok)
        else:
            opened.ok.abort()
        self.history.told.append(
            checks.Told(
                request_id,
                daemon.name,
                path,
                key,
                sent_s,
                answer.status,
                answer.is_complete,
                answer.body,
                loop.time() - sent_s,
            )
        )
        return answer.status == messages.OK and answer.is_complete

    async def disturb(self):
        """Do one thing that may happen on any day."""
        act = self.rng.choice(
            (
                self.break_replica,
                self.break_replica,
                self.disturb_link,
                self.disturb_link,
                self.disturb_store,
                self.signal_daemon,
                self.signal_daemon,
                self.change_configuration,
                self.drain_replica,
            )
        )
        self.faults.append(act.__name__)
        await act()

    async def break_replica(self):
        replica = self.rng.choice(tuple(self.replicas.values()))
        words = ('full', 'error', 'reset', 'early', 'cut', 'twice', 'unsigned')
        replica.script.extend(self.rng.choices((*words, 'promise', 'ok'), k=8))

    async def disturb_link(self):
        gate = self.rng.choice(self.proxies)
        kind = self.rng.choice(
            ('delay', 'silent', 'one_way', 'refuse', 'reset')
        )
        if kind == 'reset':
            gate.reset()
        gate.delay_s = 0.2 if kind == 'delay' else 0
        gate.silent = kind == 'silent'
        gate.one_way = kind == 'one_way'
        gate.refusing = kind == 'refuse'
        for_s = self.rng.uniform(0.5, 3)
        for daemon in self.daemons:
            if daemon.store == gate.address:
                self.note_trouble(daemon.name, for_s)
        self.later(for_s, gate.heal)

    async def disturb_store(self):
        self.store.mode = self.rng.choice(('busy', 'reset', 'silent', 'lost'))
        if self.rng.random() < 0.3:
            self.store.compact()
        if self.rng.random() < 0.3:
            self.store.expire_leases()
        for_s = self.rng.uniform(0.3, 3)
        self.note_trouble('', for_s)
        self.later(for_s, self.mend_store)

    def note_trouble(self, name, seconds):
        """Note that the store ('') or an instance is disturbed from now."""
        now_s = asyncio.get_running_loop().time()
        spans = self.history.disturbed.setdefault(name, [])
        spans.append((now_s, now_s + seconds))

    def mend_store(self):
        self.store.mode = 'ok'

    async def signal_daemon(self):
        daemon = self.rng.choice(self.daemons)
        kind = self.rng.choice(('kill', 'term', 'pause', 'hup'))
        if kind == 'hup':
            daemon.signal(signal.SIGHUP)
        elif kind == 'pause':
            daemon.pause()
            for_s = self.rng.uniform(0.3, 3)
            self.note_trouble(daemon.name, for_s)
            self.later(for_s, daemon.wake)
        else:
            daemon.wake()
            daemon.signal(signal.SIGKILL if kind == 'kill' else signal.SIGTERM)
            self.note_trouble(daemon.name, RESTART_S)
            self.spawn(self.restart(daemon))

    async def restart(self, daemon):
        await daemon.process.wait()
        await asyncio.sleep(self.rng.uniform(0, 0.5))
        await daemon.start()

    async def change_configuration(self):
        if self.store.mode != 'ok':
            return
        if len(self.keys) > 1 and self.rng.random() < 0.3:
            key = self.keys.pop()
            self.history.revoked[key] = asyncio.get_running_loop().time()
        self.write_configuration()

    async def drain_replica(self):
        if self.store.mode != 'ok' or len(self.replicas) > 9:
            return
        staying = [
            name for name in self.replicas if name not in self.history.left
        ]
        name = self.rng.choice(staying)
        await self.add_replica()
        entry = self.replicas[name].describe(state='draining')
        self.store.write(f'servers/{name}', entry)
        self.history.left[name] = asyncio.get_running_loop().time()

    def later(self, delay_s, act):
        async def wait():
            await asyncio.sleep(delay_s)
            act()

        self.spawn(wait())

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def heal(self):
        for gate in self.proxies:
            gate.heal()
        for daemon in self.daemons:
            daemon.wake()
        for replica in self.replicas.values():
            replica.script.clear()
        self.mend_store()

    async def recover(self):
        """Return whether requests are served once all has been healed."""
        self.heal()
        pool = platformfleet.make_pool()
        loop = asyncio.get_running_loop()
        end_s = loop.time() + 12
        while loop.time() < end_s:
            if await self.call(pool):
                return True
            await asyncio.sleep(0.1)
        return False

    async def close(self):
        for task in tuple(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for daemon in self.daemons:
            await daemon.end()
        for gate in self.proxies:
            await gate.stop()
        for replica in self.replicas.values():
            replica.listener.stop()
        self.listener.stop()


async def play(seed, *, seconds, size, keep=None):
    """Play one seed; return its broken promises and a summary."""
    with daemons.make_directory() as directory:
        soak = Soak(seed=seed, seconds=seconds, size=size, directory=directory)
        found = await soak.run()
        if found and keep:
            shutil.copytree(directory, f'{keep}/seed-{seed}')
    served = sum(each.status == messages.OK for each in soak.history.told)
    summary = (
        f'seed {seed}: {len(soak.history.told)} requests, {served} served, '
        f'{len(soak.history.runs)} runs, {len(soak.faults)} faults, '
        f'{len(found)} broken promises'
    )
    return found, summary


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, nargs='+', default=[1])
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--size', type=int, default=4, help='daemons')
    parser.add_argument('--keep', help='folder for the logs of failed seeds')
    given = parser.parse_args()
    # An interrupted run ends its daemons like any other.
    signal.signal(signal.SIGTERM, signal.getsignal(signal.SIGINT))
    failed = 0
    for seed in given.seeds:
        found, summary = asyncio.run(
            play(seed, seconds=given.seconds, size=given.size, keep=given.keep)
        )
        sys.stdout.write(f'{summary}\n')
        for violation in found:
            sys.stdout.write(f'  {violation}\n')
        sys.stdout.flush()
        failed += bool(found)
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
