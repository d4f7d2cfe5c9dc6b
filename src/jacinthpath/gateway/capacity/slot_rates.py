"""Rates of requests for slots, and token buckets."""

from __future__ import annotations

__all__ = ["TokenBucket", "TrafficRates"]

import math
from collections.abc import Hashable

from .slot_queue import SlotClass

MIN_RATE_PER_S = 0.1
"""A server with a lower rate limit still gets a request every ten seconds."""

GRANT_MEMORY_S = 1.0
SERVED_MEMORY_S = 10.0
"""Time constants with which counts decay: of the grants that give the present rates,
and of the grants and refusals that give shares."""

MIN_WINDOW_S = 0.5
"""Rates are computed over this time at least, so that the first grants do not pass
for a high rate."""

MIN_SHARE = 0.1
"""Share of the grants that each priority gets at least while it waits."""

SHARE_OF_ARRIVALS = 0.3
"""A priority gets at least this part of its share of the requests. It is more than a
quarter, since its requests must be served a quarter as often as all are on average."""

MAX_OWED = 4.0
MIN_OWED = -2.0
"""Bounds of the grants that a priority is owed. What it gets while nothing more urgent
waits counts little, so that it need not wait long for its share afterwards."""


class TokenBucket:
    """A token bucket that starts empty and holds at most one token.

    :param rate_per_s: tokens a second.
    """

    def __init__(self, rate_per_s: float, now_s: float) -> None:
        self.rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
        self._tokens = 0.0
        self._updated_s = now_s

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Set the tokens a second."""
        self._refill(now_s)
        self.rate_per_s = max(MIN_RATE_PER_S, rate_per_s)

    def wait_s(self, now_s: float) -> float:
        """Return the time until there is a token, 0 if there is one."""
        self._refill(now_s)
        # The tolerance keeps a caller that waited for exactly this time from waiting
        # again because of rounding.
        missing = 1 - self._tokens
        return missing / self.rate_per_s if missing > 1e-6 else 0.0

    def take(self, now_s: float) -> None:
        """Take a token that is there."""
        self._refill(now_s)
        self._tokens = max(0.0, self._tokens - 1)

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._tokens = min(1.0, self._tokens + self.rate_per_s * elapsed_s)
        self._updated_s = max(now_s, self._updated_s)


class _DecayingCounts:
    """Counts events by key, with older ones weighing less."""

    def __init__(self, memory_s: float) -> None:
        self._memory_s = memory_s
        self._counts: dict[Hashable, tuple[float, float]] = {}

    def add(self, key: Hashable, now_s: float) -> None:
        self._counts[key] = self.count(key, now_s) + 1, now_s

    def count(self, key: Hashable, now_s: float) -> float:
        count, counted_s = self._counts.get(key, (0.0, now_s))
        return count * math.exp(min(0.0, counted_s - now_s) / self._memory_s)

    def keys(self) -> list[Hashable]:
        return list(self._counts)


class TrafficRates:
    """How often requests of each class are granted and refused in one scope.

    It also keeps the grants that each priority is owed, as deficit round robin does.
    """

    def __init__(self) -> None:
        self._grants = _DecayingCounts(GRANT_MEMORY_S)
        self._served = _DecayingCounts(SERVED_MEMORY_S)
        self._refused = _DecayingCounts(SERVED_MEMORY_S)
        self._owed: dict[int, float] = {}
        self._started_s: float | None = None

    def record_grant(self, slot_class: SlotClass, now_s: float) -> None:
        """Record a grant."""
        if self._started_s is None:
            self._started_s = now_s
        self._grants.add(slot_class, now_s)
        self._served.add(slot_class.priority, now_s)
        owed = self._owed.get(slot_class.priority, 0.0)
        self._owed[slot_class.priority] = max(MIN_OWED, owed - 1)

    def record_refusal(self, slot_class: SlotClass, now_s: float) -> None:
        """Record a refusal."""
        self._refused.add(slot_class.priority, now_s)

    def rate_left_per_s(
        self, slot_class: SlotClass, rate_per_s: float, now_s: float, deviations: float
    ) -> float:
        """Return the part of a rate that more urgent classes leave to a class.

        :param deviations: how many standard deviations more they may want.
        """
        granted_per_s = self._granted_before_per_s(slot_class, now_s)
        deviation_per_s = math.sqrt(granted_per_s / self._window_s(now_s))
        left_per_s = rate_per_s - granted_per_s - deviations * deviation_per_s
        return max(left_per_s, self.rate_owed_per_s(slot_class, rate_per_s, now_s))

    def rate_owed_per_s(
        self, slot_class: SlotClass, rate_per_s: float, now_s: float
    ) -> float:
        """Return what a class gets of the share of its priority."""
        share = self.least_share(slot_class.priority, now_s)
        first = SlotClass(slot_class.priority, False, False)
        before_per_s = self._granted_before_per_s(slot_class, now_s, first)
        return max(0.0, share * rate_per_s - before_per_s)

    def _granted_before_per_s(
        self, slot_class: SlotClass, now_s: float, first: SlotClass | None = None
    ) -> float:
        """Return how often more urgent classes are granted, from the first on."""
        granted = sum(
            self._grants.count(key, now_s)
            for key in self._grants.keys()
            if key < slot_class and (first is None or first <= key)
        )
        return granted / self._window_s(now_s)

    def _window_s(self, now_s: float) -> float:
        """Return the time that the counted grants stand for."""
        if self._started_s is None:
            return GRANT_MEMORY_S
        elapsed_s = max(MIN_WINDOW_S, now_s - self._started_s)
        return GRANT_MEMORY_S * (1 - math.exp(-elapsed_s / GRANT_MEMORY_S))

    def least_share(self, priority: int, now_s: float) -> float:
        """Return the share of the grants that a priority gets while it waits."""
        wanted = self._wanted(priority, now_s)
        priorities = {*self._served.keys(), *self._refused.keys()}
        total = sum(self._wanted(other, now_s) for other in priorities)
        return max(MIN_SHARE, SHARE_OF_ARRIVALS * wanted / max(total, 1.0))

    def accrue_share(self, priority: int, now_s: float) -> float:
        """Add to what a priority is owed its share of the next grant.

        :return: how many grants it is owed.
        """
        owed = self._owed.get(priority, 0.0) + self.least_share(priority, now_s)
        self._owed[priority] = min(MAX_OWED, owed)
        return self._owed[priority]

    def is_served_better(self, priority: int, other: int, now_s: float) -> bool:
        """Return whether a priority is granted more of its requests than another."""
        return self._served_part(priority, now_s) > self._served_part(other, now_s)

    def _wanted(self, priority: int, now_s: float) -> float:
        served = self._served.count(priority, now_s)
        return served + self._refused.count(priority, now_s)

    def _served_part(self, priority: int, now_s: float) -> float:
        wanted = self._wanted(priority, now_s)
        return self._served.count(priority, now_s) / wanted if wanted else 1.0
