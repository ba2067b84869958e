"""Attempts of one request that run at the same time.

An attempt that falls silent is kept while another one is prepared and sent. The
first of them to make progress ends the others.
"""

import asyncio
import logging
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge.http1 import client
from lavenderledge.proxy import attempts

# The minimum time between the preparations of two attempts.
_INTERVAL_S: typing.Final = 0.5
# What follows such a response on its connection can't be trusted.
_UNSOUND_RESULTS: typing.Final = frozenset(
    (attempts.Result.LOST, attempts.Result.INVALID)
)
_LOGGER = logging.getLogger(__name__)


class Run(typing.NamedTuple):
    """A running attempt."""

    attempt: attempts.Attempt
    connection: client.Connection
    replica: str


class RunningAttempts:
    """The running attempts of a request, the oldest first."""

    def __init__(self, *, clock: clocks.Clock) -> None:
        """Start without attempts."""
        self._clock = clock
        self._runs: list[Run] = []
        self._is_reading = True
        self._reading_since_s = float('-inf')

    def __len__(self) -> int:
        """Return how many attempts are running."""
        return len(self._runs)

    @property
    def replicas(self) -> tuple[str, ...]:
        """Return the replicas of the running attempts."""
        return tuple(run.replica for run in self._runs)

    def add(self, run: Run) -> None:
        """Add an attempt that is about to be sent."""
        self._runs.append(run)
        run.connection.set_reading(value=self._is_reading)

    def end(self, run: Run) -> None:
        """Remove an attempt; abort its connection if it has no result."""
        self._runs.remove(run)
        done = run.attempt.done
        if not done.done():
            run.connection.abort()
            run.attempt.discard()
        elif done.result() in _UNSOUND_RESULTS:
            run.connection.prevent_reuse()
        if not run.attempt.is_identified:
            # Its refusal, if repeated, would be taken for the next one's.
            run.connection.prevent_reuse()

    def is_newest(self, run: Run) -> bool:
        """Return whether no attempt that is running was sent later."""
        return self._runs[-1] is run

    def end_others(self, attempt: attempts.Attempt) -> None:
        """End all attempts but one; nothing more is received from them."""
        for run in self._runs:
            if run.attempt is not attempt:
                run.attempt.end(attempts.Result.OVERTAKEN)
                run.connection.abort()

    def find_silence_s(self, run: Run) -> float:
        """Return for how long an attempt has made no progress, in seconds.

        Time in which nothing is read from the replicas does not count.
        """
        if not self._is_reading:
            return 0
        since_s = max(run.attempt.last_progress_s, self._reading_since_s)
        return self._clock.read_monotonic() - since_s

    def set_reading(self, *, value: bool) -> None:
        """Resume or pause reading from all replicas."""
        self._is_reading = value
        self._reading_since_s = self._clock.read_monotonic()
        for run in self._runs:
            run.connection.set_reading(value=value)


class Hedges:
    """The tasks that prepare and run further attempts of a request."""

    def __init__(self) -> None:
        """Start without tasks."""
        self.next_s = float('-inf')
        self._tasks: set[asyncio.Task[None]] = set()
        self._preparing: asyncio.Task[None] | None = None

    @property
    def is_preparing(self) -> bool:
        """Return whether an attempt is being prepared."""
        return self._preparing is not None

    def start(
        self, work: abc.Coroutine[typing.Any, typing.Any, None], now_s: float
    ) -> None:
        """Start to prepare and run an attempt; the next one is due later."""
        self.postpone(now_s)
        task = asyncio.create_task(work)
        self._preparing = task
        self._tasks.add(task)
        task.add_done_callback(self._note_end)

    def postpone(self, now_s: float) -> None:
        """Let the next attempt be due later."""
        self.next_s = now_s + _INTERVAL_S

    def note_sent(self) -> None:
        """Keep the attempt that was prepared: it has been sent."""
        self._preparing = None

    def cancel_preparation(self) -> None:
        """Stop to prepare an attempt that is not needed any more."""
        if self._preparing is not None:
            self._preparing.cancel()
            self._preparing = None

    async def wait(
        self, done: 'asyncio.Future[attempts.Result]', *, timeout_s: float
    ) -> None:
        """Wait until an attempt is done, or another one has ended."""
        others = self._list_others()
        awaited: set[asyncio.Future[typing.Any]] = {done, *others}
        await asyncio.wait(
            awaited,
            timeout=timeout_s,
            return_when=asyncio.FIRST_COMPLETED,
        )

    async def finish(self) -> None:
        """Wait until all tasks have ended, also those that they start."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await self.finish()

    def _list_others(self) -> list[asyncio.Task[None]]:
        """Return the tasks but the current one, which the caller must not keep.

        A cancelled task keeps its exception, and with it the caller's frame.
        """
        own = asyncio.current_task()
        return [task for task in self._tasks if task is not own]

    def _note_end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if self._preparing is task:
            self._preparing = None
        error = None if task.cancelled() else task.exception()
        if error is not None:
            _LOGGER.error('hedge_failed', exc_info=error)
