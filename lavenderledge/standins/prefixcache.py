"""The prefix cache of the engine stand-in: an LRU cache of prompt blocks.

A token is four characters of the prompt and a block is by default 16 tokens.
A block's digest covers the block and the whole prefix before it.
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
    """Blocks that were added to or evicted from the cache."""

    seq: int
    type: typing.Literal['stored', 'removed']
    blocks: tuple[int, ...]


class _Published(typing.NamedTuple):
    time_s: float
    event: CacheEvent
    dropped: bool


class EventPage(typing.TypedDict):
    """A page of events; pass ``next`` to read the following page."""

    events: list[dict[str, object]]
    next: int


def count_tokens(text: str) -> int:
    """Return the number of tokens in a prompt, at least one."""
    return max(math.ceil(len(text) / TOKEN_CHARACTERS), 1)


def digest_blocks(
    text: str, *, block_tokens: int = BLOCK_TOKENS
) -> tuple[int, ...]:
    """Return the 64-bit digests of a prompt's complete blocks."""
    width = block_tokens * TOKEN_CHARACTERS
    digests: list[int] = []
    digest = 0
    for start in range(0, len(text) - width + 1, width):
        block = text[start : start + width].encode()
        digest = xxhash.xxh64_intdigest(block, digest)
        digests.append(digest)
    return tuple(digests)


class PrefixCache:
    """A bounded LRU set of block digests."""

    def __init__(
        self, *, capacity: int, block_tokens: int = BLOCK_TOKENS
    ) -> None:
        """Create an empty cache; the capacity is in blocks."""
        self.capacity = capacity
        self.block_tokens = block_tokens
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def match(self, digests: tuple[int, ...]) -> int:
        """Return the number of leading blocks cached, and mark them used."""
        cached = self.peek(digests)
        self._use(digests[:cached])
        return cached

    def peek(self, digests: tuple[int, ...]) -> int:
        """Return the number of leading blocks cached."""
        cached = 0
        for digest in digests:
            if digest not in self._blocks:
                break
            cached += 1
        return cached

    def store(
        self, digests: tuple[int, ...]
    ) -> tuple[tuple[int, ...], tuple[int, ...]]:
        """Cache a prompt's blocks; return those added and those evicted."""
        retained = digests[: self.capacity]
        stored = tuple(
            digest for digest in retained if digest not in self._blocks
        )
        for digest in stored:
            self._blocks[digest] = None
        self._use(retained)
        removed = []
        while len(self._blocks) > self.capacity:
            removed.append(self._blocks.popitem(last=False)[0])
        return stored, tuple(removed)

    def _use(self, digests: tuple[int, ...]) -> None:
        for digest in reversed(digests):
            self._blocks.move_to_end(digest)


class EventFeed:
    """The published cache events; some are dropped, all are delayed."""

    def __init__(self, *, max_events: int = 100_000, seed: int = 0) -> None:
        """Create an empty feed; the seed decides which events it drops."""
        self._events: collections.deque[_Published] = collections.deque(
            maxlen=max_events
        )
        self._random = random.Random(seed)
        self._last_seq = 0

    def publish(
        self,
        now_s: float,
        kind: typing.Literal['stored', 'removed'],
        blocks: tuple[int, ...],
        *,
        drop_probability: float = 0,
    ) -> None:
        """Number and store an event; drop it with ``drop_probability``."""
        if not blocks:
            return
        self._last_seq += 1
        dropped = self._random.random() < drop_probability
        event = CacheEvent(self._last_seq, kind, blocks)
        self._events.append(_Published(now_s, event, dropped))

    def read(self, now_s: float, lag_s: float, after: int) -> EventPage:
        """Return the events after ``after`` that are at least ``lag_s`` old."""
        visible = [
            published
            for published in self._list_after(after)
            if published.time_s <= now_s - lag_s
        ]
        return {
            'events': [
                published.event._asdict()
                for published in visible
                if not published.dropped
            ],
            'next': visible[-1].event.seq if visible else after,
        }

    def _list_after(self, after: int) -> typing.Iterator[_Published]:
        removed_count = self._last_seq - len(self._events)
        return itertools.islice(
            self._events, max(after - removed_count, 0), None
        )
