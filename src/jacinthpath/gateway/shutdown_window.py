"""What a process takes between the signal to stop and its end."""

from __future__ import annotations

__all__ = ["EXIT_MARGIN_S", "ShutdownWindow"]

import math
from collections.abc import Callable

EXIT_MARGIN_S = 0.5
"""Time before the end of the grace period at which unfinished requests are given up."""

RESPONSE_MARGIN_S = 0.1
"""Time that a response needs to be sent before its connection is closed."""

UNBOUNDED_SHARE = 0.5
"""Share of the grace period in which idempotent requests are taken whatever their
deadline: most end long before it, and a caller may repeat one that does not."""


SAFE_DURATIONS = 2.0
"""Nearly all requests take less than this many times the expected duration."""


class ShutdownWindow:
    """Time between the signal to stop and the end of the process, once it is open.

    A request that could outlast the process must be refused before it is sent to a
    server: afterwards its caller could not learn whether it was executed. All times are
    on the clock of the event loop.

    :ivar on_open: called when the window opens.
    """

    def __init__(self) -> None:
        self.is_open = False
        self.end_s = math.inf
        self.on_open: set[Callable[[], None]] = set()
        self._unbounded_until_s = math.inf

    def open(self, now_s: float, grace_s: float) -> None:
        """Record the signal to stop.

        :param grace_s: time after which the process is killed.
        """
        self.is_open = True
        self.end_s = now_s + grace_s - EXIT_MARGIN_S
        self._unbounded_until_s = now_s + UNBOUNDED_SHARE * grace_s
        for handle_open in [*self.on_open]:
            handle_open()

    @property
    def last_response_s(self) -> float:
        """Time until which a response can still be sent whole."""
        return self.end_s - RESPONSE_MARGIN_S

    def admits(self, deadline_s: float, *, idempotent: bool, now_s: float) -> bool:
        """Return whether a new request is taken.

        :param deadline_s: time at which the request has its response at the latest.
        """
        if not self.is_open:
            return True
        if deadline_s <= self.last_response_s:
            return True
        return idempotent and now_s <= self._unbounded_until_s

    def admits_attempt(
        self, deadline_s: float, expected_s: float, *, idempotent: bool, now_s: float
    ) -> bool:
        """Return whether a request that was taken may be sent to a server now.

        One that has waited is sent if it very likely ends in time, whatever its
        deadline: elsewhere it would have to wait again.

        :param expected_s: expected latency of the server.
        """
        if self.admits(deadline_s, idempotent=idempotent, now_s=now_s):
            return True
        return now_s + SAFE_DURATIONS * expected_s <= self.last_response_s
