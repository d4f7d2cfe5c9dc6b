"""Sending leases of an entry process, for servers that check no grants.

Where the servers do not check who gives them an order, exclusivity rests on the
routers: a request goes out only under a lease for the table version by which it
was routed. The term of a lease runs from a stamp of this process's own clock.
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

RENEWAL_S = 0.1
REQUEST_TIMEOUT_S = 0.3


class _Lease(NamedTuple):
    table_version: int
    end_ms: int


class SendingLeases(Service):
    """Keeps a lease for each service whose routers exclude each other.

    :param pool: connections to control processes.
    :param routing: tables in force.
    """

    def __init__(self, pool: PeerPool, routing: RoutingState) -> None:
        super().__init__()
        self._pool = pool
        self._routing = routing
        self._leases: dict[str, _Lease] = {}
        self._changed = asyncio.Event()
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
        """Return after the next answer of a coordinator."""
        await self._changed.wait()

    @Service.task
    async def _renew(self) -> None:
        while not self.should_stop:
            await asyncio.gather(
                *(
                    self._ask(table)
                    for table in [*self._routing.tables.values()]
                    if table.fencing == "router"
                )
            )
            await self.sleep(RENEWAL_S * (0.75 + 0.5 * random.random()))

    def _on_table(self, table: SliceTable) -> None:
        # The coordinator waits for every router to send by the new version.
        if table.fencing == "router":
            self.add_future(self._ask(table))

    async def _ask(self, table: SliceTable) -> None:
        frame = new_frame()
        content = frame.body.init("lease")
        content.service, content.router = table.service, self._pool.identity.process_id
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
        self._changed.set()
        self._changed = asyncio.Event()

    def _extend(self, table: SliceTable, end_ms: int) -> None:
        known = self._leases.get(table.service)
        if known is not None and known.table_version == table.version:
            end_ms = max(end_ms, known.end_ms)
        self._leases[table.service] = _Lease(table.version, end_ms)


def _clock_ms() -> int:
    """Return a clock that goes on while the process is frozen."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
