"""Adaptive limit on the concurrent requests of this process to one endpoint."""

from __future__ import annotations

__all__ = ["ConcurrencyLimit", "LatencyTrend"]

import math

# The limit shrinks when the recent latency exceeds this many times the unloaded one.
# Ten hosts with one request each at a server of three slots reach a ratio of 3.3.
CONGESTED_RATIO = 3.5
# Factors by which the limit shrinks after a refusal and on congestion.
REFUSAL_DECREASE = 0.8
CONGESTION_DECREASE = 0.9
# Growth of the limit for each completed request while the limit was binding.
INCREASE_STEP = 0.02
# Each latency is capped at this many times the unloaded latency, otherwise one
# straggler in a hundred would look like congestion.
LATENCY_CAP_FACTOR = 5.0
# The unloaded latency is the lowest mean latency over one to two periods.
BASELINE_PERIOD_S = 30.0
# A measured congestion decays to nothing within this time: a limit that holds work
# back yields no new measurements that would show the end of the congestion.
CONGESTION_DECAY_S = 0.25
CLOCK_RESOLUTION_S = 1e-6

_RECENT_GAIN = 0.1
# The baseline is the minimum of a slowly moving mean: the minimum of single latencies,
# or of a fast mean, lies far below what an idle server needs on average.
_BASELINE_GAIN = 0.05


class LatencyTrend:
    """Tracks the ratio of the recent latency to the unloaded latency."""

    def __init__(self) -> None:
        self._recent_mean = 0.0
        self._slow_mean = 0.0
        self._baseline = math.inf
        self._period_minimum = math.inf
        self._period_end = 0.0
        self._last_observed = -math.inf

    def observe(self, latency_s: float, now: float) -> None:
        """Record the latency of an answered request."""
        # Two readings of a coarse clock can be equal.
        latency_s = max(latency_s, CLOCK_RESOLUTION_S)
        if self._baseline == math.inf:
            self._recent_mean = self._slow_mean = self._baseline = latency_s
            self._period_end = now + BASELINE_PERIOD_S
        latency_s = min(latency_s, LATENCY_CAP_FACTOR * self._baseline)
        self._recent_mean += _RECENT_GAIN * (latency_s - self._recent_mean)
        self._slow_mean += _BASELINE_GAIN * (latency_s - self._slow_mean)
        self._last_observed = now
        if self._slow_mean < self._baseline:
            self._baseline = self._slow_mean
        if self._slow_mean < self._period_minimum:
            self._period_minimum = self._slow_mean
        if now >= self._period_end:
            self._baseline = self._period_minimum
            self._period_minimum = self._slow_mean
            self._period_end = now + BASELINE_PERIOD_S

    def ratio(self, now: float) -> float:
        """Return the current latency as a multiple of the unloaded one, at least 1."""
        age_s = now - self._last_observed
        if age_s == math.inf:
            return 1.0
        excess = max(0.0, self._recent_mean / self._baseline - 1.0)
        return 1.0 + excess * max(0.0, 1.0 - age_s / CONGESTION_DECAY_S)


class ConcurrencyLimit:
    """Adapts the number of requests that this process may have at one endpoint.

    This process cannot see the requests of other hosts at the same slots, so the
    limit may be below one: the sum over the endpoints of a service is then this
    host's share of all slots, and one request at a time is still allowed at each
    endpoint.

    :param slots: requests that the server runs at a time.
    :param hosts: estimated number of hosts that share the server; sets the bounds of
        the limit.
    :param connections: connections that the server accepts from all hosts.
    """

    def __init__(self, slots: int = 3, hosts: int = 10, connections: int = 100) -> None:
        hosts = max(1, hosts)
        self.minimum = min(1.0, slots / hosts)
        self.maximum = max(1.0, min(float(slots), connections / hosts))
        self.value = min(self.maximum, max(1.0, slots / hosts))
        self.in_flight = 0
        self.trend = LatencyTrend()
        self._last_decrease = -math.inf

    def available(self) -> bool:
        """Return whether :meth:`acquire` would succeed."""
        return self.in_flight < self.value or self.in_flight < 1

    def acquire(self) -> bool:
        """Count a request in flight if the limit allows one more."""
        if not self.available():
            return False
        self.in_flight += 1
        return True

    def release(
        self, started: float, now: float, refused: bool = False, binding: bool = True
    ) -> None:
        """Remove a request from the ones in flight and adapt the limit to its result.

        :param started: when the request was sent.
        :param refused: whether the endpoint refused to run it.
        :param binding: whether requests were waiting for the limit; it grows only
            then, since results below the limit do not show that it could be higher.
        """
        self.in_flight -= 1
        if refused:
            self._decrease(REFUSAL_DECREASE, started, now)
            return
        self.trend.observe(now - started, now)
        if self.trend.ratio(now) > CONGESTED_RATIO:
            self._decrease(CONGESTION_DECREASE, started, now)
        elif binding:
            self.value = min(self.maximum, self.value + INCREASE_STEP)

    def _decrease(self, factor: float, started: float, now: float) -> None:
        """Shrink the limit, unless the request was sent before the last decrease.

        A burst of refusals thus counts once.
        """
        if started < self._last_decrease:
            return
        self._last_decrease = now
        self.value = max(self.minimum, self.value * factor)
