"""What the system needs of a key-value service with leases and watches."""

import enum
import typing

import expression


@enum.unique
class Fault(enum.StrEnum):
    """Why a call to the service brought nothing."""

    UNREACHABLE = 'unreachable'
    REFUSED = 'refused'
    COMPACTED = 'compacted'
    CONFLICT = 'conflict'
    NO_LEASE = 'no_lease'
    MALFORMED = 'malformed'


class StoreFailure(typing.NamedTuple):
    """A call that failed; REFUSED and CONFLICT say that nothing was done."""

    fault: Fault
    detail: str


class Change(typing.NamedTuple):
    """A key as it stands; ``content`` is None where it is gone."""

    key: str
    content: bytes | None
    revision: int


class Listing(typing.NamedTuple):
    """Keys of a prefix, or their changes, up to the service's revision."""

    changes: tuple[Change, ...]
    revision: int


ListResult: typing.TypeAlias = expression.Result[Listing, StoreFailure]


class Store(typing.Protocol):
    """A service that loses nothing that it has acknowledged."""

    async def list_keys(self, prefix: str) -> ListResult:
        """Return the keys of a prefix."""

    async def watch(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> ListResult:
        """Return the changes after a revision; none once the wait is over."""

    async def create(
        self, key: str, content: bytes
    ) -> expression.Result[None, StoreFailure]:
        """Write a key that does not exist; CONFLICT where it does."""

    async def put(
        self, key: str, content: bytes, *, lease: int
    ) -> expression.Result[None, StoreFailure]:
        """Write a key that goes with a lease."""

    async def open_lease(
        self, ttl_s: float
    ) -> expression.Result[int, StoreFailure]:
        """Return a new lease's id."""

    async def keep_lease(
        self, lease: int
    ) -> expression.Result[None, StoreFailure]:
        """Renew a lease; NO_LEASE where it has ended."""

    async def end_lease(
        self, lease: int
    ) -> expression.Result[None, StoreFailure]:
        """End a lease with its keys."""
