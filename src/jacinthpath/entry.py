"""Entry process: accepts HTTP requests of callers and forwards them to endpoints."""

from __future__ import annotations

__all__ = ["EntryService"]

import asyncio
from typing import Any

from aiohttp import web
from mode import Service

from .admin import AdminServer
from .dispatch import Dispatcher
from .endpoints import EndpointClient
from .forwarding import Forwarder
from .gateway.shutdown_window import EXIT_MARGIN_S
from .load_reports import LoadReporter
from .logs import get_logger
from .metrics import Metrics
from .peers import split_address
from .record_client import HolderClient
from .routing import RoutingState
from .sending_leases import SendingLeases
from .settings import EntrySettings
from .subscription import Subscription
from .tracing import Tracer

LISTENER_CLOSE_DELAY_S = 2.0
"""Longest delay between becoming unready and closing the listener. In this time the
load balancer notices, and callers on keep-alive connections are told to close them."""

_log = get_logger()


class EntryService(Service):
    """Service of an entry process.

    Its components are created by :func:`jacinthpath.composition.build_entry`.
    """

    def __init__(
        self,
        settings: EntrySettings,
        routing: RoutingState,
        subscription: Subscription,
        reporter: LoadReporter,
        endpoints: EndpointClient,
        leases: SendingLeases,
        dispatcher: Dispatcher,
        records: HolderClient,
        forwarder: Forwarder,
        metrics: Metrics,
        tracer: Tracer,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.callers_address = settings.listen.callers_address
        self.draining = False
        self._routing = routing
        self._subscription = subscription
        self._reporter = reporter
        self._endpoints = endpoints
        self._leases = leases
        self._dispatcher = dispatcher
        self._records = records
        self._forwarder = forwarder
        self._metrics = metrics
        self._tracer = tracer
        self._admin = AdminServer(
            settings.listen.admin_address, metrics, self.unready_reason, self.status
        )
        self._runner: web.ServerRunner | None = None
        self._site: web.TCPSite | None = None

    async def on_start(self) -> None:
        """Start the components; listen for callers last."""
        await self._endpoints.start()
        self._dispatcher.start()
        await self.add_runtime_dependency(self._subscription)
        await self.add_runtime_dependency(self._leases)
        await self.add_runtime_dependency(self._reporter)
        await self._admin.start()
        await self._listen()
        _log.info(
            "listening",
            role="entry",
            callers_address=self.callers_address,
            admin_address=self._admin.address,
        )

    async def drain(self) -> int:
        """Become unready, stop listening and finish the requests in flight.

        :return: number of requests still in flight at the shutdown limit.
        """
        self.draining = True
        limit_s = self.settings.limits.shutdown_limit_s
        _log.info("draining", in_flight=self._forwarder.in_flight)
        loop = asyncio.get_running_loop()
        window = self._forwarder.shutdown_window
        window.open(loop.time(), limit_s + EXIT_MARGIN_S)
        await asyncio.sleep(min(LISTENER_CLOSE_DELAY_S, limit_s / 2))
        await self._site.stop()
        try:
            async with asyncio.timeout_at(window.end_s):
                while self._forwarder.in_flight:
                    await asyncio.sleep(0.01)
                await self._forwarder.drain()
        except TimeoutError:
            pass
        return self._forwarder.in_flight

    async def on_stop(self) -> None:
        """Close the components in reverse order."""
        if self._forwarder.in_flight:
            _log.warning("requests_cut_off", in_flight=self._forwarder.in_flight)
        if self._runner is not None:
            await self._runner.cleanup()
        await self._admin.close()
        self._dispatcher.close()
        await self._records.close()
        await self._endpoints.close()
        self._tracer.close()

    def unready_reason(self) -> str:
        """Return why the load balancer should send no requests, or an empty string."""
        if self.draining:
            return "draining"
        if self._routing.configuration is None:
            return "no-configuration"
        if not self._subscription.connected_address:
            return "no-control-process"
        if self._subscription.may_be_stale(self.settings.staleness_limit_s):
            return "configuration-may-be-stale"
        return ""

    def status(self) -> dict[str, Any]:
        """Return the status of this process, as shown by ``/status``."""
        return {
            "host": self.settings.process.host,
            "data_centre": self.settings.process.data_centre,
            "role": "entry",
            "versions": self._routing.versions(),
            "in_flight": self._forwarder.in_flight,
            "unready_reason": self.unready_reason(),
        }

    async def _listen(self) -> None:
        limits = self.settings.limits
        server = web.Server(
            self._handle,
            access_log=None,
            handler_cancellation=True,
            auto_decompress=False,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
        )
        # drain() awaits the requests in flight; those left after it are cut off.
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        host, port = split_address(self.callers_address)
        self._site = web.TCPSite(self._runner, host, port, backlog=1024)
        await self._site.start()
        self.callers_address = "{}:{}".format(*self._runner.addresses[0][:2])

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        response = await self._forwarder.handle(request)
        if self.draining:
            response.force_close()
        return response
