"""Seeded traces: arrivals, bursts and straggler episodes."""

import bisect
import functools
import itertools
import random
import typing
from collections import abc

from lavenderledge.load import capacity as capacities
from lavenderledge.load import workloads
from lavenderledge.standins import prefixcache

STRAGGLER_FACTOR: typing.Final = 5.0
_STRAGGLER_RATIO = 0.2
_BURST_RAMP_S = 1.0
_EPISODE_S = 5.0
_EPISODE_INTERVAL_S = 9.0
_BURST_LENGTH_RATIO = 0.15
_BURST_START_RATIOS = (0.2, 0.6)
_LETTERS = 'abcdefghijklmnopqrstuvwxyz '


class Window(typing.NamedTuple):
    """A part of a trace, in seconds from its start; the end is excluded."""

    start_s: float
    end_s: float

    def contains(self, at_s: float) -> bool:
        """Return whether a time is in the window."""
        return self.start_s <= at_s < self.end_s


class Episode(typing.NamedTuple):
    """A window in which some engines are ``factor`` times slower."""

    window: Window
    engines: tuple[int, ...]
    factor: float


class Arrival(typing.NamedTuple):
    """One request; ``instance`` is the index of the instance it goes to."""

    number: int
    at_s: float
    kind: str
    tier: int
    customer: str
    instance: int
    prefix: int
    prefix_tokens: int
    prompt_tokens: int
    output_tokens: int
    timeout_s: float


class Plan(typing.NamedTuple):
    """The parameters of a trace.

    ``base`` and ``peak`` are loads as fractions of the capacity. ``bursts``
    and ``stragglers`` enable them. The first ``warmup_s`` of the duration
    are left out of the measures.
    """

    seed: int
    duration_s: float
    warmup_s: float
    base: float
    peak: float
    bursts: bool
    stragglers: bool


class Trace(typing.NamedTuple):
    """The requests and episodes to replay, the same for every policy."""

    seed: int
    measured_window: Window
    arrivals: tuple[Arrival, ...]
    bursts: tuple[Window, ...]
    episodes: tuple[Episode, ...]


def build_trace(user: workloads.User, plan: Plan) -> Trace:
    """Return the trace of a plan; the same seed gives the same trace."""
    capacity = capacities.compute_capacity(user)
    bursts = _build_bursts(plan) if plan.bursts else ()
    generator = RequestGenerator(
        user=user, shares=capacity.shares, seed=plan.seed
    )
    times = _draw_times(plan, bursts, capacity.requests)
    return Trace(
        seed=plan.seed,
        measured_window=Window(plan.warmup_s, plan.duration_s),
        arrivals=tuple(
            generator.generate_arrival(number, at_s)
            for number, at_s in enumerate(times)
        ),
        bursts=bursts,
        episodes=_draw_episodes(user, plan) if plan.stragglers else (),
    )


def select_tier(trace: Trace, tier: int) -> Trace:
    """Return the trace with the requests of one tier only."""
    return trace._replace(
        arrivals=tuple(
            arrival for arrival in trace.arrivals if arrival.tier == tier
        )
    )


def render_prompt(seed: int, arrival: Arrival) -> str:
    """Return the prompt: the shared prefix, then text of the request's own."""
    token_width = prefixcache.TOKEN_CHARACTERS
    prefix = _render_prefix(seed, arrival.kind, arrival.prefix)
    unique = f'request {seed} {arrival.number:07d} '
    length = (arrival.prompt_tokens - arrival.prefix_tokens) * token_width
    repeated = unique * (length // len(unique) + 1)
    return prefix[: arrival.prefix_tokens * token_width] + repeated[:length]


def compute_load(
    plan: Plan, bursts: abc.Iterable[Window], at_s: float
) -> float:
    """Return the load at a time, as a fraction of the capacity."""
    for burst in bursts:
        if burst.contains(at_s):
            ramp = min(1, (at_s - burst.start_s) / _BURST_RAMP_S)
            return plan.base + (plan.peak - plan.base) * ramp
    return plan.base


class RequestGenerator:
    """Generates random requests of a user's mix."""

    def __init__(
        self,
        *,
        user: workloads.User,
        shares: abc.Mapping[str, float],
        seed: int,
    ) -> None:
        """Seed the random numbers."""
        self._user = user
        self._rng = random.Random(f'{seed}-requests')
        self._cumulative_shares = list(
            itertools.accumulate(shares[kind.name] for kind in user.kinds)
        )

    def generate_arrival(self, number: int, at_s: float) -> Arrival:
        """Return the next request."""
        rng = self._rng
        kind = self._user.kinds[self._pick_kind()]
        customers = self._user.customers
        shares = [customer.share for customer in customers]
        prefix_tokens = kind.prefix_tokens
        unique_tokens = self._draw_length(kind.prompt_tokens - prefix_tokens)
        return Arrival(
            number=number,
            at_s=at_s,
            kind=kind.name,
            tier=kind.tier,
            customer=rng.choices(customers, shares)[0].name,
            instance=rng.randrange(self._user.instances),
            prefix=self._draw_prefix(kind),
            prefix_tokens=prefix_tokens,
            prompt_tokens=prefix_tokens + unique_tokens,
            output_tokens=self._draw_length(kind.output_tokens),
            timeout_s=kind.timeout_s,
        )

    def _pick_kind(self) -> int:
        position = self._rng.random() * self._cumulative_shares[-1]
        return bisect.bisect_right(self._cumulative_shares, position)

    def _draw_length(self, mean: int) -> int:
        spread = workloads.LENGTH_SPREAD
        return max(1, round(mean * self._rng.uniform(1 - spread, 1 + spread)))

    def _draw_prefix(self, kind: workloads.Kind) -> int:
        """Return a Zipf-distributed prefix number; 0 if there are none."""
        if not kind.prefixes:
            return 0
        weights = [1 / (rank + 1) for rank in range(kind.prefixes)]
        return self._rng.choices(range(kind.prefixes), weights)[0]


@functools.cache
def _render_prefix(seed: int, kind: str, prefix: int) -> str:
    rng = random.Random(f'{seed}-{kind}-{prefix}')
    length = 1024 * prefixcache.TOKEN_CHARACTERS
    return ''.join(rng.choices(_LETTERS, k=length))


def _build_bursts(plan: Plan) -> tuple[Window, ...]:
    measured_s = plan.duration_s - plan.warmup_s
    length_s = measured_s * _BURST_LENGTH_RATIO
    starts_s = (
        plan.warmup_s + measured_s * ratio for ratio in _BURST_START_RATIOS
    )
    return tuple(Window(start_s, start_s + length_s) for start_s in starts_s)


def _draw_times(
    plan: Plan, bursts: tuple[Window, ...], capacity: float
) -> abc.Iterator[float]:
    """Yield the arrival times of a Poisson process with a varying rate."""
    rng = random.Random(f'{plan.seed}-times')
    max_load = max(plan.base, plan.peak if bursts else 0)
    at_s = rng.expovariate(max_load * capacity)
    while at_s < plan.duration_s:
        if rng.random() * max_load < compute_load(plan, bursts, at_s):
            yield at_s
        at_s += rng.expovariate(max_load * capacity)


def _draw_episodes(user: workloads.User, plan: Plan) -> tuple[Episode, ...]:
    rng = random.Random(f'{plan.seed}-episodes')
    total = len(user.engines)
    count = max(1, round(total * _STRAGGLER_RATIO))
    episodes = []
    start_s = plan.warmup_s
    while start_s + _EPISODE_S < plan.duration_s:
        engines = tuple(sorted(rng.sample(range(total), count)))
        window = Window(start_s, start_s + _EPISODE_S)
        episodes.append(Episode(window, engines, STRAGGLER_FACTOR))
        start_s += _EPISODE_INTERVAL_S
    return tuple(episodes)
