"""When a range of keys may be granted, and to which server.

The leader keeps one :class:`RangeState` for each range. The server of a range changes
only after the keys were released with a higher fence at the holder's address, or when
no grant that may have been sent can still be valid. A new incarnation of the holder
has to confirm the release too: it may have accepted a renewed grant that was meant
for the previous incarnation. Times are seconds on the boot clock.
"""

from __future__ import annotations

__all__ = ["Ownership", "adopt_assignment"]

from collections.abc import Iterable, Mapping

from .assignment import (
    Assignment,
    LeaderProcess,
    OwnedRange,
    RangeMoveId,
    range_move_id,
    set_fence_and_merge,
)
from .authority import CLOCK_DRIFT, SAFETY_MARGIN_S, last_expiry_if_stopped_s
from .command_evidence import CommandEvidence
from .model import Backend
from .range_state import RangeState


class Ownership:
    """The states of all ranges, as the leader keeps them.

    :param assignment: the assignment as written to the store.
    :param previous_expiry_s: from then on no grant of previous leaders is valid.
    :param moving_since_s: when this host first saw a range moving. No grant of the
        range has been sent since.
    :ivar evidence: which servers have stopped responding.
    """

    def __init__(
        self,
        assignment: Assignment,
        previous_expiry_s: float,
        moving_since_s: Mapping[RangeMoveId, float],
    ) -> None:
        self.fence = assignment.fence
        self.leaders = assignment.leaders
        self.confirmed_era = assignment.confirmed_era
        self.settled_era = assignment.settled_era
        self.evidence = CommandEvidence()
        self.range_states: dict[str, list[RangeState]] = {
            service: [RangeState(owned, previous_expiry_s) for owned in ranges]
            for service, ranges in assignment.ranges.items()
        }
        for service, state in self.all_range_states():
            owned = state.owned
            since_s = moving_since_s.get(range_move_id(service, owned))
            if owned.target and since_s is not None:
                expired_s = (
                    since_s
                    + owned.remaining_hold_s * (1 + CLOCK_DRIFT)
                    + SAFETY_MARGIN_S
                )
                state.previous_expiry_s = min(previous_expiry_s, expired_s)

    def to_assignment(self) -> Assignment:
        """Return the assignment to write for the current range states."""
        ranges = {
            service: tuple(state.owned for state in range_states)
            for service, range_states in self.range_states.items()
        }
        return Assignment(
            self.fence, ranges, self.leaders, self.confirmed_era, self.settled_era
        )

    def record_previous_leaders_stopped(self, now_s: float) -> None:
        """Record that all previous leaders have stopped sending grants."""
        for _, state in self.all_range_states():
            state.previous_expiry_s = min(
                state.previous_expiry_s, last_expiry_if_stopped_s(now_s)
            )

    def all_range_states(self) -> Iterable[tuple[str, RangeState]]:
        """Yield the service and state of each range."""
        for service, range_states in self.range_states.items():
            for state in range_states:
                yield service, state

    def add_service(
        self, service: str, ranges: Iterable[tuple[int, int, Backend]]
    ) -> None:
        """Add the initial owners of a service that has none."""
        self.fence += 1
        self.range_states[service] = [
            RangeState(
                OwnedRange(
                    first,
                    last,
                    backend.server,
                    backend.address,
                    backend.started_ms,
                    self.fence,
                ),
                float("-inf"),
            )
            for first, last, backend in ranges
        ]

    def begin_move(
        self, service: str, first: int, last: int, target: str, now_s: float
    ) -> bool:
        """Split the keys ``first`` to ``last`` off and mark them as moving.

        :return: whether any were marked. None are if a range among them has a pending
            command, since the result of the command applies to the whole range.
        """
        fence = self.fence + 1
        affected = [
            state
            for state in self.range_states[service]
            if first <= state.owned.last and state.owned.first <= last
        ]
        if any(state.command_pending for state in affected):
            return False
        range_states = []
        for state in self.range_states[service]:
            range_states.extend(_split(state, first, last))
        for state in range_states:
            owned = state.owned
            if first <= owned.first and owned.last <= last and not owned.target:
                remaining_hold_s = max(0.0, state.last_expiry_s() - now_s)
                state.owned = owned._replace(
                    target=target, remaining_hold_s=remaining_hold_s
                )
                self.fence = fence
        self.range_states[service] = range_states
        return self.fence == fence

    def finish_moves(
        self, now_s: float, backends: Mapping[str, Backend]
    ) -> list[tuple[str, RangeState]]:
        """Assign the moving ranges that may change servers to their targets.

        :return: these ranges, each with its service.
        """
        finished = []
        holders = {state.owned.server for _, state in self.all_range_states()}
        for service, state in self.all_range_states():
            owned = state.owned
            target = backends.get(owned.target) if owned.target else None
            if target is None or not state.may_reassign(now_s):
                continue
            if target.server not in holders:
                # What is known of it is as old as its last keys.
                self.evidence.forget(target.server)
            self.fence += 1
            state.owned = OwnedRange(
                owned.first,
                owned.last,
                target.server,
                target.address,
                target.started_ms,
                self.fence,
            )
            state.granted = state.released = False
            state.own_expiry_s = state.previous_expiry_s = float("-inf")
            state.failures = state.refusals = 0
            state.retry_s = float("-inf")
            state.release_sent_s = float("-inf")
            finished.append((service, state))
        return finished

    def update_incarnations(self, backends: Mapping[str, Backend]) -> bool:
        """Raise the fence of ranges whose holder has restarted under its id.

        :return: whether anything changed and has to be written.
        """
        changed = False
        for _, state in self.all_range_states():
            owned = state.owned
            backend = backends.get(owned.server)
            if backend is None or backend.draining or owned.target:
                continue
            same_incarnation = backend.started_ms == owned.started_ms
            if same_incarnation and backend.address == owned.address:
                continue
            self.fence += 1
            state.owned = owned._replace(
                address=backend.address, started_ms=backend.started_ms, fence=self.fence
            )
            # The new incarnation may have accepted renewed grants with the old fence,
            # so the bound on their expiry stays.
            state.granted = False
            state.confirmed_s = float("-inf")
            state.refusals = 0
            state.retry_s = float("-inf")
            self.evidence.forget(owned.server)
            changed = True
        return changed


def adopt_assignment(
    assignment: Assignment, leader: LeaderProcess, min_fence: int = 0
) -> Assignment:
    """Return the assignment that a successor writes, with a higher fence.

    Owners and moves in progress stay; moving ranges keep their fences.

    :param leader: the successor.
    :param min_fence: lower bound of the fence.
    """
    fence = max(assignment.fence, min_fence) + 1
    ranges = {
        service: set_fence_and_merge(owned, fence)
        for service, owned in assignment.ranges.items()
    }
    others = tuple(one for one in assignment.leaders if one != leader)
    return assignment._replace(fence=fence, ranges=ranges, leaders=(*others, leader))


def _split(state: RangeState, first: int, last: int) -> list[RangeState]:
    """Split a range state so that ``first`` to ``last`` has a state of its own."""
    owned = state.owned
    if owned.last < first or last < owned.first or owned.target:
        return [state]
    cuts = [owned.first]
    cuts += [edge for edge in (first, last + 1) if owned.first < edge <= owned.last]
    if len(cuts) == 1:
        return [state]
    parts = []
    for begin, end in zip(cuts, [*cuts[1:], owned.last + 1], strict=True):
        part = RangeState(
            owned._replace(first=begin, last=end - 1), state.previous_expiry_s
        )
        part.own_expiry_s = state.own_expiry_s
        part.granted = state.granted
        part.confirmed_s = state.confirmed_s
        part.failures, part.refusals = state.failures, state.refusals
        part.retry_s = state.retry_s
        parts.append(part)
    return parts
