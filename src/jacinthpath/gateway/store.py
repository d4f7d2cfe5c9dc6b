"""Interface of the platform's store, as a gateway uses it."""

from __future__ import annotations

__all__ = [
    "CallFailure",
    "Change",
    "ChangeBatch",
    "Condition",
    "ConflictingWrite",
    "HistoryLost",
    "Item",
    "Lease",
    "LeaseEnded",
    "Listing",
    "Store",
    "Write",
]

from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

from ..errors import StoreError


class HistoryLost(StoreError):
    """The changes after a revision are no longer available."""


class CallFailure(NamedTuple):
    """A kind of store call and the way in which it failed.

    :param outcome: ``unavailable`` when nothing was done, or ``outcome-unknown``.
    """

    call: str
    outcome: str


class LeaseEnded(StoreError):
    """The lease has expired, was revoked or never existed."""


class Item(NamedTuple):
    """A key with its value.

    :param revision: revision of the last change of the key.
    """

    key: str
    value: bytes
    revision: int


class Listing(NamedTuple):
    """Items under a prefix; ``revision`` is the store's at the first page."""

    items: tuple[Item, ...]
    revision: int


class Change(NamedTuple):
    """A change of a key; ``value`` is ``None`` when the key was removed."""

    key: str
    value: bytes | None
    revision: int


class ChangeBatch(NamedTuple):
    """Changes after a revision; the next watch continues after ``revision``."""

    changes: tuple[Change, ...]
    revision: int


class Condition(NamedTuple):
    """Requires a key to be at a revision; 0 requires that it does not exist."""

    key: str
    revision: int


class Write(NamedTuple):
    """A value to write; with a lease the key is removed when the lease ends."""

    key: str
    value: bytes
    lease_id: int = 0


class Lease(NamedTuple):
    """A lease and the TTL in force, counted from the arrival of the call."""

    lease_id: int
    ttl_s: float


class ConflictingWrite(StoreError):
    """A conditional write found a key at another revision.

    :param current_items: current items of the keys in the conditions; a key that does
        not exist has none.
    """

    def __init__(self, current: tuple[Item, ...]) -> None:
        super().__init__(
            "A condition of the write does not hold.",
            "Read the values and decide again.",
        )
        self.current_items = current


class Store(Protocol):
    """Calls to the platform's store.

    Every call raises :class:`~jacinthpath.errors.StoreUnavailable` when nothing
    was done, and :class:`~jacinthpath.errors.StoreOutcomeUnknown` when a write may
    have been done or may still be.

    Revisions and lease ids contain the era, see :mod:`jacinthpath.gateway.revisions`.

    :ivar era: highest era that a response of the store had.
    :ivar malformed_eras: responses whose era could not be read.
    :ivar calls: calls made, by name.
    :ivar failures: how many of them failed, by name and outcome.
    """

    era: int
    malformed_eras: int
    calls: Mapping[str, int]
    failures: Mapping[CallFailure, int]

    async def read(self, key: str) -> Item | None:
        """Return the item of a key, or ``None`` if it does not exist."""

    async def list(
        self, prefix: str, handle_page: Callable[[Listing], None] | None = None
    ) -> Listing:
        """Return all items under a prefix.

        :param handle_page: called with each page but the last as it arrives.
        """

    async def watch(self, prefix: str, after: int, wait_s: float) -> ChangeBatch:
        """Wait for changes after a revision.

        :param wait_s: longest time to wait; without a change the batch is empty.
        :raises HistoryLost: the history no longer reaches back that far.
        """

    async def write(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> int:
        """Write all values if all conditions hold; return the revision.

        :raises ConflictingWrite: a condition did not hold.
        :raises LeaseEnded: the lease of a write does not exist.
        """

    async def create_lease(self, ttl_s: float) -> Lease:
        """Create a lease."""

    async def renew_lease(self, lease_id: int) -> None:
        """Renew a lease.

        :raises LeaseEnded: it has ended.
        """

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and remove its keys."""
