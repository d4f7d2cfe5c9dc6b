"""Appoints the hosts that lend the slots of servers while this host leads."""

from __future__ import annotations

__all__ = ["CoordinatorAppointer"]

import asyncio
from collections.abc import Callable

from mode import Service

from ..clock import boottime_s
from ..cluster_view import ClusterView
from ..events import EventLog
from ..loops import LoopSupervisor
from .coordinators import Candidate, Coordinator, ServerGroup, appoint

CANDIDATE_TIMEOUT_S = 1.5
"""A host that the leader has not heard of for this long is no candidate. Followers ask
for documents every half second."""

START_DELAY_S = 1.5
"""A new leader appoints after this time, when it has heard of all hosts."""

INTERVAL_S = 0.2

MAX_UPDATE_GAP_S = 0.6
"""After a longer gap between two updates, this host may have been suspended."""

LEADER_CORES_SHARE = 0.25
"""Share of its cores that a leader counts for itself: it sends the documents to all
hosts, which makes its responses late at times."""


class CoordinatorAppointer(Service):
    """Keeps the list of coordinators up to date.

    :ivar own: this host as a candidate.
    :ivar term: returns the revision of this host's leader record, or ``None`` while it
        is not certain to be the only leader.
    :ivar is_stopping: returns whether this host is about to end.
    """

    def __init__(
        self, own: Candidate, view: ClusterView, events: EventLog, loops: LoopSupervisor
    ) -> None:
        super().__init__()
        self.term: Callable[[], int | None] = lambda: None
        self.is_stopping: Callable[[], bool] = lambda: False
        self.own = own
        self._view = view
        self._events = events
        self._loops = loops
        self._heard: dict[str, tuple[Candidate, float]] = {}
        self._leading_term = 0
        self._leading_since_s = 0.0
        self._updated_s = 0.0

    async def on_start(self) -> None:
        """Start to appoint coordinators whenever this host leads."""
        self.add_future(self._loops.run("appoint-coordinators", self._run))

    def record_candidate(self, candidate: Candidate) -> None:
        """Record that a host that lends slots follows this leader."""
        self._heard[candidate.host] = candidate, boottime_s()

    def forget_candidate(self, host: str) -> None:
        """Record that a host is about to end."""
        self._heard.pop(host, None)

    async def _run(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(INTERVAL_S)
            self.update(boottime_s())

    def update(self, now_s: float) -> None:
        """Appoint coordinators if this host leads and the list has to change."""
        term = self.term()
        if term is None:
            return
        was_late = now_s - self._updated_s > MAX_UPDATE_GAP_S
        self._updated_s = now_s
        if term != self._leading_term or was_late:
            self._leading_term, self._leading_since_s = term, now_s
        if now_s - self._leading_since_s < START_DELAY_S:
            return
        candidates = self._candidates(now_s)
        if self._hears_nobody(candidates):
            return
        coordinators = self._view.coordinators
        current = {one.group: one for one in coordinators.all()}
        appointed = appoint(self._groups(), candidates, current)
        if appointed == current:
            return
        version = coordinators.version + 1 if coordinators.term == term else 1
        coordinators.apply(term, version, appointed.values())
        self._log_changes(current, appointed)
        self._view.notify()

    def _hears_nobody(self, candidates: list[Candidate]) -> bool:
        """Return whether this host may be cut off from the others.

        They go on with the list that they have.
        """
        own_address = self.own.address
        has_peers = any(
            address != own_address for address in self._view.peer_addresses.values()
        )
        return has_peers and not any(one.address != own_address for one in candidates)

    def _groups(self) -> set[ServerGroup]:
        routes = self._view.routes
        if routes is None:
            return set()
        servers_of = self._view.directory.servers_of
        return {
            ServerGroup(service, backend.data_centre)
            for service in routes.coordinated
            for backend in servers_of(service)
        }

    def _candidates(self, now_s: float) -> list[Candidate]:
        self._heard = {
            host: (candidate, heard_s)
            for host, (candidate, heard_s) in self._heard.items()
            if now_s - heard_s < CANDIDATE_TIMEOUT_S
        }
        candidates = [candidate for candidate, _ in self._heard.values()]
        if not self.is_stopping():
            cores = LEADER_CORES_SHARE * self.own.cores
            candidates.append(self.own._replace(cores=cores))
        return candidates

    def _log_changes(
        self,
        before: dict[ServerGroup, Coordinator],
        after: dict[ServerGroup, Coordinator],
    ) -> None:
        for group, coordinator in after.items():
            previous = before.get(group)
            if previous != coordinator:
                self._events.log_state_change(
                    "coordinator_appointed",
                    service=group.service,
                    data_centre=group.data_centre,
                    coordinator=coordinator.host,
                    previous=previous.host if previous else None,
                )
