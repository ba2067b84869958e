"""Carries what upstreams say of themselves between instances."""

from lavenderledge.peers import slotmessages as messages
from lavenderledge.policy import upstreamnotices


def encode(
    board: upstreamnotices.NoticeBoard, now_s: float
) -> messages.UpstreamNotices:
    """Return the notices with their ages, for a message."""
    limits = tuple(
        messages.UpstreamLimit(
            upstream, limit.limit_per_s, max(0, now_s - limit.heard_s)
        )
        for upstream, limit in board.list_limits(now_s).items()
    )
    departures = tuple(
        messages.UpstreamDeparture(
            upstream.name, upstream.started_ms, max(0, now_s - heard_s)
        )
        for upstream, heard_s in board.list_departures(now_s).items()
    )
    return messages.UpstreamNotices(
        limits[-messages.MAX_UPSTREAM_NOTICES :],
        departures[-messages.MAX_UPSTREAM_NOTICES :],
    )


def merge(
    board: upstreamnotices.NoticeBoard,
    notices: messages.UpstreamNotices,
    sent_s: float,
) -> None:
    """Record the notices of a message; their ages count from ``sent_s``."""
    for limit in notices.limits:
        board.merge_limit(
            limit.replica,
            upstreamnotices.Limit(limit.limit_per_s, sent_s - limit.age_s),
        )
    for departure in notices.departures:
        board.merge_departure(
            upstreamnotices.Upstream(departure.replica, departure.started_ms),
            sent_s - departure.age_s,
        )
