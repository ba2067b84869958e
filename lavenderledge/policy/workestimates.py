"""How long a request holds a slot, from the sizes that it declares.

Outputs are far more uneven than prompts: their mean is a multiple of the
median. A caller's estimate of its output tells a short request from a long one
before it runs.
"""

import typing

# Factor by which the sums decay with each reading: they cover about 100.
_DECAY: typing.Final = 0.99
# Readings before the estimate is used.
_MIN_READINGS: typing.Final = 8
# Bounds of an estimate relative to the mean: callers' estimates are often off.
_MIN_RATIO: typing.Final = 0.2
_MAX_RATIO: typing.Final = 8.0


class WorkEstimator:
    """Learns the seconds of a slot per expected output token."""

    def __init__(self) -> None:
        """Start without readings."""
        self._readings = float(0)
        self._tokens = float(0)
        self._seconds = float(0)

    def note(self, output_tokens: int, run_s: float) -> None:
        """Add an answer's time after its first byte, in seconds.

        ``output_tokens`` is what was expected of it, 0 if nothing was.
        """
        if output_tokens <= 0:
            return
        self._readings = self._readings * _DECAY + 1
        self._tokens = self._tokens * _DECAY + output_tokens
        self._seconds = self._seconds * _DECAY + max(0, run_s)

    def estimate(
        self, output_tokens: int, *, first_s: float, mean_s: float
    ) -> float:
        """Return for how many seconds a request holds a slot.

        ``first_s`` is its expected time to first byte. Without an expected
        output, or without readings, it is ``mean_s``.
        """
        if output_tokens <= 0 or self._readings < _MIN_READINGS or not mean_s:
            return mean_s
        work_s = first_s + output_tokens * self._seconds / self._tokens
        return min(max(work_s, mean_s * _MIN_RATIO), mean_s * _MAX_RATIO)
