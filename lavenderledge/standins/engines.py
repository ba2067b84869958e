"""The state of the engine stand-in and the loop that drives it."""

import asyncio
import collections
import datetime
import typing
import uuid

from lavenderledge import clock as clocks
from lavenderledge.standins import (
    admin,
    batch,
    requestbody,
    generations,
    lag,
    prefixcache,
)

_KEEP_S = 60
_MOST_BEHIND_S = 0.25
_IDLE = batch.Load(running=0, waiting=0, cache_usage=0)


class Switches(typing.NamedTuple):
    """How the engine misbehaves.

    ``refuse`` answers 503 to new requests and ``unhealthy`` to ``/health``.
    ``silent`` silences the open connections once and ``cut`` closes them
    once; both reset themselves. ``silent_new`` counts the next requests that
    run but whose connection delivers nothing. ``cut_after_events`` closes
    each stream's connection after so many events, 0 never.
    ``cache_event_gaps`` is the share of cache events that are dropped.
    """

    slowdown: float = 1
    refuse: bool = False
    unhealthy: bool = False
    silent: bool = False
    silent_new: int = 0
    cut: bool = False
    cut_after_events: int = 0
    cache_event_gaps: float = 0


class Settings(typing.NamedTuple):
    """An engine's fixed properties."""

    model: str
    replica: str
    speed: batch.Speed
    cache_blocks: int
    block_tokens: int
    load_lag: datetime.timedelta
    cache_event_lag: datetime.timedelta
    orphan_timeout: datetime.timedelta
    fencing: typing.Literal['checked', 'ignored']


class Order(typing.NamedTuple):
    """An order in the log; ``fencing`` 0 where none was given."""

    kind: typing.Literal['order']
    order: str
    fencing: int
    accepted: bool
    time_s: float
    body: dict[str, typing.Any]


class Engine:
    """One engine: its batch, cache, requests and reports."""

    def __init__(self, *, clock: clocks.Clock, settings: Settings) -> None:
        """Start idle."""
        self.clock = clock
        self.settings = settings
        self.controls = admin.Controls(switches=Switches())
        self.feed = prefixcache.EventFeed()
        self._cache = prefixcache.PrefixCache(
            capacity=settings.cache_blocks, block_tokens=settings.block_tokens
        )
        self._batch = batch.Batch(speed=settings.speed, cache=self._cache)
        self._generations: dict[str, generations.Generation] = {}
        self._owners: dict[batch.Sequence, generations.Generation] = {}
        self._abandoned: dict[generations.Generation, float] = {}
        self._finished: collections.deque[generations.Generation] = (
            collections.deque()
        )
        self._load = lag.DelayedValue(initial=_IDLE)
        self._wake = asyncio.Event()
        self._fencing = 0
        self.controls.subscribe(self._apply)

    def find(self, response_id: str) -> generations.Generation | None:
        """Return a request that is running or was until a minute ago."""
        self._forget()
        return self._generations.get(response_id)

    def create(
        self, body: requestbody.CreateRequest
    ) -> generations.Generation | None:
        """Accept a request; nothing is returned where its id is known."""
        response_id = body.get('request_id') or f'resp_{uuid.uuid4().hex}'
        if self.find(response_id) is not None:
            return None
        made = generations.Generation(
            response_id=response_id,
            body=body,
            received_s=self._read_wall(),
            received_monotonic_s=self.clock.read_monotonic(),
            block_tokens=self.settings.block_tokens,
        )
        self._generations[response_id] = made
        self._owners[made.sequence] = made
        self.controls.journal.append(made.build_record())
        self._batch.add(made.sequence)
        self._admit()
        self._wake.set()
        return made

    def attach(
        self, made: generations.Generation, listener: generations.Listener
    ) -> None:
        """Let a connection take a request's answer."""
        made.listeners.add(listener)
        self._abandoned.pop(made, None)

    def detach(
        self, made: generations.Generation, listener: generations.Listener
    ) -> None:
        """Record that a connection is gone; the last one leaves an orphan."""
        made.listeners.discard(listener)
        if not made.listeners and not made.sequence.ended:
            limit_s = self.settings.orphan_timeout.total_seconds()
            self._abandoned[made] = self.clock.read_monotonic() + limit_s

    def cancel(
        self,
        made: generations.Generation,
        status: batch.Status = batch.Status.CANCELLED,
    ) -> None:
        """Stop a request; one that has ended stays as it is."""
        if made.sequence.ended:
            return
        self._batch.remove(made.sequence, status)
        self._finish(made)
        self._admit()

    def apply_order(self, body: dict[str, typing.Any]) -> bool:
        """Take an order, or refuse it for an old fencing number."""
        fencing = body.get('fencing')
        number = fencing if isinstance(fencing, int) else 0
        checked = self.settings.fencing == 'checked'
        accepted = not checked or number >= self._fencing
        if accepted:
            self._fencing = max(self._fencing, number)
        self.controls.journal.append(
            Order(
                kind='order',
                order=str(body.get('order')),
                fencing=number,
                accepted=accepted,
                time_s=self._read_wall(),
                body=body,
            )
        )
        return accepted

    def read_load(self) -> batch.Load:
        """Return the load as it is reported now."""
        return self._load.read(
            self.clock.read_monotonic(), self.settings.load_lag.total_seconds()
        )

    def read_cache_events(self, after: int) -> prefixcache.EventPage:
        """Return the cache events that are to be seen now."""
        return self.feed.read(
            self.clock.read_monotonic(),
            self.settings.cache_event_lag.total_seconds(),
            after,
        )

    async def run(self) -> None:
        """Drive the batch, step by step, until cancelled."""
        due_s = self.clock.read_monotonic()
        while True:
            if not self._batch.running:
                self._wake.clear()
                await self._wake.wait()
                due_s = self.clock.read_monotonic()
            due_s += self.begin_step()
            now_s = self.clock.read_monotonic()
            due_s = max(due_s, now_s - _MOST_BEHIND_S)
            await self.clock.sleep(
                datetime.timedelta(seconds=max(due_s - now_s, 0))
            )
            self.end_step()

    def begin_step(self) -> float:
        """Begin one step of the batch and return its seconds."""
        return self._batch.begin_step()

    def end_step(self) -> None:
        """End the step, and tell who listens."""
        decoded, prefilled = self._batch.end_step()
        for sequence in prefilled:
            self._store_blocks(sequence)
            self._owners[sequence].first_token_s = self._read_wall()
        for sequence in decoded:
            made = self._owners[sequence]
            if sequence.ended:
                self._finish(made)
            made.wake()
        if self._abandoned:
            self._end_orphans()
        self._admit()

    def _admit(self) -> None:
        for sequence in self._batch.admit():
            made = self._owners[sequence]
            made.started_s = self._read_wall()
            self.controls.journal.append(made.build_record())
        self._report_load()

    def _store_blocks(self, sequence: batch.Sequence) -> None:
        stored, removed = self._cache.store(sequence.digests)
        now_s = self.clock.read_monotonic()
        drop_probability = self.controls.switches.cache_event_gaps
        self.feed.publish(
            now_s, 'removed', removed, drop_probability=drop_probability
        )
        self.feed.publish(
            now_s, 'stored', stored, drop_probability=drop_probability
        )

    def _finish(self, made: generations.Generation) -> None:
        made.finished_s = self._read_wall()
        self._owners.pop(made.sequence)
        self._abandoned.pop(made, None)
        self._finished.append(made)
        self.controls.journal.append(made.build_record())
        made.wake()

    def _end_orphans(self) -> None:
        now_s = self.clock.read_monotonic()
        for made, limit_s in list(self._abandoned.items()):
            if limit_s <= now_s:
                self.cancel(made, batch.Status.ORPHANED)

    def _forget(self) -> None:
        oldest_s = self._read_wall() - _KEEP_S
        while self._finished:
            if (self._finished[0].finished_s or 0) > oldest_s:
                return
            self._generations.pop(self._finished.popleft().id)

    def _report_load(self) -> None:
        held = self._batch.held_tokens / self.settings.block_tokens
        self._load.set(
            self.clock.read_monotonic(),
            batch.Load(
                running=self._batch.running,
                waiting=self._batch.waiting,
                cache_usage=min(held / self.settings.cache_blocks, 1),
            ),
        )

    def _apply(self, switches: Switches) -> None:
        self._batch.slowdown = max(switches.slowdown, 1)
        for made in self._generations.values():
            for listener in made.listeners:
                listener.silent = listener.silent or switches.silent
                listener.cut = listener.cut or switches.cut
                listener.wake()
        self.controls.reset('silent', False)
        self.controls.reset('cut', False)

    def _read_wall(self) -> float:
        return self.clock.read_wall().timestamp()
