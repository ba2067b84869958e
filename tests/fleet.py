"""Admission and allocation of several instances on a manual clock."""

import asyncio
import datetime
import heapq
import itertools
import random

from lavenderledge.controllers import admission, allocator
from lavenderledge.peers import messages
from lavenderledge.policy import placement, table
from lavenderledge.policy import pool as pools

POOL = 'calculator'
STEP_S = 0.05
TO_REQUESTER = (messages.Grant, messages.Refuse, messages.Preempt)


class ManualClock:
    def __init__(self):
        self.now_s = 1000.0

    def read_monotonic(self):
        return self.now_s

    def read_wall(self):
        start = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
        return start + datetime.timedelta(seconds=self.now_s)

    async def sleep(self, delay):
        await asyncio.get_running_loop().create_future()


def build_spec(request_id, *, tier=1, row=None, **changes):
    spec = messages.RequestSpec(
        request_id=request_id,
        row=row or f'tier-{tier}',
        customer='workshop',
        tier=tier,
        weight=1.0,
        prompt_tokens=100,
        output_tokens=50,
        prefix=(),
        remaining_s=60.0,
        waited_s=0.0,
        preemptible=True,
        immediate=False,
    )
    return spec._replace(**changes)


def build_row(name, *, tier=1, **changes):
    row = table.Row(name, '*', POOL, '*', tier, repeatable=True)
    return row._replace(**changes)


def list_engines(count):
    return [
        allocator.ReplicaInfo(
            f'engine-{number}', f'127.0.0.1:{number}', 'a', kind='engine'
        )
        for number in range(count)
    ]


def build_pool(*, rows=(), engines=1, fleet_size=1):
    rows_by_name = {row.row: row for row in rows}
    pool = pools.Pool(
        policy=placement.make_policy('lavenderledge'),
        find_row=rows_by_name.get,
        now_s=0,
    )
    pool.set_replicas(list_engines(engines))
    pool.fleet = pools.Fleet(fleet_size, fleet_size)
    return pool


def build_new_request(spec, *, stamp_s=0):
    return messages.NewAsk('a', 1, POOL, stamp_s, spec)


def add(pool, spec, *, now_s=0):
    pool.intake.apply_request(
        build_new_request(spec, stamp_s=now_s),
        share=pool.fleet.share,
        now_s=now_s,
    )


def release(pool, request, *, now_s, output_done):
    pool.intake.apply_release(
        messages.Release('a', 1, POOL, request.request_id, output_done),
        now_s=now_s,
    )


def list_refused(pool):
    return [refused.reason for refused in pool.intake.refused]


class Node:
    """One instance; ``view`` holds the instances that it considers alive."""

    def __init__(self, fleet, name, incarnation):
        self.name = name
        self.incarnation = incarnation
        self.view = set(fleet.names)
        self.preempted = []
        self.admission = admission.Admission(
            instance=name,
            incarnation=incarnation,
            clock=fleet.clock,
            send=lambda to, message: fleet.send(name, to, message),
            find_allocator=lambda pool: min(self.view),
            on_preempt=self.preempted.append,
            list_pools=lambda: [POOL],
        )
        self.allocator = allocator.Allocator(
            instance=name,
            clock=fleet.clock,
            send=lambda to, message: fleet.send(name, to, message),
            list_replicas=lambda pool: fleet.replicas,
            find_row=fleet.rows.get,
            is_allocator=lambda pool: min(self.view) == name,
            count_alive=lambda: len(self.view),
            policy=fleet.policy,
        )

    def receive(self, message):
        receiver = (
            self.admission
            if isinstance(message, TO_REQUESTER)
            else self.allocator
        )
        receiver.receive(message)


class Fleet:
    """Instances and the network between them.

    Messages between two instances keep their order unless ``reorder``, and
    may be lost or duplicated. ``on_sent`` is called for each message.
    """

    def __init__(
        self,
        *,
        names=('a',),
        replicas=2,
        rows=(),
        seed=0,
        policy='lavenderledge',
    ):
        self.clock = ManualClock()
        self.loop = asyncio.new_event_loop()
        self.names = tuple(names)
        self.policy = policy
        self.replicas = list_engines(replicas)
        self.rows = {row.row: row for row in rows}
        self.random = random.Random(seed)
        self.reorder = False
        self.loss_ratio = 0
        self.duplicate_ratio = 0
        self.on_sent = lambda sender, message: None
        self.on_lost = lambda message: None
        self._in_flight = []
        self._order = itertools.count()
        self._arrivals = {}
        self.nodes = {name: Node(self, name, 1) for name in names}

    def close(self):
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.settle()
        self.loop.close()

    def send(self, sender, to, message):
        self.on_sent(sender, message)
        if self.random.random() < self.loss_ratio or not self.is_linked(
            sender, to
        ):
            self.on_lost(message)
            return
        copies = 2 if self.random.random() < self.duplicate_ratio else 1
        for _ in range(copies):
            self._schedule_delivery(sender, to, message)

    def is_linked(self, sender, to):
        if to not in self.nodes:
            return False
        return to in self.nodes[sender].view and sender in self.nodes[to].view

    def restart(self, name):
        old = self.nodes[name]
        self.nodes[name] = Node(self, name, old.incarnation + 1)
        self.nodes[name].view = set(old.view)

    def partition(self, parts):
        for part in parts:
            for name in part:
                self.nodes[name].view = set(part)

    def start(self, coroutine):
        task = self.loop.create_task(coroutine)
        self.settle()
        return task

    def acquire(self, name, spec, *, timeout_s=60):
        node = self.nodes[name]
        return self.start(
            node.admission.acquire(
                pool=POOL, spec=spec, deadline_s=self.clock.now_s + timeout_s
            )
        )

    def settle(self):
        for _ in range(2):
            self.loop.run_until_complete(asyncio.sleep(0))

    def advance(self, duration_s):
        end_s = self.clock.now_s + duration_s
        while self.clock.now_s < end_s - 1e-9:
            self.clock.now_s += STEP_S
            self.deliver()
            for node in self.nodes.values():
                node.admission.tick()
                node.allocator.tick()
            self.deliver()
        self.settle()

    def deliver(self):
        while self._in_flight and self._in_flight[0][0] <= self.clock.now_s:
            _, _, to, message = heapq.heappop(self._in_flight)
            self.nodes[to].receive(message)

    def _schedule_delivery(self, sender, to, message):
        at_s = self.clock.now_s + self.random.choice((0, 0, 0.01, 0.2))
        if sender == to:
            at_s = self.clock.now_s
        if not self.reorder:
            at_s = max(at_s, self._arrivals.get((sender, to), 0))
            self._arrivals[(sender, to)] = at_s
        entry = (at_s, next(self._order), to, message)
        heapq.heappush(self._in_flight, entry)
