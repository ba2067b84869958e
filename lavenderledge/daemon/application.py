"""The application that serves callers: one filter chain per path."""

import typing
from collections import abc

from starlette import applications, routing

from lavenderledge import clock as clocks
from lavenderledge.daemon import callers
from lavenderledge.daemon import controllers as daemoncontrollers
from lavenderledge.daemon import settings as daemonsettings
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

_MAX_ATTEMPTS = 5
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
    settings: daemonsettings.Settings,
    clock: clocks.Clock,
    controllers: daemoncontrollers.Controllers,
    context: dispatch.Context,
    interface: callers.CallerInterface,
    ready: abc.Callable[..., typing.Any],
) -> applications.Starlette:
    """Return the application that serves callers."""
    usage = limit.ResourceUsage(
        bounds=limit.Bounds(
            requests=settings.max_requests,
            customer_requests=settings.max_customer_requests,
            body_bytes=settings.max_held_bytes,
        )
    )
    shared_filters: tuple[exchange.Filter, ...] = (
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
        dispatch.make_retry(context, attempts=_MAX_ATTEMPTS),
        admit.make_admit(
            requests=controllers.admission,
            clock=clock,
            granted_exchanges=controllers.granted,
        ),
    )
    dispatcher = dispatch.make_dispatch(context)
    find_address = controllers.directory.find_address
    create = chain.build_chain(
        (
            identify.identify,
            works.make_read_work(works.read_response_work),
            *shared_filters,
        ),
        dispatcher,
    )
    call = chain.build_chain(
        (
            identify.identify,
            works.make_read_work(works.read_service_work),
            *shared_filters,
        ),
        dispatcher,
    )
    read = chain.build_chain(
        (identify.identify,),
        responses.make_read(context, find_address=find_address),
    )
    cancel = chain.build_chain(
        (identify.identify,),
        responses.make_cancel(context, find_address=find_address),
    )
    post = frozenset(('POST',))
    return applications.Starlette(
        routes=[
            routing.Route('/ready', ready),
            _route(interface, '/v1/responses', create, post),
            _route(interface, '/v1/responses/{id}/cancel', cancel, post),
            _route(interface, '/v1/responses/{id}', read, frozenset(('GET',))),
            _route(interface, '/services/{path:path}', call, _ANY_METHOD),
            _route(
                interface, '/{path:path}', responses.refuse_path, _ANY_METHOD
            ),
        ]
    )


def _route(
    interface: callers.CallerInterface,
    path: str,
    handler: exchange.Handler,
    methods: frozenset[str],
) -> routing.Route:
    return routing.Route(
        path, interface.make_endpoint(handler, methods=methods)
    )
