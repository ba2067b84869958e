"""Decisions on the bytes that an instance holds for callers and replicas.

Sizes are in bytes. Reserved bytes are the rest of uploads that may be read
although the account is above its first threshold.
"""

import enum
import typing
from collections import abc

_MEGABYTE: typing.Final = 1_000_000
# An idle process takes 45 to 60 MB.
_IDLE_BYTES: typing.Final = 64_000_000
# The share of the rest that may be held. A body is copied when it is complete
# and when it is sent, and each connection takes some kilobytes of its own.
_HELD_RATIO: typing.Final = 0.5
_MIN_LIMIT_BYTES: typing.Final = 4_000_000
# Shares of the limit from which uploads and responses are not read on.
_UPLOAD_RATIO: typing.Final = 0.5
_RESPONSE_RATIO: typing.Final = 0.75
# Up to this share, one upload is read on if no other one can be.
_LAST_UPLOAD_RATIO: typing.Final = 0.875
# All that is read ahead for slow callers stays below this share, so that
# callers that read nothing leave room for uploads.
_AHEAD_RATIO: typing.Final = 0.4
# A caller's part of what is left for reading ahead.
_AHEAD_PART: typing.Final = 0.25
# Read ahead for each caller in any case below the response threshold.
_MIN_AHEAD_BYTES: typing.Final = 65_536
# Larger bodies leave room for requests with a small one, up to the response
# threshold. Small ones are admitted a bit beyond the limit: uploads are shed
# for them, which takes a moment.
_SMALL_BODY_BYTES: typing.Final = 65_536
_SMALL_BODY_RATIO: typing.Final = 1.125
# What a connection may read before it is checked again.
_READ_BYTES: typing.Final = 131_072


class Thresholds(typing.NamedTuple):
    """From which sizes uploads and responses wait, and the limit.

    A ``limit_bytes`` of 0 means no limit.
    """

    upload_bytes: int
    response_bytes: int
    limit_bytes: int


class Usage(typing.NamedTuple):
    """The bytes held, those of them not yet sent to callers, and reserved."""

    held_bytes: int
    unsent_bytes: int
    reserved_bytes: int


@enum.unique
class Level(enum.IntEnum):
    """How full the account is."""

    NORMAL = 0
    UPLOADS_WAIT = 1
    RESPONSES_WAIT = 2
    EXCEEDED = 3


@enum.unique
class Kind(enum.IntEnum):
    """What bytes are held for, in the order in which it is shed.

    A complete response that its caller still reads is never shed.
    """

    UPLOAD = 0
    WAITING = 1
    RUNNING = 2


class Holding(typing.NamedTuple):
    """Held work that may be shed; rank 0 is the highest."""

    kind: Kind
    rank: int
    size_bytes: int


class Resumption(typing.NamedTuple):
    """An upload to read on, by its position, and the bytes reserved for it."""

    position: int
    reserved_bytes: int


def compute_limit(memory_mb: float) -> int:
    """Return how many bytes a process may hold; 0 means no limit."""
    if not memory_mb:
        return 0
    free_bytes = memory_mb * _MEGABYTE - _IDLE_BYTES
    return max(_MIN_LIMIT_BYTES, int(free_bytes * _HELD_RATIO))


def build_thresholds(limit_bytes: int) -> Thresholds:
    """Return the thresholds of a limit."""
    return Thresholds(
        int(limit_bytes * _UPLOAD_RATIO),
        int(limit_bytes * _RESPONSE_RATIO),
        limit_bytes,
    )


def find_level(usage: Usage, thresholds: Thresholds) -> Level:
    """Return the level of an account."""
    if not thresholds.limit_bytes:
        return Level.NORMAL
    if usage.held_bytes > thresholds.limit_bytes:
        return Level.EXCEEDED
    if usage.held_bytes >= thresholds.response_bytes:
        return Level.RESPONSES_WAIT
    if usage.held_bytes >= thresholds.upload_bytes:
        return Level.UPLOADS_WAIT
    return Level.NORMAL


def fits(
    declared_bytes: int | None, usage: Usage, thresholds: Thresholds
) -> bool:
    """Return whether a body of the declared size still fits.

    None means that the size is not declared, as of a chunked body.
    """
    if not thresholds.limit_bytes:
        return True
    used_bytes = usage.held_bytes + usage.reserved_bytes
    if declared_bytes is None:
        return used_bytes < thresholds.response_bytes
    used_bytes += declared_bytes
    if declared_bytes > _SMALL_BODY_BYTES:
        return used_bytes <= thresholds.response_bytes
    return used_bytes <= thresholds.limit_bytes * _SMALL_BODY_RATIO


def find_read_ahead(usage: Usage, thresholds: Thresholds) -> int:
    """Return how many unsent bytes a caller may have before its replica waits.

    The more is unsent in all, the less each caller may have.
    """
    if usage.held_bytes >= thresholds.response_bytes:
        return 0
    room_bytes = thresholds.limit_bytes * _AHEAD_RATIO - usage.unsent_bytes
    return max(_MIN_AHEAD_BYTES, int(room_bytes * _AHEAD_PART))


def choose_resumed(
    missing: abc.Sequence[int], usage: Usage, thresholds: Thresholds
) -> list[Resumption]:
    """Return which waiting uploads are read on; ``missing`` is oldest first.

    Below the first threshold, each reads a part. Above it, an upload is read
    on only if its rest fits below the second one: otherwise many incomplete
    uploads could wait for each other. If none fits, the oldest one reads on a
    bit further: the rest of a chunked body is not known.
    """
    used_bytes = usage.held_bytes + usage.reserved_bytes
    is_below = used_bytes < thresholds.upload_bytes
    room_bytes = thresholds.response_bytes - used_bytes
    if is_below:
        room_bytes = thresholds.upload_bytes - used_bytes
    chosen: list[Resumption] = []
    for index, missing_bytes in enumerate(missing):
        if room_bytes <= 0:
            break
        if is_below:
            room_bytes -= min(missing_bytes, _READ_BYTES)
            chosen.append(Resumption(index, 0))
        elif missing_bytes <= room_bytes:
            room_bytes -= missing_bytes
            chosen.append(Resumption(index, missing_bytes))
    last_bytes = int(thresholds.limit_bytes * _LAST_UPLOAD_RATIO)
    left_bytes = last_bytes - used_bytes
    if missing and not chosen and left_bytes > 0 and not usage.reserved_bytes:
        return [Resumption(0, min(missing[0], left_bytes))]
    return chosen


def choose_shed(
    holdings: abc.Sequence[Holding], excess_bytes: int
) -> list[int]:
    """Return the indexes of what is shed to free ``excess_bytes``."""
    order = sorted(
        range(len(holdings)),
        key=lambda index: (
            holdings[index].kind,
            -holdings[index].rank,
            -holdings[index].size_bytes,
        ),
    )
    chosen: list[int] = []
    for index in order:
        if excess_bytes <= 0:
            break
        if holdings[index].size_bytes:
            chosen.append(index)
            excess_bytes -= holdings[index].size_bytes
    return chosen
