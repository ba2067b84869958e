"""A clock that measurements move by hand."""

import asyncio
import datetime
import typing

START: typing.Final = datetime.datetime.fromisoformat(
    '2026-01-01T00:00:00+00:00'
)


class ManualClock:
    """Time in seconds since ``START``, moved by its owner."""

    def __init__(self) -> None:
        """Start at a time after zero, as real clocks do."""
        self.now_s = 1000.0

    def read_monotonic(self) -> float:
        """Return the present time."""
        return self.now_s

    def read_wall(self) -> datetime.datetime:
        """Return the present time as a wall clock would."""
        return START + datetime.timedelta(seconds=self.now_s)

    async def sleep(self, delay: datetime.timedelta) -> None:
        """Let others run; the time does not move."""
        await asyncio.sleep(0)
