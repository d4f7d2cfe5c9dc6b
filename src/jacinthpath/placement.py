"""Placement of slices and hot keys on servers.

:func:`plan_moves` compares a slice table with the servers that are up and returns the
next batch of moves. :class:`Placement` adds the state that is kept from one plan to
the next: the loads, the hot keys and whether balancing has reached its goal.
"""

from __future__ import annotations

__all__ = [
    "BalancingLimits",
    "MeasuredLoads",
    "Move",
    "Placement",
    "Plan",
    "ServerState",
    "apply_plan",
    "initial_owners",
    "plan_moves",
]

import heapq
from collections.abc import Collection, Iterable, Mapping, Sequence
from functools import lru_cache
from typing import NamedTuple

from ._balancing import (
    MIN_UNIT_TO_MEAN_SLICE,
    BalancingLimits,
    ServerState,
    Unit,
    UnitAssignment,
    choose_moves,
)
from .hashing import slice_of
from .hotkeys import HotKeySelector, LoadReport, LoadWindow
from .slices import NO_OWNER, SliceTable

DEFAULT_LIMITS = BalancingLimits()


class MeasuredLoads(NamedTuple):
    """Requests in the load window.

    :param slices: load of each slice, without the keys that are placed individually.
    :param keys: load of each key that is placed individually.
    """

    slices: Sequence[float]
    keys: Mapping[int, float]


class Move(NamedTuple):
    """Change of the owner of one slice or hot key.

    :param unit: slice or key to move.
    :param source: owner in the table; may be a lost server or :data:`NO_OWNER`.
    :param target: server that becomes the owner.
    """

    unit: Unit
    source: str
    target: str


class Plan(NamedTuple):
    """One batch of changes to a slice table.

    :param moves: changes of owners.
    :param splits: keys to place individually, with the owner of their slice; applied
        before the moves; the owner stays the same.
    :param merges: hot keys to drop from the table because the owner of their slice
        already owns them.
    :param urgent: whether the moves replace an owner that is lost or leaving, so that
        they need not wait for a batch in flight.
    :param unfinished: whether the batch was cut off at its limit; the next plan should
        then be requested with ``continuing``.
    """

    moves: tuple[Move, ...] = ()
    splits: Mapping[int, str] = {}
    merges: tuple[int, ...] = ()
    urgent: bool = False
    unfinished: bool = False


def initial_owners(
    slice_count: int, servers: Mapping[str, ServerState]
) -> tuple[str, ...]:
    """Return owners for a service without a table, in proportion to the weights.

    The result depends only on the arguments, not on the order of ``servers``.
    Leaving servers receive nothing unless all servers are leaving.
    """
    usable = _usable_servers(servers)
    heap = [(1 / state.weight, name) for name, state in sorted(usable.items())]
    if not heap:
        return (NO_OWNER,) * slice_count
    heapq.heapify(heap)
    owners = []
    for _ in range(slice_count):
        load, name = heap[0]
        owners.append(name)
        heapq.heapreplace(heap, (load + 1 / usable[name].weight, name))
    return tuple(owners)


def plan_moves(
    table: SliceTable,
    servers: Mapping[str, ServerState],
    loads: MeasuredLoads | None = None,
    *,
    pending: Collection[Move] = (),
    returning_keys: Collection[int] = (),
    continuing: bool = False,
    limits: BalancingLimits = DEFAULT_LIMITS,
) -> Plan:
    """Return the next batch of moves, or an empty plan.

    Slices and hot keys whose owner is missing, lost or leaving all move at once, and
    nothing else moves with them. If there are none and no batch is in flight, load
    moves from servers above their share to servers below it, up to ``limits.batch``
    units.

    :param table: table in force; :data:`NO_OWNER` marks a unit that is being moved.
    :param servers: servers that are up; one that is absent is lost.
    :param loads: measured loads; ``None`` balances the number of slices.
    :param pending: moves in flight.
    :param returning_keys: hot keys that should move to the owner of their slice.
    :param continuing: whether the previous plan was ``unfinished``.
    """
    usable = _usable_servers(servers)
    if not usable:
        return Plan()
    assignment = _build_assignment(table, usable, loads, pending, limits)
    if assignment.unassigned:
        return Plan(moves=_spread_unassigned(assignment, table), urgent=True)
    if pending:
        return Plan()
    returns = _key_return_moves(table, returning_keys)[: limits.batch]
    assignment.pinned.update(move.unit for move in returns)
    balancing_moves, unfinished = choose_moves(
        assignment, limits, limits.batch - len(returns), continuing
    )
    moves = (Move(*move) for move in balancing_moves)
    return Plan(moves=(*returns, *moves), unfinished=unfinished)


def apply_plan(table: SliceTable, plan: Plan) -> SliceTable:
    """Return the next version of a table, with a plan's splits, moves and merges."""
    owners = list(table.owners)
    hot_keys = {**table.hot_keys, **plan.splits}
    for unit, _, target in plan.moves:
        if unit.kind == "key":
            hot_keys[unit.index] = target
        else:
            owners[unit.index] = target
    for key in plan.merges:
        hot_keys.pop(key, None)
    return table._replace(
        version=table.version + 1, owners=tuple(owners), hot_keys=hot_keys
    )


def _usable_servers(servers: Mapping[str, ServerState]) -> dict[str, ServerState]:
    """Return the servers that may own units.

    When every server is leaving, each keeps its units: an owner that leaves soon is
    better than none.
    """
    remaining = {name: state for name, state in servers.items() if not state.leaving}
    return remaining or dict(servers)


@lru_cache(maxsize=8)
def _slice_units(slice_count: int) -> tuple[Unit, ...]:
    return tuple(Unit("slice", index) for index in range(slice_count))


def _build_assignment(
    table: SliceTable,
    usable: Mapping[str, ServerState],
    loads: MeasuredLoads | None,
    pending: Collection[Move],
    limits: BalancingLimits,
) -> UnitAssignment:
    slice_count = len(table.owners)
    if loads is None:
        loads = MeasuredLoads((0.0,) * slice_count, {})
    assignment = UnitAssignment(usable, limits.overloaded_share)
    # Shrinkage towards equal slice loads keeps sparse samples from looking like an
    # imbalance, and spreads slices without traffic evenly.
    prior = limits.prior_requests * len(usable) / slice_count
    targets = {move.unit: move.target for move in pending}
    for unit, owner, load in zip(
        _slice_units(slice_count), table.owners, loads.slices, strict=True
    ):
        assignment.place(unit, load + prior, targets.get(unit, owner), unit in targets)
    for key, owner in table.hot_keys.items():
        unit = Unit("key", key)
        load = loads.keys.get(key, 0.0)
        assignment.place(unit, load, targets.get(unit, owner), unit in targets)
    assignment.measured_load = sum(loads.slices) + sum(loads.keys.values())
    assignment.set_shares()
    assignment.min_unit_load = MIN_UNIT_TO_MEAN_SLICE * (
        prior + sum(loads.slices) / slice_count
    )
    return assignment


def _spread_unassigned(
    assignment: UnitAssignment, table: SliceTable
) -> tuple[Move, ...]:
    """Spread units without a usable owner over the least utilized servers.

    A server that has received twice its share of the batch receives no more while
    others are left, so that an empty server that has just started does not get all
    of it.
    """
    units = sorted(assignment.unassigned, key=lambda entry: (-entry[0], entry[1]))
    receivers = assignment.receivers()
    weights = {name: assignment.servers[name].weight for name in receivers}
    load_per_weight = sum(load for load, _ in units) / sum(weights.values())
    allowance = {name: 2 * load_per_weight * weights[name] for name in receivers}
    heap = [(assignment.utilization(name), name) for name in receivers]
    heapq.heapify(heap)
    moves = []
    for load, unit in units:
        while len(heap) > 1 and allowance[heap[0][1]] <= 0:
            heapq.heappop(heap)
        target = heap[0][1]
        allowance[target] -= load
        assignment.place(unit, load, target)
        heapq.heapreplace(heap, (assignment.utilization(target), target))
        moves.append(Move(unit, _owner(table, unit), target))
    return tuple(moves)


def _key_return_moves(table: SliceTable, keys: Iterable[int]) -> list[Move]:
    moves = []
    for key in sorted(keys):
        owner = table.hot_keys.get(key, NO_OWNER)
        slice_owner = table.owners[slice_of(key, len(table.owners))]
        if NO_OWNER not in (owner, slice_owner) and owner != slice_owner:
            moves.append(Move(Unit("key", key), owner, slice_owner))
    return moves


def _owner(table: SliceTable, unit: Unit) -> str:
    if unit.kind == "key":
        return table.hot_keys[unit.index]
    return table.owners[unit.index]


class Placement:
    """Placement state of one service, which its coordinator keeps in memory.

    A new coordinator starts with an empty load window: it balances the number of
    slices until the first reports arrive, and keeps the hot keys that it finds in the
    table.

    :param slice_count: number of slices in the service's hash space.
    :param selector: decides which keys are placed individually.
    """

    def __init__(
        self,
        slice_count: int,
        limits: BalancingLimits = DEFAULT_LIMITS,
        selector: HotKeySelector | None = None,
    ) -> None:
        self.window = LoadWindow(slice_count)
        self._limits = limits
        self._selector = selector or HotKeySelector()
        self._continuing = False

    def add_report(self, report: LoadReport, now: float) -> None:
        """Add a router's load report, which arrived at ``now``."""
        self.window.add(report, now)

    def plan(
        self,
        now: float,
        table: SliceTable,
        servers: Mapping[str, ServerState],
        pending: Collection[Move] = (),
    ) -> Plan:
        """Return the next batch of changes to a table.

        No key is split or merged while moves are in flight.

        :param table: table in force; :data:`NO_OWNER` marks a unit that is being moved.
        :param servers: servers that are up; one that is absent is lost.
        :param pending: moves in flight.
        """
        self.window.decay(now)
        splits, merging = (
            ({}, ()) if pending else self._select_hot_keys(now, table, servers)
        )
        table = table._replace(hot_keys={**table.hot_keys, **splits})
        plan = plan_moves(
            table,
            servers,
            self._measured_loads(table),
            pending=pending,
            returning_keys=merging,
            continuing=self._continuing,
            limits=self._limits,
        )
        if not pending and not plan.urgent:
            self._continuing = plan.unfinished
        return plan._replace(
            splits=splits, merges=_finished_merges(table, merging, plan)
        )

    def _select_hot_keys(
        self, now: float, table: SliceTable, servers: Mapping[str, ServerState]
    ) -> tuple[dict[int, str], tuple[int, ...]]:
        fair_load = self.window.total() / max(1, len(_usable_servers(servers)))
        decision = self._selector.decide(
            now, table.hot_keys, self.window.key_loads, fair_load
        )
        owners = table.owners
        slice_owners = {
            key: owners[slice_of(key, len(owners))] for key in decision.split
        }
        splits = {key: owner for key, owner in slice_owners.items() if owner in servers}
        return splits, decision.merge

    def _measured_loads(self, table: SliceTable) -> MeasuredLoads:
        slices = list(self.window.slice_loads)
        keys = {key: self.window.key_loads.get(key, 0.0) for key in table.hot_keys}
        for key, load in keys.items():
            index = slice_of(key, len(slices))
            slices[index] = max(0.0, slices[index] - load)
        return MeasuredLoads(slices, keys)


def _finished_merges(
    table: SliceTable, merging: Collection[int], plan: Plan
) -> tuple[int, ...]:
    """Return the merging keys whose slice has the same owner, where neither moves."""
    moving = {move.unit for move in plan.moves}
    finished = []
    for key in merging:
        index = slice_of(key, len(table.owners))
        same_owner = table.hot_keys[key] == table.owners[index] != NO_OWNER
        if same_owner and moving.isdisjoint((Unit("key", key), Unit("slice", index))):
            finished.append(key)
    return tuple(finished)
