"""Keeps an instance's cached state up to date from the store and peers."""

import functools
import logging
import random
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge import logs, timing
from lavenderledge.controllers import (
    caches,
    configurationhistory,
    follower,
    registration,
    rolloutboard,
    slotallocator,
    slotrequester,
)
from lavenderledge.daemon import metrics as meters
from lavenderledge.daemon import tasks as background
from lavenderledge.http1 import client
from lavenderledge.peers import slotmessages
from lavenderledge.policy import routes, slots
from lavenderledge.proxy import headercodec
from lavenderledge.registry import store as stores

# Requests are sent by lists of replicas that were correct this long before the
# end of a replica's drain time, or later: they still have to arrive.
_DRAIN_MARGIN_S: typing.Final = 0.4
_MIN_LIST_AGE_RATIO: typing.Final = 0.5
# The store is asked this long before a list becomes too old, so that requests
# need not wait for its answer.
_LIST_REREAD_MARGIN_S: typing.Final = 0.3
# An instance follows the replicas for this long after it was granted one from
# an old list.
_LIST_FOLLOW_S: typing.Final = 2.0
# A request waits for a recent list for this long. A store that takes longer is
# taken as unreachable, and then the old list is used.
_LIST_WAIT_S: typing.Final = 0.3
_LIST_CHECK_INTERVAL_S: typing.Final = 0.01
_LIST_CHECK_INTERVAL: typing.Final = timing.seconds(_LIST_CHECK_INTERVAL_S)
# An instance whose configuration is older reads the store itself: a
# configuration must be applied within two seconds.
_MAX_RECEIVED_AGE_S: typing.Final = 1.8
# A restored store may list replicas again that had left. Those that live write
# their entry again within two seconds; the others' entries expire later.
_LEFT_HOLD_S: typing.Final = 5.0
# The timeout of one watch of a prefix, and the pause after changes, which
# combines several changes into one call.
_CONFIGURATION_WAIT_S: typing.Final = 0.5
_CONFIGURATION_PAUSE_S: typing.Final = 0.05
_REPLICAS_WAIT_S: typing.Final = 0.5
_REPLICAS_PAUSE_S: typing.Final = 0.2
# A watch whose answer is lost delays an order by up to this and a second; the
# shortest roll-outs have 10 s.
_ROLLOUTS_WAIT_S: typing.Final = 3.0
_ROLLOUTS_PAUSE_S: typing.Final = 0.05
_MEMBERS_WAIT_S: typing.Final = 10.0
# Instances that may allocate watch the list of instances. Together they make at
# most one call per interval; the pause of an instance is bounded.
_MEMBERS_CALL_INTERVAL_S: typing.Final = 0.02
_MIN_MEMBERS_PAUSE_S: typing.Final = 0.5
_MAX_MEMBERS_PAUSE_S: typing.Final = 3.0
# The others poll it: they need it only to find another allocator, and a watch
# of each would be answered at each start and stop in the fleet.
_MEMBERS_POLL_S: typing.Final = 3.0
# In a smaller fleet, watches cost little.
_MIN_POLLED_MEMBERS: typing.Final = 8
# A larger configuration is not read again just to confirm it: on a slow link
# that takes a tenth of a second or more.
_LARGE_CONFIGURATION_BYTES: typing.Final = 65_536
_MILLISECONDS: typing.Final = 1000
_LOGGER = logging.getLogger(__name__)

ReadConfiguration: typing.TypeAlias = abc.Callable[
    [bytes, abc.Collection[str]], typing.Any
]


class Platform(typing.NamedTuple):
    """What a platform's adapter provides: formats, names and a store.

    ``read_configuration`` gets a document and the deployment's features.
    """

    header_codec: headercodec.HeaderCodec
    configuration_key: str
    replicas_prefix: str
    read_configuration: ReadConfiguration
    read_replica: abc.Callable[[stores.Change], caches.ListedReplica | None]
    rollout_formats: rolloutboard.Formats
    open_store: abc.Callable[[str, client.ConnectionPool], stores.Store]


class Callbacks(typing.NamedTuple):
    """Functions that a watcher calls.

    ``on_replica_removed`` gets the address of a replica that is not usable
    any more. ``on_restored`` is called when the store was restored from a
    copy, possibly several times.
    """

    on_configuration: abc.Callable[[routes.Configuration], None]
    on_replica_removed: abc.Callable[[str], None]
    is_allocator: abc.Callable[[], bool]
    on_restored: abc.Callable[[], None]


class StoreWatcher:
    """Watches configuration, replicas and instances.

    Instances that allocate, or are next to, watch the store. The others
    receive the configuration's freshness from their allocator and read the
    store only if that is not enough.
    """

    def __init__(
        self,
        *,
        instance: str,
        drain_s: float,
        platform: Platform,
        store: stores.Store,
        members: registration.Registration,
        clock: clocks.Clock,
        metrics: meters.Metrics,
        callbacks: Callbacks,
    ) -> None:
        """Create a watcher with empty caches.

        ``drain_s`` is how long a replica takes requests after it says that it
        leaves.
        """
        self.configuration = caches.ConfigurationCache(clock=clock)
        self.history = configurationhistory.ConfigurationHistory()
        self.replicas = caches.ReplicaCache(clock=clock)
        self._instance = instance
        self._platform = platform
        self._store = store
        self._members = members
        self._clock = clock
        self._metrics = metrics
        self._callbacks = callbacks
        self.features: abc.Collection[str] = ()
        # Gets the orders of roll-outs; without it they are not read.
        self.rollouts: rolloutboard.RolloutBoard | None = None
        self._rng = random.Random(instance)
        self._max_list_age_s = max(
            drain_s - _DRAIN_MARGIN_S, drain_s * _MIN_LIST_AGE_RATIO
        )
        self._replicas_needed_until_s = float('-inf')
        self._configuration_bytes = 0
        self._configuration_follower: follower.Follower | None = None
        self._replica_follower: follower.Follower | None = None
        self._held_left: abc.Set[str] = frozenset()
        self._held_until_s = float('-inf')

    @property
    def is_synced(self) -> bool:
        """Return whether all that is needed to serve callers was read."""
        if self.configuration.current is None:
            return False
        has_replicas = (
            self.replicas.entry_cache.is_loaded or not self._allocates()
        )
        return self._members.is_loaded and has_replicas

    def start(self, tasks: background.Tasks) -> None:
        """Start the tasks that watch the store."""
        for subscription in self._list_subscriptions():
            store_follower = self._build_follower(subscription)
            if subscription.prefix == self._platform.replicas_prefix:
                self._replica_follower = store_follower
            if subscription.prefix == self._platform.configuration_key:
                self._configuration_follower = store_follower
            tasks.keep_running(
                f'follow {subscription.prefix}', store_follower.run
            )

    def read_freshness(self) -> slotallocator.Freshness:
        """Return the version and the ages of the cached state."""
        return slotallocator.Freshness(
            self.read_version(),
            self.configuration.store_age_s(),
            self.replicas.reported_age_s(),
        )

    def read_version(self) -> int:
        """Return the version of the configuration, 0 without one."""
        current = self.configuration.current
        return 0 if current is None else current.version

    def note_peer_freshness(self, version: int, confirmed_s: float) -> None:
        """Record the version that an allocator has and when it was right."""
        was_outdated = self.configuration.is_outdated
        self.configuration.apply_peer_confirmation(version, confirmed_s)
        if self.configuration.is_outdated and not was_outdated:
            if self._configuration_follower is not None:
                self._configuration_follower.list_again()
            self._log(
                'configuration_outdated',
                version=self.read_version(),
                newest=version,
            )

    def apply_update(
        self, update: slotmessages.ConfigurationUpdate, confirmed_s: float
    ) -> None:
        """Apply a peer's update of the configuration.

        One that can't be applied is ignored: the store has the version too.
        """
        if update.version <= self.read_version():
            return
        stored = self.history.apply(update)
        if stored is None:
            self._metrics.count('configuration_updates_unusable')
            return
        parsed = self._parse_configuration(stored.content)
        if parsed is None:
            return
        if self.configuration.accept_from_peer(parsed, confirmed_s):
            if self._configuration_follower is not None:
                self._configuration_follower.skip_to(
                    stored.revision, stored.era
                )
            self._note_accepted(parsed, stored, confirmed_s, source='peer')

    def list_replicas(self) -> abc.Sequence[slots.ReplicaInfo]:
        """Return the replicas that take new requests."""
        return self.replicas.list_usable()

    def is_catching_up(self) -> bool:
        """Return whether the list of replicas is too old and being reread.

        It is False while the store can't be reached: then the old list is
        used.
        """
        if self._has_lost_replicas:
            return False
        return self.replicas.age_s() > self._max_list_age_s

    async def confirm_replica(self, name: str, listed_s: float) -> bool:
        """Return whether a granted replica may get a request now.

        A peer's list had it at ``listed_s`` (monotonic). If that list and the
        own one are too old, the store is asked; if it does not answer, the old
        list is used.
        """
        give_up_s = self._clock.read_monotonic() + _LIST_WAIT_S
        standing = self._judge_replica(name, listed_s)
        while standing is caches.Standing.UNCONFIRMED:
            is_over = self._clock.read_monotonic() >= give_up_s
            if self._has_lost_replicas or is_over:
                self._metrics.count('unconfirmed_replicas')
                return True
            await self._clock.sleep(_LIST_CHECK_INTERVAL)
            standing = self._judge_replica(name, listed_s)
        return standing is caches.Standing.LISTED

    def find_quota(self, customer: str) -> routes.Quota | None:
        """Return a customer's quota, None if there is none."""
        current = self.configuration.current
        return None if current is None else current.quotas.get(customer)

    def read_token_capacities(self) -> abc.Mapping[str, int]:
        """Return the token capacity of the replicas of limited services."""
        current = self.configuration.current
        return {} if current is None else current.token_capacities

    @property
    def _has_lost_replicas(self) -> bool:
        """Return whether the last call for the replicas failed or is late."""
        store_follower = self._replica_follower
        return store_follower is None or not store_follower.is_answered

    def _judge_replica(self, name: str, listed_s: float) -> caches.Standing:
        now_s = self._clock.read_monotonic()
        if now_s - listed_s > self._max_list_age_s - _LIST_REREAD_MARGIN_S:
            self._replicas_needed_until_s = now_s + _LIST_FOLLOW_S
        return self.replicas.judge(
            name, listed_s=listed_s, max_age_s=self._max_list_age_s
        )

    def _list_subscriptions(self) -> list[follower.Subscription]:
        platform = self._platform
        return [
            follower.Subscription(
                prefix=platform.configuration_key,
                wait_s=_CONFIGURATION_WAIT_S,
                read_pause_s=lambda: _CONFIGURATION_PAUSE_S,
                on_list=self._accept_configuration,
                on_changes=self._accept_configuration,
                on_confirmed=self.configuration.confirm,
                is_needed=self._must_watch_configuration,
                is_large=self._has_large_configuration,
            ),
            follower.Subscription(
                prefix=platform.replicas_prefix,
                wait_s=_REPLICAS_WAIT_S,
                read_pause_s=lambda: _REPLICAS_PAUSE_S,
                on_list=self._replace_replicas,
                on_changes=self._update_replicas,
                on_confirmed=self._confirm_replicas,
                is_needed=self._must_watch_replicas,
                is_large=_is_never_large,
            ),
            follower.Subscription(
                prefix=registration.PREFIX,
                wait_s=_MEMBERS_WAIT_S,
                read_pause_s=self._find_members_pause_s,
                on_list=self._members.apply_list,
                on_changes=self._members.apply_changes,
                on_confirmed=_ignore_confirmation,
                is_needed=_is_always_needed,
                is_large=_is_never_large,
                read_poll_s=self._find_members_poll_s,
            ),
            *self._list_rollout_subscriptions(),
        ]

    def _list_rollout_subscriptions(self) -> list[follower.Subscription]:
        board = self.rollouts
        if board is None:
            return []
        formats = self._platform.rollout_formats
        return [
            follower.Subscription(
                prefix=prefix,
                wait_s=_ROLLOUTS_WAIT_S,
                read_pause_s=_find_rollouts_pause_s,
                on_list=on_list,
                on_changes=on_changes,
                on_confirmed=functools.partial(board.confirm, prefix),
                is_needed=self._allocates,
                is_large=_is_never_large,
            )
            for prefix, on_list, on_changes in (
                (
                    formats.orders_prefix,
                    board.replace_orders,
                    board.update_orders,
                ),
                (
                    formats.records_prefix,
                    board.replace_records,
                    board.update_records,
                ),
            )
        ]

    def _find_members_poll_s(self) -> float:
        """Return the pause between two listings of instances, 0 to watch.

        A list without this instance is not complete yet.
        """
        ranked = self._members.rank_allocators()
        is_small = len(ranked) < _MIN_POLLED_MEMBERS
        if is_small or self._instance not in ranked or self._allocates():
            return 0
        return _MEMBERS_POLL_S

    def _find_members_pause_s(self) -> float:
        """Return the pause after changes of the instance list, in seconds."""
        pause_s = self._members.count_alive() * _MEMBERS_CALL_INTERVAL_S
        return min(max(pause_s, _MIN_MEMBERS_PAUSE_S), _MAX_MEMBERS_PAUSE_S)

    def _allocates(self) -> bool:
        """Return whether this instance allocates or is a successor."""
        if not self._members.is_loaded:
            return False
        candidates = self._members.rank_allocators()
        candidates = candidates[: slotrequester.FOLLOWER_COUNT]
        return self._instance in candidates or self._callbacks.is_allocator()

    def _must_watch_replicas(self) -> bool:
        """Return whether this instance reads the list of replicas."""
        now_s = self._clock.read_monotonic()
        return self._allocates() or now_s < self._replicas_needed_until_s

    def _must_watch_configuration(self) -> bool:
        """Return whether this instance reads the configuration's key."""
        return self._allocates() or self._lacks_configuration()

    def _has_large_configuration(self) -> bool:
        return self._configuration_bytes > _LARGE_CONFIGURATION_BYTES

    def _lacks_configuration(self) -> bool:
        is_old = self.configuration.age_s() > _MAX_RECEIVED_AGE_S
        return is_old or self.configuration.is_outdated

    def _build_follower(
        self, subscription: follower.Subscription
    ) -> follower.Follower:
        prefix = subscription.prefix

        def report_failure(
            failure: stores.StoreFailure, is_first: bool
        ) -> None:
            self._note_outage()
            if is_first:
                self._log(
                    'store_lost',
                    prefix=prefix,
                    fault=failure.fault,
                    detail=failure.detail,
                )

        def report_regained(failures: int) -> None:
            self._note_outage()
            self._log('store_regained', prefix=prefix, failures=failures)

        def report_restored(era: int) -> None:
            # Entries that the copy lacks are written again.
            self._note_outage()
            self._members.note_era(era)
            if prefix == self._platform.replicas_prefix:
                self._hold_left_replicas()
            self._callbacks.on_restored()
            self._metrics.count('store_restores')
            self._log('store_restored', prefix=prefix, era=era)

        return follower.Follower(
            subscription=subscription,
            store=self._store,
            clock=self._clock,
            rng=self._rng,
            on_failure=report_failure,
            on_regained=report_regained,
            on_restored=report_restored,
        )

    def _hold_left_replicas(self) -> None:
        """Treat replicas that left as leaving until they write an entry."""
        self._held_left = self.replicas.list_left()
        self._held_until_s = self._clock.read_monotonic() + _LEFT_HOLD_S

    def _confirm_replicas(self, requested_s: float) -> None:
        self.replicas.confirm(requested_s)
        if self._held_left and requested_s > self._held_until_s:
            self._held_left = frozenset()
            if self._replica_follower is not None:
                self._replica_follower.list_again()

    def _note_outage(self) -> None:
        """Keep entries that expire in the next seconds because of an outage."""
        self.replicas.entry_cache.note_outage()
        self._members.note_outage()

    def _accept_configuration(
        self, changes: abc.Sequence[stores.Change], requested_s: float
    ) -> None:
        for change in changes:
            is_configuration = change.key == self._platform.configuration_key
            if is_configuration and change.content is not None:
                self._accept_content(
                    change.content, change.revision, requested_s
                )

    def _accept_content(
        self, content: bytes, revision: int, requested_s: float
    ) -> None:
        parsed = self._parse_configuration(content)
        if parsed is None or not self.configuration.accept(parsed, requested_s):
            return
        store_follower = self._configuration_follower
        era = 0 if store_follower is None else store_follower.era
        stored = configurationhistory.Stored(
            parsed.version, revision, era, content
        )
        self._note_accepted(parsed, stored, requested_s, source='store')

    def _parse_configuration(
        self, content: bytes
    ) -> routes.Configuration | None:
        parsed = self._platform.read_configuration(content, self.features)
        if parsed.is_error():
            self._metrics.count('configurations_unreadable')
            self._log('configuration_unreadable', detail=parsed.error.detail)
            return None
        return typing.cast(routes.Configuration, parsed.ok)

    def _note_accepted(
        self,
        accepted: routes.Configuration,
        stored: configurationhistory.Stored,
        requested_s: float,
        *,
        source: str,
    ) -> None:
        self.history.add(stored)
        self._configuration_bytes = len(stored.content)
        self._callbacks.on_configuration(accepted)
        self._log(
            'configuration_accepted',
            version=stored.version,
            revision=stored.revision,
            source=source,
            size_bytes=len(stored.content),
            read_ms=self._measure_ms(requested_s),
        )

    def _replace_replicas(
        self, changes: abc.Sequence[stores.Change], requested_s: float
    ) -> None:
        replicas = dict(self._read_replicas(changes))
        self.replicas.entry_cache.replace(
            {
                name: entry._replace(is_ready=False)
                if name in self._held_left
                else entry
                for name, entry in replicas.items()
                if entry is not None
            }
        )
        self._log('replicas_listed', count=len(replicas))

    def _read_replicas(
        self, changes: abc.Sequence[stores.Change]
    ) -> abc.Iterator[tuple[str, caches.ListedReplica | None]]:
        """Yield names and entries, None for entries that are unusable."""
        for change in changes:
            name = change.key.removeprefix(self._platform.replicas_prefix)
            yield name, self._platform.read_replica(change)

    def _update_replicas(
        self, changes: abc.Sequence[stores.Change], requested_s: float
    ) -> None:
        before = self.replicas.list_usable()
        self.replicas.entry_cache.update(self._read_replicas(changes))
        after = self.replicas.list_usable()
        if after is before:
            return
        addresses = {info.name: info.address for info in before}
        usable = {info.name for info in after}
        for name, address in addresses.items():
            if name not in usable:
                self._callbacks.on_replica_removed(address)
        self._log(
            'replicas_changed',
            gone=','.join(sorted(addresses.keys() - usable)),
            new=','.join(sorted(usable - addresses.keys())),
            usable=len(usable),
        )

    def _measure_ms(self, since_s: float) -> int:
        return round((self._clock.read_monotonic() - since_s) * _MILLISECONDS)

    def _log(self, event: str, **fields: typing.Any) -> None:
        logs.write_event(_LOGGER, event, instance=self._instance, **fields)


def _ignore_confirmation(requested_s: float) -> None:
    """Ignore a confirmation."""


def _find_rollouts_pause_s() -> float:
    return _ROLLOUTS_PAUSE_S


def _is_always_needed() -> bool:
    return True


def _is_never_large() -> bool:
    return False
