"""Runs the coordinators of keyed services on a control process."""

from __future__ import annotations

__all__ = ["CoordinatorService"]

import asyncio
import json
import random

import aiohttp
from mode import Service

from .configuration import ServicePolicy, parse_configuration
from .endpoints import EndpointClient
from .errors import ConfigurationError, StoreError
from .grants import (
    Grant,
    TermTracker,
    decode_answer,
    encode_grant,
)
from .logs import get_logger
from .slices import SliceTable, encode_table
from .store import KeyValueStore
from .topics import CONFIGURATION_TOPIC, Topic, TopicService

LEASE_TTL_MS = 600
RENEWAL_S = 0.1

_log = get_logger()


class CoordinatorService(Service):
    """Campaigns for each keyed service and grants its slices to servers."""

    def __init__(
        self,
        process_id: str,
        store: KeyValueStore,
        topics: TopicService,
        endpoints: EndpointClient,
    ) -> None:
        super().__init__()
        self.process_id = process_id
        self.control_address = ""
        self.coordinated: dict[str, int] = {}
        self._store = store
        self._topics = topics
        self._endpoints = endpoints
        self._running: dict[str, asyncio.Future[None]] = {}
        topics.on_change(self._on_topic)

    def _on_topic(self, topic: Topic) -> None:
        if topic.name != CONFIGURATION_TOPIC:
            return
        try:
            configuration = parse_configuration(json.loads(topic.content)["content"])
        except (ConfigurationError, ValueError, KeyError):
            return
        for service, policy in configuration.services().items():
            if policy.keyed and service not in self._running:
                self._running[service] = self.add_future(self._campaign(policy))

    async def _campaign(self, policy: ServicePolicy) -> None:
        key = f"coordinator/{policy.service}"
        while not self.should_stop:
            try:
                lease_id = await self._store.grant_lease(LEASE_TTL_MS)
                value = json.dumps({"holder": self.process_id}).encode()
                generation = await self._store.compare_and_swap(key, 0, value, lease_id)
            except StoreError:
                await self.sleep(0.2 * (0.5 + random.random()))
                continue
            _log.info("coordinating", service=policy.service, generation=generation)
            self.coordinated[policy.service] = generation
            await self._coordinate(policy, generation << 32, lease_id)
            self.coordinated.pop(policy.service, None)

    async def _coordinate(
        self, policy: ServicePolicy, epoch: int, lease_id: str
    ) -> None:
        servers = [e.server for e in policy.endpoints if e.state == "active"]
        addresses = {e.server: e.address for e in policy.endpoints}
        owners = tuple(
            servers[index % len(servers)] for index in range(policy.slice_count)
        )
        known = self._topics.get(f"table/{policy.service}")
        table = SliceTable(
            policy.service,
            (known.version if known else 0) + 1,
            epoch,
            owners,
            {},
            addresses,
            self.control_address,
            policy.fencing,
        )
        self._topics.publish(
            Topic(f"table/{policy.service}", table.version, encode_table(table))
        )
        tracker = TermTracker()
        sequence = 0
        while not self.should_stop:
            try:
                if not await self._store.keep_lease(lease_id):
                    return
            except StoreError:
                return
            sequence += 1
            await asyncio.gather(
                *(self._grant(table, tracker, s, sequence) for s in servers)
            )
            await self.sleep(RENEWAL_S)

    async def _grant(
        self, table: SliceTable, tracker: TermTracker, server: str, sequence: int
    ) -> None:
        incarnation = tracker.incarnation(server)
        slices = None
        stamp_ms, term_ms = 0, 0
        if incarnation:
            now = asyncio.get_running_loop().time()
            stamp_ms, term_ms = tracker.next_term(server, now + 0.5)
            slices = tuple(i for i, o in enumerate(table.owners) if o == server)
            tracker.granted(server, term_ms)
        grant = Grant(
            table.service,
            table.epoch,
            sequence,
            incarnation,
            stamp_ms,
            term_ms,
            slices,
            {},
            len(table.owners),
        )
        try:
            _, document = await self._endpoints.post_json(
                table.addresses[server], "/-/grant", encode_grant(grant), 0.3
            )
        except (aiohttp.ClientError, TimeoutError, OSError):
            return
        answer = decode_answer(document)
        now = asyncio.get_running_loop().time()
        tracker.stamp_received(server, answer.incarnation, answer.stamp_ms, now)
