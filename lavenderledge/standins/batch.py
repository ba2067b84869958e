"""A simulation of an engine with continuous batching.

The engine runs in steps. Each step produces one token for every request that
has completed its prefill, and computes up to ``PREFILL_CHUNK_TOKENS`` prompt
tokens for the requests in prefill, in the order they started. A step takes
the token gap of its batch plus the time of its prefill, so a prefill slows
all other requests, as in chunked prefill. A request's first token is produced
at the end of the step that completes its prefill.

The token gap is nearly constant up to the knee, the batch size at which the
engine saturates: ``gap * (1 + 0.02 * (b - 1))`` for a batch of ``b``. Beyond
the knee it grows in proportion to the batch. Requests beyond ``max_running``
wait in order of arrival.
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
    """The lifecycle state of a request."""

    QUEUED = 'queued'
    IN_PROGRESS = 'in_progress'
    COMPLETED = 'completed'
    CANCELLED = 'cancelled'
    ORPHANED = 'orphaned'


FINAL_STATUSES = frozenset(
    (Status.COMPLETED, Status.CANCELLED, Status.ORPHANED)
)


class Speed(typing.NamedTuple):
    """An engine's speed; ``prefill_rate`` is in tokens per second."""

    token_gap_s: float
    knee: int
    prefill_rate: float
    max_running: int


class Sequence:
    """One request in the batch."""

    def __init__(
        self,
        *,
        digests: tuple[int, ...],
        prompt_tokens: int,
        target_tokens: int,
    ) -> None:
        """Create a queued request with no tokens computed."""
        self.digests = digests
        self.prompt_tokens = prompt_tokens
        self.target_tokens = target_tokens
        self.cached_tokens = 0
        self.prefilled_tokens = 0
        self.produced_tokens = 0
        self.status = Status.QUEUED

    @property
    def ended(self) -> bool:
        """Return whether the request has ended."""
        return self.status in FINAL_STATUSES

    @property
    def unprefilled_tokens(self) -> int:
        """Return the number of prompt tokens still to be computed."""
        return self.prompt_tokens - self.cached_tokens - self.prefilled_tokens


class Load(typing.NamedTuple):
    """The load that an engine reports; ``cache_usage`` is from 0 to 1."""

    running: int
    waiting: int
    cache_usage: float


class StepResult(typing.NamedTuple):
    """The requests that a step decoded, and those it finished prefilling."""

    decoded: list[Sequence]
    prefilled: list[Sequence]


class _Chunk(typing.NamedTuple):
    sequence: Sequence
    tokens: int


class Batch:
    """The running and waiting requests of one engine."""

    def __init__(self, *, speed: Speed, cache: prefixcache.PrefixCache) -> None:
        """Create an empty batch."""
        self.slowdown = 1.0
        self._speed = speed
        self._cache = cache
        self._waiting: collections.deque[Sequence] = collections.deque()
        self._prefilling: collections.deque[Sequence] = collections.deque()
        self._decoding: list[Sequence] = []
        self._chunks: list[_Chunk] = []

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        return len(self._prefilling) + len(self._decoding)

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    @property
    def held_tokens(self) -> int:
        """Return the number of tokens the running requests hold in memory."""
        return sum(
            sequence.prompt_tokens + sequence.produced_tokens
            for sequence in (*self._prefilling, *self._decoding)
        )

    def add(self, sequence: Sequence) -> None:
        """Add a request to the waiting queue."""
        self._waiting.append(sequence)

    def admit(self) -> list[Sequence]:
        """Start waiting requests up to ``max_running``, and return them."""
        started = []
        while self._waiting and self.running < self._speed.max_running:
            sequence = self._waiting.popleft()
            self._start_prefill(sequence)
            started.append(sequence)
        return started

    def begin_step(self) -> float:
        """Begin a step and return its duration in seconds, 0 if idle.

        A request that starts during the step is not part of it.
        """
        self._chunks = self._plan_chunks()
        tokens = sum(chunk.tokens for chunk in self._chunks)
        prefill_s = tokens / self._speed.prefill_rate
        return (self._compute_gap_s() + prefill_s) * self.slowdown

    def end_step(self) -> StepResult:
        """End the current step and return what it computed.

        A request that produces its last token completes and is removed.
        """
        prefilled = self._prefill()
        self._decoding.extend(prefilled)
        decoded = self._decoding
        for sequence in decoded:
            sequence.produced_tokens += 1
            if sequence.produced_tokens >= sequence.target_tokens:
                sequence.status = Status.COMPLETED
        self._decoding = [
            sequence for sequence in decoded if not sequence.ended
        ]
        return StepResult(decoded, prefilled)

    def remove(self, sequence: Sequence, status: Status) -> None:
        """Remove a request that has not ended and set its final status."""
        if sequence.ended:
            return
        sequence.status = status
        for group in self._list_groups():
            if sequence in group:
                group.remove(sequence)

    def _list_groups(self) -> tuple[abc.MutableSequence[Sequence], ...]:
        return self._waiting, self._prefilling, self._decoding

    def _start_prefill(self, sequence: Sequence) -> None:
        # The last prompt token is always computed; output starts from it.
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

    def _compute_gap_s(self) -> float:
        size = len(self._decoding)
        if not size:
            return 0
        knee = self._speed.knee
        growth = 1 + _GAP_GROWTH * (min(size, knee) - 1)
        return self._speed.token_gap_s * growth * max(size / knee, 1)

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
