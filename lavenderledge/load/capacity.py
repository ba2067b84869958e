"""What a fleet of engines can serve, worked out from its settings."""

import typing

from lavenderledge.load import workloads
from lavenderledge.standins import batch

_GAP_GROWTH = 0.02


class Capacity(typing.NamedTuple):
    """The most that a fleet serves of a user's mix, per second.

    Counted at each engine's knee and with no prompt cached, so that a warm
    fleet serves a little more. ``shares`` are the kinds' parts of the
    requests.
    """

    requests: float
    output_tokens: float
    shares: dict[str, float]


def compute_token_s(speed: batch.Speed) -> float:
    """Return the seconds that one output token takes of a full engine."""
    gap_s = speed.token_gap_s * (1 + _GAP_GROWTH * (speed.knee - 1))
    return gap_s / speed.knee


def compute_request_s(kind: workloads.Kind, speed: batch.Speed) -> float:
    """Return the seconds that one request takes of a full engine."""
    prefill_s = kind.prompt_tokens / speed.prefill_rate
    return prefill_s + kind.output_tokens * compute_token_s(speed)


def compute_capacity(user: workloads.User) -> Capacity:
    """Return the capacity of a user's fleet for the user's mix."""
    shares = _share_requests(user)
    means = [
        sum(
            shares[kind.name] * compute_request_s(kind, engine.speed)
            for kind in user.kinds
        )
        for engine in user.engines
    ]
    requests = sum(1 / mean_s for mean_s in means)
    tokens = sum(shares[kind.name] * kind.output_tokens for kind in user.kinds)
    return Capacity(requests, requests * tokens, shares)


def _share_requests(user: workloads.User) -> dict[str, float]:
    """Return each kind's part of the requests, from its part of the work."""
    speed = user.engines[0].speed
    counts = {
        kind.name: kind.share / compute_request_s(kind, speed)
        for kind in user.kinds
    }
    total = sum(counts.values())
    return {name: count / total for name, count in counts.items()}
