"""Whether an instance has listened long enough to trust its belief."""

import datetime

_MAX_LATENESS = 0.5


class StartupPeriod:
    """Notices pauses of the own process, and when they are over.

    Times are seconds on the own monotonic clock. Lateness is the time since
    the last observation beyond the interval at which they are due.
    """

    def __init__(
        self, *, now_s: float, failure_timeout: datetime.timedelta
    ) -> None:
        """Start unsettled, for one failure timeout."""
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
        """Return how late this observation is; unsettle after a pause."""
        late = self.read_lateness(now_s, interval)
        self._observed_at_s = now_s
        if is_pause(late, failure_timeout):
            self._paused = True
            self._settled_at_s = now_s + failure_timeout.total_seconds()
        return late

    def read_lateness(
        self, now_s: float, interval: datetime.timedelta
    ) -> datetime.timedelta:
        """Return how late an observation would be."""
        since = datetime.timedelta(seconds=now_s - self._observed_at_s)
        return max(since - interval, datetime.timedelta())

    def is_over(self, now_s: float) -> bool:
        """Return whether the time of listening is over."""
        return now_s >= self._settled_at_s

    def is_starting(self, now_s: float) -> bool:
        """Return whether the process started just now."""
        return not self._paused and not self.is_over(now_s)


def is_pause(
    late: datetime.timedelta, failure_timeout: datetime.timedelta
) -> bool:
    """Return whether peers may have given up on an instance so late."""
    return late > failure_timeout * _MAX_LATENESS
