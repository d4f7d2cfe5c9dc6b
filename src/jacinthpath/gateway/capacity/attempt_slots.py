"""Gives the slot of an attempt back, with what the attempt has shown."""

from __future__ import annotations

__all__ = ["AttemptSlot"]

from collections.abc import Callable

from ..exchange import AttemptResult, Outcome, ServerNotice
from .slot_client import SlotClient, SlotLease
from .slots import SlotOutcome, SlotResult

_SLOT_OUTCOMES = {
    Outcome.ANSWERED: SlotOutcome.COMPLETED,
    Outcome.REFUSED: SlotOutcome.REJECTED,
    Outcome.NOT_OWNER: SlotOutcome.UNUSED,
    Outcome.TIMED_OUT: SlotOutcome.NO_RESPONSE,
}


class AttemptSlot:
    """The slot that one attempt uses.

    It is given back when the response begins: the server has run the request by then,
    and a slow caller or link must not keep the slot in use.

    :param lease: ``None`` if no slot was lent.
    :param clock: boot clock.
    """

    def __init__(
        self, slots: SlotClient, lease: SlotLease | None, clock: Callable[[], float]
    ) -> None:
        self._slots = slots
        self._lease = lease
        self._clock = clock
        self._started_s = clock()

    def handle_response_start(self, notice: ServerNotice) -> None:
        """Give the slot back when a server begins to respond to a request it ran."""
        duration_s = self._clock() - self._started_s
        self._give_back(SlotResult(SlotOutcome.COMPLETED, duration_s, notice.load))

    def end(self, result: AttemptResult | None) -> None:
        """Give the slot back if it is still in use.

        :param result: ``None`` if the attempt was cancelled.
        """
        if result is None or not result.was_sent:
            self._give_back(SlotResult(SlotOutcome.UNUSED))
            return
        outcome = _SLOT_OUTCOMES.get(result.outcome, SlotOutcome.FAILED)
        duration_s = self._clock() - self._started_s
        self._give_back(SlotResult(outcome, duration_s, result.notice.load))

    def _give_back(self, result: SlotResult) -> None:
        if self._lease is not None:
            self._slots.give_back(self._lease, result)
            self._lease = None
