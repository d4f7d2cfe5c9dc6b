"""Chooses moves of units between servers, for :mod:`jacinthpath.placement`."""

from __future__ import annotations

__all__ = [
    "BalancingLimits",
    "ServerState",
    "Unit",
    "UnitAssignment",
    "choose_moves",
]

from collections.abc import Mapping
from math import sqrt
from typing import NamedTuple


class ServerState(NamedTuple):
    """State of a server that is up, as placement sees it.

    :param weight: capacity relative to other servers, above zero.
    :param leaving: whether it gives up everything and receives nothing.
    :param overloaded: whether it gives up part of its share and receives nothing.
    """

    weight: float = 1.0
    leaving: bool = False
    overloaded: bool = False


class Unit(NamedTuple):
    """Unit of placement, which is owned and moved as a whole.

    :param kind: ``slice`` or ``key``.
    :param index: slice index or key hash.
    """

    kind: str
    index: int


class BalancingLimits(NamedTuple):
    """Limits that trade balance against churn.

    The utilization of a server is its load divided by its share of the total load.

    :param batch: maximum number of units in a batch of moves.
    :param tolerance: balancing starts when a utilization leaves ``1 ± tolerance``.
        Half of the allowed 20% leaves room for changes while a batch is in flight.
    :param goal: balancing ends when all utilizations are within ``1 ± goal``. The
        hysteresis between ``goal`` and ``tolerance`` keeps a server near the bound
        from moving slices back and forth.
    :param noise_margin: lower limit of ``tolerance``, in standard deviations of the
        sampling noise. With three, 6 of 400 windows of 500 requests of even traffic
        over ten servers moved slices; with four, none did.
    :param prior_requests: requests added for each server, spread evenly over the
        slices.
    :param min_relative_load: lightest unit worth a move, as a fraction of the mean
        slice load of its server.
    :param overloaded_share: share of an overloaded server, as a fraction of its
        normal share.
    """

    batch: int = 8
    tolerance: float = 0.10
    goal: float = 0.03
    noise_margin: float = 4.0
    prior_requests: float = 50.0
    min_relative_load: float = 0.25
    overloaded_share: float = 0.8


# Cost of moving a key relative to a slice, which holds about a thousandth of all
# keys.
KEY_MOVE_COST = 0.15

# A unit whose move takes the source below its share costs more, since further moves
# have to bring other units to the source.
OVERSHOOT_COST = 3.0


# A key moves away from other keys only if the receiver's key load by weight is then at
# most this fraction of the source's, so that small gains cause no moves.
MAX_SEPARATION_RATIO = 0.9

# Lightest unit worth a move, as a fraction of the mean slice load of all servers.
MIN_UNIT_TO_MEAN_SLICE = 0.02


# Heaviest unit worth a move, relative to the load whose move would leave both servers
# equally utilized. With 1.0, two heavy units could stay on one server because no unit
# fitted.
MAX_UNIT_TO_EQUALIZING_LOAD = 1.8


class UnitAssignment:
    """Assignment of units to servers, with their loads.

    :param servers: servers that may own units.
    :param overloaded_share: see :class:`BalancingLimits`.
    """

    def __init__(
        self, servers: Mapping[str, ServerState], overloaded_share: float
    ) -> None:
        self.servers = servers
        self.loads = dict.fromkeys(servers, 0.0)
        self.shares = dict.fromkeys(servers, 0.0)
        self.units: dict[str, dict[Unit, float]] = {name: {} for name in servers}
        self.key_loads = dict.fromkeys(servers, 0.0)
        self.pinned: set[Unit] = set()
        self.unassigned: list[tuple[float, Unit]] = []
        self.measured_load = 0.0
        self.min_unit_load = 0.0
        self.weights = {
            name: state.weight * (overloaded_share if state.overloaded else 1.0)
            for name, state in servers.items()
        }
        self._total = 0.0

    def place(
        self, unit: Unit, load: float, server: str, in_flight: bool = False
    ) -> None:
        """Assign a unit to a server, or leave it unassigned if the server is unknown.

        :param in_flight: whether the unit counts for the server but must not move.
        """
        if server not in self.servers:
            self.unassigned.append((load, unit))
            return
        self.loads[server] += load
        self.units[server][unit] = load
        if unit.kind == "key":
            self.key_loads[server] += load
        if in_flight:
            self.pinned.add(unit)

    def move(self, unit: Unit, source: str, target: str) -> None:
        """Move a unit between servers and pin it to the target."""
        load = self.units[source].pop(unit)
        self.loads[source] -= load
        if unit.kind == "key":
            self.key_loads[source] -= load
        self.place(unit, load, target, in_flight=True)
        self.set_shares()

    def set_shares(self) -> None:
        """Divide the total load into shares in proportion to the weights.

        A unit that exceeds its server's share cannot be divided: the server's share
        is then the load of that unit, and the other servers share the rest.
        """
        self._total = sum(self.loads.values()) + sum(
            load for load, _ in self.unassigned
        )
        weights = dict(self.weights)
        largest = {name: max(self.units[name].values(), default=0) for name in weights}
        remaining = self._total
        while weights:
            load_per_weight = remaining / sum(weights.values())
            above = [
                name
                for name in weights
                if largest[name] > load_per_weight * weights[name]
            ]
            if not above:
                break
            for name in above:
                self.shares[name] = largest[name]
                remaining -= largest[name]
                del weights[name]
        for name, weight in weights.items():
            self.shares[name] = load_per_weight * weight

    def utilization(self, server: str) -> float:
        """Return a server's load divided by its share."""
        return self.loads[server] / max(self.shares[server], 1e-9)

    def would_exceed_share(self, key_load: float, server: str) -> bool:
        """Return whether one more key would take a server's keys above its share.

        A key that exceeds the share by itself still fits on a server without keys.
        """
        keys = self.key_loads[server] + key_load
        return keys > max(self.shares[server], key_load)

    def mean_slice(self, server: str) -> float:
        """Return the mean load of a server's slices, or 0 if it has none."""
        units = self.units[server].items()
        slices = [load for unit, load in units if unit.kind == "slice"]
        return sum(slices) / max(1, len(slices))

    def receivers(self) -> list[str]:
        """Return the servers that may receive units.

        Overloaded servers are among them only if all are overloaded.
        """
        names = sorted(self.servers)
        preferred = [name for name in names if not self.servers[name].overloaded]
        return preferred or names

    def noise(self) -> float:
        """Return the relative sampling error of the load of an average server."""
        mean_measured = self.measured_load / len(self.servers)
        mean = self._total / len(self.servers)
        return sqrt(mean_measured) / max(mean, 1e-9)


# Unit, source and target.
UnitMove = tuple[Unit, str, str]


def choose_moves(
    assignment: UnitAssignment, limits: BalancingLimits, count: int, continuing: bool
) -> tuple[list[UnitMove], bool]:
    """Move load between servers; return the moves and whether more are needed.

    :param count: maximum number of moves.
    :param continuing: aim for the goal even if no utilization exceeds the tolerance.
    """
    tolerance = max(limits.tolerance, limits.noise_margin * assignment.noise())
    goal = max(limits.goal, tolerance * limits.goal / limits.tolerance)
    if not continuing and not _is_unbalanced(assignment, tolerance):
        return [], False
    moves: list[UnitMove] = []
    while len(moves) < count:
        move = _separate_keys(assignment, goal)
        move = move or _next_move(assignment, goal, limits.min_relative_load)
        if move is None:
            return moves, False
        assignment.move(*move)
        moves.append(move)
    return moves, _next_move(assignment, goal, limits.min_relative_load) is not None


def _is_unbalanced(assignment: UnitAssignment, tolerance: float) -> bool:
    utilizations = [assignment.utilization(name) for name in assignment.servers]
    lowest = min(assignment.utilization(name) for name in assignment.receivers())
    return max(utilizations) > 1 + tolerance or lowest < 1 - tolerance


def _separate_keys(assignment: UnitAssignment, goal: float) -> UnitMove | None:
    """Return a move of a key away from a server whose keys alone exceed its share.

    Moving slices away from such a server cannot bring it down to its share.
    """
    weights = assignment.weights
    key_loads_by_weight = {
        name: load / weights[name] for name, load in assignment.key_loads.items()
    }
    receiver = min(assignment.receivers(), key=key_loads_by_weight.__getitem__)
    for source in sorted(
        assignment.servers, key=lambda name: (-key_loads_by_weight[name], name)
    ):
        if assignment.key_loads[source] <= (1 + goal) * assignment.shares[source]:
            continue
        max_load = (
            MAX_SEPARATION_RATIO * key_loads_by_weight[source] * weights[receiver]
        )
        keys = [
            (load, unit)
            for unit, load in assignment.units[source].items()
            if unit.kind == "key"
            and unit not in assignment.pinned
            and assignment.key_loads[receiver] + load <= max_load
        ]
        if keys and source != receiver:
            return max(keys)[1], source, receiver
    return None


def _next_move(
    assignment: UnitAssignment, goal: float, min_relative_load: float
) -> UnitMove | None:
    """Return the best move to the least utilized receiver.

    The source is the most utilized server that has a suitable unit.
    """
    receiver = min(assignment.receivers(), key=assignment.utilization)
    is_underused = assignment.utilization(receiver) < 1 - goal
    threshold = 1.0 if is_underused else 1 + goal
    sources = [
        name for name in assignment.servers if assignment.utilization(name) > threshold
    ]
    for source in sorted(
        sources, key=lambda name: (-assignment.utilization(name), name)
    ):
        if source == receiver:
            continue
        unit = _best_unit(assignment, source, receiver, min_relative_load)
        if unit is not None:
            return unit, source, receiver
    return None


def _best_unit(
    assignment: UnitAssignment, source: str, receiver: str, min_relative_load: float
) -> Unit | None:
    """Return the unit that best removes the source's excess load, if any does.

    A key is preferred to a slice of similar load because its move costs less.
    """
    source_weight, receiver_weight = (
        assignment.weights[source],
        assignment.weights[receiver],
    )
    excess = assignment.loads[source] - assignment.shares[source]
    spare = assignment.shares[receiver] - assignment.loads[receiver]
    # Moving this load leaves both equally utilized; moving twice as much gains nothing.
    equalizing_load = (
        assignment.loads[source] * receiver_weight
        - assignment.loads[receiver] * source_weight
    ) / (source_weight + receiver_weight)
    wanted = min(excess, spare, equalizing_load) if spare > 0 else equalizing_load
    min_load = max(
        min_relative_load * assignment.mean_slice(source), assignment.min_unit_load
    )
    best, best_score = None, float("inf")
    for unit, load in assignment.units[source].items():
        if (
            unit in assignment.pinned
            or not min_load < load <= MAX_UNIT_TO_EQUALIZING_LOAD * equalizing_load
        ):
            continue
        if unit.kind == "key" and assignment.would_exceed_share(load, receiver):
            continue
        score = wanted - load if load <= wanted else OVERSHOOT_COST * (load - wanted)
        if unit.kind == "key":
            score *= KEY_MOVE_COST
        if score < best_score:
            best, best_score = unit, score
    return best
