"""Background tasks: supervised loops and detached work."""

import asyncio
import logging
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge import logs, timing

_RESTART_DELAY_S = 1.0
_LOGGER = logging.getLogger(__name__)

Loop: typing.TypeAlias = abc.Callable[
    [], abc.Coroutine[typing.Any, typing.Any, None]
]


class Tasks:
    """The tasks of an instance that run outside of requests."""

    def __init__(
        self, *, clock: clocks.Clock, count: abc.Callable[..., None]
    ) -> None:
        """Start without tasks."""
        self._clock = clock
        self._count = count
        self._loops: list[asyncio.Task[None]] = []
        self._detached: set[asyncio.Task[object]] = set()

    def keep_running(self, name: str, loop: Loop) -> None:
        """Run a loop and restart it after it fails."""
        self._loops.append(asyncio.create_task(self._supervise(name, loop)))

    def run_detached(
        self, work: abc.Coroutine[typing.Any, typing.Any, object]
    ) -> None:
        """Run work that outlives the request that started it."""
        task = asyncio.create_task(work)
        self._detached.add(task)
        task.add_done_callback(self._end_detached)

    async def finish_detached(self, *, timeout_s: float) -> int:
        """Wait for detached work; return the number of unfinished tasks."""
        if self._detached:
            await asyncio.wait(tuple(self._detached), timeout=timeout_s)
        return len(self._detached)

    async def stop(self) -> None:
        """Cancel all tasks and wait for them."""
        tasks = (*self._loops, *self._detached)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _supervise(self, name: str, loop: Loop) -> None:
        while True:
            try:
                await loop()
            except Exception:
                _LOGGER.exception(
                    'loop_failed', extra={'fields': {'loop': name}}
                )
            self._count('loop_failures', loop=name)
            await self._clock.sleep(timing.seconds(_RESTART_DELAY_S))

    def _end_detached(self, task: asyncio.Task[object]) -> None:
        self._detached.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._count('detached_failures')
            logs.write_event(
                _LOGGER,
                'detached_failed',
                level=logging.ERROR,
                error=repr(task.exception()),
            )
