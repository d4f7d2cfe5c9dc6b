"""Simulates control processes in one process, with the decision logic of the product.

Messages are delivered with a delay; the store, processes and links can fail. Counts
the bytes of the frames that the product would send.
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

# Incarnations and versions of the host list are timestamps, which take 6 bytes.
START_MS = 1_800_000_000_000
WATCH_WAIT_S = 1.0
STORE_LATENCY_S = 0.002
CALL_INTERVAL_S = 1.0
REQUEST_TIMEOUT_S = 1.0

# Round-trip times between hosts of one data centre, of one region and of two regions.
ROUND_TRIP_TIMES_S = (0.0003, 0.001, 0.02)
REGIONS = 2


class ModelNode:
    """One simulated process."""

    def __init__(self, node: GossipNode, region: int) -> None:
        self.node = node
        self.region = region
        self.paused_until_s = 0.0
        self.lost = False
        self.bytes_sent = 0
        self.reached_s: dict[int, float] = {}
        self.watching = False
        self.next_call_s = 0.0


class GossipModel:
    """A fleet of simulated processes.

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
        self.is_link_cut: Callable[[str, str], bool] = lambda _a, _b: False
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        names = [(f"host-{i}", f"dc-{i % data_centres}") for i in range(count)]
        self.hosts = [(h, d, f"10.0.0.1:{i}", False) for i, (h, d) in enumerate(names)]
        self.nodes: dict[str, ModelNode] = {}
        for index in range(count):
            self.start(index)

    def start(self, index: int) -> None:
        """Start the process of a host without any previous state."""
        host, data_centre, _, _ = self.hosts[index]
        incarnation = START_MS + int(self.now_s * 1000)
        node = GossipNode(
            host, data_centre, incarnation, random.Random(self.random.random())
        )
        node.apply_host_list(self.hosts, self.now_s)
        node.topics.offer(Topic("hosts", START_MS, b"hosts"))
        model_node = ModelNode(node, int(data_centre[3:]) % REGIONS)
        self.nodes[host] = model_node
        self._schedule(self.random.random(), lambda: self._tick(model_node))

    def write(self, content: bytes) -> int:
        """Write a new version to the store and notify the watches."""
        self.store_version += 1
        self.store_content = content
        for model_node in self.nodes.values():
            if model_node.watching and not self.store_down:
                self._schedule(
                    STORE_LATENCY_S, lambda m=model_node: self._read_store(m)
                )
        return self.store_version

    def run_until(self, end_s: float) -> None:
        """Run all events that are due by ``end_s``."""
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, event = heapq.heappop(self._events)
            event()
        self.now_s = end_s

    def _schedule(self, delay_s: float, event: Callable[[], None]) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (self.now_s + delay_s, self._event_count, event))

    def _tick(self, model_node: ModelNode) -> None:
        if model_node.lost:
            return
        if self.now_s < model_node.paused_until_s:
            delay_s = model_node.paused_until_s - self.now_s
            self._schedule(delay_s, lambda: self._tick(model_node))
            return
        node = model_node.node
        self._execute_actions(model_node, node.tick(self.now_s))
        is_due = self.now_s >= model_node.next_call_s and not model_node.watching
        if is_due and node.is_watcher():
            model_node.next_call_s = self.now_s + CALL_INTERVAL_S
            self._watch(model_node)
        elif is_due and node.should_probe_store(self.now_s):
            model_node.next_call_s = self.now_s + CALL_INTERVAL_S
            self.store_calls += 1
            self._schedule(STORE_LATENCY_S, lambda: self._read_store(model_node))
        self._schedule(TICK_S, lambda: self._tick(model_node))

    def _watch(self, model_node: ModelNode) -> None:
        self.store_calls += 1
        if self.store_down:
            model_node.node.freshness.record_store_failure(self.now_s)
            return
        model_node.watching = True
        started_s = self.now_s

        def end() -> None:
            model_node.watching = False
            if model_node.lost:
                return
            if self.store_down:
                model_node.node.freshness.record_store_failure(self.now_s)
                return
            self._read_store(model_node, started_s + WATCH_WAIT_S)
            if model_node.node.is_watcher():
                self._watch(model_node)

        self._schedule(WATCH_WAIT_S, end)

    def _read_store(self, model_node: ModelNode, at_s: float | None = None) -> None:
        if model_node.lost or self.now_s < model_node.paused_until_s:
            return
        if self.store_down:
            model_node.node.freshness.record_store_failure(self.now_s)
            return
        model_node.node.freshness.record_store_read(
            self.now_s if at_s is None else at_s
        )
        if self.store_version:
            topic = Topic("configuration", self.store_version, self.store_content)
            _, actions = model_node.node.publish(topic)
            self._record_version(model_node)
            self._execute_actions(model_node, actions)

    def _record_version(self, model_node: ModelNode) -> None:
        version = model_node.node.topics.version("configuration")
        model_node.reached_s.setdefault(version, self.now_s)

    def _execute_actions(self, model_node: ModelNode, actions: list[Action]) -> None:
        for action in actions:
            self._send(model_node, action)

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
            or self.is_link_cut(sender.node.host, action.peer)
            or self.now_s < receiver.paused_until_s
        )
        if unreachable:
            is_refused = receiver is None or receiver.lost
            delay_s = 0.001 if is_refused else REQUEST_TIMEOUT_S
            self._schedule(delay_s, lambda: self._handle_failure(sender, action))
            return
        delay_s = self._delay_s(sender, receiver)
        requested_at_s = self.now_s
        self._schedule(
            delay_s, lambda: handler(sender, receiver, action, requested_at_s)
        )

    def _frame(self, sender: ModelNode, action: Action) -> Any:
        if isinstance(action, Push):
            return publish_frame(action.topics)
        if isinstance(action, Fetch):
            return fetch_frame(action.names)
        if isinstance(action, Announce):
            return announce_frame(sender.node.host, action.name, action.version)
        return digest_frame(sender.node.make_digest(self.now_s))

    def _handle_failure(self, sender: ModelNode, action: Action) -> None:
        if not sender.lost:
            self._execute_actions(
                sender, sender.node.handle_failure(action, self.now_s)
            )

    def _delay_s(self, first: ModelNode, second: ModelNode) -> float:
        if first.region != second.region:
            return ROUND_TRIP_TIMES_S[2] / 2
        same_data_centre = first.node.data_centre == second.node.data_centre
        return ROUND_TRIP_TIMES_S[0 if same_data_centre else 1] / 2

    def _exchange(
        self, sender: ModelNode, receiver: ModelNode, _: Any, requested_at_s: float
    ) -> None:
        digest = sender.node.make_digest(requested_at_s)
        response, actions = receiver.node.handle_digest(digest, self.now_s)
        receiver.bytes_sent += len(encode_frame(digest_frame(response))) + HEADER_BYTES
        self._execute_actions(receiver, actions)
        delay_s = self._delay_s(sender, receiver)
        self._schedule(
            delay_s, lambda: self._handle_response(sender, response, requested_at_s)
        )

    def _handle_response(
        self, sender: ModelNode, response: Digest, requested_at_s: float
    ) -> None:
        actions = sender.node.handle_response(response, requested_at_s, self.now_s)
        self._execute_actions(sender, actions)

    def _push(
        self, sender: ModelNode, receiver: ModelNode, action: Push, _: float
    ) -> None:
        for topic in action.topics:
            _, actions = receiver.node.handle_topic(topic, sender.node.host)
            self._record_version(receiver)
            self._execute_actions(receiver, actions)

    def _announce(
        self, sender: ModelNode, receiver: ModelNode, action: Announce, _: float
    ) -> None:
        versions = {action.name: action.version}
        actions = receiver.node.handle_announcement(
            sender.node.host, versions, self.now_s
        )
        self._execute_actions(receiver, actions)

    def _fetch(
        self, sender: ModelNode, receiver: ModelNode, action: Fetch, _: float
    ) -> None:
        topics = [receiver.node.topics.get(name) for name in action.names]
        known = tuple(topic for topic in topics if topic is not None)
        receiver.bytes_sent += len(encode_frame(publish_frame(known))) + HEADER_BYTES
        delay_s = self._delay_s(sender, receiver)
        self._schedule(
            delay_s,
            lambda: self._push(receiver, sender, Push(sender.node.host, known), 0.0),
        )
