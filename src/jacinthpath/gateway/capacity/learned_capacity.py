"""How many requests a server takes at once, and how soon it answers one more.

Both are learned from the responses to nearly all requests of a server group. Times are
seconds on the boot clock.
"""

from __future__ import annotations

__all__ = ["LearnedCapacity"]

import math

from ..exchange import ServerLoad
from .service_time import ServiceTime
from .stated_slowness import StatedSlowness
from .throughput_levels import MAX_GAP, ThroughputLevels

MIN_DURATION_S = 1e-4
MAX_DURATION_S = 3600.0

NO_RESPONSE_FACTOR = 1.5
"""A request without a response would have taken at least this many times as long as it
was waited for."""

FULL_S = 1.0
"""Time for which a rejection or reported waiting lowers the limit."""

FULL_FACTOR = 3.0
"""Factor on the expected time right after a rejection."""


class LearnedCapacity:
    """What one incarnation of a server takes, by its responses.

    Call :meth:`record_in_flight` after each change of the requests in flight, and the
    other methods before it.

    :param slots: requests that the server runs at a time.
    :param initial_service_s: mean time of the service's requests, expected until
        there are responses.
    :param phase: 0 to 1, different for the servers of a service: when each is tried
        with fewer requests.
    """

    __slots__ = (
        "_answered_s",
        "_changed_s",
        "_full_until_s",
        "_in_flight",
        "_levels",
        "_oldest_sent_s",
        "_others",
        "_others_until_s",
        "_rejections",
        "_service",
        "_slots",
        "_slowness",
    )

    def __init__(
        self, slots: int, initial_service_s: float, phase: float = 0.0
    ) -> None:
        self._slots = max(1, slots)
        self._service = ServiceTime(_clip_duration(initial_service_s))
        self._slowness = StatedSlowness()
        self._levels = ThroughputLevels(self._slots, phase)
        self._in_flight = 0
        self._changed_s = self._answered_s = -math.inf
        self._oldest_sent_s = math.inf
        self._rejections = 0
        self._full_until_s = -math.inf
        self._others = 0
        self._others_until_s = -math.inf

    def record_in_flight(
        self, in_flight: int, oldest_sent_s: float, now_s: float
    ) -> None:
        """Record that the number of requests in flight has changed.

        :param oldest_sent_s: when the oldest of them was sent; ignored if there is
            none.
        """
        self._measure_time(now_s)
        self._in_flight = in_flight
        self._oldest_sent_s = oldest_sent_s if in_flight else math.inf

    def record_completed(
        self, concurrency: int, duration_s: float, now_s: float
    ) -> None:
        """Record a response.

        :param concurrency: requests in flight when it was sent, itself included.
        """
        if not math.isfinite(duration_s) or duration_s < 0:
            return
        self._measure_time(now_s)
        self._answered_s = now_s
        started_s = now_s - duration_s
        slowness = self._slowness.log_factor_during(started_s)
        service_s = self._normalise(concurrency, duration_s)
        deviation = self._service.record(service_s / math.exp(slowness), now_s)
        self._slowness.record_deviation(started_s, deviation + slowness)
        if self._in_flight:
            self._levels.record_response(self._in_flight, now_s)

    def record_rejected(self, now_s: float) -> None:
        """Record that the server did not run a request, for want of room."""
        if now_s >= self._full_until_s:
            self._rejections = 0
        self._rejections += 1
        self._full_until_s = now_s + FULL_S

    def record_no_response(
        self, concurrency: int, waited_s: float, now_s: float
    ) -> None:
        """Record that a request got no response in the time that it was waited for."""
        if not math.isfinite(waited_s) or waited_s <= 0:
            return
        service_s = self._normalise(concurrency, NO_RESPONSE_FACTOR * waited_s)
        self._service.record_at_least(service_s, now_s)

    def record_load(self, load: ServerLoad, now_s: float) -> None:
        """Record what a response stated, before :meth:`record_completed`."""
        self._slowness.record(load.slowness, now_s)
        others = load.running + load.waiting - self._in_flight
        self._others = max(0, min(load.waiting, others))
        self._others_until_s = now_s + FULL_S

    def limit(self, now_s: float) -> int:
        """Return how many requests the server should have at once, at least 1."""
        limit = self._levels.concurrency()
        if limit is None:
            # One request waits, so that a slot that becomes free is used at once.
            limit = self._slots + 1
        if now_s < self._others_until_s:
            # A server may state too much: that takes at most half of its load.
            limit = max(limit - self._others, limit // 2)
        if now_s < self._full_until_s:
            limit >>= min(self._rejections, limit)
        return max(1, limit)

    def expected_s(self, in_flight: int, now_s: float) -> float:
        """Return the expected time until one more request is answered.

        :param in_flight: requests that are at the server already.
        """
        slowness = math.exp(self._slowness.log_factor(now_s))
        silence_s = now_s - max(self._oldest_sent_s, self._answered_s)
        silence_s /= slowness * self._queue_factor(self._in_flight)
        service_s = self._service.mean_after_silence_s(max(0.0, silence_s), now_s)
        full_s = max(0.0, self._full_until_s - now_s)
        full = 1.0 + (FULL_FACTOR - 1.0) * full_s / FULL_S
        return service_s * slowness * full * self._queue_factor(in_flight + 1)

    def _measure_time(self, now_s: float) -> None:
        """Add the time since the last change to the level that was in use."""
        passed_s, self._changed_s = now_s - self._changed_s, now_s
        if not self._in_flight or passed_s <= 0:
            return
        slowness = math.exp(self._slowness.log_factor(now_s))
        service_s = self._service.mean_s(now_s)
        running = min(self._in_flight, self._levels.parallel() or self._slots)
        busy_s = min(passed_s / slowness, MAX_GAP * service_s / running)
        self._levels.record_time(self._in_flight, busy_s)

    def _normalise(self, concurrency: int, duration_s: float) -> float:
        """Return the time that a request would have taken with a free slot."""
        return _clip_duration(duration_s / self._queue_factor(concurrency))

    def _queue_factor(self, concurrency: int) -> float:
        """Return how much longer a request takes among so many."""
        return max(1.0, concurrency / (self._levels.parallel() or self._slots))


def _clip_duration(duration_s: float) -> float:
    return max(MIN_DURATION_S, min(MAX_DURATION_S, duration_s))
