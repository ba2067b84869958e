"""One instance's outstanding requests, and the reports on them."""

import asyncio
import typing
from collections import abc

import expression

from lavenderledge import outcomes
from lavenderledge.peers import messages
from lavenderledge.policy import progress

FindPriority: typing.TypeAlias = abc.Callable[[str], tuple[int, float] | None]


class Placement(typing.NamedTuple):
    """A grant to dispatch a request; expires on this instance's clock."""

    pool: str
    request_id: str
    replica: str
    address: str
    expires_s: float


class Refusal(typing.NamedTuple):
    """Why a waiting request was not placed."""

    reason: outcomes.Reason
    detail: str
    retry_after_s: float | None


Decision: typing.TypeAlias = expression.Result[Placement, Refusal]


class Entry:
    """One request that waits, holds a grant or runs.

    It waits while it has a waiter. With neither waiter nor placement its
    grant has expired, and it is idle until it is requested again.
    """

    def __init__(
        self,
        *,
        pool: str,
        spec: messages.RequestSpec,
        arrived_s: float,
        deadline_s: float,
    ) -> None:
        """Create an entry without a waiter."""
        self.pool = pool
        self.spec = spec
        self.arrived_s = arrived_s
        self.deadline_s = deadline_s
        self.placement: Placement | None = None
        self.progress: progress.RequestProgress | None = None
        self.output_done = 0
        self.preempted = False
        self.waiter: asyncio.Future[Decision] | None = None

    @property
    def request_id(self) -> str:
        """Return the request's id."""
        return self.spec.request_id

    def expire_grant(self) -> None:
        """Discard an unused grant."""
        self.placement = None
        self.progress = None
        self.preempted = False
        self.waiter = None

    def build_spec(self, now_s: float) -> messages.RequestSpec:
        """Return the spec with its times updated to now."""
        return self.spec._replace(
            remaining_s=self.deadline_s - now_s,
            waited_s=now_s - self.arrived_s,
        )


Entries: typing.TypeAlias = dict[str, Entry]


class PoolRequests:
    """This instance's requests for one pool, and the allocator they go to."""

    def __init__(self) -> None:
        """Start empty, with a report due at once."""
        self.entries: Entries = {}
        self.readings = progress.Readings()
        self.allocator: str | None = None
        self.grant_seen = 0
        self.grant_reported = 0
        self.sequence = 0
        self.reported_s = float('-inf')
        self.early_report_due = False

    def set_allocator(self, allocator: str | None) -> None:
        """Switch to another allocator; the next report is due at once."""
        self.allocator = allocator
        self.grant_seen = 0
        self.grant_reported = 0
        self.reported_s = float('-inf')

    def build_report(
        self, *, sender: str, incarnation: int, pool: str, now_s: float
    ) -> messages.Report:
        """Return the next report and drain the readings into it."""
        self.sequence += 1
        self.grant_reported = self.grant_seen
        self.reported_s = now_s
        self.early_report_due = False
        return messages.Report(
            sender=sender,
            incarnation=incarnation,
            pool=pool,
            sequence=self.sequence,
            stamp_s=now_s,
            grant_seen=self.grant_seen,
            waiting=tuple(
                entry.build_spec(now_s)
                for entry in self.entries.values()
                if entry.waiter is not None
            ),
            running=tuple(
                _build_running(entry, entry.placement)
                for entry in self.entries.values()
                if entry.placement is not None
            ),
            readings=self._take_readings(now_s),
        )

    def _take_readings(self, now_s: float) -> tuple[messages.Reading, ...]:
        for entry in self.entries.values():
            if entry.progress is not None:
                self.readings.note_open_gap(entry.progress, now_s=now_s)
        return self.readings.drain()


class WaitingList:
    """This instance's waiting requests by tier, in order of arrival."""

    def __init__(self) -> None:
        """Start empty."""
        self._tiers: dict[int, Entries] = {}

    def add(self, entry: Entry) -> None:
        """Add an entry as its tier's newest."""
        tier = self._tiers.setdefault(entry.spec.tier, {})
        tier[entry.request_id] = entry

    def remove(self, entry: Entry) -> None:
        """Remove an entry, if it is there."""
        self._tiers.get(entry.spec.tier, {}).pop(entry.request_id, None)

    def count(self) -> int:
        """Return the number of waiting requests."""
        return sum(map(len, self._tiers.values()))

    def find_newest_below(self, tier: int) -> Entry | None:
        """Return the newest entry of the lowest tier below ``tier``."""
        lowest = max(
            (key for key, entries in self._tiers.items() if entries), default=0
        )
        if lowest <= tier:
            return None
        return next(reversed(self._tiers[lowest].values()))

    def update_priorities(self, find: FindPriority) -> None:
        """Update every entry to its row's current tier and weight."""
        priorities: dict[str, tuple[int, float] | None] = {}
        for tier in tuple(self._tiers.values()):
            for entry in tuple(tier.values()):
                row = entry.spec.row
                if row not in priorities:
                    priorities[row] = find(row)
                self._update(entry, priorities[row])

    def _update(self, entry: Entry, priority: tuple[int, float] | None) -> None:
        if priority is None or priority == (entry.spec.tier, entry.spec.weight):
            return
        tier, weight = priority
        self.remove(entry)
        entry.spec = entry.spec._replace(tier=tier, weight=weight)
        self.add(entry)


def _build_running(
    entry: Entry, placement: Placement
) -> messages.RunningRequest:
    return messages.RunningRequest(
        request_id=entry.request_id,
        row=entry.spec.row,
        customer=entry.spec.customer,
        tier=entry.spec.tier,
        replica=placement.replica,
        prompt_tokens=entry.spec.prompt_tokens,
        output_tokens=entry.spec.output_tokens,
        output_done=entry.output_done,
        preemptible=entry.spec.preemptible,
        started=entry.progress is not None,
    )
