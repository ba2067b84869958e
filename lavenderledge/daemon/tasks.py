"""Background tasks: loops that are kept running, and work that is detached."""

import asyncio
import logging
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge import logs, timing

_RESTART_PAUSE_S = 1.0
_LOGGER = logging.getLogger(__name__)

Loop: typing.TypeAlias = abc.Callable[
    [], abc.Coroutine[typing.Any, typing.Any, None]
]


class Tasks:
    """The tasks of one instance that belong to no request."""

    def __init__(
        self, *, clock: clocks.Clock, count: abc.Callable[..., None]
    ) -> None:
        """Run nothing yet."""
        self._clock = clock
        self._count = count
        self._loops: list[asyncio.Task[None]] = []
        self._detached: set[asyncio.Task[object]] = set()

    def keep_running(self, name: str, loop: Loop) -> None:
        """Run a loop, and start it again where it fails."""
        self._loops.append(asyncio.create_task(self._supervise(name, loop)))

    def run_detached(
        self, work: abc.Coroutine[typing.Any, typing.Any, object]
    ) -> None:
        """Run work that outlives the request that it comes from."""
        task = asyncio.create_task(work)
        self._detached.add(task)
        task.add_done_callback(self._forget)

    async def finish_detached(self, *, timeout_s: float) -> int:
        """Wait for detached work; return how much is left at the limit."""
        if self._detached:
            await asyncio.wait(tuple(self._detached), timeout=timeout_s)
        return len(self._detached)

    async def stop(self) -> None:
        """Cancel everything."""
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
            await self._clock.sleep(timing.seconds(_RESTART_PAUSE_S))

    def _forget(self, task: asyncio.Task[object]) -> None:
        self._detached.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._count('detached_failures')
            logs.write_event(
                _LOGGER,
                'detached_failed',
                level=logging.ERROR,
                error=repr(task.exception()),
            )
