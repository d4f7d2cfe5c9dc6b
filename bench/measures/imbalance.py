"""Load of the busiest server over the mean, while the hot keys change.

Simulated time; the sketches, reports and planner are the real ones. ``product``
and ``naive`` are the worst 10 s of each phase after the settling time; the
``settled`` figures average over the rest of the phase, the ``whole`` figure
includes the settling time. The naive baseline is a consistent hash ring.
"""

from __future__ import annotations

import random
from bisect import bisect
from collections.abc import Callable, Iterator
from itertools import accumulate
from typing import NamedTuple

from jacinthpath.hashing import key_hash

from . import MEASURES, Result, print_variant
from ._planned_routing import ROUTERS, SERVERS, TICK_S, PlannedRouting

KEYS = 100_000
ZIPF_EXPONENT = 0.99
HOT_KEYS = 12
RING_POINTS = 100

REQUESTS_PER_S = 4_000
PHASES = 6
PHASE_S = 120

# The figure covers each phase from this time after its change of hot keys.
SETTLING_S = 10.0
WINDOW_S = 10.0
GOAL = 1.2

TICKS = int(PHASE_S / TICK_S)
TICK_REQUESTS = int(REQUESTS_PER_S * TICK_S)


class RingRouting:
    """Plain consistent hashing, which knows no load."""

    def __init__(self) -> None:
        points = sorted(
            (key_hash(f"{server}#{point}"), server)
            for server in SERVERS
            for point in range(RING_POINTS)
        )
        self._points = [point for point, _ in points]
        self._owners = [server for _, server in points]

    def owner_of(self, hash_value: int) -> str:
        """Return the owner of the next point on the ring."""
        return self._owners[bisect(self._points, hash_value) % len(self._owners)]


def _ranked_keys(randomness: random.Random) -> Iterator[list[int]]:
    """Yield the key hashes by popularity, with new hot keys in each phase."""
    ranked = [key_hash(f"key-{number}") for number in range(KEYS)]
    randomness.shuffle(ranked)
    for _ in range(PHASES):
        yield ranked
        risen = randomness.sample(range(HOT_KEYS, KEYS), HOT_KEYS)
        for rank, risen_rank in enumerate(risen):
            ranked[rank], ranked[risen_rank] = ranked[risen_rank], ranked[rank]


Tick = dict[str, int]


class Phase(NamedTuple):
    """Requests of each server for each tick of one phase."""

    ticks: list[Tick]

    def worst(self, from_s: float, window_s: float) -> float:
        """Return the greatest busiest over mean of any window from a time on."""
        first, width = int(from_s / TICK_S), int(window_s / TICK_S)
        starts = range(first, TICKS - width + 1)
        return max(_busiest(self.ticks[start : start + width]) for start in starts)

    def settled_s(self, window_s: float) -> float:
        """Return the time after which no window exceeds the goal."""
        width = int(window_s / TICK_S)
        for start in reversed(range(TICKS - width + 1)):
            if _busiest(self.ticks[start : start + width]) > GOAL:
                return (start + 1) * TICK_S
        return 0.0


def _busiest(ticks: list[Tick]) -> float:
    totals = [sum(tick[server] for tick in ticks) for server in SERVERS]
    return max(totals) * len(SERVERS) / sum(totals)


def _run_phase(
    phase: int,
    ranked: list[int],
    weights: list[float],
    randomness: random.Random,
    planned: PlannedRouting,
    ring: RingRouting,
) -> tuple[Phase, Phase]:
    product, naive = Phase([]), Phase([])
    for tick in range(TICKS):
        keys = randomness.choices(ranked, cum_weights=weights, k=TICK_REQUESTS)
        for hash_value in keys:
            planned.record(int(randomness.random() * ROUTERS), hash_value)
        product.ticks.append(_count(keys, planned.owner_of))
        naive.ticks.append(_count(keys, ring.owner_of))
        planned.end_tick(phase * TICKS + tick)
    return product, naive


def _count(keys: list[int], owner_of: Callable[[int], str]) -> Tick:
    tick = dict.fromkeys(SERVERS, 0)
    for hash_value in keys:
        tick[owner_of(hash_value)] += 1
    return tick


@MEASURES.register("imbalance")
def run(seed: int) -> Result:
    """Run the seeded stream through the planner and through the ring."""
    randomness = random.Random(seed)
    weights = [1 / rank**ZIPF_EXPONENT for rank in range(1, KEYS + 1)]
    cumulative = list(accumulate(weights))
    planned, ring = PlannedRouting(), RingRouting()
    variants, product, naive, settling = [], [], [], []
    for number, ranked in enumerate(_ranked_keys(randomness)):
        before = planned.slice_moves, planned.key_moves
        phases = _run_phase(number, ranked, cumulative, randomness, planned, ring)
        product.append(phases[0].worst(SETTLING_S, WINDOW_S))
        naive.append(phases[1].worst(SETTLING_S, WINDOW_S))
        settling.append(phases[0].settled_s(WINDOW_S))
        line = print_variant(
            f"phase-{number + 1}",
            product=product[-1],
            naive=naive[-1],
            product_settled=phases[0].worst(SETTLING_S, PHASE_S - SETTLING_S),
            naive_settled=phases[1].worst(SETTLING_S, PHASE_S - SETTLING_S),
            product_whole=phases[0].worst(0, PHASE_S),
            settled_after_s=settling[-1],
            slice_moves=planned.slice_moves - before[0],
            key_moves=planned.key_moves - before[1],
            hot_keys=len(planned.table.hot_keys),
        )
        variants.append(line)
    line = print_variant(
        "settling",
        counted_from_s=SETTLING_S,
        slowest_s=max(settling),
        window_s=WINDOW_S,
        requests=PHASES * TICKS * TICK_REQUESTS,
        keys=KEYS,
    )
    return Result(max(product), max(naive), "busiest/mean", (*variants, line))
