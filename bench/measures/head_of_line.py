"""Blocking of short work behind long work.

99th percentile of the latency of first-class and normal requests that are no
stragglers, at a crest of 0.9 of the capacity, so that long work and not an
overload delays the short work. Deferrable work is part of the load and goes to
the queue on arrival, without the planner, in both variants. It has no latency
to keep and is not counted; its percentile is on the variant lines. A request
that was given up counts as infinitely late.
"""

from __future__ import annotations

__all__ = ["run"]

from typing import Any

from bench.drivers import NaiveRouter, Router, Run, simulate
from bench.model import (
    CHIMBORAZO,
    SWINGS,
    WENDELSTEIN,
    Job,
    Scenario,
    crest_utilisation,
    generate_jobs,
    percentile,
)
from bench.product import ProductRouter

from . import MEASURES, Result, print_variant

CALM_UTILISATION = 0.09
DEFER_LIMIT_S = 60.0
TAIL_S = 75.0
SHARE = 0.99


@MEASURES.register("head-of-line")
def run(seed: int) -> Result:
    """Return the figures of the deployment where the ratio is worse."""
    outcomes = [_run_scenario(scenario, seed) for scenario in (CHIMBORAZO, WENDELSTEIN)]
    worst = max(outcomes, key=lambda lines: lines[0]["p99_ms"] / lines[1]["p99_ms"])
    variants = tuple(line for lines in outcomes for line in lines)
    return Result(worst[0]["p99_ms"], worst[1]["p99_ms"], "ms", variants)


def _run_scenario(scenario: Scenario, seed: int) -> list[dict[str, Any]]:
    def product(run: Run, host: int) -> Router:
        return ProductRouter(run, host, seed, DEFER_LIMIT_S, planned=False)

    lines = []
    for name, make_router in (("product", product), ("naive", NaiveRouter)):
        jobs = generate_jobs(scenario, SWINGS, CALM_UTILISATION, seed)
        simulate(scenario, jobs, make_router, TAIL_S)
        values = _summarise(scenario, jobs)
        lines.append(print_variant(f"{name}-{scenario.name}", **values))
    return lines


def _summarise(scenario: Scenario, jobs: list[Job]) -> dict[str, Any]:
    short = [job for job in jobs if not job.straggler]
    counted = [job for job in short if job.priority != "deferrable"]
    deferrable = [job for job in short if job.priority == "deferrable"]
    long = [job for job in jobs if job.straggler and job.priority != "deferrable"]
    values = {
        "p99_ms": _percentile_ms(counted),
        "deferrable_p99_ms": _percentile_ms(deferrable),
        "long_p50_ms": _percentile_ms(long, 0.5),
        "long_in_time": sum(job.ended <= job.deadline for job in long) / len(long),
        "crest_utilisation": crest_utilisation(scenario, jobs),
    }
    for service in scenario.services:
        own = [job for job in counted if job.service == service.name]
        values[f"p99_ms_{service.name}"] = _percentile_ms(own)
    return values


def _percentile_ms(jobs: list[Job], share: float = SHARE) -> float:
    return percentile([(job.ended - job.arrival) * 1000 for job in jobs], share)
