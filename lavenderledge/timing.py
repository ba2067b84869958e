"""Durations in the standard type."""

import datetime


def seconds(amount: float) -> datetime.timedelta:
    """Return a duration of that many seconds."""
    return datetime.timedelta(seconds=amount)
