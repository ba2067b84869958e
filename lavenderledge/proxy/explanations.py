"""``/explain`` of an instance: what it would decide on a request now."""

import functools
import logging
import typing
from collections import abc

import msgspec

from lavenderledge import clock as clocks
from lavenderledge import logs
from lavenderledge.controllers import caches, slotallocator, slotrequester
from lavenderledge.http1 import messages
from lavenderledge.policy import (
    explanation,
    questions,
    slots,
    targetviews,
    upstreamnotices,
)
from lavenderledge.proxy import exchange

PATH: typing.Final = b'/explain'
_LOGGER = logging.getLogger(__name__)


class Problem(typing.TypedDict):
    """Why a question can't be answered (RFC 9457)."""

    type: str
    title: str
    status: int
    detail: str


class Sources(typing.NamedTuple):
    """What an instance knows, and whom it asks for slots."""

    instance: str
    clock: clocks.Clock
    configuration: caches.ConfigurationCache
    age_limits: exchange.AgeLimits
    requester: slotrequester.SlotRequester
    allocator: slotallocator.SlotAllocator
    list_replicas: abc.Callable[[], abc.Sequence[slots.ReplicaInfo]]
    notices: upstreamnotices.NoticeBoard
    count_alive: abc.Callable[[], int]
    is_catching_up: abc.Callable[[], bool]
    note: abc.Callable[..., None]


class Answer(typing.NamedTuple):
    """The response to a question."""

    status: int
    content_type: bytes
    body: bytes


def is_question(target: bytes) -> bool:
    """Return whether a request's target asks for an explanation."""
    return target.partition(b'?')[0] == PATH


def answer(target: bytes, sources: Sources) -> Answer:
    """Return the explanation as JSON, or a problem with status 400."""
    query = target.partition(b'?')[2].decode('latin-1')
    explained = questions.parse_question(query).bind(
        lambda question: explanation.explain(question, _read(sources))
    )
    if explained.is_error():
        sources.note('explanations', outcome='invalid')
        return _report(explained.error)
    own = {
        'instance': sources.instance,
        'allocator': sources.requester.allocator,
        'is_allocator': _is_allocator(sources),
    }
    decision = explained.ok['decision']
    sources.note('explanations', outcome=decision['outcome'])
    logs.write_event(
        _LOGGER,
        'request_explained',
        instance=sources.instance,
        outcome=decision['outcome'],
        reason=decision['reason'],
        replica=decision['replica'] or '',
    )
    body = msgspec.json.encode({**own, **explained.ok})
    return Answer(messages.OK, b'application/json', body)


def _report(detail: str) -> Answer:
    problem = Problem(
        type='about:blank',
        title='Bad Request',
        status=messages.BAD_REQUEST,
        detail=detail,
    )
    return Answer(
        messages.BAD_REQUEST,
        b'application/problem+json',
        msgspec.json.encode(problem),
    )


def _is_allocator(sources: Sources) -> bool:
    return sources.requester.allocator == sources.instance


def _read(sources: Sources) -> explanation.Knowledge:
    cache = sources.configuration
    limits = sources.age_limits
    state = _find_state(sources)
    return explanation.Knowledge(
        configuration=cache.current,
        configuration_age_s=cache.age_s(),
        is_superseded=cache.is_superseded(limits.max_apply_age_s),
        max_key_age_s=limits.max_key_age_s,
        max_apply_age_s=limits.max_apply_age_s,
        allocation=targetviews.Allocation(
            state,
            sources.is_catching_up(),
            sources.clock.read_monotonic(),
        ),
        preview_quota=functools.partial(
            sources.allocator.preview_quota, share=state.share
        ),
    )


def _find_state(sources: Sources) -> slots.SlotState:
    """Return the allocator's state, or that of an allocator just started.

    The second is how another instance would begin if it granted slots to
    itself: it knows the list of replicas and what they say of themselves.
    """
    state = sources.allocator.slot_state
    if _is_allocator(sources) and state.share and state.has_replica_list:
        return state
    now_s = sources.clock.read_monotonic()
    own = slots.SlotState()
    own.share = 1 / max(1, sources.count_alive())
    own.set_replicas(sources.list_replicas(), now_s)
    own.apply_notices(sources.notices, now_s)
    return own
