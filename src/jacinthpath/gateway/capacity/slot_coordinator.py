"""Decides which request of any host gets a slot of the servers of one group.

A request starts at once if a server has room, waits if one will have room in time, and
is refused otherwise. docs/design/slot-queue.md describes the rules.
"""

from __future__ import annotations

__all__ = ["SlotCoordinator"]

from collections.abc import Iterable
from random import Random

from .flow_use import FlowUse
from .server_selection import ServerSelection
from .server_slots import CreateCapacity, ServerSlots
from .slot_chooser import SlotChooser
from .slot_ledger import Lease, SlotLedger
from .slot_queue import SlotClass, SlotQueue, WaitingRequest
from .slot_rates import TrafficRates
from .slot_returns import MIN_RETRY_S, ReturnTimes
from .slot_waits import ExpectedWait, WaitEstimator
from .slots import (
    ServerCapacity,
    SlotDecision,
    SlotId,
    SlotOutcome,
    SlotRequest,
    SlotResult,
    SlotState,
)

MAX_WAITING = 1_000
MAX_WAITING_OF_FLOW = 250
MAX_LEASES = 20_000
"""Requests that wait, those of one flow among them, and leases in use."""

MAX_REMEMBERED = 10_000
"""Requests that are over, whose repetition gets the same decision."""

MAX_LEASE_S = 600.0
"""A lease expires after this time even if the request's deadline is later."""

MAX_PRIORITY = 99
"""Less urgent priorities are taken for this one."""

REFRESH_INTERVAL_S = 0.1
"""The limits of all servers are read this often, since they change with time also where
no request begins or ends."""

REVIEW_INTERVAL_S = 0.02
"""The waits of waiting requests are estimated this often, which bounds how late a
refusal is."""

WAIT_TOLERANCE = 0.25
"""A waiting request is refused if more than this part of its expected wait lies beyond
its latest start. Otherwise estimates that vary could refuse a request that was just
allowed to wait."""

DEADLINE_TOLERANCE_S = 0.05
"""A deadline that comes by message varies by rounding, and by less than this."""

IDLE_ADVANCE_S = 1.0
"""Time until the next call of :meth:`SlotCoordinator.advance` if nothing is due."""

NO_SERVER_RETRY_S = 0.5

INITIAL_SERVICE_S = 0.2
SERVICE_WEIGHT = 0.05
"""Mean duration of the group's requests before the first response, and the weight of
each response in it."""

NO_SERVER = "no-server"
NO_ROOM_IN_TIME = "no-room-in-time"
FULL = "full"
ENDED_DECISION = SlotDecision(SlotState.REFUSED, "", MIN_RETRY_S, "ended")
"""Decision on the repetition of a request whose lease or wait has ended."""


class SlotCoordinator:
    """Shares the slots of one server group among the requests of all hosts.

    Call :meth:`advance` after each other call, and at the latest when
    :meth:`next_change_s` says so. Times are seconds on the boot clock.

    :param create_capacity: creates the estimate for a new incarnation of a server.
    :param random: breaks ties between servers.
    :param initial_service_s: expected duration of a request before the first response.
    """

    def __init__(
        self,
        create_capacity: CreateCapacity,
        random: Random,
        initial_service_s: float = INITIAL_SERVICE_S,
    ) -> None:
        self._create_capacity = create_capacity
        self._service_s = initial_service_s
        self._servers: dict[str, ServerSlots] = {}
        self._rate_limited: list[ServerSlots] = []
        self._ledger = SlotLedger()
        self._selection = ServerSelection(self._servers, self._ledger, random)
        self._flow_use = FlowUse(self._ledger)
        self._queue = SlotQueue(self._flow_use.count)
        self._traffic = TrafficRates()
        self._waits = WaitEstimator(
            self._servers, self._ledger, self._queue, self._traffic
        )
        self._chooser = SlotChooser(
            self._queue, self._waits, self._flow_use, self._selection.may_start
        )
        self._returns = ReturnTimes()
        self._over: dict[SlotId, SlotDecision] = {}
        self._changes: list[tuple[SlotId, SlotDecision]] = []
        self._arrivals = 0
        self._next_refresh_s = self._next_review_s = float("-inf")

    def set_servers(self, servers: Iterable[ServerCapacity], now_s: float) -> None:
        """Set the servers of the group. What is known of those that stay is kept."""
        capacities = {one.server: one for one in servers}
        changed = [
            one
            for one in capacities.values()
            if one.server not in self._servers
            or self._servers[one.server].capacity != one
        ]
        gone = [name for name in self._servers if name not in capacities]
        if not changed and not gone:
            return
        for name in gone:
            self._forget_leases(name)
            del self._servers[name]
        for capacity in changed:
            self._set_server(capacity, now_s)
        servers = self._servers.values()
        self._rate_limited = [one for one in servers if one.bucket is not None]
        self._waits.refresh()
        if gone:
            self._refuse_without_server(now_s)
        self._serve_all([self._servers[one.server] for one in changed], now_s)

    def request(self, request: SlotRequest, now_s: float) -> SlotDecision:
        """Decide on a request, or return the present decision on the same one."""
        self._advance_to(now_s)
        known = self._find_decision(request)
        if known is not None:
            self._shorten_wait(request, now_s)
            return known
        if not self._selection.has_server(request):
            return self._refuse(request.slot, NO_SERVER, NO_SERVER_RETRY_S)
        if not request.deadline_left_s > 0:
            return self._refuse(request.slot, NO_ROOM_IN_TIME, MIN_RETRY_S)
        if request.server:
            self._servers[request.server].record_flow(request.flow, now_s)
        waiting = self._classify(request, now_s)
        server = self._find_room(request, now_s)
        if server is not None:
            self._record_return(waiting)
            return self._grant(waiting, server, now_s)
        return self._wait_or_refuse(waiting, now_s)

    def give_back(self, slot: SlotId, result: SlotResult, now_s: float) -> None:
        """End a lease or a wait. One that has ended is left as it is."""
        waiting = self._queue.remove(slot)
        if waiting is not None:
            self._remember(slot, ENDED_DECISION)
            return
        lease = self._ledger.end(slot)
        if lease is None:
            return
        self._remember(slot, ENDED_DECISION)
        server = self._servers[lease.server]
        held_s = now_s - lease.granted_s
        server.record_result(result, lease.concurrency, held_s, now_s)
        self._record_service(result)
        self._free(lease, now_s)

    def advance(self, now_s: float) -> list[tuple[SlotId, SlotDecision]]:
        """Return what has changed for requests that waited."""
        self._advance_to(now_s)
        if now_s >= self._next_review_s:
            self._next_review_s = now_s + REVIEW_INTERVAL_S
            self._review(now_s)
        changes, self._changes = self._changes, []
        return [(slot, self._present(slot, decision)) for slot, decision in changes]

    def next_change_s(self, now_s: float) -> float:
        """Return when to call :meth:`advance` again at the latest."""
        if self._changes:
            return now_s
        next_s = min(now_s + IDLE_ADVANCE_S, self._ledger.next_expiry_s())
        if len(self._queue):
            next_s = min(next_s, self._next_review_s)
            next_s = min(next_s, self._next_token_s(now_s))
        return max(now_s, next_s)

    def learned_limits(self) -> dict[str, int]:
        """Return the learned concurrency limit of each server, without transit."""
        return {name: one.learned_limit for name, one in self._servers.items()}

    def limits(self) -> dict[str, int]:
        """Return how many leases each server may have, those in transit included."""
        return {name: one.limit for name, one in self._servers.items()}

    def in_use(self) -> dict[str, int]:
        """Return how many leases there are at each server."""
        return {name: one.in_use for name, one in self._servers.items()}

    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._queue)

    # Servers

    def _set_server(self, capacity: ServerCapacity, now_s: float) -> None:
        known = self._servers.get(capacity.server)
        if known is None or known.capacity.started_ms != capacity.started_ms:
            self._forget_leases(capacity.server)
            known = None
        if known is None or known.capacity.slots != capacity.slots:
            estimate = self._create_capacity(capacity.slots, self._service_s)
        else:
            estimate = known.estimate
        if known is None:
            self._servers[capacity.server] = ServerSlots(capacity, estimate, now_s)
            return
        known.estimate = estimate
        known.set_capacity(capacity, now_s)
        known.refresh(known.in_use, now_s)

    def _forget_leases(self, name: str) -> None:
        for lease in self._ledger.forget_server(name):
            self._remember(lease.slot, ENDED_DECISION)

    def _find_room(self, request: SlotRequest, now_s: float) -> ServerSlots | None:
        """Return the server at which a new request starts at once, if there is one."""
        if len(self._ledger) >= MAX_LEASES:
            return None
        return self._selection.choose(request, now_s)

    # Decisions

    def _find_decision(self, request: SlotRequest) -> SlotDecision | None:
        lease = self._ledger.find(request.slot)
        if lease is not None:
            return SlotDecision(SlotState.GRANTED, lease.server)
        if self._queue.find(request.slot) is not None:
            return SlotDecision(SlotState.WAITING)
        known = self._over.get(request.slot)
        if known is not None and known.reason == FULL and request.may_wait:
            return None
        return known

    def _shorten_wait(self, request: SlotRequest, now_s: float) -> None:
        """Apply a deadline that has moved forward, as on a host that is to stop.

        The next review refuses the request if it can't be served in time any more.
        """
        waiting = self._queue.find(request.slot)
        deadline_s = now_s + request.deadline_left_s
        if waiting is None or deadline_s > waiting.deadline_s - DEADLINE_TOLERANCE_S:
            return
        service_s = self._waits.expected_service_s(request.server)
        latest_start_s = min(waiting.latest_start_s, deadline_s - service_s)
        self._queue.set_deadline(waiting, deadline_s, latest_start_s)

    def _present(self, slot: SlotId, decision: SlotDecision) -> SlotDecision:
        """Return the decision that holds now: a granted lease may have ended."""
        if decision.state is SlotState.GRANTED and self._ledger.find(slot) is None:
            return self._over.get(slot, ENDED_DECISION)
        return decision

    def _classify(self, request: SlotRequest, now_s: float) -> WaitingRequest:
        least_s = self._waits.least_service_s(request.server)
        service_s = self._waits.expected_service_s(request.server)
        is_late = request.objective_left_s < least_s
        by_deadline = is_late or request.returning
        left_s = request.deadline_left_s
        if not by_deadline:
            left_s = min(left_s, request.objective_left_s)
        priority = min(max(request.priority, 0), MAX_PRIORITY)
        self._arrivals += 1
        return WaitingRequest(
            request,
            SlotClass(priority, is_late, not request.returning),
            self._arrivals,
            now_s + request.objective_left_s,
            now_s + min(MAX_LEASE_S, request.deadline_left_s),
            now_s + left_s - service_s,
        )

    def _grant(
        self, waiting: WaitingRequest, server: ServerSlots, now_s: float
    ) -> SlotDecision:
        request, name = waiting.request, server.capacity.server
        expected_s = server.expected_s
        self._ledger.add(
            Lease(
                request.slot,
                name,
                request.server,
                request.flow,
                server.in_use + 1,
                now_s,
                now_s + expected_s,
                waiting.deadline_s,
            )
        )
        if server.bucket is not None:
            server.bucket.take(now_s)
        self._set_in_use(server, server.in_use + 1, now_s)
        self._over.pop(request.slot, None)
        traffic = self._waits.traffic(request.server)
        traffic.record_grant(waiting.slot_class, now_s)
        self._flow_use.record_grant(request.server, request.flow)
        return SlotDecision(SlotState.GRANTED, name)

    def _wait_or_refuse(self, waiting: WaitingRequest, now_s: float) -> SlotDecision:
        request = waiting.request
        wait = self._waits.of_new(waiting, now_s)
        if not request.may_wait:
            return self._refuse(request.slot, FULL, max(wait.wait_s, MIN_RETRY_S))
        self._record_return(waiting)
        is_in_time = now_s + wait.wait_s <= waiting.latest_start_s
        if not (is_in_time and self._make_place(waiting, now_s)):
            return self._refuse_for_room(waiting, wait, now_s)
        self._over.pop(request.slot, None)
        self._queue.add(waiting)
        return SlotDecision(SlotState.WAITING)

    def _make_place(self, waiting: WaitingRequest, now_s: float) -> bool:
        """Return whether one more may wait.

        If the queue is full, a less urgent request is refused for it.
        """
        request = waiting.request
        of_flow = self._queue.count_flow(request.server, request.flow)
        if of_flow >= self._max_waiting_of_flow(request, now_s):
            return False
        if len(self._queue) < MAX_WAITING:
            return True
        last = self._queue.last()
        if last is None or last.slot_class <= waiting.slot_class:
            return False
        self._displace(last, now_s)
        return True

    def _max_waiting_of_flow(self, request: SlotRequest, now_s: float) -> int:
        if not request.server:
            return MAX_WAITING_OF_FLOW
        server = self._servers[request.server]
        limit = server.flow_limit(request.flow, now_s)
        return limit if limit < server.limit else MAX_WAITING_OF_FLOW

    def _displace(self, waiting: WaitingRequest, now_s: float) -> None:
        """Refuse a waiting request, and report the refusal by :meth:`advance`."""
        self._queue.remove(waiting.request.slot)
        wait = self._waits.of_new(waiting, now_s)
        decision = self._refuse_for_room(waiting, wait, now_s)
        self._changes.append((waiting.request.slot, decision))

    def _refuse_for_room(
        self, waiting: WaitingRequest, wait: ExpectedWait, now_s: float
    ) -> SlotDecision:
        request, slot_class = waiting.request, waiting.slot_class
        self._waits.traffic(request.server).record_refusal(slot_class, now_s)
        self._flow_use.record_refusal(request.server, request.flow)
        queue = request.server, slot_class.priority
        if wait.is_of_flow:
            queue = *queue, request.flow
        retry_s = self._returns.plan_s(queue, wait.wait_s, wait.rate_per_s, now_s)
        decision = SlotDecision(
            SlotState.REFUSED,
            "",
            retry_s,
            NO_ROOM_IN_TIME,
            wait.wait_s,
            waiting.latest_start_s - now_s,
        )
        self._remember(request.slot, decision)
        return decision

    def _record_return(self, waiting: WaitingRequest) -> None:
        request = waiting.request
        if request.returning:
            queue = request.server, waiting.slot_class.priority
            self._returns.record_return(queue)
            self._returns.record_return((*queue, request.flow))

    def _refuse_without_server(self, now_s: float) -> None:
        for scope in self._queue.scopes():
            for waiting in list(self._queue.ordered(scope)):
                if self._selection.has_server(waiting.request):
                    continue
                slot = waiting.request.slot
                self._queue.remove(slot)
                decision = self._refuse(slot, NO_SERVER, NO_SERVER_RETRY_S)
                self._changes.append((slot, decision))

    def _refuse(self, slot: SlotId, reason: str, retry_s: float) -> SlotDecision:
        decision = SlotDecision(SlotState.REFUSED, "", retry_s, reason)
        self._remember(slot, decision)
        return decision

    def _remember(self, slot: SlotId, decision: SlotDecision) -> None:
        self._over[slot] = decision
        if len(self._over) > MAX_REMEMBERED:
            del self._over[next(iter(self._over))]

    # Time and free slots

    def _advance_to(self, now_s: float) -> None:
        for lease in self._ledger.expire(now_s):
            self._remember(lease.slot, ENDED_DECISION)
            self._free(lease, now_s)
        if now_s >= self._next_refresh_s:
            self._next_refresh_s = now_s + REFRESH_INTERVAL_S
            for server in self._servers.values():
                server.refresh(server.in_use, now_s)
            self._waits.refresh()
            self._flow_use.advance(now_s)
            self._serve_all(self._servers.values(), now_s)
        self._serve_all(self._rate_limited, now_s)

    def _serve_all(self, servers: Iterable[ServerSlots], now_s: float) -> None:
        if len(self._queue):
            for server in servers:
                self._serve(server, now_s)

    def _next_token_s(self, now_s: float) -> float:
        """Return when the next rate-limited server with a free place has a token."""
        waits_s = (
            server.bucket.wait_s(now_s)
            for server in self._rate_limited
            if server.in_use < server.limit
        )
        return now_s + min((one for one in waits_s if one > 0), default=IDLE_ADVANCE_S)

    def _record_service(self, result: SlotResult) -> None:
        if result.outcome is SlotOutcome.COMPLETED and 0 < result.duration_s < 600:
            self._service_s += SERVICE_WEIGHT * (result.duration_s - self._service_s)

    def _free(self, lease: Lease, now_s: float) -> None:
        server = self._servers[lease.server]
        self._set_in_use(server, server.in_use - 1, now_s)
        self._serve(server, now_s)

    def _set_in_use(self, server: ServerSlots, in_use: int, now_s: float) -> None:
        oldest_grant_s = self._ledger.oldest_grant_s(server.capacity.server)
        server.set_in_use(in_use, oldest_grant_s, now_s)

    def _serve(self, server: ServerSlots, now_s: float) -> None:
        """Grant the free places of a server to requests that wait."""
        if not (self._queue.has_any("") or self._queue.has_any(server.capacity.server)):
            return
        while server.has_room(now_s) and len(self._ledger) < MAX_LEASES:
            waiting = self._chooser.next_for(server, now_s)
            if waiting is None:
                return
            if now_s > waiting.latest_start_s:
                self._displace(waiting, now_s)
                continue
            self._queue.remove(waiting.request.slot)
            decision = self._grant(waiting, server, now_s)
            self._changes.append((waiting.request.slot, decision))

    def _review(self, now_s: float) -> None:
        """Refuse the requests that can no longer be served in time."""
        for scope in self._queue.scopes():
            least_s = self._waits.least_service_s(scope)
            for waiting, wait_s in self._waits.of_waiting(scope, now_s):
                left_s = waiting.latest_start_s - now_s
                if left_s < 0 or wait_s * (1 - WAIT_TOLERANCE) > left_s:
                    self._displace(waiting, now_s)
                elif waiting.objective_s - now_s < least_s:
                    self._move_behind(waiting)

    def _move_behind(self, waiting: WaitingRequest) -> None:
        """Order a request behind those that can still meet their objective."""
        if not waiting.slot_class.is_late:
            self._queue.remove(waiting.request.slot)
            late = waiting.slot_class._replace(is_late=True)
            self._queue.add(waiting._replace(slot_class=late))
