"""What the leader knows of the grants for one range. Times are on the boot clock."""

from __future__ import annotations

__all__ = ["RangeState"]

from .assignment import OwnedRange
from .authority import CLOCK_DRIFT, GRANT_INTERVAL_S, SAFETY_MARGIN_S

INITIAL_RETRY_S = 0.05
"""Delay after a grant that was not confirmed; doubles up to the interval of renewals,
so that a server that confirms none costs no more than one that confirms all."""

MAX_RETRY_DOUBLINGS = 8


class RangeState:
    """A range and what the leader knows of the grants for it.

    :param owned: the range as written to the store.
    :param previous_expiry_s: from then on no grant of previous leaders is valid.
    :ivar own_expiry_s: from then on no grant that this leader has sent is valid.
    :ivar failures: grants in a row that were not confirmed.
    :ivar refusals: those among them that the server has refused.
    :ivar retry_s: until then no grant is sent, after one that was not confirmed.
    """

    __slots__ = (
        "command_pending",
        "confirmed_s",
        "failures",
        "granted",
        "handover",
        "own_expiry_s",
        "owned",
        "previous_expiry_s",
        "refusals",
        "release_sent_s",
        "released",
        "retry_s",
    )

    def __init__(self, owned: OwnedRange, previous_expiry_s: float) -> None:
        self.owned = owned
        self.own_expiry_s = float("-inf")
        self.previous_expiry_s = previous_expiry_s
        self.confirmed_s = float("-inf")
        self.release_sent_s = float("-inf")
        self.granted = False
        self.failures = 0
        self.refusals = 0
        self.retry_s = float("-inf")
        self.released = False
        self.handover = ""
        self.command_pending = False

    def record_grant(self, now_s: float, hold_s: float) -> None:
        """Record that the server accepted a grant with the written fence.

        This incarnation refuses the grants of previous leaders from now on. A later
        incarnation would not, so the bound on their expiry stays.
        """
        until_s = now_s + hold_s * (1 + CLOCK_DRIFT)
        self.own_expiry_s = max(self.own_expiry_s, until_s)
        self.granted = True
        self.confirmed_s = now_s
        self.failures = self.refusals = 0
        self.handover = ""

    def record_uncertain_grant(self, now_s: float, hold_s: float) -> None:
        """Record that the server may have accepted a grant, or may still do so."""
        until_s = now_s + hold_s * (1 + CLOCK_DRIFT) + SAFETY_MARGIN_S
        self.own_expiry_s = max(self.own_expiry_s, until_s)
        self._record_failure(now_s)

    def record_failed_grant(self, now_s: float, refused: bool) -> None:
        """Record that a grant was refused, or did not reach the server."""
        self.refusals += refused
        self._record_failure(now_s)

    def _record_failure(self, now_s: float) -> None:
        """Count a failure; the next grant waits twice as long as the last one."""
        doublings = min(self.failures, MAX_RETRY_DOUBLINGS)
        self.failures += 1
        self.retry_s = now_s + min(GRANT_INTERVAL_S, INITIAL_RETRY_S * 2**doublings)

    def record_release(self, handover: str) -> None:
        """Record that the holder released the keys."""
        self.released = True
        self.handover = handover

    def may_reassign(self, now_s: float) -> bool:
        """Return whether the keys may be granted to another server."""
        if self.command_pending:
            return False
        return self.released or now_s >= self.last_expiry_s()

    def last_expiry_s(self) -> float:
        """Return from when on no grant of the keys can be valid."""
        return max(self.own_expiry_s, self.previous_expiry_s)
