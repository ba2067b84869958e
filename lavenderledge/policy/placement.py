"""Choice of a replica by the expected finish time."""

import enum
import typing
from collections import abc

FIRST_TOKEN_TARGET_S: typing.Final = 0.76

# Maximum time that a request waits for a faster replica.
MAX_DEFER_S: typing.Final = 0.25
# A faster replica must save at least this time and this ratio of the time.
_MIN_GAIN_S: typing.Final = 0.25
_MIN_GAIN_RATIO: typing.Final = 0.2
# Ratio of the estimate that must fit before the deadline: an answer may be
# shorter than the row's typical one.
_REQUIRED_FIT_RATIO: typing.Final = 0.8
# Weight of a late first token's delay against the time to finish.
_LATENESS_WEIGHT: typing.Final = 5.0


class Demand(typing.NamedTuple):
    """One request's size in tokens and its times in seconds."""

    prompt_tokens: int
    output_tokens: int
    remaining_s: float
    waited_s: float


class Option(typing.NamedTuple):
    """One replica's state with regard to one request.

    ``gap_s`` is the expected token gap with the request in the batch;
    ``min_gap_s`` is the same without the work that it may cancel.
    ``queued_tokens`` is the prefill granted before it. ``free_in_s`` is the
    expected time until a slot is free. ``is_stale`` means that the replica is
    idle and has no recent speed reading.
    """

    replica: str
    slots: int
    gap_s: float
    min_gap_s: float
    prefill_rate: float
    queued_tokens: int
    cached_tokens: float
    free_in_s: float
    outstanding: int
    reported_load: int
    is_stale: bool = False


@enum.unique
class Decision(enum.Enum):
    """What to do with a request that is due."""

    PLACE = 'place'
    WAIT = 'wait'
    UNREACHABLE = 'unreachable'


class Choice(typing.NamedTuple):
    """A decision and its replica; ``WAIT`` reserves a slot there."""

    decision: Decision
    replica: str = ''


Choose: typing.TypeAlias = abc.Callable[[Demand, abc.Sequence[Option]], Choice]

POLICIES: typing.Final = ('lavenderledge', 'round-robin', 'least-loaded')
_WAIT: typing.Final = Choice(Decision.WAIT)


def estimate_first_s(demand: Demand, option: Option) -> float:
    """Return the expected seconds from the grant to the first token."""
    uncached = max(demand.prompt_tokens - option.cached_tokens, 1)
    return (option.queued_tokens + uncached) / option.prefill_rate


def estimate_finish_s(demand: Demand, option: Option) -> float:
    """Return the expected seconds from the grant to the end of the answer."""
    return (
        estimate_first_s(demand, option) + demand.output_tokens * option.gap_s
    )


def estimate_min_s(demand: Demand, option: Option) -> float:
    """Return the seconds to finish if all cancellable work is cancelled."""
    uncached = max(demand.prompt_tokens - option.cached_tokens, 1)
    return (
        uncached / option.prefill_rate + demand.output_tokens * option.min_gap_s
    )


def is_unreachable(demand: Demand, options: abc.Sequence[Option]) -> bool:
    """Return whether no replica could finish in time, if granted now.

    It is False while an idle replica has no recent speed reading: only a
    request sent there can measure it.
    """
    if any(option.is_stale for option in options):
        return False
    min_s = min(
        (estimate_min_s(demand, option) for option in options), default=0
    )
    return min_s * _REQUIRED_FIT_RATIO > demand.remaining_s


def _may_fit(demand: Demand, option: Option) -> bool:
    min_s = estimate_min_s(demand, option)
    return option.is_stale or min_s * _REQUIRED_FIT_RATIO < demand.remaining_s


def choose_by_finish(demand: Demand, options: abc.Sequence[Option]) -> Choice:
    """Place a request where it is expected to finish first and in time.

    It waits briefly for a much faster replica, and without limit while every
    free replica is too slow for its deadline. It is unreachable if no replica
    could finish it in time, if granted now.
    """
    if not options:
        return _WAIT
    if is_unreachable(demand, options):
        return Choice(Decision.UNREACHABLE)
    timely = [
        (_estimate_cost_s(demand, option), option)
        for option in options
        if option.slots > 0 and _may_fit(demand, option)
    ]
    if not timely:
        return _WAIT
    _, best = min(timely)
    replica = best.replica
    finish_s = estimate_finish_s(demand, best)
    if demand.waited_s < MAX_DEFER_S and _find_faster(
        demand, options, finish_s
    ):
        return Choice(Decision.WAIT, replica)
    return Choice(Decision.PLACE, replica)


def make_round_robin() -> Choose:
    """Return a function that chooses replicas in turn, free or not."""
    turn = 0

    def choose(demand: Demand, options: abc.Sequence[Option]) -> Choice:
        nonlocal turn  # noqa: WPS420
        if not options:
            return _WAIT
        turn += 1
        option = options[turn % len(options)]
        return Choice(Decision.PLACE, option.replica)

    return choose


def make_least_loaded() -> Choose:
    """Return a function that chooses the least reported load, ties in turn."""
    turn = 0

    def choose(demand: Demand, options: abc.Sequence[Option]) -> Choice:
        nonlocal turn  # noqa: WPS420
        if not options:
            return _WAIT
        turn += 1
        start = turn % len(options)
        rotated = (*options[start:], *options[:start])
        option = min(rotated, key=_read_reported_load)
        return Choice(Decision.PLACE, option.replica)

    return choose


class Policy(typing.NamedTuple):
    """An allocation policy; the baselines ignore limits and tiers."""

    name: str
    choose: Choose
    enforces_limits: bool


def make_policy(name: str) -> Policy:
    """Return the policy of this name; raises ``KeyError`` if unknown."""
    makers: dict[str, abc.Callable[[], Policy]] = {
        'lavenderledge': lambda: Policy(
            'lavenderledge', choose_by_finish, enforces_limits=True
        ),
        'round-robin': lambda: Policy(
            'round-robin', make_round_robin(), enforces_limits=False
        ),
        'least-loaded': lambda: Policy(
            'least-loaded', make_least_loaded(), enforces_limits=False
        ),
    }
    return makers[name]()


def _estimate_cost_s(demand: Demand, option: Option) -> float:
    """Return the time to finish, plus the costs of delay and lateness."""
    uncached = max(demand.prompt_tokens - option.cached_tokens, 1)
    delay_s = uncached / option.prefill_rate * option.outstanding
    first_s = demand.waited_s + estimate_first_s(demand, option)
    late_s = max(0, first_s - FIRST_TOKEN_TARGET_S)
    finish_s = estimate_finish_s(demand, option)
    return finish_s + delay_s + _LATENESS_WEIGHT * late_s


def _read_reported_load(option: Option) -> int:
    return option.reported_load


def _find_faster(
    demand: Demand, options: abc.Sequence[Option], finish_s: float
) -> bool:
    threshold_s = min(finish_s - _MIN_GAIN_S, finish_s * (1 - _MIN_GAIN_RATIO))
    return any(
        option.free_in_s + estimate_finish_s(demand, option) < threshold_s
        for option in options
        if option.slots <= 0 and option.free_in_s < MAX_DEFER_S
    )
