"""One instance's data path between raw sockets, without allocator and store.

Slots are granted at once, so that thousands of broken answers can be tried.
"""

import asyncio
import contextlib
import itertools
import json
import typing

import expression

from lavenderledge import clock as clocks
from lavenderledge.controllers import caches, slotrequester
from lavenderledge.daemon import metrics
from lavenderledge.http1 import bounds as limits
from lavenderledge.http1 import client, heldbytes, listener
from lavenderledge.platform import __main__ as program
from lavenderledge.policy import retrybudget
from lavenderledge.proxy import exchange, forwarding, shedding
from tests import platformfleet, rawreplica

_READ_BYTES = 65536
BOUNDS = limits.Bounds(16384, 65536, 5, 5)


class Answer(typing.NamedTuple):
    """What a replica sends, and how its connection ends.

    Endings: ``close``, ``reset``, ``half_close`` (sends no more, but stays),
    ``silence`` (the connection stays), ``keep`` (waits for another request).
    """

    data: bytes
    ending: str


class Replica:
    """Answers requests with ``build(request_id, last_event_id, number)``.

    ``number`` counts the requests on a connection from 0.
    """

    def __init__(self, build):
        self.build = build
        self.heads = []
        self.port = 0
        self._serving = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        self._server.close()
        for task in self._serving:
            task.cancel()
        await asyncio.gather(*self._serving, return_exceptions=True)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._serving.add(task)
        try:
            await self._answer_all(reader, writer)
        finally:
            self._serving.discard(task)
            writer.close()

    async def _answer_all(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            for number in itertools.count():
                answer = await self._answer(reader, number)
                writer.write(answer.data)
                await writer.drain()
                if answer.ending != 'keep':
                    break
            if answer.ending == 'half_close':
                writer.write_eof()
            if answer.ending in {'half_close', 'silence'}:
                await reader.read()
            if answer.ending == 'reset':
                # The data arrives before the reset.
                await asyncio.sleep(0.002)
                rawreplica.reset(writer)

    async def _answer(self, reader, number):
        head = await reader.readuntil(b'\r\n\r\n')
        self.heads.append(head)
        fields = dict(
            line.lower().split(b': ', 1)
            for line in head.split(b'\r\n')[1:]
            if line
        )
        await reader.readexactly(int(fields.get(b'content-length', b'0')))
        return self.build(
            fields[b'attempt-id'],
            int(fields.get(b'last-event-id', b'0')),
            number,
        )


class GrantingRequester:
    """Grants a slot at the first replica that a request has not tried."""

    def __init__(self, replicas, clock):
        self.allocator = 'a'
        self._replicas = replicas
        self._clock = clock

    def name_slot(self, request_id):
        return request_id

    async def acquire(self, spec):
        now_s = self._clock.read_monotonic()
        for name, replica in self._replicas.items():
            if name not in spec.excluded:
                address = f'127.0.0.1:{replica.port}'
                return expression.Ok(
                    slotrequester.Slot(name, address, now_s, now_s)
                )
        return expression.Error(slotrequester.Refusal('unavailable', 1))

    def release(self, request_id, *, reading):
        """Ignore a released slot."""

    def find_quarantine_s(self, service, parts):
        return 0

    def find_request_quarantine_s(self, digest):
        return 0

    def note_answered(self, digest):
        """Ignore an answer."""

    def note_notice(self, upstream, notice):
        """Ignore what a replica says of itself."""

    def must_avoid(self, upstream):
        return False

    def note_lost(self, run):
        """Ignore a lost run."""


class Instance:
    """Serves callers from raw replicas; ``pool`` has their connections.

    ``limit_bytes`` is the limit of its account, 0 for none.
    """

    def __init__(self, replicas, *, clock=None, limit_bytes=0, bounds=BOUNDS):
        clock = clock or clocks.SystemClock()
        self.replicas = replicas
        self.account = heldbytes.Account(limit_bytes=limit_bytes)
        self.pool = client.ConnectionPool(
            clock=clock,
            count=lambda *args, **labels: None,
            account=self.account,
        )
        self.errors = []
        self.requester = GrantingRequester(replicas, clock)
        self.metrics = metrics.Metrics()
        forwarder = forwarding.Forwarder(deps=self._build(clock))
        self._listener = listener.Listener(
            handle=forwarder.serve,
            clock=clock,
            bounds=bounds,
            note_fault=lambda status: None,
            note_error=self.errors.append,
            account=self.account,
            inspect=forwarder.inspect,
        )
        self.shedder = shedding.Shedder(
            instance='a',
            account=self.account,
            callers=self._listener,
            forwarder=forwarder,
            metrics=self.metrics,
        )
        self.shedder.start()

    async def start(self):
        for replica in self.replicas.values():
            await replica.start()
        await self._listener.listen('127.0.0.1', 0)

    def sweep(self):
        """Do what an instance does twice a second."""
        self._listener.enforce_timeouts()
        self.shedder.sweep()

    async def stop(self):
        self._listener.stop()
        self.pool.close()
        for replica in self.replicas.values():
            await replica.stop()

    async def connect(self, **options):
        return await asyncio.open_connection(
            '127.0.0.1', self._listener.port, **options
        )

    def _build(self, clock):
        async def confirm_replica(name, listed_s):
            return True

        configuration = caches.ConfigurationCache(clock=clock)
        parsed = program.PLATFORM.read_configuration(
            json.dumps(platformfleet.make_configuration()).encode()
        )
        configuration.accept(parsed.ok, clock.read_monotonic())
        return exchange.Dependencies(
            header_codec=program.PLATFORM.header_codec,
            clock=clock,
            configuration=configuration,
            requester=self.requester,
            pool=self.pool,
            metrics=self.metrics,
            age_limits=exchange.AgeLimits(1e6, 1e6),
            budgets=retrybudget.RetryBudgets(
                budget=retrybudget.Budget(10, 1e6, 10)
            ),
            confirm_replica=confirm_replica,
            count_instances=lambda: 1,
        )


class Received(typing.NamedTuple):
    """What a caller received; ``is_complete`` as its framing says."""

    status: int
    fields: dict
    body: bytes
    is_complete: bool
    rest: bytes


def build_request(
    path,
    *,
    method=b'POST',
    version=b'1.1',
    deadline_ms=3000,
    request_id=b'r-0',
    framing=b'Content-Length: 0',
):
    """Return the bytes of a request's head."""
    return b'\r\n'.join(
        (
            b'%b %b HTTP/%b' % (method, path.encode(), version),
            b'Host: ' + platformfleet.HOST.encode(),
            b'Attempt-Id: ' + request_id,
            b'Deadline-Ms: %d' % deadline_ms,
            b'Authorization: Bearer ' + platformfleet.KEY.encode(),
            framing,
            b'',
            b'',
        )
    )


async def receive(reader, *, method=b'POST', version=b'1.1', timeout_s=5):
    """Read one answer as a strict HTTP client does.

    An answer that ends with its connection is complete if that was closed in
    an orderly way. Callers of HTTP/1.0 don't know chunks.
    """
    options = {'method': method, 'knows_chunks': version != b'1.0'}
    data = b''
    is_reset = False
    async with asyncio.timeout(timeout_s):
        while True:
            parsed = parse(data, **options)
            if parsed.is_complete:
                return parsed
            try:
                part = await reader.read(_READ_BYTES)
            except ConnectionError:
                is_reset = True
                break
            if not part:
                break
            data += part
    return parse(data, is_closed=not is_reset, **options)


def parse(data, *, method=b'POST', knows_chunks=True, is_closed=False):
    """Parse an answer that may be incomplete; status 0 is no answer."""
    head, end, body = data.partition(b'\r\n\r\n')
    if not end:
        return Received(0, {}, b'', False, b'')
    lines = head.split(b'\r\n')
    status = int(lines[0].split(b' ')[1])
    fields = {
        name.lower(): text
        for name, _, text in (line.partition(b': ') for line in lines[1:])
    }
    if method == b'HEAD' or status in {204, 304}:
        return Received(status, fields, b'', True, body)
    if knows_chunks and fields.get(b'transfer-encoding') == b'chunked':
        return _parse_chunks(status, fields, body)
    if b'content-length' in fields:
        size = int(fields[b'content-length'])
        whole = len(body) >= size
        return Received(status, fields, body[:size], whole, body[size:])
    return Received(status, fields, body, is_closed, b'')


def _parse_chunks(status, fields, rest):
    parts = []
    at = 0
    while True:
        end = rest.find(b'\r\n', at)
        if end < 0:
            return Received(status, fields, b''.join(parts), False, b'')
        size = int(rest[at:end], 16)
        start = end + 2
        at = start + size + 2
        parts.append(rest[start : start + size])
        if at > len(rest) or not size:
            is_complete = at <= len(rest)
            body = b''.join(parts)
            return Received(status, fields, body, is_complete, rest[at:])


@contextlib.asynccontextmanager
async def running(*replicas, **options):
    """Run an instance with replicas ``i-0`` and so on."""
    instance = Instance(
        {f'i-{number}': replica for number, replica in enumerate(replicas)},
        **options,
    )
    await instance.start()
    try:
        yield instance
    finally:
        await instance.stop()
    assert not instance.errors
