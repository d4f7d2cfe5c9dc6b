"""Waits for an event for a limited time."""

from __future__ import annotations

__all__ = ["wait_for_event"]

import asyncio


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> bool:
    """Wait until ``event`` is set, for at most ``timeout_s``.

    :return: whether it is set.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await event.wait()
    except TimeoutError:
        return False
