"""Runs a service on an event loop until a signal stops it."""

from __future__ import annotations

__all__ = ["Drainable", "run_daemon"]

import asyncio
import signal
from typing import Protocol

from .logs import get_logger

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

_log = get_logger()


class Drainable(Protocol):
    """A service that can finish its work before it stops."""

    async def start(self) -> None:
        """Start the service."""

    async def wait(self) -> object:
        """Wait until the service stops or has crashed."""

    async def drain(self) -> int:
        """Finish the work in progress; return how much could not be finished."""

    async def stop(self) -> None:
        """Stop the service and release its resources."""


def run_daemon(service: Drainable) -> int:
    """Run ``service`` until SIGTERM or SIGINT; return the exit status.

    The first signal starts the drain. Another SIGTERM changes nothing, since whatever
    sends signals may repeat them; SIGINT, from a terminal, cancels the drain. A service
    that has crashed is drained too: a process whose loops have ended recovers only by a
    restart.

    :return: 0 after a complete drain, 1 when work was lost or the service had crashed.
    """
    return asyncio.run(_run_until_exit(service))


async def _run_until_exit(service: Drainable) -> int:
    """Run ``service``; block signals from its end on.

    The event loop restores their default actions when it closes, and a signal that is
    repeated then would decide on the exit status.
    """
    status = await _run(service)
    signal.pthread_sigmask(signal.SIG_BLOCK, {*STOP_SIGNALS, signal.SIGHUP})
    return status


async def _run(service: Drainable) -> int:
    loop = asyncio.get_running_loop()
    signals: asyncio.Queue[int] = asyncio.Queue()
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, signals.put_nowait, signal_number)
    reload = getattr(service, "reload", None)
    if reload is not None:
        loop.add_signal_handler(signal.SIGHUP, reload)
    await service.start()
    crashed = await _wait_for_end(service, signals)
    draining = asyncio.create_task(service.drain())
    interrupted = asyncio.create_task(_wait_for_interrupt(signals))
    await asyncio.wait({draining, interrupted}, return_when=asyncio.FIRST_COMPLETED)
    interrupted.cancel()
    if draining.done():
        unfinished = _result_of(draining)
    else:
        draining.cancel()
        unfinished = 1
        _log.warning("draining_cut_short")
    await service.stop()
    _log.info("stopped", work_lost=bool(unfinished))
    return 1 if unfinished or crashed else 0


async def _wait_for_interrupt(signals: asyncio.Queue[int]) -> None:
    """Wait for SIGINT; log other signals, which change nothing during a drain."""
    while (signal_number := await signals.get()) != signal.SIGINT:
        _log.info("signal_repeated", signal=signal.Signals(signal_number).name)


def _result_of(draining: asyncio.Task[int]) -> int:
    """Return how much was not finished; a drain that failed must not keep the end."""
    if draining.exception() is None:
        return draining.result()
    _log.error("drain_failed", error=repr(draining.exception()))
    return 1


async def _wait_for_end(service: Drainable, signals: asyncio.Queue[int]) -> bool:
    """Wait for a signal or a crash of the service; return whether it has crashed."""
    signalled = asyncio.create_task(signals.get())
    crashed = asyncio.create_task(service.wait())
    await asyncio.wait({signalled, crashed}, return_when=asyncio.FIRST_COMPLETED)
    for waiting in (signalled, crashed):
        waiting.cancel()
    if signalled.done() and not signalled.cancelled():
        return False
    _log.error("crashed", remedy="See the log before this line, and report it.")
    return True
