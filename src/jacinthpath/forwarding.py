"""Forwards one request to an endpoint and its response to the caller."""

from __future__ import annotations

__all__ = ["Forwarder", "RecordClient"]

import asyncio
import random
from typing import Protocol

from aiohttp import web

from .caller_response import CallerDisconnected, CallerResponse
from .dispatch import INTERRUPTED, UNREACHABLE, Dispatcher, Target
from .endpoints import EndpointClient
from .errors import NotRun, OutcomeUnknown, RequestError
from .exchange import Attempt, AttemptOutcome, HttpExchange
from .gateway.shutdown_window import ShutdownWindow
from .gateway.waiting import ShutdownTimeout
from .logs import get_logger
from .metrics import Metrics
from .record_completeness import MAX_CLAIM_S
from .request_reader import RequestReader
from .retries import Retry, RetryBudget, decide_retry
from .tracing import Tracer

OWNER_MOVED = "owner-moved"
OWNER_CHANGE_REASONS = frozenset({"not-owner", UNREACHABLE, OWNER_MOVED})
"""Reasons for which a keyed request is sent again without use of the retry budget,
after a wait for a change of owner."""

_log = get_logger()


class RecordClient(Protocol):
    """Interface to the at-most-once records."""

    async def claim(self, exchange: HttpExchange) -> Attempt | None:
        """Claim the idempotency key before the request is sent to an endpoint.

        :return: ``None`` when this process may send, or the response of the
            earlier run.
        :raises RequestError: the request is running, its outcome is unknown, or
            the records cannot tell.
        """

    async def settle(self, exchange: HttpExchange, attempt: Attempt) -> None:
        """Record how the claimed run ended."""


class Forwarder:
    """Handles the HTTP requests of callers.

    :param records: at-most-once records, or ``None`` where no service has any
        non-idempotent requests.
    :ivar shutdown_window: opens when the process is to stop.
    """

    def __init__(
        self,
        request_reader: RequestReader,
        dispatcher: Dispatcher,
        endpoints: EndpointClient,
        records: RecordClient | None,
        tracer: Tracer,
        metrics: Metrics,
        requests_in_flight_limit: int,
        randomness: random.Random | None = None,
    ) -> None:
        self._request_reader = request_reader
        self._dispatcher = dispatcher
        self._endpoints = endpoints
        self._records = records
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._tracer = tracer
        self._metrics = metrics
        self._max_in_flight = requests_in_flight_limit
        self._random = randomness or random.Random()
        self._shielded_runs: set[asyncio.Task[Attempt]] = set()
        self.in_flight = 0
        self.shutdown_window = ShutdownWindow()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one HTTP request."""
        self._add_in_flight(1)
        response = CallerResponse(request)
        try:
            if self.in_flight > self._max_in_flight:
                raise self._overloaded_error()
            exchange = await self._request_reader.read(request)
        except RequestError as error:
            return self._refuse(None, response, error)
        else:
            return await self._respond(exchange, response)
        finally:
            self._add_in_flight(-1)

    async def drain(self) -> None:
        """Wait until all shielded runs have ended; they outlive their callers."""
        if self._shielded_runs:
            await asyncio.wait(self._shielded_runs)

    async def _respond(
        self, exchange: HttpExchange, response: CallerResponse
    ) -> web.StreamResponse:
        span = self._tracer.start("entry", exchange.trace)
        if span is not None:
            exchange.trace = span.context
        outcome = "answered"
        try:
            return response.finish(await self._execute(exchange, response))
        except RequestError as error:
            outcome = error.outcome
            return self._refuse(exchange, response, error)
        except (CallerDisconnected, ConnectionError, asyncio.CancelledError):
            outcome = "caller-left"
            raise
        except Exception:
            # An internal error: whether the request reached an endpoint is unknown.
            outcome = OutcomeUnknown.outcome
            _log.exception("request_failed", service=exchange.service)
            return self._refuse(exchange, response, _router_fault_error())
        finally:
            self._tracer.end(span, service=exchange.service, outcome=outcome)
            self._record_request(exchange, outcome)

    async def _execute(
        self, exchange: HttpExchange, response: CallerResponse
    ) -> Attempt:
        if exchange.deadline_s > self.shutdown_window.end_s:
            raise self._leaving_error()
        if exchange.policy.priority == "deferrable" and exchange.policy.defer_limit_s:
            await self._defer(exchange)
        if exchange.policy.idempotent:
            return await self._attempt_within_deadline(exchange, response)
        # The run continues if the caller disconnects, so that its outcome is recorded
        # and a retry of the caller gets the response.
        run = asyncio.create_task(self._run_at_most_once(exchange, response))
        self._shielded_runs.add(run)
        run.add_done_callback(self._shielded_runs.discard)
        return await asyncio.shield(run)

    async def _defer(self, exchange: HttpExchange) -> None:
        try:
            async with ShutdownTimeout(self.shutdown_window, exchange.deadline_s):
                await self._dispatcher.defer(exchange)
        except TimeoutError:
            raise self._out_of_time_error(exchange) from None
        if not exchange.policy.idempotent:
            # A claim is held for at most MAX_CLAIM_S, so it begins after the wait.
            claim_end_s = asyncio.get_running_loop().time() + MAX_CLAIM_S
            exchange.deadline_s = min(exchange.deadline_s, claim_end_s)

    async def _run_at_most_once(
        self, exchange: HttpExchange, response: CallerResponse
    ) -> Attempt:
        if self._records is None or not exchange.idempotency_key:
            return await self._attempt_within_deadline(exchange, response)
        earlier_attempt = await self._records.claim(exchange)
        if earlier_attempt is not None:
            return earlier_attempt
        attempt = Attempt(AttemptOutcome.UNKNOWN, INTERRUPTED)
        try:
            attempt = await self._attempt_within_deadline(exchange, response)
        except NotRun as error:
            attempt = Attempt(AttemptOutcome.NOT_RUN, error.kind)
            raise
        finally:
            await self._records.settle(exchange, attempt)
        return attempt

    async def _attempt_within_deadline(
        self, exchange: HttpExchange, response: CallerResponse
    ) -> Attempt:
        progress = _Progress()
        try:
            async with ShutdownTimeout(self.shutdown_window, exchange.deadline_s):
                return await self._attempt_until_answered(exchange, response, progress)
        except TimeoutError:
            if progress.may_have_reached_endpoint:
                raise self._interrupted_error(exchange) from None
            raise self._out_of_time_error(exchange) from None

    async def _attempt_until_answered(
        self, exchange: HttpExchange, response: CallerResponse, progress: _Progress
    ) -> Attempt:
        budget = self._get_retry_budget(exchange)
        budget.deposit()
        tried: tuple[str, ...] = ()
        excluded: tuple[str, ...] = ()
        while True:
            target = await self._find_target(exchange, excluded)
            attempt = await self._make_attempt(exchange, target, response, progress)
            if attempt.outcome is AttemptOutcome.ANSWERED:
                return attempt
            if response.started:
                raise OutcomeUnknown("The response was cut off.", kind=attempt.reason)
            if exchange.stream is not None and attempt.reason != UNREACHABLE:
                raise _final_error(exchange, attempt)
            if exchange.policy.keyed and attempt.reason in OWNER_CHANGE_REASONS:
                # The next table may name another owner. A refused or unsent attempt
                # costs no server work, so sending the request again is not charged
                # to the retry budget, nor is it after a move of the key.
                progress.may_have_reached_endpoint = False
                await self._dispatcher.wait_for_owner_change(exchange, target)
                continue
            tried += (target.server,)
            retry = self._decide_retry(exchange, attempt, tried, budget)
            if retry is None:
                raise _final_error(exchange, attempt)
            progress.may_have_reached_endpoint = (
                attempt.outcome is AttemptOutcome.UNKNOWN
            )
            excluded = retry.exclude
            await asyncio.sleep(retry.delay_s)

    async def _find_target(
        self, exchange: HttpExchange, excluded: tuple[str, ...]
    ) -> Target:
        span = self._tracer.start("owner", exchange.trace)
        server = ""
        try:
            target = await self._dispatcher.acquire(exchange, excluded)
            server = target.server
        finally:
            self._tracer.end(span, server=server)
        return target

    def _get_retry_budget(self, exchange: HttpExchange) -> RetryBudget:
        budget = self._retry_budgets.get(exchange.account)
        if budget is None:
            budget = RetryBudget(exchange.policy.retry_budget_ratio)
            self._retry_budgets[exchange.account] = budget
        return budget

    def _decide_retry(
        self,
        exchange: HttpExchange,
        attempt: Attempt,
        tried: tuple[str, ...],
        budget: RetryBudget,
    ) -> Retry | None:
        return decide_retry(
            exchange.policy,
            attempt.outcome.value,
            tried,
            exchange.deadline_s,
            asyncio.get_running_loop().time(),
            budget,
            self._random,
            endpoint_retry_after_s=attempt.retry_after_s or 0.0,
        )

    async def _make_attempt(
        self,
        exchange: HttpExchange,
        target: Target,
        response: CallerResponse,
        progress: _Progress,
    ) -> Attempt:
        span = self._tracer.start("attempt", exchange.trace)
        context = exchange.trace if span is None else span.context
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        attempt = Attempt(AttemptOutcome.UNKNOWN, INTERRUPTED)
        progress.may_have_reached_endpoint = True
        timeout = asyncio.timeout(None)
        self._dispatcher.record_start(exchange, target, timeout)
        try:
            async with timeout:
                attempt = await self._endpoints.attempt(
                    exchange,
                    target.server,
                    target.address,
                    target.epoch,
                    context.header(),
                    response.stream,
                )
        except TimeoutError:
            if not timeout.expired():
                raise
            attempt = Attempt(AttemptOutcome.UNKNOWN, OWNER_MOVED)
        finally:
            self._dispatcher.release(exchange, target, attempt, loop.time() - started_s)
            self._tracer.end(span, server=target.server, outcome=attempt.outcome.value)
            if attempt.outcome is not AttemptOutcome.ANSWERED:
                self._metrics.count(
                    "attempts_failed_total",
                    service=exchange.service,
                    outcome=attempt.outcome.value,
                    reason=attempt.reason,
                )
        return attempt

    def _refuse(
        self,
        exchange: HttpExchange | None,
        response: CallerResponse,
        error: RequestError,
    ) -> web.StreamResponse:
        if exchange is None:
            self._metrics.count("requests_total", service="", outcome=error.outcome)
        _log.info(
            "request_refused",
            service=exchange.service if exchange else "",
            trace=exchange.trace.trace_id if exchange else "",
            outcome=error.outcome,
            reason=error.kind,
            status=error.status,
        )
        return response.fail(error)

    def _record_request(self, exchange: HttpExchange, outcome: str) -> None:
        service = exchange.service
        self._metrics.count("requests_total", service=service, outcome=outcome)
        duration_s = asyncio.get_running_loop().time() - exchange.received_s
        self._metrics.observe("request_duration_seconds", duration_s, service=service)

    def _add_in_flight(self, change: int) -> None:
        self.in_flight += change
        self._metrics.gauge("requests_in_flight", self.in_flight)

    def _interrupted_error(self, exchange: HttpExchange) -> OutcomeUnknown:
        """Return why a request that may have been sent is given up."""
        is_leaving = _has_time_left(exchange)
        return OutcomeUnknown(
            f"{'This host stopped' if is_leaving else 'The deadline passed'} after the "
            "request was sent to an endpoint.",
            "Ask for its outcome with the same idempotency key.",
            status=504,
            kind="leaving" if is_leaving else "deadline-exceeded",
        )

    def _out_of_time_error(self, exchange: HttpExchange) -> NotRun:
        """Return why a request that was not sent is given up."""
        if _has_time_left(exchange):
            return self._leaving_error()
        return self._deadline_exceeded_error()

    def _deadline_exceeded_error(self) -> NotRun:
        return NotRun(
            "The deadline passed before the request could be sent.",
            "Retry the request later.",
            retry_after_s=0.5 + self._random.random(),
            status=504,
            kind="deadline-exceeded",
        )

    def _leaving_error(self) -> NotRun:
        return NotRun(
            "This host stops before the request's deadline.",
            "Retry the request at another host.",
            retry_after_s=self._random.random(),
            kind="leaving",
        )

    def _overloaded_error(self) -> NotRun:
        return NotRun(
            "This host has too many requests in flight.",
            "Retry the request later.",
            retry_after_s=0.5 + self._random.random(),
            kind="overloaded",
        )


class _Progress:
    """Records whether an attempt may have reached an endpoint."""

    __slots__ = ("may_have_reached_endpoint",)

    def __init__(self) -> None:
        self.may_have_reached_endpoint = False


def _has_time_left(exchange: HttpExchange) -> bool:
    return asyncio.get_running_loop().time() < exchange.deadline_s


def _router_fault_error() -> OutcomeUnknown:
    return OutcomeUnknown(
        "The router failed because of an internal error.",
        "Ask for the outcome with the same idempotency key.",
        status=500,
        kind="router-fault",
    )


def _final_error(exchange: HttpExchange, attempt: Attempt) -> RequestError:
    if attempt.outcome is AttemptOutcome.NOT_RUN:
        return NotRun(
            f"No server of {exchange.service} accepted the request.",
            "Retry the request later.",
            retry_after_s=attempt.retry_after_s or 1.0,
            kind=attempt.reason,
        )
    return OutcomeUnknown(
        "The request was sent to an endpoint, but no complete response arrived.",
        "Ask for its outcome with the same idempotency key.",
        kind=attempt.reason,
    )
