"""Whether an entry process knows that its configuration is current."""

from __future__ import annotations

__all__ = ["StalenessTracker"]

import math

# Time between two calls of a process that runs. A longer pause means that it was
# frozen, and that what it reads next may have waited in a socket buffer.
FREEZE_CHECK_INTERVAL_S = 0.25
FREEZE_S = 1.0
BUFFERED_S = 0.5


class StalenessTracker:
    """Takes the reports of a control process about the configuration.

    Times are seconds of a clock that goes on while the process is frozen.
    """

    def __init__(self) -> None:
        self._confirmed_at = -math.inf
        self._outage_at = -math.inf
        self._noted_at = math.inf
        self._ignored_until = -math.inf

    def check_for_freeze(self, now: float) -> None:
        """Notice a freeze; call this each :data:`FREEZE_CHECK_INTERVAL_S`."""
        if now - self._noted_at > FREEZE_S:
            self._ignored_until = now + BUFFERED_S
        self._noted_at = now

    def add_report(self, age_s: float, store_down: bool, now: float) -> None:
        """Take a report, unless it may have been sent before a freeze.

        :param age_s: age of the newest proof that the configuration is current.
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
