"""Where the ranges of a keyed service are placed, by observed load.

Busy keys lie close together and servers differ in speed, so ranges are cut where
the load is: a server gets load in proportion to its speed, and moves start at the
server that is busiest for its speed and end at the least busy one.
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

BASE_SHARE = 0.05
"""Share of the load that is spread evenly over all keys, so that ranges that were
idle in the window count for something."""

MOVE_THRESHOLD = 0.3
"""Servers whose use differs by less than this share of the mean are left alone."""

MAX_MOVES = 8
"""Moves begun at a time; each keeps its keys unserved while running work ends."""

MAX_RANGES_PER_SERVER = 24
"""Each range is a grant that is repeated."""

FASTER_FACTOR = 1.3
"""A key that keeps its server busy alone moves to a server that is faster by this."""

WIDTH_COST = 8.0
"""What moving all keys would cost, in units of the wanted load."""

JOIN_GAIN = 0.1
"""What a part that joins a range of the target is better by: it needs no grant of its
own."""

LEAST_PART = 0.1
"""A part with less than this share of the wanted load is not worth a move."""

BUSY_FROM = 0.43
"""Mean number of requests at a server, by its slots, below which nothing waits there,
so that moving its keys would gain nothing."""

IDLE_RATE = 2.0
"""Below this many requests a second there is nothing worth moving."""


class CandidateServer(NamedTuple):
    """A server that may own keys.

    :param speed: work that it does in the time in which an average one does 1.
    :param leaving: whether all of its keys have to go.
    :param present: mean number of requests at it, by its slots.
    :param accepting: whether it may receive keys.
    """

    server: str
    speed: float
    leaving: bool = False
    present: float = math.inf
    accepting: bool = True


class RangeMove(NamedTuple):
    """Keys to move to a server."""

    first: int
    last: int
    target: str


class KeyLoads:
    """Load by key with sums over ranges.

    :param rates: requests a second of each key that was seen.
    """

    def __init__(self, rates: Mapping[int, float]) -> None:
        self.keys = sorted(rates)
        self._sums = [0.0, *accumulate(rates[key] for key in self.keys)]
        self.total = self._sums[-1]
        self._base = BASE_SHARE * self.total / KEY_COUNT

    def of(self, first: int, last: int) -> float:
        """Return the load of a range."""
        low = bisect_left(self.keys, first)
        high = bisect_right(self.keys, last)
        return self._sums[high] - self._sums[low] + self._base * (last - first + 1)

    def keys_in(self, first: int, last: int) -> list[int]:
        """Return the keys of a range that were seen."""
        low = bisect_left(self.keys, first)
        return self.keys[low : bisect_right(self.keys, last)]

    def cut(self, first: int, last: int, wanted: float) -> int:
        """Return the last key of the part from ``first`` with the wanted load.

        The part is the longest one whose load does not exceed ``wanted``; it is
        empty (``first - 1``) when the first key alone exceeds it.
        """
        low, high = first - 1, last
        while low < high:
            middle = (low + high + 1) // 2
            if self.of(first, middle) <= wanted:
                low = middle
            else:
                high = middle - 1
        return low


def initial_ranges(members: Sequence[CandidateServer]) -> list[tuple[int, int, str]]:
    """Return equal ranges in proportion to the members' speeds."""
    total = sum(member.speed for member in members)
    ranges = []
    begin = 0
    reached = 0.0
    for index, member in enumerate(members):
        reached += member.speed
        last = index == len(members) - 1
        end = KEY_COUNT if last else round(KEY_COUNT * reached / total)
        if end > begin:
            ranges.append((begin, end - 1, member.server))
        begin = max(begin, end)
    return ranges


def plan_moves(
    ranges: Sequence[OwnedRange], members: Sequence[CandidateServer], loads: KeyLoads
) -> list[RangeMove]:
    """Return the moves to begin now.

    :param ranges: present ranges; those that are moving count for their target.
    """
    board = _Board(ranges, members, loads)
    moves = board.evacuate()
    if loads.total < IDLE_RATE:
        return moves
    while len(moves) < MAX_MOVES:
        move = board.next_transfer()
        if move is None:
            break
        moves.append(move)
    return moves


class _Board:
    """Loads of the members while moves are planned."""

    def __init__(
        self,
        ranges: Sequence[OwnedRange],
        members: Sequence[CandidateServer],
        loads: KeyLoads,
    ) -> None:
        self._loads = loads
        self._speeds = {m.server: m.speed for m in members if not m.leaving}
        self._busy = {m.server for m in members if m.present >= BUSY_FROM}
        self._targets = [m.server for m in members if m.accepting and not m.leaving]
        self._load = dict.fromkeys(self._speeds, 0.0)
        self._pieces: dict[str, list[tuple[int, int]]] = {s: [] for s in self._speeds}
        self._homeless: list[tuple[int, int]] = []
        for owned in ranges:
            self._place(owned)
        total = sum(self._speeds.values())
        self._mean = loads.total / total if total else 0.0
        self._spent: set[str] = set()

    def evacuate(self) -> list[RangeMove]:
        """Place all keys whose owner is leaving or gone."""
        moves = []
        for first, last in self._homeless:
            if not self._targets:
                break
            moves.extend(self._share_out(first, last))
        return moves

    def next_transfer(self) -> RangeMove | None:
        """Return the move from the busiest to the least busy server, if it pays."""
        sources = [s for s in self._speeds if s not in self._spent]
        source = max(sources, key=self._use, default=None)
        target = min(self._targets, key=self._use, default=None)
        if source is None or target is None or source == target:
            return None
        if source not in self._busy:
            self._spent.add(source)
            return self.next_transfer()
        gap = self._use(source) - self._use(target)
        if gap < MOVE_THRESHOLD * self._mean:
            return None
        wanted = min(
            self._load[source] - self._mean * self._speeds[source],
            self._mean * self._speeds[target] - self._load[target],
        )
        if wanted <= 0:
            wanted = gap * min(self._speeds[source], self._speeds[target]) / 2
        piece = self._best_piece(source, target, wanted)
        if piece is None:
            # What is left at the source is one key that cannot be split.
            self._spent.add(source)
            return self._to_faster(source) or self.next_transfer()
        first, last = piece
        load = self._loads.of(first, last)
        self._load[source] -= load
        self._load[target] += load
        return RangeMove(first, last, target)

    def _to_faster(self, source: str) -> RangeMove | None:
        """Move the busiest key of a server to the fastest one, if that is faster."""
        target = max(self._targets, key=self._speeds.__getitem__)
        if self._speeds[target] < FASTER_FACTOR * self._speeds[source]:
            return None
        keys = [
            key
            for begin, end in self._pieces[source]
            for key in self._loads.keys_in(begin, end)
        ]
        if not keys:
            return None
        key = max(keys, key=lambda key: self._loads.of(key, key))
        load = self._loads.of(key, key)
        if load < self._mean * self._speeds[source]:
            return None
        self._take(source, key, key)
        self._load[source] -= load
        self._load[target] += load
        return RangeMove(key, key, target)

    def _place(self, owned: OwnedRange) -> None:
        server = owned.target or owned.server
        if server not in self._speeds:
            if not owned.target:
                self._homeless.append((owned.first, owned.last))
            return
        self._load[server] += self._loads.of(owned.first, owned.last)
        if not owned.target:
            self._pieces[server].append((owned.first, owned.last))

    def _use(self, server: str) -> float:
        return self._load[server] / self._speeds[server]

    def _share_out(self, first: int, last: int) -> list[RangeMove]:
        """Split a range over the least busy servers, few keys short of even."""
        moves = []
        fair = max(1, (last - first + 1) // len(self._targets))
        while first <= last:
            target = min(self._targets, key=self._use)
            room = self._mean * self._speeds[target] - self._load[target]
            end = self._loads.cut(first, last, max(room, 0.0))
            end = min(last, max(end, first + fair - 1))
            moves.append(RangeMove(first, end, target))
            # A range without any load still counts, or all keys go to one server.
            self._load[target] += self._loads.of(first, end) or 1e-6 * (end - first)
            first = end + 1
        return moves

    def _best_piece(
        self, source: str, target: str, wanted: float
    ) -> tuple[int, int] | None:
        """Return the part of the source's ranges that fits the wanted load best.

        A part is a whole range or one end of it. Of parts with much the same load the
        one with the fewest keys is taken, since moves are paid for by the key.
        """
        crowded = len(self._pieces[source]) >= MAX_RANGES_PER_SERVER
        neighbours = {first for first, _ in self._pieces[target]}
        neighbours |= {last + 1 for _, last in self._pieces[target]}
        best: tuple[float, int, int] | None = None
        for piece in self._pieces[source]:
            for first, last in self._ends(*piece, wanted):
                if crowded and (first, last) != piece:
                    continue
                cost = abs(self._loads.of(first, last) - wanted) / wanted
                cost += WIDTH_COST * (last - first + 1) / KEY_COUNT
                if first in neighbours or last + 1 in neighbours:
                    cost -= JOIN_GAIN
                if best is None or cost < best[0]:
                    best = (cost, first, last)
        if best is None or self._loads.of(best[1], best[2]) < LEAST_PART * wanted:
            return None
        self._take(source, best[1], best[2])
        return best[1], best[2]

    def _ends(self, first: int, last: int, wanted: float) -> list[tuple[int, int]]:
        """Return the parts of a range that carry about the wanted load."""
        loads = self._loads
        whole = loads.of(first, last)
        if whole <= wanted:
            return [(first, last)]
        parts = []
        end = loads.cut(first, last, wanted)
        if end >= first:
            parts.append((first, end))
        begin = loads.cut(first, last, whole - wanted) + 2
        if begin <= last:
            parts.append((begin, last))
        if not parts:
            # The first key alone is busier than what is wanted: skip it.
            end = loads.cut(first + 1, last, wanted)
            if end > first:
                parts.append((first + 1, end))
        return parts

    def _take(self, source: str, first: int, last: int) -> None:
        pieces = []
        for begin, end in self._pieces[source]:
            if last < begin or end < first:
                pieces.append((begin, end))
                continue
            if begin < first:
                pieces.append((begin, first - 1))
            if last < end:
                pieces.append((last + 1, end))
        self._pieces[source] = pieces
