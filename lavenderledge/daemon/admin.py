"""The admin interface: liveness, readiness, status and metrics."""

import http
import typing
from collections import abc

from starlette import applications, requests, responses, routing

from lavenderledge.daemon import metrics as meters

_UNAVAILABLE = 503


class Health(typing.NamedTuple):
    """Whether this instance is ready for requests, and why not."""

    ready: bool
    reasons: tuple[str, ...]


def build_admin(
    *,
    metrics: meters.Metrics,
    read_health: abc.Callable[[], Health],
    read_status: abc.Callable[[], abc.Mapping[str, object]],
    update_gauges: abc.Callable[[], None],
) -> applications.Starlette:
    """Return the admin application."""

    async def serve_live(request: requests.Request) -> responses.Response:
        return responses.JSONResponse({'live': True})

    async def serve_status(request: requests.Request) -> responses.Response:
        return responses.JSONResponse(dict(read_status()))

    async def serve_metrics(request: requests.Request) -> responses.Response:
        update_gauges()
        accepts = request.headers.getlist('accept')
        content, headers = metrics.render(accepts)
        return responses.Response(content, headers=dict(headers))

    return applications.Starlette(
        routes=[
            routing.Route('/live', serve_live),
            routing.Route('/ready', make_ready_endpoint(read_health)),
            routing.Route('/status', serve_status),
            routing.Route('/metrics', serve_metrics),
        ]
    )


def make_ready_endpoint(
    read_health: abc.Callable[[], Health],
) -> abc.Callable[
    [requests.Request],
    abc.Coroutine[typing.Any, typing.Any, responses.Response],
]:
    """Return an endpoint that answers 200 while ready, otherwise 503."""

    async def serve_ready(request: requests.Request) -> responses.Response:
        health = read_health()
        return responses.JSONResponse(
            {'ready': health.ready, 'reasons': health.reasons},
            status_code=http.HTTPStatus.OK if health.ready else _UNAVAILABLE,
        )

    return serve_ready
