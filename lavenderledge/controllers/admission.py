"""The asker's side of allocation: every request that this instance holds."""

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
# The least time between a report and an early one.
_EARLY_REPORT_S: typing.Final = 0.1

Placement: typing.TypeAlias = outstanding.Placement
Refusal: typing.TypeAlias = outstanding.Refusal
Decision: typing.TypeAlias = outstanding.Decision
Send: typing.TypeAlias = abc.Callable[[str, messages.Message], object]
AllocatorMessage: typing.TypeAlias = (
    messages.Grant | messages.Refuse | messages.Preempt
)

_LATE: typing.Final = Refusal(
    outcomes.Reason.DEADLINE_EXCEEDED,
    'no replica was free before the deadline',
    None,
)
_DISPLACED: typing.Final = Refusal(
    outcomes.Reason.DISPLACED, 'a higher tier needs the room', None
)


class Admission:
    """Asks allocators for placements and keeps them told.

    Reports are level-triggered: each carries everything that is held for a
    pool, so that a lost message heals with the next report. Only the present
    allocator of a pool is heeded.
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
        """Hold nothing yet.

        ``requery`` gives a row's present tier and weight, or None where the
        row is gone; ``list_pools`` names the pools that are reported even
        while nothing is held for them. ``on_preempt`` is told of requests
        whose first byte has gone and that are to be cancelled.
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
        self._sides: dict[str, outstanding.PoolRequests] = {}
        self._waiting = outstanding.WaitingList()
        self._deadlines = _Deadlines()

    async def acquire(
        self, *, pool: str, spec: messages.RequestSpec, deadline_s: float
    ) -> Decision:
        """Wait for a placement, a refusal or the deadline.

        ``deadline_s`` is a monotonic reading. A second call for a request
        that is still held gives its grant back and waits for another; time
        waited counts from the first call. Cancelling releases the request.
        """
        waiter: asyncio.Future[Decision]
        waiter = asyncio.get_running_loop().create_future()
        self._enter(pool, spec, deadline_s, waiter)
        try:
            return await waiter
        except asyncio.CancelledError:
            self.release(spec.request_id, 0)
            raise

    def is_current(self, placement: Placement) -> bool:
        """Return whether a first byte may go out on the placement now.

        Where it may not, the grant is given back; ask again to wait on.
        """
        entry = self._entries.get(placement.request_id)
        if entry is None or entry.placement != placement or entry.preempted:
            return False
        if entry.progress is None and self._now() >= placement.expires_s:
            self._give_back(entry)
            return False
        return True

    def note_first_byte(self, request_id: str) -> None:
        """Record the first byte; call right after ``is_current``."""
        entry = self._entries.get(request_id)
        if entry is not None and entry.placement is not None:
            entry.progress = progress.RequestProgress(
                replica=entry.placement.replica, started_s=self._now()
            )

    def note_tokens(self, request_id: str, output_done: int) -> None:
        """Record the output tokens so far; gaps are measured from here."""
        entry = self._entries.get(request_id)
        if entry is None or entry.progress is None:
            return
        entry.output_done = output_done
        self._sides[entry.pool].readings.note_tokens(
            entry.progress,
            done=output_done,
            prompt_tokens=entry.spec.prompt_tokens,
            now_s=self._now(),
        )

    def note_cached(
        self, *, pool: str, replica: str, cached_tokens: int
    ) -> None:
        """Record how much of a prompt the replica said it had cached."""
        side = self._find_side(pool)
        side.readings.note_cached(replica, cached_tokens)

    def note_failure(self, *, pool: str, replica: str) -> None:
        """Record a failed connect or a refusal by the replica itself."""
        side = self._find_side(pool)
        side.readings.note_failure(replica)
        side.early_report_due = True
        self._keep_told(pool, side, self._now())

    def release(self, request_id: str, output_done: int) -> None:
        """Give back a request, whatever its state; repeats do nothing."""
        entry = self._entries.get(request_id)
        if entry is not None:
            self._drop(entry)
            self._send_release(entry, max(output_done, entry.output_done))

    def request_immediate_decision(self, request_id: str) -> None:
        """Ask for a waiting request's grant or refusal without delay."""
        entry = self._entries.get(request_id)
        if entry is not None and entry.waiter is not None:
            entry.spec = entry.spec._replace(immediate=True)
            self._send_ask(entry)

    def displace(self, tier: int) -> bool:
        """End the newest waiting request of the lowest tier under ``tier``.

        Tier 1 is the highest. Returns False where none is lower.
        """
        entry = self._waiting.find_newest_below(tier)
        if entry is not None:
            self._deny(entry, _DISPLACED)
        return entry is not None

    def count_waiting(self) -> int:
        """Return how many requests wait in this instance."""
        return self._waiting.count()

    def receive(self, message: AllocatorMessage) -> None:
        """Take an allocator's message; stale ones change nothing."""
        if isinstance(message, messages.Grant):
            self._take_grant(message)
        elif message.sender == self._find_allocator(message.pool):
            entry = self._entries.get(message.request_id)
            if entry is None:
                return
            if isinstance(message, messages.Refuse):
                self._take_refuse(entry, message)
            else:
                self._take_preempt(entry)

    def tick(self) -> None:
        """End what is past its deadline and send the reports that are due."""
        now_s = self._now()
        for request_id in self._deadlines.pop_until(now_s):
            entry = self._entries.get(request_id)
            if entry is None or entry.waiter is None:
                continue
            if entry.deadline_s <= now_s:
                self._deny(entry, _LATE)
        for pool in self._list_pools():
            self._find_side(pool)
        for pool, side in tuple(self._sides.items()):
            self._keep_told(pool, side, now_s)

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await self._clock.sleep(TICK if self._entries else IDLE_TICK)

    def _now(self) -> float:
        return self._clock.read_monotonic()

    def _find_side(self, pool: str) -> outstanding.PoolRequests:
        side = self._sides.get(pool)
        if side is None:
            side = outstanding.PoolRequests()
            self._sides[pool] = side
        return side

    def _enter(
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
            self._find_side(pool).entries[spec.request_id] = entry
        elif entry.placement is not None:
            self._give_back(entry)
        entry.waiter = waiter
        self._waiting.add(entry)
        self._deadlines.add(deadline_s, spec.request_id)
        self._send_ask(entry)

    def _give_back(self, entry: outstanding.Entry) -> None:
        entry.expire_grant()
        self._send_release(entry, 0)

    def _take_grant(self, grant: messages.Grant) -> None:
        entry = self._entries.get(grant.request_id)
        current = grant.sender == self._find_allocator(grant.pool)
        if entry is None or not current:
            self._send(
                grant.sender, self._build_release(grant.pool, grant.request_id)
            )
        fresh = current and self._note_grant(grant)
        if entry is None or entry.waiter is None or not fresh:
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
        self._settle(entry, expression.Ok(entry.placement))

    def _note_grant(self, grant: messages.Grant) -> bool:
        """Return whether the allocator still counts the grant as given."""
        side = self._find_side(grant.pool)
        if grant.sender != side.allocator:
            side.set_allocator(grant.sender)
        if grant.sequence <= side.grant_reported:
            return False
        side.grant_seen = max(side.grant_seen, grant.sequence)
        return True

    def _take_refuse(
        self, entry: outstanding.Entry, refuse: messages.Refuse
    ) -> None:
        if entry.waiter is None:
            return
        self._drop(entry)
        denial = Refusal(
            outcomes.Reason(refuse.reason),
            'refused by the allocator',
            refuse.retry_after_s or None,
        )
        self._settle(entry, expression.Error(denial))

    def _take_preempt(self, entry: outstanding.Entry) -> None:
        if entry.placement is None or entry.preempted:
            return
        if not entry.spec.preemptible:
            return
        if entry.progress is None:
            self._give_back(entry)
            return
        entry.preempted = True
        self._on_preempt(entry.request_id)

    def _settle(self, entry: outstanding.Entry, verdict: Decision) -> None:
        waiter = entry.waiter
        entry.waiter = None
        self._waiting.remove(entry)
        if waiter is not None and not waiter.done():
            waiter.set_result(verdict)

    def _deny(self, entry: outstanding.Entry, denial: Refusal) -> None:
        self._drop(entry)
        self._send_release(entry, 0)
        self._settle(entry, expression.Error(denial))

    def _drop(self, entry: outstanding.Entry) -> None:
        self._entries.pop(entry.request_id, None)
        self._sides[entry.pool].entries.pop(entry.request_id, None)
        self._waiting.remove(entry)

    def _keep_told(
        self, pool: str, side: outstanding.PoolRequests, now_s: float
    ) -> None:
        """Send a pool's report if it is due, or if its allocator is new."""
        allocator = self._find_allocator(pool)
        if allocator != side.allocator:
            side.set_allocator(allocator)
        if side.readings.detect_slowdown(now_s):
            side.early_report_due = True
        wait_s = (
            _EARLY_REPORT_S if side.early_report_due else _REPORT_INTERVAL_S
        )
        if allocator is None or now_s - side.reported_s < wait_s:
            return
        if self._find_priority is not None:
            self._waiting.update_priorities(self._find_priority)
        report = side.build_report(
            sender=self._instance,
            incarnation=self._incarnation,
            pool=pool,
            now_s=now_s,
        )
        self._send(allocator, report)

    def _send_ask(self, entry: outstanding.Entry) -> None:
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
    """Request ids by their deadlines, the earliest first."""

    def __init__(self) -> None:
        """Start empty."""
        self._heap: list[tuple[float, int, str]] = []
        self._order = itertools.count()

    def add(self, deadline_s: float, request_id: str) -> None:
        """Add a deadline; old ones of the same request stay."""
        entry = (deadline_s, next(self._order), request_id)
        heapq.heappush(self._heap, entry)

    def pop_until(self, now_s: float) -> abc.Iterator[str]:
        """Yield the requests whose deadlines have come, and forget them."""
        while self._heap and self._heap[0][0] <= now_s:
            yield heapq.heappop(self._heap)[2]
