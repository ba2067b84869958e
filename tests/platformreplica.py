"""A fake replica that follows a script of actions and records requests."""

import asyncio
import collections
import contextlib
import typing

from tests import platformstore

DOWN_S = 1.5
# What a stalled stream sends now and then.
TRICKLES = {'comments': b': \n\n', 'bytes': b'd'}


class Pause(typing.NamedTuple):
    """An action: a sound replica is silent for a while and goes on.

    ``after`` is the number of events before it, or of as many equal parts of a
    plain body.
    """

    after: int
    seconds: float


class CrashPoint(typing.NamedTuple):
    """What a replica has sent of an answer when it crashes.

    After the head, these are ``events`` and, with ``is_cut``, a part of the
    next one, also as a part of a plain body.
    """

    events: int = 0
    is_cut: bool = False
    has_head: bool = True


NO_ANSWER = CrashPoint(has_head=False)


class Replica:
    """One replica; ``script`` holds its actions for the next requests.

    Actions: ``ok``, ``full`` (does not run, 503), ``error`` (runs, 500),
    ``absent`` (runs, 404),
    ``reset`` (runs, then resets), ``early`` (resets before it runs), ``hang``,
    ``cut`` (breaks off during the response), ``comments`` and ``bytes`` (stalls
    after an event, but sends comments or single bytes), ``unsigned`` (no seal),
    ``twice``
    (sends a second response), ``promise`` (runs, but sends a 503 that means
    "not run"), or a ``Pause``. With an empty script it does
    ``default_action``; ``choose``, if set, gets each request that could run
    and returns its action instead of both. A prompt with ``poison_part``, or a
    request for which ``is_poison`` is true, crashes it when it begins to run,
    or at another ``crash_point``; it is back after ``DOWN_S``. ``notices`` are
    header fields that it adds to its answers, and ``padding`` ends its plain
    bodies.
    """

    def __init__(
        self,
        name,
        *,
        default_action='ok',
        work_s=0.0,
        events=6,
        event_gap_s=0.005,
    ):
        self.name = name
        self.default_action = default_action
        self.work_s = work_s
        self.events = events
        self.event_gap_s = event_gap_s
        self.script = collections.deque()
        self.choose = None
        self.runs = []
        self.received = []
        self.arrivals_s = []
        self.running = 0
        self.max_running = 0
        self.cancelled = []
        self.cancelled_s = {}
        self.poison_part = b'(none)'
        self.is_poison = self._has_poison_part
        self.crash_point = NO_ANSWER
        self.poison_runs_s = []
        self.restart = None
        self.padding = b''
        self.notices = ()
        self.address = ''
        self.listener = platformstore.build_listener(self.handle)

    async def start(self):
        await self.listener.listen('127.0.0.1', 0)
        port = self.listener.port
        self.address = f'127.0.0.1:{port}'

    def describe(self, service='model', slots=4, **changes):
        """Return the entry that it writes into the store."""
        entry = {
            'service': service,
            'address': self.address,
            'zone': 'a',
            'version': 'v1',
            'capacity': slots,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': 1,
        }
        return {**entry, **changes}

    async def handle(self, request, reply):
        self.received.append(request)
        self.arrivals_s.append(asyncio.get_running_loop().time())
        fields = request.fields
        echoed_id = (b'Attempt-Id', fields.find(b'attempt-id'))
        expected = (fields.find(b'expect-instance') or b'').decode()
        if expected != self.name:
            own_id = (b'Instance-Id', self.name.encode())
            reply.send(421, (echoed_id, own_id), b'')
            return
        action = self._choose_action(request)
        if action == 'full':
            refused = (b'Not-Executed', b'1')
            reply.send(503, (echoed_id, refused, *self.notices), b'')
            return
        if action == 'early':
            reply.abort()
            return
        request_id = fields.find(b'attempt-id').decode()
        self.runs.append(request_id)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            await self._run(action, request, reply, request_id)
        except asyncio.CancelledError:
            self.cancelled.append(request_id)
            now_s = asyncio.get_running_loop().time()
            self.cancelled_s[request_id] = now_s
            raise
        finally:
            self.running -= 1

    def _choose_action(self, request):
        if self.choose is not None:
            return self.choose(request)
        return self.script.popleft() if self.script else self.default_action

    async def _run(self, action, request, reply, request_id):
        response_fields = [
            (b'Attempt-Id', request_id.encode()),
            (b'Response-Seal', f'seal-{self.name}'.encode()),
            (b'Server-Load', b'1,0,4,100'),
            *self.notices,
        ]
        if action == 'hang':
            await asyncio.Event().wait()
        if self.work_s:
            await asyncio.sleep(self.work_s)
        if isinstance(action, Pause) and not action.after:
            await asyncio.sleep(action.seconds)
        if self.is_poison(request):
            if self.crash_point.has_head:
                await self._begin_answer(request, reply, response_fields)
            self._crash()
            return
        if action == 'reset':
            reply.abort()
        elif action == 'absent':
            reply.send(404, response_fields, b'')
        elif action == 'error':
            reply.send(500, response_fields, b'failed')
        elif action == 'promise':
            reply.send(503, response_fields, b'')
        elif action == 'unsigned':
            reply.send(200, response_fields[:1], b'no seal')
        elif b'/stream' in request.target:
            await self._stream(action, request, reply, response_fields)
        else:
            await self._respond(action, reply, response_fields, request_id)

    def _has_poison_part(self, request):
        prefix = request.fields.find(b'prompt-prefix') or b''
        return self.poison_part in prefix

    async def _begin_answer(self, request, reply, response_fields):
        """Send the part of an answer that precedes a crash."""
        point = self.crash_point
        first = int(request.fields.find(b'last-event-id') or b'0') + 1
        body = b''.join(
            b'id: %d\ndata: %d\n\n' % (number, number)
            for number in range(first, first + point.events)
        )
        if point.is_cut:
            body += b'id: '
        reply.start(200, response_fields, length=None)
        if body:
            reply.write(body)
        await asyncio.sleep(0.02)

    def _crash(self):
        self.poison_runs_s.append(asyncio.get_running_loop().time())
        for connection in tuple(self.listener.connections):
            connection.abort()
        self.listener.stop()
        self.restart = asyncio.create_task(self._restart())

    async def _restart(self):
        """Listen again; a connection may use the port at this moment."""
        port = int(self.address.rpartition(':')[2])
        is_listening = False
        await asyncio.sleep(DOWN_S)
        while not is_listening:
            with contextlib.suppress(OSError):
                await self.listener.listen('127.0.0.1', port)
                is_listening = True
            await asyncio.sleep(0.02)

    async def _respond(self, action, reply, response_fields, request_id):
        body = f'{self.name} ran {request_id}'.encode() + self.padding
        if isinstance(action, Pause) and action.after:
            middle = len(body) * action.after // self.events
            reply.start(200, response_fields, length=len(body))
            reply.write(body[:middle])
            await asyncio.sleep(action.seconds)
            reply.write(body[middle:])
            reply.finish()
            return
        if action == 'cut':
            reply.start(200, response_fields, length=len(body))
            reply.write(body[:4])
            reply.abort()
            return
        reply.send(200, response_fields, body)
        if action == 'twice':
            reply.start(200, response_fields, length=len(body))
            reply.write(body)

    async def _stream(self, action, request, reply, response_fields):
        last_event_id = int(request.fields.find(b'last-event-id') or b'0')
        reply.start(200, response_fields, length=None)
        for number in range(last_event_id + 1, self.events + 1):
            event = f'id: {number}\ndata: {number}\n\n'.encode()
            if action == 'cut' and number == last_event_id + 3:
                reply.write(event[:5])
                await asyncio.sleep(0.02)
                reply.abort()
                return
            reply.write(event)
            while action in TRICKLES:
                await asyncio.sleep(0.2)
                reply.write(TRICKLES[action])
            await asyncio.sleep(self.event_gap_s)
            if isinstance(action, Pause) and number == action.after:
                await asyncio.sleep(action.seconds)
        reply.finish()
