"""Runs the seeds of the soak in sequence."""

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
from .guarantees import GuaranteeChecker
from .system import System

MEAN_FAULT_INTERVAL_S = 0.7
MAX_FAULT_DURATION_S = 6.0
STARTUP_TIMEOUT_S = 15.0


class SeedResult(NamedTuple):
    """Violations, injected faults and counts of responses of one seed.

    Tools outside the repository read the fields by these names.
    """

    seed: int
    broken: list[str]
    faults: list[str]
    counts: dict[str, int]


async def run_seed(
    seed: int, fault_period_s: float, hosts: int, servers: int, report_dir: Path
) -> SeedResult:
    """Run one seed; the processes write their logs into ``report_dir``."""
    random = Random(seed)
    system = System(report_dir, random)
    fault_log: list[str] = []
    await system.start(hosts, servers)
    checker = GuaranteeChecker(system)
    callers = Callers(system, checker)
    check_task = asyncio.create_task(checker.run())
    try:
        if not await callers.wait_for_recovery():
            checker.record_violation(
                "recovery", f"hosts not ready {STARTUP_TIMEOUT_S} s after the start"
            )
        callers.start()
        await _inject_faults(system, fault_period_s, fault_log)
        await heal(system)
        if not await callers.wait_for_recovery():
            checker.record_violation(
                "recovery", "some hosts did not recover after the last fault"
            )
    finally:
        check_task.cancel()
        await callers.close()
        await system.close()
    return SeedResult(
        seed, checker.violations, fault_log, dict(checker.response_counts)
    )


async def _inject_faults(
    system: System, fault_period_s: float, fault_log: list[str]
) -> None:
    """Start faults at exponentially distributed intervals; they may overlap."""
    started_s = time.monotonic()
    active_faults = set()
    while time.monotonic() - started_s < fault_period_s:
        await asyncio.sleep(system.random.expovariate(1 / MEAN_FAULT_INTERVAL_S))
        name = system.random.choice(sorted(FAULTS))
        duration_s = MAX_FAULT_DURATION_S * system.random.random()
        fault_log.append(
            f"{time.monotonic() - started_s:7.2f} s  {name} for {duration_s:.2f} s"
        )
        task = asyncio.create_task(FAULTS[name](system, duration_s))
        active_faults.add(task)
        task.add_done_callback(active_faults.discard)
    await asyncio.gather(*active_faults)


def write_report(result: SeedResult, report_dir: Path) -> None:
    """Write ``report.md`` into the directory with the logs of a failed seed."""
    lines = [f"# Seed {result.seed}", "", "## Violated guarantees", ""]
    lines += [f"- {line}" for line in result.broken]
    lines += ["", "## Faults", ""]
    lines += [f"- {line}" for line in result.faults]
    lines += ["", "## Responses by request kind and status", ""]
    lines += [f"- {name}: {count}" for name, count in sorted(result.counts.items())]
    (report_dir / "report.md").write_text("\n".join(lines) + "\n")


@click.command()
@click.option("--seeds", default=1, show_default=True, help="Number of seeds to run.")
@click.option("--from", "first", default=1, show_default=True, help="First seed.")
@click.option(
    "--minutes",
    default=0.25,
    show_default=True,
    help="Minutes of fault injection per seed.",
)
@click.option("--hosts", default=4, show_default=True)
@click.option("--servers", default=3, show_default=True, help="Servers per service.")
@click.option(
    "--reports",
    default="reports/soak",
    show_default=True,
    type=click.Path(path_type=Path),
)
def main(
    seeds: int, first: int, minutes: float, hosts: int, servers: int, reports: Path
) -> None:
    """Run SEEDS seeds; the exit status is 1 if a guarantee was violated."""
    failed = 0
    for seed in range(first, first + seeds):
        report_dir = reports / str(seed)
        shutil.rmtree(report_dir, ignore_errors=True)
        report_dir.mkdir(parents=True)
        result = asyncio.run(run_seed(seed, minutes * 60, hosts, servers, report_dir))
        served = sum(n for name, n in result.counts.items() if name.endswith(" 200"))
        total = sum(result.counts.values())
        summary = f"{len(result.broken)} violations" if result.broken else "kept"
        click.echo(
            f"seed {seed}: {summary}, {len(result.faults)} faults, "
            f"{served} of {total} requests served"
        )
        if result.broken:
            failed += 1
            write_report(result, report_dir)
            for line in result.broken[:10]:
                click.echo(f"  {line}")
        else:
            shutil.rmtree(report_dir)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
