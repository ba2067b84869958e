"""Every outstanding request of one pool, with the counts that follow."""

import typing

from lavenderledge.peers import messages
from lavenderledge.policy import queueing, replicas, requests

# The cost of a prompt token to its flow, in output tokens.
PREFILL_COST: typing.Final = 0.1
# A running answer is taken to have at least this part of its estimate left.
_LEAST_LEFT: typing.Final = 0.1


class PoolState:
    """Keeps requests, queue and loads in step; changes go through here."""

    def __init__(self) -> None:
        """Start empty."""
        self.plain = False
        self.requests: requests.Requests = {}
        self.queue = queueing.Queue()
        self.replicas: dict[str, replicas.Replica] = {}
        self.held: dict[int, requests.Requests] = {}
        self.immediate: requests.Requests = {}
        self.freeing: requests.Requests = {}
        self._row_held: dict[str, int] = {}
        self._cancellable: dict[int, int] = {}

    def add(self, request: requests.Request) -> None:
        """Add a request that waits."""
        self.requests[request.request_id] = request
        self._wait(request)

    def update_spec(
        self, request: requests.Request, ask: messages.RequestSpec
    ) -> None:
        """Take a newer ask for a request that waits."""
        if not ask.prefix:
            ask = ask._replace(prefix=request.spec.prefix)
        old = request.spec
        if (old.tier, old.row) == (ask.tier, ask.row):
            request.spec = ask
            self._mark_pressed(request)
            return
        self._leave_queue(request)
        request.spec = ask
        self._wait(request)

    def grant(
        self,
        request: requests.Request,
        *,
        replica: str,
        sequence: int,
        cached_tokens: float,
        now_s: float,
    ) -> None:
        """Grant a replica to a request that waits."""
        self._leave_queue(request)
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
        self._hold(request, now_s)
        self.find_replica(replica).note_granted(now_s=now_s)

    def adopt(
        self,
        request: requests.Request,
        held: messages.RunningRequest,
        *,
        now_s: float,
    ) -> None:
        """Take an instance's word that a request runs on a replica."""
        if request.stage is requests.Stage.WAITING:
            if request.request_id in self.requests:
                self._leave_queue(request)
            self.requests[request.request_id] = request
            request.granted_s = now_s
            request.replica = held.replica
            request.prefill_left = self.count_prompt(held.prompt_tokens)
            request.output_left = self.count_output(held.output_tokens)
            self._charge(request)
            self._hold(request, now_s)
        request.stage = requests.Stage.RUNNING
        self._note_progress(request, held)

    def move(
        self, request: requests.Request, replica: str, *, now_s: float
    ) -> None:
        """Count a request at another replica than it was granted."""
        self._unload(request, now_s)
        request.replica = replica
        self._load(request, now_s)

    def put_back(self, request: requests.Request, *, now_s: float) -> None:
        """Let a request wait whose grant was lost or has expired."""
        self._unhold(request, now_s)
        self._settle(request, 0)
        self._wait(request)

    def drop(
        self, request: requests.Request, *, output_done: int, now_s: float
    ) -> None:
        """Forget a request; its flow pays for what was done."""
        self.requests.pop(request.request_id)
        if request.stage is requests.Stage.WAITING:
            self._leave_queue(request)
            return
        self._unhold(request, now_s)
        done = max(output_done, request.output_done)
        self._settle(request, _count_cost(request.spec.prompt_tokens, done))

    def preempt(self, request: requests.Request, *, now_s: float) -> None:
        """Record that a request is told to end."""
        request.preempted_s = now_s
        self.freeing[request.request_id] = request

    def find_replica(self, name: str) -> replicas.Replica:
        """Return a replica, listed or not."""
        replica = self.replicas.get(name)
        if replica is None:
            replica = replicas.Replica(info=None)
            self.replicas[name] = replica
        return replica

    def count_row_held(self, row: str) -> int:
        """Return how many requests of a row hold grants."""
        return self._row_held.get(row, 0)

    def count_held(self) -> int:
        """Return how many requests hold grants."""
        return sum(map(len, self.held.values()))

    def has_lower_held(self, tier: int) -> bool:
        """Return whether lower-tier work holds grants and may be cancelled."""
        return any(
            count and number > tier
            for number, count in self._cancellable.items()
        )

    def count_prompt(self, tokens: int) -> int:
        """Return a prompt's tokens; plain services have no prefill."""
        return 0 if self.plain else tokens

    def count_output(self, tokens: int) -> int:
        """Return an answer's tokens; a plain answer counts as one."""
        return 1 if self.plain else tokens

    def _wait(self, request: requests.Request) -> None:
        request.stage = requests.Stage.WAITING
        request.replica = ''
        self.queue.add(request)
        self._mark_pressed(request)

    def _mark_pressed(self, request: requests.Request) -> None:
        if request.spec.immediate:
            self.immediate[request.request_id] = request

    def _leave_queue(self, request: requests.Request) -> None:
        self.queue.remove(request)
        self.immediate.pop(request.request_id, None)

    def _hold(self, request: requests.Request, now_s: float) -> None:
        ask = request.spec
        self.held.setdefault(ask.tier, {})[ask.request_id] = request
        self._row_held[ask.row] = self._row_held.get(ask.row, 0) + 1
        tier = request.cancel_tier
        self._cancellable[tier] = self._cancellable.get(tier, 0) + 1
        self._load(request, now_s)

    def _unhold(self, request: requests.Request, now_s: float) -> None:
        ask = request.spec
        self.held[ask.tier].pop(ask.request_id)
        self.freeing.pop(ask.request_id, None)
        self._row_held[ask.row] -= 1
        if not self._row_held[ask.row]:
            self._row_held.pop(ask.row)
        self._cancellable[request.cancel_tier] -= 1
        self._unload(request, now_s)

    def _load(self, request: requests.Request, now_s: float) -> None:
        self.find_replica(request.replica).load.add(
            tier=request.cancel_tier,
            prefill=request.prefill_left,
            output=request.output_left,
            now_s=now_s,
        )

    def _unload(self, request: requests.Request, now_s: float) -> None:
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
        self, request: requests.Request, held: messages.RunningRequest
    ) -> None:
        """Update what is left to do by an instance's report."""
        load = self.find_replica(request.replica).load
        prefill = 0 if held.output_done else request.prefill_left
        usual = self.count_output(held.output_tokens)
        output = max(usual - held.output_done, int(usual * _LEAST_LEFT))
        load.change(
            prefill=prefill - request.prefill_left,
            output=output - request.output_left,
        )
        request.prefill_left = prefill
        request.output_left = output
        request.output_done = held.output_done

    def _charge(self, request: requests.Request) -> None:
        request.cost = _count_cost(
            request.spec.prompt_tokens, request.spec.output_tokens
        )
        self.queue.charge(request, request.cost)

    def _settle(self, request: requests.Request, cost: float) -> None:
        self.queue.correct(request, cost - request.cost)
        request.cost = 0
        request.preempted_s = None


def _count_cost(prompt_tokens: int, output_tokens: int) -> float:
    return prompt_tokens * PREFILL_COST + output_tokens
