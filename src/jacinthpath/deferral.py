"""Moves deferrable work out of the demand peak."""

from __future__ import annotations

__all__ = ["DeferralPlanner", "Release"]

import heapq
from collections import deque
from random import Random
from typing import NamedTuple

MINUTE_S = 60
# Part of the busiest minute so far up to which deferrable work is added. The
# rest is headroom for a surge that begins within the same minute.
FILL_SHARE = 0.9
# Part of its allowed time by which deferrable work is released at the latest,
# so that waiting for a slot and one retry still end it in time.
RELEASE_BY = 0.9
# Demand above this many times the typical demand is a peak.
PEAK_FACTOR = 1.5

_FAST_GAIN = 0.3
_SLOW_GAIN = 0.002
_BUCKETS = 128


class Release(NamedTuple):
    """When a deferred request is to be offered to the queue."""

    release_at: float
    request_id: int


class DeferralPlanner:
    """Decides second by second which deferred requests are released.

    The supplier bills by the busiest minute, so deferrable work below the
    highest minute so far costs nothing. Above it the planner releases only as
    much as is needed to end everything in time at the lowest constant rate.

    :param random: source of jitter.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._pending: list[tuple[float, int]] = []
        self._cancelled: set[int] = set()
        self._waiting: set[int] = set()
        self._attempts = 0
        self._window: deque[int] = deque([0] * MINUTE_S, maxlen=MINUTE_S)
        self._window_total = 0
        self._fast = 0.0
        self._slow = 0.0
        self._ticks = 0
        self.busiest_minute = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def attempted(self, count: int = 1) -> None:
        """Record attempts that were not released by this planner."""
        self._attempts += count

    def defer(self, request_id: int, defer_limit_s: float, now: float) -> None:
        """Take a deferrable request that arrived now.

        :param defer_limit_s: time from now by which it must have ended.
        """
        release_by = now + RELEASE_BY * defer_limit_s
        heapq.heappush(self._pending, (release_by, request_id))
        self._waiting.add(request_id)

    def cancel(self, request_id: int) -> None:
        """Forget a request whose caller has gone away."""
        self._waiting.discard(request_id)

    def release_times(self, now: float) -> list[Release]:
        """Return the requests to release within the next second.

        Call this once a second.
        """
        demand = self._attempts
        self._attempts = 0
        self._learn(demand)
        count = self._count(now)
        released = self._take(count, now)
        self._record(demand + len(released))
        return released

    def _learn(self, demand: int) -> None:
        self._ticks += 1
        self._fast += max(_FAST_GAIN, 1 / self._ticks) * (demand - self._fast)
        self._slow += max(_SLOW_GAIN, 1 / self._ticks) * (demand - self._slow)

    def _count(self, now: float) -> int:
        if not self._waiting:
            return 0
        forced = self._forced_rate(now)
        level = FILL_SHARE * self.busiest_minute / MINUTE_S
        room = level - self._fast
        if self._fast < PEAK_FACTOR * self._slow:
            room = max(room, 0.5 * self._slow)
        rate = max(forced, room, 0.0)
        return int(rate + self._random.random())

    def _forced_rate(self, now: float) -> float:
        """Return the lowest constant rate that releases everything in time."""
        ordered = sorted(self._pending)
        step = max(1, len(ordered) // _BUCKETS)
        rate = 0.0
        for index in range(step - 1, len(ordered), step):
            rate = max(rate, (index + 1) / max(1.0, ordered[index][0] - now))
        rate = max(rate, len(ordered) / max(1.0, ordered[-1][0] - now))
        return rate

    def _take(self, count: int, now: float) -> list[Release]:
        releases = []
        while self._pending and (count > 0 or self._pending[0][0] <= now + 1):
            _, request_id = heapq.heappop(self._pending)
            if request_id in self._waiting:
                self._waiting.remove(request_id)
                release_at = now + self._random.random()
                releases.append(Release(release_at, request_id))
                count -= 1
        releases.sort()
        return releases

    def _record(self, attempts: int) -> None:
        self._window_total += attempts - self._window[0]
        self._window.append(attempts)
        if self._ticks >= MINUTE_S:
            self.busiest_minute = max(self.busiest_minute, self._window_total)
