"""The capacity of a fleet of engines, computed from its settings."""

import typing

from lavenderledge.load import workloads
from lavenderledge.standins import batch

_GAP_GROWTH = 0.02


class Capacity(typing.NamedTuple):
    """The maximum rates at which a fleet serves a user's mix, per second.

    They assume that each engine's batch is at its knee and that no prompt is
    cached; with warm caches a fleet serves slightly more. ``shares`` maps
    each kind to its fraction of the requests.
    """

    requests: float
    output_tokens: float
    shares: dict[str, float]


def compute_token_s(speed: batch.Speed) -> float:
    """Return an engine's seconds per output token, at its knee."""
    gap_s = speed.token_gap_s * (1 + _GAP_GROWTH * (speed.knee - 1))
    return gap_s / speed.knee


def compute_request_s(kind: workloads.Kind, speed: batch.Speed) -> float:
    """Return an engine's seconds per request, at its knee."""
    prefill_s = kind.prompt_tokens / speed.prefill_rate
    return prefill_s + kind.output_tokens * compute_token_s(speed)


def compute_capacity(user: workloads.User) -> Capacity:
    """Return the capacity of a user's fleet for the user's mix."""
    shares = _compute_request_shares(user)
    mean_times_s = [
        sum(
            shares[kind.name] * compute_request_s(kind, engine.speed)
            for kind in user.kinds
        )
        for engine in user.engines
    ]
    requests = sum(1 / mean_s for mean_s in mean_times_s)
    tokens = sum(shares[kind.name] * kind.output_tokens for kind in user.kinds)
    return Capacity(requests, requests * tokens, shares)


def _compute_request_shares(user: workloads.User) -> dict[str, float]:
    """Return each kind's share of requests from its share of work."""
    speed = user.engines[0].speed
    counts = {
        kind.name: kind.share / compute_request_s(kind, speed)
        for kind in user.kinds
    }
    total = sum(counts.values())
    return {name: count / total for name, count in counts.items()}
