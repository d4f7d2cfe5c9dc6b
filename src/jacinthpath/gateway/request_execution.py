"""Executes a request: attempts at servers until there is a response."""

from __future__ import annotations

__all__ = ["RequestDependencies", "RequestExecution"]

import asyncio
from random import Random
from typing import NamedTuple

from ..metrics import Metrics
from .attempts import Step, StepKind, jittered_retry_after_s, next_step
from .body_tracking import TrackedBody
from .clock import boottime_s
from .cluster_view import ClusterView
from .events import EventLog
from .exchange import (
    NOT_EXECUTED_OUTCOMES,
    AttemptResult,
    BackendClient,
    CallerRequest,
    Outcome,
    Response,
    ServerNotice,
    local_response,
)
from .loads import LoadRecorder
from .model import Backend, Route, Service
from .owner_lookup import MOVING_RETRY_S, NO_OWNER_RETRY_S, OwnerLookup, ServerChoice
from .pool import ServerPool
from .retry_budget import RetryBudget

DEFAULT_TIMEOUT_S = 30.0

INITIAL_BACKOFF_S = 0.02
"""Delay before a request is sent to the same server again; doubles with each attempt. A
full server needs about this long to free a slot."""

NEW_OWNER_WAIT_S = 0.05
"""After a server responds that it does not own the key, the new owner becomes known
within milliseconds, because the assignment is written before the grant is sent."""

TIMEOUT_FAILURE_FACTOR = 4.0
"""A timeout is evidence against the server only beyond this multiple of the expected
latency. Long requests take up to seven times the mean; they are three in a hundred."""

MIN_ATTEMPT_S = 0.02
"""No attempt is made with less time than this left."""

_NO_RESPONSE = frozenset({Outcome.UNREACHABLE, Outcome.TIMED_OUT})


class RequestDependencies(NamedTuple):
    """Dependencies shared by all requests of a gateway."""

    view: ClusterView
    pool: ServerPool
    owners: OwnerLookup
    backend_client: BackendClient
    load_recorder: LoadRecorder
    events: EventLog
    metrics: Metrics
    random: Random

    def respond_unavailable(
        self, request: CallerRequest, service: str, reason: str, wait_s: float
    ) -> Response:
        """Return status 503: the request was not executed and will not be."""
        retry_after_s = jittered_retry_after_s(wait_s, self.random)
        return self.respond_locally(request, service, reason, 503, retry_after_s)

    def respond_locally(
        self,
        request: CallerRequest,
        service: str,
        reason: str,
        status: int,
        retry_after_s: float = 0.0,
    ) -> Response:
        """Return a response of the gateway itself; log and count it."""
        self.metrics.count("requests_total", outcome="own")
        self.metrics.count("own_answers_total", reason=reason.partition(",")[0])
        routes = self.view.routes
        self.events.log_failure(
            "request_answered_by_gateway",
            id=request.request_id,
            service=service,
            key=request.key,
            status=status,
            reason=reason,
            configuration=routes.table.version if routes else None,
            assignment=self.view.assignment_revision,
            belief_age_s=round(self.view.store_age_s(), 2),
        )
        return local_response(status, reason, retry_after_s)


class RequestExecution:
    """Executes one request.

    :param retry_budget: retry budget of the service on this host.
    """

    def __init__(
        self,
        dependencies: RequestDependencies,
        retry_budget: RetryBudget,
        request: CallerRequest,
        route: Route,
        service: Service,
    ) -> None:
        self._dependencies = dependencies
        self._retry_budget = retry_budget
        self._request = request
        self._route = route
        self._service = service
        self._loop = asyncio.get_running_loop()
        timeout_s = request.timeout_s
        if timeout_s is None:
            timeout_s = DEFAULT_TIMEOUT_S
        self._deadline_s = request.received_s + min(timeout_s, route.timeout_s)
        # The loop's clock stops while the host is suspended, but the caller's does not.
        self._boot_deadline_s = boottime_s() + self._deadline_s - self._loop.time()
        self._results: list[AttemptResult] = []
        self._tried: list[str] = []

    async def run(self) -> Response:
        """Return the response."""
        self._retry_budget.record_request(self._loop.time())
        if self._service.keyed:
            if self._request.key is None:
                return self._respond_locally("no-key", 400)
            self._dependencies.load_recorder.record_request(
                self._service.name, self._request.key
            )
        while True:
            choice = await self._choose_server()
            if self._remaining_s() < MIN_ATTEMPT_S:
                # The wait for an owner, or a suspension, has used up the time.
                choice = ServerChoice(None, "too-little-time")
            if choice.backend is None:
                return self._respond_without_server(choice)
            result = await self._attempt(choice.backend)
            step = await self._decide_next_step(result)
            if step.kind is not StepKind.RESPOND:
                _close_stream(result)
            if step.kind is not StepKind.RETRY:
                return self._respond(step)
            self._retry_budget.record_retry(self._loop.time())
            await self._back_off(result)

    def _remaining_s(self) -> float:
        return min(
            self._deadline_s - self._loop.time(),
            self._boot_deadline_s - boottime_s(),
        )

    async def _choose_server(self) -> ServerChoice:
        """Return the server for the next attempt, or the reason why there is none."""
        if self._service.keyed:
            return await self._find_owner()
        backend = self._choose_untried_server()
        if backend is not None:
            return ServerChoice(backend)
        return self._explain_no_server()

    def _explain_no_server(self) -> ServerChoice:
        """Return why no server of an unkeyed service may be used, and until when."""
        backends = [
            backend
            for backend in self._dependencies.view.directory.servers_of(
                self._service.name
            )
            if not backend.draining
        ]
        if not backends:
            return ServerChoice(None, "no-server", NO_OWNER_RETRY_S)
        now_s = boottime_s()
        pool = self._dependencies.pool
        pause_s = min(pool.pause_left_s(backend, now_s) for backend in backends)
        if pause_s:
            return ServerChoice(None, "servers-paused", pause_s)
        return ServerChoice(None, "connections-in-use", MOVING_RETRY_S)

    async def _find_owner(self) -> ServerChoice:
        """Return the key's owner unless this host is at its connection limit there."""
        choice = await self._dependencies.owners.find(
            self._service.name, self._request.key, self._remaining_s
        )
        backend = choice.backend
        if backend is None:
            return choice
        pool = self._dependencies.pool
        limit = self._connection_limit()
        if not self._results:
            limit = min(limit, pool.window(backend))
        if pool.in_flight(backend) >= limit:
            return ServerChoice(None, "connections-in-use", MOVING_RETRY_S)
        return choice

    def _choose_untried_server(self) -> Backend | None:
        """Return a server of an unkeyed service that was not tried yet."""
        backends = self._dependencies.view.directory.servers_of(self._service.name)
        return self._dependencies.pool.choose(
            backends, boottime_s(), self._tried, self._connection_limit()
        )

    def _connection_limit(self) -> int:
        """Return how many connections to one server this host may use.

        A server resets connections above its limit, which loses the requests on them.
        """
        hosts = max(1, len(self._dependencies.view.peer_addresses))
        return max(1, self._service.max_connections // hosts)

    async def _attempt(self, backend: Backend) -> AttemptResult:
        """Send the request to a server and record the result."""
        dependencies = self._dependencies
        started_s = self._loop.time()
        remaining_s = self._remaining_s()
        dependencies.pool.record_start(backend, boottime_s())
        try:
            result = await dependencies.backend_client.send(
                self._request, backend, remaining_s
            )
        except asyncio.CancelledError:
            dependencies.pool.record_inconclusive(backend, boottime_s())
            dependencies.events.log_failure(
                "attempt_cancelled",
                id=self._request.request_id,
                server=backend.server,
                after_ms=_ms(self._loop.time() - started_s),
            )
            raise
        elapsed_s = self._loop.time() - started_s
        result = self._track_stream(backend, result)
        self._tried.append(backend.server)
        self._results.append(result)
        dependencies.metrics.count("attempts_total", outcome=result.outcome.value)
        if self._service.keyed:
            self._record_load(backend, result.outcome, elapsed_s)
        self._record_server_result(backend, result, elapsed_s)
        self._log_attempt(backend, result, elapsed_s, remaining_s)
        self._record_notice(backend, result.notice)
        return result

    def _record_notice(self, backend: Backend, notice: ServerNotice) -> None:
        """Stop sending to a server that leaves or has asked for a pause."""
        dependencies = self._dependencies
        if notice.leaving:
            dependencies.view.record_leaving(backend.server, backend.started_ms)
        if notice.pause_s:
            dependencies.pool.record_pause(backend, notice.pause_s, boottime_s())
        if notice.malformed:
            dependencies.metrics.count("malformed_notices_total")
            if dependencies.pool.is_first_malformed(backend, boottime_s()):
                dependencies.events.log_state_change(
                    "server_notice_refused",
                    server=backend.server,
                    detail=notice.malformed,
                )

    def _track_stream(self, backend: Backend, result: AttemptResult) -> AttemptResult:
        """Count the connection as in use until the body has ended."""
        response = result.response
        if response is None or response.stream is None:
            return result
        dependencies = self._dependencies
        dependencies.pool.record_start(backend, boottime_s())

        def handle_end(reason: str) -> None:
            now_s = boottime_s()
            if not reason:
                dependencies.pool.record_inconclusive(backend, now_s)
                return
            dependencies.pool.record_failure(backend, now_s, no_response=False)
            dependencies.metrics.count("bodies_broken_total")
            dependencies.events.log_failure(
                "body_broken",
                id=self._request.request_id,
                server=backend.server,
                detail=reason,
            )

        tracked = TrackedBody(response.stream, handle_end)
        return result._replace(response=response._replace(stream=tracked))

    def _record_load(
        self, backend: Backend, outcome: Outcome, elapsed_s: float
    ) -> None:
        """Record the owner's latency for the load report to the leader."""
        load_recorder = self._dependencies.load_recorder
        if outcome is Outcome.ANSWERED:
            load_recorder.record_response(self._service.name, backend.server, elapsed_s)
        elif outcome is Outcome.TIMED_OUT:
            load_recorder.record_timeout(self._service.name, backend.server, elapsed_s)

    def _record_server_result(
        self, backend: Backend, result: AttemptResult, elapsed_s: float
    ) -> None:
        """Record the result in this host's statistics of the server."""
        pool = self._dependencies.pool
        now_s = boottime_s()
        outcome = result.outcome
        if result.connection_reset:
            pool.record_reset(backend, now_s)
        if outcome is Outcome.ANSWERED:
            pool.record_response(backend, elapsed_s, now_s)
            self._dependencies.metrics.observe("attempt_duration_seconds", elapsed_s)
        elif outcome is Outcome.REFUSED:
            pool.record_rejection(backend, now_s)
        elif outcome is Outcome.NOT_OWNER or self._may_still_be_working(
            backend, result, elapsed_s
        ):
            pool.record_inconclusive(backend, now_s)
        elif pool.record_failure(backend, now_s, outcome in _NO_RESPONSE):
            self._dependencies.events.log_state_change(
                "server_ejected",
                server=backend.server,
                service=backend.service,
                outcome=outcome.value,
                detail=result.detail,
            )

    def _may_still_be_working(
        self, backend: Backend, result: AttemptResult, elapsed_s: float
    ) -> bool:
        """Return whether an attempt timed out while the server may still be working."""
        if result.outcome is not Outcome.TIMED_OUT:
            return False
        expected_s = self._dependencies.pool.latency_s(backend, boottime_s())
        return elapsed_s <= TIMEOUT_FAILURE_FACTOR * expected_s

    async def _decide_next_step(self, result: AttemptResult) -> Step:
        if result.outcome is Outcome.ANSWERED:
            return Step(StepKind.RESPOND, "")
        if self._service.keyed:
            servers, expected_s, has_alternative = await self._assess_retry_on_owner(
                result
            )
        else:
            servers, expected_s, has_alternative = self._assess_retry_on_other_server()
        hosts = len(self._dependencies.view.peer_addresses)
        return next_step(
            self._route,
            self._results,
            servers,
            self._remaining_s(),
            expected_s,
            has_alternative,
            self._retry_budget.allows(self._loop.time(), hosts),
        )

    def _assess_retry_on_other_server(self) -> tuple[int, float, bool]:
        """Return what the decision on a retry of an unkeyed request needs.

        :return: number of servers tried including the retry, expected latency, and
            whether there is another server.
        """
        other = self._choose_untried_server()
        expected_s = (
            self._dependencies.pool.latency_s(other, boottime_s()) if other else 0.0
        )
        return len(set(self._tried)) + 1, expected_s, other is not None

    async def _assess_retry_on_owner(
        self, result: AttemptResult
    ) -> tuple[int, float, bool]:
        """Return what the decision on a retry of a keyed request needs.

        The retry goes to the owner, which may be the same or a new server.

        :return: number of servers tried including the retry, an expected latency
            of 0, so that any remaining time suffices, and whether a retry may help.
        """
        if result.outcome is Outcome.NOT_OWNER:
            await self._dependencies.owners.wait_for_update(
                min(NEW_OWNER_WAIT_S, max(0.0, self._remaining_s()))
            )
        owned = self._dependencies.owners.owner_of(
            self._service.name, self._request.key
        )
        if owned is None:
            return len(set(self._tried)), 0.0, False
        servers = len({*self._tried, owned.server})
        backend = self._dependencies.view.directory.find(owned.server)
        if backend and self._dependencies.pool.pause_left_s(backend, boottime_s()):
            return servers, 0.0, False
        moved = bool(owned.target) or owned.server != self._tried[-1]
        return servers, 0.0, moved or result.outcome is not Outcome.TIMED_OUT

    async def _back_off(self, result: AttemptResult) -> None:
        """Wait before a keyed request is sent again to an owner that is full."""
        full = result.outcome is Outcome.REFUSED or result.connection_reset
        if not self._service.keyed or not full:
            return
        backoff_s = INITIAL_BACKOFF_S * 2 ** (len(self._results) - 1)
        backoff_s *= 0.5 + self._dependencies.random.random()
        if backoff_s < self._remaining_s():
            await asyncio.sleep(backoff_s)

    def _respond_without_server(self, choice: ServerChoice) -> Response:
        """Return the response when there is no server for the next attempt."""
        if any(result.outcome not in NOT_EXECUTED_OUTCOMES for result in self._results):
            return self._respond_locally(choice.reason, 502)
        if self._remaining_s() < MIN_ATTEMPT_S:
            return self._respond_locally(choice.reason, 504)
        return self._respond_unavailable(choice.reason, choice.wait_s)

    def _respond(self, step: Step) -> Response:
        """Return the response for the final step."""
        if step.kind is StepKind.REFUSE:
            return self._respond_unavailable(step.reason, self._refusal_wait_s())
        if step.kind is StepKind.TIME_OUT:
            return self._respond_locally(step.reason, 504)
        if step.kind is StepKind.GIVE_UP:
            return self._respond_locally(step.reason, 502)
        last = self._results[-1]
        metrics = self._dependencies.metrics
        elapsed_s = self._loop.time() - self._request.received_s
        metrics.count("requests_total", outcome=last.outcome.value)
        metrics.observe("request_duration_seconds", elapsed_s)
        return last.response

    def _refusal_wait_s(self) -> float:
        """Return when a caller may come back whose request no server accepted."""
        if self._service.keyed:
            return max(self._results[-1].notice.pause_s, MOVING_RETRY_S)
        return self._explain_no_server().wait_s

    def _respond_locally(self, reason: str, status: int) -> Response:
        return self._dependencies.respond_locally(
            self._request, self._service.name, reason, status
        )

    def _respond_unavailable(self, reason: str, wait_s: float) -> Response:
        return self._dependencies.respond_unavailable(
            self._request, self._service.name, reason, wait_s
        )

    def _log_attempt(
        self,
        backend: Backend,
        result: AttemptResult,
        elapsed_s: float,
        remaining_s: float,
    ) -> None:
        dependencies = self._dependencies
        answered = result.outcome is Outcome.ANSWERED
        write = (
            dependencies.events.log_success
            if answered
            else dependencies.events.log_failure
        )
        now_s = boottime_s()
        write(
            "attempt",
            id=self._request.request_id,
            n=len(self._results),
            service=self._service.name,
            server=backend.server,
            key=self._request.key,
            outcome=result.outcome.value,
            detail=result.detail,
            took_ms=_ms(elapsed_s),
            left_ms=_ms(remaining_s),
            expected_ms=_ms(dependencies.pool.latency_s(backend, now_s)),
            in_flight=dependencies.pool.in_flight(backend),
            server_revision=backend.revision,
            assignment=(
                dependencies.view.assignment_revision if self._service.keyed else None
            ),
            belief_age_s=round(dependencies.view.store_age_s(), 2),
        )


def _close_stream(result: AttemptResult) -> None:
    """Close the connection of a response that is not returned to the caller."""
    if result.response is not None and result.response.stream is not None:
        result.response.stream.close()


def _ms(duration_s: float) -> int:
    return round(duration_s * 1000)
