"""The time that a request has left, and whether a stop of the process leaves it."""

from __future__ import annotations

__all__ = ["RequestTime"]

import asyncio

from .clock import boottime_s
from .exchange import CallerRequest
from .model import Route
from .shutdown_window import ShutdownWindow

DEFAULT_TIMEOUT_S = 30.0


class RequestTime:
    """The time of one request.

    It refers to no other part of the request's execution: what does hold its body, and
    would be freed by the garbage collector only.
    """

    def __init__(
        self, request: CallerRequest, route: Route, window: ShutdownWindow
    ) -> None:
        self._idempotent = route.idempotent
        self._window = window
        self._loop = asyncio.get_running_loop()
        timeout_s = request.timeout_s
        if timeout_s is None:
            timeout_s = DEFAULT_TIMEOUT_S
        self._deadline_s = request.received_s + min(timeout_s, route.timeout_s)
        # The loop's clock stops while the host is suspended, but the caller's does not.
        self._boot_deadline_s = boottime_s() + self._deadline_s - self._loop.time()

    def remaining_s(self) -> float:
        """Return the time until a response is due, or can't be sent any more."""
        return min(
            self.own_remaining_s(), self._window.last_response_s - self._loop.time()
        )

    def own_remaining_s(self) -> float:
        """Return the time until the caller or the operator gives the request up."""
        return min(
            self._deadline_s - self._loop.time(),
            self._boot_deadline_s - boottime_s(),
        )

    def is_admitted(self) -> bool:
        """Return whether a new request ends before a process that is to stop."""
        return self._window.admits(
            self._deadline_s, idempotent=self._idempotent, now_s=self._loop.time()
        )

    def admits_attempt(self, expected_s: float) -> bool:
        """Return whether an attempt ends before a process that is to stop.

        :param expected_s: expected latency of the server.
        """
        return self._window.admits_attempt(
            self._deadline_s,
            expected_s,
            idempotent=self._idempotent,
            now_s=self._loop.time(),
        )
