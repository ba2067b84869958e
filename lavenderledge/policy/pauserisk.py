"""How many streams a replica runs without long pauses between their events.

A replica reads prompts between the tokens of its other requests, so its streams
pause for longer the more requests it runs, and more so on slow hardware. What
it takes well is learned from its streams: the number of requests beside a
stream, and whether that stream was late by a pause.
"""

import math
import typing

# A stream counts half after about this time: changes are followed in seconds.
_MEMORY_S: typing.Final = 8.0
# Without streams, a replica is assumed to be sound: a few are needed to doubt
# it, and one that is avoided is tried again when they have faded.
_PRIOR_STREAMS: typing.Final = 4.0
_PRIOR_RISK: typing.Final = 0.02
# The part of the streams that may be late by a pause at a sound load.
MAX_RISK: typing.Final = 0.15
# Streams that are late together mostly have one cause, as a slow second of the
# replica's machine: within this time, each late one counts half of the former.
_INCIDENT_S: typing.Final = 1.0
# Loads above this count as this one: entries of replicas may name any capacity.
_MAX_LEVEL: typing.Final = 64
# The limit is computed anew after this time at the latest.
_LIMIT_AGE_S: typing.Final = 0.5


class PauseRisk:
    """The streams of one replica, by the number of requests that ran there."""

    def __init__(self, *, slots: int) -> None:
        """Start without streams; ``slots`` is the replica's capacity."""
        self._slots = slots
        self._max_level = min(slots, _MAX_LEVEL)
        levels = range(self._max_level + 1)
        self._late = [float(0) for _ in levels]
        self._sound = [float(0) for _ in levels]
        self._updated_s = float('-inf')
        self._incident_s = float('-inf')
        self._incident_weight = 1.0
        self._limit = slots
        self._limit_until_s = float('-inf')

    def note(self, load: int, *, is_late: bool, now_s: float) -> None:
        """Add a stream that ran beside ``load`` - 1 other requests."""
        self._fade(now_s)
        level = min(max(load, 1), self._max_level)
        if is_late:
            self._late[level] += self._weigh_late(now_s)
        else:
            self._sound[level] += 1
        self._limit_until_s = float('-inf')

    def estimate(self, load: int) -> float:
        """Return the part of the streams that are late at a load.

        Streams that were late at a lower load, or in time at a higher one,
        count as well: more requests never shorten the pauses.
        """
        load = min(load, self._max_level)
        late = sum(self._late[: load + 1]) + _PRIOR_RISK * _PRIOR_STREAMS
        sound = sum(self._sound[load:]) + (1 - _PRIOR_RISK) * _PRIOR_STREAMS
        return late / (late + sound)

    def find_limit(self, now_s: float) -> int:
        """Return the highest load at which its streams are in time, or 0."""
        if now_s >= self._limit_until_s:
            self._fade(now_s)
            self._limit_until_s = now_s + _LIMIT_AGE_S
            level = max(
                load
                for load in range(self._max_level + 1)
                if not load or self.estimate(load) <= MAX_RISK
            )
            is_full = level == self._max_level
            self._limit = self._slots if is_full else level
        return self._limit

    def _weigh_late(self, now_s: float) -> float:
        if now_s - self._incident_s >= _INCIDENT_S:
            self._incident_s = now_s
            self._incident_weight = 1.0
        weight = self._incident_weight
        self._incident_weight /= 2
        return weight

    def _fade(self, now_s: float) -> None:
        elapsed_s = max(0, now_s - self._updated_s)
        self._updated_s = now_s
        factor = math.exp(-elapsed_s / _MEMORY_S)
        self._late = [streams * factor for streams in self._late]
        self._sound = [streams * factor for streams in self._sound]
