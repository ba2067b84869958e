"""Quarantined requests in the store, for the instances after a restart."""

import datetime
import logging
import typing
from collections import abc

import expression
import msgspec

from lavenderledge import clock as clocks
from lavenderledge import logs
from lavenderledge.policy import requestcrashes
from lavenderledge.registry import store as stores

PREFIX: typing.Final = 'lavenderledge/quarantines/'

_INTERVAL_MS: typing.Final = 250
_INTERVAL: typing.Final = datetime.timedelta(milliseconds=_INTERVAL_MS)
# The shortest and the longest lease that a store grants, seconds.
_MIN_LEASE_S: typing.Final = 1.0
_MAX_LEASE_S: typing.Final = 600.0
_LOGGER = logging.getLogger(__name__)


class _Entry(typing.NamedTuple):
    """What the store holds for a digest, until its lease ends.

    ``left_s`` was left when it was written.
    """

    left_s: typing.Annotated[float, msgspec.Meta(ge=0, le=_MAX_LEASE_S)]


class Allocator(typing.Protocol):
    """What keeps the quarantines while it allocates."""

    def list_request_quarantines(
        self,
    ) -> abc.Sequence[requestcrashes.Quarantine]:
        """Return the quarantines in force."""

    def merge_request_quarantine(
        self, quarantine: requestcrashes.Quarantine
    ) -> None:
        """Take over a quarantine."""


class QuarantineStore:
    """Keeps the store's quarantines as the allocating instance has them.

    An entry is deleted with its lease, when its quarantine ends.
    """

    def __init__(
        self,
        *,
        instance: str,
        store: stores.Store,
        clock: clocks.Clock,
        allocator: Allocator,
        is_allocating: abc.Callable[[], bool],
    ) -> None:
        """Start without any reading of the store."""
        self._instance = instance
        self._store = store
        self._clock = clock
        self._allocator = allocator
        self._is_allocating = is_allocating
        self._is_loaded = False
        # The lease of each entry, and the crash that imposed its quarantine.
        self._leases: dict[str, stores.Lease] = {}
        self._imposed_s: dict[str, float] = {}
        self._has_failed = False

    async def run(self) -> None:
        """Read and write while this instance allocates, until cancelled."""
        while True:
            await self.update()
            await self._clock.sleep(_INTERVAL)

    async def update(self) -> None:
        """Read the entries once, then write what has changed."""
        if not self._is_allocating():
            self._is_loaded = False
            self._leases.clear()
            self._imposed_s.clear()
            return
        if not self._is_loaded:
            await self._load()
            return
        quarantines = {
            quarantine.digest: quarantine
            for quarantine in self._allocator.list_request_quarantines()
        }
        for digest in self._leases.keys() - quarantines.keys():
            await self._delete(digest)
        for quarantine in quarantines.values():
            imposed_s = self._imposed_s.get(quarantine.digest, float('-inf'))
            if quarantine.imposed_s > imposed_s:
                await self._write(quarantine)

    async def _load(self) -> None:
        listing = await self._store.list_keys(PREFIX)
        self._note_call(listing)
        if listing.is_error():
            return
        self._is_loaded = True
        now_s = self._clock.read_monotonic()
        for change in listing.ok.changes:
            entry = _read_entry(change)
            if entry is None:
                self._log(
                    'quarantine_unreadable',
                    level=logging.WARNING,
                    key=change.key,
                )
                continue
            digest = change.key.removeprefix(PREFIX)
            self._imposed_s[digest] = now_s
            if change.lease:
                lease = stores.Lease(change.lease, listing.ok.era)
                self._leases[digest] = lease
            # The time of the crash is not known: any known answer is later.
            quarantine = requestcrashes.Quarantine(
                digest,
                now_s - requestcrashes.RETENTION_S,
                now_s + entry.left_s,
            )
            self._allocator.merge_request_quarantine(quarantine)
            self._log('quarantine_restored', digest=digest)

    async def _write(self, quarantine: requestcrashes.Quarantine) -> None:
        digest = quarantine.digest
        left_s = quarantine.until_s - self._clock.read_monotonic()
        left_s = min(max(left_s, _MIN_LEASE_S), _MAX_LEASE_S)
        opened = await self._store.open_lease(left_s)
        self._note_call(opened)
        if opened.is_error():
            return
        put = await self._store.put(
            f'{PREFIX}{digest}',
            msgspec.json.encode(_Entry(left_s)),
            lease=opened.ok,
        )
        self._note_call(put)
        if put.is_ok():
            self._leases[digest] = opened.ok
            self._imposed_s[digest] = quarantine.imposed_s

    async def _delete(self, digest: str) -> None:
        ended = await self._store.end_lease(self._leases[digest])
        has_gone = ended.is_ok() or ended.error.fault in {
            stores.Fault.NO_LEASE,
            stores.Fault.RESTORED,
        }
        if has_gone:
            self._leases.pop(digest)
            self._imposed_s.pop(digest, None)
        else:
            self._note_call(ended)

    def _note_call(
        self, outcome: expression.Result[typing.Any, stores.StoreFailure]
    ) -> None:
        """Log the first of several failures in a row: calls are repeated."""
        if outcome.is_error() and not self._has_failed:
            self._log(
                'quarantines_unsaved',
                level=logging.WARNING,
                fault=outcome.error.fault.value,
                detail=outcome.error.detail,
            )
        self._has_failed = outcome.is_error()

    def _log(self, event: str, **fields: typing.Any) -> None:
        logs.write_event(_LOGGER, event, instance=self._instance, **fields)


def _read_entry(change: stores.Change) -> _Entry | None:
    if change.content is None:
        return None
    try:
        return msgspec.json.decode(change.content, type=_Entry)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
