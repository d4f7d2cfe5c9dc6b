"""CPU time and memory of counting, merging and planning.

The product result is the time to count one request in the sketch and the slice
loads; the naive baseline counts every key exactly, in unbounded memory.
"""

from __future__ import annotations

import random
import time
import tracemalloc
from collections.abc import Callable
from itertools import accumulate
from typing import Any

from jacinthpath.hashing import key_hash
from jacinthpath.hotkeys import (
    HotKeySketch,
    KeyLoad,
    LoadReport,
    LoadWindow,
    SliceLoads,
)
from jacinthpath.placement import (
    MeasuredLoads,
    ServerState,
    initial_owners,
    plan_moves,
)
from jacinthpath.slices import SliceTable

from . import MEASURES, Result, print_variant

KEYS = 1_000_000
ZIPF_EXPONENT = 0.99
REQUESTS = 1_000_000
SLICES = 1024
HOT_KEY_COUNT = 64
REPORT_COUNT = 100
REPETITIONS = 20


def _cpu_s(action: Callable[[], Any]) -> float:
    started = time.process_time()
    action()
    return time.process_time() - started


def _memory_bytes(record: Callable[[int], Any], stream: list[int]) -> int:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for hash_value in stream:
        record(hash_value)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return peak - before


def _measure_counting(name: str, stream: list[int]) -> tuple[float, float]:
    sketch, slices, exact = HotKeySketch(), SliceLoads(SLICES), {}

    def count_product() -> None:
        record_key, record_slice = sketch.record, slices.record
        for hash_value in stream:
            record_key(hash_value)
            record_slice(hash_value)

    def count_exactly(hash_value: int) -> None:
        exact[hash_value] = exact.get(hash_value, 0) + 1

    def count_naive() -> None:
        for hash_value in stream:
            count_exactly(hash_value)

    product = _cpu_s(count_product) / len(stream) * 1e6
    naive = _cpu_s(count_naive) / len(stream) * 1e6
    exact = {}
    print_variant(
        f"count-{name}",
        product_us=product,
        naive_us=naive,
        product_peak_bytes=_memory_bytes(HotKeySketch().record, stream),
        naive_peak_bytes=_memory_bytes(count_exactly, stream),
    )
    return product, naive


def _measure_reports(randomness: random.Random, stream: list[int]) -> None:
    slices = [4] * SLICES
    reports = [
        LoadReport("r", 1.0, slices, tuple(KeyLoad(key, 9, 0) for key in keys))
        for keys in (randomness.sample(stream, 64) for _ in range(REPORT_COUNT))
    ]
    window, sketch = LoadWindow(SLICES), HotKeySketch()
    for hash_value in stream[:10_000]:
        sketch.record(hash_value)

    def add_all() -> None:
        for index, report in enumerate(reports):
            window.add(report, index / REPORT_COUNT)

    print_variant(
        "report",
        take_ms=_cpu_s(lambda: sketch.collect(1.0)) * 1e3,
        add_ms=_cpu_s(add_all) / REPORT_COUNT * 1e3,
        slices=SLICES,
        keys=64,
    )


def _plan_s(
    table: SliceTable, servers: dict[str, ServerState], loads: MeasuredLoads
) -> float:
    return _cpu_s(lambda: plan_moves(table, servers, loads))


def _measure_plans(randomness: random.Random, server_count: int) -> None:
    servers = {f"server-{number}": ServerState() for number in range(server_count)}
    names = list(servers)
    hot_keys = {
        randomness.getrandbits(64): randomness.choice(names)
        for _ in range(HOT_KEY_COUNT)
    }
    owners = initial_owners(SLICES, servers)
    table = SliceTable("service", 1, 1, owners, hot_keys, {})
    slice_load = 100 * server_count / SLICES
    skewed = MeasuredLoads(
        [randomness.expovariate(1 / slice_load) for _ in owners],
        {key: 50.0 / rank for rank, key in enumerate(hot_keys, 1)},
    )
    even = MeasuredLoads([slice_load] * SLICES, dict.fromkeys(hot_keys, 0.0))
    lost = {name: servers[name] for name in names[1:]}
    crowded = SliceTable("service", 1, 1, (names[0],) * SLICES, hot_keys, {})
    cases = {
        "nothing": (table, servers, even),
        "loss": (table, lost, skewed),
        "batch": (crowded, servers, skewed),
    }
    figures: dict[str, Any] = {}
    for name, (start, up, loads) in cases.items():
        plan = plan_moves(start, up, loads)
        times = sorted(_plan_s(start, up, loads) for _ in range(REPETITIONS))
        figures[f"{name}_median_ms"] = times[REPETITIONS // 2] * 1e3
        figures[f"{name}_max_ms"] = times[-1] * 1e3
        figures[f"{name}_moves"] = len(plan.moves)
    print_variant(f"plan-{server_count}-servers", **figures)


@MEASURES.register("placement-cost")
def run(seed: int) -> Result:
    """Measure counting on Zipf and on distinct keys, then reports and plans."""
    randomness = random.Random(seed)
    keys = [key_hash(f"key-{number}") for number in range(KEYS)]
    weights = accumulate(1 / rank**ZIPF_EXPONENT for rank in range(1, KEYS + 1))
    zipf = randomness.choices(keys, cum_weights=list(weights), k=REQUESTS)
    product, naive = _measure_counting("zipf", zipf)
    _measure_counting("distinct", keys)
    _measure_reports(randomness, keys)
    for server_count in (10, 100):
        _measure_plans(randomness, server_count)
    return Result(product, naive, "us/request")
