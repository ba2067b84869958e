"""Choice of lower-tier requests to cancel for a higher tier."""

import heapq
import typing
from collections import abc

from lavenderledge.policy import placement

# Ratio of the slack before the first-token target that may be spent waiting.
_TARGET_WAIT_RATIO: typing.Final = 0.5
# Ratio of the slack before the deadline that may be spent waiting.
_SLACK_WAIT_RATIO: typing.Final = 0.25


class Victim(typing.NamedTuple):
    """A request that may be cancelled; ``work`` is its tokens so far."""

    tier: int
    work: int
    request_id: str
    replica: str


def find_max_wait_s(
    *, remaining_s: float, first_token_s: float, finish_s: float
) -> float:
    """Return how long a request waits before lower tiers are cancelled.

    ``remaining_s`` is the time from its arrival to its deadline;
    ``first_token_s`` and ``finish_s`` are estimates from its grant on.
    """
    for_target = placement.FIRST_TOKEN_TARGET_S - first_token_s
    for_deadline = remaining_s - finish_s
    return max(
        0,
        min(for_target * _TARGET_WAIT_RATIO, for_deadline * _SLACK_WAIT_RATIO),
    )


def select_victims(
    held: abc.Iterable[Victim], *, tier: int, need: int
) -> list[Victim]:
    """Return at most ``need`` requests to cancel for a tier.

    Only lower tiers are chosen, the lowest first; within a tier, the requests
    with the least work done.
    """
    lower = (victim for victim in held if victim.tier > tier)
    return heapq.nsmallest(max(need, 0), lower, key=_rank)


def _rank(victim: Victim) -> tuple[int, int, str]:
    return -victim.tier, victim.work, victim.request_id
