"""Open-loop replay of a trace against a fleet."""

import asyncio
import typing
from collections import abc

import aiohttp

from lavenderledge import clock as clocks
from lavenderledge import timing
from lavenderledge.load import client, traces, usage
from lavenderledge.load import fleet as fleets

_START_DELAY_S = 1.0
_LOG_DELAY_S = 1.0


Metrics: typing.TypeAlias = dict[str, float]


class Run(typing.NamedTuple):
    """One replay: the callers' results and the engines' logs.

    ``started_wall_s`` is the wall clock at the trace's start.
    ``metric_deltas`` holds the growth of each instance's metrics.
    """

    label: str
    trace: traces.Trace
    results: list[client.Result]
    records: list[fleets.EngineRecord]
    started_wall_s: float
    usage: usage.Usage
    metric_deltas: dict[str, Metrics]


async def replay_trace(
    fleet: fleets.Fleet,
    trace: traces.Trace,
    *,
    policy: str,
    label: str,
    clock: clocks.Clock,
) -> Run:
    """Send each request at its time, without waiting for earlier ones."""
    before = await _read_metrics(fleet)
    meter = usage.Meter(pids=fleet.list_pids(), now_s=clock.read_monotonic())
    started_wall_s = clock.read_wall().timestamp() + _START_DELAY_S
    results = await _replay(fleet, trace, fleet.list_addresses(policy), clock)
    measured_usage = meter.read(clock.read_monotonic())
    metric_deltas = _compute_deltas(await _read_metrics(fleet), before)
    await clock.sleep(timing.seconds(_LOG_DELAY_S))
    return Run(
        label=label,
        trace=trace,
        results=results,
        records=await fleet.read_records(),
        started_wall_s=started_wall_s,
        usage=measured_usage,
        metric_deltas=metric_deltas,
    )


async def _replay(
    fleet: fleets.Fleet,
    trace: traces.Trace,
    addresses: abc.Sequence[str],
    clock: clocks.Clock,
) -> list[client.Result]:
    """Return the results, not before the measured window's end."""
    started_s = clock.read_monotonic() + _START_DELAY_S
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        caller = client.Caller(
            session=session,
            clock=clock,
            seed=trace.seed,
            model=fleet.user.pool,
            started_s=started_s,
        )
        slowdowns = asyncio.create_task(
            _run_episodes(fleet, trace.episodes, caller.read_elapsed_s, clock)
        )
        results = await _send_all(caller, trace, addresses, clock)
        await _wait_until(
            trace.measured_window.end_s, caller.read_elapsed_s, clock
        )
        await slowdowns
    return results


def _compute_deltas(
    after: abc.Mapping[str, Metrics], before: abc.Mapping[str, Metrics]
) -> dict[str, Metrics]:
    return {
        name: {
            metric: amount - before[name].get(metric, 0)
            for metric, amount in metrics.items()
        }
        for name, metrics in after.items()
    }


async def _read_metrics(fleet: fleets.Fleet) -> dict[str, Metrics]:
    return {
        name: await fleet.read_metrics(name)
        for name in fleet.instances
        if name in fleet.programs
    }


async def _send_all(
    caller: client.Caller,
    trace: traces.Trace,
    addresses: abc.Sequence[str],
    clock: clocks.Clock,
) -> list[client.Result]:
    calls = []
    for arrival in trace.arrivals:
        await _wait_until(arrival.at_s, caller.read_elapsed_s, clock)
        address = addresses[arrival.instance % len(addresses)]
        calls.append(asyncio.create_task(caller.call(arrival, address)))
    return list(await asyncio.gather(*calls))


async def _run_episodes(
    fleet: fleets.Fleet,
    episodes: abc.Iterable[traces.Episode],
    read_elapsed_s: abc.Callable[[], float],
    clock: clocks.Clock,
) -> None:
    for episode in episodes:
        await _wait_until(episode.window.start_s, read_elapsed_s, clock)
        await fleet.set_slowdown(episode.engines, episode.factor)
        await _wait_until(episode.window.end_s, read_elapsed_s, clock)
        await fleet.set_slowdown(episode.engines, 1)


async def _wait_until(
    at_s: float, read_elapsed_s: abc.Callable[[], float], clock: clocks.Clock
) -> None:
    delay_s = at_s - read_elapsed_s()
    if delay_s > 0:
        await clock.sleep(timing.seconds(delay_s))
