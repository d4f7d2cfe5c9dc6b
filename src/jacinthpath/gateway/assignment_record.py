"""Stores the assignment, on condition that the leader's record still exists."""

from __future__ import annotations

__all__ = ["AssignmentRecord"]

from ..errors import JacinthpathError, StoreError, StoreOutcomeUnknown
from .assignment import Assignment, decode_assignment, encode_assignment
from .cluster_view import ASSIGNMENT_KEY, LEADER_KEY, ClusterView
from .store import Condition, ConflictingWrite, Item, Store, Write


class AssignmentRecord:
    """Reads and writes the assignment, for one leadership of this host.

    :param leader_revision: revision of the leader's record. A write fails if the record
        is gone or has another revision.
    """

    def __init__(self, store: Store, view: ClusterView, leader_revision: int) -> None:
        self.revision = 0
        self._store = store
        self._view = view
        self._leader_revision = leader_revision

    async def read(self) -> Assignment | None:
        """Return the stored assignment, or ``None`` if there is none.

        A store that came back from an older copy may lack writes that this host has
        seen. The newest known assignment is returned then.

        :raises StoreError: it cannot be read or decoded.
        """
        item = await self._store.read(ASSIGNMENT_KEY)
        known = self._view.assignment if self._view.assignment_revision else None
        if item is None:
            return known
        self._view.apply_assignment(item.value, item.revision, "store")
        self.revision = item.revision
        if self._view.assignment_revision == item.revision:
            return self._view.assignment
        if known is None or not self._is_older(item):
            raise StoreError(
                "The stored assignment cannot be decoded.",
                "See the event document_refused.",
            )
        return known

    def _is_older(self, item: Item) -> bool:
        """Return whether the stored assignment is older than the known one."""
        try:
            stored = decode_assignment(item.value)
        except JacinthpathError:
            return False
        return stored.fence <= self._view.assignment.fence

    async def write(self, assignment: Assignment) -> None:
        """Write the assignment.

        :raises StoreError: it was not written.
        :raises ConflictingWrite: another leader has written, or the leader's record is
            gone.
        """
        content = encode_assignment(assignment)
        conditions = (
            Condition(ASSIGNMENT_KEY, self.revision),
            Condition(LEADER_KEY, self._leader_revision),
        )
        writes = (Write(ASSIGNMENT_KEY, content),)
        try:
            self.revision = await self._write_with_retry(conditions, writes)
        except ConflictingWrite as conflict:
            self.revision = _written_revision(content, conflict)
        self._view.apply_assignment(content, self.revision, "own")

    def is_superseded(self) -> bool:
        """Return whether an assignment newer than the last written one is known."""
        return self._view.assignment_revision > self.revision > 0

    async def _write_with_retry(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> int:
        """Write, and retry once if the outcome is unknown.

        The same write under the same conditions takes effect at most once.
        """
        try:
            return await self._store.write(conditions, writes)
        except StoreOutcomeUnknown:
            return await self._store.write(conditions, writes)


def _written_revision(content: bytes, conflict: ConflictingWrite) -> int:
    """Return the revision of an earlier write whose response was lost.

    :raises ConflictingWrite: the store contains something else.
    """
    for item in conflict.current_items:
        if item.key == ASSIGNMENT_KEY and item.value == content:
            return item.revision
    raise conflict
