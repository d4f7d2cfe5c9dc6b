"""Load of the busiest server divided by the mean, while the hot keys change.

Runs in simulated time with the real sketches, reports and planner. ``product`` and
``naive`` are the worst 10 s of each phase after the settling time; the ``settled``
values average over the rest of the phase, and the ``whole`` value also includes the
settling time. The naive baseline is a consistent hash ring.
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

# The result covers each phase from this time after its change of hot keys.
SETTLING_S = 10.0
WINDOW_S = 10.0
TARGET_IMBALANCE = 1.2

TICKS = int(PHASE_S / TICK_S)
REQUESTS_PER_TICK = int(REQUESTS_PER_S * TICK_S)


class RingRouting:
    """Plain consistent hashing, which ignores load."""

    def __init__(self) -> None:
        points = sorted(
            (key_hash(f"{server}#{point}"), server)
            for server in SERVERS
            for point in range(RING_POINTS)
        )
        self._points = [point for point, _ in points]
        self._owners = [server for _, server in points]

    def owner_of(self, hash_value: int) -> str:
        """Return the server of the next point on the ring."""
        return self._owners[bisect(self._points, hash_value) % len(self._owners)]


def _ranked_keys(randomness: random.Random) -> Iterator[list[int]]:
    """Yield the key hashes by popularity, with new hot keys in each phase."""
    ranked = [key_hash(f"key-{number}") for number in range(KEYS)]
    randomness.shuffle(ranked)
    for _ in range(PHASES):
        yield ranked
        new_hot_ranks = randomness.sample(range(HOT_KEYS, KEYS), HOT_KEYS)
        for rank, new_hot_rank in enumerate(new_hot_ranks):
            ranked[rank], ranked[new_hot_rank] = ranked[new_hot_rank], ranked[rank]


RequestCounts = dict[str, int]


class Phase(NamedTuple):
    """Requests of each server for each tick of one phase."""

    ticks: list[RequestCounts]

    def max_imbalance(self, from_s: float, window_s: float) -> float:
        """Return the highest imbalance of any window that starts at or after a time."""
        first, width = int(from_s / TICK_S), int(window_s / TICK_S)
        starts = range(first, TICKS - width + 1)
        return max(
            _compute_imbalance(self.ticks[start : start + width]) for start in starts
        )

    def settling_time_s(self, window_s: float) -> float:
        """Return the time from which no window exceeds the target imbalance."""
        width = int(window_s / TICK_S)
        for start in reversed(range(TICKS - width + 1)):
            if _compute_imbalance(self.ticks[start : start + width]) > TARGET_IMBALANCE:
                return (start + 1) * TICK_S
        return 0.0


def _compute_imbalance(ticks: list[RequestCounts]) -> float:
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
        keys = randomness.choices(ranked, cum_weights=weights, k=REQUESTS_PER_TICK)
        for hash_value in keys:
            planned.record(int(randomness.random() * ROUTERS), hash_value)
        product.ticks.append(_count_requests(keys, planned.owner_of))
        naive.ticks.append(_count_requests(keys, ring.owner_of))
        planned.end_tick(phase * TICKS + tick)
    return product, naive


def _count_requests(keys: list[int], owner_of: Callable[[int], str]) -> RequestCounts:
    counts = dict.fromkeys(SERVERS, 0)
    for hash_value in keys:
        counts[owner_of(hash_value)] += 1
    return counts


@MEASURES.register("imbalance")
def run(seed: int) -> Result:
    """Run the seeded request stream through the planner and through the ring."""
    randomness = random.Random(seed)
    weights = [1 / rank**ZIPF_EXPONENT for rank in range(1, KEYS + 1)]
    cumulative = list(accumulate(weights))
    planned, ring = PlannedRouting(), RingRouting()
    variants, product, naive, settling_times_s = [], [], [], []
    for number, ranked in enumerate(_ranked_keys(randomness)):
        before = planned.slice_moves, planned.key_moves
        phases = _run_phase(number, ranked, cumulative, randomness, planned, ring)
        product.append(phases[0].max_imbalance(SETTLING_S, WINDOW_S))
        naive.append(phases[1].max_imbalance(SETTLING_S, WINDOW_S))
        settling_times_s.append(phases[0].settling_time_s(WINDOW_S))
        line = print_variant(
            f"phase-{number + 1}",
            product=product[-1],
            naive=naive[-1],
            product_settled=phases[0].max_imbalance(SETTLING_S, PHASE_S - SETTLING_S),
            naive_settled=phases[1].max_imbalance(SETTLING_S, PHASE_S - SETTLING_S),
            product_whole=phases[0].max_imbalance(0, PHASE_S),
            settled_after_s=settling_times_s[-1],
            slice_moves=planned.slice_moves - before[0],
            key_moves=planned.key_moves - before[1],
            hot_keys=len(planned.table.hot_keys),
        )
        variants.append(line)
    line = print_variant(
        "settling",
        counted_from_s=SETTLING_S,
        slowest_s=max(settling_times_s),
        window_s=WINDOW_S,
        requests=PHASES * TICKS * REQUESTS_PER_TICK,
        keys=KEYS,
    )
    return Result(max(product), max(naive), "busiest/mean", (*variants, line))
