"""Metrics by aioprometheus.

Metric names carry their unit. Label sets are bounded: services, classes,
outcomes and endpoints, never keys, callers or request identities.
"""

from __future__ import annotations

__all__ = ["DESCRIPTIONS", "Metrics"]

from bisect import bisect_left
from collections import defaultdict

from aioprometheus import Counter, Gauge, Registry
from aioprometheus.formats import text

DESCRIPTIONS = {
    "attempt_duration_seconds": "Time from the sending of a request to the answer.",
    "attempts_failed_total": "Attempts without an answer, by outcome and reason.",
    "attempts_total": "Requests sent to servers, by outcome.",
    "belief_age_seconds": "Time since the store or a peer last answered.",
    "configuration_confirmed_age_seconds": "Age of the newest proof that the "
    "configuration is current.",
    "configuration_damaged_total": "Stored configurations that could not be read.",
    "configuration_older_reads_total": "Reads of the store that were out of date.",
    "configuration_stale": "1 while a newer configuration may exist unseen.",
    "configuration_store_failures_total": "Reads of the configuration that failed.",
    "deferred_requests": "Deferrable requests that wait for a time off the peak.",
    "gossip_actions_dropped_total": "Contacts that were dropped under load.",
    "gossip_failures_total": "Contacts with other control processes that failed.",
    "leading": "1 while this host leads.",
    "log_lines_left_out_total": "Log lines over the budget of their kind.",
    "orders_total": "Grants and releases sent to servers, by result.",
    "own_answers_total": "Requests that the gateway answered itself, by reason.",
    "peer_connections_refused_total": "Connections of peers that were refused.",
    "peer_frames_refused_total": "Frames of peers that were refused.",
    "peer_handler_errors_total": "Frames whose handler failed.",
    "peer_sent_bytes_total": "Bytes sent to other processes of the system.",
    "request_duration_seconds": "Time from arrival to the end of a request.",
    "requests_in_flight": "Requests of callers that have not ended.",
    "requests_not_admitted_total": "Requests that no slot could take in time.",
    "requests_total": "Requests of callers, by outcome.",
    "shortest_hold_seconds": (
        "Time left of the grant that ends first, at the leader; 0 elsewhere."
    ),
    "store_call_failures_total": (
        "Calls to the platform's store that failed, by name and outcome."
    ),
    "store_calls_total": "Calls to the platform's store, by name.",
    "topic_version": "Version in force of the configuration and the slice tables.",
    "topics_refused_total": "Configurations and tables that could not be read.",
}
"""Every metric with its meaning; the reference page is made from it."""

DURATION_BUCKETS_S = (
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0
)  # fmt: skip


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
        self._histograms: dict[
            tuple[str, tuple[tuple[str, str], ...]], list[float]
        ] = {}

    def count(self, name: str, amount: float = 1.0, **labels: str) -> None:
        """Add ``amount`` to a counter."""
        self._counts[name, tuple(labels.items())] += amount

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        self._levels[name, tuple(labels.items())] = value

    def observe(self, name: str, duration_s: float, **labels: str) -> None:
        """Count a duration in the buckets of a histogram."""
        index = bisect_left(DURATION_BUCKETS_S, duration_s)
        key = (name, tuple(labels.items()))
        buckets = self._histograms.get(key)
        if buckets is None:
            buckets = self._histograms[key] = [0.0] * (len(DURATION_BUCKETS_S) + 2)
        buckets[index] += 1
        buckets[-1] += duration_s

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
            self._counter(name).set(dict(labels), amount)
        for (name, labels), level in self._levels.items():
            self._gauge(name).set(dict(labels), level)
        for (name, labels), buckets in self._histograms.items():
            self._set_histogram(name, dict(labels), buckets)
        return text.TextFormatter().marshall(self._registry)

    def _counter(self, name: str) -> Counter:
        if name not in self._counters:
            self._counters[name] = Counter(
                name, _description_of(name), registry=self._registry
            )
        return self._counters[name]

    def _gauge(self, name: str) -> Gauge:
        if name not in self._gauges:
            self._gauges[name] = Gauge(
                name, _description_of(name), registry=self._registry
            )
        return self._gauges[name]

    def _set_histogram(
        self, name: str, labels: dict[str, str], buckets: list[float]
    ) -> None:
        total = 0.0
        bounds = (*map(str, DURATION_BUCKETS_S), "+Inf")
        for bound, count in zip(bounds, buckets, strict=False):
            total += count
            self._counter(f"{name}_bucket").set({**labels, "le": bound}, total)
        self._counter(f"{name}_count").set(labels, total)
        self._counter(f"{name}_sum").set(labels, buckets[-1])


def _description_of(name: str) -> str:
    base = name
    for suffix in ("_bucket", "_count", "_sum"):
        base = base.removesuffix(suffix)
    return DESCRIPTIONS[base]
