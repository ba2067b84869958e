"""The clock interface and the system's own clock."""

import asyncio
import datetime
import time
import typing


class Clock(typing.Protocol):
    """Where time comes from; tests pass one that they move by hand."""

    def read_monotonic(self) -> float:
        """Return seconds that never go backwards; the origin is arbitrary."""

    def read_wall(self) -> datetime.datetime:
        """Return the aware wall-clock time in UTC."""

    async def sleep(self, delay: datetime.timedelta) -> None:
        """Return after the delay."""


class SystemClock:
    """The clock of the operating system and the running event loop."""

    def read_monotonic(self) -> float:
        """Return the seconds of the system's monotonic clock."""
        return time.monotonic()

    def read_wall(self) -> datetime.datetime:
        """Return the present time in UTC."""
        return datetime.datetime.now(tz=datetime.UTC)

    async def sleep(self, delay: datetime.timedelta) -> None:
        """Sleep on the running event loop."""
        await asyncio.sleep(delay.total_seconds())


class BootTimeClock(SystemClock):
    """A monotonic clock that goes on while the machine is suspended."""

    def read_monotonic(self) -> float:
        """Return the seconds since the machine's start."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
