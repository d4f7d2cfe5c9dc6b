"""Fair queueing between client accounts within one priority class."""

from __future__ import annotations

__all__ = ["PriorityClass", "QueuedRequest"]

import heapq
from typing import NamedTuple

# Period over which the dispatch rate of a class is measured, and the lower bound
# of the measured rate, in seconds of work per second.
RATE_PERIOD_S = 0.5
MIN_DISPATCH_RATE = 0.05


class QueuedRequest(NamedTuple):
    """Properties of a request that the queue uses.

    :param request_id: unique in the entry process.
    :param account: client account.
    :param priority: ``first``, ``normal`` or ``deferrable``.
    :param expected_s: from :meth:`DurationEstimator.expected_s`.
    :param deadline: monotonic time by which the response must have ended.
    :param weight: weight of the account under contention.
    """

    request_id: int
    account: str
    priority: str
    expected_s: float
    deadline: float
    weight: float = 1.0


class WaitingRequest(NamedTuple):
    """A waiting request.

    :param added_at: when it was added to its class.
    :param start_tag: start tag of fair queueing, see :class:`PriorityClass`; the
        request with the lowest one is next.
    """

    request: QueuedRequest
    is_long: bool
    added_at: float
    start_tag: float


class PriorityClass:
    """Waiting requests of one priority class, in a short and a long queue.

    Accounts share the class by start-time fair queueing: a request is tagged
    with the virtual time at which its account's earlier work would be done if
    each account were served in proportion to its weight.

    The class also measures the rate at which its short work is dispatched while
    work waits. The rate reflects the capacity that higher classes leave over,
    which the number of slots does not show. Estimating waits from arrival and
    departure rates in place of fixed thresholds follows the FEAT algorithm (Novak,
    Kasera, Stutsman, "Cloud Functions for Fast and Robust Resource Auto-Scaling").

    :param wait_margin: factor applied to estimated waits.

    ``short_work_s`` is the expected duration of all waiting short requests, ``rate``
    the measured dispatch rate or ``None`` while it is not known, and ``credit_s`` the
    work that the class may dispatch before higher classes.
    """

    def __init__(self, wait_margin: float = 1.0) -> None:
        self._wait_margin = wait_margin
        self.waiting: dict[int, WaitingRequest] = {}
        self.short_work_s = 0.0
        self.credit_s = 0.0
        self.rate: float | None = None
        self._heaps: tuple[list, list] = ([], [])
        self._virtual_time = 0.0
        self._finish_tags: dict[str, float] = {}
        self._waiting_by_account: dict[str, dict[int, None]] = {}
        self._dispatched_s = 0.0
        self._period_start = 0.0

    def add(self, request: QueuedRequest, is_long: bool, now: float) -> None:
        """Add a request to the short or the long queue."""
        if not self.waiting:
            self._period_start = now
        account = request.account
        request_id = request.request_id
        start_tag = self._start_tag(account)
        self._finish_tags[account] = start_tag + request.expected_s / request.weight
        self.waiting[request_id] = WaitingRequest(request, is_long, now, start_tag)
        self._waiting_by_account.setdefault(account, {})[request_id] = None
        if not is_long:
            self.short_work_s += request.expected_s
        heapq.heappush(self._heaps[is_long], (start_tag, request_id))

    def head(self, is_long: bool) -> WaitingRequest | None:
        """Return the next request of the short or the long queue."""
        heap = self._heaps[is_long]
        while heap:
            waiting_request = self.waiting.get(heap[0][1])
            if waiting_request is not None:
                return waiting_request
            heapq.heappop(heap)
        return None

    def pop_head(self, is_long: bool) -> QueuedRequest:
        """Remove and return the request that :meth:`head` returned."""
        start_tag, request_id = heapq.heappop(self._heaps[is_long])
        self._virtual_time = max(self._virtual_time, start_tag)
        request = self.remove(request_id)
        if not is_long:
            self._dispatched_s += request.expected_s
        return request

    def remove(self, request_id: int) -> QueuedRequest:
        """Remove and return a request from any position in the class."""
        request, is_long, _, _ = self.waiting.pop(request_id)
        if not is_long:
            self.short_work_s -= request.expected_s
        same_account = self._waiting_by_account[request.account]
        del same_account[request_id]
        if not same_account:
            del self._waiting_by_account[request.account]
        if not self.waiting:
            self._reset()
        return request

    def newest(self) -> WaitingRequest:
        """Return the request that was added last."""
        return self.waiting[next(reversed(self.waiting))]

    def newest_of_heaviest_account(self) -> WaitingRequest:
        """Return the newest request of the account furthest ahead of its share."""
        account = max(self._waiting_by_account, key=self._finish_tags.__getitem__)
        return self.waiting[next(reversed(self._waiting_by_account[account]))]

    def would_precede(
        self, request: QueuedRequest, waiting_request: WaitingRequest
    ) -> bool:
        """Return whether a new request would go before a waiting one."""
        return self._start_tag(request.account) < waiting_request.start_tag

    def work_before_s(self, account: str, weight: float) -> float:
        """Return the short work that goes before a new request of an account.

        It is at most the account's own waiting work divided by the account's share
        of the class.
        """
        return self._work_before_tag_s(self._start_tag(account), weight)

    def wait_s(self, account: str, weight: float) -> float | None:
        """Return the wait of a new request at the measured rate, if known."""
        if self.rate is None:
            return None
        return self._wait_margin * self.work_before_s(account, weight) / self.rate

    def measure_rate(self, now: float) -> None:
        """Update the short work dispatched per second."""
        elapsed_s = now - self._period_start
        if elapsed_s < RATE_PERIOD_S:
            return
        rate = max(MIN_DISPATCH_RATE, self._dispatched_s / elapsed_s)
        self.rate = rate if self.rate is None else (self.rate + rate) / 2
        self._dispatched_s = 0.0
        self._period_start = now

    def is_expected_late(self, waiting_request: WaitingRequest, now: float) -> bool:
        """Return whether a short request misses its deadline at the measured rate."""
        if self.rate is None or waiting_request.is_long:
            return False
        request = waiting_request.request
        work_s = self._work_before_tag_s(waiting_request.start_tag, request.weight)
        # The request's own work is dispatched at that rate too: in a class that is
        # hardly served even the request at the head waits.
        wait_s = self._wait_margin * (work_s + request.expected_s) / self.rate
        return now + wait_s + request.expected_s > request.deadline

    def _work_before_tag_s(self, start_tag: float, weight: float) -> float:
        share_s = (
            (start_tag - self._virtual_time)
            * max(1, len(self._waiting_by_account))
            * weight
        )
        return min(self.short_work_s, share_s)

    def _start_tag(self, account: str) -> float:
        return max(self._virtual_time, self._finish_tags.get(account, 0.0))

    def _reset(self) -> None:
        """Clear the tags and accumulated rounding errors once nothing waits."""
        self.short_work_s = 0.0
        self.credit_s = 0.0
        self.rate = None
        self._dispatched_s = 0.0
        self._virtual_time = 0.0
        self._finish_tags.clear()
        self._heaps[0].clear()
        self._heaps[1].clear()
