"""Evidence about servers and the choice among those of a service."""

from __future__ import annotations

__all__ = ["ServerPool"]

import math
from collections.abc import Collection, Iterable
from random import Random

from .model import Backend

CHOICES = 2
"""Servers compared for each choice. With two, servers of unequal speed receive about
their share; with more, all hosts crowd onto the same few fast ones."""

FAR_FACTOR = 1.4
"""A server of another data centre counts as this much slower, since bytes between data
centres are paid for."""

COLD_FACTOR = 2.0
"""A server that has just started takes about twice as long (platform page)."""

LATENCY_GAIN = 0.15
UNKNOWN_LATENCY_S = 0.05
EJECT_FAILURES = 2
"""Failures in a row that take a server out of the choice."""

EJECT_S = 1.0
EJECT_LIMIT_S = 8.0
FAILURE_GAIN = 0.1
FAILURE_WEIGHT = 4.0
"""A server that fails a share of its requests counts as slower by this many times
the share, so that a grey one is avoided while its health check is good."""


class _State:
    """Evidence about one life of a server."""

    __slots__ = (
        "born_ms",
        "cold_until_s",
        "ejected_until_s",
        "ejections",
        "failure_share",
        "failures",
        "in_flight",
        "log_latency",
        "samples",
        "unreachable_until_s",
    )

    def __init__(self, backend: Backend, now_s: float) -> None:
        self.born_ms = backend.started_ms
        self.cold_until_s = now_s + backend.warmup_left_s
        self.in_flight = 0
        self.log_latency = math.log(UNKNOWN_LATENCY_S)
        self.samples = 0
        self.failures = 0
        self.failure_share = 0.0
        self.ejections = 0
        self.ejected_until_s = float("-inf")
        self.unreachable_until_s = float("-inf")


class ServerPool:
    """What this host has seen of all servers.

    :param data_centre: where this host runs.
    """

    def __init__(self, data_centre: str, random: Random) -> None:
        self._data_centre = data_centre
        self._random = random
        self._states: dict[str, _State] = {}

    def choose(
        self,
        backends: Iterable[Backend],
        now_s: float,
        exclude: Collection[str] = (),
        most_in_flight: float = math.inf,
    ) -> Backend | None:
        """Return the server for an attempt, or ``None`` when there is none.

        :param most_in_flight: requests that this host may have at a server.
        """
        usable = [
            b
            for b in backends
            if not b.draining
            and b.server not in exclude
            and self.in_flight(b) < most_in_flight
        ]
        sound = [b for b in usable if not self._is_ejected(b, now_s)]
        candidates = sound or usable
        if len(candidates) > CHOICES:
            candidates = self._random.sample(candidates, CHOICES)
        return min(candidates, key=lambda b: self._score(b, now_s), default=None)

    def latency_s(self, backend: Backend, now_s: float) -> float:
        """Return how long an answer of the server is expected to take."""
        state = self._state(backend, now_s)
        latency_s = math.exp(state.log_latency)
        return latency_s * COLD_FACTOR if now_s < state.cold_until_s else latency_s

    def in_flight(self, backend: Backend) -> int:
        """Return the requests that this host has at the server."""
        state = self._states.get(backend.server)
        if state is None or state.born_ms != backend.started_ms:
            return 0
        return state.in_flight

    def is_unreachable(self, backend: Backend, now_s: float) -> bool:
        """Return whether the server has not been reached of late.

        A server that answers some requests is not unreachable: its keys have no
        other owner, so it is worth trying.
        """
        state = self._states.get(backend.server)
        return state is not None and now_s < state.unreachable_until_s

    def started(self, backend: Backend, now_s: float) -> None:
        """Record that a request was sent."""
        self._state(backend, now_s).in_flight += 1

    def abandoned(self, backend: Backend, now_s: float) -> None:
        """Record that a request was given up; this says nothing of the server."""
        state = self._state(backend, now_s)
        state.in_flight = max(0, state.in_flight - 1)

    def answered(self, backend: Backend, latency_s: float, now_s: float) -> None:
        """Record an answer."""
        state = self._state(backend, now_s)
        state.in_flight = max(0, state.in_flight - 1)
        state.failures = 0
        state.ejections = 0
        state.unreachable_until_s = float("-inf")
        state.failure_share *= 1 - FAILURE_GAIN
        latency = math.log(max(latency_s, 1e-4))
        gain = max(LATENCY_GAIN, 1 / (state.samples + 1))
        state.log_latency += gain * (latency - state.log_latency)
        state.samples += 1

    def refused(self, backend: Backend, now_s: float) -> None:
        """Record that the server turned a request away; it is up, so it stays."""
        state = self._state(backend, now_s)
        state.in_flight = max(0, state.in_flight - 1)
        state.failure_share += FAILURE_GAIN * (1 - state.failure_share)

    def failed(self, backend: Backend, now_s: float, no_contact: bool) -> bool:
        """Record a failure; return whether the server was ejected by it.

        :param no_contact: whether nothing at all came from the server.
        """
        state = self._state(backend, now_s)
        state.in_flight = max(0, state.in_flight - 1)
        state.failures += 1
        state.failure_share += FAILURE_GAIN * (1 - state.failure_share)
        if state.failures < EJECT_FAILURES:
            return False
        length_s = min(EJECT_LIMIT_S, EJECT_S * 2**state.ejections)
        state.ejected_until_s = now_s + length_s * (0.75 + 0.5 * self._random.random())
        if no_contact:
            state.unreachable_until_s = state.ejected_until_s
        state.ejections += 1
        state.failures = EJECT_FAILURES - 1
        return True

    def forget(self, known: Collection[str]) -> None:
        """Drop the evidence about servers that are not known any more."""
        for server in [*self._states]:
            if server not in known:
                del self._states[server]

    def _state(self, backend: Backend, now_s: float) -> _State:
        state = self._states.get(backend.server)
        if state is None or state.born_ms != backend.started_ms:
            state = self._states[backend.server] = _State(backend, now_s)
        return state

    def _is_ejected(self, backend: Backend, now_s: float) -> bool:
        state = self._states.get(backend.server)
        return state is not None and now_s < state.ejected_until_s

    def _score(self, backend: Backend, now_s: float) -> float:
        state = self._state(backend, now_s)
        score = (state.in_flight + 1) * math.exp(state.log_latency)
        score *= 1 + FAILURE_WEIGHT * state.failure_share
        if now_s < state.cold_until_s:
            score *= COLD_FACTOR
        if backend.zone != self._data_centre:
            score *= FAR_FACTOR
        return score
