"""The table that a new coordinator starts from."""

from __future__ import annotations

__all__ = ["apply_inquiry_answers", "recover_table"]

from collections.abc import Mapping

from .grants import GrantAnswer
from .slices import NO_OWNER, SliceTable


def recover_table(
    service: str,
    slice_count: int,
    newest: SliceTable | None,
    answers: Mapping[str, GrantAnswer],
) -> SliceTable:
    """Return the table to start from.

    :param newest: newest table that was found, if any. If it has another slice count,
        its owners are dropped and only its version is kept.
    :param answers: answer of each server to an inquiry; empty if the table is
        certainly the newest.
    """
    if newest is None or len(newest.owners) != slice_count:
        version = newest.version if newest else 0
        owners = (NO_OWNER,) * slice_count
        newest = SliceTable(service, version, 0, owners, {}, {})
    return apply_inquiry_answers(newest, answers)


def apply_inquiry_answers(
    table: SliceTable, answers: Mapping[str, GrantAnswer]
) -> SliceTable:
    """Return the table with owners that were granted under newer tables.

    The newest answer that lists a slice overrides the table when its grant is of the
    table's epoch or a later one and the table's owner has no newer grant. Used
    only when the table may be outdated; otherwise a slice that is being moved would
    return to its old owner.

    :param table: newest table that was found.
    :param answers: answer of each server to an inquiry.
    """
    owners = list(table.owners)
    hot_keys = dict(table.hot_keys)
    ranked = sorted(
        answers.items(), key=lambda item: (item[1].held_epoch, item[1].held_sequence)
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
