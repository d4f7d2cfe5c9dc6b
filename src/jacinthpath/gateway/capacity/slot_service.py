"""Lends the slots of the server groups that this host coordinates."""

from __future__ import annotations

__all__ = ["SlotService"]

import asyncio
import math
from collections.abc import Iterator
from random import Random
from typing import Any

from ...codec import new_frame
from ...metrics import Metrics
from ..clock import boottime_s
from ..cluster_view import ClusterView
from ..events import EventLog
from .coordinators import ServerGroup
from .learned_capacity import LearnedCapacity
from .refused_requests import RefusedRequests
from .slot_coordinator import SlotCoordinator
from .slot_messages import (
    read_slot_result,
    read_slot_wanted,
    write_not_coordinating,
    write_slot,
)
from .slots import (
    ServerCapacity,
    SlotDecision,
    SlotId,
    SlotRequest,
    SlotResult,
    SlotState,
)

MAX_REPLY_DELAY_S = 0.06
"""A request that waits for longer gets the response that it waits, and its host asks
again. So a host notices soon that its coordinator has ended."""

SYNC_INTERVAL_S = 0.1
"""The servers of a group are read again after this time at the latest: rate limits
change without a new version of the directory."""


class _LentGroup:
    """A group whose slots are lent here.

    :ivar waiters: futures of the requests that wait for a slot; their result is
        ``None`` once another host lends the slots.
    :ivar limits: concurrency limits that were last logged, by server.
    """

    def __init__(self, coordinator: SlotCoordinator) -> None:
        self.coordinator = coordinator
        self.refused = RefusedRequests()
        self.waiters: dict[SlotId, asyncio.Future[SlotDecision | None]] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.limits: dict[str, int] = {}
        self.synced_version = -1
        self.synced_s = float("-inf")


class SlotService:
    """Lends the slots of server groups to the hosts that ask for them.

    :param address: address of this host for peers.
    """

    def __init__(
        self,
        address: str,
        view: ClusterView,
        metrics: Metrics,
        events: EventLog,
        random: Random,
    ) -> None:
        self._address = address
        self._view = view
        self._metrics = metrics
        self._events = events
        self._random = random
        self._groups: dict[ServerGroup, _LentGroup] = {}

    async def request(
        self, group: ServerGroup, request: SlotRequest, fingerprint: int
    ) -> SlotDecision | None:
        """Return the decision on a request, after a short wait if it has to wait.

        :return: ``None`` if this host does not lend the slots of the group.
        """
        lent = self._find(group)
        if lent is None:
            return None
        now_s = boottime_s()
        self._sync_servers(group, lent, now_s)
        if not self._knows_servers(group, request):
            return None
        if not request.returning:
            returning = lent.refused.is_returning(fingerprint, now_s)
            request = request._replace(returning=returning)
        decision = lent.coordinator.request(request, now_s)
        if decision.state is SlotState.WAITING:
            # The future must exist before the advance that may decide on the request.
            future = self._expect_decision(lent, request.slot)
            self._advance(group, lent)
            decision = await self._wait(lent, request.slot, future)
            if decision is None:
                return None
        else:
            self._advance(group, lent)
        self._record(lent, request, decision, fingerprint)
        return decision

    def has_waiting(self) -> bool:
        """Return whether requests wait for slots that this host lends."""
        return any(lent.coordinator.waiting() for lent in self._groups.values())

    def give_back(self, group: ServerGroup, slot: SlotId, result: SlotResult) -> None:
        """End a lease, or the wait for one."""
        lent = self._groups.get(group)
        if lent is None:
            return
        lent.coordinator.give_back(slot, result, boottime_s())
        self._advance(group, lent)

    async def handle_slot_wanted(self, connection: Any, frame: Any) -> Any:
        """Respond to a host that wants a slot."""
        group, request, fingerprint = read_slot_wanted(
            frame.body.slotWanted, connection.remote.process_id
        )
        decision = await self.request(group, request, fingerprint)
        response = new_frame()
        content = response.body.init("slot")
        if decision is None:
            write_not_coordinating(content)
        else:
            write_slot(content, decision)
        return response

    async def handle_slot_returned(self, connection: Any, frame: Any) -> None:
        """End the lease of a host."""
        self.give_back(
            *read_slot_result(frame.body.slotReturned, connection.remote.process_id)
        )

    def _knows_servers(self, group: ServerGroup, request: SlotRequest) -> bool:
        """Return whether this host knows the servers that the other one does.

        A host that has just started may know less, and must not refuse for that.
        """
        directory = self._view.directory
        if self._view.routes is None:
            return False
        if request.server:
            return directory.find(request.server) is not None
        backends = directory.servers_of(group.service)
        return any(one.data_centre == group.data_centre for one in backends)

    def _find(self, group: ServerGroup) -> _LentGroup | None:
        """Return a group that this host coordinates, ``None`` if it does not."""
        coordinator = self._view.coordinators.find(group)
        if coordinator is None or coordinator.address != self._address:
            self._stop_lending(group)
            return None
        lent = self._groups.get(group)
        if lent is None:
            lent = self._groups[group] = _LentGroup(
                SlotCoordinator(self._create_capacity, self._random)
            )
        return lent

    def _create_capacity(self, slots: int, initial_service_s: float) -> LearnedCapacity:
        phase = self._random.random()
        return LearnedCapacity(slots, initial_service_s, phase)

    def _stop_lending(self, group: ServerGroup) -> None:
        """Forget a group that another host coordinates now."""
        lent = self._groups.pop(group, None)
        if lent is None:
            return
        if lent.timer is not None:
            lent.timer.cancel()
        for future in lent.waiters.values():
            if not future.done():
                future.set_result(None)

    def _sync_servers(self, group: ServerGroup, lent: _LentGroup, now_s: float) -> None:
        version = self._view.directory.version
        if version == lent.synced_version and now_s - lent.synced_s < SYNC_INTERVAL_S:
            return
        lent.synced_version, lent.synced_s = version, now_s
        lent.coordinator.set_servers(self._capacities(group, now_s), now_s)
        self._publish(group, lent)

    def _publish(self, group: ServerGroup, lent: _LentGroup) -> None:
        """Publish the slots in use, and log the limits that have changed."""
        labels = group._asdict()
        in_use = sum(lent.coordinator.in_use().values())
        self._metrics.gauge("slots_in_use", in_use, **labels)
        self._metrics.gauge("slots_waited_for", lent.coordinator.waiting(), **labels)
        limits = lent.coordinator.learned_limits()
        for server in limits.keys() & lent.limits.keys():
            if limits[server] != lent.limits[server]:
                self._events.log_state_change(
                    "concurrency_limit_changed",
                    service=group.service,
                    server=server,
                    limit=limits[server],
                    previous=lent.limits[server],
                )
        lent.limits = limits

    def _capacities(self, group: ServerGroup, now_s: float) -> Iterator[ServerCapacity]:
        """Yield what the servers of a group take.

        A server that drains or is evacuated runs the requests for its keys until they
        have moved.
        """
        routes = self._view.routes
        service = routes.table.services.get(group.service) if routes else None
        if service is None:
            return
        for backend in self._view.directory.servers_of(group.service):
            if backend.data_centre != group.data_centre:
                continue
            is_closing = backend.draining or group.data_centre in self._view.evacuated
            if is_closing and not service.keyed:
                continue
            yield ServerCapacity(
                backend.server,
                backend.started_ms,
                backend.slots,
                self._view.cold_rate_per_s(backend, now_s) or None,
            )

    def _expect_decision(
        self, lent: _LentGroup, slot: SlotId
    ) -> asyncio.Future[SlotDecision | None]:
        """Return the future of the decision on a request that waits."""
        future = lent.waiters.get(slot)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            lent.waiters[slot] = future
        return future

    async def _wait(
        self,
        lent: _LentGroup,
        slot: SlotId,
        future: asyncio.Future[SlotDecision | None],
    ) -> SlotDecision | None:
        """Wait for a decision for at most :data:`MAX_REPLY_DELAY_S`."""
        try:
            async with asyncio.timeout(MAX_REPLY_DELAY_S):
                return await asyncio.shield(future)
        except TimeoutError:
            return SlotDecision(SlotState.WAITING)
        finally:
            if lent.waiters.get(slot) is future:
                del lent.waiters[slot]

    def _advance_by_timer(self, group: ServerGroup) -> None:
        lent = self._find(group)
        if lent is not None:
            self._advance(group, lent)

    def _advance(self, group: ServerGroup, lent: _LentGroup) -> None:
        """Deliver the decisions that are due, and plan for the next one."""
        now_s = boottime_s()
        for slot, decision in lent.coordinator.advance(now_s):
            future = lent.waiters.pop(slot, None)
            if future is not None and not future.done():
                future.set_result(decision)
        if lent.timer is not None:
            lent.timer.cancel()
            lent.timer = None
        next_s = lent.coordinator.next_change_s(now_s)
        if next_s < math.inf:
            loop = asyncio.get_running_loop()
            delay_s = max(0.001, next_s - now_s)
            lent.timer = loop.call_later(delay_s, self._advance_by_timer, group)

    def _record(
        self,
        lent: _LentGroup,
        request: SlotRequest,
        decision: SlotDecision,
        fingerprint: int,
    ) -> None:
        """Count a decision, and remember a refusal that its caller is told of."""
        self._metrics.count("slot_decisions_total", state=decision.state.value)
        if decision.state is SlotState.GRANTED:
            lent.refused.forget(fingerprint)
        if decision.state is not SlotState.REFUSED or not request.may_wait:
            return
        lent.refused.record(
            fingerprint, decision.retry_s, request.deadline_left_s, boottime_s()
        )
