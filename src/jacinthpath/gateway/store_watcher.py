"""Watches the platform's store, and fetches from peers while it does not respond."""

from __future__ import annotations

__all__ = ["StoreWatcher", "WatchedKeys"]

import asyncio
import os
from collections.abc import Awaitable, Callable
from functools import partial
from random import Random
from typing import NamedTuple, Protocol

from mode import Service

from ..errors import JacinthpathError, StoreError
from .clock import boottime_s
from .cluster_view import ASSIGNMENT_KEY, HOSTS_PREFIX, LEADER_KEY, ClusterView
from .early_servers import EarlyServers
from .events import EventLog
from .loops import LoopSupervisor
from .relisting import ListingSchedule
from .store import Change, HistoryLost, Listing, Store
from .store_health import RETRY_DELAY_S, StoreHealth
from .waiting import wait_for_event

GATEWAY_PREFIX = "jacinthpath/"
"""Prefix of the keys that the gateways themselves write."""

WATCH_TIMEOUT_S = 18.0
"""Longest wait of one watch: the store keeps 20 s of history (according to the
platform's documentation); after a longer wait the keys have to be listed again."""

CONFIRMING_WATCH_TIMEOUT_S = 0.5
"""Longest wait of a leader's watch of the configuration, so that a response regularly
confirms it: its followers do not read the store."""

SERVERS_WATCH_INTERVAL_S = 0.4
"""Entries change with each heartbeat of each server, so changes are fetched at this
interval, mostly by the leader alone; requests to a draining server must stop within two
seconds."""

SERVERS_WATCH_TIMEOUT_S = 0.5
"""Longest wait of one watch of the servers, so that a response regularly confirms the
list."""

MAX_SERVERS_AGE_S = 1.5
"""A host whose list of servers is older asks its peers as well, before its watch fails:
requests to a draining server must stop within two seconds."""

PARTS = ("configuration", "leader", "own", "servers")
"""Parts of the store that are watched, each by a loop of its own."""

LISTED_AFTER_FAILURE = frozenset({"configuration", "own"})
"""Parts with large documents that change often: a watch from the same revision would
bring each version that was missed, and a list only the newest."""

LEADER_RECORD_TIMEOUT_S = 0.3
"""A starting host waits at most this long until it has read the leader record."""

LEADER_DOCUMENTS_TIMEOUT_S = 0.3
"""A starting host waits at most this long for the leader's documents, which take some
milliseconds, before it reads them from the store."""

FIRST_START_JITTER_S = 1.0
"""When all hosts start for the first time, each waits at most a random part of this
for one of them to lead; callers come seconds later."""

FIRST_START_HEAD_START_S = 1.0
"""When all hosts start for the first time, the standing watchers may elect a leader for
this long before the other hosts read the leader record."""

FOLLOWING_POLL_S = 0.1
"""Interval of the checks whether the leader still keeps this host up to date."""

START_POLL_S = 0.02
EXPIRY_INTERVAL_S = 0.2

PEER_FETCH_INTERVAL_S = 0.3
"""Mean interval of fetches from peers while the store does not respond."""

STORE_CALLS_LOG_INTERVAL_S = 10.0


class WatchedKeys(NamedTuple):
    """Keys of the store that the operator and the servers write.

    :param configuration: key of the operator's configuration.
    :param servers_prefix: prefix of the servers' entries, followed by the server id.
    :param evacuations_prefix: prefix of the keys that evacuate data centres, followed
        by the name of one; empty if the deployment has none.
    """

    configuration: str
    servers_prefix: str
    evacuations_prefix: str = ""

    def operator_prefix(self) -> str:
        """Return the prefix of all that the operator writes.

        One watch for it costs the store no more calls than one for the configuration.
        """
        if not self.evacuations_prefix:
            return self.configuration
        return os.path.commonprefix([self.configuration, self.evacuations_prefix])


class PeerDocumentSource(Protocol):
    """Fetches documents from peers and applies them to the view.

    :ivar is_seed: whether this host is one of those that others ask first.
    """

    is_seed: bool

    def is_following(self) -> bool:
        """Return whether the leader keeps this host up to date."""

    def keeps_configuration_current(self) -> bool:
        """Return whether the leader keeps the configuration of this host up to date."""

    def keeps_evacuations_current(self) -> bool:
        """Return whether the leader keeps the evacuations of this host up to date."""

    def is_leading(self) -> bool:
        """Return whether this host leads."""

    def may_follow(self) -> bool:
        """Return whether another host leads and could be followed when last asked."""

    async def fetch_from_peer(self) -> None:
        """Fetch and apply the documents of one peer that responds."""


class StoreWatcher(Service):
    """Keeps the cluster view of this host up to date.

    All documents come from the leader, and from the store only while no leader
    responds, so that calls do not grow with the fleet. The seeds always watch the
    leader record too, so that a leader that ends has a successor at once.

    :param first_start: whether all hosts start for the first time, before any caller
        waits.
    :param heartbeat_s: interval at which a server writes its entry.
    :param loops: runs the loops of this service.
    """

    def __init__(
        self,
        store: Store,
        keys: WatchedKeys,
        view: ClusterView,
        peers: PeerDocumentSource,
        events: EventLog,
        random: Random,
        first_start: bool,
        heartbeat_s: float,
        loops: LoopSupervisor,
    ) -> None:
        super().__init__()
        self._first_start = first_start
        self._store = store
        self._keys = keys
        self._view = view
        self._peers = peers
        self._events = events
        self._random = random
        self._loops = loops
        self._health = StoreHealth(view, events, random)
        self._leader_record_read = asyncio.Event()
        self._was_leading = False
        self._not_served = {part: asyncio.Event() for part in PARTS}
        self._early_servers = EarlyServers(
            store,
            view,
            loops,
            self._apply_server,
            SERVERS_WATCH_INTERVAL_S,
            heartbeat_s,
        )
        self._listings = {part: ListingSchedule() for part in PARTS}

    async def on_start(self) -> None:
        """Start a loop for each watched part of the store."""
        loops = {
            "track-following": self._track_following,
            "watch-leader": self._watch_leader_record,
            "expire-servers": self._expire_servers,
            "fetch-from-peers": self._fetch_from_peers,
            "log-store-calls": self._log_store_calls,
        }
        for part, list_and_watch in (
            ("configuration", self._list_and_watch_configuration),
            ("own", self._list_and_watch_gateway_keys),
            ("servers", self._list_and_watch_servers),
        ):
            loops[f"watch-{part}"] = partial(
                self._watch_unless_following, part, list_and_watch
            )
        for name, loop in loops.items():
            self.add_future(self._loops.run(name, loop))

    async def _watch_leader_record(self) -> None:
        if self._first_start and not self._peers.is_seed:
            await asyncio.sleep(FIRST_START_HEAD_START_S * (1 + self._random.random()))
        await self._keep_watching("leader", self._list_and_watch_leader)

    async def _watch_unless_following(
        self, part: str, list_and_watch: Callable[[], Awaitable[None]]
    ) -> None:
        await self._wait_for_leader()
        await self._keep_watching(part, list_and_watch)

    async def _keep_watching(
        self, part: str, list_and_watch: Callable[[], Awaitable[None]]
    ) -> None:
        """Repeatedly list and then watch one part, with a delay after each failure.

        Pauses while the leader keeps the part up to date. Errors of our own are left to
        the supervisor of the loop: they are no failures of the store.
        """
        while not self.should_stop:
            if self._is_served_by_leader(part):
                self._health.stop_tracking(part)
                self._not_served[part].clear()
                await self._not_served[part].wait()
                continue
            try:
                await list_and_watch()
            except HistoryLost as error:
                self._events.log_process_event(
                    "store_history_lost", part=part, error=str(error)
                )
                await asyncio.sleep(RETRY_DELAY_S * self._random.random())
            except StoreError as error:
                await self._health.record_failure(
                    part, error, self._is_served_by_leader(part)
                )

    def store_fails(self) -> bool:
        """Return whether the store does not respond for a part that is read there."""
        return bool(self._health.failing_parts())

    def _is_served_by_leader(self, part: str) -> bool:
        """Return whether this host need not read the part from the store."""
        if part == "leader" and self._peers.is_seed:
            return False
        if part == "configuration":
            return self._peers.keeps_configuration_current() and (
                not self._keys.evacuations_prefix
                or self._peers.keeps_evacuations_current()
            )
        return self._peers.is_following()

    async def _track_following(self) -> None:
        """Wake the parts that the leader no longer serves, all by one timer."""
        while not self.should_stop:
            self._update_following()
            self._resend_watches_of_new_leader()
            await asyncio.sleep(FOLLOWING_POLL_S)

    def _update_following(self) -> None:
        for part, not_served in self._not_served.items():
            if self._is_served_by_leader(part):
                not_served.clear()
            else:
                not_served.set()

    def _resend_watches_of_new_leader(self) -> None:
        """Resend the watches that wait for longer than those of a leader do."""
        is_leading = self._peers.is_leading()
        if is_leading and not self._was_leading:
            self._health.resend_watches()
        self._was_leading = is_leading

    async def _wait_for_leader(self) -> None:
        """Wait until a working leader has had time to send its documents.

        If all hosts of a fleet that starts read everything, they overload the store.
        """
        timeout_s = LEADER_RECORD_TIMEOUT_S
        if self._first_start:
            timeout_s += 2 * FIRST_START_HEAD_START_S
        await wait_for_event(self._leader_record_read, timeout_s)
        if self._first_start:
            deadline_s = boottime_s() + FIRST_START_JITTER_S * self._random.random()
            while self._view.leader is None and boottime_s() < deadline_s:
                await asyncio.sleep(START_POLL_S)
        await self._wait_for_documents()

    async def _wait_for_documents(self) -> None:
        """Wait briefly for the documents of a leader that may be followed."""
        deadline_s = boottime_s() + LEADER_DOCUMENTS_TIMEOUT_S
        while self._peers.may_follow() and boottime_s() < deadline_s:
            if self._peers.is_following():
                return
            await asyncio.sleep(START_POLL_S)

    async def _list_and_watch_configuration(self) -> None:
        prefix = self._keys.operator_prefix()
        listing = await self._list("configuration", prefix)
        heard_s = self._health.record_response("configuration")
        for item in listing.items:
            if item.key == self._keys.configuration:
                self._apply_change("configuration", Change(*item))
        self._apply_evacuations(listing)
        self._record_applied("configuration", heard_s, listing.revision)
        await self._watch_changes("configuration", prefix, listing.revision)

    async def _list_and_watch_leader(self) -> None:
        listing = await self._list("leader", LEADER_KEY)
        self._health.record_response("leader")
        for item in listing.items:
            self._apply_change("leader", Change(*item))
        if not listing.items:
            self._view.apply_leader(None, listing.revision)
        self._leader_record_read.set()
        await self._wait_for_documents()
        await self._watch_changes("leader", LEADER_KEY, listing.revision)

    async def _list_and_watch_gateway_keys(self) -> None:
        listing = await self._list("own", GATEWAY_PREFIX)
        self._health.record_response("own")
        for item in listing.items:
            self._apply_change("own", Change(*item))
        await self._watch_changes("own", GATEWAY_PREFIX, listing.revision)

    async def _list_and_watch_servers(self) -> None:
        prefix = self._keys.servers_prefix
        with self._early_servers.applied(prefix) as handle_page:
            listing = await self._list("servers", prefix, handle_page)
        heard_s = self._health.record_response("servers")
        failures = self._view.server_failures()
        self._view.replace_servers(listing.items, listing.revision)
        if self._view.server_failures() > failures:
            self._listings["servers"].record_failure(boottime_s())
        self._record_applied("servers", heard_s, listing.revision)
        await self._watch_changes(
            "servers",
            self._keys.servers_prefix,
            listing.revision,
            SERVERS_WATCH_TIMEOUT_S,
            SERVERS_WATCH_INTERVAL_S,
        )

    def _apply_evacuations(self, listing: Listing) -> None:
        """Apply the evacuations in a list of the operator's keys."""
        prefix = self._keys.evacuations_prefix
        if prefix:
            items = tuple(one for one in listing.items if one.key.startswith(prefix))
            self._view.evacuations.replace(listing._replace(items=items), prefix)

    async def _list(
        self,
        part: str,
        prefix: str,
        handle_page: Callable[[Listing], None] | None = None,
    ) -> Listing:
        listing = await self._store.list(prefix, handle_page)
        self._listings[part].record_listing()
        return listing

    async def _watch_changes(
        self,
        part: str,
        prefix: str,
        revision: int,
        wait_s: float = WATCH_TIMEOUT_S,
        interval_s: float = 0.0,
    ) -> None:
        """Apply changes to one part.

        Stops once the leader keeps the part up to date, or it has to be listed again.
        """
        while not self._is_served_by_leader(part) and not self.should_stop:
            timeout_s = self._listings[part].left_s(boottime_s())
            if not timeout_s:
                return
            timeout_s = min(wait_s, timeout_s)
            if part == "configuration" and self._peers.is_leading():
                timeout_s = min(timeout_s, CONFIRMING_WATCH_TIMEOUT_S)
            try:
                batch = await self._health.run_until_recovered(
                    self._store.watch(prefix, revision, timeout_s)
                )
            except HistoryLost:
                raise
            except StoreError as error:
                if part in LISTED_AFTER_FAILURE:
                    raise
                # Watches from the same revision again, which costs the store less than
                # listing the keys.
                await self._health.record_failure(
                    part, error, self._is_served_by_leader(part)
                )
                continue
            if batch is None:
                continue
            heard_s = self._health.record_response(part)
            revision = max(revision, batch.revision)
            for change in batch.changes:
                self._apply_change(part, change)
            self._record_applied(part, heard_s, batch.revision)
            if interval_s:
                await asyncio.sleep(interval_s * (0.9 + 0.2 * self._random.random()))

    def _record_applied(self, part: str, heard_s: float, revision: int) -> None:
        """Record that what the store sent for a part is in force.

        Peers trust the age of a part, so it must not tell of a response that was never
        applied.

        :param heard_s: time of the response.
        :param revision: revision of the store in the response.
        """
        listings = self._listings[part]
        if listings.is_scheduled():
            return
        if part == "configuration":
            self._view.configuration.record_confirmed(boottime_s() - heard_s)
        elif part == "servers":
            self._view.record_servers_contact(heard_s, revision)

    def _apply_change(self, part: str, change: Change) -> None:
        """Apply a change; an error that nothing foresaw costs this change alone.

        The store sends a change once, so what was not applied is listed again.
        """
        failures = self._view.server_failures()
        apply = {
            "configuration": self._apply_configuration,
            "leader": self._apply_gateway_key,
            "own": self._apply_gateway_key,
            "servers": self._apply_server,
        }[part]
        try:
            apply(change)
        except Exception as error:
            self._loops.record_error(f"change-{part}", error)
            self._listings[part].record_failure(boottime_s())
        if self._view.server_failures() > failures:
            self._listings[part].record_failure(boottime_s())

    def _apply_configuration(self, change: Change) -> None:
        """Apply a change of the configuration or of an evacuation."""
        prefix = self._keys.evacuations_prefix
        if prefix and change.key.startswith(prefix):
            self._view.evacuations.apply(change, prefix)
        elif change.key == self._keys.configuration and change.value is not None:
            self._put_in_force(change.value, change.revision)

    def _put_in_force(self, content: bytes, revision: int) -> None:
        self._view.apply_configuration(content, revision, "store")
        if self._view.configuration.refused_unexpectedly:
            # It may have been refused for an error of this moment.
            self._listings["configuration"].record_failure(boottime_s())

    def _apply_gateway_key(self, change: Change) -> None:
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

    async def _fetch_from_peers(self) -> None:
        """Fetch documents from peers while any part of the store is not read."""
        peers_available = True
        while not self.should_stop:
            await asyncio.sleep(
                PEER_FETCH_INTERVAL_S * (0.8 + 0.4 * self._random.random())
            )
            if not self._needs_peers():
                continue
            try:
                await self._peers.fetch_from_peer()
                peers_available = True
            except JacinthpathError as error:
                if peers_available:
                    self._events.log_process_event(
                        "peers_unavailable", error=str(error)
                    )
                peers_available = False

    def _needs_peers(self) -> bool:
        """Return whether peers have newer documents of a part than this host."""
        if self._view.servers_known and self._view.servers_age_s() > MAX_SERVERS_AGE_S:
            return not self._peers.is_following()
        parts = [
            part
            for part in PARTS
            if part in self._health.failing_parts()
            or self._loops.is_failing(f"watch-{part}")
        ]
        return any(
            not self._is_served_by_leader(part)
            for part in parts
            if part != "leader" or not self._peers.is_following()
        )

    async def _log_store_calls(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(STORE_CALLS_LOG_INTERVAL_S)
            self._events.log_process_event("store_calls", **self._store.calls)

    async def _expire_servers(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self._view.expire_servers()
