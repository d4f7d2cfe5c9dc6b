"""Naive baseline of the unavailability measure: long leases of fixed duration.

A control process whose coordinator holds a lease of fixed duration in the store and
grants each server a term of the same duration. A successor waits for the end of the
lease and then for the end of the longest term that may still be valid.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any

import aiohttp
import click
from mode import Service

from jacinthpath import composition, coordinator_service
from jacinthpath.configuration import ServicePolicy, parse_configuration
from jacinthpath.daemon import run_daemon
from jacinthpath.dissemination import Topic
from jacinthpath.errors import StoreError
from jacinthpath.grant_messages import decode_answer, encode_grant
from jacinthpath.grants import Grant, TermTracker
from jacinthpath.settings import load_control_settings
from jacinthpath.slices import SliceTable, encode_table

LEASE_S = 10.0
RENEWAL_INTERVAL_S = 3.0
RETRY_DELAY_S = 0.2


class NaiveCoordinatorService(Service):
    """Replaces the coordinator service of a control process."""

    def __init__(
        self,
        process_id: str,
        store: Any,
        topics: Any,
        endpoints: Any,
        *_: Any,
        **__: Any,
    ) -> None:
        super().__init__()
        self.process_id = process_id
        self.control_address = ""
        self.epochs_by_service: dict[str, int] = {}
        self._store = store
        self._topics = topics
        self._endpoints = endpoints
        self._campaigned_services: set[str] = set()
        topics.on_change(self._on_topic)

    def handlers(self) -> dict[str, Any]:
        """Return no handlers; the baseline has no peer messages."""
        return {}

    async def release_roles(self) -> None:
        """Do nothing; a lease is held until it expires."""

    def _on_topic(self, topic: Topic) -> None:
        if topic.name != "configuration":
            return
        configuration = parse_configuration(json.loads(topic.content)["content"])
        for service, policy in configuration.services().items():
            if policy.keyed and service not in self._campaigned_services:
                self._campaigned_services.add(service)
                self.add_future(self._campaign(policy))

    async def _campaign(self, policy: ServicePolicy) -> None:
        is_first_start = await self._store.get(f"started/{policy.service}") is None
        while not self.should_stop:
            try:
                lease_id = await self._store.grant_lease(int(LEASE_S * 1000))
                value = json.dumps({"holder": self.process_id}).encode()
                generation = await self._store.compare_and_swap(
                    f"coordinator/{policy.service}", 0, value, lease_id
                )
                if is_first_start:
                    await self._store.compare_and_swap(
                        f"started/{policy.service}", 0, b"1"
                    )
                else:
                    await asyncio.sleep(LEASE_S)
            except StoreError:
                is_first_start = False
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            self.epochs_by_service[policy.service] = generation
            await self._coordinate(policy, generation << 32, lease_id)

    async def _coordinate(
        self, policy: ServicePolicy, epoch: int, lease_id: str
    ) -> None:
        addresses = {endpoint.server: endpoint.address for endpoint in policy.endpoints}
        servers = [*addresses]
        tracker = TermTracker()
        sequence = version = 0
        known_topic = self._topics.get(f"table/{policy.service}")
        version = known_topic.version if known_topic else 0
        next_renewal_s = 0.0
        live: list[str] = []
        loop = asyncio.get_running_loop()
        while not self.should_stop:
            now = loop.time()
            lapsed = [s for s in live if tracker.has_lapsed(s, now)]
            if now >= next_renewal_s or lapsed:
                next_renewal_s = now + RENEWAL_INTERVAL_S
                if not await self._store.keep_lease(lease_id):
                    return
                for server in servers:
                    sequence += 1
                    await self._grant(
                        policy, epoch, sequence, server, live, addresses, tracker
                    )
                reachable = [
                    s for s in servers if not tracker.has_lapsed(s, loop.time())
                ]
                reachable = reachable or [s for s in servers if tracker.incarnation(s)]
                if reachable != live:
                    live, version = reachable, version + 1
                    next_renewal_s = 0.0
                    self._publish(policy, version, epoch, live, addresses)
            await asyncio.sleep(0.05)

    def _publish(
        self,
        policy: ServicePolicy,
        version: int,
        epoch: int,
        live: list[str],
        addresses: dict[str, str],
    ) -> None:
        table = SliceTable(
            policy.service, version, epoch, _assign_owners(policy, live), {}, addresses
        )
        name = f"table/{policy.service}"
        self._topics.publish(Topic(name, version, encode_table(table)))

    async def _grant(
        self,
        policy: ServicePolicy,
        epoch: int,
        sequence: int,
        server: str,
        live: list[str],
        addresses: dict[str, str],
        tracker: TermTracker,
    ) -> None:
        incarnation = tracker.incarnation(server)
        slices, stamp_ms, term_ms = None, 0, 0
        if incarnation and live:
            now = asyncio.get_running_loop().time()
            stamp_ms, term_ms = tracker.next_term(
                server, now + 2 * LEASE_S, int(LEASE_S * 1000)
            )
            owners = _assign_owners(policy, live)
            slices = tuple(i for i, owner in enumerate(owners) if owner == server)
            tracker.record_grant(server, term_ms)
        grant = Grant(
            policy.service,
            epoch,
            sequence,
            incarnation,
            stamp_ms,
            term_ms,
            slices,
            {},
            policy.slice_count,
        )
        try:
            _, document = await self._endpoints.post_json(
                addresses[server], "/-/grant", encode_grant(grant), 0.3
            )
        except (aiohttp.ClientError, TimeoutError, OSError):
            return
        response = decode_answer(document)
        now = asyncio.get_running_loop().time()
        tracker.record_stamp(server, response.incarnation, response.stamp_ms, now)


def _assign_owners(policy: ServicePolicy, live: list[str]) -> tuple[str, ...]:
    return tuple(live[index % len(live)] for index in range(policy.slice_count))


@click.command()
@click.argument("role")
@click.option("--settings", "path", required=True)
def main(role: str, path: str) -> None:
    """Run the naive control process."""
    coordinator_service.CoordinatorService = NaiveCoordinatorService
    run_daemon(composition.build_control(load_control_settings(path)))


if __name__ == "__main__":
    main()
