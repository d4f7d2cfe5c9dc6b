"""Forwards a request to the service of its route."""

from __future__ import annotations

__all__ = ["Forwarder"]

import asyncio

from .exchange import CallerRequest, Response
from .model import Timing
from .owner_lookup import NO_OWNER_RETRY_S
from .request_dependencies import RequestDependencies
from .request_execution import RequestExecution
from .retry_budget import RetryBudget
from .route_index import SmoothWeightedRoundRobin

NO_CONFIGURATION_RETRY_S = 0.5


class Forwarder:
    """Handles callers' requests.

    :param timing: provides the bounds of the retry budget.
    """

    def __init__(self, dependencies: RequestDependencies, timing: Timing) -> None:
        self.in_flight = 0
        self._dependencies = dependencies
        self._timing = timing
        self._round_robin = SmoothWeightedRoundRobin(dependencies.random)
        self._retry_budgets: dict[str, RetryBudget] = {}

    async def handle(self, request: CallerRequest) -> Response:
        """Return the response to a request; cancelled if the caller disconnects."""
        self.in_flight += 1
        try:
            return await self._handle(request)
        except asyncio.CancelledError:
            self._dependencies.metrics.count("requests_total", outcome="caller-left")
            self._dependencies.events.log_failure("caller_left", id=request.request_id)
            raise
        finally:
            self.in_flight -= 1

    async def _handle(self, request: CallerRequest) -> Response:
        dependencies = self._dependencies
        routes = dependencies.view.routes
        if routes is None:
            return dependencies.respond_unavailable(
                request, "", "no-configuration", NO_CONFIGURATION_RETRY_S
            )
        route = routes.find(request.host, request.path)
        if route is None:
            return dependencies.respond_locally(request, "", "no-route", 404)
        service_name = self._round_robin.choose(route)
        service = routes.table.services.get(service_name)
        if service is None:
            return dependencies.respond_unavailable(
                request, service_name, "unknown-service", NO_OWNER_RETRY_S
            )
        retry_budget = self._retry_budget(service_name)
        return await RequestExecution(
            dependencies, retry_budget, request, route, service
        ).run()

    def _retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        retry_budget = self._retry_budgets.get(service)
        if retry_budget is None:
            timing = self._timing
            retry_budget = self._retry_budgets[service] = RetryBudget(
                timing.retry_window_s,
                timing.retry_budget_ratio,
                timing.retry_budget_slack,
            )
        return retry_budget
