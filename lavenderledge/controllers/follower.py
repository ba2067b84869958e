"""Follows a prefix of the store: lists it once, then watches or polls it.

It lists anew if the history is gone or the store was restored from a copy.
"""

import asyncio
import datetime
import math
import random
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge import timing
from lavenderledge.registry import store as stores

# Pause after the first failed call and the longest pause, seconds. Many
# instances lose the store at the same time and share its rate limit.
_FIRST_PAUSE_S: typing.Final = 0.1
_MAX_PAUSE_S: typing.Final = 1.2
# How often an idle follower checks whether it is needed.
_IDLE_CHECK_S: typing.Final = 0.05
_IDLE_CHECK: typing.Final = timing.seconds(_IDLE_CHECK_S)
# An answer that takes this long, beyond a watch's wait, is late.
_LATE_S: typing.Final = 0.4
# The wait is counted in these intervals: an instance that was paused has not
# waited, and the answer may be there.
_LATE_CHECK_S: typing.Final = 0.1
_LATE_CHECK: typing.Final = timing.seconds(_LATE_CHECK_S)


def _never_poll() -> float:
    return 0


class Subscription(typing.NamedTuple):
    """The prefix to follow, its timing and its callbacks.

    ``wait_s`` bounds one watch. ``read_pause_s`` returns the pause after
    changes, which gathers several into one call. ``on_confirmed`` gets the
    time at which each successful call was sent. No calls are made while
    ``is_needed`` returns False; afterwards the prefix is listed again, or only
    its changes are read if ``is_large`` returns True. ``read_poll_s`` returns
    the mean pause between cheap listings that replace the watch, 0 to watch.
    """

    prefix: str
    wait_s: float
    read_pause_s: abc.Callable[[], float]
    on_list: abc.Callable[[tuple[stores.Change, ...], float], None]
    on_changes: abc.Callable[[tuple[stores.Change, ...], float], None]
    on_confirmed: abc.Callable[[float], None]
    is_needed: abc.Callable[[], bool]
    is_large: abc.Callable[[], bool]
    read_poll_s: abc.Callable[[], float] = _never_poll


class Follower:
    """Reports changes under a prefix, and failures of the store."""

    def __init__(
        self,
        *,
        subscription: Subscription,
        store: stores.Store,
        clock: clocks.Clock,
        rng: random.Random,
        on_failure: abc.Callable[[stores.StoreFailure, bool], None],
        on_regained: abc.Callable[[int], None],
        on_restored: abc.Callable[[int], None],
    ) -> None:
        """Start without a revision.

        ``on_failure`` also gets whether the failure is the first in a row,
        ``on_regained`` how many failed in a row.
        ``on_restored`` gets the store's new era.
        """
        self._subscription = subscription
        self._store = store
        self._clock = clock
        self._rng = rng
        self._on_failure = on_failure
        self._on_regained = on_regained
        self._on_restored = on_restored
        self._revision: int | None = None
        self._era: int | None = None
        self._pause_s = float(0)
        self._failures = 0
        self._is_idle = True
        self._is_late = False

    @property
    def is_failing(self) -> bool:
        """Return whether the last call failed."""
        return self._pause_s > 0

    @property
    def is_answered(self) -> bool:
        """Return whether the last call succeeded and none is late."""
        return not self.is_failing and not self._is_late

    @property
    def era(self) -> int:
        """Return the store's era, 0 before the first answer."""
        return self._era or 0

    def skip_to(self, revision: int, era: int) -> None:
        """Do not read changes up to a revision that a peer has passed on."""
        is_known = self._revision is not None and self._era == era
        if is_known and revision > (self._revision or 0):
            self._revision = revision

    def list_again(self) -> None:
        """List the prefix in the next call."""
        self._revision = None

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            pause = await self.step()
            await self._clock.sleep(pause)

    async def step(self) -> datetime.timedelta:
        """List or watch once; return the pause before the next call."""
        if not self._subscription.is_needed():
            self._is_idle = True
            if not self._subscription.is_large():
                # A store may answer listings although it answers no watches.
                self._revision = None
            self._pause_s = 0
            return _IDLE_CHECK
        requested_s = self._clock.read_monotonic()
        listing = self._revision is None
        poll_s = self._subscription.read_poll_s()
        answer = await self._call(is_polling=poll_s > 0)
        if answer.is_error():
            return self._note_failure(answer.error)
        if self._pause_s:
            self._pause_s = 0
            self._on_regained(self._failures)
        self._failures = 0
        self._is_idle = False
        is_restored = self._note_era(answer.ok.era)
        if is_restored and not listing:
            # Its revision, and so the changes after it, may be of another era.
            self._revision = None
            return timing.seconds(0)
        if poll_s:
            self._apply_poll(answer.ok, requested_s)
            return timing.seconds(poll_s * (0.5 + self._rng.random()))
        # Without changes the revision stays: a store that lost its watches for
        # a while reports no changes, up to a revision that includes some.
        if listing or answer.ok.changes:
            self._revision = answer.ok.revision
        self._subscription.on_confirmed(requested_s)
        if listing:
            self._subscription.on_list(answer.ok.changes, requested_s)
        elif answer.ok.changes:
            self._subscription.on_changes(answer.ok.changes, requested_s)
            return timing.seconds(self._subscription.read_pause_s())
        return timing.seconds(0)

    def _apply_poll(self, listed: stores.Listing, requested_s: float) -> None:
        """Apply a listing unless it is older than the last one."""
        if listed.revision < (self._revision or 0):
            return
        self._revision = listed.revision
        self._subscription.on_confirmed(requested_s)
        self._subscription.on_list(listed.changes, requested_s)

    async def _call(self, *, is_polling: bool) -> stores.ListResult:
        prefix = self._subscription.prefix
        if self._revision is None:
            return await self._expect(self._store.list_keys(prefix))
        if is_polling:
            return await self._expect(
                self._store.list_keys(prefix, may_be_old=True)
            )
        # After a failure or a pause, do not wait for changes: an answer ends
        # the outage, or confirms what is known.
        is_immediate = self.is_failing or self._is_idle
        wait_s = 0 if is_immediate else self._subscription.wait_s
        return await self._expect(
            self._store.watch(
                prefix, after_revision=self._revision, wait_s=wait_s
            ),
            within_s=wait_s,
        )

    async def _expect(
        self, call: abc.Awaitable[stores.ListResult], *, within_s: float = 0
    ) -> stores.ListResult:
        """Return a call's answer; note meanwhile if it is late."""
        timer = asyncio.ensure_future(self._note_late(within_s + _LATE_S))
        try:
            return await call
        finally:
            timer.cancel()
            self._is_late = False

    async def _note_late(self, due_s: float) -> None:
        for _ in range(math.ceil(due_s / _LATE_CHECK_S)):
            await self._clock.sleep(_LATE_CHECK)
        self._is_late = True

    def _note_era(self, era: int) -> bool:
        """Record an answer's era; return whether it is another one."""
        is_restored = self._era not in {None, era}
        self._era = era
        if is_restored:
            self._on_restored(era)
        return is_restored

    def _note_failure(self, failure: stores.StoreFailure) -> datetime.timedelta:
        if failure.fault in {stores.Fault.COMPACTED, stores.Fault.RESTORED}:
            self._revision = None
            return timing.seconds(0)
        if self._is_idle:
            self._revision = None
        self._failures += 1
        self._on_failure(failure, not self.is_failing)
        self._pause_s = self._pause_s or _FIRST_PAUSE_S
        pause_s = self._pause_s * (0.5 + self._rng.random())
        self._pause_s = min(self._pause_s * 2, _MAX_PAUSE_S)
        return timing.seconds(pause_s)
