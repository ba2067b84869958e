"""The requester's side of allocation: this instance's own requests."""

import asyncio
import datetime
import heapq
import itertools
import typing
from collections import abc

import expression

from lavenderledge import clock as clocks
from lavenderledge import outcomes
from lavenderledge.peers import messages
from lavenderledge.policy import outstanding, progress

REPORT_INTERVAL: typing.Final = datetime.timedelta(seconds=1)
GRANT_TTL: typing.Final = datetime.timedelta(seconds=2)
_TICK_MS: typing.Final = 50
TICK: typing.Final = datetime.timedelta(milliseconds=_TICK_MS)
_IDLE_TICK_MS: typing.Final = 200
IDLE_TICK: typing.Final = datetime.timedelta(milliseconds=_IDLE_TICK_MS)

_REPORT_INTERVAL_S: typing.Final = REPORT_INTERVAL.total_seconds()
_GRANT_TTL_S: typing.Final = GRANT_TTL.total_seconds()
# The minimum time between a report and an early one.
_MIN_REPORT_INTERVAL_S: typing.Final = 0.1

Placement: typing.TypeAlias = outstanding.Placement
Refusal: typing.TypeAlias = outstanding.Refusal
Decision: typing.TypeAlias = outstanding.Decision
Send: typing.TypeAlias = abc.Callable[[str, messages.Message], object]
AllocatorMessage: typing.TypeAlias = (
    messages.Grant | messages.Refuse | messages.Preempt
)

_DEADLINE_EXCEEDED: typing.Final = Refusal(
    outcomes.Reason.DEADLINE_EXCEEDED,
    'no replica became free before the deadline',
    None,
)
_DISPLACED: typing.Final = Refusal(
    outcomes.Reason.DISPLACED, 'displaced by a request of a higher tier', None
)


class Admission:
    """Requests placements from allocators and reports to them.

    Reports are level-triggered: each carries all requests of a pool, so that
    the next report makes up for a lost message. Messages of instances other
    than the pool's current allocator are ignored.
    """

    def __init__(
        self,
        *,
        instance: str,
        incarnation: int,
        clock: clocks.Clock,
        send: Send,
        find_allocator: abc.Callable[[str], str | None],
        on_preempt: abc.Callable[[str], None],
        list_pools: abc.Callable[[], abc.Iterable[str]] = tuple,
        find_priority: outstanding.FindPriority | None = None,
    ) -> None:
        """Start without requests.

        ``find_priority`` returns a row's current tier and weight, or None if
        the row was removed. ``list_pools`` returns the pools that are reported
        even without requests. ``on_preempt`` gets the ids of requests to be
        cancelled after their first byte was sent.
        """
        self._instance = instance
        self._incarnation = incarnation
        self._clock = clock
        self._send = send
        self._find_allocator = find_allocator
        self._on_preempt = on_preempt
        self._list_pools = list_pools
        self._find_priority = find_priority
        self._entries: outstanding.Entries = {}
        self._pools: dict[str, outstanding.PoolRequests] = {}
        self._waiting = outstanding.WaitingList()
        self._deadlines = _Deadlines()

    async def acquire(
        self, *, pool: str, spec: messages.RequestSpec, deadline_s: float
    ) -> Decision:
        """Wait for a placement, a refusal or the deadline.

        ``deadline_s`` is a monotonic time. A second call for a request that
        is still held releases its grant and waits for another; the waiting
        time counts from the first call. Cancelling releases the request.
        """
        waiter: asyncio.Future[Decision]
        waiter = asyncio.get_running_loop().create_future()
        self._enqueue(pool, spec, deadline_s, waiter)
        try:
            return await waiter
        except asyncio.CancelledError:
            self.release(spec.request_id, 0)
            raise

    def is_current(self, placement: Placement) -> bool:
        """Return whether the first byte may be sent on the placement now.

        An expired grant is released; call ``acquire`` again for another.
        """
        entry = self._entries.get(placement.request_id)
        if entry is None or entry.placement != placement or entry.preempted:
            return False
        if entry.progress is None and self._now() >= placement.expires_s:
            self._release_grant(entry)
            return False
        return True

    def note_first_byte(self, request_id: str) -> None:
        """Record the first byte sent; call right after ``is_current``."""
        entry = self._entries.get(request_id)
        if entry is not None and entry.placement is not None:
            entry.progress = progress.RequestProgress(
                replica=entry.placement.replica, started_s=self._now()
            )

    def note_tokens(self, request_id: str, output_done: int) -> None:
        """Record the output tokens so far and the time since the last call."""
        entry = self._entries.get(request_id)
        if entry is None or entry.progress is None:
            return
        entry.output_done = output_done
        self._pools[entry.pool].readings.note_tokens(
            entry.progress,
            done=output_done,
            prompt_tokens=entry.spec.prompt_tokens,
            now_s=self._now(),
        )

    def note_cached(
        self, *, pool: str, replica: str, cached_tokens: int
    ) -> None:
        """Record how many tokens of a prompt the replica had cached."""
        pool_requests = self._find_pool(pool)
        pool_requests.readings.note_cached(replica, cached_tokens)

    def note_failure(self, *, pool: str, replica: str) -> None:
        """Record a failed connect or a refusal by the replica itself."""
        pool_requests = self._find_pool(pool)
        pool_requests.readings.note_failure(replica)
        pool_requests.early_report_due = True
        self._report_if_due(pool, pool_requests, self._now())

    def release(self, request_id: str, output_done: int) -> None:
        """Release a request in any state; repeated calls have no effect."""
        entry = self._entries.get(request_id)
        if entry is not None:
            self._drop(entry)
            self._send_release(entry, max(output_done, entry.output_done))

    def request_immediate_decision(self, request_id: str) -> None:
        """Request the grant or refusal of a waiting request without delay."""
        entry = self._entries.get(request_id)
        if entry is not None and entry.waiter is not None:
            entry.spec = entry.spec._replace(immediate=True)
            self._send_request(entry)

    def displace(self, tier: int) -> bool:
        """End the newest waiting request of the lowest tier below ``tier``.

        Tier 1 is the highest. Returns False if no lower tier waits.
        """
        entry = self._waiting.find_newest_below(tier)
        if entry is not None:
            self._refuse(entry, _DISPLACED)
        return entry is not None

    def count_waiting(self) -> int:
        """Return the number of requests that wait in this instance."""
        return self._waiting.count()

    def receive(self, message: AllocatorMessage) -> None:
        """Apply an allocator's message; stale ones are ignored."""
        if isinstance(message, messages.Grant):
            self._apply_grant(message)
        elif message.sender == self._find_allocator(message.pool):
            entry = self._entries.get(message.request_id)
            if entry is None:
                return
            if isinstance(message, messages.Refuse):
                self._apply_refuse(entry, message)
            else:
                self._apply_preempt(entry)

    def tick(self) -> None:
        """End requests past their deadline and send the reports due."""
        now_s = self._now()
        for request_id in self._deadlines.pop_until(now_s):
            entry = self._entries.get(request_id)
            if entry is None or entry.waiter is None:
                continue
            if entry.deadline_s <= now_s:
                self._refuse(entry, _DEADLINE_EXCEEDED)
        for pool in self._list_pools():
            self._find_pool(pool)
        for pool, pool_requests in tuple(self._pools.items()):
            self._report_if_due(pool, pool_requests, now_s)

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await self._clock.sleep(TICK if self._entries else IDLE_TICK)

    def _now(self) -> float:
        return self._clock.read_monotonic()

    def _find_pool(self, pool: str) -> outstanding.PoolRequests:
        pool_requests = self._pools.get(pool)
        if pool_requests is None:
            pool_requests = outstanding.PoolRequests()
            self._pools[pool] = pool_requests
        return pool_requests

    def _enqueue(
        self,
        pool: str,
        spec: messages.RequestSpec,
        deadline_s: float,
        waiter: 'asyncio.Future[Decision]',
    ) -> None:
        entry = self._entries.get(spec.request_id)
        if entry is None:
            entry = outstanding.Entry(
                pool=pool,
                spec=spec,
                arrived_s=self._now() - spec.waited_s,
                deadline_s=deadline_s,
            )
            self._entries[spec.request_id] = entry
            self._find_pool(pool).entries[spec.request_id] = entry
        elif entry.placement is not None:
            self._release_grant(entry)
        entry.waiter = waiter
        self._waiting.add(entry)
        self._deadlines.add(deadline_s, spec.request_id)
        self._send_request(entry)

    def _release_grant(self, entry: outstanding.Entry) -> None:
        entry.expire_grant()
        self._send_release(entry, 0)

    def _apply_grant(self, grant: messages.Grant) -> None:
        entry = self._entries.get(grant.request_id)
        current = grant.sender == self._find_allocator(grant.pool)
        if entry is None or not current:
            self._send(
                grant.sender, self._build_release(grant.pool, grant.request_id)
            )
        is_valid = current and self._note_grant(grant)
        if entry is None or entry.waiter is None or not is_valid:
            return
        expires_s = grant.stamp_s + _GRANT_TTL_S
        if self._now() >= expires_s:
            return
        entry.placement = Placement(
            grant.pool,
            grant.request_id,
            grant.replica,
            grant.address,
            expires_s,
        )
        self._resolve(entry, expression.Ok(entry.placement))

    def _note_grant(self, grant: messages.Grant) -> bool:
        """Record a grant; return False if it was reported as lost."""
        pool_requests = self._find_pool(grant.pool)
        if grant.sender != pool_requests.allocator:
            pool_requests.set_allocator(grant.sender)
        if grant.sequence <= pool_requests.grant_reported:
            return False
        pool_requests.grant_seen = max(pool_requests.grant_seen, grant.sequence)
        return True

    def _apply_refuse(
        self, entry: outstanding.Entry, refuse: messages.Refuse
    ) -> None:
        if entry.waiter is None:
            return
        self._drop(entry)
        refusal = Refusal(
            outcomes.Reason(refuse.reason),
            'refused by the allocator',
            refuse.retry_after_s or None,
        )
        self._resolve(entry, expression.Error(refusal))

    def _apply_preempt(self, entry: outstanding.Entry) -> None:
        if entry.placement is None or entry.preempted:
            return
        if not entry.spec.preemptible:
            return
        if entry.progress is None:
            self._release_grant(entry)
            return
        entry.preempted = True
        self._on_preempt(entry.request_id)

    def _resolve(self, entry: outstanding.Entry, decision: Decision) -> None:
        waiter = entry.waiter
        entry.waiter = None
        self._waiting.remove(entry)
        if waiter is not None and not waiter.done():
            waiter.set_result(decision)

    def _refuse(self, entry: outstanding.Entry, refusal: Refusal) -> None:
        self._drop(entry)
        self._send_release(entry, 0)
        self._resolve(entry, expression.Error(refusal))

    def _drop(self, entry: outstanding.Entry) -> None:
        self._entries.pop(entry.request_id, None)
        self._pools[entry.pool].entries.pop(entry.request_id, None)
        self._waiting.remove(entry)

    def _report_if_due(
        self, pool: str, pool_requests: outstanding.PoolRequests, now_s: float
    ) -> None:
        """Send a pool's report if it is due or the allocator changed."""
        allocator = self._find_allocator(pool)
        if allocator != pool_requests.allocator:
            pool_requests.set_allocator(allocator)
        if pool_requests.readings.detect_slowdown(now_s):
            pool_requests.early_report_due = True
        wait_s = (
            _MIN_REPORT_INTERVAL_S
            if pool_requests.early_report_due
            else _REPORT_INTERVAL_S
        )
        if allocator is None or now_s - pool_requests.reported_s < wait_s:
            return
        if self._find_priority is not None:
            self._waiting.update_priorities(self._find_priority)
        report = pool_requests.build_report(
            sender=self._instance,
            incarnation=self._incarnation,
            pool=pool,
            now_s=now_s,
        )
        self._send(allocator, report)

    def _send_request(self, entry: outstanding.Entry) -> None:
        allocator = self._find_allocator(entry.pool)
        if allocator is None:
            return
        now_s = self._now()
        message = messages.NewAsk(
            sender=self._instance,
            incarnation=self._incarnation,
            pool=entry.pool,
            stamp_s=now_s,
            spec=entry.build_spec(now_s),
        )
        self._send(allocator, message)

    def _send_release(self, entry: outstanding.Entry, output_done: int) -> None:
        allocator = self._find_allocator(entry.pool)
        if allocator is not None:
            release = self._build_release(
                entry.pool, entry.request_id, output_done
            )
            self._send(allocator, release)

    def _build_release(
        self, pool: str, request_id: str, output_done: int = 0
    ) -> messages.Release:
        return messages.Release(
            sender=self._instance,
            incarnation=self._incarnation,
            pool=pool,
            request_id=request_id,
            output_done=output_done,
        )


class _Deadlines:
    """A priority queue of request ids by deadline."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._heap: list[tuple[float, int, str]] = []
        self._order = itertools.count()

    def add(self, deadline_s: float, request_id: str) -> None:
        """Add a deadline; earlier ones of the same request stay."""
        entry = (deadline_s, next(self._order), request_id)
        heapq.heappush(self._heap, entry)

    def pop_until(self, now_s: float) -> abc.Iterator[str]:
        """Remove and yield the requests whose deadlines are reached."""
        while self._heap and self._heap[0][0] <= now_s:
            yield heapq.heappop(self._heap)[2]
