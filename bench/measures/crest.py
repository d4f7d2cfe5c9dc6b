"""Service at the peak of a demand surge.

Share of the first-class requests arriving at the peak that were completed within
their deadline. The decision logic runs on a virtual clock against the server
model; base demand is 0.15 of the capacity, so that the peak of ten times as much
offers 1.5 times the capacity, of which first-class work is below one half.
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
    is_at_peak,
)
from bench.product import ProductRouter

from . import MEASURES, Result, print_variant

BASE_UTILISATION = 0.15
DEFER_LIMIT_S = 60.0
DRAIN_S = 75.0


@MEASURES.register("crest")
def run(seed: int) -> Result:
    """Return the figures of the deployment where the product performs worse."""
    outcomes = [_run_scenario(scenario, seed) for scenario in (CHIMBORAZO, WENDELSTEIN)]
    worst = min(outcomes, key=lambda lines: lines[0]["in_time"])
    variants = tuple(line for lines in outcomes for line in lines)
    return Result(worst[0]["in_time"], worst[1]["in_time"], "share", variants)


def _run_scenario(scenario: Scenario, seed: int) -> list[dict[str, Any]]:
    def product(run: SimulationRun, host: int) -> Router:
        return ProductRouter(run, host, seed, DEFER_LIMIT_S)

    lines = []
    for name, make_router in (("product", product), ("naive", NaiveRouter)):
        jobs = generate_jobs(scenario, DEMAND_CURVE, BASE_UTILISATION, seed)
        outcome = simulate(scenario, jobs, make_router, DRAIN_S)
        values = _summarise(scenario, jobs)
        values["attempts"] = outcome.counts["attempts"]
        values["retries"] = outcome.counts["retries"]
        if name == "product":
            deferred = [job for job in jobs if job.priority == "deferrable"]
            values["deferrable_late"] = sum(
                job.ended > job.deadline for job in deferred
            )
            values["defer_limit_s"] = DEFER_LIMIT_S
            late_give_ups = [
                share for share in outcome.give_up_deadline_shares if share > 0.8
            ]
            values["given_up"] = len(outcome.give_up_deadline_shares)
            values["given_up_after_0.8_of_deadline"] = len(late_give_ups)
        lines.append(print_variant(f"{name}-{scenario.name}", **values))
    return lines


def _summarise(scenario: Scenario, jobs: list[Job]) -> dict[str, Any]:
    peak = [job for job in jobs if is_at_peak(job)]
    first = [job for job in peak if job.priority == "first"]
    normal = [job for job in peak if job.priority == "normal"]
    values = {
        "in_time": _share_in_time(first),
        "normal_in_time": _share_in_time(normal),
        "crest_utilisation": compute_peak_utilisation(scenario, jobs),
        "first_class_utilisation": compute_peak_utilisation(scenario, jobs, "first"),
        "first_class_requests": len(first),
    }
    for service in scenario.services:
        own = [job for job in first if job.service == service.name]
        values[f"in_time_{service.name}"] = _share_in_time(own)
    return values


def _share_in_time(jobs: list[Job]) -> float:
    return sum(job.ended <= job.deadline for job in jobs) / len(jobs)
