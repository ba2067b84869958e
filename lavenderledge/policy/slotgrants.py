"""Who gets which slot, who waits for one and who is turned away.

Replicas run a fixed number of requests at a time and admit in order of
arrival, so that nothing is sent to one whose slots are taken: requests wait
here, where ranks and objectives are known.
"""

import itertools
import typing

from lavenderledge.peers import slotmessages as messages
from lavenderledge.policy import rendezvous, slotqueue, slots

# Retry-After lies between these, seconds, and is spread by this part, so that
# callers neither return in a busy loop nor all at once.
_LEAST_RETRY_S: typing.Final = 0.3
_MOST_RETRY_S: typing.Final = 5.0
_RETRY_SPREAD: typing.Final = 0.4
# A full replica takes so much longer than an empty one.
_FULL_FACTOR: typing.Final = 0.5
# Of each line so many are looked at that no free replica suits.
_LOOK_AHEAD: typing.Final = 6
# No request is looked at for lateness more often than this, seconds.
_SORT_INTERVAL_S: typing.Final = 0.02


class Granted(typing.NamedTuple):
    """A request and the replica it was granted, at ``host:port``."""

    sender: str
    request_id: str
    replica: str
    address: str


class Refused(typing.NamedTuple):
    """A request that is turned away."""

    sender: str
    request_id: str
    reason: str
    retry_after_s: float


def enqueue(
    book: slots.SlotState,
    sender: str,
    wanted: messages.RequestSpec,
    now_s: float,
) -> Refused | None:
    """Let a request wait, or refuse it where no slot will come in time."""
    if not book.has_replica_list:
        # A new allocator has not read the list yet; it takes milliseconds.
        book.services.setdefault(wanted.service, slots.Service())
    service = book.services.get(wanted.service)
    if service is None or (book.has_replica_list and not service.replicas):
        return Refused(sender, wanted.request_id, 'no_upstream', _LEAST_RETRY_S)
    if wanted.request_id in service.queue:
        return None
    waiting = slotqueue.WaitingRequest(
        sender,
        wanted,
        now_s + wanted.objective_left_s,
        now_s + wanted.remaining_s,
    )
    late = wanted.objective_left_s <= 0
    refused = _refuse_hopeless(book, service, waiting, now_s, late=late)
    if refused is not None:
        return refused
    service.queue.add(waiting, late=late)
    return None


def decide(
    book: slots.SlotState, now_s: float
) -> tuple[list[Granted], list[Refused]]:
    """Grant what can be granted, in order; refuse what is hopeless."""
    granted: list[Granted] = []
    refused: list[Refused] = []
    for name, service in book.services.items():
        if service.queue:
            refused += _sort_out(book, service, now_s)
            granted += _grant(book, name, service, now_s)
    return granted, refused


def list_waiting_senders(book: slots.SlotState) -> set[str]:
    """Return the instances whose requests wait."""
    return set(
        itertools.chain.from_iterable(
            service.queue.list_senders() for service in book.services.values()
        )
    )


def _sort_out(
    book: slots.SlotState, service: slots.Service, now_s: float
) -> list[Refused]:
    """Put the late behind, and refuse those whom no slot reaches in time."""
    if now_s - service.sorted_s < _SORT_INTERVAL_S:
        return []
    service.sorted_s = now_s
    refused: list[Refused] = []
    fastest = _find_fastest(service)
    for waiting in service.queue.walk():
        found = None
        if waiting.expires_s <= now_s:
            found = _refuse(book, service, waiting)
        elif not service.queue.is_late(waiting) and _is_late(
            service, waiting, now_s, fastest=fastest
        ):
            service.queue.demote(waiting)
            found = _refuse_hopeless(book, service, waiting, now_s, late=True)
        if found is not None:
            service.queue.remove(waiting.request_id)
            refused.append(found)
    return refused


def _find_fastest(service: slots.Service) -> float:
    """Return the least factor of the replicas' first bytes."""
    return min(
        (replica.health.factor for replica in service.replicas.values()),
        default=float(0),
    )


def _is_late(
    service: slots.Service,
    waiting: slotqueue.WaitingRequest,
    now_s: float,
    *,
    fastest: float,
) -> bool:
    """Return whether no replica could begin to answer by the objective."""
    first_s = service.first_byte.expect(waiting.spec.prompt_tokens) * fastest
    return now_s + first_s > waiting.due_s


def _refuse_hopeless(
    book: slots.SlotState,
    service: slots.Service,
    waiting: slotqueue.WaitingRequest,
    now_s: float,
    *,
    late: bool,
) -> Refused | None:
    place = slotqueue.find_place(waiting.spec.tier, late=late)
    ahead = service.queue.count_before(place)
    wait_s = ahead / service.count_rate(book.share)
    if now_s + wait_s <= waiting.expires_s:
        return None
    return _refuse(book, service, waiting)


def _refuse(
    book: slots.SlotState,
    service: slots.Service,
    waiting: slotqueue.WaitingRequest,
) -> Refused:
    """Return a refusal until the present queue should have been served."""
    clear_s = len(service.queue) / service.count_rate(book.share)
    point = rendezvous.hash_to_fraction(waiting.request_id)
    spread_s = clear_s * (1 + _RETRY_SPREAD * point)
    return Refused(
        waiting.sender,
        waiting.request_id,
        'overloaded',
        min(max(spread_s, _LEAST_RETRY_S), _MOST_RETRY_S),
    )


def _grant(
    book: slots.SlotState, name: str, service: slots.Service, now_s: float
) -> list[Granted]:
    free = [
        replica
        for replica in service.replicas.values()
        if replica.is_free(share=book.share, now_s=now_s)
    ]
    granted: list[Granted] = []
    unplaced: dict[float, int] = {}
    for waiting in service.queue.walk():
        if not free:
            break
        place = service.queue.read_place(waiting)
        if unplaced.get(place, 0) >= _LOOK_AHEAD:
            continue
        chosen = _choose(service, free, waiting, now_s)
        if chosen is None:
            unplaced[place] = unplaced.get(place, 0) + 1
            continue
        service.queue.remove(waiting.request_id)
        _take(book, name, chosen, waiting, now_s)
        granted.append(
            Granted(
                waiting.sender,
                waiting.request_id,
                chosen.info.name,
                chosen.info.address,
            )
        )
        if not chosen.is_free(share=book.share, now_s=now_s):
            free.remove(chosen)
    return granted


def _take(
    book: slots.SlotState,
    name: str,
    replica: slots.Replica,
    waiting: slotqueue.WaitingRequest,
    now_s: float,
) -> None:
    wanted = waiting.spec
    replica.health.note_granted(now_s)
    queued_s = replica.queued_s(now_s)
    book.services[name].note_reading(replica, wanted.prompt_tokens, now_s)
    book.hold(
        waiting.request_id,
        slots.HeldSlot(
            waiting.sender,
            replica.info.name,
            wanted.prompt_tokens,
            queued_s,
            now_s,
        ),
        service=name,
    )


def _choose(
    service: slots.Service,
    free: list[slots.Replica],
    waiting: slotqueue.WaitingRequest,
    now_s: float,
) -> slots.Replica | None:
    """Return the replica on which the request should be over soonest.

    A request that is in time waits on where only replicas are free that
    would make it late.
    """
    wanted = waiting.spec
    fitting = [
        replica for replica in free if replica.info.name not in wanted.excluded
    ]
    if not service.queue.is_late(waiting):
        left_s = waiting.due_s - now_s
        fitting = [
            replica
            for replica in fitting
            if service.expect_first_s(replica, wanted.prompt_tokens, now_s)
            <= left_s
        ]

    usual_errors = service.errors.read(0)

    def expect_end(replica: slots.Replica) -> float:
        crowd = replica.held / max(1, replica.info.slots)
        first_s = service.expect_first_s(replica, wanted.prompt_tokens, now_s)
        hold_s = service.expect_hold_s(replica, now_s)
        run_s = first_s + hold_s * (1 + _FULL_FACTOR * crowd)
        return run_s * replica.health.expect_runs(usual_errors)

    return min(fitting, key=expect_end, default=None)
