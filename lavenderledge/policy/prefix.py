"""Estimates of the prompt prefixes that each replica has cached."""

import collections
import typing
from collections import abc

# Maximum number of digests remembered per replica.
_MAX_DIGESTS: typing.Final = 4096
_FULL_CONFIDENCE: typing.Final = 1.0
_PARTIAL_CONFIDENCE: typing.Final = 0.5
_MIN_HIT_RATIO: typing.Final = 0.1
# Ratio of the hit ratio's sums that is kept at each new reading.
_DECAY: typing.Final = 0.95
_PRIOR_TOKENS: typing.Final = 2000


class CacheEvent(typing.NamedTuple):
    """A replica's event that it has stored or removed a block."""

    stored: bool
    digest: int


class _ReplicaHistory:
    """The digests of one replica, with a confidence for each."""

    def __init__(self) -> None:
        """Start empty."""
        self.digests: collections.OrderedDict[int, float]
        self.digests = collections.OrderedDict()
        self.expected = float(0)
        self.cached = float(0)
        self.hit_ratio = _FULL_CONFIDENCE

    def add(self, digest: int, confidence: float) -> None:
        """Add a digest as the newest; the oldest is evicted if full."""
        self.digests[digest] = confidence
        self.digests.move_to_end(digest)
        if len(self.digests) > _MAX_DIGESTS:
            self.digests.popitem(last=False)


class PrefixHistory:
    """Dispatch history by replica, corrected by delayed cache events."""

    def __init__(self) -> None:
        """Start without any history."""
        self._histories: dict[str, _ReplicaHistory] = {}

    def note_dispatch(self, replica: str, prefix: abc.Iterable[int]) -> None:
        """Record that a prompt was dispatched to a replica."""
        history = self._histories.setdefault(replica, _ReplicaHistory())
        for digest in prefix:
            history.add(digest, _FULL_CONFIDENCE)

    def note_events(
        self,
        replica: str,
        events: abc.Iterable[CacheEvent],
        *,
        events_lost: bool,
    ) -> None:
        """Apply cache events; lost events lower every confidence."""
        history = self._histories.setdefault(replica, _ReplicaHistory())
        if events_lost:
            for digest in history.digests:
                history.digests[digest] = _PARTIAL_CONFIDENCE
        for event in events:
            if event.stored:
                history.add(event.digest, _FULL_CONFIDENCE)
            else:
                history.digests.pop(event.digest, None)

    def note_expected(self, replica: str, tokens: float) -> None:
        """Record the tokens expected to be cached at a dispatch."""
        if tokens > 0:
            history = self._histories.setdefault(replica, _ReplicaHistory())
            history.expected = _DECAY * history.expected + tokens

    def note_cached(self, replica: str, tokens: int) -> None:
        """Record the cached tokens that a replica reported.

        The hit ratio falls when it reports less than expected. It stays at 1
        for replicas that never report any.
        """
        history = self._histories.get(replica)
        if history is None or (not tokens and not history.cached):
            return
        history.cached = _DECAY * history.cached + tokens
        measured_ratio = (history.cached + _PRIOR_TOKENS) / (
            history.expected + _PRIOR_TOKENS
        )
        history.hit_ratio = min(
            _FULL_CONFIDENCE, max(_MIN_HIT_RATIO, measured_ratio)
        )

    def match(self, replica: str, prefix: abc.Sequence[int]) -> float:
        """Return the expected number of the prefix's blocks in the cache."""
        history = self._histories.get(replica)
        if history is None:
            return 0
        low = 0
        high = len(prefix)
        while low < high:
            middle = (low + high + 1) // 2
            if prefix[middle - 1] in history.digests:
                low = middle
            else:
                high = middle - 1
        if not low:
            return 0
        return low * history.digests[prefix[low - 1]] * history.hit_ratio

    def retain(self, replicas: abc.Container[str]) -> None:
        """Drop the history of all other replicas."""
        for replica in tuple(self._histories):
            if replica not in replicas:
                self._histories.pop(replica)
