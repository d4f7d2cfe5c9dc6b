"""Which ranges move where: what is believed of servers, put to the placement."""

from __future__ import annotations

__all__ = ["MovePlanner"]

from .balance import CandidateServer, RangeMove, initial_ranges, plan_moves
from .cluster_view import ClusterView
from .loads import LoadAggregator
from .model import Backend
from .ownership import Ownership

FAILURES_TO_MOVE = 2
"""Grants in a row without an answer after which a server's keys are moved."""

INITIAL_OWNERS_DELAY_S = 1.5
"""The set of servers has to stand still for this long before a service gets its first
owners, so that servers that start together are all among them."""


class MovePlanner:
    """Plans first owners, moves and new targets of one reign."""

    def __init__(
        self, ownership: Ownership, view: ClusterView, loads: LoadAggregator
    ) -> None:
        self._ownership = ownership
        self._view = view
        self._loads = loads
        self._servers_since: dict[str, tuple[frozenset[str], float]] = {}

    def first_owners(self, now_s: float) -> dict[str, list[tuple[int, int, Backend]]]:
        """Return the first ranges of the keyed services that have no owners."""
        routes = self._view.routes
        found = {}
        for service in routes.table.services.values() if routes else ():
            if not service.keyed or self._ownership.holdings.get(service.name):
                continue
            ready = {backend.server: backend for backend in self.ready(service.name)}
            if not ready or not self._stand_still(
                service.name, frozenset(ready), now_s
            ):
                continue
            equal = [CandidateServer(server, 1.0) for server in sorted(ready)]
            found[service.name] = [
                (first, last, ready[server])
                for first, last, server in initial_ranges(equal)
            ]
        return found

    def moves(self, service: str) -> list[RangeMove]:
        """Return the moves to begin now in a service."""
        candidates = self._candidates(service)
        if all(candidate.evacuating for candidate in candidates):
            return []
        ranges = [holding.owned for holding in self._ownership.holdings[service]]
        return plan_moves(ranges, candidates, self._loads.key_loads(service))

    def retarget(self) -> bool:
        """Choose another target where one is gone, draining or not answering.

        :return: whether anything changed and has to be written.
        """
        changed = False
        for service, holding in self._ownership.all_holdings():
            target = holding.owned.target
            if not target or self._is_usable(service, target):
                continue
            others = [
                backend.server
                for backend in self.ready(service)
                if self._is_usable(service, backend.server)
            ]
            if others:
                fewest = min(others, key=lambda one: self._range_count(service, one))
                holding.owned = holding.owned._replace(target=fewest)
                changed = True
        return changed

    def needs_evacuation(self) -> bool:
        """Return whether a server that leaves or is gone holds keys others can take."""
        for service, holding in self._ownership.all_holdings():
            if holding.owned.target:
                continue
            backend = self._view.directory.find(holding.owned.server)
            if backend is None or backend.draining:
                return bool(self.ready(service))
        return False

    def ready(self, service: str) -> list[Backend]:
        """Return the servers that may receive keys."""
        backends = self._view.directory.servers_of(service)
        return [backend for backend in backends if not backend.draining]

    def _candidates(self, service: str) -> list[CandidateServer]:
        failing = self._failing(service, FAILURES_TO_MOVE)
        silent = self._failing(service, 1)
        speeds = self._loads.speeds(service)
        return [
            CandidateServer(
                server=backend.server,
                speed=speeds.get(backend.server, 1.0),
                evacuating=backend.server in failing,
                requests_per_slot=self._loads.requests_per_slot(
                    service, backend.server
                ),
                accepting=backend.server not in silent,
            )
            for backend in self.ready(service)
        ]

    def _failing(self, service: str, failures: int) -> set[str]:
        """Return the servers that left so many grants in a row unanswered."""
        return {
            holding.owned.server
            for holding in self._ownership.holdings.get(service, ())
            if holding.failures >= failures
        }

    def _is_usable(self, service: str, server: str) -> bool:
        backend = self._view.directory.find(server)
        if backend is None or backend.draining:
            return False
        return server not in self._failing(service, FAILURES_TO_MOVE)

    def _range_count(self, service: str, server: str) -> int:
        holdings = self._ownership.holdings[service]
        return sum(holding.owned.server == server for holding in holdings)

    def _stand_still(self, service: str, servers: frozenset[str], now_s: float) -> bool:
        """Return whether the servers have been the same for some time."""
        known, since_s = self._servers_since.get(service, (None, now_s))
        if known != servers:
            since_s = now_s
        self._servers_since[service] = (servers, since_s)
        return now_s - since_s >= INITIAL_OWNERS_DELAY_S
