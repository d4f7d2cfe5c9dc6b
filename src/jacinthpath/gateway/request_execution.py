"""Executes a request: attempts at servers until there is a response."""

from __future__ import annotations

__all__ = ["RequestExecution"]

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from .attempt_sender import AttemptSender
from .attempts import Step, StepKind, final_step, next_step, was_received
from .capacity.attempt_slots import AttemptSlot
from .clock import boottime_s
from .exchange import (
    NOT_EXECUTED_OUTCOMES,
    AttemptResult,
    CallerRequest,
    Outcome,
    Response,
)
from .fingerprints import fingerprint_of
from .model import Backend, Route, Service
from .owner_lookup import MOVING_RETRY_S, ServerChoice
from .request_dependencies import RequestDependencies
from .request_time import RequestTime
from .retry_budget import RetryBudget
from .server_chooser import ServerChooser
from .waiting import ShutdownTimeout

INITIAL_BACKOFF_S = 0.02
"""Delay before a request is sent to the same server again; doubles with each attempt. A
full server needs about this long to free a slot."""

NEW_OWNER_WAIT_S = 0.05
"""After a server responds that it does not own the key, the new owner becomes known
within milliseconds, because the assignment is written before the grant is sent."""

MIN_ATTEMPT_S = 0.02
"""No attempt is made with less time than this left."""


class _KeptSlot(NamedTuple):
    """The slot of a rejected attempt, which a retry may use."""

    choice: ServerChoice
    slot: AttemptSlot
    result: AttemptResult


class _Handover:
    """Whether the present attempt of a request may have reached a server.

    :param check_caller: see :class:`CallerRequest`.
    """

    def __init__(self, check_caller: Callable[[], None]) -> None:
        self.was_sent = False
        self._check_caller = check_caller

    def check_wanted(self) -> None:
        """Check whether the caller is still there; the request is sent next."""
        self._check_caller()
        self.was_sent = True


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
        self._time = RequestTime(request, route, dependencies.shutdown_window)
        self._handover = _Handover(request.check_wanted)
        self._sender = AttemptSender(
            dependencies,
            request._replace(check_wanted=self._handover.check_wanted),
            service,
        )
        self._results: list[AttemptResult] = []
        self._receivers: set[str] = set()
        self._fingerprint: int | None = None
        self._kept: _KeptSlot | None = None
        self._chooser = ServerChooser(
            dependencies, request, route, service, self._time.remaining_s
        )

    async def run(self) -> Response:
        """Return the response."""
        timeout = ShutdownTimeout(self._dependencies.shutdown_window)
        try:
            async with timeout:
                return await self._run()
        except TimeoutError:
            if not timeout.expired():
                raise
            return self._respond_leaving()
        finally:
            self._give_back_kept()

    async def _run(self) -> Response:
        if not self._time.is_admitted():
            return self._respond_leaving()
        self._retry_budget.record_request(self._loop.time())
        if self._service.keyed:
            if self._request.key is None:
                return self._respond_locally("no-key", 400)
            self._dependencies.load_recorder.record_request(
                self._service.name, self._request.key
            )
        while True:
            blocked_left_s = self._blocked_left_s()
            if blocked_left_s:
                return self._respond_blocked(blocked_left_s)
            choice = await self._choose()
            if self._time.own_remaining_s() < MIN_ATTEMPT_S:
                # The wait for an owner, or a suspension, has used up the time.
                self._chooser.give_back(choice)
                choice = ServerChoice(None, "too-little-time")
            if choice.backend is not None and not self._ends_in_time(choice.backend):
                self._chooser.give_back(choice)
                return self._respond_leaving()
            if choice.backend is None:
                return self._respond_without_server(choice)
            result = await self._attempt(choice)
            step = await self._decide_next_step(result)
            if step.kind is not StepKind.RESPOND:
                _close_stream(result)
            if step.kind is not StepKind.RETRY:
                return self._respond(step)
            if was_received(self._results):
                self._retry_budget.record_retry(self._loop.time())
            await self._back_off(result)

    def _ends_in_time(self, backend: Backend) -> bool:
        """Return whether a server responds before a process that is to stop ends."""
        if not self._dependencies.shutdown_window.is_open:
            return True
        return self._time.admits_attempt(
            self._dependencies.pool.latency_s(backend, boottime_s())
        )

    def _blocked_left_s(self) -> float:
        """Return for how much longer the request is sent to no server, mostly 0."""
        ledger = self._dependencies.crash_ledger
        if not ledger.has_blocked():
            return 0.0
        if self._fingerprint is None:
            self._fingerprint = fingerprint_of(self._request)
        return ledger.blocked_left_s(self._fingerprint, boottime_s())

    def _respond_blocked(self, blocked_left_s: float) -> Response:
        """Return the response to a request that has crashed servers before."""
        executed = self._may_have_executed()
        return self._dependencies.respond_locally(
            self._request,
            self._service.name,
            "request-crashes-servers",
            502 if executed else 503,
            0.0 if executed else blocked_left_s,
        )

    def _may_have_executed(self) -> bool:
        """Return whether a server may have executed the request.

        An attempt that was cut off has no result.
        """
        return self._handover.was_sent or any(
            result.outcome not in NOT_EXECUTED_OUTCOMES for result in self._results
        )

    async def _choose(self) -> ServerChoice:
        """Return the server for the next attempt, by a slot that was kept if any."""
        kept, self._kept = self._kept, None
        if kept is not None:
            choice = await self._chooser.reuse(kept.choice)
            if choice is not None:
                return choice
        return await self._chooser.choose(is_retry=bool(self._results))

    def _may_keep_slot(self, choice: ServerChoice, result: AttemptResult) -> bool:
        """Return whether a retry may use the slot of an attempt.

        A server that rejects a part of its requests takes the same one moments later,
        while asking for another slot may take longer than the request.
        """
        is_rejected = result.outcome is Outcome.REFUSED
        return self._service.keyed and is_rejected and choice.lease is not None

    def _give_back_kept(self) -> None:
        if self._kept is not None:
            self._kept.slot.end(self._kept.result)
            self._kept = None

    async def _attempt(self, choice: ServerChoice) -> AttemptResult:
        """Send the request to a server, and give back the slot that was lent for it."""
        backend = choice.backend
        slot = AttemptSlot(self._dependencies.slots, choice.lease, boottime_s)
        result: AttemptResult | None = None
        try:
            result = await self._sender.send(
                len(self._results) + 1,
                backend,
                self._time.remaining_s(),
                slot.handle_response_start,
            )
        finally:
            if result is not None and self._may_keep_slot(choice, result):
                self._kept = _KeptSlot(choice, slot, result)
            else:
                slot.end(result)
        self._chooser.tried.append(backend.server)
        self._results.append(result)
        self._handover.was_sent = False
        if was_received([result]):
            self._receivers.add(backend.server)
        return result

    async def _decide_next_step(self, result: AttemptResult) -> Step:
        if result.outcome is Outcome.ANSWERED:
            return final_step(self._route, result)
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
            self._time.remaining_s(),
            expected_s,
            has_alternative,
            self._retry_budget.allows(self._loop.time(), hosts),
        )

    def _assess_retry_on_other_server(self) -> tuple[int, float, bool]:
        """Return what the decision on a retry of an unkeyed request needs.

        :return: number of servers that may have received the request after the retry,
            expected latency, and
            whether there is another server.
        """
        other = self._chooser.find_alternative()
        expected_s = (
            self._dependencies.pool.latency_s(other, boottime_s()) if other else 0.0
        )
        return len(self._receivers) + 1, expected_s, other is not None

    async def _assess_retry_on_owner(
        self, result: AttemptResult
    ) -> tuple[int, float, bool]:
        """Return what the decision on a retry of a keyed request needs.

        The retry goes to the owner, which may be the same or a new server.

        :return: number of servers that may have received the request after the retry,
            an expected latency of 0, so that any remaining time suffices, and whether a
            retry may help.
        """
        if result.outcome is Outcome.NOT_OWNER:
            await self._dependencies.owners.wait_for_update(
                min(NEW_OWNER_WAIT_S, max(0.0, self._time.remaining_s()))
            )
        owned = self._dependencies.owners.owner_of(
            self._service.name, self._request.key
        )
        if owned is None:
            return len(self._receivers), 0.0, False
        servers = len({*self._receivers, owned.server})
        backend = self._dependencies.view.directory.find(owned.server)
        if backend and self._dependencies.pool.pause_left_s(backend, boottime_s()):
            return servers, 0.0, False
        moved = bool(owned.target) or owned.server != self._chooser.tried[-1]
        may_help = result.outcome is not Outcome.TIMED_OUT and (
            not result.notice.of_another_server
        )
        return servers, 0.0, moved or may_help

    async def _back_off(self, result: AttemptResult) -> None:
        """Wait before a keyed request is sent again to an owner that is full."""
        full = result.outcome is Outcome.REFUSED or result.connection_reset
        if not self._service.keyed or not full:
            return
        backoff_s = INITIAL_BACKOFF_S * 2 ** (len(self._results) - 1)
        backoff_s *= 0.5 + self._dependencies.random.random()
        if backoff_s < self._time.remaining_s():
            await asyncio.sleep(backoff_s)

    def _respond_without_server(self, choice: ServerChoice) -> Response:
        """Return the response when there is no server for the next attempt."""
        if self._may_have_executed():
            return self._respond_locally(choice.reason, 502)
        if self._time.own_remaining_s() < MIN_ATTEMPT_S:
            return self._respond_locally(choice.reason, 504)
        return self._respond_unavailable(
            choice.reason, choice.wait_s, choice.is_planned
        )

    def _respond_leaving(self) -> Response:
        """Return the response to a request that this process has no time for."""
        if self._may_have_executed():
            return self._respond_locally("leaving", 504)
        return self._respond_unavailable("leaving", 0.0)

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
        return self._chooser.explain_no_server().wait_s

    def _respond_locally(self, reason: str, status: int) -> Response:
        return self._dependencies.respond_locally(
            self._request, self._service.name, reason, status
        )

    def _respond_unavailable(
        self, reason: str, wait_s: float, is_planned: bool = False
    ) -> Response:
        return self._dependencies.respond_unavailable(
            self._request, self._service.name, reason, wait_s, is_planned
        )


def _close_stream(result: AttemptResult) -> None:
    """Close the connection of a response that is not returned to the caller."""
    if result.response is not None and result.response.stream is not None:
        result.response.stream.close()
