"""Construction of ``datetime.timedelta`` durations."""

import datetime


def seconds(amount: float) -> datetime.timedelta:
    """Return a duration of ``amount`` seconds."""
    return datetime.timedelta(seconds=amount)
