"""CPU time and latency that the entry process adds to a request."""

from __future__ import annotations

__all__ = ["run"]

import asyncio
import tempfile
from pathlib import Path
from typing import Any

from ..fleet import Fleet, Process, ServiceSpec
from ..load import LoadResult, run_closed_loop
from . import MEASURES, Result, print_variant

CALLERS = 4
REQUESTS = 6_000
WARM_UP_REQUESTS = 1_000
ROUNDS = 3
SERVICES = (
    ServiceSpec("plain", servers=1, fields=("slots_per_server = 64",)),
    ServiceSpec("keyed", keyed=True, servers=1, fields=("slots_per_server = 64",)),
)


@MEASURES.register("overhead")
def run(seed: int) -> Result:
    """Compare the entry process with a minimal reverse proxy and a direct request."""
    with tempfile.TemporaryDirectory() as directory:
        return asyncio.run(_measure(Path(directory), seed))


async def _measure(directory: Path, seed: int) -> Result:
    async with Fleet(directory, SERVICES, hosts=1) as fleet:
        await fleet.wait_until_ready()
        endpoint = fleet.processes["plain-0"].addresses["address"]
        hop = await fleet.spawn(
            "bare-hop", "bench.bare_hop", "--target", f"http://{endpoint}"
        )
        entry = fleet.entries[0]
        entry_url = f"http://{entry.addresses['callers_address']}"
        targets = {
            "direct": (f"http://{endpoint}/work?ms=0", None),
            "bare-hop": (f"http://{hop.addresses['address']}/work?ms=0", hop),
            "entry": (f"{entry_url}/plain/work?ms=0", entry),
            "entry-keyed": (f"{entry_url}/keyed/work?ms=0", entry),
        }
        variants = await _run_rounds(targets, seed)
    by_name = {variant["variant"]: variant for variant in variants}
    return Result(
        by_name["entry"]["cpu_us"],
        by_name["bare-hop"]["cpu_us"],
        "cpu_us_per_request",
        tuple(variants),
    )


async def _run_rounds(
    targets: dict[str, tuple[str, Process | None]], seed: int
) -> list[dict[str, Any]]:
    """Alternate the variants, so that a change in machine load affects all equally."""
    results: dict[str, list[tuple[LoadResult, float]]] = {name: [] for name in targets}
    for _ in range(ROUNDS):
        for name, (url, process) in targets.items():
            results[name].append(await _run_one(url, process, seed))
    direct_ms = min(result.p50_ms for result, _ in results["direct"])
    variants = []
    for name, rounds in results.items():
        best = min(rounds, key=lambda entry: entry[1] or entry[0].p50_ms)
        variants.append(
            print_variant(
                name,
                p50_ms=best[0].p50_ms,
                p99_ms=best[0].p99_ms,
                added_p50_ms=best[0].p50_ms - direct_ms,
                cpu_us=best[1],
                requests_per_s=best[0].requests / best[0].duration_s,
                failures=sum(result.failures for result, _ in rounds),
            )
        )
    return variants


async def _run_one(
    url: str, process: Process | None, seed: int
) -> tuple[LoadResult, float]:
    def headers_of(number: int) -> dict[str, str]:
        key = f"key-{seed}-{number % 997}"
        return {"jacinthpath-account": "school", "jacinthpath-key": key}

    await run_closed_loop(lambda _: url, headers_of, CALLERS, WARM_UP_REQUESTS)
    before_s = process.cpu_s() if process else 0.0
    result = await run_closed_loop(lambda _: url, headers_of, CALLERS, REQUESTS)
    used_s = process.cpu_s() - before_s if process else 0.0
    return result, used_s / REQUESTS * 1e6
