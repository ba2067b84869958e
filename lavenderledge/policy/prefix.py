"""What each replica of a pool probably holds of prompts' prefixes."""

import collections
import typing
from collections import abc

# The most digests that are remembered for one replica.
_MOST_DIGESTS: typing.Final = 4096
_CERTAIN: typing.Final = 1.0
_UNKNOWN: typing.Final = 0.5
_LEAST_TRUST: typing.Final = 0.1
# How much of the sums behind the trust is kept at each new figure.
_FADE: typing.Final = 0.95
_PRIOR_TOKENS: typing.Final = 2000


class CacheEvent(typing.NamedTuple):
    """A replica's word that it has stored or removed a block."""

    stored: bool
    digest: int


class _Holding:
    """The digests of one replica, with how sure each is."""

    def __init__(self) -> None:
        """Start empty."""
        self.digests: collections.OrderedDict[int, float]
        self.digests = collections.OrderedDict()
        self.expected = float(0)
        self.cached = float(0)
        self.trust = _CERTAIN

    def put(self, digest: int, certainty: float) -> None:
        """Remember a digest as the newest."""
        self.digests[digest] = certainty
        self.digests.move_to_end(digest)
        if len(self.digests) > _MOST_DIGESTS:
            self.digests.popitem(last=False)


class PrefixHistory:
    """Dispatch history by replica, corrected by late cache events."""

    def __init__(self) -> None:
        """Start with nothing known."""
        self._holdings: dict[str, _Holding] = {}

    def note_dispatch(self, replica: str, prefix: abc.Iterable[int]) -> None:
        """Remember that a prompt went to a replica."""
        holding = self._holdings.setdefault(replica, _Holding())
        for digest in prefix:
            holding.put(digest, _CERTAIN)

    def note_events(
        self,
        replica: str,
        events: abc.Iterable[CacheEvent],
        *,
        events_lost: bool,
    ) -> None:
        """Correct the history; after a gap all that is held is unknown."""
        holding = self._holdings.setdefault(replica, _Holding())
        if events_lost:
            for digest in holding.digests:
                holding.digests[digest] = _UNKNOWN
        for event in events:
            if event.stored:
                holding.put(event.digest, _CERTAIN)
            else:
                holding.digests.pop(event.digest, None)

    def note_expected(self, replica: str, tokens: float) -> None:
        """Record how many tokens a dispatch was expected to find cached."""
        if tokens > 0:
            holding = self._holdings.setdefault(replica, _Holding())
            holding.expected = _FADE * holding.expected + tokens

    def note_cached(self, replica: str, tokens: int) -> None:
        """Record how many tokens the replica said it had cached.

        The history of a replica that says less than was expected is trusted
        less; one that never says anything is trusted.
        """
        holding = self._holdings.get(replica)
        if holding is None or (not tokens and not holding.cached):
            return
        holding.cached = _FADE * holding.cached + tokens
        seen = (holding.cached + _PRIOR_TOKENS) / (
            holding.expected + _PRIOR_TOKENS
        )
        holding.trust = min(_CERTAIN, max(_LEAST_TRUST, seen))

    def match(self, replica: str, prefix: abc.Sequence[int]) -> float:
        """Return how many of the prefix's blocks to expect in the cache."""
        holding = self._holdings.get(replica)
        if holding is None:
            return 0
        low = 0
        high = len(prefix)
        while low < high:
            middle = (low + high + 1) // 2
            if prefix[middle - 1] in holding.digests:
                low = middle
            else:
                high = middle - 1
        if not low:
            return 0
        return low * holding.digests[prefix[low - 1]] * holding.trust

    def retain(self, replicas: abc.Container[str]) -> None:
        """Forget the replicas that are not among these."""
        for replica in tuple(self._holdings):
            if replica not in replicas:
                self._holdings.pop(replica)
