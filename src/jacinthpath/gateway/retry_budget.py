"""Budget of repeated sends that all hosts share."""

from __future__ import annotations

__all__ = ["RetryBudget"]

from collections import deque

OWN_MARGIN = 0.8
"""Share of the budget that is used; a restarted host forgets what it has sent."""


class RetryBudget:
    """Repeats of one service that this host may send.

    In any window all hosts may send ``ratio`` times the requests plus ``slack``. A
    host counts its own requests and an equal part of the slack.

    :param window_s: length of the sliding window.
    """

    def __init__(self, window_s: float, ratio: float, slack: float) -> None:
        self._window_s = window_s
        self._ratio = ratio
        self._slack = slack
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def record_request(self, now_s: float) -> None:
        """Record a request of a caller."""
        self._requests.append(now_s)

    def record_retry(self, now_s: float) -> None:
        """Record a send beyond the first of a request."""
        self._repeats.append(now_s)

    def allows(self, now_s: float, hosts: int) -> bool:
        """Return whether one more repeat stays within the budget.

        :param hosts: hosts that share the slack.
        """
        self._forget(now_s)
        earned = self._ratio * len(self._requests) + self._slack / max(1, hosts)
        return len(self._repeats) + 1 <= OWN_MARGIN * earned

    def _forget(self, now_s: float) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] <= now_s - self._window_s:
                times.popleft()
