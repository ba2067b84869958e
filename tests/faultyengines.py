"""Fake callers, engines, a faulty network and a loop in virtual time."""

import asyncio
import collections
import datetime
import itertools
import json
import selectors
import typing

import aiohttp
import expression

from lavenderledge.upstreams import connection

CONNECT_S = 1
# Longer than the silence timeout of the tests, shorter than their lost one.
PAUSE_S = 2.5
REQUEST_FAULT_KINDS = (
    'refused',
    'unroutable',
    'slow',
    'lost_before',
    'lost_after',
    'silent_before',
    'silent_after',
    'late',
    'pausing',
    '503',
    '409',
    '404',
)
STREAM_FAULT_KINDS = (
    'cut',
    'ended',
    'torn',
    'garbage',
    'silent',
    'skip',
    'repeat',
    'from_start',
)


class Fault(typing.NamedTuple):
    """A fault of one connection; in a stream, after ``after`` events."""

    kind: str = 'none'
    after: int = 0


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop and clock whose time jumps to the next timer."""

    def __init__(self):
        self.now_s = 1000.0
        super().__init__(_Selector(loop=self))

    def time(self):
        return self.now_s

    read_monotonic = time

    def read_wall(self):
        return datetime.datetime.fromtimestamp(self.now_s, tz=datetime.UTC)

    async def sleep(self, delay):
        await asyncio.sleep(delay.total_seconds())

    def advance(self, seconds):
        self.run_until_complete(asyncio.sleep(seconds))


class _Selector(selectors.SelectSelector):
    def __init__(self, *, loop):
        super().__init__()
        self._loop = loop

    def select(self, timeout=None):
        self._loop.now_s += timeout or 0
        return super().select(0)


class Generation:
    """One response of an engine; its first ``produced`` events are out."""

    def __init__(self, document):
        self.number = document['metadata']['number']
        self.response_id = document['request_id']
        self.produced = 1
        self.forgotten = False
        self.events = [_format(0, 'response.created')]
        for position in range(1, document['metadata']['output_tokens'] + 1):
            delta = f'{self.number}/{position} '
            self.events.append(
                _format(position, 'response.output_text.delta', delta=delta)
            )
        self._wake = asyncio.get_running_loop().create_future()
        self._close('completed')

    @property
    def runs(self):
        return self.produced < len(self.events) and not self.forgotten

    def produce(self, count):
        self.produced = min(self.produced + count, len(self.events))
        self._notify()

    def end(self, kind):
        """End at once with the given kind."""
        if self.runs:
            del self.events[self.produced :]
            self._close(kind)
            self.produce(1)

    def forget(self):
        self.forgotten = True
        self._notify()

    async def wait_for(self, position, silence_timeout_s):
        while position >= self.produced and not self.forgotten:
            async with asyncio.timeout(silence_timeout_s):
                await asyncio.shield(self._wake)
        if self.forgotten:
            raise aiohttp.ClientPayloadError

    def _close(self, kind):
        self.kind = kind
        self.response = {'id': self.response_id, 'status': kind}
        self.events.append(
            _format(
                len(self.events), f'response.{kind}', response=self.response
            )
        )

    def _notify(self):
        wake, self._wake = (
            self._wake,
            asyncio.get_running_loop().create_future(),
        )
        wake.set_result(None)


class Response:
    """An engine's answer, in place of aiohttp's response."""

    def __init__(
        self, *, network, status, fault, generation, start, silence_timeout_s
    ):
        self.status = status
        self.headers = {'Retry-After': '1'} if status == 503 else {}
        self.content = self
        self._network = network
        self._fault = fault
        self._generation = generation
        self._start = start
        self._silence_timeout_s = silence_timeout_s
        network.open_responses.add(self)

    def close(self):
        self._network.open_responses.discard(self)

    async def read(self, limit_bytes):
        return b''

    async def __aiter__(self):
        events = self._generation.events
        position = self._start
        for sent in itertools.count():
            kind = self._fault.kind if sent == self._fault.after else ''
            if kind == 'cut':
                raise aiohttp.ClientPayloadError
            if kind == 'silent':
                await _stay_silent(self._silence_timeout_s)
                raise TimeoutError
            if kind == 'torn':
                yield b'data: {"type":"resp'
            if kind in {'ended', 'torn'}:
                return
            if kind == 'garbage':
                yield b'data: {]\n'
                yield b'\n'
            position += {'skip': 1, 'repeat': -1}.get(kind, 0)
            position = max(position, 0)
            if position >= len(events):
                return
            await self._generation.wait_for(position, self._silence_timeout_s)
            for line in events[position].splitlines(keepends=True):
                yield line
            position += 1


class Caller:
    """One caller: its request and the answer that it received."""

    def __init__(self, *, number, tokens, streamed):
        self.number = number
        self.streamed = streamed
        self.disconnected = False
        self.ended = False
        self.sent_s = 0
        self.finished_s = None
        self.status = 0
        self.outcome = None
        self.received = b''
        self.body = json.dumps(
            {
                'model': 'calculator',
                'input': 'lace',
                'stream': streamed,
                'metadata': {'number': number, 'output_tokens': tokens},
            }
        ).encode()
        self.scope = {
            'method': 'POST',
            'raw_path': b'/v1/responses',
            'query_string': b'',
            'headers': [(b'x-customer', b'guild')],
        }
        self.reading = asyncio.Event()
        self.reading.set()
        self._disconnect_event = asyncio.Event()
        self._request_sent = False

    async def receive(self):
        if self._request_sent:
            await self._disconnect_event.wait()
            return {'type': 'http.disconnect'}
        self._request_sent = True
        return {'type': 'http.request', 'body': self.body}

    async def send(self, message):
        if message['type'] == 'http.response.start':
            self.status = message['status']
            headers = dict(message['headers'])
            self.outcome = headers.get(b'x-request-outcome', b'').decode()
        else:
            await self.reading.wait()
            self.received += message['body']
            self.ended = not message['more_body']

    def disconnect(self):
        self.disconnected = True
        self.reading.set()
        self._disconnect_event.set()


class FaultyNetwork:
    """The engines, and a client that sends to them with faults."""

    def __init__(self, *, check_dispatch):
        self.faults = collections.deque()
        self.delayed = []
        self.open_responses = set()
        self.arrived = collections.defaultdict(list)
        self.cancels = collections.Counter()
        self.fault_counts = collections.Counter()
        self._check_dispatch = check_dispatch
        self._generations = {}

    async def send(
        self,
        method,
        url,
        *,
        before_first_byte=None,
        headers=None,
        body=None,
        silence_timeout_s=None,
    ):
        fault = self.faults.popleft() if self.faults else Fault()
        response_id = _read_id(url, body)
        self.fault_counts[response_id] += {'none': 0, '404': 2}.get(
            fault.kind, 1
        )
        self.cancels[response_id] += url.endswith('/cancel')
        if fault.kind in {'unroutable', 'slow'}:
            await asyncio.sleep(CONNECT_S)
        if fault.kind in {'refused', 'unroutable'}:
            return expression.Error(connection.NotSent(fault.kind))
        if before_first_byte is not None:
            if not before_first_byte():
                return expression.Error(connection.CheckFailed(''))
            if body is not None:
                self._check_dispatch(url, body)
        if fault.kind == 'late' and body is not None:
            self.delayed.append(body)
        elif fault.kind not in {'late', 'lost_before', 'silent_before'}:
            status, generation = self._serve(response_id, url, body, fault)
        if fault.kind.startswith('silent_'):
            await _stay_silent(silence_timeout_s)
        if fault.kind.startswith('pausing'):
            if silence_timeout_s is not None and silence_timeout_s < PAUSE_S:
                await _stay_silent(silence_timeout_s)
                return expression.Error(connection.Lost(fault.kind))
            await asyncio.sleep(PAUSE_S)
        if fault.kind.startswith(('silent_', 'lost_', 'late')):
            return expression.Error(connection.Lost(fault.kind))
        _, _, after = url.partition('starting_after=')
        start = 0 if fault.kind == 'from_start' else int(after or -1) + 1
        return expression.Ok(
            Response(
                network=self,
                status=status,
                fault=fault,
                generation=generation,
                start=start,
                silence_timeout_s=silence_timeout_s,
            )
        )

    def deliver_delayed(self):
        """Deliver requests whose connections were lost."""
        delayed, self.delayed = self.delayed, []
        for body in delayed:
            response_id = _read_id('', body)
            self.fault_counts[response_id] += 1
            self._serve(response_id, '', body, Fault())

    def list_running(self):
        return [each for each in self._generations.values() if each.runs]

    def forget(self, generation):
        """Forget a response, as a restarted engine does."""
        self._generations.pop(generation.response_id)
        generation.forget()

    def _serve(self, response_id, url, body, fault):
        status = fault.kind.rpartition('_')[2]
        if status.isdecimal():
            return int(status), None
        if body is not None:
            generation = Generation(json.loads(body))
            self.arrived[generation.number].append(generation)
            self._generations[response_id] = generation
        generation = self._generations.get(response_id)
        if generation is not None and url.endswith('/cancel'):
            generation.end('cancelled')
        return 200 if generation else 404, generation


async def _stay_silent(timeout_s):
    """Return after a client's timeout, never without one."""
    if timeout_s is None:
        await asyncio.get_running_loop().create_future()
    await asyncio.sleep(timeout_s)


def _read_id(url, body):
    if body is not None:
        return json.loads(body)['request_id']
    return url.partition('?')[0].removesuffix('/cancel').rsplit('/', 1)[-1]


def _format(number, kind, **fields):
    document = {'type': kind, 'sequence_number': number, **fields}
    return f'event: {kind}\ndata: {json.dumps(document)}\n\n'.encode()
