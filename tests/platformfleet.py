"""Instances with fake replicas and a fake store, within a test's process."""

import asyncio
import contextlib
import random
import socket

from lavenderledge import clock as clocks
from lavenderledge.daemon import formats
from lavenderledge.http1 import client, messages
from lavenderledge.platform import __main__ as program
from lavenderledge.proxy import instance, settings
from tests import platformreplica, platformstore

HOST = 'shop.example'
KEY = 'key-of-dealer'
TIMEOUT_S = 30

# Unseeded: test runs in parallel must not pick the same ports.
_RNG = random.SystemRandom()

LIMITS = {
    'max_header_bytes': 4096,
    'max_body_bytes': 4096,
    'header_timeout_ms': 400,
    'idle_timeout_ms': 2000,
}


def make_route(name, route_type, **changes):
    """Return a configuration's route with the path prefix ``/name/``."""
    route = {
        'name': name,
        'hostname': HOST,
        'path_prefix': f'/{name}/',
        'route_type': route_type,
        'timeout_ms': 3000,
        'slo_ms': 500,
        'priority': 0,
        'service': 'model',
        'max_attempts': 2,
        'public': False,
        'resumable': False,
        'itl_target_ms': 300,
    }
    return {**route, **changes}


def make_configuration(version=1, **changes):
    """Return a configuration with a route of each type."""
    configuration = {
        'version': version,
        'routes': [
            make_route('safe', 'safe'),
            make_route('once', 'unsafe', max_attempts=1),
            make_route('stream', 'streaming', max_attempts=1),
            make_route('stream/resumable', 'streaming', resumable=True),
        ],
        'services': [{'name': 'model', 'health_path': '/healthz'}],
        'limits': LIMITS,
        'tenants': [
            {
                'name': 'dealer',
                'api_keys': [KEY],
                'unit': 'tokens',
                'uncached_tokens': 200,
                'rate_per_s': 0,
                'burst': 0,
            },
        ],
    }
    return {**configuration, **changes}


def make_pool(account=None):
    """Return a connection pool for callers, without metrics."""
    return client.ConnectionPool(
        clock=clocks.SystemClock(),
        count=lambda *args, **labels: None,
        account=account,
    )


def find_port():
    """Return a free port outside the range for outgoing connections."""
    while True:
        port = _RNG.randrange(10000, 32000)
        with socket.socket() as candidate:
            with contextlib.suppress(OSError):
                candidate.bind(('127.0.0.1', port))
                return port


class Response:
    """Collects a response; status 0 means that none was received."""

    def __init__(self):
        self.status = 0
        self.fields = None
        self.body = b''
        self.ending = None
        self.done = asyncio.get_running_loop().create_future()

    def accepts(self, head):
        return True

    def receive_head(self, head):
        self.status = head.status
        self.fields = head.fields

    def receive_body(self, body):
        self.body += body

    def receive_end(self, ending):
        self.ending = ending
        self.done.set_result(None)

    @property
    def is_complete(self):
        return self.ending is messages.Ending.COMPLETE


class Fleet:
    """A store, replicas and instances, each on a loopback port."""

    def __init__(self):
        self.store = platformstore.Store()
        self.replicas = {}
        self.instances = {}
        self.instance_ports = {}
        self.tasks = {}
        self._store_listener = platformstore.build_listener(self.store.handle)
        self._store_links = {}
        self._request_count = 0

    async def start(self, *, replicas=2, instances=1, **configuration):
        await self._store_listener.listen('127.0.0.1', 0)
        self.store.write('op/config', make_configuration(**configuration))
        for number in range(replicas):
            await self.add_replica(f'i-{number}')
        for number in range(instances):
            await self.add_instance(f'entry-{number}')

    async def add_replica(self, name, service='model', slots=4, **options):
        replica = platformreplica.Replica(name, **options)
        await replica.start()
        self.replicas[name] = replica
        self.store.write(f'servers/{name}', replica.describe(service, slots))
        return replica

    async def add_store_link(self, name, *, bytes_per_s=None):
        """Return the address at which an instance reaches the store.

        ``cut_store`` makes the store unreachable there.
        """
        link = platformstore.StoreLink(self.store, bytes_per_s)
        await link.listener.listen('127.0.0.1', 0)
        self._store_links[name] = link
        return formats.Address('127.0.0.1', link.listener.port)

    def cut_store(self, name, *, is_cut=True):
        self._store_links[name].is_cut = is_cut

    async def add_instance(self, name, *, is_ready=True, **changes):
        """Start an instance and wait until it is ready, or until it listens."""
        while not await self._try_instance(name, changes, is_ready=is_ready):
            await asyncio.sleep(0.01)

    async def _try_instance(self, name, changes, *, is_ready):
        """Start an instance; return False if a port was taken meanwhile."""
        ports = [formats.Address('127.0.0.1', find_port()) for _ in range(4)]
        instance_settings = settings.Settings(
            instance=name,
            availability_zone='a',
            listen=ports[0],
            ready_listen=ports[1],
            metrics_listen=ports[2],
            peer_listen=ports[3],
            store=formats.Address('127.0.0.1', self._store_listener.port),
            processor_share=1,
            processor_speed=1,
            stop_grace_s=5,
            revocation_ms=5000,
            apply_ms=2000,
            drain_ms=2000,
            retry_ratio=0.2,
            retry_window_s=10,
            retry_slack=50,
            quota_window_s=8,
            quota_overrun=0,
            quota_slack=0,
            memory_mb=0,
            log_level='info',
        )._replace(**changes)
        running = instance.Instance(
            settings=instance_settings,
            platform=program.PLATFORM,
            clock=clocks.BootTimeClock(),
        )
        self.instances[name] = running
        self.instance_ports[name] = ports
        self.tasks[name] = asyncio.create_task(running.run())
        await wait_until(
            lambda: (
                (running.is_ready or not is_ready)
                and running._link is not None
                or self.tasks[name].done()
            )
        )
        return not self.tasks[name].done()

    async def stop_instance(self, name):
        """Stop an instance without a graceful end."""
        task = self.tasks.pop(name)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await self.instances.pop(name).close()

    async def send(
        self, path, *, instance='entry-0', method=b'POST', **options
    ):
        """Send a request on a new connection; wait for the response's end."""
        response, _ = await self.begin(
            path, instance=instance, method=method, **options
        )
        await asyncio.wait_for(response.done, TIMEOUT_S)
        return response

    async def begin(
        self,
        path,
        *,
        instance='entry-0',
        method=b'POST',
        key=KEY,
        deadline_ms=3000,
        body=b'',
        request_id=None,
        fields=(),
    ):
        self._request_count += 1
        request_id = request_id or f'r-{self._request_count}'
        request_fields = [
            (b'Host', HOST.encode()),
            (b'Attempt-Id', request_id.encode()),
            (b'Deadline-Ms', b'%d' % deadline_ms),
            *fields,
        ]
        if key is not None:
            request_fields.append((b'Authorization', b'Bearer ' + key.encode()))
        data = messages.format_request(
            method, path.encode(), request_fields, body
        )
        return await self.begin_raw(data, instance=instance)

    async def begin_raw(self, data, *, instance='entry-0'):
        """Send bytes on a new connection."""
        pool = make_pool()
        address = str(self.instance_ports[instance][0])
        opened = await pool.open(address, timeout_s=1, max_idle_s=0)
        response = Response()
        opened.ok.begin(data, response)
        return response, opened.ok

    async def close(self):
        for running in self.instances.values():
            running.request_stop()
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)
        for running in self.instances.values():
            await running.close()
        self._store_listener.stop()
        for link in self._store_links.values():
            link.listener.stop()
        for replica in self.replicas.values():
            replica.listener.stop()

    @staticmethod
    def read_replica(change):
        return program.PLATFORM.read_replica(change)

    def list_runs(self):
        """Return the request ids of all runs, grouped by replica."""
        return [
            request_id
            for replica in self.replicas.values()
            for request_id in replica.runs
        ]


@contextlib.asynccontextmanager
async def running(**options):
    """Run a fleet for the duration of a test."""
    fleet = Fleet()
    try:
        async with asyncio.timeout(TIMEOUT_S * 2):
            await fleet.start(**options)
            yield fleet
    finally:
        await fleet.close()


async def wait_until(condition):
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)
