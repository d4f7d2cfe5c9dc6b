"""Logs and counts how the requests of this host got slots, or were refused."""

from __future__ import annotations

__all__ = ["SlotLog"]

from ...metrics import Metrics
from ..events import EventLog
from .coordinators import Coordinator
from .slots import SlotDecision, SlotRequest, SlotState

LOGGED_WAIT_S = 0.05
"""Slots that were granted sooner are only counted."""


class SlotLog:
    """Records the decisions on one request.

    :param request_id: identifier that its caller has set.
    """

    def __init__(self, events: EventLog, metrics: Metrics, request_id: str) -> None:
        self._events = events
        self._metrics = metrics
        self._request_id = request_id

    def record(
        self,
        coordinator: Coordinator,
        request: SlotRequest,
        decision: SlotDecision | None,
        waited_s: float,
    ) -> None:
        """Record a decision.

        :param decision: ``None`` if the coordinator did not respond.
        :param waited_s: time from asking to the decision.
        """
        if decision is None:
            self._write("slot_not_decided", coordinator, request, waited_s)
        elif decision.state is SlotState.GRANTED:
            self._record_grant(coordinator, request, decision, waited_s)
        elif request.may_wait:
            self._record_refusal(coordinator, request, decision, waited_s)

    def _record_grant(
        self,
        coordinator: Coordinator,
        request: SlotRequest,
        decision: SlotDecision,
        waited_s: float,
    ) -> None:
        priority = str(request.priority)
        self._metrics.observe("slot_wait_seconds", waited_s, priority=priority)
        if waited_s >= LOGGED_WAIT_S:
            self._write(
                "slot_granted", coordinator, request, waited_s, server=decision.server
            )

    def _record_refusal(
        self,
        coordinator: Coordinator,
        request: SlotRequest,
        decision: SlotDecision,
        waited_s: float,
    ) -> None:
        self._metrics.count("slots_refused_total", reason=decision.reason)
        self._write(
            "slot_refused",
            coordinator,
            request,
            waited_s,
            server=request.server or None,
            reason=decision.reason,
            returning=request.returning,
            objective_left_ms=_to_ms(request.objective_left_s),
            deadline_left_ms=_to_ms(request.deadline_left_s),
            expected_wait_ms=_to_ms(decision.expected_wait_s),
            allowed_wait_ms=_to_ms(decision.allowed_wait_s),
            retry_ms=_to_ms(decision.retry_s),
        )

    def _write(
        self,
        event: str,
        coordinator: Coordinator,
        request: SlotRequest,
        waited_s: float,
        **fields: object,
    ) -> None:
        self._events.log_failure(
            event,
            id=self._request_id,
            service=coordinator.group.service,
            data_centre=coordinator.group.data_centre,
            coordinator=coordinator.host,
            slot=request.slot.number,
            priority=request.priority,
            waited_ms=_to_ms(waited_s),
            **fields,
        )


def _to_ms(duration_s: float) -> int:
    return round(1000 * duration_s)
