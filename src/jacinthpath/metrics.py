"""Prometheus metrics, rendered by aioprometheus.

Metric names include their unit. Label sets are bounded: services, classes,
outcomes and endpoints, never keys, callers or request ids.
"""

from __future__ import annotations

__all__ = ["DESCRIPTIONS", "Metrics"]

from bisect import bisect_left
from collections import defaultdict

from aioprometheus import Counter, Gauge, Registry
from aioprometheus.formats import text

DESCRIPTIONS = {
    "attempt_duration_seconds": "Time from sending a request to its response.",
    "attempts_failed_total": (
        "Attempts that failed or that the server refused, by outcome and reason."
    ),
    "attempts_total": "Requests sent to servers, by outcome, whether the server has "
    "named a limit, and whether another host has relayed them.",
    "belief_age_seconds": (
        "Time since the last contact with the store, direct or through peers."
    ),
    "bodies_broken_total": "Large bodies that broke off while they were forwarded.",
    "callers_closed_total": (
        "Connections of callers that were closed because they took no bytes, by "
        "whether memory was short."
    ),
    "configuration_confirmed_age_seconds": "Age of the newest confirmation that "
    "the configuration is current.",
    "configuration_damaged_total": "Stored configurations that could not be read.",
    "configuration_older_reads_total": (
        "Reads of the store that returned an older configuration."
    ),
    "configuration_stale": (
        "1 while a newer configuration may exist that this process has not seen."
    ),
    "configuration_store_failures_total": "Reads of the configuration that failed.",
    "coordinator_silent_total": "Coordinators that did not respond to a request for a "
    "slot.",
    "cut_off_from_servers": "1 while no server responds to this host.",
    "deferred_requests": "Deferrable requests that wait for off-peak time.",
    "cold_permits_total": "Requests to cold servers, by whether they were permitted.",
    "event_loop_pass_seconds": (
        "Late passes of the event loop: how long the callbacks ran, and the wait "
        "before them."
    ),
    "first_send_age_seconds": ("Age of a request when it is first sent to a server."),
    "gossip_actions_dropped_total": "Gossip actions that were dropped under load.",
    "gossip_failures_total": "Gossip actions that failed.",
    "ignored_values_total": "Values of the configuration and of servers' entries that "
    "were ignored, by field.",
    "held_body_bytes": "Bytes of the bodies of requests and responses in memory.",
    "leading": "1 while this host leads.",
    "limit_permits_total": (
        "Requests to servers that name a limit, by whether and by whom they were "
        "permitted."
    ),
    "log_lines_left_out_total": (
        "Log lines dropped because of the rate limit of their kind or a full buffer."
    ),
    "malformed_notices_total": "Responses with a notice of the server that cannot be "
    "read.",
    "orders_total": "Grants and releases sent to servers, by result.",
    "own_answers_total": (
        "Requests that the gateway answered without a server, by reason."
    ),
    "peer_connections_refused_total": "Peer connections that were refused.",
    "peer_frame_transfer_seconds": (
        "Time from the first to the last byte of a frame from a peer."
    ),
    "peer_frames_refused_total": "Frames from peers that were refused.",
    "peer_handler_errors_total": "Frames whose handler failed.",
    "peer_responses_late_total": (
        "Responses of peers that arrived after nobody waited for them any more."
    ),
    "peer_sent_bytes_total": "Bytes sent to other processes of the system.",
    "requests_at_crashes_total": (
        "Requests that were in flight at a server when it crashed."
    ),
    "reach_probes_total": (
        "Health checks that find out whether this host reaches servers, by result."
    ),
    "relay_age_seconds": "Time from asking to relay a request until it is handled.",
    "relays_total": "Requests of other hosts that this host was to send, by result.",
    "request_duration_seconds": "Time from receiving a request to its end.",
    "requests_in_flight": "Requests of callers that are in progress.",
    "requests_not_admitted_total": "Requests that got no free slot in time, by reason.",
    "requests_total": "Requests of callers, by outcome.",
    "shortest_hold_seconds": (
        "Remaining time of the grant that ends first, on the leader; 0 elsewhere."
    ),
    "slot_decisions_total": "Decisions of this host on requests for slots, by state.",
    "slot_wait_seconds": "Time until a request got a slot, by the route's priority.",
    "slots_in_use": "Leases of slots that this host has lent, by server group.",
    "slots_not_returned_total": "Slots that could not be returned to the coordinator.",
    "slots_refused_total": "Requests of this host that got no slot, by reason.",
    "slots_waited_for": "Requests that wait for slots lent here, by server group.",
    "store_call_failures_total": (
        "Calls to the platform's store that failed, by name and outcome."
    ),
    "store_calls_total": "Calls to the platform's store, by name.",
    "store_malformed_eras_total": "Responses of the store whose era cannot be read.",
    "topic_version": "Version of the configuration and of each slice table in force.",
    "topics_refused_total": (
        "Topics that were refused: unreadable, conflicting or beyond a limit."
    ),
    "uploads_refused_total": (
        "Requests that were refused because their body did not fit into memory."
    ),
    "unexpected_errors_total": (
        "Exceptions that nothing else handled, by the loop or task that they ended."
    ),
}
"""Description of each metric; the reference page is generated from it."""

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
        self._counter_values: dict[tuple[str, tuple[tuple[str, str], ...]], float] = (
            defaultdict(float)
        )
        self._gauge_values: dict[tuple[str, tuple[tuple[str, str], ...]], float] = {}
        self._histograms: dict[
            tuple[str, tuple[tuple[str, str], ...]], list[float]
        ] = {}

    def count(self, name: str, amount: float = 1.0, **labels: str) -> None:
        """Add ``amount`` to a counter."""
        self._counter_values[name, tuple(labels.items())] += amount

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        self._gauge_values[name, tuple(labels.items())] = value

    def observe(self, name: str, duration_s: float, **labels: str) -> None:
        """Add a duration to a histogram."""
        index = bisect_left(DURATION_BUCKETS_S, duration_s)
        key = (name, tuple(labels.items()))
        buckets = self._histograms.get(key)
        if buckets is None:
            buckets = self._histograms[key] = [0.0] * (len(DURATION_BUCKETS_S) + 2)
        buckets[index] += 1
        buckets[-1] += duration_s

    def value(self, name: str, **labels: str) -> float:
        """Return the current value of a counter or gauge, 0 if it was never set."""
        key = (name, tuple(labels.items()))
        if key in self._gauge_values:
            return self._gauge_values[key]
        return self._counter_values.get(key, 0.0)

    def total(self, name: str) -> float:
        """Return the sum of a counter over all label sets."""
        return sum(
            amount for key, amount in self._counter_values.items() if key[0] == name
        )

    def render(self) -> bytes:
        """Return the metrics page in the Prometheus text format."""
        for (name, labels), amount in self._counter_values.items():
            self._counter(name).set(dict(labels), amount)
        for (name, labels), value in self._gauge_values.items():
            self._gauge(name).set(dict(labels), value)
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
