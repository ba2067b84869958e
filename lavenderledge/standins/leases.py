"""The leases of the key-value stand-in."""

import math
import typing

from lavenderledge import clock as clocks

_FIRST_NUMBER = 7587800000000001


class Lease(typing.NamedTuple):
    """One lease: its granted seconds and when it ends."""

    number: int
    ttl_s: int
    expires_s: float


class Leases:
    """Every lease that has not ended, by number."""

    def __init__(self, *, clock: clocks.Clock) -> None:
        """Start without leases."""
        self._clock = clock
        self._leases: dict[int, Lease] = {}
        self._next = _FIRST_NUMBER

    def grant(self, number: int, ttl_s: int) -> Lease | None:
        """Create a lease of at least a second, or return nothing if taken."""
        if not number:
            number = self._next
            self._next += 1
        if number in self._leases:
            return None
        ttl_s = max(ttl_s, 1)
        expires_s = self._clock.read_monotonic() + ttl_s
        self._leases[number] = Lease(number, ttl_s, expires_s)
        return self._leases[number]

    def find(self, number: int) -> Lease | None:
        """Return a lease, or nothing where it has ended."""
        return self._leases.get(number)

    def renew(self, number: int) -> int:
        """Restart a lease and return its seconds, 0 where it has ended."""
        found = self._leases.get(number)
        if found is None:
            return 0
        expires_s = self._clock.read_monotonic() + found.ttl_s
        self._leases[number] = found._replace(expires_s=expires_s)
        return found.ttl_s

    def read_remaining_s(self, number: int) -> int:
        """Return the whole seconds that an existing lease has left."""
        left_s = self._leases[number].expires_s - self._clock.read_monotonic()
        return max(math.ceil(left_s), 0)

    def remove(self, number: int) -> None:
        """Forget a lease."""
        self._leases.pop(number, None)

    def list_expired(self) -> list[int]:
        """Return the numbers of the leases whose time is over."""
        now = self._clock.read_monotonic()
        return [
            lease.number
            for lease in self._leases.values()
            if lease.expires_s <= now
        ]
