"""The allocator's side of allocation: all pools allocated here."""

import asyncio
import datetime
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge.peers import messages
from lavenderledge.policy import (
    allocation,
    intake,
    placement,
    prefix,
    replicas,
    requests,
    table,
)
from lavenderledge.policy import (
    pool as pools,
)

_TICK_MS: typing.Final = 50
TICK: typing.Final = datetime.timedelta(milliseconds=_TICK_MS)
_IDLE_TICK_MS: typing.Final = 250
IDLE_TICK: typing.Final = datetime.timedelta(milliseconds=_IDLE_TICK_MS)
POLICIES: typing.Final = placement.POLICIES

ReplicaInfo: typing.TypeAlias = replicas.ReplicaInfo
CacheEvent: typing.TypeAlias = prefix.CacheEvent
Send: typing.TypeAlias = abc.Callable[[str, messages.Message], object]
RequesterMessage: typing.TypeAlias = (
    messages.Report | messages.NewAsk | messages.Release
)

_MICROSECONDS: typing.Final = 1_000_000


class ReplicaStatus(typing.NamedTuple):
    """One replica's state; ``gap_s`` is the time between tokens."""

    replica: str
    held: int
    limit: int
    state: str
    gap_s: float
    prefill_rate: float


class PoolStatus(typing.NamedTuple):
    """A pool's waiting and held requests by tier, and its replicas."""

    pool: str
    reporting: int
    alive: int
    waiting: dict[int, int]
    held: dict[int, int]
    replicas: tuple[ReplicaStatus, ...]


class Allocator:
    """Grants replicas to the requests of all instances.

    All state is soft: it is rebuilt from the instances' next reports.
    """

    def __init__(
        self,
        *,
        instance: str,
        clock: clocks.Clock,
        send: Send,
        list_replicas: abc.Callable[[str], abc.Sequence[ReplicaInfo]],
        find_row: abc.Callable[[str], table.Row | None],
        is_allocator: abc.Callable[[str], bool],
        count_alive: abc.Callable[[], int],
        policy: str = 'lavenderledge',
    ) -> None:
        """Start without pools; ``policy`` is one of ``POLICIES``.

        Raises ``KeyError`` for an unknown policy.
        """
        self._instance = instance
        self._clock = clock
        self._send = send
        self._list_replicas = list_replicas
        self._find_row = find_row
        self._is_allocator = is_allocator
        self._count_alive = count_alive
        self._policy = placement.make_policy(policy)
        self._pools: dict[str, pools.Pool] = {}
        self._loop: asyncio.AbstractEventLoop | None = None
        self._touched: set[str] = set()

    def receive(self, message: RequesterMessage) -> None:
        """Apply an instance's message; grants follow at the next tick.

        While ``run`` is active, a decision follows each burst of messages.
        """
        if not self._is_allocator(message.pool):
            return
        pool = self._find_pool(message.pool)
        now_s = self._clock.read_monotonic()
        if isinstance(message, messages.Report):
            self._apply_report(pool, message, now_s)
        elif isinstance(message, messages.NewAsk):
            pool.intake.apply_request(
                message, share=pool.fleet.share, now_s=now_s
            )
        else:
            pool.intake.apply_release(message, now_s=now_s)
        self._schedule(message.pool)

    def note_load(
        self, pool: str, replica: str, running: int, waiting: int
    ) -> None:
        """Apply a replica's own report of its load, which lags behind."""
        allocated = self._pools.get(pool)
        if allocated is not None and replica in allocated.state.replicas:
            allocated.state.replicas[replica].note_load(running + waiting)

    def note_cache_events(
        self,
        pool: str,
        replica: str,
        events: abc.Iterable[CacheEvent],
        events_lost: bool,
    ) -> None:
        """Apply a replica's cache events; ``events_lost`` tells of a gap."""
        allocated = self._pools.get(pool)
        if allocated is not None:
            allocated.prefixes.note_events(
                replica, events, events_lost=events_lost
            )

    def tick(self) -> None:
        """Decide for every pool and send the decisions."""
        self._decide_for(tuple(self._pools))

    async def run(self) -> None:
        """Tick until cancelled."""
        self._loop = asyncio.get_running_loop()
        while True:
            self.tick()
            busy = any(pool.state.queue for pool in self._pools.values())
            await self._clock.sleep(TICK if busy else IDLE_TICK)

    def describe(self) -> tuple[PoolStatus, ...]:
        """Return the state of every pool that is allocated here."""
        return tuple(
            _describe_pool(name, pool) for name, pool in self._pools.items()
        )

    def _schedule(self, name: str) -> None:
        if self._loop is not None and not self._touched:
            self._loop.call_soon(self._decide_touched)
        self._touched.add(name)

    def _decide_touched(self) -> None:
        touched = tuple(self._touched)
        self._touched.clear()
        self._decide_for(touched)

    def _decide_for(self, names: abc.Iterable[str]) -> None:
        now_s = self._clock.read_monotonic()
        for name in names:
            pool = self._pools.get(name)
            if pool is None:
                continue
            if self._is_allocator(name):
                self._decide(name, pool, now_s)
            else:
                self._pools.pop(name)

    def _find_pool(self, name: str) -> pools.Pool:
        pool = self._pools.get(name)
        if pool is None:
            pool = pools.Pool(
                policy=self._policy,
                find_row=self._find_row,
                now_s=self._clock.read_monotonic(),
            )
            # Sequences grow across restarts, as grants carry no incarnation.
            wall_s = self._clock.read_wall().timestamp()
            pool.sequence = int(wall_s * _MICROSECONDS)
            pool.set_replicas(self._list_replicas(name))
            self._pools[name] = pool
        return pool

    def _apply_report(
        self, pool: pools.Pool, report: messages.Report, now_s: float
    ) -> None:
        is_new = pool.intake.apply_report(
            report, share=pool.fleet.share, now_s=now_s
        )
        if not is_new:
            return
        for reading in report.readings:
            replica = pool.state.replicas.get(reading.replica)
            if replica is not None:
                replica.note_reading(reading, now_s=now_s)
                pool.prefixes.note_cached(
                    reading.replica, reading.cached_tokens
                )
        pool.update_stragglers(now_s)

    def _decide(self, name: str, pool: pools.Pool, now_s: float) -> None:
        pool.set_replicas(self._list_replicas(name))
        pool.intake.expire_senders(now_s)
        pool.fleet = pools.Fleet(
            pool.intake.count_reporting(), self._count_alive()
        )
        decisions = allocation.decide(pool, now_s)
        for refused in pool.intake.refused:
            self._send_refusal(name, refused)
        pool.intake.refused.clear()
        for grant in decisions.granted:
            self._send_grant(name, pool, grant)
        for request in decisions.preempted:
            self._send_preemption(name, request)

    def _send_grant(
        self, name: str, pool: pools.Pool, granted: allocation.Granted
    ) -> None:
        request = granted.request
        grant = messages.Grant(
            sender=self._instance,
            pool=name,
            sequence=request.sequence,
            request_id=request.request_id,
            replica=granted.info.name,
            address=granted.info.address,
            stamp_s=pool.intake.senders[request.sender].stamp_s,
        )
        self._send(request.sender, grant)

    def _send_refusal(self, name: str, refused: intake.RefusedRequest) -> None:
        refuse = messages.Refuse(
            sender=self._instance,
            pool=name,
            request_id=refused.request_id,
            reason=refused.reason,
            retry_after_s=refused.retry_after_s,
        )
        self._send(refused.sender, refuse)

    def _send_preemption(self, name: str, request: requests.Request) -> None:
        preempt = messages.Preempt(
            sender=self._instance, pool=name, request_id=request.request_id
        )
        self._send(request.sender, preempt)


def _describe_pool(name: str, pool: pools.Pool) -> PoolStatus:
    pool_state = pool.state
    return PoolStatus(
        pool=name,
        reporting=pool.fleet.reporting,
        alive=pool.fleet.alive,
        waiting={
            tier: pool_state.queue.count_tier(tier)
            for tier in pool_state.queue.list_tiers()
        },
        held={
            tier: len(held) for tier, held in pool_state.held.items() if held
        },
        replicas=tuple(
            ReplicaStatus(
                replica=replica,
                held=state.load.held,
                limit=state.limit.max_concurrency,
                state=state.straggler_status.state.value,
                gap_s=state.speed.estimate_gap_s(state.load.held),
                prefill_rate=state.speed.prefill_rate,
            )
            for replica, state in pool_state.replicas.items()
        ),
    )
