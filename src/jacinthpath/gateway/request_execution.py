"""The attempts of one request, from the first server to the reply."""

from __future__ import annotations

__all__ = ["RequestDependencies", "RequestExecution"]

import asyncio
from random import Random
from typing import NamedTuple

from ..metrics import Metrics
from .attempts import Step, StepKind, jittered_retry_after_s, next_step
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
    local_response,
)
from .loads import LoadRecorder
from .model import Backend, Route, Service
from .owner_lookup import MOVED_RETRY_S, NO_OWNER_RETRY_S, OwnerLookup, ServerChoice
from .pool import ServerPool
from .retry_budget import RetryBudget

DEFAULT_BUDGET_S = 30.0

REPEAT_PAUSE_S = 0.02
"""Pause before a request goes to the same server again; it doubles each time. A full
server needs about this long to free a slot."""

NEWS_WAIT_S = 0.05
"""After a server has said that it does not own the key, the new owner becomes known
within milliseconds: it is written before it is granted."""

SILENT_FACTOR = 4.0
"""Long work takes up to seven times the mean, but only three requests in a hundred."""

MIN_SEND_S = 0.02
"""Less time than this is not offered to a server."""

_NO_CONTACT = frozenset({Outcome.UNREACHABLE, Outcome.TIMED_OUT})


class RequestDependencies(NamedTuple):
    """What all requests of a gateway share."""

    view: ClusterView
    pool: ServerPool
    owners: OwnerLookup
    backend_client: BackendClient
    load_recorder: LoadRecorder
    events: EventLog
    metrics: Metrics
    random: Random

    def refuse(
        self, request: CallerRequest, service: str, reason: str, wait_s: float
    ) -> Response:
        """Answer 503: the request has not run and will not."""
        retry_after_s = jittered_retry_after_s(wait_s, self.random)
        return self.answer(request, service, reason, 503, retry_after_s)

    def answer(
        self,
        request: CallerRequest,
        service: str,
        reason: str,
        status: int,
        retry_after_s: float = 0.0,
    ) -> Response:
        """Answer in place of a server; log and count it."""
        self.metrics.count("requests_total", outcome="own")
        self.metrics.count("own_answers_total", reason=reason.partition(",")[0])
        routes = self.view.routes
        self.events.failure(
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
    """One request on its way.

    :param budget: repeats of the service that this host may send.
    """

    def __init__(
        self,
        parts: RequestDependencies,
        budget: RetryBudget,
        request: CallerRequest,
        route: Route,
        service: Service,
    ) -> None:
        self._parts = parts
        self._budget = budget
        self._request = request
        self._route = route
        self._service = service
        self._loop = asyncio.get_running_loop()
        waits_s = request.timeout_s
        if waits_s is None:
            waits_s = DEFAULT_BUDGET_S
        self._end_s = request.received_s + min(waits_s, route.timeout_s)
        self._results: list[AttemptResult] = []
        self._tried: list[str] = []

    async def run(self) -> Response:
        """Return the reply."""
        self._budget.record_request(self._loop.time())
        if self._service.keyed:
            if self._request.key is None:
                return self._answer("no-key", 400)
            self._parts.load_recorder.record_request(
                self._service.name, self._request.key
            )
        while True:
            choice = await self._choose()
            if choice.backend is None:
                return self._without_server(choice)
            result = await self._attempt(choice.backend)
            step = await self._decide(result)
            if step.kind is not StepKind.RETRY:
                return self._reply(step)
            self._budget.record_retry(self._loop.time())
            await self._pause(result)

    def _left_s(self) -> float:
        return self._end_s - self._loop.time()

    async def _choose(self) -> ServerChoice:
        """Return the server for the next attempt, or why there is none."""
        if self._left_s() < MIN_SEND_S:
            return ServerChoice(None, "too-little-time")
        if self._service.keyed:
            return await self._owner()
        backend = self._other_server()
        if backend is not None:
            return ServerChoice(backend)
        backends = self._parts.view.directory.servers_of(self._service.name)
        if any(not backend.draining for backend in backends):
            return ServerChoice(None, "connections-in-use", MOVED_RETRY_S)
        return ServerChoice(None, "no-server", NO_OWNER_RETRY_S)

    async def _owner(self) -> ServerChoice:
        """Return the owner of the key unless this host has its share there."""
        choice = await self._parts.owners.find(
            self._service.name, self._request.key, self._left_s
        )
        backend = choice.backend
        if backend is None:
            return choice
        in_flight = self._parts.pool.in_flight(backend)
        if in_flight >= self._connection_share():
            return ServerChoice(None, "connections-in-use", MOVED_RETRY_S)
        return choice

    def _other_server(self) -> Backend | None:
        """Return a server of a service without keys that was not tried yet."""
        backends = self._parts.view.directory.servers_of(self._service.name)
        return self._parts.pool.choose(
            backends, boottime_s(), self._tried, self._connection_share()
        )

    def _connection_share(self) -> int:
        """Return how many connections to a server this host may use.

        A server resets connections above its limit, and with them what was sent.
        """
        hosts = max(1, len(self._parts.view.peer_addresses))
        return max(1, self._service.max_connections // hosts)

    async def _attempt(self, backend: Backend) -> AttemptResult:
        """Send the request to a server and record what was seen."""
        parts = self._parts
        started_s = self._loop.time()
        left_s = self._left_s()
        parts.pool.record_start(backend, boottime_s())
        try:
            result = await parts.backend_client.send(self._request, backend, left_s)
        except asyncio.CancelledError:
            parts.pool.record_abandoned(backend, boottime_s())
            parts.events.failure(
                "attempt_cancelled",
                id=self._request.request_id,
                server=backend.server,
                after_ms=_ms(self._loop.time() - started_s),
            )
            raise
        took_s = self._loop.time() - started_s
        self._tried.append(backend.server)
        self._results.append(result)
        parts.metrics.count("attempts_total", outcome=result.outcome.value)
        if self._service.keyed:
            self._report(backend, result.outcome, took_s)
        self._learn(backend, result, took_s)
        self._log_attempt(backend, result, took_s, left_s)
        return result

    def _report(self, backend: Backend, outcome: Outcome, took_s: float) -> None:
        """Note what tells the leader of the speed of an owner."""
        load_recorder = self._parts.load_recorder
        if outcome is Outcome.ANSWERED:
            load_recorder.record_response(self._service.name, backend.server, took_s)
        elif outcome is Outcome.TIMED_OUT:
            load_recorder.record_timeout(self._service.name, backend.server, took_s)

    def _learn(self, backend: Backend, result: AttemptResult, took_s: float) -> None:
        """Note what tells this host of the server."""
        pool = self._parts.pool
        now_s = boottime_s()
        outcome = result.outcome
        if outcome is Outcome.ANSWERED:
            pool.record_response(backend, took_s, now_s)
            self._parts.metrics.observe("attempt_duration_seconds", took_s)
        elif outcome is Outcome.REFUSED:
            pool.record_rejection(backend, now_s)
        elif outcome is Outcome.NOT_OWNER or self._ended_early(backend, result, took_s):
            pool.record_abandoned(backend, now_s)
        elif pool.record_failure(backend, now_s, outcome in _NO_CONTACT):
            self._parts.events.state_change(
                "server_ejected",
                server=backend.server,
                service=backend.service,
                outcome=outcome.value,
                detail=result.detail,
            )

    def _ended_early(
        self, backend: Backend, result: AttemptResult, took_s: float
    ) -> bool:
        """Return whether the time ended while the server may have been at work."""
        if result.outcome is not Outcome.TIMED_OUT:
            return False
        expected_s = self._parts.pool.latency_s(backend, boottime_s())
        return took_s <= SILENT_FACTOR * expected_s

    async def _decide(self, result: AttemptResult) -> Step:
        if result.outcome is Outcome.ANSWERED:
            return Step(StepKind.ANSWER, "")
        if self._service.keyed:
            servers, expected_s, another = await self._owner_for_repeat(result)
        else:
            servers, expected_s, another = self._server_for_repeat()
        hosts = len(self._parts.view.peer_addresses)
        return next_step(
            self._route,
            self._results,
            servers,
            self._left_s(),
            expected_s,
            another,
            self._budget.allows(self._loop.time(), hosts),
        )

    def _server_for_repeat(self) -> tuple[int, float, bool]:
        """Return servers in all, expected time and whether there is another one."""
        other = self._other_server()
        expected_s = self._parts.pool.latency_s(other, boottime_s()) if other else 0.0
        return len(set(self._tried)) + 1, expected_s, other is not None

    async def _owner_for_repeat(self, result: AttemptResult) -> tuple[int, float, bool]:
        """Return the same for a key: its owner, the one tried or a new one."""
        if result.outcome is Outcome.NOT_OWNER:
            await self._parts.owners.wait_for_update(
                min(NEWS_WAIT_S, max(0.0, self._left_s()))
            )
        owned = self._parts.owners.owner_of(self._service.name, self._request.key)
        if owned is None:
            return len(set(self._tried)), 0.0, False
        servers = len({*self._tried, owned.server})
        moved = bool(owned.target) or owned.server != self._tried[-1]
        return servers, 0.0, moved or result.outcome is not Outcome.TIMED_OUT

    async def _pause(self, result: AttemptResult) -> None:
        """Wait a little before a keyed request goes to the same owner again."""
        if not self._service.keyed or result.outcome is not Outcome.REFUSED:
            return
        pause_s = REPEAT_PAUSE_S * 2 ** (len(self._results) - 1)
        pause_s *= 0.5 + self._parts.random.random()
        if pause_s < self._left_s():
            await asyncio.sleep(pause_s)

    def _without_server(self, choice: ServerChoice) -> Response:
        """Answer when no server may take the request."""
        if any(result.outcome not in NOT_EXECUTED_OUTCOMES for result in self._results):
            return self._answer(choice.reason, 502)
        if self._left_s() < MIN_SEND_S:
            return self._answer(choice.reason, 504)
        return self._refuse(choice.reason, choice.wait_s)

    def _reply(self, step: Step) -> Response:
        """Return the reply for the last step."""
        if step.kind is StepKind.REFUSE:
            return self._refuse(step.reason, MOVED_RETRY_S)
        if step.kind is StepKind.TIME_OUT:
            return self._answer(step.reason, 504)
        if step.kind is StepKind.GIVE_UP:
            return self._answer(step.reason, 502)
        last = self._results[-1]
        metrics = self._parts.metrics
        took_s = self._loop.time() - self._request.received_s
        metrics.count("requests_total", outcome=last.outcome.value)
        metrics.observe("request_duration_seconds", took_s)
        return last.response

    def _answer(self, reason: str, status: int) -> Response:
        return self._parts.answer(self._request, self._service.name, reason, status)

    def _refuse(self, reason: str, wait_s: float) -> Response:
        return self._parts.refuse(self._request, self._service.name, reason, wait_s)

    def _log_attempt(
        self, backend: Backend, result: AttemptResult, took_s: float, left_s: float
    ) -> None:
        parts = self._parts
        answered = result.outcome is Outcome.ANSWERED
        write = parts.events.success if answered else parts.events.failure
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
            took_ms=_ms(took_s),
            left_ms=_ms(left_s),
            expected_ms=_ms(parts.pool.latency_s(backend, now_s)),
            in_flight=parts.pool.in_flight(backend),
            server_revision=backend.revision,
            assignment=(
                parts.view.assignment_revision if self._service.keyed else None
            ),
            belief_age_s=round(parts.view.store_age_s(), 2),
        )


def _ms(duration_s: float) -> int:
    return round(duration_s * 1000)
