"""Cost of disseminating the configuration, by the number of hosts."""

from __future__ import annotations

__all__ = ["run"]

import asyncio
import math
import tempfile
import time
from pathlib import Path
from typing import Any

from ..gossip_fleet import GossipFleet
from ..gossip_model import GossipModel
from . import MEASURES, Result, print_variant

PROCESS_COUNTS = (16, 32, 64)
TARGET_PROCESSES = 500
# Excludes the handshakes with the first exchange partners, which are no running cost.
WARM_UP_S = 40.0
WINDOW_S = 15.0
MODEL_DATA_CENTRES = 6

# Size of a watch that ends without a change: 172 bytes of request and 102 of response
# between the adapter and the stand-in. One per second meets the staleness limit.
WATCH_BYTES = 274


@MEASURES.register("control-cost")
def run(seed: int) -> Result:
    """Fit bytes, CPU and memory of a process to the number of processes."""
    with tempfile.TemporaryDirectory() as directory:
        rows = asyncio.run(_measure_all(Path(directory)))
    variants = [print_variant(f"processes-{row['hosts']}", **row) for row in rows]
    fitted = {
        name: _extrapolate([(row["hosts"], row[name]) for row in rows])
        for name in ("bytes_per_s", "cpu_percent", "rss_mb", "store_calls_per_s")
    }
    variants.append(print_variant(f"fitted-{TARGET_PROCESSES}", **fitted))
    fitted_log = {name: _extrapolate_log(rows, name) for name in fitted}
    variants.append(print_variant(f"fitted-log-{TARGET_PROCESSES}", **fitted_log))
    variants.append(_run_model(seed))
    naive = _naive_bytes_per_s()
    variants.append(
        print_variant(
            "naive", bytes_per_s=naive, store_calls_per_s=float(TARGET_PROCESSES)
        )
    )
    product = max(fitted["bytes_per_s"], variants[-2]["bytes_per_s"])
    return Result(product, naive, "bytes/node/s", tuple(variants))


async def _measure_all(directory: Path) -> list[dict[str, Any]]:
    """Measure all sizes concurrently; together they use half a core."""
    runs = [_measure(directory / str(size), size) for size in PROCESS_COUNTS]
    return list(await asyncio.gather(*runs))


async def _measure(directory: Path, size: int) -> dict[str, Any]:
    async with GossipFleet(directory, size) as fleet:
        await fleet.wait_until_converged()
        await asyncio.sleep(WARM_UP_S)
        before = await _read_usage(fleet)
        await asyncio.sleep(WINDOW_S)
        after = await _read_usage(fleet)
    seconds = after["at_s"] - before["at_s"]

    def rate(name: str) -> float:
        return (after[name] - before[name]) / seconds

    return {
        "hosts": size,
        "bytes_per_s": rate("bytes_sent") / size,
        "cpu_percent": 100 * rate("cpu_s") / size,
        "rss_mb": after["rss_bytes"] / size / 2**20,
        "store_calls_per_s": rate("store_calls"),
    }


async def _read_usage(fleet: GossipFleet) -> dict[str, float]:
    statuses = (await fleet.read_statuses()).values()
    rss = [await process.rss_bytes() for process in fleet.controls]
    return {
        "at_s": asyncio.get_running_loop().time(),
        "bytes_sent": sum(status["bytes_sent"] for status in statuses),
        "store_calls": sum(status["store_calls"] for status in statuses),
        "cpu_s": sum(process.cpu_s() for process in fleet.controls),
        "rss_bytes": sum(rss),
    }


def _extrapolate(
    points: list[tuple[float, float]], target: float = TARGET_PROCESSES
) -> float:
    """Return the value of the least-squares line at the target."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    sum_of_squares = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_of_squares
    return mean_y + slope * (target - mean_x)


def _extrapolate_log(rows: list[dict[str, Any]], name: str) -> float:
    """Return the fit against the logarithm of the number of hosts.

    Exchanges become more frequent with the age of the confirmations, which grows
    with the logarithm, and there are at most three per second.
    """
    points = [(math.log(row["hosts"]), row[name]) for row in rows]
    return _extrapolate(points, math.log(TARGET_PROCESSES))


def _run_model(seed: int) -> dict[str, Any]:
    """Count the bytes of 500 simulated processes with the same decision logic."""
    model = GossipModel(TARGET_PROCESSES, MODEL_DATA_CENTRES, seed)
    model.write(b"first")
    model.run_until(5.0)
    before = sum(node.bytes_sent for node in model.nodes.values())
    calls = model.store_calls
    started_s = time.process_time()
    model.run_until(15.0)
    cpu_s = time.process_time() - started_s
    sent = sum(node.bytes_sent for node in model.nodes.values()) - before
    return print_variant(
        f"model-{TARGET_PROCESSES}",
        bytes_per_s=sent / TARGET_PROCESSES / 10.0,
        decision_cpu_percent=100 * cpu_s / TARGET_PROCESSES / 10.0,
        store_calls_per_s=(model.store_calls - calls) / 10.0,
    )


def _naive_bytes_per_s() -> float:
    """Return the bytes per second of one node that watches the store itself."""
    return float(WATCH_BYTES)
