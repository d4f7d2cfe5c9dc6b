"""Queue of an entry process: classes, expected length and fair shares."""

from __future__ import annotations

__all__ = ["Admission", "LengthEstimator", "QueuedRequest", "RequestQueue"]

import heapq
import math
from typing import NamedTuple

from .classes import QueuedRequest, RequestClass
from .configuration import PRIORITIES
from .lengths import LengthEstimator

ADMITTED = "admitted"
QUEUED = "queued"
REFUSED = "refused"

# Largest share of the slots that long work may hold while short work waits.
LONG_SHARE = 0.34
# Long work goes ahead of short work after waiting this many times its length,
# or half of the time that it has to spare.
LONG_PATIENCE = 2.0
# Share of the dispatched work that a class gets while higher classes wait, so
# that a steady stream of first-class work cannot starve the others.
FLOOR_SHARE = {"first": 0.0, "normal": 0.05, "deferrable": 0.01}
# A class starts no work while the endpoints are this many times slower than
# unloaded. The queue orders only the work of this host, so without this rule
# deferrable work of one host would delay first-class work of the others.
PRESSURE_LIMIT = {"first": math.inf, "normal": math.inf, "deferrable": 2.0}
# Long work waits for its patience while the endpoints are slower than this:
# long work of several hosts would otherwise meet in the slots of one server.
LONG_PRESSURE_LIMIT = 2.5
# Estimated waits count this many times. Without a margin the queue grows until
# the requests at its head are as late as their deadlines allow. First-class work
# is not the excess of an overload, so it is given up only when lost.
WAIT_MARGIN = {"first": 1.0, "normal": 2.0, "deferrable": 1.0}
# Part of its remaining time after which waiting deferrable work moves up one
# class: it may wait, but must end by its stated time.
PROMOTE_AT = 0.5

# Longest time between two checks of waiting work.
RECHECK_S = 0.02
# Timer entries of requests that no longer wait, before they are cleared.
_COMPACT_AT = 256


class Admission(NamedTuple):
    """Answer to :meth:`RequestQueue.offer`.

    :param decision: ``admitted`` (holds a slot, start it), ``queued`` or
        ``refused``.
    :param reason: why it was refused: ``deadline`` or ``full``.
    :param wait_s: estimated wait, for the ``Retry-After`` of a refusal.
    :param shed: waiting requests that were dropped to make room; answer each
        of them as refused.
    """

    decision: str
    reason: str = ""
    wait_s: float = 0.0
    shed: tuple[QueuedRequest, ...] = ()


_ADMITTED = Admission(ADMITTED)


class RequestQueue:
    """Requests of one service (one server, where keyed) in an entry process.

    Call :meth:`offer` for each request, :meth:`finished` when an admitted or
    dispatched request has ended, :meth:`next` until it returns ``None`` after
    each of these and after :meth:`adjust`, and :meth:`expire` as well at the time
    that :meth:`next_wakeup` returns.

    :param slots: requests that may run at a time.
    :param long_after_s: length from which a request counts as long.
    :param waiting_limit: largest number of waiting requests.
    """

    def __init__(
        self, slots: int, long_after_s: float = 1.0, waiting_limit: int = 1000
    ) -> None:
        self.waiting_limit = waiting_limit
        self._classes = {
            name: RequestClass(margin) for name, margin in WAIT_MARGIN.items()
        }
        self._running: dict[int, float] = {}
        self._long_running: set[int] = set()
        self._expiries: list[tuple[float, int, str]] = []
        self._promotions: list[tuple[float, int, str]] = []
        self._given_up: list[QueuedRequest] = []
        self.waiting = 0
        self.adjust(slots, long_after_s)

    def adjust(self, slots: int, long_after_s: float, pressure: float = 1.0) -> None:
        """Set what was learned of the endpoints.

        :param slots: requests that may run at a time.
        :param long_after_s: from :meth:`LengthEstimator.long_after_s`.
        :param pressure: how many times slower than unloaded the endpoints are.
        """
        self.pressure = pressure
        self.slots = max(1, slots)
        self.long_after_s = long_after_s
        self._long_slots = int(self.slots * LONG_SHARE)

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return len(self._running) + len(self._long_running)

    def offer(self, request: QueuedRequest, now: float) -> Admission:
        """Admit, queue or refuse a request."""
        is_long = request.expected_s > self.long_after_s
        if now + request.expected_s > request.deadline:
            return Admission(REFUSED, "deadline")
        if self._may_pass(request, is_long) and self._may_start(is_long, now):
            self._start(request, is_long, now)
            return _ADMITTED
        wait_s = self.estimate_wait_s(request)
        if now + wait_s + request.expected_s > request.deadline:
            return Admission(REFUSED, "deadline", wait_s)
        shed: tuple[QueuedRequest, ...] = ()
        if self.waiting >= self.waiting_limit:
            dropped = self._shed_for(request)
            if dropped is None:
                return Admission(REFUSED, "full", wait_s)
            shed = (dropped,)
        self._enqueue(request, request.priority, is_long, now)
        return Admission(QUEUED, "", wait_s, shed)

    def next(self, now: float) -> QueuedRequest | None:
        """Return a waiting request that holds a slot from now on, if one may run."""
        self._collect_expired(now)
        self._promote(now)
        if not self.waiting:
            return None
        short = self._may_start(False, now)
        long = self._may_start(True, now)
        calm = self.pressure <= LONG_PRESSURE_LIMIT
        if not short and not long:
            return None
        for queue in self._by_turn():
            lane = self._choose_lane(queue, short, long, calm, now)
            if lane is not None:
                return self._dispatch(queue, lane, now)
        return None

    def finished(self, request_id: int) -> None:
        """Free the slot of a request that has ended."""
        if self._running.pop(request_id, None) is None:
            self._long_running.discard(request_id)

    def cancel(self, request_id: int) -> bool:
        """Remove a waiting request whose caller has gone away."""
        for queue in self._classes.values():
            if request_id in queue.waiting:
                self._remove(queue, request_id)
                return True
        return False

    def expire(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests whose deadline can no longer be met."""
        self._collect_expired(now)
        given_up, self._given_up = self._given_up, []
        return given_up

    def next_wakeup(self, now: float) -> float | None:
        """Return when to call :meth:`adjust`, :meth:`next` and :meth:`expire` again.

        Time alone can let waiting work start: pressure fades, long work loses its
        patience, a straggler is recognised. ``None`` when nothing waits.
        """
        if not self.waiting:
            return None
        expiries = self._expiries
        while not self._waits(expiries[0]):
            heapq.heappop(expiries)
        return min(expiries[0][0], now + RECHECK_S)

    def estimate_wait_s(self, request: QueuedRequest) -> float:
        """Return the estimated time that a request would wait for a slot.

        The class is taken to go on at the rate at which it was dispatched
        lately, which shows what the higher classes leave to it. Before that is
        known, work of higher classes and its own share the slots. Within the
        class an account waits no longer than its own backlog takes at its share.
        """
        queue = self._classes[request.priority]
        wait_s = queue.wait_s(request.account, request.weight)
        if wait_s is not None and request.priority != "deferrable":
            return wait_s
        ahead_s = queue.work_ahead_s(request.account, request.weight)
        for name, higher in self._classes.items():
            if name == request.priority:
                break
            ahead_s += higher.short_work_s
        return ahead_s / self.slots

    def _may_pass(self, request: QueuedRequest, is_long: bool) -> bool:
        """Return whether no request goes before this one and pressure allows it."""
        if self.pressure > PRESSURE_LIMIT[request.priority]:
            return False
        if is_long and self.pressure > LONG_PRESSURE_LIMIT:
            return False
        if not self.waiting:
            return True
        for name, queue in self._classes.items():
            if queue.head(is_long) is not None:
                return False
            if name == request.priority:
                break
        return True

    def _may_start(self, is_long: bool, now: float) -> bool:
        """Return whether a slot is free for short or for long work.

        Long work beyond its share does not count against the slots of short
        work: a straggler is recognised only while it runs, and would otherwise
        hold the reserved slots.
        """
        self._recognise_stragglers(now)
        long_running = len(self._long_running)
        if is_long and long_running >= max(1, self._long_slots):
            return False
        held = min(long_running, self._long_slots)
        return len(self._running) + held < self.slots

    def _recognise_stragglers(self, now: float) -> None:
        started_by = now - self.long_after_s
        while self._running:
            request_id, started = next(iter(self._running.items()))
            if started > started_by:
                return
            del self._running[request_id]
            self._long_running.add(request_id)

    def _start(self, request: QueuedRequest, is_long: bool, now: float) -> None:
        if is_long:
            self._long_running.add(request.request_id)
        else:
            self._running[request.request_id] = now

    def _enqueue(
        self, request: QueuedRequest, priority: str, is_long: bool, now: float
    ) -> None:
        self._classes[priority].add(request, is_long, now)
        self.waiting += 1
        latest_start = request.deadline - request.expected_s
        if len(self._expiries) > _COMPACT_AT + 2 * self.waiting:
            self._compact()
        heapq.heappush(self._expiries, (latest_start, request.request_id, priority))
        if request.priority == "deferrable" and priority != "first":
            promote_at = now + PROMOTE_AT * (latest_start - now)
            entry = (promote_at, request.request_id, priority)
            heapq.heappush(self._promotions, entry)

    def _compact(self) -> None:
        """Drop timer entries of requests that no longer wait.

        Deferrable requests may be due hours later, so their entries would
        otherwise outlive them.
        """
        self._expiries = [entry for entry in self._expiries if self._waits(entry)]
        self._promotions = [entry for entry in self._promotions if self._waits(entry)]
        heapq.heapify(self._expiries)
        heapq.heapify(self._promotions)

    def _waits(self, entry: tuple[float, int, str]) -> bool:
        return entry[1] in self._classes[entry[2]].waiting

    def _by_turn(self) -> list[RequestClass]:
        """Return the classes in the order in which they are served now."""
        classes = list(self._classes.values())
        turn = [
            queue
            for name, queue in self._classes.items()
            if self.pressure <= PRESSURE_LIMIT[name]
        ]
        for queue in classes[:0:-1]:
            if queue.waiting and queue.credit_s > 0.0:
                return [queue, *turn]
        return turn

    def _choose_lane(
        self, queue: RequestClass, short: bool, long: bool, calm: bool, now: float
    ) -> bool | None:
        if not queue.waiting:
            return None
        long_head = queue.head(True) if long else None
        short_head = queue.head(False) if short else None
        if long_head is None:
            return None if short_head is None else False
        request, _, offered, _ = long_head
        slack_s = request.deadline - request.expected_s - offered
        patience_s = min(LONG_PATIENCE * request.expected_s, 0.5 * slack_s)
        if now - offered > patience_s:
            return True
        if short_head is None:
            return True if calm else None
        return False

    def _dispatch(
        self, queue: RequestClass, is_long: bool, now: float
    ) -> QueuedRequest:
        request = queue.take(is_long)
        self.waiting -= 1
        self._start(request, is_long, now)
        for name, other in self._classes.items():
            if other is queue:
                other.credit_s -= request.expected_s
                other.credit_s = max(other.credit_s, -request.expected_s)
            elif other.waiting:
                other.credit_s += FLOOR_SHARE[name] * request.expected_s
        return request

    def _remove(self, queue: RequestClass, request_id: int) -> QueuedRequest:
        self.waiting -= 1
        return queue.remove(request_id)

    def _shed_for(self, request: QueuedRequest) -> QueuedRequest | None:
        """Drop a request of the lowest class that is no higher than this one's.

        In its own class it replaces only the work of an account that is
        further ahead of its share.
        """
        for name in reversed(PRIORITIES):
            queue = self._classes[name]
            if queue.waiting:
                entry = queue.newest_of_largest()
                if name != request.priority or queue.is_behind(request, entry):
                    return self._remove(queue, entry.request.request_id)
            if name == request.priority:
                return None
        return None

    def _collect_expired(self, now: float) -> None:
        expiries = self._expiries
        while expiries and expiries[0][0] < now:
            _, request_id, priority = heapq.heappop(expiries)
            queue = self._classes[priority]
            if request_id in queue.waiting:
                self._given_up.append(self._remove(queue, request_id))
        for queue in self._classes.values():
            if queue.waiting:
                queue.measure_rate(now)
                self._trim(queue, now)

    def _trim(self, queue: RequestClass, now: float) -> None:
        """Give up the newest requests that the class cannot reach in time.

        Deferrable work is left to the planner, which knows its end.
        """
        while queue.waiting:
            entry = queue.newest()
            deferrable = entry.request.priority == "deferrable"
            if deferrable or not queue.beyond_reach(entry, now):
                return
            self._given_up.append(self._remove(queue, entry.request.request_id))

    def _promote(self, now: float) -> None:
        while self._promotions and self._promotions[0][0] <= now:
            entry = heapq.heappop(self._promotions)
            if self._waits(entry):
                queue = self._classes[entry[2]]
                request, is_long, _, _ = queue.waiting[entry[1]]
                self._remove(queue, entry[1])
                higher = PRIORITIES[PRIORITIES.index(entry[2]) - 1]
                self._enqueue(request, higher, is_long, now)
