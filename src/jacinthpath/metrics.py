"""Metrics by aioprometheus.

Metric names carry their unit. Label sets are bounded: services, classes,
outcomes and endpoints, never keys, callers or request identities.
"""

from __future__ import annotations

__all__ = ["Metrics"]

from collections import defaultdict

from aioprometheus import Counter, Gauge, Registry
from aioprometheus.formats import text


class Metrics:
    """Counters and gauges of one process.

    Increments go to plain dictionaries and are copied into the aioprometheus
    collectors when the page is rendered, because a labelled collector costs
    several microseconds for each increment on the request path.
    """

    def __init__(self) -> None:
        self._registry = Registry()
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}
        self._counts: dict[tuple[str, tuple[tuple[str, str], ...]], float] = (
            defaultdict(float)
        )
        self._levels: dict[tuple[str, tuple[tuple[str, str], ...]], float] = {}

    def count(self, name: str, amount: float = 1.0, **labels: str) -> None:
        """Add ``amount`` to a counter."""
        self._counts[name, tuple(labels.items())] += amount

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        self._levels[name, tuple(labels.items())] = value

    def value(self, name: str, **labels: str) -> float:
        """Return the current value of a counter or gauge, 0 when unset."""
        key = (name, tuple(labels.items()))
        if key in self._levels:
            return self._levels[key]
        return self._counts.get(key, 0.0)

    def total(self, name: str) -> float:
        """Return the sum of a counter over all its labels."""
        return sum(amount for key, amount in self._counts.items() if key[0] == name)

    def render(self) -> bytes:
        """Return the metrics page in the Prometheus text format."""
        for (name, labels), amount in self._counts.items():
            counter = self._counters.get(name)
            if counter is None:
                counter = Counter(name, name.replace("_", " "), registry=self._registry)
                self._counters[name] = counter
            counter.set(dict(labels), amount)
        for (name, labels), level in self._levels.items():
            gauge = self._gauges.get(name)
            if gauge is None:
                gauge = Gauge(name, name.replace("_", " "), registry=self._registry)
                self._gauges[name] = gauge
            gauge.set(dict(labels), level)
        return text.TextFormatter().marshall(self._registry)
