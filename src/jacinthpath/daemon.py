"""Runs a service on an event loop until a signal stops it."""

from __future__ import annotations

__all__ = ["Drainable", "run_daemon"]

import asyncio
import signal
from typing import Protocol

from .logs import get_logger

_log = get_logger()


class Drainable(Protocol):
    """A service that can finish its work before it stops."""

    async def start(self) -> None:
        """Start the service."""

    async def drain(self) -> int:
        """Finish the work in progress; return how much could not be finished."""

    async def stop(self) -> None:
        """Stop the service and release its resources."""


def run_daemon(service: Drainable) -> int:
    """Run ``service`` until SIGTERM or SIGINT; return the exit status.

    The first signal starts the drain; a second one cancels it.

    :return: 0 after a complete drain, 1 when work was lost.
    """
    return asyncio.run(_run(service))


async def _run(service: Drainable) -> int:
    loop = asyncio.get_running_loop()
    signals: asyncio.Queue[int] = asyncio.Queue()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, signals.put_nowait, signal_number)
    reload = getattr(service, "reload", None)
    if reload is not None:
        loop.add_signal_handler(signal.SIGHUP, reload)
    await service.start()
    await signals.get()
    draining = asyncio.create_task(service.drain())
    second_signal = asyncio.create_task(signals.get())
    await asyncio.wait({draining, second_signal}, return_when=asyncio.FIRST_COMPLETED)
    second_signal.cancel()
    if draining.done():
        unfinished = draining.result()
    else:
        draining.cancel()
        unfinished = 1
        _log.warning("draining_cut_short")
    await service.stop()
    _log.info("stopped", work_lost=bool(unfinished))
    return 1 if unfinished else 0
