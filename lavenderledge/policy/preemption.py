"""Cancelling lower-tier work for a request that can't wait."""

import heapq
import typing
from collections import abc

from lavenderledge.policy import placement

# The part of the time to the first-token target that may be waited away.
_TARGET_PART: typing.Final = 0.5
# The part of the slack before the deadline that may be waited away.
_SLACK_PART: typing.Final = 0.25


class Victim(typing.NamedTuple):
    """A running request that may be cancelled; ``work`` in tokens."""

    tier: int
    work: int
    request_id: str
    replica: str


def find_patience_s(
    *, remaining_s: float, first_token_s: float, finish_s: float
) -> float:
    """Return how long a request waits before lower work is cancelled.

    ``remaining_s`` is the time from its arrival to its deadline;
    ``first_token_s`` and ``finish_s`` are expected from its grant on.
    """
    for_target = placement.FIRST_TOKEN_TARGET_S - first_token_s
    for_deadline = remaining_s - finish_s
    return max(0, min(for_target * _TARGET_PART, for_deadline * _SLACK_PART))


def select_victims(
    held: abc.Iterable[Victim], *, tier: int, need: int
) -> list[Victim]:
    """Return whom to cancel for so many requests of a tier.

    Only work of a lower tier is chosen: the lowest tier first, and in a tier
    that which loses the least work.
    """
    lower = (victim for victim in held if victim.tier > tier)
    return heapq.nsmallest(max(need, 0), lower, key=_rank)


def _rank(victim: Victim) -> tuple[int, int, str]:
    return -victim.tier, victim.work, victim.request_id
