"""What this host believes: configuration, servers, owners, leader and peers."""

from __future__ import annotations

__all__ = ["ClusterView", "LeaderRecord"]

import asyncio
import json
from collections.abc import Callable
from typing import NamedTuple

from ..errors import JacinthpathError
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
from .clock import boottime_s
from .directory import ServerDelta, ServerDirectory
from .events import EventLog
from .model import Backend, Documents, RouteTable
from .route_index import RouteIndex
from .store import Item

MAX_REFUSED = 1_000
"""Entries that cannot be read and are remembered, to log each only once."""

LEADER_KEY = "jacinthpath/leader"
ASSIGNMENT_KEY = "jacinthpath/assignment"
HOSTS_PREFIX = "jacinthpath/hosts/"


class LeaderRecord(NamedTuple):
    """The leader as it stands in the store.

    :param process_id: random identity of the process, new at each start.
    """

    host: str
    address: str
    process_id: str
    revision: int


class ClusterView:
    """Applies documents in the order of their versions; none ever goes back.

    :param decode_routes: decoder of the operator's configuration.
    :param decode_server: decoder of a server's entry.
    :ivar accepts_deltas: whether the next change to the assignment may come as such; a
        change that did not fit is followed by the whole assignment.
    """

    def __init__(
        self,
        events: EventLog,
        decode_routes: Callable[[bytes], RouteTable],
        decode_server: Callable[[str, bytes, int], Backend],
    ) -> None:
        self.routes: RouteIndex | None = None
        self.directory = ServerDirectory()
        self.servers_known = False
        self.assignment: Assignment = EMPTY_ASSIGNMENT
        self.assignment_revision = 0
        self.owners: dict[str, OwnerIndex] = {}
        self.moving_since_s: dict[RangeMoveId, float] = {}
        self.leader: LeaderRecord | None = None
        self.peer_addresses: dict[str, str] = {}
        self.confirmed_s = float("-inf")
        self.peer_confirmed_s = float("-inf")
        self.servers_confirmed_s = float("-inf")
        self.changed = asyncio.Event()
        self._events = events
        self._decode_routes = decode_routes
        self._decode_server = decode_server
        self._configuration = b""
        self._configuration_revision = 0
        self._assignment_content: bytes | None = b""
        self._history = AssignmentHistory()
        self.accepts_deltas = True
        self._leader_revision = 0
        self._refused: set[tuple[str, int]] = set()

    def newest_documents(self) -> Documents:
        """Return the newest documents as they lie in the store."""
        return Documents(
            self._configuration,
            self._configuration_revision,
            self.assignment_revision,
        )

    def encoded_assignment(self) -> bytes:
        """Return the assignment in its stored form."""
        if self._assignment_content is None:
            self._assignment_content = encode_assignment(self.assignment)
        return self._assignment_content

    def assignment_delta_since(self, revision: int) -> bytes | None:
        """Return what has changed since a revision, if that one is still known."""
        return self._history.delta_since(revision)

    def store_age_s(self) -> float:
        """Return the age of the newest news of the store, also by way of peers."""
        return boottime_s() - max(self.confirmed_s, self.peer_confirmed_s)

    def servers_age_s(self) -> float:
        """Return the age of what is known of the servers, also by way of peers."""
        return boottime_s() - self.servers_confirmed_s

    def peer_store_age_s(self) -> float:
        """Return the time since the store last answered a peer, as far as known."""
        return boottime_s() - self.peer_confirmed_s

    def apply_configuration(self, content: bytes, revision: int, source: str) -> None:
        """Put a configuration in force unless a newer one is."""
        if revision <= self._configuration_revision:
            return
        try:
            table = self._decode_routes(content)
        except JacinthpathError as error:
            self._refuse("configuration", revision, error)
            return
        if self.routes is not None and table.version < self.routes.table.version:
            return
        self.routes = RouteIndex(table)
        self._configuration, self._configuration_revision = content, revision
        self._events.state_change(
            "configuration_in_force",
            version=table.version,
            revision=revision,
            routes=len(table.routes),
            source=source,
        )
        self._notify()

    def apply_assignment(self, content: bytes, revision: int, source: str) -> None:
        """Take an assignment unless a newer one is known."""
        if revision <= self.assignment_revision:
            return
        try:
            assignment = decode_assignment(content)
        except JacinthpathError as error:
            self._refuse("assignment", revision, error)
            return
        self.accepts_deltas = True
        self._take_assignment(assignment, content, revision, source)

    def apply_assignment_delta(
        self, content: bytes, base: int, revision: int, source: str
    ) -> None:
        """Take a change to the assignment of revision ``base``.

        A change that does not fit is not asked for again: the whole assignment is.
        """
        if base != self.assignment_revision or revision <= base:
            return
        try:
            assignment = apply_delta(self.assignment, content)
        except JacinthpathError as error:
            self._refuse("assignment change", revision, error)
            self.accepts_deltas = False
            return
        self._take_assignment(assignment, None, revision, source)

    def _take_assignment(
        self, assignment: Assignment, content: bytes | None, revision: int, source: str
    ) -> None:
        self._note_moving(assignment)
        self.assignment = assignment
        self.assignment_revision = revision
        self._assignment_content = content
        self._history.add(revision, assignment)
        self.owners = {
            service: OwnerIndex(ranges) for service, ranges in assignment.ranges.items()
        }
        self._events.state_change(
            "assignment_seen",
            revision=revision,
            fence=assignment.fence,
            ranges=sum(len(ranges) for ranges in assignment.ranges.values()),
            moving=len(self.moving_since_s),
            source=source,
        )
        self._notify()

    def apply_server(self, server: str, content: bytes, revision: int) -> None:
        """Take the entry of a server."""
        backend = self._decoded_server(server, content, revision)
        if backend is None:
            return
        before = self.directory.find(server)
        self.directory.put(backend, boottime_s())
        self._log_server(before, backend)
        if before is None or before.draining != backend.draining:
            self._notify()

    def remove_server(self, server: str, revision: int) -> None:
        """Take the removal of a server's entry."""
        version = self.directory.version
        self.directory.remove(server, revision, boottime_s())
        gone = self.directory.version != version
        self._events.state_change(
            "server_gone" if gone else "server_missing",
            server=server,
            revision=revision,
        )
        if gone:
            self._notify()

    def replace_servers(self, items: tuple[Item, ...], revision: int) -> None:
        """Take a complete list of the servers' entries."""
        backends = []
        for item in items:
            server = item.key.partition("/")[2]
            backend = self._decoded_server(server, item.value, item.revision)
            if backend is not None:
                self._log_server(self.directory.find(server), backend)
                backends.append(backend)
        self.directory.replace_all(backends, revision, boottime_s())
        self.servers_known = True
        self._notify()

    def apply_leader(self, content: bytes | None, revision: int) -> None:
        """Take the leader's record, or its removal, unless a newer one is known."""
        if revision < self._leader_revision:
            return
        self._leader_revision = revision
        before = self.leader
        if content is None:
            self.leader = None
        else:
            try:
                record = json.loads(content)
                self.leader = LeaderRecord(
                    record["host"], record["address"], record["process"], revision
                )
            except (KeyError, TypeError, ValueError) as error:
                self._refuse("leader", revision, error)
                return
        if (before and before.process_id) != (self.leader and self.leader.process_id):
            self._events.state_change(
                "leader_seen" if self.leader else "leader_gone",
                leader=self.leader.host if self.leader else before.host,
                revision=revision,
            )
        self._notify()

    def apply_peer_address(self, name: str, content: bytes | None) -> None:
        """Take the address of a peer, or its removal."""
        if content is None:
            self.peer_addresses.pop(name, None)
        else:
            self.peer_addresses[name] = content.decode(errors="replace")

    def record_store_contact(self) -> None:
        """Record that the store answered."""
        self.confirmed_s = boottime_s()

    def record_servers_contact(self) -> None:
        """Record that the store has just told of the servers."""
        self.servers_confirmed_s = boottime_s()

    def record_peer_contact(self, age_s: float) -> None:
        """Record that a peer heard of the servers from the store ``age_s`` ago."""
        heard_s = boottime_s() - age_s
        self.peer_confirmed_s = max(self.peer_confirmed_s, heard_s)
        self.servers_confirmed_s = max(self.servers_confirmed_s, heard_s)

    def apply_peer_servers(self, backends: list[Backend], revision: int) -> None:
        """Take the servers of a peer whose news of the store is newer.

        :param revision: newest revision of an entry that the peer has seen.
        """
        for backend in backends:
            self._log_server(self.directory.find(backend.server), backend)
        self.directory.replace_all(
            backends, revision, boottime_s(), may_be_outage=False
        )
        self.servers_known = True
        self._notify()

    def apply_peer_server_delta(
        self, change: ServerDelta, base: int, revision: int
    ) -> None:
        """Take what a peer with newer news says has changed.

        :param base: digest of the servers that the change starts from.
        """
        if base != self.directory.digest():
            return
        for backend in change.backends:
            self._log_server(self.directory.find(backend.server), backend)
        self.directory.apply_delta(change, revision, boottime_s())
        self.servers_known = True
        self._notify()

    def expire_servers(self) -> None:
        """Drop servers that stayed missing after an outage."""
        version = self.directory.version
        self.directory.expire(boottime_s())
        if self.directory.version != version:
            self._events.state_change("servers_gone_after_outage", version=version)
            self._notify()

    def _decoded_server(
        self, server: str, content: bytes, revision: int
    ) -> Backend | None:
        try:
            return self._decode_server(server, content, revision)
        except JacinthpathError as error:
            self._refuse(f"server {server}", revision, error)
            return None

    def _refuse(self, what: str, revision: int, error: Exception) -> None:
        """Log a document that cannot be read, once."""
        if (what, revision) in self._refused:
            return
        if len(self._refused) >= MAX_REFUSED:
            self._refused.clear()
        self._refused.add((what, revision))
        self._events.state_change(
            "document_refused", document=what, revision=revision, error=str(error)
        )

    def _log_server(self, before: Backend | None, after: Backend) -> None:
        if before is not None and before.started_ms == after.started_ms:
            if before.draining == after.draining:
                return
            event = "server_draining" if after.draining else "server_ready"
        else:
            event = "server_seen"
        self._events.state_change(
            event,
            server=after.server,
            service=after.service,
            address=after.address,
            born_ms=after.started_ms,
            draining=after.draining,
            revision=after.revision,
        )

    def _note_moving(self, assignment: Assignment) -> None:
        """Remember since when each range has been moving."""
        now_s = boottime_s()
        self.moving_since_s = {
            key: self.moving_since_s.get(key, now_s)
            for key in (
                range_move_id(service, owned)
                for service, ranges in assignment.ranges.items()
                for owned in ranges
                if owned.target
            )
        }

    def _notify(self) -> None:
        """Wake everybody who waits for a change."""
        self.changed.set()
        self.changed = asyncio.Event()
