"""The period in which an instance does not yet rely on its member list."""

import datetime

_PAUSE_RATIO = 0.5


class StartupPeriod:
    """Tracks the period after the start and after pauses of this process.

    Times are seconds on the local monotonic clock. Lateness is the time since
    the last observation minus the interval between observations.
    """

    def __init__(
        self, *, now_s: float, failure_timeout: datetime.timedelta
    ) -> None:
        """Begin a period of one failure timeout."""
        self._observed_at_s = now_s
        self._settled_at_s = now_s + failure_timeout.total_seconds()
        self._paused = False

    def observe(
        self,
        now_s: float,
        *,
        interval: datetime.timedelta,
        failure_timeout: datetime.timedelta,
    ) -> datetime.timedelta:
        """Return this observation's lateness; restart the period if paused."""
        late = self.read_lateness(now_s, interval)
        self._observed_at_s = now_s
        if is_pause(late, failure_timeout):
            self._paused = True
            self._settled_at_s = now_s + failure_timeout.total_seconds()
        return late

    def read_lateness(
        self, now_s: float, interval: datetime.timedelta
    ) -> datetime.timedelta:
        """Return the lateness that an observation would have now."""
        since = datetime.timedelta(seconds=now_s - self._observed_at_s)
        return max(since - interval, datetime.timedelta())

    def is_over(self, now_s: float) -> bool:
        """Return whether the period is over."""
        return now_s >= self._settled_at_s

    def is_starting(self, now_s: float) -> bool:
        """Return whether this is the period after the process start."""
        return not self._paused and not self.is_over(now_s)


def is_pause(
    late: datetime.timedelta, failure_timeout: datetime.timedelta
) -> bool:
    """Return whether peers may have timed out an instance this late."""
    return late > failure_timeout * _PAUSE_RATIO
