"""Service at the demand peak and head-of-line blocking with real processes.

The same load runs through entry processes and then through naive routers, to the
same stand-in servers.
"""

from __future__ import annotations

__all__ = ["run"]

import asyncio
import math
import random
import sys
import tempfile
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from ..fleet import Fleet, ServiceSpec
from ..open_loop import Arrival, Outcome, read_outcomes, write_schedule
from . import MEASURES, Result, print_variant

HOSTS = 4
SERVERS = 8
SLOTS = 3
MEAN_WORK_MS = 25.0
WORK_SIGMA = 0.5
STRAGGLER_SHARE = 0.01
STRAGGLER_FACTOR = 30
DEADLINE_MS = 1_000
DEFER_LIMIT_S = 20.0
BASE_LOAD = 0.3
PEAK_LOAD = 1.5
BEFORE_PEAK_S = 6.0
PEAK_S = 5.0
AFTER_PEAK_S = 6.0
PRIORITY_MIX = {"first": 0.45, "normal": 0.35, "deferrable": 0.2}
LOAD_GENERATORS = 2


@MEASURES.register("crest-processes")
def run(seed: int) -> Result:
    """Measure the share of first-class requests within their deadline at the peak."""
    with tempfile.TemporaryDirectory() as directory:
        return asyncio.run(_measure(Path(directory), seed))


async def _measure(directory: Path, seed: int) -> Result:
    service = ServiceSpec("work", servers=SERVERS)
    variants = []
    async with Fleet(directory, [service], hosts=HOSTS) as fleet:
        await fleet.apply(_configuration(fleet))
        await fleet.wait_until_ready()
        await asyncio.sleep(0.5)
        targets = [
            fleet.processes[f"work-{index}"].addresses["address"]
            for index in range(SERVERS)
        ]
        options = [option for target in targets for option in ("--target", target)]
        concurrency = str(math.ceil(SERVERS * SLOTS / HOSTS))
        naive = [
            await fleet.spawn(
                f"naive-{index}",
                "bench.naive_router",
                *options,
                "--concurrency",
                concurrency,
            )
            for index in range(HOSTS)
        ]
        urls = {
            "product": [
                f"http://{entry.addresses['callers_address']}/work"
                for entry in fleet.entries
            ],
            "naive": [f"http://{p.addresses['address']}/work" for p in naive],
        }
        for name in ("product", "naive"):
            before = await _count_runs(fleet)
            outcomes = await _run_load(directory, urls[name], seed)
            runs = await _count_runs(fleet) - before
            variants.append(_summarise(name, outcomes, runs))
    by_name = {variant["variant"]: variant for variant in variants}
    return Result(
        by_name["product"]["first_in_time"],
        by_name["naive"]["first_in_time"],
        "share",
        tuple(variants),
    )


def _configuration(fleet: Fleet) -> str:
    """Return one template per priority class, each with an account of its name."""
    endpoints = "\n".join(
        f'[[templates.{{name}}.services.work.endpoints]]\nserver = "work-{index}"\n'
        f'address = "{fleet.processes[f"work-{index}"].addresses["address"]}"'
        for index in range(SERVERS)
    )
    parts = []
    for name in PRIORITY_MIX:
        defer = f"defer_limit_s = {DEFER_LIMIT_S}" if name == "deferrable" else ""
        parts.append(
            f'[templates.{name}.services.work]\npriority = "{name}"\n'
            f"deadline_ms = {DEADLINE_MS}\n{defer}\n"
            + endpoints.replace("{name}", name)
            + f'\n[accounts.{name}]\ntemplate = "{name}"'
        )
    parts.append('[accounts.school]\ntemplate = "first"')
    return "\n".join(parts) + "\n"


def _schedule(urls: list[str], seed: int) -> list[Arrival]:
    randomness = random.Random(seed)
    mean_factor = 1 + STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1)
    capacity = SERVERS * SLOTS / (MEAN_WORK_MS / 1000 * mean_factor)
    arrivals = []
    at_s = 0.0
    while at_s < BEFORE_PEAK_S + PEAK_S + AFTER_PEAK_S:
        is_peak = BEFORE_PEAK_S <= at_s < BEFORE_PEAK_S + PEAK_S
        rate = capacity * (PEAK_LOAD if is_peak else BASE_LOAD)
        at_s += randomness.expovariate(rate)
        work_ms = MEAN_WORK_MS * math.exp(
            randomness.gauss(-WORK_SIGMA * WORK_SIGMA / 2, WORK_SIGMA)
        )
        shape = randomness.randrange(6)
        if randomness.random() < STRAGGLER_SHARE:
            work_ms *= STRAGGLER_FACTOR
        account = randomness.choices([*PRIORITY_MIX], [*PRIORITY_MIX.values()])[0]
        deadline_ms = DEADLINE_MS
        if account == "deferrable":
            deadline_ms = int(DEFER_LIMIT_S * 1000)
        url = f"{randomness.choice(urls)}/shape-{shape}?ms={work_ms:.1f}"
        arrivals.append(Arrival(at_s, url, account, deadline_ms, work_ms))
    return arrivals


async def _run_load(directory: Path, urls: list[str], seed: int) -> list[Outcome]:
    arrivals = _schedule(urls, seed)
    tasks = []
    for index in range(LOAD_GENERATORS):
        schedule = directory / f"schedule-{index}.json"
        output = directory / f"outcomes-{index}.json"
        write_schedule(schedule, arrivals[index::LOAD_GENERATORS])
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "bench.open_loop", str(schedule), str(output)
        )
        tasks.append((process, output))
    outcomes: list[Outcome] = []
    for process, output in tasks:
        await process.wait()
        outcomes += read_outcomes(output)
    return outcomes


async def _count_runs(fleet: Fleet) -> int:
    stats = [await fleet.server_stats(f"work-{index}") for index in range(SERVERS)]
    return sum(entry["counts"]["runs"] for entry in stats)


def _summarise(name: str, outcomes: list[Outcome], runs: int) -> dict[str, Any]:
    peak = [o for o in outcomes if BEFORE_PEAK_S <= o.at_s < BEFORE_PEAK_S + PEAK_S]
    first = [o for o in peak if o.account == "first"]
    in_time = [o for o in first if o.status == 200 and o.latency_ms <= DEADLINE_MS]
    deferred = [o for o in outcomes if o.account == "deferrable"]
    deferred_done = [o for o in deferred if o.status == 200]
    short = HdrHistogram(1, 60_000_000, 3)
    for outcome in outcomes:
        if outcome.work_ms < MEAN_WORK_MS * 4 and outcome.account == "first":
            short.record_value(max(1, int(outcome.latency_ms * 1000)))
    return print_variant(
        name,
        first_in_time=len(in_time) / len(first),
        crest_requests=len(peak),
        short_first_p99_ms=short.get_value_at_percentile(99) / 1000,
        all_answered=sum(o.status == 200 for o in outcomes) / len(outcomes),
        deferrable_answered=len(deferred_done) / max(1, len(deferred)),
        runs_at_servers=runs,
        requests=len(outcomes),
        load_calm=BASE_LOAD,
        load_crest=PEAK_LOAD,
    )
