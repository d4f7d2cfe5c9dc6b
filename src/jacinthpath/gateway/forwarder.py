"""The way of a request to its route and service."""

from __future__ import annotations

__all__ = ["Forwarder"]

import asyncio

from .exchange import CallerRequest, Response
from .model import Timing
from .owner_lookup import NO_OWNER_RETRY_S
from .request_execution import RequestDependencies, RequestExecution
from .retry_budget import RetryBudget
from .route_index import SmoothWeightedRoundRobin

NO_CONFIGURATION_RETRY_S = 0.5


class Forwarder:
    """Handles callers' requests.

    :param timing: bounds of the deployment.
    """

    def __init__(self, parts: RequestDependencies, timing: Timing) -> None:
        self.in_flight = 0
        self._parts = parts
        self._timing = timing
        self._cycle = SmoothWeightedRoundRobin()
        self._budgets: dict[str, RetryBudget] = {}

    async def handle(self, request: CallerRequest) -> Response:
        """Answer a request; a caller that leaves cancels it."""
        self.in_flight += 1
        try:
            return await self._handle(request)
        except asyncio.CancelledError:
            self._parts.metrics.count("requests_total", outcome="caller-left")
            self._parts.events.failure("caller_left", id=request.request_id)
            raise
        finally:
            self.in_flight -= 1

    async def _handle(self, request: CallerRequest) -> Response:
        parts = self._parts
        routes = parts.view.routes
        if routes is None:
            return parts.refuse(
                request, "", "no-configuration", NO_CONFIGURATION_RETRY_S
            )
        route = routes.find(request.host, request.path)
        if route is None:
            return parts.answer(request, "", "no-route", 404)
        name = self._cycle.choose(route)
        service = routes.table.services.get(name)
        if service is None:
            return parts.refuse(request, name, "unknown-service", NO_OWNER_RETRY_S)
        budget = self._budget(name)
        return await RequestExecution(parts, budget, request, route, service).run()

    def _budget(self, service: str) -> RetryBudget:
        """Return the budget of repeats of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            timing = self._timing
            budget = self._budgets[service] = RetryBudget(
                timing.retry_window_s,
                timing.retry_budget_ratio,
                timing.retry_budget_slack,
            )
        return budget
