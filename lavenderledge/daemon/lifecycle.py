"""Lifecycle of an instance: start, serve, stop gracefully."""

import asyncio
import logging
import signal
import socket
import typing
from collections import abc

import expression

import lavenderledge
from lavenderledge import clock as clocks
from lavenderledge import logs, timing
from lavenderledge.daemon import admin, application, callers
from lavenderledge.daemon import controllers as daemoncontrollers
from lavenderledge.daemon import metrics as meters
from lavenderledge.daemon import server as servers
from lavenderledge.daemon import settings as daemonsettings
from lavenderledge.daemon import tasks as background
from lavenderledge.filters import dispatch
from lavenderledge.peers import link
from lavenderledge.registry import keyvalue
from lavenderledge.upstreams import connection, observation

_DETACHED_TIMEOUT_S = 30.0
_FLUSH_TIMEOUT_S = 10.0
_IDLE_CHECK_INTERVAL_S = 0.1
_SUPERSESSION_CHECK_INTERVAL_S = 1.0
# Far above the limit filter's bound, so that it refuses first, by tier.
_IN_FLIGHT_FACTOR = 16
_LOGGER = logging.getLogger(__name__)

Failure: typing.TypeAlias = servers.ListenFailure | link.ListenFailure


class Addresses(typing.NamedTuple):
    """The listen addresses of an instance, each as ``host:port``."""

    listen: str
    admin: str
    peer: str


class _Sockets(typing.NamedTuple):
    callers: socket.socket
    admin: socket.socket


class Instance:
    """One running instance."""

    def __init__(
        self, *, settings: daemonsettings.Settings, clock: clocks.Clock
    ) -> None:
        """Build the instance in the event loop that will run it."""
        self._settings = settings
        self._clock = clock
        self._metrics = meters.Metrics()
        self._tasks = background.Tasks(clock=clock, count=self._metrics.count)
        self._session = keyvalue.open_session()
        self._polling_session = observation.open_session()
        self._controllers = daemoncontrollers.Controllers(
            settings=settings,
            clock=clock,
            metrics=self._metrics,
            tasks=self._tasks,
            session=self._session,
            polling_session=self._polling_session,
        )
        self._client = connection.UpstreamClient(
            connect_timeout_s=settings.connect_timeout.total_seconds()
        )
        self._interface = callers.CallerInterface(
            clock=clock,
            metrics=self._metrics,
            max_body_bytes=settings.max_body_bytes,
            max_in_flight=settings.max_requests * _IN_FLIGHT_FACTOR,
        )
        self._leaving = False
        self._stop_requested = asyncio.Event()
        self._stop_forced = asyncio.Event()

    def request_stop(self) -> None:
        """Start a graceful stop; a second call forces an immediate stop."""
        if self._stop_requested.is_set():
            self._stop_forced.set()
        self._stop_requested.set()

    def handle_signals(self) -> None:
        """Request a stop on SIGTERM and SIGINT."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request_stop)

    async def run(
        self, on_started: abc.Callable[[Addresses], None]
    ) -> 'expression.Result[None, Failure]':
        """Serve until a requested stop is complete."""
        bound = self._bind()
        if bound.is_error():
            await self._close()
            return expression.Error(bound.error)
        sockets = bound.ok
        caller_server = servers.build_server(self._build_application())
        admin_server = servers.build_server(self._build_admin())
        serving = [
            asyncio.create_task(caller_server.serve([sockets.callers])),
            asyncio.create_task(admin_server.serve([sockets.admin])),
        ]
        self._controllers.start(self._tasks)
        self._tasks.keep_running('supersession', self._watch_supersession)
        addresses = Addresses(
            servers.read_address(sockets.callers),
            servers.read_address(sockets.admin),
            self._controllers.link.address,
        )
        self._log(
            'instance_started',
            listen=addresses.listen,
            admin=addresses.admin,
            peer=addresses.peer,
        )
        on_started(addresses)
        await self._stop_requested.wait()
        await self._drain(caller_server, serving[0])
        admin_server.should_exit = True
        admin_server.force_exit = True
        await asyncio.gather(*serving, return_exceptions=True)
        await self._close()
        self._log('instance_stopped', forced=self._stop_forced.is_set())
        return expression.Ok(None)

    async def _drain(
        self, caller_server: servers.Server, serving: 'asyncio.Task[None]'
    ) -> None:
        """Leave the fleet, wait the notice period, finish open requests."""
        self._leaving = True
        self._log('instance_leaving', in_flight=self._interface.in_flight)
        self._controllers.membership.mark_leaving()
        await self._wait_unless_forced(
            self._clock.sleep(self._settings.notice_period)
        )
        caller_server.should_exit = True
        await self._wait_unless_forced(self._finish_work())
        await self._wait_unless_forced(_flush(serving))
        caller_server.force_exit = True

    async def _watch_supersession(self) -> None:
        """Stop gracefully if a newer process has this instance's name."""
        while not self._controllers.membership.is_superseded():
            await self._clock.sleep(
                timing.seconds(_SUPERSESSION_CHECK_INTERVAL_S)
            )
        self._log('instance_superseded_stops')
        self._stop_requested.set()
        await self._stop_forced.wait()

    async def _finish_work(self) -> None:
        while self._interface.in_flight:
            await self._clock.sleep(timing.seconds(_IDLE_CHECK_INTERVAL_S))
        unfinished = await self._tasks.finish_detached(
            timeout_s=_DETACHED_TIMEOUT_S
        )
        if unfinished:
            self._log('detached_work_left', count=unfinished)

    async def _wait_unless_forced(self, work: abc.Awaitable[None]) -> None:
        waiting = asyncio.ensure_future(work)
        forced = asyncio.create_task(self._stop_forced.wait())
        await asyncio.wait(
            (waiting, forced), return_when=asyncio.FIRST_COMPLETED
        )
        waiting.cancel()
        forced.cancel()

    async def _close(self) -> None:
        await self._tasks.stop()
        await self._controllers.link.close()
        await self._client.close()
        await self._session.close()
        await self._polling_session.close()

    def _bind(self) -> 'expression.Result[_Sockets, Failure]':
        caller_socket = servers.bind_socket(self._settings.listen)
        if caller_socket.is_error():
            return expression.Error(caller_socket.error)
        admin_socket = servers.bind_socket(self._settings.admin_listen)
        if admin_socket.is_error():
            caller_socket.ok.close()
            return expression.Error(admin_socket.error)
        link_started = self._controllers.link.start()
        if link_started.is_error():
            caller_socket.ok.close()
            admin_socket.ok.close()
            return expression.Error(link_started.error)
        return expression.Ok(_Sockets(caller_socket.ok, admin_socket.ok))

    def _build_application(self) -> typing.Any:
        settings = self._settings
        return application.build_application(
            settings=settings,
            clock=self._clock,
            controllers=self._controllers,
            context=dispatch.Context(
                client=self._client,
                clock=self._clock,
                requests=self._controllers.admission,
                silence_timeout_s=settings.silence_timeout.total_seconds(),
                lost_timeout_s=settings.lost_timeout.total_seconds(),
                max_answer_bytes=settings.max_answer_bytes,
                count_retry=self._controllers.count_retry,
                run_detached=self._tasks.run_detached,
            ),
            interface=self._interface,
            ready=admin.make_ready_endpoint(self._read_health),
        )

    def _build_admin(self) -> typing.Any:
        return admin.build_admin(
            metrics=self._metrics,
            read_health=self._read_health,
            read_status=self._read_status,
            update_gauges=self._update_gauges,
        )

    def _read_health(self) -> admin.Health:
        reasons = []
        if self._leaving:
            reasons.append('leaving')
        if self._controllers.table.in_force is None:
            reasons.append('no table in force')
        if not self._controllers.directory.list_pools():
            reasons.append('no upstream is listed')
        return admin.Health(not reasons, tuple(reasons))

    def _read_status(self) -> dict[str, object]:
        controllers = self._controllers
        table = controllers.table.read_status()
        return {
            'instance': self._settings.instance,
            'availability_zone': self._settings.availability_zone,
            'version': lavenderledge.__version__,
            'policy': self._settings.policy,
            'ready': self._read_health().ready,
            'leaving': self._leaving,
            'in_flight': self._interface.in_flight,
            'waiting': controllers.admission.count_waiting(),
            'running': len(controllers.granted),
            'table_revision': table.revision,
            'table_refused_revision': table.refused_revision,
            'table_problems': table.problems,
            'pools': controllers.list_allocated(),
            'membership': controllers.membership.describe(),
            'allocations': controllers.allocator.describe(),
        }

    def _update_gauges(self) -> None:
        controllers = self._controllers
        gauges = {
            'in_flight_requests': self._interface.in_flight,
            'waiting_requests': controllers.admission.count_waiting(),
            'table_revision': controllers.table.revision,
            'alive_instances': len(controllers.membership.list_alive()),
            'allocated_pools': len(controllers.list_allocated()),
        }
        for name, amount in gauges.items():
            self._metrics.set_gauge(name, amount)
        for traffic in controllers.link.list_traffic():
            labels = {'kind': traffic.kind, 'direction': traffic.direction}
            self._metrics.set_gauge('peer_messages', traffic.messages, **labels)
            self._metrics.set_gauge('peer_bytes', traffic.size_bytes, **labels)

    def _log(self, event: str, **fields: object) -> None:
        fields['instance'] = self._settings.instance
        logs.write_event(_LOGGER, event, level=logging.INFO, **fields)


async def _flush(serving: 'asyncio.Task[None]') -> None:
    """Wait until callers have received what was sent, up to a limit."""
    await asyncio.wait((serving,), timeout=_FLUSH_TIMEOUT_S)
