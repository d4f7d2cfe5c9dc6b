"""Messages between gateways: load reports, and documents for a host cut off."""

from __future__ import annotations

__all__ = ["Peering"]

import asyncio
from collections.abc import Callable, Mapping
from random import Random
from typing import Any

from mode import Service

from ..codec import new_frame
from ..errors import JacinthpathError, PeerUnavailable
from ..keyring import SharedKey
from ..metrics import Metrics
from ..peers import PeerIdentity, PeerPool, PeerServer
from .assignment import LeaderProcess
from .clock import boottime_s
from .cluster_view import ClusterView
from .events import EventLog
from .loads import HostReport, LoadAggregator, LoadRecorder
from .peer_messages import (
    apply_documents,
    read_report,
    write_documents,
    write_report,
)

REPORT_S = 0.3
SEND_TIMEOUT_S = 0.4
FOLLOW_WAIT_S = 0.5
"""The leader answers at once when it has news and after this time otherwise."""

FOLLOWED_S = 1.0
"""Without a fresh answer of the leader for this long, a host reads the store: a server
that drains has to be left within two seconds."""

LEADER_FRESH_S = 1.5
FOLLOW_RETRY_S = 0.15
MAX_ADDRESSES_TRIED = 3
MAX_AGE_S = 4_000_000.0
"""Longest age that a message can carry; it stands for one that is not known."""


class Peering(Service):
    """Serves and asks the other gateways.

    :param address: address of this host for peers.
    :param seeds: addresses to ask while no other is known.
    """

    def __init__(
        self,
        own: PeerIdentity,
        address: str,
        seeds: tuple[str, ...],
        keys: SharedKey,
        view: ClusterView,
        load_recorder: LoadRecorder,
        load_aggregator: LoadAggregator,
        metrics: Metrics,
        events: EventLog,
        random: Random,
    ) -> None:
        super().__init__()
        self._own = own
        self._address = address
        self._seeds = seeds
        self._view = view
        self._load_recorder = load_recorder
        self._load_aggregator = load_aggregator
        self._events = events
        self._random = random
        self._followed_s = float("-inf")
        self._followed_process = ""
        self._silent_process = ""
        self.is_leading: Callable[[], bool] = lambda: False
        handlers: Mapping[str, Any] = {
            "hostReport": self._take_report,
            "documentsWanted": self._give_documents,
        }
        self._server = PeerServer(own, address, keys, handlers, metrics)
        self._pool = PeerPool(own, keys, {}, metrics, random)

    async def on_start(self) -> None:
        """Listen to peers and begin to report."""
        await self._server.start()
        self.add_future(self._report_regularly())
        self.add_future(self._follow_leader())

    async def on_stop(self) -> None:
        """Close all connections."""
        await self._pool.close()
        await self._server.close()

    def is_following(self) -> bool:
        """Return whether the leader keeps this host up to date."""
        leader = self._view.leader
        return (
            leader is not None
            and leader.process_id == self._followed_process
            and boottime_s() - self._followed_s < FOLLOWED_S
        )

    def may_follow(self) -> bool:
        """Return whether there is a leader to ask that has not failed to answer."""
        leader = self._view.leader
        return (
            leader is not None
            and leader.address != self._address
            and leader.process_id != self._silent_process
        )

    async def has_stopped_leading(self, leader: LeaderProcess) -> bool:
        """Return whether a former leader is known to send no grants any more.

        Another process at its address proves that it ended; a process that answers
        may have stepped down. Silence proves nothing.
        """
        try:
            connection = await self._pool.connect(leader.address)
            if connection.remote.process_id != leader.process_id:
                return True
            answer = await self._ask(leader.address, 0.0)
        except JacinthpathError:
            return False
        return not answer.leading

    async def refresh(self) -> None:
        """Ask peers in random order until one answers, and apply what it knows.

        :raises PeerUnavailable: none answered.
        """
        addresses = {*self._view.peer_addresses.values(), *self._seeds} - {
            self._address
        }
        chosen = self._random.sample(
            sorted(addresses), min(MAX_ADDRESSES_TRIED, len(addresses))
        )
        last: JacinthpathError = PeerUnavailable("No peer is known.", "")
        for address in chosen:
            try:
                await self._ask(address, 0.0)
                return
            except JacinthpathError as error:
                last = error
        raise last

    async def _follow_leader(self) -> None:
        """Keep up with the leader as long as it is another host and answers."""
        while not self.should_stop:
            leader = self._view.leader
            if leader is None or leader.address == self._address:
                await asyncio.sleep(FOLLOW_RETRY_S)
                continue
            try:
                # The first answer is wanted at once: it shows that the leader leads.
                wait_s = FOLLOW_WAIT_S if self.is_following() else 0.0
                answer = await self._ask(leader.address, wait_s)
            except JacinthpathError as error:
                self._silent_process = leader.process_id
                if self.is_following():
                    self._events.process(
                        "leader_silent", leader=leader.host, error=str(error)
                    )
                await asyncio.sleep(FOLLOW_RETRY_S)
                continue
            if answer.leading and answer.ageMs < LEADER_FRESH_S * 1000:
                self._followed_s = boottime_s()
                self._followed_process = leader.process_id
                self._silent_process = ""
            # News come in bursts; a pause lets one answer carry several, and bounds
            # the messages should two hosts not agree.
            await asyncio.sleep(FOLLOW_RETRY_S * self._random.random())

    async def _ask(self, address: str, wait_s: float) -> Any:
        """Ask one peer for newer documents, apply them and return its answer."""
        view = self._view
        known = view.newest_documents()
        frame = new_frame()
        wanted = frame.body.init("documentsWanted")
        wanted.configurationRevision = known.configuration_revision
        wanted.assignmentRevision = known.assignment_revision
        wanted.serversDigest = view.directory.digest()
        wanted.hosts = len(view.peer_addresses)
        wanted.takesChanges = view.accepts_deltas
        wanted.waitMs = int(wait_s * 1000)
        answer = await self._pool.request(address, frame, SEND_TIMEOUT_S + wait_s)
        content = answer.body.documents
        apply_documents(content, view, f"peer {address}")
        return content

    async def _give_documents(self, _connection: Any, frame: Any) -> Any:
        """Answer with what is newer than what the asker has; wait for it if asked."""
        wanted = frame.body.documentsWanted
        loop = asyncio.get_running_loop()
        until_s = loop.time() + min(FOLLOW_WAIT_S, wanted.waitMs / 1000)
        while not self._has_news(wanted) and loop.time() < until_s:
            changed = self._view.changed
            try:
                async with asyncio.timeout_at(until_s):
                    await changed.wait()
            except TimeoutError:
                break
        return self._documents_frame(wanted)

    def _has_news(self, wanted: Any) -> bool:
        known = self._view.newest_documents()
        return (
            known.configuration_revision > wanted.configurationRevision
            or known.assignment_revision > wanted.assignmentRevision
            or self._view.directory.digest() != wanted.serversDigest
        )

    def _documents_frame(self, wanted: Any) -> Any:
        view = self._view
        answer = new_frame()
        content = answer.body.init("documents")
        content.ageMs = int(min(MAX_AGE_S, view.servers_age_s()) * 1000)
        content.leading = self.is_leading()
        write_documents(content, wanted, view)
        return answer

    async def _report_regularly(self) -> None:
        loop = asyncio.get_running_loop()
        last_s = loop.time()
        while not self.should_stop:
            await asyncio.sleep(REPORT_S * (0.8 + 0.4 * self._random.random()))
            now_s = loop.time()
            report = self._load_recorder.collect_report(self._own.host, now_s - last_s)
            last_s = now_s
            if report.services:
                await self._send_report(report)

    async def _send_report(self, report: HostReport) -> None:
        leader = self._view.leader
        if leader is None:
            return
        if leader.address == self._address:
            self._load_aggregator.add(report)
            return
        frame = new_frame()
        write_report(frame.body.init("hostReport"), report)
        try:
            await self._pool.request(leader.address, frame, SEND_TIMEOUT_S)
        except JacinthpathError as error:
            # Loads are a hint; the next report carries newer ones.
            self._events.process(
                "report_not_taken", leader=leader.host, error=str(error)
            )

    async def _take_report(self, _connection: Any, frame: Any) -> None:
        self._load_aggregator.add(read_report(frame.body.hostReport))
