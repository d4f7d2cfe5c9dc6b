"""Adaptive limit on the requests that this process has at one endpoint."""

from __future__ import annotations

__all__ = ["ConcurrencyLimit", "LatencyTrend"]

import math

# The limit shrinks when the recent latency exceeds the unloaded one this many
# times. Ten hosts with one request each at a server of three slots are at 3.3.
CONGESTED_RATIO = 3.5
# Multiplier after a refusal and after a congested period.
REFUSAL_DECREASE = 0.8
CONGESTION_DECREASE = 0.9
# Growth for each completed request while the limit was binding.
INCREASE = 0.02
# One latency counts for no more than this many times the unloaded latency,
# otherwise one straggler in a hundred would look like congestion.
LATENCY_CAP = 5.0
# The unloaded latency is the lowest recent latency over one to two periods.
BASELINE_PERIOD_S = 30.0
# Evidence of congestion fades within this time, since a limit that holds work
# back receives no more evidence that would clear it.
EVIDENCE_S = 0.25
CLOCK_RESOLUTION_S = 1e-6

_RECENT_GAIN = 0.1
# The minimum of a slowly moving mean: the minimum of single latencies, or of a
# fast mean, lies far below what an idle server needs on average.
_BASELINE_GAIN = 0.05


class LatencyTrend:
    """Recent latency in proportion to the unloaded latency."""

    def __init__(self) -> None:
        self._recent = 0.0
        self._slow = 0.0
        self._baseline = math.inf
        self._period_minimum = math.inf
        self._period_end = 0.0
        self._observed = -math.inf

    def observe(self, latency_s: float, now: float) -> None:
        """Record the latency of an answered request."""
        # Two readings of a coarse clock can be equal.
        latency_s = max(latency_s, CLOCK_RESOLUTION_S)
        if self._baseline == math.inf:
            self._recent = self._slow = self._baseline = latency_s
            self._period_end = now + BASELINE_PERIOD_S
        latency_s = min(latency_s, LATENCY_CAP * self._baseline)
        self._recent += _RECENT_GAIN * (latency_s - self._recent)
        self._slow += _BASELINE_GAIN * (latency_s - self._slow)
        self._observed = now
        if self._slow < self._baseline:
            self._baseline = self._slow
        if self._slow < self._period_minimum:
            self._period_minimum = self._slow
        if now >= self._period_end:
            self._baseline = self._period_minimum
            self._period_minimum = self._slow
            self._period_end = now + BASELINE_PERIOD_S

    def ratio(self, now: float) -> float:
        """Return how many times slower than unloaded the endpoint is now."""
        age_s = now - self._observed
        if age_s == math.inf:
            return 1.0
        excess = max(0.0, self._recent / self._baseline - 1.0)
        return 1.0 + excess * max(0.0, 1.0 - age_s / EVIDENCE_S)


class ConcurrencyLimit:
    """Learns how many requests this process may have at one endpoint.

    Other hosts send to the same slots unseen, so the limit may be below one:
    the sum over the endpoints of a service is then this host's share of all
    slots, and one request at a time is still allowed at each endpoint.

    :param slots: requests that the server runs at a time.
    :param hosts: hosts believed to share the server; bounds the value below.
    :param connections: connections that the server accepts from all hosts.
    """

    def __init__(self, slots: int = 3, hosts: int = 10, connections: int = 100) -> None:
        hosts = max(1, hosts)
        self.minimum = min(1.0, slots / hosts)
        self.maximum = max(1.0, min(float(slots), connections / hosts))
        self.value = min(self.maximum, max(1.0, slots / hosts))
        self.in_flight = 0
        self.trend = LatencyTrend()
        self._decreased = -math.inf

    def available(self) -> bool:
        """Return whether :meth:`acquire` would succeed."""
        return self.in_flight < self.value or self.in_flight < 1

    def acquire(self) -> bool:
        """Take a place at the endpoint if the limit leaves one."""
        if not self.available():
            return False
        self.in_flight += 1
        return True

    def release(
        self, started: float, now: float, refused: bool = False, binding: bool = True
    ) -> None:
        """Give a place back and learn from how the request went.

        :param started: when the request was sent.
        :param refused: the endpoint refused to run it.
        :param binding: whether requests were waiting for a place; the limit
            grows only then, since spare capacity proves nothing.
        """
        self.in_flight -= 1
        if refused:
            self._decrease(REFUSAL_DECREASE, started, now)
            return
        self.trend.observe(now - started, now)
        if self.trend.ratio(now) > CONGESTED_RATIO:
            self._decrease(CONGESTION_DECREASE, started, now)
        elif binding:
            self.value = min(self.maximum, self.value + INCREASE)

    def _decrease(self, factor: float, started: float, now: float) -> None:
        """Shrink once for all requests sent before the last decrease."""
        if started < self._decreased:
            return
        self._decreased = now
        self.value = max(self.minimum, self.value * factor)
