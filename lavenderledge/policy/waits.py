"""Estimates how long a request waits for a slot.

Load patterns: a lasting overload, in which higher ranks keep arriving and take
the slots before what waits below them; and one customer at many times its usual
rate, which delays its own requests only.
"""

import typing
from collections import abc

from lavenderledge.policy import slotqueue

# Fraction of the slots that the next request of a rank competes for at least:
# the rates of the ranks above it are averages.
_MIN_LEFT_RATIO: typing.Final = 0.05
# Steps of the fixed point iteration; each adds what arrives during the last.
_STEPS: typing.Final = 4


class Competitor(typing.NamedTuple):
    """Another customer in the same rank.

    ``rate`` is its demand, in slots.
    """

    backlog: slotqueue.Backlog
    rate: float


class Load(typing.NamedTuple):
    """What a request competes with.

    Of all ``slots``, higher priorities leave ``left``; this is expected to
    last for ``lasts_s``. ``ahead_s`` is the work that waits before it.
    """

    slots: float
    left: float
    ahead_s: float
    lasts_s: float = float('inf')


def estimate_rank_wait_s(load: Load) -> float:
    """Return the seconds until the work ahead has been started."""
    started_s = load.left * load.lasts_s
    if load.ahead_s < started_s:
        return load.ahead_s / load.left
    return load.lasts_s + (load.ahead_s - started_s) / load.slots


def estimate_share_wait_s(
    load: Load,
    own: slotqueue.Backlog,
    competitors: abc.Sequence[Competitor],
) -> float:
    """Return the seconds until a customer's next request is started.

    A competitor goes first with what it has waiting, and what arrives in the
    meantime, up to the work of this customer.
    """
    own_s = own.waiting_s + own.lead_s
    usable = max(load.left, load.slots * _MIN_LEFT_RATIO)
    wait_s = float(0)
    for _ in range(_STEPS):
        ahead_s = sum(
            min(
                competitor.backlog.waiting_s + competitor.rate * wait_s,
                max(0, own_s - competitor.backlog.lead_s),
            )
            for competitor in competitors
        )
        wait_s = (load.ahead_s + own.waiting_s + ahead_s) / usable
    return wait_s
