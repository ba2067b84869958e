"""Checks the targets of issue 4 against the runs of one scenario."""

import typing
from collections import abc

from lavenderledge.load import summary

OWN_POLICY: typing.Final = 'lavenderledge'
TIER1_ALONE: typing.Final = 'alone'
NO_STRAGGLERS: typing.Final = 'calm'

_MIN_ALONE_RATIO = 0.99
_MAX_WASTE_RATIO = 0.5
_MAX_STRAGGLER_RATIO = 1.5
_TAIL_MEASURES = ('first token p99, ms', 'whole answer p99, ms')
_WASTED_PREFILL = 'wasted prefill, tokens'
_PEAK_GOODPUT = 'crest goodput, tokens/s'
_SHEDS = 'sheds over lower tiers'

Runs: typing.TypeAlias = abc.Mapping[str, summary.Measures]


class Target(typing.NamedTuple):
    """A target, its bound, the measured value and whether it is met."""

    name: str
    bound: str
    measured: float
    met: bool


def check_targets(runs: Runs) -> list[Target]:
    """Return the result of every target that these runs cover."""
    ours = runs.get(OWN_POLICY)
    if ours is None:
        return []
    baselines = [
        measures
        for label, measures in runs.items()
        if label not in {OWN_POLICY, TIER1_ALONE, NO_STRAGGLERS}
    ]
    checked = [
        check_upper_bound('higher-tier sheds over lower', ours[_SHEDS], 0)
    ]
    checked.extend(_check_tier1(ours, runs.get(TIER1_ALONE)))
    if baselines:
        checked.extend(_check_baselines(ours, baselines))
    checked.extend(_check_stragglers(ours, runs.get(NO_STRAGGLERS), baselines))
    return checked


def _check_tier1(
    ours: summary.Measures, alone: summary.Measures | None
) -> abc.Iterator[Target]:
    if alone is None:
        return
    for prefix in ('', 'crest '):
        name = f'{prefix}tier 1 goodput, tokens/s'
        goodput = alone.get(name)
        if goodput is not None:
            ratio = _divide(ours[name], goodput)
            yield check_lower_bound(
                f'{name} over alone', ratio, _MIN_ALONE_RATIO
            )


def _check_baselines(
    ours: summary.Measures, baselines: list[summary.Measures]
) -> abc.Iterator[Target]:
    lowest = min(measures[_WASTED_PREFILL] for measures in baselines)
    yield check_upper_bound(
        f'{_WASTED_PREFILL} over the better baseline',
        _divide(ours[_WASTED_PREFILL], lowest),
        _MAX_WASTE_RATIO,
    )
    peak_goodput = ours.get(_PEAK_GOODPUT)
    if peak_goodput is not None:
        highest = max(measures[_PEAK_GOODPUT] for measures in baselines)
        yield check_lower_bound(
            f'{_PEAK_GOODPUT} over the better baseline',
            _divide(peak_goodput, highest),
            1,
        )


def _check_stragglers(
    ours: summary.Measures,
    unslowed: summary.Measures | None,
    baselines: list[summary.Measures],
) -> abc.Iterator[Target]:
    for measure in _TAIL_MEASURES:
        name = f'straggler tier 1 {measure}'
        tail_ms = ours.get(name)
        if tail_ms is None:
            continue
        if unslowed is not None:
            ratio = _divide(tail_ms, unslowed[name])
            yield check_upper_bound(
                f'{name} over calm', ratio, _MAX_STRAGGLER_RATIO
            )
        if baselines:
            lowest = min(measures[name] for measures in baselines)
            yield check_upper_bound(
                f'{name} over the better baseline',
                _divide(tail_ms, lowest),
                1,
            )


def check_upper_bound(name: str, measured: float, bound: float) -> Target:
    """Return a target with an upper bound."""
    return Target(name, f'at most {bound:g}', measured, measured <= bound)


def check_lower_bound(name: str, measured: float, bound: float) -> Target:
    """Return a target with a lower bound."""
    return Target(name, f'at least {bound:g}', measured, measured >= bound)


def _divide(measured: float, reference: float) -> float:
    return measured / reference if reference else float('inf')
