"""Tracks whether the configuration of an entry process may be stale."""

from __future__ import annotations

__all__ = ["StalenessTracker"]

import math

# A running process checks at this interval. A pause above the limit means that it
# was frozen, and reports that it reads next may have waited in a socket buffer.
FREEZE_CHECK_INTERVAL_S = 0.25
FREEZE_LIMIT_S = 1.0
BUFFERED_REPORTS_S = 0.5


class StalenessTracker:
    """Evaluates a control process's reports about the configuration.

    Times are seconds of a clock that keeps advancing while the process is frozen.
    """

    def __init__(self) -> None:
        self._confirmed_at = -math.inf
        self._outage_at = -math.inf
        self._last_check = math.inf
        self._ignored_until = -math.inf

    def check_for_freeze(self, now: float) -> None:
        """Detect a freeze; to be called every :data:`FREEZE_CHECK_INTERVAL_S`."""
        if now - self._last_check > FREEZE_LIMIT_S:
            self._ignored_until = now + BUFFERED_REPORTS_S
        self._last_check = now

    def add_report(self, age_s: float, store_down: bool, now: float) -> None:
        """Add a report, unless it may have waited in a buffer during a freeze.

        :param age_s: age of the newest confirmation that the configuration is current.
        :param store_down: whether a majority of data centres confirms that the
            store is down.
        """
        self.check_for_freeze(now)
        if now < self._ignored_until:
            return
        self._confirmed_at = max(self._confirmed_at, now - age_s)
        if store_down:
            self._outage_at = now

    def may_be_stale(self, limit_s: float, now: float) -> bool:
        """Return whether a newer configuration may have been accepted unseen.

        In an outage of the store that a majority of data centres confirms nobody
        can change the configuration, so it stays current.

        :param limit_s: time for which a confirmation counts.
        """
        return now - max(self._confirmed_at, self._outage_at) > limit_s
