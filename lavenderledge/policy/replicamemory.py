"""The memory of replicas: which of them have room for a request.

The prompts and outputs of the requests that run on a replica share its memory.
It crashes if they outgrow it, and all its requests are lost.
"""

import math
import typing
from collections import abc

# Factor of the expected output over the hint, which is right at the median but
# often far off. Not measured: a replica that is lost costs more than a request
# that waits, and the declared maximum bounds the error.
_HINT_MARGIN: typing.Final = 3
# Minimum expected output if the declared maximum is not lower: the relative
# error of small hints is larger.
_MIN_OUTPUT_TOKENS: typing.Final = 64
# Upper bound of a count, as messages between instances have 64-bit integers.
_MAX_TOKENS: typing.Final = 1_000_000_000
# Maximum fraction of a service's replicas that are kept free for requests that
# wait for memory; at least one is.
_MAX_RESERVED_RATIO: typing.Final = 0.25

# Requests that found no memory in one pass, after which the next ones count as
# unplaced for another reason.
_MAX_BLOCKED: typing.Final = 32


class _Sized(typing.Protocol):
    """What is read of a request; see ``slotmessages.RequestSpec``."""

    @property
    def request_id(self) -> str: ...

    @property
    def prompt_tokens(self) -> int: ...

    @property
    def output_tokens(self) -> int: ...


class _Waiting(typing.Protocol):
    """What is read of a waiting request; see ``slotqueue.WaitingRequest``."""

    @property
    def spec(self) -> _Sized: ...


class _Queue(typing.Protocol):
    def __contains__(self, request_id: str) -> bool: ...


class _Named(typing.Protocol):
    @property
    def name(self) -> str: ...


class _Replica(typing.Protocol):
    """What is read of a replica; see ``slots.Replica``."""

    held: int
    held_tokens: int

    @property
    def info(self) -> _Named: ...


_AnyReplica = typing.TypeVar('_AnyReplica', bound=_Replica)
_AnyWaiting = typing.TypeVar('_AnyWaiting', bound=_Waiting)


class Wait(typing.NamedTuple):
    """A request that waits for memory, and the replica kept free for it.

    The replica had ``free_tokens`` at that time, less than none if a request
    that exceeds its memory runs there.
    """

    request_id: str
    service: str
    replica: str
    tokens: int
    free_tokens: int


def estimate_output_tokens(
    hint_tokens: float | None, max_tokens: int | None
) -> int:
    """Return the output tokens to expect of a request.

    ``hint_tokens`` is the caller's estimate, ``max_tokens`` the declared
    maximum; either is None if the caller sent none.
    """
    limit = _MAX_TOKENS if max_tokens is None else min(max_tokens, _MAX_TOKENS)
    if not hint_tokens:
        return 0 if max_tokens is None else limit
    expected = max(hint_tokens * _HINT_MARGIN, _MIN_OUTPUT_TOKENS)
    return math.ceil(min(expected, limit))


def count_tokens(spec: _Sized) -> int:
    """Return the tokens of memory that a request is expected to take."""
    return min(spec.prompt_tokens + spec.output_tokens, _MAX_TOKENS)


def has_room(
    *, requests: int, held_tokens: int, tokens: int, capacity: float
) -> bool:
    """Return whether a replica's memory has room for one more request.

    One without requests takes any: it rejects what exceeds its memory itself.
    """
    return not requests or held_tokens + tokens <= capacity


class GrantPass(typing.Generic[_AnyReplica, _AnyWaiting]):
    """The memory checks of one pass over a service's waiting requests.

    Requests are offered in the order of the queue. For one that no replica has
    room for, a replica is reserved: requests behind it get no slot there, so
    that smaller ones do not take the room over and over again. The one with the
    most free memory is reserved. In the next pass that is the same one or one
    with even more, so the request gets its room when others end.
    """

    def __init__(
        self,
        *,
        capacity: float | None,
        replica_count: int,
        list_candidates: abc.Callable[[_AnyWaiting], list[_AnyReplica]],
    ) -> None:
        """Start without reservations; without a capacity, all have room.

        ``list_candidates`` returns the replicas that may serve a request, also
        those whose slots are all held.
        """
        self.reserved: dict[str, tuple[_Sized, _AnyReplica]] = {}
        self._capacity = capacity
        self._list_candidates = list_candidates
        self._max_reserved = max(1, int(replica_count * _MAX_RESERVED_RATIO))
        self._blocked: set[str] = set()

    def is_waiting(self, waiting: _AnyWaiting) -> bool:
        """Return whether a request found no memory in this pass.

        It is False beyond a number of such requests, which bounds the time of a
        pass: then the rest of their rank is skipped as for other reasons.
        """
        return waiting.spec.request_id in self._blocked

    def list_fitting(
        self, suitable: list[_AnyReplica], waiting: _AnyWaiting
    ) -> list[_AnyReplica]:
        """Return those replicas that have room for the next request.

        ``suitable`` have a free slot, and may serve it.
        """
        if self._capacity is None:
            return suitable
        unreserved = self._list_unreserved(suitable)
        fitting = [
            replica
            for replica in unreserved
            if has_room(
                requests=replica.held,
                held_tokens=replica.held_tokens,
                tokens=count_tokens(waiting.spec),
                capacity=self._capacity,
            )
        ]
        if suitable and not fitting:
            if len(self._blocked) < _MAX_BLOCKED:
                self._blocked.add(waiting.spec.request_id)
            if unreserved:
                self._reserve(waiting)
        return fitting

    def list_waits(self, service: str) -> list[Wait]:
        """Return the requests with reservations, in the order of the queue."""
        capacity = math.floor(self._capacity or 0)
        return [
            Wait(
                spec.request_id,
                service,
                name,
                count_tokens(spec),
                capacity - replica.held_tokens,
            )
            for name, (spec, replica) in self.reserved.items()
        ]

    def _reserve(self, waiting: _AnyWaiting) -> None:
        if len(self.reserved) >= self._max_reserved:
            return
        roomiest = min(
            self._list_unreserved(self._list_candidates(waiting)),
            key=lambda replica: replica.held_tokens,
            default=None,
        )
        if roomiest is not None:
            self.reserved[roomiest.info.name] = (waiting.spec, roomiest)

    def _list_unreserved(
        self, replicas: abc.Iterable[_AnyReplica]
    ) -> list[_AnyReplica]:
        return [
            replica
            for replica in replicas
            if replica.info.name not in self.reserved
        ]


class MemoryState:
    """The capacities in tokens by service, and what waits for memory."""

    def __init__(self) -> None:
        """Start without capacities: nothing is limited."""
        self.capacities: abc.Mapping[str, int] = {}
        self._known: dict[str, set[str]] = {}
        self._new: list[Wait] = []

    def find_capacity(self, service: str, share: float) -> float | None:
        """Return this allocator's share of a replica's tokens, None if any."""
        capacity = self.capacities.get(service)
        return None if capacity is None else capacity * share

    def note_pass(
        self,
        service: str,
        waits: abc.Iterable[Wait],
        waiting: _Queue,
    ) -> None:
        """Record the waits of a pass; each request's first one is new.

        ``waiting`` has the ids of the requests that wait in the service.
        """
        known = {
            request_id
            for request_id in self._known.get(service, ())
            if request_id in waiting
        }
        added = [wait for wait in waits if wait.request_id not in known]
        known.update(wait.request_id for wait in added)
        self._known[service] = known
        self._new += added

    def take_new_waits(self) -> list[Wait]:
        """Return the waits that are new since the last call."""
        taken = self._new
        self._new = []
        return taken
