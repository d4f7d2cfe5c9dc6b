"""This host's view of the cluster: configuration, servers, owners, leader, peers."""

from __future__ import annotations

__all__ = ["ClusterView"]

import asyncio
from collections.abc import Callable, Iterable

from ..json_documents import (
    UNREADABLE,
    check_address,
    check_text,
    describe,
)
from .assignment import (
    EMPTY_ASSIGNMENT,
    Assignment,
    OwnerIndex,
    RangeMoveId,
    decode_assignment,
    encode_assignment,
    range_move_id,
)
from .assignment_delta import AssignmentHistory, apply_delta
from .capacity.coordinators import Coordinator, CoordinatorList
from .clock import boottime_s
from .cold_servers import ColdServers
from .cold_state import ColdServerState
from .configuration_state import ConfigurationState
from .content_delta import Part, content_digest
from .directory import ServerDelta, ServerDirectory
from .evacuation_state import EvacuationState
from .evacuations import Evacuations
from .events import EventLog
from .leader_record import LeaderRecord, decode_leader_record
from .model import Backend, Documents, RouteTable
from .revisions import era_of_revision
from .route_index import RouteIndex
from .server_entries import ServerEntries, ServersNotApplied
from .server_limits import LimitObservation, ServerLimits
from .store import Item
from .store_eras import EarlierGrants

MAX_REMEMBERED_REFUSALS = 1_000
"""Unreadable documents that are remembered so that each is logged only once."""

LEADER_KEY = "jacinthpath/leader"
ASSIGNMENT_KEY = "jacinthpath/assignment"
HOSTS_PREFIX = "jacinthpath/hosts/"


class ClusterView:
    """Applies documents in order of their versions and never returns to an older one.

    :param decode_routes: decoder of the operator's configuration.
    :param decode_server: decoder of a server's entry.
    :param record_error: called with the place and an error that nothing foresaw, after
        which the view goes on.
    :param evacuation_s: see :class:`Evacuations`.
    :ivar servers_known: whether a whole list of the servers has been applied.
    :ivar live_servers_known: whether the servers are known that write their entries;
        enough to serve by, and not to take the others for gone.
    :ivar accepts_deltas: whether the next change of the assignment may be a delta;
        after a delta that did not apply, the whole assignment is requested.
    """

    def __init__(
        self,
        events: EventLog,
        decode_routes: Callable[[bytes], RouteTable],
        decode_server: Callable[[str, bytes, int], Backend],
        record_error: Callable[[str, Exception], None] | None = None,
        evacuation_s: float = 0.0,
    ) -> None:
        self.configuration = ConfigurationState(
            events, decode_routes, self.record_refused
        )
        self.directory = ServerDirectory()
        self.record_error = record_error or _ignore_error
        self.cold_servers = ColdServers()
        self.cold = ColdServerState(self.cold_servers, events, self.notify)
        self._entries = ServerEntries(
            self.directory,
            events,
            decode_server,
            self.record_refused,
            self.record_error,
            self.cold.record_entry,
            self._record_joined,
        )
        self.limits = ServerLimits()
        self.coordinators = CoordinatorList()
        self.evacuated = Evacuations(evacuation_s)
        self.evacuations = EvacuationState(
            self.evacuated,
            self.directory,
            events,
            self.record_refused,
            self._handle_evacuations,
        )
        self.servers_known = False
        self.live_servers_known = False
        self.earlier_grants = EarlierGrants()
        self.assignment: Assignment = EMPTY_ASSIGNMENT
        self.assignment_revision = 0
        self.owners: dict[str, OwnerIndex] = {}
        self.moving_since_s: dict[RangeMoveId, float] = {}
        self.leader: LeaderRecord | None = None
        self.peer_addresses: dict[str, str] = {}
        self._hosts_digest = 0
        self.store_contact_s = float("-inf")
        self.peer_store_contact_s = float("-inf")
        self.servers_contact_s = float("-inf")
        self.changed = asyncio.Event()
        self.leader_changed = asyncio.Event()
        self._events = events
        self._encoded_assignment: bytes | None = b""
        self._assignment_history = AssignmentHistory()
        self.accepts_deltas = True
        self._leader_revision = 0
        self._logged_refusals: set[tuple[str, int]] = set()

    @property
    def routes(self) -> RouteIndex | None:
        """The routes in force, ``None`` before the first configuration."""
        return self.configuration.routes

    def newest_documents(self) -> Documents:
        """Return the newest documents, as stored, with their revisions."""
        return Documents(
            self.configuration.content,
            self.configuration.revision,
            self.configuration.version,
            self.configuration.digest,
            self.assignment_revision,
            self.assignment.fence,
        )

    def encoded_assignment(self) -> bytes:
        """Return the assignment in its stored encoding."""
        if self._encoded_assignment is None:
            self._encoded_assignment = encode_assignment(self.assignment)
        return self._encoded_assignment

    def assignment_delta_since(self, revision: int) -> bytes | None:
        """Return the encoded changes since a revision, ``None`` if it is not kept."""
        return self._assignment_history.delta_since(revision)

    def store_age_s(self) -> float:
        """Return the time since the store last responded to this host or a peer."""
        return boottime_s() - max(self.store_contact_s, self.peer_store_contact_s)

    def servers_age_s(self) -> float:
        """Return the age of the list of servers, received from the store or a peer."""
        return boottime_s() - self.servers_contact_s

    def peer_store_age_s(self) -> float:
        """Return the time since the store last responded to a peer, as far as known."""
        return boottime_s() - self.peer_store_contact_s

    def apply_configuration(self, content: bytes, revision: int, source: str) -> None:
        """Put a configuration in force unless a newer one already is."""
        if self.configuration.apply(content, revision, source):
            self.notify()

    def apply_compressed_configuration(
        self, compressed: bytes, digest: int, revision: int, source: str
    ) -> None:
        """Put a compressed configuration in force unless a newer one already is."""
        if self.configuration.apply_compressed(compressed, digest, revision, source):
            self.notify()

    def apply_configuration_parts(
        self, parts: Iterable[Part], digest: int, revision: int, source: str
    ) -> None:
        """Put the configuration in force that parts make from the one in force."""
        if self.configuration.apply_parts(parts, digest, revision, source):
            self.notify()

    def apply_assignment(self, content: bytes, revision: int, source: str) -> None:
        """Apply an assignment unless a newer one is known.

        After a restore of the store, an older one may have a higher revision, but its
        fence is lower.
        """
        known_revision = self.assignment_revision
        same_era = era_of_revision(revision) == era_of_revision(known_revision)
        if same_era and revision <= known_revision:
            return
        try:
            assignment = decode_assignment(content)
        except Exception as error:
            self.record_refused("assignment", revision, error)
            return
        if (assignment.fence, revision) <= (self.assignment.fence, known_revision):
            return
        self.accepts_deltas = True
        self._set_assignment(assignment, content, revision, source)

    def apply_assignment_delta(
        self, content: bytes, base: int, revision: int, source: str
    ) -> None:
        """Apply a delta to the assignment of revision ``base``.

        If the delta cannot be applied, the whole assignment is requested next.
        """
        if base != self.assignment_revision or revision <= base:
            return
        try:
            assignment = apply_delta(self.assignment, content)
        except Exception as error:
            # Tools of operators read this value: do not reword it.
            self.record_refused("assignment change", revision, error)
            self.accepts_deltas = False
            return
        self._set_assignment(assignment, None, revision, source)

    def _set_assignment(
        self, assignment: Assignment, content: bytes | None, revision: int, source: str
    ) -> None:
        owners = {
            service: OwnerIndex(ranges) for service, ranges in assignment.ranges.items()
        }
        self._track_moves(assignment)
        self.owners = owners
        self.assignment = assignment
        self.assignment_revision = revision
        self._encoded_assignment = content
        self._assignment_history.add(revision, assignment)
        self._events.log_state_change(
            "assignment_seen",
            revision=revision,
            fence=assignment.fence,
            ranges=sum(len(ranges) for ranges in assignment.ranges.values()),
            moving=len(self.moving_since_s),
            source=source,
        )
        self.notify()

    def apply_server(self, server: str, content: bytes, revision: int) -> None:
        """Apply the entry of a server."""
        if self._entries.apply(server, content, revision):
            self.notify()

    def record_leaving(self, server: str, started_ms: int) -> None:
        """Record that an incarnation of a server has said that it is leaving."""
        if self.directory.mark_leaving(server, started_ms, boottime_s()):
            self._events.log_state_change(
                "server_leaving", server=server, born_ms=started_ms
            )
            self.notify()

    def record_limit(self, observation: LimitObservation, source: str) -> None:
        """Record what a peer learned about the request rate that a server accepts."""
        if self.limits.record(observation):
            self._note_limit(observation, source)

    def record_own_limit(self, observation: LimitObservation) -> None:
        """Record what a response has told about the rate that its server accepts."""
        if self.limits.record_own(observation):
            self._note_limit(observation, "response")

    def apply_coordinators(
        self, term: int, version: int, coordinators: Iterable[Coordinator]
    ) -> None:
        """Apply the leader's list of coordinators unless a newer one is known."""
        if self.coordinators.apply(term, version, coordinators):
            self.notify()

    def _note_limit(self, observation: LimitObservation, source: str) -> None:
        self._events.log_state_change(
            "server_limit_changed",
            server=observation.server,
            born_ms=observation.started_ms,
            limit_per_s=observation.limit_per_s,
            source=source,
        )
        self.notify()

    def open_servers(self, service: str) -> list[Backend]:
        """Return the servers of a service outside of evacuated data centres."""
        backends = self.directory.servers_of(service)
        if not self.evacuated:
            return backends
        return [one for one in backends if one.data_centre not in self.evacuated]

    def bounds_cold_servers(self) -> bool:
        """Return whether a service bounds the rate of requests to cold servers."""
        routes = self.routes
        return routes is not None and routes.bounds_cold_servers

    def cold_rate_per_s(self, backend: Backend, now_s: float) -> float:
        """Return the requests a second that a server takes because it is cold.

        :return: 0 if it is not cold, or its service names no bound.
        """
        routes = self.routes
        if routes is None or not routes.bounds_cold_servers:
            return 0.0
        service = routes.table.services.get(backend.service)
        if service is None or not service.warmup_rate_per_s:
            return 0.0
        server, started_ms = backend.server, backend.started_ms
        remaining_s = self.cold_servers.remaining_s(server, started_ms, now_s)
        return service.warmup_rate_per_s if remaining_s else 0.0

    def _warmup_s(self, service: str) -> float:
        known = self.routes.table.services.get(service) if self.routes else None
        return known.warmup_s if known is not None else 0.0

    def _record_joined(self, backend: Backend) -> None:
        """Take a server that has joined for cold if its entry does not tell.

        Not those of the first list, which may have started long ago.
        """
        if self.servers_known and not backend.warmup_left_s:
            self.cold.record_cold(backend, self._warmup_s(backend.service), "start")

    def _handle_evacuations(self, ended: list[str]) -> None:
        """Take the servers of data centres whose evacuation has ended for cold."""
        for backend in self.directory.all().values():
            if backend.data_centre in ended:
                warmup_s = self._warmup_s(backend.service)
                self.cold.record_cold(backend, warmup_s, "evacuation")
        self.notify()

    def remove_server(self, server: str, revision: int) -> None:
        """Apply the removal of a server's entry."""
        version = self.directory.version
        self.directory.remove(server, revision, boottime_s())
        removed = self.directory.version != version
        self._events.log_state_change(
            "server_gone" if removed else "server_missing",
            server=server,
            revision=revision,
        )
        if removed:
            self.notify()

    def replace_servers(self, items: tuple[Item, ...], revision: int) -> None:
        """Apply a complete list of the servers' entries.

        :raises ServersNotApplied: no entry could be applied.
        """
        self._entries.replace_all(items, revision)
        self._record_servers_known()

    def server_failures(self) -> int:
        """Return how often an entry could not be applied for an unexpected error."""
        return self._entries.failures

    def apply_leader(self, content: bytes | None, revision: int) -> None:
        """Apply the leader's record, or its removal, unless a newer one is known."""
        if revision < self._leader_revision:
            return
        previous = self.leader
        if content is None:
            self.leader = None
        else:
            try:
                self.leader = decode_leader_record(content, revision)
            except UNREADABLE as error:
                self.record_refused("leader", revision, error)
                return
        self._leader_revision = revision
        if (previous and previous.process_id) != (
            self.leader and self.leader.process_id
        ):
            self._events.log_state_change(
                "leader_seen" if self.leader else "leader_gone",
                leader=self.leader.host if self.leader else previous.host,
                revision=revision,
            )
        self.leader_changed.set()
        self.leader_changed = asyncio.Event()
        self.notify()

    def apply_peer_address(self, name: str, content: bytes | None) -> None:
        """Apply the address of a peer, or its removal."""
        self._hosts_digest = 0
        if content is None:
            self.peer_addresses.pop(name, None)
            return
        try:
            self.peer_addresses[check_text(name)] = check_address(content.decode())
        except UNREADABLE as error:
            self.record_refused(f"host {describe(name)}", 0, error)

    def hosts_digest(self) -> int:
        """Return a digest of the hosts' names and addresses."""
        if not self._hosts_digest:
            rows = repr(sorted(self.peer_addresses.items()))
            self._hosts_digest = content_digest(rows.encode())
        return self._hosts_digest

    def record_store_contact(self) -> None:
        """Record that the store responded."""
        self.store_contact_s = boottime_s()

    def record_servers_contact(
        self, heard_s: float | None = None, revision: int = 0
    ) -> None:
        """Record that what the store sent of the servers at a time has been applied.

        :param heard_s: time of the response, now by default.
        :param revision: revision of the store that the list is as new as.
        """
        self.directory.record_revision(revision)
        self.servers_contact_s = boottime_s() if heard_s is None else heard_s

    def record_peer_store_contact(self, age_s: float) -> None:
        """Record that a peer received servers from the store ``age_s`` ago."""
        contact_s = boottime_s() - age_s
        self.peer_store_contact_s = max(self.peer_store_contact_s, contact_s)
        self.servers_contact_s = max(self.servers_contact_s, contact_s)

    def apply_peer_servers(self, backends: list[Backend], revision: int) -> None:
        """Apply the whole list of servers of a peer whose data is newer.

        :param revision: newest revision of the store that the peer's list reflects.
        :raises ServersNotApplied: no entry could be applied.
        """
        self._entries.replace_all_by_peer(backends, revision)
        self._record_servers_known()

    def apply_peer_server_delta(
        self, delta: ServerDelta, base: int, revision: int
    ) -> None:
        """Apply a delta of the servers from a peer whose data is newer.

        :param base: digest of the servers that the delta applies to.
        :raises ServersNotApplied: the servers of this host have another digest, or no
            entry could be applied.
        """
        if base != self.directory.digest():
            raise ServersNotApplied(
                "A change of the servers applies to another list.",
                "Fetch the servers again.",
            )
        self._entries.apply_delta(delta, revision)
        self._record_servers_known()

    def knows_earlier_grants(self) -> bool:
        """Return whether this host knows all grants from before the last restore."""
        known = self.assignment if self.assignment_revision else None
        return self.earlier_grants.are_known(known)

    def expire_servers(self) -> None:
        """Drop the servers and evacuations whose pending removal is due."""
        self.evacuations.expire()
        version = self.directory.version
        self.directory.expire(boottime_s())
        if self.directory.version != version:
            self._events.log_state_change("servers_gone_after_outage", version=version)
            self.notify()

    def record_live_servers_known(self) -> None:
        """Record that the servers are known that have lately written their entries."""
        if not self.live_servers_known:
            self.live_servers_known = True
            self.notify()

    def _record_servers_known(self) -> None:
        self.servers_known = self.live_servers_known = True
        # Its contact has not been recorded yet, so this is the age of the list before.
        era = era_of_revision(self.directory.revision)
        self.earlier_grants.record_servers(era, self.servers_age_s())
        self.notify()

    def record_refused(self, document: str, revision: int, error: Exception) -> None:
        """Log a document or a part of one that was not applied, once per revision.

        An error that its decoder does not declare costs this document alone, too.
        """
        if (document, revision) in self._logged_refusals:
            return
        if len(self._logged_refusals) >= MAX_REMEMBERED_REFUSALS:
            self._logged_refusals.clear()
        self._logged_refusals.add((document, revision))
        self._events.log_state_change(
            "document_refused",
            document=document,
            revision=revision,
            error=describe(error),
        )

    def _track_moves(self, assignment: Assignment) -> None:
        """Record when this host first saw each move that is in progress."""
        now_s = boottime_s()
        moves = [
            range_move_id(service, owned)
            for service, ranges in assignment.ranges.items()
            for owned in ranges
            if owned.target
        ]
        self.moving_since_s = {
            move: self.moving_since_s.get(move, now_s) for move in moves
        }

    def notify(self) -> None:
        """Wake all tasks that wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()


def _ignore_error(_place: str, _error: Exception) -> None:
    """Ignore an error, for a view without a log."""
