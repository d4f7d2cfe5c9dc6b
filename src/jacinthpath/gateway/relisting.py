"""Decides when a part of the store is listed again, as a change was not applied."""

from __future__ import annotations

__all__ = ["ListingSchedule"]

INITIAL_DELAY_S = 0.4
"""Delay of the first listing; a drain that was not applied must be followed within two
seconds."""

MAX_DELAY_S = 6.4
"""The delay doubles up to this, so that an entry that can never be applied costs few
calls to the store."""

RECOVERED_AFTER_S = 20.0


class ListingSchedule:
    """Schedules one listing after changes that could not be applied.

    Times are seconds of the boot clock.
    """

    def __init__(self) -> None:
        self._due_s = float("inf")
        self._failed_s = float("-inf")
        self._delay_s = INITIAL_DELAY_S

    def record_failure(self, now_s: float) -> None:
        """Schedule a listing unless one is scheduled."""
        if self.is_scheduled():
            return
        if now_s - self._failed_s > RECOVERED_AFTER_S:
            self._delay_s = INITIAL_DELAY_S
        else:
            self._delay_s = min(MAX_DELAY_S, 2 * self._delay_s)
        self._failed_s = now_s
        self._due_s = now_s + self._delay_s

    def record_listing(self) -> None:
        """Record that the part is listed now."""
        self._due_s = float("inf")

    def is_scheduled(self) -> bool:
        """Return whether a change has not been applied since the last listing."""
        return self._due_s < float("inf")

    def left_s(self, now_s: float) -> float:
        """Return the time until the listing, 0 if it is due."""
        return max(0.0, self._due_s - now_s)
