"""Measures taken from the engines' logs, which callers can't see."""

import bisect
import heapq
import typing
from collections import abc

from lavenderledge.load import client, traces, workloads
from lavenderledge.load import fleet as fleets
from lavenderledge.standins import prefixcache

# Refusals for lack of capacity or time, unlike those of malformed requests.
SHED_REASONS: typing.Final = frozenset(
    (
        'overloaded',
        'displaced',
        'preempted',
        'queue_full',
        'memory_full',
        'caller_limit',
        'deadline_exceeded',
        'deadline_unreachable',
        'client_timeout',
    )
)
_NOT_RUN = 'not_run'
_LOOKUP, _STORE = range(2)


class Waste(typing.NamedTuple):
    """Prompt tokens that were computed needlessly, and all computed ones.

    ``lost`` were computed for requests without a complete response.
    ``recomputed`` were computed for the others although a replica of the
    pool had them cached when the request started. ``computed`` are all.
    """

    lost: int
    recomputed: int
    computed: int

    @property
    def wasted(self) -> int:
        """Return the total of wasted tokens."""
        return self.lost + self.recomputed


class Shed(typing.NamedTuple):
    """A request refused for lack of capacity; seconds from the start.

    ``ran`` is whether an engine started the request. ``lower_tier_ran`` is
    whether lower-tier work ran at the refusal, or was started while the
    request waited to start. ``lower_tier_started`` is whether such work was
    started at any time since the arrival, including while the request ran.
    """

    number: int
    tier: int
    reason: str
    at_s: float
    ran: bool
    lower_tier_ran: bool
    lower_tier_started: bool


class Violations(typing.NamedTuple):
    """Counts of violated guarantees; all must be 0."""

    run_twice: int
    denied_but_run: int
    faulty: int


class _CacheStep(typing.NamedTuple):
    at_s: float
    kind: int
    record: int


class _RunInterval(typing.NamedTuple):
    started_s: float
    finished_s: float


def measure_waste(
    user: workloads.User,
    trace: traces.Trace,
    records: abc.Sequence[fleets.EngineRecord],
    completed: abc.Container[int],
) -> Waste:
    """Return the wasted prefill, from a replay of every replica's cache."""
    lost = sum(
        record.prefill_tokens
        for record in records
        if record.number not in completed
    )
    recomputed = sum(
        avoidable
        for record, avoidable in zip(
            records, compute_avoidable(user, trace, records), strict=True
        )
        if record.number in completed
    )
    computed = sum(record.prefill_tokens for record in records)
    return Waste(lost, recomputed, computed)


def list_sheds(
    results: abc.Iterable[client.Result],
    records: abc.Iterable[fleets.EngineRecord],
    started_wall_s: float,
) -> list[Shed]:
    """Return the shed requests, and whether lower-tier work ran."""
    results = list(results)
    records = list(records)
    tiers = {result.arrival.number: result.arrival.tier for result in results}
    runs_by_tier = _group_runs_by_tier(records, tiers, started_wall_s)
    started = {
        record.number: record.started_s - started_wall_s
        for record in records
        if record.started_s is not None
    }
    return [
        _build_shed(result, runs_by_tier, started.get(result.arrival.number))
        for result in results
        if result.reason in SHED_REASONS
    ]


def count_violations(
    results: abc.Iterable[client.Result],
    records: abc.Iterable[fleets.EngineRecord],
) -> Violations:
    """Return how often each guarantee was violated."""
    runs: dict[int, int] = {}
    for record in records:
        runs[record.number] = runs.get(record.number, 0) + 1
    results = list(results)
    return Violations(
        run_twice=sum(1 for count in runs.values() if count > 1),
        denied_but_run=sum(
            1
            for result in results
            if result.outcome == _NOT_RUN and result.arrival.number in runs
        ),
        faulty=sum(1 for result in results if result.fault),
    )


def _build_shed(
    result: client.Result,
    runs_by_tier: abc.Mapping[int, list[_RunInterval]],
    started_s: float | None,
) -> Shed:
    arrival = result.arrival
    ended_s = result.ended_s
    waiting_window = traces.Window(
        arrival.at_s, ended_s if started_s is None else started_s
    )
    lower_runs = [
        tier_run
        for tier, tier_runs in runs_by_tier.items()
        if tier > arrival.tier
        for tier_run in _list_started_before(tier_runs, ended_s)
    ]
    return Shed(
        number=arrival.number,
        tier=arrival.tier,
        reason=result.reason,
        at_s=ended_s,
        ran=started_s is not None,
        lower_tier_ran=any(
            waiting_window.contains(tier_run.started_s)
            or tier_run.finished_s > ended_s
            for tier_run in lower_runs
        ),
        lower_tier_started=any(
            tier_run.started_s >= arrival.at_s for tier_run in lower_runs
        ),
    )


def _list_started_before(
    tier_runs: list[_RunInterval], until_s: float
) -> list[_RunInterval]:
    return tier_runs[
        : bisect.bisect_right(tier_runs, _RunInterval(until_s, float('inf')))
    ]


def _group_runs_by_tier(
    records: abc.Iterable[fleets.EngineRecord],
    tiers: abc.Mapping[int, int],
    started_wall_s: float,
) -> dict[int, list[_RunInterval]]:
    runs_by_tier: dict[int, list[_RunInterval]] = {}
    for record in records:
        if record.started_s is None:
            continue
        finished_s = record.finished_s or float('inf')
        tier_run = _RunInterval(
            record.started_s - started_wall_s, finished_s - started_wall_s
        )
        runs_by_tier.setdefault(tiers[record.number], []).append(tier_run)
    for tier_runs in runs_by_tier.values():
        tier_runs.sort()
    return runs_by_tier


def compute_avoidable(
    user: workloads.User,
    trace: traces.Trace,
    records: abc.Sequence[fleets.EngineRecord],
) -> list[int]:
    """Return each record's prefill tokens that another replica had cached."""
    arrivals = {arrival.number: arrival for arrival in trace.arrivals}
    digests = [
        prefixcache.digest_blocks(
            traces.render_prompt(trace.seed, arrivals[record.number])
        )
        for record in records
    ]
    caches = _build_caches(user)
    avoidable = [0 for _ in records]
    for step in _list_cache_steps(records):
        record = records[step.record]
        cache = caches[record.replica]
        digest = digests[step.record]
        if step.kind == _STORE:
            cache.store(digest)
            continue
        longest_match = max(other.peek(digest) for other in caches.values())
        cache.match(digest)
        reusable = min(
            longest_match * prefixcache.BLOCK_TOKENS, record.prompt_tokens - 1
        )
        avoidable[step.record] = max(
            0, min(reusable - record.cached_tokens, record.prefill_tokens)
        )
    return avoidable


def _build_caches(user: workloads.User) -> dict[str, prefixcache.PrefixCache]:
    return {
        f'{user.pool}-{number}': prefixcache.PrefixCache(
            capacity=engine.cache_blocks
        )
        for number, engine in enumerate(user.engines)
    }


def _list_cache_steps(
    records: abc.Sequence[fleets.EngineRecord],
) -> list[_CacheStep]:
    """Return the cache lookups and stores of the records, by time."""
    starts = [
        _CacheStep(record.started_s, _LOOKUP, index)
        for index, record in enumerate(records)
        if record.started_s is not None
    ]
    stores = [
        _CacheStep(record.first_token_s, _STORE, index)
        for index, record in enumerate(records)
        if record.first_token_s is not None
    ]
    return list(heapq.merge(sorted(starts), sorted(stores)))
