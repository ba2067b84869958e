"""The account of the bytes that an instance holds for its connections."""

import asyncio
import typing
from collections import abc

from lavenderledge.policy import memorybudget

# Waiting uploads and an exceeded limit are handled together, at most so often.
_INTERVAL_S: typing.Final = 0.01


class Upload(typing.Protocol):
    """A connection whose upload waits for memory."""

    @property
    def missing_bytes(self) -> int:
        """Return how much of the body has not been read yet."""

    def read_on(self, reserved_bytes: int) -> None:
        """Read on; ``reserved_bytes`` may be read above the threshold."""


class Charge:
    """The bytes that one connection holds."""

    __slots__ = (
        '_account',
        '_is_closed',
        'reserved_bytes',
        'size_bytes',
        'unsent_bytes',
    )

    def __init__(self, *, account: 'Account') -> None:
        """Hold nothing; see ``Account.open``."""
        self._account = account
        self._is_closed = False
        self.size_bytes = 0
        self.unsent_bytes = 0
        self.reserved_bytes = 0

    def replace(self, size_bytes: int, unsent_bytes: int) -> None:
        """Set how much is held, and how much of it is not yet sent."""
        if self._is_closed:
            return
        added_bytes = size_bytes - self.size_bytes
        added_unsent_bytes = unsent_bytes - self.unsent_bytes
        if added_bytes or added_unsent_bytes:
            self.size_bytes = size_bytes
            self.unsent_bytes = unsent_bytes
            self._account.add(added_bytes, added_unsent_bytes)

    def reserve(self, reserved_bytes: int) -> None:
        """Set how much more may be read above the first threshold."""
        if self._is_closed:
            return
        self._account.reserve(reserved_bytes - self.reserved_bytes)
        self.reserved_bytes = reserved_bytes

    def close(self) -> None:
        """Release everything; later changes have no effect."""
        self.reserve(0)
        self.replace(0, 0)
        self._is_closed = True


class Account:
    """Adds up charges, and acts when a threshold is crossed.

    ``shed`` is called while the limit is exceeded. ``note_refusal`` gets the
    reason and the size of a request that is refused for want of memory.
    """

    def __init__(self, *, limit_bytes: int = 0) -> None:
        """Start empty; without a limit, bytes are only counted."""
        self.thresholds = memorybudget.build_thresholds(limit_bytes)
        self.is_limited = limit_bytes > 0
        self.shed: abc.Callable[[], None] = _do_nothing
        self.note_refusal: abc.Callable[[str, int], None] = _ignore_refusal
        self._held_bytes = 0
        self._unsent_bytes = 0
        self._reserved_bytes = 0
        # In the order in which they began to wait.
        self._waiting: dict[Upload, None] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def usage(self) -> memorybudget.Usage:
        """Return the current sums."""
        return memorybudget.Usage(
            self._held_bytes, self._unsent_bytes, self._reserved_bytes
        )

    @property
    def level(self) -> memorybudget.Level:
        """Return how full the account is."""
        return memorybudget.find_level(self.usage, self.thresholds)

    @property
    def waiting_count(self) -> int:
        """Return how many uploads wait for memory."""
        return len(self._waiting)

    @property
    def must_uploads_wait(self) -> bool:
        """Return whether an upload without a reservation must wait."""
        return (
            self.is_limited and self._held_bytes >= self.thresholds.upload_bytes
        )

    def open(self) -> Charge:
        """Return a new charge."""
        return Charge(account=self)

    def add(self, added_bytes: int, added_unsent_bytes: int) -> None:
        """Add to the sums; the numbers are negative for released bytes."""
        self._held_bytes += added_bytes
        self._unsent_bytes += added_unsent_bytes
        if self._waiting or self._held_bytes > self.thresholds.limit_bytes:
            self._schedule()

    def reserve(self, added_bytes: int) -> None:
        """Add to the reserved bytes."""
        self._reserved_bytes += added_bytes

    def fits(self, declared_bytes: int | None) -> bool:
        """Return whether a body may be read; None if its size is unknown."""
        return not self.is_limited or memorybudget.fits(
            declared_bytes, self.usage, self.thresholds
        )

    def find_read_ahead(self) -> int:
        """Return how many bytes may wait for a caller to read them."""
        return memorybudget.find_read_ahead(self.usage, self.thresholds)

    def wait(self, upload: Upload) -> None:
        """Let an upload wait until ``read_on`` is called, or ``leave``."""
        self._waiting[upload] = None
        self._schedule()

    def leave(self, upload: Upload) -> None:
        """Forget an upload, which may not be waiting."""
        self._waiting.pop(upload, None)

    def act(self) -> None:
        """Read waiting uploads on, and shed what exceeds the limit."""
        self._timer = None
        if self.level is memorybudget.Level.EXCEEDED:
            self.shed()
        waiting = tuple(self._waiting)
        missing = [upload.missing_bytes for upload in waiting]
        for resumed in memorybudget.choose_resumed(
            missing, self.usage, self.thresholds
        ):
            upload = waiting[resumed.position]
            self.leave(upload)
            upload.read_on(resumed.reserved_bytes)

    def _schedule(self) -> None:
        if self._timer is None and self.is_limited:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_INTERVAL_S, self.act)


def _do_nothing() -> None:
    """Shed nothing."""


def _ignore_refusal(reason: str, size_bytes: int) -> None:
    """Count no refusal."""
