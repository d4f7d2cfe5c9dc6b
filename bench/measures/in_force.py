"""Time until a configuration change takes effect on all hosts after a relay loss."""

from __future__ import annotations

__all__ = ["run"]

import asyncio
import random
import tempfile
from pathlib import Path
from typing import Any

from ..gossip_fleet import GossipFleet
from ..gossip_model import GossipModel
from . import MEASURES, Result, print_variant

HOSTS = 10
CHANGES = 100
CHANGE_INTERVAL_S = 0.1
SETTLING_S = 7.0
MODEL_PROCESS_COUNTS = (10, 50, 100, 250, 500)
MODEL_CHANGES = 4
MODEL_DATA_CENTRES = 6
LOST_SHARE = 0.02


@MEASURES.register("in-force")
def run(seed: int) -> Result:
    """Apply changes to ten processes, then to up to 500 simulated ones."""
    figures, variants = {}, []
    for name, naive in (("product", False), ("naive", True)):
        with tempfile.TemporaryDirectory() as directory:
            times_s = asyncio.run(_measure(Path(directory), seed, naive))
        figures[name] = _percentile(times_s, 0.99)
        variants.append(
            print_variant(
                name,
                changes=len(times_s),
                p50_s=_percentile(times_s, 0.5),
                p99_s=figures[name],
                max_s=max(times_s),
            )
        )
    variants += [_run_model(count, seed) for count in MODEL_PROCESS_COUNTS]
    return Result(figures["product"], figures["naive"], "s", tuple(variants))


async def _measure(directory: Path, seed: int, naive: bool) -> list[float]:
    """Return how long each change takes until it is in effect on all hosts."""
    randomness = random.Random(seed)
    async with GossipFleet(directory, HOSTS + 1, naive) as fleet:
        await fleet.wait_until_converged()
        statuses = await fleet.read_statuses()
        # A process that watches the store is both a relay and one of the three that
        # read changes.
        watching = sorted(
            name for name, status in statuses.items() if status["watches_store"]
        )
        await fleet.processes[watching[0] if watching else "control-0"].kill()
        accepted = []
        for number in range(CHANGES):
            accepted.append(await fleet.apply_numbered_change(number + 2))
            await asyncio.sleep(CHANGE_INTERVAL_S * 2 * randomness.random())
        await asyncio.sleep(SETTLING_S)
        statuses = await fleet.read_statuses()
    if len(statuses) != HOSTS:
        raise RuntimeError(
            f"only {len(statuses)} of {HOSTS} processes returned their status"
        )
    return [
        max(_find_reached_s(status, version) for status in statuses.values()) - at_s
        for version, at_s in accepted
    ]


def _find_reached_s(status: dict[str, Any], version: int) -> float:
    """Return when a version or a later one took effect; infinite if never."""
    times = [at for seen, at in status["reached_s"].items() if int(seen) >= version]
    return min(times, default=float("inf"))


def _run_model(count: int, seed: int) -> dict[str, Any]:
    """Stop some of the simulated processes and apply changes to the others."""
    model = GossipModel(count, MODEL_DATA_CENTRES, seed)
    model.write(b"first")
    model.run_until(5.0)
    lost = max(1, int(count * LOST_SHARE))
    for name in model.random.sample(sorted(model.nodes), lost):
        model.nodes[name].lost = True
    times_s = []
    for number in range(MODEL_CHANGES):
        started_s = model.now_s
        size_bytes = 40_000 if number % 2 else 500
        version = model.write(number.to_bytes(4, "big") * (size_bytes // 4))
        model.run_until(started_s + 1.0)
        times_s.append((version, started_s))
    model.run_until(model.now_s + SETTLING_S)
    delays_s = [
        max(
            min((at for v, at in node.reached_s.items() if v >= version), default=1e9)
            for node in model.nodes.values()
            if not node.lost
        )
        - started_s
        for version, started_s in times_s
    ]
    return print_variant(
        f"model-{count}",
        hosts=count,
        lost=lost,
        changes=len(delays_s),
        p50_s=_percentile(delays_s, 0.5),
        max_s=max(delays_s),
    )


def _percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
