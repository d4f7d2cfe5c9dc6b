"""Queue of an entry process: classes, expected length and fair shares."""

from __future__ import annotations

__all__ = ["Admission", "LengthEstimator", "QueuedRequest", "RequestQueue"]

import heapq
import math
from typing import NamedTuple

from .configuration import PRIORITIES

ADMITTED = "admitted"
QUEUED = "queued"
REFUSED = "refused"

# A request this many times longer than is typical for its service is long.
# Stragglers run about 30 times longer, ordinary requests vary by two or three.
LONG_FACTOR = 6.0
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
# Part of its remaining time after which waiting deferrable work moves up one
# class: it may wait, but must end by its stated time.
PROMOTE_AT = 0.5

_LOG_GAIN = 0.1
_SHAPE_LIMIT = 4096
# Timer entries of requests that no longer wait, before they are cleared.
_COMPACT_AT = 256


class QueuedRequest(NamedTuple):
    """What the queue needs to know of a request.

    :param request_id: unique in the entry process.
    :param account: client account.
    :param priority: ``first``, ``normal`` or ``deferrable``.
    :param expected_s: from :meth:`LengthEstimator.expected_s`.
    :param deadline: monotonic time by which the response must have ended.
    :param weight: share of the account under contention.
    """

    request_id: int
    account: str
    priority: str
    expected_s: float
    deadline: float
    weight: float = 1.0


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


class LengthEstimator:
    """Learns how long requests of each (service, shape) run.

    The estimate is an exponentially weighted geometric mean: one straggler
    among ordinary requests of the same shape raises it by less than half.
    The shapes used least recently are forgotten beyond ``shape_limit``.
    """

    def __init__(
        self, default_s: float = 0.05, shape_limit: int = _SHAPE_LIMIT
    ) -> None:
        self._default = math.log(default_s)
        self._limit = shape_limit
        self._shapes: dict[tuple[str, str], float] = {}
        self._services: dict[str, float] = {}

    def expected_s(self, service: str, shape: str) -> float:
        """Return the expected length of a request in seconds."""
        value = self._shapes.get((service, shape))
        if value is None:
            value = self._services.get(service, self._default)
        return math.exp(value)

    def long_after_s(self, service: str) -> float:
        """Return the length from which a request of a service counts as long."""
        return LONG_FACTOR * math.exp(self._services.get(service, self._default))

    def observe(self, service: str, shape: str, length_s: float) -> None:
        """Record the length of a request that was answered."""
        length = math.log(max(length_s, 1e-6))
        typical = self._services.get(service)
        if typical is None:
            typical = length
        self._services[service] = typical + _LOG_GAIN * (length - typical)
        key = (service, shape)
        known = self._shapes.pop(key, None)
        if known is None:
            known = length
            if len(self._shapes) >= self._limit:
                del self._shapes[next(iter(self._shapes))]
        self._shapes[key] = known + _LOG_GAIN * (length - known)

    def __len__(self) -> int:
        return len(self._shapes)


class _Class:
    """Waiting requests of one class, in two lanes by expected length.

    Accounts share each class by start-time fair queueing: a request is tagged
    with the virtual time at which its account's earlier work would be done if
    each account were served in proportion to its weight.
    """

    def __init__(self, name: str) -> None:
        self.pressure_limit = PRESSURE_LIMIT[name]
        self.waiting: dict[int, tuple[QueuedRequest, bool, float]] = {}
        self.lanes: tuple[list, list] = ([], [])
        self.work_s = 0.0
        self.credit_s = 0.0
        self.virtual = 0.0
        self.finish: dict[str, float] = {}

    def start_tag(self, request: QueuedRequest) -> float:
        return max(self.virtual, self.finish.get(request.account, 0.0))

    def add(self, request: QueuedRequest, is_long: bool, now: float) -> None:
        tag = self.start_tag(request)
        self.finish[request.account] = tag + request.expected_s / request.weight
        self.waiting[request.request_id] = (request, is_long, now)
        self.work_s += request.expected_s
        heapq.heappush(self.lanes[is_long], (tag, request.request_id))

    def head(self, is_long: bool) -> tuple[QueuedRequest, float] | None:
        """Return the next request of a lane and when it was offered."""
        lane = self.lanes[is_long]
        while lane:
            entry = self.waiting.get(lane[0][1])
            if entry is not None:
                return entry[0], entry[2]
            heapq.heappop(lane)
        return None

    def take(self, is_long: bool) -> QueuedRequest:
        """Remove and return the request that :meth:`head` returned."""
        tag, request_id = heapq.heappop(self.lanes[is_long])
        self.virtual = max(self.virtual, tag)
        return self.remove(request_id)

    def remove(self, request_id: int) -> QueuedRequest:
        request = self.waiting.pop(request_id)[0]
        self.work_s -= request.expected_s
        if not self.waiting:
            self._reset()
        return request

    def _reset(self) -> None:
        """Forget tags and rounding errors while nothing waits."""
        self.work_s = 0.0
        self.credit_s = 0.0
        self.virtual = 0.0
        self.finish.clear()
        self.lanes[0].clear()
        self.lanes[1].clear()


class RequestQueue:
    """Requests of one service (one server, where keyed) in an entry process.

    Call :meth:`offer` for each request, :meth:`finished` when an admitted or
    dispatched request has ended, :meth:`next` until it returns ``None`` after
    each of these and after :meth:`adjust`, and :meth:`expire` on a timer at
    :meth:`next_expiry`.

    :param slots: requests that may run at a time.
    :param long_after_s: length from which a request counts as long.
    :param waiting_limit: largest number of waiting requests.
    """

    def __init__(
        self, slots: int, long_after_s: float = 1.0, waiting_limit: int = 1000
    ) -> None:
        self.waiting_limit = waiting_limit
        self._classes = {name: _Class(name) for name in PRIORITIES}
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
            dropped = self._shed_below(request.priority)
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

    def next_expiry(self) -> float | None:
        """Return when :meth:`expire` is next due, if anything waits."""
        expiries = self._expiries
        while expiries:
            due, request_id, priority = expiries[0]
            if request_id in self._classes[priority].waiting:
                return due
            heapq.heappop(expiries)
        return None

    def estimate_wait_s(self, request: QueuedRequest) -> float:
        """Return the estimated time that a request would wait for a slot.

        Work of higher classes goes first; within the class an account waits
        no longer than its own backlog takes at its share of the slots.
        """
        ahead_s = 0.0
        for name, queue in self._classes.items():
            if name == request.priority:
                break
            ahead_s += queue.work_s
        own_s = queue.start_tag(request) - queue.virtual
        share_s = own_s * max(1, len(queue.finish)) * request.weight
        return (ahead_s + min(queue.work_s, share_s)) / self.slots

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

    def _by_turn(self) -> list[_Class]:
        """Return the classes in the order in which they are served now."""
        classes = list(self._classes.values())
        turn = [queue for queue in classes if self.pressure <= queue.pressure_limit]
        for queue in classes[:0:-1]:
            if queue.waiting and queue.credit_s > 0.0:
                return [queue, *turn]
        return turn

    def _choose_lane(
        self, queue: _Class, short: bool, long: bool, calm: bool, now: float
    ) -> bool | None:
        if not queue.waiting:
            return None
        long_head = queue.head(True) if long else None
        short_head = queue.head(False) if short else None
        if long_head is None:
            return None if short_head is None else False
        request, offered = long_head
        slack_s = request.deadline - request.expected_s - offered
        patience_s = min(LONG_PATIENCE * request.expected_s, 0.5 * slack_s)
        if now - offered > patience_s:
            return True
        if short_head is None:
            return True if calm else None
        return False

    def _dispatch(self, queue: _Class, is_long: bool, now: float) -> QueuedRequest:
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

    def _remove(self, queue: _Class, request_id: int) -> QueuedRequest:
        self.waiting -= 1
        return queue.remove(request_id)

    def _shed_below(self, priority: str) -> QueuedRequest | None:
        """Drop the newest request of the lowest class below ``priority``."""
        for name in reversed(PRIORITIES):
            if name == priority:
                return None
            queue = self._classes[name]
            if queue.waiting:
                return self._remove(queue, next(reversed(queue.waiting)))
        return None

    def _collect_expired(self, now: float) -> None:
        expiries = self._expiries
        while expiries and expiries[0][0] < now:
            _, request_id, priority = heapq.heappop(expiries)
            queue = self._classes[priority]
            if request_id in queue.waiting:
                self._given_up.append(self._remove(queue, request_id))

    def _promote(self, now: float) -> None:
        while self._promotions and self._promotions[0][0] <= now:
            entry = heapq.heappop(self._promotions)
            if self._waits(entry):
                queue = self._classes[entry[2]]
                request, is_long, _ = queue.waiting[entry[1]]
                self._remove(queue, entry[1])
                higher = PRIORITIES[PRIORITIES.index(entry[2]) - 1]
                self._enqueue(request, higher, is_long, now)
