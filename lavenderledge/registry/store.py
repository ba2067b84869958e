"""Interface of a key-value service with leases and watches."""

import enum
import typing
from collections import abc

import expression


@enum.unique
class Fault(enum.StrEnum):
    """Why a call to the service failed."""

    UNREACHABLE = 'unreachable'
    REFUSED = 'refused'
    COMPACTED = 'compacted'
    CONFLICT = 'conflict'
    NO_LEASE = 'no_lease'
    MALFORMED = 'malformed'
    RESTORED = 'restored'


class StoreFailure(typing.NamedTuple):
    """A failed call; with REFUSED and CONFLICT nothing took effect.

    RESTORED means that the service came back from an older copy meanwhile.
    """

    fault: Fault
    detail: str


class Change(typing.NamedTuple):
    """The state of a key; ``content`` is None if it was deleted.

    ``lease`` is the number of the lease that the key is deleted with, 0 without
    one, None if the service does not tell.
    """

    key: str
    content: bytes | None
    revision: int
    lease: int | None = None


class Listing(typing.NamedTuple):
    """The keys of a prefix, or their changes, up to a revision.

    ``era`` rises when the service comes back from an older copy of its
    content. Revisions and leases are comparable within one era only.
    """

    changes: tuple[Change, ...]
    revision: int
    era: int = 0


class Write(typing.NamedTuple):
    """A key's new content."""

    key: str
    content: bytes


class Lease(typing.NamedTuple):
    """A lease. In another ``era`` its number may be another holder's."""

    number: int
    era: int


ListResult: typing.TypeAlias = expression.Result[Listing, StoreFailure]


class Store(typing.Protocol):
    """A service that loses acknowledged writes only where its era rises."""

    async def list_keys(
        self, prefix: str, *, may_be_old: bool = False
    ) -> ListResult:
        """Return the keys of a prefix.

        With ``may_be_old``, a cheap answer that is up to seconds old will do.
        """

    async def watch(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> ListResult:
        """Return the changes after a revision; none if the wait times out."""

    async def create(
        self, key: str, content: bytes
    ) -> expression.Result[None, StoreFailure]:
        """Write a key; CONFLICT if it exists."""

    async def replace(
        self, writes: abc.Sequence[Write], *, key: str, revision: int
    ) -> expression.Result[int, StoreFailure]:
        """Write keys together; CONFLICT if ``key`` has another revision.

        Revision 0 means that the key does not exist. Returns the new revision.
        """

    async def put(
        self, key: str, content: bytes, *, lease: Lease
    ) -> expression.Result[None, StoreFailure]:
        """Write a key that is deleted with its lease.

        RESTORED if the lease is of another era; the key was written then.
        """

    async def open_lease(
        self, ttl_s: float
    ) -> expression.Result[Lease, StoreFailure]:
        """Grant a lease and return it."""

    async def keep_lease(
        self, lease: Lease
    ) -> expression.Result[None, StoreFailure]:
        """Renew a lease; NO_LEASE if it has expired or been revoked.

        RESTORED if it is of another era.
        """

    async def end_lease(
        self, lease: Lease
    ) -> expression.Result[None, StoreFailure]:
        """Revoke a lease, which deletes its keys."""
