"""Explains where a request would be sent now, without sending it."""

import typing
from collections import abc

import expression

from lavenderledge.http1 import messages
from lavenderledge.peers import slotmessages
from lavenderledge.policy import (
    questions,
    routes,
    targetviews,
    tokenbuckets,
)


class Knowledge(typing.NamedTuple):
    """What an instance goes by.

    ``configuration_age_s`` is the time since it was confirmed, and
    ``is_superseded`` whether it is too old to be applied though a newer one
    exists.
    """

    configuration: routes.Configuration | None
    configuration_age_s: float
    is_superseded: bool
    max_key_age_s: float
    max_apply_age_s: float
    allocation: targetviews.Allocation
    preview_quota: abc.Callable[
        [slotmessages.RequestSpec], tokenbuckets.QuotaLevel | None
    ]


class RouteView(typing.TypedDict):
    """The route; times are in seconds."""

    name: str
    path_prefix: str
    route_type: str
    is_public: bool
    objective_s: float
    timeout_s: float
    max_silence_s: float
    max_attempts: int


class QuotaView(typing.TypedDict):
    """The customer's quota, and what is left of this instance's share."""

    rate: float
    burst: float
    cost: float
    share: float
    left: float
    wait_s: float


class Explanation(typing.TypedDict):
    """The whole explanation."""

    request: dict[str, object]
    configuration_version: int | None
    configuration_age_s: float | None
    share: float
    route: RouteView | None
    rank: int | None
    quota: QuotaView | None
    targets: list[targetviews.TargetView]
    decision: targetviews.Decision


Explained: typing.TypeAlias = expression.Result[Explanation, str]


def explain(question: questions.Question, knowledge: Knowledge) -> Explained:
    """Return the explanation, or what is wrong with the question."""
    configuration = knowledge.configuration
    if configuration is None:
        return expression.Ok(
            _begin(question, knowledge, targetviews.refuse('no_configuration'))
        )
    key = _find_key(configuration, question.customer)
    if question.customer and key is None:
        return expression.Error(f'no customer is named {question.customer!r}')
    match = routes.match_request(
        configuration, host=question.host, path=question.path, key=key
    )
    if isinstance(match, routes.Rejection):
        decision = _reject(match, knowledge)
        return expression.Ok(_begin(question, knowledge, decision))
    return expression.Ok(_explain_match(question, knowledge, match))


def _find_key(configuration: routes.Configuration, name: str) -> str | None:
    """Return a key of a customer; it does not leave the process."""
    for key, customer in configuration.customers_by_key.items():
        if name and customer.name == name:
            return key
    return None


def _begin(
    question: questions.Question,
    knowledge: Knowledge,
    decision: targetviews.Decision,
) -> Explanation:
    configuration = knowledge.configuration
    return Explanation(
        request=question._asdict(),
        configuration_version=configuration and configuration.version,
        configuration_age_s=None
        if configuration is None
        else targetviews.round_number(knowledge.configuration_age_s),
        share=targetviews.round_number(knowledge.allocation.state.share),
        route=None,
        rank=None,
        quota=None,
        targets=[],
        decision=decision,
    )


def _reject(
    rejection: routes.Rejection, knowledge: Knowledge
) -> targetviews.Decision:
    if knowledge.configuration_age_s > knowledge.max_apply_age_s:
        return targetviews.refuse('stale_configuration')
    is_unrouted = rejection is routes.Rejection.NO_ROUTE
    return targetviews.refuse(
        rejection.value,
        status=messages.NOT_FOUND if is_unrouted else messages.UNAUTHORIZED,
    )


def _explain_match(
    question: questions.Question, knowledge: Knowledge, match: routes.RouteMatch
) -> Explanation:
    specs = [
        _build_spec(question, match, target.service)
        for target in match.route.targets
    ]
    level = knowledge.preview_quota(specs[0])
    refused = _check_age(knowledge, match) or _check_quota(level)
    targets = [
        targetviews.explain_target(knowledge.allocation, spec, target.weight)
        for spec, target in zip(specs, match.route.targets, strict=True)
    ]
    decision = refused
    if decision is None:
        decision = targets[0]['decision']
        if len(targets) > 1:
            decision = targetviews.decide('depends', 'service_by_request_id')
    explained = _begin(question, knowledge, decision)
    explained['route'] = _describe_route(match.route)
    explained['rank'] = match.rank
    if match.customer is not None and level is not None:
        explained['quota'] = QuotaView(
            rate=match.customer.quota.rate,
            burst=match.customer.quota.burst,
            cost=specs[0].cost,
            share=targetviews.round_number(level.share),
            left=targetviews.round_number(level.level),
            wait_s=targetviews.round_number(level.wait_s),
        )
    explained['targets'] = targets
    return explained


def _check_age(
    knowledge: Knowledge, match: routes.RouteMatch
) -> targetviews.Decision | None:
    if knowledge.is_superseded:
        return targetviews.refuse('superseded_configuration')
    age_s = knowledge.configuration_age_s
    if match.customer is not None and age_s > knowledge.max_key_age_s:
        return targetviews.refuse('stale_configuration')
    return None


def _check_quota(
    level: tokenbuckets.QuotaLevel | None,
) -> targetviews.Decision | None:
    if level is None or not level.wait_s:
        return None
    return targetviews.refuse(
        'quota', status=messages.TOO_MANY_REQUESTS, retry_after_s=level.wait_s
    )


def _build_spec(
    question: questions.Question, match: routes.RouteMatch, service: str
) -> slotmessages.RequestSpec:
    """Return the request for a slot at the time of its arrival.

    Its caller sends no deadline of its own.
    """
    route = match.route
    customer = match.customer
    remaining_s = route.timeout_s
    if route.route_type.is_stream:
        remaining_s = min(remaining_s, route.max_silence_s)
    return slotmessages.RequestSpec(
        request_id='explained',
        service=service,
        customer='' if customer is None else customer.name,
        tier=match.rank,
        prompt_tokens=question.prompt_tokens or 0,
        objective_left_s=route.objective_s,
        remaining_s=remaining_s,
        cost=0
        if customer is None
        else customer.compute_cost(question.token_count),
        output_tokens=question.output_tokens or 0,
        pause_target_s=route.pause_target_s,
    )


def _describe_route(route: routes.Route) -> RouteView:
    return RouteView(
        name=route.name,
        path_prefix=route.path_prefix,
        route_type=route.route_type.value,
        is_public=route.public,
        objective_s=route.objective_s,
        timeout_s=route.timeout_s,
        max_silence_s=route.max_silence_s,
        max_attempts=route.max_attempts,
    )
