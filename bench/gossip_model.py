"""Control processes in one process, over the decision code of the product.

Messages are queued with a delay; store, processes and links can be taken away.
It counts bytes of the frames that the product would send.
"""

from __future__ import annotations

__all__ = ["GossipModel", "ModelNode"]

import heapq
import random
from collections.abc import Callable
from typing import Any

from jacinthpath.codec import encode_frame
from jacinthpath.dissemination import (
    Action,
    Announce,
    Digest,
    DigestExchange,
    Fetch,
    Push,
    Topic,
)
from jacinthpath.gossip import GossipNode
from jacinthpath.gossip_frames import (
    announce_frame,
    digest_frame,
    fetch_frame,
    publish_frame,
)
from jacinthpath.peer_connections import HEADER_BYTES

TICK_S = 0.25

# Incarnations and versions of the host list are times, which take 6 bytes.
START_MS = 1_800_000_000_000
WATCH_WAIT_S = 1.0
STORE_DELAY_S = 0.002
CALL_INTERVAL_S = 1.0
REQUEST_TIMEOUT_S = 1.0

# Round trips between hosts of one data centre, of one region, and of two.
DELAYS_S = (0.0003, 0.001, 0.02)
REGIONS = 2


class ModelNode:
    """One modelled process."""

    def __init__(self, node: GossipNode, region: int) -> None:
        self.node = node
        self.region = region
        self.frozen_until_s = 0.0
        self.lost = False
        self.bytes_sent = 0
        self.reached_s: dict[int, float] = {}
        self.watching = False
        self.next_call_s = 0.0


class GossipModel:
    """A fleet of modelled processes.

    :param count: number of processes.
    :param data_centres: number of data centres.
    """

    def __init__(self, count: int, data_centres: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.store_version = 0
        self.store_content = b""
        self.store_down = False
        self.store_calls = 0
        self.cut: Callable[[str, str], bool] = lambda _a, _b: False
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        names = [(f"host-{i}", f"dc-{i % data_centres}") for i in range(count)]
        self.hosts = [(h, d, f"10.0.0.1:{i}", False) for i, (h, d) in enumerate(names)]
        self.nodes: dict[str, ModelNode] = {}
        for index in range(count):
            self.start(index)

    def start(self, index: int) -> None:
        """Start the process of a host, without any state."""
        host, data_centre, _, _ = self.hosts[index]
        incarnation = START_MS + int(self.now_s * 1000)
        node = GossipNode(
            host, data_centre, incarnation, random.Random(self.random.random())
        )
        node.apply_host_list(self.hosts, self.now_s)
        node.topics.offer(Topic("hosts", START_MS, b"hosts"))
        modelled = ModelNode(node, int(data_centre[3:]) % REGIONS)
        self.nodes[host] = modelled
        self._after(self.random.random(), lambda: self._tick(modelled))

    def write(self, content: bytes) -> int:
        """Accept a new version in the store and answer the watches."""
        self.store_version += 1
        self.store_content = content
        for modelled in self.nodes.values():
            if modelled.watching and not self.store_down:
                self._after(STORE_DELAY_S, lambda m=modelled: self._read_store(m))
        return self.store_version

    def run_until(self, end_s: float) -> None:
        """Let time pass."""
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, event = heapq.heappop(self._events)
            event()
        self.now_s = end_s

    def _after(self, delay_s: float, event: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (self.now_s + delay_s, self._number, event))

    def _tick(self, modelled: ModelNode) -> None:
        if modelled.lost:
            return
        if self.now_s < modelled.frozen_until_s:
            delay_s = modelled.frozen_until_s - self.now_s
            self._after(delay_s, lambda: self._tick(modelled))
            return
        node = modelled.node
        self._carry_out(modelled, node.tick(self.now_s))
        due = self.now_s >= modelled.next_call_s and not modelled.watching
        if due and node.is_watcher():
            modelled.next_call_s = self.now_s + CALL_INTERVAL_S
            self._watch(modelled)
        elif due and node.should_probe_store(self.now_s):
            modelled.next_call_s = self.now_s + CALL_INTERVAL_S
            self.store_calls += 1
            self._after(STORE_DELAY_S, lambda: self._read_store(modelled))
        self._after(TICK_S, lambda: self._tick(modelled))

    def _watch(self, modelled: ModelNode) -> None:
        self.store_calls += 1
        if self.store_down:
            modelled.node.freshness.record_store_failure(self.now_s)
            return
        modelled.watching = True
        started_s = self.now_s

        def end() -> None:
            modelled.watching = False
            if modelled.lost:
                return
            if self.store_down:
                modelled.node.freshness.record_store_failure(self.now_s)
                return
            self._read_store(modelled, started_s + WATCH_WAIT_S)
            if modelled.node.is_watcher():
                self._watch(modelled)

        self._after(WATCH_WAIT_S, end)

    def _read_store(self, modelled: ModelNode, at_s: float | None = None) -> None:
        if modelled.lost or self.now_s < modelled.frozen_until_s:
            return
        if self.store_down:
            modelled.node.freshness.record_store_failure(self.now_s)
            return
        modelled.node.freshness.record_store_read(self.now_s if at_s is None else at_s)
        if self.store_version:
            topic = Topic("configuration", self.store_version, self.store_content)
            _, actions = modelled.node.publish(topic)
            self._note_version(modelled)
            self._carry_out(modelled, actions)

    def _note_version(self, modelled: ModelNode) -> None:
        version = modelled.node.topics.version("configuration")
        modelled.reached_s.setdefault(version, self.now_s)

    def _carry_out(self, modelled: ModelNode, actions: list[Action]) -> None:
        for action in actions:
            self._send(modelled, action)

    def _send(self, sender: ModelNode, action: Action) -> None:
        receiver = self.nodes.get(action.peer)
        handler = {
            DigestExchange: self._exchange,
            Push: self._push,
            Announce: self._announce,
            Fetch: self._fetch,
        }[type(action)]
        frame = self._frame(sender, action)
        sender.bytes_sent += len(encode_frame(frame)) + HEADER_BYTES
        unreachable = (
            receiver is None
            or receiver.lost
            or self.cut(sender.node.host, action.peer)
            or self.now_s < receiver.frozen_until_s
        )
        if unreachable:
            refused = receiver is None or receiver.lost
            delay_s = 0.001 if refused else REQUEST_TIMEOUT_S
            self._after(delay_s, lambda: self._fail(sender, action))
            return
        delay_s = self._delay_s(sender, receiver)
        asked_at_s = self.now_s
        self._after(delay_s, lambda: handler(sender, receiver, action, asked_at_s))

    def _frame(self, sender: ModelNode, action: Action) -> Any:
        if isinstance(action, Push):
            return publish_frame(action.topics)
        if isinstance(action, Fetch):
            return fetch_frame(action.names)
        if isinstance(action, Announce):
            return announce_frame(sender.node.host, action.name, action.version)
        return digest_frame(sender.node.make_digest(self.now_s))

    def _fail(self, sender: ModelNode, action: Action) -> None:
        if not sender.lost:
            self._carry_out(sender, sender.node.handle_failure(action, self.now_s))

    def _delay_s(self, one: ModelNode, other: ModelNode) -> float:
        if one.region != other.region:
            return DELAYS_S[2] / 2
        same = one.node.data_centre == other.node.data_centre
        return DELAYS_S[0 if same else 1] / 2

    def _exchange(
        self, sender: ModelNode, receiver: ModelNode, _: Any, asked_at_s: float
    ) -> None:
        digest = sender.node.make_digest(asked_at_s)
        answer, actions = receiver.node.handle_digest(digest, self.now_s)
        receiver.bytes_sent += len(encode_frame(digest_frame(answer))) + HEADER_BYTES
        self._carry_out(receiver, actions)
        delay_s = self._delay_s(sender, receiver)
        self._after(delay_s, lambda: self._answer(sender, answer, asked_at_s))

    def _answer(self, sender: ModelNode, answer: Digest, asked_at_s: float) -> None:
        actions = sender.node.handle_response(answer, asked_at_s, self.now_s)
        self._carry_out(sender, actions)

    def _push(
        self, sender: ModelNode, receiver: ModelNode, action: Push, _: float
    ) -> None:
        for topic in action.topics:
            _, actions = receiver.node.handle_topic(topic, sender.node.host)
            self._note_version(receiver)
            self._carry_out(receiver, actions)

    def _announce(
        self, sender: ModelNode, receiver: ModelNode, action: Announce, _: float
    ) -> None:
        versions = {action.name: action.version}
        actions = receiver.node.handle_announcement(
            sender.node.host, versions, self.now_s
        )
        self._carry_out(receiver, actions)

    def _fetch(
        self, sender: ModelNode, receiver: ModelNode, action: Fetch, _: float
    ) -> None:
        topics = [receiver.node.topics.get(name) for name in action.names]
        known = tuple(topic for topic in topics if topic is not None)
        receiver.bytes_sent += len(encode_frame(publish_frame(known))) + HEADER_BYTES
        delay_s = self._delay_s(sender, receiver)
        self._after(
            delay_s,
            lambda: self._push(receiver, sender, Push(sender.node.host, known), 0.0),
        )
