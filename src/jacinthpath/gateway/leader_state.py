"""What the assigner keeps of one leadership of this host."""

from __future__ import annotations

__all__ = ["LeaderState"]

from .assignment_record import AssignmentRecord
from .authority import LeaderAuthority
from .fence_sweep import FenceSweep
from .move_planning import MovePlanner
from .ownership import Ownership
from .previous_leaders import PreviousLeaders


class LeaderState:
    """State of one leadership of this host, from its start to its end.

    :param sweep: sweep in progress after a restore of the store.
    :param lost_grants_expiry_s: from then on no grant can be valid whose record the
        store may have lost.
    :ivar swept_services: services whose servers have released what is not theirs.
    :ivar previous_leaders_stopped: whether no previous leader sends grants any more.
    """

    def __init__(
        self,
        authority: LeaderAuthority,
        ownership: Ownership,
        record: AssignmentRecord,
        planner: MovePlanner,
        previous_leaders: PreviousLeaders,
        sweep: FenceSweep | None,
        lost_grants_expiry_s: float,
    ) -> None:
        self.authority = authority
        self.ownership = ownership
        self.record = record
        self.planner = planner
        self.previous_leaders = previous_leaders
        self.sweep = sweep
        self.lost_grants_expiry_s = lost_grants_expiry_s
        self.swept_services: frozenset[str] = frozenset()
        self.previous_leaders_stopped = False
        self.has_unwritten_changes = False
        self.last_planned_s = float("-inf")

    def is_free(self, service: str, now_s: float) -> bool:
        """Return whether no server can hold keys of a service that has no owners.

        That the service is missing in the assignment does not show it: its first
        assignment may be a write that the store has lost.
        """
        return service in self.swept_services or now_s >= self.lost_grants_expiry_s
