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
from .clock import boottime_s
from .cluster_view import ClusterView
from .crash_ledger import BlockedRequest, CrashLedger
from .crash_messages import has_other_blocked, read_blocked, write_blocked
from .events import EventLog
from .leader_record import LeaderRecord
from .limit_messages import has_other_limits
from .loops import LoopSupervisor
from .peer_messages import (
    DocumentParts,
    apply_documents,
    configuration_age_s,
    has_newer_assignment,
    has_newer_configuration,
    write_documents,
)
from .permit_exchange import PermitExchange
from .reach_monitor import ReachMonitor
from .server_reach import Reach
from .waiting import wait_for_event

REQUEST_TIMEOUT_S = 0.4
LONG_POLL_WAIT_S = 0.5
"""The leader responds as soon as it has updates, and after this time at the latest."""

FOLLOWING_TIMEOUT_S = 1.0
"""A host that gets no fresh response from the leader for this long reads the store
instead: requests to a draining server must stop within two seconds."""

MAX_LEADER_AGE_S = 1.5
"""A leader whose list of servers is older than this is not followed. Its followers have
the rest of two seconds to read the store, before requests to a draining server must
stop."""

MAX_CONFIGURATION_AGE_S = 1.3
"""A leader whose configuration was confirmed longer ago is not followed in it."""

FOLLOW_PAUSE_S = 0.15
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
    :param ledger: requests that are blocked.
    :param reach: knows whether this host reaches the servers.
    :param handlers: handlers of the frames other than requests for documents.
    :param address: address of this host for peers.
    :param seeds: addresses of peers, besides those known from the store.
    :ivar is_seed: whether this host is one of those that others ask first.
    :ivar authority: returns what this host may do as the leader, ``None`` if it does
        not lead.
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
        ledger: CrashLedger,
        reach: ReachMonitor,
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
        self._followed_at_s = float("-inf")
        self._followed_process_id = ""
        self._unresponsive_process_id = ""
        self._leader_has_news = False
        self.is_seed = address in seeds
        self.authority: Callable[[], LeaderAuthority | None] = lambda: None
        all_handlers = {**handlers, "documentsWanted": self._handle_documents_wanted}
        self._server = PeerServer(identity, address, keys, all_handlers, metrics)
        self._pool = pool
        self._permits = permits
        self._ledger = ledger
        self._reach = reach
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
        leader = self._view.leader
        return (
            leader is not None
            and leader.process_id == self._followed_process_id
            and boottime_s() - self._followed_at_s < FOLLOWING_TIMEOUT_S
        )

    def keeps_configuration_current(self) -> bool:
        """Return whether the leader keeps the configuration of this host up to date."""
        return self._leader_has_news and self.is_following()

    def is_leading(self) -> bool:
        """Return whether this host leads."""
        return self.authority() is not None

    def may_follow(self) -> bool:
        """Return whether another host leads and could be followed when last asked."""
        leader = self._view.leader
        return (
            leader is not None
            and leader.address != self._address
            and leader.process_id != self._unresponsive_process_id
        )

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
                await asyncio.sleep(FOLLOW_PAUSE_S)
                continue
            try:
                # Asks for the first response at once: it shows that the leader leads.
                wait_s = LONG_POLL_WAIT_S if self.is_following() else 0.0
                response = await self._fetch_documents(leader.address, wait_s)
            except JacinthpathError as error:
                self._unresponsive_process_id = leader.process_id
                if self.is_following():
                    self._events.log_process_event(
                        "leader_silent", leader=leader.host, error=str(error)
                    )
                await asyncio.sleep(FOLLOW_PAUSE_S)
                continue
            self._record_leader_response(leader, response)
            if not self.is_following():
                await asyncio.sleep(UNCONFIRMED_PAUSE_S * self._random.random())
            # Updates come in bursts. The pause lets one response carry several, and
            # bounds the message rate if the documents of two hosts never converge.
            await asyncio.sleep(FOLLOW_PAUSE_S * self._random.random())

    def _record_leader_response(
        self, leader: LeaderRecord, response: _AppliedDocuments
    ) -> None:
        content, failed = response
        self._leader_has_news = (
            configuration_age_s(content) < MAX_CONFIGURATION_AGE_S
            and "configuration" not in failed
        )
        has_news = content.confirmed and content.ageMs < MAX_LEADER_AGE_S * 1000
        if not has_news:
            # Drains that it has not heard of are late already.
            self._followed_at_s = float("-inf")
        elif "servers" not in failed:
            self._followed_at_s = boottime_s()
            self._followed_process_id = leader.process_id
            self._unresponsive_process_id = ""
        if not content.confirmed:
            # Another host may lead already, and the store alone tells which.
            self._unresponsive_process_id = leader.process_id

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
        wanted.serversDigest = view.directory.digest()
        wanted.hosts = len(view.peer_addresses)
        wanted.takesChanges = view.accepts_deltas
        wanted.waitMs = int(wait_s * 1000)
        wanted.takesLimits = True
        wanted.limitsDigest = view.limits.digest(boottime_s())
        wanted.takesBlocked = True
        wanted.blockedDigest = self._ledger.digest(boottime_s())
        wanted.reachesServers = self._reach.state() is Reach.REACHED
        sent_s = boottime_s()
        response = await self._pool.request(address, frame, REQUEST_TIMEOUT_S + wait_s)
        content = response.body.documents
        failed = apply_documents(content, view, f"peer {address}")
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
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + min(LONG_POLL_WAIT_S, wanted.waitMs / 1000)
        while (
            not self._has_updates(wanted)
            and self._permits.is_confirmed()
            and not self._lost_news_lately()
            and loop.time() < deadline_s
        ):
            # Followers learn at once that they have to read the store.
            wait_s = min(deadline_s - loop.time(), self._news_left_s())
            await wait_for_event(self._view.changed, wait_s)
        response = self._make_documents_frame(wanted)
        response.body.documents.countsShares = counted
        return response

    def _lost_news_lately(self) -> bool:
        """Return whether a part is too old, and a follower may not know it yet.

        Its request may have been sent before.
        """
        return any(-LONG_POLL_WAIT_S < left_s <= 0 for left_s in self._news().values())

    def _news_left_s(self) -> float:
        """Return the time until the next part becomes too old for followers."""
        left_s = (left_s for left_s in self._news().values() if left_s > 0)
        return min(left_s, default=float("inf"))

    def _news(self) -> dict[str, float]:
        """Return by part for how long followers may still trust it."""
        view = self._view
        return {
            "configuration": MAX_CONFIGURATION_AGE_S - view.configuration.age_s(),
            "servers": MAX_LEADER_AGE_S - view.servers_age_s(),
        }

    def _has_updates(self, wanted: Any) -> bool:
        newest = self._view.newest_documents()
        return (
            has_newer_configuration(newest, wanted)
            or has_newer_assignment(newest, wanted)
            or self._view.directory.digest() != wanted.serversDigest
            or has_other_limits(self._view.limits, wanted)
            or has_other_blocked(self._ledger, wanted)
        )

    def _make_documents_frame(self, wanted: Any) -> Any:
        """Return the response, with as many of the documents as fit into a frame.

        One that cannot be written is left out with those that are written after it.
        """
        for parts in sorted(DocumentParts, reverse=True):
            try:
                response = self._make_frame_with(parts, wanted)
            except Exception as error:
                if parts is min(DocumentParts):
                    raise
                self._loops.record_error("write-documents", error)
                continue
            if fits_frame(response):
                break
            self._events.log_process_event("documents_too_large", parts=parts.name)
        return response

    def _make_frame_with(self, parts: DocumentParts, wanted: Any) -> Any:
        response = new_frame()
        content = response.body.init("documents")
        content.leading = self.is_leading()
        content.confirmed = self._permits.is_confirmed()
        write_documents(content, wanted, self._view, parts)
        if has_other_blocked(self._ledger, wanted):
            write_blocked(content, self._ledger)
        return response
