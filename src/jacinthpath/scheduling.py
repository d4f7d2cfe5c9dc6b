"""Request queue of an entry process: priority classes, expected durations, fairness."""

from __future__ import annotations

__all__ = ["Admission", "DurationEstimator", "QueuedRequest", "RequestQueue"]

import heapq
import math
from typing import NamedTuple

from .configuration import PRIORITIES
from .durations import DurationEstimator
from .priority_classes import PriorityClass, QueuedRequest

ADMITTED = "admitted"
QUEUED = "queued"
REFUSED = "refused"

# Largest share of the slots in which long work is started (but at least one slot);
# long work beyond this share takes no slots from short work.
LONG_SLOT_SHARE = 0.34
# Long work goes ahead of short work after waiting this many times its expected
# duration, or half of its slack before the deadline, whichever is less.
LONG_WAIT_FACTOR = 2.0
# Minimum share of the dispatched work that a class gets while higher classes have
# work waiting, so that a steady stream of first-class work cannot starve the others.
MIN_WORK_SHARE = {"first": 0.0, "normal": 0.05, "deferrable": 0.01}
# A class starts no work while the endpoints are more than this many times slower
# than unloaded. The queue orders only the work of this host, so without this rule
# deferrable work of one host would delay first-class work of the others.
PRESSURE_LIMIT = {"first": math.inf, "normal": math.inf, "deferrable": 2.0}
# While the endpoints are slower than this, long work starts only after its maximum
# wait (see LONG_WAIT_FACTOR): long work of several hosts would otherwise occupy the
# slots of one server at the same time.
LONG_PRESSURE_LIMIT = 2.5
# Factor applied to estimated waits. Without a margin the queue grows until the
# requests at its head are as late as their deadlines allow. First-class work is not
# what an overload should shed, so it has no margin and is abandoned only when it
# cannot end in time.
WAIT_MARGIN = {"first": 1.0, "normal": 2.0, "deferrable": 1.0}
# Share of its remaining time after which waiting deferrable work moves up one
# class: it may wait, but must end by its deadline.
PROMOTE_AFTER_SHARE = 0.5

# Longest time between two checks of the waiting requests.
MAX_RECHECK_INTERVAL_S = 0.02
# Heap entries, beyond two for each waiting request, at which stale ones are dropped.
_COMPACT_THRESHOLD = 256


class Admission(NamedTuple):
    """Result of :meth:`RequestQueue.offer`.

    :param decision: ``admitted`` (holds a slot, start it), ``queued`` or
        ``refused``.
    :param reason: why it was refused: ``deadline`` or ``full``.
    :param wait_s: estimated wait, for the ``Retry-After`` of a refusal.
    :param shed: waiting requests that were dropped to make room; each of them
        must be answered as refused.
    """

    decision: str
    reason: str = ""
    wait_s: float = 0.0
    shed: tuple[QueuedRequest, ...] = ()


_ADMITTED = Admission(ADMITTED)


class RequestQueue:
    """Queue of the requests to one service or to one server of a keyed service.

    Call :meth:`offer` for each request and :meth:`release` when an admitted or
    dispatched request has ended. After each of these calls and after :meth:`adjust`,
    call :meth:`next` until it returns ``None``. At the time that :meth:`next_wakeup`
    returns, call :meth:`adjust`, :meth:`next` and :meth:`expire`.

    :param slots: requests that may run at a time.
    :param long_after_s: duration above which a request counts as long.
    :param waiting_limit: largest number of waiting requests.
    """

    def __init__(
        self, slots: int, long_after_s: float = 1.0, waiting_limit: int = 1000
    ) -> None:
        self.waiting_limit = waiting_limit
        self._classes = {
            name: PriorityClass(margin) for name, margin in WAIT_MARGIN.items()
        }
        self._running: dict[int, float] = {}
        self._long_running: set[int] = set()
        self._expiries: list[tuple[float, int, str]] = []
        self._promotions: list[tuple[float, int, str]] = []
        self._abandoned: list[QueuedRequest] = []
        self.waiting = 0
        self.adjust(slots, long_after_s)

    def adjust(self, slots: int, long_after_s: float, pressure: float = 1.0) -> None:
        """Update the queue with measurements of the endpoints.

        :param slots: requests that may run at a time.
        :param long_after_s: from :meth:`DurationEstimator.long_after_s`.
        :param pressure: how many times slower than unloaded the endpoints are.
        """
        self.pressure = pressure
        self.slots = max(1, slots)
        self.long_after_s = long_after_s
        self._long_slots = int(self.slots * LONG_SLOT_SHARE)

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return len(self._running) + len(self._long_running)

    def offer(self, request: QueuedRequest, now: float) -> Admission:
        """Admit, queue or refuse a request."""
        is_long = request.expected_s > self.long_after_s
        if now + request.expected_s > request.deadline:
            return Admission(REFUSED, "deadline")
        if self._may_skip_queue(request, is_long) and self._has_free_slot(is_long, now):
            self._start(request, is_long, now)
            return _ADMITTED
        wait_s = self.estimate_wait_s(request)
        if now + wait_s + request.expected_s > request.deadline:
            return Admission(REFUSED, "deadline", wait_s)
        shed: tuple[QueuedRequest, ...] = ()
        if self.waiting >= self.waiting_limit:
            dropped = self._shed_to_admit(request)
            if dropped is None:
                return Admission(REFUSED, "full", wait_s)
            shed = (dropped,)
        self._enqueue(request, request.priority, is_long, now)
        return Admission(QUEUED, "", wait_s, shed)

    def next(self, now: float) -> QueuedRequest | None:
        """Give a slot to the next waiting request that may run, and return it."""
        self._abandon_unmeetable(now)
        self._promote(now)
        if not self.waiting:
            return None
        short_allowed = self._has_free_slot(False, now)
        long_allowed = self._has_free_slot(True, now)
        pressure_is_low = self.pressure <= LONG_PRESSURE_LIMIT
        if not short_allowed and not long_allowed:
            return None
        for priority_class in self._classes_in_service_order():
            is_long = self._choose_short_or_long(
                priority_class, short_allowed, long_allowed, pressure_is_low, now
            )
            if is_long is not None:
                return self._dispatch(priority_class, is_long, now)
        return None

    def release(self, request_id: int) -> None:
        """Free the slot of a request that has ended."""
        if self._running.pop(request_id, None) is None:
            self._long_running.discard(request_id)

    def cancel(self, request_id: int) -> bool:
        """Remove a waiting request whose caller has gone away."""
        for priority_class in self._classes.values():
            if request_id in priority_class.waiting:
                self._remove(priority_class, request_id)
                return True
        return False

    def expire(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests whose deadline can no longer be met."""
        self._abandon_unmeetable(now)
        abandoned, self._abandoned = self._abandoned, []
        return abandoned

    def next_wakeup(self, now: float) -> float | None:
        """Return when to call :meth:`adjust`, :meth:`next` and :meth:`expire` again.

        Waiting work may become able to start by the passage of time alone: pressure
        decays, long work reaches its maximum wait, or a straggler is reclassified as
        long. ``None`` when nothing waits.
        """
        if not self.waiting:
            return None
        expiries = self._expiries
        while not self._is_waiting(expiries[0]):
            heapq.heappop(expiries)
        return min(expiries[0][0], now + MAX_RECHECK_INTERVAL_S)

    def estimate_wait_s(self, request: QueuedRequest) -> float:
        """Return the estimated time that a request would wait for a slot.

        Assumes that the class continues at its recent dispatch rate, which reflects
        what the higher classes leave over. Until that rate is known, and for
        deferrable work, the work of higher classes and its own are divided by the
        slots. Within the class an account waits no longer than its own backlog takes
        at its share.
        """
        priority_class = self._classes[request.priority]
        wait_s = priority_class.wait_s(request.account, request.weight)
        if wait_s is not None and request.priority != "deferrable":
            return wait_s
        ahead_s = priority_class.work_before_s(request.account, request.weight)
        for name, higher in self._classes.items():
            if name == request.priority:
                break
            ahead_s += higher.short_work_s
        return ahead_s / self.slots

    def _may_skip_queue(self, request: QueuedRequest, is_long: bool) -> bool:
        """Return whether no request precedes this one and pressure allows it."""
        if self.pressure > PRESSURE_LIMIT[request.priority]:
            return False
        if is_long and self.pressure > LONG_PRESSURE_LIMIT:
            return False
        if not self.waiting:
            return True
        for name, priority_class in self._classes.items():
            if priority_class.head(is_long) is not None:
                return False
            if name == request.priority:
                break
        return True

    def _has_free_slot(self, is_long: bool, now: float) -> bool:
        """Return whether a slot is free for short or for long work.

        Long work beyond its share does not count against the slots of short
        work: a straggler is detected only while it runs, and would otherwise
        hold the slots reserved for short work.
        """
        self._reclassify_stragglers(now)
        long_running = len(self._long_running)
        if is_long and long_running >= max(1, self._long_slots):
            return False
        long_slots_in_use = min(long_running, self._long_slots)
        return len(self._running) + long_slots_in_use < self.slots

    def _reclassify_stragglers(self, now: float) -> None:
        started_before = now - self.long_after_s
        while self._running:
            request_id, started = next(iter(self._running.items()))
            if started > started_before:
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
        if len(self._expiries) > _COMPACT_THRESHOLD + 2 * self.waiting:
            self._compact()
        heapq.heappush(self._expiries, (latest_start, request.request_id, priority))
        if request.priority == "deferrable" and priority != "first":
            promote_at = now + PROMOTE_AFTER_SHARE * (latest_start - now)
            entry = (promote_at, request.request_id, priority)
            heapq.heappush(self._promotions, entry)

    def _compact(self) -> None:
        """Drop heap entries of requests that no longer wait.

        Deferrable requests may be due hours later, so their entries would
        otherwise stay that long after the requests have left.
        """
        self._expiries = [entry for entry in self._expiries if self._is_waiting(entry)]
        self._promotions = [
            entry for entry in self._promotions if self._is_waiting(entry)
        ]
        heapq.heapify(self._expiries)
        heapq.heapify(self._promotions)

    def _is_waiting(self, entry: tuple[float, int, str]) -> bool:
        return entry[1] in self._classes[entry[2]].waiting

    def _classes_in_service_order(self) -> list[PriorityClass]:
        """Return the classes that may be served, next one first.

        The lowest waiting class with credit left comes first, whatever the pressure;
        the classes that pressure allows follow in priority order.
        """
        classes = list(self._classes.values())
        allowed = [
            priority_class
            for name, priority_class in self._classes.items()
            if self.pressure <= PRESSURE_LIMIT[name]
        ]
        for priority_class in classes[:0:-1]:
            if priority_class.waiting and priority_class.credit_s > 0.0:
                return [priority_class, *allowed]
        return allowed

    def _choose_short_or_long(
        self,
        priority_class: PriorityClass,
        short_allowed: bool,
        long_allowed: bool,
        pressure_is_low: bool,
        now: float,
    ) -> bool | None:
        if not priority_class.waiting:
            return None
        long_head = priority_class.head(True) if long_allowed else None
        short_head = priority_class.head(False) if short_allowed else None
        if long_head is None:
            return None if short_head is None else False
        request, _, added_at, _ = long_head
        slack_s = request.deadline - request.expected_s - added_at
        max_wait_s = min(LONG_WAIT_FACTOR * request.expected_s, 0.5 * slack_s)
        if now - added_at > max_wait_s:
            return True
        if short_head is None:
            return True if pressure_is_low else None
        return False

    def _dispatch(
        self, priority_class: PriorityClass, is_long: bool, now: float
    ) -> QueuedRequest:
        request = priority_class.pop_head(is_long)
        self.waiting -= 1
        self._start(request, is_long, now)
        for name, other in self._classes.items():
            if other is priority_class:
                other.credit_s -= request.expected_s
                other.credit_s = max(other.credit_s, -request.expected_s)
            elif other.waiting:
                other.credit_s += MIN_WORK_SHARE[name] * request.expected_s
        return request

    def _remove(self, priority_class: PriorityClass, request_id: int) -> QueuedRequest:
        self.waiting -= 1
        return priority_class.remove(request_id)

    def _shed_to_admit(self, request: QueuedRequest) -> QueuedRequest | None:
        """Drop a request of the lowest class that is no higher than this one's.

        In its own class it displaces only a request that fair queueing places
        behind it.
        """
        for name in reversed(PRIORITIES):
            priority_class = self._classes[name]
            if priority_class.waiting:
                entry = priority_class.newest_of_heaviest_account()
                if name != request.priority or priority_class.would_precede(
                    request, entry
                ):
                    return self._remove(priority_class, entry.request.request_id)
            if name == request.priority:
                return None
        return None

    def _abandon_unmeetable(self, now: float) -> None:
        """Abandon requests that cannot end in time, and measure the dispatch rates."""
        expiries = self._expiries
        while expiries and expiries[0][0] < now:
            _, request_id, priority = heapq.heappop(expiries)
            priority_class = self._classes[priority]
            if request_id in priority_class.waiting:
                self._abandoned.append(self._remove(priority_class, request_id))
        for priority_class in self._classes.values():
            if priority_class.waiting:
                priority_class.measure_rate(now)
                self._abandon_late_requests(priority_class, now)

    def _abandon_late_requests(self, priority_class: PriorityClass, now: float) -> None:
        """Abandon the newest requests that are expected to miss their deadline.

        Stops at deferrable work, which is scheduled by its deadline in the deferral
        planner.
        """
        while priority_class.waiting:
            entry = priority_class.newest()
            deferrable = entry.request.priority == "deferrable"
            if deferrable or not priority_class.is_expected_late(entry, now):
                return
            self._abandoned.append(
                self._remove(priority_class, entry.request.request_id)
            )

    def _promote(self, now: float) -> None:
        while self._promotions and self._promotions[0][0] <= now:
            entry = heapq.heappop(self._promotions)
            if self._is_waiting(entry):
                priority_class = self._classes[entry[2]]
                request, is_long, _, _ = priority_class.waiting[entry[1]]
                self._remove(priority_class, entry[1])
                higher = PRIORITIES[PRIORITIES.index(entry[2]) - 1]
                self._enqueue(request, higher, is_long, now)
