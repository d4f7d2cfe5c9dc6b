"""Loads by key and measurements of servers, as hosts report them to the leader."""

from __future__ import annotations

__all__ = [
    "HostReport",
    "LeavingServer",
    "LoadAggregator",
    "LoadRecorder",
    "ServerEvidence",
    "ServiceReport",
]

import math
from collections import defaultdict
from collections.abc import Callable, Mapping
from typing import NamedTuple

from .balance import KeyLoads
from .cold_servers import ColdPeriod
from .server_limits import LimitObservation

LOAD_DECAY_S = 2.0
"""Time constant of the exponential decay. Busy keys change as often as every four
seconds under some of the users' loads."""

LATENCY_GAIN = 0.03
"""Smoothing factor for each latency. Speeds change rarely and single latencies vary by
half; a faster estimate moves keys back and forth."""

QUEUE_THRESHOLD = 1.5
"""Requests per slot above which a server has a queue."""

DEFAULT_SLOTS = 3
"""Slots of a server whose entry is not known (from the platform's documentation)."""

MIN_RESPONSE_RATE = 0.3
"""Lower bound of the response rate that a latency is estimated from, so that a server
without responses gets a finite latency."""

LOG_MEAN_OFFSET = 0.25
"""Logarithm of the ratio of the mean of request durations to their geometric mean."""

QUEUED_LATENCY_GAIN = 0.15
"""Smoothing factor for latencies that are estimated from the response rate."""

SPEED_LIMITS = (0.05, 4.0)
"""Estimated speeds are limited to this range, relative to the mean of the service."""

MIN_KEPT_RATE = 0.02
"""Keys with this many requests a second or fewer are dropped."""


class ServerEvidence(NamedTuple):
    """What one host measured of a server since its last report.

    :param log_latency_sum: sum of the natural logarithms of latencies in seconds.
    :param latency_sum_s: sum of the latencies.
    """

    server: str
    answered: int
    log_latency_sum: float
    latency_sum_s: float


class ServiceReport(NamedTuple):
    """Loads of one service since the last report.

    :param keys: requests by key.
    """

    service: str
    keys: dict[int, int]
    servers: tuple[ServerEvidence, ...]


class LeavingServer(NamedTuple):
    """An incarnation of a server that has said that it is leaving."""

    server: str
    started_ms: int


class HostReport(NamedTuple):
    """Report of one host.

    :param span_s: period that the loads cover.
    :param leaving: servers that told this host that they are leaving.
    :param limits: limits of servers that this host learned of since the last report.
    :param cold_servers: cold servers that the leader may not know of.
    """

    host: str
    span_s: float
    services: tuple[ServiceReport, ...]
    leaving: tuple[LeavingServer, ...] = ()
    limits: tuple[LimitObservation, ...] = ()
    cold_servers: tuple[ColdPeriod, ...] = ()


class LoadRecorder:
    """Records requests by key and latencies by server on one host."""

    def __init__(self) -> None:
        self._keys: dict[str, dict[int, int]] = defaultdict(dict)
        self._latencies: dict[str, dict[str, list[float]]] = defaultdict(dict)

    def record_request(self, service: str, key: int) -> None:
        """Record a request for a key."""
        counts = self._keys[service]
        counts[key] = counts.get(key, 0) + 1

    def record_response(self, service: str, server: str, latency_s: float) -> None:
        """Record the latency of a response."""
        sums = self._latencies[service].setdefault(server, [0, 0.0, 0.0])
        sums[0] += 1
        sums[2] += latency_s
        sums[1] += math.log(max(latency_s, 1e-4))

    def record_timeout(self, service: str, server: str, waited_s: float) -> None:
        """Record a request that timed out without a response from the server."""
        sums = self._latencies[service].setdefault(server, [0, 0.0, 0.0])
        sums[2] += waited_s

    def collect_report(self, host: str, span_s: float) -> HostReport:
        """Return what was recorded since the last report, and reset."""
        services = tuple(
            ServiceReport(
                service,
                keys,
                tuple(
                    ServerEvidence(server, int(count), log_sum, latency_sum_s)
                    for server, (count, log_sum, latency_sum_s) in self._latencies[
                        service
                    ].items()
                ),
            )
            for service, keys in self._keys.items()
        )
        self._keys = defaultdict(dict)
        self._latencies = defaultdict(dict)
        return HostReport(host, span_s, services)


class _ServiceLoad:
    """Estimates for one service.

    :ivar rates: requests a second by key.
    :ivar log_latencies: natural logarithm of the latency in seconds, by server.
    :ivar mean_concurrency: mean number of requests at the same time, by server.
    :ivar response_rates: responses a second, by server.
    """

    def __init__(self) -> None:
        self.rates: dict[int, float] = defaultdict(float)
        self.log_latencies: dict[str, float] = {}
        self.mean_concurrency: dict[str, float] = defaultdict(float)
        self.response_rates: dict[str, float] = defaultdict(float)


class LoadAggregator:
    """Merges the reports of all hosts.

    :param slots_of: returns how many requests a server runs at a time, or ``None``.
    """

    def __init__(
        self, slots_of: Callable[[str], int | None] = lambda _server: None
    ) -> None:
        self._slots_of = slots_of
        self._services: dict[str, _ServiceLoad] = defaultdict(_ServiceLoad)
        self._decayed_s = 0.0

    def add(self, report: HostReport) -> None:
        """Merge a report."""
        for service in report.services:
            load = self._services[service.service]
            for key, count in service.keys.items():
                load.rates[key] += count / LOAD_DECAY_S
            for evidence in service.servers:
                self._update_latency(load, evidence)

    def decay(self, now_s: float) -> None:
        """Decay the loads for the time since the last call."""
        factor = math.exp(-(now_s - self._decayed_s) / LOAD_DECAY_S)
        self._decayed_s = now_s
        for load in self._services.values():
            load.rates = defaultdict(
                float,
                {
                    key: rate * factor
                    for key, rate in load.rates.items()
                    if rate * factor > MIN_KEPT_RATE
                },
            )
            for server in load.mean_concurrency:
                load.mean_concurrency[server] *= factor
                load.response_rates[server] *= factor
                self._update_queued_latency(load, server)

    def key_loads(self, service: str) -> KeyLoads:
        """Return the loads by key of a service."""
        return KeyLoads(self._services[service].rates)

    def speeds(self, service: str) -> Mapping[str, float]:
        """Return the speeds of servers with a known latency, relative to the mean."""
        latencies = self._services[service].log_latencies
        if not latencies:
            return {}
        mean = sum(latencies.values()) / len(latencies)
        low, high = SPEED_LIMITS
        return {
            server: min(high, max(low, math.exp(mean - latency)))
            for server, latency in latencies.items()
        }

    def requests_per_slot(self, service: str, server: str) -> float:
        """Return the mean number of requests at a server, divided by its slots."""
        return self._requests_per_slot(self._services[service], server)

    def _slots(self, server: str) -> int:
        return self._slots_of(server) or DEFAULT_SLOTS

    def _requests_per_slot(self, load: _ServiceLoad, server: str) -> float:
        return load.mean_concurrency.get(server, 0.0) / self._slots(server)

    def _update_queued_latency(self, load: _ServiceLoad, server: str) -> None:
        """Estimate the latency of a server with a queue from its response rate.

        Its measured latencies reflect the load rather than the speed, and a server
        that has become very slow sends no response in time at all.
        """
        if (
            self._requests_per_slot(load, server) <= QUEUE_THRESHOLD
            or server not in load.log_latencies
        ):
            return
        rate = max(MIN_RESPONSE_RATE, load.response_rates[server])
        latency = math.log(self._slots(server) / rate) - LOG_MEAN_OFFSET
        previous = load.log_latencies[server]
        load.log_latencies[server] = previous + QUEUED_LATENCY_GAIN * (
            latency - previous
        )

    def _update_latency(self, load: _ServiceLoad, evidence: ServerEvidence) -> None:
        # By Little's law this is the mean number of requests at the server.
        load.mean_concurrency[evidence.server] += evidence.latency_sum_s / LOAD_DECAY_S
        load.response_rates[evidence.server] += evidence.answered / LOAD_DECAY_S
        is_queued = self._requests_per_slot(load, evidence.server) > QUEUE_THRESHOLD
        if not evidence.answered or (
            is_queued and evidence.server in load.log_latencies
        ):
            return
        latency = evidence.log_latency_sum / evidence.answered
        previous = load.log_latencies.get(evidence.server)
        if previous is None:
            load.log_latencies[evidence.server] = latency
            return
        gain = 1 - (1 - LATENCY_GAIN) ** min(evidence.answered, 10)
        load.log_latencies[evidence.server] = previous + gain * (latency - previous)
