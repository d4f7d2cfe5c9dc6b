"""Head-of-line blocking of short requests behind long ones.

99th percentile of the latency of first-class and normal requests that are not
stragglers, at a peak of 0.9 of the capacity, so that long requests and not an
overload delay the short ones. Deferrable work is part of the load and is queued
on arrival, without the planner, in both variants. It has no latency target and
is not counted; its percentile is on the variant lines. A request that was given
up counts as infinitely late.
"""

from __future__ import annotations

__all__ = ["run"]

from typing import Any

from bench.drivers import NaiveRouter, Router, SimulationRun, simulate
from bench.model import (
    CHIMBORAZO,
    DEMAND_CURVE,
    WENDELSTEIN,
    Job,
    Scenario,
    compute_peak_utilisation,
    generate_jobs,
    percentile,
)
from bench.product import ProductRouter

from . import MEASURES, Result, print_variant

BASE_UTILISATION = 0.09
DEFER_LIMIT_S = 60.0
DRAIN_S = 75.0
PERCENTILE_SHARE = 0.99


@MEASURES.register("head-of-line")
def run(seed: int) -> Result:
    """Return the figures of the deployment where the ratio is worse."""
    outcomes = [_run_scenario(scenario, seed) for scenario in (CHIMBORAZO, WENDELSTEIN)]
    worst = max(outcomes, key=lambda lines: lines[0]["p99_ms"] / lines[1]["p99_ms"])
    variants = tuple(line for lines in outcomes for line in lines)
    return Result(worst[0]["p99_ms"], worst[1]["p99_ms"], "ms", variants)


def _run_scenario(scenario: Scenario, seed: int) -> list[dict[str, Any]]:
    def product(run: SimulationRun, host: int) -> Router:
        return ProductRouter(run, host, seed, DEFER_LIMIT_S, use_planner=False)

    lines = []
    for name, make_router in (("product", product), ("naive", NaiveRouter)):
        jobs = generate_jobs(scenario, DEMAND_CURVE, BASE_UTILISATION, seed)
        simulate(scenario, jobs, make_router, DRAIN_S)
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
        "crest_utilisation": compute_peak_utilisation(scenario, jobs),
    }
    for service in scenario.services:
        own = [job for job in counted if job.service == service.name]
        values[f"p99_ms_{service.name}"] = _percentile_ms(own)
    return values


def _percentile_ms(jobs: list[Job], share: float = PERCENTILE_SHARE) -> float:
    return percentile([(job.ended - job.arrival) * 1000 for job in jobs], share)
