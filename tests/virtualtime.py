"""An event loop whose time advances only when nothing is left to do."""

import asyncio
import datetime
import selectors

START = datetime.datetime.fromisoformat('2026-01-01T00:00:00+00:00')


class _Selector(selectors.SelectSelector):
    def __init__(self):
        super().__init__()
        self.now_s = 1000.0

    def select(self, timeout=None):
        events = super().select(0)
        if not events and timeout:
            self.now_s += timeout
        return events


class Loop(asyncio.SelectorEventLoop):
    """Timers run in order at once; sockets must not be waited for."""

    def __init__(self):
        self.selector = _Selector()
        super().__init__(self.selector)

    def time(self):
        return self.selector.now_s


class Clock:
    """The loop's time, for one instance that may be frozen for a while."""

    def __init__(self):
        self._running = asyncio.Event()
        self._running.set()

    def read_monotonic(self):
        return asyncio.get_running_loop().time()

    def read_wall(self):
        return START + datetime.timedelta(seconds=self.read_monotonic())

    async def sleep(self, delay):
        await asyncio.sleep(delay.total_seconds())
        await self.wait_thawed()

    async def wait_thawed(self):
        await self._running.wait()

    @property
    def is_frozen(self):
        return not self._running.is_set()

    def freeze(self):
        self._running.clear()

    def thaw(self):
        self._running.set()


def run(main):
    """Run a coroutine function in a new loop."""
    with asyncio.Runner(loop_factory=Loop) as runner:
        return runner.run(main())
