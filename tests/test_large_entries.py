"""Entries of nearly 1 MB beside those of servers: hosts start all the same."""

import asyncio
import json
import time

import pytest

from .gateway_system import GatewaySystem

ENTRIES = 40
PAGE_DELAY_S = 0.15
"""A page has one entry, so that a list takes six seconds."""

HEARTBEAT_S = 0.5

LARGE = json.dumps({"status": "x" * 900_000}).encode()


async def send_heartbeats(system):
    """Write the entries of all servers again, as live servers do."""
    while True:
        for name, server in system.servers.items():
            system.store.put(f"servers/{name}", server.entry())
        await asyncio.sleep(HEARTBEAT_S)


@pytest.fixture(params=["a", "z"], ids=["before", "behind"])
async def system(tmp_path, request):
    """A system without gateways whose large entries have keys before or behind."""
    system = await GatewaySystem(tmp_path).start(plain=2, keyed=0, gateways=0)
    for number in range(ENTRIES):
        system.store.put(f"servers/{request.param}-{number:02}", LARGE)
    system.store.page_delay_s = PAGE_DELAY_S
    heartbeats = asyncio.create_task(send_heartbeats(system))
    yield system
    heartbeats.cancel()
    await system.close()


async def test_host_that_starts_beside_large_entries_is_ready_before_the_list(system):
    """40 entries of 0.9 MB are as many pages; a host waited for all of them."""
    started_s = time.monotonic()
    await system.add_gateway(0)
    await system.wait_until_ready()
    ready_s = time.monotonic() - started_s
    status, _, _ = await system.send("/read/a")
    assert status == 200
    assert ready_s < ENTRIES * PAGE_DELAY_S / 2


async def test_drain_is_followed_while_a_list_beside_large_entries_is_read(system):
    """A host that lists anew heard of no drain until it had read all pages."""
    system.store.page_delay_s = 0.0
    await system.add_gateway(0)
    await system.wait_until_ready()
    system.store.page_delay_s = PAGE_DELAY_S
    system.store.forget_history()
    await asyncio.sleep(1.0)
    drained = system.servers.pop("p0")
    try:
        system.store.put("servers/p0", drained.entry("draining"))
        acknowledged_s = time.monotonic()
        while time.monotonic() < acknowledged_s + 3.0:
            assert (await system.send("/read/a"))[0] == 200
            await asyncio.sleep(0.05)
        late = [at_s for at_s in drained.arrivals_s if at_s > acknowledged_s + 2.0]
        assert not late
    finally:
        system.servers["p0"] = drained
