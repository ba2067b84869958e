"""Deadlines of requests, and interruption before the deadline."""

import asyncio
import contextlib
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge import outcomes
from lavenderledge.filters import exchange


class TimeLimit:
    """Why a section was ended early; ``reason`` is None if it was not."""

    def __init__(self) -> None:
        """Create a limit that has not ended its section."""
        self.reason: outcomes.Reason | None = None


@contextlib.asynccontextmanager
async def limit_time(
    clock: clocks.Clock, current: exchange.Exchange
) -> abc.AsyncIterator[TimeLimit]:
    """End the section at the request's deadline or at an interrupt.

    The section is left without an exception, and the limit holds the reason.
    An interrupt between two sections ends the second one.
    """
    limit = TimeLimit()
    remaining_s = current.deadline_s - clock.read_monotonic()
    try:
        async with asyncio.timeout(max(remaining_s, 0)) as scope:
            current.interrupt = _make_interrupt(limit, scope)
            if current.interrupted is not None:
                current.interrupt(current.interrupted)
            yield limit
    except TimeoutError:
        limit.reason = limit.reason or outcomes.Reason.DEADLINE_EXCEEDED
    finally:
        current.interrupt = current.note_interrupt


def _make_interrupt(
    limit: TimeLimit, scope: asyncio.Timeout
) -> abc.Callable[[outcomes.Reason], None]:
    def interrupt(reason: outcomes.Reason) -> None:
        if limit.reason is None:
            limit.reason = reason
            scope.reschedule(asyncio.get_running_loop().time())

    return interrupt
