"""The targets of issue 4, judged on the runs of one scenario."""

import typing
from collections import abc

from lavenderledge.load import summary

OWN_POLICY: typing.Final = 'lavenderledge'
TIER1_ALONE: typing.Final = 'alone'
NO_STRAGGLERS: typing.Final = 'calm'

_ALONE_LEAST = 0.99
_WASTE_MOST = 0.5
_STRAGGLER_MOST = 1.5
_TAILS = ('first token p99, ms', 'whole answer p99, ms')
_WASTED = 'wasted prefill, tokens'
_CREST = 'crest goodput, tokens/s'
_SHEDS = 'sheds over lower tiers'

Runs: typing.TypeAlias = abc.Mapping[str, summary.Measures]


class Target(typing.NamedTuple):
    """One target: the bound, what was measured and whether it was met."""

    name: str
    bound: str
    measured: float
    met: bool


def check_targets(runs: Runs) -> list[Target]:
    """Return every target that these runs can tell of."""
    ours = runs.get(OWN_POLICY)
    if ours is None:
        return []
    baselines = [
        measures
        for label, measures in runs.items()
        if label not in {OWN_POLICY, TIER1_ALONE, NO_STRAGGLERS}
    ]
    found = [check_upper_bound('higher-tier sheds over lower', ours[_SHEDS], 0)]
    found.extend(_judge_alone(ours, runs.get(TIER1_ALONE)))
    if baselines:
        found.extend(_judge_baselines(ours, baselines))
    found.extend(_judge_stragglers(ours, runs.get(NO_STRAGGLERS), baselines))
    return found


def _judge_alone(
    ours: summary.Measures, alone: summary.Measures | None
) -> abc.Iterator[Target]:
    if alone is None:
        return
    for prefix in ('', 'crest '):
        name = f'{prefix}tier 1 goodput, tokens/s'
        goodput = alone.get(name)
        if goodput is not None:
            ratio = _divide(ours[name], goodput)
            yield check_lower_bound(f'{name} over alone', ratio, _ALONE_LEAST)


def _judge_baselines(
    ours: summary.Measures, baselines: list[summary.Measures]
) -> abc.Iterator[Target]:
    least = min(measures[_WASTED] for measures in baselines)
    yield check_upper_bound(
        f'{_WASTED} over the better baseline',
        _divide(ours[_WASTED], least),
        _WASTE_MOST,
    )
    crest = ours.get(_CREST)
    if crest is not None:
        most = max(measures[_CREST] for measures in baselines)
        yield check_lower_bound(
            f'{_CREST} over the better baseline', _divide(crest, most), 1
        )


def _judge_stragglers(
    ours: summary.Measures,
    calm: summary.Measures | None,
    baselines: list[summary.Measures],
) -> abc.Iterator[Target]:
    for tail in _TAILS:
        name = f'straggler tier 1 {tail}'
        tail_ms = ours.get(name)
        if tail_ms is None:
            continue
        if calm is not None:
            ratio = _divide(tail_ms, calm[name])
            yield check_upper_bound(f'{name} over calm', ratio, _STRAGGLER_MOST)
        if baselines:
            least = min(measures[name] for measures in baselines)
            yield check_upper_bound(
                f'{name} over the better baseline',
                _divide(tail_ms, least),
                1,
            )


def check_upper_bound(name: str, measured: float, bound: float) -> Target:
    """Return a target with an upper bound."""
    return Target(name, f'at most {bound:g}', measured, measured <= bound)


def check_lower_bound(name: str, measured: float, bound: float) -> Target:
    """Return a target with a lower bound."""
    return Target(name, f'at least {bound:g}', measured, measured >= bound)


def _divide(measured: float, other: float) -> float:
    return measured / other if other else float('inf')
