"""What an instance believes of the outside, with its version and age."""

import collections
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge.policy import routes, slots

# After the store was out of reach, whoever lapsed meanwhile has this long to
# be listed again, seconds: the store's users give two.
RELIST_GRACE_S: typing.Final = 2.2

# Failures that are apart by less than this and the time to be listed again are
# of one outage, seconds: a call and the longest pause between two.
_SAME_OUTAGE_S: typing.Final = 3.0

# What a list said is remembered for so long, seconds: beyond outages of the
# store, in which nobody learns more.
_MEMORY_S: typing.Final = 10.0

# Of a service's replicas, at most this part ends while an instance is cut
# off; when the store forgets leases it is all that did not renew in time.
_FEW: typing.Final = 0.5

_Entry = typing.TypeVar('_Entry')


class ListedReplica(typing.NamedTuple):
    """One replica's entry as read; ``is_ready`` is False while it leaves."""

    info: slots.ReplicaInfo
    is_ready: bool


def _is_leaving(listed: ListedReplica) -> bool:
    return not listed.is_ready


def _is_staying(entry: object) -> bool:
    return False


class ConfigurationCache:
    """The newest configuration, and when it was last confirmed.

    A version is never replaced by a lower one.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        """Know nothing."""
        self._clock = clock
        self._current: routes.Configuration | None = None
        self._confirmed_s = float('-inf')
        self._asked_s = float('-inf')

    @property
    def current(self) -> routes.Configuration | None:
        """Return the configuration in force, None before the first."""
        return self._current

    def age_s(self) -> float:
        """Return the seconds since the confirming answer was asked for."""
        return self._clock.read_monotonic() - self._confirmed_s

    def store_age_s(self) -> float:
        """Return the same for answers of the store to this instance."""
        return self._clock.read_monotonic() - self._asked_s

    def accept(
        self, configuration: routes.Configuration, asked_s: float
    ) -> bool:
        """Take a version that was read; False where it is not newer."""
        known = self._current
        if known is not None and configuration.version < known.version:
            return False
        self.confirm(asked_s)
        newer = known is None or configuration.version > known.version
        self._current = configuration
        return newer

    def confirm(self, asked_s: float) -> None:
        """Note that nothing newer was there when the store was asked."""
        self._asked_s = max(self._asked_s, asked_s)
        self._confirmed_s = max(self._confirmed_s, asked_s)

    def apply_peer_confirmation(self, version: int, confirmed_s: float) -> bool:
        """Take a peer's word; False where the peer knows a newer version."""
        known = self._current
        if known is None or version > known.version:
            return False
        if version == known.version:
            self._confirmed_s = max(self._confirmed_s, confirmed_s)
        return True


class EntryCache(typing.Generic[_Entry]):
    """Entries of a directory whose lapses during an outage mean nothing yet.

    ``entries`` is replaced, never changed, so that its identity tells whether
    anything is new.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        is_leaving: abc.Callable[[_Entry], bool] = _is_staying,
    ) -> None:
        """Know nothing; an entry that ``is_leaving`` ends for good."""
        self.is_loaded = False
        self._clock = clock
        self._is_leaving = is_leaving
        self._entries: abc.Mapping[str, _Entry] = {}
        self._missing: set[str] = set()
        self._outage_s = float('-inf')
        self._lapse_until_s = float('-inf')

    @property
    def entries(self) -> abc.Mapping[str, _Entry]:
        """Return the entries by name."""
        if self._missing and self._clock.read_monotonic() > self._lapse_until_s:
            self._entries = {
                name: entry
                for name, entry in self._entries.items()
                if name not in self._missing
            }
            self._missing.clear()
        return self._entries

    @property
    def missing(self) -> abc.Set[str]:
        """Return the names that lapsed and may still be listed again."""
        return frozenset(self._missing)

    @property
    def outage_started_s(self) -> float:
        """Return when the newest outage was noted, on the clock."""
        return self._outage_s

    def note_outage(self) -> None:
        """Take lapses of the next seconds for the store's, not for ends."""
        now_s = self._clock.read_monotonic()
        if now_s - self._lapse_until_s > _SAME_OUTAGE_S:
            self._outage_s = now_s
        self._lapse_until_s = now_s + RELIST_GRACE_S

    def replace(self, listed: abc.Mapping[str, _Entry]) -> None:
        """Take a whole list."""
        self.is_loaded = True
        gone = self.entries.keys() - listed.keys()
        self.update([*dict.fromkeys(gone).items(), *listed.items()])

    def update(self, changes: abc.Iterable[tuple[str, _Entry | None]]) -> None:
        """Take changed entries in order; None stands for one that is gone."""
        changed = dict(self.entries)
        missing = self.missing
        lapsing = self._clock.read_monotonic() < self._lapse_until_s
        for name, entry in changes:
            before = changed.get(name)
            lapses = before is not None and not self._is_leaving(before)
            if entry is None and lapsing and lapses:
                self._missing.add(name)
            elif entry is None:
                changed.pop(name, None)
                self._missing.discard(name)
            else:
                self._missing.discard(name)
                changed[name] = entry
        if changed != self._entries or missing != self._missing:
            self._entries = changed


class ReplicaCache:
    """The replicas that are listed."""

    def __init__(self, *, clock: clocks.Clock) -> None:
        """Know nothing."""
        self.entry_cache: EntryCache[ListedReplica] = EntryCache(
            clock=clock, is_leaving=_is_leaving
        )
        self._seen: abc.Mapping[str, ListedReplica] = {}
        self._usable: tuple[slots.ReplicaInfo, ...] = ()
        self._clock = clock
        self._confirmed_s = float('-inf')
        self._left: set[str] = set()
        self._is_doubtful = False

    def has_left(self, name: str) -> bool:
        """Return whether a replica was seen here to leave.

        Others may know less: no grant of theirs brings it back. A list from
        long ago says nothing, since a replica may return under its name.
        """
        self.list_usable()
        return name in self._left and self.age_s() < _MEMORY_S

    def age_s(self) -> float:
        """Return the seconds since the confirming answer was asked for."""
        return self._clock.read_monotonic() - self._confirmed_s

    def reported_age_s(self) -> float:
        """Return the age that others should reckon with, seconds.

        A list with replicas that lapsed and are still used was last right
        before the outage.
        """
        self.list_usable()
        if not self._is_doubtful:
            return self.age_s()
        since_s = min(self._confirmed_s, self.entry_cache.outage_started_s)
        return self._clock.read_monotonic() - since_s

    def confirm(self, asked_s: float) -> None:
        """Note that the list was right when the store was asked."""
        self._confirmed_s = max(self._confirmed_s, asked_s)

    def list_usable(self) -> abc.Sequence[slots.ReplicaInfo]:
        """Return the replicas that take new requests.

        It is the same object while nothing changes.
        """
        entries = self.entry_cache.entries
        if entries is not self._seen:
            known = {info.name for info in self._usable}
            self._seen = entries
            self._usable = _select_usable(entries, self.entry_cache.missing)
            usable = {info.name for info in self._usable}
            self._is_doubtful = not usable.isdisjoint(self.entry_cache.missing)
            self._left = (self._left | known) - usable
        return self._usable


def _select_usable(
    entries: abc.Mapping[str, ListedReplica], missing: abc.Set[str]
) -> tuple[slots.ReplicaInfo, ...]:
    """Return the ready replicas that are there.

    An outage of the service that holds the list makes many lapse at once.
    Where it is few of a kind, they ended while this instance was cut off.
    """
    ready = [each.info for each in entries.values() if each.is_ready]
    all_of = collections.Counter(info.service for info in ready)
    lapsed = collections.Counter(
        info.service for info in ready if info.name in missing
    )
    return tuple(
        info
        for info in ready
        if info.name not in missing
        or lapsed[info.service] > all_of[info.service] * _FEW
    )
