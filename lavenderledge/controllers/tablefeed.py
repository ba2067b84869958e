"""Reads the table from the key-value service by polls and a watch."""

import asyncio
import contextlib
import datetime
import logging
import random
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge import logs
from lavenderledge.controllers import table
from lavenderledge.registry import keyvalue, operations, watches

MIN_POLL_PERIOD = datetime.timedelta(seconds=10)
_POLL_PERIOD_PER_INSTANCE_MS = 250
POLL_PERIOD_PER_INSTANCE = datetime.timedelta(
    milliseconds=_POLL_PERIOD_PER_INSTANCE_MS
)
WATCH_IDLE_TIMEOUT = datetime.timedelta(seconds=60)
WATCHER_CHECK_PERIOD = datetime.timedelta(seconds=2)
_MIN_BACKOFF_MS = 500
MIN_BACKOFF = datetime.timedelta(milliseconds=_MIN_BACKOFF_MS)
MAX_BACKOFF = datetime.timedelta(seconds=10)

_JITTER: typing.Final = 0.5
_MAX_DOUBLINGS = 10

_LOGGER = logging.getLogger(__name__)


class TableFeed:
    """Feeds a table controller from the key-value service.

    Every instance polls, at intervals that grow with the fleet.
    ``is_watcher`` returns whether this instance keeps a watch as well.
    """

    def __init__(
        self,
        *,
        controller: table.TableController,
        keyvalue: keyvalue.KeyValue,
        clock: clocks.Clock,
        rng: random.Random,
        is_watcher: abc.Callable[[], bool],
        read_fleet_size: abc.Callable[[], int],
        count: abc.Callable[[table.Event], object],
    ) -> None:
        """Prepare a feed; ``run`` starts it."""
        self._controller = controller
        self._keyvalue = keyvalue
        self._clock = clock
        self._rng = rng
        self._is_watcher = is_watcher
        self._read_fleet_size = read_fleet_size
        self._count = count

    async def run(self) -> None:
        """Follow the table until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._keep_polling())
            group.create_task(self._keep_watching())

    async def poll(self) -> bool:
        """Read the table once; return whether the service answered."""
        answer = await self._keyvalue.read(table.TABLE_KEY)
        if answer.is_error():
            self._note_failure(table.Event.POLL_FAILED, answer.error)
            return False
        self._controller.apply_snapshot(answer.ok)
        return True

    async def _keep_polling(self) -> None:
        failures = 0
        while True:
            answered = await self.poll()
            failures = 0 if answered else failures + 1
            await self._clock.sleep(self._plan_poll(failures))

    def _plan_poll(self, failures: int) -> datetime.timedelta:
        if failures:
            return self._plan_backoff(failures)
        period = max(
            MIN_POLL_PERIOD,
            POLL_PERIOD_PER_INSTANCE * self._read_fleet_size(),
        )
        return self._jitter(period)

    async def _keep_watching(self) -> None:
        failures = 0
        while True:
            if not self._is_watcher():
                failures = 0
                await self._clock.sleep(self._jitter(WATCHER_CHECK_PERIOD))
                continue
            failures = 1 if await self._watch() else failures + 1
            await self._clock.sleep(self._plan_backoff(failures))

    async def _watch(self) -> bool:
        """Follow one watch to its end; return whether it sent any event."""
        answer = await self._keyvalue.read(table.TABLE_KEY)
        if answer.is_error():
            self._note_failure(table.Event.WATCH_FAILED, answer.error)
            return False
        self._controller.apply_snapshot(answer.ok)
        events = self._keyvalue.watch(
            table.TABLE_KEY,
            start_revision=answer.ok.revision + 1,
            idle_timeout=WATCH_IDLE_TIMEOUT,
        )
        async with contextlib.aclosing(events):
            return await self._follow(events)

    async def _follow(self, events: watches.Events) -> bool:
        received = False
        async for event in events:
            if event.is_error():
                self._note_failure(table.Event.WATCH_FAILED, event.error)
                break
            received = True
            self._controller.apply_event(event.ok)
            if not self._is_watcher():
                break
        return received

    def _plan_backoff(self, failures: int) -> datetime.timedelta:
        doublings = min(failures - 1, _MAX_DOUBLINGS)
        return self._jitter(min(MIN_BACKOFF * 2**doublings, MAX_BACKOFF))

    def _jitter(self, period: datetime.timedelta) -> datetime.timedelta:
        return period * self._rng.uniform(1 - _JITTER, 1)

    def _note_failure(
        self, event: table.Event, failure: operations.Failure
    ) -> None:
        self._count(event)
        logs.write_event(
            _LOGGER, event.value, level=logging.WARNING, failure=failure
        )
