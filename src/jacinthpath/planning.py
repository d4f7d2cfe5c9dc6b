"""Interface between a coordinator and its planner."""

from __future__ import annotations

__all__ = ["PlacementPlan", "Planner", "apply_plan_keeping_version"]

from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from .configuration import Endpoint
from .slices import SliceTable


class PlacementPlan(Protocol):
    """Result of a planner, such as :class:`jacinthpath.placement.Plan`.

    Each move has a ``unit``, with a ``kind`` (``slice`` or ``key``) and an ``index``,
    and a ``target`` server. ``splits`` maps the keys to place individually to their
    owner; ``merges`` are the hot keys to merge back into their slice.
    """

    moves: Iterable[Any]
    splits: Mapping[int, str]
    merges: Iterable[int]


Planner = Callable[[SliceTable, Mapping[str, Endpoint], Any], PlacementPlan]


def apply_plan_keeping_version(table: SliceTable, plan: PlacementPlan) -> SliceTable:
    """Return a table with a plan's splits, moves and merges, under the same version."""
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
