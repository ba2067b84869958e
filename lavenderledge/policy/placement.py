"""Choosing a replica by the expected time of finishing there."""

import enum
import typing
from collections import abc

FIRST_TOKEN_TARGET_S: typing.Final = 0.76

# A hold for a faster replica ends after this long.
MAX_HOLD_S: typing.Final = 0.25
# A faster replica must save this much, and this part of the time.
_LEAST_GAIN_S: typing.Final = 0.25
_LEAST_GAIN: typing.Final = 0.2
# The part of the estimate that must fit before the deadline: an answer may
# be shorter than its row's usual one.
_MUST_FIT: typing.Final = 0.8
# The weight of time by which the first token is late against the answer's.
_LATE_COST: typing.Final = 5.0


class Demand(typing.NamedTuple):
    """One request's size in tokens, and its times in seconds."""

    prompt_tokens: int
    output_tokens: int
    remaining_s: float
    waited_s: float


class Option(typing.NamedTuple):
    """One replica as it stands for one request.

    ``gap_s`` is the token gap to expect with the request in the batch, and
    ``least_gap_s`` the one without the work that may be cancelled for it;
    ``queued_tokens`` is the prefill granted before it; ``free_in_s`` the time
    until a slot is expected where none is free. ``is_stale`` says that nothing
    runs there and that its speed was not read of late.
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
    """What to do, and the replica; with ``WAIT`` one not to fill meanwhile."""

    decision: Decision
    replica: str = ''


Choose: typing.TypeAlias = abc.Callable[[Demand, abc.Sequence[Option]], Choice]

POLICIES: typing.Final = ('lavenderledge', 'round-robin', 'least-loaded')
_WAIT: typing.Final = Choice(Decision.WAIT)


def estimate_first_s(demand: Demand, option: Option) -> float:
    """Return the expected seconds to the first token once granted."""
    uncached = max(demand.prompt_tokens - option.cached_tokens, 1)
    return (option.queued_tokens + uncached) / option.prefill_rate


def estimate_finish_s(demand: Demand, option: Option) -> float:
    """Return the expected seconds to the whole answer once granted."""
    return (
        estimate_first_s(demand, option) + demand.output_tokens * option.gap_s
    )


def estimate_least_s(demand: Demand, option: Option) -> float:
    """Return the seconds to the whole answer without cancellable work."""
    uncached = max(demand.prompt_tokens - option.cached_tokens, 1)
    return (
        uncached / option.prefill_rate + demand.output_tokens * option.min_gap_s
    )


def is_unreachable(demand: Demand, options: abc.Sequence[Option]) -> bool:
    """Return whether no replica could finish in time, if granted now.

    That is never said while an idle replica's speed is not known of late:
    only a request that tries it can tell.
    """
    if any(option.is_stale for option in options):
        return False
    least_s = min(
        (estimate_least_s(demand, option) for option in options), default=0
    )
    return least_s * _MUST_FIT > demand.remaining_s


def _may_fit(demand: Demand, option: Option) -> bool:
    least_s = estimate_least_s(demand, option)
    return option.is_stale or least_s * _MUST_FIT < demand.remaining_s


def choose_by_finish(demand: Demand, options: abc.Sequence[Option]) -> Choice:
    """Place where the answer is expected first, and in time.

    A request waits a little for a much faster replica, and as long as only
    replicas are free that would be too slow for its deadline. It is
    unreachable where no replica at all could finish it, if granted now.
    """
    if not options:
        return _WAIT
    if is_unreachable(demand, options):
        return Choice(Decision.UNREACHABLE)
    timely = [
        (_weigh(demand, option), option)
        for option in options
        if option.slots > 0 and _may_fit(demand, option)
    ]
    if not timely:
        return _WAIT
    _, best = min(timely)
    replica = best.replica
    finish_s = estimate_finish_s(demand, best)
    if demand.waited_s < MAX_HOLD_S and _find_faster(demand, options, finish_s):
        return Choice(Decision.WAIT, replica)
    return Choice(Decision.PLACE, replica)


def make_round_robin() -> Choose:
    """Return a choice that takes the replicas in turn, free or not."""
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
    """Return a choice of the least load by report, ties in turn."""
    turn = 0

    def choose(demand: Demand, options: abc.Sequence[Option]) -> Choice:
        nonlocal turn  # noqa: WPS420
        if not options:
            return _WAIT
        turn += 1
        start = turn % len(options)
        rotated = (*options[start:], *options[:start])
        option = min(rotated, key=_read_reported)
        return Choice(Decision.PLACE, option.replica)

    return choose


class Policy(typing.NamedTuple):
    """How a daemon decides; the baselines know neither limits nor tiers."""

    name: str
    choose: Choose
    limited: bool


def make_policy(name: str) -> Policy:
    """Return the policy of a name; raises ``KeyError`` for others."""
    makers: dict[str, abc.Callable[[], Policy]] = {
        'lavenderledge': lambda: Policy(
            'lavenderledge', choose_by_finish, limited=True
        ),
        'round-robin': lambda: Policy(
            'round-robin', make_round_robin(), limited=False
        ),
        'least-loaded': lambda: Policy(
            'least-loaded', make_least_loaded(), limited=False
        ),
    }
    return makers[name]()


def _weigh(demand: Demand, option: Option) -> float:
    """Return the time to finish, with the delay of others by the prefill."""
    uncached = max(demand.prompt_tokens - option.cached_tokens, 1)
    delay_s = uncached / option.prefill_rate * option.outstanding
    first_s = demand.waited_s + estimate_first_s(demand, option)
    late_s = max(0, first_s - FIRST_TOKEN_TARGET_S)
    finish_s = estimate_finish_s(demand, option)
    return finish_s + delay_s + _LATE_COST * late_s


def _read_reported(option: Option) -> int:
    return option.reported_load


def _find_faster(
    demand: Demand, options: abc.Sequence[Option], finish_s: float
) -> bool:
    goal_s = min(finish_s - _LEAST_GAIN_S, finish_s * (1 - _LEAST_GAIN))
    return any(
        option.free_in_s + estimate_finish_s(demand, option) < goal_s
        for option in options
        if option.slots <= 0 and option.free_in_s < MAX_HOLD_S
    )
