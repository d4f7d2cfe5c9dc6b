"""Runs seeds of the soak one after the other."""

from __future__ import annotations

import asyncio
import shutil
import sys
import time
from pathlib import Path
from random import Random
from typing import NamedTuple

import click

from .callers import Callers
from .faults import FAULTS, heal
from .promises import Promises
from .system import System

FAULT_GAP_S = 0.7
LONGEST_FAULT_S = 6.0
STARTED_S = 15.0


class Outcome(NamedTuple):
    """What one seed came to."""

    seed: int
    broken: list[str]
    faults: list[str]
    counts: dict[str, int]


async def run_seed(
    seed: int, span_s: float, hosts: int, servers: int, folder: Path
) -> Outcome:
    """Run one seed; logs go to ``folder``."""
    random = Random(seed)
    system = System(folder, random)
    told: list[str] = []
    await system.start(hosts, servers)
    promises = Promises(system)
    callers = Callers(system, promises)
    watching = asyncio.create_task(promises.watch())
    try:
        if not await callers.recovered():
            promises.fail("recovery", f"not ready {STARTED_S} s after the start")
        callers.start()
        await _inject(system, span_s, told)
        await heal(system)
        if not await callers.recovered():
            promises.fail("recovery", "not all hosts serve again")
    finally:
        watching.cancel()
        await callers.close()
        await system.close()
    return Outcome(seed, promises.broken, told, dict(promises.counts))


async def _inject(system: System, span_s: float, told: list[str]) -> None:
    """Begin faults at random times; they overlap."""
    started_s = time.monotonic()
    running = set()
    while time.monotonic() - started_s < span_s:
        await asyncio.sleep(system.random.expovariate(1 / FAULT_GAP_S))
        name = system.random.choice(sorted(FAULTS))
        length_s = LONGEST_FAULT_S * system.random.random()
        told.append(
            f"{time.monotonic() - started_s:7.2f} s  {name} for {length_s:.2f} s"
        )
        task = asyncio.create_task(FAULTS[name](system, length_s))
        running.add(task)
        task.add_done_callback(running.discard)
    await asyncio.gather(*running)


def write_report(outcome: Outcome, folder: Path) -> None:
    """Leave what happened beside the logs of a failed seed."""
    lines = [f"# Seed {outcome.seed}", "", "## Broken promises", ""]
    lines += [f"- {line}" for line in outcome.broken]
    lines += ["", "## Faults", ""]
    lines += [f"- {line}" for line in outcome.faults]
    lines += ["", "## Answers", ""]
    lines += [f"- {name}: {count}" for name, count in sorted(outcome.counts.items())]
    (folder / "report.md").write_text("\n".join(lines) + "\n")


@click.command()
@click.option("--seeds", default=1, show_default=True, help="How many seeds to run.")
@click.option("--from", "first", default=1, show_default=True, help="First seed.")
@click.option("--minutes", default=0.25, show_default=True, help="Faults of a seed.")
@click.option("--hosts", default=4, show_default=True)
@click.option("--servers", default=3, show_default=True, help="Servers of a service.")
@click.option(
    "--reports",
    default="reports/soak",
    show_default=True,
    type=click.Path(path_type=Path),
)
def main(
    seeds: int, first: int, minutes: float, hosts: int, servers: int, reports: Path
) -> None:
    """Run SEEDS seeds; the exit status is 1 when a promise was broken."""
    failed = 0
    for seed in range(first, first + seeds):
        folder = reports / str(seed)
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        outcome = asyncio.run(run_seed(seed, minutes * 60, hosts, servers, folder))
        served = sum(n for name, n in outcome.counts.items() if name.endswith(" 200"))
        total = sum(outcome.counts.values())
        verdict = f"{len(outcome.broken)} broken" if outcome.broken else "kept"
        click.echo(
            f"seed {seed}: {verdict}, {len(outcome.faults)} faults, "
            f"{served} of {total} requests served"
        )
        if outcome.broken:
            failed += 1
            write_report(outcome, folder)
            for line in outcome.broken[:10]:
                click.echo(f"  {line}")
        else:
            shutil.rmtree(folder)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
