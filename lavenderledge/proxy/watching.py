"""What an instance believes, kept true by the store and by its peers."""

import logging
import random
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge import logs
from lavenderledge.controllers import (
    caches,
    follower,
    registration,
    slotallocator,
    slotrequester,
)
from lavenderledge.daemon import metrics as meters
from lavenderledge.daemon import tasks as background
from lavenderledge.http1 import client
from lavenderledge.policy import routes, slots
from lavenderledge.proxy import headercodec
from lavenderledge.registry import store as stores

# Nothing is granted by a list that is older while it is being read anew,
# seconds: a watch fails within two, so that followers never wait for this.
_OLD_LIST_S: typing.Final = 2.5
# An instance whose peers told it nothing fresher asks the store itself,
# seconds: a configuration is to be in force within two.
_HEARSAY_AGE_S: typing.Final = 1.8
# How long one watch of a prefix waits, and the pause after changes, which
# gathers several into one call; seconds.
_CONFIGURATION_WAIT_S: typing.Final = 0.5
_CONFIGURATION_REST_S: typing.Final = 0.05
_REPLICAS_WAIT_S: typing.Final = 0.5
_REPLICAS_REST_S: typing.Final = 0.4
_MEMBERS_WAIT_S: typing.Final = 10.0
# Every instance reads each change of the list of instances: together they make
# at most one call in so many seconds, so that a storm of changes costs the
# store the same in a large fleet; a pause lies between the bounds, seconds.
_MEMBERS_CALL_S: typing.Final = 0.02
_LEAST_MEMBERS_REST_S: typing.Final = 0.5
_MOST_MEMBERS_REST_S: typing.Final = 3.0
_LOGGER = logging.getLogger(__name__)

ReadConfiguration: typing.TypeAlias = abc.Callable[[bytes], typing.Any]


class Platform(typing.NamedTuple):
    """What the adapter of a platform gives: formats, names and a store."""

    header_codec: headercodec.HeaderCodec
    configuration_key: str
    replicas_prefix: str
    read_configuration: ReadConfiguration
    read_replica: abc.Callable[[stores.Change], caches.ListedReplica | None]
    open_store: abc.Callable[[str, client.ConnectionPool], stores.Store]


class Callbacks(typing.NamedTuple):
    """Who is told of what, and who is asked."""

    on_configuration: abc.Callable[[routes.Configuration], None]
    on_replica_removed: abc.Callable[[str], None]
    is_allocator: abc.Callable[[], bool]


class StoreWatcher:
    """Follows configuration, replicas and instances.

    The first instances in line ask the store on behalf of all; the others
    hear from their allocator, and ask where that is not enough.
    """

    def __init__(
        self,
        *,
        instance: str,
        platform: Platform,
        store: stores.Store,
        members: registration.Registration,
        clock: clocks.Clock,
        metrics: meters.Metrics,
        hooks: Callbacks,
    ) -> None:
        """Believe nothing yet; ``on_replica_removed`` gets addresses."""
        self.configuration = caches.ConfigurationCache(clock=clock)
        self.replicas = caches.ReplicaCache(clock=clock)
        self._instance = instance
        self._platform = platform
        self._store = store
        self._members = members
        self._clock = clock
        self._metrics = metrics
        self._hooks = hooks
        self._rng = random.Random(instance)
        self._replica_follower: follower.Follower | None = None
        self._newest_heard = 0

    @property
    def is_synced(self) -> bool:
        """Return whether enough is known to serve callers."""
        if self.configuration.current is None:
            return False
        listed = self.replicas.entry_cache.is_loaded or not self._allocates()
        return self._members.is_loaded and listed

    def start(self, tasks: background.Tasks) -> None:
        """Follow from now on."""
        for following in self._list_followings():
            followed = self._build_follower(following)
            if following.prefix == self._platform.replicas_prefix:
                self._replica_follower = followed
            tasks.keep_running(f'follow {following.prefix}', followed.run)

    def read_freshness(self) -> slotallocator.Freshness:
        """Return how well the configuration is known here."""
        return slotallocator.Freshness(
            self._known_version,
            self.configuration.store_age_s(),
            self.replicas.reported_age_s(),
        )

    def note_peer_freshness(self, version: int, confirmed_s: float) -> None:
        """Take an allocator's word on the configuration."""
        if not self.configuration.apply_peer_confirmation(version, confirmed_s):
            self._newest_heard = max(self._newest_heard, version)

    def list_replicas(self) -> abc.Sequence[slots.ReplicaInfo]:
        """Return the replicas that take new requests."""
        return self.replicas.list_usable()

    def is_catching_up(self) -> bool:
        """Return whether a list that is too old is just being read anew.

        It is not while the store can't be reached: then the old list is all
        there is.
        """
        followed = self._replica_follower
        if followed is None or followed.is_failing:
            return False
        return self.replicas.age_s() > _OLD_LIST_S

    def find_quota(self, customer: str) -> routes.Quota | None:
        """Return a customer's quota, None where there is none."""
        current = self.configuration.current
        return None if current is None else current.quotas.get(customer)

    def _list_followings(self) -> list[follower.Subscription]:
        platform = self._platform
        return [
            follower.Subscription(
                prefix=platform.configuration_key,
                wait_s=_CONFIGURATION_WAIT_S,
                read_pause_s=lambda: _CONFIGURATION_REST_S,
                on_list=self._take_configuration,
                on_changes=self._take_configuration,
                on_confirmed=self.configuration.confirm,
                is_needed=self._watches_configuration,
            ),
            follower.Subscription(
                prefix=platform.replicas_prefix,
                wait_s=_REPLICAS_WAIT_S,
                read_pause_s=lambda: _REPLICAS_REST_S,
                on_list=self._take_replicas,
                on_changes=self._change_replicas,
                on_confirmed=self.replicas.confirm,
                is_needed=self._allocates,
            ),
            follower.Subscription(
                prefix=registration.PREFIX,
                wait_s=_MEMBERS_WAIT_S,
                read_pause_s=self._find_members_rest_s,
                on_list=self._members.apply_list,
                on_changes=self._members.apply_changes,
                on_confirmed=_ignore_time,
                is_needed=_is_always_needed,
            ),
        ]

    def _find_members_rest_s(self) -> float:
        """Return the pause after changes of the list of instances."""
        rest_s = self._members.count_alive() * _MEMBERS_CALL_S
        return min(max(rest_s, _LEAST_MEMBERS_REST_S), _MOST_MEMBERS_REST_S)

    def _allocates(self) -> bool:
        """Return whether this instance allocates, or is next to."""
        if not self._members.is_loaded:
            return False
        first = self._members.rank_allocators()
        first = first[: slotrequester.FOLLOWER_COUNT]
        return self._instance in first or self._hooks.is_allocator()

    def _watches_configuration(self) -> bool:
        """Return whether this instance asks the store, not its peers."""
        return self._allocates() or self._needs_configuration()

    def _needs_configuration(self) -> bool:
        newer = self._newest_heard > self._known_version
        return newer or self.configuration.age_s() > _HEARSAY_AGE_S

    @property
    def _known_version(self) -> int:
        current = self.configuration.current
        return 0 if current is None else current.version

    def _build_follower(
        self, following: follower.Subscription
    ) -> follower.Follower:
        prefix = following.prefix

        def note_failure(failure: stores.StoreFailure, first: bool) -> None:
            self._note_outage()
            if first:
                self._log(
                    'store_lost',
                    prefix=prefix,
                    fault=failure.fault,
                    detail=failure.detail,
                )

        def note_regained() -> None:
            self._note_outage()
            self._log('store_regained', prefix=prefix)

        return follower.Follower(
            subscription=following,
            store=self._store,
            clock=self._clock,
            rng=self._rng,
            on_failure=note_failure,
            on_regained=note_regained,
        )

    def _note_outage(self) -> None:
        """Take no lapse of the next seconds for an end."""
        self.replicas.entry_cache.note_outage()
        self._members.note_outage()

    def _take_configuration(
        self, changes: abc.Sequence[stores.Change], asked_s: float
    ) -> None:
        for change in changes:
            if change.key != self._platform.configuration_key:
                continue
            if change.content is None:
                continue
            read = self._platform.read_configuration(change.content)
            if read.is_error():
                self._metrics.count('configurations_unreadable')
                self._log('configuration_unreadable', detail=read.error.detail)
                continue
            if self.configuration.accept(read.ok, asked_s):
                self._hooks.on_configuration(read.ok)
                self._log(
                    'configuration_accepted',
                    version=read.ok.version,
                    revision=change.revision,
                )

    def _take_replicas(
        self, changes: abc.Sequence[stores.Change], asked_s: float
    ) -> None:
        listed = dict(self._read_replicas(changes))
        self.replicas.entry_cache.replace(
            {name: each for name, each in listed.items() if each is not None}
        )
        self._log('replicas_listed', count=len(listed))

    def _read_replicas(
        self, changes: abc.Sequence[stores.Change]
    ) -> abc.Iterator[tuple[str, caches.ListedReplica | None]]:
        """Yield names and entries, None for those that can't be used."""
        for change in changes:
            name = change.key.removeprefix(self._platform.replicas_prefix)
            yield name, self._platform.read_replica(change)

    def _change_replicas(
        self, changes: abc.Sequence[stores.Change], asked_s: float
    ) -> None:
        before = self.replicas.list_usable()
        self.replicas.entry_cache.update(self._read_replicas(changes))
        after = self.replicas.list_usable()
        if after is before:
            return
        known = {info.name: info.address for info in before}
        usable = {info.name for info in after}
        for name, address in known.items():
            if name not in usable:
                self._hooks.on_replica_removed(address)
        self._log(
            'replicas_changed',
            gone=','.join(sorted(known.keys() - usable)),
            new=','.join(sorted(usable - known.keys())),
            usable=len(usable),
        )

    def _log(self, event: str, **fields: typing.Any) -> None:
        logs.write_event(_LOGGER, event, instance=self._instance, **fields)


def _ignore_time(asked_s: float) -> None:
    """Take no note of a confirmation."""


def _is_always_needed() -> bool:
    return True
