"""Choice among the endpoints of a service that is not keyed."""

from __future__ import annotations

__all__ = ["EndpointPool"]

import math
from collections.abc import Collection, Iterable
from random import Random

from .configuration import Endpoint
from .limits import ConcurrencyLimit, LatencyTrend

# Endpoints compared for each choice; bounds its cost in a large service.
CANDIDATES = 8
# A cold endpoint receives this share of the normal load at first.
COLD_SHARE = 0.1
SLOW_START_S = 10.0
# An endpoint in another data centre counts as this many times slower, so that
# the near one is chosen unless it is measurably slower.
FAR_FACTOR = 1.1
# An endpoint whose own report says unhealthy counts as this many times slower for
# this long. Reports lag and can be wrong, so they never exclude an endpoint.
HINT_FACTOR = 1.5
HINT_S = 5.0
# Failures in a row, or a latency this many times the median, eject an endpoint.
EJECT_FAILURES = 5
EJECT_LATENCY_FACTOR = 4.0
EJECT_SAMPLES = 20
EJECT_S = 5.0
EJECT_LIMIT_S = 60.0
# Share of the active endpoints that is never ejected: a common cause must not
# remove all capacity.
STAY_SHARE = 0.5

# Latency of an endpoint without evidence, low so that it is tried soon.
UNKNOWN_LATENCY_S = 0.001
# The capacity is recomputed at most this often: it changes slowly and is read
# for every request.
CAPACITY_PERIOD_S = 0.01

_LATENCY_GAIN = 0.15
_FAILED = ("refused", "failed")


class _State:
    """Evidence about one endpoint."""

    def __init__(self, endpoint: Endpoint, limit: ConcurrencyLimit, warm_at: float):
        self.endpoint = endpoint
        self.limit = limit
        self.warm_at = warm_at
        self.latency_s = 0.0
        self.samples = 0
        self.failures = 0
        self.ejections = 0
        self.ejected_until = -math.inf
        self.hinted_until = -math.inf
        self.adjusted_until = warm_at
        self.cost = 0.0


class EndpointPool:
    """Endpoints of one service as this process sees them.

    :param endpoints: see :meth:`update`; the first set counts as warm.
    :param data_centre: where this process runs.
    :param random: source of randomness.
    :param slots: requests that each server runs at a time.
    :param hosts: hosts believed to share the servers.
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
        self._states: dict[str, _State] = {}
        self._active: list[_State] = []
        self._trend = LatencyTrend()
        self._capacity = 1
        self._capacity_at = -math.inf
        self.update(endpoints, -math.inf)

    def update(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Replace the set of endpoints; new ones start slowly."""
        states = {}
        for endpoint in endpoints:
            state = self._states.get(endpoint.server)
            if state is None or state.endpoint.address != endpoint.address:
                limit = ConcurrencyLimit(*self._limit_arguments)
                state = _State(endpoint, limit, now + SLOW_START_S)
            state.endpoint = endpoint
            self._set_cost(state)
            states[endpoint.server] = state
        self._states = states
        self._active = [
            state for state in states.values() if state.endpoint.state == "active"
        ]
        self._capacity_at = -math.inf

    def capacity(self, now: float) -> int:
        """Return how many requests this process may have at the service."""
        if now - self._capacity_at < CAPACITY_PERIOD_S:
            return self._capacity
        total = sum(
            state.limit.value * self._warmth(state, now)
            for state in self._active
            if state.ejected_until <= now
        )
        self._capacity = max(1, int(total))
        self._capacity_at = now
        return self._capacity

    def pressure(self, now: float) -> float:
        """Return how many times slower than unloaded the service is now."""
        return self._trend.ratio(now)

    def choose(self, now: float, exclude: Collection[str] = ()) -> Endpoint | None:
        """Return the endpoint for an attempt, or ``None`` when none may take it.

        :param exclude: servers not to use, such as those tried before.
        """
        best = None
        best_score = math.inf
        compared = 0
        for state in self._rotated():
            limit = state.limit
            if state.ejected_until > now or 1 <= limit.in_flight >= limit.value:
                continue
            if exclude and state.endpoint.server in exclude:
                continue
            score = (limit.in_flight + 1) * state.cost
            if now < state.adjusted_until:
                score *= self._adjustment(state, now)
            if score < best_score:
                best, best_score = state, score
            compared += 1
            if compared == CANDIDATES:
                break
        return None if best is None else best.endpoint

    def hint(self, server: str, healthy: bool, now: float) -> None:
        """Record a health report of a server."""
        state = self._states.get(server)
        if state is not None:
            state.hinted_until = -math.inf if healthy else now + HINT_S
            state.adjusted_until = max(state.warm_at, state.hinted_until)

    def started(self, endpoint: Endpoint, now: float) -> None:
        """Record that an attempt was sent to an endpoint."""
        state = self._states.get(endpoint.server)
        if state is not None:
            state.limit.in_flight += 1

    def finished(
        self,
        endpoint: Endpoint,
        latency_s: float,
        outcome: str,
        now: float,
        binding: bool = True,
    ) -> None:
        """Record how an attempt ended.

        :param outcome: ``answered``, ``refused``, ``failed`` (broken or timed
            out) or ``cancelled`` (says nothing about the endpoint).
        :param binding: whether requests were waiting for a place.
        """
        state = self._states.get(endpoint.server)
        if state is None or state.endpoint.address != endpoint.address:
            return
        if outcome == "cancelled":
            state.limit.in_flight -= 1
            return
        refused = outcome == "refused"
        state.limit.release(now - latency_s, now, refused, binding)
        if outcome in _FAILED:
            state.failures += 1
        else:
            state.failures = 0
            self._trend.observe(latency_s, now)
            self._learn(state, latency_s)
        self._set_cost(state)
        self._eject_outlier(state, now)

    def _rotated(self) -> list[_State]:
        """Return the active endpoints from a random position on.

        A full shuffle costs several microseconds.
        """
        active = self._active
        count = len(active)
        if count < 2:
            return active
        first = int(self._random.random() * count)
        return active[first:] + active[:first]

    def _adjustment(self, state: _State, now: float) -> float:
        """Return the factor for an endpoint that is cold or reported unhealthy."""
        factor = HINT_FACTOR if now < state.hinted_until else 1.0
        return factor / self._warmth(state, now)

    def _set_cost(self, state: _State) -> None:
        """Update the part of the score that changes with evidence only."""
        endpoint = state.endpoint
        cost = (state.latency_s or UNKNOWN_LATENCY_S) / endpoint.weight
        if endpoint.data_centre != self._data_centre:
            cost *= FAR_FACTOR
        state.cost = cost * (1 + state.failures)

    def _warmth(self, state: _State, now: float) -> float:
        if now >= state.warm_at:
            return 1.0
        return max(COLD_SHARE, 1.0 - (state.warm_at - now) / SLOW_START_S)

    def _learn(self, state: _State, latency_s: float) -> None:
        state.samples += 1
        if state.samples == 1:
            state.latency_s = latency_s
            return
        latency_s = min(latency_s, EJECT_LATENCY_FACTOR * 2 * state.latency_s)
        state.latency_s += _LATENCY_GAIN * (latency_s - state.latency_s)

    def _eject_outlier(self, state: _State, now: float) -> None:
        if state.ejected_until > now or not self._is_outlier(state):
            return
        staying = sum(other.ejected_until <= now for other in self._active) - 1
        if staying < math.ceil(STAY_SHARE * len(self._active)):
            return
        state.ejections += 1
        length_s = min(EJECT_LIMIT_S, EJECT_S * 2 ** (state.ejections - 1))
        state.ejected_until = now + length_s * (0.75 + 0.5 * self._random.random())
        state.warm_at = state.ejected_until + SLOW_START_S
        state.adjusted_until = max(state.warm_at, state.hinted_until)
        state.failures = 0
        state.samples = 0
        self._set_cost(state)

    def _is_outlier(self, state: _State) -> bool:
        if state.failures >= EJECT_FAILURES:
            return True
        if state.samples < EJECT_SAMPLES or state.samples % EJECT_SAMPLES:
            return False
        latencies = sorted(other.latency_s for other in self._active)
        median = latencies[len(latencies) // 2]
        return state.latency_s > EJECT_LATENCY_FACTOR * median
