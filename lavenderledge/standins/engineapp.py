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
    requestbody,
    delivery,
    engines,
    generations,
)

_RETRY_AFTER_S = 1


class EngineError(typing.NamedTuple):
    """A call that the engine refuses, with its HTTP status."""

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
_KNOWN = EngineError(
    http.HTTPStatus.CONFLICT, 'duplicate_request_id', 'request_id is in use'
)
_FENCED = EngineError(
    http.HTTPStatus.CONFLICT, 'stale_fencing', 'the fencing number is old'
)
_NO_MODEL = EngineError(
    http.HTTPStatus.NOT_FOUND, 'model_not_found', 'no such model'
)


def build_app(served: engines.Engine) -> types.ASGIApp:
    """Return the engine's application."""
    path = '/v1/responses/{id}'
    return applications.Starlette(
        routes=[
            admin.route('POST', '/v1/responses', _create, served),
            admin.route('GET', path, _read, served),
            admin.route('POST', f'{path}/cancel', _cancel, served),
            admin.route('GET', '/metrics', _show_metrics, served),
            admin.route('GET', '/kv_events', _show_events, served),
            admin.route('GET', '/health', _show_health, served),
            admin.route('POST', '/orders', _take_order, served),
            *admin.list_routes(served.controls),
        ],
        lifespan=functools.partial(_live, served),
    )


@contextlib.asynccontextmanager
async def _live(
    served: engines.Engine, app: applications.Starlette
) -> abc.AsyncGenerator[None, None]:
    driver = asyncio.create_task(served.run())
    yield
    driver.cancel()


async def _create(
    served: engines.Engine, request: requests.Request
) -> types.ASGIApp:
    served.controls.counts['create'] += 1
    parsed = requestbody.parse(await request.body())
    if parsed.is_error():
        return _refuse_malformed(parsed.error.message)
    if parsed.ok['model'] != served.settings.model:
        return _refuse(_NO_MODEL)
    if served.controls.switches.refuse:
        served.controls.counts['refused'] += 1
        return _refuse(_OVERLOADED)
    made = served.create(parsed.ok)
    if made is None:
        served.controls.counts['duplicate'] += 1
        return _refuse(_KNOWN)
    return _deliver(served, made)


async def _read(
    served: engines.Engine, request: requests.Request
) -> types.ASGIApp:
    made = served.find(request.path_params['id'])
    if made is None:
        return _refuse(_UNKNOWN)
    if request.query_params.get('stream') != 'true':
        served.controls.counts['read'] += 1
        return admin.reply(made.build_response())
    served.controls.counts['resume'] += 1
    after = request.query_params.get('starting_after')
    if after is None:
        return delivery.stream(served, made)
    if not after.isdecimal():
        return _refuse_malformed('starting_after is not a number')
    return delivery.stream(served, made, first=int(after) + 1)


async def _cancel(
    served: engines.Engine, request: requests.Request
) -> types.ASGIApp:
    served.controls.counts['cancel'] += 1
    made = served.find(request.path_params['id'])
    if made is None:
        return _refuse(_UNKNOWN)
    served.cancel(made)
    return admin.reply(made.build_response())


async def _show_metrics(
    served: engines.Engine, request: requests.Request
) -> responses.Response:
    served.controls.counts['metrics'] += 1
    return responses.PlainTextResponse(
        _render_metrics(served.settings.model, served.read_load())
    )


async def _show_events(
    served: engines.Engine, request: requests.Request
) -> responses.Response:
    served.controls.counts['kv_events'] += 1
    after = request.query_params.get('after', '0')
    if not after.isdecimal():
        return _refuse_malformed('after is not a number')
    return admin.reply(served.read_cache_events(int(after)))


async def _show_health(
    served: engines.Engine, request: requests.Request
) -> responses.Response:
    served.controls.counts['health'] += 1
    body = {
        'model': served.settings.model,
        'replica': served.settings.replica,
    }
    return admin.reply_health(
        body, is_healthy=not served.controls.switches.unhealthy
    )


async def _take_order(
    served: engines.Engine, request: requests.Request
) -> responses.Response:
    served.controls.counts['order'] += 1
    try:
        body = await admin.read_object(request)
    except msgspec.MsgspecError as error:
        return _refuse_malformed(str(error))
    if not served.apply_order(body):
        return _refuse(_FENCED)
    return admin.reply({'accepted': True})


def _deliver(
    served: engines.Engine, made: generations.Generation
) -> types.ASGIApp:
    silent = served.controls.consume('silent_new')
    if made.body.get('stream', False):
        return delivery.stream(served, made, silent=silent)
    return delivery.answer(served, made, silent=silent)


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
