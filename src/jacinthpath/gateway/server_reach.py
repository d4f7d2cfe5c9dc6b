"""Whether this host has a path to the servers, by its own attempts.

A server that does not respond may have failed alone. A host that gets no response from
any of several servers has lost its own path, and what it sees says nothing about them.
Times are seconds on the boot clock.
"""

from __future__ import annotations

__all__ = ["Reach", "ServerReach"]

import enum

MIN_FAILING_SERVERS = 3
"""Servers that fail one after the other, without a response of any server between, from
which on the path of this host is the likely cause."""

MIN_FAILING_SERVICES = 2
"""The servers of one service may fail together for a cause of their own."""

FRESH_RESPONSE_S = 2.0
"""A response younger than this shows that this host had a path."""

DOUBT_S = 0.2
"""Time after a failure in which a response of another server usually arrives."""

SILENCE_S = 0.8
"""An attempt that waits for longer while no server responds puts the path in doubt:
connections may stay open and lose everything sent on them."""

DOUBT_PROBE_INTERVAL_S = 0.5
SILENCE_PROBE_INTERVAL_S = 2.0
CUT_OFF_PROBE_INTERVAL_S = 0.4


class Reach(enum.Enum):
    """What this host knows of its path to the servers."""

    UNKNOWN = "unknown"
    """No server has responded lately, and too few have failed to."""
    REACHED = "reached"
    CUT_OFF = "cut-off"


class ServerReach:
    """Counts the servers that have failed to respond since the last response of any.

    :ivar failing: these servers, and when each of them failed first.
    :ivar failing_services: their services.
    :ivar last_response_s: when a server last responded.
    """

    def __init__(self) -> None:
        self.failing: dict[str, float] = {}
        self.failing_services: set[str] = set()
        self.last_response_s = float("-inf")
        self._pending_since_s: dict[int, float] = {}
        self._next_token = 0
        self._known_servers = 0
        self._known_services = 0
        self._last_probe_s = float("-inf")

    def set_known(self, servers: int, services: int) -> None:
        """Set how many servers and services there are: of fewer, all have to fail."""
        self._known_servers, self._known_services = servers, services

    def record_sent(self, now_s: float) -> int:
        """Record the start of an attempt; return a token for its end."""
        self._next_token += 1
        self._pending_since_s[self._next_token] = now_s
        return self._next_token

    def record_ended(self, token: int) -> None:
        """Record the end of an attempt, whatever its result."""
        self._pending_since_s.pop(token, None)

    def record_response(self, now_s: float) -> None:
        """Record that bytes of any server have arrived."""
        self.last_response_s = max(self.last_response_s, now_s)
        self.failing.clear()
        self.failing_services.clear()

    def record_failure(self, server: str, service: str, now_s: float) -> None:
        """Record that a server did not respond, or that no connection was opened."""
        self.failing.setdefault(server, now_s)
        self.failing_services.add(service)

    def state(self, now_s: float) -> Reach:
        """Return what is known of the path."""
        if self._has_enough_failing():
            return Reach.CUT_OFF
        if now_s - self.last_response_s < FRESH_RESPONSE_S:
            return Reach.REACHED
        return Reach.UNKNOWN

    def _has_enough_failing(self) -> bool:
        servers = max(1, min(MIN_FAILING_SERVERS, self._known_servers))
        services = min(MIN_FAILING_SERVICES, self._known_services)
        return len(self.failing) >= servers and len(self.failing_services) >= services

    def is_cut_off(self, now_s: float) -> bool:
        """Return whether this host has lost its path to all servers."""
        return self.state(now_s) is Reach.CUT_OFF

    def is_doubted(self) -> bool:
        """Return whether two servers have failed one after the other."""
        return len(self.failing) > 1

    def due_probes(self, now_s: float) -> int:
        """Return how many servers to probe now, and take them as probed."""
        count, interval_s = self._wanted_probes(now_s)
        if not count or now_s - self._last_probe_s < interval_s:
            return 0
        self._last_probe_s = now_s
        return count

    def _wanted_probes(self, now_s: float) -> tuple[int, float]:
        """Return how many servers to probe at a time, and how often."""
        if self.is_cut_off(now_s):
            return 2, CUT_OFF_PROBE_INTERVAL_S
        if self.failing and now_s - min(self.failing.values()) > DOUBT_S:
            return MIN_FAILING_SERVERS - 1, DOUBT_PROBE_INTERVAL_S
        if self.silence_s(now_s) > SILENCE_S:
            return 1, SILENCE_PROBE_INTERVAL_S
        return 0, 0.0

    def silence_s(self, now_s: float) -> float:
        """Return for how long an attempt has waited while no server responded."""
        if not self._pending_since_s:
            return 0.0
        oldest_s = next(iter(self._pending_since_s.values()))
        return now_s - max(oldest_s, self.last_response_s)
