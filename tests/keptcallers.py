"""Callers that reuse their connections, and what each request came to."""

import asyncio
import contextlib
import random
import re
import typing

from tests import operatorversions, platformfleet, rawreplica, singleinstance

READ_BYTES = 65536
CONNECT_S = 1.0
# A caller waits for this long after its request's time.
PATIENCE_S = 1.0
MAX_RETRY_S = 0.5
# Of the idle limit, callers use so much.
IDLE_RATIO = 0.8
DEADLINES_MS = (2500, 4000, 4000, 6000)
KEEP_ALIVE = re.compile(rb'timeout=(\d+)')


class Kept(typing.NamedTuple):
    """An open connection that is idle since ``since_s``."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    instance: str
    since_s: float
    keep_s: float


class Sent(typing.NamedTuple):
    """A request; ``sent_s`` is the time of its last byte."""

    request_id: str
    path: str
    key: str
    instance: str
    is_reused: bool
    deadline_s: float
    begun_s: float
    sent_s: float
    last_id: int
    leaves: bool


class Outcome(typing.NamedTuple):
    """What a request came to.

    ``ending``: ``complete``, ``closed``, ``reset``, or ``none`` if the caller
    left, or there was no end after the request's time.
    """

    sent: Sent
    received: singleinstance.Received
    ending: str
    ended_s: float


class Caller:
    """Sends one request at a time.

    ``platform`` lists the instances for new connections, has the operator and
    counts requests.
    """

    def __init__(self, platform, number):
        self.outcomes = []
        self._platform = platform
        self._name = f'c{number}'
        self._rng = random.Random(f'{platform.seed} caller {number}')
        self._kept = []

    async def run(self):
        """Send requests until the platform says that the play is over."""
        while not self._platform.is_over:
            await asyncio.sleep(self._draw_pause_s())
            await self._ask()
        for kept in self._kept:
            kept.writer.close()

    def _draw_pause_s(self):
        """Return a short pause, or one up to what the idle limit allows."""
        if self._rng.random() < 0.8:
            return self._rng.uniform(0, 0.1)
        return self._read_idle_s() * self._rng.uniform(0.6, 1)

    def _read_idle_s(self):
        limits = self._platform.operator.newest['limits']
        return limits['idle_timeout_ms'] / 1000 * IDLE_RATIO

    def _take_kept(self):
        now_s = self._platform.now()
        while self._kept:
            kept = self._kept.pop()
            idle_s = now_s - kept.since_s
            is_usable = idle_s <= min(self._read_idle_s(), kept.keep_s)
            if is_usable and not kept.reader.at_eof():
                return kept
            kept.writer.close()
        return None

    async def _connect(self):
        instance = self._rng.choice(self._platform.list_open())
        port = self._platform.fleet.instance_ports[instance][0].port
        try:
            async with asyncio.timeout(CONNECT_S):
                pair = await asyncio.open_connection('127.0.0.1', port)
        except (OSError, TimeoutError):
            return None
        return Kept(*pair, instance, 0, 0)

    async def _ask(self):
        is_new = self._rng.random() < 0.15
        reused = None if is_new else self._take_kept()
        connection = reused or await self._connect()
        if connection is None:
            return
        path, key = self._choose_request()
        request_id = f'{self._platform.seed}-{self._name}-{len(self.outcomes)}'
        deadline_ms = self._rng.choice(DEADLINES_MS)
        closes = self._rng.random() < 0.05
        last_id = self._draw_last_id(path)
        fields = [
            f'Attempt-Id: {request_id}',
            f'Deadline-Ms: {deadline_ms}',
            f'Authorization: Bearer {key}',
            *([f'Last-Event-Id: {last_id}'] if last_id else ()),
            *(['Connection: close'] if closes else ()),
        ]
        begun_s = self._platform.now()
        parts = self._build(path, fields)
        # A write to a connection that was closed meanwhile isn't a request.
        with contextlib.suppress(ConnectionError):
            await self._write(connection.writer, parts)
        sent = Sent(
            request_id,
            path,
            key,
            connection.instance,
            reused is not None,
            deadline_ms / 1000,
            begun_s,
            self._platform.now(),
            last_id,
            self._rng.random() < 0.03,
        )
        outcome = await self._receive(connection.reader, sent)
        self.outcomes.append(outcome)
        self._keep(connection, outcome, closes)
        await asyncio.sleep(self._read_retry_s(outcome.received))

    def _read_retry_s(self, received):
        """Return how long to wait after a refusal; some callers do not."""
        text = received.fields.get(b'retry-after')
        if text is None or self._rng.random() < 0.3:
            return 0
        return min(float(text), MAX_RETRY_S)

    def _choose_request(self):
        """Choose mostly among what the newest version allows."""
        if self._rng.random() < 0.85:
            newest = self._platform.operator.newest
            name = self._rng.choice(newest['routes'])['name']
            key = self._rng.choice(newest['tenants'][0]['api_keys'])
        else:
            name = self._rng.choice(tuple(operatorversions.ROUTES))
            key = self._rng.choice(operatorversions.KEYS)
        return f'/{name}/x', key

    def _draw_last_id(self, path):
        """Return the event after which the caller resumes, 0 for none."""
        if path.startswith('/stream/') and self._rng.random() < 0.2:
            return self._rng.randint(1, 5)
        return 0

    def _build(self, path, fields):
        """Return the request in the parts in which it is sent."""
        body = b'b' * self._rng.choice((0, 5, 1000))
        head = f'POST {path} HTTP/1.1\r\nHost: {platformfleet.HOST}\r\n'
        head += ''.join(f'{field}\r\n' for field in fields)
        if self._rng.random() < 0.3 and body:
            head += 'Transfer-Encoding: chunked\r\n\r\n'
            body = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
        else:
            head += f'Content-Length: {len(body)}\r\n\r\n'
        whole = head.encode() + body
        if self._rng.random() < 0.8:
            return (whole,)
        middle = self._rng.randrange(1, len(whole))
        return (whole[:middle], whole[middle:])

    async def _write(self, writer, parts):
        """Send the parts, within the time that the limits allow."""
        for part in parts[:-1]:
            writer.write(part)
            limits = self._platform.operator.newest['limits']
            limit_s = limits['header_timeout_ms'] / 1000
            await asyncio.sleep(limit_s * self._rng.uniform(0, 0.6))
        writer.write(parts[-1])
        await writer.drain()

    async def _receive(self, reader, sent):
        data = b''
        ending = 'none'
        received = singleinstance.parse(data)
        end_s = sent.sent_s + sent.deadline_s + PATIENCE_S
        if sent.leaves:
            end_s = sent.sent_s + self._rng.uniform(0, 1)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(end_s):
                while ending == 'none':
                    try:
                        part = await reader.read(READ_BYTES)
                    except ConnectionError:
                        ending = 'reset'
                        break
                    data += part
                    received = singleinstance.parse(data, is_closed=not part)
                    if received.is_complete:
                        ending = 'complete'
                    elif not part:
                        ending = 'closed'
        return Outcome(sent, received, ending, self._platform.now())

    def _keep(self, connection, outcome, closes):
        fields = outcome.received.fields
        says_close = fields.get(b'connection', b'').lower() == b'close'
        if outcome.ending != 'complete' or says_close or closes:
            rawreplica.reset(connection.writer)
            return
        found = KEEP_ALIVE.search(fields.get(b'keep-alive', b''))
        keep_s = int(found.group(1)) if found else float('inf')
        self._kept.append(
            connection._replace(since_s=outcome.ended_s, keep_s=keep_s)
        )
