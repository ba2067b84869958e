"""The callers' application: filter chains on paths."""

import typing
from collections import abc

from starlette import applications, routing

from lavenderledge import clock as clocks
from lavenderledge.daemon import callers
from lavenderledge.daemon import controllers as assembly
from lavenderledge.daemon import settings as configuration
from lavenderledge.filters import (
    admit,
    chain,
    claim,
    classify,
    dispatch,
    exchange,
    identify,
    limit,
    responses,
)
from lavenderledge.filters import work as works

_ATTEMPTS = 5
_ANY_METHOD = frozenset(
    (
        'GET',
        'HEAD',
        'POST',
        'PUT',
        'PATCH',
        'DELETE',
        'OPTIONS',
    )
)


def build_application(
    *,
    settings: configuration.Settings,
    clock: clocks.Clock,
    controllers: assembly.Controllers,
    upstreams: dispatch.Context,
    entry: callers.CallerInterface,
    ready: abc.Callable[..., typing.Any],
) -> applications.Starlette:
    """Return the application that callers reach."""
    usage = limit.ResourceUsage(
        bounds=limit.Bounds(
            requests=settings.max_requests,
            customer_requests=settings.max_customer_requests,
            body_bytes=settings.max_held_bytes,
        )
    )
    shared: tuple[exchange.Filter, ...] = (
        classify.make_classify(
            is_table_in_force=lambda: controllers.table.in_force is not None,
            has_pool=controllers.has_pool,
            find_row=controllers.match_row,
        ),
        limit.make_limit(usage=usage, displace=controllers.admission.displace),
        claim.make_claim(
            records=controllers.claims,
            clock=clock,
            timeout_s=settings.claim_timeout.total_seconds(),
        ),
        dispatch.make_retry(upstreams, attempts=_ATTEMPTS),
        admit.make_admit(
            requests=controllers.admission,
            clock=clock,
            granted_exchanges=controllers.granted,
        ),
    )
    last = dispatch.make_dispatch(upstreams)
    find_address = controllers.directory.find_address
    create = chain.build_chain(
        (
            identify.identify,
            works.make_read_work(works.read_response_work),
            *shared,
        ),
        last,
    )
    call = chain.build_chain(
        (
            identify.identify,
            works.make_read_work(works.read_service_work),
            *shared,
        ),
        last,
    )
    read = chain.build_chain(
        (identify.identify,),
        responses.make_read(upstreams, find_address=find_address),
    )
    cancel = chain.build_chain(
        (identify.identify,),
        responses.make_cancel(upstreams, find_address=find_address),
    )
    post = frozenset(('POST',))
    return applications.Starlette(
        routes=[
            routing.Route('/ready', ready),
            _route(entry, '/v1/responses', create, post),
            _route(entry, '/v1/responses/{id}/cancel', cancel, post),
            _route(entry, '/v1/responses/{id}', read, frozenset(('GET',))),
            _route(entry, '/services/{path:path}', call, _ANY_METHOD),
            _route(entry, '/{path:path}', responses.refuse_path, _ANY_METHOD),
        ]
    )


def _route(
    entry: callers.CallerInterface,
    path: str,
    handler: exchange.Handler,
    methods: frozenset[str],
) -> routing.Route:
    return routing.Route(path, entry.make_endpoint(handler, methods=methods))
