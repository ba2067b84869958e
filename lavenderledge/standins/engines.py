"""The engine stand-in: its state and the loop that runs its steps."""

import asyncio
import collections
import datetime
import typing
import uuid

from lavenderledge import clock as clocks
from lavenderledge.standins import (
    admin,
    batch,
    generations,
    lag,
    prefixcache,
    requestbody,
)

_RETENTION_S = 60
_MAX_CATCH_UP_S = 0.25
_IDLE = batch.Load(running=0, waiting=0, cache_usage=0)


class Switches(typing.NamedTuple):
    """Faults of the engine.

    ``refuse`` answers 503 to new requests and ``unhealthy`` to ``/health``.
    ``silent`` silences the open connections and ``cut`` closes them; both
    apply once and reset themselves, as does ``finish``, which completes every
    request with its next token. ``silent_new`` is the number of coming
    requests that run but whose connection delivers nothing.
    ``cut_after_events`` closes each stream's connection after that many
    events, or never at 0. ``cache_event_gaps`` is the fraction of cache
    events that are dropped.
    """

    slowdown: float = 1
    refuse: bool = False
    unhealthy: bool = False
    silent: bool = False
    silent_new: int = 0
    cut: bool = False
    finish: bool = False
    cut_after_events: int = 0
    cache_event_gaps: float = 0


class Settings(typing.NamedTuple):
    """The settings of an engine, fixed for its lifetime."""

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
    """An order in the log; ``fencing`` is 0 if the order had none."""

    kind: typing.Literal['order']
    order: str
    fencing: int
    accepted: bool
    time_s: float
    body: dict[str, typing.Any]


class Engine:
    """One engine: its batch, cache, requests and reported load."""

    def __init__(self, *, clock: clocks.Clock, settings: Settings) -> None:
        """Create an idle engine."""
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
        self._orphan_deadlines: dict[generations.Generation, float] = {}
        self._ended_generations: collections.deque[generations.Generation] = (
            collections.deque()
        )
        self._load = lag.DelayedValue(initial=_IDLE)
        self._wake = asyncio.Event()
        self._max_fencing = 0
        self.controls.subscribe(self._apply_switches)

    def find(self, response_id: str) -> generations.Generation | None:
        """Return a request that has not ended more than a minute ago."""
        self._drop_old()
        return self._generations.get(response_id)

    def create(
        self, body: requestbody.CreateRequest
    ) -> generations.Generation | None:
        """Queue a request; return ``None`` if its id is in use."""
        response_id = body.get('request_id') or f'resp_{uuid.uuid4().hex}'
        if self.find(response_id) is not None:
            return None
        generation = generations.Generation(
            response_id=response_id,
            body=body,
            received_s=self._read_wall_s(),
            received_monotonic_s=self.clock.read_monotonic(),
            block_tokens=self.settings.block_tokens,
        )
        self._generations[response_id] = generation
        self._owners[generation.sequence] = generation
        self.controls.journal.append(generation.build_record())
        self._batch.add(generation.sequence)
        self._admit()
        self._wake.set()
        return generation

    def attach(
        self, generation: generations.Generation, listener: generations.Listener
    ) -> None:
        """Attach a connection that receives a request's response."""
        generation.listeners.add(listener)
        self._orphan_deadlines.pop(generation, None)

    def detach(
        self, generation: generations.Generation, listener: generations.Listener
    ) -> None:
        """Detach a closed connection; the last starts the orphan timeout."""
        generation.listeners.discard(listener)
        if not generation.listeners and not generation.sequence.ended:
            orphan_timeout_s = self.settings.orphan_timeout.total_seconds()
            self._orphan_deadlines[generation] = (
                self.clock.read_monotonic() + orphan_timeout_s
            )

    def cancel(
        self,
        generation: generations.Generation,
        status: batch.Status = batch.Status.CANCELLED,
    ) -> None:
        """Cancel a request; does nothing if it has ended."""
        if generation.sequence.ended:
            return
        self._batch.remove(generation.sequence, status)
        self._finish(generation)
        self._admit()

    def apply_order(self, body: dict[str, typing.Any]) -> bool:
        """Log an order; return false if its fencing number is stale."""
        fencing = body.get('fencing')
        number = fencing if isinstance(fencing, int) else 0
        checked = self.settings.fencing == 'checked'
        accepted = not checked or number >= self._max_fencing
        if accepted:
            self._max_fencing = max(self._max_fencing, number)
        self.controls.journal.append(
            Order(
                kind='order',
                order=str(body.get('order')),
                fencing=number,
                accepted=accepted,
                time_s=self._read_wall_s(),
                body=body,
            )
        )
        return accepted

    def read_load(self) -> batch.Load:
        """Return the load as it was ``load_lag`` ago."""
        return self._load.read(
            self.clock.read_monotonic(), self.settings.load_lag.total_seconds()
        )

    def read_cache_events(self, after: int) -> prefixcache.EventPage:
        """Return the events after ``after`` older than ``cache_event_lag``."""
        return self.feed.read(
            self.clock.read_monotonic(),
            self.settings.cache_event_lag.total_seconds(),
            after,
        )

    async def run(self) -> None:
        """Run the steps of the batch in real time until cancelled."""
        due_s = self.clock.read_monotonic()
        while True:
            if not self._batch.running:
                self._wake.clear()
                await self._wake.wait()
                due_s = self.clock.read_monotonic()
            due_s += self.begin_step()
            now_s = self.clock.read_monotonic()
            due_s = max(due_s, now_s - _MAX_CATCH_UP_S)
            await self.clock.sleep(
                datetime.timedelta(seconds=max(due_s - now_s, 0))
            )
            self.end_step()

    def begin_step(self) -> float:
        """Begin one step of the batch and return its duration in seconds."""
        return self._batch.begin_step()

    def end_step(self) -> None:
        """End the step and wake the connections of the requests it decoded."""
        decoded, prefilled = self._batch.end_step()
        for sequence in prefilled:
            self._cache_blocks(sequence)
            self._owners[sequence].first_token_s = self._read_wall_s()
        for sequence in decoded:
            generation = self._owners[sequence]
            if sequence.ended:
                self._finish(generation)
            generation.wake()
        if self._orphan_deadlines:
            self._cancel_orphans()
        self._admit()

    def _admit(self) -> None:
        for sequence in self._batch.admit():
            generation = self._owners[sequence]
            generation.started_s = self._read_wall_s()
            self.controls.journal.append(generation.build_record())
        self._record_load()

    def _cache_blocks(self, sequence: batch.Sequence) -> None:
        stored, removed = self._cache.store(sequence.digests)
        now_s = self.clock.read_monotonic()
        drop_probability = self.controls.switches.cache_event_gaps
        self.feed.publish(
            now_s, 'removed', removed, drop_probability=drop_probability
        )
        self.feed.publish(
            now_s, 'stored', stored, drop_probability=drop_probability
        )

    def _finish(self, generation: generations.Generation) -> None:
        generation.finished_s = self._read_wall_s()
        self._owners.pop(generation.sequence)
        self._orphan_deadlines.pop(generation, None)
        self._ended_generations.append(generation)
        self.controls.journal.append(generation.build_record())
        generation.wake()

    def _cancel_orphans(self) -> None:
        now_s = self.clock.read_monotonic()
        for generation, deadline_s in list(self._orphan_deadlines.items()):
            if deadline_s <= now_s:
                self.cancel(generation, batch.Status.ORPHANED)

    def _drop_old(self) -> None:
        oldest_kept_s = self._read_wall_s() - _RETENTION_S
        while self._ended_generations:
            if (self._ended_generations[0].finished_s or 0) > oldest_kept_s:
                return
            self._generations.pop(self._ended_generations.popleft().id)

    def _record_load(self) -> None:
        used_blocks = self._batch.held_tokens / self.settings.block_tokens
        self._load.set(
            self.clock.read_monotonic(),
            batch.Load(
                running=self._batch.running,
                waiting=self._batch.waiting,
                cache_usage=min(used_blocks / self.settings.cache_blocks, 1),
            ),
        )

    def _apply_switches(self, switches: Switches) -> None:
        self._batch.slowdown = max(switches.slowdown, 1)
        for generation in self._generations.values():
            for listener in generation.listeners:
                listener.silent = listener.silent or switches.silent
                listener.cut = listener.cut or switches.cut
                listener.wake()
        if switches.finish:
            for sequence in self._owners:
                sequence.target_tokens = sequence.produced_tokens + 1
        self.controls.reset('finish', False)
        self.controls.reset('silent', False)
        self.controls.reset('cut', False)

    def _read_wall_s(self) -> float:
        return self.clock.read_wall().timestamp()
