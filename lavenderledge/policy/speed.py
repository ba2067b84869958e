"""The learned speed of one replica."""

import typing

DEFAULT_GAP_S: typing.Final = 0.03
DEFAULT_PREFILL_RATE: typing.Final = 5000.0

# How much of the sums is kept at each new reading.
_FADE: typing.Final = 0.98
# Readings of more gaps than this weigh no more.
_MOST_GAPS: typing.Final = 64
# The slope assumed while all readings are of like batches, per request, as
# a part of the gap without any other request.
_PRIOR_SLOPE: typing.Final = 0.02
# The weight of that assumption, in squared requests of the batch's variance.
_PRIOR_WEIGHT: typing.Final = 1.0
# The part of the mean gap that the fit leaves at least for no batch.
_LEAST_BASE: typing.Final = 0.1
_PREFILL_FADE: typing.Final = 0.95
# The prefill that is assumed at the default rate until there are readings.
_PRIOR_TOKENS: typing.Final = 1000.0


class Speed:
    """Fits the token gap, in seconds, as a line over the batch.

    Sums fade, so that the fit follows lasting changes. The prefill rate is
    in tokens per second.
    """

    def __init__(self, *, gap_s: float = DEFAULT_GAP_S) -> None:
        """Assume a gap until there are readings."""
        self.prefill_rate = DEFAULT_PREFILL_RATE
        self._prefill_tokens = _PRIOR_TOKENS
        self._prefill_s = _PRIOR_TOKENS / DEFAULT_PREFILL_RATE
        self.known = False
        self.max_batch = float(0)
        self._weight = float(0)
        self._batch = float(0)
        self._batch_square = float(0)
        self._gap = float(0)
        self._product = float(0)
        self._base_s = gap_s
        self._slope_s = gap_s * _PRIOR_SLOPE

    def note_gaps(
        self, *, batch: float, gaps: int, mean_gap_s: float, weight: float = 1
    ) -> None:
        """Learn from the mean gap of so many gaps at a batch."""
        if gaps <= 0:
            return
        counted = min(gaps, _MOST_GAPS) * weight
        fade = 1 - (1 - _FADE) * min(weight, 1)
        self._weight = self._weight * fade + counted
        self._batch = self._batch * fade + counted * batch
        self._batch_square = self._batch_square * fade + counted * batch**2
        self._gap = self._gap * fade + counted * mean_gap_s
        self._product = self._product * fade + counted * batch * mean_gap_s
        self.known = True
        self.max_batch = max(self.max_batch * fade, batch)
        self._fit()

    def note_first_tokens(
        self, *, prefilled_tokens: int, first_token_s: float
    ) -> None:
        """Learn the rate at which prompts not cached get to a first token.

        It is what a request meets, with the steps of others in between.
        Readings of what was cached come later than those of first tokens, so
        both are summed over many.
        """
        fade = _PREFILL_FADE
        tokens = self._prefill_tokens * fade + prefilled_tokens
        self._prefill_tokens = max(tokens, 1)
        self._prefill_s = self._prefill_s * fade + first_token_s
        self.prefill_rate = self._prefill_tokens / self._prefill_s

    def estimate_gap_s(self, batch: float) -> float:
        """Return the usual gap between tokens at a batch, in seconds."""
        return self._base_s + self._slope_s * max(batch, 1)

    def _fit(self) -> None:
        mean_batch = self._batch / self._weight
        mean_gap = self._gap / self._weight
        variance = max(self._batch_square / self._weight - mean_batch**2, 0)
        covariance = self._product / self._weight - mean_batch * mean_gap
        prior = mean_gap * _PRIOR_SLOPE / (1 + mean_batch * _PRIOR_SLOPE)
        slope = (covariance + _PRIOR_WEIGHT * prior) / (
            variance + _PRIOR_WEIGHT
        )
        most = mean_gap * (1 - _LEAST_BASE) / max(mean_batch, 1)
        self._slope_s = min(max(slope, 0), most)
        self._base_s = mean_gap - self._slope_s * mean_batch
