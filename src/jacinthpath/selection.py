"""Load balancing over the endpoints of a service that is not keyed."""

from __future__ import annotations

__all__ = ["EndpointPool"]

import math
from collections.abc import Collection, Iterable
from random import Random

from .configuration import Endpoint
from .limits import ConcurrencyLimit, LatencyTrend

# Largest number of endpoints compared for each choice; bounds its cost in a large
# service.
MAX_CANDIDATES = 8
# Share of the normal load that an endpoint receives at the beginning of slow start.
SLOW_START_MIN_SHARE = 0.1
SLOW_START_S = 10.0
# An endpoint in another data centre counts as this many times slower, so that a
# local one is chosen unless it is measurably slower.
REMOTE_FACTOR = 1.1
# An endpoint that reports itself unhealthy counts as this many times slower for this
# long. Reports lag and can be wrong, so they never exclude an endpoint.
UNHEALTHY_FACTOR = 1.5
UNHEALTHY_REPORT_S = 5.0
# Consecutive failures, or a latency above this many times the median, that eject an
# endpoint. Latency is checked after every EJECT_SAMPLES samples. The ejection time
# doubles from EJECT_S up to MAX_EJECT_S, before jitter.
EJECT_FAILURES = 5
EJECT_LATENCY_FACTOR = 4.0
EJECT_SAMPLES = 20
EJECT_S = 5.0
MAX_EJECT_S = 60.0
# Share of the active endpoints that is never ejected: a fault common to all of them
# must not remove all capacity.
MIN_AVAILABLE_SHARE = 0.5

# Assumed latency of an endpoint without samples, low so that it is tried soon.
UNKNOWN_LATENCY_S = 0.001
# The capacity is recomputed at most this often: it changes slowly and is read
# for every request.
CAPACITY_INTERVAL_S = 0.01

_LATENCY_GAIN = 0.15
_FAILURE_OUTCOMES = ("refused", "failed")


class _EndpointState:
    """Measurements and ejection state of one endpoint."""

    def __init__(
        self, endpoint: Endpoint, limit: ConcurrencyLimit, slow_start_end: float
    ):
        self.endpoint = endpoint
        self.limit = limit
        self.slow_start_end = slow_start_end
        self.latency_s = 0.0
        self.samples = 0
        self.failures = 0
        self.ejections = 0
        self.ejected_until = -math.inf
        self.unhealthy_until = -math.inf
        self.score_factor_end = slow_start_end
        self.cost = 0.0


class EndpointPool:
    """Endpoints of one service, with the measurements of this process.

    :param endpoints: see :meth:`update`; the first set skips the slow start.
    :param data_centre: where this process runs.
    :param random: source of randomness.
    :param slots: requests that each server runs at a time.
    :param hosts: estimated number of hosts that share the servers.
    :param connections: connections that each server accepts from all hosts.
    """

    def __init__(
        self,
        endpoints: Iterable[Endpoint],
        data_centre: str,
        random: Random,
        slots: int = 3,
        hosts: int = 10,
        connections: int = 100,
    ) -> None:
        self._data_centre = data_centre
        self._random = random
        self._limit_arguments = (slots, hosts, connections)
        self._states: dict[str, _EndpointState] = {}
        self._active: list[_EndpointState] = []
        self._trend = LatencyTrend()
        self._capacity = 1
        self._capacity_at = -math.inf
        self.update(endpoints, -math.inf)

    def update(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Replace the set of endpoints; new ones go through slow start."""
        states = {}
        for endpoint in endpoints:
            state = self._states.get(endpoint.server)
            if state is None or state.endpoint.address != endpoint.address:
                limit = ConcurrencyLimit(*self._limit_arguments)
                state = _EndpointState(endpoint, limit, now + SLOW_START_S)
            state.endpoint = endpoint
            self._update_cost(state)
            states[endpoint.server] = state
        self._states = states
        self._active = [
            state for state in states.values() if state.endpoint.state == "active"
        ]
        self._capacity_at = -math.inf

    def capacity(self, now: float) -> int:
        """Return how many requests this process may have at the service."""
        if now - self._capacity_at < CAPACITY_INTERVAL_S:
            return self._capacity
        total = sum(
            state.limit.value * self._slow_start_share(state, now)
            for state in self._active
            if state.ejected_until <= now
        )
        self._capacity = max(1, int(total))
        self._capacity_at = now
        return self._capacity

    def pressure(self, now: float) -> float:
        """Return the current latency as a multiple of the unloaded one, at least 1."""
        return self._trend.ratio(now)

    def choose(self, now: float, exclude: Collection[str] = ()) -> Endpoint | None:
        """Return the endpoint for an attempt, or ``None`` when none may take it.

        :param exclude: servers not to use, such as those tried before.
        """
        best = None
        best_score = math.inf
        compared = 0
        for state in self._rotate_active():
            limit = state.limit
            if state.ejected_until > now or 1 <= limit.in_flight >= limit.value:
                continue
            if exclude and state.endpoint.server in exclude:
                continue
            score = (limit.in_flight + 1) * state.cost
            if now < state.score_factor_end:
                score *= self._score_factor(state, now)
            if score < best_score:
                best, best_score = state, score
            compared += 1
            if compared == MAX_CANDIDATES:
                break
        return None if best is None else best.endpoint

    def record_health_report(self, server: str, healthy: bool, now: float) -> None:
        """Record a health report of a server."""
        state = self._states.get(server)
        if state is not None:
            state.unhealthy_until = -math.inf if healthy else now + UNHEALTHY_REPORT_S
            state.score_factor_end = max(state.slow_start_end, state.unhealthy_until)

    def record_start(self, endpoint: Endpoint, now: float) -> None:
        """Record that an attempt was sent to an endpoint."""
        state = self._states.get(endpoint.server)
        if state is not None:
            state.limit.in_flight += 1

    def record_end(
        self,
        endpoint: Endpoint,
        latency_s: float,
        outcome: str,
        now: float,
        binding: bool = True,
    ) -> None:
        """Record how an attempt ended.

        :param outcome: ``answered``, ``refused``, ``failed`` (broken off or timed
            out) or ``cancelled`` (says nothing about the endpoint).
        :param binding: whether requests were waiting for a slot.
        """
        state = self._states.get(endpoint.server)
        if state is None or state.endpoint.address != endpoint.address:
            return
        if outcome == "cancelled":
            state.limit.in_flight -= 1
            return
        refused = outcome == "refused"
        state.limit.release(now - latency_s, now, refused, binding)
        if outcome in _FAILURE_OUTCOMES:
            state.failures += 1
        else:
            state.failures = 0
            self._trend.observe(latency_s, now)
            self._update_latency(state, latency_s)
        self._update_cost(state)
        self._eject_if_outlier(state, now)

    def _rotate_active(self) -> list[_EndpointState]:
        """Return the active endpoints rotated to start at a random one.

        A full shuffle costs several microseconds.
        """
        active = self._active
        count = len(active)
        if count < 2:
            return active
        first = int(self._random.random() * count)
        return active[first:] + active[:first]

    def _score_factor(self, state: _EndpointState, now: float) -> float:
        """Return the score factor for slow start and for an unhealthy report."""
        factor = UNHEALTHY_FACTOR if now < state.unhealthy_until else 1.0
        return factor / self._slow_start_share(state, now)

    def _update_cost(self, state: _EndpointState) -> None:
        """Update the part of the score that does not depend on time or load."""
        endpoint = state.endpoint
        cost = (state.latency_s or UNKNOWN_LATENCY_S) / endpoint.weight
        if endpoint.data_centre != self._data_centre:
            cost *= REMOTE_FACTOR
        state.cost = cost * (1 + state.failures)

    def _slow_start_share(self, state: _EndpointState, now: float) -> float:
        if now >= state.slow_start_end:
            return 1.0
        return max(
            SLOW_START_MIN_SHARE, 1.0 - (state.slow_start_end - now) / SLOW_START_S
        )

    def _update_latency(self, state: _EndpointState, latency_s: float) -> None:
        state.samples += 1
        if state.samples == 1:
            state.latency_s = latency_s
            return
        latency_s = min(latency_s, EJECT_LATENCY_FACTOR * 2 * state.latency_s)
        state.latency_s += _LATENCY_GAIN * (latency_s - state.latency_s)

    def _eject_if_outlier(self, state: _EndpointState, now: float) -> None:
        if state.ejected_until > now or not self._is_outlier(state):
            return
        remaining = sum(other.ejected_until <= now for other in self._active) - 1
        if remaining < math.ceil(MIN_AVAILABLE_SHARE * len(self._active)):
            return
        state.ejections += 1
        ejection_s = min(MAX_EJECT_S, EJECT_S * 2 ** (state.ejections - 1))
        state.ejected_until = now + ejection_s * (0.75 + 0.5 * self._random.random())
        state.slow_start_end = state.ejected_until + SLOW_START_S
        state.score_factor_end = max(state.slow_start_end, state.unhealthy_until)
        state.failures = 0
        state.samples = 0
        self._update_cost(state)

    def _is_outlier(self, state: _EndpointState) -> bool:
        if state.failures >= EJECT_FAILURES:
            return True
        if state.samples < EJECT_SAMPLES or state.samples % EJECT_SAMPLES:
            return False
        latencies = sorted(other.latency_s for other in self._active)
        median = latencies[len(latencies) // 2]
        return state.latency_s > EJECT_LATENCY_FACTOR * median
