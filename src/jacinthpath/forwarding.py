"""Takes one request from the caller to an endpoint and its answer back."""

from __future__ import annotations

__all__ = ["Forwarder", "RecordClient"]

import asyncio
import random
from typing import Protocol

from aiohttp import web

from .dispatch import INTERRUPTED, UNREACHABLE, Dispatcher, Target
from .endpoints import EndpointClient
from .errors import NotRun, OutcomeUnknown, RequestError
from .exchange import Attempt, AttemptOutcome, Exchange
from .intake import Intake
from .logs import get_logger
from .metrics import Metrics
from .record_completeness import MAX_CLAIM_S
from .replies import CallerLeft, Reply
from .retries import Retry, RetryBudget, decide_retry
from .tracing import Tracer

OWNER_MOVED = "owner-moved"
OWNER_CHANGES = frozenset({"not-owner", UNREACHABLE, OWNER_MOVED})
"""Reasons after which a keyed request is sent again once the owner has changed."""

_log = get_logger()


class RecordClient(Protocol):
    """At-most-once records as an entry process uses them."""

    async def claim(self, exchange: Exchange) -> Attempt | None:
        """Claim the idempotency key before anything is sent.

        :return: ``None`` when this process may send, or the answer of the
            earlier run.
        :raises RequestError: the request is running, its outcome is unknown, or
            the records cannot tell.
        """

    async def settle(self, exchange: Exchange, attempt: Attempt) -> None:
        """Record how the claimed run ended."""


class Forwarder:
    """Handles the requests of callers.

    :param records: at-most-once records, or ``None`` where no service has any
        non-idempotent requests.
    """

    def __init__(
        self,
        intake: Intake,
        dispatcher: Dispatcher,
        endpoints: EndpointClient,
        records: RecordClient | None,
        tracer: Tracer,
        metrics: Metrics,
        requests_in_flight_limit: int,
        randomness: random.Random | None = None,
    ) -> None:
        self._intake = intake
        self._dispatcher = dispatcher
        self._endpoints = endpoints
        self._records = records
        self._budgets: dict[str, RetryBudget] = {}
        self._tracer = tracer
        self._metrics = metrics
        self._limit = requests_in_flight_limit
        self._random = randomness or random.Random()
        self._runs: set[asyncio.Task[Attempt]] = set()
        self.in_flight = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one HTTP request."""
        self._change_in_flight(1)
        reply = Reply(request)
        try:
            if self.in_flight > self._limit:
                raise self._overloaded()
            exchange = await self._intake.read(request)
        except RequestError as error:
            return self._refuse(None, reply, error)
        else:
            return await self._respond(exchange, reply)
        finally:
            self._change_in_flight(-1)

    async def drain(self) -> None:
        """Return when every run that outlived its caller has ended."""
        if self._runs:
            await asyncio.wait(self._runs)

    async def _respond(self, exchange: Exchange, reply: Reply) -> web.StreamResponse:
        span = self._tracer.start("entry", exchange.trace)
        if span is not None:
            exchange.trace = span.context
        outcome = "answered"
        try:
            return reply.finish(await self._answer(exchange, reply))
        except RequestError as error:
            outcome = error.outcome
            return self._refuse(exchange, reply, error)
        except (CallerLeft, ConnectionError, asyncio.CancelledError):
            outcome = "caller-left"
            raise
        except Exception:
            # A fault of the router itself; what reached an endpoint is not known.
            outcome = OutcomeUnknown.outcome
            _log.exception("request_failed", service=exchange.service)
            return self._refuse(exchange, reply, _router_fault())
        finally:
            self._tracer.end(span, service=exchange.service, outcome=outcome)
            self._count(exchange, outcome)

    async def _answer(self, exchange: Exchange, reply: Reply) -> Attempt:
        if exchange.policy.priority == "deferrable" and exchange.policy.defer_limit_s:
            await self._defer(exchange)
        if exchange.policy.idempotent:
            return await self._within_deadline(exchange, reply)
        # The run goes on when the caller leaves, so that its outcome is recorded
        # and a repeated request gets the answer.
        run = asyncio.create_task(self._run_once(exchange, reply))
        self._runs.add(run)
        run.add_done_callback(self._runs.discard)
        return await asyncio.shield(run)

    async def _defer(self, exchange: Exchange) -> None:
        try:
            async with asyncio.timeout_at(exchange.deadline_s):
                await self._dispatcher.defer(exchange)
        except TimeoutError:
            raise self._too_late() from None
        if not exchange.policy.idempotent:
            # A claim is held for a short time only, so it begins after the wait.
            longest_s = asyncio.get_running_loop().time() + MAX_CLAIM_S
            exchange.deadline_s = min(exchange.deadline_s, longest_s)

    async def _run_once(self, exchange: Exchange, reply: Reply) -> Attempt:
        if self._records is None or not exchange.idempotency_key:
            return await self._within_deadline(exchange, reply)
        earlier = await self._records.claim(exchange)
        if earlier is not None:
            return earlier
        attempt = Attempt(AttemptOutcome.UNKNOWN, INTERRUPTED)
        try:
            attempt = await self._within_deadline(exchange, reply)
        except NotRun as error:
            attempt = Attempt(AttemptOutcome.NOT_RUN, error.kind)
            raise
        finally:
            await self._records.settle(exchange, attempt)
        return attempt

    async def _within_deadline(self, exchange: Exchange, reply: Reply) -> Attempt:
        progress = _Progress()
        try:
            async with asyncio.timeout_at(exchange.deadline_s):
                return await self._attempt_until_answered(exchange, reply, progress)
        except TimeoutError:
            if progress.reached_endpoint:
                raise OutcomeUnknown(
                    "The deadline passed while an endpoint had the request.",
                    "Ask for its outcome with the same idempotency key.",
                    status=504,
                    kind="deadline-exceeded",
                ) from None
            raise self._too_late() from None

    async def _attempt_until_answered(
        self, exchange: Exchange, reply: Reply, progress: _Progress
    ) -> Attempt:
        budget = self._budget_of(exchange)
        budget.deposit()
        tried: tuple[str, ...] = ()
        excluded: tuple[str, ...] = ()
        while True:
            target = await self._find_target(exchange, excluded)
            attempt = await self._attempt(exchange, target, reply, progress)
            if attempt.outcome is AttemptOutcome.ANSWERED:
                return attempt
            if reply.started:
                raise OutcomeUnknown("The answer broke off.", kind=attempt.reason)
            if exchange.stream is not None and attempt.reason != UNREACHABLE:
                raise _final_error(exchange, attempt)
            if exchange.policy.keyed and attempt.reason in OWNER_CHANGES:
                # The next table names another owner; asking costs no server work,
                # so it is not charged to the retry budget.
                progress.reached_endpoint = False
                await self._dispatcher.wait_for_owner_change(exchange, target)
                continue
            tried += (target.server,)
            retry = self._decide_retry(exchange, attempt, tried, budget)
            if retry is None:
                raise _final_error(exchange, attempt)
            progress.reached_endpoint = attempt.outcome is AttemptOutcome.UNKNOWN
            excluded = retry.exclude
            await asyncio.sleep(retry.delay_s)

    async def _find_target(
        self, exchange: Exchange, excluded: tuple[str, ...]
    ) -> Target:
        span = self._tracer.start("owner", exchange.trace)
        server = ""
        try:
            target = await self._dispatcher.acquire(exchange, excluded)
            server = target.server
        finally:
            self._tracer.end(span, server=server)
        return target

    def _budget_of(self, exchange: Exchange) -> RetryBudget:
        budget = self._budgets.get(exchange.account)
        if budget is None:
            budget = RetryBudget(exchange.policy.retry_budget_ratio)
            self._budgets[exchange.account] = budget
        return budget

    def _decide_retry(
        self,
        exchange: Exchange,
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

    async def _attempt(
        self,
        exchange: Exchange,
        target: Target,
        reply: Reply,
        progress: _Progress,
    ) -> Attempt:
        span = self._tracer.start("attempt", exchange.trace)
        context = exchange.trace if span is None else span.context
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        attempt = Attempt(AttemptOutcome.UNKNOWN, INTERRUPTED)
        progress.reached_endpoint = True
        scope = asyncio.timeout(None)
        self._dispatcher.begin(exchange, target, scope)
        try:
            async with scope:
                attempt = await self._endpoints.attempt(
                    exchange,
                    target.server,
                    target.address,
                    target.epoch,
                    context.header(),
                    reply.stream,
                )
        except TimeoutError:
            if not scope.expired():
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
        self, exchange: Exchange | None, reply: Reply, error: RequestError
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
        return reply.fail(error)

    def _count(self, exchange: Exchange, outcome: str) -> None:
        service = exchange.service
        self._metrics.count("requests_total", service=service, outcome=outcome)
        duration_s = asyncio.get_running_loop().time() - exchange.arrived_s
        self._metrics.observe("request_duration_seconds", duration_s, service=service)

    def _change_in_flight(self, step: int) -> None:
        self.in_flight += step
        self._metrics.gauge("requests_in_flight", self.in_flight)

    def _too_late(self) -> NotRun:
        return NotRun(
            "The deadline passed before the request could be sent.",
            "Repeat the request later.",
            retry_after_s=0.5 + self._random.random(),
            status=504,
            kind="deadline-exceeded",
        )

    def _overloaded(self) -> NotRun:
        return NotRun(
            "This host has too many requests in flight.",
            "Repeat the request later.",
            retry_after_s=0.5 + self._random.random(),
            kind="overloaded",
        )


class _Progress:
    """Whether an attempt may have reached an endpoint."""

    __slots__ = ("reached_endpoint",)

    def __init__(self) -> None:
        self.reached_endpoint = False


def _router_fault() -> OutcomeUnknown:
    return OutcomeUnknown(
        "The router failed.",
        "Ask for the outcome with the same idempotency key.",
        status=500,
        kind="router-fault",
    )


def _final_error(exchange: Exchange, attempt: Attempt) -> RequestError:
    if attempt.outcome is AttemptOutcome.NOT_RUN:
        return NotRun(
            f"No server of {exchange.service} took the request.",
            "Repeat the request later.",
            retry_after_s=attempt.retry_after_s or 1.0,
            kind=attempt.reason,
        )
    return OutcomeUnknown(
        "An endpoint had the request and gave no complete answer.",
        "Ask for its outcome with the same idempotency key.",
        kind=attempt.reason,
    )
