"""Finds the server for an exchange and admits the attempt to it."""

from __future__ import annotations

__all__ = ["Dispatcher", "Target"]

import asyncio
import random
from collections.abc import Callable, Collection
from typing import Any, NamedTuple

from .configuration import Endpoint, ServicePolicy
from .deferral import DeferralPlanner
from .errors import NotRun
from .exchange import Attempt, AttemptOutcome, HttpExchange
from .lanes import Lane
from .limits import ConcurrencyLimit
from .metrics import Metrics
from .routing import RoutingState
from .scheduling import LengthEstimator, QueuedRequest, RequestQueue
from .selection import EndpointPool
from .sending_leases import SendingLeases
from .slices import SliceTable

OWNER_RECHECK_S = 0.02
"""Longest wait for a new table after a server refused as not the owner; the server
may learn of its grant a moment after the router learnt of the table."""

DEFERRAL_STEP_S = 1.0
EXPECTED_HOSTS = 10
"""Hosts believed to share the servers until the limits have adapted."""

UNREACHABLE = "endpoint-unreachable"
INTERRUPTED = "interrupted"


class Target(NamedTuple):
    """Server that an attempt goes to, with the slot that the attempt holds.

    :param epoch: fencing epoch of the table, 0 for a service without keys.
    :param request_id: names the slot; 0 before one is held.
    """

    server: str
    address: str
    epoch: int = 0
    request_id: int = 0


class _KeyedServer:
    """Lane and limit of one server of a keyed service."""

    def __init__(
        self, policy: ServicePolicy, estimator: LengthEstimator, **lane: Any
    ) -> None:
        self.limit = ConcurrencyLimit(
            policy.slots_per_server, EXPECTED_HOSTS, policy.connections_per_server
        )
        self._service = policy.service
        self._estimator = estimator
        self.lane = Lane(policy.service, RequestQueue(1), self.adjust, **lane)
        self.adjust(asyncio.get_running_loop().time())

    def adjust(self, now: float) -> None:
        """Set what was learned of the server in the queue."""
        self.lane.queue.adjust(
            int(self.limit.value),
            self._estimator.long_after_s(self._service),
            self.limit.trend.ratio(now),
        )


class _UnkeyedService:
    """Lane and endpoint pool of a service without keys."""

    def __init__(
        self,
        policy: ServicePolicy,
        estimator: LengthEstimator,
        data_centre: str,
        **lane: Any,
    ) -> None:
        self.endpoints = policy.endpoints
        self.pool = EndpointPool(
            policy.endpoints,
            data_centre,
            lane["randomness"],
            policy.slots_per_server,
            EXPECTED_HOSTS,
            policy.connections_per_server,
        )
        self._service = policy.service
        self._estimator = estimator
        self.lane = Lane(policy.service, RequestQueue(1), self.adjust, **lane)
        self.adjust(asyncio.get_running_loop().time())

    def update(self, endpoints: tuple[Endpoint, ...], now: float) -> None:
        """Take the endpoints of a new configuration."""
        if endpoints is self.endpoints:
            return
        if endpoints != self.endpoints:
            self.pool.update(endpoints, now)
            self.adjust(now)
        self.endpoints = endpoints

    def adjust(self, now: float) -> None:
        """Set what was learned of the endpoints in the queue."""
        self.lane.queue.adjust(
            self.pool.capacity(now),
            self._estimator.long_after_s(self._service),
            self.pool.pressure(now),
        )


class Dispatcher:
    """Chooses servers and admits attempts of one entry process.

    :param routing: configuration and tables in force.
    :param data_centre: where this process runs.
    :param leases: whether requests may be sent by a table.

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
        self._estimator = LengthEstimator()
        self._planner = DeferralPlanner(self._random)
        self._deferred: dict[int, asyncio.Future[None]] = {}
        self._keyed: dict[tuple[str, str], _KeyedServer] = {}
        self._unkeyed: dict[str, _UnkeyedService] = {}
        self._next_id = 0
        self._movable: dict[int, tuple[HttpExchange, Target, asyncio.Timeout]] = {}
        self._deferral_timer: asyncio.TimerHandle | None = None
        routing.add_table_listener(self._cancel_moved)

    def start(self) -> None:
        """Begin to release deferred requests."""
        loop = asyncio.get_running_loop()
        self._deferral_timer = loop.call_later(DEFERRAL_STEP_S, self._release_deferred)

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
        future = loop.create_future()
        self._deferred[request_id] = future
        self._planner.defer(request_id, limit_s, loop.time())
        try:
            await future
        finally:
            self._deferred.pop(request_id, None)
            self._planner.cancel(request_id)

    async def acquire(
        self, exchange: HttpExchange, excluded: Collection[str]
    ) -> Target:
        """Return a server for the next attempt, with a slot at it.

        :param excluded: servers that the attempt must not use.
        :raises NotRun: no server can take it before its deadline.
        """
        if exchange.policy.priority != "deferrable":
            self._planner.attempted()
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

    def begin(
        self, exchange: HttpExchange, target: Target, scope: asyncio.Timeout
    ) -> None:
        """Record the start of an attempt.

        :param scope: ended when the key of an idempotent request moves to
            another server, so that a frozen server does not hold it up.
        """
        if not exchange.policy.keyed:
            return
        self._keyed[exchange.service, target.server].limit.in_flight += 1
        if exchange.policy.idempotent:
            self._movable[target.request_id] = (exchange, target, scope)

    def release(
        self, exchange: HttpExchange, target: Target, attempt: Attempt, latency_s: float
    ) -> None:
        """Record the end of an attempt and free its slot."""
        now = asyncio.get_running_loop().time()
        if attempt.outcome is AttemptOutcome.ANSWERED:
            self._estimator.observe(exchange.service, exchange.shape, latency_s)
        if exchange.policy.keyed:
            self._movable.pop(target.request_id, None)
            self._release_keyed(exchange, target, attempt, latency_s, now)
            return
        service = self._unkeyed[exchange.service]
        endpoint = Endpoint(target.server, target.address)
        binding = service.lane.queue.waiting > 0
        service.pool.finished(endpoint, latency_s, _evidence(attempt), now, binding)
        service.adjust(now)
        service.lane.release(target.request_id)

    async def wait_for_owner_change(
        self, exchange: HttpExchange, target: Target
    ) -> None:
        """Wait until the owner is another one, or a short time has passed."""
        table = self._routing.tables.get(exchange.service)
        owner = None if table is None else _owner(table, exchange)
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
            lane = self._keyed_server(exchange, target.server).lane
            await lane.acquire(request)
            table = self._routing.tables[exchange.service]
            if _owner(table, exchange) == target and self._leases.allows(table):
                return target._replace(request_id=request.request_id)
            # The key moved, or the sending lease ended, while it waited.
            lane.release(request.request_id)

    async def _acquire_any(
        self, exchange: HttpExchange, request: QueuedRequest, excluded: Collection[str]
    ) -> Target:
        service = self._unkeyed_service(exchange)
        await service.lane.acquire(request)
        now = asyncio.get_running_loop().time()
        endpoint = (
            service.pool.choose(now, excluded)
            or service.pool.choose(now)
            or self._any_active(exchange.policy)
        )
        if endpoint is None:
            service.lane.release(request.request_id)
            raise NotRun(
                f"No endpoint of {exchange.service} takes new work.",
                "Repeat the request later.",
                retry_after_s=1.0 + self._random.random(),
                kind="no-endpoint",
            )
        service.pool.started(endpoint, now)
        return Target(endpoint.server, endpoint.address, request_id=request.request_id)

    def _any_active(self, policy: ServicePolicy) -> Endpoint | None:
        """Return some active endpoint when all are at their limit.

        The queue admits short work beside stragglers, so the attempts can exceed
        the sum of the limits by a few; refusing them would be worse.
        """
        active = [e for e in policy.endpoints if e.state == "active"]
        return self._random.choice(active) if active else None

    async def _await_owner(self, exchange: HttpExchange) -> Target:
        while True:
            table = self._routing.tables.get(exchange.service)
            target = None if table is None else _owner(table, exchange)
            if target is None:
                await self._routing.wait_for_change()
            elif not self._leases.allows(table):
                await self._leases.wait_for_renewal()
            else:
                return target

    def _keyed_server(self, exchange: HttpExchange, server: str) -> _KeyedServer:
        known = self._keyed.get((exchange.service, server))
        if known is None:
            known = _KeyedServer(
                exchange.policy,
                self._estimator,
                metrics=self._metrics,
                randomness=self._random,
            )
            self._keyed[exchange.service, server] = known
        return known

    def _unkeyed_service(self, exchange: HttpExchange) -> _UnkeyedService:
        policy = exchange.policy
        known = self._unkeyed.get(exchange.service)
        if known is None:
            known = self._unkeyed[exchange.service] = _UnkeyedService(
                policy,
                self._estimator,
                self._data_centre,
                metrics=self._metrics,
                randomness=self._random,
            )
        known.update(policy.endpoints, asyncio.get_running_loop().time())
        return known

    def _release_keyed(
        self,
        exchange: HttpExchange,
        target: Target,
        attempt: Attempt,
        latency_s: float,
        now: float,
    ) -> None:
        known = self._keyed[exchange.service, target.server]
        evidence = _evidence(attempt)
        if evidence == "cancelled":
            known.limit.in_flight -= 1
        else:
            binding = known.lane.queue.waiting > 0
            known.limit.release(now - latency_s, now, evidence == "refused", binding)
        known.adjust(now)
        known.lane.release(target.request_id)

    def _cancel_moved(self, table: SliceTable) -> None:
        now = asyncio.get_running_loop().time()
        for exchange, target, scope in self._movable.values():
            if exchange.service != table.service:
                continue
            if table.owner_of(exchange.key_hash) != target.server:
                scope.reschedule(now)

    def _release_deferred(self) -> None:
        loop = asyncio.get_running_loop()
        for release in self._planner.release_times(loop.time()):
            loop.call_at(release.release_at, self._release_one, release.request_id)
        self._metrics.gauge("deferred_requests", len(self._deferred))
        self._deferral_timer = loop.call_later(DEFERRAL_STEP_S, self._release_deferred)

    def _release_one(self, request_id: int) -> None:
        future = self._deferred.get(request_id)
        if future is not None and not future.done():
            future.set_result(None)


def _owner(table: SliceTable, exchange: HttpExchange) -> Target | None:
    server = table.owner_of(exchange.key_hash)
    address = table.addresses.get(server)
    return None if address is None else Target(server, address, table.epoch)


def _evidence(attempt: Attempt) -> str:
    """Return what an attempt says about its endpoint."""
    if attempt.outcome is AttemptOutcome.ANSWERED:
        return "answered"
    if attempt.reason == INTERRUPTED or attempt.reason == "not-owner":
        return "cancelled"
    if attempt.outcome is AttemptOutcome.NOT_RUN and attempt.reason != UNREACHABLE:
        return "refused"
    return "failed"
