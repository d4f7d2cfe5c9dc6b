"""Disseminates topics among control processes and to their entry processes.

Carries out the decisions of :class:`~.gossip.GossipNode` over authenticated
connections, and watches the configuration while this process is a watcher.
"""

from __future__ import annotations

__all__ = ["GossipService"]

import asyncio
import json
import random
import time
from collections.abc import Callable
from typing import Any

from mode import Service

from .change_values import (
    CONFIGURATION_KEY,
    DamagedValue,
    decode_value,
    encode_topic_content,
)
from .dissemination import (
    Action,
    Announce,
    DigestExchange,
    Fetch,
    OfferResult,
    Push,
    Topic,
)
from .errors import FrameError, PeerUnavailable, StoreError
from .freshness import STALENESS_LIMIT_S, Freshness
from .gossip import GossipNode
from .gossip_frames import (
    announce_frame,
    digest_frame,
    fetch_frame,
    publish_frame,
    read_digest,
    read_topics,
)
from .hosts import HostList
from .json_documents import parse_json
from .logs import get_logger
from .metrics import Metrics
from .peers import Handler, PeerConnection, PeerPool
from .store import KeyValueStore, StoredValue

CONFIGURATION_TOPIC = "configuration"
HOSTS_TOPIC = "hosts"
TICK_INTERVAL_S = 0.25

# Each watch that ends confirms that the configuration is current, so the wait is
# short compared with the staleness limit.
WATCH_WAIT_S = 1.0
STORE_RETRY_DELAY_S = 0.5
HOST_LIST_INTERVAL_S = 2.0
SUBSCRIBER_DIGEST_INTERVAL_S = 1.0
REQUEST_TIMEOUT_S = 1.0
MAX_RUNNING_ACTIONS = 64
MAX_FETCHED_NAMES = 1_000

_log = get_logger()


class GossipService(Service):
    """Gossip of one control process.

    :param staleness_limit_s: time without a confirmation after which the
        configuration of this host counts as stale.
    """

    def __init__(
        self,
        store: KeyValueStore,
        host_list: HostList,
        pool: PeerPool,
        metrics: Metrics,
        staleness_limit_s: float = STALENESS_LIMIT_S,
        randomness: random.Random | None = None,
    ) -> None:
        super().__init__()
        self._store = store
        self._host_list = host_list
        self._pool = pool
        self._metrics = metrics
        self._random = randomness or random.Random()
        self.node = GossipNode(
            pool.identity.host,
            pool.identity.data_centre,
            int(time.time() * 1000),
            self._random,
            staleness_limit_s,
        )
        self._subscribers: set[PeerConnection] = set()
        self._listeners: list[Callable[[Topic], None]] = []
        self._action_tasks: set[asyncio.Task[None]] = set()
        self._store_version = 0
        self._reported_state = Freshness.STALE
        self._last_damaged_version = 0
        self._host_lists_read = 0

    def handlers(self) -> dict[str, Handler]:
        """Return the handlers of the frames that carry topics or their versions."""
        return {
            "digest": self._handle_digest,
            "fetch": self._handle_fetch,
            "publish": self._handle_publish,
            "subscribe": self._handle_subscribe,
        }

    def get(self, name: str) -> Topic | None:
        """Return the newest version of a topic."""
        return self.node.topics.get(name)

    def on_change(self, listener: Callable[[Topic], None]) -> None:
        """Call ``listener`` with each new version of a topic."""
        self._listeners.append(listener)

    def publish(self, topic: tuple[str, int, bytes]) -> bool:
        """Publish a version that was made here; return whether it was new."""
        published = Topic(*topic)
        result, actions = self.node.publish(published)
        return self._process_offer(published, result, actions)

    def unready_reason(self) -> str:
        """Return why this host should get no traffic, or an empty string."""
        if self.get(CONFIGURATION_TOPIC) is None:
            return "no configuration"
        if self.node.state(_now_s()) is Freshness.STALE:
            return "configuration may be stale"
        return ""

    def status(self) -> dict[str, Any]:
        """Return the status that operators are shown."""
        now_s = _now_s()
        members = self.node.membership.members()
        age_s = self.node.freshness.age_s(now_s)
        return {
            "configuration_version": self.node.topics.version(CONFIGURATION_TOPIC),
            "freshness": self.node.state(now_s).value,
            "confirmed_age_s": round(age_s, 3) if age_s < float("inf") else None,
            "watches_store": self.node.is_watcher(),
            "conflicting_topics": self.node.topics.conflicts,
            "members": [
                {"host": m.host, "address": m.address, "state": m.state.value}
                for m in members
            ],
        }

    async def on_stop(self) -> None:
        """Cancel the running actions."""
        for task in tuple(self._action_tasks):
            task.cancel()
        await asyncio.gather(*self._action_tasks, return_exceptions=True)

    @Service.task
    async def _run_due_actions(self) -> None:
        next_report_s = 0.0
        while not self.should_stop:
            now_s = _now_s()
            self._start_actions(self.node.tick(now_s))
            if now_s >= next_report_s:
                next_report_s = now_s + SUBSCRIBER_DIGEST_INTERVAL_S
                self._report_freshness(now_s)
            await self.sleep(TICK_INTERVAL_S * (0.75 + 0.5 * self._random.random()))

    @Service.task
    async def _watch_store(self) -> None:
        while not self.should_stop:
            started_s = _now_s()
            if self.node.is_watcher():
                await self._watch_once(started_s)
            elif self.node.should_probe_store(started_s):
                await self._probe_once(started_s)
            else:
                await self.sleep(TICK_INTERVAL_S)

    @Service.task
    async def _poll_host_list(self) -> None:
        while not self.should_stop:
            known = self.get(HOSTS_TOPIC)
            # The other hosts get the list from the topic, so that the number of
            # calls for it does not grow with the fleet.
            is_stale = self.node.state(_now_s()) is Freshness.STALE
            if self.node.is_watcher() or known is None or is_stale:
                await self._read_host_list(known)
            await self.sleep(
                HOST_LIST_INTERVAL_S * (0.75 + 0.5 * self._random.random())
            )

    async def _watch_once(self, started_s: float) -> None:
        try:
            value = await self._store.watch(
                CONFIGURATION_KEY, self._store_version, WATCH_WAIT_S
            )
        except StoreError as error:
            await self._handle_store_failure(error)
            return
        # A response without a change was made at the end of the wait, not later.
        waited_s = WATCH_WAIT_S if value is None else 0.0
        if not self._process_store_value(value, min(_now_s(), started_s + waited_s)):
            delay_s = STORE_RETRY_DELAY_S - (_now_s() - started_s)
            await self.sleep(max(0.0, delay_s))

    async def _probe_once(self, started_s: float) -> None:
        try:
            self._process_store_value(
                await self._store.get(CONFIGURATION_KEY), started_s
            )
        except StoreError as error:
            await self._handle_store_failure(error)
            return
        await self.sleep(STORE_RETRY_DELAY_S * (1.5 + self._random.random()))

    async def _handle_store_failure(self, error: StoreError) -> None:
        self.node.freshness.record_store_failure(_now_s())
        self._metrics.count("configuration_store_failures_total")
        _log.warning("configuration_store_unreachable", error=str(error))
        await self.sleep(STORE_RETRY_DELAY_S * (1.0 + self._random.random()))

    def _process_store_value(self, value: StoredValue | None, at_s: float) -> bool:
        """Process a value read from the store; return whether it was newer."""
        if value is None:
            self.node.freshness.record_store_read(at_s)
            return False
        if value.version < self._store_version:
            # A lagging replica proves nothing about the newest version.
            self._metrics.count("configuration_older_reads_total")
            return False
        is_newer = value.version > self._store_version
        self._store_version = value.version
        self.node.freshness.record_store_read(at_s)
        try:
            read = decode_value(CONFIGURATION_KEY, value.data)
        except DamagedValue as error:
            if value.version != self._last_damaged_version:
                self._last_damaged_version = value.version
                self._metrics.count("configuration_damaged_total")
                _log.error("configuration_damaged", error=str(error))
            return is_newer
        self.publish(
            Topic(
                CONFIGURATION_TOPIC,
                read.entry.version,
                encode_topic_content(value.data),
            )
        )
        return is_newer

    async def _read_host_list(self, known: Topic | None) -> None:
        try:
            hosts = await self._host_list.read()
        except StoreError as error:
            _log.warning("host_list_unreachable", error=str(error))
            return
        entries = sorted(
            [h.host, h.data_centre, h.control_address, h.state == "leaving"]
            for h in hosts
        )
        self.node.apply_host_list((tuple(entry) for entry in entries), _now_s())
        content = json.dumps(entries).encode()
        # The first list only shows a new process which peers to ask for the topic.
        first, self._host_lists_read = (
            self._host_lists_read == 0,
            self._host_lists_read + 1,
        )
        if first or not self.node.is_watcher():
            return
        if known is None or content != known.content:
            # Lists have no version, so the time orders the lists of several readers.
            known_version = known.version if known else 0
            version = max(known_version + 1, int(time.time() * 1000))
            self.publish(Topic(HOSTS_TOPIC, version, content))

    def _process_offer(
        self, topic: Topic, result: OfferResult, actions: list[Action]
    ) -> bool:
        """Act on the result of an offer; return whether the topic was accepted."""
        if result in (OfferResult.CONFLICTING, OfferResult.REFUSED):
            self._metrics.count("topics_refused_total", reason=result.value)
            _log.error(
                "topic_refused",
                topic=topic.name,
                version=topic.version,
                reason=result.value,
            )
        if result is not OfferResult.ACCEPTED:
            return False
        self._start_actions(actions)
        if topic.name == HOSTS_TOPIC:
            self._apply_hosts_topic(topic)
            return True
        for listener in self._listeners:
            listener(topic)
        for subscriber in tuple(self._subscribers):
            _send(subscriber, publish_frame([topic]))
        return True

    def _apply_hosts_topic(self, topic: Topic) -> None:
        try:
            entries = parse_json(topic.content)
            hosts = [(str(h), str(d), str(a), bool(x)) for h, d, a, x in entries]
        except (ValueError, TypeError) as error:
            _log.error("host_list_refused", error=str(error))
            return
        self.node.apply_host_list(hosts, _now_s())

    def _start_actions(self, actions: list[Action]) -> None:
        for action in actions:
            if len(self._action_tasks) >= MAX_RUNNING_ACTIONS:
                self._metrics.count("gossip_actions_dropped_total")
                return
            task = asyncio.get_running_loop().create_task(self._run_action(action))
            self._action_tasks.add(task)
            task.add_done_callback(self._action_tasks.discard)

    async def _run_action(self, action: Action) -> None:
        member = self.node.membership.get(action.peer)
        if member is None:
            return
        try:
            await self._send_action(action, member.address)
        except (PeerUnavailable, FrameError) as error:
            self._metrics.count("gossip_failures_total")
            _log.info("peer_contact_failed", peer=action.peer, error=str(error))
            self._start_actions(self.node.handle_failure(action, _now_s()))

    async def _send_action(self, action: Action, address: str) -> None:
        now_s = _now_s()
        if isinstance(action, DigestExchange):
            frame = digest_frame(self.node.make_digest(now_s))
            response = await self._pool.request(address, frame, REQUEST_TIMEOUT_S)
            digest = read_digest(response)._replace(sender=action.peer)
            self._start_actions(self.node.handle_response(digest, now_s, _now_s()))
        elif isinstance(action, Push):
            frame = publish_frame(action.topics)
            await self._pool.request(address, frame, REQUEST_TIMEOUT_S)
        elif isinstance(action, Announce):
            connection = await self._pool.connect(address)
            connection.send(announce_frame(self.node.host, action.name, action.version))
        elif isinstance(action, Fetch):
            frame = fetch_frame(action.names)
            response = await self._pool.request(address, frame, REQUEST_TIMEOUT_S)
            self._process_topics(read_topics(response), action.peer)

    def _process_topics(self, topics: tuple[Topic, ...], sender: str) -> None:
        for topic in topics:
            result, actions = self.node.handle_topic(topic, sender)
            self._process_offer(topic, result, actions)

    def _report_freshness(self, now_s: float) -> None:
        """Send the freshness of the configuration to the entry processes."""
        state = self.node.state(now_s)
        if state is not self._reported_state:
            _log.warning("configuration_freshness", state=state.value)
            self._reported_state = state
        age_s = self.node.freshness.age_s(now_s)
        self._metrics.gauge("configuration_confirmed_age_seconds", min(age_s, 1e9))
        self._metrics.gauge("configuration_stale", float(state is Freshness.STALE))
        digest = self.node.make_digest(now_s)
        digest = digest._replace(
            store_down=state is Freshness.OUTAGE, versions={}, suspects=()
        )
        for subscriber in tuple(self._subscribers):
            _send(subscriber, digest_frame(digest))

    async def _handle_digest(self, connection: PeerConnection, frame: Any) -> Any:
        sender = _require_control_peer(connection)
        digest = read_digest(frame)._replace(sender=sender)
        # A one-way digest announces a version; a request asks for an exchange.
        if not frame.id:
            self._start_actions(
                self.node.handle_announcement(sender, dict(digest.versions), _now_s())
            )
            return None
        response, actions = self.node.handle_digest(digest, _now_s())
        self._start_actions(actions)
        return digest_frame(response)

    async def _handle_publish(self, connection: PeerConnection, frame: Any) -> Any:
        self._process_topics(read_topics(frame), _require_control_peer(connection))

    async def _handle_fetch(self, connection: PeerConnection, frame: Any) -> Any:
        names = [*frame.body.fetch.names][:MAX_FETCHED_NAMES]
        known = [self.get(name) for name in names]
        return publish_frame([topic for topic in known if topic is not None])

    async def _handle_subscribe(self, connection: PeerConnection, frame: Any) -> Any:
        self._subscribers.add(connection)
        connection.on_close(self._subscribers.discard)
        known = {entry.name: entry.version for entry in frame.body.subscribe.topics}
        newer = self.node.topics.newer_than(known)
        return publish_frame([t for t in newer if t.name != HOSTS_TOPIC])


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _require_control_peer(connection: PeerConnection) -> str:
    """Return the host of a peer, which must be a control process."""
    if connection.remote.role != "control":
        raise FrameError(
            f"A process with the role {connection.remote.role} sent topics.",
            "Only control processes may send topics.",
        )
    return connection.remote.host


def _send(connection: PeerConnection, frame: Any) -> None:
    try:
        connection.send(frame)
    except PeerUnavailable:
        return
