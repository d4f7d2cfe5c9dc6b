"""Which hosts a host without a path to a server asks to send its requests.

Times are seconds on the boot clock.
"""

from __future__ import annotations

__all__ = ["RelayHosts"]

from collections import Counter
from collections.abc import Collection
from random import Random

CHOICE_COUNT = 2
"""Hosts compared by what they relay for this host already."""

INITIAL_AVOIDANCE_S = 0.5
MAX_AVOIDANCE_S = 4.0
"""Longest time for which a host that could not relay is not asked again."""

UNREACHABLE_MEMORY_S = 2.0
"""Time for which a server is taken to be unreachable for all hosts, after a host that
reaches others failed to reach it."""


class RelayHosts:
    """Chooses among the other hosts."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._in_progress: Counter[str] = Counter()
        self._avoided_until_s: dict[str, float] = {}
        self._failures: Counter[str] = Counter()
        self._unreachable_until_s: dict[str, float] = {}

    def choose(self, addresses: Collection[str], now_s: float) -> str | None:
        """Return the address of a host to ask, or ``None`` if none may help now."""
        usable = sorted(
            address
            for address in addresses
            if now_s >= self._avoided_until_s.get(address, 0.0)
        )
        sampled = self._random.sample(usable, min(CHOICE_COUNT, len(usable)))
        return min(sampled, key=self._in_progress.__getitem__, default=None)

    def record_start(self, address: str) -> None:
        """Record that a host was asked."""
        self._in_progress[address] += 1

    def record_end(self, address: str) -> None:
        """Record that a host has replied, or that its reply was given up."""
        self._in_progress[address] -= 1
        if not self._in_progress[address]:
            del self._in_progress[address]

    def record_success(self, address: str) -> None:
        """Record that a host has reached a server."""
        self._failures.pop(address, None)
        self._avoided_until_s.pop(address, None)

    def record_unable(self, address: str, now_s: float) -> None:
        """Record that a host could not relay; it is avoided for longer each time."""
        avoidance_s = INITIAL_AVOIDANCE_S * 2 ** self._failures[address]
        self._failures[address] = min(self._failures[address] + 1, 8)
        self._avoided_until_s[address] = now_s + min(MAX_AVOIDANCE_S, avoidance_s)

    def record_unreachable(self, server: str, now_s: float) -> None:
        """Record that another host, which reaches others, failed to reach a server."""
        self._unreachable_until_s = {
            known: until_s
            for known, until_s in self._unreachable_until_s.items()
            if now_s < until_s
        }
        self._unreachable_until_s[server] = now_s + UNREACHABLE_MEMORY_S

    def is_unreachable(self, server: str, now_s: float) -> bool:
        """Return whether another host lately failed to reach a server too."""
        return now_s < self._unreachable_until_s.get(server, 0.0)
