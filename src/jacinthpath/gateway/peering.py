"""Exchanges documents with the other gateways."""

from __future__ import annotations

__all__ = ["Peering"]

import asyncio
from collections.abc import Callable, Mapping
from random import Random
from typing import Any, NamedTuple

from mode import Service

from ..codec import fits_frame, new_frame
from ..errors import JacinthpathError, PeerUnavailable
from ..keyring import SharedKey
from ..metrics import Metrics
from ..peers import Handler, PeerIdentity, PeerPool, PeerServer
from .assignment import LeaderProcess
from .authority import LeaderAuthority
from .capacity.appointer import CoordinatorAppointer
from .capacity.coordinators import Candidate
from .capacity.slot_messages import has_newer_coordinators, write_coordinators
from .clock import boottime_s
from .cluster_view import ClusterView
from .cold_messages import has_other_cold_servers
from .configuration_messages import (
    ConfigurationForm,
    choose_form,
    has_newer_configuration,
)
from .crash_ledger import BlockedRequest, CrashLedger
from .crash_messages import has_other_blocked, read_blocked, write_blocked
from .evacuation_messages import has_newer_evacuations
from .events import EventLog
from .following import MAX_LEADER_AGE_S, PAUSE_S, Following
from .limit_messages import has_other_limits
from .link_budget import LinkBudget
from .loops import LoopSupervisor
from .peer_messages import (
    DocumentParts,
    apply_documents,
    has_newer_assignment,
    write_documents,
)
from .permit_exchange import PermitExchange
from .reach_monitor import ReachMonitor
from .server_reach import Reach
from .waiting import wait_for_event

REQUEST_TIMEOUT_S = 0.4
LONG_POLL_WAIT_S = 0.5
"""The leader responds as soon as it has updates, and after this time at the latest."""

UNCONFIRMED_PAUSE_S = 0.8
"""Longest additional pause after a response of a leader whose lease is not confirmed,
or whose servers are too old: it responds at once, and all hosts ask it during an outage
of the store."""

MAX_PEERS_TRIED = 3
FOLLOWER_REACH_S = 1.5
"""How long a follower that reaches servers is taken to do so; it asks the leader for
documents twice as often."""


class _AppliedDocuments(NamedTuple):
    """Documents of a peer, applied except for some parts.

    :param failed: names of the parts that could not be applied.
    """

    content: Any
    failed: frozenset[str]


class Peering(Service):
    """Serves documents to the other gateways, and fetches theirs.

    :param identity: identity of this process.
    :param pool: connections to the other gateways; closed with this service.
    :param permits: is told which hosts the leader hears of.
    :param appointer: is told which hosts may lend slots of servers.
    :param ledger: requests that are blocked.
    :param reach: knows whether this host reaches the servers.
    :param link_budget: admits whole configurations for other hosts.
    :param handlers: handlers of the frames other than requests for documents.
    :param address: address of this host for peers.
    :param seeds: addresses of peers, besides those known from the store.
    :ivar is_seed: whether this host is one of those that others ask first.
    :ivar store_fails: returns whether the store does not respond to this host.
    :ivar authority: returns what this host may do as the leader, ``None`` if it does
        not lead.
    :ivar is_stopping: returns whether this host is about to end.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        address: str,
        seeds: tuple[str, ...],
        keys: SharedKey,
        view: ClusterView,
        pool: PeerPool,
        permits: PermitExchange,
        appointer: CoordinatorAppointer,
        ledger: CrashLedger,
        reach: ReachMonitor,
        link_budget: LinkBudget,
        handlers: Mapping[str, Handler],
        metrics: Metrics,
        events: EventLog,
        random: Random,
        loops: LoopSupervisor,
    ) -> None:
        super().__init__()
        self._identity = identity
        self._address = address
        self._seeds = seeds
        self._view = view
        self._events = events
        self._random = random
        self._loops = loops
        self.store_fails: Callable[[], bool] = lambda: False
        self._following = Following(view, address)
        self.is_seed = address in seeds
        self.authority: Callable[[], LeaderAuthority | None] = lambda: None
        self.is_stopping: Callable[[], bool] = lambda: False
        all_handlers = {**handlers, "documentsWanted": self._handle_documents_wanted}
        self._server = PeerServer(identity, address, keys, all_handlers, metrics)
        self._pool = pool
        self._permits = permits
        self._appointer = appointer
        self._ledger = ledger
        self._reach = reach
        self._link_budget = link_budget
        self._followers_reached_s: dict[str, float] = {}

    async def on_start(self) -> None:
        """Listen to peers, and start following the leader."""
        await self._server.start()
        self.add_future(self._loops.run("follow-leader", self._follow_leader))

    async def on_stop(self) -> None:
        """Close all connections."""
        await self._pool.close()
        await self._server.close()

    def is_following(self) -> bool:
        """Return whether the leader keeps this host up to date."""
        return self._following.is_following()

    def keeps_configuration_current(self) -> bool:
        """Return whether the leader keeps the configuration of this host up to date."""
        return self._following.keeps_configuration_current()

    def keeps_evacuations_current(self) -> bool:
        """Return whether the leader keeps the evacuations of this host up to date."""
        return self._following.keeps_evacuations_current()

    def is_leading(self) -> bool:
        """Return whether this host leads."""
        return self.authority() is not None

    def may_follow(self) -> bool:
        """Return whether another host leads and could be followed when last asked."""
        return self._following.may_follow()

    def knows_host_with_path(self) -> bool:
        """Return whether a host that follows this one has lately reached servers."""
        last_s = max(self._followers_reached_s.values(), default=float("-inf"))
        return boottime_s() - last_s < FOLLOWER_REACH_S

    async def has_stopped_leading(self, leader: LeaderProcess) -> bool:
        """Return whether a previous leader is known to send no more grants.

        Another process at its address proves that it has ended, and its own response
        tells whether it has stepped down. A missing response proves nothing.
        """
        try:
            connection = await self._pool.connect(leader.address)
            if connection.remote.process_id != leader.process_id:
                return True
            response = await self._fetch_documents(leader.address, 0.0)
        except JacinthpathError:
            return False
        return not response.content.leading

    async def fetch_from_peer(self) -> None:
        """Fetch and apply the documents of the first peer that responds.

        Tries up to :data:`MAX_PEERS_TRIED` peers in random order.

        :raises PeerUnavailable: no peer is known.
        :raises JacinthpathError: none responded; the error of the last one.
        """
        addresses = {*self._view.peer_addresses.values(), *self._seeds} - {
            self._address
        }
        sampled = self._random.sample(
            sorted(addresses), min(MAX_PEERS_TRIED, len(addresses))
        )
        last_error: JacinthpathError = PeerUnavailable("No peer is known.", "")
        for address in sampled:
            try:
                await self._fetch_documents(address, 0.0)
                return
            except JacinthpathError as error:
                last_error = error
        raise last_error

    async def _follow_leader(self) -> None:
        """Fetch documents from the leader as long as it is another host."""
        while not self.should_stop:
            leader = self._view.leader
            if leader is None or leader.address == self._address:
                await asyncio.sleep(PAUSE_S)
                continue
            try:
                # Asks for the first response at once: it shows that the leader leads.
                wait_s = LONG_POLL_WAIT_S if self.is_following() else 0.0
                response = await self._fetch_documents(leader.address, wait_s)
            except JacinthpathError as error:
                self._following.record_no_response(leader)
                if self.is_following():
                    self._events.log_process_event(
                        "leader_silent", leader=leader.host, error=str(error)
                    )
                await asyncio.sleep(PAUSE_S)
                continue
            self._following.record_response(leader, *response)
            if not self.is_following():
                await asyncio.sleep(UNCONFIRMED_PAUSE_S * self._random.random())
            await asyncio.sleep(self._following.pause_s(self._random))

    async def _fetch_documents(self, address: str, wait_s: float) -> _AppliedDocuments:
        """Fetch newer documents from one peer, apply them and return its response."""
        view = self._view
        newest = view.newest_documents()
        frame = new_frame()
        wanted = frame.body.init("documentsWanted")
        wanted.configurationRevision = newest.configuration_revision
        wanted.configurationVersion = newest.configuration_version
        wanted.assignmentFence = newest.assignment_fence
        wanted.assignmentRevision = newest.assignment_revision
        wanted.storeFails = store_fails = self.store_fails()
        wanted.configurationUnwanted = self._following.unwanted_digest(store_fails)
        wanted.configurationDigest = view.configuration.digest
        wanted.takesParts = view.configuration.accepts_parts
        wanted.takesCompressed = True
        wanted.serversDigest = view.directory.digest()
        wanted.hosts = len(view.peer_addresses)
        wanted.hostsDigest = view.hosts_digest()
        wanted.takesChanges = view.accepts_deltas
        wanted.waitMs = int(wait_s * 1000)
        wanted.takesLimits = True
        wanted.limitsDigest = view.limits.digest(boottime_s())
        wanted.takesColdServers = True
        wanted.coldDigest = view.cold_servers.digest()
        wanted.takesEvacuations = True
        wanted.evacuationsRevision = view.evacuated.revision
        wanted.takesBlocked = True
        wanted.blockedDigest = self._ledger.digest(boottime_s())
        wanted.reachesServers = self._reach.state() is Reach.REACHED
        wanted.takesCoordinators = True
        wanted.coordinatorsTerm = view.coordinators.term
        wanted.coordinatorsVersion = view.coordinators.version
        wanted.cores = self._appointer.own.cores
        wanted.stopping = self.is_stopping()
        sent_s = boottime_s()
        response = await self._pool.request(address, frame, REQUEST_TIMEOUT_S + wait_s)
        content = response.body.documents
        received_s = boottime_s()
        failed = apply_documents(content, view, f"peer {address}")
        self._following.applying_s = boottime_s() - received_s
        try:
            for blocked in read_blocked(content):
                self._merge_blocked(blocked, address)
        except Exception as error:
            self._loops.record_error("peer-documents", error)
        if content.countsShares:
            self._permits.record_counted(sent_s)
        return _AppliedDocuments(content, failed)

    def _merge_blocked(self, blocked: BlockedRequest, address: str) -> None:
        if self._ledger.merge_blocked(blocked):
            self._events.log_state_change(
                "request_blocked",
                fingerprint=f"{blocked.fingerprint:016x}",
                times=blocked.times,
                source=f"peer {address}",
            )
            self._view.notify()

    async def _handle_documents_wanted(self, connection: Any, frame: Any) -> Any:
        """Respond with newer documents, and wait for them if the requester asks to."""
        wanted = frame.body.documentsWanted
        counted = wanted.takesLimits and self._permits.count_host(
            connection.remote.host
        )
        if wanted.reachesServers:
            self._followers_reached_s[connection.remote.host] = boottime_s()
        self._record_candidate(connection.remote, wanted)
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + min(LONG_POLL_WAIT_S, wanted.waitMs / 1000)
        while (
            not self._has_updates(wanted)
            and self._permits.is_confirmed()
            and self._fresh_for_s() > 0
            and loop.time() < deadline_s
        ):
            # Followers learn at once that they have to read the store.
            wait_s = min(deadline_s - loop.time(), self._fresh_for_s())
            await wait_for_event(self._view.changed, wait_s)
        response = self._make_documents_frame(wanted)
        response.body.documents.countsShares = counted
        return response

    def _record_candidate(self, remote: PeerIdentity, wanted: Any) -> None:
        """Record whether the requester may lend slots of servers."""
        address = self._view.peer_addresses.get(remote.host)
        if address is None or not wanted.takesCoordinators:
            return
        if wanted.stopping or not 0 < wanted.cores < float("inf"):
            self._appointer.forget_candidate(remote.host)
        else:
            self._appointer.record_candidate(
                Candidate(remote.host, address, remote.data_centre, wanted.cores)
            )

    def _fresh_for_s(self) -> float:
        """Return for how long followers may still trust the servers of this host."""
        return MAX_LEADER_AGE_S - self._view.servers_age_s()

    def _has_updates(self, wanted: Any) -> bool:
        newest = self._view.newest_documents()
        return (
            has_newer_configuration(newest, wanted)
            or has_newer_assignment(newest, wanted)
            or self._view.directory.digest() != wanted.serversDigest
            or has_other_limits(self._view.limits, wanted)
            or has_other_cold_servers(self._view, wanted)
            or has_newer_evacuations(self._view, wanted)
            or has_other_blocked(self._ledger, wanted)
            or has_newer_coordinators(self._view.coordinators, wanted)
        )

    def _make_documents_frame(self, wanted: Any) -> Any:
        """Return the response, with as many of the documents as fit into a frame.

        One that cannot be written is left out with those that are written after it.
        """
        form = choose_form(self._view, wanted, self._link_budget.take)
        for parts in sorted(DocumentParts, reverse=True):
            try:
                response = self._make_frame_with(parts, wanted, form)
            except Exception as error:
                if parts is min(DocumentParts):
                    raise
                self._loops.record_error("write-documents", error)
                continue
            if fits_frame(response):
                break
            self._events.log_process_event("documents_too_large", parts=parts.name)
        return response

    def _make_frame_with(
        self, parts: DocumentParts, wanted: Any, form: ConfigurationForm
    ) -> Any:
        response = new_frame()
        content = response.body.init("documents")
        content.leading = self.is_leading()
        content.confirmed = self._permits.is_confirmed()
        write_documents(content, wanted, self._view, parts, form)
        if has_other_blocked(self._ledger, wanted):
            write_blocked(content, self._ledger)
        if has_newer_coordinators(self._view.coordinators, wanted):
            write_coordinators(content, self._view.coordinators)
        return response
