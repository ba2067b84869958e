"""Explains which replica of a service a request would get now.

The request is queued and decided on by ``slotgrants`` in a copy of the state,
so that the answer is that of a real request.
"""

import copy
import typing

from lavenderledge.http1 import messages
from lavenderledge.peers import slotmessages
from lavenderledge.policy import (
    replicachoice,
    slotgrants,
    slotqueue,
    slots,
)

_DIGITS: typing.Final = 3


class Decision(typing.TypedDict):
    """What happens to the request, and why.

    ``outcome`` is granted, waits, refused or, if the service depends on the
    request's id, depends. Times are in seconds.
    """

    outcome: str
    reason: str
    status: int | None
    replica: str | None
    wait_s: float | None
    retry_after_s: float | None


class ReplicaView(typing.TypedDict):
    """What is known about a replica, and why it is chosen or not.

    Times are in seconds. ``free_slots`` are those that may be granted here,
    ``sound_slots`` those in which streams are not late by a pause.
    ``memory_tokens`` are those of its memory that are free. What is not known
    is None.
    """

    name: str
    address: str
    availability_zone: str
    verdict: str
    is_available: bool
    is_leaving: bool
    failures: int
    slots: int
    held_slots: int
    free_slots: int
    limit_per_s: float | None
    held_prompt_tokens: int
    memory_tokens: int | None
    prompts_ahead_s: float
    first_byte_s: float
    hold_s: float
    duration_s: float
    sound_slots: int


class QueueView(typing.TypedDict):
    """What waits in a service's queue; work is in seconds of one slot."""

    requests: int
    higher_ranks: int
    own_rank: int
    own_customer: int
    higher_ranks_work_s: float
    own_customer_work_s: float
    own_customer_lead_s: float


class TargetView(typing.TypedDict):
    """One service that the route may choose, with its part of the requests."""

    service: str
    weight: float
    capacity: float
    queue: QueueView
    replicas: list[ReplicaView]
    decision: Decision


class Allocation(typing.NamedTuple):
    """What an instance grants slots by, at the monotonic time ``now_s``."""

    state: slots.SlotState
    is_catching_up: bool
    now_s: float


def explain_target(
    allocation: Allocation, spec: slotmessages.RequestSpec, weight: float
) -> TargetView:
    """Return the decision on a request and what it is based on."""
    copied = _copy_state(allocation.state, spec.service)
    service = copied.services.get(spec.service)
    if service is None:
        service = slots.Service()
    now_s = allocation.now_s
    view = TargetView(
        service=spec.service,
        weight=weight,
        capacity=round_number(service.read_capacity(copied.share, now_s)),
        queue=_describe_queue(service.queue, spec),
        replicas=[
            _describe_replica(copied, service, replica, spec, now_s)
            for _, replica in sorted(service.replicas.items())
        ],
        decision=_try_request(copied, allocation, spec),
    )
    for replica_view in view['replicas']:
        if replica_view['name'] == view['decision']['replica']:
            replica_view['verdict'] = 'chosen'
    return view


def _copy_state(state: slots.SlotState, name: str) -> slots.SlotState:
    """Return a copy of one service for decisions that change nothing else.

    Averages are shared: only answers change them.
    """
    copied = copy.copy(state)
    copied.held_slots = state.held_slots.copy()
    copied.memory = copy.deepcopy(state.memory)
    copied.services = {}
    service = state.services.get(name)
    if service is not None:
        copied_service = copy.copy(service)
        copied_service.demand = copy.deepcopy(service.demand)
        copied_service.queue = service.queue.copy()
        copied_service.gate = copy.deepcopy(service.gate)
        copied_service.replicas = {
            replica_name: _copy_replica(replica)
            for replica_name, replica in service.replicas.items()
        }
        copied.services[name] = copied_service
    return copied


def _copy_replica(replica: slots.Replica) -> slots.Replica:
    copied = copy.copy(replica)
    copied.health = copy.copy(replica.health)
    copied.pace = copy.copy(replica.pace)
    copied.pause_risk = copy.copy(replica.pause_risk)
    return copied


def _try_request(
    copied: slots.SlotState,
    allocation: Allocation,
    spec: slotmessages.RequestSpec,
) -> Decision:
    """Decide on a request in a copy of the state."""
    now_s = allocation.now_s
    service = copied.services.get(spec.service)
    wait_s = float(0)
    if service is not None:
        wait_s = slotgrants.estimate_wait_s(
            copied, service, _await_slot(spec, now_s), now_s
        )
    refused = slotgrants.enqueue(copied, '', spec, now_s)
    if refused is not None:
        return refuse(refused.reason, retry_after_s=refused.retry_after_s)
    if not allocation.is_catching_up:
        granted, expired = slotgrants.decide(copied, now_s)
        for grant in granted:
            if grant.request_id == spec.request_id:
                return _grant(grant.replica)
        for refusal in expired:
            if refusal.request_id == spec.request_id:
                return refuse(
                    refusal.reason, retry_after_s=refusal.retry_after_s
                )
    reason = 'catching_up' if allocation.is_catching_up else 'no_slot'
    decision = decide('waits', reason)
    decision['wait_s'] = round_number(wait_s)
    return decision


def _await_slot(
    spec: slotmessages.RequestSpec, now_s: float
) -> slotqueue.WaitingRequest:
    return slotqueue.WaitingRequest(
        '', spec, now_s + spec.objective_left_s, now_s + spec.remaining_s
    )


def _grant(replica: str) -> Decision:
    decision = decide('granted', 'shortest_duration')
    decision['replica'] = replica
    return decision


def _describe_queue(
    queue: slotqueue.SlotQueue, spec: slotmessages.RequestSpec
) -> QueueView:
    waiting = queue.list_requests()
    priorities = [queue.read_priority(request) for request in waiting]
    own = queue.read_backlog(spec.tier, spec.customer)
    return QueueView(
        requests=len(waiting),
        higher_ranks=len([rank for rank in priorities if rank < spec.tier]),
        own_rank=priorities.count(spec.tier),
        own_customer=len(
            [
                request
                for request, rank in zip(waiting, priorities, strict=True)
                if rank == spec.tier and request.spec.customer == spec.customer
            ]
        ),
        higher_ranks_work_s=round_number(
            queue.sum_work_s(spec.tier, inclusive=False)
        ),
        own_customer_work_s=round_number(own.waiting_s),
        own_customer_lead_s=round_number(own.lead_s),
    )


def _describe_replica(
    copied: slots.SlotState,
    service: slots.Service,
    replica: slots.Replica,
    spec: slotmessages.RequestSpec,
    now_s: float,
) -> ReplicaView:
    tokens = spec.prompt_tokens
    first_s = service.estimate_first_byte_s(replica, tokens, now_s)
    free_slots = replica.count_free_slots(share=copied.share, now_s=now_s)
    verdict = _find_obstacle(replica, now_s)
    if free_slots:
        verdict = _judge_free(replica, first_s, spec, now_s)
    return ReplicaView(
        name=replica.info.name,
        address=replica.info.address,
        availability_zone=replica.info.availability_zone,
        verdict=verdict,
        is_available=replica.health.is_available(now_s),
        is_leaving=replica.is_leaving,
        failures=replica.health.failures,
        slots=replica.info.slots,
        held_slots=replica.held,
        free_slots=free_slots,
        limit_per_s=replica.limit_per_s,
        held_prompt_tokens=sum(
            slot.prompt_tokens
            for slot in copied.held_slots.values()
            if slot.replica == replica.info.name
        ),
        memory_tokens=_count_free_tokens(copied, spec.service, replica),
        prompts_ahead_s=round_number(replica.estimate_prefill_wait_s(now_s)),
        first_byte_s=round_number(first_s),
        hold_s=round_number(service.estimate_hold_s(replica, now_s)),
        duration_s=round_number(
            replicachoice.estimate_duration_s(service, replica, spec, now_s)
        ),
        sound_slots=replica.pause_risk.find_limit(now_s),
    )


def _judge_free(
    replica: slots.Replica,
    first_s: float,
    spec: slotmessages.RequestSpec,
    now_s: float,
) -> str:
    """Return what a free slot is worth to a request."""
    if first_s > spec.objective_left_s:
        return 'too_slow'
    is_sound = replica.held < replica.pause_risk.find_limit(now_s)
    return 'usable' if is_sound or not spec.pause_target_s else 'long_pauses'


def _count_free_tokens(
    copied: slots.SlotState, service: str, replica: slots.Replica
) -> int | None:
    capacity = copied.memory.find_capacity(service, copied.share)
    return None if capacity is None else int(capacity) - replica.held_tokens


def _find_obstacle(replica: slots.Replica, now_s: float) -> str:
    """Return why a replica has no slot to grant."""
    if replica.is_leaving:
        return 'leaving'
    if not replica.health.is_available(now_s):
        return 'backing_off'
    return 'no_free_slot' if replica.pace.allows(now_s) else 'rate_limited'


def refuse(
    reason: str,
    *,
    status: int = messages.UNAVAILABLE,
    retry_after_s: float | None = None,
) -> Decision:
    """Return the decision to refuse a request."""
    decision = decide('refused', reason)
    decision['status'] = status
    if retry_after_s is not None:
        decision['retry_after_s'] = round_number(retry_after_s)
    return decision


def decide(outcome: str, reason: str) -> Decision:
    """Return a decision without further values."""
    return Decision(
        outcome=outcome,
        reason=reason,
        status=None,
        replica=None,
        wait_s=None,
        retry_after_s=None,
    )


def round_number(number: float) -> float:
    """Return a number as it is shown."""
    return round(number, _DIGITS)
