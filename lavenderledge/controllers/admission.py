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
from lavenderledge.policy import progress

REPORT_INTERVAL: typing.Final = datetime.timedelta(seconds=1)
GRANT_TTL: typing.Final = datetime.timedelta(seconds=2)
TICK: typing.Final = datetime.timedelta(milliseconds=25)

_REPORT_INTERVAL_S: typing.Final = REPORT_INTERVAL.total_seconds()
_GRANT_TTL_S: typing.Final = GRANT_TTL.total_seconds()
# The least time between a report and an early one.
_EARLY_REPORT_S: typing.Final = 0.1

Send: typing.TypeAlias = abc.Callable[[str, messages.Message], object]


class Placement(typing.NamedTuple):
    """Leave to dispatch a request; expires on this instance's own clock."""

    pool: str
    request_id: str
    replica: str
    address: str
    expires_s: float


class Denial(typing.NamedTuple):
    """Why a request that waited was not placed."""

    reason: outcomes.Reason
    detail: str
    retry_after_s: float | None


Verdict: typing.TypeAlias = expression.Result[Placement, Denial]


class _Entry:
    """One request that waits, holds a grant or runs."""

    def __init__(
        self, *, pool: str, ask: messages.Ask, asked_s: float, deadline_s: float
    ) -> None:
        """Start as waiting."""
        self.pool = pool
        self.ask = ask
        self.asked_s = asked_s
        self.deadline_s = deadline_s
        self.placement: Placement | None = None
        self.mark: progress.Mark | None = None
        self.output_done = 0
        self.preempted = False
        self.waiter: asyncio.Future[Verdict] | None = None


class _Side:
    """What this instance holds for one pool."""

    def __init__(self) -> None:
        """Start empty, with a report due at once."""
        self.entries: dict[str, _Entry] = {}
        self.progress = progress.Progress()
        self.allocator: str | None = None
        self.grant_seen = 0
        self.sequence = 0
        self.reported_s = float('-inf')
        self.early = False


class Admission:
    """Asks allocators for placements and keeps them told.

    Reports are level-triggered: each carries everything that is held for a
    pool, so that a lost message heals with the next report.
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
        requery: abc.Callable[[str], tuple[int, float] | None] | None = None,
    ) -> None:
        """Hold nothing yet.

        ``requery`` gives a row's present tier and weight, or None where the
        row is gone; ``list_pools`` names the pools that are reported even
        while nothing is held for them.
        """
        self._instance = instance
        self._incarnation = incarnation
        self._clock = clock
        self._send = send
        self._find_allocator = find_allocator
        self._on_preempt = on_preempt
        self._list_pools = list_pools
        self._requery = requery
        self._entries: dict[str, _Entry] = {}
        self._sides: dict[str, _Side] = {}
        self._waiting: dict[int, dict[str, _Entry]] = {}
        self._deadlines: list[tuple[float, int, str]] = []
        self._counter = itertools.count()

    async def acquire(
        self, *, pool: str, ask: messages.Ask, deadline_s: float
    ) -> Verdict:
        """Wait for a placement, a refusal or the deadline.

        ``deadline_s`` is a monotonic reading. A second call for a request
        that is still held gives its grant back and waits for another; time
        waited counts from the first call. Cancelling releases the request.
        """
        waiter: asyncio.Future[Verdict]
        waiter = asyncio.get_running_loop().create_future()
        self._enter(pool, ask, deadline_s, waiter)
        try:
            return await waiter
        except asyncio.CancelledError:
            self.release(ask.request_id, 0)
            raise

    def is_current(self, placement: Placement) -> bool:
        """Return whether a first byte may go out on the placement now."""
        entry = self._entries.get(placement.request_id)
        if entry is None or entry.placement != placement or entry.preempted:
            return False
        if entry.mark is None and self._now() >= placement.expires_s:
            self._return_grant(entry)
            return False
        return True

    def start(self, request_id: str) -> None:
        """Record the first byte; call right after ``is_current``."""
        entry = self._entries.get(request_id)
        if entry is not None and entry.placement is not None:
            entry.mark = progress.Mark(
                replica=entry.placement.replica, started_s=self._now()
            )

    def note_tokens(self, request_id: str, output_done: int) -> None:
        """Record the output tokens so far; gaps are measured from here."""
        entry = self._entries.get(request_id)
        if entry is None or entry.mark is None:
            return
        entry.output_done = output_done
        self._sides[entry.pool].progress.note_tokens(
            entry.mark,
            done=output_done,
            prompt_tokens=entry.ask.prompt_tokens,
            now_s=self._now(),
        )

    def note_cached(
        self, *, pool: str, replica: str, cached_tokens: int
    ) -> None:
        """Record how much of a prompt the replica said it had cached."""
        self._find_side(pool).progress.note_cached(replica, cached_tokens)

    def note_failure(self, *, pool: str, replica: str) -> None:
        """Record a failed connect or a refusal by the replica itself."""
        side = self._find_side(pool)
        side.progress.note_failure(replica)
        self._report_early(pool, side)

    def release(self, request_id: str, output_done: int) -> None:
        """Give back a request, whatever its state; repeats do nothing."""
        entry = self._entries.get(request_id)
        if entry is not None:
            self._drop(entry)
            self._send_release(entry, max(output_done, entry.output_done))

    def press(self, request_id: str) -> None:
        """Ask for a waiting request's grant or refusal without delay."""
        entry = self._entries.get(request_id)
        if entry is not None and entry.placement is None:
            entry.ask = entry.ask._replace(pressed=True)
            self._send_ask(entry)

    def displace(self, tier: int) -> bool:
        """End the newest waiting request of the lowest tier under ``tier``.

        Tier 1 is the highest. Returns False where none is lower.
        """
        lowest = max(
            (key for key, held in self._waiting.items() if held), default=0
        )
        if lowest <= tier:
            return False
        entry = next(reversed(self._waiting[lowest].values()))
        self._deny(
            entry,
            Denial(
                outcomes.Reason.DISPLACED, 'a higher tier needs the room', None
            ),
        )
        return True

    def count_waiting(self) -> int:
        """Return how many requests wait in this instance."""
        return sum(map(len, self._waiting.values()))

    def receive(
        self, message: messages.Grant | messages.Refuse | messages.Preempt
    ) -> None:
        """Take an allocator's message; stale ones change nothing."""
        if isinstance(message, messages.Grant):
            self._take_grant(message)
        elif isinstance(message, messages.Refuse):
            self._take_refuse(message)
        elif isinstance(message, messages.Preempt):
            self._take_preempt(message)

    def tick(self) -> None:
        """End what is past its deadline and send the reports that are due."""
        now_s = self._now()
        while self._deadlines and self._deadlines[0][0] <= now_s:
            _, _, request_id = heapq.heappop(self._deadlines)
            self._expire(request_id, now_s)
        for pool in self._list_pools():
            self._find_side(pool)
        for pool, side in tuple(self._sides.items()):
            self._keep_told(pool, side, now_s)

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await self._clock.sleep(TICK)

    def _now(self) -> float:
        return self._clock.read_monotonic()

    def _find_side(self, pool: str) -> _Side:
        side = self._sides.get(pool)
        if side is None:
            side = _Side()
            self._sides[pool] = side
        return side

    def _enter(
        self,
        pool: str,
        ask: messages.Ask,
        deadline_s: float,
        waiter: 'asyncio.Future[Verdict]',
    ) -> None:
        entry = self._entries.get(ask.request_id)
        if entry is None:
            asked_s = self._now() - ask.waited_s
            entry = _Entry(
                pool=pool, ask=ask, asked_s=asked_s, deadline_s=deadline_s
            )
            self._entries[ask.request_id] = entry
            self._find_side(pool).entries[ask.request_id] = entry
        elif entry.placement is not None:
            self._send_release(entry, 0)
            self._return_grant(entry)
        entry.waiter = waiter
        self._waiting.setdefault(ask.tier, {})[ask.request_id] = entry
        heapq.heappush(
            self._deadlines, (deadline_s, next(self._counter), ask.request_id)
        )
        self._send_ask(entry)

    def _return_grant(self, entry: _Entry) -> None:
        """Put a request that has not started back to waiting."""
        entry.placement = None
        entry.mark = None
        entry.preempted = False
        entry.waiter = None

    def _take_grant(self, grant: messages.Grant) -> None:
        side = self._find_side(grant.pool)
        if grant.sender == side.allocator:
            side.grant_seen = max(side.grant_seen, grant.sequence)
        entry = self._entries.get(grant.request_id)
        current = grant.sender == self._find_allocator(grant.pool)
        if entry is None or not current:
            self._send(
                grant.sender,
                self._build_release(grant.pool, grant.request_id, 0),
            )
            return
        expires_s = grant.stamp_s + _GRANT_TTL_S
        if entry.waiter is None or self._now() >= expires_s:
            return
        entry.placement = Placement(
            grant.pool,
            grant.request_id,
            grant.replica,
            grant.address,
            expires_s,
        )
        self._settle(entry, expression.Ok(entry.placement))

    def _take_refuse(self, refuse: messages.Refuse) -> None:
        entry = self._entries.get(refuse.request_id)
        if entry is None or entry.waiter is None:
            return
        if refuse.sender == self._find_allocator(refuse.pool):
            self._drop(entry)
            denial = Denial(
                outcomes.Reason(refuse.reason),
                'refused by the allocator',
                refuse.retry_after_s or None,
            )
            self._settle(entry, expression.Error(denial))

    def _take_preempt(self, preempt: messages.Preempt) -> None:
        entry = self._entries.get(preempt.request_id)
        if entry is None or entry.placement is None or entry.preempted:
            return
        if not entry.ask.preemptible:
            return
        if preempt.sender == self._find_allocator(preempt.pool):
            entry.preempted = True
            self._on_preempt(preempt.request_id)

    def _settle(self, entry: _Entry, verdict: Verdict) -> None:
        waiter = entry.waiter
        entry.waiter = None
        self._waiting.get(entry.ask.tier, {}).pop(entry.ask.request_id, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(verdict)

    def _deny(self, entry: _Entry, denial: Denial) -> None:
        self._drop(entry)
        self._send_release(entry, 0)
        self._settle(entry, expression.Error(denial))

    def _drop(self, entry: _Entry) -> None:
        request_id = entry.ask.request_id
        self._entries.pop(request_id, None)
        self._sides[entry.pool].entries.pop(request_id, None)
        self._waiting.get(entry.ask.tier, {}).pop(request_id, None)

    def _expire(self, request_id: str, now_s: float) -> None:
        entry = self._entries.get(request_id)
        if entry is None or entry.waiter is None or entry.deadline_s > now_s:
            return
        self._deny(
            entry,
            Denial(
                outcomes.Reason.DEADLINE_EXCEEDED,
                'no replica was free before the deadline',
                None,
            ),
        )

    def _keep_told(self, pool: str, side: _Side, now_s: float) -> None:
        allocator = self._find_allocator(pool)
        changed = allocator != side.allocator
        if changed:
            side.allocator = allocator
            side.grant_seen = 0
        wait_s = _EARLY_REPORT_S if side.early else _REPORT_INTERVAL_S
        if allocator is not None and (
            changed or now_s - side.reported_s >= wait_s
        ):
            self._send_report(pool, side, now_s)

    def _report_early(self, pool: str, side: _Side) -> None:
        side.early = True
        self._keep_told(pool, side, self._now())

    def _send_report(self, pool: str, side: _Side, now_s: float) -> None:
        side.sequence += 1
        side.reported_s = now_s
        side.early = False
        waiting = []
        running = []
        for entry in side.entries.values():
            if entry.placement is None:
                waiting.append(self._renew_ask(entry, now_s))
            else:
                running.append(_build_running(entry, entry.placement))
            if entry.mark is not None:
                side.progress.note_open_gap(entry.mark, now_s=now_s)
        report = messages.Report(
            sender=self._instance,
            incarnation=self._incarnation,
            pool=pool,
            sequence=side.sequence,
            stamp_s=now_s,
            grant_seen=side.grant_seen,
            waiting=tuple(waiting),
            running=tuple(running),
            readings=side.progress.take(),
        )
        if side.allocator is not None:
            self._send(side.allocator, report)

    def _renew_ask(self, entry: _Entry, now_s: float) -> messages.Ask:
        tier, weight = self._find_standing(entry.ask)
        if tier != entry.ask.tier:
            held = self._waiting.get(entry.ask.tier, {})
            if held.pop(entry.ask.request_id, None) is not None:
                self._waiting.setdefault(tier, {})[entry.ask.request_id] = entry
        entry.ask = entry.ask._replace(
            tier=tier,
            weight=weight,
            remaining_s=entry.deadline_s - now_s,
            waited_s=now_s - entry.asked_s,
        )
        return entry.ask

    def _find_standing(self, ask: messages.Ask) -> tuple[int, float]:
        found = self._requery(ask.row) if self._requery else None
        return found or (ask.tier, ask.weight)

    def _send_ask(self, entry: _Entry) -> None:
        now_s = self._now()
        allocator = self._find_allocator(entry.pool)
        if allocator is None:
            return
        ask = messages.NewAsk(
            sender=self._instance,
            incarnation=self._incarnation,
            pool=entry.pool,
            stamp_s=now_s,
            ask=self._renew_ask(entry, now_s),
        )
        self._send(allocator, ask)

    def _send_release(self, entry: _Entry, output_done: int) -> None:
        allocator = self._find_allocator(entry.pool)
        if allocator is not None:
            self._send(
                allocator,
                self._build_release(
                    entry.pool, entry.ask.request_id, output_done
                ),
            )

    def _build_release(
        self, pool: str, request_id: str, output_done: int
    ) -> messages.Release:
        return messages.Release(
            sender=self._instance,
            incarnation=self._incarnation,
            pool=pool,
            request_id=request_id,
            output_done=output_done,
        )


def _build_running(entry: _Entry, placement: Placement) -> messages.Running:
    return messages.Running(
        request_id=entry.ask.request_id,
        row=entry.ask.row,
        customer=entry.ask.customer,
        tier=entry.ask.tier,
        replica=placement.replica,
        prompt_tokens=entry.ask.prompt_tokens,
        output_tokens=entry.ask.output_tokens,
        output_done=entry.output_done,
        preemptible=entry.ask.preemptible,
        started=entry.mark is not None,
    )
