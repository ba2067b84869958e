"""Stand-ins for the cases of the third review: store, replicas, clients.

They follow the users' pages and use the standard library only. The programs of
the deploy file are started as processes of their own, one loopback address each.
"""

import asyncio
import base64
import collections
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = 'shop.example'
KEY = 'key-1'
CONTACT_S = 3.0
# The fields of a small deployment (akwaaba-loop) that the template asks for.
FIELDS = {
    'zone': 'zone-a',
    'bounds.grace_s': '8',
    'bounds.revoke_ms': '5000',
    'bounds.config_apply_ms': '2000',
    'bounds.drain_ms': '2000',
    'bounds.retry_budget_ratio': '0.2',
    'bounds.retry_window_s': '10',
    'bounds.retry_slack': '58',
    'bounds.quota_window_s': '8',
    'bounds.quota_overrun': '0.1',
    'bounds.quota_slack': '190000',
    'limits.cpu_share': '0.537',
    'limits.cores': '2',
    'limits.memory_mb': '300',
    'contracts': 'base,drain,config,cost,retry,recover,engine,stream,tenants,'
    'quota,platform',
}
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self.started_s = time.monotonic()

    def now(self):
        return time.monotonic() - self.started_s

    def note(self, event, *words):
        line = ' '.join(str(word) for word in words)
        self._file.write(f'{self.now():8.3f} {event} {line}\n')
        self._file.flush()


def find_port(address='127.0.0.1'):
    """Return a free port outside the range for outgoing connections."""
    rng = random.SystemRandom()
    while True:
        port = rng.randrange(10000, 32000)
        with socket.socket() as candidate:
            try:
                candidate.bind((address, port))
            except OSError:
                continue
            return port


class Message:
    """A request or the head of a response."""

    def __init__(self, first_line, pairs):
        self.words = first_line.split(' ', 2)
        self.fields = {}
        for name, text in pairs:
            self.fields.setdefault(name, text)
        self.body = b''


async def read_head(reader):
    data = await reader.readuntil(b'\r\n\r\n')
    first, *lines = data[:-4].decode('latin-1').split('\r\n')
    pairs = []
    for line in lines:
        name, _, text = line.partition(':')
        pairs.append((name.strip().lower(), text.strip()))
    return Message(first, pairs)


async def read_chunks(reader):
    body = b''
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        body += (await reader.readexactly(size + 2))[:size]
        if not size:
            return body


async def read_message(reader):
    message = await read_head(reader)
    if 'transfer-encoding' in message.fields:
        message.body = await read_chunks(reader)
    elif 'content-length' in message.fields:
        size = int(message.fields['content-length'])
        message.body = await reader.readexactly(size)
    return message


class Server:
    """A stand-in that serves one request at a time on each connection."""

    def __init__(self):
        self.port = 0
        self._server = None
        self._tasks = {}

    async def listen(self):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port, limit=1 << 23
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        """Stop listening, and reset all connections."""
        self._server.close()
        for task, writer in tuple(self._tasks.items()):
            writer.transport.abort()
            task.cancel()

    async def answer(self, request, writer):
        raise NotImplementedError

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks[task] = writer
        try:
            while True:
                request = await read_message(reader)
                await self.answer(request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.pop(task, None)
            writer.close()


def build_response(status, fields, body):
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {text}' for name, text in fields]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Store(Server):
    """The platform's key-value service."""

    def __init__(self):
        super().__init__()
        self._revision = 1
        self._keys = {}
        self._events = []
        self._leases = {}
        self._next_lease = 100
        self._changed = asyncio.Event()

    async def run(self):
        """End leases that are over."""
        while True:
            await asyncio.sleep(0.05)
            now_s = time.monotonic()
            for lease, (end_s, _) in tuple(self._leases.items()):
                if end_s <= now_s:
                    self._end_lease(lease)

    def write(self, key, document):
        """Write a key as the operator or a replica does."""
        self._put(key, json.dumps(document).encode(), 0)

    def delete(self, key):
        if self._keys.pop(key, None) is None:
            return
        self._revision += 1
        self._append(
            {'key': key, 'revision': self._revision, 'deleted': True}
        )

    async def answer(self, request, writer):
        path, _, query = request.words[1].partition('?')
        query = dict(urllib.parse.parse_qsl(query))
        status, document = await self._respond(path, query, request.body)
        writer.write(
            build_response(
                status,
                [('Content-Type', 'application/json')],
                json.dumps(document).encode(),
            )
        )

    async def _respond(self, path, query, body):
        call, _, last = path.removeprefix('/api/').partition('/')
        if call == 'kv-key':
            key = query['key']
            if key not in self._keys:
                return 404, {}
            return 200, {**self._describe(key), 'at': self._revision}
        if call == 'kv-range':
            keys = sorted(
                key
                for key in self._keys
                if key.startswith(query['path_prefix'])
                and key > query.get('after', '')
            )
            return 200, {
                'entries': [self._describe(key) for key in keys[:500]],
                'has_more': len(keys) > 500,
                'at': self._revision,
            }
        if call == 'kv-watch':
            return await self._watch(query)
        document = json.loads(body or b'{}')
        if call == 'kv-lease':
            self._next_lease += 1
            ttl_ms = min(max(document['ttl_ms'], 1000), 600_000)
            return 200, self._renew(self._next_lease, ttl_ms)
        if call == 'kv-keep':
            lease = int(last)
            if lease not in self._leases:
                return 404, {}
            return 200, self._renew(lease, self._leases[lease][1])
        if call == 'kv-lease-end':
            self._end_lease(int(last))
            return 200, {}
        if call == 'kv-txn':
            return self._transact(document)
        return 404, {}

    def _renew(self, lease, ttl_ms):
        self._leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        return {'lease_id': lease, 'ttl_ms': ttl_ms}

    async def _watch(self, query):
        end_s = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            changed = self._changed
            events = [
                event
                for event in self._events
                if event['revision'] > int(query['after'])
                and event['key'].startswith(query['path_prefix'])
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'at': self._revision}
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass

    def _transact(self, document):
        for row in document.get('expected_revision') or ():
            present = self._keys.get(row['key'])
            if (present[1] if present else 0) != row['revision']:
                return 412, {'entries': []}
        writes = document.get('write') or ()
        for item in writes:
            if item['key'].startswith(('op/', 'servers/')):
                return 403, {}
            if item.get('lease_id') and item['lease_id'] not in self._leases:
                return 404, {}
        for item in writes:
            content = base64.b64decode(item['data'])
            self._put(item['key'], content, item.get('lease_id') or 0)
        for key in document.get('remove') or ():
            self.delete(key)
        return 200, {'revision': self._revision}

    def _put(self, key, content, lease):
        self._revision += 1
        created = self._keys[key][2] if key in self._keys else self._revision
        self._keys[key] = (content, self._revision, created, lease)
        self._append(self._describe(key))

    def _append(self, event):
        self._events.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _describe(self, key):
        content, revision, created, lease = self._keys[key]
        return {
            'key': key,
            'data': base64.b64encode(content).decode(),
            'revision': revision,
            'created': created,
            'lease_id': lease,
        }

    def _end_lease(self, lease):
        self._leases.pop(lease, None)
        for key, (_, _, _, key_lease) in tuple(self._keys.items()):
            if key_lease == lease:
                self.delete(key)


class Replica(Server):
    """A replica that crashes when it begins to run a deadly request.

    It resets its connections, and is back after ``DOWN_S`` under its id, as a
    new incarnation. With ``writes_first``, it writes the first event of the
    answer before. Other requests get a whole answer after ``work_s``.
    """

    DOWN_S = 2.5

    def __init__(
        self,
        name,
        *,
        service,
        store,
        record,
        is_deadly,
        work_s=0.02,
        writes_first=False,
    ):
        super().__init__()
        self.name = name
        self.crashes_s = []
        self.deadly_runs = 0
        self._service = service
        self._store = store
        self._record = record
        self._is_deadly = is_deadly
        self._work_s = work_s
        self._writes_first = writes_first
        self._running = 0
        self._back = None

    async def start(self):
        await self.listen()
        self._store.write(
            f'servers/{self.name}',
            {
                'service': self._service,
                'address': f'127.0.0.1:{self.port}',
                'zone': 'zone-a',
                'version': 'v1',
                'capacity': 6,
                'state': 'ready',
                'cold_remaining_ms': 0,
                'sequence': 1,
                'born': int(time.time() * 1000),
            },
        )

    async def answer(self, request, writer):
        request_id = request.fields.get('attempt-id', '')
        echoed = [('Attempt-Id', request_id)]
        if request.fields.get('expect-instance') != self.name:
            echoed.append(('Not-Executed', '1'))
            writer.write(build_response(421, echoed, b''))
            return
        self._record.note('runs', request_id, self.name)
        fields = [
            *echoed,
            ('Response-Seal', f'{self.name}.{request_id}'),
            ('Server-Load', f'{self._running},0,6,100'),
        ]
        if self._is_deadly(request):
            self.deadly_runs += 1
            if self._writes_first:
                self._begin_stream(writer, fields)
                self._write_event(writer, 1)
                await writer.drain()
                await asyncio.sleep(0.02)
            if self._back is not None and not self._back.done():
                # Another request has crashed it meanwhile.
                return
            self._record.note('crash', self.name, 'by', request_id)
            self.crashes_s.append(self._record.now())
            self.stop()
            self._back = asyncio.create_task(self._come_back())
            return
        self._running += 1
        try:
            await asyncio.sleep(self._work_s)
        finally:
            self._running -= 1
        if request.fields.get('model') is None:
            writer.write(build_response(200, fields, b'done'))
            return
        self._begin_stream(writer, fields)
        for number in range(1, 4):
            self._write_event(writer, number)
        writer.write(b'0\r\n\r\n')

    def _begin_stream(self, writer, fields):
        lines = ['HTTP/1.1 200 OK', *(f'{name}: {text}' for name, text in fields)]
        lines += ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked']
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')

    def _write_event(self, writer, number):
        event = b'id: %d\ndata: x\n\n' % number
        writer.write(b'%x\r\n%b\r\n' % (len(event), event))

    async def _come_back(self):
        await asyncio.sleep(self.DOWN_S)
        await self.start()
        self._record.note('back', self.name)


def make_route(name, route_type, service, **changes):
    return {
        'name': name,
        'hostname': HOST,
        'path_prefix': f'/{name}/',
        'route_type': route_type,
        'timeout_ms': 5000,
        'slo_ms': 600,
        'priority': 1,
        'service': service,
        'max_attempts': 1,
        'public': False,
        'session_affinity': route_type == 'streaming',
        'resumable': False,
        'itl_target_ms': 300,
        **changes,
    }


def make_configuration(routes, services):
    return {
        'version': 1,
        'routes': routes,
        'services': [
            {
                'name': name,
                'health_path': '/healthz',
                'max_connections': 110,
                'protocol': 'h1',
                'tls': False,
            }
            for name in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [
            {
                'name': 'tenant-1',
                'api_keys': [KEY],
                'priority': 1,
                'unit': 'tokens',
                'uncached_tokens': 200,
                'rate_per_s': 0,
                'burst': 0,
            }
        ],
    }


class Instance:
    """One deployed program, with its settings as the platform fills them in."""

    def __init__(self, name, address, *, store, folder):
        self.name = name
        self.address = address
        self.port = find_port(address)
        self._ready_port = find_port(address)
        self._log = open(folder / f'{name}.log', 'ab')
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['entry']
        self._command = role['run'].split(' ')
        fields = {
            **FIELDS,
            'node_name': name,
            'ip': address,
            'listen.frontend': f'{address}:{self.port}',
            'listen.ready': f'{address}:{self._ready_port}',
            'port_range.0': str(find_port(address)),
            'platform.address': f'127.0.0.1:{store.port}',
        }
        template = (ROOT / role['template']).read_text()
        # The metrics port is fixed in the template; another run may have it.
        template = template.replace('{{ip}}:7610', f'{address}:{find_port(address)}')
        self._settings = folder / f'{name}.env'
        self._settings.write_text(
            re.sub(
                r'\{\{([^}]*)\}\}',
                lambda match: fields.get(match.group(1), ''),
                template,
            )
        )
        self.process = None

    def start(self):
        kept = ('PATH', 'HOME', 'LANG')
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env['LAVENDERLEDGE_NODE_FILE'] = str(self._settings)
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        self.process = subprocess.Popen(
            self._command,
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    async def wait_until_ready(self, timeout_s=15):
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            try:
                reader, writer = await asyncio.open_connection(
                    self.address, self._ready_port
                )
                writer.write(b'GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n')
                response = await read_head(reader)
                writer.close()
            except (OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.05)
                continue
            if response.words[1] == '200':
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f'{self.name} is not ready')


class Fleet:
    """The store, replicas and instances of one case."""

    def __init__(self, record):
        self.record = record
        self.store = Store()
        self.replicas = []
        self.instances = []
        self.answers = collections.Counter()
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self._sweeper = None
        self._ids = 0

    async def start(self, *, instances, replicas, service, routes, **options):
        await self.store.listen()
        self._sweeper = asyncio.create_task(self.store.run())
        self.store.write('op/config', make_configuration(routes, [service]))
        for number in range(replicas):
            replica = Replica(
                f'i-{number}',
                service=service,
                store=self.store,
                record=self.record,
                **options,
            )
            await replica.start()
            self.replicas.append(replica)
        for number in range(instances):
            instance = Instance(
                f'edge-{number}',
                f'127.0.1.{number + 1}',
                store=self.store,
                folder=self._folder,
            )
            instance.start()
            self.instances.append(instance)
        await self.wait_until_ready()

    async def wait_until_ready(self):
        await asyncio.gather(
            *(instance.wait_until_ready() for instance in self.instances)
        )

    def stop(self):
        for instance in self.instances:
            instance.kill()
        if os.environ.get('KEEP_LOGS'):
            print('logs:', self._folder, file=sys.stderr)
        else:
            shutil.rmtree(self._folder, ignore_errors=True)

    def list_crashes_s(self):
        return sorted(
            crash_s for replica in self.replicas for crash_s in replica.crashes_s
        )

    async def send(self, kind, instance, path, fields=(), body=b'', timeout_s=6):
        """Send a request on a new connection; return its status, 0 if none."""
        self._ids += 1
        request_id = f'{kind}-{self._ids}'
        lines = [
            f'POST {path} HTTP/1.1',
            f'Host: {HOST}',
            f'Attempt-Id: {request_id}',
            'Deadline-Ms: 4000',
            f'Authorization: Bearer {KEY}',
            *(f'{name}: {text}' for name, text in fields),
            f'Content-Length: {len(body)}',
        ]
        self.record.note('sends', request_id, 'to', instance.name, path)
        status = 0
        writer = None
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(
                    instance.address, instance.port
                )
                writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
                response = await read_message(reader)
                status = int(response.words[1])
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self.record.note('fails', request_id, type(error).__name__)
        finally:
            if writer is not None:
                writer.close()
        self.record.note('answered', request_id, status)
        self.answers[kind, status] += 1
        return status


def run_case(play, folder):
    """Play a case and end with 0, 1 or 2; ``play`` returns what broke."""
    record = Record(pathlib.Path(folder) / 'record.txt')

    async def main():
        fleet = Fleet(record)
        try:
            async with asyncio.timeout(110):
                return await play(fleet)
        finally:
            for pair, count in sorted(fleet.answers.items()):
                record.note('total', *pair, count)
            fleet.stop()

    try:
        broken = asyncio.run(main())
    except (CannotRun, OSError, TimeoutError) as error:
        record.note('cannot run', repr(error))
        print('could not run:', repr(error))
        sys.exit(2)
    record.note('result', broken or 'the rule held')
    print(broken or 'the rule held')
    sys.exit(1 if broken else 0)
