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
_STRAGGLER_PART = 0.2
_RAMP_S = 1.0
_EPISODE_S = 5.0
_EPISODE_EVERY_S = 9.0
_BURST_PART = 0.15
_BURST_STARTS = (0.2, 0.6)
_LETTERS = 'abcdefghijklmnopqrstuvwxyz '


class Window(typing.NamedTuple):
    """A stretch of a trace, in seconds from its start."""

    start_s: float
    end_s: float

    def contains(self, at_s: float) -> bool:
        """Return whether a time is in the window."""
        return self.start_s <= at_s < self.end_s


class Episode(typing.NamedTuple):
    """A stretch in which some engines run at a part of their speed."""

    window: Window
    engines: tuple[int, ...]
    factor: float


class Arrival(typing.NamedTuple):
    """One request; ``entry`` numbers the instance it is sent to."""

    number: int
    at_s: float
    kind: str
    tier: int
    customer: str
    entry: int
    prefix: int
    prefix_tokens: int
    prompt_tokens: int
    output_tokens: int
    timeout_s: float


class Plan(typing.NamedTuple):
    """What a trace is to be like.

    Levels are parts of the capacity. ``bursts`` and ``stragglers`` say
    whether there are any. The first ``warmup_s`` of the duration aren't
    counted in measures.
    """

    seed: int
    duration_s: float
    warmup_s: float
    base: float
    peak: float
    bursts: bool
    stragglers: bool


class Trace(typing.NamedTuple):
    """Everything that is replayed, the same for every policy."""

    seed: int
    measured_window: Window
    arrivals: tuple[Arrival, ...]
    bursts: tuple[Window, ...]
    episodes: tuple[Episode, ...]


def build_trace(user: workloads.User, plan: Plan) -> Trace:
    """Return the trace of a plan, the same for the same seed."""
    capacity = capacities.compute_capacity(user)
    bursts = _place_bursts(plan) if plan.bursts else ()
    draw = RequestGenerator(user=user, shares=capacity.shares, seed=plan.seed)
    times = _draw_times(plan, bursts, capacity.requests)
    return Trace(
        seed=plan.seed,
        measured_window=Window(plan.warmup_s, plan.duration_s),
        arrivals=tuple(
            draw.generate_arrival(number, at_s)
            for number, at_s in enumerate(times)
        ),
        bursts=bursts,
        episodes=_draw_episodes(user, plan) if plan.stragglers else (),
    )


def select_tier(trace: Trace, tier: int) -> Trace:
    """Return the trace with the requests of one tier alone."""
    return trace._replace(
        arrivals=tuple(
            arrival for arrival in trace.arrivals if arrival.tier == tier
        )
    )


def render_prompt(seed: int, arrival: Arrival) -> str:
    """Return the prompt's text: the shared prefix, then the request's own."""
    width = prefixcache.TOKEN_CHARACTERS
    prefix = _render_prefix(seed, arrival.kind, arrival.prefix)
    own = f'request {seed} {arrival.number:07d} '
    size = (arrival.prompt_tokens - arrival.prefix_tokens) * width
    filled = own * (size // len(own) + 1)
    return prefix[: arrival.prefix_tokens * width] + filled[:size]


def compute_load(
    plan: Plan, bursts: abc.Iterable[Window], at_s: float
) -> float:
    """Return the load at a time as a part of the capacity."""
    for burst in bursts:
        if burst.contains(at_s):
            climbed = min(1, (at_s - burst.start_s) / _RAMP_S)
            return plan.base + (plan.peak - plan.base) * climbed
    return plan.base


class RequestGenerator:
    """Draws requests of a user's mix."""

    def __init__(
        self,
        *,
        user: workloads.User,
        shares: abc.Mapping[str, float],
        seed: int,
    ) -> None:
        """Start the seeded sequence."""
        self._user = user
        self._rng = random.Random(f'{seed}-requests')
        self._kinds = list(
            itertools.accumulate(shares[kind.name] for kind in user.kinds)
        )

    def generate_arrival(self, number: int, at_s: float) -> Arrival:
        """Return the next request."""
        rng = self._rng
        kind = self._user.kinds[self._pick_kind()]
        customers = self._user.customers
        shares = [customer.share for customer in customers]
        prefix_tokens = kind.prefix_tokens
        own_tokens = self._vary(kind.prompt_tokens - prefix_tokens)
        return Arrival(
            number=number,
            at_s=at_s,
            kind=kind.name,
            tier=kind.tier,
            customer=rng.choices(customers, shares)[0].name,
            entry=rng.randrange(self._user.instances),
            prefix=self._draw_prefix(kind),
            prefix_tokens=prefix_tokens,
            prompt_tokens=prefix_tokens + own_tokens,
            output_tokens=self._vary(kind.output_tokens),
            timeout_s=kind.timeout_s,
        )

    def _pick_kind(self) -> int:
        point = self._rng.random() * self._kinds[-1]
        return bisect.bisect_right(self._kinds, point)

    def _vary(self, mean: int) -> int:
        spread = workloads.LENGTH_SPREAD
        return max(1, round(mean * self._rng.uniform(1 - spread, 1 + spread)))

    def _draw_prefix(self, kind: workloads.Kind) -> int:
        """Return a prefix's number by Zipf's law, 0 where there is none."""
        if not kind.prefixes:
            return 0
        weights = [1 / (rank + 1) for rank in range(kind.prefixes)]
        return self._rng.choices(range(kind.prefixes), weights)[0]


@functools.cache
def _render_prefix(seed: int, kind: str, prefix: int) -> str:
    rng = random.Random(f'{seed}-{kind}-{prefix}')
    most = 1024 * prefixcache.TOKEN_CHARACTERS
    return ''.join(rng.choices(_LETTERS, k=most))


def _place_bursts(plan: Plan) -> tuple[Window, ...]:
    counted_s = plan.duration_s - plan.warmup_s
    length_s = counted_s * _BURST_PART
    starts_s = (plan.warmup_s + counted_s * part for part in _BURST_STARTS)
    return tuple(Window(start_s, start_s + length_s) for start_s in starts_s)


def _draw_times(
    plan: Plan, bursts: tuple[Window, ...], capacity: float
) -> abc.Iterator[float]:
    """Yield the arrival times of a Poisson process with a varying rate."""
    rng = random.Random(f'{plan.seed}-times')
    most = max(plan.base, plan.peak if bursts else 0)
    at_s = rng.expovariate(most * capacity)
    while at_s < plan.duration_s:
        if rng.random() * most < compute_load(plan, bursts, at_s):
            yield at_s
        at_s += rng.expovariate(most * capacity)


def _draw_episodes(user: workloads.User, plan: Plan) -> tuple[Episode, ...]:
    rng = random.Random(f'{plan.seed}-episodes')
    total = len(user.engines)
    count = max(1, round(total * _STRAGGLER_PART))
    episodes = []
    start_s = plan.warmup_s
    while start_s + _EPISODE_S < plan.duration_s:
        engines = tuple(sorted(rng.sample(range(total), count)))
        window = Window(start_s, start_s + _EPISODE_S)
        episodes.append(Episode(window, engines, STRAGGLER_FACTOR))
        start_s += _EPISODE_EVERY_S
    return tuple(episodes)
