"""Router side of sending leases, for services whose servers check no grants.

Where the servers check no grants, exclusivity depends on the routers: a request is
sent only under a lease for the table version by which it was routed. The term of a
lease runs from a stamp of this process's own clock.
"""

from __future__ import annotations

__all__ = ["SendingLeases"]

import asyncio
import random
import time
from typing import NamedTuple

from mode import Service

from .codec import new_frame
from .errors import FrameError, PeerUnavailable
from .peers import PeerPool
from .routing import RoutingState
from .slices import SliceTable

RENEWAL_INTERVAL_S = 0.1
REQUEST_TIMEOUT_S = 0.3


class _Lease(NamedTuple):
    table_version: int
    end_ms: int


class SendingLeases(Service):
    """Renews the sending lease of each service with ``fencing = "router"``.

    :param pool: connections to control processes.
    :param routing: tables in force.
    """

    def __init__(self, pool: PeerPool, routing: RoutingState) -> None:
        super().__init__()
        self._pool = pool
        self._routing = routing
        self._leases: dict[str, _Lease] = {}
        self._answer_received = asyncio.Event()
        routing.add_table_listener(self._on_table)

    def allows(self, table: SliceTable) -> bool:
        """Return whether requests may be sent by ``table`` now."""
        if table.fencing != "router":
            return True
        lease = self._leases.get(table.service)
        return (
            lease is not None
            and lease.table_version == table.version
            and _clock_ms() < lease.end_ms
        )

    async def wait_for_renewal(self) -> None:
        """Wait for the next answer of a coordinator, granted or not."""
        await self._answer_received.wait()

    @Service.task
    async def _renew_leases(self) -> None:
        while not self.should_stop:
            await asyncio.gather(
                *(
                    self._renew_lease(table)
                    for table in [*self._routing.tables.values()]
                    if table.fencing == "router"
                )
            )
            await self.sleep(RENEWAL_INTERVAL_S * (0.75 + 0.5 * random.random()))

    def _on_table(self, table: SliceTable) -> None:
        # The coordinator waits until every router sends by the new version.
        if table.fencing == "router":
            self.add_future(self._renew_lease(table))

    async def _renew_lease(self, table: SliceTable) -> None:
        frame = new_frame()
        content = frame.body.init("lease")
        content.service, content.router = table.service, self._pool.own.process_id
        content.stampMs, content.tableVersion = _clock_ms(), table.version
        try:
            answer = await self._pool.request(
                table.coordinator, frame, REQUEST_TIMEOUT_S
            )
        except (PeerUnavailable, FrameError, ValueError):
            return
        leased = answer.body.leased
        if leased.granted and leased.tableVersion == table.version:
            self._extend(table, leased.stampMs + leased.termMs)
        self._answer_received.set()
        self._answer_received = asyncio.Event()

    def _extend(self, table: SliceTable, end_ms: int) -> None:
        known = self._leases.get(table.service)
        if known is not None and known.table_version == table.version:
            end_ms = max(end_ms, known.end_ms)
        self._leases[table.service] = _Lease(table.version, end_ms)


def _clock_ms() -> int:
    """Return a clock that keeps advancing while the process is frozen."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
