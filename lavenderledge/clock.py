"""The clock interface, and clocks of the operating system."""

import asyncio
import datetime
import time
import typing


class Clock(typing.Protocol):
    """A source of time; tests pass one that they advance by hand."""

    def read_monotonic(self) -> float:
        """Return monotonic seconds since an arbitrary origin."""

    def read_wall(self) -> datetime.datetime:
        """Return the wall-clock time as an aware datetime in UTC."""

    async def sleep(self, delay: datetime.timedelta) -> None:
        """Wait for the delay."""


class SystemClock:
    """The clock of the operating system and the running event loop."""

    def read_monotonic(self) -> float:
        """Return seconds of the system's monotonic clock."""
        return time.monotonic()

    def read_wall(self) -> datetime.datetime:
        """Return the current time in UTC."""
        return datetime.datetime.now(tz=datetime.UTC)

    async def sleep(self, delay: datetime.timedelta) -> None:
        """Sleep on the running event loop."""
        await asyncio.sleep(delay.total_seconds())


class BootTimeClock(SystemClock):
    """A monotonic clock that also counts time spent suspended."""

    def read_monotonic(self) -> float:
        """Return seconds since the machine booted, suspended time included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
