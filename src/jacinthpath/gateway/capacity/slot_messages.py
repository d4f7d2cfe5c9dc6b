"""Encodes and decodes slots of servers, and their coordinators, in peer frames."""

from __future__ import annotations

__all__ = [
    "has_newer_coordinators",
    "read_coordinators",
    "read_slot",
    "read_slot_result",
    "read_slot_wanted",
    "write_coordinators",
    "write_not_coordinating",
    "write_slot",
    "write_slot_result",
    "write_slot_wanted",
]

import math
from typing import Any

from ...errors import FrameError
from ..exchange import ServerLoad
from .coordinators import Coordinator, CoordinatorList, ServerGroup
from .slots import (
    SlotDecision,
    SlotId,
    SlotOutcome,
    SlotRequest,
    SlotResult,
    SlotState,
)

MAX_PRIORITY = 1_000
MAX_TIME_MS = 2**31 - 1
NOT_COORDINATING = "not-coordinating"


def write_slot_wanted(
    content: Any, group: ServerGroup, request: SlotRequest, fingerprint: int
) -> None:
    """Write a request for a slot of a group."""
    content.number = request.slot.number
    content.service, content.dataCentre = group
    content.server = request.server
    content.flow = request.flow
    content.fingerprint = fingerprint
    content.priority = request.priority
    content.returning = request.returning
    content.objectiveLeftMs = _to_ms(request.objective_left_s)
    content.deadlineLeftMs = _to_ms(request.deadline_left_s)
    content.excluded = sorted(request.excluded)
    content.mayWait = request.may_wait


def read_slot_wanted(
    content: Any, process_id: str
) -> tuple[ServerGroup, SlotRequest, int]:
    """Return the group, the request and its fingerprint.

    :param process_id: process that has sent the frame.
    """
    request = SlotRequest(
        SlotId(process_id, content.number),
        content.server,
        content.flow,
        min(content.priority, MAX_PRIORITY),
        content.returning,
        content.objectiveLeftMs / 1000,
        content.deadlineLeftMs / 1000,
        frozenset(content.excluded),
        content.mayWait,
    )
    group = ServerGroup(content.service, content.dataCentre)
    return group, request, content.fingerprint


def write_slot(content: Any, decision: SlotDecision) -> None:
    """Write the decision on a request for a slot."""
    content.state = decision.state.value
    content.server = decision.server
    content.retryMs = max(0, _to_ms(decision.retry_s))
    content.reason = decision.reason
    content.expectedMs = max(0, _to_ms(decision.expected_wait_s))
    content.allowedMs = max(0, _to_ms(decision.allowed_wait_s))


def write_not_coordinating(content: Any) -> None:
    """Write that this host does not lend the slots of the group."""
    content.state = NOT_COORDINATING


def read_slot(content: Any) -> SlotDecision | None:
    """Return the decision; ``None`` if the host does not lend slots of the group.

    :raises FrameError: the state is not known.
    """
    if content.state == NOT_COORDINATING:
        return None
    try:
        state = SlotState(content.state)
    except ValueError:
        raise FrameError(
            f"The state {content.state!r} of a slot is not known.",
            "Compare the releases of both hosts.",
        ) from None
    return SlotDecision(
        state,
        content.server,
        content.retryMs / 1000,
        content.reason,
        content.expectedMs / 1000,
        content.allowedMs / 1000,
    )


def write_slot_result(
    content: Any, group: ServerGroup, number: int, result: SlotResult
) -> None:
    """Write how the use of a slot ended."""
    content.number = number
    content.service, content.dataCentre = group
    content.outcome = result.outcome.value
    content.durationMs = 1000 * result.duration_s
    if result.load is not None:
        content.loadStated = True
        content.running, content.waiting, content.slots, content.slowness = result.load


def read_slot_result(
    content: Any, process_id: str
) -> tuple[ServerGroup, SlotId, SlotResult]:
    """Return the group, the lease that has ended, and its result.

    :raises FrameError: the outcome or the duration cannot be used.
    """
    try:
        outcome = SlotOutcome(content.outcome)
    except ValueError:
        outcome = SlotOutcome.FAILED
    duration_s = content.durationMs / 1000
    if not math.isfinite(duration_s) or duration_s < 0:
        raise FrameError(
            f"A slot was used for {duration_s} s.", "Check the release of the peer."
        )
    load = None
    if content.loadStated and math.isfinite(content.slowness):
        load = ServerLoad(
            content.running, content.waiting, content.slots, content.slowness
        )
    group = ServerGroup(content.service, content.dataCentre)
    result = SlotResult(outcome, duration_s, load)
    return group, SlotId(process_id, content.number), result


def has_newer_coordinators(coordinators: CoordinatorList, wanted: Any) -> bool:
    """Return whether the requester of documents has an older list.

    A requester of an earlier build takes none.
    """
    if not wanted.takesCoordinators:
        return False
    known = wanted.coordinatorsTerm, wanted.coordinatorsVersion
    return (coordinators.term, coordinators.version) > known


def write_coordinators(content: Any, coordinators: CoordinatorList) -> None:
    """Write the list of coordinators."""
    content.coordinatorsTerm = coordinators.term
    content.coordinatorsVersion = coordinators.version
    listed = coordinators.all()
    entries = content.init("coordinators", len(listed))
    for entry, one in zip(entries, listed, strict=True):
        entry.service, entry.dataCentre = one.group
        entry.host, entry.address = one.host, one.address


def read_coordinators(content: Any) -> tuple[Coordinator, ...]:
    """Return the coordinators in a message with documents."""
    return tuple(
        Coordinator(
            ServerGroup(entry.service, entry.dataCentre), entry.host, entry.address
        )
        for entry in content.coordinators
    )


def _to_ms(duration_s: float) -> int:
    return int(max(-MAX_TIME_MS, min(MAX_TIME_MS, 1000 * duration_s)))
