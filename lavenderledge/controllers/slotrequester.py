"""The asking side of slots: every request that this instance holds."""

import asyncio
import datetime
import typing
from collections import abc

import expression

from lavenderledge import clock as clocks
from lavenderledge.peers import slotmessages as messages

_TICK_MS: typing.Final = 50
TICK: typing.Final = datetime.timedelta(milliseconds=_TICK_MS)
REPORT_INTERVAL_S: typing.Final = 0.5
# An allocator that has not answered for so long is passed over, seconds: a
# few round trips and ticks, far less than any objective.
ALLOCATOR_TIMEOUT_S: typing.Final = 0.2
# One that was passed over is asked again once it has answered after so long,
# seconds: each change of the allocator costs a report and new asks.
SUSPECT_PERIOD_S: typing.Final = 1.0
# A list of replicas that the store has not confirmed for so long may be out of
# date, seconds. While all is well the age stays below two watches and a rest.
MAX_LIST_AGE_S: typing.Final = 1.8
# Lists that were confirmed within this of each other count as of one age,
# seconds, so that no allocator is left for a trifle.
_LIKE_S: typing.Final = 1.0
# Of the instances, so many first in line follow the store for the others.
FOLLOWER_COUNT: typing.Final = 3

Send: typing.TypeAlias = abc.Callable[[str, messages.Message], object]


class Refusal(typing.NamedTuple):
    """Why a request gets no slot, and when to come again."""

    reason: str
    retry_after_s: float


class Slot(typing.NamedTuple):
    """A replica's slot; ``granted_s`` is when the grant came."""

    replica: str
    address: str
    granted_s: float


Decision: typing.TypeAlias = expression.Result[Slot, Refusal]


class Callbacks(typing.NamedTuple):
    """Who is told what the requester meets.

    ``allocator_changed`` gets the former and the new allocator,
    ``freshness_received`` the version that the allocator knows and the time
    from which on it was confirmed, ``report_echoed`` the seconds from a
    report to its first echo, ``peer_silent`` the name of an allocator that
    is passed over, ``peer_heard`` of one that answers again.
    """

    allocator_changed: abc.Callable[[str, str], None]
    freshness_received: abc.Callable[[int, float], None]
    report_echoed: abc.Callable[[float], None]
    peer_silent: abc.Callable[[str], None]
    peer_heard: abc.Callable[[str], None]


class _Entry:
    def __init__(
        self,
        wanted: messages.RequestSpec,
        waiter: 'asyncio.Future[Decision]',
        now_s: float,
    ) -> None:
        self.wanted = wanted
        self.waiter = waiter
        self.asked_s = now_s
        self.objective_s = now_s + wanted.objective_left_s
        self.expires_s = now_s + wanted.remaining_s
        self.charged = False
        self.replica = ''

    def renew(self, now_s: float) -> messages.RequestSpec:
        """Return what is wanted with its times as they are now."""
        return self.wanted._replace(
            objective_left_s=self.objective_s - now_s,
            remaining_s=self.expires_s - now_s,
            cost=0 if self.charged else self.wanted.cost,
        )


class SlotRequester:
    """Asks the allocator for slots and keeps it told of those held.

    Where the allocator does not answer in time the next in line is asked,
    which may be this instance itself.
    """

    def __init__(
        self,
        *,
        instance: str,
        address: str,
        read_incarnation: abc.Callable[[], int],
        clock: clocks.Clock,
        send: Send,
        rank_allocators: abc.Callable[[], abc.Sequence[str]],
        callbacks: Callbacks,
    ) -> None:
        """Hold nothing yet."""
        self._instance = instance
        self._address = address
        self._read_incarnation = read_incarnation
        self._clock = clock
        self._send = send
        self._rank_allocators = rank_allocators
        self._callbacks = callbacks
        self._echoed_s = float('-inf')
        self._entries: dict[str, _Entry] = {}
        self._allocator = instance
        self._asked_s: float | None = None
        self._reported_s = float('-inf')
        self._sequence = 0
        self._suspects: dict[str, float] = {}
        self._listed_s: dict[str, float] = {}

    @property
    def allocator(self) -> str:
        """Return the instance that is asked now."""
        return self._allocator

    async def acquire(self, wanted: messages.RequestSpec) -> Decision:
        """Wait for a replica's name, a refusal, or the end of the time.

        Cancelling releases the request.
        """
        now_s = self._clock.read_monotonic()
        waiter: asyncio.Future[Decision]
        waiter = asyncio.get_running_loop().create_future()
        entry = _Entry(wanted, waiter, now_s)
        self._entries[wanted.request_id] = entry
        self._turn()
        self._ask(entry, now_s)
        try:
            return await waiter
        except asyncio.CancelledError:
            self.release(wanted.request_id, refund=wanted.cost)
            raise

    def release(
        self,
        request_id: str,
        *,
        reading: messages.Reading | None = None,
        refund: float = 0,
    ) -> None:
        """Give back a request, whatever its state; repeats do nothing."""
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
        """Take an allocator's message."""
        now_s = self._clock.read_monotonic()
        if self._suspects.get(message.sender, now_s + 1) <= now_s:
            self._suspects.pop(message.sender)
            self._callbacks.peer_heard(message.sender)
        if isinstance(message, messages.Beat):
            self._take_beat(message)
        if message.sender == self._allocator:
            self._asked_s = None
        match message:
            case messages.Grant():
                self._take_grant(message)
            case messages.Refusal():
                self._take_refusal(message)

    def tick(self) -> None:
        """Pass over a silent allocator, report, end what is out of time."""
        now_s = self._clock.read_monotonic()
        self._check_allocator(now_s)
        self._turn()
        if now_s - self._reported_s >= REPORT_INTERVAL_S:
            self._report(now_s)
        for entry in tuple(self._entries.values()):
            if entry.expires_s <= now_s and not entry.waiter.done():
                self._settle(entry, expression.Error(Refusal('deadline', 0)))
                self.release(entry.wanted.request_id)

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await self._clock.sleep(TICK)

    def _check_allocator(self, now_s: float) -> None:
        if self._asked_s is None or self._allocator == self._instance:
            return
        if now_s - self._asked_s > ALLOCATOR_TIMEOUT_S:
            self._suspects[self._allocator] = now_s + SUSPECT_PERIOD_S
            self._callbacks.peer_silent(self._allocator)
            self._asked_s = None

    def _turn(self) -> None:
        """Ask whoever is first in line; tell a new one everything."""
        ranked = self._rank_allocators()
        for told in (self._suspects, self._listed_s):
            for name in told.keys() - set(ranked):
                told.pop(name)
        first = self._find_first(ranked)
        if first == self._allocator:
            return
        self._callbacks.allocator_changed(self._allocator, first)
        self._allocator = first
        self._asked_s = None
        now_s = self._clock.read_monotonic()
        self._report(now_s)
        for entry in tuple(self._entries.values()):
            if not entry.waiter.done():
                self._ask(entry, now_s)

    def _find_first(self, ranked: abc.Sequence[str]) -> str:
        """Return the first that answers and whose list is fresh.

        Where no follower's is, as in an outage of the store, it is the one
        whose list is the youngest.
        """
        answering = [name for name in ranked if name not in self._suspects]
        followers = [
            name for name in ranked[:FOLLOWER_COUNT] if name in answering
        ]
        fresh = [name for name in followers if name not in self._listed_s]
        if fresh:
            return fresh[0]
        if followers:
            return self._find_youngest(followers)
        return answering[0] if answering else self._instance

    def _find_youngest(self, followers: abc.Sequence[str]) -> str:
        """Return whose stale list is about the youngest; who is asked stays."""
        least_s = max(self._listed_s[name] for name in followers) - _LIKE_S
        young = [name for name in followers if self._listed_s[name] >= least_s]
        return self._allocator if self._allocator in young else young[0]

    def _ask(self, entry: _Entry, now_s: float) -> None:
        if self._asked_s is None:
            self._asked_s = now_s
        self._send(
            self._allocator,
            messages.Ask(
                self._instance, self._read_incarnation(), entry.renew(now_s)
            ),
        )

    def _report(self, now_s: float) -> None:
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
                    entry.wanted.service,
                    entry.replica,
                )
                for request_id, entry in self._entries.items()
                if entry.replica
            ),
            tuple(
                request_id
                for request_id, entry in self._entries.items()
                if not entry.replica
            ),
        )
        if self._asked_s is None:
            self._asked_s = now_s
        self._send(self._allocator, report)
        for avoided in self._suspects.keys() | self._listed_s.keys():
            if avoided == self._allocator:
                continue
            self._send(avoided, report._replace(held=(), waiting=()))

    def _take_beat(self, beat: messages.Beat) -> None:
        if beat.list_age_s > MAX_LIST_AGE_S:
            now_s = self._clock.read_monotonic()
            self._listed_s[beat.sender] = now_s - beat.list_age_s
        else:
            self._listed_s.pop(beat.sender, None)
        if beat.stamp_s is None:
            return
        self._callbacks.freshness_received(
            beat.version, beat.stamp_s - beat.age_s
        )
        if beat.stamp_s > self._echoed_s:
            self._echoed_s = beat.stamp_s
            now_s = self._clock.read_monotonic()
            self._callbacks.report_echoed(now_s - beat.stamp_s)

    def _take_grant(self, grant: messages.Grant) -> None:
        entry = self._entries.get(grant.request_id)
        if entry is None or entry.waiter.done():
            known = entry is not None and entry.replica == grant.replica
            if not known:
                self._give_back(grant)
            return
        if grant.sender != self._allocator:
            self._give_back(grant)
            return
        entry.replica = grant.replica
        entry.charged = True
        now_s = self._clock.read_monotonic()
        slot = Slot(grant.replica, grant.address, now_s)
        self._settle(entry, expression.Ok(slot))

    def _give_back(self, grant: messages.Grant) -> None:
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

    def _take_refusal(self, refusal: messages.Refusal) -> None:
        entry = self._entries.get(refusal.request_id)
        if entry is None or entry.waiter.done():
            return
        if refusal.sender != self._allocator:
            return
        self._entries.pop(refusal.request_id)
        self._settle(
            entry,
            expression.Error(Refusal(refusal.reason, refusal.retry_after_s)),
        )

    def _settle(self, entry: _Entry, verdict: Decision) -> None:
        if not entry.waiter.done():
            entry.waiter.set_result(verdict)
