"""Router of the measures that wires the decision modules as an entry process."""

from __future__ import annotations

__all__ = ["ProductRouter"]

from collections import Counter
from random import Random

from jacinthpath.deferral import DeferralPlanner
from jacinthpath.limits import ConcurrencyLimit
from jacinthpath.retries import RetryBudget, decide_retry
from jacinthpath.scheduling import DurationEstimator, QueuedRequest, RequestQueue
from jacinthpath.selection import EndpointPool

from .drivers import Run
from .model import DATA_CENTRES, HOSTS, SLOTS, Job, Server, ServiceModel, policy_of

HINT_LAG_S = 2.0
# A deferrable request that found no place is planned again with this much left.
REPLAN_S = 2.0
# Resolution of the timer for waiting requests that are given up.
TIMER_S = 0.001


class _Lane:
    """Queue of one service, or of one server of a keyed service."""

    def __init__(self, service: str, queue: RequestQueue) -> None:
        self.service = service
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
        self._estimator = DurationEstimator()
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
            lane = _Lane(service.name, RequestQueue(1))
            lane.pool = EndpointPool(
                policy.endpoints, self.data_centre, self._random, *arguments
            )
            self._lanes[service.name] = lane
            return
        for endpoint in policy.endpoints:
            lane = _Lane(service.name, RequestQueue(1))
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
                pool.record_health_report(
                    server.endpoint.server, healthy, self.clock.now
                )
        self.clock.call_at(self.clock.now + HINT_LAG_S, self._read_reports)

    def _offer(self, job_id: int) -> None:
        job = self._jobs[job_id]
        lane = self._lanes[job.key_server or job.service]
        self._resize(lane)
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

    def _resize(self, lane: _Lane) -> None:
        now = self.clock.now
        if lane.pool is not None:
            slots = lane.pool.capacity(now)
            pressure = lane.pool.pressure(now)
        else:
            slots = int(lane.limit.value)
            pressure = lane.limit.trend.ratio(now)
        long_after_s = self._estimator.long_after_s(lane.service)
        lane.queue.adjust(slots, long_after_s, pressure)

    def _drain(self, lane: _Lane) -> None:
        now = self.clock.now
        while (request := lane.queue.next(now)) is not None:
            self._start(lane, request.request_id)
        for request in lane.queue.expire(now):
            self._give_up(request.request_id, "expired")
        due = lane.queue.next_wakeup(now)
        if due is not None and not now < lane.timer <= due + TIMER_S:
            lane.timer = due + TIMER_S
            self.clock.call_at(lane.timer, self._wake, lane)

    def _wake(self, lane: _Lane) -> None:
        if lane.timer <= self.clock.now:
            self._resize(lane)
            self._drain(lane)

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
            lane.pool.record_start(endpoint, now)
            name = endpoint.server
        else:
            lane.limit.in_flight += 1
            name = job.key_server
        server = self.run.servers[job.service][name]

        def done(outcome: str) -> None:
            self._finished(lane, job_id, server, outcome, now)

        if job.priority != "deferrable":
            self._planner.record_attempts()
        self.run.send(self, server, job, job.deadline, done)

    def _finished(
        self, lane: _Lane, job_id: int, server: Server, outcome: str, started: float
    ) -> None:
        job = self._jobs[job_id]
        now = self.clock.now
        latency = now - started
        lane.queue.release(job_id)
        binding = lane.queue.waiting > 0
        refused = outcome != "answered"
        if lane.pool is not None:
            kind = "refused" if refused else "answered"
            lane.pool.record_end(server.endpoint, latency, kind, now, binding)
        else:
            lane.limit.release(started, now, refused, binding)
        if refused:
            self._retry(job, server)
        else:
            self._estimator.observe(job.service, job.shape, latency)
            job.ended = now
            del self._jobs[job_id]
            self._tried.pop(job_id, None)
        self._resize(lane)
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
