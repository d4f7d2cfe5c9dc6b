"""The newest table of a coordinator until it is durable and published."""

from __future__ import annotations

__all__ = ["TableDraft", "first_version"]

import math
from collections.abc import Iterable, Mapping

from .holdings import key_item
from .slices import NO_OWNER, SliceTable
from .vouches import generation_of, round_of

WRITE_RETRY_INTERVAL_S = 0.1


_ROUND_BITS = 12
_TABLE_BITS = 20


def first_version(epoch: int) -> int:
    """Return the lowest table version of an epoch.

    A later epoch starts above every version of an earlier one, so that versions
    alone order tables, including those that a successor could not find.
    """
    round_ = min(round_of(epoch), (1 << _ROUND_BITS) - 1)
    return generation_of(epoch) << (_ROUND_BITS + _TABLE_BITS) | round_ << _TABLE_BITS


class TableDraft:
    """Tracks the newest table until it is durable and published.

    A table is durable once the store has it, or once hosts in a majority of data
    centres have it. Any successor sends inquiries to hosts in enough data
    centres to find one of those copies.

    :param data_centre: where the coordinator runs; it stores a copy itself.
    :param data_centres: all data centres of the system.
    """

    def __init__(self, data_centre: str, data_centres: Iterable[str]) -> None:
        self._data_centre = data_centre
        self._majority = len(set(data_centres)) // 2 + 1
        self.table: SliceTable | None = None
        self.durable = False
        self.published_version = 0
        self._replicated_in: set[str] = set()
        self._last_write = -math.inf
        self._targets: dict[str, frozenset[int]] = {}
        self._targets_source: tuple[SliceTable | None, frozenset[int]] = (
            None,
            frozenset(),
        )

    def replace(self, table: SliceTable) -> None:
        """Replace the table with a newer one, which is not durable yet."""
        self.table = table
        self.durable = False
        self._replicated_in = {self._data_centre}
        self._last_write = -math.inf

    def record_write(self, epoch: int, version: int) -> None:
        """Record that the store holds a table."""
        if self._is_current(epoch, version):
            self.durable = True

    def record_copy(self, epoch: int, version: int, data_centre: str) -> None:
        """Record that a host of a data centre stores a copy."""
        if self._is_current(epoch, version):
            self._replicated_in.add(data_centre)
            self.durable = self.durable or len(self._replicated_in) >= self._majority

    def is_write_due(self, now: float) -> bool:
        """Whether to write the table now; repeatedly true until it is durable."""
        if self.durable or now < self._last_write + WRITE_RETRY_INTERVAL_S:
            return False
        self._last_write = now
        return True

    def is_publication_due(self) -> bool:
        """Whether to publish the table; true once for each table."""
        if not self.durable or self.published_version == self.table.version:
            return False
        self.published_version = self.table.version
        return True

    def owners(self) -> set[str]:
        """Return all owners, with ``NO_OWNER`` if anything has no owner."""
        if self.table is None:
            return set()
        return {*self.table.owners, *self.table.hot_keys.values()}

    def targets(self, tracked_keys: frozenset[int]) -> Mapping[str, frozenset[int]]:
        """Return the items that the table assigns to each server.

        :param tracked_keys: hashes of the keys that are placed separately.
        """
        if self._targets_source != (self.table, tracked_keys):
            self._targets = _items_by_owner(self.table, tracked_keys)
            self._targets_source = self.table, tracked_keys
        return self._targets

    def _is_current(self, epoch: int, version: int) -> bool:
        table = self.table
        return table is not None and (table.epoch, table.version) == (epoch, version)


def _items_by_owner(
    table: SliceTable | None, tracked_keys: frozenset[int]
) -> dict[str, frozenset[int]]:
    items: dict[str, set[int]] = {}
    if table is None:
        return {}
    for index, owner in enumerate(table.owners):
        items.setdefault(owner, set()).add(index)
    for hash_value in tracked_keys:
        items.setdefault(table.owner_of(hash_value), set()).add(key_item(hash_value))
    items.pop(NO_OWNER, None)
    return {server: frozenset(held) for server, held in items.items()}
