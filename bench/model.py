"""Model of the served systems: their sizes, load and servers on a virtual clock.

Used by the load tool and by the measures that drive the decision modules
without processes. It models what a server does with requests and nothing of
the router.
"""

from __future__ import annotations

__all__ = [
    "CHIMBORAZO",
    "SWINGS",
    "WENDELSTEIN",
    "Job",
    "Scenario",
    "Server",
    "ServiceModel",
    "VirtualClock",
    "at_crest",
    "build_servers",
    "crest_utilisation",
    "generate_jobs",
    "multiplier_at",
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
# Half of the stragglers have a shape of their own, half look like other work.
REVEALED_SHARE = 0.5
SHAPES = 6
ACCOUNTS_PER_CLASS = 5
# Spread of ordinary lengths: standard deviation of their logarithm.
LENGTH_SIGMA = 0.5
# A server that has just started runs this many requests this much slower.
COLD_REQUESTS = 100
COLD_FACTOR = 3.0
NEW_CONNECTION_S = 0.001
NEAR_S = 0.00005


class ServiceModel(NamedTuple):
    """One service of a deployment.

    :param mean_s: mean length of ordinary requests.
    :param mix: share of the requests in each class, in the order of
        ``jacinthpath.configuration.PRIORITIES``.
    """

    name: str
    servers: int
    keyed: bool
    idempotent: bool
    mean_s: float
    deadline_s: float
    mix: tuple[float, float, float]

    def rate_at_capacity(self) -> float:
        """Return the requests/s that keep all slots busy."""
        growth = 1 + STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1)
        return self.servers * SLOTS / (self.mean_s * growth)


class Scenario(NamedTuple):
    """One deployment.

    :param between_s: one-way delay between data centres.
    """

    name: str
    connections: int
    between_s: float
    services: tuple[ServiceModel, ...]


# The mix of the short services keeps first-class work at 45% of all, so that it
# alone fits the servers at a crest of 1.5 times their capacity.
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
    """One request of the load."""

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
    """Runs callbacks in the order of their virtual time."""

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
    """One server: slots, a first-come queue on its connections, cold starts.

    It accepts cancellation and deadlines: it does not start a request whose
    deadline has passed, and a cancelled request frees its slot.
    """

    def __init__(self, clock: VirtualClock, endpoint: Endpoint, connections: int):
        self.clock = clock
        self.endpoint = endpoint
        self.connections = connections
        self.busy_s = 0.0
        self._cold = 0
        self._running: set[int] = set()
        self._queue: deque[int] = deque()
        self._attempts: dict[int, tuple[float, float, Callable[[str], None]]] = {}

    def restart_cold(self) -> None:
        """Run the next requests as slowly as after a start."""
        self._cold = COLD_REQUESTS

    def reports_healthy(self) -> bool:
        """Return the health report; the first server of a service misreports."""
        return not self.endpoint.server.endswith("-0")

    def submit(
        self,
        attempt: int,
        length_s: float,
        deadline: float,
        done: Callable[[str], None],
    ) -> None:
        """Take a request; ``done`` gets ``answered``, ``refused`` or ``expired``."""
        if len(self._attempts) >= self.connections:
            done("refused")
            return
        self._attempts[attempt] = (length_s, deadline, done)
        self._queue.append(attempt)
        self._start_next()

    def cancel(self, attempt: int) -> bool:
        """Abandon a request whose connection was closed, if it is still here."""
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
            if self._cold:
                self._cold -= 1
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


def _endpoints(service: ServiceModel) -> tuple[Endpoint, ...]:
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
            for endpoint in _endpoints(service)
        }
        for service in scenario.services
    }


def policy_of(scenario: Scenario, service: ServiceModel) -> ServicePolicy:
    """Return the policy that the accounts' templates give a service."""
    return ServicePolicy(
        service.name,
        keyed=service.keyed,
        idempotent=service.idempotent,
        deadline_ms=int(service.deadline_s * 1000),
        connections_per_server=scenario.connections,
        endpoints=_endpoints(service),
    )


# Demand over time: (seconds, multiple of the calm demand).
Swings = tuple[tuple[float, float], ...]

# Demand rises by 3, 10 and 6 times, each within a second.
SWINGS: Swings = (
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


def multiplier_at(swings: Swings, when: float) -> float:
    """Return the multiple of the calm demand, interpolated between points."""
    for (start, low), (end, high) in zip(swings, swings[1:], strict=False):
        if when <= end:
            return low + (high - low) * (when - start) / (end - start)
    return swings[-1][1]


def at_crest(job: Job) -> bool:
    """Return whether a job of a run under ``SWINGS`` arrived at the peak."""
    return 13.0 <= job.arrival < 19.0


def crest_utilisation(scenario: Scenario, jobs: list[Job], priority: str = "") -> float:
    """Return the work offered at the peak over what the slots can do."""
    work_s = sum(
        job.length_s for job in jobs if at_crest(job) and priority in ("", job.priority)
    )
    slots = SLOTS * sum(service.servers for service in scenario.services)
    return work_s / (slots * 6.0)


def percentile(values: list[float], share: float) -> float:
    """Return the smallest value with at least ``share`` of all at or below it."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def generate_jobs(
    scenario: Scenario, swings: Swings, calm_utilisation: float, seed: int
) -> list[Job]:
    """Return the load of a run, in the order of arrival.

    :param calm_utilisation: offered work over the capacity of each service at
        a multiple of 1.
    """
    random = Random(seed)
    jobs: list[Job] = []
    for service in scenario.services:
        weights = [random.uniform(0.8, 1.2) for _ in range(service.servers)]
        rate = service.rate_at_capacity() * calm_utilisation
        for when in _arrivals(swings, rate, random):
            jobs.append(_make_job(service, weights, when, random))
    jobs.sort(key=lambda job: job.arrival)
    for index, job in enumerate(jobs):
        job.job_id = index
    return jobs


def _arrivals(swings: Swings, calm_rate: float, random: Random) -> Iterator[float]:
    """Yield Poisson arrivals whose rate follows the swings, by thinning."""
    peak = max(multiple for _, multiple in swings)
    when = 0.0
    while True:
        when += random.expovariate(calm_rate * peak)
        if when >= swings[-1][0]:
            return
        if random.random() * peak < multiplier_at(swings, when):
            yield when


def _make_job(
    service: ServiceModel, weights: list[float], when: float, random: Random
) -> Job:
    straggler = random.random() < STRAGGLER_SHARE
    shape = random.randrange(SHAPES)
    scale = 0.7 + 0.6 * shape / (SHAPES - 1)
    if straggler:
        scale = STRAGGLER_FACTOR
        if random.random() < REVEALED_SHARE:
            shape = SHAPES
    length_s = (
        service.mean_s
        * scale
        * random.lognormvariate(-(LENGTH_SIGMA**2) / 2, LENGTH_SIGMA)
    )
    priority = random.choices(("first", "normal", "deferrable"), service.mix)[0]
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
