"""The engine stand-in's prefix cache: prompt blocks, least recent out first.

A token is four characters of the prompt and a block is sixteen tokens. A
block's digest covers the block and everything before it.
"""

import collections
import itertools
import math
import random
import typing

import xxhash

TOKEN_CHARACTERS = 4
BLOCK_TOKENS = 16


class CacheEvent(typing.NamedTuple):
    """Blocks that came into or left the cache."""

    seq: int
    type: typing.Literal['stored', 'removed']
    blocks: tuple[int, ...]


class _Published(typing.NamedTuple):
    time_s: float
    event: CacheEvent
    dropped: bool


class EventPage(typing.TypedDict):
    """Events to be seen now; ``next`` continues after them."""

    events: list[dict[str, object]]
    next: int


def count_tokens(text: str) -> int:
    """Return a prompt's tokens, at least one."""
    return max(math.ceil(len(text) / TOKEN_CHARACTERS), 1)


def digest_blocks(
    text: str, *, block_tokens: int = BLOCK_TOKENS
) -> tuple[int, ...]:
    """Return the 64-bit digests of a prompt's whole blocks."""
    width = block_tokens * TOKEN_CHARACTERS
    digests: list[int] = []
    digest = 0
    for start in range(0, len(text) - width + 1, width):
        block = text[start : start + width].encode()
        digest = xxhash.xxh64_intdigest(block, digest)
        digests.append(digest)
    return tuple(digests)


class PrefixCache:
    """A bounded set of blocks."""

    def __init__(
        self, *, capacity: int, block_tokens: int = BLOCK_TOKENS
    ) -> None:
        """Start empty; the capacity is in blocks."""
        self.capacity = capacity
        self.block_tokens = block_tokens
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def match(self, digests: tuple[int, ...]) -> int:
        """Return how many leading blocks are cached, and use them."""
        found = self.peek(digests)
        self._use(digests[:found])
        return found

    def peek(self, digests: tuple[int, ...]) -> int:
        """Return how many leading blocks are cached."""
        found = 0
        for digest in digests:
            if digest not in self._blocks:
                break
            found += 1
        return found

    def store(
        self, digests: tuple[int, ...]
    ) -> tuple[tuple[int, ...], tuple[int, ...]]:
        """Cache a prompt's blocks and return those stored and removed."""
        kept = digests[: self.capacity]
        stored = tuple(each for each in kept if each not in self._blocks)
        for digest in stored:
            self._blocks[digest] = None
        self._use(kept)
        removed = []
        while len(self._blocks) > self.capacity:
            removed.append(self._blocks.popitem(last=False)[0])
        return stored, tuple(removed)

    def _use(self, digests: tuple[int, ...]) -> None:
        for digest in reversed(digests):
            self._blocks.move_to_end(digest)


class EventFeed:
    """The published cache events, with a lag and dropped ones."""

    def __init__(self, *, max_events: int = 100_000, seed: int = 0) -> None:
        """Keep so many events for readers; the seed picks dropped ones."""
        self._events: collections.deque[_Published] = collections.deque(
            maxlen=max_events
        )
        self._random = random.Random(seed)
        self._last = 0

    def publish(
        self,
        now_s: float,
        kind: typing.Literal['stored', 'removed'],
        blocks: tuple[int, ...],
        *,
        drop_probability: float = 0,
    ) -> None:
        """Number one event, and drop it with the probability ``gaps``."""
        if not blocks:
            return
        self._last += 1
        dropped = self._random.random() < drop_probability
        event = CacheEvent(self._last, kind, blocks)
        self._events.append(_Published(now_s, event, dropped))

    def read(self, now_s: float, lag_s: float, after: int) -> EventPage:
        """Return the events after a number that are to be seen now."""
        seen = [
            published
            for published in self._list_after(after)
            if published.time_s <= now_s - lag_s
        ]
        return {
            'events': [
                published.event._asdict()
                for published in seen
                if not published.dropped
            ],
            'next': seen[-1].event.seq if seen else after,
        }

    def _list_after(self, after: int) -> typing.Iterator[_Published]:
        forgotten = self._last - len(self._events)
        return itertools.islice(self._events, max(after - forgotten, 0), None)
