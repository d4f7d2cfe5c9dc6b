"""How late the event loop learns what has arrived at its sockets.

In each pass the loop asks the kernel which sockets are ready, and then runs every
callback that is due. What arrives meanwhile is seen by the next pass. So after a long
pass, or after the process stood still, requests look younger than they are, and callers
that have left look present.
"""

from __future__ import annotations

__all__ = ["LATE_S", "MAX_DELAY_S", "LoopDelay", "loop_delay_of"]

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple
from weakref import WeakKeyDictionary

from .clock import boottime_s

LATE_S = 0.1
"""Time after which a pass, or what it reads, counts as late."""

TICK_S = 0.1
"""The loop asks the kernel at least this often, so that a longer wait shows that the
process stood still."""

TIMER_SLACK_S = 0.05
"""A wait that ends this long after its time is not late yet."""

INSTANT_S = 0.01
"""A call that returns faster may have found sockets that were ready before it."""

MAX_DELAY_S = 0.2
"""After a longer delay, a timeout of the process says nothing about the other end."""

REMEMBERED_PASSES = 6
"""Passes from reading a request, a frame or a signal until a task handles it, at most,
and the one in which it was read."""


class LatePass(NamedTuple):
    """One late pass, for the log.

    :param ran_s: how long its callbacks ran.
    :param waited_s: how long the call to the kernel before it took.
    :param sockets: sockets that were ready when it began.
    """

    ran_s: float
    waited_s: float
    sockets: int


class LoopDelay:
    """Follows the passes of one event loop.

    :param clock: boot clock, which goes on while the host is suspended.
    :ivar polled_s: when the kernel was last asked.
    :ivar passes: number of passes so far.
    :ivar on_late: called at the end of each late pass.
    """

    def __init__(self, clock: Callable[[], float] = boottime_s) -> None:
        self.polled_s = clock()
        self.passes = 0
        self.on_late: list[Callable[[LatePass], None]] = []
        self._clock = clock
        self._waited_s = 0.0
        self._delayed_until_s = float("-inf")
        self._sockets = 0
        self._earliest_s = deque([self.polled_s], REMEMBERED_PASSES)

    def poll(self, select: Callable[[float | None], Any], timeout_s: Any = None) -> Any:
        """Ask the kernel which sockets are ready; stands in for the selector's method.

        :param select: asks the kernel.
        :param timeout_s: longest wait; ``None`` waits until a socket is ready.
        """
        entered_s = self._clock()
        ran_s = entered_s - self.polled_s
        if ran_s > LATE_S or self._waited_s > TICK_S + TIMER_SLACK_S:
            late = LatePass(ran_s, self._waited_s, self._sockets)
            for handle in self.on_late:
                handle(late)
        ready = select(timeout_s)
        now_s = self._clock()
        waited_s = now_s - entered_s
        if waited_s < INSTANT_S:
            earliest_s = self.polled_s
        elif waited_s > TICK_S + TIMER_SLACK_S:
            earliest_s = entered_s
        else:
            earliest_s = now_s - INSTANT_S
        self._earliest_s.append(earliest_s)
        if ran_s > MAX_DELAY_S or waited_s > MAX_DELAY_S:
            self._delayed_until_s = now_s
        self.polled_s, self._waited_s = now_s, waited_s
        self._sockets = len(ready)
        self.passes += 1
        return ready

    def earliest_arrival_s(self, passes: int = 0) -> float:
        """Return since when bytes that were read may have waited, on the boot clock.

        :param passes: how many passes ago they were read, 0 for the current one.
        """
        index = max(0, len(self._earliest_s) - 1 - passes)
        return self._earliest_s[index]

    def was_delayed_since(self, since_s: float) -> bool:
        """Return whether the loop was too late since then to judge a missing response.

        :param since_s: time on the boot clock.
        """
        return self._delayed_until_s >= since_s or self.since_poll_s() > MAX_DELAY_S

    def since_poll_s(self) -> float:
        """Return how long ago the kernel was asked."""
        return self._clock() - self.polled_s

    async def run_ticks(self) -> None:
        """Have the loop ask the kernel every :data:`TICK_S`, until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)


_delays: WeakKeyDictionary[asyncio.AbstractEventLoop, LoopDelay] = WeakKeyDictionary()


def loop_delay_of(loop: asyncio.AbstractEventLoop) -> LoopDelay:
    """Return the delay of a loop, which is followed from the first call on."""
    delay = _delays.get(loop)
    if delay is None:
        delay = _delays[loop] = LoopDelay()
        selector = loop._selector
        selector.select = partial(delay.poll, selector.select)
    return delay
