"""What the engines' logs say that callers can't see."""

import bisect
import heapq
import typing
from collections import abc

from lavenderledge.load import client, traces, workloads
from lavenderledge.load import fleet as fleets
from lavenderledge.standins import prefixcache

# Refusals for want of capacity or time, as against malformed requests.
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
_MATCH, _STORE = range(2)


class Waste(typing.NamedTuple):
    """Prompt tokens that were computed for nothing.

    ``lost`` were computed for requests that were not answered whole;
    ``recomputed`` for whole ones although a replica of the pool had them in
    its cache when the request started. ``computed`` are all.
    """

    lost: int
    recomputed: int
    computed: int

    @property
    def wasted(self) -> int:
        """Return the tokens wasted in all."""
        return self.lost + self.recomputed


class Shed(typing.NamedTuple):
    """A request refused for want of capacity; seconds from the start.

    ``over_lower`` says that work of a lower tier ran at the refusal, or was
    started while the request waited to be started itself. ``lower_since``
    counts what was started at any time since the arrival, also while the
    request ran.
    """

    number: int
    tier: int
    reason: str
    at_s: float
    ran: bool
    lower_tier_ran: bool
    lower_tier_started: bool


class Violations(typing.NamedTuple):
    """How often promises were broken; all must be 0."""

    run_twice: int
    denied_but_run: int
    faulty: int


class _Step(typing.NamedTuple):
    at_s: float
    kind: int
    record: int


class _Lower(typing.NamedTuple):
    started_s: float
    finished_s: float


def measure_waste(
    user: workloads.User,
    trace: traces.Trace,
    records: abc.Sequence[fleets.EngineRecord],
    completed: abc.Container[int],
) -> Waste:
    """Return the wasted prefill, by replaying every replica's cache."""
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
    """Return every shed request, and whether lower-tier work ran."""
    results = list(results)
    records = list(records)
    tiers = {result.arrival.number: result.arrival.tier for result in results}
    lower = _group_by_tier(records, tiers, started_wall_s)
    started = {
        record.number: record.started_s - started_wall_s
        for record in records
        if record.started_s is not None
    }
    return [
        _judge_shed(result, lower, started.get(result.arrival.number))
        for result in results
        if result.reason in SHED_REASONS
    ]


def count_violations(
    results: abc.Iterable[client.Result],
    records: abc.Iterable[fleets.EngineRecord],
) -> Violations:
    """Return how often a promise was broken."""
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


def _judge_shed(
    result: client.Result,
    lower: abc.Mapping[int, list[_Lower]],
    started_s: float | None,
) -> Shed:
    arrival = result.arrival
    ended_s = result.ended_s
    waited = traces.Window(
        arrival.at_s, ended_s if started_s is None else started_s
    )
    below = [
        work
        for tier, held in lower.items()
        if tier > arrival.tier
        for work in _list_until(held, ended_s)
    ]
    return Shed(
        number=arrival.number,
        tier=arrival.tier,
        reason=result.reason,
        at_s=ended_s,
        ran=started_s is not None,
        lower_tier_ran=any(
            waited.contains(work.started_s) or work.finished_s > ended_s
            for work in below
        ),
        lower_tier_started=any(
            work.started_s >= arrival.at_s for work in below
        ),
    )


def _list_until(held: list[_Lower], until_s: float) -> list[_Lower]:
    return held[: bisect.bisect_right(held, _Lower(until_s, float('inf')))]


def _group_by_tier(
    records: abc.Iterable[fleets.EngineRecord],
    tiers: abc.Mapping[int, int],
    started_wall_s: float,
) -> dict[int, list[_Lower]]:
    grouped: dict[int, list[_Lower]] = {}
    for record in records:
        if record.started_s is None:
            continue
        finished_s = record.finished_s or float('inf')
        work = _Lower(
            record.started_s - started_wall_s, finished_s - started_wall_s
        )
        grouped.setdefault(tiers[record.number], []).append(work)
    for held in grouped.values():
        held.sort()
    return grouped


def compute_avoidable(
    user: workloads.User,
    trace: traces.Trace,
    records: abc.Sequence[fleets.EngineRecord],
) -> list[int]:
    """Return, for each record, the tokens another replica had cached."""
    arrivals = {arrival.number: arrival for arrival in trace.arrivals}
    digests = [
        prefixcache.digest_blocks(
            traces.render_prompt(trace.seed, arrivals[record.number])
        )
        for record in records
    ]
    caches = _build_caches(user)
    avoidable = [0 for _ in records]
    for step in _order_steps(records):
        record = records[step.record]
        cache = caches[record.replica]
        blocks = digests[step.record]
        if step.kind == _STORE:
            cache.store(blocks)
            continue
        most = max(other.peek(blocks) for other in caches.values())
        cache.match(blocks)
        best = min(most * prefixcache.BLOCK_TOKENS, record.prompt_tokens - 1)
        avoidable[step.record] = max(
            0, min(best - record.cached_tokens, record.prefill_tokens)
        )
    return avoidable


def _build_caches(user: workloads.User) -> dict[str, prefixcache.PrefixCache]:
    return {
        f'{user.pool}-{number}': prefixcache.PrefixCache(
            capacity=engine.cache_blocks
        )
        for number, engine in enumerate(user.engines)
    }


def _order_steps(records: abc.Sequence[fleets.EngineRecord]) -> list[_Step]:
    """Return when records looked into and filled their replica's cache."""
    starts = [
        _Step(record.started_s, _MATCH, place)
        for place, record in enumerate(records)
        if record.started_s is not None
    ]
    stores = [
        _Step(record.first_token_s, _STORE, place)
        for place, record in enumerate(records)
        if record.first_token_s is not None
    ]
    return list(heapq.merge(sorted(starts), sorted(stores)))
