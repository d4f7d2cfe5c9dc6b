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

FRESH_RESPONSE_S = 2.0
"""A response younger than this shows that this host had a path."""


class Reach(enum.Enum):
    """What this host knows of its path to the servers."""

    UNKNOWN = "unknown"
    """No server has responded lately, and too few have failed to."""
    REACHED = "reached"
    CUT_OFF = "cut-off"


class ServerReach:
    """Counts the servers that have failed to respond since the last response of any.

    :ivar failing: these servers, and when each of them failed first.
    """

    def __init__(self) -> None:
        self.failing: dict[str, float] = {}
        self._last_response_s = float("-inf")
        self._pending_since_s: dict[int, float] = {}
        self._next_token = 0
        self._known_servers = 0

    def set_known_servers(self, count: int) -> None:
        """Set how many servers there are: of fewer than three, all have to fail."""
        self._known_servers = count

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
        self._last_response_s = max(self._last_response_s, now_s)
        self.failing.clear()

    def record_failure(self, server: str, now_s: float) -> None:
        """Record that a server did not respond, or that no connection was opened."""
        self.failing.setdefault(server, now_s)

    def state(self, now_s: float) -> Reach:
        """Return what is known of the path."""
        needed = max(1, min(MIN_FAILING_SERVERS, self._known_servers))
        if len(self.failing) >= needed:
            return Reach.CUT_OFF
        if now_s - self._last_response_s < FRESH_RESPONSE_S:
            return Reach.REACHED
        return Reach.UNKNOWN

    def is_cut_off(self, now_s: float) -> bool:
        """Return whether this host has lost its path to all servers."""
        return self.state(now_s) is Reach.CUT_OFF

    def silence_s(self, now_s: float) -> float:
        """Return for how long an attempt has waited while no server responded."""
        if not self._pending_since_s:
            return 0.0
        oldest_s = next(iter(self._pending_since_s.values()))
        return now_s - max(oldest_s, self._last_response_s)
