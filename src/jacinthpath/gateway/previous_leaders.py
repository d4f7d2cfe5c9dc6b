"""Checks whether the previous leaders still send grants."""

from __future__ import annotations

__all__ = ["PreviousLeaders"]

from collections.abc import Awaitable, Callable, Collection

from .assignment import LeaderProcess

CHECK_INTERVAL_S = 0.3
"""Interval between checks of the previous leaders."""


class PreviousLeaders:
    """The previous leaders that are not known to have stopped leading.

    :param leaders: previous leaders whose grants may still be valid.
    :param last_expiry_s: from then on none of their grants is valid.
    :param has_stopped_leading: returns whether one is known to have stopped leading.
    """

    def __init__(
        self,
        leaders: Collection[LeaderProcess],
        last_expiry_s: float,
        has_stopped_leading: Callable[[LeaderProcess], Awaitable[bool]],
    ) -> None:
        self.last_expiry_s = last_expiry_s
        self._unconfirmed = [*leaders]
        self._has_stopped_leading = has_stopped_leading
        self._checked_s = float("-inf")
        self._checking = False

    def have_all_stopped(self) -> bool:
        """Return whether all of them are known to have stopped leading."""
        return not self._unconfirmed

    def is_check_due(self, now_s: float) -> bool:
        """Return whether a check of the remaining ones is due."""
        return (
            not self.have_all_stopped()
            and not self._checking
            and now_s - self._checked_s >= CHECK_INTERVAL_S
        )

    async def check(self, now_s: float) -> None:
        """Check each of the remaining ones."""
        self._checked_s = now_s
        self._checking = True
        try:
            for leader in [*self._unconfirmed]:
                if await self._has_stopped_leading(leader):
                    self._unconfirmed.remove(leader)
        finally:
            self._checking = False
