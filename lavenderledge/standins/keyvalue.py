"""The key-value stand-in: a store with the JSON gateway of etcd v3."""

import asyncio
import contextlib
import datetime
import functools
import typing
from collections import abc

import expression
from starlette import applications, requests, responses, routing, types

from lavenderledge import clock as clocks
from lavenderledge.standins import (
    admin,
    connection,
    gateway,
    limits,
    protocol,
    store,
    storeerrors,
    watches,
)

_EXPIRY_INTERVAL = datetime.timedelta(milliseconds=100)
_MAX_BODY_BYTES = 4 * limits.MAX_REQUEST_BYTES
_ALL_KEYS: protocol.WatchRequest = {'key': b'\0', 'range_end': b'\0'}
_WRITES = ('put', 'deleterange', 'txn')
_HTTP_STATUSES = {3: 400, 5: 404, 9: 400, 14: 503}

Handler: typing.TypeAlias = abc.Callable[
    [typing.Any], expression.Result[typing.Any, storeerrors.StoreError]
]


class Switches(typing.NamedTuple):
    """Faults of the service.

    ``outage`` true answers 503 and ends watches; "silent" sends no responses
    and leaves watches open without changes. ``lose_answers`` is the number
    of coming writes that take effect without a response. ``silent_watches``
    silences the watches that are open when it is set, and resets itself.
    """

    outage: bool | typing.Literal['silent'] = False
    delay_s: float = 0
    lose_answers: int = 0
    silent_watches: bool = False


class Write(typing.NamedTuple):
    """One write in the log; ``revision`` is 0 if it had no effect."""

    operation: str
    key: str
    revision: int
    took_effect: bool
    answered: bool
    time_s: float


class Method(typing.NamedTuple):
    """One RPC method: its path, request type and handler."""

    path: str
    name: str
    message_type: type
    handler: Handler
    streamed: bool = False


class KeyValue:
    """The service's state: its store, controls and open watches."""

    def __init__(
        self, *, clock: clocks.Clock, progress_interval: datetime.timedelta
    ) -> None:
        """Create a service with an empty store."""
        self.clock = clock
        self.store = store.Store(clock=clock)
        self.controls = admin.Controls(switches=Switches())
        self.streams = watches.Streams(progress_interval=progress_interval)
        self.controls.subscribe(self._apply_switches)
        self._events: list[protocol.Event] = []
        self.store.watch(_ALL_KEYS, self._collect_events)

    async def serve_method(
        self, method: Method, request: requests.Request
    ) -> types.ASGIApp:
        """Respond to one call, with the faults that the switches set."""
        self.controls.counts[method.name] += 1
        body = await request.body()
        await self._delay()
        if self.controls.switches.outage:
            return self._refuse(method)
        outcome = self._run(method, body)
        if outcome.is_error():
            return _reply_error(outcome.error)
        if self._log(method) and self.controls.consume('lose_answers'):
            return connection.drop
        response = {'result': outcome.ok} if method.streamed else outcome.ok
        return _reply(gateway.encode(response))

    async def serve_watch(self, request: requests.Request) -> types.ASGIApp:
        """Open a watch and return an app that streams its changes."""
        self.controls.counts['watch'] += 1
        body = await request.body()
        await self._delay()
        if self.controls.switches.outage:
            return self._refuse(None)
        decoded = gateway.decode(body, protocol.WatchCall)
        if decoded.is_error():
            return _reply_error(decoded.error)
        watch_request = decoded.ok.get('create_request', {})
        if not watch_request.get('key'):
            return _reply_error(storeerrors.KEY_MISSING)
        return self.streams.open(self.store, watch_request)

    async def expire_leases(self) -> None:
        """Expire leases every 100 ms until cancelled."""
        while True:
            await self.clock.sleep(_EXPIRY_INTERVAL)
            self.store.expire_leases()
            self._log_expired()

    def _run(
        self, method: Method, body: bytes
    ) -> expression.Result[typing.Any, storeerrors.StoreError]:
        if len(body) > _MAX_BODY_BYTES:
            return expression.Error(storeerrors.TOO_LARGE)
        self.store.expire_leases()
        self._log_expired()
        return gateway.decode(body, method.message_type).bind(method.handler)

    def _collect_events(self, response: protocol.WatchResponse) -> None:
        self._events.extend(response.get('events', []))

    def _take_events(self) -> list[protocol.Event]:
        events = self._events
        self._events = []
        return events

    def _log(self, method: Method) -> bool:
        events = self._take_events()
        lost = bool(events) and self.controls.switches.lose_answers > 0
        self._log_events(method.name, events, answered=not lost)
        return bool(events)

    def _log_expired(self) -> None:
        self._log_events('expiry', self._take_events(), answered=False)

    def _log_events(
        self, name: str, events: list[protocol.Event], *, answered: bool
    ) -> None:
        for event in events:
            self.controls.journal.append(
                Write(
                    operation=f'{name}:{event["type"].lower()}',
                    key=event['kv']['key'].decode(errors='backslashreplace'),
                    revision=event['kv']['mod_revision'],
                    took_effect=True,
                    answered=answered,
                    time_s=self.clock.read_wall().timestamp(),
                )
            )

    def _refuse(self, method: Method | None) -> types.ASGIApp:
        silent = self.controls.switches.outage == 'silent'
        if method is not None and method.name in _WRITES:
            self.controls.journal.append(
                Write(
                    operation=method.name,
                    key='',
                    revision=0,
                    took_effect=False,
                    answered=not silent,
                    time_s=self.clock.read_wall().timestamp(),
                )
            )
        if silent:
            return connection.leave_unanswered
        return _reply_error(storeerrors.UNAVAILABLE)

    async def _delay(self) -> None:
        if self.controls.switches.delay_s > 0:
            await self.clock.sleep(
                datetime.timedelta(seconds=self.controls.switches.delay_s)
            )

    def _apply_switches(self, switches: Switches) -> None:
        if switches.outage == 'silent' or switches.silent_watches:
            self.streams.silence()
        elif switches.outage:
            self.streams.end()
        self.controls.reset('silent_watches', False)


def build_app(service: KeyValue) -> types.ASGIApp:
    """Return the ASGI application of the service."""
    routes: list[routing.BaseRoute] = [
        admin.route('POST', method.path, service.serve_method, method)
        for method in _list_methods(service.store)
    ]
    routes.append(admin.route('POST', '/v3/watch', service.serve_watch))
    return applications.Starlette(
        routes=routes + admin.list_routes(service.controls),
        lifespan=functools.partial(_run_expiry, service),
    )


@contextlib.asynccontextmanager
async def _run_expiry(
    service: KeyValue, app: applications.Starlette
) -> abc.AsyncGenerator[None, None]:
    expiry = asyncio.create_task(service.expire_leases())
    yield
    expiry.cancel()


def _list_methods(state: store.Store) -> list[Method]:
    return [
        Method('/v3/kv/range', 'range', protocol.RangeRequest, state.range),
        Method('/v3/kv/put', 'put', protocol.PutRequest, state.put),
        Method(
            '/v3/kv/deleterange',
            'deleterange',
            protocol.DeleteRequest,
            state.delete_range,
        ),
        Method('/v3/kv/txn', 'txn', protocol.TxnRequest, state.txn),
        Method(
            '/v3/lease/grant',
            'lease_grant',
            protocol.GrantRequest,
            state.grant_lease,
        ),
        Method(
            '/v3/lease/keepalive',
            'lease_keepalive',
            protocol.LeaseRequest,
            state.renew_lease,
            streamed=True,
        ),
        Method(
            '/v3/lease/revoke',
            'lease_revoke',
            protocol.LeaseRequest,
            state.revoke_lease,
        ),
        Method(
            '/v3/lease/timetolive',
            'lease_timetolive',
            protocol.LeaseRequest,
            state.describe_lease,
        ),
    ]


def _reply(body: bytes, status: int = 200) -> responses.Response:
    return responses.Response(
        body, status_code=status, media_type='application/json'
    )


def _reply_error(error: storeerrors.StoreError) -> responses.Response:
    return admin.reply(error._asdict(), _HTTP_STATUSES[error.code])
