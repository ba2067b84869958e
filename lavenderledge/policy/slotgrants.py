"""Decisions on slots: which requests are granted, queued or refused.

Replicas run a fixed number of requests at a time and queue others in order of
arrival. Nothing is sent to a replica without a free slot: requests wait here,
where ranks and objectives are known.
"""

import itertools
import typing

from lavenderledge.peers import slotmessages as messages
from lavenderledge.policy import (
    rendezvous,
    replicachoice,
    replicamemory,
    slotqueue,
    slots,
    waits,
)

# Bounds of Retry-After, and the fraction by which it is spread, so that
# callers neither retry in a busy loop nor all at once.
_MIN_RETRY_S: typing.Final = 0.3
_MAX_RETRY_S: typing.Final = 5.0
_RETRY_JITTER: typing.Final = 0.4
# While the demand exceeds the slots, a request counts as timely only if it is
# expected to wait for at most this fraction of the time that it has: the first
# byte of half of the requests takes longer than estimated.
_WAIT_RATIO: typing.Final = 0.5
# Requests of one priority without a suitable free replica, after which the
# rest of that priority is skipped.
_MAX_UNPLACED: typing.Final = 6
# Minimum time between two checks of a service's capacity and late requests.
_CHECK_INTERVAL_S: typing.Final = 0.02

_MemoryPass: typing.TypeAlias = replicamemory.GrantPass[
    slots.Replica, slotqueue.WaitingRequest
]


class Granted(typing.NamedTuple):
    """A granted request, with its replica's name, ``host:port`` and start."""

    sender: str
    request_id: str
    replica: str
    address: str
    started_ms: int


class Refused(typing.NamedTuple):
    """A refused request; ``cost`` is returned to the customer's quota."""

    sender: str
    request_id: str
    reason: str
    retry_after_s: float
    customer: str
    cost: float


def renew(state: slots.SlotState, spec: messages.RequestSpec) -> bool:
    """Update a request that waits, in its place; return whether it waits."""
    service = state.services.get(spec.service)
    return service is not None and service.queue.set_excluded(
        spec.request_id, spec.excluded
    )


def enqueue(
    state: slots.SlotState,
    sender: str,
    spec: messages.RequestSpec,
    now_s: float,
) -> Refused | None:
    """Queue a request, or refuse it if no slot is expected in time."""
    if not state.has_replica_list:
        # A new allocator reads the list within milliseconds.
        state.services.setdefault(spec.service, slots.Service())
    service = state.services.get(spec.service)
    if service is None or (state.has_replica_list and not service.replicas):
        return Refused(
            sender,
            spec.request_id,
            'no_upstream',
            _MIN_RETRY_S,
            spec.customer,
            spec.cost,
        )
    work_s = service.estimate_work_s(spec.tier)
    waiting = slotqueue.WaitingRequest(
        sender,
        spec,
        now_s + spec.objective_left_s,
        now_s + spec.remaining_s,
        work_s,
    )
    if spec.excluded:
        refused = _refuse_if_expiring(state, service, waiting, now_s)
        late = spec.objective_left_s <= 0
    else:
        refused, late = _admit(state, service, waiting, now_s)
        service.demand.note_arrived(spec.tier, spec.customer, work_s, now_s)
    if refused is None:
        service.queue.add(waiting, late=late)
        service.undecided += 1
    return refused


def _admit(
    state: slots.SlotState,
    service: slots.Service,
    waiting: slotqueue.WaitingRequest,
    now_s: float,
) -> tuple[Refused | None, bool]:
    """Return a new request's refusal, if any, and whether it is late."""
    spec = waiting.spec
    if _is_expected_in_time(state, service, waiting, now_s):
        return None, False
    refused = _refuse_if_expiring(state, service, waiting, now_s)
    is_exceeded = service.demand.is_exceeding(spec.tier)
    return refused, is_exceeded or spec.objective_left_s <= 0


def decide(
    state: slots.SlotState, now_s: float
) -> tuple[list[Granted], list[Refused]]:
    """Grant free slots in order; refuse requests that would expire first."""
    granted: list[Granted] = []
    refused: list[Refused] = []
    for name, service in state.services.items():
        is_due = now_s - service.checked_at_s >= _CHECK_INTERVAL_S
        if is_due:
            service.checked_at_s = now_s
            service.update_capacity(state.share, now_s)
            _demote_late(service, now_s)
        if service.queue:
            granted += _grant(state, name, service, now_s)
        service.undecided = 0
        if is_due:
            refused += _refuse_waiting(state, service, now_s)
    return granted, refused


def list_waiting_senders(state: slots.SlotState) -> set[str]:
    """Return the instances with waiting requests."""
    return set(
        itertools.chain.from_iterable(
            service.queue.list_senders() for service in state.services.values()
        )
    )


def _refuse_waiting(
    state: slots.SlotState, service: slots.Service, now_s: float
) -> list[Refused]:
    """Refuse requests that are not expected to get a slot any more."""
    queue = service.queue
    loads: dict[tuple[int, bool], waits.Load] = {}
    refused: list[Refused] = []
    for waiting in queue.list_requests():
        if not queue.is_late(waiting) and waiting.expires_s > now_s:
            continue
        key = (waiting.spec.tier, bool(waiting.spec.excluded))
        if key not in loads:
            loads[key] = _describe_late_load(state, service, waiting, now_s)
        if now_s + waits.estimate_rank_wait_s(loads[key]) > waiting.expires_s:
            queue.remove(waiting.request_id)
            refused.append(_refuse(state, service, waiting, now_s))
    return refused


def _demote_late(service: slots.Service, now_s: float) -> None:
    """Move requests that miss their objectives behind the timely ones."""
    for waiting in service.queue.list_requests():
        if not service.queue.is_late(waiting) and _misses_objective(
            service, waiting, now_s
        ):
            service.queue.demote(waiting)


def _misses_objective(
    service: slots.Service,
    waiting: slotqueue.WaitingRequest,
    now_s: float,
) -> bool:
    """Return whether even the fastest replica would miss the objective."""
    return (
        now_s + service.estimate_min_first_byte_s(waiting.spec.prompt_tokens)
        > waiting.due_s
    )


def _is_expected_in_time(
    state: slots.SlotState,
    service: slots.Service,
    waiting: slotqueue.WaitingRequest,
    now_s: float,
) -> bool:
    """Return whether a new request is expected to meet its objective."""
    spec = waiting.spec
    first_s = service.estimate_min_first_byte_s(waiting.spec.prompt_tokens)
    left_s = waiting.due_s - now_s - first_s
    if left_s <= 0:
        return waiting.due_s > now_s and not service.queue
    wait_s = estimate_wait_s(state, service, waiting, now_s)
    if service.demand.is_exceeding(spec.tier):
        left_s *= _WAIT_RATIO
    return wait_s <= left_s


def estimate_wait_s(
    state: slots.SlotState,
    service: slots.Service,
    waiting: slotqueue.WaitingRequest,
    now_s: float,
) -> float:
    """Return the seconds until a new request gets a slot as a timely one."""
    if not service.queue:
        return 0
    spec = waiting.spec
    queue = service.queue
    capacity = service.read_capacity(state.share, now_s)
    load = waits.Load(
        capacity,
        service.demand.read_left(spec.tier, capacity),
        queue.sum_work_s(spec.tier, inclusive=False),
    )
    own = queue.read_backlog(spec.tier, spec.customer)
    if not own.waiting_s and not own.lead_s:
        return waits.estimate_share_wait_s(load, own, ())
    rates = service.demand.list_rates(spec.tier, now_s)
    customers = rates.keys() | queue.list_customers(spec.tier)
    return waits.estimate_share_wait_s(
        load,
        own,
        [
            waits.Competitor(
                queue.read_backlog(spec.tier, customer),
                rates.get(customer, 0),
            )
            for customer in customers - {spec.customer}
        ],
    )


def _refuse_if_expiring(
    state: slots.SlotState,
    service: slots.Service,
    waiting: slotqueue.WaitingRequest,
    now_s: float,
) -> Refused | None:
    """Refuse a new request that is not expected to get a slot."""
    load = _describe_late_load(state, service, waiting, now_s)
    if now_s + waits.estimate_rank_wait_s(load) <= waiting.expires_s:
        return None
    if service.has_slot_left(waiting.spec.excluded, state.share, now_s):
        # A replica that is too slow for the objective may still serve it.
        return None
    return _refuse(state, service, waiting, now_s)


def _describe_late_load(
    state: slots.SlotState,
    service: slots.Service,
    waiting: slotqueue.WaitingRequest,
    now_s: float,
) -> waits.Load:
    """Return what a late request competes with.

    Of its own priority, a new one goes behind all others; one that waits has an
    unknown place among them, and the best one is assumed.

    One that was sent before is not refused for what may still arrive: it may
    have run, and then a refusal would not be true.
    """
    queue = service.queue
    priority = slotqueue.find_priority(waiting.spec.tier, late=True)
    has_own_rank_ahead = waiting.request_id not in queue
    capacity = service.read_capacity(state.share, now_s)
    load = waits.Load(
        capacity,
        capacity,
        queue.sum_work_s(priority, inclusive=has_own_rank_ahead),
    )
    if waiting.spec.excluded or not service.demand.is_exceeding(priority):
        return load
    return load._replace(
        left=0, lasts_s=service.demand.predict_excess_s(priority, now_s)
    )


def _refuse(
    state: slots.SlotState,
    service: slots.Service,
    waiting: slotqueue.WaitingRequest,
    now_s: float,
) -> Refused:
    """Return a refusal for the time until there is expected to be room."""
    room_s = waits.estimate_rank_wait_s(
        _describe_late_load(state, service, waiting, now_s)
    )
    jitter = rendezvous.hash_to_fraction(waiting.request_id)
    retry_s = room_s * (1 + _RETRY_JITTER * jitter)
    return Refused(
        waiting.sender,
        waiting.request_id,
        'overloaded',
        min(max(retry_s, _MIN_RETRY_S), _MAX_RETRY_S),
        waiting.spec.customer,
        waiting.spec.cost,
    )


def _grant(
    state: slots.SlotState, name: str, service: slots.Service, now_s: float
) -> list[Granted]:
    free = [
        replica
        for replica in service.replicas.values()
        if replica.has_free_slot(share=state.share, now_s=now_s)
    ]
    granted: list[Granted] = []
    unplaced: dict[float, int] = {}
    deferred = 0
    memory: _MemoryPass = replicamemory.GrantPass(
        capacity=state.memory.find_capacity(name, state.share),
        replica_count=len(service.replicas),
        list_candidates=lambda waiting: replicachoice.list_suitable(
            service, service.list_available(now_s), waiting, now_s
        ),
    )
    for waiting in service.queue.walk():
        if not free:
            break
        priority = service.queue.read_priority(waiting)
        if unplaced.get(priority, 0) >= _MAX_UNPLACED:
            continue
        suitable = replicachoice.list_suitable(service, free, waiting, now_s)
        fitting = memory.list_fitting(suitable, waiting)
        sound = replicachoice.list_sound(
            service, fitting, waiting, now_s, deferred
        )
        chosen = replicachoice.choose_replica(service, sound, waiting, now_s)
        if chosen is None:
            deferred += 1
            # What waits for memory does not keep back those behind it.
            is_unplaced = not memory.is_waiting(waiting)
            unplaced[priority] = unplaced.get(priority, 0) + is_unplaced
            continue
        service.queue.grant(waiting)
        _hold_slot(state, name, chosen, waiting, now_s)
        granted.append(
            Granted(
                waiting.sender,
                waiting.request_id,
                chosen.info.name,
                chosen.info.address,
                chosen.info.started_ms,
            )
        )
        if not chosen.has_free_slot(share=state.share, now_s=now_s):
            free.remove(chosen)
    state.memory.note_pass(name, memory.list_waits(name), service.queue)
    return granted


def _hold_slot(
    state: slots.SlotState,
    name: str,
    replica: slots.Replica,
    waiting: slotqueue.WaitingRequest,
    now_s: float,
) -> None:
    spec = waiting.spec
    replica.health.note_granted(now_s)
    replica.pace.take(now_s)
    prefill_wait_s = replica.estimate_prefill_wait_s(now_s)
    service = state.services[name]
    if service.gate is not None:
        service.gate.note_granted(replica, spec, now_s)
    service.demand.note_granted(spec.tier, waiting.work_s, now_s)
    service.note_prefill(replica, spec.prompt_tokens, now_s)
    state.hold(
        waiting.request_id,
        slots.HeldSlot(
            waiting.sender,
            replica.info.name,
            spec.prompt_tokens,
            prefill_wait_s,
            now_s,
            name,
            frozenset(spec.parts),
            spec.tier,
            tokens=replicamemory.count_tokens(spec),
            pause_target_s=spec.pause_target_s,
            load=replica.held + 1,
            route=spec.route,
            is_repeat=spec.is_repeat,
        ),
        service=name,
    )
