"""Routers, load reports and a planner in simulated time, for the placement measures.

The planner gets only the reports of the routers, which arrive with a delay, and its
moves also take effect after a delay.
"""

from __future__ import annotations

from collections import deque

from jacinthpath.hotkeys import HotKeySketch, LoadReport, SliceLoads
from jacinthpath.placement import (
    Placement,
    Plan,
    ServerState,
    apply_plan,
    initial_owners,
)
from jacinthpath.slices import SliceTable

SERVERS = tuple(f"server-{number}" for number in range(10))
ROUTERS = 10
SLICES = 1024

TICK_S = 0.25
REPORT_TICKS = 4
REPORT_DELAY_TICKS = 1
MOVE_TICKS = 1


class Router:
    """Load counters of one entry process."""

    def __init__(self, number: int) -> None:
        self.name = f"router-{number}"
        self.sketch = HotKeySketch()
        self.slices = SliceLoads(SLICES)

    def collect_report(self, now: float) -> LoadReport:
        """Return the report that the router would send at ``now``."""
        window_s = REPORT_TICKS * TICK_S
        slices = self.slices.collect()
        return LoadReport(self.name, window_s, slices, self.sketch.collect(now))


class PlannedRouting:
    """Routers that report their load and a coordinator that plans from the reports."""

    def __init__(self) -> None:
        self.servers = dict.fromkeys(SERVERS, ServerState())  # Running servers.
        self.table = SliceTable(
            "service", 1, 1, initial_owners(SLICES, self.servers), {}, {}
        )
        self.placement = Placement(SLICES)
        self.routers = [Router(number) for number in range(ROUTERS)]
        self.slice_moves = self.key_moves = 0
        self._plan = Plan()
        self._ready_tick = 0
        self._reports: deque[tuple[int, LoadReport]] = deque()

    def owner_of(self, hash_value: int) -> str:
        """Return the owner according to the current table."""
        return self.table.owner_of(hash_value)

    def record(self, router: int, hash_value: int) -> None:
        """Count one request at a router."""
        self.routers[router].sketch.record(hash_value)
        self.routers[router].slices.record(hash_value)

    def end_tick(self, tick: int) -> None:
        """Send and deliver reports, apply the pending plan and make the next one."""
        now = tick * TICK_S
        for number, router in enumerate(self.routers):
            if tick % REPORT_TICKS == number % REPORT_TICKS:
                self._reports.append((tick, router.collect_report(now)))
        while self._reports and self._reports[0][0] <= tick - REPORT_DELAY_TICKS:
            self.placement.add_report(self._reports.popleft()[1], now)
        if tick < self._ready_tick:
            return
        if self._plan != Plan():
            self.table = apply_plan(self.table, self._plan)
        self._plan = self.placement.plan(now, self.table, self.servers)
        self._ready_tick = tick + MOVE_TICKS
        keys = sum(move.unit.kind == "key" for move in self._plan.moves)
        self.key_moves += keys
        self.slice_moves += len(self._plan.moves) - keys
