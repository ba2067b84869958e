"""The life of one routed instance: start, serve, reload, graceful stop."""

import asyncio
import logging
import random
import signal
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge import logs, timing
from lavenderledge.controllers import (
    beliefs,
    follower,
    registration,
    slotallocator,
    slotrequester,
)
from lavenderledge.daemon import metrics as meters
from lavenderledge.daemon import tasks as background
from lavenderledge.http1 import client, messages, server
from lavenderledge.peers import keys, link
from lavenderledge.peers import messages as peermessages
from lavenderledge.peers import slots as slotmessages
from lavenderledge.policy import retrybudget, routes
from lavenderledge.proxy import calls, exchange, forwarding
from lavenderledge.proxy import settings as configuration
from lavenderledge.registry import store as stores

SECRET_KEY: typing.Final = 'lavenderledge/peer-secret'

# A key's use ends this long before the bound on its revocation, seconds: the
# request still has to reach its replica, and a watch may lag by a second.
_REVOCATION_MARGIN_S: typing.Final = 1.0
_SWEEP: typing.Final = timing.seconds(0.5)
_STARTUP_RETRY: typing.Final = timing.seconds(0.2)
# The balancer asks every second and takes an instance out after two misses.
_NOTICE_S: typing.Final = 3.0
# What is left of the grace period when running requests are cut, seconds.
_CUT_MARGIN_S: typing.Final = 0.4
_IDLE_CHECK: typing.Final = timing.seconds(0.05)
# How many instances, the first in line, ask the store on behalf of all.
WATCHERS: typing.Final = 3
# An instance whose peers told it nothing fresher asks the store itself,
# seconds: a configuration is to be in force within two.
_HEARSAY_AGE_S: typing.Final = 1.8
_CONFIGURATION_WAIT_S: typing.Final = 0.5
_REPLICAS_WAIT_S: typing.Final = 5.0
_REPLICAS_REST_S: typing.Final = 0.4
_MEMBERS_WAIT_S: typing.Final = 10.0
_MEMBERS_REST_S: typing.Final = 0.5
_CONFIGURATION_REST_S: typing.Final = 0.05
_START_BOUNDS: typing.Final = server.Bounds(16384, 4 << 20, 3.0, 15.0)
_MILLISECONDS: typing.Final = 1000
_LOGGER = logging.getLogger(__name__)

ReadConfiguration: typing.TypeAlias = abc.Callable[[bytes], typing.Any]


class Platform(typing.NamedTuple):
    """What the adapter of a platform gives: formats, names and a store."""

    dialect: calls.Dialect
    configuration_key: str
    replicas_prefix: str
    read_configuration: ReadConfiguration
    read_replica: abc.Callable[[stores.Change], beliefs.ListedReplica | None]
    open_store: abc.Callable[[str, client.Pool, clocks.Clock], stores.Store]


class Instance:
    """One running instance."""

    def __init__(
        self,
        *,
        settings: configuration.Settings,
        platform: Platform,
        clock: clocks.Clock,
    ) -> None:
        """Build everything; nothing runs yet."""
        self._settings = settings
        self._platform = platform
        self._clock = clock
        self._metrics = meters.Metrics()
        self._tasks = background.Tasks(clock=clock, count=self._metrics.count)
        self._pool = client.Pool(clock=clock, count=self._metrics.count)
        self._store = platform.open_store(
            str(settings.store), self._pool, clock
        )
        self._incarnation = int(clock.read_wall().timestamp() * _MILLISECONDS)
        self._rng = random.Random(f'{settings.instance}{self._incarnation}')
        self._configuration = beliefs.ConfigurationBelief(clock=clock)
        self._replicas = beliefs.ReplicaBelief(clock=clock)
        self._link: link.PeerLink | None = None
        self._registration = self._build_registration()
        self._requester = slotrequester.SlotRequester(
            instance=settings.instance,
            incarnation=self._incarnation,
            clock=clock,
            send=self._send,
            rank_allocators=self._registration.rank_allocators,
            note_allocator=self._note_allocator,
            note_knowledge=self._note_knowledge,
            read_age_s=self._configuration.own_age_s,
        )
        self._allocator = slotallocator.SlotAllocator(
            instance=settings.instance,
            clock=clock,
            send=self._send,
            list_replicas=self._replicas.list_usable,
            find_quota=self._find_quota,
            count_alive=self._registration.count_alive,
            read_knowledge=self._read_knowledge,
        )
        self._forwarder = forwarding.Forwarder(
            settings=_bound_exchanges(settings),
            parts=forwarding.Parts(
                dialect=platform.dialect,
                clock=clock,
                configuration=self._configuration,
                requester=self._requester,
                pool=self._pool,
                metrics=self._metrics,
                count_instances=self._registration.count_alive,
            ),
        )
        self._entry = self._build_listener(self._forwarder.serve)
        self._ready = self._build_listener(self._answer_ready)
        self._exposition = self._build_listener(self._answer_metrics)
        self._stop_requested = asyncio.Event()
        self._store_lost: set[str] = set()
        self._newest_heard = 0

    def handle_signals(
        self, read_settings: abc.Callable[[], configuration.Read]
    ) -> None:
        """Stop on SIGTERM and SIGINT, read the settings anew on SIGHUP."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request_stop)
        loop.add_signal_handler(
            signal.SIGHUP, lambda: self.reload(read_settings())
        )

    def request_stop(self) -> None:
        """Begin a graceful stop; repeats do nothing."""
        self._stop_requested.set()

    def reload(self, read: configuration.Read) -> None:
        """Take changed settings; those with problems change nothing."""
        if read.is_error():
            self._log(
                'reload_failed',
                problems='; '.join(str(each) for each in read.error),
            )
            return
        settings = read.ok
        fixed = self._settings
        self._settings = fixed._replace(
            stop_grace_s=settings.stop_grace_s,
            revocation_ms=settings.revocation_ms,
            apply_ms=settings.apply_ms,
            log_level=settings.log_level,
        )
        self._forwarder.settings = _bound_exchanges(self._settings)
        logging.getLogger().setLevel(settings.log_level.upper())
        self._log('reloaded', log_level=settings.log_level)

    async def run(self) -> None:
        """Serve until a stop is requested and everything has ended.

        Raises OSError where an address can't be bound.
        """
        await self._listen(self._entry, self._settings.listen)
        await self._listen(self._ready, self._settings.ready_listen)
        await self._listen(self._exposition, self._settings.metrics_listen)
        self._log(
            'instance_started',
            incarnation=self._incarnation,
            listen=self._settings.listen,
        )
        for following in self._list_followings():
            self._follow(following)
        for name, loop in (
            ('join', self._join),
            ('requester', self._requester.run),
            ('allocator', self._allocator.run),
            ('sweep', self._sweep),
        ):
            self._tasks.keep_running(name, loop)
        await self._stop_requested.wait()
        await self._drain()

    @property
    def is_ready(self) -> bool:
        """Return whether callers should be sent here."""
        if self._stop_requested.is_set():
            return False
        known = self._configuration.current is not None
        fresh = (
            self._configuration.age_s()
            <= self._settings.revocation_s - _REVOCATION_MARGIN_S
        )
        listed = self._replicas.listing.is_known or not self._allocates()
        return known and fresh and listed

    async def _drain(self) -> None:
        """Leave the fleet, end what runs, and close."""
        begun_s = self._clock.read_monotonic()
        self._log('stop_requested', connections=len(self._entry.connections))
        self._entry.drain()
        await self._registration.leave()
        refuse_s = begun_s + _NOTICE_S
        cut_s = begun_s + max(0, self._settings.stop_grace_s - _CUT_MARGIN_S)
        while self._clock.read_monotonic() < min(refuse_s, cut_s):
            await self._clock.sleep(_IDLE_CHECK)
        self._forwarder.refuses_all = True
        while self._clock.read_monotonic() < cut_s:
            self._entry.close_idle()
            if self._entry.is_idle:
                break
            await self._clock.sleep(_IDLE_CHECK)
        cut = sum(not each.is_idle for each in self._entry.connections)
        self._log('instance_stopped', cut=cut)
        await self.close()

    async def close(self) -> None:
        """Close everything at once; repeats do nothing."""
        self._entry.stop()
        self._ready.stop()
        self._exposition.stop()
        await self._tasks.stop()
        if self._link is not None:
            await self._link.close()
            self._link = None
        self._pool.close()

    def _list_followings(self) -> list[follower.Following]:
        platform = self._platform
        return [
            follower.Following(
                prefix=platform.configuration_key,
                wait_s=_CONFIGURATION_WAIT_S,
                rest_s=_CONFIGURATION_REST_S,
                on_list=self._take_configuration,
                on_changes=self._take_configuration,
                on_confirmed=self._configuration.confirm,
                is_needed=self._watches_configuration,
            ),
            follower.Following(
                prefix=platform.replicas_prefix,
                wait_s=_REPLICAS_WAIT_S,
                rest_s=_REPLICAS_REST_S,
                on_list=self._take_replicas,
                on_changes=self._change_replicas,
                on_confirmed=_ignore_time,
                is_needed=self._allocates,
            ),
            follower.Following(
                prefix=registration.PREFIX,
                wait_s=_MEMBERS_WAIT_S,
                rest_s=_MEMBERS_REST_S,
                on_list=self._registration.take_list,
                on_changes=self._registration.take_changes,
                on_confirmed=_ignore_time,
                is_needed=_is_always_needed,
            ),
        ]

    def _allocates(self) -> bool:
        """Return whether this instance allocates, or is next to."""
        name = self._settings.instance
        first = self._registration.rank_allocators()[:WATCHERS]
        return name in first or self._requester.allocator == name

    def _watches_configuration(self) -> bool:
        """Return whether this instance asks the store, not its peers."""
        return self._allocates() or self._needs_configuration()

    def _needs_configuration(self) -> bool:
        newer = self._newest_heard > self._known_version
        return newer or self._configuration.age_s() > _HEARSAY_AGE_S

    @property
    def _known_version(self) -> int:
        current = self._configuration.current
        return 0 if current is None else current.version

    def _read_knowledge(self) -> slotallocator.Knowledge:
        return slotallocator.Knowledge(
            self._known_version, self._configuration.own_age_s()
        )

    def _note_knowledge(self, version: int, confirmed_s: float) -> None:
        if not self._configuration.hear(version, confirmed_s):
            self._newest_heard = max(self._newest_heard, version)

    def _follow(self, following: follower.Following) -> None:
        prefix = following.prefix

        def note_lost(failure: stores.StoreFailure) -> None:
            self._replicas.listing.note_outage()
            self._registration.note_outage()
            if prefix not in self._store_lost:
                self._store_lost.add(prefix)
                self._log(
                    'store_lost',
                    prefix=prefix,
                    fault=failure.fault,
                    detail=failure.detail,
                )

        def note_regained() -> None:
            self._replicas.listing.note_outage()
            self._registration.note_outage()
            self._store_lost.discard(prefix)
            self._log('store_regained', prefix=prefix)

        followed = follower.Follower(
            following=following,
            store=self._store,
            clock=self._clock,
            rng=self._rng,
            on_lost=note_lost,
            on_regained=note_regained,
        )
        self._tasks.keep_running(f'follow {prefix}', followed.run)

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
            if self._configuration.accept(read.ok, asked_s):
                self._apply_limits(read.ok.limits)
                self._allocator.tell_all()
                self._log(
                    'configuration_accepted',
                    version=read.ok.version,
                    revision=change.revision,
                )

    def _apply_limits(self, limits: routes.Limits) -> None:
        self._entry.bounds = server.Bounds(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        )

    def _take_replicas(
        self, changes: abc.Sequence[stores.Change], asked_s: float
    ) -> None:
        prefix = self._platform.replicas_prefix
        listed = {
            change.key.removeprefix(prefix): self._platform.read_replica(change)
            for change in changes
        }
        self._replicas.listing.replace(
            {name: each for name, each in listed.items() if each is not None}
        )
        self._log('replicas_listed', count=len(listed))

    def _change_replicas(
        self, changes: abc.Sequence[stores.Change], asked_s: float
    ) -> None:
        prefix = self._platform.replicas_prefix
        before = self._replicas.list_usable()
        self._replicas.listing.update(
            {
                change.key.removeprefix(prefix): self._platform.read_replica(
                    change
                )
                for change in changes
            }
        )
        after = self._replicas.list_usable()
        if after is before:
            return
        known = {info.name: info.address for info in before}
        usable = {info.name for info in after}
        for name, address in known.items():
            if name not in usable:
                self._pool.drop(address)
        self._log(
            'replicas_changed',
            gone=','.join(sorted(known.keys() - usable)),
            new=','.join(sorted(usable - known.keys())),
            usable=len(usable),
        )

    async def _join(self) -> None:
        """Take the fleet's key, open the links and stay registered."""
        pair = await self._find_pair()
        opened = link.PeerLink(
            instance=self._settings.instance,
            listen=str(self._settings.peer_listen),
            pair=pair,
            on_message=self._receive,
            count=self._metrics.count,
            clock=self._clock,
        )
        started = opened.start()
        if started.is_error():
            self._log('link_failed', detail=started.error.detail)
            self._stop_requested.set()
            return
        self._link = opened
        await self._registration.run()
        await asyncio.Event().wait()

    async def _find_pair(self) -> keys.KeyPair:
        """Return the pair that the first instance has put into the store."""
        while True:
            listed = await self._store.list_keys(SECRET_KEY)
            if listed.is_error():
                await self._clock.sleep(_STARTUP_RETRY)
                continue
            for change in listed.ok.changes:
                parsed = keys.parse_secret((change.content or b'').decode())
                if parsed.is_ok():
                    return parsed.ok
            await self._store.create(SECRET_KEY, keys.generate_pair().secret)

    async def _sweep(self) -> None:
        while True:
            self._entry.sweep()
            self._ready.sweep()
            self._exposition.sweep()
            self._pool.sweep()
            await self._clock.sleep(_SWEEP)

    async def _listen(
        self, listener: server.Listener, address: typing.Any
    ) -> None:
        await listener.listen(address.host, address.port)

    def _build_registration(self) -> registration.Registration:
        settings = self._settings
        return registration.Registration(
            own=registration.Member(
                settings.instance,
                self._incarnation,
                str(settings.peer_listen),
            ),
            store=self._store,
            clock=self._clock,
            on_change=self._update_links,
        )

    def _build_listener(self, handle: server.Handle) -> server.Listener:
        return server.Listener(
            handle=handle,
            clock=self._clock,
            bounds=_START_BOUNDS,
            note_fault=lambda status: self._metrics.count(
                'requests_unreadable', status=status
            ),
            note_error=self._note_error,
        )

    def _note_error(self, error: BaseException) -> None:
        self._metrics.count('handler_failures')
        _LOGGER.error('handler_failed', exc_info=error)

    async def _answer_ready(
        self, request: messages.Request, reply: server.Reply
    ) -> None:
        status = messages.OK if self.is_ready else messages.UNAVAILABLE
        reply.send(status, (), b'')

    async def _answer_metrics(
        self, request: messages.Request, reply: server.Reply
    ) -> None:
        self._metrics.set_gauge(
            'alive_instances', self._registration.count_alive()
        )
        body, _ = self._metrics.render(())
        reply.send(messages.OK, ((b'Content-Type', b'text/plain'),), body)

    def _find_quota(self, customer: str) -> routes.Quota | None:
        current = self._configuration.current
        if current is None:
            return None
        return current.quotas.get(customer)

    def _update_links(self, addresses: abc.Mapping[str, str]) -> None:
        if self._link is not None:
            self._link.update(addresses)

    def _send(self, instance: str, message: slotmessages.Message) -> None:
        if instance == self._settings.instance:
            asyncio.get_running_loop().call_soon(self._receive, message)
        elif self._link is not None:
            self._link.send(instance, message)

    def _receive(self, message: peermessages.Message) -> None:
        match message:
            case (
                slotmessages.Ask()
                | slotmessages.Release()
                | slotmessages.Report()
            ):
                self._allocator.receive(message)
            case (
                slotmessages.Grant()
                | slotmessages.Refusal()
                | slotmessages.Beat()
            ):
                self._requester.receive(message)

    def _note_allocator(self, before: str, after: str) -> None:
        self._metrics.count('allocator_changes')
        self._log('allocator_changed', before=before, after=after)

    def _log(self, event: str, **fields: typing.Any) -> None:
        logs.write_event(
            _LOGGER, event, instance=self._settings.instance, **fields
        )


def _bound_exchanges(settings: configuration.Settings) -> exchange.Settings:
    return exchange.Settings(
        most_key_age_s=settings.revocation_s - _REVOCATION_MARGIN_S,
        most_reject_age_s=settings.apply_s,
        budget=retrybudget.Budget(
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window_s,
        ),
    )


def _is_always_needed() -> bool:
    return True


def _ignore_time(asked_s: float) -> None:
    """Take no note of a confirmation."""
