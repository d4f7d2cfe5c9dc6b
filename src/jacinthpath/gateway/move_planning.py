"""Plans which ranges move where, from the view of the servers and their loads."""

from __future__ import annotations

__all__ = ["MovePlanner"]

import math

from .balance import CandidateServer, RangeMove, initial_ranges, plan_moves
from .capped_speeds import cap_speeds
from .cluster_view import ClusterView
from .loads import LoadAggregator
from .model import Backend
from .ownership import Ownership

SILENT_ROUNDS_BEFORE_MOVE = 3
"""Rounds of commands in a row without a response after which a server's keys are moved.
Its keys are free only once its grants have ended, so a round more costs little."""

REFUSALS_BEFORE_MOVE = 2
"""Refusals of one grant in a row after which a server's keys are moved."""

INITIAL_OWNERS_DELAY_S = 1.5
"""The set of servers has to be unchanged for this long before a service gets its
initial owners, so that servers that start together are all among them."""


class MovePlanner:
    """Plans initial owners, moves and new targets, for one leadership of this host."""

    def __init__(
        self, ownership: Ownership, view: ClusterView, loads: LoadAggregator
    ) -> None:
        self._ownership = ownership
        self._view = view
        self._loads = loads
        self._servers_since: dict[str, tuple[frozenset[str], float]] = {}

    def watch_servers(self, now_s: float) -> None:
        """Record since when the servers of services without owners are the same."""
        self.initial_owners(now_s)

    def initial_owners(self, now_s: float) -> dict[str, list[tuple[int, int, Backend]]]:
        """Return the initial ranges of the keyed services that have no owners."""
        routes = self._view.routes
        owners = {}
        for service in routes.table.services.values() if routes else ():
            if not service.keyed or self._ownership.range_states.get(service.name):
                continue
            ready_servers = {
                backend.server: backend for backend in self.ready_servers(service.name)
            }
            if not ready_servers or not self._is_stable(
                service.name, frozenset(ready_servers), now_s
            ):
                continue
            equal = [CandidateServer(server, 1.0) for server in sorted(ready_servers)]
            owners[service.name] = [
                (first, last, ready_servers[server])
                for first, last, server in initial_ranges(equal)
            ]
        return owners

    def plan_service_moves(self, service: str, now_s: float) -> list[RangeMove]:
        """Return the moves to begin now in a service."""
        loads = self._loads.key_loads(service)
        candidates = self._candidates(service, loads.total, now_s)
        if all(candidate.evacuating for candidate in candidates):
            return []
        ranges = [state.owned for state in self._ownership.range_states[service]]
        return plan_moves(ranges, candidates, loads)

    def retarget(self) -> bool:
        """Choose other targets for moves to missing, draining or unresponsive servers.

        :return: whether anything changed and has to be written.
        """
        changed = False
        for service, state in self._ownership.all_range_states():
            target = state.owned.target
            if not target or self._is_usable(service, target):
                continue
            usable = [
                backend.server
                for backend in self.ready_servers(service)
                if self._is_usable(service, backend.server)
            ]
            if usable:
                target = min(
                    usable, key=lambda server: self._range_count(service, server)
                )
                state.owned = state.owned._replace(target=target)
                changed = True
        return changed

    def needs_evacuation(self) -> bool:
        """Return whether others can take keys of a server that may not keep them.

        It is draining, missing, or in an evacuated data centre.
        """
        for service, state in self._ownership.all_range_states():
            if state.owned.target:
                continue
            backend = self._view.directory.find(state.owned.server)
            if (backend is None or not self._is_ready(backend)) and self.ready_servers(
                service
            ):
                return True
        return False

    def ready_servers(self, service: str) -> list[Backend]:
        """Return the servers of a service that neither drain nor are evacuated."""
        backends = self._view.directory.servers_of(service)
        return [backend for backend in backends if self._is_ready(backend)]

    def _is_ready(self, backend: Backend) -> bool:
        return not backend.draining and (
            backend.data_centre not in self._view.evacuated
        )

    def _candidates(
        self, service: str, rate_per_s: float, now_s: float
    ) -> list[CandidateServer]:
        unresponsive = self._unresponsive_servers(service)
        suspected = self._unresponsive_servers(service, 1, 1)
        measured = self._loads.speeds(service)
        ready_servers = self.ready_servers(service)
        speeds = {b.server: measured.get(b.server, 1.0) for b in ready_servers}
        capped = cap_speeds(speeds, self._limits(ready_servers, now_s), rate_per_s)
        return [
            CandidateServer(
                server=server,
                speed=capped[server],
                evacuating=server in unresponsive,
                requests_per_slot=(
                    math.inf
                    if capped[server] < speed
                    else self._loads.requests_per_slot(service, server)
                ),
                accepting=server not in suspected,
            )
            for server, speed in speeds.items()
        ]

    def _limits(self, backends: list[Backend], now_s: float) -> dict[str, float]:
        """Return the requests a second that limited and cold servers take."""
        limits = {}
        for backend in backends:
            limit = self._view.limits.find(backend.server, backend.started_ms, now_s)
            if limit is not None:
                limits[backend.server] = limit.limit_per_s
            rate_per_s = self._view.cold_rate_per_s(backend, now_s)
            if rate_per_s:
                known = limits.get(backend.server, rate_per_s)
                limits[backend.server] = min(known, rate_per_s)
        return limits

    def _unresponsive_servers(
        self,
        service: str,
        silent_rounds: int = SILENT_ROUNDS_BEFORE_MOVE,
        refusals: int = REFUSALS_BEFORE_MOVE,
    ) -> set[str]:
        """Return the servers that do not respond, or refuse a grant, so many times."""
        evidence = self._ownership.evidence
        return {
            state.owned.server
            for state in self._ownership.range_states.get(service, ())
            if state.refusals >= refusals
            or evidence.silent_rounds(state.owned.server) >= silent_rounds
        }

    def _is_usable(self, service: str, server: str) -> bool:
        backend = self._view.directory.find(server)
        if backend is None or not self._is_ready(backend):
            return False
        return server not in self._unresponsive_servers(service)

    def _range_count(self, service: str, server: str) -> int:
        range_states = self._ownership.range_states[service]
        return sum(state.owned.server == server for state in range_states)

    def _is_stable(self, service: str, servers: frozenset[str], now_s: float) -> bool:
        """Return whether the set of servers has been unchanged for the delay."""
        previous, since_s = self._servers_since.get(service, (None, now_s))
        if previous != servers:
            since_s = now_s
        self._servers_since[service] = (servers, since_s)
        return now_s - since_s >= INITIAL_OWNERS_DELAY_S
