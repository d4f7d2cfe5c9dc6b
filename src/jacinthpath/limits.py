"""Adaptive limit on the requests that this process has at one endpoint."""

from __future__ import annotations

__all__ = ["ConcurrencyLimit"]

# The limit shrinks when the recent latency exceeds the unloaded one this many
# times: a queue of about one service time has formed at the server.
CONGESTED_RATIO = 2.0
# Multiplier after a refusal and after a congested period.
REFUSAL_DECREASE = 0.8
CONGESTION_DECREASE = 0.9
# Growth for each completed request while the limit was binding.
INCREASE = 0.02
# One latency counts for no more than this many times the unloaded latency,
# otherwise one straggler in a hundred would look like congestion.
LATENCY_CAP = 4.0
# The unloaded latency is the lowest recent latency over one to two periods.
BASELINE_PERIOD_S = 30.0

_LATENCY_GAIN = 0.2
_UNKNOWN = float("inf")


class ConcurrencyLimit:
    """Learns how many requests this process may have at one endpoint.

    Other hosts send to the same slots unseen, so the limit may be below one:
    the sum over the endpoints of a service is then this host's share of all
    slots, and one request at a time is still allowed at each endpoint.

    :param slots: requests that the server runs at a time.
    :param hosts: hosts believed to share the server; sets the first value.
    :param connections: connections that the server accepts from all hosts.
    """

    def __init__(self, slots: int = 3, hosts: int = 10, connections: int = 100) -> None:
        hosts = max(1, hosts)
        self.minimum = slots / hosts / 4
        self.maximum = max(1.0, min(float(slots), connections / hosts))
        self.value = min(self.maximum, slots / hosts)
        self.in_flight = 0
        self._latency = 0.0
        self._baseline = _UNKNOWN
        self._period_minimum = _UNKNOWN
        self._period_end = 0.0
        self._decreased = -_UNKNOWN

    def available(self) -> bool:
        """Return whether :meth:`acquire` would succeed."""
        return self.in_flight < max(1.0, self.value)

    def acquire(self) -> bool:
        """Take a place at the endpoint if the limit leaves one."""
        if self.in_flight >= max(1.0, self.value):
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
        self._observe(now - started, now)
        if self._latency > CONGESTED_RATIO * self._baseline:
            self._decrease(CONGESTION_DECREASE, started, now)
        elif binding:
            self.value = min(self.maximum, self.value + INCREASE)

    def _decrease(self, factor: float, started: float, now: float) -> None:
        """Shrink once for all requests sent before the last decrease."""
        if started < self._decreased:
            return
        self._decreased = now
        self.value = max(self.minimum, self.value * factor)

    def _observe(self, latency: float, now: float) -> None:
        if self._baseline is _UNKNOWN:
            self._latency = self._baseline = latency
            self._period_end = now + BASELINE_PERIOD_S
        latency = min(latency, LATENCY_CAP * self._baseline)
        self._latency += _LATENCY_GAIN * (latency - self._latency)
        self._period_minimum = min(self._period_minimum, self._latency)
        self._baseline = min(self._baseline, self._latency)
        if now >= self._period_end:
            self._baseline = self._period_minimum
            self._period_minimum = self._latency
            self._period_end = now + BASELINE_PERIOD_S
