"""Starts deployed instances as processes, beside the project's stand-ins.

The store and the replicas are those of ``tests/``, in the script's process.
Each instance is ``python3 -m lavenderledge.platform``, with the settings of
``deploy/instance.env`` filled in as the platform does.
"""

import asyncio
import contextlib
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(REPOSITORY), str(REPOSITORY / 'target' / 'deps')]

from tests import platformreplica, platformstore  # noqa: E402

HOST = 'shop.example'
KEY = 'key-of-dealer'
_RNG = random.SystemRandom()

# The bounds of the deployment akwaaba-loop.
BOUNDS = {
    'grace_s': 8,
    'revoke_ms': 5000,
    'config_apply_ms': 2000,
    'drain_ms': 2000,
    'retry_budget_ratio': 0.2,
    'retry_window_s': 10,
    'retry_slack': 58,
    'quota_window_s': 8,
    'quota_overrun': 0.1,
    'quota_slack': 190000,
}
LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 4194304,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}


def find_port():
    """Return a free port outside the range for outgoing connections."""
    while True:
        port = _RNG.randrange(10000, 32000)
        with socket.socket() as candidate:
            with contextlib.suppress(OSError):
                candidate.bind(('127.0.0.1', port))
                return port


def make_route(name, route_type, **changes):
    """Return a route with the path prefix ``/name/``."""
    route = {
        'name': name,
        'hostname': HOST,
        'path_prefix': f'/{name}/',
        'route_type': route_type,
        'timeout_ms': 10000,
        'slo_ms': 600,
        'priority': 0,
        'service': 'model',
        'max_attempts': 2,
        'public': False,
        'resumable': False,
        'itl_target_ms': 300,
    }
    return {**route, **changes}


def make_configuration(version=1, **changes):
    """Return a configuration with a route of each type and one tenant."""
    configuration = {
        'version': version,
        'routes': [
            make_route('safe', 'safe'),
            make_route('once', 'unsafe', max_attempts=1),
            make_route('stream', 'streaming', resumable=True),
        ],
        'services': [{'name': 'model', 'health_path': '/healthz'}],
        'limits': LIMITS,
        'tenants': [
            {
                'name': 'dealer',
                'api_keys': [KEY],
                'rate_per_s': 0,
                'burst': 0,
            },
        ],
    }
    return {**configuration, **changes}


class Instance:
    """One deployed process."""

    def __init__(self, name, store_port, folder, bounds, memory_mb):
        self.name = name
        self.ports = [find_port() for _ in range(4)]
        self.process = None
        self._folder = folder
        self._fields = {
            'node_name': name,
            'zone': 'accra-a',
            'ip': '127.0.0.1',
            'listen.frontend': f'127.0.0.1:{self.ports[0]}',
            'listen.ready': f'127.0.0.1:{self.ports[1]}',
            'port_range.0': str(self.ports[3]),
            'platform.address': f'127.0.0.1:{store_port}',
            'limits.cpu_share': '0.537',
            'limits.cores': '2',
            'limits.memory_mb': str(memory_mb),
            **{f'bounds.{key}': str(text) for key, text in bounds.items()},
        }

    @property
    def port(self):
        return self.ports[0]

    async def start(self):
        template = (REPOSITORY / 'deploy/instance.env').read_text()
        # All instances share an address here, so the fixed port is replaced.
        template = template.replace(':7610', f':{self.ports[2]}')
        filled = re.sub(
            r'\{\{(.*?)\}\}',
            lambda match: self._fields.get(match.group(1), ''),
            template,
        )
        path = pathlib.Path(self._folder) / f'{self.name}.env'
        path.write_text(filled)
        log = open(pathlib.Path(self._folder) / f'{self.name}.log', 'ab')
        self.process = await asyncio.create_subprocess_exec(
            'python3',
            '-m',
            'lavenderledge.platform',
            cwd=REPOSITORY,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'PYTHONPATH': str(REPOSITORY / 'target' / 'deps'),
                'LAVENDERLEDGE_NODE_FILE': str(path),
            },
            stdout=log,
            stderr=log,
        )
        log.close()

    async def wait_ready(self, timeout_s=15):
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', self.ports[1]
            )
        except OSError:
            return False
        try:
            writer.write(b'GET /api/readyz HTTP/1.1\r\nHost: a\r\n\r\n')
            return (await reader.readline()).startswith(b'HTTP/1.1 200')
        finally:
            writer.close()

    def send_signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.send_signal(signal.SIGKILL)
        await self.process.wait()

    def read_rss_kb(self):
        try:
            text = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0
        found = re.search(r'VmRSS:\s+(\d+)', text)
        return int(found.group(1)) if found else 0

    def read_log(self):
        path = pathlib.Path(self._folder) / f'{self.name}.log'
        return path.read_text(errors='replace')


def _note_error(loop, context):
    """Report errors of stand-ins, but not that they end with the script."""
    if not isinstance(context.get('exception'), asyncio.CancelledError):
        loop.default_exception_handler(context)


class Fleet:
    """A store, replicas and instances; all of it ends with the context."""

    def __init__(self, *, bounds=None, memory_mb=300):
        self.store = platformstore.Store()
        self.replicas = {}
        self.instances = {}
        self.folder = tempfile.mkdtemp(prefix='review-')
        self._bounds = {**BOUNDS, **(bounds or {})}
        self._memory_mb = memory_mb
        self.store_listener = platformstore.build_listener(self.store.handle)
        self._listeners = []

    async def __aenter__(self):
        asyncio.get_running_loop().set_exception_handler(_note_error)
        await self.store_listener.listen('127.0.0.1', 0)
        return self

    async def __aexit__(self, *error):
        for instance in self.instances.values():
            if instance.process is not None:
                instance.send_signal(signal.SIGCONT)
                await instance.kill()
        self.store_listener.stop()
        for replica in self.replicas.values():
            replica.listener.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def add_replica(self, name, service='model', slots=6, **options):
        replica = platformreplica.Replica(name, **options)
        await replica.start()
        self.replicas[name] = replica
        self.store.write(f'servers/{name}', replica.describe(service, slots))
        return replica

    def register(self, name, port, service='model', slots=6, **changes):
        entry = {
            'service': service,
            'address': f'127.0.0.1:{port}',
            'zone': 'accra-a',
            'version': 'v1',
            'capacity': slots,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': 1,
            'born': 1765000000000,
        }
        self.store.write(f'servers/{name}', {**entry, **changes})

    async def add_instance(self, name, store_port=None, *, is_awaited=True):
        instance = Instance(
            name,
            store_port or self.store_listener.port,
            self.folder,
            self._bounds,
            self._memory_mb,
        )
        self.instances[name] = instance
        await instance.start()
        if is_awaited:
            await instance.wait_ready()
        return instance


def build_request(
    path, request_id, *, method='POST', deadline_ms=8000, body=b'', fields=()
):
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Attempt-Id: {request_id}',
        f'Deadline-Ms: {deadline_ms}',
        f'Authorization: Bearer {KEY}',
        *fields,
    ]
    if body or method != 'GET':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode() + body


class Answer:
    """An answer as its client saw it; status 0 means none."""

    def __init__(self):
        self.status = 0
        self.head = b''
        self.body = b''
        self.is_complete = False

    def find(self, name):
        found = re.search(rb'(?im)^%b: *(.*?)\r$' % name.encode(), self.head)
        return found.group(1).decode() if found else None


async def read_answer(reader, on_part=None):
    """Read one answer; incomplete if the connection ends before it does."""
    answer = Answer()
    try:
        answer.head = await reader.readuntil(b'\r\n\r\n')
        answer.status = int(answer.head.split(b' ', 2)[1])
        length = answer.find('content-length')
        if (answer.find('transfer-encoding') or '').lower() == 'chunked':
            while True:
                size = int(await reader.readline(), 16)
                part = await reader.readexactly(size + 2)
                answer.body += part[:-2]
                if on_part is not None and size:
                    on_part(part[:-2])
                if not size:
                    break
        elif length is not None:
            answer.body = await reader.readexactly(int(length))
        else:
            answer.body = await reader.read()
        answer.is_complete = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    return answer


async def call(port, data, timeout_s=15, on_part=None):
    """Send a request on a new connection and return its answer."""
    try:
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
    except OSError:
        return Answer()
    try:
        writer.write(data)
        async with asyncio.timeout(timeout_s):
            await writer.drain()
            return await read_answer(reader, on_part)
    except (ConnectionError, TimeoutError):
        return Answer()
    finally:
        writer.close()


class Record:
    """Writes ``record.txt`` beside the script."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / 'record.txt', 'w')
        self._started_s = time.monotonic()

    def write(self, text):
        at_s = time.monotonic() - self._started_s
        self._file.write(f'{at_s:8.3f} {text}\n')
        self._file.flush()


def run_case(main):
    """Exit with what ``main`` returns, or with 2 if the case can't run."""
    try:
        status = asyncio.run(main())
    except Exception as error:
        sys.stderr.write(f'the case could not run: {error!r}\n')
        status = 2
    sys.exit(status)
