"""Carries the limits that upstreams name between instances."""

from lavenderledge.peers import slotmessages as messages
from lavenderledge.policy import upstreamnotices


def encode(
    notices: upstreamnotices.NoticeBoard, now_s: float
) -> tuple[messages.UpstreamLimit, ...]:
    """Return the limits with their ages, for a message."""
    listed = tuple(
        messages.UpstreamLimit(
            upstream, limit.limit_per_s, max(0, now_s - limit.heard_s)
        )
        for upstream, limit in notices.list_limits(now_s).items()
    )
    return listed[-messages.MAX_UPSTREAM_LIMITS :]


def merge(
    notices: upstreamnotices.NoticeBoard,
    limits: tuple[messages.UpstreamLimit, ...],
    sent_s: float,
) -> None:
    """Record the limits of a message; their ages count from ``sent_s``."""
    for limit in limits:
        notices.merge(
            limit.replica,
            upstreamnotices.Limit(limit.limit_per_s, sent_s - limit.age_s),
        )
