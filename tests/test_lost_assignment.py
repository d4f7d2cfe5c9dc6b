"""A restored store that has lost the first assignment of a service (review/12)."""

import asyncio
import time
from contextlib import suppress
from random import Random

import aiohttp
import pytest

from soak.system import System

from . import gateway_system
from .gateway_system import GatewaySystem

KEYS = range(0, 65_536, 1_021)
OUTAGE_S = 1.6
"""Long enough for the leader to grant keys for the time of an outage."""

MAX_WAIT_S = 20.0
MAX_UNREADY_S = 10.0


def holders(system, key):
    return [name for name, server in system.servers.items() if server.holds_key(key)]


async def wait_for_owners(system, timeout_s):
    async with asyncio.timeout(timeout_s):
        while not all(holders(system, key) for key in KEYS):
            await asyncio.sleep(0.05)


async def wait_until_ready(system, timeout_s):
    async with asyncio.timeout(timeout_s), aiohttp.ClientSession() as session:
        for gateway in system.gateways:
            url = f"http://{gateway.ip}:{gateway.ready_port}/-/ready"
            while True:
                with suppress(aiohttp.ClientError):
                    async with session.get(url) as response:
                        if response.status == 200:
                            break
                await asyncio.sleep(0.05)


@pytest.fixture
async def system(tmp_path):
    """Yield three real gateways without servers."""
    system = System(tmp_path, Random(1))
    await system.start(hosts=3, servers=0)
    yield system
    await system.close()


async def lose_first_assignment(system):
    """Kill all hosts while the store loses all that it knows of the servers."""
    async with asyncio.timeout(10.0):
        while system.leader() is None:
            await asyncio.sleep(0.05)
    copy = system.store.copy()
    for index in range(4):
        await system._add_server(f"keys-{index}", "keys", True)
    await wait_for_owners(system, 10.0)
    await system._add_server("keys-4", "keys", True)
    system.store.mode = "silent"
    await asyncio.sleep(OUTAGE_S)
    for gateway in system.gateways:
        await gateway.kill()
    system.store.restore(copy)
    system.store.mode = "up"
    for gateway in system.gateways:
        await gateway.start()
    await asyncio.sleep(0.3)
    system.write_again()


async def test_keys_of_a_lost_first_assignment_get_no_second_owner(system):
    """Guards against a leader that gives out keys anew while servers still hold them,
    since all gateways and the record of the owners are lost."""
    await lose_first_assignment(system)
    shared = []
    end_s = time.monotonic() + MAX_WAIT_S
    while time.monotonic() < end_s:
        shared += [key for key in KEYS if len(holders(system, key)) > 1]
        await asyncio.sleep(0.05)
    assert shared == []
    assert all(holders(system, key) for key in KEYS)


async def test_hosts_are_ready_while_keys_have_no_owners(system):
    """Guards against hosts that serve nothing while the keys of one service wait."""
    await lose_first_assignment(system)
    started_s = time.monotonic()
    await wait_until_ready(system, MAX_UNREADY_S)
    assert not any(holders(system, key) for key in KEYS)
    assert time.monotonic() - started_s < MAX_UNREADY_S


async def test_first_start_in_a_later_era_waits_for_no_grants(tmp_path, monkeypatch):
    """Guards against keys without an owner while a system that has never run before
    waits for the grants of earlier leaders."""
    settings = "bootstrap = true\n" + gateway_system.SETTINGS
    monkeypatch.setattr(gateway_system, "SETTINGS", settings)
    system = GatewaySystem(tmp_path)
    system.store.era = 2
    started_s = time.monotonic()
    try:
        await system.start(gateways=2)
        await system.wait_until_ready()
        assert time.monotonic() - started_s < 6.0
    finally:
        await system.close()
