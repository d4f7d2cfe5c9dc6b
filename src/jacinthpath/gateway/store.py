"""What a gateway needs of the platform's store."""

from __future__ import annotations

__all__ = [
    "CallFailure",
    "Change",
    "Changes",
    "Condition",
    "ConflictingWrite",
    "HistoryLost",
    "Item",
    "Items",
    "Lease",
    "LeaseEnded",
    "Store",
    "Write",
]

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from ..errors import StoreError


class HistoryLost(StoreError):
    """The changes after a revision are no longer available."""


class CallFailure(NamedTuple):
    """One way in which a call of the store fails.

    :param outcome: ``unavailable`` when nothing was done, or ``outcome-unknown``.
    """

    call: str
    outcome: str


class LeaseEnded(StoreError):
    """The store knows no such lease."""


class Item(NamedTuple):
    """A key with its value.

    :param revision: revision of its last change.
    """

    key: str
    value: bytes
    revision: int


class Items(NamedTuple):
    """Items under a prefix; ``revision`` is that of the store at the first page."""

    items: tuple[Item, ...]
    revision: int


class Change(NamedTuple):
    """A change of a key; ``value`` is ``None`` when it was removed."""

    key: str
    value: bytes | None
    revision: int


class Changes(NamedTuple):
    """Changes after a revision; a watch continues from ``revision``."""

    changes: tuple[Change, ...]
    revision: int


class Condition(NamedTuple):
    """A key has to be at this revision; 0 means that it does not exist."""

    key: str
    revision: int


class Write(NamedTuple):
    """A value to write; with a lease it is removed when the lease ends."""

    key: str
    value: bytes
    lease_id: int = 0


class Lease(NamedTuple):
    """A lease and the time that applies, counted from the arrival of the call."""

    lease_id: int
    ttl_s: float


class ConflictingWrite(StoreError):
    """A conditional write found other revisions.

    :param current_items: the keys of the conditions as they are now.
    """

    def __init__(self, current: tuple[Item, ...]) -> None:
        super().__init__(
            "Another write came first.", "Read the values and decide again."
        )
        self.current_items = current


class Store(Protocol):
    """Calls to the platform's store.

    Every call raises :class:`~jacinthpath.errors.StoreUnavailable` when nothing
    was done, and :class:`~jacinthpath.errors.StoreOutcomeUnknown` when a write may
    have been done or may still be.

    :ivar calls: calls made, by name.
    :ivar failures: how many of them failed, by name and outcome.
    """

    calls: Mapping[str, int]
    failures: Mapping[CallFailure, int]

    async def read(self, key: str) -> Item | None:
        """Return a key, or ``None``."""

    async def list(self, prefix: str) -> Items:
        """Return all keys under a prefix."""

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait for changes after a revision.

        :raises HistoryLost: the history no longer reaches back that far.
        """

    async def write(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> int:
        """Write all values if all conditions hold; return the revision.

        :raises ConflictingWrite: a condition did not hold.
        :raises LeaseEnded: a lease does not exist.
        """

    async def create_lease(self, ttl_s: float) -> Lease:
        """Create a lease."""

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease.

        :raises LeaseEnded: it has ended.
        """

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
