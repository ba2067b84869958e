"""Outstanding requests of one pool, with the queue and loads they imply."""

import typing

from lavenderledge.peers import messages
from lavenderledge.policy import queueing, replicas, requests

# The cost of a prompt token to its flow, in output tokens.
PREFILL_COST: typing.Final = 0.1
# Minimum ratio of its estimate that a running answer is assumed to have left.
_MIN_REMAINING_RATIO: typing.Final = 0.1


class PoolState:
    """Keeps requests, queue and loads consistent; all changes go through it."""

    def __init__(self) -> None:
        """Start empty."""
        self.plain = False
        self.requests: requests.Requests = {}
        self.queue = queueing.Queue()
        self.replicas: dict[str, replicas.Replica] = {}
        self.held: dict[int, requests.Requests] = {}
        self.immediate: requests.Requests = {}
        self.preempting: requests.Requests = {}
        self._held_by_row: dict[str, int] = {}
        self._cancellable: dict[int, int] = {}

    def add(self, request: requests.Request) -> None:
        """Add a waiting request."""
        self.requests[request.request_id] = request
        self._enqueue(request)

    def update_spec(
        self, request: requests.Request, spec: messages.RequestSpec
    ) -> None:
        """Replace the spec of a waiting request."""
        if not spec.prefix:
            spec = spec._replace(prefix=request.spec.prefix)
        old = request.spec
        if (old.tier, old.row) == (spec.tier, spec.row):
            request.spec = spec
            self._note_immediate(request)
            return
        self._dequeue(request)
        request.spec = spec
        self._enqueue(request)

    def grant(
        self,
        request: requests.Request,
        *,
        replica: str,
        sequence: int,
        cached_tokens: float,
        now_s: float,
    ) -> None:
        """Grant a replica to a waiting request."""
        self._dequeue(request)
        request.stage = requests.Stage.GRANTED
        request.replica = replica
        request.sequence = sequence
        request.granted_s = now_s
        request.output_done = 0
        request.prefill_left = max(
            0,
            self.count_prompt(request.spec.prompt_tokens) - int(cached_tokens),
        )
        request.output_left = self.count_output(request.spec.output_tokens)
        self._charge(request)
        self._add_held(request, now_s)
        self.find_replica(replica).note_granted(now_s=now_s)

    def note_running(
        self,
        request: requests.Request,
        running: messages.RunningRequest,
        *,
        now_s: float,
    ) -> None:
        """Record that an instance reports a request as running on a replica."""
        if request.stage is requests.Stage.WAITING:
            if request.request_id in self.requests:
                self._dequeue(request)
            self.requests[request.request_id] = request
            request.granted_s = now_s
            request.replica = running.replica
            request.prefill_left = self.count_prompt(running.prompt_tokens)
            request.output_left = self.count_output(running.output_tokens)
            self._charge(request)
            self._add_held(request, now_s)
        request.stage = requests.Stage.RUNNING
        self._note_progress(request, running)

    def move(
        self, request: requests.Request, replica: str, *, now_s: float
    ) -> None:
        """Move a request's load to the replica where it actually runs."""
        self._remove_load(request, now_s)
        request.replica = replica
        self._add_load(request, now_s)

    def requeue(self, request: requests.Request, *, now_s: float) -> None:
        """Requeue a request whose grant was lost or has expired."""
        self._remove_held(request, now_s)
        self._correct_charge(request, 0)
        self._enqueue(request)

    def remove(
        self, request: requests.Request, *, output_done: int, now_s: float
    ) -> None:
        """Remove a request; its flow is charged for the tokens produced."""
        self.requests.pop(request.request_id)
        if request.stage is requests.Stage.WAITING:
            self._dequeue(request)
            return
        self._remove_held(request, now_s)
        done = max(output_done, request.output_done)
        self._correct_charge(
            request, _count_cost(request.spec.prompt_tokens, done)
        )

    def preempt(self, request: requests.Request, *, now_s: float) -> None:
        """Record that a request is being preempted."""
        request.preempted_s = now_s
        self.preempting[request.request_id] = request

    def find_replica(self, name: str) -> replicas.Replica:
        """Return a replica, creating an unlisted one if it is unknown."""
        replica = self.replicas.get(name)
        if replica is None:
            replica = replicas.Replica(info=None)
            self.replicas[name] = replica
        return replica

    def count_row_held(self, row: str) -> int:
        """Return the number of a row's requests that hold grants."""
        return self._held_by_row.get(row, 0)

    def count_held(self) -> int:
        """Return the number of requests that hold grants."""
        return sum(map(len, self.held.values()))

    def has_lower_held(self, tier: int) -> bool:
        """Return whether cancellable lower-tier requests hold grants."""
        return any(
            count and other_tier > tier
            for other_tier, count in self._cancellable.items()
        )

    def count_prompt(self, tokens: int) -> int:
        """Return the prompt's tokens, 0 for plain services (no prefill)."""
        return 0 if self.plain else tokens

    def count_output(self, tokens: int) -> int:
        """Return the answer's tokens, 1 for plain services."""
        return 1 if self.plain else tokens

    def _enqueue(self, request: requests.Request) -> None:
        request.stage = requests.Stage.WAITING
        request.replica = ''
        self.queue.add(request)
        self._note_immediate(request)

    def _note_immediate(self, request: requests.Request) -> None:
        if request.spec.immediate:
            self.immediate[request.request_id] = request

    def _dequeue(self, request: requests.Request) -> None:
        self.queue.remove(request)
        self.immediate.pop(request.request_id, None)

    def _add_held(self, request: requests.Request, now_s: float) -> None:
        spec = request.spec
        self.held.setdefault(spec.tier, {})[spec.request_id] = request
        self._held_by_row[spec.row] = self._held_by_row.get(spec.row, 0) + 1
        tier = request.cancel_tier
        self._cancellable[tier] = self._cancellable.get(tier, 0) + 1
        self._add_load(request, now_s)

    def _remove_held(self, request: requests.Request, now_s: float) -> None:
        spec = request.spec
        self.held[spec.tier].pop(spec.request_id)
        self.preempting.pop(spec.request_id, None)
        self._held_by_row[spec.row] -= 1
        if not self._held_by_row[spec.row]:
            self._held_by_row.pop(spec.row)
        self._cancellable[request.cancel_tier] -= 1
        self._remove_load(request, now_s)

    def _add_load(self, request: requests.Request, now_s: float) -> None:
        self.find_replica(request.replica).load.add(
            tier=request.cancel_tier,
            prefill=request.prefill_left,
            output=request.output_left,
            now_s=now_s,
        )

    def _remove_load(self, request: requests.Request, now_s: float) -> None:
        replica = self.find_replica(request.replica)
        replica.load.remove(
            tier=request.cancel_tier,
            prefill=request.prefill_left,
            output=request.output_left,
            now_s=now_s,
        )
        if replica.info is None and not replica.load.held:
            self.replicas.pop(request.replica)

    def _note_progress(
        self, request: requests.Request, running: messages.RunningRequest
    ) -> None:
        """Update a request's remaining work from an instance's report."""
        load = self.find_replica(request.replica).load
        prefill = 0 if running.output_done else request.prefill_left
        estimated = self.count_output(running.output_tokens)
        output = max(
            estimated - running.output_done,
            int(estimated * _MIN_REMAINING_RATIO),
        )
        load.adjust(
            prefill=prefill - request.prefill_left,
            output=output - request.output_left,
        )
        request.prefill_left = prefill
        request.output_left = output
        request.output_done = running.output_done

    def _charge(self, request: requests.Request) -> None:
        request.cost = _count_cost(
            request.spec.prompt_tokens, request.spec.output_tokens
        )
        self.queue.charge(request, request.cost)

    def _correct_charge(self, request: requests.Request, cost: float) -> None:
        self.queue.adjust(request, cost - request.cost)
        request.cost = 0
        request.preempted_s = None


def _count_cost(prompt_tokens: int, output_tokens: int) -> float:
    return prompt_tokens * PREFILL_COST + output_tokens
