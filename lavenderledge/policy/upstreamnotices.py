"""What upstreams say of themselves in their answers.

Nothing else carries it: each instance knows what its own answers said, and the
instances tell each other.
"""

import typing
from collections import abc

# A limit that no answer has confirmed for this long is forgotten, seconds.
_LIMIT_RETENTION_S: typing.Final = 30.0
# A change of a limit by less than this ratio is not worth a message of its own.
_MIN_CHANGE_RATIO: typing.Final = 0.1


class Notice(typing.NamedTuple):
    """What an upstream says of itself in one answer.

    ``limit_per_s`` is how many requests per second it takes from all instances
    together, None if it names no limit.
    """

    limit_per_s: float | None


class Limit(typing.NamedTuple):
    """A limit, None if it has ended, and the monotonic time of the answer."""

    limit_per_s: float | None
    heard_s: float


class NoticeBoard:
    """The newest notices of all upstreams, from any instance's answers."""

    def __init__(self) -> None:
        """Start without notices."""
        self._limits: dict[str, Limit] = {}

    def note(self, upstream: str, notice: Notice, now_s: float) -> bool:
        """Record the notice of an answer; return whether it is news."""
        former = self._limits.get(upstream)
        if former is None and notice.limit_per_s is None:
            return False
        self._limits[upstream] = Limit(notice.limit_per_s, now_s)
        return former is None or _differ(former.limit_per_s, notice.limit_per_s)

    def merge(self, upstream: str, limit: Limit) -> None:
        """Record what another instance was told, unless newer is known."""
        former = self._limits.get(upstream)
        if former is None or limit.heard_s > former.heard_s:
            self._limits[upstream] = limit

    def list_limits(self, now_s: float) -> abc.Mapping[str, Limit]:
        """Return all limits, also ended ones, by the upstream's name."""
        self._limits = {
            upstream: limit
            for upstream, limit in self._limits.items()
            if now_s - limit.heard_s < _LIMIT_RETENTION_S
        }
        return self._limits


def _differ(former: float | None, limit: float | None) -> bool:
    if former is None or limit is None:
        return former is not limit
    return abs(limit - former) > former * _MIN_CHANGE_RATIO
