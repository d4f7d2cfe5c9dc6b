"""How much each flow uses and has just used of the servers of a group."""

from __future__ import annotations

__all__ = ["FlowUse"]

from .slot_ledger import SlotLedger

HALF_LIFE_S = 1.0
"""Grants count half after this time, so that a flow with many short requests gets no
more than one with few long ones."""

MIN_COUNT = 0.25
"""Lower counts are dropped."""

MAX_REFUSED = 1
"""A flow that was just refused counts as if it used this much more. Repeating a request
at once then gains nothing, and the flow still gets its turn."""

_Counts = dict[tuple[str, int], float]


class FlowUse:
    """Slots that each flow has in use, and its latest grants and refusals.

    :param ledger: leases in use.
    """

    def __init__(self, ledger: SlotLedger) -> None:
        self._ledger = ledger
        self._granted: _Counts = {}
        self._refused: _Counts = {}
        self._halved_s = float("-inf")

    def record_grant(self, scope: str, flow: int) -> None:
        """Record a grant to a flow."""
        key = scope, flow
        self._granted[key] = self._granted.get(key, 0.0) + 1

    def record_refusal(self, scope: str, flow: int) -> None:
        """Record that a request of a flow was refused."""
        key = scope, flow
        self._refused[key] = self._refused.get(key, 0.0) + 1

    def count(self, scope: str, flow: int) -> int:
        """Return what a flow uses, in slots."""
        key = scope, flow
        lately = int(self._granted.get(key, 0.0))
        refused = min(MAX_REFUSED, int(self._refused.get(key, 0.0)))
        return self._ledger.in_use_by_flow(scope, flow) + lately + refused

    def advance(self, now_s: float) -> None:
        """Halve the counts once :data:`HALF_LIFE_S` has passed."""
        if now_s - self._halved_s >= HALF_LIFE_S:
            self._halved_s = now_s
            self._granted = _halve(self._granted)
            self._refused = _halve(self._refused)


def _halve(counts: _Counts) -> _Counts:
    return {key: one / 2 for key, one in counts.items() if one / 2 >= MIN_COUNT}
