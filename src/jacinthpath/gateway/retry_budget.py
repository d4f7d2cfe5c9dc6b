"""Retry budget that all hosts share."""

from __future__ import annotations

__all__ = ["RetryBudget"]

from collections import deque

USABLE_SHARE = 0.8
"""Share of the budget that a host uses. The rest is a margin for restarted hosts, which
forget the retries that they have sent."""


class RetryBudget:
    """Limits the retries that this host sends for one service.

    In any window all hosts together may send ``ratio`` times the number of requests
    plus ``slack`` retries. Each host counts its own requests and an equal part of the
    slack.

    :param window_s: length of the sliding window.
    """

    def __init__(self, window_s: float, ratio: float, slack: float) -> None:
        self._window_s = window_s
        self._ratio = ratio
        self._slack = slack
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now_s: float) -> None:
        """Record a request from a caller."""
        self._requests.append(now_s)

    def record_retry(self, now_s: float) -> None:
        """Record an attempt beyond the first one of a request."""
        self._retries.append(now_s)

    def allows(self, now_s: float, hosts: int) -> bool:
        """Return whether one more retry stays within the budget.

        :param hosts: hosts that share the slack.
        """
        self._drop_expired(now_s)
        allowed = self._ratio * len(self._requests) + self._slack / max(1, hosts)
        return len(self._retries) + 1 <= USABLE_SHARE * allowed

    def _drop_expired(self, now_s: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now_s - self._window_s:
                times.popleft()
