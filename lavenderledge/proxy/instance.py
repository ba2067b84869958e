"""One instance: start, serve, reload, graceful stop."""

import asyncio
import logging
import signal
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge import logs, timing
from lavenderledge.controllers import (
    memorywaits,
    pauselimits,
    peersecret,
    quarantinestore,
    registration,
    rolloutboard,
    rolloutcontroller,
    slotallocator,
    slotrequester,
)
from lavenderledge.daemon import metrics as meters
from lavenderledge.daemon import tasks as background
from lavenderledge.http1 import (
    bounds,
    client,
    heldbytes,
    listener,
    messages,
    server,
)
from lavenderledge.peers import keys, link, slotmessages
from lavenderledge.peers import messages as peermessages
from lavenderledge.policy import (
    memorybudget,
    retrybudget,
    routes,
    tokenbuckets,
    upstreamnotices,
)
from lavenderledge.proxy import (
    exchange,
    explanations,
    forwarding,
    shedding,
    watching,
)
from lavenderledge.proxy import settings as proxysettings
from lavenderledge.registry import timedstore

# Keys are used until this long before the limit for revoked keys: the request
# still has to reach its replica, and a watch may lag by a second.
_REVOCATION_MARGIN_S: typing.Final = 1.0
_SWEEP_INTERVAL: typing.Final = timing.seconds(0.5)
_STARTUP_RETRY_INTERVAL_S: typing.Final = 0.2
_STARTUP_RETRY_INTERVAL: typing.Final = timing.seconds(
    _STARTUP_RETRY_INTERVAL_S
)
# New requests are served this long after the stop signal. The load balancer
# checks every second and removes an instance after two failures.
_DRAIN_NOTICE_S: typing.Final = 3.0
# Running requests are aborted this long before the end of the grace period. In
# between, requests on connections that were just accepted are refused.
_ABORT_MARGIN_S: typing.Final = 0.4
_LINGER_S: typing.Final = 0.25
# A connection without a request for this long has none on its way.
_MIN_IDLE_S: typing.Final = 0.2
_IDLE_CHECK_INTERVAL_S: typing.Final = 0.05
_IDLE_CHECK_INTERVAL: typing.Final = timing.seconds(_IDLE_CHECK_INTERVAL_S)
# These bounds apply until the first configuration sets its own.
_INITIAL_HEADER_BYTES: typing.Final = 16_384
_INITIAL_BODY_BYTES: typing.Final = 4_194_304
_INITIAL_HEADER_TIMEOUT_S: typing.Final = 3.0
_INITIAL_IDLE_TIMEOUT_S: typing.Final = 15.0
_INITIAL_BOUNDS: typing.Final = bounds.Bounds(
    header_bytes=_INITIAL_HEADER_BYTES,
    body_bytes=_INITIAL_BODY_BYTES,
    header_timeout_s=_INITIAL_HEADER_TIMEOUT_S,
    idle_timeout_s=_INITIAL_IDLE_TIMEOUT_S,
)
_MILLISECONDS: typing.Final = 1000
# The gauge of an age that is not known, seconds.
_MAX_AGE_S: typing.Final = 1e6
_LOGGER = logging.getLogger(__name__)


class Instance:
    """One instance of the proxy."""

    def __init__(
        self,
        *,
        settings: proxysettings.Settings,
        platform: watching.Platform,
        clock: clocks.Clock,
    ) -> None:
        """Build all components without starting them."""
        self._settings = settings
        self._clock = clock
        self._metrics = meters.Metrics()
        self._tasks = background.Tasks(clock=clock, count=self._metrics.count)
        self._account = heldbytes.Account(
            limit_bytes=memorybudget.compute_limit(settings.memory_mb)
        )
        self._pool = client.ConnectionPool(
            clock=clock, count=self._metrics.count, account=self._account
        )
        self._store = timedstore.TimedStore(
            store=platform.open_store(str(settings.store), self._pool),
            clock=clock,
            note_call=self._note_store_call,
        )
        self._notices = upstreamnotices.NoticeBoard()
        self._incarnation = 0
        self._link: link.PeerLink | None = None
        self._secret_doubted = asyncio.Event()
        self._registration = self._build_registration()
        limits = settings.rollout_limits
        self._rollouts = None
        if limits is not None:
            self._rollouts = rolloutboard.RolloutBoard(
                instance=settings.instance,
                clock=clock,
                limits=limits,
                formats=platform.rollout_formats,
            )
        self._watcher = watching.StoreWatcher(
            instance=settings.instance,
            drain_s=settings.drain_s,
            platform=platform,
            store=self._store,
            members=self._registration,
            clock=clock,
            metrics=self._metrics,
            callbacks=watching.Callbacks(
                on_configuration=self._on_configuration,
                on_replica_removed=self._pool.close_address,
                is_allocator=self._is_allocator,
                on_restored=self._secret_doubted.set,
            ),
        )
        self._watcher.rollouts = self._rollouts
        self._watcher.features = settings.features
        self._requester = slotrequester.SlotRequester(
            instance=settings.instance,
            address=str(settings.peer_listen),
            own_state=slotrequester.OwnState(
                read_incarnation=lambda: self._incarnation,
                read_version=self._watcher.read_version,
                notices=self._notices,
                list_spendings=lambda: self._allocator.list_spendings(),
                quota_window_s=settings.quota_window_s,
            ),
            clock=clock,
            send=self._send,
            rank_allocators=self._registration.rank_allocators,
            callbacks=slotrequester.Callbacks(
                self._note_allocator,
                self._watcher.note_peer_freshness,
                lambda seconds: self._metrics.observe(
                    'peer_round_trip', seconds
                ),
                lambda peer: self._log('peer_silent', peer=peer),
                lambda peer: self._log('peer_heard', peer=peer),
                self._note_notice,
                self._watcher.apply_update,
                lambda request_id: self._log('grant_lapsed', id=request_id),
            ),
        )
        self._allocator = slotallocator.SlotAllocator(
            instance=settings.instance,
            clock=clock,
            send=self._send,
            state_reader=slotallocator.StateReader(
                list_replicas=self._watcher.list_replicas,
                find_quota=self._watcher.find_quota,
                read_freshness=self._watcher.read_freshness,
                is_catching_up=self._is_catching_up,
                note_version=self._watcher.configuration.note_peer_version,
                notices=self._notices,
                build_update=self._watcher.history.build_update,
                read_token_capacities=self._watcher.read_token_capacities,
                note_memory_waits=memorywaits.build_recorder(
                    settings.instance, self._metrics.count
                ),
                note_pause_limits=pauselimits.build_recorder(
                    settings.instance, self._metrics.count
                ),
            ),
            count_alive=self._registration.count_alive,
            tolerance=tokenbuckets.Tolerance(
                settings.quota_window_s,
                settings.quota_overrun,
                settings.quota_slack,
            ),
            on_peer_address=self._connect_peer,
            read_incarnation=lambda: self._incarnation,
        )
        self._rollout_controller = self._build_rollout_controller()
        self._quarantines = quarantinestore.QuarantineStore(
            instance=settings.instance,
            store=self._store,
            clock=clock,
            allocator=self._allocator,
            is_allocating=lambda: (
                self._is_allocator() and not self._is_catching_up()
            ),
        )
        self._forwarder = forwarding.Forwarder(
            deps=exchange.Dependencies(
                header_codec=platform.header_codec,
                clock=clock,
                configuration=self._watcher.configuration,
                requester=self._requester,
                pool=self._pool,
                metrics=self._metrics,
                age_limits=_build_age_limits(settings),
                budgets=retrybudget.RetryBudgets(
                    budget=retrybudget.Budget(
                        settings.retry_ratio,
                        settings.retry_slack,
                        settings.retry_window_s,
                    )
                ),
                confirm_replica=self._watcher.confirm_replica,
                count_instances=self._registration.count_alive,
                availability_zone=settings.availability_zone,
            ),
        )
        self._explained = explanations.Sources(
            instance=settings.instance,
            clock=clock,
            configuration=self._watcher.configuration,
            age_limits=_build_age_limits(settings),
            requester=self._requester,
            allocator=self._allocator,
            list_replicas=self._watcher.list_replicas,
            notices=self._notices,
            count_alive=self._registration.count_alive,
            is_catching_up=self._is_catching_up,
            note=self._metrics.count,
        )
        self._caller_listener = self._build_listener(
            self._forwarder.serve,
            account=self._account,
            inspect=self._forwarder.inspect,
        )
        self._ready_listener = self._build_listener(self._serve_ready)
        self._metrics_listener = self._build_listener(self._serve_metrics)
        self._shedder = shedding.Shedder(
            instance=settings.instance,
            account=self._account,
            callers=self._caller_listener,
            forwarder=self._forwarder,
            metrics=self._metrics,
        )
        self._shedder.start()
        self._stop_requested = asyncio.Event()

    def handle_signals(
        self, read_settings: abc.Callable[[], proxysettings.ReadResult]
    ) -> None:
        """Stop on SIGTERM and SIGINT, reload the settings on SIGHUP."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request_stop)
        loop.add_signal_handler(
            signal.SIGHUP, lambda: self.reload(read_settings())
        )

    def request_stop(self) -> None:
        """Start a graceful stop; further calls do nothing."""
        self._stop_requested.set()

    def reload(self, outcome: proxysettings.ReadResult) -> None:
        """Apply changed settings, or log the problems with them."""
        if outcome.is_error():
            self._log(
                'reload_failed',
                problems='; '.join(str(problem) for problem in outcome.error),
            )
            return
        settings = outcome.ok
        current = self._settings
        self._settings = current._replace(
            stop_grace_s=settings.stop_grace_s,
            revocation_ms=settings.revocation_ms,
            apply_ms=settings.apply_ms,
            log_level=settings.log_level,
        )
        self._forwarder.set_age_limits(_build_age_limits(self._settings))
        logging.getLogger().setLevel(settings.log_level.upper())
        self._log('reloaded', log_level=settings.log_level)

    async def run(self) -> None:
        """Serve until a stop is requested, then drain and close.

        Raises OSError if an address can't be bound.
        """
        await self._listen(self._caller_listener, self._settings.listen)
        await self._listen(self._ready_listener, self._settings.ready_listen)
        await self._listen(
            self._metrics_listener, self._settings.metrics_listen
        )
        self._log(
            'instance_started',
            listen=self._settings.listen,
        )
        self._watcher.start(self._tasks)
        for name, loop in (
            ('join', self._join),
            ('secret', self._keep_secret),
            ('requester', self._requester.run),
            ('allocator', self._allocator.run),
            ('quarantines', self._quarantines.run),
            ('sweep', self._enforce_timeouts),
        ):
            self._tasks.keep_running(name, loop)
        if self._rollout_controller is not None:
            self._tasks.keep_running('rollouts', self._rollout_controller.run)
        await self._stop_requested.wait()
        await self._drain()

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests here."""
        if self._stop_requested.is_set():
            return False
        cache = self._watcher.configuration
        limits = _build_age_limits(self._settings)
        if cache.is_superseded(limits.max_apply_age_s):
            return False
        fresh = cache.age_s() <= limits.max_key_age_s
        return fresh and self._watcher.is_synced

    async def _drain(self) -> None:
        """Unregister, wait for running requests, and close."""
        started_s = self._clock.read_monotonic()
        self._log(
            'stop_requested', connections=len(self._caller_listener.connections)
        )
        self._caller_listener.drain()
        await self._registration.leave()
        refuse_at_s = started_s + _DRAIN_NOTICE_S
        abort_at_s = started_s + max(
            0, self._settings.stop_grace_s - _ABORT_MARGIN_S
        )
        while self._clock.read_monotonic() < min(refuse_at_s, abort_at_s):
            await self._clock.sleep(_IDLE_CHECK_INTERVAL)
        self._forwarder.refuse_all()
        while self._clock.read_monotonic() < abort_at_s:
            self._caller_listener.close_idle(min_idle_s=_MIN_IDLE_S)
            if self._caller_listener.is_idle:
                break
            await self._clock.sleep(_IDLE_CHECK_INTERVAL)
        cut = sum(
            not connection.is_idle
            for connection in self._caller_listener.connections
        )
        self._forwarder.abandon_all()
        await self._linger()
        self._log('instance_stopped', cut=cut)
        await self.close()

    async def _linger(self) -> None:
        """Let requests arrive on connections that were just accepted."""
        await self._caller_listener.stop_accepting()
        end_s = self._clock.read_monotonic() + _LINGER_S
        while self._clock.read_monotonic() < end_s:
            self._caller_listener.close_idle(min_idle_s=_MIN_IDLE_S)
            if not self._caller_listener.connections:
                break
            await self._clock.sleep(_IDLE_CHECK_INTERVAL)

    async def close(self) -> None:
        """Close everything immediately; further calls do nothing."""
        self._caller_listener.stop()
        self._ready_listener.stop()
        self._metrics_listener.stop()
        await self._tasks.stop()
        if self._link is not None:
            await self._link.close()
            self._link = None
        self._pool.close()

    async def _join(self) -> None:
        """Load the fleet's key pair, open the peer link and register."""
        loaded = await peersecret.load(
            self._store, self._clock, own_secret=keys.generate_pair().secret
        )
        self._incarnation = loaded.incarnation
        if not self._open_link(loaded.key_pair):
            self._stop_requested.set()
            return
        self._registration.notify_addresses()
        self._log('instance_joined', incarnation=self._incarnation)
        await self._registration.run()
        await asyncio.Event().wait()

    async def _keep_secret(self) -> None:
        """After a restore of the store, write the secret again or adopt it."""
        while True:
            await self._secret_doubted.wait()
            if self._link is None:
                await self._clock.sleep(_STARTUP_RETRY_INTERVAL)
                continue
            self._secret_doubted.clear()
            pair = self._link.pair
            loaded = await peersecret.load(
                self._store, self._clock, own_secret=pair.secret
            )
            if loaded.key_pair != pair:
                await self._replace_link(loaded.key_pair)

    async def _replace_link(self, key_pair: keys.KeyPair) -> None:
        self._log('peer_secret_changed')
        former = self._link
        self._link = None
        if former is not None:
            await former.close()
        while not self._open_link(key_pair):
            await self._clock.sleep(_STARTUP_RETRY_INTERVAL)
        self._registration.notify_addresses()

    def _open_link(self, key_pair: keys.KeyPair) -> bool:
        """Open the peer link; return False if its address can't be bound."""
        peer_link = link.PeerLink(
            instance=self._settings.instance,
            listen=str(self._settings.peer_listen),
            pair=key_pair,
            on_message=self._receive,
            count=self._metrics.count,
            clock=self._clock,
        )
        started = peer_link.start()
        if started.is_error():
            self._log('link_failed', detail=started.error.detail)
            return False
        self._link = peer_link
        return True

    async def _enforce_timeouts(self) -> None:
        while True:
            self._caller_listener.enforce_timeouts()
            self._ready_listener.enforce_timeouts()
            self._metrics_listener.enforce_timeouts()
            self._pool.close_expired()
            self._shedder.sweep()
            due_s = (
                self._clock.read_monotonic() + _SWEEP_INTERVAL.total_seconds()
            )
            await self._clock.sleep(_SWEEP_INTERVAL)
            late_s = self._clock.read_monotonic() - due_s
            self._metrics.observe('loop_delay', max(0, late_s))

    async def _listen(
        self, target: listener.Listener, address: typing.Any
    ) -> None:
        await target.listen(address.host, address.port)

    def _build_registration(self) -> registration.Registration:
        settings = self._settings
        return registration.Registration(
            own=registration.Member(
                settings.instance,
                str(settings.peer_listen),
                settings.processor_share * settings.processor_speed,
            ),
            store=self._store,
            clock=self._clock,
            on_change=self._update_links,
        )

    def _build_rollout_controller(
        self,
    ) -> rolloutcontroller.RolloutController | None:
        """Return the controller, None if all versions are used."""
        if self._rollouts is None:
            return None
        state = self._allocator.slot_state
        state.open_gate = self._rollouts.open_gate
        return rolloutcontroller.RolloutController(
            fleet=rolloutcontroller.Fleet(
                instance=self._settings.instance,
                read_incarnation=lambda: self._incarnation,
                is_allocating=lambda: (
                    self._is_allocator() and self._registration.may_allocate()
                ),
                list_replicas=state.list_replicas,
            ),
            board=self._rollouts,
            store=self._store,
            clock=self._clock,
            count=self._metrics.count,
        )

    def _build_listener(
        self,
        handle: server.Handle,
        *,
        account: heldbytes.Account | None = None,
        inspect: abc.Callable[[messages.Request], server.Inspection]
        | None = None,
    ) -> listener.Listener:
        return listener.Listener(
            handle=handle,
            account=account,
            inspect=inspect,
            clock=self._clock,
            bounds=_INITIAL_BOUNDS,
            note_fault=lambda status: self._metrics.count(
                'requests_unreadable', status=status
            ),
            note_error=self._note_error,
        )

    def _note_store_call(self, name: str, seconds: float, outcome: str) -> None:
        self._metrics.count('store_calls', call=name, outcome=outcome)
        if name != 'watch':
            self._metrics.observe('store_call', seconds, call=name)

    def _note_error(self, error: BaseException) -> None:
        self._metrics.count('handler_failures')
        _LOGGER.error('handler_failed', exc_info=error)

    async def _serve_ready(
        self, request: messages.Request, reply: server.Reply
    ) -> None:
        status = messages.OK if self.is_ready else messages.UNAVAILABLE
        reply.send(status, (), b'')

    async def _serve_metrics(
        self, request: messages.Request, reply: server.Reply
    ) -> None:
        if explanations.is_question(request.target):
            answer = explanations.answer(request.target, self._explained)
            content_type = (b'Content-Type', answer.content_type)
            reply.send(answer.status, (content_type,), answer.body)
            return
        self._metrics.set_gauge(
            'alive_instances', self._registration.count_alive()
        )
        self._metrics.set_gauge(
            'configuration_version', self._watcher.read_version()
        )
        self._metrics.set_gauge(
            'configuration_age_seconds',
            min(self._watcher.configuration.age_s(), _MAX_AGE_S),
        )
        self._shedder.set_gauges()
        body, _ = self._metrics.render(())
        reply.send(messages.OK, ((b'Content-Type', b'text/plain'),), body)

    def _is_catching_up(self) -> bool:
        is_unlisted = not self._registration.may_allocate()
        return is_unlisted or self._watcher.is_catching_up()

    def _is_allocator(self) -> bool:
        return self._requester.allocator == self._settings.instance

    def _on_configuration(self, accepted: routes.Configuration) -> None:
        """Apply a newly accepted configuration."""
        self._caller_listener.replace_bounds(
            accepted.limits, overlap_s=self._settings.apply_s
        )
        self._allocator.notify_all()

    def _connect_peer(self, instance: str, address: str) -> None:
        if self._link is not None:
            self._link.connect(instance, address)

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

    def _note_notice(
        self, replica: str, notice: upstreamnotices.Notice
    ) -> None:
        limit = notice.limit_per_s
        self._metrics.count('upstream_notices')
        self._log(
            'upstream_notice',
            replica=replica,
            limit_per_s='' if limit is None else limit,
            leaving=notice.is_leaving,
            pause_s=notice.pause_s,
        )

    def _log(self, event: str, **fields: typing.Any) -> None:
        logs.write_event(
            _LOGGER, event, instance=self._settings.instance, **fields
        )


def _build_age_limits(settings: proxysettings.Settings) -> exchange.AgeLimits:
    return exchange.AgeLimits(
        max_key_age_s=settings.revocation_s - _REVOCATION_MARGIN_S,
        max_apply_age_s=settings.apply_s,
    )
