"""Schedules deferrable work outside the peaks of demand."""

from __future__ import annotations

__all__ = ["DeferralPlanner", "Release"]

import heapq
from collections import deque
from random import Random
from typing import NamedTuple

MINUTE_S = 60
# Share of the busiest minute so far up to which deferrable work is added. The
# rest is headroom for a surge that begins within the same minute.
FILL_SHARE = 0.7
# Share of its time limit by which deferrable work is released at the latest, so
# that waiting for a slot and one retry still fit before the deadline.
RELEASE_BY_SHARE = 0.9
# A recent mean of the demand of at least this many times its long-term mean is a peak.
# Demand is the attempts per second that the planner did not release.
PEAK_FACTOR = 1.5

# Minimum releases per second outside peaks. So few cause no peak, and without them
# a single request in an idle system waited 19 s of an allowed 90 s.
IDLE_RATE = 1.0

# Most peaks last less than this. Until a peak has lasted this long, less than the
# constant rate is released, as the work can probably still be done after the peak.
MAX_PEAK_DELAY_S = 120.0
# Largest share of the time left until the first pending request must be released for
# which a peak holds releases back.
PEAK_DELAY_SHARE = 0.25

# Pending work is counted by latest release time in buckets of this width, so that the
# computation in each second is bounded by the longest time limit.
_BUCKET_S = 15
# Outside peaks, releases may match the median of the arrivals in this many seconds;
# a large batch does not raise the median. At the start, a minute of empty seconds
# counts as history.
_ARRIVAL_SECONDS = 600
_FAST_GAIN = 0.3
_SLOW_GAIN = 0.002


class Release(NamedTuple):
    """Time at which a deferred request is offered to the queue."""

    release_at: float
    request_id: int


class DeferralPlanner:
    """Decides once a second which deferred requests are released.

    The provider bills by the busiest minute, so deferrable work below the
    busiest minute so far costs nothing. Above it the planner releases only as
    much as is needed to end everything in time at the lowest constant rate.

    The provider's minutes begin at an unknown second. ``busiest_minute`` is
    therefore the lowest maximum over all 60 ways to divide time into minutes: a
    surge that straddles two of the provider's minutes does not raise the level
    up to which work is added.

    :param random: source of jitter.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._pending: list[tuple[float, int]] = []
        self._waiting: set[int] = set()
        self._buckets: dict[int, int] = {}
        self._attempt_count = 0
        self._arrival_count = 0
        self._minute_attempts: deque[int] = deque([0] * MINUTE_S, maxlen=MINUTE_S)
        self._minute_attempt_total = 0
        self._fast_mean = 0.0
        self._slow_mean = 0.0
        self._arrivals: deque[int] = deque([0] * MINUTE_S, maxlen=_ARRIVAL_SECONDS)
        self._elapsed_s = 0
        self._peak_s = 0
        self._minute_demand: deque[int] = deque([0] * MINUTE_S, maxlen=MINUTE_S)
        self._minute_demand_total = 0
        self._busiest_by_phase = [0] * MINUTE_S
        self.busiest_minute = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def record_attempts(self, count: int = 1) -> None:
        """Record attempts that were not released by this planner."""
        self._attempt_count += count

    def defer(self, request_id: int, defer_limit_s: float, now: float) -> None:
        """Add a deferrable request that arrived now.

        :param defer_limit_s: time from now by which it must have ended.
        """
        release_by = now + RELEASE_BY_SHARE * defer_limit_s
        heapq.heappush(self._pending, (release_by, request_id))
        self._waiting.add(request_id)
        bucket = int(release_by) // _BUCKET_S
        self._buckets[bucket] = self._buckets.get(bucket, 0) + 1
        self._arrival_count += 1

    def cancel(self, request_id: int) -> None:
        """Remove a request whose caller has gone away."""
        self._waiting.discard(request_id)

    def release_times(self, now: float) -> list[Release]:
        """Return the requests to release within the next second.

        Call this once a second.
        """
        demand = self._attempt_count
        self._update_demand(demand, self._arrival_count)
        self._attempt_count = self._arrival_count = 0
        releases = self._pop_releases(self._count_releases(now), now)
        self._update_busiest_minute(demand + len(releases))
        return releases

    def _update_demand(self, demand: int, arrived: int) -> None:
        self._elapsed_s += 1
        fast_gain = max(_FAST_GAIN, 1 / self._elapsed_s)
        slow_gain = max(_SLOW_GAIN, 1 / self._elapsed_s)
        self._fast_mean += fast_gain * (demand - self._fast_mean)
        self._slow_mean += slow_gain * (demand - self._slow_mean)
        self._arrivals.append(arrived)
        self._minute_demand_total += demand - self._minute_demand[0]
        self._minute_demand.append(demand)
        is_peak = self._fast_mean >= PEAK_FACTOR * self._slow_mean
        self._peak_s = self._peak_s + 1 if is_peak else 0

    def _count_releases(self, now: float) -> int:
        """Return how many requests to release in the next second."""
        if not self._pending:
            return 0
        # The total of the last minute includes a surge that has just ended.
        fill_level = FILL_SHARE * self.busiest_minute
        headroom = min(
            fill_level / MINUTE_S - self._fast_mean,
            fill_level - self._minute_attempt_total,
        )
        recent = max(self._fast_mean, self._minute_demand_total / MINUTE_S)
        if recent < max(IDLE_RATE, PEAK_FACTOR * self._slow_mean):
            median = sorted(self._arrivals)[len(self._arrivals) // 2]
            headroom = max(headroom, median, IDLE_RATE)
        peak_share = 1.0
        if self._peak_s:
            time_left_s = max(1.0, self._pending[0][0] - now)
            peak_delay_s = min(MAX_PEAK_DELAY_S, PEAK_DELAY_SHARE * time_left_s)
            peak_share = min(1.0, self._peak_s / peak_delay_s) ** 2
        rate = max(peak_share * self._min_release_rate(now), headroom, 0.0)
        return int(rate + self._random.random())

    def _min_release_rate(self, now: float) -> float:
        """Return the lowest constant rate that releases everything in time.

        A bucket counts as due at its start.
        """
        rate = 0.0
        cumulative = 0
        for bucket in sorted(self._buckets):
            cumulative += self._buckets[bucket]
            rate = max(rate, cumulative / max(1.0, bucket * _BUCKET_S - now))
        return rate

    def _pop_releases(self, count: int, now: float) -> list[Release]:
        releases = []
        while self._pending and (count > 0 or self._pending[0][0] <= now + 1):
            release_by, request_id = heapq.heappop(self._pending)
            self._decrement_bucket(int(release_by) // _BUCKET_S)
            if request_id in self._waiting:
                self._waiting.remove(request_id)
                release_at = now + self._random.random()
                releases.append(Release(release_at, request_id))
                count -= 1
        releases.sort()
        return releases

    def _decrement_bucket(self, bucket: int) -> None:
        remaining = self._buckets[bucket] - 1
        if remaining:
            self._buckets[bucket] = remaining
        else:
            del self._buckets[bucket]

    def _update_busiest_minute(self, attempts: int) -> None:
        self._minute_attempt_total += attempts - self._minute_attempts[0]
        self._minute_attempts.append(attempts)
        phase = self._elapsed_s % MINUTE_S
        busiest = max(self._busiest_by_phase[phase], self._minute_attempt_total)
        self._busiest_by_phase[phase] = busiest
        self.busiest_minute = min(self._busiest_by_phase)
