"""Quarantines of requests in messages between instances."""

from collections import abc

from lavenderledge.peers import slotmessages as messages
from lavenderledge.policy import requestcrashes


def encode(
    quarantines: abc.Sequence[requestcrashes.Quarantine], now_s: float
) -> tuple[messages.RequestQuarantine, ...]:
    """Return the latest quarantines, with ages instead of times."""
    latest = sorted(quarantines, key=lambda quarantine: quarantine.imposed_s)
    return tuple(
        messages.RequestQuarantine(
            quarantine.digest,
            max(0, now_s - quarantine.imposed_s),
            max(0, quarantine.until_s - now_s),
        )
        for quarantine in latest[-messages.MAX_REQUEST_QUARANTINES :]
    )


def decode(
    quarantines: abc.Iterable[messages.RequestQuarantine], now_s: float
) -> list[requestcrashes.Quarantine]:
    """Return received quarantines with times on this instance's clock."""
    return [
        requestcrashes.Quarantine(
            quarantine.digest,
            now_s - quarantine.age_s,
            now_s + quarantine.left_s,
        )
        for quarantine in quarantines
    ]
