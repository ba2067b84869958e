"""Readings of token progress for each replica of one pool."""

import typing

from lavenderledge.peers import messages

# An open gap longer than this is counted before its token arrives.
_OPEN_GAP_S: typing.Final = 0.25
# Window in which a replica's mean token gap is compared with its average.
_WINDOW_S: typing.Final = 0.25
_MIN_GAPS: typing.Final = 3
_SLOW_RATIO: typing.Final = 2.0
_SMOOTHING: typing.Final = 0.1
# Maximum number of consecutive slow windows that trigger an early report.
_MAX_SLOW_WINDOWS: typing.Final = 3


class RequestProgress:
    """Token progress of one started request, on its instance's clock."""

    __slots__ = ('done', 'replica', 'last_token_s', 'started_s')

    def __init__(self, *, replica: str, started_s: float) -> None:
        """Start with no token."""
        self.replica = replica
        self.started_s = started_s
        self.last_token_s = started_s
        self.done = 0


class _Sums:
    """The sums of one unreported reading."""

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


class _GapWindow:
    """One replica's token gaps in this window, and their moving average."""

    __slots__ = ('slow_windows', 'gap_s', 'gaps', 'average_s')

    def __init__(self) -> None:
        """Start from nothing."""
        self.gaps = 0
        self.gap_s = float(0)
        self.average_s: float | None = None
        self.slow_windows = 0

    def close(self) -> bool:
        """Start a new window; return whether this one calls for a report."""
        if self.gaps < _MIN_GAPS:
            return False
        mean_s = self.gap_s / self.gaps
        self.gaps = 0
        self.gap_s = 0
        if self.average_s is None:
            self.average_s = mean_s
        if mean_s > self.average_s * _SLOW_RATIO:
            self.slow_windows += 1
        else:
            self.slow_windows = 0
        self.average_s += _SMOOTHING * (mean_s - self.average_s)
        return 0 < self.slow_windows <= _MAX_SLOW_WINDOWS


class Readings:
    """Sums readings until they are drained into the next report."""

    def __init__(self) -> None:
        """Start with no readings."""
        self._sums: dict[str, _Sums] = {}
        self._windows: dict[str, _GapWindow] = {}
        self._window_closed_s = float('-inf')

    def note_tokens(
        self,
        progress: RequestProgress,
        *,
        done: int,
        prompt_tokens: int,
        now_s: float,
    ) -> None:
        """Count the tokens that a request has gained since the last call."""
        gained = done - progress.done
        if gained <= 0:
            return
        sums = self._find_sums(progress.replica)
        if progress.done == 0:
            sums.first_tokens += 1
            sums.first_token_s += now_s - progress.started_s
            sums.prefill_tokens += prompt_tokens
        else:
            self._add_gaps(progress, gained, now_s)
        progress.done = done
        progress.last_token_s = now_s

    def note_open_gap(self, progress: RequestProgress, *, now_s: float) -> None:
        """Count a request's open gap if it is long."""
        if progress.done and now_s - progress.last_token_s > _OPEN_GAP_S:
            self._add_gaps(progress, 1, now_s)
            progress.last_token_s = now_s

    def detect_slowdown(self, now_s: float) -> bool:
        """Return whether any replica has just become much slower."""
        if now_s - self._window_closed_s < _WINDOW_S:
            return False
        self._window_closed_s = now_s
        slowed = [window.close() for window in self._windows.values()]
        return any(slowed)

    def note_cached(self, replica: str, cached_tokens: int) -> None:
        """Count prompt tokens that a replica reported as cached."""
        self._find_sums(replica).cached_tokens += cached_tokens

    def note_failure(self, replica: str) -> None:
        """Count a failed connection or a refusal by the replica."""
        self._find_sums(replica).failures += 1

    def drain(self) -> tuple[messages.Reading, ...]:
        """Return the readings since the last call, and reset them."""
        readings = tuple(
            _build_reading(replica, sums)
            for replica, sums in self._sums.items()
        )
        self._sums.clear()
        return readings

    def _add_gaps(
        self, progress: RequestProgress, gaps: int, now_s: float
    ) -> None:
        gap_s = now_s - progress.last_token_s
        sums = self._find_sums(progress.replica)
        sums.token_gaps += gaps
        sums.token_gap_s += gap_s
        window = self._windows.get(progress.replica)
        if window is None:
            window = _GapWindow()
            self._windows[progress.replica] = window
        window.gaps += gaps
        window.gap_s += gap_s

    def _find_sums(self, replica: str) -> _Sums:
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
