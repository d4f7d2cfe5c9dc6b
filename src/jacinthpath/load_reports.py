"""Load reports that entry processes send to the coordinators of keyed services."""

from __future__ import annotations

__all__ = ["LoadReporter", "read_report", "write_report"]

import asyncio
import contextlib
import random
from typing import Any

from mode import Service

from .codec import new_frame
from .errors import FrameError, PeerUnavailable
from .hotkeys import (
    REPORTED_KEYS,
    HotKeySketch,
    KeyLoad,
    LoadReport,
    SliceLoads,
    report_interval_s,
)
from .peers import PeerPool
from .routing import RoutingState

# Applies to the connection and to the answer separately. A coordinator that does not
# answer delays the next reports of all services by up to twice this, which makes their
# windows longer.
SEND_TIMEOUT_S = 0.5

_MAX_COUNT = 2**32 - 1


class _ServiceLoad:
    """Counts the requests of one service since its last report."""

    def __init__(self, slice_count: int, now: float) -> None:
        self.slice_count = slice_count
        self.sketch = HotKeySketch()
        self.slices = SliceLoads(slice_count)
        self._window_start = now

    def collect_report(self, router: str, now: float) -> LoadReport:
        """Return the requests since the last call; start a new window."""
        window_s = now - self._window_start
        self._window_start = now
        return LoadReport(
            router, window_s, self.slices.collect(), self.sketch.collect(now)
        )


class LoadReporter(Service):
    """Counts keyed requests and reports them to the coordinator of each service.

    A report that cannot be delivered is dropped: the coordinator plans with a load
    window of a few seconds, so a late report would be out of date.

    :param pool: connections to control processes.
    :param routing: slice tables in force, which name the coordinators.
    :param host_count: number of hosts that report; the interval increases with it.
    """

    def __init__(
        self,
        pool: PeerPool,
        routing: RoutingState,
        host_count: int,
        randomness: random.Random | None = None,
    ) -> None:
        super().__init__()
        self._pool = pool
        self._routing = routing
        self._interval_s = report_interval_s(host_count)
        self._random = randomness or random.Random()
        self._loads: dict[str, _ServiceLoad] = {}

    def observe(self, service: str, key_hash: int, slice_count: int) -> None:
        """Count one request.

        :param slice_count: number of slices in the service's table.
        """
        load = self._loads.get(service)
        if load is None or load.slice_count != slice_count:
            now = asyncio.get_running_loop().time()
            load = self._loads[service] = _ServiceLoad(slice_count, now)
        load.sketch.record(key_hash)
        load.slices.record(key_hash)

    async def report(self) -> None:
        """Send one report per service, with the requests since the last call.

        Counts of services that no longer have a table are dropped.
        """
        now = asyncio.get_running_loop().time()
        tables = self._routing.tables
        self._loads = {n: load for n, load in self._loads.items() if n in tables}
        reports = {
            n: load.collect_report(self._router, now) for n, load in self._loads.items()
        }
        await asyncio.gather(
            *(
                self._send(tables[service].coordinator, service, report)
                for service, report in reports.items()
                if tables[service].coordinator and any(report.slice_loads)
            )
        )

    @property
    def _router(self) -> str:
        return self._pool.identity.process_id

    @Service.task
    async def _report_periodically(self) -> None:
        while not self.should_stop:
            # Jitter spreads the reports of hosts that started at the same time.
            await self.sleep(self._interval_s * (0.8 + 0.4 * self._random.random()))
            await self.report()

    async def _send(self, address: str, service: str, report: LoadReport) -> None:
        frame = new_frame()
        write_report(frame.body.init("report"), service, report)
        # Waits for the answer, so that at most one report is in flight per service.
        with contextlib.suppress(PeerUnavailable, FrameError, ValueError):
            await self._pool.request(address, frame, SEND_TIMEOUT_S)


def write_report(content: Any, service: str, report: LoadReport) -> None:
    """Write a report into the ``report`` member of a frame."""
    content.service, content.router = service, report.router
    content.windowMs = min(round(report.window_s * 1000), _MAX_COUNT)
    content.sliceCounts = [min(count, _MAX_COUNT) for count in report.slice_loads]
    hot_keys = content.init("hotKeys", len(report.hot_keys))
    for entry, load in zip(hot_keys, report.hot_keys, strict=True):
        entry.keyHash, entry.requests, entry.error = load


def read_report(content: Any, slice_count: int) -> LoadReport:
    """Return the report in the ``report`` member of a frame.

    :param slice_count: number of slices in the table in force.
    :raises FrameError: the report is out of bounds.
    """
    if len(content.sliceCounts) != slice_count:
        raise FrameError(
            f"The load report counts {len(content.sliceCounts)} slices, but the table "
            f"in force has {slice_count}.",
            "No action is needed if the slice count has just changed.",
        )
    if len(content.hotKeys) > REPORTED_KEYS:
        raise FrameError(
            f"The load report lists {len(content.hotKeys)} keys; "
            f"at most {REPORTED_KEYS} are allowed.",
            "Check the sender's software version.",
        )
    return LoadReport(
        content.router,
        content.windowMs / 1000,
        [*content.sliceCounts],
        tuple(KeyLoad(k.keyHash, k.requests, k.error) for k in content.hotKeys),
    )
