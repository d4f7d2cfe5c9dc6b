"""What a coordinator needs of a planner."""

from __future__ import annotations

__all__ = ["PlacementPlan", "Planner", "apply_plan_keeping_version"]

from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from .configuration import Endpoint
from .slices import SliceTable


class PlacementPlan(Protocol):
    """Result of a planner, such as a ``Plan`` of :mod:`jacinthpath.placement`.

    A move has a ``unit``, with ``kind`` (``slice`` or ``key``) and ``index``, and
    a ``target`` server. ``splits`` are keys to place alone, ``merges`` hot keys
    that join their slice.
    """

    moves: Iterable[Any]
    splits: Mapping[int, str]
    merges: Iterable[int]


Planner = Callable[[SliceTable, Mapping[str, Endpoint], Any], PlacementPlan]


def apply_plan_keeping_version(table: SliceTable, plan: PlacementPlan) -> SliceTable:
    """Return the table with the moves, splits and merges of a plan."""
    owners = list(table.owners)
    hot_keys = {**table.hot_keys, **plan.splits}
    for move in plan.moves:
        if move.unit.kind == "key":
            hot_keys[move.unit.index] = move.target
        else:
            owners[move.unit.index] = move.target
    for hash_value in plan.merges:
        hot_keys.pop(hash_value, None)
    return table._replace(owners=tuple(owners), hot_keys=hot_keys)
