"""Learns how long a server runs a request when it has a slot for it.

Times are learned as logarithms, since work varies by factors. One estimate follows the
server within a few responses; a slower one is what the server usually takes, to which
the first returns while there are no responses.
"""

from __future__ import annotations

__all__ = ["ServiceTime"]

import math

FAST_GAIN = 0.1
USUAL_GAIN = 0.02
INITIAL_SAMPLES = 3
"""The initial time counts as this many responses."""

CHANGE_GAIN = 0.5
CHANGE_DRIFT = 0.5
CHANGE_THRESHOLD = 2.0
MAX_CHANGE_STEP = 1.6
"""A cumulative sum of the deviations beyond the drift shows a change of speed. One long
request among normal ones stays below the threshold, two in a row do not."""

MAX_USUAL_STEP = math.log(2)
"""Limits what one response during a disruption changes in the usual time."""

RELAXATION_S = 2.5
"""Time constant of the return to the usual time; disruptions last several seconds."""

IDLE_S = 10.0
FORGETTING_S = 30.0
"""Without responses for this long, the usual time returns to that of the service: a
server that seems too slow for any request would otherwise never be tried again."""

RATIO_GAIN = 0.02
MAX_RATIO = 8.0

SILENCE_FACTOR = 2.0
"""A server that has answered nothing for this many times the expected time is taken to
be slower."""


class ServiceTime:
    """Time that one request takes on a server with a free slot.

    :param initial_s: time expected before the first response.
    """

    __slots__ = (
        "_change",
        "_fast",
        "_initial",
        "_ratio",
        "_recorded_s",
        "_samples",
        "_usual",
    )

    def __init__(self, initial_s: float) -> None:
        self._initial = self._fast = self._usual = math.log(initial_s)
        self._samples = INITIAL_SAMPLES
        self._change = 0.0
        self._ratio = 1.0
        self._recorded_s = -math.inf

    def record(self, service_s: float, now_s: float) -> float:
        """Record the time of one request; return its deviation from the usual time."""
        log_s = math.log(service_s)
        self._usual, self._fast = self._usual_now(now_s), self._relaxed(now_s)
        self._recorded_s = now_s
        self._samples += 1
        self._record_fast(log_s - self._fast)
        deviation = log_s - self._usual
        step = max(-MAX_USUAL_STEP, min(MAX_USUAL_STEP, deviation))
        self._usual += max(USUAL_GAIN, 1 / self._samples) * step
        return deviation

    def record_at_least(self, service_s: float, now_s: float) -> None:
        """Record that a request has taken longer than this, if that is unexpected."""
        if math.log(service_s) > self._relaxed(now_s):
            self.record(service_s, now_s)

    def mean_s(self, now_s: float) -> float:
        """Return the mean time that is expected now."""
        return math.exp(self._relaxed(now_s)) * self._ratio

    def mean_after_silence_s(self, silence_s: float, now_s: float) -> float:
        """Return the mean time if the server has answered nothing for a time."""
        mean_s = self.mean_s(now_s)
        return max(mean_s, silence_s) if silence_s > SILENCE_FACTOR * mean_s else mean_s

    def _record_fast(self, deviation: float) -> None:
        if self._is_changing(deviation):
            gain = CHANGE_GAIN
        else:
            gain = max(FAST_GAIN, 1 / self._samples)
            # The mean of work that varies is above the mean of its logarithms.
            ratio = min(math.exp(deviation), MAX_RATIO)
            self._ratio += RATIO_GAIN * (ratio - self._ratio)
        self._fast += gain * deviation

    def _is_changing(self, deviation: float) -> bool:
        """Add a deviation to the cumulative sum of its direction."""
        step = max(-MAX_CHANGE_STEP, min(MAX_CHANGE_STEP, deviation))
        if step * self._change < 0:
            self._change = 0.0
        size = abs(self._change) + abs(step) - CHANGE_DRIFT
        size = max(0.0, min(size, CHANGE_THRESHOLD + 1.0))
        self._change = math.copysign(size, step)
        return size > CHANGE_THRESHOLD

    def _relaxed(self, now_s: float) -> float:
        """Return the fast estimate on its way back to the usual time."""
        idle_s = max(0.0, now_s - self._recorded_s)
        usual = self._usual_now(now_s)
        return usual + (self._fast - usual) * math.exp(-idle_s / RELAXATION_S)

    def _usual_now(self, now_s: float) -> float:
        idle_s = now_s - self._recorded_s - IDLE_S
        if idle_s <= 0:
            return self._usual
        kept = math.exp(-idle_s / FORGETTING_S)
        return self._initial + (self._usual - self._initial) * kept
