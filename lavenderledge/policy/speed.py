"""Estimated speed of one replica."""

import typing

DEFAULT_GAP_S: typing.Final = 0.03
DEFAULT_PREFILL_RATE: typing.Final = 5000.0

# Ratio of the sums that is kept at each new reading.
_DECAY: typing.Final = 0.98
# Maximum weight of a reading, in gaps.
_MAX_GAPS: typing.Final = 64
# Slope per request assumed while all readings are of similar batches, as a
# ratio of the gap without any other request.
_PRIOR_SLOPE: typing.Final = 0.02
# Weight of that assumption, as a variance of the batch in requests squared.
_PRIOR_WEIGHT: typing.Final = 1.0
# Minimum ratio of the mean gap that the fit leaves for an empty batch.
_MIN_BASE_RATIO: typing.Final = 0.1
_PREFILL_DECAY: typing.Final = 0.95
# Tokens assumed to be prefilled at the default rate, before any reading.
_PRIOR_TOKENS: typing.Final = 1000.0


class Speed:
    """Fits the token gap, in seconds, as a linear function of the batch.

    Sums decay, so that the fit follows lasting changes. The prefill rate is
    in tokens per second.
    """

    def __init__(self, *, gap_s: float = DEFAULT_GAP_S) -> None:
        """Assume a token gap until there are readings."""
        self.prefill_rate = DEFAULT_PREFILL_RATE
        self._prefill_tokens = _PRIOR_TOKENS
        self._prefill_s = _PRIOR_TOKENS / DEFAULT_PREFILL_RATE
        self.has_readings = False
        self.max_batch = float(0)
        self._weight = float(0)
        self._weighted_batch = float(0)
        self._weighted_batch_square = float(0)
        self._weighted_gap = float(0)
        self._weighted_product = float(0)
        self._base_s = gap_s
        self._slope_s = gap_s * _PRIOR_SLOPE

    def note_gaps(
        self, *, batch: float, gaps: int, mean_gap_s: float, weight: float = 1
    ) -> None:
        """Add the mean of ``gaps`` token gaps at a batch size."""
        if gaps <= 0:
            return
        counted = min(gaps, _MAX_GAPS) * weight
        decay = 1 - (1 - _DECAY) * min(weight, 1)
        self._weight = self._weight * decay + counted
        self._weighted_batch = self._weighted_batch * decay + counted * batch
        self._weighted_batch_square = (
            self._weighted_batch_square * decay + counted * batch**2
        )
        self._weighted_gap = self._weighted_gap * decay + counted * mean_gap_s
        self._weighted_product = (
            self._weighted_product * decay + counted * batch * mean_gap_s
        )
        self.has_readings = True
        self.max_batch = max(self.max_batch * decay, batch)
        self._fit()

    def note_first_tokens(
        self, *, prefilled_tokens: int, first_token_s: float
    ) -> None:
        """Update the prefill rate of uncached prompt tokens.

        It is the rate that a request sees, with steps of other requests in
        between. Readings of cached tokens arrive later than those of first
        tokens, so both are summed over many readings.
        """
        decay = _PREFILL_DECAY
        tokens = self._prefill_tokens * decay + prefilled_tokens
        self._prefill_tokens = max(tokens, 1)
        self._prefill_s = self._prefill_s * decay + first_token_s
        self.prefill_rate = self._prefill_tokens / self._prefill_s

    def estimate_gap_s(self, batch: float) -> float:
        """Return the expected token gap at a batch size, in seconds."""
        return self._base_s + self._slope_s * max(batch, 1)

    def _fit(self) -> None:
        mean_batch = self._weighted_batch / self._weight
        mean_gap = self._weighted_gap / self._weight
        variance = max(
            self._weighted_batch_square / self._weight - mean_batch**2, 0
        )
        covariance = (
            self._weighted_product / self._weight - mean_batch * mean_gap
        )
        prior = mean_gap * _PRIOR_SLOPE / (1 + mean_batch * _PRIOR_SLOPE)
        slope = (covariance + _PRIOR_WEIGHT * prior) / (
            variance + _PRIOR_WEIGHT
        )
        max_slope = mean_gap * (1 - _MIN_BASE_RATIO) / max(mean_batch, 1)
        self._slope_s = min(max(slope, 0), max_slope)
        self._base_s = mean_gap - self._slope_s * mean_batch
