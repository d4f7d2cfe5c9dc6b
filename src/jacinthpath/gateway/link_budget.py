"""Limits how much of a host's link whole documents for other hosts may take."""

from __future__ import annotations

__all__ = ["LinkBudget"]

from collections.abc import Callable

from .clock import boottime_s

LINK_SHARE = 0.25
"""Share of the link for whole documents; callers and servers need the rest."""

BURST_S = 0.5
"""Time for which the share may be saved up."""


class LinkBudget:
    """Admits documents as long as the link's share for them is not used up.

    :param link_bytes_per_s: what the link carries.
    :param clock: boot clock.
    """

    def __init__(
        self, link_bytes_per_s: float, clock: Callable[[], float] = boottime_s
    ) -> None:
        self._rate_bytes_per_s = LINK_SHARE * link_bytes_per_s
        self._clock = clock
        self._left_bytes = self._rate_bytes_per_s * BURST_S
        self._updated_s = clock()

    def take(self, size_bytes: int) -> bool:
        """Take the size of a document from the budget, unless it is used up.

        A document may exceed what is left, so that one larger than the burst can be
        sent too.

        :return: whether the document may be sent.
        """
        now_s = self._clock()
        earned_bytes = (now_s - self._updated_s) * self._rate_bytes_per_s
        self._updated_s = now_s
        burst_bytes = self._rate_bytes_per_s * BURST_S
        self._left_bytes = min(burst_bytes, self._left_bytes + earned_bytes)
        if self._left_bytes <= 0:
            return False
        self._left_bytes -= size_bytes
        return True
