"""Waits for a limited time."""

from __future__ import annotations

__all__ = ["ShutdownTimeout", "wait_for_event"]

import asyncio
import math

from .shutdown_window import ShutdownWindow


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> bool:
    """Wait until ``event`` is set, for at most ``timeout_s``.

    :return: whether it is set.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await event.wait()
    except TimeoutError:
        return False


class ShutdownTimeout:
    """Ends what is done for a request in time to respond before the process ends.

    An asynchronous context manager like :func:`asyncio.timeout_at`, whose end moves
    forward when the shutdown window opens.

    :param end_s: loop time of its own end.
    """

    def __init__(self, window: ShutdownWindow, end_s: float = math.inf) -> None:
        self._window = window
        self._end_s = end_s
        self._timeout = asyncio.timeout_at(self._when())

    async def __aenter__(self) -> ShutdownTimeout:
        """Begin the time."""
        await self._timeout.__aenter__()
        self._window.on_open.add(self._handle_open)
        return self

    async def __aexit__(self, *details: object) -> bool | None:
        """Raise :class:`TimeoutError` if the time has ended."""
        self._window.on_open.discard(self._handle_open)
        return await self._timeout.__aexit__(*details)

    def expired(self) -> bool:
        """Return whether the time has ended."""
        return self._timeout.expired()

    def end_now(self) -> None:
        """End the time unless it has ended."""
        if not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())

    def _handle_open(self) -> None:
        if not self._timeout.expired():
            self._timeout.reschedule(self._when())

    def _when(self) -> float | None:
        end_s = min(self._end_s, self._window.last_response_s)
        return None if end_s == math.inf else end_s
