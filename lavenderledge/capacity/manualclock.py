"""A clock that measurements advance explicitly."""

import asyncio
import datetime
import typing

START: typing.Final = datetime.datetime.fromisoformat(
    '2026-01-01T00:00:00+00:00'
)


class ManualClock:
    """Time in seconds since ``START``; ``now_s`` is set by its owner."""

    def __init__(self) -> None:
        """Start above 0, as real monotonic clocks do."""
        self.now_s = 1000.0

    def read_monotonic(self) -> float:
        """Return the current time."""
        return self.now_s

    def read_wall(self) -> datetime.datetime:
        """Return the current wall-clock time."""
        return START + datetime.timedelta(seconds=self.now_s)

    async def sleep(self, delay: datetime.timedelta) -> None:
        """Yield to other tasks without advancing the time."""
        await asyncio.sleep(0)
