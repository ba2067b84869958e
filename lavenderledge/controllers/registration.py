"""This instance's own entry in the store, and the entries of the others."""

import datetime
import typing
from collections import abc

import msgspec

from lavenderledge import clock as clocks
from lavenderledge.controllers import caches
from lavenderledge.policy import rendezvous
from lavenderledge.registry import store as stores

PREFIX: typing.Final = 'lavenderledge/instances/'

# An instance that can't renew is gone after this long, seconds; renewals are
# cheap calls, three fit in.
LEASE_S: typing.Final = 4.0
_RENEW_S: typing.Final = 1.3
_RENEW: typing.Final = datetime.timedelta(seconds=_RENEW_S)
_RETRY: typing.Final = datetime.timedelta(seconds=1)
_ALLOCATOR_KEY: typing.Final = 'slots'
# An instance is strong with this part of the strongest one's processor.
_STRONG_PART: typing.Final = 0.7


class Member(typing.NamedTuple):
    """One instance: where its peers reach it, and its processor in cores."""

    instance: str
    address: str
    processor: float = 1


class Registration:
    """Keeps this instance listed, and knows who else is."""

    def __init__(
        self,
        *,
        own: Member,
        store: stores.Store,
        clock: clocks.Clock,
        on_change: abc.Callable[[abc.Mapping[str, str]], None],
    ) -> None:
        """Know only this instance; ``on_change`` gets all peer addresses."""
        self._own = own
        self._store = store
        self._clock = clock
        self._on_change = on_change
        self._listing: caches.EntryCache[Member] = caches.EntryCache(
            clock=clock
        )
        self._lease: int | None = None
        self._ranked: tuple[str, ...] = (own.instance,)
        self._seen: abc.Mapping[str, Member] | None = None
        self._leaving = False

    @property
    def is_loaded(self) -> bool:
        """Return whether the list of instances was read."""
        return self._listing.is_loaded

    def rank_allocators(self) -> abc.Sequence[str]:
        """Return the instances in the order in which they allocate."""
        self._refresh()
        return self._ranked

    def count_alive(self) -> int:
        """Return how many instances are believed to run."""
        self._refresh()
        return max(len(self._ranked), 1)

    def note_outage(self) -> None:
        """Take lapses of the next seconds for the store's."""
        self._listing.note_outage()

    def apply_list(
        self, changes: abc.Sequence[stores.Change], asked_s: float
    ) -> None:
        """Take the list of all instances."""
        self._listing.replace(
            {
                member.instance: member
                for member in map(_read_member, changes)
                if member is not None
            }
        )
        self._refresh()

    def apply_changes(
        self, changes: abc.Sequence[stores.Change], asked_s: float
    ) -> None:
        """Take instances that came, changed or went."""
        self._listing.update(
            (change.key.removeprefix(PREFIX), _read_member(change))
            for change in changes
        )
        self._refresh()

    async def run(self) -> None:
        """Stay registered until cancelled."""
        while not self._leaving:
            kept = await self._keep()
            await self._clock.sleep(_RENEW if kept else _RETRY)

    async def leave(self) -> None:
        """Take the entry out, so that nobody asks here any more."""
        self._leaving = True
        if self._lease is not None:
            await self._store.end_lease(self._lease)

    async def _keep(self) -> bool:
        if self._lease is None:
            return await self._register()
        kept = await self._store.keep_lease(self._lease)
        if kept.is_error() and kept.error.fault is stores.Fault.NO_LEASE:
            self._lease = None
            return await self._register()
        return bool(kept.is_ok())

    async def _register(self) -> bool:
        opened = await self._store.open_lease(LEASE_S)
        if opened.is_error():
            return False
        put = await self._store.put(
            f'{PREFIX}{self._own.instance}',
            msgspec.json.encode(self._own),
            lease=opened.ok,
        )
        if put.is_error():
            return False
        self._lease = opened.ok
        return True

    def _refresh(self) -> None:
        entries = self._listing.entries
        if entries is self._seen:
            return
        self._seen = entries
        names = set(entries)
        if self._leaving:
            names.discard(self._own.instance)
        self._ranked = rank_members(
            member for name, member in entries.items() if name in names
        )
        self.notify_addresses()

    def notify_addresses(self) -> None:
        """Tell where the other instances are reached."""
        self._on_change(
            {
                name: member.address
                for name, member in self._listing.entries.items()
                if name != self._own.instance
            }
        )


def rank_members(members: abc.Iterable[Member]) -> tuple[str, ...]:
    """Return who allocates, in order: by hash, the strong before the weak.

    Allocating takes a part of a processor that grows with all requests.
    """
    processors = {each.instance: each.processor for each in members}
    least = max(processors.values(), default=0) * _STRONG_PART
    ranked = rendezvous.rank(_ALLOCATOR_KEY, processors)
    return tuple(sorted(ranked, key=lambda name: processors[name] < least))


def _read_member(change: stores.Change) -> Member | None:
    if change.content is None:
        return None
    try:
        return msgspec.json.decode(change.content, type=Member)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
