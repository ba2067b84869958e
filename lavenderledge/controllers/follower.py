"""Follows a prefix of the store: one list, then watches."""

import datetime
import random
import typing
from collections import abc

from lavenderledge import clock as clocks
from lavenderledge import timing
from lavenderledge.registry import store as stores

# Pause after the first failed call and the longest, seconds: many instances
# lose the store at the same moment and share its bounded rate.
_FIRST_PAUSE_S: typing.Final = 0.1
_MOST_PAUSE_S: typing.Final = 1.2
# How often a follower that is not needed looks whether it is.
_IDLE_CHECK_S: typing.Final = 0.05
_IDLE_CHECK: typing.Final = timing.seconds(_IDLE_CHECK_S)


class Subscription(typing.NamedTuple):
    """What is followed, how often, and who is told.

    ``wait_s`` bounds one watch, ``find_rest_s`` gives the pause after changes,
    which gathers several into one call. ``on_confirmed`` gets the time at which
    an answer was asked for that knows of nothing newer. Nothing is asked
    while ``is_needed`` says no; afterwards the list is read anew.
    """

    prefix: str
    wait_s: float
    read_pause_s: abc.Callable[[], float]
    on_list: abc.Callable[[tuple[stores.Change, ...], float], None]
    on_changes: abc.Callable[[tuple[stores.Change, ...], float], None]
    on_confirmed: abc.Callable[[float], None]
    is_needed: abc.Callable[[], bool]


class Follower:
    """Keeps a belief up to date; tells when the store is lost or regained."""

    def __init__(
        self,
        *,
        subscription: Subscription,
        store: stores.Store,
        clock: clocks.Clock,
        rng: random.Random,
        on_failure: abc.Callable[[stores.StoreFailure, bool], None],
        on_regained: abc.Callable[[], None],
    ) -> None:
        """Know no revision yet.

        ``on_failure`` is told whether the failure is the first in a row.
        """
        self._subscription = subscription
        self._store = store
        self._clock = clock
        self._rng = rng
        self._on_failure = on_failure
        self._on_regained = on_regained
        self._revision: int | None = None
        self._pause_s = float(0)

    @property
    def is_failing(self) -> bool:
        """Return whether the last call failed."""
        return self._pause_s > 0

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            rest = await self.step()
            await self._clock.sleep(rest)

    async def step(self) -> datetime.timedelta:
        """List or watch once; return how long to rest."""
        if not self._subscription.is_needed():
            self._revision = None
            self._pause_s = 0
            return _IDLE_CHECK
        asked_s = self._clock.read_monotonic()
        listing = self._revision is None
        found = await self._call()
        if found.is_error():
            return self._note_failure(found.error)
        if self._pause_s:
            self._pause_s = 0
            self._on_regained()
        self._revision = found.ok.revision
        self._subscription.on_confirmed(asked_s)
        if listing:
            self._subscription.on_list(found.ok.changes, asked_s)
        elif found.ok.changes:
            self._subscription.on_changes(found.ok.changes, asked_s)
            return timing.seconds(self._subscription.read_pause_s())
        return timing.seconds(0)

    async def _call(self) -> stores.ListResult:
        if self._revision is None:
            return await self._store.list_keys(self._subscription.prefix)
        # After a failure the first answer is wanted at once.
        return await self._store.watch(
            self._subscription.prefix,
            after_revision=self._revision,
            wait_s=0 if self.is_failing else self._subscription.wait_s,
        )

    def _note_failure(self, failure: stores.StoreFailure) -> datetime.timedelta:
        if failure.fault is stores.Fault.COMPACTED:
            self._revision = None
            return timing.seconds(0)
        self._on_failure(failure, not self.is_failing)
        self._pause_s = self._pause_s or _FIRST_PAUSE_S
        pause_s = self._pause_s * (0.5 + self._rng.random())
        self._pause_s = min(self._pause_s * 2, _MOST_PAUSE_S)
        return timing.seconds(pause_s)
