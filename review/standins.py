"""Stand-ins of the platform, replicas and clients for the review's scripts.

They use the standard library only, and listen on loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import time
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = 'review.example'
STARTUP_TIMEOUT_S = 30
RESET = struct.pack('ii', 1, 0)


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = path.open('w', encoding='utf-8', buffering=1)
        self._started_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self._started_s

    def write(self, text):
        self._file.write(f'{self.now_s():9.3f} {text}\n')

    def close(self):
        self._file.close()


def find_port(address):
    """Return a free port below the range of outgoing connections."""
    while True:
        port = random.randrange(10_000, 30_000)
        with socket.socket() as candidate, contextlib.suppress(OSError):
            candidate.bind((address, port))
            return port


class Request:
    """A request that a stand-in has read."""

    def __init__(self, method, target, fields, body):
        self.method = method
        self.target = target
        self.fields = fields
        self.body = body

    def find(self, name):
        return self.fields.get(name)


async def read_head(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    fields = {}
    for line in lines:
        name, separator, text = line.partition(':')
        if separator:
            fields.setdefault(name.strip().lower(), text.strip())
    return first, fields


async def read_request(reader):
    first, fields = await read_head(reader)
    method, target, _ = first.split(' ', 2)
    body = await reader.readexactly(int(fields.get('content-length', 0)))
    return Request(method, target, fields, body)


def format_response(status, fields, body):
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {text}' for name, text in fields]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


class Server:
    """An HTTP/1.1 server with one handler for all its connections."""

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()
        self.address = ''

    async def start(self, address):
        port = find_port(address)
        self._server = await asyncio.start_server(
            self._serve, address, port, limit=1 << 22
        )
        self.address = f'{address}:{port}'

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if not await self._handle(request, reader, writer):
                    return
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    def reset_all(self):
        for writer in tuple(self._writers):
            reset(writer)

    def stop(self):
        self._server.close()
        for writer in tuple(self._writers):
            writer.close()


def reset(writer):
    raw_socket = writer.get_extra_info('socket')
    if raw_socket is not None and raw_socket.fileno() >= 0:
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


class Store:
    """The platform's store: keys, leases, watches and transactions.

    ``intercept``, if set, gets the caller's port, the path and the document
    of each writing call, and returns None or how the call goes: a number of
    seconds means that it is carried out so much later and not answered.
    """

    def __init__(self, record):
        self._record = record
        self.revision = 1
        self.items = {}
        self.events = []
        self.leases = {}
        self.intercept = None
        self.is_answering = lambda request, port: True
        self._next_lease = 1000
        self._changed = asyncio.Event()
        self.server = Server(self._handle)

    async def start(self, address):
        await self.server.start(address)

    def write(self, key, document, lease=0):
        """Write a key as the operator or a replica does."""
        content = document
        if not isinstance(document, bytes):
            content = json.dumps(document).encode()
        self.revision += 1
        created = self.items[key]['created'] if key in self.items else 0
        item = {
            'key': key,
            'data': base64.b64encode(content).decode(),
            'revision': self.revision,
            'created': created or self.revision,
            'lease_id': lease,
        }
        self.items[key] = item
        self.events.append(item)
        self._wake()
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.events.append(
            {'key': key, 'revision': self.revision, 'deleted': True}
        )
        self._wake()

    def list_keys(self, prefix):
        self._expire()
        return sorted(key for key in self.items if key.startswith(prefix))

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self):
        now_s = time.monotonic()
        for lease, (end_s, _) in tuple(self.leases.items()):
            if end_s <= now_s:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key, item in tuple(self.items.items()):
            if item['lease_id'] == lease:
                self._record.write(f'store: {key} is removed with its lease')
                self.remove(key)

    async def _handle(self, request, reader, writer):
        port = writer.get_extra_info('peername')[1]
        if not self.is_answering(request, port):
            await reader.read()
            return False
        path, _, query_text = request.target.partition('?')
        query = dict(urllib.parse.parse_qsl(query_text))
        document = json.loads(request.body or b'{}')
        if request.method != 'GET' and self.intercept is not None:
            delay_s = self.intercept(path, document)
            if delay_s is not None:
                asyncio.get_running_loop().call_later(
                    delay_s, self._apply, request.method, path, document
                )
                await reader.read()
                return False
        await asyncio.sleep(0.004)
        self._expire()
        if request.method == 'GET':
            status, answer = await self._read(path, query)
        else:
            status, answer = self._apply(request.method, path, document)
        writer.write(
            format_response(
                status,
                [('Content-Type', 'application/json')],
                json.dumps(answer).encode(),
            )
        )
        await writer.drain()
        return True

    async def _read(self, path, query):
        if path == '/api/kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {}
            return 200, {**item, 'at': self.revision}
        if path == '/api/kv-range':
            after = query.get('after', '')
            found = [
                self.items[key]
                for key in self.list_keys(query['path_prefix'])
                if key > after
            ]
            return 200, {
                'entries': found[:500],
                'has_more': len(found) > 500,
                'at': self.revision,
            }
        end_s = time.monotonic() + int(query['wait_ms']) / 1000
        after = int(query['after'])
        while True:
            self._expire()
            found = [
                event
                for event in self.events
                if event['revision'] > after
                and event['key'].startswith(query['path_prefix'])
            ]
            left_s = end_s - time.monotonic()
            if found or left_s <= 0:
                return 200, {'events': found, 'at': self.revision}
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), min(left_s, 0.05))

    def _apply(self, method, path, document):
        self._expire()
        name, _, number = path.removeprefix('/api/').partition('/')
        if name == 'kv-lease':
            lease = self._next_lease
            self._next_lease += 1
            ttl_s = document['ttl_ms'] / 1000
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {'lease_id': lease, 'ttl_ms': document['ttl_ms']}
        if name in {'kv-keep', 'kv-lease-end'}:
            lease = int(number)
            if lease not in self.leases:
                return 404, {}
            if name == 'kv-lease-end':
                self._end_lease(lease)
                return 200, {}
            ttl_s = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {'ttl_ms': ttl_s * 1000}
        return self._transact(document)

    def _transact(self, document):
        wrong = [
            row
            for row in document.get('expected_revision', ())
            if self.items.get(row['key'], {}).get('revision', 0)
            != row['revision']
        ]
        if wrong:
            return 412, {'entries': []}
        for item in document.get('write', ()):
            if item.get('lease_id', 0) not in {0, *self.leases}:
                self._record.write(
                    f'store: no lease {item["lease_id"]} for {item["key"]}'
                )
                return 404, {}
        for item in document.get('write', ()):
            lease = item.get('lease_id', 0)
            self.write(item['key'], base64.b64decode(item['data']), lease)
            self._record.write(
                f'store: {item["key"]} is written with lease {lease}'
            )
        for key in document.get('remove', ()):
            self.remove(key)
        return 200, {'revision': self.revision}


class Run:
    """One run of a request at a replica."""

    def __init__(self, request, replica, at_s):
        self.request_id = request.find('attempt-id')
        self.tenant = request.find('tenant')
        self.replica = replica
        self.at_s = at_s
        self.ended_s = None


class Replica:
    """A replica that streams events, or sends a plain body."""

    def __init__(self, name, record, runs, *, slots=20, work_s=0.02):
        self.name = name
        self.slots = slots
        self.work_s = work_s
        self.events = 3
        self.born = int(time.time() * 1000)
        self._record = record
        self._runs = runs
        self._running = 0
        self.server = Server(self.handle)

    def describe(self, service, **changes):
        return {
            'service': service,
            'address': self.server.address,
            'zone': 'a',
            'version': 'v1',
            'capacity': self.slots,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': 1,
            'born': self.born,
            **changes,
        }

    async def handle(self, request, reader, writer):
        expected = request.find('expect-instance')
        if expected not in {None, self.name}:
            writer.write(
                format_response(421, [('Instance-Id', self.name)], b'')
            )
            return True
        request_id = request.find('attempt-id')
        if self._running >= self.slots * 3:
            writer.write(
                format_response(
                    503,
                    [('Attempt-Id', request_id), ('Not-Executed', '1')],
                    b'',
                )
            )
            return True
        run = Run(request, self.name, self._record.now_s())
        self._runs.append(run)
        self._record.write(f'{self.name} runs {request_id}')
        self._running += 1
        try:
            return await self.run(request, run, reader, writer)
        finally:
            self._running -= 1
            run.ended_s = self._record.now_s()

    def list_fields(self, request):
        return [
            ('Attempt-Id', request.find('attempt-id')),
            ('Response-Seal', f'seal-{self.name}'),
            ('Server-Load', f'{self._running},0,{self.slots},100'),
        ]

    async def run(self, request, run, reader, writer):
        await asyncio.sleep(self.work_s)
        body = f'{self.name} ran {run.request_id}'.encode()
        writer.write(format_response(200, self.list_fields(request), body))
        await writer.drain()
        return True


class Program:
    """The deployed program as a process of its own."""

    def __init__(self, name, store_address, record, folder, **bounds):
        self.name = name
        self._record = record
        self._folder = folder
        network = random.randrange(2, 250)
        self.ip = f'127.{network}.{random.randrange(250)}.{1 + len(name)}'
        self.front = f'{self.ip}:{find_port(self.ip)}'
        self.ready = f'{self.ip}:{find_port(self.ip)}'
        self._fields = {
            'node_name': name,
            'zone': 'zone-a',
            'ip': self.ip,
            'listen.frontend': self.front,
            'listen.ready': self.ready,
            'port_range.0': '7600',
            'platform.address': store_address,
            'limits.cpu_share': '0.537',
            'limits.cores': '2',
            **{f'bounds.{key}': str(text) for key, text in BOUNDS.items()},
        }
        self.process = None
        self.is_in_rotation = True
        self.log = folder / f'{name}.log'

    def start(self):
        template = (ROOT / 'deploy/instance.env').read_text(encoding='utf-8')
        settings = re.sub(
            r'{{([a-z0-9_.]+)}}',
            lambda match: self._fields[match.group(1)],
            template,
        )
        path = self._folder / f'{self.name}.env'
        path.write_text(settings, encoding='utf-8')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['LAVENDERLEDGE_NODE_FILE'] = str(path)
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                read_command(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self._record.write(f'{self.name} is started')

    def send_signal(self, number):
        self._record.write(f'{self.name} gets {signal.Signals(number).name}')
        self.process.send_signal(number)

    async def wait(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.01)
        self._record.write(f'{self.name} ended: {self.process.returncode}')

    async def wait_until_ready(self):
        end_s = time.monotonic() + STARTUP_TIMEOUT_S
        while time.monotonic() < end_s:
            if await is_ready(self.ready):
                self._record.write(f'{self.name} is ready')
                return
            if self.process.poll() is not None:
                break
            await asyncio.sleep(0.05)
        raise CannotRunError(f'{self.name} does not become ready')

    def read_allocator(self):
        """Return the allocator of the last request in the log."""
        found = re.findall(
            r' allocator=(\S+)', self.log.read_text(encoding='utf-8')
        )
        return found[-1] if found else None

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class CannotRunError(Exception):
    """The case can't run here."""


# Those of the deployments' sheet.
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


def read_command():
    text = (ROOT / 'deploy/system.toml').read_text(encoding='utf-8')
    return re.search(r'^run = "(.*)"$', text, re.MULTILINE).group(1).split()


async def is_ready(address):
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b'GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n')
            first, _ = await read_head(reader)
            writer.close()
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return False
    return first.split(' ')[1] == '200'


class Answer:
    """What a client got: status 0 means no answer."""

    def __init__(self, status, fields, body, *, is_complete):
        self.status = status
        self.fields = fields
        self.body = body
        self.is_complete = is_complete


async def read_answer(reader):
    first, fields = await read_head(reader)
    status = int(first.split(' ')[1])
    body = b''
    try:
        if fields.get('transfer-encoding') == 'chunked':
            while True:
                size = int(await reader.readuntil(b'\r\n'), 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if not size:
                    break
        else:
            body = await reader.readexactly(
                int(fields.get('content-length', 0))
            )
    except (OSError, asyncio.IncompleteReadError):
        return Answer(status, fields, body, is_complete=False)
    return Answer(status, fields, body, is_complete=True)


def format_client_request(path, request_id, *, fields=(), body=b'{}', **more):
    pairs = {
        'Host': HOST,
        'Attempt-Id': request_id,
        'Content-Length': str(len(body)),
        **dict(fields),
        **more,
    }
    lines = [f'POST {path} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in pairs.items()]
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


async def send(address, data):
    """Send a request on a new connection and return its answer."""
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        return await read_answer(reader)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return Answer(0, {}, b'', is_complete=False)
    finally:
        if writer is not None:
            writer.close()


def make_route(name, route_type, service, **changes):
    return {
        'name': name,
        'hostname': HOST,
        'path_prefix': f'/{name}/',
        'route_type': route_type,
        'timeout_ms': 10000,
        'slo_ms': 600,
        'priority': 0,
        'service': service,
        'max_attempts': 1,
        'public': False,
        'session_affinity': False,
        'resumable': False,
        'itl_target_ms': 300,
        **changes,
    }


def make_configuration(version, routes, tenants):
    names = sorted({route['service'] for route in routes})
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'health_path': '/healthz',
                'max_connections': 370,
                'protocol': 'h1',
                'tls': False,
            }
            for name in names
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': tenants,
    }


def main(folder, run_case):
    """Run a case: exit with 1 if the rule was broken, 2 if it can't run."""
    if not (ROOT / 'target/deps').is_dir():
        sys.stderr.write('target/deps is missing: run the build first\n')
        sys.exit(2)
    record = Record(pathlib.Path(folder) / 'record.txt')
    try:
        is_broken = asyncio.run(run_case(record))
    except Exception:
        record.write(f'cannot run: {traceback.format_exc()}')
        traceback.print_exc()
        sys.exit(2)
    finally:
        record.close()
    sys.exit(1 if is_broken else 0)
