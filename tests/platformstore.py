"""A fake of the platform's key-value service, with switchable faults."""

import asyncio
import base64
import json
import typing
import urllib.parse

from lavenderledge import clock as clocks
from lavenderledge.http1 import bounds, listener

BOUNDS = bounds.Bounds(65536, 1 << 22, 5, 60)
# A slow link sends what it can carry in this time, seconds.
SLOW_STEP_S = 0.02


class Copy(typing.NamedTuple):
    """What a store held at one time."""

    revision: int
    keys: dict
    events: list
    leases: dict
    next_lease: int


class Store:
    """Keys with revisions and leases; ``mode`` selects a fault.

    Modes: ``ok``, ``busy`` (503), ``silent`` (no response), ``reset`` (the
    connection is reset), ``lost`` (writes succeed without a response).
    """

    def __init__(self, clock=None):
        self.clock = clock or clocks.SystemClock()
        self.mode = 'ok'
        self.revision = 1
        self.keys = {}
        self.events = []
        self.leases = {}
        self.compact_revision = 0
        self.calls = 0
        self.era = 1
        self.next_lease = 100
        # Writes of keys with this prefix are refused.
        self.refused_prefix = None
        self._changed = asyncio.Event()

    async def handle(self, request, reply):
        self.calls += 1
        if self.mode == 'busy':
            reply.send(503, self._list_fields(), b'')
            return
        if self.mode == 'reset':
            reply.abort()
            return
        if self.mode == 'silent':
            await asyncio.Event().wait()
        path, _, query_text = request.target.decode().partition('?')
        query = dict(urllib.parse.parse_qsl(query_text))
        self._expire()
        name = path.removeprefix('/api/').partition('/')[0]
        status, document = await self._respond(name, path, query, request.body)
        if self.mode == 'lost' and request.method != b'GET':
            await asyncio.Event().wait()
        reply.send(status, self._list_fields(), json.dumps(document).encode())

    def write(self, key, document):
        """Write a key as the operator or a replica does."""
        content = document if isinstance(document, bytes) else None
        if content is None:
            content = json.dumps(document).encode()
        self._put(key, content, 0)

    def delete(self, key):
        if self.keys.pop(key, None) is not None:
            self._append_event({'key': key, 'deleted': True})

    def compact(self):
        """Drop the event history; watches that start before now get 410."""
        self.compact_revision = self.revision
        self.events.clear()
        self._notify_watchers()

    def expire_leases(self):
        """Expire all leases and delete their keys."""
        for lease in tuple(self.leases):
            self._end_lease(lease)

    def take_copy(self):
        return Copy(
            self.revision,
            dict(self.keys),
            list(self.events),
            dict(self.leases),
            self.next_lease,
        )

    def restore(self, copy):
        """Come back from a copy; revisions and leases are given out again."""
        self.revision = copy.revision
        self.keys = dict(copy.keys)
        self.events = list(copy.events)
        now_s = self.clock.read_monotonic()
        self.leases = {
            lease: (now_s + ttl_s, ttl_s)
            for lease, (_, ttl_s) in copy.leases.items()
        }
        self.next_lease = copy.next_lease
        self.era += 1
        self._notify_watchers()

    def _list_fields(self):
        return ((b'Store-Era', b'%d' % self.era),)

    async def _respond(self, name, path, query, body):
        if name == 'kv-range':
            return 200, self._list(query['path_prefix'], query.get('after', ''))
        if name == 'kv-watch':
            return await self._watch(query)
        document = json.loads(body or b'{}')
        lease_id = path.rpartition('/')[2]
        if name == 'kv-lease':
            lease = self.next_lease
            self.next_lease += 1
            ttl_s = document['ttl_ms'] / 1000
            self.leases[lease] = (self.clock.read_monotonic() + ttl_s, ttl_s)
            return 200, {'lease_id': lease, 'ttl_ms': document['ttl_ms']}
        if name == 'kv-keep':
            return self._keep(int(lease_id))
        if name == 'kv-lease-end':
            self._end_lease(int(lease_id))
            return 200, {}
        return self._transact(document)

    def _list(self, prefix, after):
        entries = [
            self._describe(key)
            for key in sorted(self.keys)
            if key.startswith(prefix) and key > after
        ]
        return {
            'entries': entries[:50],
            'has_more': len(entries) > 50,
            'at': self.revision,
        }

    async def _watch(self, query):
        after = int(query['after'])
        end_s = self.clock.read_monotonic() + int(query['wait_ms']) / 1000
        while True:
            if not self.compact_revision <= after <= self.revision:
                return 410, {}
            # Only the newest event of each key, as on the platform.
            newest = {
                event['key']: event
                for event in self.events
                if event['revision'] > after
                and event['key'].startswith(query['path_prefix'])
            }
            events = sorted(
                newest.values(), key=lambda event: event['revision']
            )
            left_s = end_s - self.clock.read_monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'at': self.revision}
            changed = self._changed
            await asyncio.wait(
                (asyncio.ensure_future(changed.wait()),),
                timeout=min(left_s, 0.05),
            )

    def _keep(self, lease):
        if lease not in self.leases:
            return 404, {}
        _, ttl_s = self.leases[lease]
        self.leases[lease] = (self.clock.read_monotonic() + ttl_s, ttl_s)
        return 200, {'ttl_ms': ttl_s * 1000}

    def _transact(self, document):
        for expected in document['expected_revision']:
            present = self.keys.get(expected['key'])
            if (present[1] if present else 0) != expected['revision']:
                return 412, {'entries': []}
        for item in document['write']:
            if item['key'].startswith(('op/', 'servers/')):
                return 403, {}
            if self.refused_prefix and item['key'].startswith(
                self.refused_prefix
            ):
                return 503, {}
            lease = item.get('lease_id', 0)
            if lease and lease not in self.leases:
                return 404, {}
            self._put(item['key'], base64.b64decode(item['data']), lease)
        return 200, {'revision': self.revision}

    def _put(self, key, content, lease):
        self.revision += 1
        self.keys[key] = (content, self.revision, lease)
        self.events.append(self._describe(key))
        self._notify_watchers()

    def _describe(self, key):
        content, revision, lease = self.keys[key]
        return {
            'key': key,
            'data': base64.b64encode(content).decode(),
            'revision': revision,
            'created': revision,
            'lease_id': lease,
        }

    def _append_event(self, event):
        self.revision += 1
        self.events.append({**event, 'revision': self.revision})
        self._notify_watchers()

    def _notify_watchers(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self):
        now_s = self.clock.read_monotonic()
        for lease, (end_s, _) in tuple(self.leases.items()):
            if end_s <= now_s:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key, (_, _, key_lease) in tuple(self.keys.items()):
            if key_lease == lease:
                self.delete(key)


class StoreLink:
    """A way to a store; while it is cut, it loses calls and responses.

    With ``bytes_per_s``, all responses share that bandwidth.
    """

    def __init__(self, store, bytes_per_s=None):
        self.is_cut = False
        self.listener = build_listener(self._handle)
        self._store = store
        self._bytes_per_s = bytes_per_s
        self._turn = asyncio.Lock()

    async def _handle(self, request, reply):
        if self._bytes_per_s is not None:
            buffered = _BufferedReply()
            await self._store.handle(request, buffered)
            await self._send_slowly(reply, *buffered.response)
            return
        await self._store.handle(request, _LossyReply(self, reply))
        if self.is_cut:
            await asyncio.Event().wait()

    async def _send_slowly(self, reply, status, fields, body):
        step = max(1, int(self._bytes_per_s * SLOW_STEP_S))
        reply.start(status, fields, length=len(body))
        for at in range(0, len(body), step):
            async with self._turn:
                await asyncio.sleep(SLOW_STEP_S)
                reply.write(body[at : at + step])
        reply.finish()


class _BufferedReply:
    def __init__(self):
        self.response = None

    def send(self, *response):
        self.response = response


class _LossyReply:
    def __init__(self, link, reply):
        self._link = link
        self._reply = reply

    def send(self, *response):
        if not self._link.is_cut:
            self._reply.send(*response)

    def abort(self):
        self._reply.abort()


def build_listener(handle, clock=None):
    """Return a listener for the handler of a fake server."""
    return listener.Listener(
        handle=handle,
        clock=clock or clocks.SystemClock(),
        bounds=BOUNDS,
        note_fault=lambda status: None,
        note_error=lambda error: None,
    )
