"""Builds the controllers of an instance and connects them."""

import random

import aiohttp

from lavenderledge import clock as clocks
from lavenderledge import outcomes
from lavenderledge.controllers import (
    admission,
    allocator,
    claims,
    directory,
    load,
    membership,
    table,
    tablefeed,
)
from lavenderledge.daemon import metrics as meters
from lavenderledge.daemon import settings as daemonsettings
from lavenderledge.daemon import tasks as background
from lavenderledge.filters import exchange
from lavenderledge.peers import link, messages
from lavenderledge.policy import rendezvous
from lavenderledge.policy import table as tables
from lavenderledge.registry import groupcommit, instancelist, keyvalue
from lavenderledge.upstreams import observation

TABLE_WATCHER_COUNT = 2

_BASELINE_POLICIES = frozenset(('round-robin', 'least-loaded'))
_WATCH_KEY = 'lavenderledge/table-watch'
_MS_PER_S = 1000


class Controllers:
    """The controllers of an instance and their connections."""

    def __init__(
        self,
        *,
        settings: daemonsettings.Settings,
        clock: clocks.Clock,
        metrics: meters.Metrics,
        tasks: background.Tasks,
        session: aiohttp.ClientSession,
        polling_session: aiohttp.ClientSession,
    ) -> None:
        """Build all controllers; ``start`` runs them."""
        self.granted: dict[str, exchange.Exchange] = {}
        self._settings = settings
        self._metrics = metrics
        self._clock = clock
        self._incarnation = int(clock.read_wall().timestamp() * _MS_PER_S)
        self.link = link.PeerLink(
            instance=settings.instance,
            listen=str(settings.peer_listen),
            pair=settings.peer_secret_key,
            accepted_keys=settings.peer_accepted_keys,
            on_message=self._receive,
            count=metrics.count,
            clock=clock,
        )
        store = keyvalue.KeyValue(session=session, addresses=settings.keyvalue)
        self.table = self._build_table()
        self._feed = self._build_feed(store)
        self.claims = claims.Claims(
            instance=settings.instance,
            commits=groupcommit.GroupCommit(store=store),
            clock=clock,
            count_retry=self.count_retry,
            run_detached=tasks.run_detached,
        )
        self.directory = self._build_directory(polling_session)
        self.admission = self._build_admission()
        self.allocator = self._build_allocator()
        self.load = load.LoadPoller(
            observer=observation.Observer(session=polling_session),
            clock=clock,
            receiver=self.allocator,
            list_pools=self.list_allocated,
            list_replicas=self.directory.list_ready_endpoints,
            note_readiness=self.directory.note_readiness,
            count_failure=lambda what: metrics.count(
                'upstream_report_failures', what=what
            ),
        )
        self._membership: membership.Membership | None = None

    @property
    def membership(self) -> membership.Membership:
        """Return the membership, which ``start`` builds."""
        assert self._membership is not None
        return self._membership

    def start(self, tasks: background.Tasks) -> None:
        """Join the fleet and run every controller on the bound link."""
        self._membership = membership.Membership(
            own=messages.Member(
                instance=self._settings.instance,
                incarnation=self._incarnation,
                heartbeat=0,
                leaving=False,
                availability_zone=self._settings.availability_zone,
                address=str(self._settings.peer_address or self.link.address),
                table_revision=0,
            ),
            clock=self._clock,
            rng=random.Random(self._incarnation),
            send=self.link.send,
            on_change=self.link.update,
            read_table_revision=lambda: self.table.revision,
        )
        loops: tuple[tuple[str, background.Loop], ...] = (
            ('membership', self.membership.run),
            ('table', self._feed.run),
            ('directory', self.directory.run),
            ('load', self.load.run),
            ('admission', self.admission.run),
            ('allocator', self.allocator.run),
        )
        for name, loop in loops:
            tasks.keep_running(name, loop)

    def count_retry(self, reason: str) -> None:
        """Count one retry in the metrics."""
        self._metrics.count('retries', reason=reason)

    def find_allocator(self, pool: str) -> str | None:
        """Return the allocator of a pool in this instance's membership view."""
        if (
            self._settings.policy in _BASELINE_POLICIES
            or self._membership is None
        ):
            return self._settings.instance
        alive = self._membership.list_alive()
        return rendezvous.pick(pool, alive) or self._settings.instance

    def is_allocator(self, pool: str) -> bool:
        """Return whether this instance may allocate the pool now."""
        if self._settings.policy in _BASELINE_POLICIES:
            return True
        if self._membership is None or not self._membership.is_settled():
            return False
        return self.find_allocator(pool) == self._settings.instance

    def list_allocated(self) -> list[str]:
        """Return the pools that this instance may allocate now."""
        pools = self.directory.list_pools()
        return [pool for pool in pools if self.is_allocator(pool)]

    def has_pool(self, pool: str) -> bool:
        """Return whether the table names the pool."""
        in_force = self.table.in_force
        return in_force is not None and pool in in_force.rows.pools

    def match_row(
        self, identity: exchange.Identity, pool: str
    ) -> tables.Row | None:
        """Return the row that matches a request, or None."""
        in_force = self.table.in_force
        if in_force is None:
            return None
        return in_force.rows.match_row(
            customer=identity.customer, pool=pool, kind=identity.kind
        )

    def find_row(self, name: str) -> tables.Row | None:
        """Return the row with this name in the table in force, or None."""
        in_force = self.table.in_force
        return None if in_force is None else in_force.rows.find_row(name)

    def _build_table(self) -> table.TableController:
        return table.TableController(
            instance=self._settings.instance,
            clock=self._clock,
            on_change=self._notify_neighbours,
            send_to=self.link.send,
            count=self._count_table_event,
        )

    def _build_feed(self, store: keyvalue.KeyValue) -> tablefeed.TableFeed:
        return tablefeed.TableFeed(
            controller=self.table,
            keyvalue=store,
            clock=self._clock,
            rng=random.Random(self._incarnation),
            is_watcher=self._is_watcher,
            read_fleet_size=self._count_alive,
            count=self._count_table_event,
        )

    def _build_directory(
        self, session: aiohttp.ClientSession
    ) -> directory.Directory:
        return directory.Directory(
            source=instancelist.InstanceList(
                session=session, address=self._settings.instance_list
            ),
            clock=self._clock,
            on_instances=lambda listed: self.membership.apply_instance_list(
                listed
            ),
            count_failure=lambda kind: self._metrics.count(
                'instance_list_failures', kind=kind
            ),
        )

    def _build_admission(self) -> admission.Admission:
        return admission.Admission(
            instance=self._settings.instance,
            incarnation=self._incarnation,
            clock=self._clock,
            send=self._send,
            find_allocator=self.find_allocator,
            on_preempt=self._preempt,
            list_pools=self.directory.list_pools,
            find_priority=self._find_priority,
        )

    def _build_allocator(self) -> allocator.Allocator:
        return allocator.Allocator(
            instance=self._settings.instance,
            clock=self._clock,
            send=self._send,
            list_replicas=self.directory.list_replicas,
            find_row=self.find_row,
            is_allocator=self.is_allocator,
            count_alive=self._count_instances,
            policy=self._settings.policy,
        )

    def _notify_neighbours(self, in_force: table.TableInForce) -> None:
        if self._membership is not None:
            self._membership.notify_neighbours()

    def _count_table_event(self, event: table.Event) -> None:
        self._metrics.count('table_events', event=event.value)

    def _is_watcher(self) -> bool:
        return rendezvous.is_among_first(
            _WATCH_KEY,
            self._settings.instance,
            self.membership.list_alive(),
            TABLE_WATCHER_COUNT,
        )

    def _count_alive(self) -> int:
        return len(self.membership.list_alive())

    def _count_instances(self) -> int:
        if self._settings.policy in _BASELINE_POLICIES:
            return 1
        return self.membership.count_instances()

    def _find_priority(self, name: str) -> tuple[int, float] | None:
        row = self.find_row(name)
        return None if row is None else (row.tier, row.weight)

    def _preempt(self, request_id: str) -> None:
        current = self.granted.get(request_id)
        if current is not None and current.interrupt is not None:
            current.interrupt(outcomes.Reason.PREEMPTED)

    def _send(self, instance: str, message: messages.Message) -> None:
        self.link.send(instance, message)

    def _receive(self, message: messages.Message) -> None:
        match message:
            case messages.Heartbeat():
                self._receive_heartbeat(message)
            case messages.TableRequest():
                self.table.answer_request(message)
            case messages.TableCopy():
                self.table.accept_copy(message)
            case messages.Report() | messages.NewAsk() | messages.Release():
                self.allocator.receive(message)
            case messages.Grant() | messages.Refuse() | messages.Preempt():
                self.admission.receive(message)

    def _receive_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        self.membership.receive(heartbeat)
        newest = max(
            heartbeat.members,
            key=lambda member: (
                member.table_revision,
                member.instance == heartbeat.sender,
            ),
            default=None,
        )
        if newest is not None:
            self.table.note_peer_revision(
                newest.instance, newest.table_revision
            )
