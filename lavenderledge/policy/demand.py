"""How much work arrives for a service and is granted, by rank and customer.

Load patterns: ranks that together ask for more than all slots, for seconds; and
slots that are full, or that only late requests can use, although the estimated
work of the requests would fit.
"""

import math
import typing
from collections import abc

# Time over which arrivals are averaged, seconds: longer than the bursts of one
# caller, shorter than a load peak.
_AVERAGING_S: typing.Final = 0.5
# A rank exceeds the slots that are left to it above this ratio: both are
# estimates.
_EXCESS_RATIO: typing.Final = 1.2
# How much longer a demand that exceeds the slots is expected to go on,
# relative to how long it has so far.
_PERSISTENCE: typing.Final = 8.0
# A rank in which requests wait for this long without a break, in seconds, gets
# no more than it is granted.
_SATURATION_S: typing.Final = 0.3
# Customers without arrivals are dropped below this rate.
_MIN_RATE: typing.Final = 0.001


class _DecayingRate:
    """An exponentially weighted rate."""

    def __init__(self, now_s: float) -> None:
        self._rate = float(0)
        self._updated_s = now_s

    def add(self, amount: float, now_s: float) -> None:
        self._rate = self.read(now_s) + amount / _AVERAGING_S
        self._updated_s = now_s

    def read(self, now_s: float) -> float:
        elapsed_s = max(0, now_s - self._updated_s)
        return self._rate * math.exp(-elapsed_s / _AVERAGING_S)


class Demand:
    """The rates at which work arrives, in slots that would be kept busy."""

    def __init__(self) -> None:
        """Start without arrivals."""
        self._customers: dict[int, dict[str, _DecayingRate]] = {}
        self._arrived: dict[int, _DecayingRate] = {}
        self._granted: dict[int, _DecayingRate] = {}
        self._waiting_since_s: dict[int, float] = {}
        self._exceeded_since_s: dict[int, float] = {}
        self._left: dict[int, float] = {}

    def note_arrived(
        self, tier: int, customer: str, work_s: float, now_s: float
    ) -> None:
        """Add a request that arrived, whether it is accepted or not."""
        _add(self._arrived, tier, work_s, now_s)
        customers = self._customers.setdefault(tier, {})
        customers.setdefault(customer, _DecayingRate(now_s)).add(work_s, now_s)

    def note_granted(self, tier: int, work_s: float, now_s: float) -> None:
        """Add a request that got a slot."""
        _add(self._granted, tier, work_s, now_s)

    def compare(
        self, slots: float, waiting: abc.Collection[int], now_s: float
    ) -> None:
        """Compare each rank's demand with the slots that are left to it.

        ``waiting`` are the ranks with timely requests that wait.
        """
        left = slots
        for tier in sorted(self._arrived):
            rate = self._arrived[tier].read(now_s)
            self._left[tier] = left
            if self._is_saturated(tier, now_s, is_waiting=tier in waiting):
                self._left[tier] = min(left, self._sum_granted(tier, now_s))
            if rate > max(self._left[tier] * _EXCESS_RATIO, _MIN_RATE):
                self._exceeded_since_s.setdefault(tier, now_s)
            else:
                self._exceeded_since_s.pop(tier, None)
            left = max(left - rate, 0)

    def read_left(self, tier: int, slots: float) -> float:
        """Return how many of the slots higher ranks leave to a rank."""
        return self._left.get(tier, slots)

    def is_exceeding(self, max_tier: float) -> bool:
        """Return whether the ranks up to ``max_tier`` exceed the slots."""
        return any(tier <= max_tier for tier in self._exceeded_since_s)

    def predict_excess_s(self, max_tier: float, now_s: float) -> float:
        """Return how much longer these ranks are expected to do so."""
        return max(
            (
                (now_s - since_s) * _PERSISTENCE
                for tier, since_s in self._exceeded_since_s.items()
                if tier <= max_tier
            ),
            default=0,
        )

    def list_rates(self, tier: int, now_s: float) -> abc.Mapping[str, float]:
        """Return the rate of each customer in a rank."""
        customers = self._customers.get(tier, {})
        rates = {
            customer: rate.read(now_s) for customer, rate in customers.items()
        }
        for customer, rate_per_s in rates.items():
            if rate_per_s < _MIN_RATE:
                customers.pop(customer)
        return rates

    def _is_saturated(
        self, tier: int, now_s: float, *, is_waiting: bool
    ) -> bool:
        if not is_waiting:
            self._waiting_since_s.pop(tier, None)
            return False
        since_s = self._waiting_since_s.setdefault(tier, now_s)
        return now_s - since_s >= _SATURATION_S

    def _sum_granted(self, min_tier: int, now_s: float) -> float:
        return sum(
            rate.read(now_s)
            for tier, rate in self._granted.items()
            if tier >= min_tier
        )


def _add(
    rates: dict[int, _DecayingRate], tier: int, work_s: float, now_s: float
) -> None:
    rates.setdefault(tier, _DecayingRate(now_s)).add(work_s, now_s)
