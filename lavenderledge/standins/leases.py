"""The leases of the key-value stand-in."""

import math
import typing

from lavenderledge import clock as clocks

_INITIAL_NUMBER = 7587800000000001


class Lease(typing.NamedTuple):
    """One lease with its granted TTL and its expiry time."""

    number: int
    ttl_s: int
    expires_s: float


class Leases:
    """The leases that have not ended, by number."""

    def __init__(self, *, clock: clocks.Clock) -> None:
        """Create an empty set of leases."""
        self._clock = clock
        self._leases: dict[int, Lease] = {}
        self._next_number = _INITIAL_NUMBER

    def grant(self, number: int, ttl_s: int) -> Lease | None:
        """Create a lease of at least 1 s; ``None`` if the number is taken."""
        if not number:
            number = self._next_number
            self._next_number += 1
        if number in self._leases:
            return None
        ttl_s = max(ttl_s, 1)
        expires_s = self._clock.read_monotonic() + ttl_s
        self._leases[number] = Lease(number, ttl_s, expires_s)
        return self._leases[number]

    def find(self, number: int) -> Lease | None:
        """Return a lease, or ``None`` if it has ended."""
        return self._leases.get(number)

    def renew(self, number: int) -> int:
        """Renew a lease; return its TTL in seconds, or 0 if it has ended."""
        lease = self._leases.get(number)
        if lease is None:
            return 0
        expires_s = self._clock.read_monotonic() + lease.ttl_s
        self._leases[number] = lease._replace(expires_s=expires_s)
        return lease.ttl_s

    def read_remaining_s(self, number: int) -> int:
        """Return the remaining time of a lease in seconds, rounded up."""
        remaining_s = (
            self._leases[number].expires_s - self._clock.read_monotonic()
        )
        return max(math.ceil(remaining_s), 0)

    def remove(self, number: int) -> None:
        """Remove a lease; an unknown number is ignored."""
        self._leases.pop(number, None)

    def list_expired(self) -> list[int]:
        """Return the numbers of the expired leases."""
        now = self._clock.read_monotonic()
        return [
            lease.number
            for lease in self._leases.values()
            if lease.expires_s <= now
        ]
