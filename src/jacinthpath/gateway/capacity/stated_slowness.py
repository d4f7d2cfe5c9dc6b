"""How far the slowness that a server states explains how long its requests take.

What a server states may be untrue. It counts only as far as the measured durations
have followed it, and within bounds.
"""

from __future__ import annotations

__all__ = ["StatedSlowness"]

import math

MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 10.0

MAX_IMPROVEMENT = math.log(2)
"""A statement makes a server at most this much faster than it is on average."""

FRESH_S = 0.4
"""Time constant with which a statement ages; the platform's machines change their
speed every 400 ms."""

HISTORY = 4
"""Statements kept, to know the slowness at the time when a request was sent."""

GAIN = 0.02
INITIAL_SAMPLES = 3
"""The mean starts as usual and follows a constant statement as fast as the durations
are learned, so that the two cancel out."""

PRIOR_VARIANCE = 0.02
"""A server is believed until its durations contradict what it states."""


class StatedSlowness:
    """The slowness stated by one server, and its effect on durations.

    Factors are logarithms; 0 means as usual.
    """

    __slots__ = ("_covariance", "_history", "_mean", "_samples", "_variance")

    def __init__(self) -> None:
        self._history: list[tuple[float, float]] = []
        self._mean = 0.0
        self._samples = INITIAL_SAMPLES
        self._variance = self._covariance = 0.0

    def record(self, slowness: float, now_s: float) -> None:
        """Record what a response stated; values that are no slowness are ignored."""
        if not 0 < slowness < math.inf:
            return
        stated = math.log(max(MIN_SLOWNESS, min(MAX_SLOWNESS, slowness)))
        self._samples += 1
        self._mean += max(GAIN, 1 / self._samples) * (stated - self._mean)
        self._history.append((now_s, stated))
        if len(self._history) > HISTORY:
            del self._history[0]

    def record_deviation(self, started_s: float, deviation: float) -> None:
        """Record how far a duration was from the usual one of this server.

        :param deviation: logarithm of the measured over the usual duration.
        """
        if not self._history:
            return
        stated = self._stated_during(started_s) - self._mean
        self._variance += GAIN * (stated * stated - self._variance)
        self._covariance += GAIN * (stated * deviation - self._covariance)

    def log_factor_during(self, started_s: float) -> float:
        """Return the factor on a request sent then that has just been answered."""
        if not self._history:
            return 0.0
        return self._trust() * self._stated_during(started_s)

    def log_factor(self, now_s: float) -> float:
        """Return the factor on a request that is sent now."""
        if not self._history:
            return 0.0
        stated_s, stated = self._history[-1]
        freshness = math.exp(-max(0.0, now_s - stated_s) / FRESH_S)
        change = max(-MAX_IMPROVEMENT, freshness * (stated - self._mean))
        return self._trust() * (self._mean + change)

    def _stated_during(self, started_s: float) -> float:
        """Return the mean of what was stated at the start and at the end."""
        first = self._history[0][1]
        for stated_s, stated in self._history:
            if stated_s > started_s:
                break
            first = stated
        return (first + self._history[-1][1]) / 2

    def _trust(self) -> float:
        """Return the share of the stated changes that the durations have followed."""
        trust = (self._covariance + PRIOR_VARIANCE) / (self._variance + PRIOR_VARIANCE)
        return max(0.0, min(1.0, trust))
