"""The assignment as it is written in the store, under the leader's condition."""

from __future__ import annotations

__all__ = ["AssignmentRecord"]

from ..errors import StoreError, StoreOutcomeUnknown
from .assignment import Assignment, encode_assignment
from .cluster_view import ASSIGNMENT_KEY, LEADER_KEY, ClusterView
from .store import Condition, ConflictingWrite, Store, Write


class AssignmentRecord:
    """Reads and writes the assignment for one reign of a leader.

    :param leader_revision: revision of the leader's record; a write by a leader whose
        record is gone fails.
    """

    def __init__(self, store: Store, view: ClusterView, leader_revision: int) -> None:
        self.revision = 0
        self._store = store
        self._view = view
        self._leader_revision = leader_revision

    async def read(self) -> Assignment | None:
        """Return the written assignment, or ``None`` before the first one.

        :raises StoreError: it cannot be read.
        """
        item = await self._store.read(ASSIGNMENT_KEY)
        if item is None:
            return None
        self._view.apply_assignment(item.value, item.revision, "store")
        if self._view.assignment_revision != item.revision:
            raise StoreError(
                "The written assignment cannot be read.", "See document_refused."
            )
        self.revision = item.revision
        return self._view.assignment

    async def write(self, assignment: Assignment) -> None:
        """Write the assignment.

        :raises StoreError: it was not written.
        :raises ConflictingWrite: another leader has written.
        """
        content = encode_assignment(assignment)
        conditions = (
            Condition(ASSIGNMENT_KEY, self.revision),
            Condition(LEADER_KEY, self._leader_revision),
        )
        writes = (Write(ASSIGNMENT_KEY, content),)
        try:
            self.revision = await self._write_surely(conditions, writes)
        except ConflictingWrite as conflict:
            self.revision = _revision_of(content, conflict)
        self._view.apply_assignment(content, self.revision, "own")

    def was_overtaken(self) -> bool:
        """Return whether a later assignment than the own one is known."""
        return self._view.assignment_revision > self.revision > 0

    async def _write_surely(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> int:
        """Write; repeat a write whose answer was lost.

        The same write under the same conditions takes effect once at most.
        """
        try:
            return await self._store.write(conditions, writes)
        except StoreOutcomeUnknown:
            return await self._store.write(conditions, writes)


def _revision_of(content: bytes, conflict: ConflictingWrite) -> int:
    """Return the revision of a write that was done without an answer.

    :raises ConflictingWrite: the store holds something else.
    """
    for item in conflict.current_items:
        if item.key == ASSIGNMENT_KEY and item.value == content:
            return item.revision
    raise conflict
