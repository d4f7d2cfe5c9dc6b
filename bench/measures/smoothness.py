"""Attempts in the busiest minute divided by those of an ideal schedule.

Forty minutes of demand that rises to between three and ten times its base at
random times; ten hosts plan their deferrable work without communicating. Attempts
are counted per second. The ideal schedule knows all demand in advance and has the
lowest busiest minute with which all deferrable work still ends in time; other
work runs on arrival. The product attempts all work; a share of the attempts fails
and is retried within one retry budget per host. The naive baseline runs deferrable
work on arrival and retries at once, up to three attempts, requests that fail or
that the servers cannot complete within the second.
"""

from __future__ import annotations

__all__ = ["run"]

from itertools import count
from random import Random
from typing import Any, NamedTuple

from bench.model import (
    CHIMBORAZO,
    HOSTS,
    WENDELSTEIN,
    DemandCurve,
    Scenario,
    build_policy,
    interpolate_multiplier,
)
from jacinthpath.deferral import MINUTE_S, DeferralPlanner
from jacinthpath.retries import RetryBudget, decide_retry

from . import MEASURES, Result, print_variant

MINUTES = 40
BASE_UTILISATION = 0.15
DEFER_LIMIT_S = 15 * MINUTE_S
# Share of attempts that fail without being executed, for example because the server
# is restarting.
FAILED_SHARE = 0.005
NAIVE_ATTEMPTS = 3


class Demand(NamedTuple):
    """Arrivals per second and host.

    :param immediate: requests to run on arrival.
    :param deferrable: requests that may wait.
    :param capacity: requests per second that the servers can complete.
    """

    immediate: list[list[int]]
    deferrable: list[list[int]]
    capacity: float


@MEASURES.register("smoothness")
def run(seed: int) -> Result:
    """Return the figures of the deployment where the product performs worse."""
    outcomes = [_run_scenario(scenario, seed) for scenario in (CHIMBORAZO, WENDELSTEIN)]
    worst = max(outcomes, key=lambda lines: lines[0]["over_ideal"])
    variants = tuple(line for lines in outcomes for line in lines)
    return Result(worst[0]["over_ideal"], worst[1]["over_ideal"], "ratio", variants)


def _run_scenario(scenario: Scenario, seed: int) -> list[dict[str, Any]]:
    random = Random(seed)
    demand_curve = _draw_demand_curve(random)
    demand = _draw_demand(scenario, demand_curve, random)
    ideal = _compute_ideal_minute(demand)
    peak = max(multiple for _, multiple in demand_curve)
    attempts, late, retries = _run_product(scenario, demand, seed)
    product = print_variant(
        f"product-{scenario.name}",
        over_ideal=_busiest_minute(attempts) / ideal,
        late=late,
        retries=retries,
        attempts=sum(attempts),
        requests=_total(demand),
        ideal_minute=ideal,
        highest_multiple=peak,
        crest_utilisation=peak * BASE_UTILISATION,
        defer_limit_s=DEFER_LIMIT_S,
    )
    attempts, retries = _run_naive(demand, random)
    naive = print_variant(
        f"naive-{scenario.name}",
        over_ideal=_busiest_minute(attempts) / ideal,
        late=0,
        retries=retries,
        attempts=sum(attempts),
    )
    return [product, naive]


def _draw_demand_curve(random: Random) -> DemandCurve:
    """Return surges to three to ten times the base, each rising within two seconds."""
    demand_curve = [(0.0, 1.0)]
    when = random.uniform(60, 300)
    while when < (MINUTES - 5) * MINUTE_S:
        multiple = random.uniform(3, 10)
        end = when + random.uniform(20, 120)
        demand_curve += [
            (when, 1.0),
            (when + 2, multiple),
            (end, multiple),
            (end + 2, 1.0),
        ]
        when = end + random.uniform(60, 480)
    demand_curve.append((float(MINUTES * MINUTE_S), 1.0))
    return tuple(demand_curve)


def _draw_demand(
    scenario: Scenario, demand_curve: DemandCurve, random: Random
) -> Demand:
    capacity = sum(service.rate_at_capacity() for service in scenario.services)
    deferrable = sum(
        service.rate_at_capacity() * service.priority_mix[2]
        for service in scenario.services
    )
    immediate_rate = (capacity - deferrable) * BASE_UTILISATION / HOSTS
    deferrable_rate = deferrable * BASE_UTILISATION / HOSTS
    immediate, deferred = [], []
    for second in range(MINUTES * MINUTE_S):
        multiple = interpolate_multiplier(demand_curve, second)
        immediate.append(_draw_counts(immediate_rate * multiple, random))
        deferred.append(_draw_counts(deferrable_rate * multiple, random))
    return Demand(immediate, deferred, capacity)


def _draw_counts(mean: float, random: Random) -> list[int]:
    """Return a count per host; drawn from a normal, not a Poisson, law for speed."""
    return [max(0, round(random.gauss(mean, mean**0.5))) for _ in range(HOSTS)]


def _run_product(
    scenario: Scenario, demand: Demand, seed: int
) -> tuple[list[int], int, int]:
    """Return attempts per second, late requests and retries."""
    seconds = len(demand.immediate) + DEFER_LIMIT_S
    attempts = [0] * (seconds + 2)
    totals = [
        _run_host(scenario, demand, host, seed, attempts) for host in range(HOSTS)
    ]
    late = sum(total[0] for total in totals)
    return attempts, late, sum(total[1] for total in totals)


def _run_host(
    scenario: Scenario, demand: Demand, host: int, seed: int, attempts: list[int]
) -> tuple[int, int]:
    random = Random(f"{seed} {host}")
    planner = DeferralPlanner(random)
    budget = RetryBudget(0.1)
    policy = build_policy(scenario, scenario.services[-1])
    # Hosts run their planner at different offsets within the second.
    tick_offset_s = random.random()
    due: dict[int, float] = {}
    numbers = count()
    late = retries = 0
    for second in range(len(attempts) - 2):
        now = second + tick_offset_s
        immediate = deferred = 0
        if second < len(demand.immediate):
            immediate = demand.immediate[second][host]
            deferred = demand.deferrable[second][host]
        for _ in range(deferred):
            request_id = next(numbers)
            due[request_id] = now + DEFER_LIMIT_S
            planner.defer(request_id, DEFER_LIMIT_S, now)
        for _ in range(immediate):
            budget.deposit()
            if random.random() < FAILED_SHARE and decide_retry(
                policy, "not-run", ("a",), now + 1, now, budget, random
            ):
                retries += 1
                immediate += 1
        planner.record_attempts(immediate)
        attempts[second] += immediate
        for release in planner.release_times(now):
            attempts[int(release.release_at)] += 1
            late += release.release_at + 1.0 > due.pop(release.request_id)
    return late + len(due), retries


def _run_naive(demand: Demand, random: Random) -> tuple[list[int], int]:
    """Return attempts per second and retries."""
    attempts = []
    waiting = [0.0] * NAIVE_ATTEMPTS
    retries = 0.0
    for immediate, deferred in zip(demand.immediate, demand.deferrable, strict=True):
        waiting[0] = sum(immediate) + sum(deferred)
        total = sum(waiting)
        attempts.append(round(total))
        retries += total - waiting[0]
        failed_share = max(FAILED_SHARE, 1 - demand.capacity / max(1.0, total))
        waiting = [0.0, *(count * failed_share for count in waiting[:-1])]
    return attempts, round(retries)


def _busiest_minute(attempts: list[int]) -> int:
    return max(
        sum(attempts[start : start + MINUTE_S])
        for start in range(0, len(attempts), MINUTE_S)
    )


def _compute_ideal_minute(demand: Demand) -> float:
    """Return the lowest busiest minute of any schedule that ends all work in time.

    Deferrable requests of a minute may run in that minute and in the minutes up to
    their limit. A schedule with a given maximum exists if, in every interval of
    minutes, the work that must run within the interval is at most that maximum
    for each minute.
    """
    immediate = _by_minute(demand.immediate)
    deferrable = _by_minute(demand.deferrable)
    limit = DEFER_LIMIT_S // MINUTE_S
    immediate += [0] * limit
    max_per_minute = float(max(immediate))
    for first in range(MINUTES):
        work = 0
        for last in range(first, MINUTES + limit):
            work += immediate[last]
            due = last - limit
            if due >= first:
                work += deferrable[due]
            max_per_minute = max(max_per_minute, work / (last - first + 1))
    return max_per_minute


def _total(demand: Demand) -> int:
    return sum(map(sum, demand.immediate)) + sum(map(sum, demand.deferrable))


def _by_minute(counts: list[list[int]]) -> list[int]:
    seconds = [sum(hosts) for hosts in counts]
    return [
        sum(seconds[start : start + MINUTE_S])
        for start in range(0, len(seconds), MINUTE_S)
    ]
