"""Runs a service on one event loop until a signal ends it."""

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
        """Finish the work in hand; return what could not be finished."""

    async def stop(self) -> None:
        """Stop the service and release what it holds."""


def run_daemon(service: Drainable) -> int:
    """Run ``service`` until SIGTERM or SIGINT; return the exit status.

    The first signal drains, a second one cuts the draining short.

    :return: 0 after a complete drain, 1 when work was lost.
    """
    return asyncio.run(_run(service))


async def _run(service: Drainable) -> int:
    loop = asyncio.get_running_loop()
    signals: asyncio.Queue[int] = asyncio.Queue()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.put_nowait, number)
    reload = getattr(service, "reload", None)
    if reload is not None:
        loop.add_signal_handler(signal.SIGHUP, reload)
    await service.start()
    await signals.get()
    draining = asyncio.create_task(service.drain())
    second = asyncio.create_task(signals.get())
    await asyncio.wait({draining, second}, return_when=asyncio.FIRST_COMPLETED)
    second.cancel()
    if draining.done():
        lost = draining.result()
    else:
        draining.cancel()
        lost = 1
        _log.warning("draining_cut_short")
    await service.stop()
    _log.info("stopped", work_lost=bool(lost))
    return 1 if lost else 0
