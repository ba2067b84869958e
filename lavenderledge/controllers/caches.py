"""Caches of the store's content, with its version and age."""

import collections
import enum
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge.policy import routes, slots

# Time for entries that expired during a store outage to be listed again,
# seconds. Clients of the store allow two seconds for this.
RELIST_GRACE_S: typing.Final = 2.2

# Failures count as one outage while they are less than RELIST_GRACE_S plus this
# apart, seconds: the duration of a call and the longest pause between two.
_OUTAGE_MERGE_GAP_S: typing.Final = 3.0

# How long a replica that left is remembered, seconds. This exceeds outages of
# the store, during which no instance gets newer state.
_LEFT_RETENTION_S: typing.Final = 10.0

# At most this fraction of a service's replicas ends while an instance is cut
# off. If the store loses leases, all that did not renew in time expire.
_MASS_EXPIRY_RATIO: typing.Final = 0.5

_Entry = typing.TypeVar('_Entry')


class ListedReplica(typing.NamedTuple):
    """A replica's entry in the store; ``is_ready`` is False while it leaves."""

    info: slots.ReplicaInfo
    is_ready: bool


def _is_leaving(listed: ListedReplica) -> bool:
    return not listed.is_ready


def _assume_staying(entry: object) -> bool:
    return False


class ConfigurationCache:
    """The newest configuration, and when it was last confirmed.

    A version is never replaced by a lower one. If the store still has it after
    a peer had a newer one, the store was restored from an older copy, and the
    current version counts as never confirmed.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        """Create an empty cache."""
        self._clock = clock
        self._current: routes.Configuration | None = None
        self._newest_version = 0
        self._newest_heard_s = float('-inf')
        self._confirmed_s = float('-inf')
        self._store_confirmed_s = float('-inf')

    @property
    def current(self) -> routes.Configuration | None:
        """Return the configuration in force, or None before the first one."""
        return self._current

    @property
    def is_outdated(self) -> bool:
        """Return whether a peer has a newer version."""
        return self._newest_version > self._current_version

    def is_superseded(self, max_age_s: float) -> bool:
        """Return whether a newer version may have been written that long ago.

        It is False while no newer version is known, as in an outage.
        """
        return self.is_outdated and self.age_s() > max_age_s

    def age_s(self) -> float:
        """Return the seconds since the last confirming answer was requested.

        The answer came from the store, to this instance or to a peer.
        """
        return self._clock.read_monotonic() - self._confirmed_s

    def store_age_s(self) -> float:
        """Return the same age, by answers to this instance only."""
        return self._clock.read_monotonic() - self._store_confirmed_s

    def accept(
        self, configuration: routes.Configuration, requested_s: float
    ) -> bool:
        """Store a version that was read; return whether it is newer."""
        current = self._current
        if current is not None and configuration.version < current.version:
            return False
        newer = current is None or configuration.version > current.version
        self._current = configuration
        self.confirm(requested_s)
        return newer

    def accept_from_peer(
        self, configuration: routes.Configuration, confirmed_s: float
    ) -> bool:
        """Store a newer version that a peer has; return whether it is newer.

        ``confirmed_s`` is when an answer was requested that confirmed it there.
        """
        if configuration.version <= self._current_version:
            return False
        self._current = configuration
        self.apply_peer_confirmation(configuration.version, confirmed_s)
        return True

    def confirm(self, requested_s: float) -> None:
        """Record that the store had nothing newer at ``requested_s``.

        If a peer had something newer before, the store is not believed.
        """
        if self.is_outdated:
            # An answer to an earlier request may be older than the version.
            if requested_s > self._newest_heard_s:
                self._confirmed_s = float('-inf')
                self._store_confirmed_s = float('-inf')
            return
        self._store_confirmed_s = max(self._store_confirmed_s, requested_s)
        self._confirmed_s = max(self._confirmed_s, requested_s)

    def note_peer_version(self, version: int) -> None:
        """Record a version that a peer has."""
        if version > self._newest_version:
            self._newest_version = version
            self._newest_heard_s = self._clock.read_monotonic()

    def apply_peer_confirmation(self, version: int, confirmed_s: float) -> bool:
        """Merge a peer's version; return False if it is newer."""
        self.note_peer_version(version)
        if version > self._current_version:
            return False
        if version == self._current_version and not self.is_outdated:
            self._confirmed_s = max(self._confirmed_s, confirmed_s)
        return True

    @property
    def _current_version(self) -> int:
        return 0 if self._current is None else self._current.version


class EntryCache(typing.Generic[_Entry]):
    """Entries under a prefix; those that expire in an outage are kept a while.

    ``entries`` is replaced and never modified, so comparing its identity shows
    whether anything changed.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        is_leaving: abc.Callable[[_Entry], bool] = _assume_staying,
    ) -> None:
        """Create an empty cache; leaving entries are removed without grace."""
        self.is_loaded = False
        self._clock = clock
        self._is_leaving = is_leaving
        self._entries: abc.Mapping[str, _Entry] = {}
        self._missing: set[str] = set()
        self._outage_s = float('-inf')
        self._grace_until_s = float('-inf')

    @property
    def entries(self) -> abc.Mapping[str, _Entry]:
        """Return the entries by name."""
        if self._missing and self._clock.read_monotonic() > self._grace_until_s:
            self._entries = {
                name: entry
                for name, entry in self._entries.items()
                if name not in self._missing
            }
            self._missing.clear()
        return self._entries

    @property
    def missing(self) -> abc.Set[str]:
        """Return the expired names that may still be listed again."""
        return frozenset(self._missing)

    @property
    def outage_started_s(self) -> float:
        """Return the monotonic time at which the last outage began, seconds."""
        return self._outage_s

    @property
    def is_in_grace(self) -> bool:
        """Return whether entries that expired may be listed again."""
        return self._clock.read_monotonic() < self._grace_until_s

    def note_outage(self) -> None:
        """Keep entries that expire within ``RELIST_GRACE_S`` from now."""
        now_s = self._clock.read_monotonic()
        if now_s - self._grace_until_s > _OUTAGE_MERGE_GAP_S:
            self._outage_s = now_s
        self._grace_until_s = now_s + RELIST_GRACE_S

    def replace(self, listed: abc.Mapping[str, _Entry]) -> None:
        """Replace all entries."""
        self.is_loaded = True
        gone = self.entries.keys() - listed.keys()
        self.update([*dict.fromkeys(gone).items(), *listed.items()])

    def update(self, changes: abc.Iterable[tuple[str, _Entry | None]]) -> None:
        """Apply changed entries in order; None marks a removed one."""
        changed = dict(self.entries)
        missing = self.missing
        in_grace = self.is_in_grace
        for name, entry in changes:
            before = changed.get(name)
            expires = before is not None and not self._is_leaving(before)
            if entry is None and in_grace and expires:
                self._missing.add(name)
            elif entry is None:
                changed.pop(name, None)
                self._missing.discard(name)
            else:
                self._missing.discard(name)
                changed[name] = entry
        if changed != self._entries or missing != self._missing:
            self._entries = changed


@enum.unique
class Standing(enum.Enum):
    """What is known of a replica: whether it takes requests."""

    LISTED = 'listed'
    LEFT = 'left'
    UNCONFIRMED = 'unconfirmed'


class ReplicaCache:
    """The listed replicas and the age of the list."""

    def __init__(self, *, clock: clocks.Clock) -> None:
        """Create an empty cache."""
        self.entry_cache: EntryCache[ListedReplica] = EntryCache(
            clock=clock, is_leaving=_is_leaving
        )
        self._last_entries: abc.Mapping[str, ListedReplica] = {}
        self._usable: tuple[slots.ReplicaInfo, ...] = ()
        self._usable_names: abc.Set[str] = frozenset()
        self._clock = clock
        self._confirmed_s = float('-inf')
        self._left: set[str] = set()
        self._has_missing = False

    def has_left(self, name: str) -> bool:
        """Return whether this instance saw a replica leave.

        Allocators may not have seen it yet; their grants for it are not used.
        An old list is ignored, since a replica may return under its name.
        """
        self.list_usable()
        return name in self._left and self.age_s() < _LEFT_RETENTION_S

    def list_left(self) -> abc.Set[str]:
        """Return the replicas that left, or were leaving, when last seen."""
        self.list_usable()
        entries = self.entry_cache.entries
        leaving = {name for name in entries if not entries[name].is_ready}
        return self._left | leaving

    def judge(
        self, name: str, *, listed_s: float, max_age_s: float
    ) -> Standing:
        """Judge a replica that a peer's list had at ``listed_s`` (monotonic).

        The newer one of that list and the own one decides, unless neither was
        correct within the last ``max_age_s``.
        """
        if self.has_left(name):
            return Standing.LEFT
        own_age_s = self.age_s()
        peer_age_s = self._clock.read_monotonic() - listed_s
        if min(own_age_s, peer_age_s) > max_age_s:
            return Standing.UNCONFIRMED
        if peer_age_s < own_age_s or name in self._usable_names:
            return Standing.LISTED
        # The entry may have expired in an outage that the peer saw as well.
        if self.entry_cache.is_in_grace:
            return Standing.LISTED
        return Standing.LEFT

    def age_s(self) -> float:
        """Return the seconds since the confirming answer was requested."""
        return self._clock.read_monotonic() - self._confirmed_s

    def reported_age_s(self) -> float:
        """Return the age of the list to report to peers, seconds.

        A list that keeps expired replicas in use was last correct before the
        outage.
        """
        self.list_usable()
        if not self._has_missing:
            return self.age_s()
        confirmed_s = min(self._confirmed_s, self.entry_cache.outage_started_s)
        return self._clock.read_monotonic() - confirmed_s

    def confirm(self, requested_s: float) -> None:
        """Record that the list was correct at ``requested_s``."""
        self._confirmed_s = max(self._confirmed_s, requested_s)

    def list_usable(self) -> abc.Sequence[slots.ReplicaInfo]:
        """Return the replicas that take new requests.

        Returns the same object while nothing changes.
        """
        entries = self.entry_cache.entries
        if entries is not self._last_entries:
            former = self._usable_names
            missing = self.entry_cache.missing
            self._last_entries = entries
            self._usable = _select_usable(entries, missing)
            self._usable_names = {info.name for info in self._usable}
            self._has_missing = not missing.isdisjoint(self._usable_names)
            self._left = (self._left | former) - self._usable_names
        return self._usable


def _select_usable(
    entries: abc.Mapping[str, ListedReplica], missing: abc.Set[str]
) -> tuple[slots.ReplicaInfo, ...]:
    """Return the ready replicas, including those of a mass expiry.

    An outage of the store makes many replicas expire at once. If only a few
    of a service are missing, they ended while this instance was cut off.
    """
    ready = [entry.info for entry in entries.values() if entry.is_ready]
    ready_counts = collections.Counter(info.service for info in ready)
    missing_counts = collections.Counter(
        info.service for info in ready if info.name in missing
    )
    return tuple(
        info
        for info in ready
        if info.name not in missing
        or missing_counts[info.service]
        > ready_counts[info.service] * _MASS_EXPIRY_RATIO
    )
