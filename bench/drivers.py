"""Simulates a load that passes through ten entry hosts, on a virtual clock.

:class:`NaiveRouter` is the baseline: round robin, one FIFO queue per service and
unconditional retries. ``bench.product`` has the router that uses the decision
logic of the product. Both get the same jobs and the same server model.
"""

from __future__ import annotations

__all__ = ["NaiveRouter", "Router", "SimulationRun", "simulate"]

from collections import Counter, deque
from collections.abc import Callable
from typing import Protocol

from .model import (
    DATA_CENTRES,
    HOSTS,
    NEW_CONNECTION_S,
    SAME_DATA_CENTRE_DELAY_S,
    Job,
    Scenario,
    Server,
    VirtualClock,
    build_servers,
)

NAIVE_ATTEMPTS = 3


class Router(Protocol):
    """One entry host of a run.

    :param connections_in_use: connections in use by server.
    :param connections_opened: connections opened by server; they stay open.
    """

    data_centre: str
    connections_in_use: Counter[str]
    connections_opened: Counter[str]

    def handle_arrival(self, job: Job) -> None:
        """Accept a request from a caller."""


class SimulationRun:
    """State that the routers of one run share: clock, servers, counters."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.clock = VirtualClock()
        self.servers = build_servers(scenario, self.clock)
        self.counts: Counter[str] = Counter()
        self.give_up_deadline_shares: list[float] = []
        self._attempt = 0

    def send(
        self,
        router: Router,
        server: Server,
        job: Job,
        deadline: float,
        done: Callable[[str], None],
    ) -> int:
        """Send an attempt over the simulated network and return its number."""
        self._attempt += 1
        self.counts["attempts"] += 1
        near = server.endpoint.data_centre == router.data_centre
        delay = (
            SAME_DATA_CENTRE_DELAY_S
            if near
            else self.scenario.cross_data_centre_delay_s
        )
        name = server.endpoint.server
        router.connections_in_use[name] += 1
        extra = 0.0
        if router.connections_in_use[name] > router.connections_opened[name]:
            router.connections_opened[name] += 1
            extra = NEW_CONNECTION_S

        def respond(outcome: str) -> None:
            self.clock.call_at(self.clock.now + delay, deliver, outcome)

        def deliver(outcome: str) -> None:
            router.connections_in_use[name] -= 1
            done(outcome)

        self.clock.call_at(
            self.clock.now + delay + extra,
            server.submit,
            self._attempt,
            job.length_s,
            deadline,
            respond,
        )
        return self._attempt


class NaiveRouter:
    """Entry host with round robin, one queue per service and unconditional retries.

    It uses at most its share of each server's connections. When the deadline of a
    request passes, its caller closes the connection, the server abandons the
    request, and the caller retries at once, up to three attempts.
    """

    def __init__(self, run: SimulationRun, host: int) -> None:
        self.run = run
        self.clock = run.clock
        self.data_centre = f"dc{host % DATA_CENTRES}"
        self.connections_in_use: Counter[str] = Counter()
        self.connections_opened: Counter[str] = Counter()
        self._connection_share = run.scenario.connections // HOSTS
        self._queues: dict[str, deque] = {
            service.name: deque() for service in run.scenario.services
        }
        self._deadlines = {
            service.name: service.deadline_s for service in run.scenario.services
        }
        self._next_server_index: Counter[str] = Counter()
        self._sent: dict[int, tuple[Server, int]] = {}
        self._attempt_counts: Counter[int] = Counter()

    def handle_arrival(self, job: Job) -> None:
        """Queue the first attempt or a retry of a request."""
        self._attempt_counts[job.job_id] += 1
        attempt_number = self._attempt_counts[job.job_id]
        self._queues[job.service].append((job, attempt_number))
        deadline = self.clock.now + self._deadlines[job.service]
        self.clock.call_at(deadline, self._handle_timeout, job, attempt_number)
        self._dispatch(job.service)

    def _dispatch(self, service: str) -> None:
        queue = self._queues[service]
        while queue:
            job, attempt_number = queue[0]
            if self._attempt_counts[job.job_id] != attempt_number or job.ended < float(
                "inf"
            ):
                queue.popleft()
                continue
            server = self._choose_server(job)
            if server is None:
                return
            queue.popleft()
            self._send(job, attempt_number, server)

    def _choose_server(self, job: Job) -> Server | None:
        servers = self.run.servers[job.service]
        if job.key_server:
            server = servers[job.key_server]
            free = self.connections_in_use[job.key_server] < self._connection_share
            return server if free else None
        names = list(servers)
        for _ in names:
            self._next_server_index[job.service] += 1
            name = names[self._next_server_index[job.service] % len(names)]
            if self.connections_in_use[name] < self._connection_share:
                return servers[name]
        return None

    def _send(self, job: Job, attempt_number: int, server: Server) -> None:
        def done(outcome: str) -> None:
            self._handle_outcome(job, attempt_number, outcome)

        attempt = self.run.send(self, server, job, float("inf"), done)
        self._sent[job.job_id] = (server, attempt)

    def _handle_outcome(self, job: Job, attempt_number: int, outcome: str) -> None:
        if self._attempt_counts[job.job_id] == attempt_number and job.ended == float(
            "inf"
        ):
            if outcome == "answered":
                job.ended = self.clock.now
                self._sent.pop(job.job_id, None)
            else:
                self._retry(job)
        self._dispatch(job.service)

    def _handle_timeout(self, job: Job, attempt_number: int) -> None:
        if self._attempt_counts[job.job_id] != attempt_number or job.ended < float(
            "inf"
        ):
            return
        sent = self._sent.pop(job.job_id, None)
        if sent is not None:
            server, attempt = sent
            if server.cancel(attempt):
                self.connections_in_use[server.endpoint.server] -= 1
        self._retry(job)
        self._dispatch(job.service)

    def _retry(self, job: Job) -> None:
        if self._attempt_counts[job.job_id] < NAIVE_ATTEMPTS:
            self.run.counts["retries"] += 1
            self.handle_arrival(job)
        else:
            self.run.counts[f"given_up_{job.priority}"] += 1
            self._attempt_counts[job.job_id] += 1


def simulate(
    scenario: Scenario,
    jobs: list[Job],
    make_router: Callable[[SimulationRun, int], Router],
    drain_s: float,
) -> SimulationRun:
    """Run the jobs through ten hosts; sets ``ended`` of each job that completes.

    :param make_router: called with the run and the number of each host.
    :param drain_s: how long the run continues after the last arrival.
    """
    run = SimulationRun(scenario)
    routers = [make_router(run, host) for host in range(HOSTS)]
    for servers in run.servers.values():
        next(iter(servers.values())).restart_cold()
    for job in jobs:
        run.clock.call_at(job.arrival, routers[job.host].handle_arrival, job)
    run.clock.run_until(jobs[-1].arrival + drain_s)
    return run
