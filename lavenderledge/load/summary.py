"""Computes the measures of a run, by name."""

import typing
from collections import abc

from hdrh import histogram

from lavenderledge.load import client, enginelogs, replay, traces, workloads
from lavenderledge.load import fleet as fleets

# Percentiles in the report.
_GAP_PERCENTILE = 95
_SEND_DELAY_PERCENTILE = 99

FIRST_TOKEN_TARGET_S: typing.Final = 0.76

_MAX_US = 600_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_S = 1_000_000
_MS_PER_US = 0.001
_MS_PER_S = 1000
_PERCENTILES = (50, 95, 99)

Measures: typing.TypeAlias = dict[str, float]


class Scope(typing.NamedTuple):
    """The requests of a trace that arrive in certain windows."""

    prefix: str
    windows: tuple[traces.Window, ...]

    @property
    def length_s(self) -> float:
        """Return the total length of the windows in seconds."""
        return sum(window.end_s - window.start_s for window in self.windows)

    def select(self, results: abc.Iterable[client.Result]) -> 'Results':
        """Return the results of requests that arrived in the windows."""
        return [
            result
            for result in results
            if any(
                window.contains(result.arrival.at_s) for window in self.windows
            )
        ]


Results: typing.TypeAlias = list[client.Result]


class Latencies:
    """A histogram of times, counted from the scheduled arrivals."""

    def __init__(self) -> None:
        """Start without samples."""
        self._histogram = histogram.HdrHistogram(
            1, _MAX_US, _SIGNIFICANT_DIGITS
        )

    def add(self, seconds: float) -> None:
        """Add one time in seconds."""
        self._histogram.record_value(max(1, round(seconds * _US_PER_S)))

    def read_ms(self, percentile: float) -> float:
        """Return a percentile in milliseconds, 0 if empty."""
        time_us = self._histogram.get_value_at_percentile(percentile)
        return float(time_us) * _MS_PER_US


def measure_run(user: workloads.User, run: replay.Run) -> Measures:
    """Return all measures of a run, in the order of the report."""
    measures: Measures = {}
    tiers = sorted({arrival.tier for arrival in run.trace.arrivals})
    for scope in _list_scopes(run.trace):
        results = scope.select(run.results)
        _add_goodput(measures, scope, results, tiers)
        _add_latencies(measures, scope, results, tiers)
    _add_wasted_prefill(measures, user, run)
    _add_sheds(measures, run)
    _add_costs(measures, run)
    return measures


def meets_targets(result: client.Result) -> bool:
    """Return whether first token and complete response were in time."""
    first_s = result.first_s
    if not result.complete or first_s is None:
        return False
    arrival = result.arrival
    first_in_time = first_s - arrival.at_s <= FIRST_TOKEN_TARGET_S
    return first_in_time and is_in_time(result)


def is_in_time(result: client.Result) -> bool:
    """Return whether a response was complete by its deadline."""
    elapsed_s = result.ended_s - result.arrival.at_s
    return result.complete and elapsed_s <= result.arrival.timeout_s


def _list_scopes(trace: traces.Trace) -> list[Scope]:
    scopes = [Scope('', (trace.measured_window,))]
    if trace.bursts:
        scopes.append(Scope('crest ', trace.bursts))
    if trace.episodes:
        windows = tuple(episode.window for episode in trace.episodes)
        scopes.append(Scope('straggler ', windows))
    return scopes


def _add_goodput(
    measures: Measures, scope: Scope, results: Results, tiers: list[int]
) -> None:
    total = float(0)
    for tier in tiers:
        selected = _select_tier(results, tier)
        good = [result for result in selected if meets_targets(result)]
        rate = sum(result.tokens for result in good) / scope.length_s
        in_time = sum(1 for result in selected if is_in_time(result))
        name = f'{scope.prefix}tier {tier}'
        measures[f'{name} requests'] = len(selected)
        measures[f'{name} goodput, tokens/s'] = rate
        measures[f'{name} goodput, %'] = _percent(len(good), len(selected))
        measures[f'{name} whole in time, %'] = _percent(in_time, len(selected))
        total += rate
    measures[f'{scope.prefix}goodput, tokens/s'] = total


def _add_latencies(
    measures: Measures, scope: Scope, results: Results, tiers: list[int]
) -> None:
    for tier in tiers:
        first, completion, gaps = Latencies(), Latencies(), Latencies()
        for result in _select_tier(results, tier):
            arrival = result.arrival
            first.add(compute_first_token_s(result))
            completion.add(
                result.ended_s - arrival.at_s
                if result.complete
                else arrival.timeout_s
            )
            if result.first_s is not None and result.tokens > 1:
                generation_s = result.ended_s - result.first_s
                gaps.add(generation_s / (result.tokens - 1))
        name = f'{scope.prefix}tier {tier}'
        for percentile in _PERCENTILES:
            label = f'p{percentile}, ms'
            measures[f'{name} first token {label}'] = first.read_ms(percentile)
            measures[f'{name} whole answer {label}'] = completion.read_ms(
                percentile
            )
        measures[f'{name} token gap p95, ms'] = gaps.read_ms(_GAP_PERCENTILE)


def compute_first_token_s(result: client.Result) -> float:
    """Return the time to the first token, or the timeout if none came."""
    if result.first_s is None:
        return result.arrival.timeout_s
    return result.first_s - result.arrival.at_s


def _add_wasted_prefill(
    measures: Measures, user: workloads.User, run: replay.Run
) -> None:
    completed = {
        result.arrival.number for result in run.results if result.complete
    }
    prefill = enginelogs.measure_waste(user, run.trace, run.records, completed)
    measures['wasted prefill, tokens'] = prefill.wasted
    measures['lost prefill, tokens'] = prefill.lost
    measures['recomputed prefill, tokens'] = prefill.recomputed
    measures['prefill, tokens'] = prefill.computed


def _add_sheds(measures: Measures, run: replay.Run) -> None:
    sheds = enginelogs.list_sheds(run.results, run.records, run.started_wall_s)
    lower_tier_ran = [shed for shed in sheds if shed.lower_tier_ran]
    measures['sheds'] = len(sheds)
    measures['sheds over lower tiers'] = len(lower_tier_ran)
    measures['sheds over lower tiers, not run'] = sum(
        1 for shed in lower_tier_ran if not shed.ran
    )
    measures['sheds with lower tiers started since'] = sum(
        1 for shed in sheds if shed.lower_tier_started
    )
    for tier in sorted({shed.tier for shed in sheds}):
        selected = [shed for shed in sheds if shed.tier == tier]
        for reason in sorted({shed.reason for shed in selected}):
            measures[f'tier {tier} {reason}'] = sum(
                1 for shed in selected if shed.reason == reason
            )
    violations = enginelogs.count_violations(run.results, run.records)
    measures['run twice'] = violations.run_twice
    measures['denied but run'] = violations.denied_but_run
    measures['faulty answers'] = violations.faulty
    measures['other failures'] = sum(
        1
        for result in run.results
        if not result.complete and result.reason not in enginelogs.SHED_REASONS
    )


def _add_costs(measures: Measures, run: replay.Run) -> None:
    usage = run.usage
    send_delays = Latencies()
    for result in run.results:
        send_delays.add(max(0, result.sent_s - result.arrival.at_s))
    instance_cores = [
        cores
        for name, cores in usage.program_cores.items()
        if name.startswith('entry-')
    ]
    measures['tool late p99, ms'] = send_delays.read_ms(_SEND_DELAY_PERCENTILE)
    measures['tool, cores'] = usage.program_cores[fleets.TOOL_NAME]
    measures['instances, cores'] = sum(instance_cores)
    measures['busiest instance, cores'] = max(instance_cores, default=0)
    measures['machine busy, %'] = usage.machine_busy_ratio * 100
    measures['load average before'] = usage.load_average


def _select_tier(results: Results, tier: int) -> Results:
    return [result for result in results if result.arrival.tier == tier]


def _percent(count: int, total: int) -> float:
    return 100 * count / total if total else 0
