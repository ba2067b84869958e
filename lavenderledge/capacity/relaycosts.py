"""The cost of the data path at one instance, per request and per token.

Also the cost of an allocator's polls of its replicas. Measured with real
processes on the loopback interface, in real time.
"""

import asyncio
import typing

from lavenderledge import clock as clocks
from lavenderledge.capacity import figures
from lavenderledge.load import fleet as fleets
from lavenderledge.load import replay, targets, traces, workloads

_TOKEN_GAP_S: typing.Final = 0.03
_SPEED: typing.Final = workloads.make_gap_bound_speed(_TOKEN_GAP_S)
_ENGINE_COUNT: typing.Final = 8
_REQUESTS_PER_S: typing.Final = 10
_DURATION_S: typing.Final = 12
_OUTPUT_LENGTHS: typing.Final = (20, 200)
_REPEATS: typing.Final = 3
_PERCENT: typing.Final = 100
_US_PER_S: typing.Final = 1e6


class Run(typing.NamedTuple):
    """The instance's busy cores, and what it relayed per second."""

    cores: float
    requests: float
    tokens: float


def measure() -> list[figures.Figure]:
    """Return the figures of requests, tokens and polls."""
    return asyncio.run(_measure())


def solve_costs(
    short: Run, long: Run, idle_cores: float
) -> tuple[float, float]:
    """Return the microseconds per request and per token.

    ``idle_cores`` is the usage without requests, included in both runs.
    """
    determinant = short.requests * long.tokens - long.requests * short.tokens
    short_cores = short.cores - idle_cores
    long_cores = long.cores - idle_cores
    request_cost = short_cores * long.tokens - long_cores * short.tokens
    token_cost = short.requests * long_cores - long.requests * short_cores
    scale = _US_PER_S / determinant
    return request_cost * scale, token_cost * scale


async def _measure() -> list[figures.Figure]:
    idle = await _replay(1, 0)
    found = [
        figures.build_figure(
            'idle instance, allocator of 1 replica',
            '% core',
            [run.cores * _PERCENT for run in idle],
        )
    ]
    runs = {
        length: await _replay(_ENGINE_COUNT, length)
        for length in (0, *_OUTPUT_LENGTHS)
    }
    found.append(
        figures.build_figure(
            f'idle instance, allocator of {_ENGINE_COUNT} replicas',
            '% core',
            [run.cores * _PERCENT for run in runs[0]],
        )
    )
    found.append(
        figures.build_figure(
            'poll of a replica',
            'us',
            [
                (many.cores - one.cores) / (_ENGINE_COUNT - 1) * _US_PER_S
                for one, many in zip(idle, runs[0], strict=True)
            ],
        )
    )
    costs = [
        solve_costs(short, long, unloaded.cores)
        for unloaded, short, long in zip(
            runs[0], *(runs[length] for length in _OUTPUT_LENGTHS), strict=True
        )
    ]
    named_costs = zip(
        ('request relayed', 'token relayed'), zip(*costs), strict=True
    )
    found.extend(
        figures.build_figure(name, 'us', samples)
        for name, samples in named_costs
    )
    found.append(
        figures.build_figure(
            'tokens relayed, long answers',
            '/s',
            [run.tokens for run in runs[_OUTPUT_LENGTHS[-1]]],
        )
    )
    return found


async def _replay(engines: int, output_tokens: int) -> list[Run]:
    user = workloads.ABYSSINIA._replace(
        instances=1, engines=(workloads.Engine(_SPEED),) * engines
    )
    trace = _build_trace(output_tokens)
    runs = []
    async with fleets.run_fleet(user, targets.OWN_POLICY) as fleet:
        for _ in range(_REPEATS):
            run = await replay.replay_trace(
                fleet,
                trace,
                policy=targets.OWN_POLICY,
                label=targets.OWN_POLICY,
                clock=clocks.SystemClock(),
            )
            runs.append(_read_run(run))
    return runs


def _read_run(run: replay.Run) -> Run:
    elapsed_s = run.usage.elapsed_s
    return Run(
        cores=run.usage.program_cores['entry-0'],
        requests=len(run.results) / elapsed_s,
        tokens=sum(result.tokens for result in run.results) / elapsed_s,
    )


def _build_trace(output_tokens: int) -> traces.Trace:
    count = _REQUESTS_PER_S * _DURATION_S if output_tokens else 0
    return traces.Trace(
        seed=1,
        measured_window=traces.Window(0, _DURATION_S),
        arrivals=tuple(
            _make_arrival(number, output_tokens) for number in range(count)
        ),
        bursts=(),
        episodes=(),
    )


def _make_arrival(number: int, output_tokens: int) -> traces.Arrival:
    kind = workloads.ABYSSINIA.kinds[0]
    return traces.Arrival(
        number=number,
        at_s=number / _REQUESTS_PER_S,
        kind=kind.name,
        tier=kind.tier,
        customer=workloads.ABYSSINIA.customers[0].name,
        instance=0,
        prefix=0,
        prefix_tokens=kind.prefix_tokens,
        prompt_tokens=kind.prompt_tokens,
        output_tokens=output_tokens,
        timeout_s=60,
    )
