"""Selects the server for an attempt and admits the attempt to it."""

from __future__ import annotations

__all__ = ["Dispatcher", "Target"]

import asyncio
import random
from collections.abc import Callable, Collection
from typing import Any, NamedTuple

from .admission import AdmissionController
from .configuration import Endpoint, ServicePolicy
from .deferral import DeferralPlanner
from .errors import NotRun
from .exchange import Attempt, AttemptOutcome, HttpExchange
from .limits import ConcurrencyLimit
from .metrics import Metrics
from .routing import RoutingState
from .scheduling import DurationEstimator, QueuedRequest, RequestQueue
from .selection import EndpointPool
from .sending_leases import SendingLeases
from .slices import SliceTable

OWNER_RECHECK_S = 0.02
"""Longest wait for a new table after a server refused as not the owner; the server
may receive its grant shortly after the router received the table."""

DEFERRAL_INTERVAL_S = 1.0
EXPECTED_HOSTS = 10
"""Assumed number of hosts that share the servers; sets the bounds and the initial
values of the limits."""

UNREACHABLE = "endpoint-unreachable"
INTERRUPTED = "interrupted"


class Target(NamedTuple):
    """Server that an attempt goes to, with the slot that the attempt holds.

    :param epoch: fencing epoch of the table, 0 for a service without keys.
    :param request_id: identifies the slot; 0 while none is held.
    """

    server: str
    address: str
    epoch: int = 0
    request_id: int = 0


class _KeyedServer:
    """Admission and concurrency limit for one server of a keyed service."""

    def __init__(
        self, policy: ServicePolicy, estimator: DurationEstimator, **options: Any
    ) -> None:
        self.limit = ConcurrencyLimit(
            policy.slots_per_server, EXPECTED_HOSTS, policy.connections_per_server
        )
        self._service = policy.service
        self._estimator = estimator
        self.admission = AdmissionController(
            policy.service, RequestQueue(1), self.adjust, **options
        )
        self.adjust(asyncio.get_running_loop().time())

    def adjust(self, now: float) -> None:
        """Update the queue with measurements of the server."""
        self.admission.queue.adjust(
            int(self.limit.value),
            self._estimator.long_after_s(self._service),
            self.limit.trend.ratio(now),
        )


class _UnkeyedService:
    """Admission and endpoint pool for a service without keys."""

    def __init__(
        self,
        policy: ServicePolicy,
        estimator: DurationEstimator,
        data_centre: str,
        **options: Any,
    ) -> None:
        self.endpoints = policy.endpoints
        self.pool = EndpointPool(
            policy.endpoints,
            data_centre,
            options["randomness"],
            policy.slots_per_server,
            EXPECTED_HOSTS,
            policy.connections_per_server,
        )
        self._service = policy.service
        self._estimator = estimator
        self.admission = AdmissionController(
            policy.service, RequestQueue(1), self.adjust, **options
        )
        self.adjust(asyncio.get_running_loop().time())

    def update(self, endpoints: tuple[Endpoint, ...], now: float) -> None:
        """Apply the endpoints of a new configuration."""
        if endpoints is self.endpoints:
            return
        if endpoints != self.endpoints:
            self.pool.update(endpoints, now)
            self.adjust(now)
        self.endpoints = endpoints

    def adjust(self, now: float) -> None:
        """Update the queue with measurements of the endpoints."""
        self.admission.queue.adjust(
            self.pool.capacity(now),
            self._estimator.long_after_s(self._service),
            self.pool.pressure(now),
        )


class Dispatcher:
    """Selects servers for the attempts of one entry process and admits them.

    :param routing: configuration and tables in force.
    :param data_centre: where this process runs.
    :param leases: tells whether requests may still be routed by a table.

    ``observe_load(service, key_hash, slice_count)``, if set, is called for each
    attempt at a keyed request.
    """

    observe_load: Callable[[str, int, int], None] | None = None

    def __init__(
        self,
        routing: RoutingState,
        data_centre: str,
        leases: SendingLeases,
        metrics: Metrics,
        randomness: random.Random | None = None,
    ) -> None:
        self._routing = routing
        self._leases = leases
        self._data_centre = data_centre
        self._metrics = metrics
        self._random = randomness or random.Random()
        self._estimator = DurationEstimator()
        self._planner = DeferralPlanner(self._random)
        self._deferral_waiters: dict[int, asyncio.Future[None]] = {}
        self._keyed: dict[tuple[str, str], _KeyedServer] = {}
        self._unkeyed: dict[str, _UnkeyedService] = {}
        self._next_id = 0
        self._move_cancellations: dict[
            int, tuple[HttpExchange, Target, asyncio.Timeout]
        ] = {}
        self._deferral_timer: asyncio.TimerHandle | None = None
        routing.add_table_listener(self._cancel_moved)

    def start(self) -> None:
        """Start releasing deferred requests."""
        loop = asyncio.get_running_loop()
        self._deferral_timer = loop.call_later(
            DEFERRAL_INTERVAL_S, self._release_deferred
        )

    def close(self) -> None:
        """Stop releasing deferred requests."""
        if self._deferral_timer is not None:
            self._deferral_timer.cancel()

    async def defer(self, exchange: HttpExchange) -> None:
        """Return when a deferrable request may be sent."""
        loop = asyncio.get_running_loop()
        self._next_id += 1
        request_id = self._next_id
        limit_s = exchange.deadline_s - loop.time()
        released = loop.create_future()
        self._deferral_waiters[request_id] = released
        self._planner.defer(request_id, limit_s, loop.time())
        try:
            await released
        finally:
            self._deferral_waiters.pop(request_id, None)
            self._planner.cancel(request_id)

    async def acquire(
        self, exchange: HttpExchange, excluded: Collection[str]
    ) -> Target:
        """Return a server for the next attempt, with a slot at it.

        :param excluded: servers to avoid if the service is not keyed; one of them is
            chosen only when no other server may take the attempt.
        :raises NotRun: no server can take it before its deadline.
        """
        if exchange.policy.priority != "deferrable":
            self._planner.record_attempts()
        self._next_id += 1
        request = QueuedRequest(
            self._next_id,
            exchange.account,
            exchange.policy.priority,
            self._estimator.expected_s(exchange.service, exchange.shape),
            exchange.deadline_s,
            exchange.policy.account_weight,
        )
        if exchange.policy.keyed:
            table = self._routing.tables.get(exchange.service)
            if self.observe_load is not None and table is not None:
                slice_count = len(table.owners)
                self.observe_load(exchange.service, exchange.key_hash, slice_count)
            return await self._acquire_owner(exchange, request)
        return await self._acquire_any(exchange, request, excluded)

    def record_start(
        self, exchange: HttpExchange, target: Target, timeout: asyncio.Timeout
    ) -> None:
        """Record the start of an attempt.

        :param timeout: expires when the key of an idempotent request moves to
            another server, so that a hung server does not delay it.
        """
        if not exchange.policy.keyed:
            return
        self._keyed[exchange.service, target.server].limit.in_flight += 1
        if exchange.policy.idempotent:
            self._move_cancellations[target.request_id] = (exchange, target, timeout)

    def release(
        self, exchange: HttpExchange, target: Target, attempt: Attempt, latency_s: float
    ) -> None:
        """Record the end of an attempt and free its slot."""
        now = asyncio.get_running_loop().time()
        if attempt.outcome is AttemptOutcome.ANSWERED:
            self._estimator.observe(exchange.service, exchange.shape, latency_s)
        if exchange.policy.keyed:
            self._move_cancellations.pop(target.request_id, None)
            self._release_keyed(exchange, target, attempt, latency_s, now)
            return
        service = self._unkeyed[exchange.service]
        endpoint = Endpoint(target.server, target.address)
        binding = service.admission.queue.waiting > 0
        service.pool.record_end(
            endpoint, latency_s, _pool_outcome(attempt), now, binding
        )
        service.adjust(now)
        service.admission.release(target.request_id)

    async def wait_for_owner_change(
        self, exchange: HttpExchange, target: Target
    ) -> None:
        """Wait until the owner may have changed, or OWNER_RECHECK_S has passed."""
        table = self._routing.tables.get(exchange.service)
        owner = None if table is None else _find_owner(table, exchange)
        if owner is not None and owner[:3] != target[:3]:
            return
        try:
            async with asyncio.timeout(OWNER_RECHECK_S):
                await self._routing.wait_for_change()
        except TimeoutError:
            return

    async def _acquire_owner(
        self, exchange: HttpExchange, request: QueuedRequest
    ) -> Target:
        while True:
            target = await self._await_owner(exchange)
            admission = self._get_keyed_server(exchange, target.server).admission
            await admission.acquire(request)
            table = self._routing.tables[exchange.service]
            if _find_owner(table, exchange) == target and self._leases.allows(table):
                return target._replace(request_id=request.request_id)
            # The key moved or the sending lease ended while the request waited.
            admission.release(request.request_id)

    async def _acquire_any(
        self, exchange: HttpExchange, request: QueuedRequest, excluded: Collection[str]
    ) -> Target:
        service = self._get_unkeyed_service(exchange)
        await service.admission.acquire(request)
        now = asyncio.get_running_loop().time()
        endpoint = (
            service.pool.choose(now, excluded)
            or service.pool.choose(now)
            or self._choose_any_active(exchange.policy)
        )
        if endpoint is None:
            service.admission.release(request.request_id)
            raise NotRun(
                f"No endpoint of {exchange.service} accepts new requests.",
                "Retry the request later.",
                retry_after_s=1.0 + self._random.random(),
                kind="no-endpoint",
            )
        service.pool.record_start(endpoint, now)
        return Target(endpoint.server, endpoint.address, request_id=request.request_id)

    def _choose_any_active(self, policy: ServicePolicy) -> Endpoint | None:
        """Return a random active endpoint, for use when all are at their limit.

        The queue admits short work beside stragglers, so the attempts can exceed
        the sum of the limits by a few; refusing them would be worse.
        """
        active = [e for e in policy.endpoints if e.state == "active"]
        return self._random.choice(active) if active else None

    async def _await_owner(self, exchange: HttpExchange) -> Target:
        while True:
            table = self._routing.tables.get(exchange.service)
            target = None if table is None else _find_owner(table, exchange)
            if target is None:
                await self._routing.wait_for_change()
            elif not self._leases.allows(table):
                await self._leases.wait_for_renewal()
            else:
                return target

    def _get_keyed_server(self, exchange: HttpExchange, server: str) -> _KeyedServer:
        state = self._keyed.get((exchange.service, server))
        if state is None:
            state = _KeyedServer(
                exchange.policy,
                self._estimator,
                metrics=self._metrics,
                randomness=self._random,
            )
            self._keyed[exchange.service, server] = state
        return state

    def _get_unkeyed_service(self, exchange: HttpExchange) -> _UnkeyedService:
        policy = exchange.policy
        state = self._unkeyed.get(exchange.service)
        if state is None:
            state = self._unkeyed[exchange.service] = _UnkeyedService(
                policy,
                self._estimator,
                self._data_centre,
                metrics=self._metrics,
                randomness=self._random,
            )
        state.update(policy.endpoints, asyncio.get_running_loop().time())
        return state

    def _release_keyed(
        self,
        exchange: HttpExchange,
        target: Target,
        attempt: Attempt,
        latency_s: float,
        now: float,
    ) -> None:
        state = self._keyed[exchange.service, target.server]
        pool_outcome = _pool_outcome(attempt)
        if pool_outcome == "cancelled":
            state.limit.in_flight -= 1
        else:
            binding = state.admission.queue.waiting > 0
            state.limit.release(
                now - latency_s, now, pool_outcome == "refused", binding
            )
        state.adjust(now)
        state.admission.release(target.request_id)

    def _cancel_moved(self, table: SliceTable) -> None:
        now = asyncio.get_running_loop().time()
        for exchange, target, timeout in self._move_cancellations.values():
            if exchange.service != table.service:
                continue
            if table.owner_of(exchange.key_hash) != target.server:
                timeout.reschedule(now)

    def _release_deferred(self) -> None:
        loop = asyncio.get_running_loop()
        for release in self._planner.release_times(loop.time()):
            loop.call_at(release.release_at, self._release_request, release.request_id)
        self._metrics.gauge("deferred_requests", len(self._deferral_waiters))
        self._deferral_timer = loop.call_later(
            DEFERRAL_INTERVAL_S, self._release_deferred
        )

    def _release_request(self, request_id: int) -> None:
        released = self._deferral_waiters.get(request_id)
        if released is not None and not released.done():
            released.set_result(None)


def _find_owner(table: SliceTable, exchange: HttpExchange) -> Target | None:
    server = table.owner_of(exchange.key_hash)
    address = table.addresses.get(server)
    return None if address is None else Target(server, address, table.epoch)


def _pool_outcome(attempt: Attempt) -> str:
    """Return the outcome of an attempt in the terms of :class:`EndpointPool`."""
    if attempt.outcome is AttemptOutcome.ANSWERED:
        return "answered"
    if attempt.reason == INTERRUPTED or attempt.reason == "not-owner":
        return "cancelled"
    if attempt.outcome is AttemptOutcome.NOT_RUN and attempt.reason != UNREACHABLE:
        return "refused"
    return "failed"
