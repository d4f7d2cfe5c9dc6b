"""Versioned topics of a control process and their subscribers.

A topic is a name, a version that only goes up, and content. Topics spread from
the process that made them to all control processes, and from each of them to
its entry processes.
"""

from __future__ import annotations

__all__ = ["Topic", "TopicService"]

import asyncio
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from mode import Service

from .codec import new_frame
from .errors import FrameError, PeerUnavailable, StoreError
from .hosts import HostList
from .logs import get_logger
from .peers import Handler, PeerConnection, PeerPool
from .store import KeyValueStore

CONFIGURATION_KEY = "configuration/current"
CONFIGURATION_TOPIC = "configuration"
WATCH_WAIT_S = 20.0
RETRY_S = 0.2
COMPARE_S = 0.5

_log = get_logger()


class Topic(NamedTuple):
    """One version of a topic."""

    name: str
    version: int
    content: bytes


class TopicService(Service):
    """Keeps topics, watches the configuration and pushes what is new."""

    def __init__(
        self, store: KeyValueStore, host_list: HostList, pool: PeerPool
    ) -> None:
        super().__init__()
        self._store = store
        self._host_list = host_list
        self._pool = pool
        self._topics: dict[str, Topic] = {}
        self._subscribers: set[PeerConnection] = set()
        self._listeners: list[Callable[[Topic], None]] = []

    def handlers(self) -> dict[str, Handler]:
        """Return the handlers of the frames that concern topics."""
        return {
            "digest": self._on_digest,
            "fetch": self._on_fetch,
            "publish": self._on_publish,
            "subscribe": self._on_subscribe,
        }

    def get(self, name: str) -> Topic | None:
        """Return the newest version of a topic."""
        return self._topics.get(name)

    def on_change(self, listener: Callable[[Topic], None]) -> None:
        """Call ``listener`` with each new version of a topic."""
        self._listeners.append(listener)

    def publish(self, topic: Topic) -> bool:
        """Take a version and spread it, unless it is old."""
        known = self._topics.get(topic.name)
        if known is not None and topic.version <= known.version:
            return False
        self._topics[topic.name] = topic
        for listener in self._listeners:
            listener(topic)
        for subscriber in tuple(self._subscribers):
            _push(subscriber, topic)
        self.add_future(self._spread(topic))
        return True

    @Service.task
    async def _watch_configuration(self) -> None:
        seen_version = 0
        while not self.should_stop:
            try:
                value = await self._store.watch(
                    CONFIGURATION_KEY, seen_version, WATCH_WAIT_S
                )
            except StoreError:
                await self.sleep(RETRY_S * (0.5 + random.random()))
                continue
            if value is None:
                await self.sleep(0.02)
                continue
            seen_version = value.version
            self.publish(Topic(CONFIGURATION_TOPIC, value.version, value.data))

    @Service.task
    async def _compare_with_peers(self) -> None:
        while not self.should_stop:
            await self.sleep(COMPARE_S * (0.5 + random.random()))
            try:
                hosts = await self._host_list.read()
                own = self._pool.own.host
                peers = [h.control_address for h in hosts if h.host != own]
                if peers:
                    answer = await self._pool.request(
                        random.choice(peers), self._digest_frame()
                    )
                    await self._on_publish(None, answer)
            except (StoreError, PeerUnavailable, FrameError):
                continue

    def _digest_frame(self) -> Any:
        frame = new_frame()
        entries = frame.body.init("digest").init("topics", len(self._topics))
        for entry, topic in zip(entries, self._topics.values(), strict=True):
            entry.name, entry.version = topic.name, topic.version
        return frame

    async def _on_digest(self, connection: PeerConnection, frame: Any) -> Any:
        return self._newer_than(frame.body.digest.topics)

    def _newer_than(self, entries: Any) -> Any:
        known = {entry.name: entry.version for entry in entries}
        return _publish_frame(
            *(
                topic
                for topic in self._topics.values()
                if topic.version > known.get(topic.name, 0)
            )
        )

    async def _spread(self, topic: Topic) -> None:
        try:
            hosts = await self._host_list.read()
        except StoreError:
            return
        own = self._pool.own.host
        await asyncio.gather(
            *(self._push_to(h.control_address, topic) for h in hosts if h.host != own)
        )

    async def _push_to(self, address: str, topic: Topic) -> None:
        try:
            await self._pool.request(address, _publish_frame(topic))
        except (PeerUnavailable, FrameError):
            return

    async def _on_publish(self, connection: PeerConnection, frame: Any) -> Any:
        for entry in frame.body.publish.topics:
            self.publish(Topic(entry.name, entry.version, bytes(entry.content)))

    async def _on_fetch(self, connection: PeerConnection, frame: Any) -> Any:
        names = [*frame.body.fetch.names]
        return _publish_frame(*(self._topics[n] for n in names if n in self._topics))

    async def _on_subscribe(self, connection: PeerConnection, frame: Any) -> Any:
        self._subscribers.add(connection)
        connection.on_close(self._subscribers.discard)
        return self._newer_than(frame.body.subscribe.topics)


def _publish_frame(*topics: Topic) -> Any:
    frame = new_frame()
    entries = frame.body.init("publish").init("topics", len(topics))
    for entry, topic in zip(entries, topics, strict=True):
        entry.name, entry.version, entry.content = topic
    return frame


def _push(connection: PeerConnection, topic: Topic) -> None:
    try:
        connection.send(_publish_frame(topic))
    except PeerUnavailable:
        return
