"""Learns up to how many requests at once a server's throughput rises.

The throughput at a level is the number of responses that came while that many requests
were in flight, divided by the time spent there. Unlike durations by level, it does not
depend on which requests meet which level.
"""

from __future__ import annotations

__all__ = ["ThroughputLevels"]

import math

MAX_LEVELS = 8
"""For servers with more slots, a level stands for several requests."""

MEMORY_S = 60.0
DECAY_INTERVAL_S = 2.0
MIN_RESPONSES = 20.0
"""Responses at each of two levels before they are compared."""

MIN_GAIN = 0.4
"""A level is given up if it certainly brings less than this share of the gain of a
perfect server, and kept after a trial if it brings more."""

LIKELY_GAIN = 0.7
"""A level with this gain is not compared again soon."""

CERTAINTY = 2.5
"""Standard errors by which a level must be worse to be given up. The errors are those
of responses that come at random; work that varies and noise make them larger."""

INITIAL_RETRY_S = 30.0
MAX_RETRY_S = 240.0
INITIAL_COMPARISON_S = 10.0

COMPARISON_SPREAD = 11.0
"""The first comparisons of the servers of a service are spread over this many times the
interval: each of them takes a part of the capacity."""

MAX_TRIAL_S = 4.0
TRIAL_RESPONSES = 40.0

MAX_GAP = 3.0
"""Gaps without a response count as at most this many times the expected one, so that
a disruption does not pass for a low throughput."""


class ThroughputLevels:
    """Throughput of one server by requests in flight, and the level to use.

    :param slots: requests that the server runs at a time; the highest level.
    :param phase: 0 to 1, when to begin the first comparison.
    """

    __slots__ = (
        "_busy_s",
        "_comparison_s",
        "_compare_at_s",
        "_decayed_s",
        "_in_use",
        "_responses",
        "_retry_at_s",
        "_retry_s",
        "_step",
        "_trial",
        "_trial_ends_s",
    )

    def __init__(self, slots: int, phase: float = 0.0) -> None:
        self._step = math.ceil(slots / MAX_LEVELS)
        levels = math.ceil(slots / self._step)
        self._busy_s = [0.0] * levels
        self._responses = [0.0] * levels
        self._in_use = self._trial = levels - 1
        self._trial_ends_s = math.inf
        self._decayed_s = -math.inf
        self._retry_s = INITIAL_RETRY_S
        self._retry_at_s = math.inf
        self._comparison_s = INITIAL_COMPARISON_S * (1 + COMPARISON_SPREAD * phase)
        self._compare_at_s = -math.inf

    def concurrency(self) -> int | None:
        """Return how many requests to have at once, ``None`` for all slots."""
        if self._trial == len(self._busy_s) - 1:
            return None
        return (self._trial + 1) * self._step

    def parallel(self) -> int | None:
        """Return up to how many requests throughput rises, ``None`` for all slots."""
        if self._in_use == len(self._busy_s) - 1:
            return None
        return (self._in_use + 1) * self._step

    def record_time(self, in_flight: int, busy_s: float) -> None:
        """Record time that was spent with so many requests in flight."""
        self._busy_s[self._level_of(in_flight)] += busy_s

    def record_response(self, in_flight: int, now_s: float) -> None:
        """Record a response that came with so many requests in flight."""
        self._responses[self._level_of(in_flight)] += 1.0
        self._decay(now_s)
        if self._trial > self._in_use:
            self._judge_higher(now_s)
        else:
            self._judge_current(now_s)

    def _judge_current(self, now_s: float) -> None:
        """Give the level in use up if it is no better than the one below it."""
        level = self._in_use
        if level and self._gain(level, CERTAINTY) < MIN_GAIN:
            self._use(level - 1)
            self._postpone_retry(now_s)
            self._plan_comparison(INITIAL_COMPARISON_S, now_s)
        elif self._trial < level:
            self._judge_comparison(now_s)
        elif now_s >= self._retry_at_s and level < len(self._busy_s) - 1:
            self._try(level + 1, math.inf)
            self._busy_s[level + 1] = self._responses[level + 1] = 0.0
        elif level and now_s >= self._compare_at_s:
            self._start_comparison(now_s)

    def _start_comparison(self, now_s: float) -> None:
        """Try the level below for a while: a busy server is never there by itself."""
        if self._compare_at_s == -math.inf:
            self._plan_comparison(self._comparison_s, now_s)
        elif self._is_worth_its_level():
            self._plan_comparison(self._comparison_s, now_s)
        elif self._responses[self._in_use] >= MIN_RESPONSES:
            self._try(self._in_use - 1, now_s + MAX_TRIAL_S)

    def _judge_comparison(self, now_s: float) -> None:
        """End a comparison that went well, or that has taken its time."""
        if self._is_worth_its_level():
            self._use(self._in_use)
            self._plan_comparison(min(MAX_RETRY_S, 2 * self._comparison_s), now_s)
        elif now_s >= self._trial_ends_s:
            self._use(self._in_use)
            self._plan_comparison(self._comparison_s, now_s)

    def _is_worth_its_level(self) -> bool:
        """Return whether the level in use is likely to be better than the one below.

        Trials take capacity, so they go on only while they say that it may be worse.
        """
        return LIKELY_GAIN <= self._gain(self._in_use, 0.0) < math.inf

    def _plan_comparison(self, interval_s: float, now_s: float) -> None:
        self._comparison_s = interval_s
        self._compare_at_s = now_s + interval_s

    def _judge_higher(self, now_s: float) -> None:
        """Keep the level that is tried again if its throughput is higher."""
        if self._responses[self._trial] < TRIAL_RESPONSES:
            return
        if self._gain(self._trial, 0.0) >= MIN_GAIN:
            self._use(self._trial)
            self._retry_s = INITIAL_RETRY_S
            self._retry_at_s = now_s + INITIAL_RETRY_S
            return
        self._use(self._in_use)
        self._postpone_retry(now_s)

    def _postpone_retry(self, now_s: float) -> None:
        self._retry_at_s = now_s + self._retry_s
        self._retry_s = min(MAX_RETRY_S, 2 * self._retry_s)

    def _gain(self, level: int, standard_errors: float) -> float:
        """Return what a level adds to the one below, as share of a perfect gain.

        It is infinite as long as too little is known.

        :param standard_errors: how many standard errors to add to the estimate.
        """
        lower = level - 1
        if min(self._responses[lower], self._responses[level]) < MIN_RESPONSES:
            return math.inf
        if not self._busy_s[level] or not self._busy_s[lower]:
            return math.inf
        ratio = self._throughput(level) / self._throughput(lower)
        error = math.sqrt(1 / self._responses[level] + 1 / self._responses[lower])
        ratio *= math.exp(standard_errors * error)
        return (ratio - 1) * level

    def _throughput(self, level: int) -> float:
        return self._responses[level] / self._busy_s[level]

    def _use(self, level: int) -> None:
        self._in_use = level
        self._try(level, math.inf)

    def _try(self, level: int, until_s: float) -> None:
        self._trial = level
        self._trial_ends_s = until_s

    def _level_of(self, in_flight: int) -> int:
        level = (max(1, in_flight) - 1) // self._step
        return min(level, len(self._busy_s) - 1)

    def _decay(self, now_s: float) -> None:
        passed_s = now_s - self._decayed_s
        if passed_s < DECAY_INTERVAL_S:
            return
        factor = math.exp(-passed_s / MEMORY_S)
        self._busy_s = [value * factor for value in self._busy_s]
        self._responses = [value * factor for value in self._responses]
        self._decayed_s = now_s
