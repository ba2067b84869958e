"""The key-value stand-in: a store behind etcd's v3 JSON gateway."""

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
    storeerrors,
    store,
    watches,
)

_EXPIRY_INTERVAL = datetime.timedelta(milliseconds=100)
_BODY_LIMIT_BYTES = 4 * limits.MAX_REQUEST_BYTES
_EVERY_KEY: protocol.WatchRequest = {'key': b'\0', 'range_end': b'\0'}
_WRITES = ('put', 'deleterange', 'txn')
_HTTP_STATUSES = {3: 400, 5: 404, 9: 400, 14: 503}

Handler: typing.TypeAlias = abc.Callable[
    [typing.Any], expression.Result[typing.Any, storeerrors.StoreError]
]


class Switches(typing.NamedTuple):
    """How the service misbehaves.

    ``outage`` true answers 503 and ends watches; "silent" answers nothing
    and leaves watches open without changes. ``lose_answers`` counts the next
    writes that take effect unanswered. ``silent_watches`` silences the
    watches that are open when it is set, and resets itself.
    """

    outage: bool | typing.Literal['silent'] = False
    delay_s: float = 0
    lose_answers: int = 0
    silent_watches: bool = False


class Write(typing.NamedTuple):
    """One write in the log; ``revision`` 0 where it had no effect."""

    operation: str
    key: str
    revision: int
    took_effect: bool
    answered: bool
    time_s: float


class Method(typing.NamedTuple):
    """One kind of call: its path, message form and what it does."""

    path: str
    kind: str
    message_type: type
    handler: Handler
    streamed: bool = False


class KeyValue:
    """The service's state: its store, panel and open watches."""

    def __init__(
        self, *, clock: clocks.Clock, progress_interval: datetime.timedelta
    ) -> None:
        """Start with an empty store."""
        self.clock = clock
        self.store = store.Store(clock=clock)
        self.controls = admin.Controls(switches=Switches())
        self.streams = watches.Streams(progress_interval=progress_interval)
        self.controls.subscribe(self._apply)
        self._written: list[protocol.Event] = []
        self.store.watch(_EVERY_KEY, self._collect)

    async def serve_call(
        self, call: Method, request: requests.Request
    ) -> types.ASGIApp:
        """Answer one call as the switches say."""
        self.controls.counts[call.kind] += 1
        body = await request.body()
        await self._delay()
        if self.controls.switches.outage:
            return self._refuse(call)
        outcome = self._run(call, body)
        if outcome.is_error():
            return _reply_error(outcome.error)
        if self._log(call) and self.controls.consume('lose_answers'):
            return connection.drop
        answer = {'result': outcome.ok} if call.streamed else outcome.ok
        return _reply(gateway.encode(answer))

    async def serve_watch(self, request: requests.Request) -> types.ASGIApp:
        """Open a watch, and stream its changes until it is closed."""
        self.controls.counts['watch'] += 1
        body = await request.body()
        await self._delay()
        if self.controls.switches.outage:
            return self._refuse(None)
        decoded = gateway.decode(body, protocol.WatchCall)
        if decoded.is_error():
            return _reply_error(decoded.error)
        wanted = decoded.ok.get('create_request', {})
        if not wanted.get('key'):
            return _reply_error(storeerrors.KEY_MISSING)
        return self.streams.open(self.store, wanted)

    async def expire_leases(self) -> None:
        """End leases as their time comes, until cancelled."""
        while True:
            await self.clock.sleep(_EXPIRY_INTERVAL)
            self.store.expire_leases()
            self._log_expired()

    def _run(
        self, call: Method, body: bytes
    ) -> expression.Result[typing.Any, storeerrors.StoreError]:
        if len(body) > _BODY_LIMIT_BYTES:
            return expression.Error(storeerrors.TOO_LARGE)
        self.store.expire_leases()
        self._log_expired()
        return gateway.decode(body, call.message_type).bind(call.handler)

    def _collect(self, answer: protocol.WatchResponse) -> None:
        self._written.extend(answer.get('events', []))

    def _take_written(self) -> list[protocol.Event]:
        written = self._written
        self._written = []
        return written

    def _log(self, call: Method) -> bool:
        written = self._take_written()
        lost = bool(written) and self.controls.switches.lose_answers > 0
        self._append(call.kind, written, answered=not lost)
        return bool(written)

    def _log_expired(self) -> None:
        self._append('expiry', self._take_written(), answered=False)

    def _append(
        self, kind: str, written: list[protocol.Event], *, answered: bool
    ) -> None:
        for event in written:
            self.controls.journal.append(
                Write(
                    operation=f'{kind}:{event["type"].lower()}',
                    key=event['kv']['key'].decode(errors='backslashreplace'),
                    revision=event['kv']['mod_revision'],
                    took_effect=True,
                    answered=answered,
                    time_s=self.clock.read_wall().timestamp(),
                )
            )

    def _refuse(self, call: Method | None) -> types.ASGIApp:
        silent = self.controls.switches.outage == 'silent'
        if call is not None and call.kind in _WRITES:
            self.controls.journal.append(
                Write(
                    operation=call.kind,
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

    def _apply(self, switches: Switches) -> None:
        if switches.outage == 'silent' or switches.silent_watches:
            self.streams.silence()
        elif switches.outage:
            self.streams.end()
        self.controls.reset('silent_watches', False)


def build_app(service: KeyValue) -> types.ASGIApp:
    """Return the service's application."""
    routes: list[routing.BaseRoute] = [
        admin.route('POST', call.path, service.serve_call, call)
        for call in _list_calls(service.store)
    ]
    routes.append(admin.route('POST', '/v3/watch', service.serve_watch))
    return applications.Starlette(
        routes=routes + admin.list_routes(service.controls),
        lifespan=functools.partial(_live, service),
    )


@contextlib.asynccontextmanager
async def _live(
    service: KeyValue, app: applications.Starlette
) -> abc.AsyncGenerator[None, None]:
    expiry = asyncio.create_task(service.expire_leases())
    yield
    expiry.cancel()


def _list_calls(kept: store.Store) -> list[Method]:
    return [
        Method('/v3/kv/range', 'range', protocol.RangeRequest, kept.range),
        Method('/v3/kv/put', 'put', protocol.PutRequest, kept.put),
        Method(
            '/v3/kv/deleterange',
            'deleterange',
            protocol.DeleteRequest,
            kept.delete_range,
        ),
        Method('/v3/kv/txn', 'txn', protocol.TxnRequest, kept.txn),
        Method(
            '/v3/lease/grant',
            'lease_grant',
            protocol.GrantRequest,
            kept.grant_lease,
        ),
        Method(
            '/v3/lease/keepalive',
            'lease_keepalive',
            protocol.LeaseRequest,
            kept.renew_lease,
            streamed=True,
        ),
        Method(
            '/v3/lease/revoke',
            'lease_revoke',
            protocol.LeaseRequest,
            kept.revoke_lease,
        ),
        Method(
            '/v3/lease/timetolive',
            'lease_timetolive',
            protocol.LeaseRequest,
            kept.describe_lease,
        ),
    ]


def _reply(body: bytes, status: int = 200) -> responses.Response:
    return responses.Response(
        body, status_code=status, media_type='application/json'
    )


def _reply_error(error: storeerrors.StoreError) -> responses.Response:
    return admin.reply(error._asdict(), _HTTP_STATUSES[error.code])
