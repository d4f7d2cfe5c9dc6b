"""Simulated router that combines the decision logic as an entry process does."""

from __future__ import annotations

__all__ = ["ProductRouter"]

from collections import Counter
from random import Random

from jacinthpath.deferral import DeferralPlanner
from jacinthpath.limits import ConcurrencyLimit
from jacinthpath.retries import RetryBudget, decide_retry
from jacinthpath.scheduling import DurationEstimator, QueuedRequest, RequestQueue
from jacinthpath.selection import EndpointPool

from .drivers import SimulationRun
from .model import DATA_CENTRES, HOSTS, SLOTS, Job, Server, ServiceModel, build_policy

HEALTH_REPORT_INTERVAL_S = 2.0
# A deferrable request that is given up is planned again if more than this is left
# before its deadline.
MIN_REPLAN_S = 2.0
# Resolution of the timer that gives up waiting requests.
WAKEUP_RESOLUTION_S = 0.001


class _Dispatcher:
    """Queue and limits of one service, or of one server of a keyed service."""

    def __init__(self, service: str, queue: RequestQueue) -> None:
        self.service = service
        self.queue = queue
        self.limit: ConcurrencyLimit | None = None
        self.pool: EndpointPool | None = None
        self.wakeup_at = 0.0


class ProductRouter:
    """One entry host that uses the decision logic of the product.

    :param defer_limit_s: time from arrival by which deferrable work must end.
    :param use_planner: whether deferrable work goes through the planner.
    """

    def __init__(
        self,
        run: SimulationRun,
        host: int,
        seed: int,
        defer_limit_s: float,
        use_planner: bool = True,
    ) -> None:
        self.run = run
        self.clock = run.clock
        self.data_centre = f"dc{host % DATA_CENTRES}"
        self.connections_in_use: Counter[str] = Counter()
        self.connections_opened: Counter[str] = Counter()
        self._use_planner = use_planner
        self._random = Random(seed * 1000 + host)
        self._estimator = DurationEstimator()
        self._defer_limit_s = defer_limit_s
        self._planner = DeferralPlanner(self._random)
        self._budgets: dict[str, RetryBudget] = {}
        self._jobs: dict[int, Job] = {}
        self._tried_servers: dict[int, tuple[str, ...]] = {}
        self._dispatchers: dict[str, _Dispatcher] = {}
        self._policies = {
            service.name: build_policy(run.scenario, service)
            for service in run.scenario.services
        }
        for service in run.scenario.services:
            self._add_dispatchers(service)
        self.clock.call_at(HEALTH_REPORT_INTERVAL_S, self._apply_health_reports)
        if use_planner:
            self.clock.call_at(self._random.random(), self._release_deferred)

    def _add_dispatchers(self, service: ServiceModel) -> None:
        policy = self._policies[service.name]
        arguments = (SLOTS, HOSTS, self.run.scenario.connections)
        if not service.keyed:
            dispatcher = _Dispatcher(service.name, RequestQueue(1))
            dispatcher.pool = EndpointPool(
                policy.endpoints, self.data_centre, self._random, *arguments
            )
            self._dispatchers[service.name] = dispatcher
            return
        for endpoint in policy.endpoints:
            dispatcher = _Dispatcher(service.name, RequestQueue(1))
            dispatcher.limit = ConcurrencyLimit(*arguments)
            self._dispatchers[endpoint.server] = dispatcher

    def handle_arrival(self, job: Job) -> None:
        """Accept a request from a caller."""
        self._jobs[job.job_id] = job
        budget = self._budgets.get(job.account)
        if budget is None:
            budget = self._budgets[job.account] = RetryBudget(0.1)
        budget.deposit()
        if job.priority == "deferrable":
            job.deadline = job.arrival + self._defer_limit_s
        if job.priority == "deferrable" and self._use_planner:
            self._planner.defer(job.job_id, self._defer_limit_s, self.clock.now)
        else:
            self._submit(job.job_id)

    def _release_deferred(self) -> None:
        for release in self._planner.release_times(self.clock.now):
            self.clock.call_at(release.release_at, self._submit, release.request_id)
        self.clock.call_at(self.clock.now + 1.0, self._release_deferred)

    def _apply_health_reports(self) -> None:
        """Pass the servers' delayed health reports to the endpoint pools as hints."""
        for name, servers in self.run.servers.items():
            pool = self._dispatchers[name].pool if name in self._dispatchers else None
            for server in servers.values() if pool else ():
                healthy = server.reports_healthy()
                pool.record_health_report(
                    server.endpoint.server, healthy, self.clock.now
                )
        self.clock.call_at(
            self.clock.now + HEALTH_REPORT_INTERVAL_S, self._apply_health_reports
        )

    def _submit(self, job_id: int) -> None:
        job = self._jobs[job_id]
        dispatcher = self._dispatchers[job.key_server or job.service]
        self._resize(dispatcher)
        request = QueuedRequest(
            job_id,
            job.account,
            job.priority,
            self._estimator.expected_s(job.service, job.shape),
            job.deadline,
        )
        admission = dispatcher.queue.offer(request, self.clock.now)
        if admission.decision == "admitted":
            self._start(dispatcher, job_id)
        elif admission.decision == "refused":
            self._give_up(job_id, "refused_" + admission.reason)
        for dropped in admission.shed:
            self._give_up(dropped.request_id, "shed")
        self._drain(dispatcher)

    def _resize(self, dispatcher: _Dispatcher) -> None:
        now = self.clock.now
        if dispatcher.pool is not None:
            slots = dispatcher.pool.capacity(now)
            pressure = dispatcher.pool.pressure(now)
        else:
            slots = int(dispatcher.limit.value)
            pressure = dispatcher.limit.trend.ratio(now)
        long_after_s = self._estimator.long_after_s(dispatcher.service)
        dispatcher.queue.adjust(slots, long_after_s, pressure)

    def _drain(self, dispatcher: _Dispatcher) -> None:
        now = self.clock.now
        while (request := dispatcher.queue.next(now)) is not None:
            self._start(dispatcher, request.request_id)
        for request in dispatcher.queue.expire(now):
            self._give_up(request.request_id, "expired")
        due = dispatcher.queue.next_wakeup(now)
        if (
            due is not None
            and not now < dispatcher.wakeup_at <= due + WAKEUP_RESOLUTION_S
        ):
            dispatcher.wakeup_at = due + WAKEUP_RESOLUTION_S
            self.clock.call_at(dispatcher.wakeup_at, self._handle_wakeup, dispatcher)

    def _handle_wakeup(self, dispatcher: _Dispatcher) -> None:
        if dispatcher.wakeup_at <= self.clock.now:
            self._resize(dispatcher)
            self._drain(dispatcher)

    def _give_up(self, job_id: int, reason: str) -> None:
        job = self._jobs[job_id]
        self._tried_servers.pop(job_id, None)
        self.run.counts[f"{reason}_{job.priority}"] += 1
        if job.priority != "deferrable":
            share = (self.clock.now - job.arrival) / (job.deadline - job.arrival)
            self.run.give_up_deadline_shares.append(share)
        remaining_s = job.deadline - self.clock.now
        if (
            job.priority == "deferrable"
            and self._use_planner
            and remaining_s > MIN_REPLAN_S
        ):
            self._planner.defer(job_id, remaining_s, self.clock.now)
        else:
            del self._jobs[job_id]

    def _start(self, dispatcher: _Dispatcher, job_id: int) -> None:
        job = self._jobs[job_id]
        now = self.clock.now
        tried = self._tried_servers.get(job_id, ())
        if dispatcher.pool is not None:
            endpoint = dispatcher.pool.choose(now, tried)
            if endpoint is None:
                self.run.counts["no_endpoint"] += 1
                endpoint = dispatcher.pool.choose(now) or self._random.choice(
                    self._policies[job.service].endpoints
                )
            dispatcher.pool.record_start(endpoint, now)
            name = endpoint.server
        else:
            dispatcher.limit.in_flight += 1
            name = job.key_server
        server = self.run.servers[job.service][name]

        def done(outcome: str) -> None:
            self._handle_outcome(dispatcher, job_id, server, outcome, now)

        if job.priority != "deferrable":
            self._planner.record_attempts()
        self.run.send(self, server, job, job.deadline, done)

    def _handle_outcome(
        self,
        dispatcher: _Dispatcher,
        job_id: int,
        server: Server,
        outcome: str,
        started: float,
    ) -> None:
        job = self._jobs[job_id]
        now = self.clock.now
        latency = now - started
        dispatcher.queue.release(job_id)
        binding = dispatcher.queue.waiting > 0
        refused = outcome != "answered"
        if dispatcher.pool is not None:
            kind = "refused" if refused else "answered"
            dispatcher.pool.record_end(server.endpoint, latency, kind, now, binding)
        else:
            dispatcher.limit.release(started, now, refused, binding)
        if refused:
            self._retry(job, server)
        else:
            self._estimator.observe(job.service, job.shape, latency)
            job.ended = now
            del self._jobs[job_id]
            self._tried_servers.pop(job_id, None)
        self._resize(dispatcher)
        self._drain(dispatcher)

    def _retry(self, job: Job, server: Server) -> None:
        tried = (*self._tried_servers.get(job.job_id, ()), server.endpoint.server)
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
        self._tried_servers[job.job_id] = tried
        self.clock.call_at(self.clock.now + retry.delay_s, self._submit, job.job_id)
