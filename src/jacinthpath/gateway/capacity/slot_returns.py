"""When callers that were refused are asked to return."""

from __future__ import annotations

__all__ = ["MIN_RETRY_S", "ReturnTimes"]

import heapq
from collections.abc import Hashable

MIN_RETRY_S = 0.1
MAX_RETRY_S = 30.0

LATENESS = 1.25
"""A caller may return after this many times its wait, since waits get some jitter. It
is counted as expected until then."""

USED_SHARE = 0.9
"""Share of the room that is promised to callers that return."""

MAX_QUEUES = 1_000
MAX_PLANNED = 5_000
"""Queues that are kept, and callers that are counted in each of them."""

SHARE_WEIGHT = 10
"""The part of the callers that return is taken for 1 until about this many are due."""

MAX_COUNTED = 1_000
"""Beyond this many callers that were due, the counts are halved, so that they follow
what callers do now."""


class _ReturnQueue:
    """Callers that have been asked to return, and that compete for the same room."""

    def __init__(self) -> None:
        self._planned: list[float] = []
        self._due_count = 0.0
        self._returned_count = 0.0

    def plan_s(self, wait_s: float, rate_per_s: float, now_s: float) -> float:
        self._count_due(now_s)
        ahead = len(self._planned) * self._returning_share()
        retry_s = max(MIN_RETRY_S, wait_s + ahead / (USED_SHARE * rate_per_s))
        retry_s = min(retry_s, MAX_RETRY_S)
        if len(self._planned) < MAX_PLANNED:
            heapq.heappush(self._planned, now_s + LATENESS * retry_s)
        return retry_s

    def record_return(self) -> None:
        self._returned_count += 1

    def _count_due(self, now_s: float) -> None:
        while self._planned and self._planned[0] <= now_s:
            heapq.heappop(self._planned)
            self._due_count += 1
        if self._due_count > MAX_COUNTED:
            self._due_count /= 2
            self._returned_count /= 2

    def _returning_share(self) -> float:
        """Return the part of the callers that has returned of those that were due."""
        returned = self._returned_count + SHARE_WEIGHT
        return min(1.0, returned / (self._due_count + SHARE_WEIGHT))


class ReturnTimes:
    """Spreads the returns of refused callers, so that there is room for all of them.

    Each is asked to return after those that were asked before it and are expected to
    come. A queue holds those that compete for the same room.
    """

    def __init__(self) -> None:
        self._queues: dict[Hashable, _ReturnQueue] = {}

    def plan_s(
        self, queue: Hashable, wait_s: float, rate_per_s: float, now_s: float
    ) -> float:
        """Return the time after which a refused caller should return.

        :param queue: identifies the callers that compete for the same room.
        :param wait_s: time until the requests that wait have started.
        :param rate_per_s: requests of its queue that can start a second.
        """
        known = self._queues.get(queue)
        if known is None:
            known = self._queues[queue] = _ReturnQueue()
            if len(self._queues) > MAX_QUEUES:
                del self._queues[next(iter(self._queues))]
        return known.plan_s(wait_s, rate_per_s, now_s)

    def record_return(self, queue: Hashable) -> None:
        """Record that a caller has returned."""
        known = self._queues.get(queue)
        if known is not None:
            known.record_return()
