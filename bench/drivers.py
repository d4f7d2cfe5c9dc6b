"""Runs of a load through ten entry hosts on a virtual clock.

:class:`NaiveRouter` is the baseline: round robin, one first-come queue for each
service and blind retries. ``bench.product`` has the router that wires the
decision modules. Both see the same jobs and the same model of the servers.
"""

from __future__ import annotations

__all__ = ["NaiveRouter", "Router", "Run", "simulate"]

from collections import Counter, deque
from collections.abc import Callable
from typing import Protocol

from .model import (
    DATA_CENTRES,
    HOSTS,
    NEAR_S,
    NEW_CONNECTION_S,
    Job,
    Scenario,
    Server,
    VirtualClock,
    build_servers,
)

NAIVE_ATTEMPTS = 3


class Router(Protocol):
    """One entry host of a run.

    :param in_use: connections in use by server.
    :param opened: connections opened by server; they are kept.
    """

    data_centre: str
    in_use: Counter[str]
    opened: Counter[str]

    def arrive(self, job: Job) -> None:
        """Take a request from a caller."""


class Run:
    """What the routers of one run share: clock, servers, counters."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.clock = VirtualClock()
        self.servers = build_servers(scenario, self.clock)
        self.counts: Counter[str] = Counter()
        self.given_up_at: list[float] = []
        self._attempt = 0

    def send(
        self,
        router: Router,
        server: Server,
        job: Job,
        deadline: float,
        done: Callable[[str], None],
    ) -> int:
        """Send an attempt over the network and return its number."""
        self._attempt += 1
        self.counts["attempts"] += 1
        near = server.endpoint.data_centre == router.data_centre
        delay = NEAR_S if near else self.scenario.between_s
        name = server.endpoint.server
        router.in_use[name] += 1
        extra = 0.0
        if router.in_use[name] > router.opened[name]:
            router.opened[name] += 1
            extra = NEW_CONNECTION_S

        def answer(outcome: str) -> None:
            self.clock.call_at(self.clock.now + delay, arrive, outcome)

        def arrive(outcome: str) -> None:
            router.in_use[name] -= 1
            done(outcome)

        self.clock.call_at(
            self.clock.now + delay + extra,
            server.submit,
            self._attempt,
            job.length_s,
            deadline,
            answer,
        )
        return self._attempt


class NaiveRouter:
    """One entry host with round robin, one queue a service and blind retries.

    It keeps its share of each server's connections. When the deadline of a
    request passes its caller closes the connection, the server abandons the
    request, and the caller asks again at once, up to three attempts.
    """

    def __init__(self, run: Run, host: int) -> None:
        self.run = run
        self.clock = run.clock
        self.data_centre = f"dc{host % DATA_CENTRES}"
        self.in_use: Counter[str] = Counter()
        self.opened: Counter[str] = Counter()
        self._share = run.scenario.connections // HOSTS
        self._queues: dict[str, deque] = {
            service.name: deque() for service in run.scenario.services
        }
        self._deadlines = {
            service.name: service.deadline_s for service in run.scenario.services
        }
        self._turn: Counter[str] = Counter()
        self._sent: dict[int, tuple[Server, int]] = {}
        self._tries: Counter[int] = Counter()

    def arrive(self, job: Job) -> None:
        """Take a request, the first time or again."""
        self._tries[job.job_id] += 1
        turn = self._tries[job.job_id]
        self._queues[job.service].append((job, turn))
        deadline = self.clock.now + self._deadlines[job.service]
        self.clock.call_at(deadline, self._time_out, job, turn)
        self._dispatch(job.service)

    def _dispatch(self, service: str) -> None:
        queue = self._queues[service]
        while queue:
            job, turn = queue[0]
            if self._tries[job.job_id] != turn or job.ended < float("inf"):
                queue.popleft()
                continue
            server = self._pick(job)
            if server is None:
                return
            queue.popleft()
            self._send(job, turn, server)

    def _pick(self, job: Job) -> Server | None:
        servers = self.run.servers[job.service]
        if job.key_server:
            server = servers[job.key_server]
            free = self.in_use[job.key_server] < self._share
            return server if free else None
        names = list(servers)
        for _ in names:
            self._turn[job.service] += 1
            name = names[self._turn[job.service] % len(names)]
            if self.in_use[name] < self._share:
                return servers[name]
        return None

    def _send(self, job: Job, turn: int, server: Server) -> None:
        def done(outcome: str) -> None:
            self._finished(job, turn, outcome)

        attempt = self.run.send(self, server, job, float("inf"), done)
        self._sent[job.job_id] = (server, attempt)

    def _finished(self, job: Job, turn: int, outcome: str) -> None:
        if self._tries[job.job_id] == turn and job.ended == float("inf"):
            if outcome == "answered":
                job.ended = self.clock.now
                self._sent.pop(job.job_id, None)
            else:
                self._repeat(job)
        self._dispatch(job.service)

    def _time_out(self, job: Job, turn: int) -> None:
        if self._tries[job.job_id] != turn or job.ended < float("inf"):
            return
        sent = self._sent.pop(job.job_id, None)
        if sent is not None:
            server, attempt = sent
            if server.cancel(attempt):
                self.in_use[server.endpoint.server] -= 1
        self._repeat(job)
        self._dispatch(job.service)

    def _repeat(self, job: Job) -> None:
        if self._tries[job.job_id] < NAIVE_ATTEMPTS:
            self.run.counts["retries"] += 1
            self.arrive(job)
        else:
            self.run.counts[f"given_up_{job.priority}"] += 1
            self._tries[job.job_id] += 1


def simulate(
    scenario: Scenario,
    jobs: list[Job],
    make_router: Callable[[Run, int], Router],
    tail_s: float,
) -> Run:
    """Run a load through ten hosts; each job's ``ended`` tells how it went.

    :param make_router: called with the run and the number of each host.
    :param tail_s: how long the run goes on after the last arrival.
    """
    run = Run(scenario)
    routers = [make_router(run, host) for host in range(HOSTS)]
    for servers in run.servers.values():
        next(iter(servers.values())).restart_cold()
    for job in jobs:
        run.clock.call_at(job.arrival, routers[job.host].arrive, job)
    run.clock.run_until(jobs[-1].arrival + tail_s)
    return run
