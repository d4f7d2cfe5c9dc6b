"""Runs the loops and tasks of a process, and restarts a loop after an exception."""

from __future__ import annotations

__all__ = ["LoopSupervisor"]

import asyncio
import traceback
from collections.abc import Awaitable, Callable, Coroutine
from random import Random
from typing import Any

from ..metrics import Metrics
from .clock import boottime_s
from .events import EventLog

INITIAL_RESTART_DELAY_S = 0.1
"""Delay before a loop is started again; doubles with each failure in a row."""

MAX_DOUBLINGS = 10
MAX_RESTART_DELAY_S = 3.0
RECOVERED_AFTER_S = 5.0
"""A loop that has run for this long since its last failure has recovered."""

FAILING_AFTER = 3
"""Failures in a row after which a loop counts as failing."""

MAX_TRACEBACK_CHARS = 1_500


class _Failures:
    """Failures of one loop since it last ran well."""

    def __init__(self) -> None:
        self.in_a_row = 0
        self.last_s = float("-inf")


class LoopSupervisor:
    """Restarts a loop that has raised an exception, after a delay.

    Without it, ``mode`` marks all services of the process as crashed when one loop
    raises, and all other loops end too.

    :param clock: boot clock.
    """

    def __init__(
        self,
        metrics: Metrics,
        events: EventLog,
        random: Random,
        clock: Callable[[], float] = boottime_s,
    ) -> None:
        self._metrics = metrics
        self._events = events
        self._random = random
        self._clock = clock
        self._failures: dict[str, _Failures] = {}

    async def run(self, name: str, loop: Callable[[], Awaitable[None]]) -> None:
        """Run a loop until it returns or is cancelled.

        :param name: name of the loop in logs and metrics, unique in the process.
        :param loop: returns when its service stops.
        """
        while True:
            try:
                await loop()
                return
            except Exception as error:
                delay_s = self._record_failure(name, error)
            await asyncio.sleep(delay_s * (0.5 + self._random.random()))

    def start_task(
        self, name: str, coroutine: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        """Run a coroutine as a task; an exception is logged and ends the task alone."""
        return asyncio.create_task(self._contain(name, coroutine))

    def is_failing(self, name: str) -> bool:
        """Return whether a loop keeps failing."""
        failures = self._failures.get(name)
        return (
            failures is not None
            and failures.in_a_row >= FAILING_AFTER
            and self._clock() - failures.last_s < RECOVERED_AFTER_S
        )

    def failing(self) -> list[str]:
        """Return the names of the loops that keep failing."""
        return [name for name in self._failures if self.is_failing(name)]

    def record_error(self, name: str, error: BaseException) -> None:
        """Log and count an exception that nothing else handles."""
        self._metrics.count("unexpected_errors_total", where=name)
        lines = traceback.format_exception(error, limit=-8)
        self._events.log_process_event(
            "unexpected_error",
            where=name,
            error=type(error).__name__,
            traceback="".join(lines)[-MAX_TRACEBACK_CHARS:],
        )

    def handle_loop_error(
        self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Log an exception of a callback or of a task that nobody waits for."""
        error = context.get("exception")
        if error is None:
            self._events.log_process_event(
                "event_loop_warning", message=context.get("message", "")
            )
        else:
            self.record_error("event-loop", error)

    async def _contain(self, name: str, coroutine: Coroutine[Any, Any, None]) -> None:
        try:
            await coroutine
        except Exception as error:
            self.record_error(name, error)

    def _record_failure(self, name: str, error: Exception) -> float:
        """Record a failure; return the delay before the loop is started again."""
        failures = self._failures.setdefault(name, _Failures())
        now_s = self._clock()
        if now_s - failures.last_s > RECOVERED_AFTER_S:
            failures.in_a_row = 0
        failures.in_a_row += 1
        failures.last_s = now_s
        self.record_error(name, error)
        doublings = min(failures.in_a_row - 1, MAX_DOUBLINGS)
        return min(MAX_RESTART_DELAY_S, INITIAL_RESTART_DELAY_S * 2**doublings)
