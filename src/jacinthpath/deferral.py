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
FILL_SHARE = 0.7
# Part of its allowed time by which deferrable work is released at the latest,
# so that waiting for a slot and one retry still end it in time.
RELEASE_BY = 0.9
# Demand above this many times the typical demand is a peak.
PEAK_FACTOR = 1.5

# Releases in each second off a peak. So few make no peak, and without them a lone
# request in an idle system waited 19 s of an allowed 90 s.
IDLE_RATE = 1.0

# Most peaks last less than this. While one is younger, less than the constant
# rate is released, in the hope that the work can still be done after it.
PEAK_PATIENCE_S = 120.0
# Largest part of the time left to the work due next that is spent on patience.
PATIENCE_SHARE = 0.25

# Pending work is counted by release time in buckets of this width, which
# bounds the work of each second by the longest allowed time.
_BUCKET_S = 15
# Arrivals are released as they come at the median of this many seconds, so that
# a large batch is no reason to release quickly. Seconds before the start count
# as empty for the first minute.
_ARRIVAL_SECONDS = 600
_FAST_GAIN = 0.3
_SLOW_GAIN = 0.002


class Release(NamedTuple):
    """When a deferred request is to be offered to the queue."""

    release_at: float
    request_id: int


class DeferralPlanner:
    """Decides second by second which deferred requests are released.

    The supplier bills by the busiest minute, so deferrable work below the
    highest minute so far costs nothing. Above it the planner releases only as
    much as is needed to end everything in time at the lowest constant rate.

    The supplier's minutes begin at an unknown second. ``busiest_minute`` is
    therefore the lowest over all 60 ways to divide time into minutes: a surge
    that straddles two of the supplier's minutes sets no mark to fill up to.

    :param random: source of jitter.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._pending: list[tuple[float, int]] = []
        self._waiting: set[int] = set()
        self._buckets: dict[int, int] = {}
        self._attempts = 0
        self._arrived = 0
        self._window: deque[int] = deque([0] * MINUTE_S, maxlen=MINUTE_S)
        self._window_total = 0
        self._fast = 0.0
        self._slow = 0.0
        self._arrivals: deque[int] = deque([0] * MINUTE_S, maxlen=_ARRIVAL_SECONDS)
        self._ticks = 0
        self._peak_ticks = 0
        self._demand: deque[int] = deque([0] * MINUTE_S, maxlen=MINUTE_S)
        self._demand_total = 0
        self._busiest_by_phase = [0] * MINUTE_S
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
        bucket = int(release_by) // _BUCKET_S
        self._buckets[bucket] = self._buckets.get(bucket, 0) + 1
        self._arrived += 1

    def cancel(self, request_id: int) -> None:
        """Forget a request whose caller has gone away."""
        self._waiting.discard(request_id)

    def release_times(self, now: float) -> list[Release]:
        """Return the requests to release within the next second.

        Call this once a second.
        """
        demand = self._attempts
        self._learn(demand, self._arrived)
        self._attempts = self._arrived = 0
        releases = self._take(self._count(now), now)
        self._record(demand + len(releases))
        return releases

    def _learn(self, demand: int, arrived: int) -> None:
        self._ticks += 1
        fast = max(_FAST_GAIN, 1 / self._ticks)
        slow = max(_SLOW_GAIN, 1 / self._ticks)
        self._fast += fast * (demand - self._fast)
        self._slow += slow * (demand - self._slow)
        self._arrivals.append(arrived)
        self._demand_total += demand - self._demand[0]
        self._demand.append(demand)
        is_peak = self._fast >= PEAK_FACTOR * self._slow
        self._peak_ticks = self._peak_ticks + 1 if is_peak else 0

    def _count(self, now: float) -> int:
        """Return how many requests to release in the next second."""
        if not self._pending:
            return 0
        # The window holds a surge that has just ended in the same minute.
        level = FILL_SHARE * self.busiest_minute
        room = min(level / MINUTE_S - self._fast, level - self._window_total)
        recent = max(self._fast, self._demand_total / MINUTE_S)
        if recent < max(IDLE_RATE, PEAK_FACTOR * self._slow):
            median = sorted(self._arrivals)[len(self._arrivals) // 2]
            room = max(room, median, IDLE_RATE)
        share = 1.0
        if self._peak_ticks:
            left_s = max(1.0, self._pending[0][0] - now)
            patience_s = min(PEAK_PATIENCE_S, PATIENCE_SHARE * left_s)
            share = min(1.0, self._peak_ticks / patience_s) ** 2
        rate = max(share * self._forced_rate(now), room, 0.0)
        return int(rate + self._random.random())

    def _forced_rate(self, now: float) -> float:
        """Return the lowest constant rate that releases everything in time."""
        rate = 0.0
        due = 0
        for bucket in sorted(self._buckets):
            due += self._buckets[bucket]
            rate = max(rate, due / max(1.0, bucket * _BUCKET_S - now))
        return rate

    def _take(self, count: int, now: float) -> list[Release]:
        releases = []
        while self._pending and (count > 0 or self._pending[0][0] <= now + 1):
            release_by, request_id = heapq.heappop(self._pending)
            self._leave_bucket(int(release_by) // _BUCKET_S)
            if request_id in self._waiting:
                self._waiting.remove(request_id)
                release_at = now + self._random.random()
                releases.append(Release(release_at, request_id))
                count -= 1
        releases.sort()
        return releases

    def _leave_bucket(self, bucket: int) -> None:
        left = self._buckets[bucket] - 1
        if left:
            self._buckets[bucket] = left
        else:
            del self._buckets[bucket]

    def _record(self, attempts: int) -> None:
        self._window_total += attempts - self._window[0]
        self._window.append(attempts)
        phase = self._ticks % MINUTE_S
        busiest = max(self._busiest_by_phase[phase], self._window_total)
        self._busiest_by_phase[phase] = busiest
        self.busiest_minute = min(self._busiest_by_phase)
