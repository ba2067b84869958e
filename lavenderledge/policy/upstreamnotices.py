"""What upstreams say of themselves in their answers.

Nothing else carries it: each instance knows what its own answers said, and the
instances tell each other.
"""

import typing
from collections import abc

# A notice that no answer has confirmed for this long is forgotten, seconds. An
# upstream that leaves has ended by then.
_RETENTION_S: typing.Final = 30.0
# Longer pauses are cut to this, seconds.
_MAX_PAUSE_S: typing.Final = 300.0
# A change of a limit by less than this ratio is not worth a message of its own.
_MIN_CHANGE_RATIO: typing.Final = 0.1


class Upstream(typing.NamedTuple):
    """An upstream, told from a later one of its name by when it started.

    ``started_ms`` is in Unix milliseconds, 0 if it is not known.
    """

    name: str
    started_ms: int


class Notice(typing.NamedTuple):
    """What an upstream says of itself in one answer.

    ``limit_per_s`` is how many requests per second it takes from all instances
    together, None if it names no limit. ``is_leaving`` means that it takes no
    more requests soon. With ``is_refusal`` it has not run the request; for
    ``pause_s`` from then on, it wants none from the instance that it refused.
    """

    limit_per_s: float | None
    is_leaving: bool
    is_refusal: bool
    pause_s: float


class Limit(typing.NamedTuple):
    """A limit, None if it has ended, and the monotonic time of the answer."""

    limit_per_s: float | None
    heard_s: float


class NoticeBoard:
    """The newest notices of all upstreams, from any instance's answers."""

    def __init__(self) -> None:
        """Start without notices."""
        self._limits: dict[str, Limit] = {}
        self._departures: dict[Upstream, float] = {}
        self._paused_until_s: dict[str, float] = {}

    def note(self, upstream: Upstream, notice: Notice, now_s: float) -> bool:
        """Record an answer's notice; return whether it is news for others."""
        is_news = self._note_limit(upstream.name, notice, now_s)
        if notice.pause_s > 0:
            until_s = now_s + min(notice.pause_s, _MAX_PAUSE_S)
            former_s = self._paused_until_s.get(upstream.name, until_s)
            self._paused_until_s[upstream.name] = max(until_s, former_s)
        if notice.is_leaving:
            is_news = is_news or upstream not in self._departures
            self._departures[upstream] = now_s
        return is_news

    def merge_limit(self, name: str, limit: Limit) -> None:
        """Record what another instance was told, unless newer is known."""
        former = self._limits.get(name)
        if former is None or limit.heard_s > former.heard_s:
            self._limits[name] = limit

    def merge_departure(self, upstream: Upstream, heard_s: float) -> None:
        """Record that an upstream said to another instance that it leaves."""
        former_s = self._departures.get(upstream, heard_s)
        self._departures[upstream] = max(former_s, heard_s)

    def list_limits(self, now_s: float) -> abc.Mapping[str, Limit]:
        """Return all limits, also ended ones, by the upstream's name."""
        self._limits = {
            name: limit
            for name, limit in self._limits.items()
            if now_s - limit.heard_s < _RETENTION_S
        }
        return self._limits

    def list_departures(self, now_s: float) -> abc.Mapping[Upstream, float]:
        """Return when each leaving upstream last said so (monotonic)."""
        self._departures = {
            upstream: heard_s
            for upstream, heard_s in self._departures.items()
            if now_s - heard_s < _RETENTION_S
        }
        return self._departures

    def has_departed(self, upstream: Upstream, now_s: float) -> bool:
        """Return whether an upstream said that it leaves."""
        return upstream in self.list_departures(now_s)

    def list_paused(self, now_s: float) -> frozenset[str]:
        """Return the upstreams that want no requests from this instance."""
        self._paused_until_s = {
            name: until_s
            for name, until_s in self._paused_until_s.items()
            if now_s < until_s
        }
        return frozenset(self._paused_until_s)

    def _note_limit(self, name: str, notice: Notice, now_s: float) -> bool:
        """Record a limit, or its end; a refusal does not end one."""
        former = self._limits.get(name)
        limit_per_s = notice.limit_per_s
        if limit_per_s is None and (former is None or notice.is_refusal):
            return False
        self._limits[name] = Limit(limit_per_s, now_s)
        return former is None or _differ(former.limit_per_s, limit_per_s)


def _differ(former: float | None, limit: float | None) -> bool:
    if former is None or limit is None:
        return former is not limit
    return abs(limit - former) > former * _MIN_CHANGE_RATIO
