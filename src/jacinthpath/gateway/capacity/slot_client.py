"""Asks the coordinators of server groups for slots."""

from __future__ import annotations

__all__ = ["SlotClient", "SlotLease"]

import asyncio
import itertools
from collections.abc import Callable
from typing import NamedTuple

from ...codec import new_frame
from ...errors import FrameError, JacinthpathError, PeerUnavailable
from ...metrics import Metrics
from ...peers import PeerPool
from ..clock import boottime_s
from ..cluster_view import ClusterView
from ..events import EventLog
from .coordinators import Coordinator, ServerGroup
from .slot_messages import read_slot, write_slot_result, write_slot_wanted
from .slot_service import SlotService
from .slots import SlotDecision, SlotId, SlotOutcome, SlotRequest, SlotResult, SlotState

RESPONSE_TIMEOUT_S = 0.25
"""A coordinator responds after ``MAX_REPLY_DELAY_S`` at the latest; the rest is for
frames that wait behind large bodies on slow links."""

MIN_REMAINING_S = 0.02
"""Time that must be left beyond a whole time-out to ask a coordinator again."""

SUSPICION_S = 1.0
"""Time for which a coordinator that did not respond is not asked again."""

UNUSED = SlotResult(SlotOutcome.UNUSED)


class SlotLease(NamedTuple):
    """A slot that this host may use for one request.

    :param coordinator: host that has lent it.
    :param server: server that the request may be sent to.
    """

    coordinator: Coordinator
    slot: SlotId
    server: str


class SlotClient:
    """Asks coordinators for slots, and gives them back.

    :param process_id: identity of this process.
    :param address: address of this host for peers.
    :param local: lends the slots of the groups that this host coordinates.
    :ivar metrics: counts what becomes of requests for slots.
    :ivar events: log of this host.
    """

    def __init__(
        self,
        process_id: str,
        address: str,
        pool: PeerPool,
        view: ClusterView,
        local: SlotService,
        metrics: Metrics,
        events: EventLog,
    ) -> None:
        self._process_id = process_id
        self._address = address
        self._pool = pool
        self._view = view
        self._local = local
        self.metrics = metrics
        self.events = events
        self._numbers = itertools.count(1)
        self._suspected_until_s: dict[str, float] = {}
        self._responded_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def new_slot(self) -> SlotId:
        """Return the identity of a new request for a slot."""
        return SlotId(self._process_id, next(self._numbers))

    def find_coordinator(self, group: ServerGroup) -> Coordinator | None:
        """Return the coordinator of a group that may be asked, if there is one."""
        coordinator = self._view.coordinators.find(group)
        if coordinator is None:
            return None
        suspected_until_s = self._suspected_until_s.get(coordinator.address, 0.0)
        return coordinator if boottime_s() >= suspected_until_s else None

    async def request(
        self,
        coordinator: Coordinator,
        request: SlotRequest,
        fingerprint: int,
        remaining_s: Callable[[], float],
    ) -> SlotDecision | None:
        """Ask for a slot, again and again while the coordinator lets the request wait.

        :param fingerprint: what the request has in common with its repetitions.
        :param remaining_s: returns the time until the request's deadline, which may
            move forward.
        :return: ``None`` if the host does not respond, or no longer lends the slots.
        """
        objective_s = boottime_s() + request.objective_left_s
        decision: SlotDecision | None = None
        try:
            while True:
                decision = await self._ask(coordinator, request, fingerprint)
                if decision is None or decision.state is not SlotState.WAITING:
                    return decision
                request = request._replace(
                    deadline_left_s=remaining_s(),
                    objective_left_s=objective_s - boottime_s(),
                )
        except asyncio.CancelledError:
            # The caller has left: nobody would use a lease that is granted now.
            self._send_result(coordinator, request.slot, UNUSED)
            raise

    def give_back(self, lease: SlotLease, result: SlotResult) -> None:
        """Give a slot back."""
        self._send_result(lease.coordinator, lease.slot, result)

    async def _ask(
        self, coordinator: Coordinator, request: SlotRequest, fingerprint: int
    ) -> SlotDecision | None:
        if coordinator.address == self._address:
            return await self._ask_local(coordinator, request, fingerprint)
        frame = new_frame()
        write_slot_wanted(
            frame.body.init("slotWanted"), coordinator.group, request, fingerprint
        )
        sent_s = boottime_s()
        timeout_s = min(RESPONSE_TIMEOUT_S, max(0.0, request.deadline_left_s))
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._pool.request(coordinator.address, frame)
            decision = read_slot(response.body.slot)
            self._responded_s[coordinator.address] = boottime_s()
            return decision
        except FrameError as error:
            # An earlier build, or a handler that fails.
            return self._give_up(coordinator, request, error)
        except (PeerUnavailable, TimeoutError) as error:
            if self._has_responded_since(coordinator, sent_s) and (
                request.deadline_left_s > RESPONSE_TIMEOUT_S + MIN_REMAINING_S
            ):
                # This response alone is late; the same number gets the same decision.
                return SlotDecision(SlotState.WAITING)
            return self._give_up(coordinator, request, error)

    def _give_up(
        self, coordinator: Coordinator, request: SlotRequest, error: Exception
    ) -> None:
        """Suspect a coordinator that does not respond as it should."""
        self._suspect(coordinator, error)
        self._send_result(coordinator, request.slot, UNUSED)

    async def _ask_local(
        self, coordinator: Coordinator, request: SlotRequest, fingerprint: int
    ) -> SlotDecision | None:
        """Ask this host; an error of its own costs no request."""
        try:
            return await self._local.request(coordinator.group, request, fingerprint)
        except Exception as error:
            self._view.record_error("slot-service", error)
            return None

    def _has_responded_since(self, coordinator: Coordinator, since_s: float) -> bool:
        return self._responded_s.get(coordinator.address, 0.0) > since_s

    def _suspect(self, coordinator: Coordinator, error: Exception) -> None:
        """Do not ask a coordinator for :data:`SUSPICION_S`."""
        self.metrics.count("coordinator_silent_total")
        address = coordinator.address
        self._responded_s.pop(address, None)
        now_s = boottime_s()
        if now_s >= self._suspected_until_s.get(address, 0.0):
            self.events.log_process_event(
                "coordinator_silent",
                coordinator=coordinator.host,
                error=str(error) or "timed out",
            )
        self._suspected_until_s = {
            known: until_s
            for known, until_s in self._suspected_until_s.items()
            if until_s > now_s
        }
        self._suspected_until_s[address] = now_s + SUSPICION_S

    def _send_result(
        self, coordinator: Coordinator, slot: SlotId, result: SlotResult
    ) -> None:
        if coordinator.address == self._address:
            try:
                self._local.give_back(coordinator.group, slot, result)
            except Exception as error:
                self._view.record_error("slot-service", error)
            return
        task = asyncio.ensure_future(self._send(coordinator, slot, result))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(
        self, coordinator: Coordinator, slot: SlotId, result: SlotResult
    ) -> None:
        frame = new_frame()
        content = frame.body.init("slotReturned")
        write_slot_result(content, coordinator.group, slot.number, result)
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                connection = await self._pool.connect(coordinator.address)
            connection.send(frame)
        except (JacinthpathError, TimeoutError):
            # The lease ends by itself at the request's deadline.
            self.metrics.count("slots_not_returned_total")
