"""The path to the servers beside entries of other writers."""

import json

import pytest

from jacinthpath.gateway.clock import boottime_s

from .gateway_system import GatewaySystem


@pytest.fixture
async def system(tmp_path):
    system = await GatewaySystem(tmp_path).start()
    for number in range(200):
        entry = json.loads(system.servers["p0"].entry())
        entry["address"] = "127.0.0.1:1"
        entry["info"]["service"] = "unknown"
        system.store.put(f"servers/other-{number}", json.dumps(entry).encode())
    await system.wait_until_ready()
    yield system
    await system.close()


async def test_entries_of_an_unknown_service_hide_no_path(system):
    """Review 5: they were chosen for probes, which they are never sent; so no crash
    was believed and a request that crashes servers was never blocked."""
    gateway = system.gateways[0]
    reach, directory = gateway._reach, gateway._view.directory
    for name in ("p0", "k0"):
        assert await reach.has_path_beside(directory.find(name), boottime_s())
