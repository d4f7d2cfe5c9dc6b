"""Simulation model of the deployments: sizes, load and servers on a virtual clock.

Used by the measures that run the decision logic without processes. It models how
a server handles requests and contains nothing of the router.
"""

from __future__ import annotations

__all__ = [
    "CHIMBORAZO",
    "DEMAND_CURVE",
    "WENDELSTEIN",
    "Job",
    "Scenario",
    "Server",
    "ServiceModel",
    "VirtualClock",
    "build_servers",
    "compute_peak_utilisation",
    "generate_jobs",
    "interpolate_multiplier",
    "is_at_peak",
    "percentile",
]

import heapq
import math
from collections import deque
from collections.abc import Callable, Iterator
from random import Random
from typing import Any, NamedTuple

from jacinthpath.configuration import Endpoint, ServicePolicy

HOSTS = 10
SLOTS = 3
DATA_CENTRES = 4
STRAGGLER_SHARE = 0.01
STRAGGLER_FACTOR = 30.0
# Half of the stragglers have a distinct request shape; the others share the shapes
# of ordinary requests.
DISTINCT_SHAPE_SHARE = 0.5
SHAPES = 6
ACCOUNTS_PER_CLASS = 5
# Standard deviation of the logarithm of ordinary request durations.
LENGTH_SIGMA = 0.5
# A server that has just started runs its first COLD_REQUESTS requests slower by
# COLD_FACTOR.
COLD_REQUESTS = 100
COLD_FACTOR = 3.0
NEW_CONNECTION_S = 0.001
SAME_DATA_CENTRE_DELAY_S = 0.00005


class ServiceModel(NamedTuple):
    """One service of a deployment.

    :param mean_s: mean duration of ordinary requests.
    :param priority_mix: share of the requests in each class, in the order of
        ``jacinthpath.configuration.PRIORITIES``.
    """

    name: str
    servers: int
    keyed: bool
    idempotent: bool
    mean_s: float
    deadline_s: float
    priority_mix: tuple[float, float, float]

    def rate_at_capacity(self) -> float:
        """Return the request rate per second that keeps all slots busy."""
        growth = 1 + STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1)
        return self.servers * SLOTS / (self.mean_s * growth)


class Scenario(NamedTuple):
    """One deployment.

    :param cross_data_centre_delay_s: one-way delay between data centres.
    """

    name: str
    connections: int
    cross_data_centre_delay_s: float
    services: tuple[ServiceModel, ...]


# In the keyed and the non-idempotent services 45% of the requests are first-class,
# so that these alone fit the servers at a peak of 1.5 times their capacity.
CHIMBORAZO = Scenario(
    "chimborazo",
    100,
    0.00025,
    (
        ServiceModel("preview", 8, True, True, 0.010, 1.0, (0.45, 0.35, 0.2)),
        ServiceModel("publish", 8, False, False, 0.040, 4.0, (0.45, 0.45, 0.1)),
        ServiceModel("archive", 8, False, True, 0.015, 1.0, (0.1, 0.3, 0.6)),
        ServiceModel("glyph", 8, False, True, 0.008, 1.0, (0.1, 0.3, 0.6)),
    ),
)
WENDELSTEIN = Scenario(
    "wendelstein",
    130,
    0.00075,
    (
        ServiceModel("inventory", 10, True, True, 0.010, 1.0, (0.45, 0.35, 0.2)),
        ServiceModel("booking", 8, False, False, 0.030, 4.0, (0.45, 0.45, 0.1)),
        ServiceModel("measurements", 10, False, True, 0.012, 1.0, (0.2, 0.6, 0.2)),
        ServiceModel("catalogue", 10, False, True, 0.008, 1.0, (0.1, 0.3, 0.6)),
    ),
)


class Job:
    """One simulated request.

    ``ended`` is infinite until the request completes.
    """

    __slots__ = (
        "account",
        "arrival",
        "deadline",
        "ended",
        "host",
        "job_id",
        "key_server",
        "length_s",
        "priority",
        "service",
        "shape",
        "straggler",
    )

    def __init__(self, **values: Any) -> None:
        for name, value in values.items():
            setattr(self, name, value)
        self.ended = math.inf


class VirtualClock:
    """Event queue that runs callbacks in the order of their virtual time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._sequence = 0

    def call_at(self, when: float, callback: Callable[..., None], *args: Any) -> None:
        """Run ``callback(*args)`` at a virtual time in seconds."""
        self._sequence += 1
        when = max(when, self.now)
        heapq.heappush(self._events, (when, self._sequence, callback, args))

    def run_until(self, end: float) -> None:
        """Run all callbacks that are due by ``end``."""
        while self._events and self._events[0][0] <= end:
            self.now, _, callback, args = heapq.heappop(self._events)
            callback(*args)


class Server:
    """Server with request slots, a FIFO queue and slow requests after a start.

    It supports cancellation and deadlines: it does not start a request whose
    deadline has passed, and a cancelled request frees its slot.
    """

    def __init__(self, clock: VirtualClock, endpoint: Endpoint, connections: int):
        self.clock = clock
        self.endpoint = endpoint
        self.connections = connections
        self.busy_s = 0.0
        self._cold_requests_left = 0
        self._running: set[int] = set()
        self._queue: deque[int] = deque()
        self._attempts: dict[int, tuple[float, float, Callable[[str], None]]] = {}

    def restart_cold(self) -> None:
        """Run the next ``COLD_REQUESTS`` requests as slowly as after a start."""
        self._cold_requests_left = COLD_REQUESTS

    def reports_healthy(self) -> bool:
        """Return the reported health; the first server of a service reports wrongly."""
        return not self.endpoint.server.endswith("-0")

    def submit(
        self,
        attempt: int,
        length_s: float,
        deadline: float,
        done: Callable[[str], None],
    ) -> None:
        """Accept a request; ``done`` gets ``answered``, ``refused`` or ``expired``."""
        if len(self._attempts) >= self.connections:
            done("refused")
            return
        self._attempts[attempt] = (length_s, deadline, done)
        self._queue.append(attempt)
        self._start_next()

    def cancel(self, attempt: int) -> bool:
        """Abandon a request whose connection was closed, unless it has ended."""
        if self._attempts.pop(attempt, None) is None:
            return False
        self._running.discard(attempt)
        self._start_next()
        return True

    def _start_next(self) -> None:
        while self._queue and len(self._running) < SLOTS:
            attempt = self._queue.popleft()
            if attempt not in self._attempts:
                continue
            length_s, deadline, done = self._attempts[attempt]
            if self.clock.now > deadline:
                del self._attempts[attempt]
                done("expired")
                continue
            if self._cold_requests_left:
                self._cold_requests_left -= 1
                length_s *= COLD_FACTOR
            self._running.add(attempt)
            self.clock.call_at(
                self.clock.now + length_s, self._finish, attempt, self.clock.now
            )

    def _finish(self, attempt: int, started: float) -> None:
        if attempt not in self._running:
            return
        self._running.remove(attempt)
        self.busy_s += self.clock.now - started
        done = self._attempts.pop(attempt)[2]
        done("answered")
        self._start_next()


def _build_endpoints(service: ServiceModel) -> tuple[Endpoint, ...]:
    names = (f"{service.name}-{index}" for index in range(service.servers))
    return tuple(
        Endpoint(name, f"{name}:80", f"dc{index % DATA_CENTRES}")
        for index, name in enumerate(names)
    )


def build_servers(
    scenario: Scenario, clock: VirtualClock
) -> dict[str, dict[str, Server]]:
    """Return the servers of each service by name."""
    return {
        service.name: {
            endpoint.server: Server(clock, endpoint, scenario.connections)
            for endpoint in _build_endpoints(service)
        }
        for service in scenario.services
    }


def build_policy(scenario: Scenario, service: ServiceModel) -> ServicePolicy:
    """Return the policy that the accounts' templates give a service."""
    return ServicePolicy(
        service.name,
        keyed=service.keyed,
        idempotent=service.idempotent,
        deadline_ms=int(service.deadline_s * 1000),
        connections_per_server=scenario.connections,
        endpoints=_build_endpoints(service),
    )


# Demand over time: (seconds, multiple of the base demand).
DemandCurve = tuple[tuple[float, float], ...]

# Demand rises to 3, 10 and 6 times the base demand, each within a second.
DEMAND_CURVE: DemandCurve = (
    (0.0, 1.0),
    (5.0, 1.0),
    (6.0, 3.0),
    (9.0, 3.0),
    (10.0, 1.0),
    (12.0, 1.0),
    (13.0, 10.0),
    (19.0, 10.0),
    (20.0, 1.0),
    (23.0, 1.0),
    (24.0, 6.0),
    (27.0, 6.0),
    (28.0, 1.0),
    (32.0, 1.0),
)


def interpolate_multiplier(demand_curve: DemandCurve, when: float) -> float:
    """Return the multiple of the base demand, interpolated between points."""
    for (start, low), (end, high) in zip(demand_curve, demand_curve[1:], strict=False):
        if when <= end:
            return low + (high - low) * (when - start) / (end - start)
    return demand_curve[-1][1]


def is_at_peak(job: Job) -> bool:
    """Return whether a job of a run under ``DEMAND_CURVE`` arrived at the peak."""
    return 13.0 <= job.arrival < 19.0


def compute_peak_utilisation(
    scenario: Scenario, jobs: list[Job], priority: str = ""
) -> float:
    """Return the work offered at the peak divided by the capacity of the slots."""
    work_s = sum(
        job.length_s
        for job in jobs
        if is_at_peak(job) and priority in ("", job.priority)
    )
    slots = SLOTS * sum(service.servers for service in scenario.services)
    return work_s / (slots * 6.0)


def percentile(values: list[float], share: float) -> float:
    """Return the smallest value with at least ``share`` of all at or below it."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def generate_jobs(
    scenario: Scenario, demand_curve: DemandCurve, base_utilisation: float, seed: int
) -> list[Job]:
    """Return the jobs of a run, in the order of arrival.

    :param base_utilisation: offered work divided by the capacity of each service,
        at a demand multiple of 1.
    """
    random = Random(seed)
    jobs: list[Job] = []
    for service in scenario.services:
        weights = [random.uniform(0.8, 1.2) for _ in range(service.servers)]
        rate = service.rate_at_capacity() * base_utilisation
        for when in _generate_arrivals(demand_curve, rate, random):
            jobs.append(_make_job(service, weights, when, random))
    jobs.sort(key=lambda job: job.arrival)
    for index, job in enumerate(jobs):
        job.job_id = index
    return jobs


def _generate_arrivals(
    demand_curve: DemandCurve, base_rate: float, random: Random
) -> Iterator[float]:
    """Yield Poisson arrivals whose rate follows the demand curve, by thinning."""
    peak = max(multiple for _, multiple in demand_curve)
    when = 0.0
    while True:
        when += random.expovariate(base_rate * peak)
        if when >= demand_curve[-1][0]:
            return
        if random.random() * peak < interpolate_multiplier(demand_curve, when):
            yield when


def _make_job(
    service: ServiceModel, weights: list[float], when: float, random: Random
) -> Job:
    straggler = random.random() < STRAGGLER_SHARE
    shape = random.randrange(SHAPES)
    scale = 0.7 + 0.6 * shape / (SHAPES - 1)
    if straggler:
        scale = STRAGGLER_FACTOR
        if random.random() < DISTINCT_SHAPE_SHARE:
            shape = SHAPES
    length_s = (
        service.mean_s
        * scale
        * random.lognormvariate(-(LENGTH_SIGMA**2) / 2, LENGTH_SIGMA)
    )
    priority = random.choices(("first", "normal", "deferrable"), service.priority_mix)[
        0
    ]
    server = random.choices(range(len(weights)), weights)[0]
    return Job(
        account=f"{priority}-{int(ACCOUNTS_PER_CLASS * random.random() ** 2)}",
        arrival=when,
        deadline=when + service.deadline_s,
        host=random.randrange(HOSTS),
        key_server=f"{service.name}-{server}" if service.keyed else "",
        length_s=length_s,
        priority=priority,
        service=service.name,
        shape=f"shape-{shape}",
        straggler=straggler,
    )
