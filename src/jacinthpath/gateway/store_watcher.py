"""Follows the platform's store, and peers while the store does not answer."""

from __future__ import annotations

__all__ = ["StoreWatcher", "WatchedKeys"]

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from typing import NamedTuple, Protocol

from mode import Service

from ..errors import JacinthpathError, StoreError
from .clock import boottime_s
from .cluster_view import ASSIGNMENT_KEY, HOSTS_PREFIX, LEADER_KEY, ClusterView
from .events import EventLog
from .store import Change, HistoryLost, Store
from .store_health import RETRY_S, StoreHealth

OWN_PREFIX = "jacinthpath/"

WATCH_S = 18.0
"""Longest wait of one watch: the store keeps 20 s of history (platform page), and a
watch that is older has to list the keys again."""

SERVERS_PACE_S = 0.4
"""Entries change with each heartbeat of each server, so changes are fetched at this
pace, mostly by the leader alone; a draining server must be left within two seconds."""

SERVERS_WATCH_S = 0.8
"""A watch of the servers ends at the latest after this, so that an answer shows how
fresh the list is."""

LEADER_LISTED_S = 0.3
"""A host that starts waits this long for the store to name the leader."""

LEADER_ANSWERS_S = 0.3
"""A host that starts waits this long for the leader's documents, which takes some
milliseconds, before it reads them from the store."""

FIRST_START_SPREAD_S = 1.0
"""When all hosts start for the first time, each waits a random part of this for one
of them to lead; callers come seconds later."""

FOLLOW_POLL_S = 0.1
"""Pause between looks at whether the leader still answers this host."""

START_POLL_S = 0.02
EXPIRE_S = 0.2

PEER_PERIOD_S = 0.3
"""While the store does not answer, a peer is asked this often."""

COUNTS_PERIOD_S = 10.0


class WatchedKeys(NamedTuple):
    """Where the operator and the servers write.

    :param configuration: key of the operator's configuration.
    :param servers_prefix: prefix of the servers' entries; their identity follows.
    """

    configuration: str
    servers_prefix: str


class PeerDocuments(Protocol):
    """Learns documents from peers."""

    def is_following(self) -> bool:
        """Return whether the leader keeps this host up to date."""

    def may_follow(self) -> bool:
        """Return whether there is a leader to ask that has not failed to answer."""

    async def refresh(self) -> None:
        """Apply what one peer knows."""


class StoreWatcher(Service):
    """Keeps the beliefs of this host up to date.

    Every host watches the configuration and who leads: a call for each change. The
    owners and the servers change all the time; they come from the leader, and from
    the store only while no leader answers, so that calls do not grow with the fleet.

    :param first_start: whether all hosts start for the first time, and nobody waits.
    """

    def __init__(
        self,
        store: Store,
        keys: WatchedKeys,
        view: ClusterView,
        peers: PeerDocuments,
        events: EventLog,
        random: Random,
        first_start: bool,
    ) -> None:
        super().__init__()
        self._first_start = first_start
        self._store = store
        self._keys = keys
        self._view = view
        self._peers = peers
        self._events = events
        self._random = random
        self._contact = StoreHealth(view, events, random)
        self._leader_listed = asyncio.Event()

    async def on_start(self) -> None:
        """Start a task for each part of the store that is followed."""
        self.add_future(self._follow("configuration", self._read_configuration))
        self.add_future(self._follow("leader", self._read_leader))
        self.add_future(self._follow("own", self._read_own, unless_following=True))
        self.add_future(
            self._follow("servers", self._read_servers, unless_following=True)
        )
        self.add_future(self._expire())
        self.add_future(self._ask_peers())
        self.add_future(self._log_counts())

    async def _follow(
        self,
        part: str,
        run: Callable[[], Awaitable[None]],
        unless_following: bool = False,
    ) -> None:
        """Run one part again and again; each run lists and then watches."""
        if unless_following:
            await self._wait_for_leader()
        while not self.should_stop:
            if unless_following and self._peers.is_following():
                self._contact.forget(part)
                await asyncio.sleep(FOLLOW_POLL_S)
                continue
            try:
                await run()
            except HistoryLost as error:
                self._events.process("store_history_lost", part=part, error=str(error))
                await asyncio.sleep(RETRY_S * self._random.random())
            except (StoreError, KeyError, TypeError, ValueError) as error:
                await self._contact.failed(part, error, self._peers.is_following())

    async def _wait_for_leader(self) -> None:
        """Give a leader that works the time to tell this host what it knows.

        When a fleet starts, hosts that all read everything load the store.
        """
        try:
            async with asyncio.timeout(LEADER_LISTED_S):
                await self._leader_listed.wait()
        except TimeoutError:
            return
        if self._first_start:
            until_s = boottime_s() + FIRST_START_SPREAD_S * self._random.random()
            while self._view.leader is None and boottime_s() < until_s:
                await asyncio.sleep(START_POLL_S)
        until_s = boottime_s() + LEADER_ANSWERS_S
        while self._peers.may_follow() and boottime_s() < until_s:
            if self._peers.is_following():
                return
            await asyncio.sleep(START_POLL_S)

    async def _read_configuration(self) -> None:
        listed = await self._store.list(self._keys.configuration)
        self._contact.answered("configuration")
        for item in listed.items:
            self._apply_configuration(Change(*item))
        await self._watch("configuration", self._keys.configuration, listed.revision)

    async def _read_leader(self) -> None:
        listed = await self._store.list(LEADER_KEY)
        self._contact.answered("leader")
        for item in listed.items:
            self._apply_own(Change(*item))
        if not listed.items:
            self._view.apply_leader(None, listed.revision)
        self._leader_listed.set()
        await self._watch("leader", LEADER_KEY, listed.revision)

    async def _read_own(self) -> None:
        listed = await self._store.list(OWN_PREFIX)
        self._contact.answered("own")
        for item in listed.items:
            self._apply_own(Change(*item))
        await self._watch("own", OWN_PREFIX, listed.revision)

    async def _read_servers(self) -> None:
        listed = await self._store.list(self._keys.servers_prefix)
        self._contact.answered("servers")
        self._view.replace_servers(listed.items, listed.revision)
        await self._watch(
            "servers",
            self._keys.servers_prefix,
            listed.revision,
            SERVERS_WATCH_S,
            SERVERS_PACE_S,
        )

    async def _watch(
        self,
        part: str,
        prefix: str,
        revision: int,
        wait_s: float = WATCH_S,
        pace_s: float = 0.0,
    ) -> None:
        """Apply changes; end when the leader begins to keep this part up to date."""
        apply = {
            "configuration": self._apply_configuration,
            "leader": self._apply_own,
            "own": self._apply_own,
            "servers": self._apply_server,
        }[part]
        followed = part in ("own", "servers")
        while not (followed and self._peers.is_following()) and not self.should_stop:
            try:
                changes = await self._contact.until_regained(
                    self._store.watch(prefix, revision, wait_s)
                )
            except HistoryLost:
                raise
            except StoreError as error:
                # The missed changes are asked for again; a list is dearer.
                await self._contact.failed(part, error, self._peers.is_following())
                continue
            if changes is None:
                continue
            self._contact.answered(part)
            revision = max(revision, changes.revision)
            for change in changes.changes:
                apply(change)
            if pace_s:
                await asyncio.sleep(pace_s * (0.9 + 0.2 * self._random.random()))

    def _apply_configuration(self, change: Change) -> None:
        if change.key == self._keys.configuration and change.value is not None:
            self._view.apply_configuration(change.value, change.revision, "store")

    def _apply_own(self, change: Change) -> None:
        if change.key == LEADER_KEY:
            self._view.apply_leader(change.value, change.revision)
        elif change.key == ASSIGNMENT_KEY and change.value is not None:
            self._view.apply_assignment(change.value, change.revision, "store")
        elif change.key.startswith(HOSTS_PREFIX):
            name = change.key.removeprefix(HOSTS_PREFIX)
            self._view.apply_peer_address(name, change.value)

    def _apply_server(self, change: Change) -> None:
        server = change.key.removeprefix(self._keys.servers_prefix)
        if change.value is None:
            self._view.remove_server(server, change.revision)
        else:
            self._view.apply_server(server, change.value, change.revision)

    async def _ask_peers(self) -> None:
        """Follow the peers while any part of the store does not answer."""
        answering = True
        while not self.should_stop:
            await asyncio.sleep(PEER_PERIOD_S * (0.8 + 0.4 * self._random.random()))
            if not self._contact.is_lost() or self._peers.is_following():
                continue
            try:
                await self._peers.refresh()
                answering = True
            except JacinthpathError as error:
                if answering:
                    self._events.process("peers_unavailable", error=str(error))
                answering = False

    async def _log_counts(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(COUNTS_PERIOD_S)
            self._events.process("store_calls", **self._store.calls)

    async def _expire(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(EXPIRE_S)
            self._view.expire_servers()
