"""The allocator's state of each replica of a pool."""

import math
import typing

from lavenderledge.peers import messages
from lavenderledge.policy import concurrencylimits, speed, stragglers

PLAIN_LIMIT: typing.Final = 32

_BATCH_WINDOW_S: typing.Final = 0.5
# An idle replica without readings for longer may have changed its speed.
_STALE_S: typing.Final = 3.0
# A token gap below this ratio of the expected one takes effect at once.
_FASTER_RATIO: typing.Final = 0.6
_INITIAL_BACKOFF_S: typing.Final = 0.25
_MAX_BACKOFF_S: typing.Final = 5.0
_MAX_FAILURES: typing.Final = 6
# Weight of a straggler's readings in its learned speed.
_STRAGGLER_WEIGHT: typing.Final = 0.05
# Readings of batches over this ratio of the known maximum don't count towards
# detecting a straggler.
_COMPARABLE_BATCH_RATIO: typing.Final = 1.15


class ReplicaInfo(typing.NamedTuple):
    """One replica that is ready and not terminating."""

    name: str
    address: str
    availability_zone: str
    kind: typing.Literal['engine', 'plain']


class Replica:
    """One replica's load, by this allocator's grants, and its speed."""

    def __init__(self, *, info: ReplicaInfo | None) -> None:
        """Start without load; ``info`` is None while it is not listed."""
        self.info: ReplicaInfo | None = None
        self.plain = False
        self.limit = concurrencylimits.Limit()
        self.speed = speed.Speed()
        self.slowdown = stragglers.Slowdown()
        self.straggler_status = stragglers.StragglerStatus(
            stragglers.State.NORMAL, 0
        )
        self.load = Load()
        self.reported_load = 0
        self.last_reading_s = float('-inf')
        self.failures = 0
        self.unavailable_until_s = float('-inf')
        self._probe_sent = False
        self.update_info(info)

    def update_info(self, info: ReplicaInfo | None) -> None:
        """Update the replica's list entry; None if it is not listed."""
        self.info = info
        self.load.changed = True
        if info is not None and info.kind == 'plain' and not self.plain:
            self.plain = True
            self.limit = concurrencylimits.Limit(start=PLAIN_LIMIT)

    def count_slots(self, *, share: float, now_s: float) -> int:
        """Return the number of further requests that may be granted."""
        if not self.is_available(now_s):
            return 0
        capacity = self.count_capacity(share=share, now_s=now_s)
        return max(0, capacity - self.load.held)

    def is_available(self, now_s: float) -> bool:
        """Return whether the replica is listed and not backing off."""
        return self.info is not None and now_s >= self.unavailable_until_s

    def count_capacity(self, *, share: float, now_s: float) -> int:
        """Return the maximum number of requests that may hold grants."""
        limit = math.ceil(self.limit.max_concurrency * share)
        return stragglers.scale_limit(self.straggler_status, limit, now_s=now_s)

    @property
    def has_constant_limit(self) -> bool:
        """Return whether its slots depend on the load only, not on time."""
        normal = self.straggler_status.state is stragglers.State.NORMAL
        return normal and not self.failures

    def note_load(self, reported_load: int) -> None:
        """Record the load that the replica reports, with a delay."""
        self.reported_load = reported_load
        self.load.changed = True

    def find_slowdown_factor(self) -> float:
        """Return the ratio of its current to its expected token gap.

        It is below 1 only for a replica that has become much faster.
        """
        ratio = self.slowdown.ratio() or 1
        if self.straggler_status.state is not stragglers.State.NORMAL:
            return max(1, ratio)
        return ratio if ratio < _FASTER_RATIO else 1

    def note_granted(self, *, now_s: float) -> None:
        """Let one request probe a failed replica, then back off again."""
        if self.failures:
            self._probe_sent = True
            self._back_off(now_s)

    def note_reading(self, reading: messages.Reading, *, now_s: float) -> None:
        """Update the estimates from an instance's reading."""
        self.load.changed = True
        if reading.failures:
            self._note_failure(now_s)
        if reading.first_tokens:
            self._note_success()
            self._note_first_tokens(reading, now_s)
        if reading.token_gaps:
            self.last_reading_s = now_s
            self._note_gaps(reading, now_s)

    def is_stale(self, now_s: float) -> bool:
        """Return whether it is idle and has no recent speed reading."""
        return not self.load.held and now_s - self.last_reading_s > _STALE_S

    def update_straggler_status(
        self, *, median_ratio: float, now_s: float
    ) -> None:
        """Update the status; ``median_ratio`` is that of all replicas."""
        self.load.changed = True
        self.straggler_status = stragglers.update_status(
            self.straggler_status,
            ratio=self.slowdown.ratio(),
            median_ratio=median_ratio,
            last_reading_s=self.slowdown.last_reading_s,
            now_s=now_s,
        )

    def _note_gaps(self, reading: messages.Reading, now_s: float) -> None:
        batch = self.load.mean_batch(now_s)
        gap_s = reading.token_gap_s / reading.token_gaps
        expected_gap_s = self.speed.estimate_gap_s(batch)
        if self._is_comparable(batch):
            self.slowdown.note_gaps(
                gaps=reading.token_gaps,
                total_gap_s=reading.token_gap_s,
                expected_gap_s=expected_gap_s,
                now_s=now_s,
            )
        normal = self.straggler_status.state is stragglers.State.NORMAL
        self.speed.note_gaps(
            batch=batch,
            gaps=reading.token_gaps,
            mean_gap_s=gap_s,
            weight=1 if normal else _STRAGGLER_WEIGHT,
        )
        if normal:
            self.limit.note_gaps(
                batch=batch,
                gaps=reading.token_gaps,
                total_gap_s=reading.token_gap_s,
                now_s=now_s,
            )
        else:
            self.limit.discard_period()

    def _is_comparable(self, batch: float) -> bool:
        max_batch = self.speed.max_batch * _COMPARABLE_BATCH_RATIO + 1
        return self.speed.has_readings and batch <= max_batch

    def _note_first_tokens(
        self, reading: messages.Reading, now_s: float
    ) -> None:
        if self.plain:
            # A plain answer counts as one gap: it has no other timing.
            self._note_gaps(
                reading._replace(
                    token_gaps=reading.first_tokens,
                    token_gap_s=reading.first_token_s,
                ),
                now_s,
            )
            return
        self.speed.note_first_tokens(
            prefilled_tokens=reading.prefill_tokens - reading.cached_tokens,
            first_token_s=reading.first_token_s,
        )

    def _note_failure(self, now_s: float) -> None:
        """Double the backoff; ignore failures of earlier requests."""
        if now_s < self.unavailable_until_s and not self._probe_sent:
            return
        self._probe_sent = False
        self.failures = min(self.failures + 1, _MAX_FAILURES)
        self._back_off(now_s)

    def _note_success(self) -> None:
        """End the backoff; ignore answers to earlier requests."""
        if self._probe_sent:
            self._probe_sent = False
            self.failures = 0
            self.unavailable_until_s = float('-inf')

    def _back_off(self, now_s: float) -> None:
        backoff_s = _INITIAL_BACKOFF_S * 2 ** (self.failures - 1)
        self.unavailable_until_s = now_s + min(backoff_s, _MAX_BACKOFF_S)


class Load:
    """The requests that hold grants for one replica; sums in tokens."""

    def __init__(self) -> None:
        """Start without requests."""
        self.changed = True
        self.held = 0
        self.cancellable: dict[int, int] = {}
        self.prefill_left = 0
        self.output_left = 0
        self._mean_batch = float(0)
        self._mean_updated_s: float | None = None

    def add(
        self, *, tier: int, prefill: int, output: int, now_s: float
    ) -> None:
        """Add a request with its remaining work, in tokens.

        ``tier`` is 0 for a request that may not be cancelled.
        """
        self.mean_batch(now_s)
        self.changed = True
        self.held += 1
        self.cancellable[tier] = self.cancellable.get(tier, 0) + 1
        self.prefill_left += prefill
        self.output_left += output

    def remove(
        self, *, tier: int, prefill: int, output: int, now_s: float
    ) -> None:
        """Remove a request with its remaining work, in tokens."""
        self.mean_batch(now_s)
        self.changed = True
        self.held -= 1
        self.cancellable[tier] -= 1
        self.prefill_left -= prefill
        self.output_left -= output

    def adjust(self, *, prefill: int, output: int) -> None:
        """Adjust the remaining work, in tokens."""
        self.changed = True
        self.prefill_left += prefill
        self.output_left += output

    def count_lower(self, tier: int) -> int:
        """Return the number of cancellable requests of lower tiers."""
        return sum(
            count
            for other_tier, count in self.cancellable.items()
            if other_tier > tier
        )

    def mean_batch(self, now_s: float) -> float:
        """Return the average number of requests over about 0.5 s."""
        if self._mean_updated_s is None:
            self._mean_batch = float(self.held)
        else:
            elapsed_s = max(now_s - self._mean_updated_s, 0)
            smoothing = 1 - math.exp(-elapsed_s / _BATCH_WINDOW_S)
            self._mean_batch += smoothing * (self.held - self._mean_batch)
        self._mean_updated_s = now_s
        return max(self._mean_batch, 1)
