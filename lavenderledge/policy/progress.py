"""Readings of token progress, gathered for each replica of one pool."""

import typing

from lavenderledge.peers import messages

# An unfinished gap this long is counted before its token arrives.
_OPEN_GAP_S: typing.Final = 0.25
# How often a replica's pace is compared with its usual one.
_SLICE_S: typing.Final = 0.25
_LEAST_GAPS: typing.Final = 3
_SLOW_RATIO: typing.Final = 2.0
_LEARN: typing.Final = 0.1
# The most slices in a row that call for an early report.
_MOST_ALARMS: typing.Final = 3


class RequestProgress:
    """How far one started request has come, by its instance's clock."""

    __slots__ = ('done', 'replica', 'seen_s', 'started_s')

    def __init__(self, *, replica: str, started_s: float) -> None:
        """Start with no token."""
        self.replica = replica
        self.started_s = started_s
        self.seen_s = started_s
        self.done = 0


class _Sums:
    """The sums of one reading that is not yet reported."""

    __slots__ = (
        'cached_tokens',
        'failures',
        'first_token_s',
        'first_tokens',
        'prefill_tokens',
        'token_gap_s',
        'token_gaps',
    )

    def __init__(self) -> None:
        """Start from nothing."""
        self.token_gaps = 0
        self.token_gap_s = float(0)
        self.first_tokens = 0
        self.first_token_s = float(0)
        self.prefill_tokens = 0
        self.cached_tokens = 0
        self.failures = 0


class _Slice:
    """One replica's gaps in the present slice, and its usual gap."""

    __slots__ = ('alarms', 'gap_s', 'gaps', 'usual_s')

    def __init__(self) -> None:
        """Start from nothing."""
        self.gaps = 0
        self.gap_s = float(0)
        self.usual_s: float | None = None
        self.alarms = 0

    def close(self) -> bool:
        """Return whether the slice is alarmingly slow, and begin another."""
        if self.gaps < _LEAST_GAPS:
            return False
        mean_s = self.gap_s / self.gaps
        self.gaps = 0
        self.gap_s = 0
        if self.usual_s is None:
            self.usual_s = mean_s
        if mean_s > self.usual_s * _SLOW_RATIO:
            self.alarms += 1
        else:
            self.alarms = 0
        self.usual_s += _LEARN * (mean_s - self.usual_s)
        return 0 < self.alarms <= _MOST_ALARMS


class Readings:
    """Sums readings until the next report takes them."""

    def __init__(self) -> None:
        """Start with no readings."""
        self._sums: dict[str, _Sums] = {}
        self._slices: dict[str, _Slice] = {}
        self._closed_s = float('-inf')

    def note_tokens(
        self,
        progress: RequestProgress,
        *,
        done: int,
        prompt_tokens: int,
        now_s: float,
    ) -> None:
        """Count the tokens that a request has gained since its mark."""
        gained = done - progress.done
        if gained <= 0:
            return
        sums = self._find(progress.replica)
        if progress.done == 0:
            sums.first_tokens += 1
            sums.first_token_s += now_s - progress.started_s
            sums.prefill_tokens += prompt_tokens
        else:
            self._add_gaps(progress, gained, now_s)
        progress.done = done
        progress.seen_s = now_s

    def note_open_gap(self, progress: RequestProgress, *, now_s: float) -> None:
        """Count the long gap in which a request stands, if it does."""
        if progress.done and now_s - progress.seen_s > _OPEN_GAP_S:
            self._add_gaps(progress, 1, now_s)
            progress.seen_s = now_s

    def detect_slowdown(self, now_s: float) -> bool:
        """Return whether a replica has just become much slower."""
        if now_s - self._closed_s < _SLICE_S:
            return False
        self._closed_s = now_s
        alarms = [each.close() for each in self._slices.values()]
        return any(alarms)

    def note_cached(self, replica: str, cached_tokens: int) -> None:
        """Count prompt tokens that a replica said it had cached."""
        self._find(replica).cached_tokens += cached_tokens

    def note_failure(self, replica: str) -> None:
        """Count a failed connect or a refusal by the replica itself."""
        self._find(replica).failures += 1

    def take(self) -> tuple[messages.Reading, ...]:
        """Return the readings since the last call, and start anew."""
        readings = tuple(
            _build_reading(replica, sums)
            for replica, sums in self._sums.items()
        )
        self._sums.clear()
        return readings

    def _add_gaps(
        self, progress: RequestProgress, gaps: int, now_s: float
    ) -> None:
        gap_s = now_s - progress.seen_s
        sums = self._find(progress.replica)
        sums.token_gaps += gaps
        sums.token_gap_s += gap_s
        present = self._slices.get(progress.replica)
        if present is None:
            present = _Slice()
            self._slices[progress.replica] = present
        present.gaps += gaps
        present.gap_s += gap_s

    def _find(self, replica: str) -> _Sums:
        sums = self._sums.get(replica)
        if sums is None:
            sums = _Sums()
            self._sums[replica] = sums
        return sums


def _build_reading(replica: str, sums: _Sums) -> messages.Reading:
    return messages.Reading(
        replica=replica,
        token_gaps=sums.token_gaps,
        token_gap_s=sums.token_gap_s,
        first_tokens=sums.first_tokens,
        first_token_s=sums.first_token_s,
        prefill_tokens=sums.prefill_tokens,
        cached_tokens=sums.cached_tokens,
        failures=sums.failures,
    )
