"""Whether the leaders before this one still send grants."""

from __future__ import annotations

__all__ = ["PreviousLeaders"]

from collections.abc import Awaitable, Callable, Collection

from .assignment import LeaderProcess

ASK_S = 0.3
"""Time between questions to earlier leaders whether they have ended."""


class PreviousLeaders:
    """The earlier leaders that are not known to have ended.

    :param leaders: those whose grants may count.
    :param until_s: from then on none of their grants is in force.
    :param has_stopped_leading: asks one of them.
    """

    def __init__(
        self,
        leaders: Collection[LeaderProcess],
        until_s: float,
        has_stopped_leading: Callable[[LeaderProcess], Awaitable[bool]],
    ) -> None:
        self.until_s = until_s
        self._unsettled = [*leaders]
        self._has_stopped_leading = has_stopped_leading
        self._asked_s = float("-inf")
        self._asking = False

    def all_ended(self) -> bool:
        """Return whether all of them are known to have ended."""
        return not self._unsettled

    def are_due(self, now_s: float) -> bool:
        """Return whether it is time to ask those that are left."""
        return (
            not self.all_ended() and not self._asking and now_s - self._asked_s >= ASK_S
        )

    async def ask(self, now_s: float) -> None:
        """Ask each of those that are left whether it has ended."""
        self._asked_s = now_s
        self._asking = True
        try:
            for leader in [*self._unsettled]:
                if await self._has_stopped_leading(leader):
                    self._unsettled.remove(leader)
        finally:
            self._asking = False
