"""Transfers of load between servers, for :mod:`jacinthpath.placement`."""

from __future__ import annotations

__all__ = ["BalancingLimits", "Board", "ServerState", "Unit", "choose_transfers"]

from collections.abc import Mapping
from math import sqrt
from typing import NamedTuple


class ServerState(NamedTuple):
    """What placement knows about a server that is up.

    :param weight: capacity relative to other servers, above zero.
    :param leaving: gives up everything and receives nothing.
    :param overloaded: receives nothing and gives up part of its share.
    """

    weight: float = 1.0
    leaving: bool = False
    overloaded: bool = False


class Unit(NamedTuple):
    """What is placed as a whole.

    :param kind: ``slice`` or ``key``.
    :param index: slice number or key hash.
    """

    kind: str
    index: int


class BalancingLimits(NamedTuple):
    """Bounds that trade balance against churn.

    Levels are a server's load over its share.

    :param batch: most units for each handoff batch.
    :param tolerance: a transfer starts when a level leaves ``1 ± tolerance``.
        Half the allowed 20% leaves room for what changes while a batch is in
        flight.
    :param goal: a transfer ends when all levels are within ``1 ± goal``. The gap
        to ``tolerance`` keeps a server near the bound from moving slices
        back and forth.
    :param noise_margin: standard deviations of the sampling noise that
        ``tolerance`` is at least. With three, 6 of 400 windows of 500 requests
        of even traffic over ten servers moved slices; with four, none.
    :param prior_requests: requests added for each server, spread equally over
        the slices.
    :param least_gain: lightest unit worth a move, of the mean slice of its server.
    :param overloaded_share: share of an overloaded server, of its usual share.
    """

    batch: int = 8
    tolerance: float = 0.10
    goal: float = 0.03
    noise_margin: float = 4.0
    prior_requests: float = 50.0
    least_gain: float = 0.25
    overloaded_share: float = 0.8


# Cost of a key's handoff relative to that of a slice, which concerns a thousandth of
# all keys.
KEY_COST = 0.15

# A unit that takes a donor below its share leaves a hole to be filled by further
# moves.
OVERSHOOT_COST = 3.0


# A key moves to a server for its keys alone if they then weigh at most this share of
# what the source's keys weigh, so that small gains cause no moves.
SEPARATION_GAIN = 0.9

# Lightest slice worth a move, of the mean slice of all servers.
LEAST_OF_MEAN_SLICE = 0.02


# Largest unit worth a move, of the load that would leave both servers equally busy.
# With 1.0, two heavy units could stay together for want of a unit that fits.
REACH = 1.8


class Board:
    """Units on servers, with their loads.

    :param servers: servers that may own something.
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
        self.fixed: set[Unit] = set()
        self.homeless: list[tuple[float, Unit]] = []
        self.measured = 0.0
        self.least_load = 0.0
        self.weights = {
            name: state.weight * (overloaded_share if state.overloaded else 1.0)
            for name, state in servers.items()
        }
        self._total = 0.0

    def place(
        self, unit: Unit, load: float, server: str, in_flight: bool = False
    ) -> None:
        """Put a unit on a server; without a known server it is homeless.

        :param in_flight: the unit counts for the server but cannot be moved.
        """
        if server not in self.servers:
            self.homeless.append((load, unit))
            return
        self.loads[server] += load
        self.units[server][unit] = load
        if unit.kind == "key":
            self.key_loads[server] += load
        if in_flight:
            self.fixed.add(unit)

    def move(self, unit: Unit, source: str, target: str) -> None:
        """Move a unit between servers, which then keeps its place."""
        load = self.units[source].pop(unit)
        self.loads[source] -= load
        if unit.kind == "key":
            self.key_loads[source] -= load
        self.place(unit, load, target, in_flight=True)
        self.set_shares()

    def set_shares(self) -> None:
        """Divide the load into shares by weight.

        A unit that exceeds its server's share cannot be divided, so that server's
        share is the unit alone and the rest is shared by the others.
        """
        self._total = sum(self.loads.values()) + sum(load for load, _ in self.homeless)
        weights = dict(self.weights)
        largest = {name: max(self.units[name].values(), default=0) for name in weights}
        remaining = self._total
        while weights:
            level = remaining / sum(weights.values())
            above = [name for name in weights if largest[name] > level * weights[name]]
            if not above:
                break
            for name in above:
                self.shares[name] = largest[name]
                remaining -= largest[name]
                del weights[name]
        for name, weight in weights.items():
            self.shares[name] = level * weight

    def level(self, server: str) -> float:
        """Return a server's load over its share."""
        return self.loads[server] / max(self.shares[server], 1e-9)

    def would_crowd(self, key_load: float, server: str) -> bool:
        """Return whether a further key exceeds a server's share with its keys."""
        keys = self.key_loads[server] + key_load
        return keys > max(self.shares[server], key_load)

    def mean_slice(self, server: str) -> float:
        """Return the mean load of a server's slices, 0 without any."""
        units = self.units[server].items()
        slices = [load for unit, load in units if unit.kind == "slice"]
        return sum(slices) / max(1, len(slices))

    def receivers(self) -> list[str]:
        """Return the servers that may receive; overloaded ones only if all are."""
        names = sorted(self.servers)
        calm = [name for name in names if not self.servers[name].overloaded]
        return calm or names

    def noise(self) -> float:
        """Return the relative sampling error of a mean server's load."""
        mean_measured = self.measured / len(self.servers)
        mean = self._total / len(self.servers)
        return sqrt(mean_measured) / max(mean, 1e-9)


Transfer = tuple[Unit, str, str]


def choose_transfers(
    board: Board, limits: BalancingLimits, count: int, continuing: bool
) -> tuple[list[Transfer], bool]:
    """Move load between servers of a board; return the moves and if more are due.

    :param count: most moves.
    :param continuing: aim for the goal even if no level exceeds the tolerance.
    """
    tolerance = max(limits.tolerance, limits.noise_margin * board.noise())
    goal = max(limits.goal, tolerance * limits.goal / limits.tolerance)
    if not continuing and not _outside(board, tolerance):
        return [], False
    transfers: list[Transfer] = []
    while len(transfers) < count:
        transfer = _separate_keys(board, goal)
        transfer = transfer or _next_transfer(board, goal, limits.least_gain)
        if transfer is None:
            return transfers, False
        board.move(*transfer)
        transfers.append(transfer)
    return transfers, _next_transfer(board, goal, limits.least_gain) is not None


def _outside(board: Board, tolerance: float) -> bool:
    levels = [board.level(name) for name in board.servers]
    fillable = min(board.level(name) for name in board.receivers())
    return max(levels) > 1 + tolerance or fillable < 1 - tolerance


def _separate_keys(board: Board, goal: float) -> Transfer | None:
    """Return the move of a key from a server whose keys alone exceed its share.

    No move of slices can make up for keys that share a server but should not.
    """
    weights = board.weights
    crowding = {name: load / weights[name] for name, load in board.key_loads.items()}
    receiver = min(board.receivers(), key=crowding.__getitem__)
    for donor in sorted(board.servers, key=lambda name: (-crowding[name], name)):
        if board.key_loads[donor] <= (1 + goal) * board.shares[donor]:
            continue
        most = SEPARATION_GAIN * crowding[donor] * weights[receiver]
        keys = [
            (load, unit)
            for unit, load in board.units[donor].items()
            if unit.kind == "key"
            and unit not in board.fixed
            and board.key_loads[receiver] + load <= most
        ]
        if keys and donor != receiver:
            return max(keys)[1], donor, receiver
    return None


def _next_transfer(board: Board, goal: float, least_gain: float) -> Transfer | None:
    """Return the best move from the highest possible level to the lowest one."""
    receiver = min(board.receivers(), key=board.level)
    filling = board.level(receiver) < 1 - goal
    floor = 1.0 if filling else 1 + goal
    donors = [name for name in board.servers if board.level(name) > floor]
    for donor in sorted(donors, key=lambda name: (-board.level(name), name)):
        if donor == receiver:
            continue
        unit = _best_unit(board, donor, receiver, least_gain)
        if unit is not None:
            return unit, donor, receiver
    return None


def _best_unit(
    board: Board, donor: str, receiver: str, least_gain: float
) -> Unit | None:
    """Return the unit that best removes the donor's excess, if any helps.

    A key is preferred to a slice of like load, because its handoff costs less.
    """
    donor_weight, receiver_weight = board.weights[donor], board.weights[receiver]
    excess = board.loads[donor] - board.shares[donor]
    room = board.shares[receiver] - board.loads[receiver]
    # Moving this much leaves both equally busy; moving twice as much gains nothing.
    most = (
        board.loads[donor] * receiver_weight - board.loads[receiver] * donor_weight
    ) / (donor_weight + receiver_weight)
    wanted = min(excess, room, most) if room > 0 else most
    least = max(least_gain * board.mean_slice(donor), board.least_load)
    best, best_score = None, float("inf")
    for unit, load in board.units[donor].items():
        if unit in board.fixed or not least < load <= REACH * most:
            continue
        if unit.kind == "key" and board.would_crowd(load, receiver):
            continue
        score = wanted - load if load <= wanted else OVERSHOOT_COST * (load - wanted)
        if unit.kind == "key":
            score *= KEY_COST
        if score < best_score:
            best, best_score = unit, score
    return best
