"""The plain stand-in: echoes requests and counts the runs of each key."""

import collections
import datetime
import hashlib
import http
import typing

from starlette import applications, requests, responses, routing, types

from lavenderledge import clock as clocks
from lavenderledge.standins import admin, connection

_METHODS = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE']


class Switches(typing.NamedTuple):
    """Faults of the service.

    ``refuse`` answers 503 before the run and ``fail`` answers 500 after it.
    ``close_before`` and ``close_after`` are the number of coming calls whose
    connection is closed without a response, before or after the run.
    ``silent`` runs calls and sends no response.
    """

    slowdown_s: float = 0
    refuse: bool = False
    fail: bool = False
    close_before: int = 0
    close_after: int = 0
    silent: bool = False
    unhealthy: bool = False


class Run(typing.NamedTuple):
    """One run in the log; ``run`` is the number of runs of its key."""

    method: str
    path: str
    key: str
    request_id: str
    customer: str
    run: int
    time_s: float
    monotonic_s: float


class Echo(typing.TypedDict):
    """The response to a call that ran."""

    service: str
    method: str
    path: str
    key: str
    run: int
    body_sha256: str


class PlainService:
    """The service's state: its switches and the runs of each key."""

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        name: str,
        call_duration: datetime.timedelta,
    ) -> None:
        """Create a service; each call takes ``call_duration``."""
        self.controls = admin.Controls(switches=Switches())
        self.runs: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self._name = name
        self._call_duration = call_duration

    async def serve(self, request: requests.Request) -> types.ASGIApp:
        """Respond to one call, with the faults that the switches set."""
        body = await request.body()
        self.controls.counts['call'] += 1
        if self.controls.consume('close_before'):
            return connection.drop
        if self.controls.switches.refuse:
            refusal = admin.reply(
                {'error': 'refused'}, http.HTTPStatus.SERVICE_UNAVAILABLE
            )
            refusal.headers['Retry-After'] = '1'
            return refusal
        run = self._record(request)
        await self._clock.sleep(
            self._call_duration
            + datetime.timedelta(seconds=self.controls.switches.slowdown_s)
        )
        if self.controls.switches.silent:
            return connection.leave_unanswered
        if self.controls.consume('close_after'):
            return connection.drop
        if self.controls.switches.fail:
            return admin.reply(
                {'error': 'failed'}, http.HTTPStatus.INTERNAL_SERVER_ERROR
            )
        return admin.reply(self._build_echo(run, body))

    def _record(self, request: requests.Request) -> Run:
        key = request.headers.get('idempotency-key', '')
        request_id = request.headers.get('x-request-id', '')
        for name in filter(None, (key, request_id)):
            self.runs[name] += 1
        run = Run(
            method=request.method,
            path=request.url.path,
            key=key,
            request_id=request_id,
            customer=request.headers.get('x-customer', ''),
            run=self.runs[key or request_id],
            time_s=self._clock.read_wall().timestamp(),
            monotonic_s=self._clock.read_monotonic(),
        )
        self.controls.journal.append(run)
        return run

    def _build_echo(self, run: Run, body: bytes) -> Echo:
        return {
            'service': self._name,
            'method': run.method,
            'path': run.path,
            'key': run.key,
            'run': run.run,
            'body_sha256': hashlib.sha256(body).hexdigest(),
        }


def build_app(service: PlainService) -> types.ASGIApp:
    """Return the ASGI application of the service."""
    return applications.Starlette(
        routes=[
            *admin.list_routes(service.controls),
            admin.route('GET', '/standin/runs', _show_runs, service),
            admin.route('GET', '/health', _show_health, service),
            routing.Route('/{path:path}', service.serve, methods=_METHODS),
        ]
    )


async def _show_runs(
    service: PlainService, request: requests.Request
) -> responses.Response:
    return admin.reply(service.runs)


async def _show_health(
    service: PlainService, request: requests.Request
) -> responses.Response:
    return admin.reply_health(
        {}, is_healthy=not service.controls.switches.unhealthy
    )
