"""Soak test: ``python -m tests.soak.run --seeds 1 2 3 --seconds 20``."""

import argparse
import asyncio
import collections
import functools
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
# The longest time that a request is in transit to its replica.
MAX_TRANSIT_S = 0.5
# The longest time from a stop signal until the process runs again.
MAX_RESTART_S = 8.0
# What the operator and the replicas wrote is written again this long after the
# store was restored, at most.
MAX_REWRITE_S = 0.5
MAX_COPIES = 12
PATHS = ('/once/x', '/safe/x', '/stream/x', '/stream/resumable/x')
KEYS = ('key-0', 'key-1', 'key-2')
SLOW_CALLERS = 4
# Slow callers take 0.4 s to upload a body and 0.7 s to read a plain response.
SLOW_BYTES_PER_S = 300_000
SLOW_BODY = b' ' * 120_000
SLOW_PADDING = b' ' * 200_000
SLOW_PREFIX = 'slow-'


class LoggedReplica(platformreplica.Replica):
    """A replica that records the time of each run."""

    def __init__(self, name, log, **options):
        super().__init__(name, **options)
        self.log = log

    async def handle(self, request, reply):
        start = len(self.runs)
        try:
            await super().handle(request, reply)
        finally:
            loop = asyncio.get_running_loop()
            for request_id in self.runs[start : start + 1]:
                self.log.append(checks.Run(request_id, self.name, loop.time()))

    async def _respond(self, action, reply, response_fields, request_id):
        is_slow = request_id.startswith(SLOW_PREFIX)
        self.padding = SLOW_PADDING if is_slow else b''
        await super()._respond(action, reply, response_fields, request_id)


class Soak:
    """One soak run of a seed."""

    def __init__(
        self, *, seed, seconds, size, directory, restores=False, slow=False
    ):
        self.rng = random.Random(seed)
        # With or without slow callers, seeds select the same faults.
        self.slow_rng = random.Random(seed)
        self.slow = slow
        self.slow_links = {}
        self.seconds = seconds
        self.size = size
        self.restores = restores
        self.directory = directory
        self.store = platformstore.Store()
        self.listener = platformstore.build_listener(self.store.handle)
        self.proxies = []
        self.daemons = []
        # The daemons that receive requests; all of them if empty.
        self.targets = []
        self.written = {}
        self.copies = collections.deque(maxlen=MAX_COPIES)
        self.replicas = {}
        self.history = checks.History([], [], {}, {}, {}, EVENTS)
        self.keys = list(KEYS)
        self.version = 1
        self.sent = 0
        self.faults = []
        self.tasks = set()

    async def run(self):
        """Run the soak and return its violations."""
        loop = asyncio.get_running_loop()
        try:
            await self.start()
            end_s = loop.time() + self.seconds
            callers = [
                asyncio.create_task(self.call_until(end_s)) for _ in range(12)
            ]
            callers += [
                asyncio.create_task(self.call_until(end_s, slow=True))
                for _ in range(SLOW_CALLERS * self.slow)
            ]
            while loop.time() < end_s - 3:
                await asyncio.sleep(self.rng.uniform(0.1, 0.9))
                self.copies.append(self.store.take_copy())
                await self.inject_fault()
            self.clear_faults()
            await asyncio.gather(*callers)
            recovered = await self.recover()
        finally:
            await self.close()
        violations = list(
            checks.find_violations(
                self.history,
                drain_s=DRAIN_S + MAX_TRANSIT_S,
                revoke_s=REVOKE_S,
            )
        )
        if not recovered:
            violations.append(
                'no request was served after all faults were cleared'
            )
        if self.slow and not self.count_served(SLOW_PREFIX):
            violations.append('no slow caller was served')
        return violations

    async def start(self):
        await self.listener.listen('127.0.0.1', 0)
        self.write_configuration()
        for _ in range(3):
            await self.add_replica()
        for number in range(self.size):
            link = proxy.Proxy(f'127.0.0.1:{self.listener.port}')
            await link.start()
            self.proxies.append(link)
            daemon = daemons.Daemon(
                f'entry-{number}', self.directory, store=link.address
            )
            self.daemons.append(daemon)
        await asyncio.gather(
            *(daemon.start_on_free_ports() for daemon in self.daemons)
        )
        for daemon in self.daemons * self.slow:
            link = proxy.Proxy(
                f'127.0.0.1:{daemon.ports[0]}', bytes_per_s=SLOW_BYTES_PER_S
            )
            await link.start()
            self.slow_links[daemon.name] = link
        await asyncio.sleep(1)

    async def add_replica(self):
        name = f'i-{len(self.replicas)}'
        replica = LoggedReplica(
            name, self.history.runs, work_s=0.02, events=EVENTS
        )
        await replica.start()
        link = proxy.Proxy(replica.address)
        await link.start()
        self.proxies.append(link)
        self.replicas[name] = replica
        self.write_last(
            f'servers/{name}', replica.describe(address=link.address)
        )

    def write_configuration(self):
        self.version += self.rng.randint(1, 5)
        tenant = {'name': 'dealer', 'api_keys': list(self.keys)}
        self.write_last(
            'op/config',
            platformfleet.make_configuration(self.version, tenants=[tenant]),
        )

    def write_last(self, key, document):
        """Write a key as the operator or a replica does, and remember it."""
        self.written[key] = document
        self.store.write(key, document)

    async def call_until(self, end_s, *, slow=False):
        loop = asyncio.get_running_loop()
        pool = platformfleet.make_pool()
        while loop.time() < end_s:
            await self.call(pool, slow=slow)
            rng = self.slow_rng if slow else self.rng
            await asyncio.sleep(rng.uniform(0.01, 0.1))
        pool.close()

    async def call(self, pool, *, slow=False):
        loop = asyncio.get_running_loop()
        rng = self.slow_rng if slow else self.rng
        daemon = rng.choice(self.targets or self.daemons)
        path = rng.choice(PATHS)
        key = rng.choice(KEYS)
        self.sent += 1
        request_id = f'{SLOW_PREFIX * slow}r{self.sent}'
        address = f'127.0.0.1:{daemon.ports[0]}'
        if slow:
            address = self.slow_links[daemon.name].address
        opened = await pool.open(address, timeout_s=0.5, max_idle_s=5)
        if opened.is_error():
            return False
        response = platformfleet.Response()
        sent_s = loop.time()
        fields = (
            (b'Host', platformfleet.HOST.encode()),
            (b'Attempt-Id', request_id.encode()),
            (b'Deadline-Ms', b'2000'),
            (b'Authorization', f'Bearer {key}'.encode()),
        )
        opened.ok.begin(
            messages.format_request(
                b'POST', path.encode(), fields, SLOW_BODY * slow
            ),
            response,
        )
        await asyncio.wait((response.done,), timeout=2.5)
        if response.done.done():
            pool.release(opened.ok)
        else:
            opened.ok.abort()
        self.history.calls.append(
            checks.CallRecord(
                request_id,
                daemon.name,
                path,
                key,
                sent_s,
                response.status,
                response.is_complete,
                response.body.removesuffix(SLOW_PADDING * slow),
                loop.time() - sent_s,
            )
        )
        return response.status == messages.OK and response.is_complete

    def count_served(self, prefix=''):
        """Return how many requests with an id of a prefix were served."""
        return sum(
            call.status == messages.OK
            and call.is_complete
            and call.request_id.startswith(prefix)
            for call in self.history.calls
        )

    async def inject_fault(self):
        """Inject a random fault or change."""
        # Without restores, seeds select the faults that they always did.
        restore = (self.restore_store,) * self.restores
        action = self.rng.choice(
            (
                *restore,
                self.inject_replica_faults,
                self.inject_replica_faults,
                self.inject_link_fault,
                self.inject_link_fault,
                self.inject_store_fault,
                self.signal_daemon,
                self.signal_daemon,
                self.change_configuration,
                self.drain_replica,
            )
        )
        self.faults.append(action.__name__)
        await action()

    async def inject_replica_faults(self):
        replica = self.rng.choice(tuple(self.replicas.values()))
        actions = (
            'full',
            'error',
            'reset',
            'early',
            'cut',
            'twice',
            'unsigned',
        )
        replica.script.extend(
            self.rng.choices((*actions, 'promise', 'ok'), k=8)
        )

    async def inject_link_fault(self):
        link = self.rng.choice(self.proxies)
        kind = self.rng.choice(
            ('delay', 'silent', 'one_way', 'refuse', 'reset')
        )
        if kind == 'reset':
            link.reset()
        link.delay_s = 0.2 if kind == 'delay' else 0
        link.silent = kind == 'silent'
        link.one_way = kind == 'one_way'
        link.refusing = kind == 'refuse'
        duration_s = self.rng.uniform(0.5, 3)
        for daemon in self.daemons:
            if daemon.store == link.address:
                self.note_disturbance(daemon.name, duration_s)
        self.call_later(duration_s, link.clear_faults)

    async def inject_store_fault(self):
        self.store.mode = self.rng.choice(('busy', 'reset', 'silent', 'lost'))
        if self.rng.random() < 0.3:
            self.store.compact()
        if self.rng.random() < 0.3:
            self.store.expire_leases()
        duration_s = self.rng.uniform(0.3, 3)
        self.note_disturbance('', duration_s)
        self.call_later(duration_s, self.clear_store_fault)

    async def restore_store(self):
        """Bring the store back from an older copy, after it was away."""
        if self.store.mode != 'ok':
            return
        self.store.mode = self.rng.choice(('busy', 'reset', 'silent'))
        away_s = self.rng.uniform(0, 2)
        self.note_disturbance('', away_s + MAX_REWRITE_S)
        await asyncio.sleep(away_s)
        self.store.restore(self.rng.choice(self.copies))
        self.clear_store_fault()
        for key in tuple(self.written):
            self.call_later(
                self.rng.uniform(0, MAX_REWRITE_S),
                functools.partial(self.write_again, key),
            )

    def write_again(self, key):
        self.store.write(key, self.written[key])

    def note_disturbance(self, name, seconds):
        """Record a disturbance of the store ('') or an instance from now."""
        now_s = asyncio.get_running_loop().time()
        spans = self.history.disturbances.setdefault(name, [])
        spans.append((now_s, now_s + seconds))

    def clear_store_fault(self):
        self.store.mode = 'ok'

    async def signal_daemon(self):
        daemon = self.rng.choice(self.daemons)
        kind = self.rng.choice(('kill', 'term', 'pause', 'hup'))
        if kind == 'hup':
            daemon.signal(signal.SIGHUP)
        elif kind == 'pause':
            daemon.pause()
            duration_s = self.rng.uniform(0.3, 3)
            self.note_disturbance(daemon.name, duration_s)
            self.call_later(duration_s, daemon.resume)
        else:
            daemon.resume()
            daemon.signal(signal.SIGKILL if kind == 'kill' else signal.SIGTERM)
            self.note_disturbance(daemon.name, MAX_RESTART_S)
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
        serving = [
            name for name in self.replicas if name not in self.history.draining
        ]
        name = self.rng.choice(serving)
        await self.add_replica()
        entry = self.replicas[name].describe(state='draining')
        self.write_last(f'servers/{name}', entry)
        self.history.draining[name] = asyncio.get_running_loop().time()

    def call_later(self, delay_s, action):
        async def wait():
            await asyncio.sleep(delay_s)
            action()

        self.spawn(wait())

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def clear_faults(self):
        for link in self.proxies:
            link.clear_faults()
        for daemon in self.daemons:
            daemon.resume()
        for replica in self.replicas.values():
            replica.script.clear()
        self.clear_store_fault()

    async def recover(self):
        """Clear all faults and return whether a request is served."""
        self.clear_faults()
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
            await daemon.kill()
        for link in (*self.proxies, *self.slow_links.values()):
            await link.stop()
        for replica in self.replicas.values():
            replica.listener.stop()
        self.listener.stop()


async def run_seed(
    seed, *, seconds, size, log_folder=None, restores=False, slow=False
):
    """Run one seed; return its violations and a summary."""
    with daemons.make_directory() as directory:
        soak = Soak(
            seed=seed,
            seconds=seconds,
            size=size,
            directory=directory,
            restores=restores,
            slow=slow,
        )
        violations = await soak.run()
        if violations and log_folder:
            shutil.copytree(directory, f'{log_folder}/seed-{seed}')
    served = sum(call.status == messages.OK for call in soak.history.calls)
    summary = (
        f'seed {seed}: {len(soak.history.calls)} requests, {served} served, '
        f'{len(soak.history.runs)} runs, {len(soak.faults)} faults, '
        f'{len(violations)} violations'
    )
    if slow:
        summary += f', {soak.count_served(SLOW_PREFIX)} slow callers served'
    return violations, summary


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, nargs='+', default=[1])
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--size', type=int, default=4, help='daemons')
    parser.add_argument(
        '--restores',
        action='store_true',
        help='the store also comes back from older copies',
    )
    parser.add_argument(
        '--slow',
        action='store_true',
        help='some callers upload and read slowly',
    )
    parser.add_argument('--keep', help='folder for the logs of failed seeds')
    arguments = parser.parse_args()
    # SIGTERM raises KeyboardInterrupt, so that the daemons are stopped.
    signal.signal(signal.SIGTERM, signal.getsignal(signal.SIGINT))
    failed = 0
    for seed in arguments.seeds:
        violations, summary = asyncio.run(
            run_seed(
                seed,
                seconds=arguments.seconds,
                size=arguments.size,
                log_folder=arguments.keep,
                restores=arguments.restores,
                slow=arguments.slow,
            )
        )
        sys.stdout.write(f'{summary}\n')
        for violation in violations:
            sys.stdout.write(f'  {violation}\n')
        sys.stdout.flush()
        failed += bool(violations)
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
