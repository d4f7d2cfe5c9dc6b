"""Waiting requests of one class, shared fairly between client accounts."""

from __future__ import annotations

__all__ = ["QueuedRequest", "RequestClass"]

import heapq
from typing import NamedTuple

# Period over which the dispatch rate of a class is measured, and the lowest
# rate that is believed, in seconds of work per second.
RATE_PERIOD_S = 0.5
MINIMUM_RATE = 0.05


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


class Waiting(NamedTuple):
    """A waiting request.

    :param start_tag: virtual time at which its account's share reaches it.
    """

    request: QueuedRequest
    is_long: bool
    offered: float
    start_tag: float


class RequestClass:
    """Waiting requests of one class, in two lanes by expected length.

    Accounts share the class by start-time fair queueing: a request is tagged
    with the virtual time at which its account's earlier work would be done if
    each account were served in proportion to its weight.

    The class also measures the rate at which its short work is dispatched while
    it waits. The rate shows what higher classes leave to it, which no count of
    slots tells. Estimating waits from arrival and departure rates in place of
    fixed thresholds follows the FEAT algorithm (Novak, Kasera, Stutsman, "Cloud
    Functions for Fast and Robust Resource Auto-Scaling").

    :param wait_margin: estimated waits count this many times.
    """

    def __init__(self, wait_margin: float = 1.0) -> None:
        self._wait_margin = wait_margin
        self.waiting: dict[int, Waiting] = {}
        self.short_work_s = 0.0
        self.credit_s = 0.0
        self.rate: float | None = None
        self._lanes: tuple[list, list] = ([], [])
        self._virtual = 0.0
        self._finish: dict[str, float] = {}
        self._accounts: dict[str, dict[int, None]] = {}
        self._served_s = 0.0
        self._measured_from = 0.0

    def add(self, request: QueuedRequest, is_long: bool, now: float) -> None:
        """Append a request to a lane."""
        if not self.waiting:
            self._measured_from = now
        account = request.account
        request_id = request.request_id
        tag = self._start_tag(account)
        self._finish[account] = tag + request.expected_s / request.weight
        self.waiting[request_id] = Waiting(request, is_long, now, tag)
        self._accounts.setdefault(account, {})[request_id] = None
        if not is_long:
            self.short_work_s += request.expected_s
        heapq.heappush(self._lanes[is_long], (tag, request_id))

    def head(self, is_long: bool) -> Waiting | None:
        """Return the next request of a lane."""
        lane = self._lanes[is_long]
        while lane:
            entry = self.waiting.get(lane[0][1])
            if entry is not None:
                return entry
            heapq.heappop(lane)
        return None

    def take(self, is_long: bool) -> QueuedRequest:
        """Remove and return the request that :meth:`head` returned."""
        tag, request_id = heapq.heappop(self._lanes[is_long])
        self._virtual = max(self._virtual, tag)
        request = self.remove(request_id)
        if not is_long:
            self._served_s += request.expected_s
        return request

    def remove(self, request_id: int) -> QueuedRequest:
        """Remove and return a request wherever it waits."""
        request, is_long, _, _ = self.waiting.pop(request_id)
        if not is_long:
            self.short_work_s -= request.expected_s
        own = self._accounts[request.account]
        del own[request_id]
        if not own:
            del self._accounts[request.account]
        if not self.waiting:
            self._reset()
        return request

    def newest(self) -> Waiting:
        """Return the request that was offered last."""
        return self.waiting[next(reversed(self.waiting))]

    def newest_of_largest(self) -> Waiting:
        """Return the newest request of the account furthest ahead of its share."""
        account = max(self._accounts, key=self._finish.__getitem__)
        return self.waiting[next(reversed(self._accounts[account]))]

    def is_behind(self, request: QueuedRequest, entry: Waiting) -> bool:
        """Return whether a new request would go before a waiting one."""
        return self._start_tag(request.account) < entry.start_tag

    def work_ahead_s(self, account: str, weight: float) -> float:
        """Return the short work that goes before a new request of an account.

        No more than the account's own backlog, stretched by its share, goes
        before it.
        """
        return self._work_until_s(self._start_tag(account), weight)

    def wait_s(self, account: str, weight: float) -> float | None:
        """Return the wait of a new request at the measured rate, if known."""
        if self.rate is None:
            return None
        return self._wait_margin * self.work_ahead_s(account, weight) / self.rate

    def measure_rate(self, now: float) -> None:
        """Update the short work dispatched per second."""
        elapsed_s = now - self._measured_from
        if elapsed_s < RATE_PERIOD_S:
            return
        rate = max(MINIMUM_RATE, self._served_s / elapsed_s)
        self.rate = rate if self.rate is None else (self.rate + rate) / 2
        self._served_s = 0.0
        self._measured_from = now

    def beyond_reach(self, entry: Waiting, now: float) -> bool:
        """Return whether a request cannot be reached by its deadline."""
        if self.rate is None or entry.is_long:
            return False
        request = entry.request
        work_s = self._work_until_s(entry.start_tag, request.weight)
        # The request itself leaves the queue at that rate too: in a class that
        # is hardly served even the request at the head waits.
        wait_s = self._wait_margin * (work_s + request.expected_s) / self.rate
        return now + wait_s + request.expected_s > request.deadline

    def _work_until_s(self, tag: float, weight: float) -> float:
        share_s = (tag - self._virtual) * max(1, len(self._accounts)) * weight
        return min(self.short_work_s, share_s)

    def _start_tag(self, account: str) -> float:
        return max(self._virtual, self._finish.get(account, 0.0))

    def _reset(self) -> None:
        """Forget tags and rounding errors while nothing waits."""
        self.short_work_s = 0.0
        self.credit_s = 0.0
        self.rate = None
        self._served_s = 0.0
        self._virtual = 0.0
        self._finish.clear()
        self._lanes[0].clear()
        self._lanes[1].clear()
