"""Applies instances' messages about their requests to a pool's state."""

import typing
from collections import abc

from lavenderledge import outcomes
from lavenderledge.peers import messages
from lavenderledge.policy import incarnations, limits, poolstate, requests

GRANT_TTL_S: typing.Final = 2.0
# An instance that has not reported for this long is removed.
SENDER_TIMEOUT_S: typing.Final = 4.0

# For a while after a takeover, requests that have waited longer than this have
# been charged by the previous allocator, and limits are not scaled down: not
# all instances have reported yet.
_CHARGED_WAIT_S: typing.Final = 0.3
_TAKEOVER_S: typing.Final = 2.5

FindRow: typing.TypeAlias = abc.Callable[[str], limits.RowLimits | None]


class RefusedRequest(typing.NamedTuple):
    """A refused request, with the reason and the time to retry after."""

    sender: str
    request_id: str
    reason: outcomes.Reason
    retry_after_s: float


class Sender:
    """One requesting instance; ``stamp_s`` is on its own clock."""

    def __init__(self, *, incarnation: int, now_s: float) -> None:
        """Create a sender without requests."""
        self.incarnation = incarnation
        self.sequence = -1
        self.stamp_s = float('-inf')
        self.received_s = now_s
        self.requests: requests.Requests = {}

    def advance_stamp(self, stamp_s: float) -> None:
        """Advance to a message's stamp if it is newer."""
        self.stamp_s = max(self.stamp_s, stamp_s)


class Intake:
    """Applies reports, new requests and releases, each at most once."""

    def __init__(
        self, *, state: poolstate.PoolState, find_row: FindRow, now_s: float
    ) -> None:
        """Start without senders."""
        self.senders: dict[str, Sender] = {}
        self.refused: list[RefusedRequest] = []
        self._state = state
        self._find_row = find_row
        self._rates = limits.RateLimits()
        self._started_s = now_s

    def count_reporting(self) -> int:
        """Return the number of instances with a recent report."""
        return sum(
            1 for sender in self.senders.values() if sender.sequence >= 0
        )

    def apply_report(
        self, report: messages.Report, *, share: float, now_s: float
    ) -> bool:
        """Replace an instance's state; return False if the report is stale."""
        sender = self._find_sender(report.sender, report.incarnation, now_s)
        if sender is None or report.sequence <= sender.sequence:
            return False
        sender.sequence = report.sequence
        sender.received_s = now_s
        sender.advance_stamp(report.stamp_s)
        reported_ids = {running.request_id for running in report.running}
        reported_ids.update(spec.request_id for spec in report.waiting)
        for request in tuple(sender.requests.values()):
            gone = request.request_id not in reported_ids
            if gone and request.stamp_s <= report.stamp_s:
                self._remove(request, 0, now_s)
        for running in report.running:
            self._apply_running(report, running, now_s)
        for spec in report.waiting:
            self._apply_waiting(report, spec, share, now_s)
        return True

    def apply_request(
        self, message: messages.NewAsk, *, share: float, now_s: float
    ) -> None:
        """Add a waiting request, or update it if it is known."""
        sender = self._find_sender(message.sender, message.incarnation, now_s)
        if sender is None:
            return
        sender.advance_stamp(message.stamp_s)
        request = self._state.requests.get(message.spec.request_id)
        if request is None:
            self._add(
                message.sender, message.spec, message.stamp_s, share, now_s
            )
        elif request.stage is requests.Stage.WAITING:
            self._update(request, message.spec, message.stamp_s, now_s)

    def apply_release(self, message: messages.Release, *, now_s: float) -> None:
        """Remove a request that its instance has released."""
        request = self._state.requests.get(message.request_id)
        if request is not None and request.sender == message.sender:
            self._remove(request, message.output_done, now_s)

    def expire_senders(self, now_s: float) -> None:
        """Remove instances that have timed out, with their requests."""
        for name, sender in tuple(self.senders.items()):
            if now_s - sender.received_s > SENDER_TIMEOUT_S:
                self._remove_sender(name, now_s)

    def refuse(
        self, request: requests.Request, reason: outcomes.Reason, now_s: float
    ) -> None:
        """Remove a waiting request and queue a refusal for its instance."""
        self._remove(request, 0, now_s)
        self.refused.append(
            RefusedRequest(request.sender, request.request_id, reason, 0)
        )

    def _find_sender(
        self, name: str, incarnation: int, now_s: float
    ) -> Sender | None:
        return incarnations.admit(
            self.senders,
            name,
            incarnation,
            forget=lambda known: self._remove_sender(known, now_s),
            make=lambda: Sender(incarnation=incarnation, now_s=now_s),
        )

    def _remove_sender(self, name: str, now_s: float) -> None:
        sender = self.senders.pop(name)
        for request in tuple(sender.requests.values()):
            self._state.remove(request, output_done=0, now_s=now_s)

    def _apply_running(
        self,
        report: messages.Report,
        running: messages.RunningRequest,
        now_s: float,
    ) -> None:
        request = self._state.requests.get(running.request_id)
        if request is None:
            request = requests.Request(
                sender=report.sender,
                spec=requests.build_spec(running),
                stamp_s=report.stamp_s,
                now_s=now_s,
            )
            self.senders[report.sender].requests[running.request_id] = request
        request.stamp_s = max(request.stamp_s, report.stamp_s)
        waiting = request.stage is requests.Stage.WAITING
        if not waiting and request.replica != running.replica:
            self._state.move(request, running.replica, now_s=now_s)
        self._state.note_running(request, running, now_s=now_s)

    def _apply_waiting(
        self,
        report: messages.Report,
        spec: messages.RequestSpec,
        share: float,
        now_s: float,
    ) -> None:
        request = self._state.requests.get(spec.request_id)
        if request is None:
            self._add(report.sender, spec, report.stamp_s, share, now_s)
            return
        if request.stamp_s > report.stamp_s:
            return
        if request.stage is not requests.Stage.WAITING:
            in_flight = (
                request.stage is requests.Stage.GRANTED
                and request.sequence > report.grant_seen
                and now_s - request.granted_s <= 2 * GRANT_TTL_S
            )
            if in_flight:
                return
            self._state.requeue(request, now_s=now_s)
        self._update(request, spec, report.stamp_s, now_s)

    def _update(
        self,
        request: requests.Request,
        spec: messages.RequestSpec,
        stamp_s: float,
        now_s: float,
    ) -> None:
        if stamp_s >= request.stamp_s:
            request.stamp_s = stamp_s
            request.deadline_s = now_s + spec.remaining_s
            self._state.update_spec(request, spec)

    def _add(
        self,
        name: str,
        spec: messages.RequestSpec,
        stamp_s: float,
        share: float,
        now_s: float,
    ) -> None:
        if not self._admit(name, spec, share, now_s):
            return
        request = requests.Request(
            sender=name, spec=spec, stamp_s=stamp_s, now_s=now_s
        )
        self.senders[name].requests[spec.request_id] = request
        self._state.add(request)

    def _admit(
        self, name: str, spec: messages.RequestSpec, share: float, now_s: float
    ) -> bool:
        row = self._find_row(spec.row)
        taking_over = now_s - self._started_s < _TAKEOVER_S
        if taking_over and spec.waited_s > _CHARGED_WAIT_S:
            self._rates.note_charged(spec.request_id, now_s=now_s)
            return True
        share = 1 if taking_over else share
        waiting = self._state.queue.count_row(spec.row)
        if row is not None and waiting >= limits.scale_count(row.queue, share):
            self._refuse_new(name, spec, outcomes.Reason.QUEUE_FULL, 1)
            return False
        wait_s = self._rates.charge(
            spec.request_id, name=spec.row, row=row, share=share, now_s=now_s
        )
        if wait_s is not None:
            self._refuse_new(name, spec, outcomes.Reason.RATE_LIMITED, wait_s)
        return wait_s is None

    def _refuse_new(
        self,
        name: str,
        spec: messages.RequestSpec,
        reason: outcomes.Reason,
        retry_after_s: float,
    ) -> None:
        self.refused.append(
            RefusedRequest(name, spec.request_id, reason, retry_after_s)
        )

    def _remove(
        self, request: requests.Request, output_done: int, now_s: float
    ) -> None:
        self._state.remove(request, output_done=output_done, now_s=now_s)
        sender = self.senders.get(request.sender)
        if sender is not None:
            sender.requests.pop(request.request_id, None)
