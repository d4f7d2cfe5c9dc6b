"""Loads by key and evidence about servers, as hosts report them to the leader."""

from __future__ import annotations

__all__ = [
    "HostReport",
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

LOAD_DECAY_S = 2.0
"""Time constant of the loads: busy keys change every four seconds on some days."""

LATENCY_GAIN = 0.03
"""Speeds last, and single latencies scatter by half; a faster estimate moves keys back
and forth."""

QUEUED_FROM = 1.5
"""Mean number of requests at a server, by its slots, that shows a queue."""

DEFAULT_SLOTS = 3
"""Slots of a server whose entry is not known (platform page)."""

LEAST_ANSWERED = 0.3
SCATTER = 0.25
"""Logarithm of the mean over the geometric mean of the lengths of requests."""

QUEUED_GAIN = 0.15

SPEED_LIMITS = (0.05, 4.0)
"""Estimated speeds stay within these bounds of the mean of the service."""

FORGOTTEN_RATE = 0.02
"""Keys below this many requests a second are dropped from the board."""


class ServerEvidence(NamedTuple):
    """What one host saw of a server since its last report.

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


class HostReport(NamedTuple):
    """Report of one host; ``span_s`` is the time that it covers."""

    host: str
    span_s: float
    services: tuple[ServiceReport, ...]


class LoadRecorder:
    """Counts requests by key and latencies by server on one host."""

    def __init__(self) -> None:
        self._keys: dict[str, dict[int, int]] = defaultdict(dict)
        self._latencies: dict[str, dict[str, list[float]]] = defaultdict(dict)

    def record_request(self, service: str, key: int) -> None:
        """Record a request for a key."""
        counts = self._keys[service]
        counts[key] = counts.get(key, 0) + 1

    def record_response(self, service: str, server: str, latency_s: float) -> None:
        """Record the latency of an answer."""
        sums = self._latencies[service].setdefault(server, [0, 0.0, 0.0])
        sums[0] += 1
        sums[2] += latency_s
        sums[1] += math.log(max(latency_s, 1e-4))

    def record_timeout(self, service: str, server: str, waited_s: float) -> None:
        """Record a request that a server had not answered when its time ended."""
        sums = self._latencies[service].setdefault(server, [0, 0.0, 0.0])
        sums[2] += waited_s

    def collect_report(self, host: str, span_s: float) -> HostReport:
        """Return what was recorded and start anew."""
        services = tuple(
            ServiceReport(
                service,
                keys,
                tuple(
                    ServerEvidence(server, int(count), logs, latencies)
                    for server, (count, logs, latencies) in self._latencies[
                        service
                    ].items()
                ),
            )
            for service, keys in self._keys.items()
        )
        self._keys = defaultdict(dict)
        self._latencies = defaultdict(dict)
        return HostReport(host, span_s, services)


class _ServiceBoard:
    def __init__(self) -> None:
        self.rates: dict[int, float] = defaultdict(float)
        self.latencies: dict[str, float] = {}
        self.present: dict[str, float] = defaultdict(float)
        self.answered: dict[str, float] = defaultdict(float)


class LoadAggregator:
    """Merges the reports of all hosts.

    :param slots_of: returns how many requests a server runs at a time, or ``None``.
    """

    def __init__(
        self, slots_of: Callable[[str], int | None] = lambda _server: None
    ) -> None:
        self._slots_of = slots_of
        self._services: dict[str, _ServiceBoard] = defaultdict(_ServiceBoard)
        self._decayed_s = 0.0

    def add(self, report: HostReport) -> None:
        """Merge a report."""
        for service in report.services:
            board = self._services[service.service]
            for key, count in service.keys.items():
                board.rates[key] += count / LOAD_DECAY_S
            for seen in service.servers:
                self._learn(board, seen)

    def decay(self, now_s: float) -> None:
        """Let older requests count less."""
        factor = math.exp(-(now_s - self._decayed_s) / LOAD_DECAY_S)
        self._decayed_s = now_s
        for board in self._services.values():
            board.rates = defaultdict(
                float,
                {
                    key: rate * factor
                    for key, rate in board.rates.items()
                    if rate * factor > FORGOTTEN_RATE
                },
            )
            for server in board.present:
                board.present[server] *= factor
                board.answered[server] *= factor
                self._learn_queued(board, server)

    def key_loads(self, service: str) -> KeyLoads:
        """Return the loads by key of a service."""
        return KeyLoads(self._services[service].rates)

    def speeds(self, service: str) -> Mapping[str, float]:
        """Return the speed of each server that was seen, 1 for the mean."""
        latencies = self._services[service].latencies
        if not latencies:
            return {}
        mean = sum(latencies.values()) / len(latencies)
        low, high = SPEED_LIMITS
        return {
            server: min(high, max(low, math.exp(mean - latency)))
            for server, latency in latencies.items()
        }

    def requests_per_slot(self, service: str, server: str) -> float:
        """Return the mean number of requests at a server, by its slots."""
        return self._use(self._services[service], server)

    def _slots(self, server: str) -> int:
        return self._slots_of(server) or DEFAULT_SLOTS

    def _use(self, board: _ServiceBoard, server: str) -> float:
        return board.present.get(server, 0.0) / self._slots(server)

    def _learn_queued(self, board: _ServiceBoard, server: str) -> None:
        """Learn the speed of a server with a queue from its answers a second.

        Its latencies tell the load rather than the speed, and a server that has
        turned very slow gives no answer in time at all.
        """
        if self._use(board, server) <= QUEUED_FROM or server not in board.latencies:
            return
        rate = max(LEAST_ANSWERED, board.answered[server])
        latency = math.log(self._slots(server) / rate) - SCATTER
        known = board.latencies[server]
        board.latencies[server] = known + QUEUED_GAIN * (latency - known)

    def _learn(self, board: _ServiceBoard, seen: ServerEvidence) -> None:
        # By Little's law this is the mean number of requests at the server.
        board.present[seen.server] += seen.latency_sum_s / LOAD_DECAY_S
        board.answered[seen.server] += seen.answered / LOAD_DECAY_S
        queued = self._use(board, seen.server) > QUEUED_FROM
        if not seen.answered or (queued and seen.server in board.latencies):
            return
        latency = seen.log_latency_sum / seen.answered
        known = board.latencies.get(seen.server)
        if known is None:
            board.latencies[seen.server] = latency
            return
        gain = 1 - (1 - LATENCY_GAIN) ** min(seen.answered, 10)
        board.latencies[seen.server] = known + gain * (latency - known)
