"""A simulation of an engine that batches continuously.

Time passes in steps. In each step every request past its prefill makes one
token, and up to ``PREFILL_CHUNK_TOKENS`` prompt tokens are computed for the
requests still in prefill, in the order they started. A step takes the token
gap of its batch plus the time of its prefill, so a prefill slows every other
request, as chunked prefill does. A request's first token comes at the end of
the step that completes its prefill.

The token gap is about constant up to the knee, ``gap * (1 + 0.02 * (b - 1))``
for a batch of ``b``, and beyond the knee grows in proportion to the batch.
Requests beyond ``max_running`` wait in the order they came.
"""

import collections
import enum
import typing
from collections import abc

from lavenderledge.standins import prefixcache

PREFILL_CHUNK_TOKENS = 256
_GAP_GROWTH = 0.02


@enum.unique
class Status(enum.StrEnum):
    """Where a request is in its life."""

    QUEUED = 'queued'
    IN_PROGRESS = 'in_progress'
    COMPLETED = 'completed'
    CANCELLED = 'cancelled'
    ORPHANED = 'orphaned'


FINAL_STATUSES = frozenset(
    (Status.COMPLETED, Status.CANCELLED, Status.ORPHANED)
)


class Speed(typing.NamedTuple):
    """How fast an engine is; ``prefill_rate`` in tokens a second."""

    token_gap_s: float
    knee: int
    prefill_rate: float
    max_running: int


class Sequence:
    """One request in the batch; ``produced`` counts its tokens so far."""

    def __init__(
        self,
        *,
        digests: tuple[int, ...],
        prompt_tokens: int,
        target_tokens: int,
    ) -> None:
        """Start queued with nothing computed."""
        self.digests = digests
        self.prompt_tokens = prompt_tokens
        self.target_tokens = target_tokens
        self.cached_tokens = 0
        self.prefilled_tokens = 0
        self.produced_tokens = 0
        self.status = Status.QUEUED

    @property
    def ended(self) -> bool:
        """Return whether no further token will come."""
        return self.status in FINAL_STATUSES

    @property
    def unprefilled_tokens(self) -> int:
        """Return the prompt's tokens still to be computed."""
        return self.prompt_tokens - self.cached_tokens - self.prefilled_tokens


class Load(typing.NamedTuple):
    """What an engine reports of its load; ``cache_usage`` from 0 to 1."""

    running: int
    waiting: int
    cache_usage: float


class StepResult(typing.NamedTuple):
    """Who made a token in a step, and whose prefill it completed."""

    decoded: list[Sequence]
    prefilled: list[Sequence]


class _Chunk(typing.NamedTuple):
    sequence: Sequence
    tokens: int


class Batch:
    """The requests that run and wait in one engine."""

    def __init__(self, *, speed: Speed, cache: prefixcache.PrefixCache) -> None:
        """Start empty."""
        self.slowdown = 1.0
        self._speed = speed
        self._cache = cache
        self._waiting: collections.deque[Sequence] = collections.deque()
        self._prefilling: collections.deque[Sequence] = collections.deque()
        self._decoding: list[Sequence] = []
        self._chunks: list[_Chunk] = []

    @property
    def running(self) -> int:
        """Return how many requests run."""
        return len(self._prefilling) + len(self._decoding)

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    @property
    def held_tokens(self) -> int:
        """Return the tokens that the running requests hold in memory."""
        return sum(
            sequence.prompt_tokens + sequence.produced_tokens
            for sequence in (*self._prefilling, *self._decoding)
        )

    def add(self, sequence: Sequence) -> None:
        """Let a request wait for its place."""
        self._waiting.append(sequence)

    def admit(self) -> list[Sequence]:
        """Start waiting requests while there is room, and return them."""
        started = []
        while self._waiting and self.running < self._speed.max_running:
            sequence = self._waiting.popleft()
            self._start(sequence)
            started.append(sequence)
        return started

    def begin_step(self) -> float:
        """Begin a step and return the seconds it takes, 0 when empty.

        A request that starts later has no part in the step.
        """
        self._chunks = self._plan_chunks()
        tokens = sum(chunk.tokens for chunk in self._chunks)
        chunk_s = tokens / self._speed.prefill_rate
        return (self._measure_gap() + chunk_s) * self.slowdown

    def end_step(self) -> StepResult:
        """End the step that was begun.

        A request at its last token is completed and leaves the batch.
        """
        prefilled = self._prefill()
        self._decoding.extend(prefilled)
        decoded = self._decoding
        for sequence in decoded:
            sequence.produced_tokens += 1
            if sequence.produced_tokens >= sequence.target_tokens:
                sequence.status = Status.COMPLETED
        self._decoding = [each for each in decoded if not each.ended]
        return StepResult(decoded, prefilled)

    def remove(self, sequence: Sequence, status: Status) -> None:
        """Take a request out before its end."""
        if sequence.ended:
            return
        sequence.status = status
        for group in self._list_groups():
            if sequence in group:
                group.remove(sequence)

    def _list_groups(self) -> tuple[abc.MutableSequence[Sequence], ...]:
        return self._waiting, self._prefilling, self._decoding

    def _start(self, sequence: Sequence) -> None:
        # The last token is always computed, for there is no answer without.
        sequence.cached_tokens = min(
            self._cache.match(sequence.digests) * self._cache.block_tokens,
            sequence.prompt_tokens - 1,
        )
        sequence.status = Status.IN_PROGRESS
        self._prefilling.append(sequence)

    def _plan_chunks(self) -> list[_Chunk]:
        budget = PREFILL_CHUNK_TOKENS
        chunks = []
        for sequence in self._prefilling:
            if not budget:
                break
            chunk = _Chunk(sequence, min(sequence.unprefilled_tokens, budget))
            chunks.append(chunk)
            budget -= chunk.tokens
        return chunks

    def _measure_gap(self) -> float:
        size = len(self._decoding)
        if not size:
            return 0
        knee = self._speed.knee
        level = 1 + _GAP_GROWTH * (min(size, knee) - 1)
        return self._speed.token_gap_s * level * max(size / knee, 1)

    def _prefill(self) -> list[Sequence]:
        prefilled = []
        for sequence, tokens in self._chunks:
            if sequence.ended:
                continue
            sequence.prefilled_tokens += tokens
            if not sequence.unprefilled_tokens:
                self._prefilling.remove(sequence)
                prefilled.append(sequence)
        return prefilled
