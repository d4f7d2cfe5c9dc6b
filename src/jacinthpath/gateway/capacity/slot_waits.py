"""Expected waits of requests for slots."""

from __future__ import annotations

__all__ = ["ExpectedWait", "WaitEstimator"]

from collections.abc import Hashable, Iterator, Mapping
from typing import NamedTuple

from .server_slots import ServerSlots
from .slot_ledger import SlotLedger
from .slot_queue import SlotClass, SlotQueue, WaitingRequest
from .slot_rates import TrafficRates

OVERDUE_SHARE = 0.25
"""A request that has taken longer than expected is taken to end after this part of the
expected duration."""

DEVIATIONS = 1.0
"""A request is allowed to wait only if there is room for it also when more urgent ones
come this many standard deviations more often. Lower values admit requests that are
refused after a wait; higher ones refuse work that could have been served."""

RATES_INTERVAL_S = 0.005
"""Computed rates are used again for this long."""

MIN_RATE_PER_S = 0.1


class ExpectedWait(NamedTuple):
    """When a request can start.

    :param rate_per_s: requests like it that can start a second after it.
    :param is_of_flow: whether it waits for requests of its own flow only.
    """

    wait_s: float
    rate_per_s: float
    is_of_flow: bool = False


class _Room(NamedTuple):
    """When a scope has room.

    :param first_s: time until the next request can start.
    :param rate_per_s: requests that can start a second after that.
    """

    first_s: float
    rate_per_s: float


class _Ahead(NamedTuple):
    """Requests that go before another one.

    :param more_urgent: those of more urgent classes.
    :param same_priority: those of them that have the same priority.
    :param before: those of the same class.
    """

    more_urgent: int
    same_priority: int
    before: int

    def of_next_class(self, current: SlotClass | None, following: SlotClass) -> _Ahead:
        """Return what goes before the first request of the next class."""
        is_same = current is not None and current.priority == following.priority
        same_priority = self.same_priority + self.before if is_same else 0
        return _Ahead(self.more_urgent + self.before, same_priority, 0)


class _ClassRates(NamedTuple):
    """How many requests of a class can start a second.

    :param left_per_s: after those of more urgent classes.
    :param owed_per_s: guaranteed by the share of the priority, whatever more urgent
        classes want; 0 if nothing is owed.
    """

    left_per_s: float
    owed_per_s: float


def _wait_s(room: _Room, ahead: _Ahead, rates: _ClassRates) -> float:
    rate_per_s = max(room.rate_per_s, MIN_RATE_PER_S)
    wait_s = ahead.more_urgent / rate_per_s + ahead.before / rates.left_per_s
    if rates.owed_per_s:
        own = ahead.same_priority + ahead.before + 1
        wait_s = min(wait_s, own / rates.owed_per_s)
    return room.first_s + wait_s


class WaitEstimator:
    """Estimates waits from the requests in flight and those that go before.

    :param servers: servers of the group by name.
    :param traffic: rates of the requests that any server will do for.
    """

    def __init__(
        self,
        servers: Mapping[str, ServerSlots],
        ledger: SlotLedger,
        queue: SlotQueue,
        traffic: TrafficRates,
    ) -> None:
        self._servers = servers
        self._ledger = ledger
        self._queue = queue
        self._traffic = traffic
        self._rate_per_s = 0.0
        self._busy_s = self._idle_s = 0.0
        self._rates: dict[Hashable, _ClassRates] = {}
        self._rates_s = float("-inf")

    def refresh(self) -> None:
        """Compute what holds for the group as a whole anew."""
        servers = self._servers.values()
        self._rate_per_s = sum(one.rate_per_s for one in servers)
        started_s = sum(one.rate_per_s * one.busy_s for one in servers)
        self._rates = {}
        self._busy_s = started_s / max(self._rate_per_s, MIN_RATE_PER_S)
        self._idle_s = min((one.idle_s for one in servers), default=0.0)

    def traffic(self, scope: str) -> TrafficRates:
        """Return the rates of the requests of a scope."""
        return self._servers[scope].traffic if scope else self._traffic

    def expected_service_s(self, scope: str) -> float:
        """Return the expected duration of a request that has had to wait."""
        return self._servers[scope].busy_s if scope else self._busy_s

    def least_service_s(self, scope: str) -> float:
        """Return the expected duration at a server without other requests."""
        return self._servers[scope].idle_s if scope else self._idle_s

    def of_new(self, waiting: WaitingRequest, now_s: float) -> ExpectedWait:
        """Return the expected wait of a request that is not in the queue."""
        scope, slot_class = waiting.scope, waiting.slot_class
        flow = waiting.request.flow
        room = self._room(scope, now_s)
        ahead = _Ahead(
            self._queue.count_more_urgent(scope, slot_class),
            self._queue.count_more_urgent(scope, slot_class, same_priority=True),
            self._queue.count_before(scope, slot_class, flow),
        )
        rates = self._class_rates(room, scope, slot_class, now_s, DEVIATIONS)
        wait_s = _wait_s(room, ahead, rates)
        of_flow = self._of_flow(scope, flow, now_s)
        if of_flow is not None and of_flow.wait_s > wait_s:
            return of_flow
        returning = slot_class._replace(is_new=False)
        of_returning = self._class_rates(room, scope, returning, now_s)
        return ExpectedWait(wait_s, of_returning.left_per_s)

    def of_waiting(
        self, scope: str, now_s: float
    ) -> Iterator[tuple[WaitingRequest, float]]:
        """Return the requests of a scope that wait, in order, with their waits.

        A request that is removed from the queue meanwhile no longer counts for those
        behind it.
        """
        room = self._room(scope, now_s)
        current, rates = None, None
        ahead = _Ahead(0, 0, 0)
        for waiting in list(self._queue.ordered(scope)):
            if waiting.slot_class != current:
                ahead = ahead.of_next_class(current, waiting.slot_class)
                current = waiting.slot_class
                rates = self._class_rates(room, scope, current, now_s)
            yield waiting, _wait_s(room, ahead, rates)
            if self._queue.find(waiting.request.slot) is not None:
                ahead = ahead._replace(before=ahead.before + 1)

    def _class_rates(
        self,
        room: _Room,
        scope: str,
        slot_class: SlotClass,
        now_s: float,
        deviations: float = 0.0,
    ) -> _ClassRates:
        """Return how many requests of a class can start in a scope a second."""
        classes = self._queue.classes(scope)
        most_urgent = classes[0].priority if classes else slot_class.priority
        key = scope, slot_class, most_urgent, deviations
        if not 0 <= now_s - self._rates_s < RATES_INTERVAL_S:
            self._rates, self._rates_s = {}, now_s
        known = self._rates.get(key)
        if known is None:
            known = self._rates[key] = self._compute_rates(room, *key, now_s)
        return known

    def _compute_rates(
        self,
        room: _Room,
        scope: str,
        slot_class: SlotClass,
        most_urgent: int,
        deviations: float,
        now_s: float,
    ) -> _ClassRates:
        traffic, priority = self.traffic(scope), slot_class.priority
        left_per_s = max(
            traffic.rate_left_per_s(slot_class, room.rate_per_s, now_s, deviations),
            MIN_RATE_PER_S,
        )
        if most_urgent >= priority or traffic.is_served_better(
            priority, most_urgent, now_s
        ):
            return _ClassRates(left_per_s, 0.0)
        owed_per_s = traffic.rate_owed_per_s(slot_class, room.rate_per_s, now_s)
        return _ClassRates(left_per_s, owed_per_s)

    def _room(self, scope: str, now_s: float) -> _Room:
        if scope:
            server = self._servers[scope]
            return _Room(self._first_s(server, now_s), server.rate_per_s)
        first_s = 1 / max(self._rate_per_s, MIN_RATE_PER_S)
        return _Room(first_s, self._rate_per_s)

    def _first_s(self, server: ServerSlots, now_s: float) -> float:
        """Return the time until a server has room."""
        token_s = server.bucket.wait_s(now_s) if server.bucket else 0.0
        excess = server.in_use - server.limit
        if excess < 0:
            return token_s
        ends_s = self._ledger.expected_ends_s(server.capacity.server)
        overdue_s = OVERDUE_SHARE * server.busy_s
        end_s = max(ends_s[min(excess, len(ends_s) - 1)] - now_s, overdue_s)
        return max(token_s, end_s)

    def _of_flow(self, scope: str, flow: int, now_s: float) -> ExpectedWait | None:
        """Return the wait of a flow that has all the places it may hold."""
        if not scope:
            return None
        server = self._servers[scope]
        limit = server.flow_limit(flow, now_s)
        in_use = self._ledger.in_use_by_flow(scope, flow)
        ahead = in_use + self._queue.count_flow(scope, flow) - limit
        if limit >= server.limit or ahead < 0:
            return None
        rate_per_s = max(limit / max(server.busy_s, 0.001), MIN_RATE_PER_S)
        return ExpectedWait((ahead + 1) / rate_per_s, rate_per_s, True)
