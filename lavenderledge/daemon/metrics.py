"""The metrics that an instance exposes."""

import types
import typing
from collections import abc

import aioprometheus
from aioprometheus import renderer

PREFIX = 'lavenderledge_'

_Collector = typing.TypeVar(
    '_Collector', aioprometheus.Counter, aioprometheus.Gauge
)

# Upper bounds of the buckets. They include the objectives of the users'
# routes and the round-trip times of the network.
_BUCKETS_S = (
    0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.76, 1.0, 2.5,
    5.0, 10.0, 30.0,
)  # fmt: skip

_HISTOGRAMS: typing.Final = types.MappingProxyType(
    {
        'first_byte': 'Time from a request to the first byte of its answer',
        'waiting': 'Time that a request waited for a slot of a replica',
        'whole_answer': 'Time from a request to the end of its answer',
        'upstream_first_byte': 'Time from sending to the first byte of a run',
        'store_call': 'Time of a call to the store that does not wait',
        'peer_round_trip': 'Time from a report to the answer that echoes it',
        'loop_delay': 'Time by which the process ran late: all it relays waits',
    }
)


class Metrics:
    """Counters, gauges and histograms by name, created on first use."""

    def __init__(self) -> None:
        """Start with an empty registry."""
        self._registry = aioprometheus.Registry()
        self._collectors: dict[str, typing.Any] = {}
        self._histograms: dict[str, aioprometheus.Histogram] = {}

    def count(self, name: str, **labels: object) -> None:
        """Add one to the counter of this name."""
        self.add(name, 1, **labels)

    def add(self, name: str, amount: float, **labels: object) -> None:
        """Add an amount to the counter of this name."""
        counter = self._get_collector(aioprometheus.Counter, f'{name}_total')
        counter.add(_format_labels(labels), amount)

    def set_gauge(self, name: str, amount: float, **labels: object) -> None:
        """Set the gauge of this name."""
        gauge = self._get_collector(aioprometheus.Gauge, name)
        gauge.set(_format_labels(labels), amount)

    def observe(self, name: str, seconds: float, **labels: object) -> None:
        """Record a duration in the histogram of this name.

        Raises KeyError if ``_HISTOGRAMS`` does not describe it.
        """
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._build_histogram(name)
            self._histograms[name] = histogram
        histogram.observe(_format_labels(labels), seconds)

    def render(
        self, accepts: abc.Sequence[str]
    ) -> tuple[bytes, abc.Mapping[str, str]]:
        """Return the encoded metrics and their HTTP headers."""
        return renderer.render(self._registry, accepts)

    def _get_collector(self, kind: type[_Collector], name: str) -> _Collector:
        """Return the collector of this name, created on first use."""
        collector: _Collector | None = self._collectors.get(name)
        if collector is None:
            collector = kind(
                f'{PREFIX}{name}',
                name.replace('_', ' '),
                registry=self._registry,
            )
            self._collectors[name] = collector
        return collector

    def _build_histogram(self, name: str) -> aioprometheus.Histogram:
        return aioprometheus.Histogram(
            f'{PREFIX}{name}_seconds',
            _HISTOGRAMS[name],
            registry=self._registry,
            buckets=(*_BUCKETS_S, float('inf')),
        )


def _format_labels(labels: abc.Mapping[str, typing.Any]) -> dict[str, str]:
    return {name: str(text) for name, text in labels.items()}
