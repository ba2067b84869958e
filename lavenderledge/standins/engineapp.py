"""The HTTP interface of the engine stand-in."""

import asyncio
import contextlib
import functools
import http
import typing
from collections import abc

import msgspec
from starlette import applications, requests, responses, types

from lavenderledge.standins import (
    admin,
    batch,
    delivery,
    engines,
    generations,
    requestbody,
)

_RETRY_AFTER_S = 1


class EngineError(typing.NamedTuple):
    """An error response of the engine, with its HTTP status."""

    status: int
    code: str
    message: str


_UNKNOWN = EngineError(
    http.HTTPStatus.NOT_FOUND, 'response_not_found', 'no such response'
)
_OVERLOADED = EngineError(
    http.HTTPStatus.SERVICE_UNAVAILABLE,
    'overloaded',
    'no new requests are taken',
)
_DUPLICATE = EngineError(
    http.HTTPStatus.CONFLICT, 'duplicate_request_id', 'request_id is in use'
)
_FENCED = EngineError(
    http.HTTPStatus.CONFLICT, 'stale_fencing', 'the fencing number is old'
)
_NO_MODEL = EngineError(
    http.HTTPStatus.NOT_FOUND, 'model_not_found', 'no such model'
)


def build_app(engine: engines.Engine) -> types.ASGIApp:
    """Return the ASGI application of the engine."""
    path = '/v1/responses/{id}'
    return applications.Starlette(
        routes=[
            admin.route('POST', '/v1/responses', _create, engine),
            admin.route('GET', path, _read, engine),
            admin.route('POST', f'{path}/cancel', _cancel, engine),
            admin.route('GET', '/metrics', _show_metrics, engine),
            admin.route('GET', '/kv_events', _show_events, engine),
            admin.route('GET', '/health', _show_health, engine),
            admin.route('POST', '/orders', _apply_order, engine),
            *admin.list_routes(engine.controls),
        ],
        lifespan=functools.partial(_run_engine, engine),
    )


@contextlib.asynccontextmanager
async def _run_engine(
    engine: engines.Engine, app: applications.Starlette
) -> abc.AsyncGenerator[None, None]:
    driver = asyncio.create_task(engine.run())
    yield
    driver.cancel()


async def _create(
    engine: engines.Engine, request: requests.Request
) -> types.ASGIApp:
    engine.controls.counts['create'] += 1
    parsed = requestbody.parse(await request.body())
    if parsed.is_error():
        return _refuse_malformed(parsed.error.message)
    if parsed.ok['model'] != engine.settings.model:
        return _refuse(_NO_MODEL)
    if engine.controls.switches.refuse:
        engine.controls.counts['refused'] += 1
        return _refuse(_OVERLOADED)
    generation = engine.create(parsed.ok)
    if generation is None:
        engine.controls.counts['duplicate'] += 1
        return _refuse(_DUPLICATE)
    return _deliver(engine, generation)


async def _read(
    engine: engines.Engine, request: requests.Request
) -> types.ASGIApp:
    generation = engine.find(request.path_params['id'])
    if generation is None:
        return _refuse(_UNKNOWN)
    if request.query_params.get('stream') != 'true':
        engine.controls.counts['read'] += 1
        return admin.reply(generation.build_response())
    engine.controls.counts['resume'] += 1
    after = request.query_params.get('starting_after')
    if after is None:
        return delivery.build_event_stream(engine, generation)
    if not after.isdecimal():
        return _refuse_malformed('starting_after is not a number')
    return delivery.build_event_stream(
        engine, generation, first_event=int(after) + 1
    )


async def _cancel(
    engine: engines.Engine, request: requests.Request
) -> types.ASGIApp:
    engine.controls.counts['cancel'] += 1
    generation = engine.find(request.path_params['id'])
    if generation is None:
        return _refuse(_UNKNOWN)
    engine.cancel(generation)
    return admin.reply(generation.build_response())


async def _show_metrics(
    engine: engines.Engine, request: requests.Request
) -> responses.Response:
    engine.controls.counts['metrics'] += 1
    return responses.PlainTextResponse(
        _render_metrics(engine.settings.model, engine.read_load())
    )


async def _show_events(
    engine: engines.Engine, request: requests.Request
) -> responses.Response:
    engine.controls.counts['kv_events'] += 1
    after = request.query_params.get('after', '0')
    if not after.isdecimal():
        return _refuse_malformed('after is not a number')
    return admin.reply(engine.read_cache_events(int(after)))


async def _show_health(
    engine: engines.Engine, request: requests.Request
) -> responses.Response:
    engine.controls.counts['health'] += 1
    body = {
        'model': engine.settings.model,
        'replica': engine.settings.replica,
    }
    return admin.reply_health(
        body, is_healthy=not engine.controls.switches.unhealthy
    )


async def _apply_order(
    engine: engines.Engine, request: requests.Request
) -> responses.Response:
    engine.controls.counts['order'] += 1
    try:
        body = await admin.read_object(request)
    except msgspec.MsgspecError as error:
        return _refuse_malformed(str(error))
    if not engine.apply_order(body):
        return _refuse(_FENCED)
    return admin.reply({'accepted': True})


def _deliver(
    engine: engines.Engine, generation: generations.Generation
) -> types.ASGIApp:
    silent = engine.controls.consume('silent_new')
    if generation.body.get('stream', False):
        return delivery.build_event_stream(engine, generation, silent=silent)
    return delivery.build_json_response(engine, generation, silent=silent)


def _refuse_malformed(message: str) -> responses.Response:
    return _refuse(
        EngineError(http.HTTPStatus.BAD_REQUEST, 'invalid_request', message)
    )


def _refuse(error: EngineError) -> responses.Response:
    kind = 'server_error' if error is _OVERLOADED else 'invalid_request_error'
    body = {'type': kind, 'code': error.code, 'message': error.message}
    refusal = admin.reply({'error': body}, error.status)
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
