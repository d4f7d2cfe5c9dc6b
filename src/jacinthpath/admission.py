"""Admission control: coroutines that wait in a request queue for a slot."""

from __future__ import annotations

__all__ = ["AdmissionController"]

import asyncio
import random
from collections.abc import Callable

from .errors import NotRun
from .metrics import Metrics
from .retries import retry_after_s
from .scheduling import QUEUED, REFUSED, QueuedRequest, RequestQueue

MIN_CHECK_INTERVAL_S = 0.005
"""Shortest time between two timed checks of the waiting requests."""


class AdmissionController:
    """Admits requests to one service, or to one server of a keyed service.

    :param service: service, for errors and metrics.
    :param queue: decides which request goes next.
    :param adjust: updates the queue with measurements of the endpoints.
    """

    def __init__(
        self,
        service: str,
        queue: RequestQueue,
        adjust: Callable[[float], None],
        metrics: Metrics,
        randomness: random.Random,
    ) -> None:
        self.service = service
        self.queue = queue
        self._adjust = adjust
        self._metrics = metrics
        self._random = randomness
        self._waiters: dict[int, asyncio.Future[None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def acquire(self, request: QueuedRequest) -> None:
        """Return when the request holds a slot; :meth:`release` frees it.

        :raises NotRun: the request cannot end before its deadline, or was shed.
        """
        loop = asyncio.get_running_loop()
        admission = self.queue.offer(request, loop.time())
        for shed in admission.shed:
            self._reject(shed, "shed", admission.wait_s)
        if admission.decision == REFUSED:
            raise self._not_run_error(admission.reason, admission.wait_s)
        if admission.decision == QUEUED:
            await self._wait(request, loop)

    def release(self, request_id: int) -> None:
        """Free the slot of a request and start the next requests."""
        self.queue.release(request_id)
        self.dispatch()

    def dispatch(self) -> None:
        """Start as many waiting requests as there are free slots."""
        if not self._waiters:
            return
        now = asyncio.get_running_loop().time()
        while (request := self.queue.next(now)) is not None:
            waiter = self._waiters.pop(request.request_id, None)
            if waiter is None or waiter.done():
                self.queue.release(request.request_id)
            else:
                waiter.set_result(None)
        self._expire()

    async def _wait(
        self, request: QueuedRequest, loop: asyncio.AbstractEventLoop
    ) -> None:
        waiter = loop.create_future()
        self._waiters[request.request_id] = waiter
        self._schedule_check()
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.release(request.request_id)
            else:
                self._waiters.pop(request.request_id, None)
                self.queue.cancel(request.request_id)
            raise

    def _expire(self) -> None:
        now = asyncio.get_running_loop().time()
        for request in self.queue.expire(now):
            self._reject(request, "deadline", self.queue.estimate_wait_s(request))
        self._schedule_check()

    def _schedule_check(self) -> None:
        if not self._waiters:
            return
        loop = asyncio.get_running_loop()
        now = loop.time()
        due = self.queue.next_wakeup(now)
        if due is None:
            return
        check_at = max(due, now) + MIN_CHECK_INTERVAL_S
        if self._timer is not None:
            if now < self._timer.when() <= check_at:
                return
            self._timer.cancel()
        self._timer = loop.call_at(check_at, self._check)

    def _check(self) -> None:
        self._timer = None
        self._adjust(asyncio.get_running_loop().time())
        self.dispatch()

    def _reject(self, request: QueuedRequest, reason: str, wait_s: float) -> None:
        waiter = self._waiters.pop(request.request_id, None)
        if waiter is not None and not waiter.done():
            waiter.set_exception(self._not_run_error(reason, wait_s))

    def _not_run_error(self, reason: str, wait_s: float) -> NotRun:
        self._metrics.count(
            "requests_not_admitted_total", service=self.service, reason=reason
        )
        return NotRun(
            f"{self.service} cannot finish the request in time.",
            "Retry the request later.",
            retry_after_s=retry_after_s(wait_s, self._random),
            kind=f"overloaded-{reason}",
        )
