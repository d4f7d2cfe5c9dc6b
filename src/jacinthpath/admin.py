"""HTTP server for health, readiness, metrics and status of a process."""

from __future__ import annotations

__all__ = ["AdminServer"]

import json
from collections.abc import Callable
from typing import Any

from aiohttp import web

from .metrics import Metrics
from .peers import split_address


class AdminServer:
    """Serves ``/health``, ``/ready``, ``/metrics`` and ``/status``.

    :param unready_reason: returns why the load balancer should send no requests, or
        an empty string when it may.
    :param status: returns the content of ``/status`` as JSON values.
    """

    def __init__(
        self,
        address: str,
        metrics: Metrics,
        unready_reason: Callable[[], str],
        status: Callable[[], dict[str, Any]],
    ) -> None:
        self.address = address
        self._metrics = metrics
        self._unready_reason = unready_reason
        self._status = status
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Start listening; ``address`` then holds the actual port."""
        server = web.Server(self._handle, access_log=None)
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        site = web.TCPSite(self._runner, *split_address(self.address))
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        if request.path == "/health":
            return web.Response(text="ok\n")
        if request.path == "/ready":
            reason = self._unready_reason()
            return web.Response(
                status=503 if reason else 200, text=f"{reason or 'ready'}\n"
            )
        if request.path == "/metrics":
            return web.Response(body=self._metrics.render(), content_type="text/plain")
        if request.path == "/status":
            return web.Response(
                text=json.dumps(self._status()), content_type="application/json"
            )
        return web.Response(
            status=404, text="Use /health, /ready, /metrics or /status.\n"
        )
