"""The HTTP interface of the engine stand-in."""

import asyncio
import contextlib
import typing
from collections import abc

import msgspec
from starlette import applications, requests, responses, routing, types

from lavenderledge.standins import (
    admin,
    batch,
    creation,
    delivery,
    engine,
    generation,
)

_RETRY_AFTER_S = 1


class EngineError(typing.NamedTuple):
    """A call that the engine refuses, with its HTTP status."""

    status: int
    code: str
    message: str


_UNKNOWN = EngineError(404, 'response_not_found', 'no such response')
_OVERLOADED = EngineError(503, 'overloaded', 'no new requests are taken')
_KNOWN = EngineError(409, 'duplicate_request_id', 'request_id is in use')
_FENCED = EngineError(409, 'stale_fencing', 'the fencing number is old')
_NOT_NUMBER = EngineError(400, 'invalid_request', 'not a number')


def build_app(served: engine.Engine) -> types.ASGIApp:
    """Return the engine's application."""

    @contextlib.asynccontextmanager
    async def live(
        app: applications.Starlette,
    ) -> abc.AsyncGenerator[None, None]:
        driver = asyncio.create_task(served.run())
        yield
        driver.cancel()

    routes = [*_list_response_routes(served), *_list_report_routes(served)]
    return applications.Starlette(
        routes=[*routes, *admin.list_routes(served.panel)], lifespan=live
    )


def _list_response_routes(served: engine.Engine) -> list[routing.BaseRoute]:
    async def create(request: requests.Request) -> types.ASGIApp:
        served.panel.counts['create'] += 1
        parsed = creation.parse(await request.body())
        if parsed.is_error():
            return _refuse(
                EngineError(400, 'invalid_request', parsed.error.message)
            )
        if parsed.ok['model'] != served.settings.model:
            return _refuse(EngineError(404, 'model_not_found', 'no such model'))
        if served.panel.switches.refuse:
            served.panel.counts['refused'] += 1
            return _refuse(_OVERLOADED)
        made = served.create(parsed.ok)
        if made is None:
            served.panel.counts['duplicate'] += 1
            return _refuse(_KNOWN)
        return _deliver(served, made)

    async def read(request: requests.Request) -> types.ASGIApp:
        made = served.find(request.path_params['id'])
        if made is None:
            return _refuse(_UNKNOWN)
        if request.query_params.get('stream') != 'true':
            served.panel.counts['read'] += 1
            return admin.reply(made.build_response())
        served.panel.counts['resume'] += 1
        after = request.query_params.get('starting_after')
        if after is not None and not after.isdecimal():
            return _refuse(_NOT_NUMBER)
        first = 0 if after is None else int(after) + 1
        return delivery.stream(served, made, first=first)

    async def cancel(request: requests.Request) -> types.ASGIApp:
        served.panel.counts['cancel'] += 1
        made = served.find(request.path_params['id'])
        if made is None:
            return _refuse(_UNKNOWN)
        served.cancel(made)
        return admin.reply(made.build_response())

    path = '/v1/responses/{id}'
    return [
        routing.Route('/v1/responses', create, methods=['POST']),
        routing.Route(path, read, methods=['GET']),
        routing.Route(f'{path}/cancel', cancel, methods=['POST']),
    ]


def _list_report_routes(served: engine.Engine) -> list[routing.BaseRoute]:
    async def show_metrics(request: requests.Request) -> responses.Response:
        served.panel.counts['metrics'] += 1
        return responses.PlainTextResponse(
            _render_metrics(served.settings.model, served.read_load())
        )

    async def show_events(request: requests.Request) -> responses.Response:
        served.panel.counts['kv_events'] += 1
        after = request.query_params.get('after', '0')
        if not after.isdecimal():
            return _refuse(_NOT_NUMBER)
        return admin.reply(served.read_cache_events(int(after)))

    async def show_health(request: requests.Request) -> responses.Response:
        unhealthy = served.panel.switches.unhealthy
        return admin.reply(
            {
                'model': served.settings.model,
                'replica': served.settings.replica,
            },
            503 if unhealthy else 200,
        )

    async def take_order(request: requests.Request) -> responses.Response:
        served.panel.counts['order'] += 1
        try:
            body = await admin.read_object(request)
        except msgspec.MsgspecError as error:
            return _refuse(EngineError(400, 'invalid_request', str(error)))
        if not served.obey(body):
            return _refuse(_FENCED)
        return admin.reply({'accepted': True})

    return [
        routing.Route('/metrics', show_metrics, methods=['GET']),
        routing.Route('/kv_events', show_events, methods=['GET']),
        routing.Route('/health', show_health, methods=['GET']),
        routing.Route('/orders', take_order, methods=['POST']),
    ]


def _deliver(
    served: engine.Engine, made: generation.Generation
) -> types.ASGIApp:
    silent = served.panel.take('silent_new')
    if made.body.get('stream', False):
        return delivery.stream(served, made, silent=silent)
    return delivery.answer(served, made, silent=silent)


def _refuse(error: EngineError) -> responses.Response:
    refusal = admin.reply(
        {
            'error': {
                'type': 'invalid_request_error'
                if error.status < 500
                else 'server_error',
                'code': error.code,
                'message': error.message,
            }
        },
        error.status,
    )
    if error is _OVERLOADED:
        refusal.headers['Retry-After'] = str(_RETRY_AFTER_S)
    return refusal


def _render_metrics(model: str, load: batch.Load) -> str:
    gauges = (
        ('vllm:num_requests_running', load.running),
        ('vllm:num_requests_waiting', load.waiting),
        ('vllm:gpu_cache_usage_perc', round(load.cache_usage, 4)),
    )
    return ''.join(
        f'# TYPE {name} gauge\n{name}{{model_name="{model}"}} {level}\n'
        for name, level in gauges
    )
