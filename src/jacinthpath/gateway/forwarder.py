"""The way of one request: route, server, attempts, reply."""

from __future__ import annotations

__all__ = ["Forwarder"]

import asyncio
from random import Random

from .assignment import OwnedRange, moving_key
from .attempts import Step, StepKind, expected_retry_after_s, next_step
from .beliefs import Beliefs
from .budget import RepeatBudget
from .clock import boot_time_s
from .events import EventLog
from .exchange import (
    NOT_RUN,
    AttemptResult,
    CallerRequest,
    Outcome,
    Reply,
    ServerSender,
    own_reply,
)
from .loads import KeyCounter
from .model import Backend, Route, Service, Timing
from .pool import ServerPool
from .route_index import ShareCycle

DEFAULT_BUDGET_S = 30.0
MOVE_WAIT_S = 0.3
"""A range that is handed over is served again within this time; what takes longer
is refused at once."""

DRAIN_USE_SHARE = 0.6
"""Share of the drain time for which a draining owner is still sent to, counted from
when its report was seen; the report itself is older."""

REPEAT_PAUSE_S = 0.02
"""Pause before a request goes to the same server again; it doubles each time. A full
server needs about this long to free a slot."""

SILENT_FACTOR = 4.0
"""Long work takes up to seven times the mean, but only three requests in a hundred."""

MIN_SEND_S = 0.02
"""Less time than this is not offered to a server."""

MOVED_RETRY_S = 0.3
NO_OWNER_RETRY_S = 0.8
NO_CONFIGURATION_RETRY_S = 0.5


_NO_CONTACT = frozenset({Outcome.UNREACHABLE, Outcome.TIMED_OUT})


class Forwarder:
    """Handles callers' requests.

    :param timing: bounds of the deployment.
    """

    def __init__(
        self,
        beliefs: Beliefs,
        pool: ServerPool,
        sender: ServerSender,
        counter: KeyCounter,
        timing: Timing,
        events: EventLog,
        random: Random,
        metrics: object,
    ) -> None:
        self.in_flight = 0
        self._beliefs = beliefs
        self._pool = pool
        self._sender = sender
        self._counter = counter
        self._timing = timing
        self._events = events
        self._random = random
        self._metrics = metrics
        self._cycle = ShareCycle()
        self._budgets: dict[str, RepeatBudget] = {}

    async def handle(self, request: CallerRequest) -> Reply:
        """Answer a request; a caller that leaves cancels it."""
        self.in_flight += 1
        try:
            reply = await self._handle(request)
        except asyncio.CancelledError:
            self._metrics.count("requests_total", outcome="caller-left")
            self._events.failure("caller_left", id=request.request_id)
            raise
        finally:
            self.in_flight -= 1
        return reply

    async def _handle(self, request: CallerRequest) -> Reply:
        routes = self._beliefs.routes
        if routes is None:
            return self._refuse(
                request, "", "no-configuration", NO_CONFIGURATION_RETRY_S
            )
        route = routes.find(request.host, request.path)
        if route is None:
            self._note_own(request, "", "no-route", 404)
            return own_reply(404, "no-route")
        name = self._cycle.choose(route)
        service = routes.table.services.get(name)
        if service is None:
            return self._refuse(request, name, "unknown-service", NO_OWNER_RETRY_S)
        return await _RequestRun(self, request, route, service).run()

    def budget(self, service: str) -> RepeatBudget:
        """Return the budget of repeats of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            timing = self._timing
            budget = self._budgets[service] = RepeatBudget(
                timing.retry_window_s, timing.retry_ratio, timing.retry_slack
            )
        return budget

    def _refuse(
        self, request: CallerRequest, service: str, reason: str, wait_s: float
    ) -> Reply:
        """Answer 503: the request has not run and will not."""
        self._note_own(request, service, reason, 503)
        return own_reply(503, reason, expected_retry_after_s(wait_s, self._random))

    def _note_own(
        self, request: CallerRequest, service: str, reason: str, status: int
    ) -> None:
        """Log and count an answer of the gateway itself."""
        self._metrics.count("requests_total", outcome="own")
        self._metrics.count("own_answers_total", reason=reason.partition(",")[0])
        table = self._beliefs.routes.table if self._beliefs.routes else None
        self._events.failure(
            "request_answered_by_gateway",
            id=request.request_id,
            service=service,
            key=request.key,
            status=status,
            reason=reason,
            configuration=table.version if table else None,
            assignment=self._beliefs.assignment_revision,
            belief_age_s=round(self._beliefs.age_s(), 2),
        )


class _RequestRun:
    """One request on its way."""

    def __init__(
        self,
        forwarder: Forwarder,
        request: CallerRequest,
        route: Route,
        service: Service,
    ) -> None:
        self._f = forwarder
        self._request = request
        self._route = route
        self._service = service
        self._loop = asyncio.get_running_loop()
        budget_s = (
            request.budget_s if request.budget_s is not None else DEFAULT_BUDGET_S
        )
        self._end_s = request.arrived_s + min(budget_s, route.timeout_s)
        self._results: list[AttemptResult] = []
        self._tried: list[str] = []
        self._keyed = service.keyed and request.key is not None

    async def run(self) -> Reply:
        """Return the reply."""
        f = self._f
        f.budget(self._service.name).requested(self._loop.time())
        if self._keyed:
            f._counter.requested(self._service.name, self._request.key)
        elif self._service.keyed:
            f._note_own(self._request, self._service.name, "no-key", 400)
            return own_reply(400, "no-key")
        while True:
            backend, reason, wait_s = await self._next_server()
            if backend is None:
                return self._without_server(reason, wait_s)
            result = await self._attempt(backend)
            step = await self._decide(result)
            if step.kind is not StepKind.REPEAT:
                return self._reply(step)
            f.budget(self._service.name).repeated(self._loop.time())
            await self._pause(result)

    async def _pause(self, result: AttemptResult) -> None:
        """Wait a little before a keyed request goes to the same owner again."""
        if not self._keyed or result.outcome is not Outcome.REFUSED:
            return
        pause_s = REPEAT_PAUSE_S * 2 ** (len(self._results) - 1)
        pause_s *= 0.5 + self._f._random.random()
        if pause_s < self._left_s():
            await asyncio.sleep(pause_s)

    def _left_s(self) -> float:
        return self._end_s - self._loop.time()

    async def _next_server(self) -> tuple[Backend | None, str, float]:
        """Return the server for the next attempt, or why there is none."""
        if self._left_s() < MIN_SEND_S:
            return None, "too-little-time", 0.0
        if self._keyed:
            return await self._owner()
        f = self._f
        backends = f._beliefs.directory.of_service(self._service.name)
        backend = f._pool.choose(backends, boot_time_s(), self._tried)
        if backend is None:
            return None, "no-server", NO_OWNER_RETRY_S
        return backend, "", 0.0

    async def _owner(self) -> tuple[Backend | None, str, float]:
        """Return the owner of the key; wait briefly for a hand-over to end."""
        beliefs = self._f._beliefs
        until_s = self._loop.time() + min(MOVE_WAIT_S, self._left_s())
        while True:
            owned = self._present_owner()
            if owned is None:
                return None, "no-owner", NO_OWNER_RETRY_S
            if not owned.target:
                return self._usable_owner(owned)
            changed = beliefs.changed
            left_s = until_s - self._loop.time()
            if left_s <= 0 or self._moves_slowly(owned):
                return None, "key-moving", self._until_moved_s(owned)
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                return None, "key-moving", self._until_moved_s(owned)

    def _until_moved_s(self, owned: OwnedRange) -> float:
        """Return how long a move may still take that waits for a hold to run out."""
        since_s = self._f._beliefs.moving_since_s.get(
            moving_key(self._service.name, owned), boot_time_s()
        )
        return max(MOVED_RETRY_S, owned.lapse_s - (boot_time_s() - since_s))

    def _moves_slowly(self, owned: OwnedRange) -> bool:
        since_s = self._f._beliefs.moving_since_s.get(
            moving_key(self._service.name, owned)
        )
        return since_s is None or boot_time_s() - since_s > MOVE_WAIT_S

    def _usable_owner(self, owned: OwnedRange) -> tuple[Backend | None, str, float]:
        directory = self._f._beliefs.directory
        backend = directory.find(owned.server)
        if backend is None:
            return None, "owner-gone", NO_OWNER_RETRY_S
        since_s = directory.draining_since_s.get(owned.server)
        limit_s = DRAIN_USE_SHARE * self._f._timing.drain_s
        if since_s is not None and boot_time_s() - since_s > limit_s:
            return None, "owner-draining", MOVED_RETRY_S
        if self._f._pool.is_unreachable(backend, boot_time_s()):
            return None, "owner-unreachable", NO_OWNER_RETRY_S
        return backend, "", 0.0

    async def _attempt(self, backend: Backend) -> AttemptResult:
        """Send the request to a server and record what was seen."""
        f = self._f
        started_s = self._loop.time()
        f._pool.started(backend, boot_time_s())
        left_s = self._left_s()
        try:
            result = await f._sender.send(self._request, backend, left_s)
        except asyncio.CancelledError:
            f._pool.abandoned(backend, boot_time_s())
            f._events.failure(
                "attempt_cancelled",
                id=self._request.request_id,
                server=backend.server,
                after_ms=_ms(self._loop.time() - started_s),
            )
            raise
        took_s = self._loop.time() - started_s
        self._record(backend, result, took_s)
        self._tried.append(backend.server)
        self._results.append(result)
        self._log_attempt(backend, result, took_s, left_s)
        return result

    def _record(self, backend: Backend, result: AttemptResult, took_s: float) -> None:
        f = self._f
        now_s = boot_time_s()
        f._metrics.count("attempts_total", outcome=result.outcome.value)
        if result.outcome is Outcome.ANSWERED:
            f._pool.answered(backend, took_s, now_s)
            f._metrics.observe("attempt_duration_seconds", took_s)
            if self._keyed:
                f._counter.answered(self._service.name, backend.server, took_s)
            return
        if self._keyed and result.outcome is Outcome.TIMED_OUT:
            f._counter.timed_out(self._service.name, backend.server, took_s)
        if result.outcome is Outcome.NOT_OWNER:
            f._pool.abandoned(backend, now_s)
        elif result.outcome is Outcome.TIMED_OUT and not self._was_silent(
            backend, took_s
        ):
            f._pool.abandoned(backend, now_s)
        elif result.outcome is Outcome.REFUSED:
            f._pool.refused(backend, now_s)
        elif f._pool.failed(backend, now_s, result.outcome in _NO_CONTACT):
            f._events.belief(
                "server_ejected",
                server=backend.server,
                service=backend.service,
                outcome=result.outcome.value,
                detail=result.detail,
            )

    def _was_silent(self, backend: Backend, took_s: float) -> bool:
        """Return whether a server took far longer than its work explains."""
        return took_s > SILENT_FACTOR * self._f._pool.latency_s(backend, boot_time_s())

    async def _decide(self, result: AttemptResult) -> Step:
        if result.outcome is Outcome.ANSWERED:
            return Step(StepKind.ANSWER, "")
        f = self._f
        now_s = boot_time_s()
        servers = len(set(self._tried))
        if self._keyed:
            another = await self._keyed_retry_possible(result)
            expected_s = 0.0
            owner = self._present_owner()
            servers += owner is not None and owner.server not in self._tried
        else:
            servers += 1
            backends = f._beliefs.directory.of_service(self._service.name)
            other = f._pool.choose(backends, now_s, self._tried)
            another = other is not None
            expected_s = f._pool.latency_s(other, now_s) if other else 0.0
        budget = f.budget(self._service.name)
        allowed = budget.allows(self._loop.time(), len(f._beliefs.hosts))
        return next_step(
            self._route,
            self._results,
            servers,
            self._left_s(),
            expected_s,
            another,
            allowed,
        )

    async def _keyed_retry_possible(self, result: AttemptResult) -> bool:
        """Return whether the key has an owner to which a repeat may go."""
        if result.outcome is Outcome.NOT_OWNER:
            # The new owner is written before it is granted; news follow shortly.
            await self._wait_for_news()
        owned = self._present_owner()
        if owned is None:
            return False
        if result.outcome is not Outcome.TIMED_OUT:
            return True
        return bool(owned.target) or owned.server != self._tried[-1]

    def _present_owner(self) -> OwnedRange | None:
        index = self._f._beliefs.owners.get(self._service.name)
        return index.find(self._request.key) if index else None

    async def _wait_for_news(self) -> None:
        changed = self._f._beliefs.changed
        try:
            async with asyncio.timeout(min(0.05, max(0.0, self._left_s()))):
                await changed.wait()
        except TimeoutError:
            return

    def _log_attempt(
        self, backend: Backend, result: AttemptResult, took_s: float, left_s: float
    ) -> None:
        f = self._f
        write = (
            f._events.success
            if result.outcome is Outcome.ANSWERED
            else f._events.failure
        )
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
            expected_ms=_ms(f._pool.latency_s(backend, boot_time_s())),
            in_flight=f._pool.in_flight(backend, boot_time_s()),
            server_revision=backend.revision,
            assignment=f._beliefs.assignment_revision if self._keyed else None,
            belief_age_s=round(f._beliefs.age_s(), 2),
        )

    def _without_server(self, reason: str, wait_s: float) -> Reply:
        """Answer when no server may take the request."""
        f = self._f
        ran = any(result.outcome not in NOT_RUN for result in self._results)
        if ran:
            f._note_own(self._request, self._service.name, reason, 502)
            return own_reply(502, reason)
        if self._left_s() < MIN_SEND_S:
            f._note_own(self._request, self._service.name, reason, 504)
            return own_reply(504, reason)
        return f._refuse(self._request, self._service.name, reason, wait_s)

    def _reply(self, step: Step) -> Reply:
        f = self._f
        last = self._results[-1]
        if step.kind is StepKind.ANSWER:
            f._metrics.count("requests_total", outcome=last.outcome.value)
            f._metrics.observe(
                "request_duration_seconds",
                self._loop.time() - self._request.arrived_s,
            )
            return last.reply
        if step.kind is StepKind.REFUSE:
            return f._refuse(
                self._request, self._service.name, step.reason, MOVED_RETRY_S
            )
        status = 504 if step.kind is StepKind.TIME_OUT else 502
        f._note_own(self._request, self._service.name, step.reason, status)
        return own_reply(status, step.reason)


def _ms(duration_s: float) -> int:
    return round(duration_s * 1000)
