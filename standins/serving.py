"""Serves a stand-in's HTTP handler until SIGTERM or SIGINT."""

from __future__ import annotations

__all__ = ["serve"]

import asyncio
import signal
from collections.abc import Awaitable, Callable

from aiohttp import web


def serve(
    handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    address: str,
) -> None:
    """Serve ``handler`` on ``address`` (IP:port) and print the address in use."""
    asyncio.run(_serve(handler, address))


async def _serve(
    handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    address: str,
) -> None:
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop_requested.set)
    server = web.Server(handler, access_log=None, handler_cancellation=True)
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    print("listening address={}:{}".format(*runner.addresses[0][:2]), flush=True)
    await stop_requested.wait()
    await runner.cleanup()
