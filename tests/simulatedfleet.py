"""Many instances in virtual time, between a simulated store and links.

The instances' own parts run as in production, from the watches of the store to
the check of a request; only sockets are replaced.
"""

import asyncio
import collections
import json
import random
import zlib

import expression

from lavenderledge.daemon import formats
from lavenderledge.http1 import messages
from lavenderledge.platform import __main__ as program
from lavenderledge.proxy import exchange, instance, settings
from lavenderledge.registry import store as stores
from tests import platformfleet, virtualtime

# One way between two instances, and a call to the store, seconds.
PEER_DELAY_S = 0.002
LOSS_RATIO = 0.001
MIN_MESSAGE_GAP_S = 1e-6
CALL_S = 0.006
# How long a client of the store waits for an answer beyond a watch's wait.
CALL_TIMEOUT_S = 1.0
# A compaction: watches hear nothing, then they end and the history is gone.
DEAF_S = 1.0
CONFIGURATION_KEY = 'op/config'


class Store:
    """What all instances share; operators and replicas write to it."""

    def __init__(self):
        self.revision = 1
        self.keys = {}
        self.leases = {}
        self.deleted = {}
        self.compacted = 0
        self.deaf_until_s = float('-inf')
        # Whether watches that hear nothing wait, or answer with nothing.
        self.deaf_waits = True
        self.slow_until_s = float('-inf')
        self.mode = 'ok'
        self.next_lease = 1
        self.changed = asyncio.Event()

    def write(self, key, content, lease=0):
        self.revision += 1
        self.keys[key] = (content, self.revision, lease)
        self.deleted.pop(key, None)
        self._notify()

    def delete(self, key):
        if self.keys.pop(key, None) is not None:
            self.revision += 1
            self.deleted[key] = self.revision
            self._notify()

    def expire(self, now_s):
        for lease, (end_s, _) in tuple(self.leases.items()):
            if end_s < now_s:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key, entry in tuple(self.keys.items()):
            if entry[2] == lease:
                self.delete(key)

    def list_changes(self, prefix, after):
        """Return entries that changed after a revision."""
        listed = [
            stores.Change(key, content, revision, lease)
            for key, (content, revision, lease) in self.keys.items()
            if key.startswith(prefix) and revision > after
        ]
        listed += [
            stores.Change(key, None, revision)
            for key, revision in self.deleted.items()
            if key.startswith(prefix) and revision > after
        ]
        return tuple(sorted(listed, key=lambda change: change.revision))

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()


class StoreClient:
    """One instance's calls; ``is_cut`` loses them, ``rejects`` refuses them."""

    def __init__(self, store, clock):
        self.store = store
        self.clock = clock
        self.is_cut = False
        self.rejects = False
        # A configuration takes this long to arrive, at the link's bandwidth.
        # The client waits for as long as some of it arrives.
        self.transfer_s = 0.0

    async def list_keys(self, prefix, *, may_be_old=False):
        return await self._call(
            lambda: stores.Listing(
                self.store.list_changes(prefix, 0), self.store.revision
            ),
            transfers=prefix == CONFIGURATION_KEY,
        )

    async def watch(self, prefix, *, after_revision, wait_s):
        failed = await self._reach(wait_s)
        if failed is not None:
            return failed
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_s
        store = self.store
        while True:
            if after_revision < store.compacted:
                return await self._fail(stores.Fault.COMPACTED)
            is_deaf = loop.time() < store.deaf_until_s
            changes = store.list_changes(prefix, after_revision)
            if changes and not is_deaf:
                listing = stores.Listing(changes, store.revision)
                if prefix == CONFIGURATION_KEY:
                    await asyncio.sleep(self.transfer_s)
                return await self._answer(listing)
            left_s = end_s - loop.time()
            if is_deaf and store.deaf_waits:
                left_s = store.deaf_until_s - loop.time()
                if loop.time() + left_s > end_s + CALL_TIMEOUT_S:
                    await asyncio.sleep(end_s + CALL_TIMEOUT_S - loop.time())
                    return await self._fail(stores.Fault.UNREACHABLE)
            elif left_s <= 0:
                # If it is deaf, its position is past what it did not hear.
                return await self._answer(stores.Listing((), store.revision))
            elif is_deaf:
                left_s = min(left_s, store.deaf_until_s - loop.time())
            waiter = asyncio.ensure_future(store.changed.wait())
            await asyncio.wait((waiter,), timeout=max(left_s, 1e-4))
            waiter.cancel()

    async def create(self, key, content):
        return await self._call(lambda: None)

    async def put(self, key, content, *, lease):
        return await self._call(
            lambda: self.store.write(key, content, lease.number)
        )

    async def open_lease(self, ttl_s):
        def open_lease():
            number = self.store.next_lease
            self.store.next_lease += 1
            now_s = self.clock.read_monotonic()
            self.store.leases[number] = (now_s + ttl_s, ttl_s)
            return stores.Lease(number, 0)

        return await self._call(open_lease)

    async def keep_lease(self, lease):
        failed = await self._reach()
        if failed is not None:
            return failed
        if lease.number not in self.store.leases:
            return await self._fail(stores.Fault.NO_LEASE)
        _, ttl_s = self.store.leases[lease.number]
        now_s = self.clock.read_monotonic()
        self.store.leases[lease.number] = (now_s + ttl_s, ttl_s)
        return await self._answer(None)

    async def end_lease(self, lease):
        return await self._call(lambda: self.store.end_lease(lease.number))

    async def _call(self, act, *, transfers=False):
        failed = await self._reach()
        if failed is not None:
            return failed
        result = act()
        if transfers:
            await asyncio.sleep(self.transfer_s)
        return await self._answer(result)

    async def _reach(self, wait_s=0):
        """Return a failure if the call does not get through."""
        store = self.store
        await self.clock.wait_thawed()
        if self.is_cut or store.mode == 'silent':
            await asyncio.sleep(wait_s + CALL_TIMEOUT_S)
            return await self._fail(stores.Fault.UNREACHABLE)
        is_slow = asyncio.get_running_loop().time() < store.slow_until_s
        await asyncio.sleep(CALL_S * (50 if is_slow else 1))
        if self.rejects or store.mode == 'busy':
            return await self._fail(stores.Fault.REFUSED)
        store.expire(asyncio.get_running_loop().time())
        return None

    async def _answer(self, result):
        if self.is_cut:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return await self._fail(stores.Fault.UNREACHABLE)
        await asyncio.sleep(CALL_S / 2)
        await self.clock.wait_thawed()
        return expression.Ok(result)

    async def _fail(self, fault):
        await self.clock.wait_thawed()
        return expression.Error(stores.StoreFailure(fault, 'simulated'))


class Link:
    """One instance's messages to the others."""

    def __init__(self, node):
        self.pair = None
        self._node = node

    def send(self, name, message):
        self._node.fleet.deliver(self._node, name, message)

    def connect(self, name, address):
        """Links are always open."""

    def update(self, addresses):
        """Links are always open."""

    async def close(self):
        """Nothing is open."""


class Reply:
    """Keeps the status of an answer."""

    started = False
    ended = False

    def __init__(self):
        self.status = None

    def send(self, status, fields, body):
        self.status = status


class Node:
    """One instance, with its own clock and its own way to the store."""

    def __init__(self, fleet, name, incarnation):
        self.fleet = fleet
        self.name = name
        self.incarnation = incarnation
        self.clock = virtualtime.Clock()
        self.client = StoreClient(fleet.store, self.clock)
        self.client.transfer_s = fleet.transfer_s[name]
        address = formats.Address('127.0.0.1', 1)
        self.instance = instance.Instance(
            settings=settings.Settings(
                instance=name,
                availability_zone='a',
                listen=address,
                ready_listen=address,
                metrics_listen=address,
                peer_listen=address,
                store=address,
                processor_share=1,
                processor_speed=1,
                stop_grace_s=8,
                revocation_ms=5000,
                apply_ms=fleet.apply_s * 1000,
                drain_ms=fleet.drain_s * 1000,
                retry_ratio=0.2,
                retry_window_s=10,
                retry_slack=200,
                quota_window_s=8,
                quota_overrun=0,
                quota_slack=0,
                memory_mb=0,
                log_level='error',
            ),
            platform=program.PLATFORM._replace(
                open_store=lambda address, pool: self.client
            ),
            clock=self.clock,
        )
        running = self.instance
        running._link = Link(self)
        running._incarnation = incarnation
        # The documents are small; how long they take stands for their size.
        running._watcher._has_large_configuration = lambda: (
            self.client.transfer_s > 0
        )
        running._watcher.start(running._tasks)
        for loop in (
            running._registration.run,
            running._requester.run,
            running._allocator.run,
        ):
            running._tasks.keep_running('simulated', loop)

    async def receive(self, message):
        await self.clock.wait_thawed()
        if self.fleet.nodes.get(self.name) is self:
            self.instance._receive(message)

    def check(self, path, key):
        """Return the version that lets a request pass, or its status."""
        deps = self.instance._forwarder._deps
        request = messages.Request(
            method=b'GET',
            target=path.encode(),
            fields=messages.Fields(
                (
                    (b'Host', platformfleet.HOST.encode()),
                    (b'Attempt-Id', b'probe'),
                    (b'Authorization', b'Bearer ' + key.encode()),
                )
            ),
            body=b'',
            received_s=self.clock.read_monotonic(),
        )
        reply = Reply()
        current = exchange.Exchange(
            deps=deps,
            request=request,
            reply=reply,
            parsed=deps.header_codec.parse_request(request),
        )
        if current._check_configuration():
            return 'passes', current._record.version
        return 'refused', reply.status

    async def stop(self):
        await self.instance._tasks.stop()


class Fleet:
    """All instances and what disturbs them.

    ``trouble_s`` holds the last time at which each instance, or the store
    (``''``), was disturbed.
    """

    def __init__(self, *, seed, apply_s, drain_s=3):
        self.rng = random.Random(seed)
        self.apply_s = apply_s
        self.drain_s = drain_s
        self.loss_ratio = LOSS_RATIO
        # Whether messages between two instances keep their order.
        self.keeps_order = False
        self._arrivals_s = collections.defaultdict(float)
        self.store = Store()
        self.nodes = {}
        self.blocked = set()
        self.trouble_s = collections.defaultdict(lambda: float('-inf'))
        self.acknowledged = []
        self.transfer_s = collections.defaultdict(float)
        self._messages = set()

    def start(self, name, incarnation):
        self.nodes[name] = Node(self, name, incarnation)

    async def stop(self, name):
        await self.nodes.pop(name).stop()

    def deliver(self, sender, name, message):
        """Deliver a message after the link's delay, unless it is cut."""
        luck = self._draw(sender.name, name)
        if (sender.name, name) in self.blocked or luck < self.loss_ratio:
            return
        now_s = asyncio.get_running_loop().time()
        way = (sender.name, name)
        arrival_s = now_s + PEER_DELAY_S * (0.5 + luck)
        if self.keeps_order:
            former_s = self._arrivals_s[way]
            arrival_s = max(arrival_s, former_s + MIN_MESSAGE_GAP_S)
            self._arrivals_s[way] = arrival_s
        task = asyncio.ensure_future(
            self._carry(sender, name, message, arrival_s - now_s)
        )
        self._messages.add(task)
        task.add_done_callback(self._messages.discard)

    def _draw(self, sender, name):
        """Return a fraction that depends on the message's way and time."""
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        return zlib.crc32(f'{sender} {name} {now_ms}'.encode()) / 2**32

    async def _carry(self, sender, name, message, delay_s):
        await asyncio.sleep(delay_s)
        await sender.clock.wait_thawed()
        node = self.nodes.get(name)
        if node is not None:
            await node.receive(message)

    def write_configuration(self, version, routes, keys):
        """Write a version; keep when it was acknowledged."""
        document = platformfleet.make_configuration(
            version,
            routes=[
                platformfleet.make_route(route, 'safe', public=is_public)
                for route, is_public in routes.items()
            ],
            tenants=[{'name': 'dealer', 'api_keys': sorted(keys)}],
        )
        self.store.write(CONFIGURATION_KEY, json.dumps(document).encode())
        self.acknowledged.append(
            (
                asyncio.get_running_loop().time(),
                version,
                dict(routes),
                frozenset(keys),
            )
        )
