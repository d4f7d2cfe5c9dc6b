"""Routers for the measures on a virtual clock: the product and a naive one.

:class:`ProductRouter` wires the decision modules as an entry process does.
:class:`NaiveRouter` uses round robin, one first-come queue for each service and
blind retries. Both see the same jobs and the same model of the servers.
"""

from __future__ import annotations

__all__ = ["NaiveRouter", "ProductRouter", "Router", "Run", "simulate"]

from collections import Counter, deque
from collections.abc import Callable
from random import Random

from jacinthpath.deferral import DeferralPlanner
from jacinthpath.limits import ConcurrencyLimit
from jacinthpath.retries import RetryBudget, decide_retry
from jacinthpath.scheduling import LengthEstimator, QueuedRequest, RequestQueue
from jacinthpath.selection import EndpointPool

from .model import (
    DATA_CENTRES,
    HOSTS,
    NEAR_S,
    NEW_CONNECTION_S,
    SLOTS,
    Job,
    Scenario,
    Server,
    ServiceModel,
    VirtualClock,
    build_servers,
    policy_of,
)

NAIVE_ATTEMPTS = 3
HINT_LAG_S = 2.0
# A deferrable request that found no place is planned again with this much left.
REPLAN_S = 2.0
# Resolution of the timer for waiting requests that are given up.
TIMER_S = 0.001


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


class _Lane:
    """Queue of one service, or of one server of a keyed service."""

    def __init__(self, queue: RequestQueue) -> None:
        self.queue = queue
        self.limit: ConcurrencyLimit | None = None
        self.pool: EndpointPool | None = None
        self.timer = 0.0


class ProductRouter:
    """One entry host that uses the decision modules.

    :param defer_limit_s: time from arrival by which deferrable work must end.
    :param planned: whether deferrable work goes through the planner.
    """

    def __init__(
        self,
        run: Run,
        host: int,
        seed: int,
        defer_limit_s: float,
        planned: bool = True,
    ) -> None:
        self.run = run
        self.clock = run.clock
        self.data_centre = f"dc{host % DATA_CENTRES}"
        self.in_use: Counter[str] = Counter()
        self.opened: Counter[str] = Counter()
        self._planned = planned
        self._random = Random(seed * 1000 + host)
        self._estimator = LengthEstimator()
        self._defer_limit_s = defer_limit_s
        self._planner = DeferralPlanner(self._random)
        self._budgets: dict[str, RetryBudget] = {}
        self._jobs: dict[int, Job] = {}
        self._tried: dict[int, tuple[str, ...]] = {}
        self._lanes: dict[str, _Lane] = {}
        self._policies = {
            service.name: policy_of(run.scenario, service)
            for service in run.scenario.services
        }
        for service in run.scenario.services:
            self._add_lanes(service)
        self.clock.call_at(HINT_LAG_S, self._read_reports)
        if planned:
            self.clock.call_at(self._random.random(), self._tick)

    def _add_lanes(self, service: ServiceModel) -> None:
        policy = self._policies[service.name]
        arguments = (SLOTS, HOSTS, self.run.scenario.connections)
        if not service.keyed:
            lane = _Lane(RequestQueue(1))
            lane.pool = EndpointPool(
                policy.endpoints, self.data_centre, self._random, *arguments
            )
            self._lanes[service.name] = lane
            return
        for endpoint in policy.endpoints:
            lane = _Lane(RequestQueue(1))
            lane.limit = ConcurrencyLimit(*arguments)
            self._lanes[endpoint.server] = lane

    def arrive(self, job: Job) -> None:
        """Take a request from a caller."""
        self._jobs[job.job_id] = job
        budget = self._budgets.get(job.account)
        if budget is None:
            budget = self._budgets[job.account] = RetryBudget(0.1)
        budget.deposit()
        if job.priority == "deferrable":
            job.deadline = job.arrival + self._defer_limit_s
        if job.priority == "deferrable" and self._planned:
            self._planner.defer(job.job_id, self._defer_limit_s, self.clock.now)
        else:
            self._offer(job.job_id)

    def _tick(self) -> None:
        for release in self._planner.release_times(self.clock.now):
            self.clock.call_at(release.release_at, self._offer, release.request_id)
        self.clock.call_at(self.clock.now + 1.0, self._tick)

    def _read_reports(self) -> None:
        """Pass the servers' lagging health reports on as hints."""
        for name, servers in self.run.servers.items():
            pool = self._lanes[name].pool if name in self._lanes else None
            for server in servers.values() if pool else ():
                healthy = server.reports_healthy()
                pool.hint(server.endpoint.server, healthy, self.clock.now)
        self.clock.call_at(self.clock.now + HINT_LAG_S, self._read_reports)

    def _offer(self, job_id: int) -> None:
        job = self._jobs[job_id]
        lane = self._lanes[job.key_server or job.service]
        self._resize(lane, job.service)
        request = QueuedRequest(
            job_id,
            job.account,
            job.priority,
            self._estimator.expected_s(job.service, job.shape),
            job.deadline,
        )
        admission = lane.queue.offer(request, self.clock.now)
        if admission.decision == "admitted":
            self._start(lane, job_id)
        elif admission.decision == "refused":
            self._give_up(job_id, "refused_" + admission.reason)
        for dropped in admission.shed:
            self._give_up(dropped.request_id, "shed")
        self._drain(lane)

    def _resize(self, lane: _Lane, service: str) -> None:
        now = self.clock.now
        if lane.pool is not None:
            slots = lane.pool.capacity(now)
            pressure = lane.pool.pressure(now)
        else:
            slots = int(lane.limit.value)
            pressure = lane.limit.trend.ratio(now)
        long_after_s = self._estimator.long_after_s(service)
        lane.queue.adjust(slots, long_after_s, pressure)

    def _drain(self, lane: _Lane) -> None:
        now = self.clock.now
        while (request := lane.queue.next(now)) is not None:
            self._start(lane, request.request_id)
        for request in lane.queue.expire(now):
            self._give_up(request.request_id, "expired")
        due = lane.queue.next_expiry()
        if due is not None and not now < lane.timer <= due + TIMER_S:
            lane.timer = due + TIMER_S
            self.clock.call_at(lane.timer, self._drain, lane)

    def _give_up(self, job_id: int, reason: str) -> None:
        job = self._jobs[job_id]
        self._tried.pop(job_id, None)
        self.run.counts[f"{reason}_{job.priority}"] += 1
        if job.priority != "deferrable":
            share = (self.clock.now - job.arrival) / (job.deadline - job.arrival)
            self.run.given_up_at.append(share)
        left_s = job.deadline - self.clock.now
        if job.priority == "deferrable" and self._planned and left_s > REPLAN_S:
            self._planner.defer(job_id, left_s, self.clock.now)
        else:
            del self._jobs[job_id]

    def _start(self, lane: _Lane, job_id: int) -> None:
        job = self._jobs[job_id]
        now = self.clock.now
        tried = self._tried.get(job_id, ())
        if lane.pool is not None:
            endpoint = lane.pool.choose(now, tried)
            if endpoint is None:
                self.run.counts["no_endpoint"] += 1
                endpoint = lane.pool.choose(now) or self._random.choice(
                    self._policies[job.service].endpoints
                )
            lane.pool.started(endpoint, now)
            name = endpoint.server
        else:
            lane.limit.in_flight += 1
            name = job.key_server
        server = self.run.servers[job.service][name]

        def done(outcome: str) -> None:
            self._finished(lane, job_id, server, outcome, now)

        if job.priority != "deferrable":
            self._planner.attempted()
        self.run.send(self, server, job, job.deadline, done)

    def _finished(
        self, lane: _Lane, job_id: int, server: Server, outcome: str, started: float
    ) -> None:
        job = self._jobs[job_id]
        now = self.clock.now
        latency = now - started
        lane.queue.finished(job_id)
        binding = lane.queue.waiting > 0
        refused = outcome != "answered"
        if lane.pool is not None:
            kind = "refused" if refused else "answered"
            lane.pool.finished(server.endpoint, latency, kind, now, binding)
        else:
            lane.limit.release(started, now, refused, binding)
        if refused:
            self._retry(job, server)
        else:
            self._estimator.observe(job.service, job.shape, latency)
            job.ended = now
            del self._jobs[job_id]
            self._tried.pop(job_id, None)
        self._resize(lane, job.service)
        self._drain(lane)

    def _retry(self, job: Job, server: Server) -> None:
        tried = (*self._tried.get(job.job_id, ()), server.endpoint.server)
        retry = decide_retry(
            self._policies[job.service],
            "not-run",
            tried,
            job.deadline,
            self.clock.now,
            self._budgets[job.account],
            self._random,
            self._estimator.expected_s(job.service, job.shape),
        )
        if retry is None:
            self._give_up(job.job_id, "not_retried")
            return
        self.run.counts["retries"] += 1
        self._tried[job.job_id] = tried
        self.clock.call_at(self.clock.now + retry.delay_s, self._offer, job.job_id)


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


Router = ProductRouter | NaiveRouter


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
