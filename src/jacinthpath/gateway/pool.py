"""Load balancing: statistics per server and the choice among a service's servers."""

from __future__ import annotations

__all__ = ["ServerPool", "connection_limit"]

import math
from collections.abc import Collection, Iterable
from random import Random

from .model import Backend, Service

CHOICE_COUNT = 2
"""Servers of the own data centre compared for each choice. With two, servers of unequal
speed get about their share of the load; with more, all hosts pick the same few fast
servers."""

REMOTE_CHOICE_COUNT = 1
"""Servers of other data centres compared with them, which take what is too much for the
own one."""

OTHER_DATA_CENTRE_FACTOR = 1.4
"""A server in another data centre is scored as this much slower, because traffic
between data centres is paid for."""

WARMUP_FACTOR = 2.0
"""A server that has just started takes about twice as long (according to the platform's
documentation)."""

LATENCY_SMOOTHING = 0.15
INITIAL_LATENCY_S = 0.05
"""Latency assumed of all servers of a service that has not responded yet."""

FAILURES_TO_EJECT = 2
"""Consecutive failures after which a server is ejected from the choice."""

INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
WINDOW_DECREASE = 0.5
"""Factor on the requests in flight at a server after it reset a connection."""

FAILURE_SMOOTHING = 0.1
FAILURE_PENALTY = 4.0
"""The score is multiplied by one plus this times the failure rate, so that a server
with partial failures is avoided while its health check passes."""


class _ServerStats:
    """Statistics about one incarnation of a server."""

    __slots__ = (
        "started_ms",
        "warmup_until_s",
        "ejected_until_s",
        "ejections",
        "failure_rate",
        "failures",
        "in_flight",
        "log_latency",
        "malformed_notices",
        "paused_until_s",
        "samples",
        "unreachable_until_s",
        "window",
    )

    def __init__(self, backend: Backend, now_s: float) -> None:
        self.started_ms = backend.started_ms
        self.warmup_until_s = now_s + backend.warmup_left_s
        self.in_flight = 0
        self.log_latency = 0.0
        self.samples = 0
        self.failures = 0
        self.failure_rate = 0.0
        self.ejections = 0
        self.ejected_until_s = float("-inf")
        self.unreachable_until_s = float("-inf")
        self.paused_until_s = float("-inf")
        self.malformed_notices = 0
        self.window = math.inf


class ServerPool:
    """Statistics of this host about all servers, and the choice of a server by them.

    :param data_centre: data centre of this host.
    """

    def __init__(self, data_centre: str, random: Random) -> None:
        self._data_centre = data_centre
        self._random = random
        self._stats_by_server: dict[str, _ServerStats] = {}
        self._log_latency_by_service: dict[str, float] = {}

    def choose(
        self,
        backends: Iterable[Backend],
        now_s: float,
        exclude: Collection[str] = (),
        max_in_flight: float = math.inf,
    ) -> Backend | None:
        """Return the server for an attempt, or ``None`` if there is none.

        :param max_in_flight: limit of this host's requests in flight at a server.
        """
        usable = [
            b
            for b in backends
            if not b.draining
            and b.server not in exclude
            and self.in_flight(b) < min(max_in_flight, self.window(b))
            and not self.pause_left_s(b, now_s)
        ]
        healthy = [b for b in usable if not self._is_ejected(b, now_s)]
        candidates = self._sample(healthy or usable)
        return min(candidates, key=lambda b: self._score(b, now_s), default=None)

    def latency_s(self, backend: Backend, now_s: float) -> float:
        """Return the expected latency of the server."""
        stats = self._stats_of(backend, now_s)
        latency_s = math.exp(self._log_latency(backend, stats))
        return latency_s * WARMUP_FACTOR if now_s < stats.warmup_until_s else latency_s

    def in_flight(self, backend: Backend) -> int:
        """Return the number of this host's requests in flight at the server."""
        stats = self._stats_by_server.get(backend.server)
        if stats is None or stats.started_ms != backend.started_ms:
            return 0
        return stats.in_flight

    def is_unreachable(self, backend: Backend, now_s: float) -> bool:
        """Return whether this host recently failed to reach the server.

        A server that responds to some requests is not unreachable: its keys have no
        other owner, so an attempt is still worthwhile.
        """
        stats = self._stats_by_server.get(backend.server)
        return stats is not None and now_s < stats.unreachable_until_s

    def window(self, backend: Backend) -> float:
        """Return how many requests this host may have in flight at the server.

        It is halved when the server resets a connection, since all hosts together have
        too many, and grows by about one each time that it was used up.
        """
        stats = self._stats_by_server.get(backend.server)
        if stats is None or stats.started_ms != backend.started_ms:
            return math.inf
        return stats.window

    def record_reset(self, backend: Backend, now_s: float) -> None:
        """Record that the server reset a connection instead of responding."""
        stats = self._stats_of(backend, now_s)
        stats.window = max(1.0, min(stats.window, stats.in_flight) * WINDOW_DECREASE)

    def pause_left_s(self, backend: Backend, now_s: float) -> float:
        """Return for how much longer the server wants no requests from this host."""
        stats = self._stats_by_server.get(backend.server)
        if stats is None or stats.started_ms != backend.started_ms:
            return 0.0
        return max(0.0, stats.paused_until_s - now_s)

    def record_pause(self, backend: Backend, pause_s: float, now_s: float) -> None:
        """Record that the server wants no requests for a time."""
        stats = self._stats_of(backend, now_s)
        stats.paused_until_s = max(stats.paused_until_s, now_s + pause_s)

    def is_first_malformed(self, backend: Backend, now_s: float) -> bool:
        """Count a notice that could not be read; return whether it is the first."""
        stats = self._stats_of(backend, now_s)
        stats.malformed_notices += 1
        return stats.malformed_notices == 1

    def record_start(self, backend: Backend, now_s: float) -> None:
        """Record that a request was sent."""
        self._stats_of(backend, now_s).in_flight += 1

    def record_inconclusive(self, backend: Backend, now_s: float) -> None:
        """Record the end of an attempt that says nothing about the server's health.

        Such are cancelled attempts, wrong owners and early timeouts.
        """
        stats = self._stats_of(backend, now_s)
        stats.in_flight = max(0, stats.in_flight - 1)

    def record_response(self, backend: Backend, latency_s: float, now_s: float) -> None:
        """Record a response."""
        stats = self._stats_of(backend, now_s)
        stats.in_flight = max(0, stats.in_flight - 1)
        stats.failures = 0
        stats.ejections = 0
        stats.unreachable_until_s = float("-inf")
        stats.window += 1 / stats.window
        stats.failure_rate *= 1 - FAILURE_SMOOTHING
        log_latency = math.log(max(latency_s, 1e-4))
        smoothing = max(LATENCY_SMOOTHING, 1 / (stats.samples + 1))
        stats.log_latency += smoothing * (log_latency - stats.log_latency)
        stats.samples += 1
        mean = self._log_latency_by_service.setdefault(backend.service, log_latency)
        mean += LATENCY_SMOOTHING * (log_latency - mean)
        self._log_latency_by_service[backend.service] = mean

    def record_rejection(self, backend: Backend, now_s: float) -> None:
        """Record a rejected request; the server is up, so it is not ejected."""
        stats = self._stats_of(backend, now_s)
        stats.in_flight = max(0, stats.in_flight - 1)
        stats.failure_rate += FAILURE_SMOOTHING * (1 - stats.failure_rate)

    def record_failure(self, backend: Backend, now_s: float, no_response: bool) -> bool:
        """Record a failure; return whether it ejected the server.

        :param no_response: whether nothing was received from the server.
        """
        stats = self._stats_of(backend, now_s)
        stats.in_flight = max(0, stats.in_flight - 1)
        stats.failures += 1
        stats.failure_rate += FAILURE_SMOOTHING * (1 - stats.failure_rate)
        if stats.failures < FAILURES_TO_EJECT:
            return False
        ejection_s = min(MAX_EJECTION_S, INITIAL_EJECTION_S * 2**stats.ejections)
        stats.ejected_until_s = now_s + ejection_s * (
            0.75 + 0.5 * self._random.random()
        )
        if no_response:
            stats.unreachable_until_s = stats.ejected_until_s
        stats.ejections += 1
        stats.failures = FAILURES_TO_EJECT - 1
        return True

    def forget_failures(self) -> None:
        """Forget the failures of all servers: the path of this host was their cause."""
        for stats in self._stats_by_server.values():
            stats.failures = stats.ejections = 0
            stats.failure_rate = 0.0
            stats.ejected_until_s = stats.unreachable_until_s = float("-inf")
            stats.window = math.inf

    def retain(self, known: Collection[str]) -> None:
        """Drop the statistics of servers that are no longer known."""
        for server in [*self._stats_by_server]:
            if server not in known:
                del self._stats_by_server[server]

    def _sample(self, backends: list[Backend]) -> list[Backend]:
        """Return the servers to compare, mostly of the own data centre.

        A host meets the same few servers again while their connections are open.
        """
        local = [b for b in backends if b.data_centre == self._data_centre]
        remote = [b for b in backends if b.data_centre != self._data_centre]
        local_count = min(len(local), CHOICE_COUNT)
        remote_count = min(
            len(remote), max(REMOTE_CHOICE_COUNT, CHOICE_COUNT - local_count)
        )
        return [
            *self._random.sample(local, local_count),
            *self._random.sample(remote, remote_count),
        ]

    def _stats_of(self, backend: Backend, now_s: float) -> _ServerStats:
        stats = self._stats_by_server.get(backend.server)
        if stats is None or stats.started_ms != backend.started_ms:
            stats = self._stats_by_server[backend.server] = _ServerStats(backend, now_s)
        return stats

    def _log_latency(self, backend: Backend, stats: _ServerStats) -> float:
        """Return the logarithm of the expected latency in seconds.

        A server that has not responded yet is expected to be like the others of its
        service: a lower latency would draw all requests to unknown servers.
        """
        if stats.samples:
            return stats.log_latency
        initial = math.log(INITIAL_LATENCY_S)
        return self._log_latency_by_service.get(backend.service, initial)

    def _is_ejected(self, backend: Backend, now_s: float) -> bool:
        stats = self._stats_by_server.get(backend.server)
        return stats is not None and now_s < stats.ejected_until_s

    def _score(self, backend: Backend, now_s: float) -> float:
        stats = self._stats_of(backend, now_s)
        score = (stats.in_flight + 1) * math.exp(self._log_latency(backend, stats))
        score *= 1 + FAILURE_PENALTY * stats.failure_rate
        if now_s < stats.warmup_until_s:
            score *= WARMUP_FACTOR
        if backend.data_centre != self._data_centre:
            score *= OTHER_DATA_CENTRE_FACTOR
        return score


def connection_limit(service: Service, hosts: int) -> int:
    """Return how many connections to one server each of ``hosts`` may use.

    A server resets connections above its limit, which loses the requests on them.
    """
    return max(1, service.max_connections // max(1, hosts))
