"""This instance's entry in the store, and those of the others."""

import datetime
import logging
import typing
from collections import abc

import msgspec

from lavenderledge import clock as clocks
from lavenderledge import logs
from lavenderledge.controllers import caches
from lavenderledge.policy import rendezvous
from lavenderledge.registry import store as stores

PREFIX: typing.Final = 'lavenderledge/instances/'

# An instance that can't renew its lease is removed after this long, seconds.
# Renewals are cheap calls; three fit into the lease.
LEASE_S: typing.Final = 4.0
_RENEW_INTERVAL_S: typing.Final = 1.3
_RENEW_INTERVAL: typing.Final = datetime.timedelta(seconds=_RENEW_INTERVAL_S)
_RETRY_INTERVAL: typing.Final = datetime.timedelta(seconds=1)
_LOST_LEASE_FAULTS: typing.Final = frozenset(
    (stores.Fault.NO_LEASE, stores.Fault.RESTORED)
)
_ALLOCATOR_KEY: typing.Final = 'slots'
# An instance is strong if it has this fraction of the largest processor.
_STRONG_RATIO: typing.Final = 0.7
# An instance that was not listed within this time after it listed the others
# takes itself for the only one, seconds: a store may refuse all writes.
_MAX_UNLISTED_S: typing.Final = 3.0
_LOGGER = logging.getLogger(__name__)


class Member(typing.NamedTuple):
    """An instance, its peer address and its processor share in cores."""

    instance: str
    address: str
    processor: float = 1


class Registration:
    """Keeps this instance registered and lists the others."""

    def __init__(
        self,
        *,
        own: Member,
        store: stores.Store,
        clock: clocks.Clock,
        on_change: abc.Callable[[abc.Mapping[str, str]], None],
    ) -> None:
        """List only this instance; ``on_change`` gets all peer addresses."""
        self._own = own
        self._store = store
        self._clock = clock
        self._on_change = on_change
        self._members: caches.EntryCache[Member] = caches.EntryCache(
            clock=clock
        )
        self._key = f'{PREFIX}{own.instance}'
        self._content = msgspec.json.encode(own)
        self._lease: stores.Lease | None = None
        self._is_written = False
        self._written_s = float('-inf')
        # This instance's entry as it was last seen in the store.
        self._seen: stores.Change | None = None
        self._loaded_s: float | None = None
        self._was_listed = False
        self._last_count = 1
        self._ranked: tuple[str, ...] = (own.instance,)
        self._last_entries: abc.Mapping[str, Member] | None = None
        self._leaving = False

    @property
    def is_loaded(self) -> bool:
        """Return whether the list of instances was read."""
        return self._members.is_loaded

    def rank_allocators(self) -> abc.Sequence[str]:
        """Return the instances in order of preference as allocator."""
        self._refresh()
        return self._ranked

    def count_alive(self) -> int:
        """Return the number of instances, at least 1.

        While this instance's entry is missing, those of others may be missing
        as well: it is at least the number before.
        """
        self._refresh()
        if self._own.instance in self._ranked or self._leaving:
            return max(len(self._ranked), 1)
        return max(len(self._ranked) + 1, self._last_count)

    def may_allocate(self) -> bool:
        """Return whether the list of instances says who else allocates.

        It does not before it was read with this instance's own entry.
        """
        if self._was_listed:
            return True
        if self._loaded_s is None:
            return False
        waited_s = self._clock.read_monotonic() - self._loaded_s
        return waited_s > _MAX_UNLISTED_S

    def note_outage(self) -> None:
        """Keep instances that expire during an outage of the store."""
        self._members.note_outage()

    def note_era(self, era: int) -> None:
        """Give up a lease of another era than the store's."""
        if self._lease is not None and self._lease.era != era:
            self._give_up_lease()

    def apply_list(
        self, changes: abc.Sequence[stores.Change], requested_s: float
    ) -> None:
        """Replace the list of instances."""
        if self._loaded_s is None:
            self._loaded_s = self._clock.read_monotonic()
        if requested_s >= self._written_s:
            self._seen = None
        self._note_seen(changes)
        self._members.replace(
            {
                member.instance: member
                for member in map(_read_member, changes)
                if member is not None
            }
        )
        self._refresh()

    def apply_changes(
        self, changes: abc.Sequence[stores.Change], requested_s: float
    ) -> None:
        """Apply added, changed and removed instances."""
        self._note_seen(changes)
        self._members.update(
            (change.key.removeprefix(PREFIX), _read_member(change))
            for change in changes
        )
        self._refresh()

    async def run(self) -> None:
        """Renew the registration until cancelled."""
        while not self._leaving:
            renewed = await self._renew()
            await self._clock.sleep(
                _RENEW_INTERVAL if renewed else _RETRY_INTERVAL
            )

    async def leave(self) -> None:
        """Remove this instance's entry, so that peers send no more requests."""
        self._leaving = True
        if self._lease is not None:
            await self._store.end_lease(self._lease)

    async def _renew(self) -> bool:
        if self._lease is None:
            return await self._register()
        renewed = await self._store.keep_lease(self._lease)
        if renewed.is_error():
            if renewed.error.fault not in _LOST_LEASE_FAULTS:
                return False
            self._give_up_lease()
            return await self._register()
        if self._is_written and not self._has_lost_entry():
            return True
        return await self._write_entry(self._lease)

    async def _register(self) -> bool:
        opened = await self._store.open_lease(LEASE_S)
        if opened.is_error():
            return False
        self._lease = opened.ok
        return await self._write_entry(opened.ok)

    async def _write_entry(self, lease: stores.Lease) -> bool:
        """Write this instance's entry; the lease stays if that fails.

        A write without an answer may take effect later. It has the lease that
        is renewed, so it does no harm then.
        """
        if self._is_written:
            logs.write_event(
                _LOGGER,
                'registration_lost',
                level=logging.WARNING,
                instance=self._own.instance,
                lease='' if self._seen is None else self._seen.lease,
            )
        self._is_written = False
        # A change that is seen during the call may be later than the write.
        self._seen = stores.Change(self._key, self._content, 0, lease.number)
        put = await self._store.put(self._key, self._content, lease=lease)
        if put.is_error():
            if put.error.fault in _LOST_LEASE_FAULTS:
                self._give_up_lease()
            return False
        self._is_written = True
        self._written_s = self._clock.read_monotonic()
        return True

    def _give_up_lease(self) -> None:
        self._lease = None
        self._is_written = False

    def _has_lost_entry(self) -> bool:
        """Return whether the entry is missing, or not this process's."""
        seen = self._seen
        if seen is None or self._lease is None:
            return True
        is_own = seen.lease in {None, self._lease.number}
        return seen.content != self._content or not is_own

    def _note_seen(self, changes: abc.Iterable[stores.Change]) -> None:
        for change in changes:
            if change.key == self._key:
                self._seen = change
                self._was_listed |= change.content is not None

    def _refresh(self) -> None:
        entries = self._members.entries
        if entries is self._last_entries:
            return
        self._last_entries = entries
        names = set(entries)
        if self._leaving:
            names.discard(self._own.instance)
        self._ranked = rank_members(
            member for name, member in entries.items() if name in names
        )
        if self._own.instance in names:
            self._last_count = len(names)
        self.notify_addresses()

    def notify_addresses(self) -> None:
        """Pass the other instances' peer addresses to ``on_change``."""
        self._on_change(
            {
                name: member.address
                for name, member in self._members.entries.items()
                if name != self._own.instance
            }
        )


def rank_members(members: abc.Iterable[Member]) -> tuple[str, ...]:
    """Return the instances in order of preference as allocator.

    The order is by hash, strong instances first: allocating takes processor
    time that grows with the rate of all requests.
    """
    processors = {member.instance: member.processor for member in members}
    min_processor = max(processors.values(), default=0) * _STRONG_RATIO
    ranked = rendezvous.rank(_ALLOCATOR_KEY, processors)
    return tuple(
        sorted(ranked, key=lambda name: processors[name] < min_processor)
    )


def _read_member(change: stores.Change) -> Member | None:
    if change.content is None:
        return None
    try:
        return msgspec.json.decode(change.content, type=Member)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
