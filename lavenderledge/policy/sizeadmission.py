"""Which requests of one rank are accepted first when not all fit.

Load pattern: a rank asks for more than the slots that are left to it, and a few
long requests take most of the slot time. For the slot time of one long request
several short ones are answered, so short ones are accepted at a longer queue.
The largest requests keep a share: they are accepted at least half as often as
all of the rank.
"""

import typing

# The fraction of the time left that a request of mean size may be expected to
# wait, and its bounds for other sizes.
_MEAN_RATIO: typing.Final = 0.5
_MIN_RATIO: typing.Final = 0.01
_MAX_RATIO: typing.Final = 0.9
_SIZE_EXPONENT: typing.Final = 2.0
# The part of the requests that counts as large, and how often these are
# accepted at least, relative to all: callers are owed that the largest tenth
# and the fifth below it are served at least half as often as all.
_LARGE_PART: typing.Final = 0.3
_MIN_ACCEPTED_RATIO: typing.Final = 0.5
# Weight of the newest request in the averages.
_WEIGHT: typing.Final = 0.02
# Step of the estimated quantile, relative to the mean.
_QUANTILE_STEP: typing.Final = 0.05


class SizeAdmission:
    """One rank's sizes and how often requests are accepted, by size."""

    def __init__(self) -> None:
        """Start without requests."""
        self._mean_s = float(0)
        self._large_s = float(0)
        self._accepted_ratio = 1.0
        self._large_accepted_ratio = 1.0

    def is_large(self, work_s: float) -> bool:
        """Return whether a request is one of the largest of its rank."""
        return work_s > self._large_s

    def find_wait_ratio(self, work_s: float) -> float:
        """Return which part of its time a new request may wait at most."""
        if not self._mean_s or not work_s:
            return _MEAN_RATIO
        min_accepted = self._accepted_ratio * _MIN_ACCEPTED_RATIO
        if self.is_large(work_s) and self._large_accepted_ratio < min_accepted:
            return _MAX_RATIO
        relative_size = work_s / self._mean_s
        ratio = _MEAN_RATIO / relative_size**_SIZE_EXPONENT
        return min(max(ratio, _MIN_RATIO), _MAX_RATIO)

    def note(self, work_s: float, *, is_accepted: bool) -> None:
        """Record a new request and whether it was accepted as timely."""
        if not self._mean_s:
            self._mean_s = work_s
            self._large_s = work_s
        accepted = float(is_accepted)
        self._accepted_ratio += _WEIGHT * (accepted - self._accepted_ratio)
        if self.is_large(work_s):
            self._large_accepted_ratio += (
                _WEIGHT / _LARGE_PART * (accepted - self._large_accepted_ratio)
            )
        step_s = _QUANTILE_STEP * self._mean_s
        if work_s > self._large_s:
            self._large_s += step_s * (1 - _LARGE_PART)
        else:
            self._large_s -= step_s * _LARGE_PART
        self._mean_s += _WEIGHT * (work_s - self._mean_s)
