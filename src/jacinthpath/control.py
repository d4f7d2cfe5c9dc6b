"""Control process: gossip, coordination and request records of one host."""

from __future__ import annotations

__all__ = ["ControlService"]

import asyncio
import json
from typing import Any

from mode import Service

from .admin import AdminServer
from .codec import new_frame
from .coordinator_service import CoordinatorService
from .endpoints import EndpointClient
from .gossip_service import GossipService
from .hosts import HttpHostList
from .logs import get_logger
from .metrics import Metrics
from .peers import Handler, PeerConnection, PeerPool, PeerServer
from .record_service import RecordService
from .settings import ControlSettings
from .store import HttpKeyValueStore

_log = get_logger()


class ControlService(Service):
    """Service of a control process.

    Its components are created by :func:`jacinthpath.composition.build_control`.
    """

    def __init__(
        self,
        settings: ControlSettings,
        store: HttpKeyValueStore,
        host_list: HttpHostList,
        peer_server: PeerServer,
        pool: PeerPool,
        gossip: GossipService,
        coordinators: CoordinatorService,
        records: RecordService,
        endpoints: EndpointClient,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.draining = False
        self._store = store
        self._host_list = host_list
        self._peer_server = peer_server
        self._pool = pool
        self._gossip = gossip
        self._coordinators = coordinators
        self._records = records
        self._endpoints = endpoints
        self._admin = AdminServer(
            settings.listen.admin_address, metrics, self.unready_reason, self.status
        )

    def handlers(self) -> dict[str, Handler]:
        """Return the handlers of frames that concern the process as a whole."""
        return {"status": self._handle_status}

    async def on_start(self) -> None:
        """Start the components; start gossip, records and coordination last."""
        await self._store.start()
        await self._host_list.start()
        await self._endpoints.start()
        await self._admin.start()
        await self._peer_server.start()
        self._coordinators.control_address = self._peer_server.address
        self._records.set_address(self._peer_server.address)
        await self.add_runtime_dependency(self._gossip)
        await self.add_runtime_dependency(self._records)
        await self.add_runtime_dependency(self._coordinators)
        _log.info(
            "listening",
            role="control",
            peer_address=self._peer_server.address,
            admin_address=self._admin.address,
        )

    async def drain(self) -> int:
        """Announce that this host is leaving and release its coordinator roles.

        :return: 1 when the roles were not released within the shutdown limit, else 0.
        """
        self.draining = True
        self._gossip.node.leaving = True
        try:
            async with asyncio.timeout(self.settings.shutdown_limit_s):
                await self._coordinators.release_roles()
        except TimeoutError:
            _log.warning("roles_not_released")
            return 1
        return 0

    async def on_stop(self) -> None:
        """Close the components in reverse order."""
        await self._peer_server.close()
        await self._pool.close()
        await self._admin.close()
        await self._endpoints.close()
        await self._host_list.close()
        await self._store.close()

    def unready_reason(self) -> str:
        """Return why this process is not ready, or an empty string."""
        return "draining" if self.draining else self._gossip.unready_reason()

    def status(self) -> dict[str, Any]:
        """Return the status of this process, as shown by ``/status``."""
        return {
            "host": self.settings.process.host,
            "data_centre": self.settings.process.data_centre,
            "role": "control",
            **self._gossip.status(),
            "coordinates": sorted(self._coordinators.epochs_by_service),
            "records": self._records.status(),
            "unready_reason": self.unready_reason(),
        }

    async def _handle_status(self, connection: PeerConnection, frame: Any) -> Any:
        response = new_frame()
        response.body.statusAnswer = json.dumps(self.status())
        return response
