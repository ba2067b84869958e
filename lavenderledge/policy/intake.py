"""What instances say of their requests, put into one pool's book."""

import typing
from collections import abc

from lavenderledge import outcomes
from lavenderledge.peers import messages
from lavenderledge.policy import incarnations, limits, poolstate, requests

GRANT_TTL_S: typing.Final = 2.0
# An instance that has not reported for this long is forgotten.
SENDER_TIMEOUT_S: typing.Final = 4.0

# After a takeover, requests that have waited longer than this were charged
# by the allocator before, and limits are not yet shared: not all instances
# have reported.
_CHARGED_AFTER_S: typing.Final = 0.3
_YOUNG_S: typing.Final = 2.5

FindRow: typing.TypeAlias = abc.Callable[[str], limits.RowLimits | None]


class RefusedRequest(typing.NamedTuple):
    """A request that a limit of its row keeps out."""

    sender: str
    request_id: str
    reason: outcomes.Reason
    retry_after_s: float


class Sender:
    """One instance that asks; ``stamp_s`` is by its own clock."""

    def __init__(self, *, incarnation: int, now_s: float) -> None:
        """Start with nothing held."""
        self.incarnation = incarnation
        self.sequence = -1
        self.stamp_s = float('-inf')
        self.received_s = now_s
        self.held: requests.Requests = {}

    def advance(self, stamp_s: float) -> None:
        """Take the stamp of a message, if it is the newest."""
        self.stamp_s = max(self.stamp_s, stamp_s)


class Intake:
    """Applies reports, asks and releases to a book, each at most once."""

    def __init__(
        self, *, state: poolstate.PoolState, find_row: FindRow, now_s: float
    ) -> None:
        """Start without senders."""
        self.senders: dict[str, Sender] = {}
        self.refused: list[RefusedRequest] = []
        self._book = state
        self._find_row = find_row
        self._rates = limits.RateLimits()
        self._began_s = now_s

    def count_reporting(self) -> int:
        """Return how many instances have reported of late."""
        return sum(
            1 for sender in self.senders.values() if sender.sequence >= 0
        )

    def apply_report(
        self, report: messages.Report, *, share: float, now_s: float
    ) -> bool:
        """Replace what is known of an instance; False where it is stale."""
        sender = self._find_sender(report.sender, report.incarnation, now_s)
        if sender is None or report.sequence <= sender.sequence:
            return False
        sender.sequence = report.sequence
        sender.received_s = now_s
        sender.advance(report.stamp_s)
        named = {held.request_id for held in report.running}
        named.update(ask.request_id for ask in report.waiting)
        for request in tuple(sender.held.values()):
            gone = request.request_id not in named
            if gone and request.stamp_s <= report.stamp_s:
                self._drop(request, 0, now_s)
        for held in report.running:
            self._see_running(report, held, now_s)
        for ask in report.waiting:
            self._see_waiting(report, ask, share, now_s)
        return True

    def apply_request(
        self, message: messages.NewAsk, *, share: float, now_s: float
    ) -> None:
        """Take a request that begins to wait, or is pressed."""
        sender = self._find_sender(message.sender, message.incarnation, now_s)
        if sender is None:
            return
        sender.advance(message.stamp_s)
        request = self._book.requests.get(message.spec.request_id)
        if request is None:
            self._add(
                message.sender, message.spec, message.stamp_s, share, now_s
            )
        elif request.stage is requests.Stage.WAITING:
            self._renew(request, message.spec, message.stamp_s, now_s)

    def apply_release(self, message: messages.Release, *, now_s: float) -> None:
        """Forget a request that its instance no longer holds."""
        request = self._book.requests.get(message.request_id)
        if request is not None and request.sender == message.sender:
            self._drop(request, message.output_done, now_s)

    def expire_senders(self, now_s: float) -> None:
        """Drop the instances that have been silent, with their requests."""
        for name, sender in tuple(self.senders.items()):
            if now_s - sender.received_s > SENDER_TIMEOUT_S:
                self._forget(name, now_s)

    def refuse(
        self, request: requests.Request, reason: outcomes.Reason, now_s: float
    ) -> None:
        """Drop a request that waits and have its instance told."""
        self._drop(request, 0, now_s)
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
            forget=lambda known: self._forget(known, now_s),
            make=lambda: Sender(incarnation=incarnation, now_s=now_s),
        )

    def _forget(self, name: str, now_s: float) -> None:
        sender = self.senders.pop(name)
        for request in tuple(sender.held.values()):
            self._book.drop(request, output_done=0, now_s=now_s)

    def _see_running(
        self,
        report: messages.Report,
        held: messages.RunningRequest,
        now_s: float,
    ) -> None:
        request = self._book.requests.get(held.request_id)
        if request is None:
            request = requests.Request(
                sender=report.sender,
                spec=requests.build_spec(held),
                stamp_s=report.stamp_s,
                now_s=now_s,
            )
            self.senders[report.sender].held[held.request_id] = request
        request.stamp_s = max(request.stamp_s, report.stamp_s)
        waiting = request.stage is requests.Stage.WAITING
        if not waiting and request.replica != held.replica:
            self._book.move(request, held.replica, now_s=now_s)
        self._book.adopt(request, held, now_s=now_s)

    def _see_waiting(
        self,
        report: messages.Report,
        ask: messages.RequestSpec,
        share: float,
        now_s: float,
    ) -> None:
        request = self._book.requests.get(ask.request_id)
        if request is None:
            self._add(report.sender, ask, report.stamp_s, share, now_s)
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
            self._book.put_back(request, now_s=now_s)
        self._renew(request, ask, report.stamp_s, now_s)

    def _renew(
        self,
        request: requests.Request,
        ask: messages.RequestSpec,
        stamp_s: float,
        now_s: float,
    ) -> None:
        if stamp_s >= request.stamp_s:
            request.stamp_s = stamp_s
            request.deadline_s = now_s + ask.remaining_s
            self._book.update_spec(request, ask)

    def _add(
        self,
        name: str,
        ask: messages.RequestSpec,
        stamp_s: float,
        share: float,
        now_s: float,
    ) -> None:
        if not self._admit(name, ask, share, now_s):
            return
        request = requests.Request(
            sender=name, spec=ask, stamp_s=stamp_s, now_s=now_s
        )
        self.senders[name].held[ask.request_id] = request
        self._book.add(request)

    def _admit(
        self, name: str, ask: messages.RequestSpec, share: float, now_s: float
    ) -> bool:
        row = self._find_row(ask.row)
        young = now_s - self._began_s < _YOUNG_S
        if young and ask.waited_s > _CHARGED_AFTER_S:
            self._rates.note_charged(ask.request_id, now_s=now_s)
            return True
        share = 1 if young else share
        waiting = self._book.queue.count_row(ask.row)
        if row is not None and waiting >= limits.share_count(row.queue, share):
            self._refuse_ask(name, ask, outcomes.Reason.QUEUE_FULL, 1)
            return False
        wait_s = self._rates.charge(
            ask.request_id, name=ask.row, row=row, share=share, now_s=now_s
        )
        if wait_s is not None:
            self._refuse_ask(name, ask, outcomes.Reason.RATE_LIMITED, wait_s)
        return wait_s is None

    def _refuse_ask(
        self,
        name: str,
        ask: messages.RequestSpec,
        reason: outcomes.Reason,
        retry_after_s: float,
    ) -> None:
        self.refused.append(
            RefusedRequest(name, ask.request_id, reason, retry_after_s)
        )

    def _drop(
        self, request: requests.Request, output_done: int, now_s: float
    ) -> None:
        self._book.drop(request, output_done=output_done, now_s=now_s)
        sender = self.senders.get(request.sender)
        if sender is not None:
            sender.held.pop(request.request_id, None)
