"""The requester's side of slots: this instance's own requests."""

import asyncio
import collections
import datetime
import itertools
import typing
from collections import abc

import expression

from lavenderledge import clock as clocks
from lavenderledge.controllers import (
    noticecodec,
    quarantinecodec,
    slotallocator,
    spendingcodec,
)
from lavenderledge.peers import slotmessages as messages
from lavenderledge.policy import (
    crashevidence,
    replicamemory,
    requestcrashes,
    spending,
    upstreamnotices,
)

_TICK_MS: typing.Final = 50
TICK: typing.Final = datetime.timedelta(milliseconds=_TICK_MS)
REPORT_INTERVAL_S: typing.Final = 0.5
# An allocator that has not answered for this long is skipped, seconds. This
# covers a few round trips and ticks and is far below any objective.
ALLOCATOR_TIMEOUT_S: typing.Final = 0.2
# A skipped allocator is used again if it answers after this period, seconds.
# Each change of the allocator costs a report and repeated requests.
SUSPECT_PERIOD_S: typing.Final = 1.0
# A list of replicas that the store has not confirmed for this long may be out
# of date, seconds. Normally the age stays below two watches and a pause.
MAX_LIST_AGE_S: typing.Final = 1.8
# Lists confirmed less than this apart count as equally old, seconds, so that a
# small difference does not change the allocator.
_AGE_TOLERANCE_S: typing.Final = 1.0
# Lost runs are reported again for this long, seconds, since messages may be
# lost. A new allocator gets all of them.
_LOST_RUN_REPEAT_S: typing.Final = 2.0
# A new allocator is told of the quotas' spendings for this long, seconds.
_SPENDINGS_REPEAT_S: typing.Final = 2.0
# Characters of a request's id in the names of its slots, for the log.
_MAX_ID_CHARACTERS: typing.Final = 100
# How many of the first-ranked instances follow the store for the others.
FOLLOWER_COUNT: typing.Final = 3

Send: typing.TypeAlias = abc.Callable[[str, messages.Message], object]


class Refusal(typing.NamedTuple):
    """Why a request gets no slot, and when to retry."""

    reason: str
    retry_after_s: float


class Slot(typing.NamedTuple):
    """A replica's slot.

    ``granted_s`` is when the grant was read. The store confirmed the list that
    it is based on at ``list_confirmed_s`` or later. ``started_ms`` is when the
    replica started, 0 if it is not known. After ``held_until_s``, the allocator
    may have withdrawn it.
    """

    replica: str
    address: str
    granted_s: float
    list_confirmed_s: float
    started_ms: int = 0
    held_until_s: float = float('inf')

    @property
    def upstream(self) -> upstreamnotices.Upstream:
        """Return the replica's identity."""
        return upstreamnotices.Upstream(self.replica, self.started_ms)


Decision: typing.TypeAlias = expression.Result[Slot, Refusal]


class Callbacks(typing.NamedTuple):
    """Callbacks for events of the requester.

    ``allocator_changed`` gets the former and the new allocator.
    ``freshness_received`` gets the allocator's configuration version and the
    time at which it was confirmed. ``report_echoed`` gets the seconds from a
    report to its first echo, ``peer_silent`` the name of an allocator that is
    skipped, ``peer_heard`` that of one that answers again. ``notice_changed``
    gets a replica that says something else of itself than before, or names a
    pause.
    ``update_received`` gets an update of the configuration and the time at
    which its version was confirmed.
    """

    allocator_changed: abc.Callable[[str, str], None]
    freshness_received: abc.Callable[[int, float], None]
    report_echoed: abc.Callable[[float], None]
    peer_silent: abc.Callable[[str], None]
    peer_heard: abc.Callable[[str], None]
    notice_changed: abc.Callable[[str, upstreamnotices.Notice], None]
    update_received: abc.Callable[[messages.ConfigurationUpdate, float], None]
    grant_lapsed: abc.Callable[[str], None]


class OwnState(typing.NamedTuple):
    """What an instance tells its allocator besides its requests.

    ``list_spendings`` returns what this instance charged as an allocator.
    """

    read_incarnation: abc.Callable[[], int]
    read_version: abc.Callable[[], int]
    notices: upstreamnotices.NoticeBoard
    list_spendings: abc.Callable[[], abc.Sequence[spending.Spending]]
    quota_window_s: float


class _Entry:
    def __init__(
        self,
        spec: messages.RequestSpec,
        waiter: 'asyncio.Future[Decision]',
        now_s: float,
    ) -> None:
        self.spec = spec
        self.waiter = waiter
        self.requested_s = now_s
        self.asked_s = now_s
        self.objective_s = now_s + spec.objective_left_s
        self.expires_s = now_s + spec.remaining_s
        self.charged = False
        self.replica = ''
        self.paused: frozenset[str] = frozenset()

    def renew(self, now_s: float) -> messages.RequestSpec:
        """Return the request's spec with its remaining times updated."""
        excluded = (*self.spec.excluded, *sorted(self.paused))
        return self.spec._replace(
            excluded=excluded[: messages.MAX_EXCLUDED],
            objective_left_s=self.objective_s - now_s,
            remaining_s=self.expires_s - now_s,
            cost=0 if self.charged else self.spec.cost,
        )


class SlotRequester:
    """Requests slots from the allocator and reports the held ones to it.

    If the allocator does not answer in time, the next in rank is used, which
    may be this instance itself.
    """

    def __init__(
        self,
        *,
        instance: str,
        address: str,
        own_state: OwnState,
        clock: clocks.Clock,
        send: Send,
        rank_allocators: abc.Callable[[], abc.Sequence[str]],
        callbacks: Callbacks,
    ) -> None:
        """Start without requests, with this instance as the allocator."""
        self._instance = instance
        self._address = address
        self._read_incarnation = own_state.read_incarnation
        self._read_version = own_state.read_version
        self._notices = own_state.notices
        self._list_spendings = own_state.list_spendings
        self._quota_window_s = own_state.quota_window_s
        self._spendings: collections.deque[spending.Spending] = (
            collections.deque(maxlen=messages.MAX_SPENDINGS)
        )
        self._allocator_since_s = float('-inf')
        self._allocator_incarnation = 0
        self._clock = clock
        self._send = send
        self._rank_allocators = rank_allocators
        self._callbacks = callbacks
        self._last_echo_s = float('-inf')
        self._entries: dict[str, _Entry] = {}
        self._slot_numbers = itertools.count()
        self._allocator = instance
        self._waiting_since_s: float | None = None
        self._reported_s = float('-inf')
        self._sequence = 0
        self._suspect_until_s: dict[str, float] = {}
        self._stale_confirmed_s: dict[str, float] = {}
        self._lost_runs: collections.deque[crashevidence.LostRun] = (
            collections.deque(maxlen=messages.MAX_LOST_RUNS)
        )
        self._quarantines: tuple[crashevidence.Quarantine, ...] = ()
        self._request_quarantines: dict[str, requestcrashes.Quarantine] = {}
        self._answered = requestcrashes.AnsweredRequests()

    @property
    def allocator(self) -> str:
        """Return the instance that is the current allocator."""
        return self._allocator

    def note_lost(self, run: crashevidence.LostRun) -> None:
        """Report a run that was lost with its connection."""
        self._lost_runs.append(run)
        self._report(self._clock.read_monotonic())

    def note_answered(self, digest: str) -> None:
        """Note an answer; report that of a quarantined request at once."""
        now_s = self._clock.read_monotonic()
        self._answered.note(digest, now_s)
        if digest in self._request_quarantines:
            self._report(now_s)

    def refuse_first_attempts(self, reason: str) -> None:
        """Refuse the waiting requests that were never sent to a replica."""
        for entry in tuple(self._entries.values()):
            is_first = not entry.spec.excluded
            if is_first and not entry.waiter.done():
                self._resolve(entry, expression.Error(Refusal(reason, 0)))
                self.release(entry.spec.request_id, refund=entry.spec.cost)

    def note_notice(
        self,
        upstream: upstreamnotices.Upstream,
        notice: upstreamnotices.Notice,
    ) -> None:
        """Record what a replica says of itself in an answer."""
        now_s = self._clock.read_monotonic()
        is_news = self._notices.note(upstream, notice, now_s)
        if is_news or notice.pause_s:
            self._callbacks.notice_changed(upstream.name, notice)
        if is_news:
            self._report(now_s)

    def must_avoid(self, upstream: upstreamnotices.Upstream) -> bool:
        """Return whether a replica must not get a request from here now."""
        now_s = self._clock.read_monotonic()
        has_departed = self._notices.has_departed(upstream, now_s)
        return has_departed or upstream.name in self._notices.list_paused(now_s)

    def find_quarantine_s(self, service: str, parts: abc.Set[str]) -> float:
        """Return for how many seconds a prompt must not be sent, or 0."""
        if not self._quarantines:
            return 0
        now_s = self._clock.read_monotonic()
        return max(
            (
                max(0, quarantine.until_s - now_s)
                for quarantine in self._quarantines
                if quarantine.matches(service, parts)
            ),
            default=0,
        )

    def find_request_quarantine_s(self, digest: str) -> float:
        """Return for how many seconds a request must not be sent, or 0."""
        quarantine = self._request_quarantines.get(digest)
        if quarantine is None:
            return 0
        return max(0, quarantine.until_s - self._clock.read_monotonic())

    def name_slot(self, request_id: str) -> str:
        """Return a name for a slot that no other one in the fleet has.

        Callers may send an id twice, and several requests with it at a time.
        """
        number = next(self._slot_numbers)
        shown_id = request_id[:_MAX_ID_CHARACTERS]
        return f'{shown_id}/{self._instance}/{number}'

    async def acquire(self, spec: messages.RequestSpec) -> Decision:
        """Wait for a slot, a refusal or the deadline.

        Cancelling releases the request.
        """
        now_s = self._clock.read_monotonic()
        waiter: asyncio.Future[Decision]
        waiter = asyncio.get_running_loop().create_future()
        entry = _Entry(spec, waiter, now_s)
        self._entries[spec.request_id] = entry
        self._select_allocator()
        self._send_request(entry, now_s)
        try:
            return await waiter
        except asyncio.CancelledError:
            self.release(spec.request_id, refund=spec.cost)
            raise

    def release(
        self,
        request_id: str,
        *,
        reading: messages.Reading | None = None,
        refund: float = 0,
    ) -> None:
        """Release a request in any state; repeated calls have no effect."""
        entry = self._entries.pop(request_id, None)
        if entry is None:
            return
        self._send(
            self._allocator,
            messages.Release(
                self._instance,
                self._read_incarnation(),
                request_id,
                refund,
                reading,
            ),
        )

    def receive(
        self, message: messages.Grant | messages.Refusal | messages.Beat
    ) -> None:
        """Apply an allocator's message."""
        now_s = self._clock.read_monotonic()
        if self._suspect_until_s.get(message.sender, now_s + 1) <= now_s:
            self._suspect_until_s.pop(message.sender)
            self._callbacks.peer_heard(message.sender)
        if isinstance(message, messages.Beat):
            self._apply_beat(message)
        if message.sender == self._allocator:
            self._waiting_since_s = None
        match message:
            case messages.Grant():
                self._apply_grant(message)
            case messages.Refusal():
                self._apply_refusal(message)

    def tick(self) -> None:
        """Skip a silent allocator, report, end requests past the deadline."""
        now_s = self._clock.read_monotonic()
        self._check_allocator(now_s)
        self._select_allocator()
        if now_s - self._reported_s >= REPORT_INTERVAL_S:
            self._report(now_s)
        self._renew_exclusions(now_s)
        for entry in tuple(self._entries.values()):
            if entry.expires_s <= now_s and not entry.waiter.done():
                self._resolve(entry, expression.Error(Refusal('deadline', 0)))
                refund = 0 if entry.charged else entry.spec.cost
                self.release(entry.spec.request_id, refund=refund)

    def _renew_exclusions(self, now_s: float) -> None:
        """Ask again for requests that a pause excluded from a replica.

        The allocator keeps their places.
        """
        paused = self._notices.list_paused(now_s)
        for entry in self._entries.values():
            if not (entry.waiter.done() or entry.paused <= paused):
                self._send_request(entry, now_s)

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await self._clock.sleep(TICK)

    def _check_allocator(self, now_s: float) -> None:
        if self._waiting_since_s is None or self._allocator == self._instance:
            return
        if now_s - self._waiting_since_s > ALLOCATOR_TIMEOUT_S:
            self._suspect_until_s[self._allocator] = now_s + SUSPECT_PERIOD_S
            self._callbacks.peer_silent(self._allocator)
            self._waiting_since_s = None

    def _select_allocator(self) -> None:
        """Select the allocator; report and repeat requests if it changed."""
        ranked = self._rank_allocators()
        for times in (self._suspect_until_s, self._stale_confirmed_s):
            for name in times.keys() - set(ranked):
                times.pop(name)
        first = self._find_allocator(ranked)
        if first == self._allocator:
            return
        self._callbacks.allocator_changed(self._allocator, first)
        self._allocator = first
        self._allocator_incarnation = 0
        self._introduce()

    def _introduce(self) -> None:
        """Tell a new allocator all that it has to know."""
        self._waiting_since_s = None
        now_s = self._clock.read_monotonic()
        self._allocator_since_s = now_s
        self._report(now_s, lost_within_s=crashevidence.RETENTION_S)
        for entry in tuple(self._entries.values()):
            if not entry.waiter.done():
                self._send_request(entry, now_s)

    def _find_allocator(self, ranked: abc.Sequence[str]) -> str:
        """Return the first instance that answers and has a recent list.

        If no follower has one, as in an outage of the store, return the
        follower with the newest list.
        """
        answering = [
            name for name in ranked if name not in self._suspect_until_s
        ]
        followers = [
            name for name in ranked[:FOLLOWER_COUNT] if name in answering
        ]
        fresh = [
            name for name in followers if name not in self._stale_confirmed_s
        ]
        if fresh:
            return fresh[0]
        if followers:
            return self._find_newest_list(followers)
        return answering[0] if answering else self._instance

    def _find_newest_list(self, followers: abc.Sequence[str]) -> str:
        """Return the follower with the newest list; prefer the allocator."""
        min_confirmed_s = (
            max(self._stale_confirmed_s[name] for name in followers)
            - _AGE_TOLERANCE_S
        )
        newest = [
            name
            for name in followers
            if self._stale_confirmed_s[name] >= min_confirmed_s
        ]
        return self._allocator if self._allocator in newest else newest[0]

    def _send_request(self, entry: _Entry, now_s: float) -> None:
        if self._waiting_since_s is None:
            self._waiting_since_s = now_s
        entry.paused = self._notices.list_paused(now_s)
        entry.asked_s = now_s
        self._send(
            self._allocator,
            messages.Ask(
                self._instance,
                self._read_incarnation(),
                now_s,
                entry.renew(now_s),
            ),
        )

    def _report(
        self, now_s: float, *, lost_within_s: float = _LOST_RUN_REPEAT_S
    ) -> None:
        self._reported_s = now_s
        self._sequence += 1
        report = messages.Report(
            self._instance,
            self._read_incarnation(),
            self._address,
            self._sequence,
            now_s,
            tuple(
                messages.HeldSlot(
                    request_id,
                    entry.spec.service,
                    entry.replica,
                    replicamemory.count_tokens(entry.spec),
                )
                for request_id, entry in self._entries.items()
                if entry.replica
            ),
            tuple(
                request_id
                for request_id, entry in self._entries.items()
                if not entry.replica
            ),
            self._list_lost_runs(now_s, within_s=lost_within_s),
            tuple(
                messages.Quarantine(
                    quarantine.service,
                    tuple(sorted(quarantine.parts)),
                    max(0, quarantine.until_s - now_s),
                )
                for quarantine in self._quarantines
            ),
            self._read_version(),
            noticecodec.encode(self._notices, now_s),
            self._encode_spendings(now_s),
            quarantinecodec.encode(
                tuple(self._request_quarantines.values()), now_s
            ),
            self._list_answered(now_s),
        )
        if self._waiting_since_s is None:
            self._waiting_since_s = now_s
        self._send(self._allocator, report)
        for other in (
            self._suspect_until_s.keys() | self._stale_confirmed_s.keys()
        ):
            if other == self._allocator:
                continue
            self._send(
                other, report._replace(held=(), waiting=(), spendings=())
            )

    def _encode_spendings(self, now_s: float) -> tuple[messages.Spending, ...]:
        """Return what a new allocator has to know, nothing for another one.

        It is repeated, since messages may be lost. What this instance charged
        as an allocator includes grants to instances that are gone.
        """
        min_at_s = now_s - self._quota_window_s
        while self._spendings and self._spendings[0].at_s < min_at_s:
            self._spendings.popleft()
        if now_s - self._allocator_since_s > _SPENDINGS_REPEAT_S:
            return ()
        known = {spent.request_id: spent for spent in self._spendings}
        if self._allocator != self._instance:
            for spent in self._list_spendings():
                known.setdefault(spent.request_id, spent)
        return spendingcodec.encode(known.values(), now_s)

    def _note_charged(self, entry: _Entry, now_s: float) -> None:
        spec = entry.spec
        if spec.cost and not entry.charged:
            self._spendings.append(
                spending.Spending(
                    spec.request_id, spec.customer, spec.cost, now_s
                )
            )
        entry.charged = True

    def _list_lost_runs(
        self, now_s: float, *, within_s: float
    ) -> tuple[messages.LostRun, ...]:
        return tuple(
            messages.LostRun(
                run.request_id,
                run.service,
                run.replica,
                tuple(sorted(run.parts)),
                now_s - run.at_s,
                run.digest,
                run.has_begun,
            )
            for run in self._lost_runs
            if now_s - run.at_s < within_s
        )

    def _list_answered(
        self, now_s: float
    ) -> tuple[messages.AnsweredRequest, ...]:
        """Return the quarantined requests that were answered here."""
        answered = {
            digest: self._answered.find(digest)
            for digest in self._request_quarantines
        }
        return tuple(
            messages.AnsweredRequest(digest, now_s - at_s)
            for digest, at_s in answered.items()
            if at_s is not None
        )

    def _apply_quarantines(self, beat: messages.Beat) -> None:
        now_s = self._clock.read_monotonic()
        former = self._request_quarantines
        self._request_quarantines = {
            quarantine.digest: quarantine
            for quarantine in quarantinecodec.decode(
                beat.request_quarantines, now_s
            )
        }
        added = self._request_quarantines.keys() - former.keys()
        if any(self._answered.find(digest) is not None for digest in added):
            self._report(now_s)
        self._quarantines = tuple(
            crashevidence.Quarantine(
                quarantine.service,
                frozenset(quarantine.parts),
                now_s + quarantine.left_s,
            )
            for quarantine in beat.quarantines
        )

    def _apply_beat(self, beat: messages.Beat) -> None:
        if beat.sender == self._allocator:
            self._note_incarnation(beat.incarnation)
            self._apply_quarantines(beat)
        if beat.stamp_s is None:
            return
        noticecodec.merge(self._notices, beat.notices, beat.stamp_s)
        # Counted from the echoed stamp: a beat may arrive long after it was
        # sent.
        confirmed_s = beat.stamp_s - beat.list_age_s
        if self._clock.read_monotonic() - confirmed_s > MAX_LIST_AGE_S:
            self._stale_confirmed_s[beat.sender] = confirmed_s
        else:
            self._stale_confirmed_s.pop(beat.sender, None)
        confirmed_s = beat.stamp_s - beat.age_s
        if beat.update is not None:
            self._callbacks.update_received(beat.update, confirmed_s)
        self._callbacks.freshness_received(beat.version, confirmed_s)
        if beat.stamp_s > self._last_echo_s:
            self._last_echo_s = beat.stamp_s
            now_s = self._clock.read_monotonic()
            self._callbacks.report_echoed(now_s - beat.stamp_s)

    def _note_incarnation(self, incarnation: int) -> None:
        """Notice a restart of the allocator that was too short for silence."""
        former = self._allocator_incarnation
        if incarnation <= former:
            return
        self._allocator_incarnation = incarnation
        if former and self._allocator != self._instance:
            self._introduce()

    def _apply_grant(self, grant: messages.Grant) -> None:
        entry = self._entries.get(grant.request_id)
        if entry is None or entry.waiter.done():
            is_held = entry is not None and entry.replica == grant.replica
            if not is_held:
                self._release_grant(grant)
            return
        if grant.sender != self._allocator:
            self._release_grant(grant)
            return
        now_s = self._clock.read_monotonic()
        if now_s - grant.stamp_s > slotallocator.REPORT_TIMEOUT_S:
            self._release_grant(grant)
            self._callbacks.grant_lapsed(grant.request_id)
            self._note_charged(entry, now_s)
            self._send_request(entry, now_s)
            return
        entry.replica = grant.replica
        self._note_charged(entry, now_s)
        slot = Slot(
            grant.replica,
            grant.address,
            now_s,
            grant.stamp_s - grant.list_age_s,
            grant.started_ms,
            grant.stamp_s + slotallocator.REPORT_TIMEOUT_S,
        )
        self._resolve(entry, expression.Ok(slot))

    def _release_grant(self, grant: messages.Grant) -> None:
        self._send(
            grant.sender,
            messages.Release(
                self._instance,
                self._read_incarnation(),
                grant.request_id,
                0,
                None,
            ),
        )

    def _apply_refusal(self, refusal: messages.Refusal) -> None:
        entry = self._entries.get(refusal.request_id)
        if entry is None or entry.waiter.done():
            return
        if refusal.sender != self._allocator:
            return
        if refusal.reason == messages.UNKNOWN_REQUEST:
            self._ask_again(entry)
            return
        self._entries.pop(refusal.request_id)
        self._resolve(
            entry,
            expression.Error(Refusal(refusal.reason, refusal.retry_after_s)),
        )

    def _ask_again(self, entry: _Entry) -> None:
        """Repeat a request that was lost, unless it may be on its way."""
        now_s = self._clock.read_monotonic()
        if now_s - entry.asked_s > ALLOCATOR_TIMEOUT_S:
            self._send_request(entry, now_s)

    def _resolve(self, entry: _Entry, decision: Decision) -> None:
        if not entry.waiter.done():
            entry.waiter.set_result(decision)
