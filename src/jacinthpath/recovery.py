"""The table that a new coordinator starts from."""

from __future__ import annotations

__all__ = ["adopt_claims", "recover_table"]

from collections.abc import Mapping

from .grants import GrantAnswer
from .slices import NO_OWNER, SliceTable


def recover_table(
    service: str,
    slice_count: int,
    newest: SliceTable | None,
    claims: Mapping[str, GrantAnswer],
) -> SliceTable:
    """Return the table to start from.

    :param newest: newest table that was found, if any; of one with another slice
        count only the version is used, to continue from.
    :param claims: answers of servers to inquiries, where the table that was
        found may be outdated.
    """
    if newest is None or len(newest.owners) != slice_count:
        version = newest.version if newest else 0
        owners = (NO_OWNER,) * slice_count
        newest = SliceTable(service, version, 0, owners, {}, {})
    return adopt_claims(newest, claims)


def adopt_claims(table: SliceTable, claims: Mapping[str, GrantAnswer]) -> SliceTable:
    """Return the table with owners that were granted under newer tables.

    The newest claim of a slice overrides the table when its grant is of the
    table's epoch or a later one and the table's owner has no newer claim. Used
    only when the table may be outdated; otherwise a slice in handoff would return
    to its old owner.

    :param table: newest table that was found.
    :param claims: answer of each server to an inquiry.
    """
    owners = list(table.owners)
    hot_keys = dict(table.hot_keys)
    ranked = sorted(
        claims.items(), key=lambda item: (item[1].held_epoch, item[1].held_sequence)
    )
    for server, answer in ranked:
        if answer.held is None or answer.held_epoch < table.epoch:
            continue
        for index in answer.held:
            if index < len(owners):
                owners[index] = server
        for hash_value, owned in answer.held_hot_keys.items():
            if owned:
                hot_keys[hash_value] = server
    return table._replace(owners=tuple(owners), hot_keys=hot_keys)
