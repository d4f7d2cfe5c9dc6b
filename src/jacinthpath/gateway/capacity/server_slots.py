"""What a coordinator knows of one incarnation of a server."""

from __future__ import annotations

__all__ = ["CapacityEstimate", "CreateCapacity", "ServerSlots"]

import math
from collections.abc import Callable
from typing import Protocol

from ..exchange import ServerLoad
from .slot_rates import TokenBucket, TrafficRates
from .slots import ServerCapacity, SlotOutcome, SlotResult

FLOW_MEMORY_S = 1.0
"""A flow wants a server for this long after its latest request there."""

FAULT_MEMORY_S = 2.0
"""A server that rejected a request although a slot was free is taken to have a fault
for this long."""

TRANSIT_SMOOTHING = 0.05
"""Weight of each response in the mean time in transit."""

MAX_TRANSIT_S = 0.5
"""Longer transits count as this one: the host that held the lease was late."""

MAX_SERVICE_S = 600.0
"""Longer durations are ignored."""


class CapacityEstimate(Protocol):
    """Learns how much load one incarnation of a server handles."""

    def record_in_flight(
        self, in_flight: int, oldest_sent_s: float, now_s: float
    ) -> None:
        """Record that the number of requests in flight has changed."""

    def record_completed(
        self, concurrency: int, duration_s: float, now_s: float
    ) -> None:
        """Record a response."""

    def record_rejected(self, now_s: float) -> None:
        """Record that the server had no room."""

    def record_no_response(
        self, concurrency: int, waited_s: float, now_s: float
    ) -> None:
        """Record that the server did not respond in time."""

    def record_load(self, load: ServerLoad, now_s: float) -> None:
        """Record what the server stated."""

    def limit(self, now_s: float) -> int:
        """Return how many requests it may have at once."""

    def expected_s(self, in_flight: int, now_s: float) -> float:
        """Return the expected duration of one more request."""


CreateCapacity = Callable[[int, float], CapacityEstimate]
"""Creates an estimate from the slots and the initial duration of a request."""


class ServerSlots:
    """Limit, expected durations and rate limit of one incarnation of a server.

    The limit and the durations are kept between calls of :meth:`refresh`, so that the
    servers of a group can be compared cheaply.

    A lease is in use before its request reaches the server and after the response has
    begun, for as long as the messages take. So there are more leases than requests at
    the server, and ``limit`` exceeds ``learned_limit`` by those in transit.

    :ivar learned_limit: requests that may be at the server at a time.
    :ivar limit: leases that may be in use at a time.
    :ivar in_use: leases in use.
    :ivar expected_s: expected duration of one more request.
    :ivar idle_s: expected duration at the server without other requests.
    :ivar busy_s: expected duration at the server with as many as it may have.
    :ivar rate_per_s: requests a second that the server is expected to complete.
    """

    def __init__(
        self, capacity: ServerCapacity, estimate: CapacityEstimate, now_s: float
    ) -> None:
        self.capacity = capacity
        self.estimate = estimate
        self.traffic = TrafficRates()
        self.bucket: TokenBucket | None = None
        self.learned_limit = self.limit = 1
        self.in_use = 0
        self.expected_s = self.idle_s = self.busy_s = 0.0
        self.rate_per_s = 0.0
        self._latest_flow = (0, -math.inf)
        self._other_flow_s = -math.inf
        self._faulty_until_s = -math.inf
        self._transit_s = 0.0
        self.set_capacity(capacity, now_s)
        self.refresh(0, now_s)

    def set_capacity(self, capacity: ServerCapacity, now_s: float) -> None:
        """Set what the server takes."""
        self.capacity = capacity
        rate_per_s = capacity.rate_limit_per_s
        if rate_per_s is None:
            self.bucket = None
        elif self.bucket is None:
            self.bucket = TokenBucket(rate_per_s, now_s)
        else:
            self.bucket.set_rate(rate_per_s, now_s)

    def set_in_use(self, in_use: int, oldest_grant_s: float, now_s: float) -> None:
        """Set the number of leases.

        :param oldest_grant_s: when the oldest of them was granted.
        """
        at_server = self._at_server(in_use)
        self.estimate.record_in_flight(at_server, oldest_grant_s, now_s)
        self.refresh(in_use, now_s)

    def refresh(self, in_use: int, now_s: float) -> None:
        """Compute the limit and the expected durations anew."""
        self.in_use = in_use
        limit = self.learned_limit = max(1, self.estimate.limit(now_s))
        self.expected_s = self.estimate.expected_s(self._at_server(in_use), now_s)
        self.idle_s = self.estimate.expected_s(0, now_s)
        self.busy_s = self.estimate.expected_s(limit - 1, now_s)
        self.limit = limit + self._in_transit(limit)
        self.rate_per_s = limit / max(self.busy_s, 0.001)
        if self.bucket is not None:
            self.rate_per_s = min(self.rate_per_s, self.bucket.rate_per_s)

    def has_free_slot(self) -> bool:
        """Return whether the server would run one more request at once."""
        return self._at_server(self.in_use) < self.capacity.slots

    def has_room(self, now_s: float) -> bool:
        """Return whether one more request may be sent."""
        if self.in_use >= self.limit:
            return False
        return self.bucket is None or self.bucket.wait_s(now_s) <= 0

    def record_flow(self, flow: int, now_s: float) -> None:
        """Record that a flow wants the server."""
        if flow != self._latest_flow[0]:
            self._other_flow_s = self._latest_flow[1]
        self._latest_flow = flow, now_s

    def flow_limit(self, flow: int, now_s: float) -> int:
        """Return how many requests of a flow the server may have at once.

        It is half of the limit while other flows want the server.
        """
        latest, latest_s = self._latest_flow
        other_s = self._other_flow_s if latest == flow else latest_s
        if now_s - other_s > FLOW_MEMORY_S:
            return self.limit
        return max(1, self.limit // 2)

    def has_room_for_flow(self, flow: int, in_use: int, now_s: float) -> bool:
        """Return whether a flow may have one more request at the server.

        While other flows want the server, its last place is not for a flow that has
        another one.

        :param in_use: requests that the flow has there.
        """
        limit = self.flow_limit(flow, now_s)
        if limit < self.limit and in_use and self.in_use + 1 >= self.limit:
            return False
        return in_use < limit

    def record_result(
        self, result: SlotResult, concurrency: int, held_s: float, now_s: float
    ) -> None:
        """Record how the use of a slot ended.

        :param concurrency: leases when it was granted, itself included.
        :param held_s: how long the lease was in use.
        """
        concurrency = max(1, self._at_server(concurrency))
        if result.load is not None:
            self.estimate.record_load(result.load, now_s)
        if result.outcome is SlotOutcome.REJECTED and self._had_no_room(
            result.load, concurrency, now_s
        ):
            self.estimate.record_rejected(now_s)
        if not 0 <= result.duration_s <= MAX_SERVICE_S:
            return
        if result.outcome is SlotOutcome.COMPLETED:
            transit_s = min(MAX_TRANSIT_S, max(0.0, held_s - result.duration_s))
            self._transit_s += TRANSIT_SMOOTHING * (transit_s - self._transit_s)
            self.estimate.record_completed(concurrency, result.duration_s, now_s)
        if result.outcome is SlotOutcome.NO_RESPONSE:
            self.estimate.record_no_response(concurrency, result.duration_s, now_s)

    def _had_no_room(
        self, load: ServerLoad | None, concurrency: int, now_s: float
    ) -> bool:
        """Return whether a rejected request found all slots in use.

        A server that rejects requests although slots are free has a fault, and may take
        the same request when it is sent again.
        """
        running = load.running if load is not None else concurrency - 1
        if running < self.capacity.slots:
            self._faulty_until_s = now_s + FAULT_MEMORY_S
        return now_s >= self._faulty_until_s

    def _in_transit(self, at_server: int) -> int:
        """Return how many leases to allow in transit beside the requests at the server.

        They are at most as many as the slots: the leases of a late host may all turn
        into requests at once.
        """
        in_transit = int(at_server * self._transit_s / max(self.busy_s, 0.001))
        return min(self.capacity.slots, in_transit)

    def _at_server(self, leases: int) -> int:
        """Return how many of the leases belong to requests at the server."""
        busy_s = max(self.busy_s, 0.001)
        return round(leases * busy_s / (busy_s + self._transit_s))
