"""Placement of the key ranges of a keyed service, by observed load.

Busy keys lie close together and servers differ in speed, so ranges are split where
the load is. Each server gets load in proportion to its speed; keys move from the
server with the highest load for its speed to the one with the lowest.
"""

from __future__ import annotations

__all__ = ["CandidateServer", "KeyLoads", "RangeMove", "initial_ranges", "plan_moves"]

import math
from bisect import bisect_left, bisect_right
from collections.abc import Mapping, Sequence
from itertools import accumulate
from typing import NamedTuple

from .assignment import OwnedRange
from .model import KEY_COUNT

UNIFORM_SHARE = 0.05
"""This share of the measured load is added, spread evenly over all keys, so that ranges
without measured requests have a load too."""

MOVE_THRESHOLD = 0.3
"""No keys move between servers whose relative loads differ by less than this share of
the mean."""

MAX_MOVES = 8
"""No move for load is added once this many moves, evacuations included, are planned
at a time. The keys of a move are unserved until the running requests for them have
ended."""

MAX_RANGES_PER_SERVER = 24
"""With this many ranges a server's ranges are moved only whole, not split further: each
range costs a grant that has to be renewed."""

MIN_SPEEDUP = 1.3
"""A single key that keeps its server busy moves only to a server that is faster by at
least this factor."""

KEY_MOVE_COST = 8.0
"""Cost of moving all keys, as a multiple of the wanted load, the load that
a move should shift."""

MERGE_BONUS = 0.1
"""Cost reduction of a part that is adjacent to a range of the target: it needs no grant
of its own."""

MIN_PART_SHARE = 0.1
"""Parts with less than this share of the wanted load are not moved."""

BUSY_THRESHOLD = 0.43
"""Requests per slot of a server below which no request waits there, so that moving its
keys would gain nothing."""

MIN_ACTIVE_RATE = 2.0
"""Below this many requests a second, keys do not move for load."""


class CandidateServer(NamedTuple):
    """A server that may own keys.

    :param speed: relative to the mean speed of the service's servers, which is 1.
    :param evacuating: whether all of its keys have to move away.
    :param requests_per_slot: mean number of requests at it, divided by its slots.
    :param accepting: whether it may receive keys.
    """

    server: str
    speed: float
    evacuating: bool = False
    requests_per_slot: float = math.inf
    accepting: bool = True


class RangeMove(NamedTuple):
    """A range of keys to move to a server."""

    first: int
    last: int
    target: str


class KeyLoads:
    """Load by key, with sums over ranges.

    :param rates: requests a second by key, for the keys with measured requests.
    """

    def __init__(self, rates: Mapping[int, float]) -> None:
        self.keys = sorted(rates)
        self._sums = [0.0, *accumulate(rates[key] for key in self.keys)]
        self.total = self._sums[-1]
        self._uniform_load = UNIFORM_SHARE * self.total / KEY_COUNT

    def range_load(self, first: int, last: int) -> float:
        """Return the load of a range."""
        low = bisect_left(self.keys, first)
        high = bisect_right(self.keys, last)
        return (
            self._sums[high] - self._sums[low] + self._uniform_load * (last - first + 1)
        )

    def keys_in(self, first: int, last: int) -> list[int]:
        """Return the keys of a range that have measured requests."""
        low = bisect_left(self.keys, first)
        return self.keys[low : bisect_right(self.keys, last)]

    def last_key_within(self, first: int, last: int, wanted: float) -> int:
        """Return the last key of the longest part from ``first`` within a load.

        The load of the part does not exceed ``wanted``. The part is empty
        (``first - 1``) when the first key alone exceeds it.
        """
        low, high = first - 1, last
        while low < high:
            mid = (low + high + 1) // 2
            if self.range_load(first, mid) <= wanted:
                low = mid
            else:
                high = mid - 1
        return low


def initial_ranges(candidates: Sequence[CandidateServer]) -> list[tuple[int, int, str]]:
    """Divide all keys in proportion to the candidates' speeds."""
    total = sum(candidate.speed for candidate in candidates)
    ranges = []
    begin = 0
    cumulative = 0.0
    for index, candidate in enumerate(candidates):
        cumulative += candidate.speed
        last = index == len(candidates) - 1
        end = KEY_COUNT if last else round(KEY_COUNT * cumulative / total)
        if end > begin:
            ranges.append((begin, end - 1, candidate.server))
        begin = max(begin, end)
    return ranges


def plan_moves(
    ranges: Sequence[OwnedRange], candidates: Sequence[CandidateServer], loads: KeyLoads
) -> list[RangeMove]:
    """Return the moves to begin now.

    :param ranges: current ranges; the load of a moving one counts for its target.
    """
    state = _PlanState(ranges, candidates, loads)
    moves = state.evacuate()
    if loads.total < MIN_ACTIVE_RATE:
        return moves
    while len(moves) < MAX_MOVES:
        move = state.next_move()
        if move is None:
            break
        moves.append(move)
    return moves


class _PlanState:
    """Loads of the candidates with the moves that are planned so far."""

    def __init__(
        self,
        ranges: Sequence[OwnedRange],
        candidates: Sequence[CandidateServer],
        loads: KeyLoads,
    ) -> None:
        self._loads = loads
        self._speeds = {c.server: c.speed for c in candidates if not c.evacuating}
        self._busy = {
            c.server for c in candidates if c.requests_per_slot >= BUSY_THRESHOLD
        }
        self._targets = [
            c.server for c in candidates if c.accepting and not c.evacuating
        ]
        self._load = dict.fromkeys(self._speeds, 0.0)
        self._movable: dict[str, list[tuple[int, int]]] = {s: [] for s in self._speeds}
        self._to_evacuate: list[tuple[int, int]] = []
        for owned in ranges:
            self._add_range(owned)
        total = sum(self._speeds.values())
        self._mean = loads.total / total if total else 0.0
        self._exhausted: set[str] = set()

    def evacuate(self) -> list[RangeMove]:
        """Return moves for all keys whose owner is evacuating or no candidate."""
        moves = []
        for first, last in self._to_evacuate:
            if not self._targets:
                break
            moves.extend(self._distribute(first, last))
        return moves

    def next_move(self) -> RangeMove | None:
        """Return the next worthwhile move from the most to the least loaded server."""
        sources = [s for s in self._speeds if s not in self._exhausted]
        source = max(sources, key=self._relative_load, default=None)
        target = min(self._targets, key=self._relative_load, default=None)
        if source is None or target is None or source == target:
            return None
        if source not in self._busy:
            self._exhausted.add(source)
            return self.next_move()
        gap = self._relative_load(source) - self._relative_load(target)
        if gap < MOVE_THRESHOLD * self._mean:
            return None
        wanted = min(
            self._load[source] - self._mean * self._speeds[source],
            self._mean * self._speeds[target] - self._load[target],
        )
        if wanted <= 0:
            wanted = gap * min(self._speeds[source], self._speeds[target]) / 2
        part = self._take_best_part(source, target, wanted)
        if part is None:
            # No part fits: the load of the source is mostly one key, which cannot be
            # split.
            self._exhausted.add(source)
            return self._move_to_faster(source) or self.next_move()
        first, last = part
        load = self._loads.range_load(first, last)
        self._load[source] -= load
        self._load[target] += load
        return RangeMove(first, last, target)

    def _move_to_faster(self, source: str) -> RangeMove | None:
        """Move the busiest key of a server to the fastest one, if worthwhile."""
        target = max(self._targets, key=self._speeds.__getitem__)
        if self._speeds[target] < MIN_SPEEDUP * self._speeds[source]:
            return None
        keys = [
            key
            for begin, end in self._movable[source]
            for key in self._loads.keys_in(begin, end)
        ]
        if not keys:
            return None
        key = max(keys, key=lambda key: self._loads.range_load(key, key))
        load = self._loads.range_load(key, key)
        if load < self._mean * self._speeds[source]:
            return None
        self._remove(source, key, key)
        self._load[source] -= load
        self._load[target] += load
        return RangeMove(key, key, target)

    def _add_range(self, owned: OwnedRange) -> None:
        server = owned.target or owned.server
        if server not in self._speeds:
            if not owned.target:
                self._to_evacuate.append((owned.first, owned.last))
            return
        self._load[server] += self._loads.range_load(owned.first, owned.last)
        if not owned.target:
            self._movable[server].append((owned.first, owned.last))

    def _relative_load(self, server: str) -> float:
        return self._load[server] / self._speeds[server]

    def _distribute(self, first: int, last: int) -> list[RangeMove]:
        """Split a range over the least loaded servers.

        Each part but the last has at least an even share of the keys.
        """
        moves = []
        even_share = max(1, (last - first + 1) // len(self._targets))
        while first <= last:
            target = min(self._targets, key=self._relative_load)
            capacity = self._mean * self._speeds[target] - self._load[target]
            end = self._loads.last_key_within(first, last, max(capacity, 0.0))
            end = min(last, max(end, first + even_share - 1))
            moves.append(RangeMove(first, end, target))
            # A part without load counts by its keys, or all would go to one server.
            self._load[target] += self._loads.range_load(first, end) or 1e-6 * (
                end - first
            )
            first = end + 1
        return moves

    def _take_best_part(
        self, source: str, target: str, wanted: float
    ) -> tuple[int, int] | None:
        """Remove and return the part of the source's ranges closest to the wanted load.

        A part is a whole range or one end of it. Of parts with similar loads the one
        with the fewest keys is chosen, since the cost of a move grows with its keys.
        """
        at_range_limit = len(self._movable[source]) >= MAX_RANGES_PER_SERVER
        neighbours = {first for first, _ in self._movable[target]}
        neighbours |= {last + 1 for _, last in self._movable[target]}
        best: tuple[float, int, int] | None = None
        for part in self._movable[source]:
            for first, last in self._candidate_parts(*part, wanted):
                if at_range_limit and (first, last) != part:
                    continue
                cost = abs(self._loads.range_load(first, last) - wanted) / wanted
                cost += KEY_MOVE_COST * (last - first + 1) / KEY_COUNT
                if first in neighbours or last + 1 in neighbours:
                    cost -= MERGE_BONUS
                if best is None or cost < best[0]:
                    best = (cost, first, last)
        if (
            best is None
            or self._loads.range_load(best[1], best[2]) < MIN_PART_SHARE * wanted
        ):
            return None
        self._remove(source, best[1], best[2])
        return best[1], best[2]

    def _candidate_parts(
        self, first: int, last: int, wanted: float
    ) -> list[tuple[int, int]]:
        """Return parts of a range with about the wanted load."""
        loads = self._loads
        whole = loads.range_load(first, last)
        if whole <= wanted:
            return [(first, last)]
        parts = []
        end = loads.last_key_within(first, last, wanted)
        if end >= first:
            parts.append((first, end))
        begin = loads.last_key_within(first, last, whole - wanted) + 2
        if begin <= last:
            parts.append((begin, last))
        if not parts:
            # The first key alone exceeds the wanted load: skip it.
            end = loads.last_key_within(first + 1, last, wanted)
            if end > first:
                parts.append((first + 1, end))
        return parts

    def _remove(self, source: str, first: int, last: int) -> None:
        remaining = []
        for begin, end in self._movable[source]:
            if last < begin or end < first:
                remaining.append((begin, end))
                continue
            if begin < first:
                remaining.append((begin, first - 1))
            if last < end:
                remaining.append((last + 1, end))
        self._movable[source] = remaining
