"""What the allocator of a pool knows of each replica."""

import math
import typing

from lavenderledge.peers import messages
from lavenderledge.policy import concurrencylimits, speed, stragglers

PLAIN_LIMIT: typing.Final = 32

_BATCH_WINDOW_S: typing.Final = 0.5
# Without readings for so long, an idle replica may have changed its speed.
_STALE_S: typing.Final = 3.0
# A pace under this part of the usual is believed at once.
_MUCH_FASTER: typing.Final = 0.6
_FIRST_BACKOFF_S: typing.Final = 0.25
_MOST_BACKOFF_S: typing.Final = 5.0
_MOST_DOUBLINGS: typing.Final = 6
# The weight of a slow replica's readings in what is usual for it.
_SLOW_WEIGHT: typing.Final = 0.05
# Readings of batches this far beyond those known are no sign of a straggler.
_KNOWN_BATCH: typing.Final = 1.15


class ReplicaInfo(typing.NamedTuple):
    """One replica that is ready and not terminating."""

    name: str
    address: str
    availability_zone: str
    kind: typing.Literal['engine', 'plain']


class Replica:
    """One replica's load by the allocator's own grants, and its speed."""

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
        self.closed_until_s = float('-inf')
        self._tried = False
        self.list_as(info)

    def list_as(self, info: ReplicaInfo | None) -> None:
        """Take the replica's entry in the list, None where it is gone."""
        self.info = info
        self.load.changed = True
        if info is not None and info.kind == 'plain' and not self.plain:
            self.plain = True
            self.limit = concurrencylimits.Limit(start=PLAIN_LIMIT)

    def count_slots(self, *, share: float, now_s: float) -> int:
        """Return how many more requests may be granted here."""
        if not self.is_available(now_s):
            return 0
        most = self.count_most(share=share, now_s=now_s)
        return max(0, most - self.load.held)

    def is_available(self, now_s: float) -> bool:
        """Return whether the replica is listed and has not just failed."""
        return self.info is not None and now_s >= self.closed_until_s

    def count_most(self, *, share: float, now_s: float) -> int:
        """Return how many requests may be held here in all."""
        most = math.ceil(self.limit.max_concurrency * share)
        return stragglers.scale_limit(self.straggler_status, most, now_s=now_s)

    @property
    def steady(self) -> bool:
        """Return whether its slots depend on the load alone."""
        normal = self.straggler_status.state is stragglers.State.NORMAL
        return normal and not self.failures

    def note_load(self, reported_load: int) -> None:
        """Take the replica's own, lagging report of its load."""
        self.reported_load = reported_load
        self.load.changed = True

    def slow_factor(self) -> float:
        """Return by how much the replica is slower than usual now.

        It is under 1 for one that has become much faster.
        """
        ratio = self.slowdown.ratio() or 1
        if self.straggler_status.state is not stragglers.State.NORMAL:
            return max(1, ratio)
        return ratio if ratio < _MUCH_FASTER else 1

    def note_granted(self, *, now_s: float) -> None:
        """Let one request try a replica that failed, and no more for now."""
        if self.failures:
            self._tried = True
            self._close(now_s)

    def note_reading(self, reading: messages.Reading, *, now_s: float) -> None:
        """Learn from what an instance measured."""
        self.load.changed = True
        if reading.failures:
            self._note_failure(now_s)
        if reading.first_tokens:
            self._note_accepted()
            self._note_first_tokens(reading, now_s)
        if reading.token_gaps:
            self.last_reading_s = now_s
            self._note_gaps(reading, now_s)

    def is_stale(self, now_s: float) -> bool:
        """Return whether it is idle and its speed was not read of late."""
        return not self.load.held and now_s - self.last_reading_s > _STALE_S

    def update_straggler_status(
        self, *, median_ratio: float, now_s: float
    ) -> None:
        """Update the standing, given by how much all replicas are slow."""
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
        usual_s = self.speed.estimate_gap_s(batch)
        if self._is_comparable(batch):
            self.slowdown.note_gaps(
                gaps=reading.token_gaps,
                total_gap_s=reading.token_gap_s,
                expected_gap_s=usual_s,
                now_s=now_s,
            )
        normal = self.straggler_status.state is stragglers.State.NORMAL
        self.speed.note_gaps(
            batch=batch,
            gaps=reading.token_gaps,
            mean_gap_s=gap_s,
            weight=1 if normal else _SLOW_WEIGHT,
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
        known = self.speed.max_batch * _KNOWN_BATCH + 1
        return self.speed.known and batch <= known

    def _note_first_tokens(
        self, reading: messages.Reading, now_s: float
    ) -> None:
        if self.plain:
            # A plain answer counts as one gap: its time is all there is.
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
        """Close for longer; what was sent before the closing adds nothing."""
        if now_s < self.closed_until_s and not self._tried:
            return
        self._tried = False
        self.failures = min(self.failures + 1, _MOST_DOUBLINGS)
        self._close(now_s)

    def _note_accepted(self) -> None:
        """Open; answers from before the closing are no sign."""
        if self._tried:
            self._tried = False
            self.failures = 0
            self.closed_until_s = float('-inf')

    def _close(self, now_s: float) -> None:
        backoff_s = _FIRST_BACKOFF_S * 2 ** (self.failures - 1)
        self.closed_until_s = now_s + min(backoff_s, _MOST_BACKOFF_S)


class Load:
    """The requests that hold grants for one replica; sums in tokens."""

    def __init__(self) -> None:
        """Start without any."""
        self.changed = True
        self.held = 0
        self.cancellable: dict[int, int] = {}
        self.prefill_left = 0
        self.output_left = 0
        self._mean = float(0)
        self._read_s: float | None = None

    def add(
        self, *, tier: int, prefill: int, output: int, now_s: float
    ) -> None:
        """Count one more request with so much left to do.

        ``tier`` is that of a request that may be cancelled, else 0.
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
        """Count one request less that had so much left to do."""
        self.mean_batch(now_s)
        self.changed = True
        self.held -= 1
        self.cancellable[tier] -= 1
        self.prefill_left -= prefill
        self.output_left -= output

    def change(self, *, prefill: int, output: int) -> None:
        """Add to what is left to do by the requests that are here."""
        self.changed = True
        self.prefill_left += prefill
        self.output_left += output

    def count_lower(self, tier: int) -> int:
        """Return how many requests of lower tiers may be cancelled."""
        return sum(
            count for number, count in self.cancellable.items() if number > tier
        )

    def mean_batch(self, now_s: float) -> float:
        """Return the number held of late, averaged over half a second."""
        if self._read_s is None:
            self._mean = float(self.held)
        else:
            elapsed_s = max(now_s - self._read_s, 0)
            step = 1 - math.exp(-elapsed_s / _BATCH_WINDOW_S)
            self._mean += step * (self.held - self._mean)
        self._read_s = now_s
        return max(self._mean, 1)
